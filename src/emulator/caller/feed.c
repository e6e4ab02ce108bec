#include "feed.h"

#include "emulator/common/payload.h"
#include "flow.h"

#include <string.h>

/* Order of Observe numbers and time after which any number is newer (RFC
 * 7641, section 3.4). */
#define OBSERVE_HALF	  (1U << 23)
#define OBSERVE_FRESH_US  (128 * 1000000ULL)
#define DEFAULT_MAX_AGE_S 60 /* RFC 7252, section 5.10.5 */
/* Wait after the Max-Age of a notification before the caller registers
 * again: a minimum and a random part. */
#define GRACE_MIN_MS	200
#define GRACE_SPREAD_MS 300
/* A caller registers again this long after its last registration, even if
 * notifications arrive. */
#define REGISTRATION_INTERVAL_US (300 * 1000000ULL)
/* Wait after a refusal that has no Max-Age. */
#define REFUSAL_RETRY_MS 500

static void schedule_registration(caller_call_t *call, uint64_t delay_ms)
{
	carob_kernel_t *kernel = call->flow->caller->program.kernel;

	carob_timer_arm(kernel, &call->freshness_timer,
			carob_kernel_now_ns(kernel) +
				delay_ms * CAROB_NS_PER_MS);
}

static void register_again(carob_timer_t *timer)
{
	caller_call_t *call =
		CAROB_CONTAINER_OF(timer, caller_call_t, freshness_timer);

	if (call->record.cancelled)
		return;
	call->flow->caller->counters.registered_again++;
	call->registered_us = caller_now_us(call->flow->caller);
	caller_call_send(call);
}

void caller_feed_init(caller_call_t *call)
{
	call->record.is_feed = true;
	call->record.idempotent = true;
	call->freshness_timer.fire = register_again;
	call->registered_us = caller_now_us(call->flow->caller);
}

static void arm_freshness_timer(caller_call_t *call, const carob_msg_t *msg)
{
	caller_t *caller = call->flow->caller;
	uint32_t max_age_s = msg->has_max_age ? msg->max_age_s
					      : DEFAULT_MAX_AGE_S;
	uint64_t now = caller_now_us(caller);

	if (now - call->registered_us > REGISTRATION_INTERVAL_US)
		schedule_registration(call, 0);
	else
		schedule_registration(call,
				      max_age_s * 1000ULL + GRACE_MIN_MS +
					      carob_rng_below(&caller->rng,
							      GRACE_SPREAD_MS));
}

static bool is_newer(const caller_call_t *call, uint32_t observe, uint64_t now)
{
	uint32_t last = call->observe;

	return (last < observe && observe - last < OBSERVE_HALF) ||
	       (last > observe && last - observe > OBSERVE_HALF) ||
	       now > call->notified_us + OBSERVE_FRESH_US;
}

static void update_longest_gap(caller_call_t *call, uint64_t now)
{
	uint64_t gap = now - call->notified_us;

	if (call->established && gap > call->record.feed.longest_gap_us)
		call->record.feed.longest_gap_us = gap;
}

static void accept_notification(caller_call_t *call, const carob_msg_t *msg,
				const carob_payload_header_t *header,
				uint64_t now)
{
	carob_feed_record_t *feed = &call->record.feed;

	if (header->rid != call->record.rid ||
	    strcmp(header->service, call->record.service) != 0)
		feed->wrong_content++;
	else if (header->sequence < call->sequence)
		feed->regressions++;
	else
		call->sequence = header->sequence;
	update_longest_gap(call, now);
	if (!call->established) {
		call->established = true;
		call->record.result = CAROB_CALL_ANSWERED;
		call->record.final_us = now;
	}
	call->notified_us = now;
	call->observe = msg->observe;
	feed->notifications++;
	call->flow->caller->counters.notifications++;
	arm_freshness_timer(call, msg);
}

/* Observe numbers start again when a feed moves to another upstream.
 * Therefore a response to a registration is accepted if either its Observe
 * number or the sequence number in its payload is newer. */
static void on_notification(caller_call_t *call, const carob_msg_t *msg)
{
	uint64_t now = caller_now_us(call->flow->caller);
	bool is_response = msg->type == CAROB_MSG_ACK;
	carob_payload_header_t header;

	if (carob_payload_read(&header, msg->payload) != 0) {
		call->record.feed.wrong_content++;
		return;
	}
	if (call->established && !is_newer(call, msg->observe, now) &&
	    !(is_response && header.sequence >= call->sequence))
		return;
	accept_notification(call, msg, &header, now);
}

/* A refused registration of an established feed is tried again. Only a refusal
 * of the first registration, or a notification by which the server ends the
 * feed (an error with a Max-Age of 0), is final. */
static void on_refusal(caller_call_t *call, const carob_msg_t *msg)
{
	if (call->established && msg->type != CAROB_MSG_ACK &&
	    msg->has_max_age && msg->max_age_s == 0) {
		caller_feed_close(call);
		call->record.feed.ended_without_reason = true;
		caller_call_finish(call, CAROB_CALL_NOT_RUN);
		return;
	}
	if (!call->established && msg->verdict != CAROB_VERDICT_UNKNOWN) {
		call->retry_after_s = msg->has_max_age ? msg->max_age_s : 1;
		caller_call_finish(call, CAROB_CALL_NOT_RUN);
		return;
	}
	schedule_registration(call, msg->has_max_age && msg->max_age_s
					    ? msg->max_age_s * 1000ULL
					    : REFUSAL_RETRY_MS);
}

void caller_feed_receive(caller_call_t *call, const carob_msg_t *msg)
{
	if (msg->code == CAROB_CODE_VALID)
		arm_freshness_timer(call, msg);
	else if (msg->code == CAROB_CODE_CONTENT && msg->has_observe)
		on_notification(call, msg);
	else
		on_refusal(call, msg);
}

void caller_feed_close(caller_call_t *call)
{
	update_longest_gap(call, caller_now_us(call->flow->caller));
	carob_timer_cancel(call->flow->caller->program.kernel,
			   &call->freshness_timer);
}
