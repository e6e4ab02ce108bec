#include "world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE_MS_DEFAULT 200.0
#define SERVICE_MS_MIN	   1.0
/* A longer run is acknowledged by an empty message before its response. */
#define PIGGYBACK_MS   100.0
#define CANCEL_NS      (2 * CAROB_NS_PER_MS) /* until the slot is free */
#define NOTIFY_NS      (500 * CAROB_NS_PER_MS)
#define FEED_MAX_AGE_S 5
#define RESEND_NS      (500 * CAROB_NS_PER_MS)
#define RESENDS_MAX    4
#define SHED_MAX_AGE_S 1
/* A run may begin this much after its deadline: the time on the network. */
#define EXPIRED_SLACK_NS (30 * CAROB_NS_PER_MS)
#define REPORT_NS	 (500 * CAROB_NS_PER_MS)
#define REMEMBER_NS	 (15 * CAROB_NS_PER_S)
#define REPORT_AGE_MS	 500

typedef enum exchange_state {
	EXCHANGE_RUNNING,
	EXCHANGE_CANCELLING,
	EXCHANGE_FEED,
	EXCHANGE_DONE,
	EXCHANGE_SHED,
	EXCHANGE_OVER, /* cancelled */
} exchange_state_t;

typedef struct exchange_key {
	size_t instance;
	uint32_t incarnation;
	uint32_t path;
	uint8_t token[CAROB_MSG_TOKEN_MAX];
} exchange_key_t;

/* A request of an instance, kept after its end to answer retransmissions. */
struct exchange {
	exchange_key_t key;
	host_t *host;
	exchange_state_t state;
	uint16_t mid;	     /* message id of the request */
	uint16_t cancel_mid; /* message id of the cancellation */
	uint16_t answer_mid;
	uint8_t token_len;
	bool acked; /* the request was acknowledged by an empty message */
	bool answer_acked;
	unsigned int sent;
	call_body_t body;
	bool unknown_session;
	uint32_t notification;
	uint64_t start_ns;
	uint64_t cancelled_ns; /* when the caller cancelled it, or 0 */
	carob_timer_t timer;   /* end of the run, or next notification */
	carob_timer_t resend;
	UT_hash_handle hh;
};

/* A session that began on the host. */
struct session {
	uint64_t id;
	UT_hash_handle hh;
};

void host_account(host_t *h)
{
	uint64_t now = world_now(h->world);

	h->use_integral +=
		h->in_use * (double)(now - h->use_ns) / CAROB_NS_PER_S;
	h->use_ns = now;
}

static void set_in_use(host_t *h, uint32_t in_use)
{
	host_account(h);
	h->in_use = in_use;
}

static service_stats_t *stats_of(const host_t *h)
{
	return &h->world->stats[world_service_index(h->world, h->service_id)];
}

static void send(exchange_t *x, carob_msg_t *msg)
{
	host_t *h = x->host;
	instance_t *to = h->world->instances[x->key.instance];
	packet_t *p = packet_new(h->world, PACKET_FROM_HOST);

	msg->token_len = x->token_len;
	memcpy(msg->token, x->key.token, x->token_len);
	if (msg->code == CAROB_CODE_EMPTY)
		msg->token_len = 0;
	p->host = h->index;
	p->instance = x->key.instance;
	p->receiver_incarnation = x->key.incarnation;
	p->path = x->key.path;
	p->msg = carob_msg_pack(msg);
	if (h->mute)
		packet_free(p);
	else
		network_send(p, h->zone, to->zone);
}

static void fill_body(answer_body_t *body, const exchange_t *x)
{
	memset(body, 0, sizeof(*body));
	body->rid = x->body.rid;
	memcpy(body->service, x->host->service, sizeof(body->service));
	body->notification = x->notification;
	body->unknown_session = x->unknown_session;
}

static void send_ack(exchange_t *x, uint16_t mid)
{
	carob_msg_t msg = {.type = CAROB_MSG_ACK, .mid = mid};

	send(x, &msg);
}

static void send_answer(exchange_t *x)
{
	answer_body_t body;
	carob_msg_t msg = {.code = CAROB_CODE_CONTENT};

	fill_body(&body, x);
	msg.payload = (carob_str_t){(const char *)&body, sizeof(body)};
	if (x->acked) {
		msg.type = CAROB_MSG_CON;
		msg.mid = x->answer_mid;
	} else {
		msg.type = CAROB_MSG_ACK;
		msg.mid = x->mid;
	}
	send(x, &msg);
}

static void on_resend(carob_timer_t *timer)
{
	exchange_t *x = CAROB_CONTAINER_OF(timer, exchange_t, resend);

	if (x->answer_acked || x->sent++ >= RESENDS_MAX || x->host->dead)
		return;
	send_answer(x);
	carob_timer_arm(x->host->world->kernel, timer,
			world_now(x->host->world) + RESEND_NS);
}

static void write_run(const exchange_t *x, carob_run_end_t end)
{
	const host_t *h = x->host;
	carob_run_record_t run = {
		.rid = x->body.rid,
		.end = end,
		.start_us = x->start_ns / CAROB_NS_PER_US,
		.end_us = world_now(h->world) / CAROB_NS_PER_US,
	};

	memcpy(run.upstream, h->name, sizeof(run.upstream));
	memcpy(run.service, h->service, sizeof(run.service));
	if (carob_ledger_add_run(h->world->ledger, &run) != 0)
		abort();
}

static void count_slot_time(const exchange_t *x)
{
	service_stats_t *stats = stats_of(x->host);
	uint64_t now = world_now(x->host->world);
	uint64_t begin = x->start_ns;
	double s;

	if (begin < x->host->world->window_ns)
		begin = x->host->world->window_ns;
	s = (double)(now - begin) / CAROB_NS_PER_S;
	stats->busy_s += s;
	if (!x->cancelled_ns)
		stats->useful_s += s;
	else
		stats->abandoned_s += (double)(now - (x->cancelled_ns > begin
							      ? x->cancelled_ns
							      : begin)) /
				      CAROB_NS_PER_S;
}

static void end_run(exchange_t *x, carob_run_end_t end)
{
	set_in_use(x->host, x->host->in_use - 1);
	count_slot_time(x);
	write_run(x, end);
	x->state = end == CAROB_RUN_DONE ? EXCHANGE_DONE : EXCHANGE_OVER;
}

static void answer_cancel(exchange_t *x, uint16_t mid)
{
	carob_msg_t msg = {
		.type = CAROB_MSG_ACK,
		.code = CAROB_CODE_DELETED,
		.mid = mid,
	};

	send(x, &msg);
}

static void notify(exchange_t *x, carob_msg_type_t type, uint16_t mid)
{
	answer_body_t body;
	carob_msg_t msg = {
		.type = type,
		.code = CAROB_CODE_CONTENT,
		.mid = mid,
		.has_observe = true,
		.has_max_age = true,
		.max_age_s = FEED_MAX_AGE_S,
	};

	x->notification++;
	msg.observe = x->notification;
	fill_body(&body, x);
	msg.payload = (carob_str_t){(const char *)&body, sizeof(body)};
	send(x, &msg);
}

static void on_timer(carob_timer_t *timer)
{
	exchange_t *x = CAROB_CONTAINER_OF(timer, exchange_t, timer);
	world_t *w = x->host->world;

	switch (x->state) {
	case EXCHANGE_RUNNING:
		end_run(x, CAROB_RUN_DONE);
		send_answer(x);
		if (x->acked) {
			x->resend.fire = on_resend;
			carob_timer_arm(w->kernel, &x->resend,
					world_now(w) + RESEND_NS);
		}
		break;
	case EXCHANGE_CANCELLING:
		end_run(x, CAROB_RUN_CANCELLED);
		answer_cancel(x, x->cancel_mid);
		break;
	case EXCHANGE_FEED:
		x->answer_mid = x->host->next_mid++;
		notify(x, CAROB_MSG_NON, x->answer_mid);
		carob_timer_arm(w->kernel, timer, world_now(w) + NOTIFY_NS);
		break;
	default:
		break;
	}
}

static bool knows_session(const host_t *h, uint64_t id)
{
	session_t *s;

	HASH_FIND(hh, h->sessions, &id, sizeof(id), s);
	return s != NULL;
}

static void begin_session(host_t *h, uint64_t id)
{
	session_t *s;

	h->last_new_ns = world_now(h->world);
	if (knows_session(h, id))
		return;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	s->id = id;
	HASH_ADD(hh, h->sessions, id, sizeof(s->id), s);
}

static void send_shed(exchange_t *x)
{
	carob_msg_t msg = {
		.type = CAROB_MSG_ACK,
		.code = CAROB_CODE_SERVICE_UNAVAILABLE,
		.mid = x->mid,
		.has_max_age = true,
		.max_age_s = SHED_MAX_AGE_S,
	};

	send(x, &msg);
}

static void shed(exchange_t *x)
{
	stats_of(x->host)->shed++;
	x->state = EXCHANGE_SHED;
	write_run(x, CAROB_RUN_SHED);
	send_shed(x);
}

static double draw_service_ms(const host_t *h)
{
	world_t *w = h->world;
	double ms = -h->service_ms * log(1.0 - carob_rng_unit(&w->rng));

	if (world_now(w) < h->cold_until_ns)
		ms *= h->cold_factor;
	return ms < SERVICE_MS_MIN ? SERVICE_MS_MIN : ms;
}

static void note_session(exchange_t *x)
{
	host_t *h = x->host;

	if (x->body.seq == 0) {
		begin_session(h, x->body.session);
	} else if (!knows_session(h, x->body.session)) {
		world_trace(h->world, "rid %llu: session %llu broken",
			    (unsigned long long)x->body.rid,
			    (unsigned long long)x->body.session);
		x->unknown_session = true;
		stats_of(h)->broken_sessions++;
	}
}

static void trace_start(const exchange_t *x)
{
	world_trace(x->host->world,
		    "rid %llu session %llu starts on %s from %u, "
		    "seq %u",
		    (unsigned long long)x->body.rid,
		    (unsigned long long)x->body.session, x->host->name,
		    x->host->world->instances[x->key.instance]->id.id,
		    x->body.seq);
}

static void begin_run(exchange_t *x)
{
	host_t *h = x->host;
	double ms = draw_service_ms(h);

	trace_start(x);
	note_session(x);
	if (x->body.deadline_ns &&
	    x->start_ns > x->body.deadline_ns + EXPIRED_SLACK_NS) {
		world_trace(h->world, "rid %llu expired",
			    (unsigned long long)x->body.rid);
		stats_of(h)->expired_runs++;
	}
	set_in_use(h, h->in_use + 1);
	x->state = EXCHANGE_RUNNING;
	if (ms > PIGGYBACK_MS) {
		x->acked = true;
		send_ack(x, x->mid);
	}
	carob_timer_arm(h->world->kernel, &x->timer,
			world_now(h->world) + (uint64_t)(ms * CAROB_NS_PER_MS));
}

static void begin_feed(exchange_t *x)
{
	host_t *h = x->host;

	trace_start(x);
	note_session(x);
	h->feeds++;
	x->state = EXCHANGE_FEED;
	notify(x, CAROB_MSG_ACK, x->mid);
	carob_timer_arm(h->world->kernel, &x->timer,
			world_now(h->world) + NOTIFY_NS);
}

static void forget(exchange_t *x)
{
	host_t *h = x->host;

	carob_timer_cancel(h->world->kernel, &x->timer);
	carob_timer_cancel(h->world->kernel, &x->resend);
	HASH_DEL(h->exchanges, x);
	free(x);
}

/* Removes exchanges that ended too long ago for a retransmission to come. */
static void forget_old(host_t *h)
{
	uint64_t now = world_now(h->world);

	while (h->exchanges && h->exchanges->state >= EXCHANGE_DONE &&
	       now - h->exchanges->start_ns > REMEMBER_NS)
		forget(h->exchanges);
}

static exchange_t *exchange_new(host_t *h, const exchange_key_t *key,
				const carob_msg_t *msg)
{
	exchange_t *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	forget_old(h);
	x->key = *key;
	x->host = h;
	x->mid = msg->mid;
	/*
	 * A host numbers its messages independently of the instances, so the
	 * same message ids are used in both directions.
	 */
	x->answer_mid = msg->mid ^ 1;
	x->token_len = msg->token_len;
	x->start_ns = world_now(h->world);
	x->timer.fire = on_timer;
	if (msg->payload.len == sizeof(x->body))
		memcpy(&x->body, msg->payload.ptr, sizeof(x->body));
	HASH_ADD(hh, h->exchanges, key, sizeof(x->key), x);
	return x;
}

static void on_new(host_t *h, const exchange_key_t *key, const carob_msg_t *msg)
{
	exchange_t *x = exchange_new(h, key, msg);

	if (carob_msg_is_registration(msg)) {
		if (h->feeds >= h->connections || h->shedding)
			shed(x);
		else
			begin_feed(x);
	} else if (h->in_use >= h->slots || h->shedding) {
		shed(x);
	} else {
		begin_run(x);
	}
}

static exchange_t *find_exchange(const host_t *h, const exchange_key_t *key)
{
	exchange_t *x;

	HASH_FIND(hh, h->exchanges, key, sizeof(*key), x);
	return x;
}

static void on_repeated(exchange_t *x, const carob_msg_t *msg)
{
	if (x->state == EXCHANGE_FEED && carob_msg_is_registration(msg))
		notify(x, CAROB_MSG_ACK, msg->mid);
	else if (x->state == EXCHANGE_RUNNING)
		send_ack(x, msg->mid);
	else if (x->state == EXCHANGE_DONE)
		send_answer(x);
	else if (x->state == EXCHANGE_SHED)
		send_shed(x);
}

static void on_cancel(host_t *h, const exchange_key_t *key,
		      const carob_msg_t *msg)
{
	exchange_t unknown = {.host = h, .key = *key};
	exchange_t *x;

	unknown.token_len = msg->token_len;
	x = find_exchange(h, key);
	if (!x || x->state >= EXCHANGE_DONE) {
		answer_cancel(x ? x : &unknown, msg->mid);
		return;
	}
	if (x->state == EXCHANGE_FEED) {
		carob_timer_cancel(h->world->kernel, &x->timer);
		h->feeds--;
		x->state = EXCHANGE_OVER;
		answer_cancel(x, msg->mid);
		return;
	}
	x->cancel_mid = msg->mid;
	if (x->state == EXCHANGE_CANCELLING)
		return;
	x->state = EXCHANGE_CANCELLING;
	carob_timer_arm(h->world->kernel, &x->timer,
			world_now(h->world) + CANCEL_NS);
}

static void on_ping(host_t *h, const exchange_key_t *key, uint16_t mid)
{
	exchange_t none = {.host = h, .key = *key};
	carob_msg_t rst = {.type = CAROB_MSG_RST, .mid = mid};

	send(&none, &rst);
}

/* Processes the acknowledgement or reset of a response or notification. */
static void on_reply(host_t *h, const exchange_key_t *key,
		     const carob_msg_t *msg)
{
	exchange_t *x;

	for (x = h->exchanges; x; x = x->hh.next) {
		if (x->answer_mid != msg->mid ||
		    x->key.instance != key->instance ||
		    x->key.path != key->path)
			continue;
		x->answer_acked = true;
		if (msg->type == CAROB_MSG_RST && x->state == EXCHANGE_FEED) {
			carob_timer_cancel(h->world->kernel, &x->timer);
			h->feeds--;
			x->state = EXCHANGE_OVER;
		}
	}
}

static void dispatch(host_t *h, const packet_t *p, const carob_msg_t *msg)
{
	exchange_key_t key;
	exchange_t *x;

	memset(&key, 0, sizeof(key));
	key.instance = p->from;
	key.incarnation = p->receiver_incarnation;
	key.path = p->path;
	memcpy(key.token, msg->token, sizeof(key.token));
	if (msg->type == CAROB_MSG_ACK || msg->type == CAROB_MSG_RST) {
		on_reply(h, &key, msg);
	} else if (msg->code == CAROB_CODE_EMPTY) {
		on_ping(h, &key, msg->mid);
	} else if (carob_msg_is_cancel(msg)) {
		on_cancel(h, &key, msg);
	} else {
		x = find_exchange(h, &key);
		if (x)
			on_repeated(x, msg);
		else
			on_new(h, &key, msg);
	}
}

void host_deliver(host_t *h, packet_t *p)
{
	carob_msg_t msg;

	if (!h->dead && carob_msg_unpack(&msg, p->msg->bytes, p->msg->len) == 0)
		dispatch(h, p, &msg);
	packet_free(p);
}

static void forget_all(host_t *h)
{
	exchange_t *x;
	exchange_t *next;
	session_t *s;
	session_t *next_s;

	HASH_ITER (hh, h->exchanges, x, next) {
		if (x->state == EXCHANGE_RUNNING ||
		    x->state == EXCHANGE_CANCELLING)
			write_run(x, CAROB_RUN_OPEN);
		forget(x);
	}
	HASH_ITER (hh, h->sessions, s, next_s) {
		HASH_DEL(h->sessions, s);
		free(s);
	}
}

void host_die(host_t *h)
{
	forget_all(h);
	set_in_use(h, 0);
	h->feeds = 0;
	h->dead = true;
	world_trace(h->world, "upstream %s dies", h->name);
}

void host_free(host_t *h)
{
	forget_all(h);
	carob_timer_cancel(h->world->kernel, &h->report_timer);
	free(h);
}

host_t *host_find(const world_t *w, const carob_addr_t *addr)
{
	for (size_t i = 0; i < w->host_count; i++)
		if (carob_addr_eq(&w->hosts[i]->addr, addr))
			return w->hosts[i];
	return NULL;
}

host_t *host_named(const world_t *w, const char *name)
{
	for (size_t i = 0; i < w->host_count; i++)
		if (strcmp(w->hosts[i]->name, name) == 0)
			return w->hosts[i];
	return NULL;
}

/*
 * Sends the load report of the host to all instances. The report is one
 * period old; it may also be frozen, or wrong about the host's health.
 */
static void on_report(carob_timer_t *timer)
{
	host_t *h = CAROB_CONTAINER_OF(timer, host_t, report_timer);
	world_t *w = h->world;
	carob_load_report_t report = h->last_report;

	if (!h->frozen_report)
		h->last_report = (carob_load_report_t){
			.upstream = h->id,
			.service_id = h->service_id,
			.in_use = h->in_use,
			.feeds = h->feeds,
			.age_ms = REPORT_AGE_MS,
			.healthy = !h->says_unhealthy,
		};
	for (size_t i = 0; i < w->instance_count && !h->dead; i++) {
		packet_t *p = packet_new(w, PACKET_REPORT);

		p->instance = i;
		p->receiver_incarnation = w->instances[i]->id.incarnation;
		p->report = report;
		network_send(p, h->zone, w->instances[i]->zone);
	}
	carob_timer_arm(w->kernel, timer, world_now(w) + REPORT_NS);
}

void host_add(world_t *w, const carob_manifest_service_t *service,
	      const carob_manifest_upstream_t *upstream)
{
	host_t *h = host_find(w, &upstream->addr);

	if (h) {
		h->id = upstream->id;
		return;
	}
	h = calloc(1, sizeof(*h));
	if (!h || w->host_count == HOSTS_MAX)
		abort();
	h->world = w;
	h->index = w->host_count;
	h->id = upstream->id;
	h->service_id = service->id;
	carob_record_name(h->service, service->name);
	carob_record_name(h->name, upstream->name);
	h->zone = world_zone(w, &upstream->zone);
	h->addr = upstream->addr;
	h->slots = service->slots;
	h->connections = service->connections;
	h->service_ms = SERVICE_MS_DEFAULT;
	h->cold_factor = 1.0;
	h->use_ns = world_now(w);
	h->last_report.healthy = true;
	h->last_report.upstream = h->id;
	h->last_report.service_id = h->service_id;
	h->report_timer.fire = on_report;
	w->hosts[w->host_count++] = h;
	if (service->reports_load)
		carob_timer_arm(w->kernel, &h->report_timer,
				world_now(w) + REPORT_NS);
}

void host_note_cancel(world_t *w, uint64_t rid)
{
	for (size_t i = 0; i < w->host_count; i++) {
		exchange_t *x;

		for (x = w->hosts[i]->exchanges; x; x = x->hh.next)
			if (x->body.rid == rid &&
			    x->state <= EXCHANGE_CANCELLING)
				x->cancelled_ns = world_now(w);
	}
}
