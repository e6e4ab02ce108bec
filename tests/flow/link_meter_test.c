#include "carobtrail/clock.h"
#include "carobtrail/link_meter.h"

#include "test_runner.h"

#include <stdio.h>

#define MBPS	     10 /* 1,250 bytes a millisecond */
#define PACKET_BYTES 125
#define MS	     CAROB_NS_PER_MS
#define START_NS     (1000 * CAROB_NS_PER_S)

/* Packets at a steady rate for some time, and whether the link is congested at
 * the end and later. */
static const struct load_case {
	const char *name;
	double mbps;
	uint64_t packets_per_ms;
	uint64_t ms;
	bool congested;
} cases[] = {
	{"no traffic", MBPS, 0, 1000, false},
	{"half of the rate", MBPS, 5, 10000, false},
	{"all of the rate", MBPS, 10, 10000, false},
	{"twice the rate, for a moment", MBPS, 20, 15, false},
	{"twice the rate", MBPS, 20, 100, true},
	{"a burst in one millisecond", MBPS, 250, 1, true},
	{"the rate is not known", 0, 250, 1000, false},
};

static void check_load(const struct load_case *c)
{
	carob_link_meter_t meter;
	uint64_t now = START_NS;

	carob_link_meter_init(&meter, c->mbps);
	for (uint64_t ms = 0; ms < c->ms; ms++) {
		now += MS;
		for (uint64_t i = 0; i < c->packets_per_ms; i++)
			carob_link_meter_send(&meter, PACKET_BYTES, now);
	}
	CU_ASSERT_EQUAL(carob_link_meter_congested(&meter, now), c->congested);
	CU_ASSERT_EQUAL(carob_link_meter_congested(&meter, now + 1000 * MS),
			c->congested);
	CU_ASSERT_FALSE(carob_link_meter_congested(&meter, now + 2000 * MS));
	if (carob_link_meter_congested(&meter, now) != c->congested)
		printf("\n%s", c->name);
}

static void test_loads(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++)
		check_load(&cases[i]);
}

int main(void)
{
	static const test_case_t tests[] = {
		{"congestion at each load", test_loads},
	};

	return run_tests("link-meter", tests, CAROB_ARRAY_SIZE(tests));
}
