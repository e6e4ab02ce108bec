#include "carobtrail/caller_sketch.h"

#include "carobtrail/clock.h"
#include "test_runner.h"

#define HALF_LIFE_NS (2 * CAROB_NS_PER_S)

/* Counts of one caller beside others, and how they decay. Guards against a
 * caller being taken for a greedy one because of the flows of others, and
 * against a caller being remembered, or forgotten, for ever. */
static const struct {
	uint32_t flows;	     /* of the caller */
	uint32_t others;     /* callers of one flow each */
	uint32_t half_lives; /* between the flows and the estimate */
	double min;
	double max;
} cases[] = {
	{0, 0, 0, 0, 0},
	{1, 0, 0, 1, 1},
	{1, 0, 1, 0.5, 0.5},
	{1, 0, 5, 0, 0},
	{10, 0, 0, 10, 10},
	{10, 0, 2, 2.5, 2.5},
	{0, 500, 0, 0, 0},
	{1, 2000, 0, 1, 2},
	{10, 2000, 0, 10, 11},
	{0, 20000, 0, 0, 8},
	{100000, 0, 0, 4000, 4100},
	{100000, 0, 40, 0, 0},
};

static void test_counts(void)
{
	static carob_caller_sketch_t sketch;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		uint64_t later = cases[i].half_lives * HALF_LIFE_NS;
		double count;

		carob_caller_sketch_init(&sketch, 7, HALF_LIFE_NS, 0);
		for (uint32_t other = 0; other < cases[i].others; other++)
			carob_caller_sketch_add(&sketch, 0x0a000000 + other, 1);
		for (uint32_t flow = 0; flow < cases[i].flows; flow++)
			carob_caller_sketch_add(&sketch, 0xc0000001, 1);
		count = carob_caller_sketch_count(&sketch, 0xc0000001, later);
		CU_ASSERT_TRUE(count >= cases[i].min);
		CU_ASSERT_TRUE(count <= cases[i].max);
	}
}

/* The noise is what separates a greedy caller from the error of the sketch. */
static void test_noise(void)
{
	static carob_caller_sketch_t sketch;

	carob_caller_sketch_init(&sketch, 7, HALF_LIFE_NS, 0);
	for (uint32_t i = 0; i < 2 * CAROB_CALLER_SKETCH_COLUMNS; i++)
		carob_caller_sketch_add(&sketch, i, 1);
	CU_ASSERT_DOUBLE_EQUAL(carob_caller_sketch_noise(&sketch), 2, 1e-9);
	(void)carob_caller_sketch_count(&sketch, 1, HALF_LIFE_NS);
	CU_ASSERT_DOUBLE_EQUAL(carob_caller_sketch_noise(&sketch), 1, 1e-9);
}

int main(void)
{
	static const test_case_t tests[] = {
		{"counts of callers", test_counts},
		{"noise", test_noise},
	};

	return run_tests("caller-sketch", tests, CAROB_ARRAY_SIZE(tests));
}
