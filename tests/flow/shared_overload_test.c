/*
 * Counts what callers get under overload from a fleet whose instances know the
 * load of all, and compares it with the same fleet without that knowledge.
 */
#include "flow/fleet_model.h"

#include "carobtrail/log.h"

/* Instances, and the interval of the reports: what is known is one to two
 * intervals old. */
static const struct {
	uint32_t instances;
	uint32_t retries;
	uint32_t view_ms;
} fleets[] = {
	{4, 2, 250},   {4, 0, 1000},  {28, 2, 250},  {28, 0, 500},
	{28, 2, 1000}, {135, 2, 250}, {135, 0, 500}, {135, 2, 1000},
};

/* Bounds on the counts; ratios are those to the fleet without a view. */
typedef struct expectation {
	/**
	 * The model spreads flows well, so that a fleet without a view serves
	 * as many callers as the slots can. The room that is kept for higher
	 * priorities may cost a few in a hundred of them.
	 */
	double in_time_ratio_min;
	/** Share of the urgent callers not in time, to that of all callers. */
	double urgent_lost_ratio_max;
	double calm_zones_in_time_min; /* without a crowd */
	double shed_ratio_max;	       /* of attempts that end with 503 */
	double turned_away_max;	       /* SYNs, per caller */
	double greedy_ratio_max;       /* of its callers in time */
	double refused_ms_max;	       /* until refused callers know it */
	double normal_work_min; /* of the lowest priority, of the capacity */
} expectation_t;

static const struct {
	fleet_scenario_t scenario;
	expectation_t expected;
} cases[] = {
	/* Until the first reports of it, a crowd is met without the view. */
	{{.name = "crowd of 4.5 times",
	  .load = 0.26,
	  .urgent = 0.2,
	  .crowd = {4.5, 4.5, 4.5},
	  .crowd_from = 3000,
	  .crowd_to = 7000,
	  .duration = 9000,
	  .count_from = 2500},
	 {0.95, 0.75, 0, 0.5, 5, 1, 600, 0}},
	/* Queues overflow at some upstreams while others have room. */
	{{.name = "crowd, spread blindly",
	  .load = 0.26,
	  .urgent = 0.2,
	  .blind = true,
	  .crowd = {4.5, 4.5, 4.5},
	  .crowd_from = 3000,
	  .crowd_to = 7000,
	  .duration = 9000,
	  .count_from = 2500},
	 {0.95, 1, 0, 1, 5, 1, 600, 0}},
	/* Free slots are left in other zones: almost nobody is turned away. */
	{{.name = "crowd of one zone",
	  .load = 0.26,
	  .urgent = 0.2,
	  .crowd = {8, 1, 1},
	  .crowd_from = 3000,
	  .crowd_to = 7000,
	  .duration = 9000,
	  .count_from = 2500},
	 {0.98, 1, 0.99, 1, 0.1, 1, 600, 0}},
	/* What slow upstreams have accepted is late in any priority. */
	{{.name = "crowd, some are slow",
	  .load = 0.2,
	  .urgent = 0.2,
	  .slow = 0.25,
	  .crowd = {4.5, 4.5, 4.5},
	  .crowd_from = 3000,
	  .crowd_to = 7000,
	  .duration = 9000,
	  .count_from = 2500},
	 {0.95, 1.1, 0, 1, 5, 1, 600, 0}},
	/* Refused at once, and higher priorities first. */
	{{.name = "lasting overload",
	  .load = 1.6,
	  .urgent = 0.2,
	  .duration = 7000,
	  .count_from = 3000},
	 {0.95, 0.5, 0, 0.25, 5, 1, 60, 0}},
	/* The higher priority alone is above the capacity. */
	{{.name = "lasting, mostly urgent",
	  .load = 2,
	  .urgent = 0.8,
	  .duration = 7000,
	  .count_from = 3000},
	 {0.95, 1, 0, 0.5, 5, 1, 60, 0.05}},
	{{.name = "greedy caller",
	  .load = 1.3,
	  .urgent = 0.2,
	  .addresses = 100,
	  .greedy = 10,
	  .duration = 8000,
	  .count_from = 4000},
	 {0.95, 0.75, 0, 0.25, 5, 0.75, 60, 0}},
	/* The copies that follow find room within 600 ms. */
	{{.name = "wave after all killed",
	  .load = 0.3,
	  .urgent = 0.2,
	  .away_from = 3000,
	  .away_to = 4400,
	  .duration = 7000,
	  .count_from = 2000},
	 {0.99, 1.1, 0, 1, 0.1, 1, 2000, 0}},
	{{.name = "large wave",
	  .load = 0.6,
	  .urgent = 0.2,
	  .away_from = 3000,
	  .away_to = 4400,
	  .duration = 7000,
	  .count_from = 2000},
	 {0.95, 1.1, 0, 1, 5, 1, 2000, 0}},
	{{.name = "idle flows",
	  .load = 0.2,
	  .urgent = 0.2,
	  .idle_flows = 3000,
	  .duration = 4000,
	  .count_from = 1000},
	 {1, 1, 1, 1, 0, 1, 0, 0}},
};

static double in_time(const fleet_counts_t *counts)
{
	return counts->callers ? (double)counts->in_time / counts->callers : 1;
}

static void check_groups(const expectation_t *expected,
			 const fleet_scenario_t *scenario,
			 const fleet_result_t *result)
{
	double capacity = scenario->hosts * FLEET_SLOTS *
			  (double)(scenario->duration - scenario->count_from) /
			  FLEET_WORK_MS;

	CU_ASSERT_TRUE(1 - in_time(&result->by_priority[FLEET_URGENT]) <=
		       expected->urgent_lost_ratio_max *
				       (1 - in_time(&result->all)) +
			       0.005);
	for (size_t zone = 1; zone < FLEET_ZONES; zone++)
		CU_ASSERT_TRUE(in_time(&result->by_zone[zone]) >=
			       expected->calm_zones_in_time_min);
	CU_ASSERT_TRUE(result->by_priority[FLEET_NORMAL].in_time >=
		       expected->normal_work_min * capacity);
	/* Callers of one flow each are never taken for greedy. */
	CU_ASSERT_TRUE(result->caller_share == 0 || scenario->addresses > 0);
}

static void check(const expectation_t *expected,
		  const fleet_scenario_t *scenario,
		  const fleet_result_t *shared, const fleet_result_t *present)
{
	CU_ASSERT_TRUE(in_time(&shared->all) >=
		       expected->in_time_ratio_min * in_time(&present->all));
	CU_ASSERT_TRUE(shared->shed <=
		       expected->shed_ratio_max * present->shed +
			       0.01 * shared->all.callers);
	CU_ASSERT_TRUE((double)shared->turned_away <=
		       expected->turned_away_max * shared->all.callers);
	CU_ASSERT_TRUE(in_time(&shared->greedy) <=
		       expected->greedy_ratio_max * in_time(&present->greedy));
	CU_ASSERT_TRUE(shared->refused_ms <= expected->refused_ms_max);
	check_groups(expected, scenario, shared);
}

static void test_loads(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		for (size_t fleet = 0; fleet < CAROB_ARRAY_SIZE(fleets);
		     fleet++) {
			fleet_scenario_t scenario = cases[i].scenario;
			fleet_result_t shared;
			fleet_result_t present;

			scenario.hosts = 60;
			scenario.instances = fleets[fleet].instances;
			scenario.retries = fleets[fleet].retries;
			scenario.view_ms = fleets[fleet].view_ms;
			fleet_simulate(&present, &scenario);
			scenario.has_view = true;
			fleet_simulate(&shared, &scenario);
			check(&cases[i].expected, &scenario, &shared, &present);
		}
	}
}

static void check_equal(const fleet_counts_t *a, const fleet_counts_t *b)
{
	CU_ASSERT_EQUAL(a->callers, b->callers);
	CU_ASSERT_EQUAL(a->in_time, b->in_time);
	CU_ASSERT_EQUAL(a->late, b->late);
	CU_ASSERT_EQUAL(a->refused, b->refused);
	CU_ASSERT_EQUAL(a->attempts, b->attempts);
}

/* A view that was never updated must change no decision. The load reaches the
 * present limit, so that flows are accepted, deferred and refused. */
static void test_without_view(void)
{
	fleet_scenario_t scenario = {
		.name = "view never updated",
		.instances = 4,
		.hosts = 24,
		.load = 2,
		.slow = 0.5,
		.urgent = 0.2,
		.retries = 2,
		.duration = 4000,
		.view_ms = 250,
		.is_mute = true,
	};
	fleet_result_t shared;
	fleet_result_t present;

	fleet_simulate(&present, &scenario);
	scenario.has_view = true;
	fleet_simulate(&shared, &scenario);
	CU_ASSERT_TRUE(present.turned_away > 100);
	CU_ASSERT_EQUAL(shared.turned_away, present.turned_away);
	CU_ASSERT_EQUAL(shared.shed, present.shed);
	for (size_t i = 0; i < FLEET_PRIORITIES; i++)
		check_equal(&shared.by_priority[i], &present.by_priority[i]);
	for (size_t i = 0; i < FLEET_ZONES; i++)
		check_equal(&shared.by_zone[i], &present.by_zone[i]);
}

int main(void)
{
	static const test_case_t tests[] = {
		{"loads and faults", test_loads},
		{"without a view", test_without_view},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("shared-overload", tests, CAROB_ARRAY_SIZE(tests));
}
