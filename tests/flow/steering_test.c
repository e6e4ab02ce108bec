#include "flow/flow_fixture.h"

#include "carobtrail/log.h"

#define MS	  CAROB_NS_PER_MS
#define PORT	  40001
#define REPEAT_MS 200

#define SAFE_ROUTE   ((carob_endpoint_t){0xc6120001, 443})
#define UNSAFE_ROUTE ((carob_endpoint_t){0xc6120002, 443})

/* Steering with its tables, on a manual clock. */
typedef struct bed {
	carob_manual_clock_t clock;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_steering_t *steering;
	carob_reset_sender_t sender;
	uint32_t resets; /* sent through `sender` */
	uint64_t config_version;
	uint64_t revision;
} bed_t;

static void count_reset(carob_reset_sender_t *sender,
			const carob_flow_packet_t *flow, uint32_t seq)
{
	bed_t *bed = CAROB_CONTAINER_OF(sender, bed_t, sender);

	(void)flow;
	(void)seq;
	bed->resets++;
}

static carob_route_t route_to(bed_t *bed, carob_endpoint_t endpoint,
			      const char *service, bool idempotent)
{
	carob_route_t route = {
		.endpoint = endpoint,
		.idempotent = idempotent,
		.share_count = 1,
		.shares = {{.weight = 1}},
	};

	CU_ASSERT_EQUAL(carob_name_table_add(&route.shares[0].service,
					     &bed->upstreams.services,
					     carob_str_from(service)),
			0);
	return route;
}

static void configure(bed_t *bed, carob_route_t *routes, size_t count)
{
	carob_route_config_t config = {
		.version = ++bed->config_version,
		.idle_timeout_ms = 15000,
		.count = count,
		.routes = routes,
	};

	CU_ASSERT_EQUAL(carob_route_table_apply(&bed->routes, &config), 0);
}

static void put(bed_t *bed, const fixture_upstream_t *row)
{
	fixture_put(&bed->upstreams, row, ++bed->revision);
}

static void bed_init(bed_t *bed)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;
	carob_route_t routes[2];

	memset(bed, 0, sizeof(*bed));
	carob_manual_clock_init(&bed->clock, FIXTURE_START);
	options.clock = &bed->clock.clock;
	options.routes = &bed->routes;
	options.upstreams = &bed->upstreams;
	options.home_zone = CAROB_STR("hou-a");
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&bed->steering, &options), 0);
	bed->sender.send = count_reset;
	routes[0] = route_to(bed, SAFE_ROUTE, "desk", true);
	routes[1] = route_to(bed, UNSAFE_ROUTE, "desk", false);
	configure(bed, routes, CAROB_ARRAY_SIZE(routes));
	put(bed, &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk", "hou-a", 20));
	put(bed, &(fixture_upstream_t)UPSTREAM("i-2", 2, "desk", "hou-b", 20));
}

static void bed_dispose(bed_t *bed)
{
	carob_steering_free(bed->steering);
	carob_route_table_dispose(&bed->routes);
	carob_upstream_table_dispose(&bed->upstreams);
}

static void pass(bed_t *bed, uint64_t ms)
{
	carob_manual_clock_advance(&bed->clock, ms * MS);
}

static carob_steer_result_t steer(bed_t *bed, carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, bed->steering, &packet);
	carob_steering_reset_silent(bed->steering, &bed->sender);
	return result;
}

static void expect(bed_t *bed, carob_flow_packet_t packet,
		   carob_steer_reason_t reason, const char *upstream)
{
	carob_steer_result_t result = steer(bed, packet);

	CU_ASSERT_EQUAL(result.reason, reason);
	CU_ASSERT_STRING_EQUAL(result.upstream ? result.upstream->id : "",
			       upstream);
	if (result.reason != reason)
		printf("\n%s: expected %s",
		       carob_steer_reason_text(result.reason),
		       carob_steer_reason_text(reason));
}

/* Opens a flow on upstream i-1 and sends a request of 10 bytes. */
static void open_with_request(bed_t *bed, uint16_t port)
{
	(void)steer(bed, fixture_syn(port, 0));
	(void)steer(bed, fixture_data(port, 1, 0, 10, 5000));
}

/* An open flow stays on its upstream when the upstream drains and when it is
 * removed from the catalogue. */
static void test_a_flow_stays_on_its_upstream(void)
{
	bed_t bed;

	bed_init(&bed);
	expect(&bed, fixture_syn(PORT, 0), CAROB_STEER_PLACED, "i-1");
	expect(&bed, fixture_data(PORT, 1, 0, 10, 5000), CAROB_STEER_KNOWN_FLOW,
	       "i-1");
	put(&bed, &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk", "hou-a", 2,
						.draining = true));
	expect(&bed, fixture_data(PORT, 1, 10, 10, 5100),
	       CAROB_STEER_KNOWN_FLOW, "i-1");
	expect(&bed, fixture_syn(PORT + 1, 0), CAROB_STEER_PLACED, "i-2");
	carob_upstream_table_remove(&bed.upstreams, CAROB_STR("i-1"),
				    ++bed.revision, CAROB_UPSTREAM_GONE,
				    FIXTURE_START);
	expect(&bed, fixture_data(PORT, 1, 20, 0, 5200), CAROB_STEER_KNOWN_FLOW,
	       "i-1");
	bed_dispose(&bed);
}

/* A retransmitted SYN that follows the first at once was delayed in a queue and
 * goes to the same upstream. One that follows after the caller's time-out goes
 * to another upstream. The tag of the caller's first packet after the SYN
 * decides which of the two has the flow; a late SYN-ACK of the other upstream,
 * which changes the tag in the caller's packets, does not move the flow. */
static void test_copies_of_a_syn(void)
{
	bed_t bed;

	bed_init(&bed);
	expect(&bed, fixture_syn(PORT, 0), CAROB_STEER_PLACED, "i-1");
	pass(&bed, 5);
	expect(&bed, fixture_syn(PORT, 1), CAROB_STEER_REPEATED, "i-1");
	pass(&bed, REPEAT_MS);
	expect(&bed, fixture_syn(PORT, 2), CAROB_STEER_PLACED_AGAIN, "i-2");
	expect(&bed, fixture_data(PORT, 1, 0, 10, 5000), CAROB_STEER_KNOWN_FLOW,
	       "i-1");
	expect(&bed, fixture_data(PORT, 2, 10, 10, 5000),
	       CAROB_STEER_KNOWN_FLOW, "i-1");
	pass(&bed, REPEAT_MS);
	expect(&bed, fixture_syn(PORT, 2), CAROB_STEER_REPEATED, "i-1");
	bed_dispose(&bed);
}

/* A retransmitted SYN may reach another instance than the first SYN did. If
 * the first upstream drains by then, the instance places the flow on another
 * one, and moves it back if the first upstream has answered. */
static void test_a_copy_when_the_first_upstream_drains(void)
{
	bed_t bed;

	bed_init(&bed);
	put(&bed, &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk", "hou-a", 2,
						.draining = true));
	expect(&bed, fixture_syn(PORT, 1), CAROB_STEER_PLACED, "i-2");
	expect(&bed, fixture_data(PORT, 1, 0, 10, 5000), CAROB_STEER_KNOWN_FLOW,
	       "i-1");
	bed_dispose(&bed);
}

/* Packets of flows that were opened through other instances are steered by
 * their tags, and dropped without a known tag. */
static void test_flows_of_other_instances(void)
{
	bed_t bed;

	bed_init(&bed);
	expect(&bed, fixture_data(PORT, 2, 0, 10, 5000), CAROB_STEER_BY_TAG,
	       "i-2");
	expect(&bed, fixture_data(PORT, 2, 10, 0, 5100), CAROB_STEER_KNOWN_FLOW,
	       "i-2");
	expect(&bed, fixture_data(PORT + 1, 77, 0, 10, 5000),
	       CAROB_STEER_UNKNOWN_TAG, "");
	expect(&bed, fixture_data(PORT + 2, 0, 0, 10, 5000),
	       CAROB_STEER_UNKNOWN_TAG, "");
	bed_dispose(&bed);
}

static void expect_explained(const bed_t *bed, uint16_t port, uint32_t tag,
			     carob_steer_reason_t reason, const char *id)
{
	carob_flow_packet_t packet = fixture_data(port, tag, 0, 0, 0);
	carob_steer_explanation_t explanation;

	carob_steering_explain(&explanation, bed->steering, &packet);
	CU_ASSERT_EQUAL(explanation.reason, reason);
	CU_ASSERT_STRING_EQUAL(
		explanation.upstream ? explanation.upstream->id : "", id);
	CU_ASSERT_EQUAL(explanation.config_version, bed->config_version);
}

/* An explanation predicts the decision on a packet, and changes neither
 * counters nor the flow table. */
static void test_explanations(void)
{
	const carob_steering_counters_t *counters;
	bed_t bed;

	bed_init(&bed);
	expect_explained(&bed, PORT, 0, CAROB_STEER_PLACED, "i-1");
	expect_explained(&bed, PORT, 2, CAROB_STEER_BY_TAG, "i-2");
	expect_explained(&bed, PORT, 77, CAROB_STEER_UNKNOWN_TAG, "");
	counters = carob_steering_counters(bed.steering);
	for (int i = 0; i < CAROB_STEER_REASON_COUNT; i++)
		CU_ASSERT_EQUAL(counters->reasons[i], 0);
	CU_ASSERT_EQUAL(carob_steering_flow_count(bed.steering), 0);
	expect(&bed, fixture_data(PORT, 2, 0, 10, 5000), CAROB_STEER_BY_TAG,
	       "i-2");
	expect_explained(&bed, PORT, 0, CAROB_STEER_KNOWN_FLOW, "i-2");
	bed_dispose(&bed);
}

/* Conditions around a request that is retransmitted without a response. */
static const struct {
	const char *what;
	carob_endpoint_t route;
	bool others_answer;	 /* other upstreams respond all the time */
	bool answers_another;	 /* the upstream responds to another request */
	uint32_t repeated_ms[3]; /* times of the retransmissions */
	uint32_t resets;	 /* expected */
} stalls[] = {
	{"no response", SAFE_ROUTE, true, false, {200, 600, 1400}, 1},
	{"not idempotent", UNSAFE_ROUTE, true, false, {200, 600, 1400}, 0},
	{"no upstream responds", SAFE_ROUTE, false, false, {200, 600, 1400}, 0},
	{"another response", SAFE_ROUTE, true, true, {200, 600, 1400}, 0},
	{"queued retransmissions", SAFE_ROUTE, true, false, {1, 2, 3}, 0},
	{"retransmitted briefly", SAFE_ROUTE, true, false, {200, 600, 700}, 0},
};

/* Steers a request from `port` to the upstream of `tag`, and the caller's
 * acknowledgement of the response. */
static void exchange(bed_t *bed, uint16_t port, uint32_t tag, uint32_t number)
{
	uint32_t ack = 6000 + 100 * number;

	(void)steer(bed, fixture_data(port, tag, 10 * number, 10, ack));
	(void)steer(bed,
		    fixture_data(port, tag, 10 * number + 10, 0, ack + 99));
}

static void play_stall(bed_t *bed, size_t i)
{
	carob_flow_packet_t request = fixture_data(PORT, 1, 10, 10, 5000);
	carob_flow_packet_t syn = fixture_syn(PORT, 0);
	size_t copies = 0;

	syn.route = stalls[i].route;
	request.route = stalls[i].route;
	(void)steer(bed, syn);
	(void)steer(bed, request);
	for (uint32_t ms = 1; ms <= 1500; ms++) {
		pass(bed, 1);
		if (stalls[i].others_answer && ms % 50 == 0)
			exchange(bed, PORT + 1, 2, ms / 50);
		if (stalls[i].answers_another && ms == 500)
			exchange(bed, PORT + 2, 1, 1);
		if (copies < 3 && ms == stalls[i].repeated_ms[copies]) {
			(void)steer(bed, request);
			copies++;
		}
	}
}

/* If one caller retransmits a request for long enough, its upstream is found
 * silent even without unanswered SYNs. The flow is reset, so that the caller
 * can retry the request elsewhere instead of waiting until it times out. */
static void test_a_request_that_stalls(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(stalls); i++) {
		bed_t bed;

		bed_init(&bed);
		play_stall(&bed, i);
		CU_ASSERT_EQUAL(bed.resets, stalls[i].resets);
		if (bed.resets != stalls[i].resets)
			printf("\n%s: %u resets", stalls[i].what, bed.resets);
		bed_dispose(&bed);
	}
}

/* After a stalled request, the next request to the upstream is reset at once
 * and new flows go to other upstreams, until the upstream answers again. */
static void test_after_a_stall(void)
{
	bed_t bed;

	bed_init(&bed);
	play_stall(&bed, 0);
	exchange(&bed, PORT + 1, 2, 40);
	expect(&bed, fixture_data(PORT + 3, 1, 0, 10, 5000), CAROB_STEER_BY_TAG,
	       "i-1");
	expect(&bed, fixture_data(PORT + 3, 1, 10, 10, 5000),
	       CAROB_STEER_UPSTREAM_SILENT, "i-1");
	expect(&bed, fixture_syn(PORT + 4, 0), CAROB_STEER_PLACED, "i-2");
	exchange(&bed, PORT + 5, 1, 1);
	expect(&bed, fixture_data(PORT + 5, 1, 40, 10, 7000),
	       CAROB_STEER_KNOWN_FLOW, "i-1");
	bed_dispose(&bed);
}

/* A waiting caller retransmits its request at least every 1.6 s. A caller that
 * has given up sends nothing, and its request must soon cease to count as
 * load. */
static void test_a_caller_that_gives_up(void)
{
	bed_t bed;

	bed_init(&bed);
	(void)steer(&bed, fixture_data(PORT, 1, 0, 10, 5000));
	(void)steer(&bed, fixture_data(PORT + 1, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(bed.upstreams.items[0].pending, 2);
	for (int ms = 0; ms < 4000; ms += 500) {
		if (ms % 1500 == 0)
			(void)steer(&bed, fixture_data(PORT, 1, 0, 10, 5000));
		pass(&bed, 500);
		carob_steering_sweep(bed.steering);
	}
	CU_ASSERT_EQUAL(bed.upstreams.items[0].pending, 1);
	CU_ASSERT_EQUAL(carob_steering_flow_count(bed.steering), 2);
	bed_dispose(&bed);
}

/* A SYN with another sequence number on a known flow begins a new flow. */
static void test_a_port_that_is_used_again(void)
{
	carob_flow_packet_t syn = fixture_syn(PORT, 0);
	bed_t bed;

	bed_init(&bed);
	open_with_request(&bed, PORT);
	syn.seq += 100000;
	expect(&bed, syn, CAROB_STEER_PLACED, "i-1");
	CU_ASSERT_EQUAL(carob_steering_flow_count(bed.steering), 1);
	CU_ASSERT_EQUAL(bed.upstreams.items[0].open_flows, 1);
	bed_dispose(&bed);
}

/* Flows of a route that a new configuration drops are reset; a route that is
 * added again sends new flows to its new service. */
static void test_routes_come_and_go(void)
{
	carob_flow_packet_t other = fixture_syn(PORT, 0);
	carob_route_t routes[2];
	bed_t bed;

	bed_init(&bed);
	put(&bed, &(fixture_upstream_t)UPSTREAM("i-3", 3, "yard", "hou-a", 2));
	other.route.port = 99;
	expect(&bed, other, CAROB_STEER_NO_ROUTE, "");
	open_with_request(&bed, PORT);

	routes[0] = route_to(&bed, UNSAFE_ROUTE, "desk", false);
	configure(&bed, routes, 1);
	expect(&bed, fixture_data(PORT, 1, 10, 10, 5000),
	       CAROB_STEER_ROUTE_DROPPED, "");
	expect(&bed, fixture_syn(PORT + 1, 0), CAROB_STEER_NO_ROUTE, "");

	routes[1] = route_to(&bed, SAFE_ROUTE, "yard", true);
	configure(&bed, routes, 2);
	expect(&bed, fixture_syn(PORT + 2, 0), CAROB_STEER_PLACED, "i-3");
	bed_dispose(&bed);
}

static void test_nobody_to_serve(void)
{
	bed_t bed;

	bed_init(&bed);
	put(&bed, &(fixture_upstream_t)UPSTREAM("i-1", 1, "desk", "hou-a", 2,
						.draining = true));
	put(&bed, &(fixture_upstream_t)UPSTREAM("i-2", 2, "desk", "hou-b", 2,
						.draining = true));
	expect(&bed, fixture_syn(PORT, 0), CAROB_STEER_NO_UPSTREAM, "");
	CU_ASSERT_EQUAL(carob_steering_flow_count(bed.steering), 0);
	bed_dispose(&bed);
}

static void test_without_a_configuration(void)
{
	bed_t bed;

	bed_init(&bed);
	carob_route_table_dispose(&bed.routes);
	expect(&bed, fixture_syn(PORT, 0), CAROB_STEER_NO_CONFIG, "");
	expect(&bed, fixture_data(PORT, 1, 0, 10, 5000), CAROB_STEER_BY_TAG,
	       "i-1");
	bed_dispose(&bed);
}

static void test_a_forged_answer(void)
{
	carob_flow_packet_t packet = fixture_syn(PORT, 0);
	bed_t bed;

	bed_init(&bed);
	packet.has_ack = true;
	expect(&bed, packet, CAROB_STEER_FORGED, "");
	bed_dispose(&bed);
}

/* After a restart of the upstream, packets of its flows go to the address in
 * its latest entry. If another service has that address by now, it ignores the
 * packets, since they carry the upstream's number. */
static void test_an_upstream_that_starts_again(void)
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
	bed_t bed;

	bed_init(&bed);
	(void)steer(&bed, fixture_syn(PORT, 0));
	CU_ASSERT_EQUAL(carob_upstream_table_put(&bed.upstreams, &entry,
						 ++bed.revision, FIXTURE_START),
			0);
	result = steer(&bed, fixture_data(PORT, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(result.verdict, CAROB_STEER_FORWARD);
	CU_ASSERT_EQUAL(result.upstream->endpoint.port, 9090);
	bed_dispose(&bed);
}

/* A request counts as load from its first packet until a response, and not
 * again at a retransmission. */
static void test_load_of_requests(void)
{
	const carob_upstream_t *upstream;
	bed_t bed;

	bed_init(&bed);
	upstream = &bed.upstreams.items[0];
	(void)steer(&bed, fixture_syn(PORT, 0));
	CU_ASSERT_EQUAL(upstream->pending, 1);
	(void)steer(&bed, fixture_data(PORT, 1, 0, 0, 5000));
	CU_ASSERT_EQUAL(upstream->pending, 0);
	CU_ASSERT_EQUAL(upstream->open_flows, 1);
	(void)steer(&bed, fixture_data(PORT, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(upstream->pending, 1);
	(void)steer(&bed, fixture_data(PORT, 1, 0, 10, 5000));
	CU_ASSERT_EQUAL(upstream->pending, 1);
	(void)steer(&bed, fixture_data(PORT, 1, 10, 0, 5600));
	CU_ASSERT_EQUAL(upstream->pending, 0);
	pass(&bed, 60000);
	for (int i = 0; i < 20; i++)
		carob_steering_sweep(bed.steering);
	CU_ASSERT_EQUAL(upstream->open_flows, 0);
	CU_ASSERT_EQUAL(carob_steering_flow_count(bed.steering), 0);
	bed_dispose(&bed);
}

static void test_the_end_of_flows(void)
{
	carob_flow_packet_t packet;
	bed_t bed;

	bed_init(&bed);
	open_with_request(&bed, PORT);
	packet = fixture_data(PORT, 1, 10, 0, 5600);
	packet.fin = true;
	expect(&bed, packet, CAROB_STEER_KNOWN_FLOW, "i-1");
	CU_ASSERT_EQUAL(bed.upstreams.items[0].open_flows, 0);
	expect(&bed, fixture_data(PORT, 1, 11, 0, 5601), CAROB_STEER_KNOWN_FLOW,
	       "i-1");
	open_with_request(&bed, PORT + 1);
	packet = fixture_data(PORT + 1, 1, 10, 0, 5000);
	packet.rst = true;
	expect(&bed, packet, CAROB_STEER_KNOWN_FLOW, "i-1");
	CU_ASSERT_EQUAL(bed.upstreams.items[0].open_flows, 0);
	CU_ASSERT_EQUAL(bed.upstreams.items[0].pending, 0);
	bed_dispose(&bed);
}

/* Makes i-1 silent: two callers retransmit their SYNs to it, and a third one
 * its request. */
static void silence_first_upstream(bed_t *bed, bool others_answer)
{
	(void)steer(bed, fixture_data(PORT + 8, 1, 0, 10, 5000));
	(void)steer(bed, fixture_syn(PORT + 1, 0));
	(void)steer(bed, fixture_syn(PORT + 2, 0));
	pass(bed, 260);
	(void)steer(bed, fixture_data(PORT + 9, 2, 0, 10, 5000));
	pass(bed, 40);
	if (others_answer)
		(void)steer(bed, fixture_data(PORT + 9, 2, 10, 0, 5600));
	(void)steer(bed, fixture_data(PORT + 8, 1, 0, 10, 5000));
	(void)steer(bed, fixture_syn(PORT + 1, 1));
	(void)steer(bed, fixture_syn(PORT + 2, 1));
}

static const struct {
	const char *name;
	carob_endpoint_t route;
	bool others_answer;
	uint32_t resets;
	carob_steer_reason_t next_request;
} silences[] = {
	{"request may be retried", SAFE_ROUTE, true, 2, CAROB_STEER_BY_TAG},
	{"request must not be retried", UNSAFE_ROUTE, true, 1,
	 CAROB_STEER_KNOWN_FLOW},
	{"no upstream answers", SAFE_ROUTE, false, 0, CAROB_STEER_KNOWN_FLOW},
};

/* Waiting requests to a silent upstream are reset if they may be retried. If no
 * upstream answers, the failure may be on the side of this instance and
 * nothing is reset. */
static void test_silent_upstreams(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(silences); i++) {
		carob_flow_packet_t syn = fixture_syn(PORT, 0);
		carob_flow_packet_t data = fixture_data(PORT, 1, 0, 10, 5000);
		bed_t bed;

		bed_init(&bed);
		syn.route = silences[i].route;
		data.route = silences[i].route;
		(void)steer(&bed, syn);
		(void)steer(&bed, data);
		silence_first_upstream(&bed, silences[i].others_answer);
		CU_ASSERT_EQUAL(bed.resets, silences[i].resets);
		if (bed.resets != silences[i].resets)
			printf("\n%s: %u resets", silences[i].name, bed.resets);
		data.seq += 10;
		CU_ASSERT_EQUAL(steer(&bed, data).reason,
				silences[i].next_request);
		bed_dispose(&bed);
	}
}

/* An idle flow on a silent upstream is reset as soon as its next request
 * arrives, instead of when that request has timed out. */
static void test_a_request_to_a_silent_upstream(void)
{
	bed_t bed;

	bed_init(&bed);
	open_with_request(&bed, PORT);
	(void)steer(&bed, fixture_data(PORT, 1, 10, 0, 5600));
	silence_first_upstream(&bed, true);
	CU_ASSERT_EQUAL(bed.resets, 1);
	expect(&bed, fixture_data(PORT, 1, 10, 10, 5600),
	       CAROB_STEER_UPSTREAM_SILENT, "i-1");
	bed_dispose(&bed);
}

/* An upstream with its maximum number of flows leaves SYNs unanswered but still
 * serves the flows that it has: these must not be reset. */
static void test_an_upstream_without_room(void)
{
	bed_t bed;

	bed_init(&bed);
	open_with_request(&bed, PORT);
	(void)steer(&bed, fixture_syn(PORT + 1, 0));
	(void)steer(&bed, fixture_syn(PORT + 2, 0));
	(void)steer(&bed, fixture_data(PORT + 9, 2, 0, 10, 5000));
	pass(&bed, 300);
	(void)steer(&bed, fixture_data(PORT + 9, 2, 10, 0, 5600));
	expect(&bed, fixture_syn(PORT + 1, 1), CAROB_STEER_PLACED_AGAIN, "i-2");
	expect(&bed, fixture_syn(PORT + 2, 1), CAROB_STEER_PLACED_AGAIN, "i-2");
	CU_ASSERT_EQUAL(bed.resets, 0);
	expect(&bed, fixture_data(PORT, 1, 10, 0, 5600), CAROB_STEER_KNOWN_FLOW,
	       "i-1");
	bed_dispose(&bed);
}

/* An upstream is no longer silent if there has been no new evidence for a
 * while. A network partition may have healed, and the upstream may serve its
 * flows again. */
static void test_silence_that_nothing_shows_any_more(void)
{
	bed_t bed;

	bed_init(&bed);
	open_with_request(&bed, PORT);
	(void)steer(&bed, fixture_data(PORT, 1, 10, 0, 5600));
	silence_first_upstream(&bed, true);
	pass(&bed, 2000);
	(void)steer(&bed, fixture_data(PORT + 9, 2, 10, 10, 5600));
	(void)steer(&bed, fixture_data(PORT + 9, 2, 20, 0, 6200));
	expect(&bed, fixture_data(PORT, 1, 10, 10, 5600),
	       CAROB_STEER_KNOWN_FLOW, "i-1");
	bed_dispose(&bed);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a flow stays on its upstream",
		 test_a_flow_stays_on_its_upstream},
		{"retransmitted SYNs", test_copies_of_a_syn},
		{"a retransmitted SYN when the first upstream drains",
		 test_a_copy_when_the_first_upstream_drains},
		{"flows of other instances", test_flows_of_other_instances},
		{"explanations", test_explanations},
		{"a stalled request", test_a_request_that_stalls},
		{"requests and flows after a stalled request",
		 test_after_a_stall},
		{"load of a caller that gives up", test_a_caller_that_gives_up},
		{"a reused caller port", test_a_port_that_is_used_again},
		{"routes are dropped and added", test_routes_come_and_go},
		{"all upstreams draining", test_nobody_to_serve},
		{"no configuration", test_without_a_configuration},
		{"a forged SYN-ACK", test_a_forged_answer},
		{"an upstream restarts at another address",
		 test_an_upstream_that_starts_again},
		{"load of requests", test_load_of_requests},
		{"flows ended by a FIN or a reset", test_the_end_of_flows},
		{"waiting requests to a silent upstream",
		 test_silent_upstreams},
		{"a new request to a silent upstream",
		 test_a_request_to_a_silent_upstream},
		{"an upstream with its maximum number of flows",
		 test_an_upstream_without_room},
		{"a silent upstream without new evidence",
		 test_silence_that_nothing_shows_any_more},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("steering", cases, CAROB_ARRAY_SIZE(cases));
}
