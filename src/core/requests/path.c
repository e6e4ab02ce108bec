/*
 * The CoAP exchanges with upstreams. A link stands for one upstream, a path
 * for one source port from which it is reached.
 */
#include "core/requests/entry_priv.h"

#include "carobtrail/errors.h"
#include "core/messages/bytes.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define ACK_TIMEOUT_NS	  (500 * CAROB_NS_PER_MS)
#define TRIES_MAX	  4
#define PROBE_AFTER_TRIES 2
/* Time without a packet after which a path is probed. */
#define PROBE_AFTER_SILENCE_NS (5 * CAROB_NS_PER_S)
#define EXCHANGE_TOKEN_LEN     8
/* Time after which a source port may reuse message IDs: RFC 7252, 4.8.2. */
#define EXCHANGE_LIFETIME_NS (247 * CAROB_NS_PER_S)
#define MIDS_PER_LIFETIME    60000
#define CODE_CLASS_SHIFT     5

/* Links and paths */

static void send_msg(carob_path_t *path, const carob_msg_t *msg)
{
	carob_entry_t *entry = path->link->entry;

	entry->port->ops->to_upstream(entry->port, &path->link->upstream,
				      path->number, msg);
}

carob_path_t *carob_path_open(carob_link_t *link)
{
	carob_entry_t *entry = link->entry;
	carob_path_t *path = calloc(1, sizeof(*path));

	if (!path)
		return NULL;
	path->number = ++entry->next_path;
	path->link = link;
	path->next_mid = (uint16_t)carob_rng_u32(&entry->rng);
	path->window_ns = carob_entry_now(entry);
	HASH_ADD(hh, entry->paths, number, sizeof(path->number), path);
	return path;
}

void carob_path_close(carob_path_t *path)
{
	carob_link_t *link = path->link;
	carob_entry_t *entry = link->entry;

	if (link->current == path)
		link->current = NULL;
	entry->port->ops->close_path(entry->port, link->upstream.id,
				     path->number);
	HASH_DEL(entry->paths, path);
	free(path);
}

static void link_key_init(carob_link_key_t *key, uint32_t service_id,
			  const carob_manifest_upstream_t *upstream)
{
	memset(key, 0, sizeof(*key));
	key->service_id = service_id;
	key->upstream_id = upstream->id.id;
	key->incarnation = upstream->id.incarnation;
	memcpy(key->addr.ip, upstream->addr.ip, sizeof(key->addr.ip));
	key->addr.port = upstream->addr.port;
	key->addr.family = upstream->addr.family;
}

static carob_link_t *link_get(carob_entry_t *entry, uint32_t service_id,
			      const carob_manifest_upstream_t *upstream)
{
	carob_link_key_t key;
	carob_link_t *link;

	link_key_init(&key, service_id, upstream);
	HASH_FIND(hh, entry->links, &key, sizeof(key), link);
	if (link)
		return link;
	link = calloc(1, sizeof(*link));
	if (!link)
		return NULL;
	link->key = key;
	link->entry = entry;
	link->upstream = *upstream;
	link->upstream.name = CAROB_STR("");
	carob_probe_init(link);
	HASH_ADD(hh, entry->links, key, sizeof(link->key), link);
	return link;
}

/*
 * Returns the path for new requests. Opens a new one if the current one has
 * used up its message IDs.
 */
static carob_path_t *path_get(carob_link_t *link)
{
	carob_path_t *path = link->current;
	uint64_t now = carob_entry_now(link->entry);

	if (path && path->mids_used >= MIDS_PER_LIFETIME) {
		if (now - path->window_ns < EXCHANGE_LIFETIME_NS) {
			path = NULL;
		} else {
			path->window_ns = now;
			path->mids_used = 0;
		}
	}
	if (!path) {
		path = carob_path_open(link);
		if (path)
			link->current = path;
	}
	return path;
}

static bool is_unused(const carob_path_t *path)
{
	const carob_link_t *link = path->link;

	return !path->unacked_requests && !path->acked_requests &&
	       path != link->current && path != link->suspect &&
	       path != link->candidate;
}

/* Exchanges */

/* Marks what was last sent as acknowledged and stops its retransmission. */
static void mark_acked(carob_request_t *request)
{
	carob_exchange_t *x = &request->exchange;

	if (x->acked)
		return;
	x->acked = true;
	DL_DELETE2(x->path->unacked_requests, request, exchange.prev,
		   exchange.next);
	DL_APPEND2(x->path->acked_requests, request, exchange.prev,
		   exchange.next);
	carob_timer_cancel(request->entry->kernel, &x->timer);
}

/* Marks the exchange as waiting for an acknowledgement. */
static void mark_unacked(carob_request_t *request)
{
	carob_exchange_t *x = &request->exchange;

	if (!x->acked)
		return;
	x->acked = false;
	DL_DELETE2(x->path->acked_requests, request, exchange.prev,
		   exchange.next);
	DL_APPEND2(x->path->unacked_requests, request, exchange.prev,
		   exchange.next);
}

static void on_timer(carob_timer_t *timer);

void carob_path_attach(carob_request_t *request, carob_path_t *path)
{
	carob_exchange_t *x = &request->exchange;
	carob_entry_t *entry = request->entry;

	x->path = path;
	/* The hash is a permutation of 64-bit numbers, so tokens are unique. */
	x->token = carob_hash_u64(entry->next_token++);
	x->acked = false;
	x->sent = CAROB_SENT_NOTHING;
	x->timer.fire = on_timer;
	DL_APPEND2(path->unacked_requests, request, exchange.prev,
		   exchange.next);
	HASH_ADD(exchange.hh, entry->by_exchange, exchange.token,
		 sizeof(x->token), request);
}

void carob_path_detach(carob_request_t *request)
{
	carob_exchange_t *x = &request->exchange;
	carob_path_t *path = x->path;

	if (!path)
		return;
	carob_timer_cancel(request->entry->kernel, &x->timer);
	if (x->acked)
		DL_DELETE2(path->acked_requests, request, exchange.prev,
			   exchange.next);
	else
		DL_DELETE2(path->unacked_requests, request, exchange.prev,
			   exchange.next);
	HASH_DELETE(exchange.hh, request->entry->by_exchange, request);
	x->path = NULL;
	if (is_unused(path))
		carob_path_close(path);
}

/* Sending */

/* Returns the time until the deadline, at least 1 ms. */
static uint32_t remaining_ms(const carob_request_t *request)
{
	uint64_t now = carob_entry_now(request->entry);
	uint64_t left_ms;

	if (now >= request->deadline_ns)
		return 1;
	left_ms = (request->deadline_ns - now) / CAROB_NS_PER_MS;
	return left_ms ? (uint32_t)left_ms : 1;
}

/* Without a recorded trace, the caller's trace context is forwarded as is. */
static void set_trace(carob_msg_t *msg, const carob_request_t *request)
{
	if (request->trace) {
		msg->has_trace = true;
		msg->trace = request->trace->child_span.context;
	}
}

/*
 * Turns a copy of the request into its cancellation: Observe 1 with the same
 * CoAP token.
 */
static void convert_to_cancel(carob_msg_t *msg)
{
	if (msg->code != CAROB_CODE_FETCH)
		msg->code = CAROB_CODE_GET;
	msg->has_observe = true;
	msg->observe = 1;
	msg->has_deadline = false;
	msg->payload = CAROB_STR("");
}

static void transmit(carob_request_t *request)
{
	carob_exchange_t *x = &request->exchange;
	carob_msg_t msg;

	if (carob_msg_unpack(&msg, request->packed->bytes,
			     request->packed->len) != 0)
		return;
	msg.type = CAROB_MSG_CON;
	msg.mid = x->mid;
	msg.token_len = EXCHANGE_TOKEN_LEN;
	carob_put_be(msg.token, x->token, EXCHANGE_TOKEN_LEN);
	msg.echo_len = 0;
	msg.has_deadline = x->sent == CAROB_SENT_REQUEST;
	msg.deadline_ms = remaining_ms(request);
	set_trace(&msg, request);
	if (x->sent == CAROB_SENT_CANCEL)
		convert_to_cancel(&msg);
	send_msg(x->path, &msg);
}

void carob_path_send_message(carob_request_t *request, carob_sent_t kind)
{
	carob_exchange_t *x = &request->exchange;
	carob_entry_t *entry = request->entry;

	mark_unacked(request);
	x->sent = kind;
	x->mid = x->path->next_mid++;
	x->path->mids_used++;
	if (kind == CAROB_SENT_REQUEST)
		x->request_mid = x->mid;
	x->tries = 1;
	carob_timer_arm(entry->kernel, &x->timer,
			carob_entry_now(entry) + ACK_TIMEOUT_NS);
	transmit(request);
}

int carob_path_send(carob_request_t *request,
		    const carob_manifest_upstream_t *upstream)
{
	carob_link_t *link =
		link_get(request->entry, request->work.service_id, upstream);
	carob_path_t *path = link ? path_get(link) : NULL;

	if (!path)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a path to an upstream");
	carob_path_attach(request, path);
	carob_request_trace_upstream(request->trace, upstream->id);
	carob_path_send_message(request, CAROB_SENT_REQUEST);
	return 0;
}

void carob_path_ping(carob_path_t *path)
{
	carob_msg_t ping = {
		.type = CAROB_MSG_CON,
		.mid = path->next_mid++,
	};

	path->mids_used++;
	send_msg(path, &ping);
}

/* Timeouts */

static void on_unacked(carob_request_t *request)
{
	carob_exchange_t *x = &request->exchange;
	uint64_t now = carob_entry_now(request->entry);

	if (x->tries < TRIES_MAX) {
		carob_timer_arm(request->entry->kernel, &x->timer,
				now + (ACK_TIMEOUT_NS << x->tries));
		x->tries++;
		transmit(request);
		if (x->tries > PROBE_AFTER_TRIES)
			carob_probe_start(x->path);
	} else if (x->sent == CAROB_SENT_REFRESH) {
		mark_acked(request);
	} else {
		carob_request_on_lost(request, CAROB_OUTCOME_TIMEOUT);
	}
}

static void on_silence(carob_request_t *request)
{
	carob_path_t *path = request->exchange.path;
	uint64_t now = carob_entry_now(request->entry);

	carob_timer_arm(request->entry->kernel, &request->exchange.timer,
			now + PROBE_AFTER_SILENCE_NS);
	if (now - path->last_received_ns >= PROBE_AFTER_SILENCE_NS)
		carob_probe_start(path);
}

static void on_timer(carob_timer_t *timer)
{
	carob_request_t *request =
		CAROB_CONTAINER_OF(timer, carob_request_t, exchange.timer);

	if (request->exchange.acked)
		on_silence(request);
	else
		on_unacked(request);
}

/* Receiving */

static carob_request_t *find_unacked(const carob_path_t *path, uint16_t mid)
{
	carob_request_t *request = path->unacked_requests;

	while (request && request->exchange.mid != mid)
		request = request->exchange.next;
	return request;
}

static void on_reset(carob_path_t *path, uint16_t mid)
{
	carob_request_t *request = find_unacked(path, mid);

	if (!request)
		return;
	if (request->phase == CAROB_REQUEST_CANCELLING)
		carob_request_on_cancelled(request);
	else
		carob_request_on_lost(request, CAROB_OUTCOME_ERROR);
}

static void on_ack(carob_path_t *path, uint16_t mid)
{
	carob_request_t *request = find_unacked(path, mid);

	if (!request)
		return;
	mark_acked(request);
	if (request->phase != CAROB_REQUEST_FEED)
		carob_timer_arm(request->entry->kernel,
				&request->exchange.timer,
				carob_entry_now(request->entry) +
					PROBE_AFTER_SILENCE_NS);
}

static void send_empty(carob_path_t *path, carob_msg_type_t type, uint16_t mid)
{
	carob_msg_t msg = {.type = type, .mid = mid};

	send_msg(path, &msg);
}

static carob_request_t *find_by_any_mid(const carob_path_t *path, uint16_t mid)
{
	carob_request_t *request = find_unacked(path, mid);

	if (request)
		return request;
	request = path->acked_requests;
	while (request && request->exchange.mid != mid)
		request = request->exchange.next;
	return request;
}

static carob_request_t *find_by_token(const carob_path_t *path,
				      const carob_msg_t *msg)
{
	carob_reader_t in = {msg->token, msg->token_len, false};
	uint64_t token = carob_read_be(&in, EXCHANGE_TOKEN_LEN);
	carob_entry_t *entry = path->link->entry;
	carob_request_t *request;

	if (entry->mutation == CAROB_ENTRY_MUTATION_MATCH_BY_MID_ONLY)
		return find_by_any_mid(path, msg->mid);
	if (in.failed || in.left != 0)
		return NULL;
	HASH_FIND(exchange.hh, entry->by_exchange, &token, sizeof(token),
		  request);
	return request && request->exchange.path == path ? request : NULL;
}

static void on_unmatched(carob_path_t *path, const carob_msg_t *msg)
{
	path->link->entry->counters.dropped++;
	if (msg->type == CAROB_MSG_CON ||
	    (msg->type == CAROB_MSG_NON && msg->has_observe))
		send_empty(path, CAROB_MSG_RST, msg->mid);
}

/* Whether a response answers the cancel rather than the original request. */
static bool confirms_cancel(const carob_request_t *request,
			    const carob_msg_t *msg)
{
	if (msg->type == CAROB_MSG_ACK)
		return msg->mid == request->exchange.mid;
	return msg->code == CAROB_CODE_DELETED;
}

static void on_matched(carob_request_t *request, const carob_msg_t *msg)
{
	switch (request->phase) {
	case CAROB_REQUEST_RUNNING:
		mark_acked(request);
		carob_request_on_answer(request, msg);
		break;
	case CAROB_REQUEST_FEED:
		carob_feed_on_notification(request, msg);
		break;
	case CAROB_REQUEST_CANCELLING:
		if (confirms_cancel(request, msg))
			carob_request_on_cancelled(request);
		else if (!msg->has_observe)
			carob_request_on_answer(request, msg);
		break;
	case CAROB_REQUEST_QUEUED:
	case CAROB_REQUEST_REDIRECTED:
		break;
	}
}

static void on_response(carob_path_t *path, const carob_msg_t *msg)
{
	carob_request_t *request = find_by_token(path, msg);

	if (!request) {
		on_unmatched(path, msg);
		return;
	}
	if (msg->type == CAROB_MSG_CON)
		send_empty(path, CAROB_MSG_ACK, msg->mid);
	if (msg->type == CAROB_MSG_ACK && msg->mid == request->exchange.mid)
		mark_acked(request);
	on_matched(request, msg);
}

static bool link_has_id(const carob_link_t *link, carob_upstream_id_t id)
{
	return carob_upstream_id_eq(link->upstream.id, id);
}

void carob_path_on_message(carob_entry_t *entry, carob_upstream_id_t upstream,
			   uint32_t number, const carob_msg_t *msg)
{
	carob_path_t *path;

	HASH_FIND(hh, entry->paths, &number, sizeof(number), path);
	if (!path || !link_has_id(path->link, upstream)) {
		entry->counters.dropped++;
		return;
	}
	path->last_received_ns = carob_entry_now(entry);
	path->link->failures = 0;
	if (carob_msg_is_response(msg) && msg->type != CAROB_MSG_RST)
		on_response(path, msg);
	else if (msg->type == CAROB_MSG_RST)
		on_reset(path, msg->mid);
	else if (msg->type == CAROB_MSG_ACK && msg->code == CAROB_CODE_EMPTY)
		on_ack(path, msg->mid);
	else if (msg->type == CAROB_MSG_CON && msg->code == CAROB_CODE_EMPTY)
		send_empty(path, CAROB_MSG_RST, msg->mid);
	else
		entry->counters.dropped++;
	carob_probe_on_received(entry, number);
}

/* Release */

static void link_free(carob_link_t *link)
{
	carob_entry_t *entry = link->entry;

	carob_timer_cancel(entry->kernel, &link->probe);
	HASH_DEL(entry->links, link);
	free(link);
}

void carob_path_drop_unused(carob_entry_t *entry)
{
	carob_link_t *link;
	carob_link_t *next;

	HASH_ITER (hh, entry->links, link, next) {
		carob_path_t *path = link->current;
		carob_token_t token = {
			.service_id = link->key.service_id,
			.upstream = link->upstream.id,
		};

		if (carob_entry_find_upstream(entry, &token) || !path ||
		    path->unacked_requests || path->acked_requests ||
		    link->suspect)
			continue;
		carob_path_close(path);
		if (!carob_link_has_paths(link))
			link_free(link);
	}
}

bool carob_link_has_paths(const carob_link_t *link)
{
	carob_path_t *path;
	carob_path_t *next;

	HASH_ITER (hh, link->entry->paths, path, next)
		if (path->link == link)
			return true;
	return false;
}

void carob_path_dispose_all(carob_entry_t *entry)
{
	carob_path_t *path;
	carob_path_t *next_path;
	carob_link_t *link;
	carob_link_t *next_link;

	HASH_ITER (hh, entry->paths, path, next_path)
		carob_path_close(path);
	HASH_ITER (hh, entry->links, link, next_link)
		link_free(link);
}
