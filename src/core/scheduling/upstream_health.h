/**
 * @file upstream_health.h
 * Passive health check of one upstream, based on the outcome of its requests.
 * Consecutive failures eject the upstream for a time that grows with each
 * ejection and is jittered. After an ejection the upstream is half open, as a
 * circuit breaker: it gets one request at a time until one succeeds.
 */
#ifndef CAROBTRAIL_UPSTREAM_HEALTH_H
#define CAROBTRAIL_UPSTREAM_HEALTH_H

#include "carobtrail/rng.h"

/** Health of one upstream. */
typedef struct carob_upstream_health {
	uint32_t failures;  /* consecutive failures */
	uint32_t ejections; /* consecutive ejections */
	uint64_t ejected_until_ns;
	uint64_t succeeded_ns; /* time of the last success */
	/** The last probe found it unhealthy; used only to rank upstreams. */
	bool probed_unhealthy;
} carob_upstream_health_t;

/** @return whether the upstream is ejected and gets no requests now */
bool carob_upstream_health_ejected(const carob_upstream_health_t *health,
				   uint64_t now_ns);

/**
 * @return whether no request has succeeded since the last ejection, so that
 *         the upstream gets at most one request at a time
 */
bool carob_upstream_health_half_open(const carob_upstream_health_t *health);

/**
 * Records a request that succeeded.
 *
 * @return whether the upstream was ejected or half open before
 */
bool carob_upstream_health_on_success(carob_upstream_health_t *health,
				      uint64_t now_ns);

/** Records a request that timed out or failed. */
void carob_upstream_health_on_failure(carob_upstream_health_t *health,
				      uint64_t now_ns, carob_rng_t *rng);

#endif
