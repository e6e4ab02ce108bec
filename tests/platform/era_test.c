#include "platform/era.h"

#include "carobtrail/errors.h"
#include "test_runner.h"

#define UNCHANGED 77

static void test_values(void)
{
	static const struct {
		const char *text;
		int error;
		uint64_t era;
	} cases[] = {
		{"0", 0, 0},
		{"1", 0, 1},
		{"0042", 0, 42},
		{" 7\t", 0, 7},
		{"18446744073709551615", 0, UINT64_MAX},
		{"18446744073709551616", CAROB_EFORMAT, UNCHANGED},
		{"99999999999999999999999", CAROB_EFORMAT, UNCHANGED},
		{"", CAROB_EFORMAT, UNCHANGED},
		{" ", CAROB_EFORMAT, UNCHANGED},
		{"-1", CAROB_EFORMAT, UNCHANGED},
		{"+1", CAROB_EFORMAT, UNCHANGED},
		{"1.5", CAROB_EFORMAT, UNCHANGED},
		{"1 2", CAROB_EFORMAT, UNCHANGED},
		{"0x10", CAROB_EFORMAT, UNCHANGED},
		{"one", CAROB_EFORMAT, UNCHANGED},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		uint64_t era = UNCHANGED;

		CU_ASSERT_EQUAL(platform_era_parse(&era, cases[i].text),
				cases[i].error);
		CU_ASSERT_EQUAL(era, cases[i].era);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"values of the header", test_values},
	};

	return run_tests("era", cases, CAROB_ARRAY_SIZE(cases));
}
