/*
 * Upstreams that reset SYNs: a zone whose hosts have crashed. Instances do not
 * see these resets; a caller uses up its three attempts within milliseconds if
 * each is placed in the same zone. The tests guard against that, and against
 * taking another user of a caller for a second attempt.
 */
#include "flow/flow_fixture.h"

#include "carobtrail/kernel.h"
#include "carobtrail/log.h"

#define MS	   CAROB_NS_PER_MS
#define CONNECT_MS 7
#define FIRST_PORT 10
#define PER_ZONE   4
#define COLD_PER_S 10.0
#define COLD_MS	   60000

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_load_view_t view;
	carob_steering_t *steering;
} fixture_t;

static void add_route(fixture_t *fixture)
{
	carob_route_share_t share = {.weight = 1};
	carob_route_t route = {.endpoint = FIXTURE_ROUTE,
			       .idempotent = true,
			       .share_count = 1,
			       .shares = &share};
	carob_service_config_t service = {.cold_per_s = COLD_PER_S};
	carob_route_config_t config = {.version = 1,
				       .count = 1,
				       .routes = &route,
				       .service_count = 1,
				       .services = &service};

	CU_ASSERT_EQUAL_FATAL(carob_name_table_add(&share.service,
						   &fixture->upstreams.services,
						   CAROB_STR("web")),
			      0);
	service.service = share.service;
	CU_ASSERT_EQUAL_FATAL(
		carob_route_table_apply(&fixture->routes, &config), 0);
}

static void fixture_init(fixture_t *fixture, bool shares_load)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;

	memset(fixture, 0, sizeof(*fixture));
	carob_manual_clock_init(&fixture->clock, FIXTURE_START);
	for (uint32_t i = 0; i < 2 * PER_ZONE; i++) {
		char id[] = {'u', (char)('a' + i), '\0'};
		fixture_upstream_t row =
			UPSTREAM(id, i + 1, "web", i < PER_ZONE ? "a" : "b", 2);

		fixture_put(&fixture->upstreams, &row, i + 1);
	}
	add_route(fixture);
	fixture->view = (carob_load_view_t){.zone_instances = 9,
					    .all_instances = 18,
					    .updated_ns = FIXTURE_START,
					    .expires_ns = UINT64_MAX,
					    .counts_expire_ns = UINT64_MAX};
	options.clock = &fixture->clock.clock;
	options.routes = &fixture->routes;
	options.upstreams = &fixture->upstreams;
	options.home_zone = CAROB_STR("a");
	options.load_view = shares_load ? &fixture->view : NULL;
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
				     const carob_flow_packet_t *packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, fixture->steering, packet);
	return result.upstream;
}

static const carob_upstream_t *open_flow(fixture_t *fixture, uint16_t port)
{
	carob_flow_packet_t packet = fixture_syn(port, 0);
	const carob_upstream_t *to = steer(fixture, &packet);

	CU_ASSERT_PTR_NOT_NULL_FATAL(to);
	if (!to)
		return NULL;
	carob_manual_clock_advance(&fixture->clock, CONNECT_MS * MS);
	packet = fixture_data(port, to->tag, 0, 10, 1);
	(void)steer(fixture, &packet);
	return to;
}

/* What comes after the first SYN of a caller, and whether that was refused. */
static const struct attempt_case {
	const char *name;
	uint64_t gap_ms;
	bool shares_load;
	bool opens; /* the first flow has opened meanwhile */
	uint8_t copy;
	uint32_t route_ip;
	uint32_t refused;
} attempt_cases[] = {
	{"again after a round trip", 8, true, false, 0, 0, 1},
	{"another user, sooner", 3, true, false, 0, 0, 0},
	{"the first one has opened", 8, true, true, 0, 0, 0},
	{"later than a copy of the first SYN", 250, true, false, 0, 0, 0},
	{"a copy of another SYN", 8, true, false, 1, 0, 0},
	{"another route", 8, true, false, 0, 0xc6120002, 0},
	{"load is not shared", 8, false, false, 0, 0, 0},
};

static void check_attempt(const struct attempt_case *c)
{
	carob_flow_packet_t first = fixture_syn(FIRST_PORT, 0);
	carob_flow_packet_t next = fixture_syn(FIRST_PORT + 1, c->copy);
	const carob_upstream_t *to;
	fixture_t fixture;

	fixture_init(&fixture, c->shares_load);
	(void)open_flow(&fixture, 1);
	carob_manual_clock_advance(&fixture.clock, 1000 * MS);
	to = steer(&fixture, &first);
	carob_manual_clock_advance(&fixture.clock, c->gap_ms * MS);
	if (c->opens && to) {
		first = fixture_data(FIRST_PORT, to->tag, 0, 10, 1);
		(void)steer(&fixture, &first);
	}
	if (c->route_ip)
		next.route.ip = c->route_ip;
	(void)steer(&fixture, &next);
	CU_ASSERT_PTR_NOT_NULL_FATAL(to);
	if (to && to->refused_syns != c->refused)
		printf("\n%s: %u", c->name, to->refused_syns);
	CU_ASSERT_TRUE(to && to->refused_syns == c->refused);
	fixture_dispose(&fixture);
}

static void test_attempts(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(attempt_cases); i++)
		check_attempt(&attempt_cases[i]);
}

/* All upstreams of the own zone reset: after the first two callers have used up
 * their attempts, all others are placed in the other zone, but for the few that
 * look for a recovery. */
static void test_crashed_zone(void)
{
	uint32_t elsewhere = 0;
	fixture_t fixture;

	fixture_init(&fixture, true);
	(void)open_flow(&fixture, 1);
	carob_manual_clock_advance(&fixture.clock, 1000 * MS);
	for (uint16_t i = 0; i < 106; i++) {
		carob_flow_packet_t syn = fixture_syn(FIRST_PORT + i, 0);
		const carob_upstream_t *to = steer(&fixture, &syn);

		carob_manual_clock_advance(&fixture.clock, 8 * MS);
		if (!to || to->zone == fixture.upstreams.items[0].zone)
			continue;
		syn = fixture_data(FIRST_PORT + i, to->tag, 0, 10, 1);
		(void)steer(&fixture, &syn);
		syn = fixture_data(FIRST_PORT + i, to->tag, 10, 0, 100);
		(void)steer(&fixture, &syn);
		elsewhere += i >= 6;
	}
	CU_ASSERT_TRUE(elsewhere >= 75);
	if (elsewhere < 75)
		printf("\n%u of 100 elsewhere", elsewhere);
	fixture_dispose(&fixture);
}

/* The only upstream is cold, and its service states a rate. A caller that tries
 * again must not get past the slow start: over ten seconds, callers of which
 * each tries twice get as many flows as the rate allows. */
static void test_cold_upstream(void)
{
	fixture_upstream_t cold =
		UPSTREAM("ua", 1, "web", "a", 2, .cold_ms = COLD_MS);
	carob_pace_options_t pace = {
		.cold_overage = 1.5, .cold_slack = 5, .instances = 1};
	uint32_t placed = 0;
	fixture_t fixture;

	fixture_init(&fixture, true);
	(void)open_flow(&fixture, 1);
	fixture.view.zone_instances = 1;
	fixture.view.all_instances = 1;
	for (uint64_t i = 1; i < 2 * PER_ZONE; i++)
		carob_upstream_table_remove(
			&fixture.upstreams,
			carob_str_from(fixture.upstreams.items[i].id), 100,
			CAROB_UPSTREAM_GONE, FIXTURE_START);
	fixture_put(&fixture.upstreams, &cold, 101);
	fixture.upstreams.items[0].cold_until_ns = FIXTURE_START + COLD_MS * MS;
	carob_steering_set_pace(fixture.steering, &pace);
	for (uint16_t i = 0; i < 1000; i++) {
		carob_flow_packet_t syn = fixture_syn(FIRST_PORT + i, 0);

		carob_manual_clock_advance(&fixture.clock,
					   (i % 2 ? 8 : 12) * MS);
		placed += steer(&fixture, &syn) != NULL;
	}
	CU_ASSERT_TRUE(placed > 0);
	CU_ASSERT_TRUE(placed <= 10 * COLD_PER_S + 5);
	if (placed > 10 * COLD_PER_S + 5)
		printf("\n%u placed", placed);
	fixture_dispose(&fixture);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"attempts of a caller", test_attempts},
		{"a zone that resets", test_crashed_zone},
		{"a cold upstream", test_cold_upstream},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("refused-attempt", cases, CAROB_ARRAY_SIZE(cases));
}
