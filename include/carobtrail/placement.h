/**
 * @file placement.h
 * Which upstream gets a new flow.
 *
 * The load that counts is this instance's own: requests in progress on the
 * flows that it steers, and a fraction of a request for each open flow that
 * is idle. The upstream with the least load for each slot wins; an upstream
 * of another availability zone has to be ahead by a margin, a cold one counts
 * as having fewer slots, and one that lately left SYNs unanswered is passed
 * over while others are left.
 */
#ifndef CAROBTRAIL_PLACEMENT_H
#define CAROBTRAIL_PLACEMENT_H

#include "carobtrail/upstream_table.h"

/** What is asked for. */
typedef struct carob_placement_query {
	carob_name_id_t service;
	carob_name_id_t home_zone;
	uint64_t flow_hash;	       /* spreads flows over equal upstreams */
	carob_upstream_index_t except; /* just tried; CAROB_UPSTREAM_NONE */
	uint64_t now_ns;
} carob_placement_query_t;

/**
 * Chooses an upstream.
 *
 * @param table the upstreams
 * @param query what is asked for
 * @return its index, or CAROB_UPSTREAM_NONE if the service has none that
 *         accepts flows; `except` only if there is no other
 */
carob_upstream_index_t
carob_placement_choose(const carob_upstream_table_t *table,
		       const carob_placement_query_t *query);

#endif
