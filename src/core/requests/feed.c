/*
 * Feeds: CoAP observations (RFC 7641) that callers register and that this
 * instance forwards between the upstream and the caller.
 */
#include "core/requests/entry_priv.h"

#define FEED_MAX_AGE_S	    60
#define REFRESH_LIMIT_NS    (15 * 60 * CAROB_NS_PER_S)
#define DRAIN_MAX_AGE_S	    1
#define DRAIN_GRACE_NS	    (3 * CAROB_NS_PER_S)
#define SEQUENCE_MASK	    0xffffffu
#define SEQUENCE_HALF	    0x800000u
#define SEQUENCE_TICK_SHIFT 2 /* one step every 4 ms of wall-clock time */
#define REORDER_NS	    (128 * CAROB_NS_PER_S) /* RFC 7641, section 3.4 */

/*
 * Returns the Observe number of the next notification to the caller. Numbers
 * follow wall-clock time, so that they keep growing when another instance
 * takes over the feed.
 */
static uint32_t next_observe_number(carob_request_t *request)
{
	const carob_clock_t *clock = carob_kernel_clock(request->entry->kernel);
	carob_feed_t *feed = &request->feed;
	uint32_t tick =
		(uint32_t)(carob_clock_wall_ms(clock) >> SEQUENCE_TICK_SHIFT) &
		SEQUENCE_MASK;
	uint32_t ahead = (tick - feed->observe_out) & SEQUENCE_MASK;

	if (ahead == 0 || ahead >= SEQUENCE_HALF)
		tick = (feed->observe_out + 1) & SEQUENCE_MASK;
	feed->observe_out = tick;
	return tick;
}

static uint32_t max_age_of(const carob_msg_t *msg)
{
	if (!msg->has_max_age || msg->max_age_s > FEED_MAX_AGE_S)
		return FEED_MAX_AGE_S;
	return msg->max_age_s;
}

/* Whether a notification is newer than the last one: RFC 7641, section 3.4. */
static bool is_fresh(const carob_feed_t *feed, const carob_msg_t *msg,
		     uint64_t now)
{
	uint32_t ahead = (msg->observe - feed->observe_in) & SEQUENCE_MASK;

	return (ahead != 0 && ahead < SEQUENCE_HALF) ||
	       now - feed->observed_ns > REORDER_NS;
}

/*
 * Arms the timer for the earliest of: two maximum ages without a notification,
 * the caller's latest time to register again, and the end of the grace period
 * after the successor was announced to the caller.
 */
static void arm_timer(carob_request_t *request)
{
	carob_feed_t *feed = &request->feed;
	uint64_t now = carob_entry_now(request->entry);
	uint64_t age_ns = feed->max_age_s * CAROB_NS_PER_S;
	uint64_t due = now + 2 * (age_ns ? age_ns : CAROB_NS_PER_S);

	if (feed->refreshed_ns + REFRESH_LIMIT_NS < due)
		due = feed->refreshed_ns + REFRESH_LIMIT_NS;
	if (feed->successor_announced && now + DRAIN_GRACE_NS < due)
		due = now + DRAIN_GRACE_NS;
	carob_timer_arm(request->entry->kernel, &request->timer, due);
}

/*
 * Begins a message to the caller: the response to its renewed registration if
 * one is pending, otherwise a notification with a message ID of its own.
 */
static void init_notification(carob_msg_t *out, carob_request_t *request)
{
	carob_feed_t *feed = &request->feed;
	uint8_t type = request->type;
	uint16_t mid = request->mid;

	if (feed->refreshing) {
		request->type = feed->refresh_type;
		request->mid = feed->refresh_mid;
	} else {
		request->type = CAROB_MSG_NON;
	}
	carob_answer_init_for(out, request->entry, request);
	request->type = type;
	request->mid = mid;
	if (!feed->refreshing)
		out->mid = ++feed->notify_mid;
	feed->refreshing = false;
}

static void send_to_caller(carob_request_t *request, const carob_msg_t *msg)
{
	carob_entry_t *entry = request->entry;

	entry->port->ops->to_caller(entry->port, request->token.service_id,
				    &request->caller, msg);
}

/*
 * Copies an upstream's response into a message to the caller. Type, message ID
 * and CoAP token stay as initialised; options that are only meant for this
 * instance are removed.
 */
static void copy_representation(carob_msg_t *out, carob_request_t *request,
				const carob_msg_t *msg)
{
	carob_msg_t header = *out;

	*out = *msg;
	out->type = header.type;
	out->mid = header.mid;
	out->token_len = header.token_len;
	for (size_t i = 0; i < CAROB_MSG_TOKEN_MAX; i++)
		out->token[i] = header.token[i];
	out->verdict = CAROB_VERDICT_NONE;
	out->echo_len = 0;
	out->has_deadline = false;
	out->has_trace = false;
	if (!msg->has_observe)
		return;
	out->observe = next_observe_number(request);
	out->has_max_age = true;
	out->max_age_s = request->feed.successor_announced
				 ? DRAIN_MAX_AGE_S
				 : request->feed.max_age_s;
}

/* Stores the Observe number, time and maximum age of a notification. */
static void update_observation(carob_request_t *request, const carob_msg_t *msg)
{
	carob_feed_t *feed = &request->feed;

	feed->observe_in = msg->observe;
	feed->observed_ns = carob_entry_now(request->entry);
	feed->max_age_s = max_age_of(msg);
}

void carob_feed_open(carob_request_t *request, const carob_msg_t *msg)
{
	carob_entry_t *entry = request->entry;
	carob_feed_t *feed = &request->feed;
	carob_msg_t out;

	carob_request_set_phase(request, CAROB_REQUEST_FEED);
	entry->counters.feeds_opened++;
	entry->counters.answered++;
	feed->refreshed_ns = carob_entry_now(entry);
	feed->notify_mid = (uint16_t)carob_rng_u32(&entry->rng);
	feed->successor_announced = entry->draining;
	feed->pauses = entry->pauses;
	update_observation(request, msg);
	carob_answer_init_for(&out, entry, request);
	copy_representation(&out, request, msg);
	carob_answer_seal(&out, entry, &request->token);
	carob_request_answer(request, CAROB_RECORD_ANSWERED, &out);
	arm_timer(request);
}

static void finish_feed(carob_request_t *request, carob_work_outcome_t outcome)
{
	request->entry->counters.feeds_ended++;
	carob_request_finish(request, outcome);
}

/* A response without Observe ends the observation: RFC 7641, section 4.2. */
static void on_final_response(carob_request_t *request, const carob_msg_t *msg)
{
	carob_msg_t out;

	init_notification(&out, request);
	copy_representation(&out, request, msg);
	carob_answer_seal(&out, request->entry, &request->token);
	send_to_caller(request, &out);
	finish_feed(request, CAROB_OUTCOME_DONE);
}

/*
 * Returns whether a message may be outdated because the process was paused.
 * Notifications read after a pause may have waited in the socket, and another
 * instance may own the flow by now and may have sent newer ones to the caller.
 * The feed therefore resumes only once the caller has registered again after
 * the pause and the upstream has answered that registration.
 */
static bool is_outdated(carob_request_t *request, const carob_msg_t *msg)
{
	const carob_exchange_t *x = &request->exchange;
	carob_feed_t *feed = &request->feed;
	uint32_t pauses = request->entry->pauses;

	if (feed->refreshing && feed->refresh_pauses == pauses &&
	    x->sent == CAROB_SENT_REFRESH && msg->type == CAROB_MSG_ACK &&
	    msg->mid == x->mid)
		feed->pauses = pauses;
	return feed->pauses != pauses;
}

void carob_feed_on_notification(carob_request_t *request,
				const carob_msg_t *msg)
{
	carob_feed_t *feed = &request->feed;
	bool answers_refresh = feed->refreshing;
	carob_msg_t out;

	if (is_outdated(request, msg)) {
		request->entry->counters.dropped++;
		return;
	}
	if (!msg->has_observe) {
		on_final_response(request, msg);
		return;
	}
	if (!answers_refresh &&
	    !is_fresh(feed, msg, carob_entry_now(request->entry))) {
		request->entry->counters.dropped++;
		return;
	}
	update_observation(request, msg);
	init_notification(&out, request);
	copy_representation(&out, request, msg);
	if (answers_refresh || feed->successor_announced)
		carob_answer_seal(&out, request->entry, &request->token);
	send_to_caller(request, &out);
	if (!feed->successor_announced)
		arm_timer(request);
}

void carob_feed_refresh(carob_request_t *request, const carob_packet_t *packet)
{
	carob_feed_t *feed = &request->feed;
	bool refresh_pending = request->exchange.sent == CAROB_SENT_REFRESH &&
			       !request->exchange.acked;

	carob_request_set_caller(request, &packet->caller);
	feed->refreshed_ns = carob_entry_now(request->entry);
	feed->refresh_mid = packet->msg->mid;
	feed->refresh_type = (uint8_t)packet->msg->type;
	feed->refreshing = true;
	/* A refresh that was sent before a pause is sent again. */
	if (feed->refresh_pauses != request->entry->pauses)
		refresh_pending = false;
	feed->refresh_pauses = request->entry->pauses;
	if (!carob_entry_find_upstream(request->entry, &request->token))
		carob_feed_end(request, false);
	else if (!refresh_pending)
		carob_path_send_message(request, CAROB_SENT_REFRESH);
}

void carob_feed_end(carob_request_t *request, bool upstream_gone)
{
	carob_token_t token = request->token;
	carob_token_t fresh;
	carob_msg_t out;

	init_notification(&out, request);
	out.code = CAROB_CODE_SERVICE_UNAVAILABLE;
	out.has_max_age = true;
	out.max_age_s = 0;
	/* The caller needs a new flow if its upstream was removed. */
	if (!carob_entry_find_upstream(request->entry, &token) &&
	    carob_answer_fresh_token(&fresh, request->entry,
				     token.service_id) == 0)
		token = fresh;
	carob_answer_seal(&out, request->entry, &token);
	send_to_caller(request, &out);
	if (upstream_gone) {
		finish_feed(request, CAROB_OUTCOME_ERROR);
		return;
	}
	request->entry->counters.feeds_ended++;
	carob_request_cancel_upstream(request);
}

void carob_feed_announce_successor(carob_request_t *request)
{
	carob_feed_t *feed = &request->feed;
	carob_msg_t out;

	if (feed->successor_announced)
		return;
	feed->successor_announced = true;
	arm_timer(request);
	/* The response to a pending refresh carries the successor's token. */
	if (feed->refreshing)
		return;
	init_notification(&out, request);
	out.code = CAROB_CODE_VALID;
	out.has_observe = true;
	out.observe = next_observe_number(request);
	out.has_max_age = true;
	out.max_age_s = DRAIN_MAX_AGE_S;
	carob_answer_seal(&out, request->entry, &request->token);
	send_to_caller(request, &out);
}

/* Registers again at an upstream that has sent no notification in time. */
static void on_silence(carob_request_t *request)
{
	if (request->exchange.acked)
		carob_path_send_message(request, CAROB_SENT_REFRESH);
	arm_timer(request);
}

void carob_feed_on_timer(carob_request_t *request)
{
	carob_feed_t *feed = &request->feed;
	uint64_t now = carob_entry_now(request->entry);
	bool outdated;

	carob_pause_check(request->entry);
	outdated = feed->pauses != request->entry->pauses;
	/*
	 * These feeds end without a notification: the caller has been asked to
	 * register at the successor or, after a pause, may have registered at
	 * another instance.
	 */
	if (feed->successor_announced || (outdated && !feed->refreshing)) {
		request->entry->counters.feeds_ended++;
		carob_request_cancel_upstream(request);
	} else if (now >= feed->refreshed_ns + REFRESH_LIMIT_NS) {
		carob_feed_end(request, false);
	} else {
		on_silence(request);
	}
}
