#include "test_runner.h"

#include "carobtrail/histogram.h"

#include <string.h>

typedef struct quantile_case {
	uint64_t first;
	uint64_t last;
	uint64_t step;
	double q;
	uint64_t exact;
} quantile_case_t;

static const quantile_case_t quantile_cases[] = {
	{0, 0, 1, 0.5, 0},
	{0, 15, 1, 0.5, 8},
	{1, 1000, 1, 0.5, 501},
	{1, 1000, 1, 0.99, 991},
	{1000, 100000000, 1000, 0.999, 99901000},
	{UINT64_MAX - 1, UINT64_MAX - 1, 1, 1.0, UINT64_MAX - 1},
};

static void test_quantile(void)
{
	static carob_histogram_t histogram;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(quantile_cases); i++) {
		const quantile_case_t *c = &quantile_cases[i];
		uint64_t actual;

		memset(&histogram, 0, sizeof(histogram));
		for (uint64_t v = c->first; v <= c->last; v += c->step)
			carob_histogram_record(&histogram, v);
		actual = carob_histogram_quantile(&histogram, c->q);
		CU_ASSERT_TRUE(actual >= c->exact);
		CU_ASSERT_TRUE(actual - c->exact <= c->exact / 16);
	}
}

static void test_merge(void)
{
	static carob_histogram_t a;
	static carob_histogram_t b;

	carob_histogram_record(&a, 5);
	carob_histogram_record(&b, 7000);
	carob_histogram_merge(&a, &b);
	CU_ASSERT_EQUAL(a.count, 2);
	CU_ASSERT_EQUAL(carob_histogram_quantile(&a, 0.0), 5);
	CU_ASSERT_EQUAL(carob_histogram_quantile(&a, 1.0), 7000);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"the relative error of a quantile is at most 1/16",
		 test_quantile},
		{"merging adds the counts of both histograms", test_merge},
	};

	return run_tests("histogram", cases, CAROB_ARRAY_SIZE(cases));
}
