/**
 * @file load_meter.h
 * Measures the load that this instance puts on one upstream, for reports to the
 * other instances: the time average of the requests in progress, with a tenth
 * of a request for each idle open flow, and the share of responses that were
 * late, missing or failed. The state stands with the upstream (`meter` in
 * upstream_table.h).
 */
#ifndef CAROBTRAIL_LOAD_METER_H
#define CAROBTRAIL_LOAD_METER_H

#include "carobtrail/load_report.h"
#include "carobtrail/upstream_table.h"

/** Load units of a request in progress; an idle open flow counts 1. */
#define CAROB_LOAD_UNITS 10

/** Counts the load up to now; call it before the counts of flows change. */
static inline void carob_load_meter_advance(carob_upstream_t *upstream,
					    uint64_t now_ns)
{
	uint64_t units = (CAROB_LOAD_UNITS - 1) * (uint64_t)upstream->pending +
			 upstream->open_flows;

	upstream->meter.area +=
		(int64_t)(units * (now_ns - upstream->meter.updated_ns));
	upstream->meter.updated_ns = now_ns;
}

/** Counts a response, or a request that was repeated without one as late. */
static inline void carob_load_meter_record(carob_upstream_t *upstream,
					   bool late)
{
	upstream->meter.answered += 1.0F;
	if (late)
		upstream->meter.late += 1.0F;
}

/** Marks a response that was counted in time as failed: as one that is missing.
 */
static inline void carob_load_meter_record_failure(carob_upstream_t *upstream)
{
	upstream->meter.late += 1.0F;
	if (upstream->meter.late > upstream->meter.answered)
		upstream->meter.late = upstream->meter.answered;
}

/** @return whether enough responses are remembered for their share of late ones
 */
bool carob_load_meter_is_known(const carob_upstream_t *upstream);

/** Lets the responses fade that were counted before, by the time since the last
 * call. */
void carob_load_meter_fade(carob_upstream_t *upstream, uint64_t now_ns);

/**
 * Takes the measured load and begins the next period. What is below a step of
 * the result is kept for the next period, so that small loads are right in the
 * mean.
 *
 * @param upstream the upstream
 * @param window_ns length of the period, not 0
 * @param seed differs between instances, so that their steps do not coincide
 * @param now_ns monotonic time, the end of the period
 * @return the load
 */
carob_load_entry_t carob_load_meter_take(carob_upstream_t *upstream,
					 uint64_t window_ns, uint64_t seed,
					 uint64_t now_ns);

#endif
