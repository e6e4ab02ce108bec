/**
 * @file limiter.h
 * Adaptive concurrency limit of one upstream or one service: additive increase
 * on success, multiplicative decrease when a request is shed or times out
 * (Chiu and Jain 1989). The limit never exceeds the slots.
 */
#ifndef CAROBTRAIL_LIMITER_H
#define CAROBTRAIL_LIMITER_H

#include "carobtrail/rng.h"

/** State of one limit. */
typedef struct carob_limiter {
	double limit;
	uint32_t slots;
	uint64_t decreased_ns;
	uint32_t sheds; /* sheds with a backoff since the last success */
	uint64_t backoff_until_ns;
} carob_limiter_t;

/** Initialises the limit to `slots`. */
void carob_limiter_init(carob_limiter_t *limiter, uint32_t slots);

/**
 * Changes the number of slots. A limit that had reached the old number, or is
 * above the new one, is set to the new one.
 */
void carob_limiter_set_slots(carob_limiter_t *limiter, uint32_t slots);

/** @return how many requests may be in flight, regardless of a backoff */
uint32_t carob_limiter_limit(const carob_limiter_t *limiter);

/** @return time until the end of the backoff, in nanoseconds; 0: none */
uint64_t carob_limiter_backoff_ns(const carob_limiter_t *limiter,
				  uint64_t now_ns);

/** Increases the limit after a request that succeeded. */
void carob_limiter_on_success(carob_limiter_t *limiter);

/** Decreases the limit after a request that timed out or failed. */
void carob_limiter_on_timeout(carob_limiter_t *limiter, uint64_t now_ns);

/**
 * Decreases the limit after the upstream shed a request.
 *
 * @param limiter the limit
 * @param now_ns monotonic time, in nanoseconds
 * @param in_use requests that are known to run on the upstream. If there are
 *        any, their number becomes the limit when it is lower; if there are
 *        none, a backoff begins, which doubles with each shed until a request
 *        succeeds.
 * @param retry_after_ms time after which the upstream accepts requests again,
 *        according to its response; bounds the backoff; 0: unknown
 * @param rng source of the jitter
 */
void carob_limiter_on_shed(carob_limiter_t *limiter, uint64_t now_ns,
			   uint32_t in_use, uint32_t retry_after_ms,
			   carob_rng_t *rng);

#endif
