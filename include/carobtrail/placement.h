/**
 * @file placement.h
 * Chooses the upstream for a new flow.
 *
 * The load of an upstream is the load that this instance puts on it: the
 * requests in progress on the flows that it steers there, plus a fraction of a
 * request for each open flow that is idle. The upstream with the least load
 * per slot is chosen, with these exceptions:
 *
 * - An upstream of another availability zone is chosen only if its load per
 *   slot is lower by a margin.
 * - A cold upstream, which is in its slow start, is counted with fewer slots.
 * - An upstream that the failure detector (failure_detector.h) avoids, because
 *   it has left SYNs or requests unanswered, is chosen only if there is no
 *   other. Among the others, one whose entry has lapsed is chosen only if none
 *   is ready.
 * - An ejected upstream (outlier_detector.h) is chosen only if there is no
 *   other, or for a trial: one in so many flows, by the hash of the flow, is
 *   placed without regard to the ejection if its requests may be repeated.
 * - An upstream that may not receive a new flow now (pace.h) is passed over,
 *   unless the flow's SYN was sent to it before (`except`).
 *
 * With a view (load_view.h) the load is that of all instances, and the choice
 * has two steps, both by the hash of the flow:
 *
 * - The own zone is chosen while it has free slots. When its requests wait
 *   longer than those of another zone, a share of the flows goes there, which
 *   grows until both wait alike. A zone in which several upstreams leave SYNs
 *   unanswered and none answers gets a few flows only.
 * - Of two upstreams of the zone, the one with less load per slot is chosen.
 *   Late or missing responses make an upstream cost more.
 *
 * When the view has expired, the load of this instance times the number of
 * instances of its zone stands for the load of all, as long as that is known.
 */
#ifndef CAROBTRAIL_PLACEMENT_H
#define CAROBTRAIL_PLACEMENT_H

#include "carobtrail/load_view.h"
#include "carobtrail/upstream_table.h"

/** A flow to place. */
typedef struct carob_placement_query {
	carob_name_id_t service;
	carob_name_id_t home_zone;
	uint64_t flow_hash; /* decides between equal upstreams */
	/** Upstream that was just tried, or CAROB_UPSTREAM_NONE. */
	carob_upstream_index_t except;
	/** The caller may not repeat the requests: no trial of an upstream. */
	bool once;
	uint64_t now_ns;
	const carob_load_view_t *view; /* NULL: load is not shared */
} carob_placement_query_t;

/**
 * Chooses an upstream.
 *
 * @param table the upstreams
 * @param query the flow
 * @return the index of the upstream, or CAROB_UPSTREAM_NONE if the service has
 *         none that accepts flows now. `except` is returned only if no other
 *         upstream accepts flows.
 */
carob_upstream_index_t
carob_placement_choose(const carob_upstream_table_t *table,
		       const carob_placement_query_t *query);

#endif
