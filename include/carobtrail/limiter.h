/**
 * @file limiter.h
 * The adaptive limit of requests at a time on one upstream: additive increase
 * on success, multiplicative decrease on a shed or timeout (Chiu and Jain
 * 1989), never above its slots.
 */
#ifndef CAROBTRAIL_LIMITER_H
#define CAROBTRAIL_LIMITER_H

#include "carobtrail/rng.h"

/** State of one limit. */
typedef struct carob_limiter {
	double limit;
	uint32_t slots;
	uint64_t decreased_ns;
	uint32_t sheds; /* without a success in between */
	uint64_t backoff_until_ns;
} carob_limiter_t;

/** Initialises the limit at `slots`. */
void carob_limiter_init(carob_limiter_t *limiter, uint32_t slots);

/** Follows a change of the manifest's slots. */
void carob_limiter_set_slots(carob_limiter_t *limiter, uint32_t slots);

/** @return requests that may be in flight, but for backing off */
uint32_t carob_limiter_limit(const carob_limiter_t *limiter);

/** @return time for which nothing is to be sent, in nanoseconds */
uint64_t carob_limiter_backoff_ns(const carob_limiter_t *limiter,
				  uint64_t now_ns);

/** A request succeeded. */
void carob_limiter_on_success(carob_limiter_t *limiter);

/** A request timed out or failed. */
void carob_limiter_on_timeout(carob_limiter_t *limiter, uint64_t now_ns);

/**
 * The upstream shed a request.
 *
 * @param limiter the limit
 * @param now_ns the time
 * @param in_use requests that it was still running, as far as known: with any,
 *        they become the limit; with none, it gets nothing for a while, which
 *        doubles with each shed in a row
 * @param retry_after_ms when the upstream wants more, the longest pause; 0:
 *        unknown
 * @param rng jitter
 */
void carob_limiter_on_shed(carob_limiter_t *limiter, uint64_t now_ns,
			   uint32_t in_use, uint32_t retry_after_ms,
			   carob_rng_t *rng);

#endif
