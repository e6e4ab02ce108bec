/* What an instance measures of its load, and which responses count as late. */
#include "carobtrail/load_meter.h"

#include "carobtrail/log.h"
#include "flow/flow_fixture.h"

#define MS	  CAROB_NS_PER_MS
#define START_NS  FIXTURE_START
#define WINDOW_NS (250 * MS)

/* Load for a part of a period, and what is reported of the period: a request
 * counts 8 steps, an idle open flow a tenth of that. */
static const struct meter_case {
	uint32_t pending;
	uint32_t open_flows;
	uint32_t ms; /* of 250 */
	uint16_t low;
	uint16_t high;
} meter_cases[] = {
	{0, 0, 250, 0, 0},
	{1, 1, 250, 7, 9},
	{1, 1, 125, 3, 5},
	{0, 10, 250, 7, 9},
	{2, 12, 250, 23, 25},
	{1, 1, 15, 0, 1},
	{400, 400, 250, CAROB_LOAD_MAX, CAROB_LOAD_MAX},
};

static void test_meter(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(meter_cases); i++) {
		const struct meter_case *c = &meter_cases[i];
		carob_upstream_t upstream = {.number = i,
					     .meter.updated_ns = START_NS};
		uint64_t ended_ns = START_NS + c->ms * MS;
		carob_load_entry_t entry;

		upstream.pending = c->pending;
		upstream.open_flows = c->open_flows;
		carob_load_meter_advance(&upstream, ended_ns);
		upstream.pending = 0;
		upstream.open_flows = 0;
		entry = carob_load_meter_take(&upstream, WINDOW_NS, 7,
					      START_NS + WINDOW_NS);
		CU_ASSERT_TRUE(entry.load >= c->low && entry.load <= c->high);
		CU_ASSERT_EQUAL(entry.late, CAROB_LOAD_LATE_UNKNOWN);
	}
}

/* 45 instances with 0.03 requests each on one upstream: less than a step, yet
 * their sum must show it. Rounding each report to the nearest step would
 * report 0. */
static void test_small_loads(void)
{
	carob_upstream_t upstreams[45] = {0};
	double sum = 0;

	for (uint64_t period = 0; period < 100; period++) {
		uint64_t start_ns = START_NS + period * WINDOW_NS;
		uint32_t steps = 0;

		for (size_t i = 0; i < CAROB_ARRAY_SIZE(upstreams); i++) {
			carob_upstream_t *upstream = &upstreams[i];

			carob_load_meter_advance(upstream, start_ns);
			upstream->pending = upstream->open_flows = 1;
			carob_load_meter_advance(
				upstream, start_ns + WINDOW_NS * 3 / 100);
			upstream->pending = upstream->open_flows = 0;
			steps += carob_load_meter_take(upstream, WINDOW_NS, i,
						       start_ns + WINDOW_NS)
					 .load;
		}
		sum += (double)steps / CAROB_LOAD_STEPS;
		CU_ASSERT_DOUBLE_EQUAL((double)steps / CAROB_LOAD_STEPS,
				       45 * 0.03, 1.25);
	}
	CU_ASSERT_DOUBLE_EQUAL(sum / 100, 45 * 0.03, 0.05);
}

/* The share of late responses, and how long it is remembered. */
static void test_late_responses(void)
{
	carob_upstream_t upstream = {0};

	for (int i = 0; i < 4; i++)
		carob_load_meter_record(&upstream, i == 0);
	CU_ASSERT_DOUBLE_EQUAL(
		carob_load_late_decode(
			carob_load_meter_take(&upstream, WINDOW_NS, 0, START_NS)
				.late),
		0.25, 0.02);
	/* After a long silence nothing is known any more. */
	for (uint64_t i = 1; i < 100; i++)
		(void)carob_load_meter_take(&upstream, WINDOW_NS, 0,
					    START_NS + i * WINDOW_NS);
	CU_ASSERT_EQUAL(carob_load_meter_take(&upstream, WINDOW_NS, 0,
					      START_NS + 100 * WINDOW_NS)
				.late,
			CAROB_LOAD_LATE_UNKNOWN);
}

/* One request with a target of 100 ms, and the share of late responses after
 * it. A request counts once, also if it is repeated. */
static const struct request_case {
	const char *name;
	uint32_t repeated_ms; /* 0: not repeated */
	uint32_t answered_ms; /* 0: never */
	bool shared;
	float answered;
	float late;
} request_cases[] = {
	{"in time", 0, 50, true, 1, 0},
	{"late", 0, 150, true, 1, 1},
	{"repeated, no response", 250, 0, true, 1, 1},
	{"repeated, then a response", 250, 300, true, 1, 1},
	{"load is not shared", 250, 300, false, 1, 1},
};

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_load_view_t view;
	carob_steering_t *steering;
} fixture_t;

static void fixture_init(fixture_t *fixture, bool shared)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;
	carob_route_share_t share = {.weight = 1};
	carob_route_t route = {.endpoint = FIXTURE_ROUTE,
			       .target_ms = 100,
			       .share_count = 1,
			       .shares = &share};
	carob_route_config_t config = {
		.version = 1, .count = 1, .routes = &route};

	memset(fixture, 0, sizeof(*fixture));
	carob_manual_clock_init(&fixture->clock, START_NS);
	fixture_put(&fixture->upstreams,
		    &(fixture_upstream_t)UPSTREAM("i-1", 1, "s", "a", 2), 1);
	share.service = fixture->upstreams.items[0].service;
	CU_ASSERT_EQUAL(carob_route_table_apply(&fixture->routes, &config), 0);
	options.clock = &fixture->clock.clock;
	options.routes = &fixture->routes;
	options.upstreams = &fixture->upstreams;
	options.home_zone = CAROB_STR("a");
	options.load_view = shared ? &fixture->view : NULL;
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&fixture->steering, &options),
			      0);
}

static void steer_at(fixture_t *fixture, uint64_t ms,
		     carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	fixture->clock.now_ns = START_NS + ms * MS;
	carob_steering_packet(&result, fixture->steering, &packet);
	CU_ASSERT_EQUAL(result.verdict, CAROB_STEER_FORWARD);
}

static void check_request(const struct request_case *c)
{
	const carob_upstream_meter_t *meter;
	fixture_t fixture;

	fixture_init(&fixture, c->shared);
	steer_at(&fixture, 0, fixture_syn(1, 0));
	steer_at(&fixture, 0, fixture_data(1, 1, 0, 10, 5000));
	if (c->repeated_ms)
		steer_at(&fixture, c->repeated_ms,
			 fixture_data(1, 1, 0, 10, 5000));
	if (c->answered_ms)
		steer_at(&fixture, c->answered_ms,
			 fixture_data(1, 1, 10, 0, 6000));
	meter = &fixture.upstreams.items[0].meter;
	CU_ASSERT_EQUAL(meter->answered, c->answered);
	CU_ASSERT_EQUAL(meter->late, c->late);
	CU_ASSERT_EQUAL(meter->area != 0,
			c->shared && (c->answered_ms || c->repeated_ms == 0));
	if (meter->late != c->late)
		printf("\n%s", c->name);
	carob_steering_free(fixture.steering);
	carob_route_table_dispose(&fixture.routes);
	carob_upstream_table_dispose(&fixture.upstreams);
}

static void test_requests(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(request_cases); i++)
		check_request(&request_cases[i]);
}

/* A SYN that an upstream leaves without an answer counts as late. */
static void test_unanswered_syn(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true);
	steer_at(&fixture, 0, fixture_syn(1, 0));
	steer_at(&fixture, 200, fixture_syn(1, 1));
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].meter.late, 1);
	carob_steering_free(fixture.steering);
	carob_route_table_dispose(&fixture.routes);
	carob_upstream_table_dispose(&fixture.upstreams);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"load of a period", test_meter},
		{"loads below a step", test_small_loads},
		{"share of late responses", test_late_responses},
		{"requests", test_requests},
		{"an unanswered SYN", test_unanswered_syn},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("load-meter", cases, CAROB_ARRAY_SIZE(cases));
}
