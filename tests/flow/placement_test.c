#include "flow/flow_fixture.h"

#include "carobtrail/failure_detector.h"
#include "carobtrail/log.h"

#define ROWS_MAX 6
#define HOME	 "hou-a"
#define OTHER	 "hou-b"

static const struct {
	const char *name;
	fixture_upstream_t rows[ROWS_MAX];
	const char *except;
	const char *chosen;
} choice_cases[] = {
	{"no upstream in the table", {{0}}, "", ""},
	{"chooses the least loaded upstream",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 3, .pending = 2),
	  UPSTREAM("i-2", 2, "desk", HOME, 2, .open_flows = 3, .pending = 1)},
	 "",
	 "i-2"},
	{"compares the load per slot",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 2, .pending = 2),
	  UPSTREAM("i-2", 2, "desk", HOME, 8, .open_flows = 4, .pending = 4)},
	 "",
	 "i-2"},
	{"never chooses an upstream of another service",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 9, .pending = 9),
	  UPSTREAM("i-2", 2, "yard", HOME, 2)},
	 "",
	 "i-1"},
	{"a draining upstream gets no new flow",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 9, .pending = 9),
	  UPSTREAM("i-2", 2, "desk", HOME, 2, .draining = true)},
	 "",
	 "i-1"},
	{"chooses none if all upstreams are draining",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .draining = true)},
	 "",
	 ""},
	{"a cold upstream is counted with fewer slots",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 2, .pending = 2),
	  UPSTREAM("i-2", 2, "desk", HOME, 2, .open_flows = 2, .pending = 2,
		   .cold_ms = 2000)},
	 "",
	 "i-1"},
	{"prefers the zone of the instance",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 1, .pending = 1),
	  UPSTREAM("i-2", 2, "desk", OTHER, 2)},
	 "",
	 "i-1"},
	{"chooses another zone if the instance's zone is busy",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 5, .pending = 5),
	  UPSTREAM("i-2", 2, "desk", OTHER, 2)},
	 "",
	 "i-2"},
	/* The instances of the other zone keep idle flows there, which this
	 * instance does not see. */
	{"idle flows do not move new ones to another zone",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 60, .pending = 0),
	  UPSTREAM("i-2", 2, "desk", OTHER, 2)},
	 "",
	 "i-1"},
	{"balances idle flows within the zone",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2, .open_flows = 9, .pending = 0),
	  UPSTREAM("i-2", 2, "desk", HOME, 2, .open_flows = 8, .pending = 0)},
	 "",
	 "i-2"},
	{"prefers any upstream to the excepted one",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2),
	  UPSTREAM("i-2", 2, "desk", OTHER, 2, .open_flows = 9, .pending = 9)},
	 "i-1",
	 "i-2"},
	{"chooses the excepted upstream if there is no other",
	 {UPSTREAM("i-1", 1, "desk", HOME, 2)},
	 "i-1",
	 "i-1"},
};

static carob_upstream_index_t choose(carob_upstream_table_t *table,
				     const char *except, uint64_t now_ns)
{
	carob_placement_query_t query = {
		.flow_hash = 7,
		.except = carob_upstream_table_by_id(table,
						     carob_str_from(except)),
		.now_ns = now_ns,
	};

	CU_ASSERT_EQUAL(carob_name_table_add(&query.service, &table->services,
					     CAROB_STR("desk")),
			0);
	CU_ASSERT_EQUAL(carob_name_table_add(&query.home_zone, &table->zones,
					     CAROB_STR(HOME)),
			0);
	return carob_placement_choose(table, &query);
}

static void test_choices(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(choice_cases); i++) {
		CAROB_CLEANUP(carob_upstream_table_dispose)
		carob_upstream_table_t table = {0};
		const char *chosen;

		for (size_t k = 0; k < ROWS_MAX && choice_cases[i].rows[k].id;
		     k++)
			fixture_put(&table, &choice_cases[i].rows[k], k + 1);
		chosen = fixture_id(&table,
				    choose(&table, choice_cases[i].except,
					   FIXTURE_START));
		CU_ASSERT_STRING_EQUAL(chosen, choice_cases[i].chosen);
		if (strcmp(chosen, choice_cases[i].chosen) != 0)
			printf("\n%s: chose \"%s\"", choice_cases[i].name,
			       chosen);
	}
}

/* After two consecutive unanswered SYNs other upstreams are preferred for a
 * while. Then one flow at a time may probe whether the upstream answers. */
static void test_avoided_upstream(void)
{
	static const fixture_upstream_t rows[] = {
		UPSTREAM("i-1", 1, "desk", HOME, 2),
		UPSTREAM("i-2", 2, "desk", HOME, 2, .open_flows = 9,
			 .pending = 9),
	};
	CAROB_CLEANUP(carob_upstream_table_dispose)
	carob_upstream_table_t table = {0};
	carob_upstream_index_t avoided;
	uint64_t later = FIXTURE_START + 2 * CAROB_NS_PER_S;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rows); i++)
		fixture_put(&table, &rows[i], i + 1);
	avoided = carob_upstream_table_by_id(&table, CAROB_STR("i-1"));

	carob_failure_detector_record_syn(&table, avoided, FIXTURE_START);
	CU_ASSERT_EQUAL(choose(&table, "", FIXTURE_START), avoided);
	carob_failure_detector_record_syn(&table, avoided, FIXTURE_START);
	CU_ASSERT_NOT_EQUAL(choose(&table, "", FIXTURE_START), avoided);
	CU_ASSERT_EQUAL(choose(&table, "", later), avoided);
	table.items[avoided].pending = 1;
	CU_ASSERT_NOT_EQUAL(choose(&table, "", later), avoided);
	table.items[avoided].pending = 0;
	carob_failure_detector_record_answer(&table, avoided, later);
	CU_ASSERT_EQUAL(choose(&table, "", FIXTURE_START), avoided);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"choice between upstreams", test_choices},
		{"avoids an upstream after unanswered SYNs",
		 test_avoided_upstream},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("placement", cases, CAROB_ARRAY_SIZE(cases));
}
