/**
 * @file control_msg.h
 * Messages that instances exchange with each other and with operators' tools
 * on the control channel. `net/control_codec.h` defines their encoding.
 *
 * The constants below bound the lists, so that no message can make its receiver
 * allocate more than CAROB_CONTROL_MESSAGE_MAX implies.
 */
#ifndef CAROBTRAIL_CONTROL_MSG_H
#define CAROBTRAIL_CONTROL_MSG_H

#include "carobtrail/ids.h"
#include "carobtrail/keyring.h"
#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"
#include "carobtrail/scheduler.h"

/** Version of the message format; a receiver refuses every other version. */
#define CAROB_CONTROL_VERSION 1

/** Maximum number of members in one message. */
#define CAROB_CONTROL_MEMBERS_MAX 256
/** Maximum number of zones in one heartbeat. */
#define CAROB_CONTROL_ZONES_MAX 32
/** Number of digests in a pull, one for each part of the member table. */
#define CAROB_CONTROL_DIGESTS 256
/** Maximum number of load summaries in one message. */
#define CAROB_CONTROL_SUMMARIES_MAX 128
/** Maximum number of upstream reports in one message. */
#define CAROB_CONTROL_REPORTS_MAX 128
/** Maximum number of sealing keys in one message. */
#define CAROB_CONTROL_KEYS_MAX 8
/** Maximum number of bytes in one part of a handover. */
#define CAROB_CONTROL_CHUNK_MAX 16384
/** Maximum length of the JSON text in a status reply, in bytes. */
#define CAROB_CONTROL_STATUS_MAX (512 * 1024)
/** Maximum length of the query in a status request, in bytes. */
#define CAROB_CONTROL_QUERY_MAX 256
/** Maximum length of a manifest, whole or as a delta, in bytes. */
#define CAROB_CONTROL_MANIFEST_MAX CAROB_MANIFEST_BYTES_MAX
/** Maximum length of an encoded message, in bytes. */
#define CAROB_CONTROL_MESSAGE_MAX (CAROB_CONTROL_MANIFEST_MAX + 4096)

/** Types of messages, with the type of the body. Numbers are never reused. */
typedef enum carob_control_type {
	CAROB_CONTROL_HEARTBEAT = 1,	      /* carob_control_heartbeat_t */
	CAROB_CONTROL_HEARTBEAT_ACK = 2,      /* carob_control_heartbeat_t */
	CAROB_CONTROL_MEMBER_UPDATES = 3,     /* carob_control_members_t */
	CAROB_CONTROL_MEMBER_PULL = 4,	      /* carob_control_pull_t */
	CAROB_CONTROL_MEMBER_TABLE = 5,	      /* carob_control_members_t */
	CAROB_CONTROL_CHECK_REQUEST = 6,      /* carob_control_check_t */
	CAROB_CONTROL_CHECK_REPLY = 7,	      /* carob_control_check_t */
	CAROB_CONTROL_LOAD_SUMMARIES = 8,     /* carob_control_summaries_t */
	CAROB_CONTROL_MANIFEST_AVAILABLE = 9, /* carob_control_manifest_t */
	CAROB_CONTROL_MANIFEST_REQUEST = 10,  /* carob_control_manifest_t */
	CAROB_CONTROL_MANIFEST_REPLY = 11,    /* carob_control_manifest_t */
	CAROB_CONTROL_KEY_AVAILABLE = 12,     /* carob_control_keys_t */
	CAROB_CONTROL_KEY_REQUEST = 13,	      /* carob_control_keys_t */
	CAROB_CONTROL_KEY_REPLY = 14,	      /* carob_control_keys_t */
	CAROB_CONTROL_RECORDS_TRANSFER = 15,  /* carob_control_records_t */
	CAROB_CONTROL_RECORDS_ACK = 16,	      /* carob_control_records_t */
	CAROB_CONTROL_UPSTREAM_REPORTS = 17,  /* carob_control_reports_t */
	CAROB_CONTROL_STATUS_REQUEST = 18,    /* carob_control_status_t */
	CAROB_CONTROL_STATUS_REPLY = 19,      /* carob_control_status_t */
} carob_control_type_t;

/** Time since the sender's zone last received any message from a zone. */
typedef struct carob_control_zone_age {
	carob_zone_t zone;
	uint32_t age_ms;
} carob_control_zone_age_t;

/** A heartbeat or its acknowledgement, with piggybacked membership updates. */
typedef struct carob_control_heartbeat {
	uint32_t seq;	     /* the acknowledgement has the same number */
	uint64_t generation; /* generation in force at the sender */
	uint32_t key_serial; /* newest sealing key at the sender */
	uint64_t digest;     /* digest of the sender's member table */
	size_t zone_count;
	const carob_control_zone_age_t *zones; /* empty in acknowledgements */
	size_t member_count;
	const carob_member_t *members; /* updates; a joining sender is first */
} carob_control_heartbeat_t;

/** Membership updates, or a part of the member table. */
typedef struct carob_control_members {
	size_t member_count;
	const carob_member_t *members;
	/* Part of the table at which the next pull starts; 0: none is left. Not
	 * used in updates. */
	uint32_t next;
} carob_control_members_t;

/**
 * Requests the members in those parts of the member table in which the
 * tables of the sender and the receiver differ.
 */
typedef struct carob_control_pull {
	carob_member_t self; /* the sender's own entry */
	uint32_t first;	     /* part of the table to start at */
	size_t digest_count; /* CAROB_CONTROL_DIGESTS, or 0 for all members */
	const uint32_t *digests; /* see carob_membership_part_digests */
} carob_control_pull_t;

/**
 * Requests an indirect probe of a member that does not respond to the sender,
 * or reports its result.
 */
typedef struct carob_control_check {
	uint32_t seq; /* the reply has the same number */
	carob_instance_id_t target;
	bool reachable; /* result of the probe; set in the reply only */
} carob_control_check_t;

/** Load of the sender, one summary per service. */
typedef struct carob_control_summaries {
	size_t count;
	const carob_load_summary_t *summaries;
} carob_control_summaries_t;

/** A generation of the manifest that is offered, requested or sent. */
typedef struct carob_control_manifest {
	uint64_t generation;
	uint64_t base; /* generation that the requester has or that the delta
			  applies to; 0: whole manifest */
	uint8_t publish_id[CAROB_PUBLISH_ID_BYTES];
	carob_str_t bytes; /* manifest or delta, set in the reply only; not
			      parsed by the codec */
} carob_control_manifest_t;

/** A sealing key of the deployment. */
typedef struct carob_control_key {
	uint32_t serial;      /* never 0; the low byte is the keyring's epoch */
	uint64_t created_ms;  /* wall-clock time at its creator */
	uint64_t activate_ms; /* wall-clock time from which it seals */
	uint8_t key[CAROB_KEY_BYTES];
} carob_control_key_t;

/** Sealing keys that are offered (serial only), requested or sent. */
typedef struct carob_control_keys {
	uint32_t newest; /* serial of the sender's newest key; 0: none */
	size_t count;	 /* number of keys sent; 0 unless in a reply */
	const carob_control_key_t *keys;
} carob_control_keys_t;

/** A part of a leaving instance's request records, or its acknowledgement. */
typedef struct carob_control_records {
	carob_instance_id_t predecessor; /* the leaving instance */
	uint32_t offset; /* offset of the part; in an acknowledgement the
			    number of bytes received in order */
	uint32_t total;	 /* size of all parts together, in bytes */
	bool done;	 /* acknowledges that all records were taken over */
	carob_str_t bytes;
} carob_control_records_t;

/** Results of the sender's health probes. */
typedef struct carob_control_reports {
	size_t count;
	const carob_load_report_t *reports;
} carob_control_reports_t;

/** Requests a status, or returns it as JSON text. */
typedef struct carob_control_status {
	uint32_t request;  /* number of the request; the reply has the same */
	int32_t result;	   /* 0 or a result code; set in the reply only */
	carob_str_t query; /* name and arguments; set in the request only */
	/* Status, or the error message if `result` is not 0; set in the reply
	 * only. */
	carob_str_t json;
} carob_control_status_t;

/** A message; its lists and strings are borrowed. */
typedef struct carob_control_msg {
	carob_control_type_t type;
	carob_instance_id_t from; /* sender; id 0: an operator's tool */
	union {
		carob_control_heartbeat_t heartbeat;
		carob_control_members_t members;
		carob_control_pull_t pull;
		carob_control_check_t check;
		carob_control_summaries_t summaries;
		carob_control_manifest_t manifest;
		carob_control_keys_t keys;
		carob_control_records_t records;
		carob_control_reports_t reports;
		carob_control_status_t status;
	};
} carob_control_msg_t;

/** The receiver of a message. */
typedef struct carob_control_peer {
	carob_instance_id_t id; /* id 0: any instance at the address */
	carob_addr_t addr;	/* control address */
} carob_control_peer_t;

typedef struct carob_control_port carob_control_port_t;

/** Operations of a port through which the core sends control messages. */
typedef struct carob_control_port_ops {
	/**
	 * Sends a message, or drops it; the caller is not told which. The
	 * message's lists are not used after the call.
	 */
	void (*send)(carob_control_port_t *port, const carob_control_peer_t *to,
		     const carob_control_msg_t *msg);
} carob_control_port_ops_t;

/** A port; implementations embed it as their first member. */
struct carob_control_port {
	const carob_control_port_ops_t *ops;
};

#endif
