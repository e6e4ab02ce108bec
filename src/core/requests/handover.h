/**
 * @file handover.h
 * The graceful stop of an instance towards the others, and the other side of
 * it. The leaving instance names a successor, waits until its request path
 * has drained, sends it the memory of non-idempotent requests in acknowledged
 * parts, and says LEFT.
 *
 * Once the last part is on its way the successor is never changed: it may
 * have taken over without its answer getting through, and two instances that
 * honour the same tokens could run a request twice. Naming a successor that
 * did not take over is safe, since it refuses those tokens.
 */
#ifndef CAROB_CORE_HANDOVER_H
#define CAROB_CORE_HANDOVER_H

#include "carobtrail/cluster_host.h"
#include "carobtrail/gossip.h"

typedef struct carob_handover carob_handover_t;

/** Largest memory that is taken over, in bytes. */
#define CAROB_HANDOVER_BYTES_MAX (16 * 1024 * 1024)

/** What it works with. */
typedef struct carob_handover_options {
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_gossip_t *gossip;
	carob_control_port_t *port;
	carob_cluster_host_t *host;
	carob_cluster_mutation_t mutation;
} carob_handover_options_t;

/** Counters; all only grow. */
typedef struct carob_handover_counters {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t taken_over; /* memories of predecessors */
	uint64_t refused;    /* messages that made no sense here */
	uint64_t successors; /* chosen */
} carob_handover_counters_t;

/** Creates it. @return 0 or CAROB_ENOMEM */
int carob_handover_new(carob_handover_t **out,
		       const carob_handover_options_t *options);

/** Releases it. */
void carob_handover_free(carob_handover_t *handover);

/** Begins the graceful stop; nothing happens if it has begun. */
void carob_handover_begin(carob_handover_t *handover);

/** @return whether the graceful stop is complete */
bool carob_handover_complete(const carob_handover_t *handover);

/** A message of type CAROB_CONTROL_MEMORY_* arrived. */
void carob_handover_on_message(carob_handover_t *handover,
			       const carob_control_msg_t *msg);

/** Copies the counters. */
void carob_handover_counters(carob_handover_counters_t *out,
			     const carob_handover_t *handover);

#endif
