/**
 * @file placing_ways.h
 * Ways of placing new flows that bench-placing compares.
 */
#ifndef CAROB_BENCH_PLACING_WAYS_H
#define CAROB_BENCH_PLACING_WAYS_H

#include "carobtrail/placement.h"

/** One way; all see the same: the upstreams as one instance knows them. */
typedef struct placing_way {
	const char *name;
	bool refuses; /* asks the product's admission first */
	/** As `carob_placement_choose`. */
	carob_upstream_index_t (*choose)(const carob_upstream_table_t *table,
					 const carob_placement_query_t *query);
} placing_way_t;

#define PLACING_WAYS 6

/** The ways; the first is what the product does. */
extern const placing_way_t placing_ways[PLACING_WAYS];

#endif
