/**
 * @file placing_ways.h
 * Placement policies for new flows that bench-placing compares.
 */
#ifndef CAROB_BENCH_PLACING_WAYS_H
#define CAROB_BENCH_PLACING_WAYS_H

#include "carobtrail/placement.h"

/** A policy. All policies decide from the upstream table of one instance. */
typedef struct placing_way {
	const char *name;
	bool refuses; /* new flows pass through the admission control first */
	/** As `carob_placement_choose`. */
	carob_upstream_index_t (*choose)(const carob_upstream_table_t *table,
					 const carob_placement_query_t *query);
} placing_way_t;

#define PLACING_WAYS 6

/** The policies; the first one is that of carob-flowd. */
extern const placing_way_t placing_ways[PLACING_WAYS];

#endif
