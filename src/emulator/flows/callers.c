#include "callers.h"

#include "carobtrail/errors.h"
#include "host.h"
#include "router.h"
#include "stream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SYN_TRANSMISSIONS 3
#define RETRIES_MAX	  2
#define DEADLINE_MS	  1500
#define LATENCY_TARGET_MS 250
#define THINK_TIME_MS	  60
#define HEADER_MAX	  80
#define PORT_FIRST	  1025
#define PORT_COUNT	  60000
#define ADDRESS_OFFSET	  200 /* callers' offset from the base address */
#define REQUESTS_PER_FLOW 30  /* mean number of requests in a long flow */

/* One flow in this many is opened to a route that is no longer listed. */
#define FLOWS_PER_PROBE 50

/* When each transmission of a SYN is sent, in milliseconds after the first
 * one. The last element is when the caller gives up. */
static const uint32_t syn_at_ms[SYN_TRANSMISSIONS + 1] = {0, 200, 600, 1400};

/* Socket that all callers of a zone share; ports in the packets' headers tell
 * their flows apart. */
typedef struct zone_socket {
	carob_udp_handler_t handler;
	callers_t *callers;
	size_t zone;
	carob_udp_t *udp;
	carob_endpoint_t endpoint;
	uint16_t next_port;
} zone_socket_t;

typedef enum flow_state {
	FLOW_NONE,
	FLOW_SYN_SENT,
	FLOW_OPEN,
} flow_state_t;

/* One caller with its current flow and request. */
typedef struct caller {
	stream_t stream;
	callers_t *callers;
	zone_socket_t *socket;
	const testbed_route_t *route;
	size_t service;
	bool idempotent;
	bool long_flow;
	carob_timer_t timer;	/* for the next SYN, or the next request */
	carob_timer_t deadline; /* deadline of the request */
	flow_state_t state;
	uint16_t port;
	uint32_t seq;
	uint32_t syns_sent;	   /* SYNs sent in this flow */
	size_t last_instance;	   /* receiver of the caller's last packet */
	uint64_t id;		   /* id of the request; 0: no request */
	uint64_t request_start_ns; /* when the request began */
	uint32_t retries;	   /* retries of the request on listed routes */
	char header[HEADER_MAX];
	size_t header_len;
	size_t body_len;      /* 0: the header is being read */
	size_t body_received; /* bytes of the body that have arrived */
} caller_t;

struct callers {
	testbed_t *testbed;
	size_t zone_count;
	zone_socket_t sockets[TESTBED_ZONES_MAX];
	size_t count;
	caller_t *items;
	uint64_t last_id;
};

static void begin_request(caller_t *caller);
static void retry_request(caller_t *caller, bool may_have_run);

static void arm(caller_t *caller, carob_timer_t *timer, uint64_t ms)
{
	testbed_t *testbed = caller->callers->testbed;

	(void)carob_timer_arm(testbed->program.kernel, timer,
			      testbed_now_ns(testbed) + ms * CAROB_NS_PER_MS);
}

static uint64_t flow_hash(const caller_t *caller)
{
	return carob_hash_u64((uint64_t)caller->socket->endpoint.ip << 16 ^
			      caller->port ^
			      (uint64_t)caller->route->endpoint.port << 48);
}

static void send_packet(caller_t *caller, wire_packet_t *packet)
{
	testbed_t *testbed = caller->callers->testbed;
	uint8_t datagram[WIRE_BYTES_MAX];
	size_t instance = router_choose(testbed->router, caller->socket->zone,
					flow_hash(caller));
	size_t len;

	packet->from =
		(carob_endpoint_t){caller->socket->endpoint.ip, caller->port};
	packet->to = caller->route->endpoint;
	len = wire_encode(datagram, packet);
	if (instance == testbed->instance_count ||
	    testbed_loses_packet(testbed, caller->socket->zone,
				 caller->socket->zone))
		return;
	caller->last_instance = instance;
	carob_udp_send(caller->socket->udp,
		       &testbed->instances[instance].packets, datagram, len);
}

static void transmit(stream_t *stream, wire_packet_t *packet)
{
	send_packet(CAROB_CONTAINER_OF(stream, caller_t, stream), packet);
}

static void end_flow(caller_t *caller)
{
	carob_timer_cancel(caller->callers->testbed->program.kernel,
			   &caller->timer);
	if (caller->state == FLOW_OPEN)
		stream_dispose(&caller->stream);
	caller->state = FLOW_NONE;
}

static void reset_flow(caller_t *caller)
{
	wire_packet_t packet = {.flags = WIRE_RST | WIRE_ACK};

	if (caller->state == FLOW_OPEN) {
		packet.seq = caller->stream.send_base;
		packet.ack = caller->stream.receive_next;
		packet.echo = caller->stream.echo;
		send_packet(caller, &packet);
	}
	end_flow(caller);
}

static void send_syn(caller_t *caller)
{
	wire_packet_t packet = {.seq = caller->seq,
				.ack = caller->syns_sent,
				.flags = WIRE_SYN};

	send_packet(caller, &packet);
	caller->syns_sent++;
	arm(caller, &caller->timer,
	    syn_at_ms[caller->syns_sent] - syn_at_ms[caller->syns_sent - 1]);
}

/* Returns a random route for the caller's kind of request, or NULL if there is
 * none. `listed` selects between routes that are listed and routes that were
 * removed from the list. */
static const testbed_route_t *find_route(const caller_t *caller, bool listed)
{
	testbed_t *testbed = caller->callers->testbed;
	const testbed_route_t *chosen = NULL;
	uint32_t match_count = 0;

	for (size_t i = 0; i < testbed->route_count; i++) {
		const testbed_route_t *route = &testbed->routes[i];

		if (route->listed != listed ||
		    route->service != caller->service ||
		    route->idempotent != caller->idempotent)
			continue;
		if (carob_rng_below(&testbed->rng, ++match_count) == 0)
			chosen = route;
	}
	return chosen;
}

/* Returns the route of a new flow: usually a listed one, sometimes one that is
 * no longer listed, to check that new flows to it are refused. */
static const testbed_route_t *choose_route(const caller_t *caller)
{
	const testbed_route_t *route = NULL;

	if (carob_rng_below(&caller->callers->testbed->rng, FLOWS_PER_PROBE) ==
	    0)
		route = find_route(caller, false);
	return route ? route : find_route(caller, true);
}

static void open_flow(caller_t *caller)
{
	testbed_t *testbed = caller->callers->testbed;

	caller->route = choose_route(caller);
	caller->port = PORT_FIRST + caller->socket->next_port++ % PORT_COUNT;
	caller->seq = carob_rng_u32(&testbed->rng);
	caller->syns_sent = 0;
	caller->state = FLOW_SYN_SENT;
	send_syn(caller);
}

static void send_request(caller_t *caller)
{
	char text[HEADER_MAX];
	size_t bytes = caller->service == 0 ? 1500 : 12000;
	int len = snprintf(text, sizeof(text), "REQ %016" PRIx64 " %zu\n",
			   caller->id, bytes);

	caller->header_len = 0;
	caller->body_len = 0;
	stream_send(&caller->stream, (carob_str_t){text, (size_t)len});
}

static void end_request(caller_t *caller, checker_outcome_t outcome)
{
	testbed_t *testbed = caller->callers->testbed;

	checker_record_outcome(&testbed->checker, outcome);
	caller->id = 0;
	carob_timer_cancel(testbed->program.kernel, &caller->deadline);
	arm(caller, &caller->timer,
	    THINK_TIME_MS / 2 + carob_rng_below(&testbed->rng, THINK_TIME_MS));
}

static void on_deadline(carob_timer_t *timer)
{
	caller_t *caller = CAROB_CONTAINER_OF(timer, caller_t, deadline);

	reset_flow(caller);
	end_request(caller, CHECKER_FAILED);
}

static void on_timer(carob_timer_t *timer)
{
	caller_t *caller = CAROB_CONTAINER_OF(timer, caller_t, timer);

	if (caller->id == 0) {
		begin_request(caller);
	} else if (caller->syns_sent < SYN_TRANSMISSIONS) {
		send_syn(caller);
	} else {
		end_flow(caller);
		retry_request(caller, false);
	}
}

static void retry_request(caller_t *caller, bool may_have_run)
{
	if (caller->id == 0)
		return;
	if (caller->route->listed)
		caller->retries++;
	if (caller->retries > RETRIES_MAX ||
	    (may_have_run && !caller->idempotent)) {
		end_request(caller, CHECKER_FAILED);
		return;
	}
	open_flow(caller);
}

static void begin_request(caller_t *caller)
{
	testbed_t *testbed = caller->callers->testbed;

	caller->id = ++caller->callers->last_id;
	caller->retries = 0;
	caller->request_start_ns = testbed_now_ns(testbed);
	arm(caller, &caller->deadline, DEADLINE_MS);
	if (caller->state == FLOW_OPEN)
		send_request(caller);
	else
		open_flow(caller);
}

static void finish_response(caller_t *caller)
{
	testbed_t *testbed = caller->callers->testbed;
	uint64_t ms = (testbed_now_ns(testbed) - caller->request_start_ns) /
		      CAROB_NS_PER_MS;

	if (!caller->long_flow ||
	    carob_rng_below(&testbed->rng, REQUESTS_PER_FLOW) == 0) {
		stream_close(&caller->stream);
		end_flow(caller);
	}
	end_request(caller,
		    ms <= LATENCY_TARGET_MS ? CHECKER_SERVED : CHECKER_LATE);
}

static void report_wrong_response(caller_t *caller, const char *problem)
{
	checker_report_violation(&caller->callers->testbed->checker,
				 CHECKER_WRONG_ANSWER,
				 "request %" PRIu64 ": %s: \"%s\"", caller->id,
				 problem, caller->header);
}

/* Parses the header of a response. Returns whether a body follows. */
static bool read_header(caller_t *caller)
{
	uint64_t id;
	uint64_t host;
	char kind[8];

	caller->header[caller->header_len] = '\0';
	caller->header_len = 0;
	if (sscanf(caller->header, "%7s %" SCNx64 " %" SCNu64 " %zu", kind, &id,
		   &host, &caller->body_len) != 4 ||
	    id != caller->id) {
		report_wrong_response(caller,
				      "the response has another request's id");
		return false;
	}
	caller->body_received = 0;
	if (strcmp(kind, "SHED") != 0)
		return true;
	end_flow(caller);
	retry_request(caller, false);
	return false;
}

static void on_byte(caller_t *caller, char c)
{
	if (caller->body_len == 0) {
		if (c == '\n')
			(void)read_header(caller);
		else if (caller->header_len < HEADER_MAX - 1)
			caller->header[caller->header_len++] = c;
		return;
	}
	if (c != (char)('a' + (caller->id + caller->body_received) % 26))
		report_wrong_response(caller,
				      "the body belongs to another response");
	if (++caller->body_received == caller->body_len)
		finish_response(caller);
}

static void on_bytes(stream_t *stream, carob_str_t data)
{
	caller_t *caller = CAROB_CONTAINER_OF(stream, caller_t, stream);

	for (size_t i = 0; i < data.len && !stream->over; i++) {
		if (caller->id == 0) {
			report_wrong_response(caller,
					      "data without an open request");
			return;
		}
		on_byte(caller, data.ptr[i]);
	}
}

/* Retries a request whose flow has ended. A draining host closes a flow after
 * a response. */
static void on_ended(stream_t *stream, bool gave_up)
{
	caller_t *caller = CAROB_CONTAINER_OF(stream, caller_t, stream);

	(void)gave_up;
	end_flow(caller);
	if (caller->id != 0)
		retry_request(caller, true);
}

static const stream_ops_t caller_ops = {
	.transmit = transmit,
	.receive = on_bytes,
	.ended = on_ended,
};

static void on_syn_ack(caller_t *caller, const wire_packet_t *packet)
{
	if (caller->state == FLOW_OPEN) {
		caller->stream.echo = packet->echo;
		return;
	}
	if (packet->ack != caller->seq + 1)
		return;
	carob_timer_cancel(caller->callers->testbed->program.kernel,
			   &caller->timer);
	stream_init(&caller->stream, &caller_ops,
		    caller->callers->testbed->program.kernel, caller->seq + 1,
		    packet->seq + 1);
	caller->stream.echo = packet->echo;
	caller->state = FLOW_OPEN;
	send_request(caller);
}

static host_t *host_of_flow(const caller_t *caller)
{
	const testbed_t *testbed = caller->callers->testbed;
	carob_endpoint_t caller_endpoint = {caller->socket->endpoint.ip,
					    caller->port};

	for (size_t i = 0; i < testbed->host_count; i++)
		if (testbed->hosts[i] &&
		    host_has_flow(testbed->hosts[i], caller_endpoint,
				  caller->route->endpoint))
			return testbed->hosts[i];
	return NULL;
}

/* Reports the reset of an open flow that its host still has, unless a recent
 * fault of the host or of an instance that handled the flow excuses it. */
static void check_reset(caller_t *caller, size_t sender)
{
	testbed_t *testbed = caller->callers->testbed;
	const host_t *host = host_of_flow(caller);

	if (!host || !caller->route->listed || !host_is_undisturbed(host) ||
	    !checker_instance_undisturbed(&testbed->checker, sender) ||
	    !checker_instance_undisturbed(&testbed->checker,
					  caller->last_instance))
		return;
	checker_report_violation(
		&testbed->checker, CHECKER_FLOW_BROKEN,
		"instance %zu reset the flow from port %u to host %" PRIx64,
		sender, caller->port, host_options(host)->number);
}

/* Reports that an instance has refused a new flow, for want of a route or of a
 * host, although the route has been listed for long enough. */
static void check_refusal(caller_t *caller, size_t sender)
{
	testbed_t *testbed = caller->callers->testbed;

	if (sender < testbed->instance_count &&
	    checker_store_undisturbed(&testbed->checker) &&
	    checker_instance_undisturbed(&testbed->checker, sender) &&
	    caller->route->listed &&
	    testbed_now_ns(testbed) - caller->route->changed_ns >
		    TESTBED_APPLY_MS * CAROB_NS_PER_MS)
		checker_report_violation(
			&testbed->checker, CHECKER_NEW_ROUTE,
			"instance %zu refused a flow to port %u", sender,
			caller->route->endpoint.port);
}

static void on_reset(caller_t *caller, const carob_addr_t *from)
{
	testbed_t *testbed = caller->callers->testbed;
	size_t sender = testbed_instance_of(testbed, from);
	bool was_open = caller->state == FLOW_OPEN;

	if (sender < testbed->instance_count)
		testbed->checker.resets++;
	if (was_open)
		check_reset(caller, sender);
	else
		check_refusal(caller, sender);
	end_flow(caller);
	retry_request(caller, was_open);
}

static caller_t *find_caller(const zone_socket_t *socket,
			     const wire_packet_t *packet)
{
	callers_t *callers = socket->callers;

	for (size_t i = 0; i < callers->count; i++) {
		caller_t *caller = &callers->items[i];

		if (caller->socket == socket && caller->state != FLOW_NONE &&
		    caller->port == packet->to.port &&
		    carob_endpoint_eq(caller->route->endpoint, packet->from))
			return caller;
	}
	return NULL;
}

/* A draining host closes a flow after its response: the caller closes its end,
 * too, and opens another flow for its next request. */
static void process_packet(caller_t *caller, const wire_packet_t *packet)
{
	stream_process_packet(&caller->stream, packet);
	if (caller->state == FLOW_OPEN && caller->stream.fin_received &&
	    !caller->stream.closing)
		stream_close(&caller->stream);
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	zone_socket_t *socket =
		CAROB_CONTAINER_OF(handler, zone_socket_t, handler);
	testbed_t *testbed = socket->callers->testbed;
	wire_packet_t packet;
	caller_t *caller;

	if (wire_decode(&packet, data) != 0) {
		checker_report_violation(
			&testbed->checker, CHECKER_PACKET_CHANGED,
			"a caller received a malformed packet of %zu bytes",
			data.len);
		return;
	}
	if (!(packet.flags & WIRE_RST && packet.checksum == 0) &&
	    !wire_checksum_valid(&packet)) {
		checker_report_violation(
			&testbed->checker, CHECKER_PACKET_CHANGED,
			"a caller received a packet with a wrong checksum");
		return;
	}
	caller = find_caller(socket, &packet);
	if (!caller ||
	    testbed_loses_packet(testbed, socket->zone, socket->zone))
		return;
	if (packet.flags & WIRE_RST)
		on_reset(caller, from);
	else if (packet.flags & WIRE_SYN)
		on_syn_ack(caller, &packet);
	else if (caller->state == FLOW_OPEN)
		process_packet(caller, &packet);
}

static int open_socket(zone_socket_t *socket, callers_t *callers, size_t zone)
{
	const testbed_t *testbed = callers->testbed;
	carob_addr_t addr = testbed_addr(testbed,
					 ADDRESS_OFFSET + (uint32_t)zone,
					 testbed->instances[0].packets.port);

	socket->handler.receive = on_datagram;
	socket->callers = callers;
	socket->zone = zone;
	socket->endpoint = (carob_endpoint_t){
		(uint32_t)addr.ip[0] << 24 | (uint32_t)addr.ip[1] << 16 |
			(uint32_t)addr.ip[2] << 8 | addr.ip[3],
		addr.port};
	return carob_udp_open(&socket->udp, testbed->program.hub, &addr,
			      &socket->handler);
}

/* Of ten callers in a zone, six send idempotent requests in long flows, two
 * send requests that must run once, and two download large bodies. */
static void init_caller(caller_t *caller, callers_t *callers, size_t index)
{
	size_t kind = index / callers->zone_count % 10;

	caller->callers = callers;
	caller->socket = &callers->sockets[index % callers->zone_count];
	caller->service = kind >= 8 ? 1 : 0;
	caller->idempotent = kind < 6 || kind >= 8;
	caller->long_flow = kind < 6;
	caller->timer.fire = on_timer;
	caller->deadline.fire = on_deadline;
	arm(caller, &caller->timer,
	    carob_rng_below(&callers->testbed->rng, 2 * THINK_TIME_MS));
}

int callers_new(callers_t **out, testbed_t *testbed, size_t count)
{
	callers_t *callers = calloc(1, sizeof(*callers));
	int error = 0;

	if (!callers)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate callers");
	callers->testbed = testbed;
	callers->zone_count = testbed->zone_count;
	callers->count = count * testbed->zone_count;
	callers->items = calloc(callers->count, sizeof(*callers->items));
	if (!callers->items)
		error = carob_error_set(CAROB_ENOMEM,
					"cannot allocate callers");
	for (size_t i = 0; !error && i < testbed->zone_count; i++)
		error = open_socket(&callers->sockets[i], callers, i);
	for (size_t i = 0; !error && i < callers->count; i++)
		init_caller(&callers->items[i], callers, i);
	if (error) {
		callers_free(callers);
		return error;
	}
	*out = callers;
	return 0;
}

void callers_free(callers_t *callers)
{
	if (!callers)
		return;
	for (size_t i = 0; callers->items && i < callers->count; i++) {
		carob_timer_cancel(callers->testbed->program.kernel,
				   &callers->items[i].deadline);
		end_flow(&callers->items[i]);
	}
	for (size_t i = 0; i < callers->zone_count; i++)
		carob_udp_close(callers->sockets[i].udp);
	free(callers->items);
	free(callers);
}
