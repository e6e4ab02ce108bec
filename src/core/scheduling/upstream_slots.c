#include "upstream_slots.h"

#include <math.h>

#define SLOW_START_NS	       (4 * CAROB_NS_PER_S)
#define SLOW_START_SHARE_MIN   0.2
#define MEAN_USED_SMOOTHING_NS (5.0 * CAROB_NS_PER_S)
#define REPORT_LIFETIME_NS     (2.0 * CAROB_NS_PER_S)

uint32_t carob_upstream_slots_used(const carob_upstream_slots_t *up)
{
	return up->in_flight + up->peer_load.in_flight;
}

/* Fraction of the slots that the upstream may use; below 1 in slow start. */
static double slow_start_share(const carob_upstream_slots_t *up,
			       uint64_t now_ns)
{
	uint64_t age = now_ns - up->slow_start_ns;

	if (!up->slow_start_ns || age >= SLOW_START_NS)
		return 1.0;
	return SLOW_START_SHARE_MIN +
	       (1.0 - SLOW_START_SHARE_MIN) * (double)age / SLOW_START_NS;
}

uint32_t carob_upstream_slots_capacity(const carob_upstream_slots_t *up,
				       uint64_t now_ns)
{
	uint32_t limit = carob_limiter_limit(&up->limiter);
	double allowed = ceil(up->slots * slow_start_share(up, now_ns));

	if (!up->entry || carob_upstream_health_ejected(&up->health, now_ns))
		return 0;
	if (limit > 1 && carob_upstream_health_half_open(&up->health))
		limit = 1;
	return limit < allowed ? limit : (uint32_t)allowed;
}

uint32_t carob_upstream_slots_limit(const carob_upstream_slots_t *up,
				    uint64_t now_ns)
{
	if (carob_limiter_backoff_ns(&up->limiter, now_ns) > 0)
		return 0;
	return carob_upstream_slots_capacity(up, now_ns);
}

bool carob_upstream_slots_has_room(const carob_upstream_slots_t *up,
				   carob_work_kind_t kind, uint64_t now_ns)
{
	if (kind == CAROB_WORK_FEED)
		return carob_upstream_slots_capacity(up, now_ns) > 0 &&
		       up->feeds + up->peer_load.feeds < up->connections;
	return carob_upstream_slots_used(up) <
	       carob_upstream_slots_limit(up, now_ns);
}

void carob_upstream_slots_begin_slow_start(carob_upstream_slots_t *up,
					   uint64_t now_ns)
{
	up->slow_start_ns = now_ns ? now_ns : 1;
}

double carob_upstream_slots_mean_used(const carob_upstream_slots_t *up,
				      uint64_t now_ns)
{
	double weight = exp(-(double)(now_ns - up->mean_used_ns) /
			    MEAN_USED_SMOOTHING_NS);
	double used = carob_upstream_slots_used(up);

	return up->mean_used * weight + used * (1.0 - weight);
}

static void update_mean_used(carob_upstream_slots_t *up, uint64_t now_ns)
{
	up->mean_used = carob_upstream_slots_mean_used(up, now_ns);
	up->mean_used_ns = now_ns;
}

void carob_upstream_slots_acquire(carob_upstream_slots_t *up,
				  carob_work_kind_t kind, uint64_t now_ns)
{
	update_mean_used(up, now_ns);
	if (kind == CAROB_WORK_FEED)
		up->feeds++;
	else
		up->in_flight++;
}

void carob_upstream_slots_release(carob_upstream_slots_t *up,
				  carob_work_kind_t kind, uint64_t now_ns)
{
	update_mean_used(up, now_ns);
	if (kind == CAROB_WORK_FEED)
		up->feeds--;
	else
		up->in_flight--;
}

void carob_upstream_slots_on_report(carob_upstream_slots_t *up,
				    const carob_load_report_t *report,
				    uint64_t now_ns)
{
	uint32_t used = carob_upstream_slots_used(up);
	uint64_t age = (uint64_t)report->age_ms * CAROB_NS_PER_MS;

	up->health.probed_unhealthy = !report->healthy;
	up->reported_extra = report->in_use > used ? report->in_use - used : 0;
	if (up->reported_extra > up->slots)
		up->reported_extra = up->slots;
	up->reported_ns = age < now_ns ? now_ns - age : 0;
}

double carob_upstream_slots_reported_extra(const carob_upstream_slots_t *up,
					   uint64_t now_ns)
{
	double age = (double)(now_ns - up->reported_ns);

	if (age >= REPORT_LIFETIME_NS)
		return 0.0;
	return up->reported_extra * (1.0 - age / REPORT_LIFETIME_NS);
}
