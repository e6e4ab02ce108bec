/**
 * @file load_exchange.h
 * Sends the load summaries of this instance to its peers. Changed summaries
 * are sent as often as a byte budget allows, unchanged ones at a fixed
 * interval.
 */
#ifndef CAROB_CORE_LOAD_EXCHANGE_H
#define CAROB_CORE_LOAD_EXCHANGE_H

#include "carobtrail/cluster_host.h"
#include "carobtrail/rng.h"

/** Maximum number of peers that receive the summaries of one round. */
#define CAROB_LOAD_PEERS_MAX 8

typedef struct carob_load_exchange carob_load_exchange_t;

/** Counters; they never decrease. */
typedef struct carob_load_exchange_counters {
	uint64_t rounds;    /* rounds sent */
	uint64_t postponed; /* rounds postponed because the budget was used up */
} carob_load_exchange_counters_t;

/**
 * Creates a load exchange.
 *
 * @param out receives the exchange; release it with `carob_load_exchange_free`
 * @param kernel clock and timers
 * @param membership the membership; chooses the receivers
 * @param port sends the messages
 * @param host writes the summaries
 * @param seed seed of the random choice of receivers
 * @return 0 or CAROB_ENOMEM
 */
int carob_load_exchange_new(carob_load_exchange_t **out, carob_kernel_t *kernel,
			    const carob_membership_t *membership,
			    carob_control_port_t *port,
			    carob_cluster_host_t *host, uint64_t seed);

/** Releases the exchange. */
void carob_load_exchange_free(carob_load_exchange_t *exchange);

/**
 * Starts sending. Does nothing if the host writes no summaries.
 *
 * @return 0 or CAROB_ENOMEM
 */
int carob_load_exchange_start(carob_load_exchange_t *exchange);

/** Copies the counters. */
void carob_load_exchange_counters(carob_load_exchange_counters_t *out,
				  const carob_load_exchange_t *exchange);

#endif
