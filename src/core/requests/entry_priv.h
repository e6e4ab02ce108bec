/**
 * @file entry_priv.h
 * What the files of the request path share.
 */
#ifndef CAROBTRAIL_CORE_ENTRY_PRIV_H
#define CAROBTRAIL_CORE_ENTRY_PRIV_H

#include "carobtrail/entry.h"
#include "carobtrail/rng.h"
#include "carobtrail/token.h"
#include "core/messages/msg_pack.h"
#include "core/requests/request_trace.h"
#include "core/scheduling/retry_budget.h"

#include <uthash.h>

/** Buckets of the index of requests by the caller's address. */
#define CAROB_ADDR_BUCKETS 2048

typedef struct carob_request carob_request_t;
typedef struct carob_record carob_record_t;
typedef struct carob_path carob_path_t;
typedef struct carob_link carob_link_t;
typedef struct carob_tombstone carob_tombstone_t;

/** A packet from a caller on its way through the decisions. */
typedef struct carob_packet {
	uint32_t service_id;
	carob_addr_t caller;
	const carob_msg_t *msg;
	uint64_t arrived_ns;
	carob_relay_kind_t via; /* 0: came from the caller itself */
	bool misdirected;	/* meant for another run of this instance */
	bool may_have_run;	/* an earlier copy, elsewhere */
	carob_token_t token;	/* opened */
} carob_packet_t;

/** Identity of a request in a flow; unused bytes are zero. */
typedef struct carob_exchange_key {
	uint64_t flow;
	uint8_t token[CAROB_MSG_TOKEN_MAX];
	uint8_t token_len;
	uint8_t unused[5];
	uint16_t mid; /* 0 where the CoAP token alone identifies */
} carob_exchange_key_t;

/** What is remembered of a request. */
typedef enum carob_record_state {
	CAROB_RECORD_IN_PROGRESS,
	CAROB_RECORD_HANDED,   /* to another instance, which answers */
	CAROB_RECORD_ANSWERED, /* by its upstream, or with "not run" */
	CAROB_RECORD_UNKNOWN,  /* answered "outcome unknown" */
} carob_record_state_t;

/** The memory of one request, kept for the exchange lifetime. */
struct carob_record {
	carob_exchange_key_t key;
	carob_record_state_t state;
	bool idempotent;
	uint32_t expires_s;	       /* of the memory's own clock */
	carob_instance_id_t handed_to; /* state HANDED */
	carob_request_t *request;      /* in progress here, or NULL */
	carob_packed_msg_t *answer;    /* for duplicates, or NULL */
	UT_hash_handle hh;
};

/** All records of an instance. */
typedef struct carob_memory {
	carob_record_t *records[2]; /* by `idempotent`, oldest first */
	carob_tombstone_t *tombstones;
	size_t bytes;
	size_t bytes_max;
	uint64_t clock_ns; /* stands still while the process is paused */
	uint64_t swept_ns; /* monotonic time of the last sweep */
	bool evicted;	   /* an idempotent one, before its time */
	uint32_t evicted_until_s;
	carob_timer_t sweep;
} carob_memory_t;

/** Where a request is in its life. */
typedef enum carob_request_phase {
	CAROB_REQUEST_QUEUED,
	CAROB_REQUEST_RUNNING,
	CAROB_REQUEST_FEED,	  /* an open feed */
	CAROB_REQUEST_CANCELLING, /* the upstream has been told */
	CAROB_REQUEST_HANDED,	  /* to another instance */
} carob_request_phase_t;

/** What was last sent to the upstream for a request. */
typedef enum carob_sent {
	CAROB_SENT_NOTHING,
	CAROB_SENT_REQUEST,
	CAROB_SENT_REFRESH, /* registration again */
	CAROB_SENT_CANCEL,
} carob_sent_t;

/** A request's exchange with its upstream. */
typedef struct carob_exchange {
	carob_path_t *path; /* NULL: none */
	uint64_t token;	    /* ours; never used twice */
	uint16_t mid;	    /* of what was last sent */
	uint16_t request_mid;
	uint8_t tries;
	bool acked;
	carob_sent_t sent;
	carob_timer_t timer; /* retransmission, then silence */
	carob_request_t *prev;
	carob_request_t *next;
	UT_hash_handle hh; /* by token */
} carob_exchange_t;

/** What only feeds need. */
typedef struct carob_feed {
	uint64_t observed_ns; /* when the newest notification came */
	uint64_t refreshed_ns;
	uint32_t observe_in;
	uint32_t observe_out;
	uint32_t max_age_s;
	uint16_t notify_mid;
	uint16_t refresh_mid;
	uint8_t refresh_type;
	bool refreshing;
	bool successor_announced; /* to register at the successor */
	uint32_t pauses;	  /* of the process, when last known good */
	uint32_t refresh_pauses;  /* when the refresh was asked for */
} carob_feed_t;

/** A request in progress, or an open feed. */
struct carob_request {
	carob_work_t work;
	carob_entry_t *entry;
	carob_record_t *record; /* NULL once it has expired */
	carob_token_t token;
	carob_addr_t caller;
	carob_exchange_key_t key; /* by CoAP token; mid is 0 */
	uint16_t mid;
	uint8_t type;
	uint8_t attempts;
	carob_request_phase_t phase;
	bool idempotent;
	bool answered; /* finally, towards the caller */
	bool may_have_run;
	bool in_table;
	uint64_t arrived_ns;
	uint64_t give_up_ns; /* when the caller is told */
	carob_packed_msg_t *packed;
	carob_request_trace_t *trace; /* NULL: not sampled */
	carob_timer_t timer;	      /* deadline; feeds: refresh, silence */
	carob_exchange_t exchange;
	carob_feed_t feed;
	carob_request_t *addr_prev;
	carob_request_t *addr_next;
	UT_hash_handle hh; /* by key */
};

/** A source port towards one upstream. */
struct carob_path {
	uint32_t number;
	carob_link_t *link;
	uint16_t next_mid;
	uint32_t mids_used; /* since `window_ns` */
	uint64_t window_ns;
	uint64_t heard_ns;		   /* 0: never */
	carob_request_t *unacked_requests; /* for an acknowledgement */
	carob_request_t *acked_requests;
	UT_hash_handle hh;
};

/** Identity of an upstream as packets reach it; unused bytes are zero. */
typedef struct carob_link_key {
	uint32_t service_id;
	uint32_t upstream_id;
	uint16_t incarnation;
	carob_addr_t addr;
} carob_link_key_t;

/** The paths to one upstream, and the probe that compares two of them. */
struct carob_link {
	carob_link_key_t key;
	carob_entry_t *entry;
	carob_manifest_upstream_t upstream; /* without its name */
	carob_path_t *current;
	carob_path_t *suspect;	 /* probed; NULL: no probe */
	carob_path_t *candidate; /* would replace it */
	carob_timer_t probe;
	uint64_t probe_start_ns;
	uint8_t probe_round;
	uint8_t failures; /* probes in a row that nothing answered */
	UT_hash_handle hh;
};

/** The request path of one instance. */
struct carob_entry {
	carob_kernel_t *kernel;
	carob_entry_port_t *port;
	carob_scheduler_t *scheduler;
	const carob_membership_t *membership;
	const carob_keyring_t *keyring;
	carob_tracer_t *tracer;
	carob_entry_fault_t fault;
	carob_manifest_t *manifest;
	carob_rng_t rng;
	carob_entry_counters_t counters;
	carob_histogram_t latency;
	carob_memory_t memory;
	carob_request_t *by_token;    /* flow and CoAP token */
	carob_request_t *by_exchange; /* our token */
	carob_request_t *by_addr[CAROB_ADDR_BUCKETS];
	carob_path_t *paths;
	carob_link_t *links;
	uint32_t next_path;
	uint64_t next_token;
	uint16_t next_mid; /* of what is sent to callers unasked */
	carob_retry_budget_t retries;
	bool draining;
	bool exported;
	carob_instance_id_t successor;
	carob_timer_t drain_timer;
	size_t drain_bucket; /* of by_addr, whose feeds are told next */
	uint64_t searches_s; /* second in which `searches` are counted */
	uint32_t searches;
	carob_timer_t tick;
	uint64_t ticked_ns;
	uint32_t pauses; /* of the process, so far */
	uint64_t pause_began_ns;
	uint64_t pause_over_ns;
	carob_instance_id_t *predecessors;
	size_t predecessor_count;
};

/* entry.c */

/** @return the monotonic time in nanoseconds */
uint64_t carob_entry_now(const carob_entry_t *entry);

/** @return this instance's identity */
carob_instance_id_t carob_entry_self(const carob_entry_t *entry);

/** @return the upstream that the token names, borrowed, or NULL */
const carob_manifest_upstream_t *
carob_entry_find_upstream(const carob_entry_t *entry,
			  const carob_token_t *token);

/** Passes a packet on to another instance. */
void carob_entry_relay(carob_entry_t *entry, const carob_packet_t *packet,
		       carob_relay_kind_t kind, carob_instance_id_t to);

/** Handles a packet of a flow that this instance owns, or takes over. */
void carob_entry_own(carob_entry_t *entry, carob_packet_t *packet);

/** Handles a packet whose owner is gone and left no memory here. */
void carob_entry_orphan(carob_entry_t *entry, carob_packet_t *packet);

/* pause.c */

/** Begins to watch for pauses of the process. */
void carob_pause_init(carob_entry_t *entry);

/** Notices a pause; called first for everything that arrives. */
void carob_pause_check(carob_entry_t *entry);

/**
 * When a packet that is read now may have arrived: after a pause it may have
 * waited in the socket since the pause began.
 */
uint64_t carob_pause_arrival(const carob_entry_t *entry);

/* ownership.c */

/** Fills in the key of a packet's request. */
void carob_exchange_key_init(carob_exchange_key_t *key, carob_flow_id_t flow,
			     const carob_msg_t *msg);

/** Begins an empty memory of at most `bytes_max` bytes. */
void carob_memory_init(carob_entry_t *entry, size_t bytes_max);

/** Releases all records and tombstones. */
void carob_memory_dispose(carob_entry_t *entry);

/** @return the record of that request, or NULL */
carob_record_t *carob_record_find(const carob_entry_t *entry,
				  const carob_exchange_key_t *key,
				  bool idempotent);

/** @return a new record in progress, or NULL if the memory is full */
carob_record_t *carob_record_new(carob_entry_t *entry,
				 const carob_exchange_key_t *key,
				 bool idempotent);

/** Forgets a record. */
void carob_record_free(carob_entry_t *entry, carob_record_t *record);

/** Remembers an answer; the record takes no request any more. */
void carob_record_answer(carob_entry_t *entry, carob_record_t *record,
			 carob_record_state_t state, const carob_msg_t *msg);

/** @return whether a request of that age may be forgotten already */
bool carob_memory_may_have_forgotten(const carob_entry_t *entry,
				     bool idempotent);

/** Remembers for a short time that a cancel came before its request. */
void carob_tombstone_add(carob_entry_t *entry, const carob_exchange_key_t *key);

/** @return whether a cancel came before the request of that key */
bool carob_tombstone_find(const carob_entry_t *entry,
			  const carob_exchange_key_t *key);

/* answer.c */

/** Begins an answer to a packet. */
void carob_answer_init(carob_msg_t *out, carob_entry_t *entry,
		       const carob_msg_t *request);

/** Begins an answer to a request in progress. */
void carob_answer_init_for(carob_msg_t *out, carob_entry_t *entry,
			   const carob_request_t *request);

/** Seals a token, owned here or by the successor, into an answer. */
void carob_answer_seal(carob_msg_t *out, carob_entry_t *entry,
		       const carob_token_t *token);

/**
 * Draws a token for a new flow.
 *
 * @return 0, or CAROB_ENOTFOUND if no instance schedules the service
 */
int carob_answer_fresh_token(carob_token_t *out, carob_entry_t *entry,
			     uint32_t service_id);

/** Answers a packet with a challenge: a token for a new flow. */
void carob_answer_challenge(carob_entry_t *entry, const carob_packet_t *packet,
			    carob_verdict_t verdict);

/** Answers a packet with "outcome unknown" and a token to go on with. */
void carob_answer_unknown(carob_entry_t *entry, const carob_packet_t *packet);

/** Fills in "outcome unknown" with a token to go on with. */
void carob_answer_fill_unknown(carob_msg_t *out, carob_entry_t *entry,
			       const carob_token_t *token);

/**
 * Asks for an idempotent request again, with another owner's token, and says
 * nothing about whether it ran.
 */
void carob_answer_renew(carob_entry_t *entry, const carob_packet_t *packet);

/** Refuses a packet that cannot be remembered. */
void carob_answer_refuse(carob_entry_t *entry, const carob_packet_t *packet,
			 uint32_t max_age_s);

/* request.c */

/** Takes on the request of a packet whose record does not exist. */
void carob_request_accept(carob_entry_t *entry, carob_packet_t *packet);

/** Moves a request on in its life, and the counters with it. */
void carob_request_set_phase(carob_request_t *request,
			     carob_request_phase_t phase);

/** @return the request with that flow and CoAP token, or NULL */
carob_request_t *carob_request_find(const carob_entry_t *entry,
				    const carob_exchange_key_t *key);

/** Sends the final answer to the caller and remembers it. */
void carob_request_answer(carob_request_t *request, carob_record_state_t state,
			  const carob_msg_t *msg);

/** Answers "not run", or "unknown" where an earlier copy may have run. */
void carob_request_refuse(carob_request_t *request, uint8_t code,
			  uint32_t max_age_s);

/** Answers "outcome unknown". */
void carob_request_answer_unknown(carob_request_t *request);

/** Releases a request whose work is idle. */
void carob_request_free(carob_request_t *request);

/** Releases a request in any phase, without an answer. */
void carob_request_abandon(carob_request_t *request);

/** Finishes running work and releases the request. */
void carob_request_finish(carob_request_t *request,
			  carob_work_outcome_t outcome);

/** Tells the upstream to stop; the slot is freed when it confirms. */
void carob_request_cancel_upstream(carob_request_t *request);

/** Changes the caller's address. */
void carob_request_set_caller(carob_request_t *request,
			      const carob_addr_t *caller);

/* request_duplicate.c */

/** Handles a packet whose request is remembered. */
void carob_request_duplicate(carob_entry_t *entry, carob_record_t *record,
			     carob_packet_t *packet);

/* request_upstream.c */

/** The upstream answered the request; `msg` is what it sent. */
void carob_request_on_answer(carob_request_t *request, const carob_msg_t *msg);

/** The upstream confirmed the cancel. */
void carob_request_on_cancelled(carob_request_t *request);

/** No answer came, or the path is lost; the request may have run. */
void carob_request_on_lost(carob_request_t *request,
			   carob_work_outcome_t outcome);

/* cancel.c */

/** Handles a cancel by CoAP token. */
void carob_cancel_by_token(carob_entry_t *entry, const carob_packet_t *packet);

/** Handles a Reset from a caller. */
void carob_cancel_by_reset(carob_entry_t *entry, const carob_packet_t *packet);

/* feed.c */

/** Opens a feed with the first answer of its registration. */
void carob_feed_open(carob_request_t *request, const carob_msg_t *msg);

/** The upstream sent a notification. */
void carob_feed_on_notification(carob_request_t *request,
				const carob_msg_t *msg);

/** The caller registered again. */
void carob_feed_refresh(carob_request_t *request, const carob_packet_t *packet);

/** The feed's timer is due. */
void carob_feed_on_timer(carob_request_t *request);

/** Ends a feed towards the caller, and at the upstream unless it is gone. */
void carob_feed_end(carob_request_t *request, bool upstream_gone);

/** Tells the caller to register at the successor. */
void carob_feed_announce_successor(carob_request_t *request);

/* path.c */

/** Sends a request to an upstream as a new exchange. @return 0 or ENOMEM */
int carob_path_send(carob_request_t *request,
		    const carob_manifest_upstream_t *upstream);

/** Sends something more in the request's exchange. */
void carob_path_send_message(carob_request_t *request, carob_sent_t what);

/** Takes a request off its path. */
void carob_path_detach(carob_request_t *request);

/** A message arrived on a path. */
void carob_path_on_message(carob_entry_t *entry, carob_upstream_id_t upstream,
			   uint32_t number, const carob_msg_t *msg);

/** Releases what belongs to upstreams that the manifest no longer names. */
void carob_path_drop_unused(carob_entry_t *entry);

/** @return whether the link still has a path */
bool carob_link_has_paths(const carob_link_t *link);

/** Releases all paths and links. */
void carob_path_dispose_all(carob_entry_t *entry);

/* probe.c */

/** Prepares a new link for probes. */
void carob_probe_init(carob_link_t *link);

/** Begins a probe of a path, unless its link has one under way. */
void carob_probe_start(carob_path_t *path);

/** A path was heard: a probe may be decided by it. */
void carob_probe_on_heard(carob_entry_t *entry, uint32_t number);

/** @return a new path of a link, or NULL */
carob_path_t *carob_path_open(carob_link_t *link);

/** Gives up a path that carries nothing. */
void carob_path_close(carob_path_t *path);

/** Puts a request on a path, with a new token of ours. */
void carob_path_attach(carob_request_t *request, carob_path_t *path);

/** Sends an empty confirmable message. */
void carob_path_ping(carob_path_t *path);

/* drain.c */

/** @return the owner that tokens sealed now name */
carob_instance_id_t carob_drain_owner(const carob_entry_t *entry);

/** @return whether that instance's memory was taken over here */
bool carob_drain_is_predecessor(const carob_entry_t *entry,
				carob_instance_id_t id);

#endif
