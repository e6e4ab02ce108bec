#include "call.h"

#include "emulator/common/payload.h"
#include "feed.h"
#include "flow.h"
#include "net/coap_codec.h"

#include <stdlib.h>
#include <string.h>

#define CHALLENGES_MAX 8
/* Wait after a confirmed cancel for a response that crossed it. */
#define CANCEL_LINGER_MS 300
#define BLOCK_SZX	 4 /* 256 bytes (RFC 7959) */
/* Wait for the confirmation of a feed's cancel. */
#define FEED_CANCEL_TIMEOUT_MS 5000

static carob_kernel_t *call_kernel(const caller_call_t *call)
{
	return call->flow->caller->program.kernel;
}

static void arm_timer(caller_call_t *call, carob_timer_t *timer,
		      uint64_t delay_ms)
{
	carob_timer_arm(call_kernel(call), timer,
			carob_kernel_now_ns(call_kernel(call)) +
				delay_ms * CAROB_NS_PER_MS);
}

static void init_message(carob_msg_t *msg, const caller_call_t *call,
			 uint16_t mid)
{
	const caller_flow_t *flow = call->flow;

	memset(msg, 0, sizeof(*msg));
	msg->type = CAROB_MSG_CON;
	msg->mid = mid;
	msg->token_len = sizeof(call->token);
	memcpy(msg->token, &call->token, sizeof(call->token));
	msg->echo_len = flow->echo_len;
	memcpy(msg->echo, flow->echo, flow->echo_len);
}

static void fill_request(carob_msg_t *msg, carob_request_t *request,
			 const caller_call_t *call)
{
	*request = (carob_request_t){.rid = call->record.rid};
	switch (call->flow->group->kind) {
	case CALLER_FEED:
		msg->code = CAROB_CODE_GET;
		msg->has_observe = true;
		request->path = CAROB_STR("feed");
		break;
	case CALLER_CHECK:
		msg->code = CAROB_CODE_POST;
		request->path = CAROB_STR("check");
		break;
	case CALLER_DOWNLOAD:
		msg->code = CAROB_CODE_GET;
		request->path = CAROB_STR("packet");
		request->has_block = true;
		request->block.number = call->flow->next_block;
		request->block.szx = BLOCK_SZX;
		break;
	}
}

void caller_call_send(caller_call_t *call)
{
	caller_t *caller = call->flow->caller;
	uint64_t now = caller_now_us(caller);
	char text[CAROB_REQUEST_TEXT_MAX];
	carob_request_t request;
	carob_msg_t msg;

	carob_con_stop(&call->request);
	call->request_mid = call->flow->socket->next_mid++;
	init_message(&msg, call, call->request_mid);
	fill_request(&msg, &request, call);
	if (!call->record.is_feed && call->record.deadline_us > now) {
		msg.has_deadline = true;
		msg.deadline_ms =
			(uint32_t)((call->record.deadline_us - now) / 1000);
	}
	carob_request_write(&msg, text, &request);
	carob_con_start(&call->request, &caller->rng, &msg);
}

static void on_request_given_up(carob_con_t *con)
{
	caller_call_t *call = CAROB_CONTAINER_OF(con, caller_call_t, request);

	if (call->record.is_feed && !call->record.cancelled)
		caller_call_send(call);
}

static void on_cancel_given_up(carob_con_t *con)
{
	caller_call_t *call = CAROB_CONTAINER_OF(con, caller_call_t, cancel);

	caller_call_finish(call, CAROB_CALL_NONE);
}

static void on_cancel_timer(carob_timer_t *timer)
{
	caller_call_cancel(
		CAROB_CONTAINER_OF(timer, caller_call_t, cancel_timer));
}

static void on_limit_timer(carob_timer_t *timer)
{
	caller_call_t *call =
		CAROB_CONTAINER_OF(timer, caller_call_t, limit_timer);

	caller_call_finish(call, call->record.result);
}

static void init_con(carob_con_t *con, const caller_call_t *call,
		     void (*give_up)(carob_con_t *con))
{
	con->give_up = give_up;
	con->kernel = call_kernel(call);
	con->udp = call->flow->socket->udp;
	con->peer = call->flow->group->addr;
}

static void init_record(caller_call_t *call)
{
	const caller_flow_group_t *group = call->flow->group;
	carob_call_record_t *record = &call->record;

	record->rid = carob_rng_u64(&call->flow->caller->rng) | 1;
	memcpy(record->service, group->service, sizeof(record->service));
	record->idempotent = group->kind != CALLER_CHECK;
	record->sent_us = caller_now_us(call->flow->caller);
	record->deadline_us = record->sent_us + group->deadline_ms * 1000ULL;
}

static void arm_timers(caller_call_t *call)
{
	caller_t *caller = call->flow->caller;
	const caller_flow_group_t *group = call->flow->group;

	call->cancel_timer.fire = on_cancel_timer;
	call->limit_timer.fire = on_limit_timer;
	if (!call->record.is_feed)
		arm_timer(call, &call->limit_timer,
			  (uint64_t)group->deadline_ms +
				  caller->settings.answer_bound_ms);
	if (carob_rng_below(&caller->rng, 100) < group->cancel_percent)
		arm_timer(call, &call->cancel_timer,
			  carob_rng_below(&caller->rng,
					  group->cancel_after_ms + 1));
}

void caller_call_start(caller_flow_t *flow)
{
	caller_call_t *call = calloc(1, sizeof(*call));
	caller_t *caller = flow->caller;

	if (!call)
		return;
	call->flow = flow;
	call->token = carob_rng_u64(&caller->rng);
	init_con(&call->request, call, on_request_given_up);
	init_con(&call->cancel, call, on_cancel_given_up);
	init_record(call);
	if (flow->group->kind == CALLER_FEED)
		caller_feed_init(call);
	HASH_ADD(hh, flow->socket->calls, token, sizeof(call->token), call);
	flow->call = call;
	caller->open_calls++;
	caller->counters.calls++;
	if (call->record.is_feed)
		caller->counters.feeds++;
	arm_timers(call);
	caller_call_send(call);
}

void caller_call_free(caller_call_t *call)
{
	caller_flow_t *flow = call->flow;
	carob_kernel_t *kernel = call_kernel(call);

	carob_timer_cancel(kernel, &call->cancel_timer);
	carob_timer_cancel(kernel, &call->limit_timer);
	carob_timer_cancel(kernel, &call->freshness_timer);
	carob_con_stop(&call->request);
	carob_con_stop(&call->cancel);
	if (flow->socket->calls)
		HASH_DEL(flow->socket->calls, call);
	flow->call = NULL;
	flow->caller->open_calls--;
	free(call);
}

static void count_result(caller_t *caller, const carob_call_record_t *record)
{
	caller_counters_t *counters = &caller->counters;

	if (record->cancelled)
		counters->cancelled++;
	else if (record->result == CAROB_CALL_ANSWERED)
		counters->answered++;
	else if (record->result == CAROB_CALL_NOT_RUN)
		counters->refused++;
	else if (record->result == CAROB_CALL_UNKNOWN)
		counters->unknown++;
	else
		counters->none++;
	if (record->result == CAROB_CALL_ANSWERED && !record->cancelled)
		carob_histogram_record(&caller->latency_us,
				       record->final_us - record->sent_us);
}

void caller_call_finish(caller_call_t *call, carob_call_result_t result)
{
	caller_flow_t *flow = call->flow;
	caller_t *caller = flow->caller;
	carob_call_record_t *record = &call->record;
	uint32_t retry_after_s = call->retry_after_s;
	bool finished = !call->more_blocks;

	if (result != CAROB_CALL_NONE && record->final_us == 0)
		record->final_us = caller_now_us(caller);
	record->result = result;
	count_result(caller, record);
	carob_call_record_write(caller->ledger, record);
	if (call->more_blocks)
		flow->next_block++;
	caller_call_free(call);
	caller_flow_schedule_next(flow, retry_after_s, finished);
	caller_stop_if_idle(caller);
}

static void send_cancel(caller_call_t *call)
{
	caller_t *caller = call->flow->caller;
	carob_msg_t msg;

	carob_con_stop(&call->cancel);
	call->cancel_mid = call->flow->socket->next_mid++;
	init_message(&msg, call, call->cancel_mid);
	msg.code = CAROB_CODE_GET;
	msg.has_observe = true;
	msg.observe = 1;
	call->cancel_sent = true;
	carob_con_start(&call->cancel, &caller->rng, &msg);
}

void caller_call_cancel(caller_call_t *call)
{
	if (call->record.cancelled)
		return;
	if (call->record.is_feed)
		caller_feed_close(call);
	call->record.cancelled = true;
	carob_con_stop(&call->request);
	/* A request without a flow token in its Echo option never runs. */
	if (call->flow->echo_len == 0) {
		caller_call_finish(call, CAROB_CALL_CANCELLED);
		return;
	}
	if (call->record.is_feed)
		arm_timer(call, &call->limit_timer, FEED_CANCEL_TIMEOUT_MS);
	send_cancel(call);
}

static carob_call_result_t classify_response(const carob_msg_t *msg)
{
	if (msg->verdict == CAROB_VERDICT_NOT_RUN)
		return CAROB_CALL_NOT_RUN;
	if (msg->verdict == CAROB_VERDICT_NONE && msg->code >> 5 == 2)
		return CAROB_CALL_ANSWERED;
	return CAROB_CALL_UNKNOWN;
}

static void store_content(caller_call_t *call, const carob_msg_t *msg)
{
	carob_call_record_t *record = &call->record;
	carob_payload_header_t header;
	carob_block_t block;

	if (carob_payload_read(&header, msg->payload) != 0)
		return;
	record->answer_rid = header.rid;
	memcpy(record->answer_service, header.service,
	       sizeof(record->answer_service));
	if (carob_block_read(&block, msg))
		call->more_blocks = block.more && !record->cancelled;
}

/* The response ends a request that was not cancelled. After a cancel, the
 * response is stored and the request ends when the cancel is confirmed. */
static void on_response(caller_call_t *call, const carob_msg_t *msg)
{
	carob_call_record_t *record = &call->record;

	carob_con_stop(&call->request);
	record->result = classify_response(msg);
	record->final_us = caller_now_us(call->flow->caller);
	if (record->result == CAROB_CALL_ANSWERED)
		store_content(call, msg);
	if (record->result == CAROB_CALL_NOT_RUN)
		call->retry_after_s = msg->has_max_age ? msg->max_age_s : 1;
	if (!record->cancelled || call->cancel_confirmed)
		caller_call_finish(call, record->result);
}

static void on_cancel_response(caller_call_t *call)
{
	carob_con_stop(&call->cancel);
	call->cancel_confirmed = true;
	if (call->record.result == CAROB_CALL_NONE || call->record.is_feed) {
		call->record.result = CAROB_CALL_CANCELLED;
		arm_timer(call, &call->limit_timer, CANCEL_LINGER_MS);
		return;
	}
	caller_call_finish(call, call->record.result);
}

/* The balancer challenges a message that has no valid Echo (4.01). A
 * challenged cancel is sent again. A challenged request is sent again too,
 * unless it is not idempotent and may have run already, or was challenged too
 * often. */
static void on_challenge(caller_call_t *call, const carob_msg_t *msg)
{
	call->flow->caller->counters.challenges++;
	if (call->cancel_sent && msg->mid == call->cancel_mid) {
		send_cancel(call);
		return;
	}
	if (call->record.cancelled)
		return;
	if (++call->challenges > CHALLENGES_MAX ||
	    (msg->verdict == CAROB_VERDICT_UNKNOWN &&
	     !call->record.idempotent)) {
		caller_call_finish(call, CAROB_CALL_UNKNOWN);
		return;
	}
	caller_call_send(call);
}

void caller_call_receive(caller_call_t *call, const carob_msg_t *msg)
{
	caller_flow_t *flow = call->flow;
	bool is_ack = msg->type == CAROB_MSG_ACK;

	if (msg->type == CAROB_MSG_CON)
		carob_msg_send_empty(flow->socket->udp, &flow->group->addr,
				     CAROB_MSG_ACK, msg->mid);
	if (is_ack && msg->mid != call->request_mid &&
	    !(call->cancel_sent && msg->mid == call->cancel_mid))
		return; /* acknowledges an earlier message of this call */
	caller_flow_keep_echo(flow, msg);
	if (msg->code == CAROB_CODE_UNAUTHORIZED && msg->echo_len) {
		on_challenge(call, msg);
		return;
	}
	if (is_ack && call->cancel_sent && msg->mid == call->cancel_mid) {
		on_cancel_response(call);
		return;
	}
	if (is_ack)
		carob_con_stop(&call->request);
	if (!call->record.is_feed)
		on_response(call, msg);
	else if (!call->record.cancelled)
		caller_feed_receive(call, msg);
}

void caller_call_acknowledged(caller_call_t *call, uint16_t mid, bool reset)
{
	if (call->cancel_sent && mid == call->cancel_mid) {
		carob_con_stop(&call->cancel);
		if (reset)
			caller_call_finish(call, CAROB_CALL_NONE);
	} else if (mid == call->request_mid) {
		carob_con_stop(&call->request);
		if (reset && !call->record.is_feed)
			caller_call_finish(call, CAROB_CALL_UNKNOWN);
	}
}
