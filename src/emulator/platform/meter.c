#include "meter.h"

#include <inttypes.h>

void meter_count(meter_t *meter, uint64_t now_ns)
{
	uint64_t second = now_ns / CAROB_NS_PER_S;

	if (second != meter->second)
		meter->current = 0;
	meter->second = second;
	meter->total++;
	meter->current++;
	if (meter->current > meter->peak)
		meter->peak = meter->current;
	if (meter->current == meter->limit_per_s + 1)
		meter->seconds_above_limit++;
}

int meter_format(carob_buf_t *out, const char *name, const meter_t *meter)
{
	return carob_buf_printf(out,
				",\"%s\":{\"total\":%" PRIu64
				",\"peak_per_s\":%" PRIu64
				",\"limit_per_s\":%" PRIu64
				",\"seconds_above_limit\":%" PRIu64 "}",
				name, meter->total, meter->peak,
				meter->limit_per_s, meter->seconds_above_limit);
}
