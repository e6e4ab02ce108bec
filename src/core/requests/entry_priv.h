/**
 * @file entry_priv.h
 * Types and functions shared by the files of the request path.
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

/** Number of buckets of the index of requests by the caller's address. */
#define CAROB_ADDR_BUCKETS 2048

typedef struct carob_request carob_request_t;
typedef struct carob_record carob_record_t;
typedef struct carob_path carob_path_t;
typedef struct carob_link carob_link_t;
typedef struct carob_tombstone carob_tombstone_t;

/** A packet from a caller while it is being handled. */
typedef struct carob_packet {
	uint32_t service_id;
	carob_addr_t caller;
	const carob_msg_t *msg;
	uint64_t arrived_ns;
	carob_relay_kind_t relay_kind; /* 0: received directly from the caller */
	bool misdirected;	       /* relayed to another incarnation */
	bool may_have_run;	       /* an earlier copy may have run */
	carob_token_t token;	       /* decrypted from the Echo option */
} carob_packet_t;

/** Key of a request in the tables of an instance; unused bytes are zero. */
typedef struct carob_exchange_key {
	uint64_t flow;
	uint8_t token[CAROB_MSG_TOKEN_MAX];
	uint8_t token_len;
	uint8_t unused[5];
	uint16_t mid; /* 0 in keys that ignore the message ID */
} carob_exchange_key_t;

/** State of a request's record. */
typedef enum carob_record_state {
	CAROB_RECORD_IN_PROGRESS,
	CAROB_RECORD_REDIRECTED, /* passed to another instance, which answers */
	CAROB_RECORD_ANSWERED,	 /* answered by the upstream, or refused */
	CAROB_RECORD_UNKNOWN,	 /* answered with "outcome unknown" */
} carob_record_state_t;

/**
 * Record of one request, by which its duplicates are recognised. It is kept
 * for the exchange lifetime of CoAP (RFC 7252, section 4.8.2).
 */
struct carob_record {
	carob_exchange_key_t key;
	carob_record_state_t state;
	bool idempotent;
	uint32_t expires_s; /* by the clock of carob_record_store_t */
	carob_instance_id_t redirected_to; /* valid in CAROB_RECORD_REDIRECTED */
	carob_request_t *request;   /* request in progress here, or NULL */
	carob_packed_msg_t *answer; /* response to duplicates, or NULL */
	UT_hash_handle hh;
};

/** All request records and cancel tombstones of an instance. */
typedef struct carob_record_store {
	carob_record_t *records[2]; /* indexed by `idempotent`, oldest first */
	carob_tombstone_t *tombstones;
	size_t bytes;
	size_t bytes_max;
	uint64_t clock_ns; /* running time, without pauses of the process */
	uint64_t swept_ns; /* monotonic time of the last sweep */
	bool evicted;	   /* an idempotent record was evicted early */
	/** Latest time at which the evicted records would have expired. */
	uint32_t evicted_until_s;
	carob_timer_t sweep;
} carob_record_store_t;

/** Phase of a request. */
typedef enum carob_request_phase {
	CAROB_REQUEST_QUEUED,
	CAROB_REQUEST_RUNNING,
	CAROB_REQUEST_FEED,	  /* open observation */
	CAROB_REQUEST_CANCELLING, /* cancel sent to the upstream */
	CAROB_REQUEST_REDIRECTED, /* passed to another instance */
} carob_request_phase_t;

/** Kind of the message last sent to the upstream for a request. */
typedef enum carob_sent {
	CAROB_SENT_NOTHING,
	CAROB_SENT_REQUEST,
	CAROB_SENT_REFRESH, /* renewed registration of an observation */
	CAROB_SENT_CANCEL,
} carob_sent_t;

/** A request's message exchange with its upstream. */
typedef struct carob_exchange {
	carob_path_t *path;   /* NULL if there is no exchange */
	uint64_t token;	      /* CoAP token chosen here, never reused */
	uint16_t mid;	      /* message ID of the last message sent */
	uint16_t request_mid; /* message ID of the request */
	uint8_t tries;	      /* transmissions of the last message */
	bool acked;	      /* the last message was acknowledged */
	carob_sent_t sent;
	/**
	 * Timer of the next retransmission or, after an acknowledgement, of the
	 * check for a silent path.
	 */
	carob_timer_t timer;
	carob_request_t *prev;
	carob_request_t *next;
	UT_hash_handle hh; /* key: token */
} carob_exchange_t;

/** Additional state of a feed, as an observation (RFC 7641) is called here. */
typedef struct carob_feed {
	uint64_t observed_ns;  /* arrival of the newest notification */
	uint64_t refreshed_ns; /* last registration by the caller */
	uint32_t observe_in;   /* last Observe value from the upstream */
	uint32_t observe_out;  /* last Observe value sent to the caller */
	uint32_t max_age_s;
	uint16_t notify_mid;  /* message ID of the last notification sent */
	uint16_t refresh_mid; /* message ID of the last refresh received */
	uint8_t refresh_type;
	bool refreshing; /* a refresh by the caller awaits its response */
	/** The caller was asked to register at the successor. */
	bool successor_announced;
	/** Value of `carob_entry.pauses` when the feed was last up to date. */
	uint32_t pauses;
	/** Value of `carob_entry.pauses` at the caller's last refresh. */
	uint32_t refresh_pauses;
} carob_feed_t;

/** A request in progress, or an open observation. */
struct carob_request {
	carob_work_t work;
	carob_entry_t *entry;
	/** NULL after the final response, or if the record has expired. */
	carob_record_t *record;
	carob_token_t token;
	carob_addr_t caller;
	carob_exchange_key_t key; /* flow and CoAP token; mid is 0 */
	uint16_t mid;
	uint8_t type;
	uint8_t attempts; /* times it was sent to an upstream */
	carob_request_phase_t phase;
	bool idempotent;
	bool answered;	   /* the final response was sent to the caller */
	bool may_have_run; /* an earlier copy or attempt may have run */
	bool in_table;	   /* the request is in `carob_entry.by_token` */
	uint64_t arrived_ns;
	/**
	 * Time of the caller's deadline or, if the caller set none, the end of
	 * the runtime limit. When the request starts to run, the limit is
	 * counted from then on, and the earlier one of both times is kept.
	 */
	uint64_t deadline_ns;
	carob_packed_msg_t *packed;   /* the request as it was received */
	carob_request_trace_t *trace; /* NULL if not sampled */
	carob_timer_t timer; /* deadline, or timeout of a cancel or feed */
	carob_exchange_t exchange;
	carob_feed_t feed;
	carob_request_t *addr_prev;
	carob_request_t *addr_next;
	UT_hash_handle hh;
};

/** A source port from which messages are sent to one upstream. */
struct carob_path {
	uint32_t number;
	carob_link_t *link;
	uint16_t next_mid;
	uint32_t mids_used; /* message IDs used since `window_ns` */
	uint64_t window_ns; /* start of the time in which IDs are counted */
	uint64_t last_received_ns; /* arrival of the last message; 0: none */
	/** Requests whose last message is not acknowledged yet. */
	carob_request_t *unacked_requests;
	/** Requests whose last message was acknowledged. */
	carob_request_t *acked_requests;
	UT_hash_handle hh;
};

/** Key of an upstream at one address; unused bytes are zero. */
typedef struct carob_link_key {
	uint32_t service_id;
	uint32_t upstream_id;
	uint16_t incarnation;
	carob_addr_t addr;
} carob_link_key_t;

/** The paths to one upstream, and the probe of a path that seems broken. */
struct carob_link {
	carob_link_key_t key;
	carob_entry_t *entry;
	carob_manifest_upstream_t upstream; /* copy without its name */
	carob_path_t *current;		    /* path of new requests, or NULL */
	carob_path_t *suspect;		    /* path being probed, or NULL */
	carob_path_t *candidate; /* new path that may replace the suspect */
	carob_timer_t probe;
	uint64_t probe_start_ns;
	uint8_t probe_round;
	uint8_t failures; /* consecutive probes without any reply */
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
	carob_entry_mutation_t mutation;
	carob_manifest_t *manifest;
	carob_rng_t rng;
	carob_entry_counters_t counters;
	carob_histogram_t latency;
	carob_record_store_t record_store;
	carob_request_t *by_token;    /* key: flow and caller's CoAP token */
	carob_request_t *by_exchange; /* key: CoAP token sent upstream */
	carob_request_t *by_addr[CAROB_ADDR_BUCKETS];
	carob_path_t *paths;
	carob_link_t *links;
	uint32_t next_path;
	uint64_t next_token;
	uint16_t next_mid; /* next ID of a non-confirmable response */
	carob_retry_budget_t retries;
	bool draining;
	bool exported;
	carob_instance_id_t successor;
	carob_timer_t drain_timer;
	size_t drain_bucket; /* bucket of by_addr that is announced to next */
	uint64_t searches_s; /* second in which `searches` are counted */
	uint32_t searches;   /* Resets of callers that are unknown here */
	carob_timer_t tick;
	uint64_t ticked_ns; /* time of the last tick or detected pause */
	uint32_t pauses;    /* number of process pauses detected */
	uint64_t pause_began_ns;
	uint64_t pause_over_ns; /* end of the last pause and its backlog */
	/** Instances whose records were imported. */
	carob_instance_id_t *predecessors;
	size_t predecessor_count;
};

/* entry.c */

/** @return the kernel's monotonic time, in nanoseconds */
uint64_t carob_entry_now(const carob_entry_t *entry);

/** @return the ID of this instance */
carob_instance_id_t carob_entry_self(const carob_entry_t *entry);

/**
 * Finds the upstream named by a token in the current manifest.
 *
 * @return the upstream, borrowed from the manifest, or NULL
 */
const carob_manifest_upstream_t *
carob_entry_find_upstream(const carob_entry_t *entry,
			  const carob_token_t *token);

/** Relays a packet to another instance. */
void carob_entry_relay(carob_entry_t *entry, const carob_packet_t *packet,
		       carob_relay_kind_t kind, carob_instance_id_t to);

/** Handles a packet of a flow that this instance owns or takes over. */
void carob_entry_handle_owned(carob_entry_t *entry, carob_packet_t *packet);

/** Handles a packet whose owner has ended without leaving its records here. */
void carob_entry_handle_orphaned(carob_entry_t *entry, carob_packet_t *packet);

/* pause.c */

/** Starts the detection of process pauses. */
void carob_pause_init(carob_entry_t *entry);

/**
 * Detects a pause of the process. It must be called before any packet that
 * arrives is handled.
 */
void carob_pause_check(carob_entry_t *entry);

/**
 * Returns the earliest time at which a packet that is read now may have
 * arrived. Just after a pause of the process, that is the time at which the
 * pause began, since the packet may have waited in the socket.
 *
 * @return monotonic time in nanoseconds
 */
uint64_t carob_pause_arrival(const carob_entry_t *entry);

/* ownership.c */

/** Initialises the key of the request in a message. */
void carob_exchange_key_init(carob_exchange_key_t *key, carob_flow_id_t flow,
			     const carob_msg_t *msg);

/** Initialises an empty store of records of at most `bytes_max` bytes. */
void carob_record_store_init(carob_entry_t *entry, size_t bytes_max);

/** Releases all records and tombstones. */
void carob_record_store_dispose(carob_entry_t *entry);

/** @return the record with that key, or NULL */
carob_record_t *carob_record_find(const carob_entry_t *entry,
				  const carob_exchange_key_t *key,
				  bool idempotent);

/**
 * Creates a record in state CAROB_RECORD_IN_PROGRESS.
 *
 * @return the record, owned by the entry, or NULL if the limit on the size of
 *         all records is reached or there is no memory
 */
carob_record_t *carob_record_new(carob_entry_t *entry,
				 const carob_exchange_key_t *key,
				 bool idempotent);

/**
 * Removes and releases a record, together with its request if that was passed
 * to another instance.
 */
void carob_record_free(carob_entry_t *entry, carob_record_t *record);

/** Stores the response that duplicates of a record's request receive. */
void carob_record_answer(carob_entry_t *entry, carob_record_t *record,
			 carob_record_state_t state, const carob_msg_t *msg);

/**
 * @return whether the record of an earlier copy of a request may have been
 *         evicted before its lifetime ended
 */
bool carob_record_store_may_have_evicted(const carob_entry_t *entry,
					 bool idempotent);

/** Records for a short time that a cancel arrived before its request. */
void carob_tombstone_add(carob_entry_t *entry, const carob_exchange_key_t *key);

/** @return whether a cancel arrived before the request with that key */
bool carob_tombstone_find(const carob_entry_t *entry,
			  const carob_exchange_key_t *key);

/* answer.c */

/** Initialises a response to a message: its type, message ID and CoAP token. */
void carob_answer_init(carob_msg_t *out, carob_entry_t *entry,
		       const carob_msg_t *request);

/** Initialises a response to a request in progress. */
void carob_answer_init_for(carob_msg_t *out, carob_entry_t *entry,
			   const carob_request_t *request);

/**
 * Encrypts a token into the Echo option of a response. A token owned by this
 * instance is changed to name the successor during a drain.
 */
void carob_answer_seal(carob_msg_t *out, carob_entry_t *entry,
		       const carob_token_t *token);

/**
 * Creates a token for a new flow with a random flow ID.
 *
 * @return 0, or CAROB_ENOTFOUND if no instance schedules the service
 */
int carob_answer_fresh_token(carob_token_t *out, carob_entry_t *entry,
			     uint32_t service_id);

/**
 * Answers a packet with 4.01 and a token for a new flow, which the caller is
 * to repeat the request with; or with 5.03 if there is no such token.
 */
void carob_answer_challenge(carob_entry_t *entry, const carob_packet_t *packet,
			    carob_verdict_t verdict);

/** Answers a packet with "outcome unknown" and a token for later requests. */
void carob_answer_unknown(carob_entry_t *entry, const carob_packet_t *packet);

/** Fills in "outcome unknown" and a token for later requests. */
void carob_answer_fill_unknown(carob_msg_t *out, carob_entry_t *entry,
			       const carob_token_t *token);

/**
 * Asks the caller to repeat an idempotent request with a token of a new owner.
 * The response says nothing about whether the request has run.
 */
void carob_answer_renew(carob_entry_t *entry, const carob_packet_t *packet);

/** Refuses a request for which no record can be created. */
void carob_answer_refuse(carob_entry_t *entry, const carob_packet_t *packet,
			 uint32_t max_age_s);

/* request.c */

/** Accepts or refuses the request of a packet that has no record yet. */
void carob_request_accept(carob_entry_t *entry, carob_packet_t *packet);

/** Changes the phase of a request and the counters that depend on it. */
void carob_request_set_phase(carob_request_t *request,
			     carob_request_phase_t phase);

/** @return the request in progress with that flow and CoAP token, or NULL */
carob_request_t *carob_request_find(const carob_entry_t *entry,
				    const carob_exchange_key_t *key);

/** Sends the final response to the caller and stores it in the record. */
void carob_request_answer(carob_request_t *request, carob_record_state_t state,
			  const carob_msg_t *msg);

/**
 * Refuses a request with "not run", or with "outcome unknown" if an earlier
 * copy may have run.
 *
 * @param request the request
 * @param code response code
 * @param max_age_s seconds after which the caller may try again; sent with
 *        5.03 only
 */
void carob_request_refuse(carob_request_t *request, uint8_t code,
			  uint32_t max_age_s);

/** Answers a request with "outcome unknown". */
void carob_request_answer_unknown(carob_request_t *request);

/** Releases a request that the scheduler does not hold. */
void carob_request_free(carob_request_t *request);

/** Releases a request in any phase, without a response. */
void carob_request_abandon(carob_request_t *request);

/** Returns a running request's slot to the scheduler and releases it. */
void carob_request_finish(carob_request_t *request,
			  carob_work_outcome_t outcome);

/**
 * Sends a cancel to the upstream. The slot is freed when the upstream confirms
 * the cancel, or after a timeout.
 */
void carob_request_cancel_upstream(carob_request_t *request);

/** Changes the address to which a request is answered. */
void carob_request_set_caller(carob_request_t *request,
			      const carob_addr_t *caller);

/* request_duplicate.c */

/** Handles a duplicate of a request that has a record. */
void carob_request_duplicate(carob_entry_t *entry, carob_record_t *record,
			     carob_packet_t *packet);

/* request_upstream.c */

/** Handles the upstream's response `msg` to a request. */
void carob_request_on_answer(carob_request_t *request, const carob_msg_t *msg);

/** Handles the upstream's confirmation of a cancel. */
void carob_request_on_cancelled(carob_request_t *request);

/**
 * Handles the loss of a request's exchange: no response came, or the path
 * failed. The request may have run.
 */
void carob_request_on_lost(carob_request_t *request,
			   carob_work_outcome_t outcome);

/* cancel.c */

/** Handles a cancel that names its request by flow and CoAP token. */
void carob_cancel_by_token(carob_entry_t *entry, const carob_packet_t *packet);

/** Handles a Reset, which cancels by the caller's address and message ID. */
void carob_cancel_by_reset(carob_entry_t *entry, const carob_packet_t *packet);

/* feed.c */

/** Opens an observation with the upstream's response to its registration. */
void carob_feed_open(carob_request_t *request, const carob_msg_t *msg);

/** Handles a notification from the upstream. */
void carob_feed_on_notification(carob_request_t *request,
				const carob_msg_t *msg);

/** Handles a renewed registration by the caller. */
void carob_feed_refresh(carob_request_t *request, const carob_packet_t *packet);

/** Handles the expiry of an observation's timer. */
void carob_feed_on_timer(carob_request_t *request);

/**
 * Ends an observation with a last notification to the caller. It is also
 * cancelled at the upstream, unless `upstream_gone`.
 */
void carob_feed_end(carob_request_t *request, bool upstream_gone);

/** Asks the caller of an observation to register at the successor. */
void carob_feed_announce_successor(carob_request_t *request);

/* path.c */

/**
 * Sends a request to an upstream as a new exchange.
 *
 * @return 0 or CAROB_ENOMEM
 */
int carob_path_send(carob_request_t *request,
		    const carob_manifest_upstream_t *upstream);

/** Sends another message in the request's exchange. */
void carob_path_send_message(carob_request_t *request, carob_sent_t kind);

/** Ends a request's exchange and closes its path if that becomes unused. */
void carob_path_detach(carob_request_t *request);

/** Handles a message from an upstream on the path with that number. */
void carob_path_on_message(carob_entry_t *entry, carob_upstream_id_t upstream,
			   uint32_t number, const carob_msg_t *msg);

/** Closes idle paths to upstreams that are no longer in the manifest. */
void carob_path_drop_unused(carob_entry_t *entry);

/** @return whether the link has a path */
bool carob_link_has_paths(const carob_link_t *link);

/** Releases all paths and links. */
void carob_path_dispose_all(carob_entry_t *entry);

/* probe.c */

/** Initialises the probe timer of a new link. */
void carob_probe_init(carob_link_t *link);

/** Starts a probe of a path, unless its link is already being probed. */
void carob_probe_start(carob_path_t *path);

/** Ends the probe, if any, of the path on which a message was received. */
void carob_probe_on_received(carob_entry_t *entry, uint32_t number);

/** @return a new path of a link, or NULL if there is no memory */
carob_path_t *carob_path_open(carob_link_t *link);

/** Closes and releases a path without requests. */
void carob_path_close(carob_path_t *path);

/** Starts an exchange of a request on a path, with a new CoAP token. */
void carob_path_attach(carob_request_t *request, carob_path_t *path);

/** Sends a CoAP ping: an empty confirmable message. */
void carob_path_ping(carob_path_t *path);

/* drain.c */

/**
 * @return the owner that tokens issued now name: this instance or, after a
 *         drain has begun, its successor
 */
carob_instance_id_t carob_drain_owner(const carob_entry_t *entry);

/** @return whether the records of that instance were imported here */
bool carob_drain_is_predecessor(const carob_entry_t *entry,
				carob_instance_id_t id);

#endif
