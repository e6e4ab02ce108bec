#include "callers.h"

#include "carobtrail/errors.h"
#include "host.h"
#include "router.h"
#include "stream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SYN_COPIES	3
#define RETRIES_MAX	2
#define DEADLINE_MS	1500
#define AIM_MS		250
#define PAUSE_MS	60
#define HEADER_MAX	80
#define PORT_FIRST	1025
#define PORT_COUNT	60000
#define ADDRESS_OFFSET	200 /* callers' addresses, counted from the base */
#define REQUESTS_A_FLOW 30  /* mean number of requests in a long flow */

/* One flow in this many is opened to a route that is no longer listed. */
#define FLOWS_A_PROBE 50

/* When each transmission of a SYN is sent, in milliseconds after the first
 * one. The last element is when the caller gives up. */
static const uint32_t syn_ms[SYN_COPIES + 1] = {0, 200, 600, 1400};

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
	const bed_route_t *route;
	size_t service;
	bool idempotent;
	bool long_flow;
	carob_timer_t timer;	/* next SYN, or begin of the next request */
	carob_timer_t deadline; /* of the request */
	flow_state_t state;
	uint16_t port;
	uint32_t seq;
	uint32_t copies;      /* SYNs sent in this flow */
	size_t last_instance; /* to which the last packet was sent */
	uint64_t id;	      /* of the request; 0: none */
	uint64_t first_ns;    /* when the request began */
	uint32_t tries;	      /* retries of the request on listed routes */
	char header[HEADER_MAX];
	size_t header_len;
	size_t body_len; /* 0: the header is being read */
	size_t body_got; /* bytes of the body that have arrived */
} caller_t;

struct callers {
	bed_t *bed;
	size_t zone_count;
	zone_socket_t sockets[BED_ZONES_MAX];
	size_t count;
	caller_t *all;
	uint64_t last_id;
};

static void begin_request(caller_t *caller);
static void try_again(caller_t *caller, bool may_have_run);

static void arm(caller_t *caller, carob_timer_t *timer, uint64_t ms)
{
	bed_t *bed = caller->callers->bed;

	(void)carob_timer_arm(bed->program.kernel, timer,
			      bed_now_ns(bed) + ms * CAROB_NS_PER_MS);
}

static uint64_t flow_hash(const caller_t *caller)
{
	return carob_hash_u64((uint64_t)caller->socket->endpoint.ip << 16 ^
			      caller->port ^
			      (uint64_t)caller->route->endpoint.port << 48);
}

static void send_packet(caller_t *caller, wire_packet_t *packet)
{
	bed_t *bed = caller->callers->bed;
	uint8_t datagram[WIRE_BYTES_MAX];
	size_t instance = router_choose(bed->router, caller->socket->zone,
					flow_hash(caller));
	size_t len;

	packet->from =
		(carob_endpoint_t){caller->socket->endpoint.ip, caller->port};
	packet->to = caller->route->endpoint;
	len = wire_encode(datagram, packet);
	if (instance == bed->instance_count ||
	    bed_loses(bed, caller->socket->zone, caller->socket->zone))
		return;
	caller->last_instance = instance;
	carob_udp_send(caller->socket->udp, &bed->instances[instance].packets,
		       datagram, len);
}

static void transmit(stream_t *stream, wire_packet_t *packet)
{
	send_packet(CAROB_CONTAINER_OF(stream, caller_t, stream), packet);
}

static void drop_flow(caller_t *caller)
{
	carob_timer_cancel(caller->callers->bed->program.kernel,
			   &caller->timer);
	if (caller->state == FLOW_OPEN)
		stream_dispose(&caller->stream);
	caller->state = FLOW_NONE;
}

static void abandon_flow(caller_t *caller)
{
	wire_packet_t packet = {.flags = WIRE_RST | WIRE_ACK};

	if (caller->state == FLOW_OPEN) {
		packet.seq = caller->stream.send_base;
		packet.ack = caller->stream.next;
		packet.echo = caller->stream.echo;
		send_packet(caller, &packet);
	}
	drop_flow(caller);
}

static void send_syn(caller_t *caller)
{
	wire_packet_t packet = {
		.seq = caller->seq, .ack = caller->copies, .flags = WIRE_SYN};

	send_packet(caller, &packet);
	caller->copies++;
	arm(caller, &caller->timer,
	    syn_ms[caller->copies] - syn_ms[caller->copies - 1]);
}

/* Returns a random route for the caller's kind of request that is listed, or
 * one that no longer is; NULL if there is none. */
static const bed_route_t *route_of_kind(const caller_t *caller, bool listed)
{
	bed_t *bed = caller->callers->bed;
	const bed_route_t *chosen = NULL;
	uint32_t seen = 0;

	for (size_t i = 0; i < bed->route_count; i++) {
		const bed_route_t *route = &bed->routes[i];

		if (route->listed != listed ||
		    route->service != caller->service ||
		    route->idempotent != caller->idempotent)
			continue;
		if (carob_rng_below(&bed->rng, ++seen) == 0)
			chosen = route;
	}
	return chosen;
}

/* Returns the route of a new flow: usually a listed one, sometimes one that is
 * no longer listed, to check that new flows to it are refused. */
static const bed_route_t *choose_route(const caller_t *caller)
{
	const bed_route_t *route = NULL;

	if (carob_rng_below(&caller->callers->bed->rng, FLOWS_A_PROBE) == 0)
		route = route_of_kind(caller, false);
	return route ? route : route_of_kind(caller, true);
}

static void open_flow(caller_t *caller)
{
	bed_t *bed = caller->callers->bed;

	caller->route = choose_route(caller);
	caller->port = PORT_FIRST + caller->socket->next_port++ % PORT_COUNT;
	caller->seq = carob_rng_u32(&bed->rng);
	caller->copies = 0;
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

static void end_request(caller_t *caller, judge_outcome_t outcome)
{
	bed_t *bed = caller->callers->bed;

	judge_outcome(&bed->judge, outcome);
	caller->id = 0;
	carob_timer_cancel(bed->program.kernel, &caller->deadline);
	arm(caller, &caller->timer,
	    PAUSE_MS / 2 + carob_rng_below(&bed->rng, PAUSE_MS));
}

static void on_deadline(carob_timer_t *timer)
{
	caller_t *caller = CAROB_CONTAINER_OF(timer, caller_t, deadline);

	abandon_flow(caller);
	end_request(caller, JUDGE_FAILED);
}

static void on_timer(carob_timer_t *timer)
{
	caller_t *caller = CAROB_CONTAINER_OF(timer, caller_t, timer);

	if (caller->id == 0) {
		begin_request(caller);
	} else if (caller->copies < SYN_COPIES) {
		send_syn(caller);
	} else {
		drop_flow(caller);
		try_again(caller, false);
	}
}

static void try_again(caller_t *caller, bool may_have_run)
{
	if (caller->id == 0)
		return;
	if (caller->route->listed)
		caller->tries++;
	if (caller->tries > RETRIES_MAX ||
	    (may_have_run && !caller->idempotent)) {
		end_request(caller, JUDGE_FAILED);
		return;
	}
	open_flow(caller);
}

static void begin_request(caller_t *caller)
{
	bed_t *bed = caller->callers->bed;

	caller->id = ++caller->callers->last_id;
	caller->tries = 0;
	caller->first_ns = bed_now_ns(bed);
	arm(caller, &caller->deadline, DEADLINE_MS);
	if (caller->state == FLOW_OPEN)
		send_request(caller);
	else
		open_flow(caller);
}

static void finish_answer(caller_t *caller)
{
	bed_t *bed = caller->callers->bed;
	uint64_t ms = (bed_now_ns(bed) - caller->first_ns) / CAROB_NS_PER_MS;

	if (!caller->long_flow ||
	    carob_rng_below(&bed->rng, REQUESTS_A_FLOW) == 0) {
		stream_close(&caller->stream);
		drop_flow(caller);
	}
	end_request(caller, ms <= AIM_MS ? JUDGE_SERVED : JUDGE_LATE);
}

static void wrong_answer(caller_t *caller, const char *what)
{
	judge_broken(&caller->callers->bed->judge, JUDGE_WRONG_ANSWER,
		     "request %" PRIu64 ": %s: \"%s\"", caller->id, what,
		     caller->header);
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
		wrong_answer(caller, "the response has another request's id");
		return false;
	}
	caller->body_got = 0;
	if (strcmp(kind, "SHED") != 0)
		return true;
	drop_flow(caller);
	try_again(caller, false);
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
	if (c != (char)('a' + (caller->id + caller->body_got) % 26))
		wrong_answer(caller, "the body belongs to another response");
	if (++caller->body_got == caller->body_len)
		finish_answer(caller);
}

static void on_bytes(stream_t *stream, carob_str_t data)
{
	caller_t *caller = CAROB_CONTAINER_OF(stream, caller_t, stream);

	for (size_t i = 0; i < data.len && !stream->over; i++) {
		if (caller->id == 0) {
			wrong_answer(caller, "data without an open request");
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
	drop_flow(caller);
	if (caller->id != 0)
		try_again(caller, true);
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
	carob_timer_cancel(caller->callers->bed->program.kernel,
			   &caller->timer);
	stream_init(&caller->stream, &caller_ops,
		    caller->callers->bed->program.kernel, caller->seq + 1,
		    packet->seq + 1);
	caller->stream.echo = packet->echo;
	caller->state = FLOW_OPEN;
	send_request(caller);
}

static host_t *host_of_flow(const caller_t *caller)
{
	const bed_t *bed = caller->callers->bed;
	carob_endpoint_t own = {caller->socket->endpoint.ip, caller->port};

	for (size_t i = 0; i < bed->host_count; i++)
		if (bed->hosts[i] &&
		    host_has_flow(bed->hosts[i], own, caller->route->endpoint))
			return bed->hosts[i];
	return NULL;
}

/* Reports the reset of an open flow that its host still has, unless a recent
 * fault of the host or of an instance that handled the flow excuses it. */
static void judge_reset_of_flow(caller_t *caller, size_t sender)
{
	bed_t *bed = caller->callers->bed;
	const host_t *host = host_of_flow(caller);

	if (!host || !caller->route->listed || !host_in_touch(host) ||
	    !judge_instance_in_touch(&bed->judge, sender) ||
	    !judge_instance_in_touch(&bed->judge, caller->last_instance))
		return;
	judge_broken(
		&bed->judge, JUDGE_FLOW_BROKEN,
		"instance %zu reset the flow from port %u to host %" PRIx64,
		sender, caller->port, host_options(host)->number);
}

/* Reports that an instance has refused a new flow, for want of a route or of a
 * host, although the route has been listed for long enough. */
static void judge_refusal(caller_t *caller, size_t sender)
{
	bed_t *bed = caller->callers->bed;

	if (sender < bed->instance_count && judge_store_stable(&bed->judge) &&
	    judge_instance_in_touch(&bed->judge, sender) &&
	    caller->route->listed &&
	    bed_now_ns(bed) - caller->route->changed_ns >
		    BED_APPLY_MS * CAROB_NS_PER_MS)
		judge_broken(&bed->judge, JUDGE_NEW_ROUTE,
			     "instance %zu refused a flow to port %u", sender,
			     caller->route->endpoint.port);
}

static void on_reset(caller_t *caller, const carob_addr_t *from)
{
	bed_t *bed = caller->callers->bed;
	size_t sender = bed_instance_of(bed, from);
	bool was_open = caller->state == FLOW_OPEN;

	if (sender < bed->instance_count)
		bed->judge.resets++;
	if (was_open)
		judge_reset_of_flow(caller, sender);
	else
		judge_refusal(caller, sender);
	drop_flow(caller);
	try_again(caller, was_open);
}

static caller_t *find_caller(const zone_socket_t *socket,
			     const wire_packet_t *packet)
{
	callers_t *callers = socket->callers;

	for (size_t i = 0; i < callers->count; i++) {
		caller_t *caller = &callers->all[i];

		if (caller->socket == socket && caller->state != FLOW_NONE &&
		    caller->port == packet->to.port &&
		    carob_endpoint_eq(caller->route->endpoint, packet->from))
			return caller;
	}
	return NULL;
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	zone_socket_t *socket =
		CAROB_CONTAINER_OF(handler, zone_socket_t, handler);
	bed_t *bed = socket->callers->bed;
	wire_packet_t packet;
	caller_t *caller;

	if (wire_decode(&packet, data) != 0) {
		judge_broken(
			&bed->judge, JUDGE_PACKET_CHANGED,
			"a caller received a malformed packet of %zu bytes",
			data.len);
		return;
	}
	if (!(packet.flags & WIRE_RST && packet.sum == 0) &&
	    !wire_is_genuine(&packet)) {
		judge_broken(
			&bed->judge, JUDGE_PACKET_CHANGED,
			"a caller received a packet with a wrong checksum");
		return;
	}
	caller = find_caller(socket, &packet);
	if (!caller || bed_loses(bed, socket->zone, socket->zone))
		return;
	if (packet.flags & WIRE_RST)
		on_reset(caller, from);
	else if (packet.flags & WIRE_SYN)
		on_syn_ack(caller, &packet);
	else if (caller->state == FLOW_OPEN)
		stream_packet(&caller->stream, &packet);
}

static int open_socket(zone_socket_t *socket, callers_t *callers, size_t zone)
{
	const bed_t *bed = callers->bed;
	carob_addr_t addr = bed_addr(bed, ADDRESS_OFFSET + (uint32_t)zone,
				     bed->instances[0].packets.port);

	socket->handler.receive = on_datagram;
	socket->callers = callers;
	socket->zone = zone;
	socket->endpoint = (carob_endpoint_t){
		(uint32_t)addr.ip[0] << 24 | (uint32_t)addr.ip[1] << 16 |
			(uint32_t)addr.ip[2] << 8 | addr.ip[3],
		addr.port};
	return carob_udp_open(&socket->udp, bed->program.hub, &addr,
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
	    carob_rng_below(&callers->bed->rng, 2 * PAUSE_MS));
}

int callers_new(callers_t **out, bed_t *bed, size_t count)
{
	callers_t *callers = calloc(1, sizeof(*callers));
	int error = 0;

	if (!callers)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate callers");
	callers->bed = bed;
	callers->zone_count = bed->zone_count;
	callers->count = count * bed->zone_count;
	callers->all = calloc(callers->count, sizeof(*callers->all));
	if (!callers->all)
		error = carob_error_set(CAROB_ENOMEM,
					"cannot allocate callers");
	for (size_t i = 0; !error && i < bed->zone_count; i++)
		error = open_socket(&callers->sockets[i], callers, i);
	for (size_t i = 0; !error && i < callers->count; i++)
		init_caller(&callers->all[i], callers, i);
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
	for (size_t i = 0; callers->all && i < callers->count; i++) {
		carob_timer_cancel(callers->bed->program.kernel,
				   &callers->all[i].deadline);
		drop_flow(&callers->all[i]);
	}
	for (size_t i = 0; i < callers->zone_count; i++)
		carob_udp_close(callers->sockets[i].udp);
	free(callers->all);
	free(callers);
}
