/**
 * @file outlier_detector.h
 * Outlier detection: finds upstreams that answer, and yet fail much more of
 * their requests than the others of their service and zone. Such an upstream is
 * ejected: new flows are placed on others. Open flows stay.
 *
 * The evidence is the share of its responses that were late, missing or failed
 * (load_meter.h): of all other instances while their reports are fresh,
 * otherwise of this instance alone. It is compared with the lower quartile of
 * the group, so that of upstreams that all fail alike none is ejected: in an
 * overload, or when their zone is cut off. At most half of a group is ejected.
 *
 * Ejected upstreams get trial flows, one in so many flows whose requests may be
 * repeated (placement.h). An upstream returns when its share has fallen, or
 * when nothing has been known of it for a time that doubles with each ejection
 * in a row.
 */
#ifndef CAROBTRAIL_OUTLIER_DETECTOR_H
#define CAROBTRAIL_OUTLIER_DETECTOR_H

#include "carobtrail/load_view.h"
#include "carobtrail/upstream_table.h"

/** State and counters; zero-initialise it. */
typedef struct carob_outlier_detector {
	uint64_t next_update_ns;
	uint32_t ejected; /* upstreams that are ejected now */
	uint32_t failing; /* of these, those that fail most requests */
	uint64_t ejections;
	uint64_t returns;
} carob_outlier_detector_t;

/**
 * @return whether an upstream is in a group that is overloaded, or was until a
 *         moment ago: what is late there says nothing about the upstream
 */
bool carob_outlier_detector_is_overloaded(const carob_upstream_table_t *table,
					  const carob_upstream_t *upstream,
					  uint64_t now_ns);

/**
 * Ejects upstreams and takes them back. Call it before each placement; it does
 * nothing if it has looked at the upstreams a moment ago.
 *
 * @param detector the detector
 * @param table the upstreams
 * @param view the load of other instances, or NULL if load is not shared
 * @param now_ns monotonic time
 */
void carob_outlier_detector_update(carob_outlier_detector_t *detector,
				   carob_upstream_table_t *table,
				   const carob_load_view_t *view,
				   uint64_t now_ns);

#endif
