#include "flow/flow_fixture.h"

#include "carobtrail/log.h"

#define MS		 CAROB_NS_PER_MS
#define PORT		 40001
#define ROUTES_MAX	 4
#define RETRANSMIT_MS	 200
#define LINK_MBPS	 10
#define LINK_BYTES_PER_S (LINK_MBPS * 1000000 / 8)

/* Requests of the first route may be retried, those of the second must not. */
#define SAFE_ROUTE   ((carob_endpoint_t){0xc6120001, 443})
#define UNSAFE_ROUTE ((carob_endpoint_t){0xc6120002, 443})

/* Steering with its tables, on a manual clock. */
typedef struct fixture {
	carob_manual_clock_t clock;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_link_meter_t link;
	carob_steering_t *steering;
	carob_reset_sender_t sender;
	uint32_t resets; /* sent through `sender` */
	uint64_t config_version;
	carob_route_share_t shares[ROUTES_MAX]; /* one for each route */
	size_t share_count;
	uint64_t revision;
} fixture_t;

static void count_reset(carob_reset_sender_t *sender,
			const carob_flow_packet_t *flow, uint32_t seq)
{
	fixture_t *fixture = CAROB_CONTAINER_OF(sender, fixture_t, sender);

	(void)flow;
	(void)seq;
	fixture->resets++;
}

static carob_route_t route_to(fixture_t *fixture, carob_endpoint_t endpoint,
			      const char *service, bool idempotent)
{
	carob_route_share_t *share = &fixture->shares[fixture->share_count++];
	carob_route_t route = {
		.endpoint = endpoint,
		.idempotent = idempotent,
		.share_count = 1,
		.shares = share,
	};

	CU_ASSERT_FATAL(fixture->share_count <= ROUTES_MAX);
	share->weight = 1;
	CU_ASSERT_EQUAL(carob_name_table_add(&share->service,
					     &fixture->upstreams.services,
					     carob_str_from(service)),
			0);
	return route;
}

static void configure(fixture_t *fixture, carob_route_t *routes, size_t count)
{
	carob_route_config_t config = {
		.version = ++fixture->config_version,
		.idle_timeout_ms = 15000,
		.count = count,
		.routes = routes,
	};

	CU_ASSERT_EQUAL(carob_route_table_apply(&fixture->routes, &config), 0);
}

static void put_upstream(fixture_t *fixture, const fixture_upstream_t *row)
{
	fixture_put(&fixture->upstreams, row, ++fixture->revision);
}

static void fixture_init(fixture_t *fixture)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;
	carob_route_t routes[2];

	memset(fixture, 0, sizeof(*fixture));
	carob_manual_clock_init(&fixture->clock, FIXTURE_START);
	options.clock = &fixture->clock.clock;
	options.routes = &fixture->routes;
	options.upstreams = &fixture->upstreams;
	options.home_zone = CAROB_STR("hou-a");
	carob_link_meter_init(&fixture->link, LINK_MBPS);
	options.link = &fixture->link;
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&fixture->steering, &options),
			      0);
	fixture->sender.send = count_reset;
	routes[0] = route_to(fixture, SAFE_ROUTE, "desk", true);
	routes[1] = route_to(fixture, UNSAFE_ROUTE, "desk", false);
	configure(fixture, routes, CAROB_ARRAY_SIZE(routes));
	put_upstream(fixture, &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk",
							    "hou-a", 20));
	put_upstream(fixture, &(fixture_upstream_t)UPSTREAM("i-2", 2, "desk",
							    "hou-b", 20));
}

static void fixture_dispose(fixture_t *fixture)
{
	carob_steering_free(fixture->steering);
	carob_route_table_dispose(&fixture->routes);
	carob_upstream_table_dispose(&fixture->upstreams);
}

static void advance(fixture_t *fixture, uint64_t ms)
{
	carob_manual_clock_advance(&fixture->clock, ms * MS);
}

static carob_steer_result_t steer(fixture_t *fixture,
				  carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, fixture->steering, &packet);
	carob_steering_reset_silent(fixture->steering, &fixture->sender);
	return result;
}

static void expect_steered(fixture_t *fixture, carob_flow_packet_t packet,
			   carob_steer_reason_t reason, const char *upstream)
{
	carob_steer_result_t result = steer(fixture, packet);

	CU_ASSERT_EQUAL(result.reason, reason);
	CU_ASSERT_STRING_EQUAL(result.upstream ? result.upstream->id : "",
			       upstream);
	if (result.reason != reason)
		printf("\n%s: expected %s",
		       carob_steer_reason_text(result.reason),
		       carob_steer_reason_text(reason));
}

/* Opens a flow on upstream i-1 and sends a request of 10 bytes. */
static void open_with_request(fixture_t *fixture, uint16_t port)
{
	(void)steer(fixture, fixture_syn(port, 0));
	(void)steer(fixture, fixture_data(port, 1, 0, 10, 5000));
}

/* An open flow stays on its upstream when the upstream drains and when it is
 * removed from the catalogue. */
static void test_a_flow_stays_on_its_upstream(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	expect_steered(&fixture, fixture_syn(PORT, 0), CAROB_STEER_PLACED,
		       "i-1");
	expect_steered(&fixture, fixture_data(PORT, 1, 0, 10, 5000),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	put_upstream(&fixture,
		     &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk", "hou-a", 2,
						   .draining = true));
	expect_steered(&fixture, fixture_data(PORT, 1, 10, 10, 5100),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	expect_steered(&fixture, fixture_syn(PORT + 1, 0), CAROB_STEER_PLACED,
		       "i-2");
	carob_upstream_table_remove(&fixture.upstreams, CAROB_STR("i-1"),
				    ++fixture.revision, CAROB_UPSTREAM_GONE,
				    FIXTURE_START);
	expect_steered(&fixture, fixture_data(PORT, 1, 20, 0, 5200),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	fixture_dispose(&fixture);
}

/* A retransmitted SYN that follows the first at once was delayed in a queue and
 * goes to the same upstream. One that follows after the caller's time-out goes
 * to another upstream. The tag of the caller's first packet after the SYN
 * decides which of the two has the flow; a late SYN-ACK of the other upstream,
 * which changes the tag in the caller's packets, does not move the flow. */
static void test_retransmitted_syns(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	expect_steered(&fixture, fixture_syn(PORT, 0), CAROB_STEER_PLACED,
		       "i-1");
	advance(&fixture, 5);
	expect_steered(&fixture, fixture_syn(PORT, 1), CAROB_STEER_REPEATED,
		       "i-1");
	advance(&fixture, RETRANSMIT_MS);
	expect_steered(&fixture, fixture_syn(PORT, 2), CAROB_STEER_PLACED_AGAIN,
		       "i-2");
	expect_steered(&fixture, fixture_data(PORT, 1, 0, 10, 5000),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	expect_steered(&fixture, fixture_data(PORT, 2, 10, 10, 5000),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	advance(&fixture, RETRANSMIT_MS);
	expect_steered(&fixture, fixture_syn(PORT, 2), CAROB_STEER_REPEATED,
		       "i-1");
	fixture_dispose(&fixture);
}

/* A retransmitted SYN may reach another instance than the first SYN did. If
 * the first upstream drains by then, the instance places the flow on another
 * one, and moves it back if the first upstream has answered. */
static void test_retransmitted_syn_when_upstream_drains(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	put_upstream(&fixture,
		     &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk", "hou-a", 2,
						   .draining = true));
	expect_steered(&fixture, fixture_syn(PORT, 1), CAROB_STEER_PLACED,
		       "i-2");
	expect_steered(&fixture, fixture_data(PORT, 1, 0, 10, 5000),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	fixture_dispose(&fixture);
}

/* Packets of flows that were opened through other instances are steered by
 * their tags, and dropped without a known tag. */
static void test_flows_of_other_instances(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	expect_steered(&fixture, fixture_data(PORT, 2, 0, 10, 5000),
		       CAROB_STEER_BY_TAG, "i-2");
	expect_steered(&fixture, fixture_data(PORT, 2, 10, 0, 5100),
		       CAROB_STEER_KNOWN_FLOW, "i-2");
	expect_steered(&fixture, fixture_data(PORT + 1, 77, 0, 10, 5000),
		       CAROB_STEER_UNKNOWN_TAG, "");
	expect_steered(&fixture, fixture_data(PORT + 2, 0, 0, 10, 5000),
		       CAROB_STEER_UNKNOWN_TAG, "");
	fixture_dispose(&fixture);
}

static void expect_explained(const fixture_t *fixture, uint16_t port,
			     uint32_t tag, carob_steer_reason_t reason,
			     const char *id)
{
	carob_flow_packet_t packet = fixture_data(port, tag, 0, 0, 0);
	carob_steer_explanation_t explanation;

	carob_steering_explain(&explanation, fixture->steering, &packet);
	CU_ASSERT_EQUAL(explanation.reason, reason);
	CU_ASSERT_STRING_EQUAL(
		explanation.upstream ? explanation.upstream->id : "", id);
	CU_ASSERT_EQUAL(explanation.config_version, fixture->config_version);
}

/* An explanation predicts the decision on a packet, and changes neither
 * counters nor the flow table. */
static void test_explanations(void)
{
	const carob_steering_counters_t *counters;
	fixture_t fixture;

	fixture_init(&fixture);
	expect_explained(&fixture, PORT, 0, CAROB_STEER_PLACED, "i-1");
	expect_explained(&fixture, PORT, 2, CAROB_STEER_BY_TAG, "i-2");
	expect_explained(&fixture, PORT, 77, CAROB_STEER_UNKNOWN_TAG, "");
	counters = carob_steering_counters(fixture.steering);
	for (int i = 0; i < CAROB_STEER_REASON_COUNT; i++)
		CU_ASSERT_EQUAL(counters->reasons[i], 0);
	CU_ASSERT_EQUAL(carob_steering_flow_count(fixture.steering), 0);
	expect_steered(&fixture, fixture_data(PORT, 2, 0, 10, 5000),
		       CAROB_STEER_BY_TAG, "i-2");
	expect_explained(&fixture, PORT, 0, CAROB_STEER_KNOWN_FLOW, "i-2");
	fixture_dispose(&fixture);
}

/* Conditions around a request that is retransmitted without a response. */
static const struct {
	const char *name;
	carob_endpoint_t route;
	bool others_answer;	    /* other upstreams respond all the time */
	bool answers_other_request; /* the upstream responds to another request */
	uint32_t retransmit_ms[3]; /* times of the retransmissions */
	uint32_t resets;	   /* expected number of resets */
	uint32_t age_ms; /* how long they wait in the receive buffer */
	bool congested;	 /* the own link is congested */
} stall_cases[] = {
	{"no response", SAFE_ROUTE, true, false, {200, 600, 1400}, 1, 0, false},
	{"not idempotent",
	 UNSAFE_ROUTE,
	 true,
	 false,
	 {200, 600, 1400},
	 0,
	 0,
	 false},
	{"no upstream responds",
	 SAFE_ROUTE,
	 false,
	 false,
	 {200, 600, 1400},
	 0,
	 0,
	 false},
	{"another response",
	 SAFE_ROUTE,
	 true,
	 true,
	 {200, 600, 1400},
	 0,
	 0,
	 false},
	{"queued retransmissions",
	 SAFE_ROUTE,
	 true,
	 false,
	 {1, 2, 3},
	 0,
	 0,
	 false},
	{"retransmitted briefly",
	 SAFE_ROUTE,
	 true,
	 false,
	 {200, 600, 700},
	 0,
	 0,
	 false},
	{"read soon", SAFE_ROUTE, true, false, {200, 600, 1400}, 1, 10, false},
	{"read late", SAFE_ROUTE, true, false, {200, 600, 1400}, 0, 100, false},
	{"own link congested",
	 SAFE_ROUTE,
	 true,
	 false,
	 {200, 600, 1400},
	 0,
	 0,
	 true},
};

/* Steers a request from `port` to the upstream of `tag`, and the caller's
 * acknowledgement of the response. */
static void exchange(fixture_t *fixture, uint16_t port, uint32_t tag,
		     uint32_t number)
{
	uint32_t ack = 6000 + 100 * number;

	(void)steer(fixture, fixture_data(port, tag, 10 * number, 10, ack));
	(void)steer(fixture,
		    fixture_data(port, tag, 10 * number + 10, 0, ack + 99));
}

static void simulate_stall(fixture_t *fixture, size_t i)
{
	carob_flow_packet_t request = fixture_data(PORT, 1, 10, 10, 5000);
	carob_flow_packet_t syn = fixture_syn(PORT, 0);
	size_t copies = 0;

	request.age_ms = stall_cases[i].age_ms;
	if (stall_cases[i].congested)
		carob_link_meter_send(
			&fixture->link, LINK_BYTES_PER_S,
			carob_clock_now_ns(&fixture->clock.clock));
	syn.route = stall_cases[i].route;
	request.route = stall_cases[i].route;
	(void)steer(fixture, syn);
	(void)steer(fixture, request);
	for (uint32_t ms = 1; ms <= 1500; ms++) {
		advance(fixture, 1);
		if (stall_cases[i].others_answer && ms % 50 == 0)
			exchange(fixture, PORT + 1, 2, ms / 50);
		if (stall_cases[i].answers_other_request && ms == 500)
			exchange(fixture, PORT + 2, 1, 1);
		if (copies < 3 && ms == stall_cases[i].retransmit_ms[copies]) {
			(void)steer(fixture, request);
			copies++;
		}
	}
}

/* If one caller retransmits a request for long enough, its upstream is found
 * silent even without unanswered SYNs. The flow is reset, so that the caller
 * can retry the request elsewhere instead of waiting until it times out. */
static void test_stalled_request(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(stall_cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture);
		simulate_stall(&fixture, i);
		CU_ASSERT_EQUAL(fixture.resets, stall_cases[i].resets);
		if (fixture.resets != stall_cases[i].resets)
			printf("\n%s: %u resets", stall_cases[i].name,
			       fixture.resets);
		fixture_dispose(&fixture);
	}
}

/* After a stalled request, the next request to the upstream is reset at once
 * and new flows go to other upstreams, until the upstream answers again. */
static void test_after_stalled_request(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	simulate_stall(&fixture, 0);
	exchange(&fixture, PORT + 1, 2, 40);
	expect_steered(&fixture, fixture_data(PORT + 3, 1, 0, 10, 5000),
		       CAROB_STEER_BY_TAG, "i-1");
	expect_steered(&fixture, fixture_data(PORT + 3, 1, 10, 10, 5000),
		       CAROB_STEER_UPSTREAM_SILENT, "i-1");
	expect_steered(&fixture, fixture_syn(PORT + 4, 0), CAROB_STEER_PLACED,
		       "i-2");
	exchange(&fixture, PORT + 5, 1, 1);
	expect_steered(&fixture, fixture_data(PORT + 5, 1, 40, 10, 7000),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	fixture_dispose(&fixture);
}

/* A waiting caller retransmits its request at least every 1.6 s. A caller that
 * has given up sends nothing, and its request must soon cease to count as
 * load. */
static void test_caller_that_gives_up(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	(void)steer(&fixture, fixture_data(PORT, 1, 0, 10, 5000));
	(void)steer(&fixture, fixture_data(PORT + 1, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].pending, 2);
	for (int ms = 0; ms < 4000; ms += 500) {
		if (ms % 1500 == 0)
			(void)steer(&fixture,
				    fixture_data(PORT, 1, 0, 10, 5000));
		advance(&fixture, 500);
		carob_steering_sweep(fixture.steering);
	}
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].pending, 1);
	CU_ASSERT_EQUAL(carob_steering_flow_count(fixture.steering), 2);
	fixture_dispose(&fixture);
}

/* A SYN with another sequence number on a known flow begins a new flow. */
static void test_reused_port(void)
{
	carob_flow_packet_t syn = fixture_syn(PORT, 0);
	fixture_t fixture;

	fixture_init(&fixture);
	open_with_request(&fixture, PORT);
	syn.seq += 100000;
	expect_steered(&fixture, syn, CAROB_STEER_PLACED, "i-1");
	CU_ASSERT_EQUAL(carob_steering_flow_count(fixture.steering), 1);
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].open_flows, 1);
	fixture_dispose(&fixture);
}

/* Flows of a route that a new configuration drops are reset; a route that is
 * added again sends new flows to its new service. */
static void test_dropped_and_added_routes(void)
{
	carob_flow_packet_t other = fixture_syn(PORT, 0);
	carob_route_t routes[2];
	fixture_t fixture;

	fixture_init(&fixture);
	put_upstream(&fixture, &(fixture_upstream_t)UPSTREAM("i-3", 3, "yard",
							     "hou-a", 2));
	other.route.port = 99;
	expect_steered(&fixture, other, CAROB_STEER_NO_ROUTE, "");
	open_with_request(&fixture, PORT);

	routes[0] = route_to(&fixture, UNSAFE_ROUTE, "desk", false);
	configure(&fixture, routes, 1);
	expect_steered(&fixture, fixture_data(PORT, 1, 10, 10, 5000),
		       CAROB_STEER_ROUTE_DROPPED, "");
	expect_steered(&fixture, fixture_syn(PORT + 1, 0), CAROB_STEER_NO_ROUTE,
		       "");

	routes[1] = route_to(&fixture, SAFE_ROUTE, "yard", true);
	configure(&fixture, routes, 2);
	expect_steered(&fixture, fixture_syn(PORT + 2, 0), CAROB_STEER_PLACED,
		       "i-3");
	fixture_dispose(&fixture);
}

static void test_all_upstreams_draining(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	put_upstream(&fixture,
		     &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk", "hou-a", 2,
						   .draining = true));
	put_upstream(&fixture,
		     &(fixture_upstream_t)UPSTREAM("i-2", 2, "desk", "hou-b", 2,
						   .draining = true));
	expect_steered(&fixture, fixture_syn(PORT, 0), CAROB_STEER_NO_UPSTREAM,
		       "");
	CU_ASSERT_EQUAL(carob_steering_flow_count(fixture.steering), 0);
	fixture_dispose(&fixture);
}

static void test_no_configuration(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	carob_route_table_dispose(&fixture.routes);
	expect_steered(&fixture, fixture_syn(PORT, 0), CAROB_STEER_NO_CONFIG,
		       "");
	expect_steered(&fixture, fixture_data(PORT, 1, 0, 10, 5000),
		       CAROB_STEER_BY_TAG, "i-1");
	fixture_dispose(&fixture);
}

static void test_forged_syn_ack(void)
{
	carob_flow_packet_t packet = fixture_syn(PORT, 0);
	fixture_t fixture;

	fixture_init(&fixture);
	packet.has_ack = true;
	expect_steered(&fixture, packet, CAROB_STEER_FORGED, "");
	fixture_dispose(&fixture);
}

/* After a restart of the upstream, packets of its flows go to the address in
 * its latest entry. If another service has that address by now, it ignores the
 * packets, since they carry the upstream's number. */
static void test_restarted_upstream(void)
{
	carob_upstream_entry_t entry = {
		.id = CAROB_STR("i-1"),
		.number = 1,
		.service = CAROB_STR("desk"),
		.zone = CAROB_STR("hou-a"),
		.endpoint = {0x0a800077, 9090},
		.slots = 2,
		.started_ms = 1700000000000,
	};
	carob_steer_result_t result;
	fixture_t fixture;

	fixture_init(&fixture);
	(void)steer(&fixture, fixture_syn(PORT, 0));
	CU_ASSERT_EQUAL(carob_upstream_table_put(&fixture.upstreams, &entry,
						 ++fixture.revision,
						 FIXTURE_START),
			0);
	result = steer(&fixture, fixture_data(PORT, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(result.verdict, CAROB_STEER_FORWARD);
	CU_ASSERT_EQUAL(result.upstream->endpoint.port, 9090);
	fixture_dispose(&fixture);
}

/* A request counts as load from its first packet until a response, and not
 * again at a retransmission. */
static void test_request_load(void)
{
	const carob_upstream_t *upstream;
	fixture_t fixture;

	fixture_init(&fixture);
	upstream = &fixture.upstreams.items[0];
	(void)steer(&fixture, fixture_syn(PORT, 0));
	CU_ASSERT_EQUAL(upstream->pending, 1);
	(void)steer(&fixture, fixture_data(PORT, 1, 0, 0, 5000));
	CU_ASSERT_EQUAL(upstream->pending, 0);
	CU_ASSERT_EQUAL(upstream->open_flows, 1);
	(void)steer(&fixture, fixture_data(PORT, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(upstream->pending, 1);
	(void)steer(&fixture, fixture_data(PORT, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(upstream->pending, 1);
	(void)steer(&fixture, fixture_data(PORT, 1, 10, 0, 5600));
	CU_ASSERT_EQUAL(upstream->pending, 0);
	advance(&fixture, 60000);
	for (int i = 0; i < 20; i++)
		carob_steering_sweep(fixture.steering);
	CU_ASSERT_EQUAL(upstream->open_flows, 0);
	CU_ASSERT_EQUAL(carob_steering_flow_count(fixture.steering), 0);
	fixture_dispose(&fixture);
}

static void test_ended_flows(void)
{
	carob_flow_packet_t packet;
	fixture_t fixture;

	fixture_init(&fixture);
	open_with_request(&fixture, PORT);
	packet = fixture_data(PORT, 1, 10, 0, 5600);
	packet.fin = true;
	expect_steered(&fixture, packet, CAROB_STEER_KNOWN_FLOW, "i-1");
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].open_flows, 0);
	expect_steered(&fixture, fixture_data(PORT, 1, 11, 0, 5601),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	open_with_request(&fixture, PORT + 1);
	packet = fixture_data(PORT + 1, 1, 10, 0, 5000);
	packet.rst = true;
	expect_steered(&fixture, packet, CAROB_STEER_KNOWN_FLOW, "i-1");
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].open_flows, 0);
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].pending, 0);
	fixture_dispose(&fixture);
}

/* Makes i-1 silent: two callers retransmit their SYNs to it, and a third one
 * its request. */
static void make_first_upstream_silent(fixture_t *fixture, bool others_answer)
{
	(void)steer(fixture, fixture_data(PORT + 8, 1, 0, 10, 5000));
	(void)steer(fixture, fixture_syn(PORT + 1, 0));
	(void)steer(fixture, fixture_syn(PORT + 2, 0));
	advance(fixture, 260);
	(void)steer(fixture, fixture_data(PORT + 9, 2, 0, 10, 5000));
	advance(fixture, 40);
	if (others_answer)
		(void)steer(fixture, fixture_data(PORT + 9, 2, 10, 0, 5600));
	(void)steer(fixture, fixture_data(PORT + 8, 1, 0, 10, 5000));
	(void)steer(fixture, fixture_syn(PORT + 1, 1));
	(void)steer(fixture, fixture_syn(PORT + 2, 1));
}

static const struct {
	const char *name;
	carob_endpoint_t route;
	bool others_answer;
	uint32_t resets;
	carob_steer_reason_t next_request;
} silent_cases[] = {
	{"request may be retried", SAFE_ROUTE, true, 2, CAROB_STEER_BY_TAG},
	{"request must not be retried", UNSAFE_ROUTE, true, 1,
	 CAROB_STEER_KNOWN_FLOW},
	{"no upstream answers", SAFE_ROUTE, false, 0, CAROB_STEER_KNOWN_FLOW},
};

/* Waiting requests to a silent upstream are reset if they may be retried. If no
 * upstream answers, the failure may be on the side of this instance and
 * nothing is reset. */
static void test_waiting_requests_to_silent_upstream(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(silent_cases); i++) {
		carob_flow_packet_t syn = fixture_syn(PORT, 0);
		carob_flow_packet_t data = fixture_data(PORT, 1, 0, 10, 5000);
		fixture_t fixture;

		fixture_init(&fixture);
		syn.route = silent_cases[i].route;
		data.route = silent_cases[i].route;
		(void)steer(&fixture, syn);
		(void)steer(&fixture, data);
		make_first_upstream_silent(&fixture,
					   silent_cases[i].others_answer);
		CU_ASSERT_EQUAL(fixture.resets, silent_cases[i].resets);
		if (fixture.resets != silent_cases[i].resets)
			printf("\n%s: %u resets", silent_cases[i].name,
			       fixture.resets);
		data.seq += 10;
		CU_ASSERT_EQUAL(steer(&fixture, data).reason,
				silent_cases[i].next_request);
		fixture_dispose(&fixture);
	}
}

/* An idle flow on a silent upstream is reset as soon as its next request
 * arrives, instead of when that request has timed out. */
static void test_new_request_to_silent_upstream(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	open_with_request(&fixture, PORT);
	(void)steer(&fixture, fixture_data(PORT, 1, 10, 0, 5600));
	make_first_upstream_silent(&fixture, true);
	CU_ASSERT_EQUAL(fixture.resets, 1);
	expect_steered(&fixture, fixture_data(PORT, 1, 10, 10, 5600),
		       CAROB_STEER_UPSTREAM_SILENT, "i-1");
	fixture_dispose(&fixture);
}

/* An upstream with its maximum number of flows leaves SYNs unanswered but still
 * serves the flows that it has: these must not be reset. */
static void test_upstream_without_capacity(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	open_with_request(&fixture, PORT);
	(void)steer(&fixture, fixture_syn(PORT + 1, 0));
	(void)steer(&fixture, fixture_syn(PORT + 2, 0));
	(void)steer(&fixture, fixture_data(PORT + 9, 2, 0, 10, 5000));
	advance(&fixture, 300);
	(void)steer(&fixture, fixture_data(PORT + 9, 2, 10, 0, 5600));
	expect_steered(&fixture, fixture_syn(PORT + 1, 1),
		       CAROB_STEER_PLACED_AGAIN, "i-2");
	expect_steered(&fixture, fixture_syn(PORT + 2, 1),
		       CAROB_STEER_PLACED_AGAIN, "i-2");
	CU_ASSERT_EQUAL(fixture.resets, 0);
	expect_steered(&fixture, fixture_data(PORT, 1, 10, 0, 5600),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	fixture_dispose(&fixture);
}

/* An upstream is no longer silent if there has been no new evidence for a
 * while. A network partition may have healed, and the upstream may serve its
 * flows again. */
static void test_silent_upstream_without_new_evidence(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	open_with_request(&fixture, PORT);
	(void)steer(&fixture, fixture_data(PORT, 1, 10, 0, 5600));
	make_first_upstream_silent(&fixture, true);
	advance(&fixture, 2000);
	(void)steer(&fixture, fixture_data(PORT + 9, 2, 10, 10, 5600));
	(void)steer(&fixture, fixture_data(PORT + 9, 2, 20, 0, 6200));
	expect_steered(&fixture, fixture_data(PORT, 1, 10, 10, 5600),
		       CAROB_STEER_KNOWN_FLOW, "i-1");
	fixture_dispose(&fixture);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a flow stays on its upstream",
		 test_a_flow_stays_on_its_upstream},
		{"retransmitted SYNs", test_retransmitted_syns},
		{"a retransmitted SYN when the first upstream drains",
		 test_retransmitted_syn_when_upstream_drains},
		{"flows of other instances", test_flows_of_other_instances},
		{"explanations", test_explanations},
		{"a stalled request", test_stalled_request},
		{"requests and flows after a stalled request",
		 test_after_stalled_request},
		{"load of a caller that gives up", test_caller_that_gives_up},
		{"a reused caller port", test_reused_port},
		{"routes are dropped and added", test_dropped_and_added_routes},
		{"all upstreams draining", test_all_upstreams_draining},
		{"no configuration", test_no_configuration},
		{"a forged SYN-ACK", test_forged_syn_ack},
		{"an upstream restarts at another address",
		 test_restarted_upstream},
		{"load of requests", test_request_load},
		{"flows ended by a FIN or a reset", test_ended_flows},
		{"waiting requests to a silent upstream",
		 test_waiting_requests_to_silent_upstream},
		{"a new request to a silent upstream",
		 test_new_request_to_silent_upstream},
		{"an upstream with its maximum number of flows",
		 test_upstream_without_capacity},
		{"a silent upstream without new evidence",
		 test_silent_upstream_without_new_evidence},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("steering", cases, CAROB_ARRAY_SIZE(cases));
}
