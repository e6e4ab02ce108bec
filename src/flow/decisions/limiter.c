#include "carobtrail/limiter.h"

#define LIMIT_MIN	      1.0
#define LIMIT_DECREASE_FACTOR 0.7
#define LIMIT_INCREASE	      0.25 /* in requests, per success */
#define DECREASE_INTERVAL_NS  (100 * CAROB_NS_PER_MS)
#define BACKOFF_FIRST_MS      50
#define BACKOFF_DEFAULT_MS    1000
#define BACKOFF_DOUBLINGS_MAX 10
#define BACKOFF_JITTER	      0.25

void carob_limiter_init(carob_limiter_t *limiter, uint32_t slots)
{
	*limiter = (carob_limiter_t){.limit = slots, .slots = slots};
}

void carob_limiter_set_slots(carob_limiter_t *limiter, uint32_t slots)
{
	if (limiter->limit >= limiter->slots || limiter->limit > slots)
		limiter->limit = slots;
	limiter->slots = slots;
}

uint32_t carob_limiter_limit(const carob_limiter_t *limiter)
{
	return (uint32_t)limiter->limit;
}

uint64_t carob_limiter_backoff_ns(const carob_limiter_t *limiter,
				  uint64_t now_ns)
{
	if (now_ns >= limiter->backoff_until_ns)
		return 0;
	return limiter->backoff_until_ns - now_ns;
}

static void set_limit(carob_limiter_t *limiter, double limit)
{
	if (limit < LIMIT_MIN)
		limit = LIMIT_MIN;
	if (limit > limiter->slots)
		limit = limiter->slots;
	limiter->limit = limit;
}

void carob_limiter_on_success(carob_limiter_t *limiter)
{
	limiter->sheds = 0;
	set_limit(limiter, limiter->limit + LIMIT_INCREASE);
}

/* Limits the rate of decreases: a burst of sheds and timeouts that stem from
 * one overload decreases the limit once. */
static bool may_decrease(carob_limiter_t *limiter, uint64_t now_ns)
{
	if (limiter->decreased_ns &&
	    now_ns - limiter->decreased_ns < DECREASE_INTERVAL_NS)
		return false;
	limiter->decreased_ns = now_ns;
	return true;
}

void carob_limiter_on_timeout(carob_limiter_t *limiter, uint64_t now_ns)
{
	if (may_decrease(limiter, now_ns))
		set_limit(limiter, limiter->limit * LIMIT_DECREASE_FACTOR);
}

/*
 * Begins a backoff. The first shed may be due to requests of another instance
 * which are not known here yet and may soon be done. The backoff therefore
 * starts short and doubles up to the time that the upstream asks for.
 */
static void back_off(carob_limiter_t *limiter, uint64_t now_ns,
		     uint32_t retry_after_ms, carob_rng_t *rng)
{
	uint32_t doublings = limiter->sheds;
	double longest = retry_after_ms ? retry_after_ms : BACKOFF_DEFAULT_MS;
	double ms;

	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	ms = BACKOFF_FIRST_MS * (double)(1U << doublings);
	if (ms > longest)
		ms = longest;
	ms *= 1.0 + BACKOFF_JITTER * carob_rng_unit(rng);
	limiter->backoff_until_ns = now_ns + (uint64_t)(ms * CAROB_NS_PER_MS);
	limiter->sheds++;
}

void carob_limiter_on_shed(carob_limiter_t *limiter, uint64_t now_ns,
			   uint32_t in_use, uint32_t retry_after_ms,
			   carob_rng_t *rng)
{
	if (in_use == 0)
		back_off(limiter, now_ns, retry_after_ms, rng);
	if (in_use > 0 && in_use < limiter->limit)
		set_limit(limiter, in_use);
	else if (may_decrease(limiter, now_ns))
		set_limit(limiter, limiter->limit * LIMIT_DECREASE_FACTOR);
}
