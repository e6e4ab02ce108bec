#include "simulation.h"

#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

#define TOKEN_LEN 8

/* Upstream that a caller's flow is assigned to. */
typedef struct flow {
	uint64_t caller;
	carob_upstream_id_t upstream;
	UT_hash_handle hh;
} flow_t;

/* Caller and token that identify a request; padding bytes are zero. */
typedef struct forward_key {
	uint64_t caller;
	uint8_t token[CAROB_MSG_TOKEN_MAX];
} forward_key_t;

/*
 * A forwarded request, found by its key and by the token that it has on the
 * way to the upstream.
 */
typedef struct forward {
	forward_key_t key;
	uint64_t token;
	carob_addr_t caller;
	uint32_t service_id;
	size_t host;
	uint16_t mid;
	uint8_t caller_token_len;
	UT_hash_handle hh; /* by key */
	UT_hash_handle by_token;
} forward_t;

struct baseline {
	instance_t *in;
	flow_t *flows;
	forward_t *forwards;
	forward_t *by_token;
	uint64_t next_index;
	uint16_t next_mid;
};

baseline_t *baseline_new(instance_t *in)
{
	baseline_t *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->in = in;
	return b;
}

void baseline_free(baseline_t *b)
{
	flow_t *flow;
	flow_t *next_flow;
	forward_t *f;
	forward_t *next;

	HASH_ITER (hh, b->flows, flow, next_flow) {
		HASH_DEL(b->flows, flow);
		free(flow);
	}
	HASH_CLEAR(by_token, b->by_token);
	HASH_ITER (hh, b->forwards, f, next) {
		HASH_DEL(b->forwards, f);
		free(f);
	}
	free(b);
}

static uint64_t caller_key(const carob_addr_t *addr)
{
	uint64_t key;

	memcpy(&key, addr->ip, sizeof(key));
	return key;
}

static const carob_manifest_upstream_t *
hash_upstream(const carob_manifest_service_t *service, uint64_t key)
{
	const carob_manifest_upstream_t *best = NULL;
	uint64_t best_score = 0;

	for (size_t i = 0; i < service->upstream_count; i++) {
		const carob_manifest_upstream_t *up = &service->upstreams[i];
		uint64_t score = carob_hash_u64(carob_hash_u64(key) ^
						carob_hash_u64(up->id.id));

		if (up->state == CAROB_UPSTREAM_ACTIVE &&
		    (!best || score > best_score)) {
			best = up;
			best_score = score;
		}
	}
	return best;
}

static const carob_manifest_upstream_t *
next_upstream(baseline_t *b, const carob_manifest_service_t *service)
{
	for (size_t i = 0; i < service->upstream_count; i++) {
		const carob_manifest_upstream_t *up =
			&service->upstreams[b->next_index++ %
					    service->upstream_count];

		if (up->state == CAROB_UPSTREAM_ACTIVE)
			return up;
	}
	return NULL;
}

static const carob_manifest_upstream_t *
flow_table_upstream(baseline_t *b, const carob_manifest_service_t *service,
		    uint64_t key)
{
	const carob_manifest_upstream_t *up = NULL;
	flow_t *flow;

	HASH_FIND(hh, b->flows, &key, sizeof(key), flow);
	if (flow)
		up = carob_manifest_find_upstream(service, flow->upstream);
	if (up)
		return up;
	up = next_upstream(b, service);
	if (!up)
		return NULL;
	if (!flow) {
		flow = calloc(1, sizeof(*flow));
		if (!flow)
			abort();
		flow->caller = key;
		HASH_ADD(hh, b->flows, caller, sizeof(flow->caller), flow);
	}
	flow->upstream = up->id;
	return up;
}

static forward_key_t make_forward_key(const packet_t *p, const carob_msg_t *msg)
{
	forward_key_t key = {.caller = caller_key(&p->addr)};

	memcpy(key.token, msg->token, sizeof(key.token));
	return key;
}

static forward_t *find_forward(const baseline_t *b, const packet_t *p,
			       const carob_msg_t *msg)
{
	forward_key_t key = make_forward_key(p, msg);
	forward_t *f;

	HASH_FIND(hh, b->forwards, &key, sizeof(key), f);
	return f;
}

static forward_t *new_forward(baseline_t *b, const packet_t *p,
			      const carob_msg_t *msg)
{
	const carob_manifest_service_t *service =
		carob_manifest_find_service(b->in->manifest, p->service_id);
	uint64_t key = caller_key(&p->addr);
	const carob_manifest_upstream_t *up;
	forward_t *f;

	if (b->in->sim->policy == POLICY_ROUND_ROBIN)
		up = flow_table_upstream(b, service, key);
	else
		up = hash_upstream(service, key);
	if (!up)
		return NULL;
	f = calloc(1, sizeof(*f));
	if (!f)
		abort();
	f->key = make_forward_key(p, msg);
	f->token = carob_rng_u64(&b->in->sim->rng);
	f->caller = p->addr;
	f->service_id = p->service_id;
	f->host = host_find_by_addr(b->in->sim, &up->addr)->index;
	f->caller_token_len = msg->token_len;
	HASH_ADD(hh, b->forwards, key, sizeof(f->key), f);
	HASH_ADD(by_token, b->by_token, token, sizeof(f->token), f);
	return f;
}

static void to_host(baseline_t *b, const forward_t *f, const carob_msg_t *msg)
{
	host_t *h = b->in->sim->hosts[f->host];
	packet_t *p = packet_new(b->in->sim, PACKET_TO_HOST);

	p->host = f->host;
	p->from = b->in->index;
	p->receiver_incarnation = b->in->id.incarnation;
	p->msg = carob_msg_pack(msg);
	network_send(p, b->in->zone, h->zone);
}

void baseline_on_caller(baseline_t *b, const packet_t *p,
			const carob_msg_t *msg)
{
	carob_msg_t out = *msg;
	forward_t *f;

	if (!carob_msg_is_request(msg))
		return;
	f = find_forward(b, p, msg);
	if (!f && !carob_msg_is_cancel(msg))
		f = new_forward(b, p, msg);
	if (!f)
		return;
	f->mid = msg->mid;
	out.mid = b->next_mid++;
	out.token_len = TOKEN_LEN;
	memcpy(out.token, &f->token, TOKEN_LEN);
	to_host(b, f, &out);
}

static void acknowledge(baseline_t *b, const forward_t *f, uint16_t mid)
{
	carob_msg_t msg = {.type = CAROB_MSG_ACK, .mid = mid};

	to_host(b, f, &msg);
}

void baseline_on_host(baseline_t *b, const packet_t *p, const carob_msg_t *msg)
{
	carob_msg_t out = *msg;
	packet_t *response;
	uint64_t token;
	forward_t *f;

	if (msg->token_len != TOKEN_LEN)
		return;
	memcpy(&token, msg->token, sizeof(token));
	HASH_FIND(by_token, b->by_token, &token, sizeof(token), f);
	if (!f)
		return;
	if (msg->type == CAROB_MSG_CON)
		acknowledge(b, f, msg->mid);
	out.type = msg->has_observe && msg->type == CAROB_MSG_NON
			   ? CAROB_MSG_NON
			   : CAROB_MSG_ACK;
	out.mid = f->mid;
	out.token_len = f->caller_token_len;
	memcpy(out.token, f->key.token, sizeof(out.token));
	if (msg->code == CAROB_CODE_SERVICE_UNAVAILABLE)
		out.verdict = CAROB_VERDICT_NOT_RUN;
	response = packet_new(b->in->sim, PACKET_TO_CALLER);
	response->service_id = f->service_id;
	response->addr = f->caller;
	response->msg = carob_msg_pack(&out);
	network_send(response, b->in->zone, NO_ZONE);
	(void)p;
}
