#include "simulation.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE_MS_DEFAULT 200.0
#define SERVICE_MS_MIN	   1.0
/* A longer run is acknowledged by an empty message before its response. */
#define PIGGYBACK_MS	 100.0
#define CANCEL_DELAY_NS	 (2 * CAROB_NS_PER_MS) /* until the slot is free */
#define NOTIFY_PERIOD_NS (500 * CAROB_NS_PER_MS)
#define FEED_MAX_AGE_S	 5
#define RETRANSMIT_NS	 (500 * CAROB_NS_PER_MS)
#define RETRANSMITS_MAX	 4
#define SHED_MAX_AGE_S	 1
/* A run may begin this much after its deadline: the time on the network. */
#define EXPIRED_SLACK_NS     (30 * CAROB_NS_PER_MS)
#define REPORT_PERIOD_NS     (500 * CAROB_NS_PER_MS)
#define EXCHANGE_LIFETIME_NS (15 * CAROB_NS_PER_S)
#define REPORT_AGE_MS	     500

typedef enum exchange_state {
	EXCHANGE_RUNNING,
	EXCHANGE_CANCELLING,
	EXCHANGE_FEED,
	EXCHANGE_DONE,
	EXCHANGE_SHED,
	EXCHANGE_CANCELLED,
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
	uint16_t response_mid;
	uint8_t token_len;
	bool acked; /* the request was acknowledged by an empty message */
	bool response_acked;
	unsigned int transmissions;
	call_body_t body;
	bool unknown_session;
	uint32_t notification;
	uint64_t start_ns;
	uint64_t cancelled_ns; /* when the caller cancelled it, or 0 */
	carob_timer_t timer;   /* end of the run, or next notification */
	carob_timer_t retransmit;
	UT_hash_handle hh;
};

/* A session that began on the host. */
struct session {
	uint64_t id;
	UT_hash_handle hh;
};

void host_update_use(host_t *h)
{
	uint64_t now = simulation_now(h->sim);

	h->use_integral +=
		h->in_use * (double)(now - h->use_updated_ns) / CAROB_NS_PER_S;
	h->use_updated_ns = now;
}

static void set_in_use(host_t *h, uint32_t in_use)
{
	host_update_use(h);
	h->in_use = in_use;
}

static service_stats_t *host_stats(const host_t *h)
{
	return &h->sim->stats[simulation_service_index(h->sim, h->service_id)];
}

static void send(exchange_t *x, carob_msg_t *msg)
{
	host_t *h = x->host;
	instance_t *to = h->sim->instances[x->key.instance];
	packet_t *p = packet_new(h->sim, PACKET_FROM_HOST);

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

static void fill_body(response_body_t *body, const exchange_t *x)
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

static void send_response(exchange_t *x)
{
	response_body_t body;
	carob_msg_t msg = {.code = CAROB_CODE_CONTENT};

	fill_body(&body, x);
	msg.payload = (carob_str_t){(const char *)&body, sizeof(body)};
	if (x->acked) {
		msg.type = CAROB_MSG_CON;
		msg.mid = x->response_mid;
	} else {
		msg.type = CAROB_MSG_ACK;
		msg.mid = x->mid;
	}
	send(x, &msg);
}

static void on_retransmit(carob_timer_t *timer)
{
	exchange_t *x = CAROB_CONTAINER_OF(timer, exchange_t, retransmit);

	if (x->response_acked || x->transmissions++ >= RETRANSMITS_MAX ||
	    x->host->dead)
		return;
	send_response(x);
	carob_timer_arm(x->host->sim->kernel, timer,
			simulation_now(x->host->sim) + RETRANSMIT_NS);
}

static void record_run(const exchange_t *x, carob_run_end_t end)
{
	const host_t *h = x->host;
	carob_run_record_t run = {
		.rid = x->body.rid,
		.end = end,
		.start_us = x->start_ns / CAROB_NS_PER_US,
		.end_us = simulation_now(h->sim) / CAROB_NS_PER_US,
	};

	memcpy(run.upstream, h->name, sizeof(run.upstream));
	memcpy(run.service, h->service, sizeof(run.service));
	if (carob_ledger_add_run(h->sim->ledger, &run) != 0)
		abort();
}

static void count_slot_time(const exchange_t *x)
{
	service_stats_t *stats = host_stats(x->host);
	uint64_t now = simulation_now(x->host->sim);
	uint64_t begin = x->start_ns;
	double s;

	if (begin < x->host->sim->window_start_ns)
		begin = x->host->sim->window_start_ns;
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
	record_run(x, end);
	x->state = end == CAROB_RUN_DONE ? EXCHANGE_DONE : EXCHANGE_CANCELLED;
}

static void acknowledge_cancel(exchange_t *x, uint16_t mid)
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
	response_body_t body;
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
	simulation_t *sim = x->host->sim;

	switch (x->state) {
	case EXCHANGE_RUNNING:
		end_run(x, CAROB_RUN_DONE);
		send_response(x);
		if (x->acked) {
			x->retransmit.fire = on_retransmit;
			carob_timer_arm(sim->kernel, &x->retransmit,
					simulation_now(sim) + RETRANSMIT_NS);
		}
		break;
	case EXCHANGE_CANCELLING:
		end_run(x, CAROB_RUN_CANCELLED);
		acknowledge_cancel(x, x->cancel_mid);
		break;
	case EXCHANGE_FEED:
		x->response_mid = x->host->next_mid++;
		notify(x, CAROB_MSG_NON, x->response_mid);
		carob_timer_arm(sim->kernel, timer,
				simulation_now(sim) + NOTIFY_PERIOD_NS);
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

	h->last_session_ns = simulation_now(h->sim);
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
	host_stats(x->host)->shed++;
	x->state = EXCHANGE_SHED;
	record_run(x, CAROB_RUN_SHED);
	send_shed(x);
}

static double draw_service_ms(const host_t *h)
{
	simulation_t *sim = h->sim;
	double ms = -h->service_ms * log(1.0 - carob_rng_unit(&sim->rng));

	if (simulation_now(sim) < h->cold_until_ns)
		ms *= h->cold_factor;
	return ms < SERVICE_MS_MIN ? SERVICE_MS_MIN : ms;
}

static void check_session(exchange_t *x)
{
	host_t *h = x->host;

	if (x->body.seq == 0) {
		begin_session(h, x->body.session);
	} else if (!knows_session(h, x->body.session)) {
		simulation_trace(h->sim, "rid %llu: session %llu broken",
				 (unsigned long long)x->body.rid,
				 (unsigned long long)x->body.session);
		x->unknown_session = true;
		host_stats(h)->broken_sessions++;
	}
}

static void trace_start(const exchange_t *x)
{
	simulation_trace(x->host->sim,
			 "rid %llu session %llu starts on %s from %u, "
			 "seq %u",
			 (unsigned long long)x->body.rid,
			 (unsigned long long)x->body.session, x->host->name,
			 x->host->sim->instances[x->key.instance]->id.id,
			 x->body.seq);
}

static void begin_run(exchange_t *x)
{
	host_t *h = x->host;
	double ms = draw_service_ms(h);

	trace_start(x);
	check_session(x);
	if (x->body.deadline_ns &&
	    x->start_ns > x->body.deadline_ns + EXPIRED_SLACK_NS) {
		simulation_trace(h->sim, "rid %llu expired",
				 (unsigned long long)x->body.rid);
		host_stats(h)->expired_runs++;
	}
	set_in_use(h, h->in_use + 1);
	x->state = EXCHANGE_RUNNING;
	if (ms > PIGGYBACK_MS) {
		x->acked = true;
		send_ack(x, x->mid);
	}
	carob_timer_arm(h->sim->kernel, &x->timer,
			simulation_now(h->sim) +
				(uint64_t)(ms * CAROB_NS_PER_MS));
}

static void begin_feed(exchange_t *x)
{
	host_t *h = x->host;

	trace_start(x);
	check_session(x);
	h->feeds++;
	x->state = EXCHANGE_FEED;
	notify(x, CAROB_MSG_ACK, x->mid);
	carob_timer_arm(h->sim->kernel, &x->timer,
			simulation_now(h->sim) + NOTIFY_PERIOD_NS);
}

static void exchange_free(exchange_t *x)
{
	host_t *h = x->host;

	carob_timer_cancel(h->sim->kernel, &x->timer);
	carob_timer_cancel(h->sim->kernel, &x->retransmit);
	HASH_DEL(h->exchanges, x);
	free(x);
}

/* Removes exchanges that ended too long ago for a retransmission to come. */
static void free_old_exchanges(host_t *h)
{
	uint64_t now = simulation_now(h->sim);

	while (h->exchanges && h->exchanges->state >= EXCHANGE_DONE &&
	       now - h->exchanges->start_ns > EXCHANGE_LIFETIME_NS)
		exchange_free(h->exchanges);
}

static exchange_t *exchange_new(host_t *h, const exchange_key_t *key,
				const carob_msg_t *msg)
{
	exchange_t *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	free_old_exchanges(h);
	x->key = *key;
	x->host = h;
	x->mid = msg->mid;
	/*
	 * A host numbers its messages independently of the instances, so the
	 * same message ids are used in both directions.
	 */
	x->response_mid = msg->mid ^ 1;
	x->token_len = msg->token_len;
	x->start_ns = simulation_now(h->sim);
	x->timer.fire = on_timer;
	if (msg->payload.len == sizeof(x->body))
		memcpy(&x->body, msg->payload.ptr, sizeof(x->body));
	HASH_ADD(hh, h->exchanges, key, sizeof(x->key), x);
	return x;
}

static void on_new_request(host_t *h, const exchange_key_t *key,
			   const carob_msg_t *msg)
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

static void on_retransmission(exchange_t *x, const carob_msg_t *msg)
{
	if (x->state == EXCHANGE_FEED && carob_msg_is_registration(msg))
		notify(x, CAROB_MSG_ACK, msg->mid);
	else if (x->state == EXCHANGE_RUNNING)
		send_ack(x, msg->mid);
	else if (x->state == EXCHANGE_DONE)
		send_response(x);
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
		acknowledge_cancel(x ? x : &unknown, msg->mid);
		return;
	}
	if (x->state == EXCHANGE_FEED) {
		carob_timer_cancel(h->sim->kernel, &x->timer);
		h->feeds--;
		x->state = EXCHANGE_CANCELLED;
		acknowledge_cancel(x, msg->mid);
		return;
	}
	x->cancel_mid = msg->mid;
	if (x->state == EXCHANGE_CANCELLING)
		return;
	x->state = EXCHANGE_CANCELLING;
	carob_timer_arm(h->sim->kernel, &x->timer,
			simulation_now(h->sim) + CANCEL_DELAY_NS);
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
		if (x->response_mid != msg->mid ||
		    x->key.instance != key->instance ||
		    x->key.path != key->path)
			continue;
		x->response_acked = true;
		if (msg->type == CAROB_MSG_RST && x->state == EXCHANGE_FEED) {
			carob_timer_cancel(h->sim->kernel, &x->timer);
			h->feeds--;
			x->state = EXCHANGE_CANCELLED;
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
			on_retransmission(x, msg);
		else
			on_new_request(h, &key, msg);
	}
}

void host_deliver(host_t *h, packet_t *p)
{
	carob_msg_t msg;

	if (!h->dead && carob_msg_unpack(&msg, p->msg->bytes, p->msg->len) == 0)
		dispatch(h, p, &msg);
	packet_free(p);
}

static void free_state(host_t *h)
{
	exchange_t *x;
	exchange_t *next;
	session_t *s;
	session_t *next_s;

	HASH_ITER (hh, h->exchanges, x, next) {
		if (x->state == EXCHANGE_RUNNING ||
		    x->state == EXCHANGE_CANCELLING)
			record_run(x, CAROB_RUN_OPEN);
		exchange_free(x);
	}
	HASH_ITER (hh, h->sessions, s, next_s) {
		HASH_DEL(h->sessions, s);
		free(s);
	}
}

void host_crash(host_t *h)
{
	free_state(h);
	set_in_use(h, 0);
	h->feeds = 0;
	h->dead = true;
	simulation_trace(h->sim, "upstream %s crashes", h->name);
}

void host_free(host_t *h)
{
	free_state(h);
	carob_timer_cancel(h->sim->kernel, &h->report_timer);
	free(h);
}

host_t *host_find_by_addr(const simulation_t *sim, const carob_addr_t *addr)
{
	for (size_t i = 0; i < sim->host_count; i++)
		if (carob_addr_eq(&sim->hosts[i]->addr, addr))
			return sim->hosts[i];
	return NULL;
}

host_t *host_find_by_name(const simulation_t *sim, const char *name)
{
	for (size_t i = 0; i < sim->host_count; i++)
		if (strcmp(sim->hosts[i]->name, name) == 0)
			return sim->hosts[i];
	return NULL;
}

/*
 * Sends the load report of the host to all instances. The report is one
 * period old; it may also be frozen, or wrong about the host's health.
 */
static void on_report(carob_timer_t *timer)
{
	host_t *h = CAROB_CONTAINER_OF(timer, host_t, report_timer);
	simulation_t *sim = h->sim;
	carob_load_report_t report = h->last_report;

	if (!h->frozen_report)
		h->last_report = (carob_load_report_t){
			.upstream = h->id,
			.service_id = h->service_id,
			.in_use = h->in_use,
			.feeds = h->feeds,
			.age_ms = REPORT_AGE_MS,
			.healthy = !h->reports_unhealthy,
		};
	for (size_t i = 0; i < sim->instance_count && !h->dead; i++) {
		packet_t *p = packet_new(sim, PACKET_REPORT);

		p->instance = i;
		p->receiver_incarnation = sim->instances[i]->id.incarnation;
		p->report = report;
		network_send(p, h->zone, sim->instances[i]->zone);
	}
	carob_timer_arm(sim->kernel, timer,
			simulation_now(sim) + REPORT_PERIOD_NS);
}

void host_add(simulation_t *sim, const carob_manifest_service_t *service,
	      const carob_manifest_upstream_t *upstream)
{
	host_t *h = host_find_by_addr(sim, &upstream->addr);

	if (h) {
		h->id = upstream->id;
		return;
	}
	h = calloc(1, sizeof(*h));
	if (!h || sim->host_count == HOSTS_MAX)
		abort();
	h->sim = sim;
	h->index = sim->host_count;
	h->id = upstream->id;
	h->service_id = service->id;
	carob_record_name(h->service, service->name);
	carob_record_name(h->name, upstream->name);
	h->zone = simulation_zone_index(sim, &upstream->zone);
	h->addr = upstream->addr;
	h->slots = service->slots;
	h->connections = service->connections;
	h->service_ms = SERVICE_MS_DEFAULT;
	h->cold_factor = 1.0;
	h->use_updated_ns = simulation_now(sim);
	h->last_report.healthy = true;
	h->last_report.upstream = h->id;
	h->last_report.service_id = h->service_id;
	h->report_timer.fire = on_report;
	sim->hosts[sim->host_count++] = h;
	if (service->reports_load)
		carob_timer_arm(sim->kernel, &h->report_timer,
				simulation_now(sim) + REPORT_PERIOD_NS);
}

void host_mark_cancelled(simulation_t *sim, uint64_t rid)
{
	for (size_t i = 0; i < sim->host_count; i++) {
		exchange_t *x;

		for (x = sim->hosts[i]->exchanges; x; x = x->hh.next)
			if (x->body.rid == rid &&
			    x->state <= EXCHANGE_CANCELLING)
				x->cancelled_ns = simulation_now(sim);
	}
}
