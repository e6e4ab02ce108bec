/**
 * @file load_view.h
 * What an instance knows of the load that the other instances put on the
 * upstreams: when it learned it and how many instances there are. The load
 * itself stands with each upstream (`others_load` in upstream_table.h).
 *
 * A view is soft state. Once it has expired, decisions use the load of this
 * instance alone, scaled by the last known number of instances.
 */
#ifndef CAROBTRAIL_LOAD_VIEW_H
#define CAROBTRAIL_LOAD_VIEW_H

#include "carobtrail/clock.h"

#include <stdbool.h>

/** A view; zero-initialise it: nothing is known then. */
typedef struct carob_load_view {
	/** Instances of the own zone, this one included; 0: unknown. */
	uint32_t zone_instances;
	/** Instances of all zones, this one included; 0: unknown. */
	uint32_t all_instances;
	uint64_t updated_ns; /* monotonic time of the last update */
	uint64_t expires_ns; /* the load of others is not used after it */
	/** The numbers of instances are not used after it. */
	uint64_t counts_expire_ns;
} carob_load_view_t;

/**
 * @param view the view, or NULL if load is not shared
 * @param now_ns monotonic time
 * @return whether the load of other instances may be used
 */
static inline bool carob_load_view_is_fresh(const carob_load_view_t *view,
					    uint64_t now_ns)
{
	return view && view->updated_ns != 0 && now_ns < view->expires_ns;
}

/**
 * @param view the view, or NULL if load is not shared
 * @param now_ns monotonic time
 * @return the number of instances of the own zone, or 0 if it is not known
 */
static inline uint32_t
carob_load_view_zone_instances(const carob_load_view_t *view, uint64_t now_ns)
{
	return view && now_ns < view->counts_expire_ns ? view->zone_instances
						       : 0;
}

/**
 * @param view the view, or NULL if load is not shared
 * @param now_ns monotonic time
 * @return the number of instances of all zones, or 0 if it is not known
 */
static inline uint32_t
carob_load_view_all_instances(const carob_load_view_t *view, uint64_t now_ns)
{
	return view && now_ns < view->counts_expire_ns ? view->all_instances
						       : 0;
}

#endif
