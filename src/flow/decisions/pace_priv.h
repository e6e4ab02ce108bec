/**
 * @file pace_priv.h
 * Declarations shared by the source files of the pace: shares and ramps
 * (pace.c) and the bound on new flows to cold upstreams (pace_bound.c).
 */
#ifndef CAROB_FLOW_DECISIONS_PACE_PRIV_H
#define CAROB_FLOW_DECISIONS_PACE_PRIV_H

#include "carobtrail/pace.h"

/**
 * @return the number of instances that may send to a cold upstream: those of
 *         its zone
 */
double carob_pace_count_instances(carob_pace_t *pace,
				  const carob_load_view_t *view,
				  uint64_t now_ns);

/**
 * Sets the windows of this instance so that those of all instances keep the
 * bound. Only the instances of the upstream's zone have any: their number is
 * lower than that of all, so each of them may send more. With few instances no
 * phase can break the bound: each has at most one window more in a second than
 * its period allows.
 *
 * @param pace the pace
 * @param state the state of the upstream
 * @param cold_per_s the stated rate, above 0
 * @param home whether the upstream is in the zone of the instance
 * @param now_ns monotonic time
 */
void carob_pace_set_windows(carob_pace_t *pace, carob_upstream_pace_t *state,
			    double cold_per_s, bool home, uint64_t now_ns);

/** @return whether one of the windows is open and was not used */
bool carob_pace_window_is_open(const carob_upstream_pace_t *state,
			       uint64_t now_ns);

#endif
