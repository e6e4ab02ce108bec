/* carob-caller: emulates callers. It records the result of each request and
 * leaves the check of the records to carob-ledger-check. */
#include "call.h"
#include "carobtrail/errors.h"
#include "flow.h"
#include "net/coap_codec.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_CLASS_MIN 2

uint64_t caller_now_us(const caller_t *caller)
{
	return carob_kernel_now_ns(caller->program.kernel) / CAROB_NS_PER_US;
}

void caller_stop_if_idle(caller_t *caller)
{
	if (caller->stopping && caller->open_calls == 0)
		carob_loop_stop(caller->program.loop);
}

void caller_stop(caller_t *caller)
{
	if (caller->stopping)
		return;
	caller->stopping = true;
	for (size_t i = 0; i < caller->flow_count; i++) {
		caller_call_t *call = caller->flows[i].call;

		if (call && call->record.is_feed)
			caller_call_cancel(call);
	}
	caller_stop_if_idle(caller);
}

static void on_end_timer(carob_timer_t *timer)
{
	caller_stop(CAROB_CONTAINER_OF(timer, caller_t, end_timer));
}

static void on_signal(carob_program_t *program, int count)
{
	if (count == 1)
		caller_stop((caller_t *)program);
	else
		carob_loop_stop(program->loop);
}

static void on_empty(caller_socket_t *socket, const carob_msg_t *msg)
{
	caller_call_t *call;
	caller_call_t *next;

	HASH_ITER (hh, socket->calls, call, next) {
		if (call->request_mid != msg->mid &&
		    !(call->cancel_sent && call->cancel_mid == msg->mid))
			continue;
		caller_call_acknowledged(call, msg->mid,
					 msg->type == CAROB_MSG_RST);
		return;
	}
}

static caller_call_t *find_call(const caller_socket_t *socket,
				const carob_msg_t *msg)
{
	caller_call_t *call = NULL;
	uint64_t token;

	if (msg->token_len != sizeof(token))
		return NULL;
	memcpy(&token, msg->token, sizeof(token));
	HASH_FIND(hh, socket->calls, &token, sizeof(token), call);
	return call;
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	caller_socket_t *socket = (caller_socket_t *)handler;
	caller_call_t *call;
	carob_msg_t msg;
	uint8_t refusal;

	if (carob_coap_decode(&msg, &refusal, data.ptr, data.len) != 0 ||
	    carob_msg_is_request(&msg))
		return;
	if (msg.code == CAROB_CODE_EMPTY) {
		if (msg.type != CAROB_MSG_CON)
			on_empty(socket, &msg);
		return;
	}
	call = find_call(socket, &msg);
	if (call) {
		caller_call_receive(call, &msg);
		return;
	}
	socket->caller->counters.stray++;
	if (msg.type == CAROB_MSG_CON || msg.type == CAROB_MSG_NON)
		carob_msg_send_empty(socket->udp, from, CAROB_MSG_RST, msg.mid);
}

static int open_sockets(caller_t *caller)
{
	uint32_t count = caller->settings.sockets;
	carob_addr_t addr = caller->settings.addr;
	int error = 0;

	caller->sockets = calloc(count, sizeof(*caller->sockets));
	if (!caller->sockets)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate sockets");
	for (uint32_t i = 0; !error && i < count; i++) {
		caller_socket_t *socket = &caller->sockets[i];

		socket->handler.receive = on_datagram;
		socket->caller = caller;
		socket->next_mid = (uint16_t)carob_rng_u32(&caller->rng);
		error = carob_udp_open(&socket->udp, caller->program.hub, &addr,
				       &socket->handler);
		addr.port++;
	}
	return error;
}

static int open_flows(caller_t *caller)
{
	const caller_settings_t *settings = &caller->settings;
	size_t next = 0;

	for (size_t i = 0; i < settings->group_count; i++)
		caller->flow_count += settings->groups[i].count;
	caller->flows = calloc(caller->flow_count, sizeof(*caller->flows));
	if (!caller->flows) {
		caller->flow_count = 0;
		return carob_error_set(CAROB_ENOMEM, "cannot allocate flows");
	}
	for (size_t i = 0; i < settings->group_count; i++) {
		for (uint32_t j = 0; j < settings->groups[i].count; j++, next++)
			caller_flow_init(
				&caller->flows[next], caller,
				&settings->groups[i],
				&caller->sockets[next % settings->sockets]);
	}
	return 0;
}

static int open_ledger(caller_t *caller)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t path = CAROB_BUF_INIT;
	int error;

	error = carob_buf_append(&path, caller->settings.ledger_path.ptr,
				 caller->settings.ledger_path.len);
	if (error)
		return error;
	caller->ledger = fopen(path.ptr, "w");
	if (!caller->ledger)
		return carob_error_set(CAROB_EIO, "cannot open ledger %s: %s",
				       path.ptr, strerror(errno));
	return 0;
}

static int start(caller_t *caller)
{
	carob_kernel_t *kernel = caller->program.kernel;
	int error;

	carob_rng_init(&caller->rng, caller->settings.seed);
	caller->end_timer.fire = on_end_timer;
	error = open_ledger(caller);
	if (!error)
		error = open_sockets(caller);
	if (!error)
		error = open_flows(caller);
	if (!error)
		error = carob_timer_arm(kernel, &caller->end_timer,
					carob_kernel_now_ns(kernel) +
						caller->settings.duration_ms *
							CAROB_NS_PER_MS);
	return error ? carob_program_fail(&caller->program, error) : 0;
}

static void print_summary(const caller_t *caller)
{
	const caller_counters_t *c = &caller->counters;

	printf("{\"calls\":%" PRIu64 ",\"feeds\":%" PRIu64
	       ",\"answered\":%" PRIu64 ",\"cancelled\":%" PRIu64
	       ",\"refused\":%" PRIu64 ",\"unknown\":%" PRIu64
	       ",\"none\":%" PRIu64 ",\"challenges\":%" PRIu64
	       ",\"notifications\":%" PRIu64 ",\"registered_again\":%" PRIu64
	       ",\"stray\":%" PRIu64 ",\"latency_p50_us\":%" PRIu64
	       ",\"latency_p99_us\":%" PRIu64 "}\n",
	       c->calls, c->feeds, c->answered, c->cancelled, c->refused,
	       c->unknown, c->none, c->challenges, c->notifications,
	       c->registered_again, c->stray,
	       carob_histogram_quantile(&caller->latency_us, 0.5),
	       carob_histogram_quantile(&caller->latency_us, 0.99));
}

static void stop(caller_t *caller)
{
	for (size_t i = 0; i < caller->flow_count; i++)
		caller_flow_dispose(&caller->flows[i]);
	for (uint32_t i = 0; caller->sockets && i < caller->settings.sockets;
	     i++)
		carob_udp_close(caller->sockets[i].udp);
	free(caller->flows);
	free(caller->sockets);
	if (caller->ledger)
		fclose(caller->ledger);
	caller_settings_dispose(&caller->settings);
	carob_program_dispose(&caller->program);
}

static int read_settings(carob_program_t *program,
			 const carob_json_node_t *root)
{
	return caller_settings_read(&((caller_t *)program)->settings, root);
}

int main(int argc, const char **argv)
{
	static caller_t self = {.program.name = "carob-caller",
				.program.read_settings = read_settings,
				.program.on_signal = on_signal};
	int error;

	error = carob_program_init(&self.program, argc, argv);
	if (!error)
		error = start(&self);
	if (!error) {
		carob_program_run(&self.program);
		print_summary(&self);
	}
	stop(&self);
	return self.program.exit_status;
}
