/**
 * @file handover.h
 * The handover of an instance's requests to a successor when it stops
 * gracefully, for both the leaving instance and the successor. The leaving
 * instance announces a successor, waits until its request path has drained,
 * sends the successor its records of non-idempotent requests in acknowledged
 * parts, and then announces that it has left (CAROB_MEMBER_LEFT).
 *
 * Once the last part has been sent, the successor is never changed: it may
 * have taken over although its acknowledgement was lost, and two instances
 * that accept the same tokens could run a request twice. Announcing a
 * successor that did not take over is safe, because it refuses those tokens.
 */
#ifndef CAROB_CORE_HANDOVER_H
#define CAROB_CORE_HANDOVER_H

#include "carobtrail/cluster_host.h"
#include "carobtrail/gossip.h"

typedef struct carob_handover carob_handover_t;

/** Maximum size of the request records that a successor accepts, in bytes. */
#define CAROB_HANDOVER_BYTES_MAX (16 * 1024 * 1024)

/** Options of `carob_handover_new`; all objects must outlive the handover. */
typedef struct carob_handover_options {
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_gossip_t *gossip;
	carob_control_port_t *port;
	carob_cluster_host_t *host;
	carob_cluster_mutation_t mutation;
} carob_handover_options_t;

/** Monotonic counters of both sides of handovers. */
typedef struct carob_handover_counters {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t taken_over; /* acknowledgements of a completed takeover */
	uint64_t refused;    /* messages that could not be accepted */
	uint64_t successors; /* successors chosen */
} carob_handover_counters_t;

/**
 * Creates the handover state of an instance.
 *
 * @param out receives the handover state; release it with
 *        `carob_handover_free`
 * @param options the objects that it uses
 * @return 0 or CAROB_ENOMEM
 */
int carob_handover_new(carob_handover_t **out,
		       const carob_handover_options_t *options);

/** Releases the handover state; NULL is allowed. */
void carob_handover_free(carob_handover_t *handover);

/** Begins the graceful stop; does nothing if it has already begun. */
void carob_handover_begin(carob_handover_t *handover);

/** @return whether the graceful stop is complete */
bool carob_handover_complete(const carob_handover_t *handover);

/** Handles a received message of type CAROB_CONTROL_RECORDS_*. */
void carob_handover_on_message(carob_handover_t *handover,
			       const carob_control_msg_t *msg);

/** Copies the counters. */
void carob_handover_counters(carob_handover_counters_t *out,
			     const carob_handover_t *handover);

#endif
