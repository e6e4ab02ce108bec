#include "carobtrail/load_meter.h"

#include "carobtrail/rng.h"

#include <math.h>

/* Memory of late responses: an instance of a large zone sees less than one
 * response per second from one upstream. */
#define LATE_MEMORY_NS (2.0 * CAROB_NS_PER_S)
/* The same of an ejected upstream, so that it is back at its share 2 s after it
 * has recovered. */
#define EJECTED_MEMORY_NS (1.2 * CAROB_NS_PER_S)
/* With less than this of a response in memory, the share is not known: 2.4 s
 * after a single one. */
#define ANSWERS_MIN 0.3F
#define UNIT_BITS   53

bool carob_load_meter_is_known(const carob_upstream_t *upstream)
{
	return upstream->meter.answered >= ANSWERS_MIN;
}

void carob_load_meter_fade(carob_upstream_t *upstream, uint64_t now_ns)
{
	carob_upstream_meter_t *meter = &upstream->meter;
	double passed_ns = (double)(now_ns - meter->faded_ns);
	double memory_ns = upstream->outlier.ejected ? EJECTED_MEMORY_NS
						     : LATE_MEMORY_NS;
	float kept = (float)exp(-passed_ns / memory_ns);

	meter->faded_ns = now_ns;
	meter->answered *= kept;
	meter->late *= kept;
}

static uint8_t late_share(const carob_upstream_t *upstream)
{
	const carob_upstream_meter_t *meter = &upstream->meter;

	if (!carob_load_meter_is_known(upstream))
		return CAROB_LOAD_LATE_UNKNOWN;
	return carob_load_late_encode(meter->late / meter->answered);
}

/* The level from which a remainder is rounded up, in [0, 1). With one level for
 * all, the reports of many instances with a small equal load would all be
 * rounded the same way. */
static double rounding_level(uint64_t seed, uint64_t number)
{
	uint64_t hash = carob_hash_u64(seed ^ carob_hash_u64(number));

	return (double)(hash >> (64 - UNIT_BITS)) / (double)(1ULL << UNIT_BITS);
}

carob_load_entry_t carob_load_meter_take(carob_upstream_t *upstream,
					 uint64_t window_ns, uint64_t seed,
					 uint64_t now_ns)
{
	carob_upstream_meter_t *meter = &upstream->meter;
	double step = (double)window_ns * CAROB_LOAD_UNITS / CAROB_LOAD_STEPS;
	carob_load_entry_t entry = {.tag = carob_load_tag(upstream->tag)};
	int64_t steps;

	carob_load_meter_advance(upstream, now_ns);
	steps = (int64_t)((double)meter->area / step +
			  rounding_level(seed, upstream->number));
	if (steps > CAROB_LOAD_MAX) {
		steps = CAROB_LOAD_MAX;
		meter->area = 0;
	} else if (steps > 0) {
		meter->area -= (int64_t)((double)steps * step);
	} else {
		steps = 0;
	}
	entry.load = (uint16_t)steps;
	entry.late = late_share(upstream);
	carob_load_meter_fade(upstream, now_ns);
	return entry;
}
