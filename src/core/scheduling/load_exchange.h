/**
 * @file load_exchange.h
 * Tells the peers that schedule the same services how much load there is
 * here. Sent when it changed, as often as a budget of bytes allows.
 */
#ifndef CAROB_CORE_LOAD_EXCHANGE_H
#define CAROB_CORE_LOAD_EXCHANGE_H

#include "carobtrail/cluster_host.h"
#include "carobtrail/rng.h"

/** Most peers that are told in one round. */
#define CAROB_LOAD_PEERS_MAX 8

typedef struct carob_load_exchange carob_load_exchange_t;

/** Counters; all only grow. */
typedef struct carob_load_exchange_counters {
	uint64_t rounds;
	uint64_t postponed; /* rounds for which the budget was short */
} carob_load_exchange_counters_t;

/** Creates it. @return 0 or CAROB_ENOMEM */
int carob_load_exchange_new(carob_load_exchange_t **out, carob_kernel_t *kernel,
			    const carob_membership_t *membership,
			    carob_control_port_t *port,
			    carob_cluster_host_t *host, uint64_t seed);

/** Releases it. */
void carob_load_exchange_free(carob_load_exchange_t *exchange);

/** Begins to send. @return 0 or CAROB_ENOMEM */
int carob_load_exchange_start(carob_load_exchange_t *exchange);

/** Copies the counters. */
void carob_load_exchange_counters(carob_load_exchange_counters_t *out,
				  const carob_load_exchange_t *exchange);

#endif
