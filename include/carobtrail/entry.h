/**
 * @file entry.h
 * The request path of an entry instance. It is given decoded messages, sends
 * messages through a port and takes the time from the kernel; it does no
 * input or output of its own.
 */
#ifndef CAROBTRAIL_ENTRY_H
#define CAROBTRAIL_ENTRY_H

#include "carobtrail/histogram.h"
#include "carobtrail/kernel.h"
#include "carobtrail/keyring.h"
#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"
#include "carobtrail/msg.h"
#include "carobtrail/relay.h"
#include "carobtrail/scheduler.h"
#include "carobtrail/trace.h"

typedef struct carob_entry carob_entry_t;
typedef struct carob_entry_port carob_entry_port_t;

/**
 * Operations by which the request path sends messages. They report no errors:
 * a message that can't be sent is lost, as in the network.
 */
typedef struct carob_entry_port_ops {
	/** Sends a message to a caller from the service's address. */
	void (*to_caller)(carob_entry_port_t *port, uint32_t service_id,
			  const carob_addr_t *caller, const carob_msg_t *msg);
	/** Sends a message to an upstream from the source port of a path. */
	void (*to_upstream)(carob_entry_port_t *port,
			    const carob_manifest_upstream_t *upstream,
			    uint32_t path, const carob_msg_t *msg);
	/** Closes the source port of a path that is no longer used. */
	void (*close_path)(carob_entry_port_t *port,
			   carob_upstream_id_t upstream, uint32_t path);
	/** Relays a caller's packet to another instance. */
	void (*to_instance)(carob_entry_port_t *port,
			    const carob_relay_t *relay);
} carob_entry_port_ops_t;

/** A port; implementations embed it as their first member. */
struct carob_entry_port {
	const carob_entry_port_ops_t *ops;
};

/**
 * Mutations of the request path, for tests only. Each breaks one guarantee,
 * so that tests can show that they detect its violation.
 */
typedef enum carob_entry_mutation {
	CAROB_ENTRY_MUTATION_NONE,
	/** Runs non-idempotent requests whose owner is another instance. */
	CAROB_ENTRY_MUTATION_FORGET_OWNER,
	/** Sends non-idempotent requests again after a timeout. */
	CAROB_ENTRY_MUTATION_RETRY_AFTER_TIMEOUT,
	/** Answers "not run" where the outcome is unknown. */
	CAROB_ENTRY_MUTATION_FALSE_NOT_RUN,
	/** Uses the token's service, whichever address the packet came to. */
	CAROB_ENTRY_MUTATION_IGNORE_SERVICE,
	/** Matches responses of upstreams by message ID, not by CoAP token. */
	CAROB_ENTRY_MUTATION_MATCH_BY_MID_ONLY,
	/** Keeps the slot of a request whose cancel was confirmed. */
	CAROB_ENTRY_MUTATION_CANCEL_KEEPS_SLOT,
	/** Drops the requests in progress when a drain begins. */
	CAROB_ENTRY_MUTATION_DRAIN_DROPS,
	/** Forwards expired requests if the scheduler starts them. */
	CAROB_ENTRY_MUTATION_RUN_EXPIRED,
} carob_entry_mutation_t;

/** Options of `carob_entry_new`. */
typedef struct carob_entry_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_entry_port_t *port;
	carob_scheduler_t *scheduler;
	const carob_membership_t *membership;
	const carob_keyring_t *keyring;
	carob_tracer_t *tracer; /* NULL if requests are not traced */
	uint64_t seed;
	size_t record_bytes_max; /* maximum size of all request records */
	carob_entry_mutation_t mutation;
} carob_entry_options_t;

#define CAROB_ENTRY_OPTIONS_VERSION  1
#define CAROB_ENTRY_RECORD_BYTES_MAX (96u * 1024 * 1024)
#define CAROB_ENTRY_OPTIONS_INIT                                               \
	{                                                                      \
		.version = CAROB_ENTRY_OPTIONS_VERSION,                        \
		.record_bytes_max = CAROB_ENTRY_RECORD_BYTES_MAX               \
	}

/**
 * Creates the request path of one instance.
 *
 * @param out receives the request path; release it with `carob_entry_free`
 * @param options its options; all objects named there must outlive it
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_entry_new(carob_entry_t **out, const carob_entry_options_t *options);

/** Releases the request path with all flows and requests. */
void carob_entry_free(carob_entry_t *entry);

/**
 * Replaces the manifest. Idle paths to upstreams that it does not name are
 * closed.
 *
 * @param entry the request path
 * @param manifest the new manifest, of which a reference is taken
 * @return 0 or CAROB_ENOMEM
 */
int carob_entry_set_manifest(carob_entry_t *entry, carob_manifest_t *manifest);

/** Handles a packet from a caller, received at a service's address. */
void carob_entry_on_caller(carob_entry_t *entry, uint32_t service_id,
			   const carob_addr_t *caller, const carob_msg_t *msg);

/** Handles a packet from an upstream, received on a path. */
void carob_entry_on_upstream(carob_entry_t *entry, carob_upstream_id_t upstream,
			     uint32_t path, const carob_msg_t *msg);

/** Handles a packet that another instance relayed. */
void carob_entry_on_relay(carob_entry_t *entry, const carob_relay_t *relay);

/**
 * Begins a graceful stop: tokens issued from now on name the successor, so that
 * new flows begin there; callers with an observation are asked to register
 * there; and requests in progress are completed.
 *
 * @param entry the request path
 * @param successor the instance that takes over
 */
void carob_entry_drain(carob_entry_t *entry, carob_instance_id_t successor);

/** @return whether a drain has completed: no request or observation is open */
bool carob_entry_drained(const carob_entry_t *entry);

/**
 * Encodes the records of non-idempotent requests for the successor. No request
 * is accepted afterwards, since the successor would have no record of it.
 * Until membership shows that this instance has left, packets for flows owned
 * here are dropped, and their callers retransmit; after that, they are relayed
 * to the successor.
 *
 * @param out buffer to which the encoded records are appended
 * @param entry a drained request path
 * @return 0 or CAROB_ENOMEM
 */
int carob_entry_export(carob_buf_t *out, carob_entry_t *entry);

/**
 * Imports the request records of a predecessor. Non-idempotent requests with
 * its tokens are then handled here as its owner would.
 *
 * @param entry the request path
 * @param predecessor the instance that exported the records
 * @param records the records as encoded by its `carob_entry_export`
 * @return 0, or CAROB_EFORMAT or CAROB_ENOMEM with nothing taken over
 */
int carob_entry_import(carob_entry_t *entry, carob_instance_id_t predecessor,
		       carob_str_t records);

/** Counters of the request path; the last three are gauges. */
typedef struct carob_entry_counters {
	uint64_t packets_in;
	uint64_t relayed_out;
	uint64_t relayed_in;
	uint64_t tokens_refused;
	uint64_t forwarded;
	uint64_t answered;
	uint64_t cancelled_before; /* cancelled before they were forwarded */
	uint64_t cancelled_after;  /* cancelled while an upstream ran them */
	uint64_t refused_not_run;
	uint64_t outcome_unknown;
	uint64_t duplicates;
	uint64_t retries;
	uint64_t dropped;
	uint64_t feeds_opened;
	uint64_t feeds_ended;
	uint64_t feeds_open;
	uint64_t requests_open;
	uint64_t remembered; /* number of request records */
} carob_entry_counters_t;

/**
 * Returns the latencies of answered requests, in nanoseconds: from the arrival
 * of a request from the caller, at this or another instance, to its response.
 *
 * @return the histogram, borrowed from the request path
 */
const carob_histogram_t *carob_entry_latency(const carob_entry_t *entry);

/** Copies the counters. */
void carob_entry_counters(carob_entry_counters_t *out,
			  const carob_entry_t *entry);

#endif
