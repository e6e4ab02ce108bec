#include "upstream_health.h"

#define FAILURES_TO_EJECT      3
#define EJECTION_MIN_MS	       500
#define EJECTION_DOUBLINGS_MAX 5
#define EJECTION_JITTER	       0.25

bool carob_upstream_health_ejected(const carob_upstream_health_t *health,
				   uint64_t now_ns)
{
	return now_ns < health->ejected_until_ns;
}

bool carob_upstream_health_half_open(const carob_upstream_health_t *health)
{
	return health->ejections > 0;
}

bool carob_upstream_health_on_success(carob_upstream_health_t *health,
				      uint64_t now_ns)
{
	bool was_ejected = health->ejections > 0;

	health->failures = 0;
	health->ejections = 0;
	health->ejected_until_ns = 0;
	health->succeeded_ns = now_ns;
	return was_ejected;
}

static void eject(carob_upstream_health_t *health, uint64_t now_ns,
		  carob_rng_t *rng)
{
	uint32_t doublings = health->ejections;
	double ms;

	if (doublings > EJECTION_DOUBLINGS_MAX)
		doublings = EJECTION_DOUBLINGS_MAX;
	ms = EJECTION_MIN_MS * (double)(1U << doublings);
	ms *= 1.0 + EJECTION_JITTER * (2.0 * carob_rng_unit(rng) - 1.0);
	health->ejected_until_ns = now_ns + (uint64_t)(ms * CAROB_NS_PER_MS);
	health->ejections++;
	health->failures = 0;
}

void carob_upstream_health_on_failure(carob_upstream_health_t *health,
				      uint64_t now_ns, carob_rng_t *rng)
{
	if (carob_upstream_health_ejected(health, now_ns))
		return;
	health->failures++;
	if (health->ejections > 0 || health->failures >= FAILURES_TO_EJECT)
		eject(health, now_ns, rng);
}
