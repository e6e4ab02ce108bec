/*
 * Guards against requests that wait for their deadline at an upstream that
 * fails most requests, and against resets that break off what may be served or
 * may not be repeated.
 */
#include "carobtrail/load_meter.h"
#include "carobtrail/log.h"
#include "flow/flow_fixture.h"

#define MS	  CAROB_NS_PER_MS
#define UPSTREAMS 4
#define INSTANCES 25

typedef struct fixture {
	carob_reset_sender_t sender; /* first member */
	carob_manual_clock_t clock;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_load_view_t view;
	carob_steering_t *steering;
	carob_upstream_t *upstream; /* that has the request */
	uint32_t resets;
} fixture_t;

static void count_reset(carob_reset_sender_t *sender,
			const carob_flow_packet_t *packet, uint32_t seq)
{
	(void)packet;
	(void)seq;
	((fixture_t *)sender)->resets++;
}

static void fixture_init(fixture_t *fixture, bool idempotent)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;
	carob_route_share_t share = {.weight = 1};
	carob_route_t route = {.endpoint = FIXTURE_ROUTE,
			       .idempotent = idempotent,
			       .target_ms = 500,
			       .share_count = 1,
			       .shares = &share};
	carob_route_config_t config = {
		.version = 1, .count = 1, .routes = &route};

	*fixture = (fixture_t){.sender.send = count_reset};
	carob_manual_clock_init(&fixture->clock, FIXTURE_START);
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		char id[] = {'u', (char)('a' + i), '\0'};
		fixture_upstream_t row = UPSTREAM(id, i + 1, "web", "a", 2);

		fixture_put(&fixture->upstreams, &row, i + 1);
	}
	share.service = fixture->upstreams.items[0].service;
	CU_ASSERT_EQUAL(carob_route_table_apply(&fixture->routes, &config), 0);
	fixture->view = (carob_load_view_t){.zone_instances = 9,
					    .all_instances = INSTANCES,
					    .updated_ns = FIXTURE_START,
					    .expires_ns = UINT64_MAX,
					    .counts_expire_ns = UINT64_MAX};
	options.clock = &fixture->clock.clock;
	options.routes = &fixture->routes;
	options.upstreams = &fixture->upstreams;
	options.home_zone = CAROB_STR("a");
	options.load_view = &fixture->view;
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&fixture->steering, &options),
			      0);
}

static void fixture_dispose(fixture_t *fixture)
{
	carob_steering_free(fixture->steering);
	carob_route_table_dispose(&fixture->routes);
	carob_upstream_table_dispose(&fixture->upstreams);
}

static const carob_upstream_t *steer(fixture_t *fixture,
				     carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, fixture->steering, &packet);
	return result.upstream;
}

/* Opens a flow and sends its request. */
static void send_request(fixture_t *fixture)
{
	const carob_upstream_t *upstream = steer(fixture, fixture_syn(1, 0));

	CU_ASSERT_PTR_NOT_NULL(upstream);
	if (!upstream)
		return;
	fixture->upstream =
		&fixture->upstreams.items[upstream - fixture->upstreams.items];
	(void)steer(fixture, fixture_data(1, upstream->tag, 0, 10, 5000));
}

/* A flow that is no load, so that the service is not overloaded. */
static void open_and_end_flow(fixture_t *fixture, uint16_t port)
{
	carob_flow_packet_t reset = fixture_data(port, 1, 0, 0, 0);

	reset.rst = true;
	(void)steer(fixture, fixture_syn(port, 0));
	(void)steer(fixture, reset);
}

/* Lets time pass while others report a share of failures of the upstream, and
 * other callers open flows. */
static void run(fixture_t *fixture, uint64_t ms, float share)
{
	static uint16_t port = 1000;

	for (uint64_t passed = 0; passed < ms; passed += 50) {
		fixture->clock.now_ns += 50 * MS;
		for (size_t i = 0; i < UPSTREAMS; i++) {
			carob_upstream_t *upstream =
				&fixture->upstreams.items[i];

			upstream->meter.answered = 0.8F;
			upstream->others_answered = true;
			upstream->others_late =
				upstream == fixture->upstream ? share : 0;
		}
		open_and_end_flow(fixture, port++);
		carob_steering_reset_silent(fixture->steering,
					    &fixture->sender);
	}
}

/* No reset: the caller of a request that was sent before the upstream was found
 * to fail may be served through another instance by now. */
static void test_earlier_requests(void)
{
	static const struct {
		bool idempotent;
		float share;
	} cases[] = {{true, 0.9F}, {true, 0.2F}, {false, 0.9F}};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture, cases[i].idempotent);
		send_request(&fixture);
		run(&fixture, 2500, cases[i].share);
		CU_ASSERT_EQUAL(fixture.resets, 0);
		fixture_dispose(&fixture);
	}
}

/* The next request on a flow that stays open at a failing upstream is reset
 * once it is overdue, if it may be repeated. */
static void test_next_request(void)
{
	for (int idempotent = 0; idempotent <= 1; idempotent++) {
		fixture_t fixture;
		uint32_t tag;

		fixture_init(&fixture, idempotent);
		send_request(&fixture);
		tag = fixture.upstream->tag;
		(void)steer(&fixture, fixture_data(1, tag, 10, 0, 7000));
		run(&fixture, 1500, 0.9F);
		CU_ASSERT_TRUE(fixture.upstream->outlier.failing);
		CU_ASSERT_EQUAL(fixture.resets, 0);
		(void)steer(&fixture, fixture_data(1, tag, 10, 10, 7000));
		run(&fixture, 250, 0.9F);
		CU_ASSERT_EQUAL(fixture.resets, 0);
		run(&fixture, 200, 0.9F);
		CU_ASSERT_EQUAL(fixture.resets, idempotent ? 1 : 0);
		fixture_dispose(&fixture);
	}
}

/* No reset: the flow was opened through another instance, and routers that give
 * it back in the middle of a request take the response's acknowledgements away
 * from this one. The upstream serves, and the reset would break the flow. */
static void test_flow_of_another_instance(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true);
	fixture.upstream = &fixture.upstreams.items[0];
	run(&fixture, 1500, 0.9F);
	CU_ASSERT_TRUE(fixture.upstream->outlier.failing);
	(void)steer(&fixture,
		    fixture_data(1, fixture.upstream->tag, 10, 10, 7000));
	run(&fixture, 1500, 0.9F);
	CU_ASSERT_EQUAL(fixture.resets, 0);
	fixture_dispose(&fixture);
}

/* A request whose caller falls silent counts as missing, once; a caller that
 * ends the flow has its response or has given up. */
static void test_missing(void)
{
	for (int ended = 0; ended <= 1; ended++) {
		fixture_t fixture;
		carob_flow_packet_t fin;

		fixture_init(&fixture, false);
		send_request(&fixture);
		if (ended) {
			fin = fixture_data(1, fixture.upstream->tag, 10, 0,
					   5000);
			fin.fin = true;
			(void)steer(&fixture, fin);
		}
		for (int i = 0; i < 12; i++) {
			fixture.clock.now_ns += 50 * MS;
			open_and_end_flow(&fixture, (uint16_t)(50 + i));
		}
		CU_ASSERT_EQUAL(fixture.upstream->meter.late > 0, !ended);
		CU_ASSERT_TRUE(fixture.upstream->meter.late <= 1);
		fixture_dispose(&fixture);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"earlier requests", test_earlier_requests},
		{"next request", test_next_request},
		{"flow of another instance", test_flow_of_another_instance},
		{"missing", test_missing},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("failing-requests", cases, CAROB_ARRAY_SIZE(cases));
}
