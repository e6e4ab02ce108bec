/* Requests on open flows whose upstreams are lost with their zone. The first
 * tests guard against resets of flows whose upstream serves. */
#include "flow/flow_fixture.h"

#include "carobtrail/log.h"

#define MS	  CAROB_NS_PER_MS
#define PORT	  40001
#define LINK_MBPS 10
#define UPSTREAMS 6 /* of the lost zone, with the tags 1 to 6 */
#define OTHER_TAG 99

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_link_meter_t link;
	carob_steering_t *steering;
	carob_reset_sender_t sender;
	uint32_t resets; /* sent through `sender` */
	uint64_t revision;
	uint32_t other_bytes; /* sent on the flow to the other zone */
} fixture_t;

static void count_reset(carob_reset_sender_t *sender,
			const carob_flow_packet_t *flow, uint32_t seq)
{
	fixture_t *fixture = CAROB_CONTAINER_OF(sender, fixture_t, sender);

	(void)flow;
	(void)seq;
	fixture->resets++;
}

static const char *id_of(uint32_t tag)
{
	static const char *const ids[] = {"",	 "i-1", "i-2", "i-3",
					  "i-4", "i-5", "i-6"};

	return ids[tag];
}

static void configure(fixture_t *fixture, bool idempotent)
{
	carob_route_share_t share = {.weight = 1};
	carob_route_t route = {.endpoint = FIXTURE_ROUTE,
			       .idempotent = idempotent,
			       .share_count = 1,
			       .shares = &share};
	carob_route_config_t config = {
		.version = 1, .count = 1, .routes = &route};

	CU_ASSERT_EQUAL(carob_name_table_add(&share.service,
					     &fixture->upstreams.services,
					     CAROB_STR("desk")),
			0);
	CU_ASSERT_EQUAL(carob_route_table_apply(&fixture->routes, &config), 0);
}

static void put(fixture_t *fixture, uint32_t tag)
{
	fixture_put(&fixture->upstreams,
		    &(fixture_upstream_t)UPSTREAM(id_of(tag), tag, "desk",
						  "hou-b", 20),
		    ++fixture->revision);
}

static void fixture_init(fixture_t *fixture, bool idempotent, bool reset_gone)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;

	memset(fixture, 0, sizeof(*fixture));
	carob_manual_clock_init(&fixture->clock, FIXTURE_START);
	carob_link_meter_init(&fixture->link, LINK_MBPS);
	options.clock = &fixture->clock.clock;
	options.routes = &fixture->routes;
	options.upstreams = &fixture->upstreams;
	options.home_zone = CAROB_STR("hou-a");
	options.link = &fixture->link;
	options.reset_gone = reset_gone;
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&fixture->steering, &options),
			      0);
	fixture->sender.send = count_reset;
	configure(fixture, idempotent);
	for (uint32_t tag = 1; tag <= UPSTREAMS; tag++)
		put(fixture, tag);
	fixture_put(&fixture->upstreams,
		    &(fixture_upstream_t)UPSTREAM("i-99", OTHER_TAG, "desk",
						  "hou-a", 20),
		    ++fixture->revision);
}

static void fixture_dispose(fixture_t *fixture)
{
	carob_steering_free(fixture->steering);
	carob_route_table_dispose(&fixture->routes);
	carob_upstream_table_dispose(&fixture->upstreams);
}

static carob_steer_reason_t steer(fixture_t *fixture,
				  carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, fixture->steering, &packet);
	carob_steering_reset_silent(fixture->steering, &fixture->sender);
	return result.reason;
}

/* Lets time pass, while an upstream of another zone answers. */
static void advance(fixture_t *fixture, uint64_t ms)
{
	carob_manual_clock_advance(&fixture->clock, ms * MS);
	(void)steer(fixture,
		    fixture_data(PORT - 1, OTHER_TAG, fixture->other_bytes, 10,
				 9000 + fixture->other_bytes));
	fixture->other_bytes += 10;
	(void)steer(fixture,
		    fixture_data(PORT - 1, OTHER_TAG, fixture->other_bytes, 0,
				 9000 + fixture->other_bytes));
}

/* A packet of the flow to the upstream with a tag, which sends its n-th request
 * and has got n responses. */
static carob_flow_packet_t request(uint32_t tag, uint32_t n)
{
	return fixture_data((uint16_t)(PORT + tag), tag, 10 * n, 10,
			    5000 + 100 * n);
}

static carob_flow_packet_t acknowledgement(uint32_t tag, uint32_t n)
{
	return fixture_data((uint16_t)(PORT + tag), tag, 10 * n, 0,
			    5000 + 100 * n);
}

/* Opens a flow to each upstream, and lets it answer one request. */
static void open_flows(fixture_t *fixture)
{
	for (uint32_t tag = 1; tag <= UPSTREAMS; tag++)
		(void)steer(fixture, request(tag, 0));
	advance(fixture, 30);
	for (uint32_t tag = 1; tag <= UPSTREAMS; tag++)
		(void)steer(fixture, acknowledgement(tag, 1));
	advance(fixture, 30);
}

/* Sends a request on each of the first `count` flows, and retransmissions after
 * 0.2 s and 0.6 s, and 1.4 s if it is to stall. */
static void send_unanswered(fixture_t *fixture, uint32_t count, bool stall)
{
	static const uint64_t after_ms[] = {0, 200, 400, 800};

	for (size_t i = 0; i < (stall ? 4 : 3); i++) {
		advance(fixture, after_ms[i]);
		for (uint32_t tag = 1; tag <= count; tag++)
			(void)steer(fixture, request(tag, 1));
	}
}

static void remove_upstreams(fixture_t *fixture, uint32_t count, bool certain)
{
	uint64_t now = carob_clock_now_ns(&fixture->clock.clock);

	for (uint32_t tag = 1; tag <= count; tag++) {
		carob_str_t id = carob_str_from(id_of(tag));
		uint64_t revision = ++fixture->revision;

		if (certain)
			carob_upstream_table_note_removal(&fixture->upstreams,
							  id, revision, now);
		carob_upstream_table_remove(&fixture->upstreams, id, revision,
					    CAROB_UPSTREAM_GONE, now);
	}
}

/* What happens around a loss, in this order. In each case the request of the
 * idle flow to i-6 that follows must be forwarded, and nothing be reset that
 * the present failure detector would not reset. */
typedef struct wrong_reset_case {
	const char *name;
	uint32_t silent;    /* so many upstreams leave a request unanswered */
	bool uncertain;	    /* the removals may be due to an outage */
	uint32_t removed;   /* so many upstreams are removed */
	bool stays_silent;  /* requests stay unanswered after the removal */
	uint32_t answering; /* the upstream that then answers, or 0 */
	bool returns;	    /* i-6 registers again */
	bool distrusted;    /* an outage or new era follows the removal */
	uint64_t wait_ms;   /* before the request */
	uint32_t age_ms;    /* time that the request waited to be read */
	bool congested;	    /* the own link is congested */
	bool others_silent; /* no upstream answers, also of other zones */
	bool off;	    /* the option is off */
} wrong_reset_case_t;

static const wrong_reset_case_t wrong_reset_cases[] = {
	{.name = "removed, without a sign of silence", .removed = 6},
	{.name = "silent, not removed", .silent = 5, .stays_silent = true},
	{.name = "two upstreams of the zone are silent",
	 .silent = 2,
	 .removed = 6},
	{.name = "entries lapsed in an outage",
	 .silent = 5,
	 .uncertain = true,
	 .removed = 6},
	{.name = "an outage or new era follows",
	 .silent = 5,
	 .removed = 6,
	 .distrusted = true},
	{.name = "it answers after its removal",
	 .silent = 5,
	 .removed = 6,
	 .answering = 6},
	{.name = "another one of the zone answers after the removal",
	 .silent = 4,
	 .removed = 6,
	 .answering = 5},
	{.name = "it registers again",
	 .silent = 5,
	 .removed = 6,
	 .returns = true},
	{.name = "the evidence is old",
	 .silent = 5,
	 .removed = 6,
	 .wait_ms = 3000},
	{.name = "the request was read late",
	 .silent = 5,
	 .removed = 6,
	 .age_ms = 60},
	{.name = "the own link is congested",
	 .silent = 5,
	 .removed = 6,
	 .congested = true},
	{.name = "no upstream answers",
	 .silent = 5,
	 .removed = 6,
	 .wait_ms = 1000,
	 .others_silent = true},
	{.name = "the option is off", .silent = 5, .removed = 6, .off = true},
};

static void play_wrong_reset_case(fixture_t *fixture,
				  const wrong_reset_case_t *c)
{
	open_flows(fixture);
	send_unanswered(fixture, c->silent, false);
	if (c->answering)
		(void)steer(fixture, request(c->answering, 1));
	remove_upstreams(fixture, c->removed, !c->uncertain);
	if (c->distrusted)
		carob_upstream_table_distrust_removals(
			&fixture->upstreams,
			carob_clock_now_ns(&fixture->clock.clock) - 4000 * MS);
	if (c->returns)
		put(fixture, 6);
	if (c->answering) {
		advance(fixture, 10);
		(void)steer(fixture, acknowledgement(c->answering, 2));
	}
	if (c->others_silent)
		carob_manual_clock_advance(&fixture->clock, c->wait_ms * MS);
	else
		advance(fixture, c->wait_ms);
	if (c->congested)
		carob_link_meter_send(
			&fixture->link, LINK_MBPS * 1000000 / 8,
			carob_clock_now_ns(&fixture->clock.clock));
}

static void test_no_wrong_resets(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(wrong_reset_cases); i++) {
		const wrong_reset_case_t *c = &wrong_reset_cases[i];
		carob_flow_packet_t packet =
			request(6, c->answering == 6 ? 2 : 1);
		carob_steer_reason_t reason;
		fixture_t fixture;

		fixture_init(&fixture, true, !c->off);
		play_wrong_reset_case(&fixture, c);
		packet.age_ms = c->age_ms;
		reason = steer(&fixture, packet);
		CU_ASSERT_EQUAL(reason, CAROB_STEER_KNOWN_FLOW);
		CU_ASSERT_EQUAL(fixture.resets, 0);
		if (reason != CAROB_STEER_KNOWN_FLOW || fixture.resets)
			printf("\n%s: %s, %u resets", c->name,
			       carob_steer_reason_text(reason), fixture.resets);
		fixture_dispose(&fixture);
	}
}

/* A removed upstream that serves slowly leaves requests unanswered for longer
 * than the first retransmissions. They are not reset while they may still wait
 * in its queue. */
static void test_slow_upstream_is_removed(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true, true);
	open_flows(&fixture);
	remove_upstreams(&fixture, 1, true);
	send_unanswered(&fixture, 1, false);
	advance(&fixture, 200);
	CU_ASSERT_EQUAL(steer(&fixture, acknowledgement(1, 2)),
			CAROB_STEER_KNOWN_FLOW);
	CU_ASSERT_EQUAL(steer(&fixture, request(1, 2)), CAROB_STEER_KNOWN_FLOW);
	CU_ASSERT_EQUAL(fixture.resets, 0);
	fixture_dispose(&fixture);
}

/* A request that carries the acknowledgement of the last response shows that the
 * upstream serves, as does an acknowledgement in the middle of a response. */
static void test_signs_of_life_in_packets(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true, true);
	open_flows(&fixture);
	send_unanswered(&fixture, 5, false);
	remove_upstreams(&fixture, 6, true);
	CU_ASSERT_EQUAL(steer(&fixture, request(6, 2)), CAROB_STEER_KNOWN_FLOW);
	CU_ASSERT_EQUAL(fixture.resets, 0);
	fixture_dispose(&fixture);

	fixture_init(&fixture, true, true);
	open_flows(&fixture);
	send_unanswered(&fixture, 5, false);
	remove_upstreams(&fixture, 6, true);
	(void)steer(&fixture, acknowledgement(6, 3));
	CU_ASSERT_EQUAL(steer(&fixture, request(6, 3)), CAROB_STEER_KNOWN_FLOW);
	CU_ASSERT_EQUAL(fixture.resets, 0);
	fixture_dispose(&fixture);
}

/* A zone is lost: once its entries are removed and a few upstreams have been
 * found silent, a request to any of them is reset as it arrives, also on a flow
 * that this instance has not seen. Requests that must not be repeated wait. */
static void test_lost_zone(void)
{
	static const struct {
		bool idempotent;
		carob_steer_reason_t known;
		carob_steer_reason_t unknown;
	} cases[] = {
		{true, CAROB_STEER_UPSTREAM_GONE, CAROB_STEER_UPSTREAM_GONE},
		{false, CAROB_STEER_KNOWN_FLOW, CAROB_STEER_BY_TAG},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture, cases[i].idempotent, true);
		open_flows(&fixture);
		send_unanswered(&fixture, 3, false);
		advance(&fixture, 1000);
		remove_upstreams(&fixture, 6, true);
		CU_ASSERT_EQUAL(steer(&fixture, request(6, 1)), cases[i].known);
		CU_ASSERT_EQUAL(steer(&fixture,
				      fixture_data(PORT + 50, 5, 0, 10, 5000)),
				cases[i].unknown);
		CU_ASSERT_EQUAL(steer(&fixture, acknowledgement(4, 1)),
				CAROB_STEER_KNOWN_FLOW);
		fixture_dispose(&fixture);
	}
}

/* When the evidence has become old, one overdue request to any upstream of the
 * zone renews it: nothing of the zone has answered in between. */
static void test_renewed_evidence(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true, true);
	open_flows(&fixture);
	send_unanswered(&fixture, 3, false);
	remove_upstreams(&fixture, 6, true);
	advance(&fixture, 3000);
	CU_ASSERT_EQUAL(steer(&fixture, request(4, 1)), CAROB_STEER_KNOWN_FLOW);
	advance(&fixture, 200);
	CU_ASSERT_EQUAL(steer(&fixture, request(4, 1)), CAROB_STEER_KNOWN_FLOW);
	CU_ASSERT_EQUAL(steer(&fixture, request(5, 1)), CAROB_STEER_KNOWN_FLOW);
	advance(&fixture, 400);
	(void)steer(&fixture, request(4, 1));
	CU_ASSERT_EQUAL(steer(&fixture, request(6, 1)),
			CAROB_STEER_UPSTREAM_GONE);
	fixture_dispose(&fixture);
}

/* One upstream is lost: a request that stalled before the removal suffices. The
 * other flows with requests in progress are reset with the next retransmission
 * of one of them. */
static void test_lost_upstream(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true, true);
	open_flows(&fixture);
	send_unanswered(&fixture, 1, true);
	advance(&fixture, 1000);
	remove_upstreams(&fixture, 1, true);
	CU_ASSERT_EQUAL(steer(&fixture,
			      fixture_data(PORT + 50, 1, 0, 10, 5000)),
			CAROB_STEER_UPSTREAM_GONE);
	CU_ASSERT_EQUAL(steer(&fixture, request(2, 1)), CAROB_STEER_KNOWN_FLOW);
	fixture_dispose(&fixture);
}

/* Requests that wait when the loss becomes known are reset without waiting for
 * another retransmission, of which the next may come after the deadline. Idle
 * flows are reset on any route: the next request on one would be lost. Requests
 * that may not be repeated wait. */
static void test_waiting_requests(void)
{
	static const struct {
		bool idempotent;
		uint32_t age_ms;  /* of the packets that are read meanwhile */
		uint32_t resets;  /* of 4 waiting and 2 idle flows */
		uint32_t pending; /* left on the first upstream */
	} cases[] = {{true, 0, 6, 0}, {true, 60, 0, 1}, {false, 0, 2, 1}};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		carob_flow_packet_t other =
			fixture_data(PORT - 2, OTHER_TAG, 0, 10, 5000);
		fixture_t fixture;

		fixture_init(&fixture, cases[i].idempotent, true);
		open_flows(&fixture);
		send_unanswered(&fixture, 3, false);
		(void)steer(&fixture, request(4, 1));
		advance(&fixture, 100);
		remove_upstreams(&fixture, 6, true);
		carob_manual_clock_advance(&fixture.clock, 100 * MS);
		other.age_ms = cases[i].age_ms;
		(void)steer(&fixture, other);
		CU_ASSERT_EQUAL(fixture.resets, cases[i].resets);
		CU_ASSERT_EQUAL(fixture.upstreams.items[0].pending,
				cases[i].pending);
		fixture_dispose(&fixture);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"no flow is reset whose upstream may serve",
		 test_no_wrong_resets},
		{"a slow upstream is removed", test_slow_upstream_is_removed},
		{"signs of life in packets", test_signs_of_life_in_packets},
		{"a zone is lost", test_lost_zone},
		{"an upstream is lost", test_lost_upstream},
		{"old evidence is renewed", test_renewed_evidence},
		{"requests that wait when the loss becomes known",
		 test_waiting_requests},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("zone lost", cases, CAROB_ARRAY_SIZE(cases));
}
