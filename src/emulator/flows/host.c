#include "host.h"

#include "carobtrail/errors.h"
#include "stream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define REQUEST_MAX  1024
#define RESPONSE_MAX (64 * 1024)
#define COLD_FACTOR  3 /* so much longer a request runs on a cold host */

/* One flow at the host. */
typedef struct flow {
	stream_t stream;
	struct host *host;
	carob_endpoint_t caller;
	carob_endpoint_t route;
	uint32_t caller_seq; /* sequence number of the SYN */
	uint32_t host_seq;
	bool open; /* the handshake is done */
	char request[REQUEST_MAX];
	size_t request_len;
	struct flow *prev;
	struct flow *next;
} flow_t;

/* A request that runs or waits for a slot. */
typedef struct job {
	carob_timer_t timer;
	flow_t *flow; /* NULL once the flow has ended */
	struct host *host;
	uint64_t id;
	size_t response_bytes;
	bool running;
	bool idempotent;
	struct job *prev;
	struct job *next;
} job_t;

struct host {
	carob_udp_handler_t handler;
	testbed_t *testbed;
	host_options_t options;
	carob_udp_t *udp;
	host_state_t state;
	uint64_t started_ns;
	uint64_t state_since_ns;
	uint64_t disturbed_until_ns;
	uint64_t cold_until_ns;
	flow_t *flows;
	job_t *jobs;
	uint32_t running;
	uint32_t waiting;
};

static void send_packet(host_t *host, const wire_packet_t *packet)
{
	uint8_t datagram[WIRE_BYTES_MAX];
	size_t len = wire_encode(datagram, packet);
	carob_addr_t to = host->testbed->instances[0].packets;
	uint32_t ip = packet->to.ip;

	to.ip[0] = (uint8_t)(ip >> 24);
	to.ip[1] = (uint8_t)(ip >> 16);
	to.ip[2] = (uint8_t)(ip >> 8);
	to.ip[3] = (uint8_t)ip;
	if (!testbed_loses_packet(host->testbed, host->options.zone,
				  host->options.zone))
		carob_udp_send(host->udp, &to, datagram, len);
}

static void transmit(stream_t *stream, wire_packet_t *packet)
{
	flow_t *flow = CAROB_CONTAINER_OF(stream, flow_t, stream);

	packet->from = flow->route;
	packet->to = flow->caller;
	if (flow->host->state != HOST_CRASHED)
		send_packet(flow->host, packet);
}

static void send_reset(host_t *host, const wire_packet_t *cause)
{
	wire_packet_t packet = {.from = cause->to,
				.to = cause->from,
				.seq = cause->ack,
				.flags = WIRE_RST};

	if (!(cause->flags & WIRE_RST))
		send_packet(host, &packet);
}

static void flow_free(flow_t *flow)
{
	host_t *host = flow->host;
	job_t *job;

	DL_FOREACH (host->jobs, job)
		if (job->flow == flow)
			job->flow = NULL;
	DL_DELETE(host->flows, flow);
	stream_dispose(&flow->stream);
	free(flow);
}

static void on_ended(stream_t *stream, bool gave_up)
{
	flow_t *flow = CAROB_CONTAINER_OF(stream, flow_t, stream);

	(void)gave_up;
	/* Not freed here, as the stream calls this from its own functions.
	 * `on_flow_packet` frees it. */
	flow->open = false;
}

static void run_next(host_t *host);

static void send_response(flow_t *flow, uint64_t id, size_t bytes)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;

	(void)carob_buf_printf(&text, "RSP %016" PRIx64 " %" PRIu64 " %zu\n",
			       id, flow->host->options.number, bytes);
	for (size_t i = 0; i < bytes; i++) {
		char c = (char)('a' + (id + i) % 26);

		(void)carob_buf_append(&text, &c, 1);
	}
	stream_send(&flow->stream, carob_buf_view(&text));
	if (flow->host->state == HOST_DRAINING)
		stream_close(&flow->stream);
}

static void on_job_done(carob_timer_t *timer)
{
	job_t *job = CAROB_CONTAINER_OF(timer, job_t, timer);
	host_t *host = job->host;

	if (job->flow && host->state != HOST_CRASHED)
		send_response(job->flow, job->id, job->response_bytes);
	DL_DELETE(host->jobs, job);
	free(job);
	host->running--;
	run_next(host);
}

static void run_next(host_t *host)
{
	job_t *job;

	DL_FOREACH (host->jobs, job) {
		uint32_t ms;

		if (host->running >= host->options.slots)
			return;
		if (job->running)
			continue;
		ms = host->options.mean_run_ms / 2 +
		     carob_rng_below(&host->testbed->rng,
				     host->options.mean_run_ms);
		if (host_cold_ms(host) > 0)
			ms *= COLD_FACTOR;
		job->running = true;
		checker_record_run(&host->testbed->checker, job->id,
				   job->idempotent);
		host->running++;
		host->waiting--;
		(void)carob_timer_arm(
			host->testbed->program.kernel, &job->timer,
			testbed_now_ns(host->testbed) + ms * CAROB_NS_PER_MS);
	}
}

/* Responds that the request was rejected without running, as the queue is
 * full. */
static void reject_request(flow_t *flow, uint64_t id)
{
	char text[64];
	int len = snprintf(text, sizeof(text), "SHED %016" PRIx64 " 0 0\n", id);

	stream_send(&flow->stream, (carob_str_t){text, (size_t)len});
}

static void accept_request(flow_t *flow, uint64_t id, size_t response_bytes)
{
	host_t *host = flow->host;
	job_t *job;

	if (host->waiting >= host->options.queue) {
		reject_request(flow, id);
		return;
	}
	job = calloc(1, sizeof(*job));
	if (!job)
		return;
	job->timer.fire = on_job_done;
	job->flow = flow;
	job->host = host;
	job->id = id;
	job->idempotent =
		testbed_find_route(host->testbed, flow->route)->idempotent;
	job->response_bytes = response_bytes < RESPONSE_MAX ? response_bytes
							    : RESPONSE_MAX;
	DL_APPEND(host->jobs, job);
	host->waiting++;
	run_next(host);
}

static void on_bytes(stream_t *stream, carob_str_t data)
{
	flow_t *flow = CAROB_CONTAINER_OF(stream, flow_t, stream);

	for (size_t i = 0; i < data.len; i++) {
		uint64_t id;
		size_t bytes;

		if (flow->request_len < REQUEST_MAX - 1)
			flow->request[flow->request_len++] = data.ptr[i];
		if (data.ptr[i] != '\n')
			continue;
		flow->request[flow->request_len] = '\0';
		flow->request_len = 0;
		if (sscanf(flow->request, "REQ %" SCNx64 " %zu", &id, &bytes) ==
		    2)
			accept_request(flow, id, bytes);
	}
}

static const stream_ops_t flow_ops = {
	.transmit = transmit,
	.receive = on_bytes,
	.ended = on_ended,
};

static flow_t *find_flow(const host_t *host, const wire_packet_t *packet)
{
	flow_t *flow;

	DL_FOREACH (host->flows, flow)
		if (carob_endpoint_eq(flow->caller, packet->from) &&
		    carob_endpoint_eq(flow->route, packet->to))
			return flow;
	return NULL;
}

static void send_syn_ack(flow_t *flow, uint32_t echo)
{
	wire_packet_t packet = {.from = flow->route,
				.to = flow->caller,
				.seq = flow->host_seq,
				.ack = flow->caller_seq + 1,
				.echo = echo,
				.flags = WIRE_SYN | WIRE_ACK};

	send_packet(flow->host, &packet);
}

/* Checks the guarantees about the hosts and routes to which new flows may
 * go. */
static void check_syn(host_t *host, const wire_packet_t *packet,
		      size_t instance)
{
	testbed_t *testbed = host->testbed;
	const testbed_route_t *route = testbed_find_route(testbed, packet->to);
	uint64_t now = testbed_now_ns(testbed);

	if (!route || route->service != host->options.service) {
		checker_report_violation(
			&testbed->checker, CHECKER_WRONG_SERVICE,
			"host %" PRIx64 " of service %zu received a SYN "
			"to port %u",
			host->options.number, host->options.service,
			packet->to.port);
		return;
	}
	if (!checker_store_undisturbed(&testbed->checker) ||
	    !checker_instance_undisturbed(&testbed->checker, instance))
		return;
	if (host->state == HOST_DRAINING &&
	    now - host->state_since_ns > TESTBED_DRAIN_MS * CAROB_NS_PER_MS)
		checker_report_violation(
			&testbed->checker, CHECKER_DRAINED,
			"host %" PRIx64 " received a SYN %" PRIu64
			" ms after it began to drain",
			host->options.number,
			(uint64_t)((now - host->state_since_ns) /
				   CAROB_NS_PER_MS));
	if (!route->listed &&
	    now - route->changed_ns > TESTBED_APPLY_MS * CAROB_NS_PER_MS)
		checker_report_violation(
			&testbed->checker, CHECKER_OLD_ROUTE,
			"SYN to port %u, which is no longer listed",
			packet->to.port);
}

/* Checks any SYN, also a copy: nothing new may come to an evacuated zone. */
static void check_evacuation(host_t *host, size_t instance)
{
	testbed_t *testbed = host->testbed;
	uint64_t since_ms = (testbed_now_ns(testbed) - testbed->evacuated_ns) /
			    CAROB_NS_PER_MS;

	if (host->options.zone != testbed->evacuated_zone ||
	    since_ms <= TESTBED_EVACUATION_MS ||
	    !checker_store_undisturbed(&testbed->checker) ||
	    !checker_instance_undisturbed(&testbed->checker, instance))
		return;
	checker_report_violation(&testbed->checker, CHECKER_EVACUATED,
				 "host %" PRIx64 " received a SYN %" PRIu64
				 " ms after %s was evacuated",
				 host->options.number, since_ms,
				 testbed->zones[testbed->evacuated_zone]);
}

static void on_syn(host_t *host, const wire_packet_t *packet, flow_t *flow,
		   size_t instance)
{
	check_evacuation(host, instance);
	if (flow && flow->caller_seq == packet->seq) {
		if (!flow->open)
			send_syn_ack(flow, packet->echo);
		return;
	}
	if (flow)
		flow_free(flow);
	check_syn(host, packet, instance);
	flow = calloc(1, sizeof(*flow));
	if (!flow)
		return;
	flow->host = host;
	flow->caller = packet->from;
	flow->route = packet->to;
	flow->caller_seq = packet->seq;
	flow->host_seq = carob_rng_u32(&host->testbed->rng);
	stream_init(&flow->stream, &flow_ops, host->testbed->program.kernel,
		    flow->host_seq + 1, packet->seq + 1);
	flow->stream.echo = packet->echo;
	DL_APPEND(host->flows, flow);
	host->testbed->checker.connects++;
	send_syn_ack(flow, packet->echo);
}

static void on_flow_packet(flow_t *flow, const wire_packet_t *packet)
{
	if (!flow->open) {
		if (flow->stream.over || packet->ack != flow->host_seq + 1) {
			send_reset(flow->host, packet);
			return;
		}
		flow->open = true;
	}
	stream_process_packet(&flow->stream, packet);
	if (flow->stream.over)
		flow_free(flow);
}

static void on_packet(host_t *host, const wire_packet_t *packet,
		      size_t instance)
{
	flow_t *flow = find_flow(host, packet);

	if (!wire_checksum_valid(packet)) {
		checker_report_violation(
			&host->testbed->checker, CHECKER_PACKET_CHANGED,
			"host %" PRIx64
			" received a packet with a wrong checksum",
			host->options.number);
		return;
	}
	if (packet->flags & WIRE_SYN)
		on_syn(host, packet, flow, instance);
	else if (packet->flags & WIRE_RST) {
		if (flow)
			flow_free(flow);
	} else if (flow)
		on_flow_packet(flow, packet);
	else
		send_reset(host, packet);
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	host_t *host = CAROB_CONTAINER_OF(handler, host_t, handler);
	size_t instance = testbed_instance_of(host->testbed, from);
	wire_packet_t packet;
	uint64_t number = 0;

	if (host->state == HOST_CRASHED || data.len < WIRE_NUMBER_BYTES)
		return;
	if (instance < host->testbed->instance_count &&
	    testbed_loses_packet(host->testbed,
				 host->testbed->instances[instance].zone,
				 host->options.zone))
		return;
	for (size_t i = 0; i < WIRE_NUMBER_BYTES; i++)
		number = number << 8 | (uint8_t)data.ptr[i];
	if (number != 0 && number != host->options.number) {
		host->testbed->checker.misdirected++;
		return;
	}
	data.ptr += WIRE_NUMBER_BYTES;
	data.len -= WIRE_NUMBER_BYTES;
	if (wire_decode(&packet, data) != 0) {
		checker_report_violation(&host->testbed->checker,
					 CHECKER_PACKET_CHANGED,
					 "host %" PRIx64
					 " received a malformed packet of "
					 "%zu bytes",
					 host->options.number, data.len);
		return;
	}
	on_packet(host, &packet, instance);
}

int host_new(host_t **out, testbed_t *testbed, const host_options_t *options)
{
	host_t *host = calloc(1, sizeof(*host));
	int error;

	if (!host)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate host");
	host->handler.receive = on_datagram;
	host->testbed = testbed;
	host->options = *options;
	host->started_ns = testbed_now_ns(testbed);
	host->state_since_ns = host->started_ns;
	error = carob_udp_open(&host->udp, testbed->program.hub, &options->addr,
			       &host->handler);
	if (error) {
		free(host);
		return error;
	}
	*out = host;
	return 0;
}

void host_free(host_t *host)
{
	job_t *job;
	job_t *next;

	if (!host)
		return;
	while (host->flows)
		flow_free(host->flows);
	DL_FOREACH_SAFE (host->jobs, job, next) {
		carob_timer_cancel(host->testbed->program.kernel, &job->timer);
		free(job);
	}
	carob_udp_close(host->udp);
	free(host);
}

void host_set_state(host_t *host, host_state_t state)
{
	host->state = state;
	host->state_since_ns = testbed_now_ns(host->testbed);
}

host_state_t host_state(const host_t *host)
{
	return host->state;
}

void host_set_cold(host_t *host, uint32_t ms)
{
	host->cold_until_ns =
		testbed_now_ns(host->testbed) + ms * CAROB_NS_PER_MS;
}

uint32_t host_cold_ms(const host_t *host)
{
	uint64_t now = testbed_now_ns(host->testbed);

	return now < host->cold_until_ns
		       ? (uint32_t)((host->cold_until_ns - now) /
				    CAROB_NS_PER_MS)
		       : 0;
}

const host_options_t *host_options(const host_t *host)
{
	return &host->options;
}

uint64_t host_started_ns(const host_t *host)
{
	return host->started_ns;
}

bool host_has_flow(const host_t *host, carob_endpoint_t caller,
		   carob_endpoint_t route)
{
	wire_packet_t packet = {.from = caller, .to = route};
	const flow_t *flow = find_flow(host, &packet);

	return flow && flow->open && !flow->stream.over;
}

void host_record_fault(host_t *host, uint64_t ms)
{
	uint64_t end = testbed_now_ns(host->testbed) +
		       (ms + TESTBED_CONTACT_MS) * CAROB_NS_PER_MS;

	if (end > host->disturbed_until_ns)
		host->disturbed_until_ns = end;
}

bool host_is_undisturbed(const host_t *host)
{
	return host->state != HOST_CRASHED &&
	       testbed_now_ns(host->testbed) >= host->disturbed_until_ns;
}
