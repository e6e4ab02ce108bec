/*
 * What callers get after outages of several lengths, at several loads and
 * sizes, beside a queue that knows of all callers.
 */
#include "flow/outage_model.h"

#include "carobtrail/log.h"

/* The part of the callers that go unserved if one queue took what they send
 * once the instances are back, and upstreams served those that may still be
 * served, first come first served, without a pause. */
static double unserved_by_one_queue(const scenario_t *scenario)
{
	/* When a caller sends its SYN and its copies, tries included. */
	static const double sent_ms[] = {0, 200, 600, 1400, 1600, 2000};
	double service_ms = 1000 / capacity_per_s(scenario);
	double gap_ms = service_ms / scenario->load;
	double back_ms = AWAY_FROM_MS + scenario->away_ms;
	double free_ms = back_ms;
	uint32_t callers = (uint32_t)(SIMULATED_MS / gap_ms);
	uint32_t unserved = 0;

	for (uint32_t caller = 0; caller < callers; caller++) {
		double from_ms = caller * gap_ms;
		double at_ms = from_ms;

		if (from_ms < AWAY_FROM_MS)
			continue;
		for (size_t i = 0;
		     i < CAROB_ARRAY_SIZE(sent_ms) && at_ms < back_ms; i++)
			at_ms = from_ms + sent_ms[i];
		if (free_ms < at_ms)
			free_ms = at_ms;
		if (free_ms + WORK_MS > from_ms + DEADLINE_MS)
			unserved++;
		else
			free_ms += service_ms;
	}
	return (double)unserved / callers;
}

static void check_outage(const scenario_t *scenario)
{
	const uint64_t seed = 1;
	outcome_t refused = simulate(WAY_REFUSE, scenario, seed);
	outcome_t present = simulate(WAY_PRESENT, scenario, seed);
	double least = unserved_by_one_queue(scenario);

	printf("\n%3u instances%s, load %.2f, away %4u ms: unserved %.4f "
	       "(refused at once %.4f, one queue %.4f), in time of those after "
	       "%.4f (%.4f)",
	       scenario->instances, scenario->one_visible ? " (one)" : "",
	       scenario->load, scenario->away_ms, present.unserved,
	       refused.unserved, least, present.in_time_after,
	       refused.in_time_after);
	CU_ASSERT_TRUE(present.unserved <= least + 0.02);
	CU_ASSERT_TRUE(present.in_time_after >= 0.9);
}

/* Guards against refusals in a wave that ends by itself: at most 2 % more
 * callers may go unserved than with one queue for all, and 90 % of those that
 * come after the outage must be served in time. */
static void test_outages(void)
{
	static const scenario_t sizes[] = {
		{0.4, 0, 4, 14, false},	  {0.4, 0, 4, 14, true},
		{0.7, 0, 4, 14, false},	  {0.95, 0, 4, 14, false},
		{0.4, 0, 30, 100, false}, {0.4, 0, 30, 100, true},
		{0.4, 0, 135, 420, false}};
	static const uint32_t lengths_ms[] = {600, 1000, 1400, 2000};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++) {
		for (size_t j = 0; j < CAROB_ARRAY_SIZE(lengths_ms); j++) {
			scenario_t scenario = sizes[i];

			scenario.away_ms = lengths_ms[j];
			check_outage(&scenario);
		}
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"outages", test_outages},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("outage-target", cases, CAROB_ARRAY_SIZE(cases));
}
