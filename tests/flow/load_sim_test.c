/*
 * The simulation itself: a test of placement or admission proves nothing if the
 * simulation loses requests, is not repeatable, or has faults that do nothing.
 */
#include "carobtrail/log.h"
#include "flow/load_sim.h"
#include "test_runner.h"

#define USUAL                                                                  \
	.instances = 4, .upstreams = 18, .kind_count = 2,                      \
	.kinds = {{150, 40, 300, 2000, 8, 2, true},                            \
		  {30, 5, 800, 4000, 1, 1, false}},                            \
	.seconds = 8, .retries = 2, .callers = 500, .view_age_ms = 500,        \
	.seed = 1

static const struct {
	const char *name;
	load_sim_options_t options;
	/** Bounds of the share of requests that are served in time. */
	double in_time_min;
	double in_time_max;
} cases[] = {
	{"usual load is served", {USUAL}, 0.99, 1},
	{"a surge beyond the capacity is not",
	 {USUAL, .faults = {{LOAD_SIM_SURGE, 1, 8, {12, 12, 12}}}},
	 0,
	 0.8},
	{"slow upstreams are late",
	 {USUAL, .faults = {{LOAD_SIM_SLOW, 1, 8, {10}, 1}}},
	 0,
	 0.8},
	{"requests wait while all instances are away",
	 {USUAL, .faults = {{LOAD_SIM_KILLED, 1, 3, {0}}}},
	 0.3,
	 0.95},
	{"requests fail while all upstreams hang",
	 {USUAL, .faults = {{LOAD_SIM_HANG, 1, 6, {0}, 1}}},
	 0,
	 0.7},
};

static void test_loads(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		load_sim_result_t result;
		load_sim_result_t again;
		load_sim_counts_t *all = &result.all;
		double in_time;

		load_sim_run(&result, &cases[i].options);
		load_sim_run(&again, &cases[i].options);
		CU_ASSERT_EQUAL(all->in_time, again.all.in_time);
		CU_ASSERT_EQUAL(result.attempts, again.attempts);
		CU_ASSERT_EQUAL(all->offered,
				all->in_time + all->late + all->failed);
		CU_ASSERT_EQUAL(all->offered, result.kinds[0].offered +
						      result.kinds[1].offered);
		in_time = load_sim_in_time(all);
		CU_ASSERT_TRUE(in_time >= cases[i].in_time_min &&
			       in_time <= cases[i].in_time_max);
		if (in_time < cases[i].in_time_min ||
		    in_time > cases[i].in_time_max)
			printf("\n%s: %.4f in time", cases[i].name, in_time);
	}
}

int main(void)
{
	static const test_case_t tests[] = {
		{"simulated loads", test_loads},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("load simulation", tests, CAROB_ARRAY_SIZE(tests));
}
