/**
 * @file upstream_health.h
 * Whether one upstream may be given work, judged first by what became of the
 * work it was given. Consecutive failures eject it for a growing, jittered
 * time; then one request at a time tries it until one succeeds.
 */
#ifndef CAROBTRAIL_UPSTREAM_HEALTH_H
#define CAROBTRAIL_UPSTREAM_HEALTH_H

#include "carobtrail/rng.h"

/** Health of one upstream. */
typedef struct carob_upstream_health {
	uint32_t failures;  /* consecutive */
	uint32_t ejections; /* consecutive */
	uint64_t ejected_until_ns;
	uint64_t succeeded_ns;
	bool probed_unhealthy; /* the last report says so; a hint */
} carob_upstream_health_t;

/** @return whether it gets nothing at all now */
bool carob_upstream_health_ejected(const carob_upstream_health_t *health,
				   uint64_t now_ns);

/** @return whether it gets one request at a time, as a trial */
bool carob_upstream_health_on_trial(const carob_upstream_health_t *health);

/** A request succeeded. @return whether that ended an ejection */
bool carob_upstream_health_on_success(carob_upstream_health_t *health,
				      uint64_t now_ns);

/** A request timed out or failed. */
void carob_upstream_health_on_failure(carob_upstream_health_t *health,
				      uint64_t now_ns, carob_rng_t *rng);

#endif
