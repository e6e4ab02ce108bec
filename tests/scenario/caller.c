#include "simulation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RETRANSMIT_FIRST_NS (1 * CAROB_NS_PER_S)
/* A caller without a response gives up this long after the deadline. */
#define GIVE_UP_AFTER_NS (6 * CAROB_NS_PER_S)
#define CHALLENGES_MAX	 6
#define TOKEN_LEN	 4
/* A feed without a notification is registered again this long after Max-Age. */
#define FEED_SLACK_NS (500 * CAROB_NS_PER_MS)
#define CALLER_PORT   5683

/* State of a caller with respect to its request or feed. */
typedef enum caller_state {
	CALLER_THINKING,
	CALLER_REQUESTING,
	CALLER_OBSERVING,
	CALLER_CANCELLING,
} caller_state_t;

/* One flow: consecutive requests, or one feed. */
struct caller {
	uint64_t key; /* also the caller's IP address */
	simulation_t *sim;
	traffic_t traffic;
	carob_addr_t addr;
	caller_state_t state;
	uint64_t session;
	uint32_t seq;
	uint32_t requests_left;
	uint8_t echo_len; /* 0 until the caller has a flow token */
	uint8_t echo[CAROB_MSG_ECHO_MAX];
	uint16_t mid;
	uint32_t token;
	uint64_t retransmit_ns;
	unsigned int challenges;
	bool may_have_run;
	bool post;
	carob_call_record_t call;
	uint64_t last_notification_ns;
	uint32_t observe;
	uint32_t max_age_s;
	carob_timer_t next_action; /* end of the think time, or cancellation */
	carob_timer_t retransmit;
	carob_timer_t refresh; /* next registration of a feed */
	UT_hash_handle hh;
};

/* A timer that starts flows of one kind of traffic at its rate. */
typedef struct source {
	carob_timer_t timer;
	simulation_t *sim;
	traffic_t traffic;
} source_t;

static uint64_t now_us(const simulation_t *sim)
{
	return simulation_now(sim) / CAROB_NS_PER_US;
}

static uint64_t draw_ns(simulation_t *sim, double mean_ms)
{
	double ms = -mean_ms * log(1.0 - carob_rng_unit(&sim->rng));

	return (uint64_t)(ms * CAROB_NS_PER_MS) + 1;
}

static void arm_after(caller_t *c, carob_timer_t *timer, uint64_t ns)
{
	carob_timer_arm(c->sim->kernel, timer, simulation_now(c->sim) + ns);
}

/* Chooses a random instance for a packet, as the fabric does. */
static instance_t *choose_instance(const caller_t *c)
{
	simulation_t *sim = c->sim;
	instance_t *in[INSTANCES_MAX];
	size_t count = 0;
	uint32_t pick;

	for (size_t i = 0; i < sim->instance_count; i++)
		if (instance_receives_packets(sim->instances[i]))
			in[count++] = sim->instances[i];
	if (count == 0)
		return NULL;
	pick = carob_rng_below(&sim->rng, (uint32_t)count);
	/* Flow tables only work if a flow's packets go to one instance. */
	if (sim->policy == POLICY_ROUND_ROBIN)
		pick = (uint32_t)(carob_hash_u64(c->key) % count);
	return in[pick];
}

static void send(caller_t *c, carob_msg_t *msg)
{
	instance_t *in = choose_instance(c);
	call_body_t body = {
		.rid = c->call.rid, .session = c->session, .seq = c->seq};
	packet_t *p;

	if (!in)
		return;
	if (!c->call.is_feed)
		body.deadline_ns = c->call.deadline_us * CAROB_NS_PER_US;
	msg->type = CAROB_MSG_CON;
	msg->mid = c->mid;
	msg->token_len = TOKEN_LEN;
	memcpy(msg->token, &c->token, TOKEN_LEN);
	msg->echo_len = c->echo_len;
	memcpy(msg->echo, c->echo, c->echo_len);
	msg->payload = (carob_str_t){(const char *)&body, sizeof(body)};
	p = packet_new(c->sim, PACKET_FROM_CALLER);
	p->instance = in->index;
	p->receiver_incarnation = in->id.incarnation;
	p->service_id = c->traffic.service_id;
	p->addr = c->addr;
	p->caller = c->key;
	p->msg = carob_msg_pack(msg);
	msg->payload = CAROB_STR("");
	simulation_trace(c->sim, "rid %llu to %u: code %u mid %u",
			 (unsigned long long)c->call.rid, in->id.id, msg->code,
			 msg->mid);
	network_send(p, NO_ZONE, in->zone);
}

static void send_request(caller_t *c)
{
	carob_msg_t msg = {
		.code = c->post ? CAROB_CODE_POST : CAROB_CODE_GET,
		.has_observe = c->call.is_feed,
	};
	uint64_t now = now_us(c->sim);

	if (c->traffic.deadline_ms && !c->call.is_feed) {
		msg.has_deadline = true;
		msg.deadline_ms =
			now < c->call.deadline_us
				? (uint32_t)((c->call.deadline_us - now) / 1000)
				: 0;
	}
	send(c, &msg);
}

static void send_cancel(caller_t *c)
{
	carob_msg_t msg = {
		.code = CAROB_CODE_GET,
		.has_observe = true,
		.observe = 1,
	};

	send(c, &msg);
}

static void start_sending(caller_t *c)
{
	c->mid++;
	c->retransmit_ns = RETRANSMIT_FIRST_NS;
	if (c->state == CALLER_CANCELLING)
		send_cancel(c);
	else
		send_request(c);
	arm_after(c, &c->retransmit, c->retransmit_ns);
}

static void free_caller(caller_t *c)
{
	carob_timer_cancel(c->sim->kernel, &c->next_action);
	carob_timer_cancel(c->sim->kernel, &c->retransmit);
	carob_timer_cancel(c->sim->kernel, &c->refresh);
	HASH_DEL(c->sim->callers, c);
	free(c);
}

static void record_call(caller_t *c)
{
	simulation_trace(c->sim, "rid %llu ends: result %d%s%s, gap %llu us",
			 (unsigned long long)c->call.rid, c->call.result,
			 c->call.cancelled ? ", cancelled" : "",
			 c->call.is_feed ? ", feed" : "",
			 (unsigned long long)c->call.feed.longest_gap_us);
	if (carob_ledger_add_call(c->sim->ledger, &c->call) != 0)
		abort();
}

static void think(caller_t *c, uint64_t ns)
{
	carob_timer_cancel(c->sim->kernel, &c->retransmit);
	carob_timer_cancel(c->sim->kernel, &c->refresh);
	c->state = CALLER_THINKING;
	arm_after(c, &c->next_action, ns);
}

/* Continues the flow at another service, with the token of the first one. */
static void switch_service(caller_t *c)
{
	c->traffic.service_id = c->traffic.then_service_id;
	c->session = c->key | (1ULL << 63);
	c->seq = 0;
}

/* Ends a request: records it in the ledger and schedules the next one. */
static void finish(caller_t *c, carob_call_result_t result)
{
	c->call.result = result;
	c->call.final_us = now_us(c->sim);
	record_call(c);
	if (c->sim->closing)
		c->requests_left = 0;
	if (c->requests_left > 0)
		c->requests_left--;
	if (c->traffic.then_service_id && result == CAROB_CALL_ANSWERED)
		switch_service(c);
	if (c->requests_left == 0) {
		free_caller(c);
		return;
	}
	think(c, draw_ns(c->sim, c->traffic.think_ms));
}

static void begin_request(caller_t *c)
{
	simulation_t *sim = c->sim;
	const traffic_t *t = &c->traffic;
	const carob_manifest_service_t *service =
		carob_manifest_find_service(sim->manifest, t->service_id);

	memset(&c->call, 0, sizeof(c->call));
	c->call.rid = ++sim->next_rid;
	carob_record_name(c->call.service, service->name);
	c->call.is_feed = t->feed_s > 0;
	c->post = !c->call.is_feed && carob_rng_unit(&sim->rng) < t->post_share;
	c->call.idempotent = !c->post;
	c->call.sent_us = now_us(sim);
	c->call.deadline_us = c->call.sent_us + t->deadline_ms * 1000ULL;
	c->state = CALLER_REQUESTING;
	c->challenges = 0;
	c->may_have_run = false;
	c->observe = 0;
	if (!t->tokens_reused || c->call.is_feed)
		c->token = (uint32_t)sim->next_rid;
	if (c->call.is_feed)
		arm_after(c, &c->next_action,
			  (uint64_t)(t->feed_s * CAROB_NS_PER_S));
	else if (carob_rng_unit(&sim->rng) < t->cancel_share)
		arm_after(c, &c->next_action, draw_ns(sim, t->cancel_ms));
	start_sending(c);
}

/*
 * Cancels the request or feed. A caller that has no flow token yet sends
 * nothing, as its flow has not begun.
 */
static void begin_cancel(caller_t *c)
{
	c->call.cancelled = true;
	host_mark_cancelled(c->sim, c->call.rid);
	carob_timer_cancel(c->sim->kernel, &c->refresh);
	c->state = CALLER_CANCELLING;
	if (c->echo_len == 0 && c->sim->policy <= POLICY_TWO_CHOICES)
		finish(c, CAROB_CALL_CANCELLED);
	else
		start_sending(c);
}

static void on_next_action(carob_timer_t *timer)
{
	caller_t *c = CAROB_CONTAINER_OF(timer, caller_t, next_action);

	if (c->state == CALLER_THINKING && c->sim->closing)
		free_caller(c);
	else if (c->state == CALLER_THINKING)
		begin_request(c);
	else if (c->state != CALLER_CANCELLING)
		begin_cancel(c);
}

static void on_retransmit(carob_timer_t *timer)
{
	caller_t *c = CAROB_CONTAINER_OF(timer, caller_t, retransmit);
	uint64_t limit_us =
		c->call.deadline_us + GIVE_UP_AFTER_NS / CAROB_NS_PER_US;

	if (!c->call.is_feed && now_us(c->sim) > limit_us) {
		carob_timer_cancel(c->sim->kernel, &c->next_action);
		finish(c, CAROB_CALL_NONE);
		return;
	}
	if (c->state == CALLER_CANCELLING)
		send_cancel(c);
	else
		send_request(c);
	if (c->retransmit_ns < 4 * RETRANSMIT_FIRST_NS)
		c->retransmit_ns *= 2;
	arm_after(c, &c->retransmit, c->retransmit_ns);
}

/* Registers again when Max-Age has passed without a notification. */
static void on_refresh(carob_timer_t *timer)
{
	caller_t *c = CAROB_CONTAINER_OF(timer, caller_t, refresh);

	start_sending(c);
}

static void on_challenge(caller_t *c, const carob_msg_t *msg)
{
	/*
	 * Without a verdict, an earlier transmission of the request may have
	 * run.
	 */
	if (msg->verdict == CAROB_VERDICT_NONE)
		c->may_have_run = true;
	if (msg->verdict == CAROB_VERDICT_UNKNOWN) {
		carob_timer_cancel(c->sim->kernel, &c->next_action);
		finish(c, CAROB_CALL_UNKNOWN);
	} else if (++c->challenges > CHALLENGES_MAX) {
		carob_timer_cancel(c->sim->kernel, &c->next_action);
		finish(c, c->may_have_run ? CAROB_CALL_UNKNOWN
					  : CAROB_CALL_NOT_RUN);
	} else {
		start_sending(c);
	}
}

/* Retries a refused request after the Max-Age of the refusal. */
static void retry_later(caller_t *c, uint32_t max_age_s)
{
	uint64_t wait = max_age_s * CAROB_NS_PER_S;

	c->call.result = CAROB_CALL_NOT_RUN;
	c->call.final_us = now_us(c->sim);
	record_call(c);
	think(c, wait + carob_rng_u64(&c->sim->rng) % (500 * CAROB_NS_PER_MS));
}

/*
 * Registers a refused open feed again later. Whether the feed broke shows in
 * the gap between its notifications.
 */
static void register_later(caller_t *c, uint32_t max_age_s)
{
	carob_timer_cancel(c->sim->kernel, &c->retransmit);
	arm_after(c, &c->refresh, max_age_s * CAROB_NS_PER_S + FEED_SLACK_NS);
}

static void on_verdict(caller_t *c, const carob_msg_t *msg)
{
	uint32_t max_age_s = msg->has_max_age ? msg->max_age_s : 1;

	if (c->call.is_feed && c->state == CALLER_OBSERVING) {
		register_later(c, max_age_s);
		return;
	}
	carob_timer_cancel(c->sim->kernel, &c->next_action);
	if (msg->verdict == CAROB_VERDICT_UNKNOWN)
		finish(c, CAROB_CALL_UNKNOWN);
	else if (c->traffic.retry && !c->sim->closing)
		retry_later(c, max_age_s);
	else
		finish(c, CAROB_CALL_NOT_RUN);
}

static void record_gap(caller_t *c)
{
	carob_feed_record_t *feed = &c->call.feed;
	uint64_t now = simulation_now(c->sim);
	uint64_t gap = (now - c->last_notification_ns) / CAROB_NS_PER_US;

	if (c->last_notification_ns && gap > feed->longest_gap_us)
		feed->longest_gap_us = gap;
	c->last_notification_ns = now;
	feed->notifications++;
}

/* RFC 7641, section 3.4: an older notification that arrives late is ignored. */
static bool is_newer(const caller_t *c, uint32_t observe)
{
	uint32_t ahead = (observe - c->observe) & 0xffffff;

	return ahead != 0 && ahead < 0x800000;
}

static void on_notification(caller_t *c, const carob_msg_t *msg,
			    const response_body_t *body)
{
	if (c->state == CALLER_OBSERVING && !is_newer(c, msg->observe))
		return;
	carob_timer_cancel(c->sim->kernel, &c->retransmit);
	c->observe = msg->observe;
	c->state = CALLER_OBSERVING;
	record_gap(c);
	/* 2.03 (Valid) confirms the previous content and carries none. */
	if (msg->code != CAROB_CODE_VALID &&
	    (body->rid != c->call.rid ||
	     strcmp(body->service, c->call.service) != 0))
		c->call.feed.wrong_content++;
	c->seq = 1;
	arm_after(c, &c->refresh,
		  msg->max_age_s * CAROB_NS_PER_S + FEED_SLACK_NS);
}

static void on_response(caller_t *c, const carob_msg_t *msg)
{
	response_body_t body = {0};

	if (msg->payload.len == sizeof(body))
		memcpy(&body, msg->payload.ptr, sizeof(body));
	if (msg->has_observe && c->call.is_feed) {
		on_notification(c, msg, &body);
		return;
	}
	carob_timer_cancel(c->sim->kernel, &c->next_action);
	c->call.answer_rid = body.rid;
	memcpy(c->call.answer_service, body.service, sizeof(body.service));
	c->call.feed.ended_without_reason = c->call.is_feed;
	c->seq++;
	finish(c, CAROB_CALL_ANSWERED);
}

static void on_cancel_response(caller_t *c, const carob_msg_t *msg)
{
	if (msg->code == CAROB_CODE_UNAUTHORIZED) {
		if (++c->challenges <= CHALLENGES_MAX)
			return;
	} else if (msg->mid != c->mid || msg->type != CAROB_MSG_ACK) {
		return; /* response to the request that crossed the cancel */
	}
	finish(c, CAROB_CALL_CANCELLED);
}

static void dispatch(caller_t *c, const carob_msg_t *msg)
{
	simulation_trace(c->sim,
			 "rid %llu gets type %d code %u.%02u mid %u verdict %d "
			 "max-age %u",
			 (unsigned long long)c->call.rid, msg->type,
			 msg->code >> 5, msg->code & 31, msg->mid, msg->verdict,
			 msg->max_age_s);
	if (msg->type == CAROB_MSG_ACK && msg->mid != c->mid)
		return;
	if (msg->echo_len) {
		c->echo_len = msg->echo_len;
		memcpy(c->echo, msg->echo, msg->echo_len);
	}
	if (c->state == CALLER_CANCELLING)
		on_cancel_response(c, msg);
	else if (msg->code == CAROB_CODE_UNAUTHORIZED)
		on_challenge(c, msg);
	else if (msg->verdict != CAROB_VERDICT_NONE ||
		 msg->code >= CAROB_CODE_BAD_REQUEST)
		on_verdict(c, msg);
	else
		on_response(c, msg);
}

static void acknowledge(caller_t *c, uint16_t mid)
{
	instance_t *in = choose_instance(c);
	carob_msg_t msg = {.type = CAROB_MSG_ACK, .mid = mid};
	packet_t *p;

	if (!in)
		return;
	p = packet_new(c->sim, PACKET_FROM_CALLER);
	p->instance = in->index;
	p->receiver_incarnation = in->id.incarnation;
	p->service_id = c->traffic.service_id;
	p->addr = c->addr;
	p->msg = carob_msg_pack(&msg);
	network_send(p, NO_ZONE, in->zone);
}

static caller_t *find_caller(const simulation_t *sim, const carob_addr_t *addr)
{
	uint64_t key;
	caller_t *c;

	memcpy(&key, addr->ip, sizeof(key));
	HASH_FIND(hh, sim->callers, &key, sizeof(key), c);
	return c;
}

void caller_deliver(simulation_t *sim, packet_t *p)
{
	caller_t *c = find_caller(sim, &p->addr);
	carob_msg_t msg;

	if (c && c->state != CALLER_THINKING &&
	    carob_msg_unpack(&msg, p->msg->bytes, p->msg->len) == 0) {
		if (msg.type == CAROB_MSG_CON)
			acknowledge(c, msg.mid);
		if (msg.token_len == TOKEN_LEN &&
		    memcmp(msg.token, &c->token, TOKEN_LEN) == 0)
			dispatch(c, &msg);
	}
	packet_free(p);
}

static void start_flow(simulation_t *sim, const traffic_t *traffic)
{
	caller_t *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->key = ++sim->next_caller;
	c->sim = sim;
	c->traffic = *traffic;
	c->addr.family = 6;
	c->addr.port = CALLER_PORT;
	memcpy(c->addr.ip, &c->key, sizeof(c->key));
	c->session = c->key;
	c->requests_left = traffic->requests ? traffic->requests : 1;
	c->mid = (uint16_t)carob_rng_u32(&sim->rng);
	c->token = (uint32_t)carob_rng_u32(&sim->rng);
	c->next_action.fire = on_next_action;
	c->retransmit.fire = on_retransmit;
	c->refresh.fire = on_refresh;
	HASH_ADD(hh, sim->callers, key, sizeof(c->key), c);
	begin_request(c);
}

static void on_source(carob_timer_t *timer)
{
	source_t *s = CAROB_CONTAINER_OF(timer, source_t, timer);
	simulation_t *sim = s->sim;

	if (simulation_now(sim) >= s->traffic.until_ns) {
		free(s);
		return;
	}
	start_flow(sim, &s->traffic);
	carob_timer_arm(sim->kernel, timer,
			simulation_now(sim) +
				draw_ns(sim, 1000.0 / s->traffic.flows_per_s));
}

void traffic_start(simulation_t *sim, const traffic_t *traffic)
{
	source_t *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->sim = sim;
	s->traffic = *traffic;
	s->timer.fire = on_source;
	carob_timer_arm(sim->kernel, &s->timer, simulation_now(sim) + 1);
}

/*
 * Records an open request. For a feed, the time since the last notification
 * counts as a gap: no later notification shows that the feed fell silent.
 */
static void record_open_call(caller_t *c)
{
	if (c->state == CALLER_THINKING)
		return;
	if (c->call.is_feed && c->state == CALLER_OBSERVING) {
		record_gap(c);
		c->call.feed.notifications--;
		c->call.result = CAROB_CALL_ANSWERED;
	}
	record_call(c);
}

void callers_free(simulation_t *sim)
{
	caller_t *c;
	caller_t *next;

	HASH_ITER (hh, sim->callers, c, next) {
		record_open_call(c);
		free_caller(c);
	}
}
