/**
 * @file placing_ways.h
 * Placement policies for new flows that bench-placing compares.
 */
#ifndef CAROB_BENCH_PLACING_WAYS_H
#define CAROB_BENCH_PLACING_WAYS_H

#include "carobtrail/placement.h"

/** A policy. All policies decide from the upstream table of one instance. */
typedef struct placement_policy {
	const char *name;
	bool uses_admission; /* admission control may refuse new flows */
	/** As `carob_placement_choose`. */
	carob_upstream_index_t (*choose)(const carob_upstream_table_t *table,
					 const carob_placement_query_t *query);
} placement_policy_t;

#define PLACEMENT_POLICIES 6

/** The policies; the first one is that of carob-flowd. */
extern const placement_policy_t placement_policies[PLACEMENT_POLICIES];

#endif
