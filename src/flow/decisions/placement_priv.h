/**
 * @file placement_priv.h
 * Declarations shared by the ways of placing flows: by the load of this
 * instance (placement.c) and by the load of all (shared_placement.c).
 */
#ifndef CAROB_FLOW_DECISIONS_PLACEMENT_PRIV_H
#define CAROB_FLOW_DECISIONS_PLACEMENT_PRIV_H

#include "carobtrail/placement.h"

/**
 * Ranks up to this one last for seconds at least, so that the rank of a zone
 * may be measured now and then. Higher ones may change with each flow.
 */
#define CAROB_PLACEMENT_STEADY_RANK 1

/** Rank of an upstream that cannot be chosen; higher than all others. */
#define CAROB_PLACEMENT_UNUSABLE 100

/**
 * @return the rank of an upstream: one is chosen only if there is none with a
 *         lower rank. 0 is the best; CAROB_PLACEMENT_UNUSABLE is never chosen.
 */
int carob_placement_rank(const carob_upstream_t *upstream,
			 carob_upstream_index_t index,
			 const carob_placement_query_t *query);

/** @return whether a flow is placed without regard to a silent zone, so that
 * its recovery is noticed */
bool carob_placement_seeks_recovery(const carob_placement_query_t *query);

/** @return whether a flow is placed without regard to late and failed
 * responses; its requests may be repeated */
bool carob_placement_is_trial(const carob_placement_query_t *query);

/** @return the load of the idle flows of this instance, in requests */
double carob_placement_idle_load(const carob_upstream_t *upstream);

/** @return whether the load of all, or an estimate of it, is known */
bool carob_placement_is_shared(const carob_placement_query_t *query);

/** As `carob_placement_choose`, by the load of all. */
carob_upstream_index_t
carob_placement_choose_shared(const carob_upstream_table_t *table,
			      const carob_placement_query_t *query);

#endif
