/* Single decisions by the load of all instances. */
#include "flow/flow_fixture.h"

#include "carobtrail/log.h"

#define HOSTS	  60
#define SLOTS	  2
#define INSTANCES 28
#define MS	  CAROB_NS_PER_MS

typedef struct fixture {
	carob_upstream_table_t upstreams;
	carob_load_view_t view;
	carob_shared_admission_t *admission;
	carob_admission_query_t query;
} fixture_t;

static void start(fixture_t *fixture)
{
	static const char *const zones[] = {"a", "b", "c"};

	memset(fixture, 0, sizeof(*fixture));
	for (uint32_t i = 0; i < HOSTS; i++) {
		char id[12];

		(void)snprintf(id, sizeof(id), "i-%x", i + 1);
		fixture_put(&fixture->upstreams,
			    &(fixture_upstream_t)UPSTREAM(id, i + 1, "desk",
							  zones[i % 3], SLOTS),
			    i + 1);
	}
	fixture->view = (carob_load_view_t){
		.zone_instances = 9,
		.all_instances = INSTANCES,
		.updated_ns = FIXTURE_START,
		.expires_ns = FIXTURE_START + 2 * CAROB_NS_PER_S,
		.counts_expire_ns = FIXTURE_START + 60 * CAROB_NS_PER_S,
	};
	CU_ASSERT_EQUAL_FATAL(carob_shared_admission_new(&fixture->admission,
							 0.1, FIXTURE_START),
			      0);
	fixture->query = (carob_admission_query_t){
		.service = fixture->upstreams.items[0].service,
		.home_zone = fixture->upstreams.items[0].zone,
		.view = &fixture->view,
		.now_ns = FIXTURE_START + MS,
		.caller_ip = 1,
		.priority = 2,
		.least_priority = 2,
		.target_ms = 300,
	};
}

static void stop(fixture_t *fixture)
{
	carob_shared_admission_free(fixture->admission);
	carob_upstream_table_dispose(&fixture->upstreams);
}

static void set_load(fixture_t *fixture, double others, uint32_t own,
		     uint32_t idle)
{
	for (uint32_t i = 0; i < HOSTS; i++) {
		carob_upstream_t *upstream = &fixture->upstreams.items[i];

		upstream->others_load = (float)(others / HOSTS);
		upstream->pending = own / HOSTS + (i < own % HOSTS);
		upstream->open_flows =
			upstream->pending + idle / HOSTS + (i < idle % HOSTS);
	}
}

static carob_admission_verdict_t decide(fixture_t *fixture,
					carob_shared_load_t *load)
{
	return carob_shared_admission_decide(
		load, fixture->admission, &fixture->upstreams, &fixture->query);
}

/* One decision on an own load that has lasted, by the load of the others. */
static const struct {
	double others;	 /* with the weight of idle flows */
	uint32_t own;	 /* requests in progress here */
	uint32_t idle;	 /* idle flows here */
	uint32_t age_ms; /* of the view */
	uint32_t priority;
	uint8_t copy;
	carob_admission_verdict_t verdict;
} cases[] = {
	/* The idle fleet; 3,000 idle flows must not look like a queue. */
	{0, 0, 0, 1, 2, 0, CAROB_ADMISSION_ACCEPT},
	{290, 0, 107, 1, 2, 0, CAROB_ADMISSION_ACCEPT},
	{1450, 0, 536, 1, 2, 0, CAROB_ADMISSION_ACCEPT},
	{1500, 22, 536, 1, 2, 0, CAROB_ADMISSION_ACCEPT},
	/* Slots are free elsewhere: more than an equal part may be used. */
	{50, 22, 0, 1, 2, 0, CAROB_ADMISSION_ACCEPT},
	/* The queues are full in the view; an equal part may be used. */
	{600, 0, 0, 1, 2, 0, CAROB_ADMISSION_ACCEPT},
	{600, 40, 0, 1, 2, 0, CAROB_ADMISSION_REFUSE},
	{600, 40, 0, 1, 2, 2, CAROB_ADMISSION_REFUSE},
	/* Higher priorities have more room. */
	{600, 19, 0, 1, 2, 0, CAROB_ADMISSION_REFUSE},
	{600, 19, 0, 1, 1, 0, CAROB_ADMISSION_ACCEPT},
	/* An expired view: the others are taken to have as much. */
	{0, 40, 0, 2500, 2, 2, CAROB_ADMISSION_REFUSE},
	{600, 10, 0, 2500, 2, 0, CAROB_ADMISSION_ACCEPT},
};

static void test_decisions(void)
{
	static fixture_t fixture;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		carob_shared_load_t load;

		start(&fixture);
		set_load(&fixture, cases[i].others, cases[i].own,
			 cases[i].idle);
		fixture.query.now_ns = FIXTURE_START + cases[i].age_ms * MS;
		fixture.query.priority = cases[i].priority;
		fixture.query.syn_copy = cases[i].copy;
		CU_ASSERT_EQUAL(decide(&fixture, &load), cases[i].verdict);
		CU_ASSERT_EQUAL(load.view_is_fresh, cases[i].age_ms < 2000);
		CU_ASSERT_EQUAL(load.view_age_ms, cases[i].age_ms);
		stop(&fixture);
	}
}

/* A wave at an idle fleet: what fits within 600 ms is deferred, and the rest is
 * refused at once. */
static void test_deferrals(void)
{
	static fixture_t fixture;
	uint32_t counts[CAROB_ADMISSION_REFUSE + 1] = {0};
	carob_shared_load_t load;

	start(&fixture);
	set_load(&fixture, 10, 0, 0);
	for (uint32_t i = 0; i < 200; i++) {
		fixture.query.caller_ip = i + 1;
		counts[decide(&fixture, &load)]++;
	}
	CU_ASSERT_TRUE(counts[CAROB_ADMISSION_ACCEPT] >= load.room / INSTANCES);
	CU_ASSERT_TRUE(counts[CAROB_ADMISSION_ACCEPT] <=
		       2 * load.room / INSTANCES);
	CU_ASSERT_TRUE(counts[CAROB_ADMISSION_DEFER] > 0);
	/* 600 ms at 40 ms a request. */
	CU_ASSERT_TRUE(counts[CAROB_ADMISSION_DEFER] <=
		       15 * load.slots / INSTANCES);
	CU_ASSERT_TRUE(counts[CAROB_ADMISSION_REFUSE] > 0);
	stop(&fixture);
}

/* Avoided upstreams are no room, unless there are no others: refusing all flows
 * would leave no way to notice that they respond again. */
static void test_avoided(void)
{
	static const struct {
		uint32_t avoided;
		double slots;
	} rows[] = {
		{0, HOSTS * SLOTS}, {HOSTS / 2, HOSTS}, {HOSTS, HOSTS * SLOTS}};
	static fixture_t fixture;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rows); i++) {
		carob_shared_load_t load;

		start(&fixture);
		for (uint32_t host = 0; host < rows[i].avoided; host++) {
			carob_upstream_t *upstream =
				&fixture.upstreams.items[host];

			upstream->stalled = true;
			upstream->avoid_until_ns =
				FIXTURE_START + CAROB_NS_PER_S;
		}
		CU_ASSERT_EQUAL(decide(&fixture, &load),
				CAROB_ADMISSION_ACCEPT);
		CU_ASSERT_DOUBLE_EQUAL(load.slots, rows[i].slots, 0.01);
		stop(&fixture);
	}
}

/* The sums over the upstreams must not be taken for each flow, and must not be
 * used for longer than some milliseconds. */
static void test_cached_sums(void)
{
	static const struct {
		uint32_t later_ms;
		double others;
	} steps[] = {{0, 60}, {9, 60}, {10, 120}};
	static fixture_t fixture;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(steps); i++) {
		carob_shared_load_t load;

		start(&fixture);
		set_load(&fixture, 60, 0, 0);
		(void)decide(&fixture, &load);
		set_load(&fixture, 120, 0, 0);
		fixture.query.now_ns += steps[i].later_ms * MS;
		(void)decide(&fixture, &load);
		CU_ASSERT_DOUBLE_EQUAL(load.others, steps[i].others, 0.01);
		stop(&fixture);
	}
}

/* Upstreams that shed answer within a millisecond. What an instance lets in must
 * not rise by that: an instance in front of full queues would let in all. */
static void test_sheds(void)
{
	static fixture_t fixture;
	carob_shared_load_t load;
	uint32_t accepted = 0;

	start(&fixture);
	set_load(&fixture, 600, 0, 0);
	for (uint32_t i = 0; i < 5000; i++) {
		fixture.query.now_ns += MS / 5;
		fixture.query.caller_ip = i;
		fixture.query.syn_copy = 2;
		accepted += decide(&fixture, &load) == CAROB_ADMISSION_ACCEPT;
	}
	/* In a second, the limit once for each 40 ms, and a burst. */
	CU_ASSERT_TRUE(accepted <= (25 * 1.2 + 1) * load.limit);
	CU_ASSERT_TRUE(accepted >= 25 * 0.9 * load.limit);
	stop(&fixture);
}

/* Responses that have waited in a queue, or come from upstreams that shed, say
 * nothing about the work time, on which the room depends. */
static void test_work_time(void)
{
	static const struct {
		double others;
		uint32_t own;
		uint32_t response_ms;
		double room; /* at a target of 300 ms */
	} rows[] = {
		{10, 0, 200, HOSTS * SLOTS * 1.5}, /* 300 / 200 */
		{10, 0, 400, HOSTS * SLOTS},	   /* all late */
		{600, 30, 200, HOSTS * SLOTS * 4.2},
		{10, 30, 200, HOSTS * SLOTS * 4.2},
		{600, 30, 1, HOSTS * SLOTS * 4.2},
	};
	static fixture_t fixture;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rows); i++) {
		carob_shared_load_t load;

		start(&fixture);
		set_load(&fixture, rows[i].others, rows[i].own, 0);
		(void)decide(&fixture, &load);
		for (uint32_t response = 0; response < 64; response++)
			carob_shared_admission_record_response(
				fixture.admission, fixture.query.service,
				rows[i].response_ms, 300);
		(void)decide(&fixture, &load);
		CU_ASSERT_DOUBLE_EQUAL(load.room, rows[i].room, 1);
		stop(&fixture);
	}
}

/* Between the limit and a tenth more, callers that were turned away go before
 * those who have just come, as long as they can still be served in time. */
static void test_order(void)
{
	static const struct {
		bool refused;	   /* before */
		uint32_t later_ms; /* after the refusal */
		uint8_t copy;
		carob_admission_verdict_t verdict;
	} rows[] = {
		{false, 0, 0, CAROB_ADMISSION_REFUSE},
		{true, 5, 0, CAROB_ADMISSION_ACCEPT},
		{true, 4000, 0, CAROB_ADMISSION_ACCEPT},
		{true, 6000, 0, CAROB_ADMISSION_REFUSE},
		{false, 0, 1, CAROB_ADMISSION_ACCEPT},
		{false, 0, 2, CAROB_ADMISSION_REFUSE},
	};
	static fixture_t fixture;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rows); i++) {
		carob_shared_load_t load;

		start(&fixture);
		fixture.view.expires_ns = FIXTURE_START + 60 * CAROB_NS_PER_S;
		set_load(&fixture, 600, 40, 0);
		if (rows[i].refused)
			CU_ASSERT_EQUAL(decide(&fixture, &load),
					CAROB_ADMISSION_REFUSE);
		carob_shared_admission_set_floor(fixture.admission, 0);
		set_load(&fixture, 600, 19, 0);
		fixture.query.now_ns += (10 + rows[i].later_ms) * MS;
		/* Another flow first, so that the own load is up to date. */
		fixture.query.caller_ip = 2;
		fixture.query.syn_copy = 0;
		(void)decide(&fixture, &load);
		fixture.query.caller_ip = 1;
		fixture.query.syn_copy = rows[i].copy;
		CU_ASSERT_EQUAL(decide(&fixture, &load), rows[i].verdict);
		stop(&fixture);
	}
}

/* The former decisions apply before the first view, and once the number of
 * instances has expired. */
static void test_applies(void)
{
	static const struct {
		bool has_view;
		uint64_t updated_ns;
		uint32_t instances;
		uint64_t later_ms;
		bool applies;
	} rows[] = {
		{false, 0, 0, 0, false},
		{true, 0, 0, 0, false},
		{true, 0, INSTANCES, 0, false},
		{true, FIXTURE_START, 0, 0, false},
		{true, FIXTURE_START, INSTANCES, 0, true},
		{true, FIXTURE_START, INSTANCES, 59999, true},
		{true, FIXTURE_START, INSTANCES, 60000, false},
	};
	static fixture_t fixture;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rows); i++) {
		start(&fixture);
		fixture.view.updated_ns = rows[i].updated_ns;
		fixture.view.all_instances = rows[i].instances;
		CU_ASSERT_EQUAL(carob_shared_admission_applies(
					fixture.admission,
					rows[i].has_view ? &fixture.view : NULL,
					FIXTURE_START + rows[i].later_ms * MS),
				rows[i].applies);
		stop(&fixture);
	}
}

typedef struct line_counter {
	carob_log_sink_t sink;
	uint32_t lines;
} line_counter_t;

static void count_line(carob_log_sink_t *sink, carob_str_t line)
{
	(void)line;
	((line_counter_t *)sink)->lines++;
}

/* One line at the beginning of an overload and one at its end, however many
 * flows are refused. */
static void test_log_lines(void)
{
	static fixture_t fixture;
	static line_counter_t counter = {.sink.write = count_line};
	const carob_shared_counters_t *counters;
	carob_shared_load_t load;

	start(&fixture);
	set_load(&fixture, 600, 40, 0);
	carob_log_configure("test", NULL, CAROB_LOG_INFO, &counter.sink);
	for (uint32_t i = 0; i < 1000; i++)
		(void)decide(&fixture, &load);
	CU_ASSERT_EQUAL(counter.lines, 1);
	carob_shared_admission_check(fixture.admission, &fixture.upstreams,
				     fixture.query.now_ns + 2999 * MS);
	CU_ASSERT_EQUAL(counter.lines, 1);
	carob_shared_admission_check(fixture.admission, &fixture.upstreams,
				     fixture.query.now_ns + 3000 * MS);
	CU_ASSERT_EQUAL(counter.lines, 2);
	carob_shared_admission_check(fixture.admission, &fixture.upstreams,
				     fixture.query.now_ns + 9000 * MS);
	CU_ASSERT_EQUAL(counter.lines, 2);
	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	counters = carob_shared_admission_counters(fixture.admission);
	CU_ASSERT_EQUAL(counters->refused[CAROB_SHARED_NO_ROOM][2], 1000);
	CU_ASSERT_EQUAL(counters->overloads, 1);
	stop(&fixture);
}

/* What the floor lets in under a lasting overload: its part of what the slots
 * of this instance can serve, and nothing without a floor. */
static void test_floor(void)
{
	static const struct {
		double floor;
		double min;
		double max;
	} floors[] = {{0, 0, 0}, {0.1, 0.08, 0.13}, {0.3, 0.25, 0.35}};
	static fixture_t fixture;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(floors); i++) {
		carob_shared_load_t load;
		uint32_t accepted = 0;
		double servable;

		start(&fixture);
		fixture.view.expires_ns = FIXTURE_START + 60 * CAROB_NS_PER_S;
		carob_shared_admission_set_floor(fixture.admission,
						 floors[i].floor);
		set_load(&fixture, 1000, 24, 0);
		for (uint32_t ms = 0; ms < 20000; ms += 5) {
			fixture.query.now_ns += 5 * MS;
			fixture.query.caller_ip++;
			accepted += decide(&fixture, &load) ==
					    CAROB_ADMISSION_ACCEPT &&
				    load.reason == CAROB_SHARED_FLOOR;
		}
		servable = 20000 / 40.0 * HOSTS * SLOTS / INSTANCES;
		CU_ASSERT_TRUE(accepted >= floors[i].min * servable);
		CU_ASSERT_TRUE(accepted <= floors[i].max * servable);
		stop(&fixture);
	}
}

int main(void)
{
	static const test_case_t tests[] = {
		{"decisions", test_decisions},
		{"deferrals in a wave", test_deferrals},
		{"avoided upstreams", test_avoided},
		{"cached sums", test_cached_sums},
		{"sheds", test_sheds},
		{"work time", test_work_time},
		{"order of callers", test_order},
		{"when it applies", test_applies},
		{"log lines", test_log_lines},
		{"floor of the lowest priority", test_floor},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("shared-admission", tests, CAROB_ARRAY_SIZE(tests));
}
