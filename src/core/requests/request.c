#include "core/requests/entry_priv.h"

#include <stdlib.h>
#include <utlist.h>

/* Limit on the deadline that a caller may ask for. */
#define DEADLINE_MAX_MS	       (60u * 60 * 1000)
#define CANCEL_TIMEOUT_NS      (30 * CAROB_NS_PER_S)
#define RECORDS_FULL_MAX_AGE_S 5
#define MS_PER_S	       1000
#define DEFAULT_MAX_RUNTIME_MS 30000

static carob_request_t *request_of_work(carob_work_t *work)
{
	return CAROB_CONTAINER_OF(work, carob_request_t, work);
}

/* Requests in these phases must end before a drain is complete. */
static bool counts_as_open(carob_request_phase_t phase)
{
	return phase == CAROB_REQUEST_QUEUED ||
	       phase == CAROB_REQUEST_RUNNING ||
	       phase == CAROB_REQUEST_CANCELLING;
}

static void count_phase(carob_request_t *request, uint64_t delta)
{
	carob_entry_counters_t *counters = &request->entry->counters;

	if (counts_as_open(request->phase))
		counters->requests_open += delta;
	else if (request->phase == CAROB_REQUEST_FEED)
		counters->feeds_open += delta;
}

void carob_request_set_phase(carob_request_t *request,
			     carob_request_phase_t phase)
{
	count_phase(request, (uint64_t)-1);
	request->phase = phase;
	count_phase(request, 1);
}

/* Tables of requests in progress */

static carob_request_t **address_bucket(carob_entry_t *entry,
					const carob_addr_t *addr)
{
	return &entry->by_addr[carob_addr_hash(0, addr) % CAROB_ADDR_BUCKETS];
}

static void insert_into_tables(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;
	carob_request_t **bucket = address_bucket(entry, &request->caller);
	carob_request_t *previous;

	DL_APPEND2(*bucket, request, addr_prev, addr_next);
	HASH_FIND(hh, entry->by_token, &request->key, sizeof(request->key),
		  previous);
	if (previous) {
		HASH_DEL(entry->by_token, previous);
		previous->in_table = false;
	}
	HASH_ADD(hh, entry->by_token, key, sizeof(request->key), request);
	request->in_table = true;
}

static void remove_from_tables(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;
	carob_request_t **bucket = address_bucket(entry, &request->caller);

	DL_DELETE2(*bucket, request, addr_prev, addr_next);
	if (request->in_table)
		HASH_DEL(entry->by_token, request);
}

carob_request_t *carob_request_find(const carob_entry_t *entry,
				    const carob_exchange_key_t *key)
{
	carob_request_t *request;

	HASH_FIND(hh, entry->by_token, key, sizeof(*key), request);
	return request;
}

void carob_request_set_caller(carob_request_t *request,
			      const carob_addr_t *caller)
{
	carob_request_t **bucket;

	if (carob_addr_eq(&request->caller, caller))
		return;
	bucket = address_bucket(request->entry, &request->caller);
	DL_DELETE2(*bucket, request, addr_prev, addr_next);
	request->caller = *caller;
	bucket = address_bucket(request->entry, caller);
	DL_APPEND2(*bucket, request, addr_prev, addr_next);
}

/* Release */

void carob_request_free(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;

	carob_timer_cancel(entry->kernel, &request->timer);
	carob_path_detach(request);
	if (request->record)
		request->record->request = NULL;
	count_phase(request, (uint64_t)-1);
	remove_from_tables(request);
	carob_request_trace_free(request->trace);
	free(request->packed);
	free(request);
}

void carob_request_abandon(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;

	if (request->phase == CAROB_REQUEST_QUEUED)
		carob_scheduler_withdraw(entry->scheduler, &request->work);
	else if (request->phase != CAROB_REQUEST_REDIRECTED)
		carob_scheduler_finish(entry->scheduler, &request->work,
				       CAROB_OUTCOME_ERROR, 0);
	carob_request_free(request);
}

void carob_request_finish(carob_request_t *request,
			  carob_work_outcome_t outcome)
{
	carob_entry_t *entry = request->entry;

	carob_path_detach(request);
	if (outcome == CAROB_OUTCOME_CANCELLED &&
	    entry->mutation == CAROB_ENTRY_MUTATION_CANCEL_KEEPS_SLOT)
		return;
	carob_scheduler_finish(entry->scheduler, &request->work, outcome, 0);
	carob_request_free(request);
}

/* Responses */

void carob_request_answer(carob_request_t *request, carob_record_state_t state,
			  const carob_msg_t *msg)
{
	carob_entry_t *entry = request->entry;
	carob_record_t *record = request->record;

	request->answered = true;
	carob_histogram_record(&entry->latency,
			       carob_entry_now(entry) - request->arrived_ns);
	carob_request_trace_answer(request->trace, msg);
	carob_request_trace_free(request->trace);
	request->trace = NULL;
	if (record) {
		record->request = NULL;
		request->record = NULL;
		carob_record_answer(entry, record, state, msg);
	}
	entry->port->ops->to_caller(entry->port, request->token.service_id,
				    &request->caller, msg);
}

/*
 * The refusal of a registration has no verdict, since another instance may take
 * over the observation while this one refuses a copy of the registration. Such
 * a refusal only says when the caller may try again.
 */
static carob_verdict_t refusal_verdict(bool registration, bool may_have_run)
{
	if (registration)
		return CAROB_VERDICT_NONE;
	return may_have_run ? CAROB_VERDICT_UNKNOWN : CAROB_VERDICT_NOT_RUN;
}

void carob_request_refuse(carob_request_t *request, uint8_t code,
			  uint32_t max_age_s)
{
	carob_entry_t *entry = request->entry;
	carob_msg_t out;

	carob_answer_init_for(&out, entry, request);
	out.code = code;
	out.verdict = refusal_verdict(request->work.kind == CAROB_WORK_FEED,
				      request->may_have_run);
	if (code == CAROB_CODE_SERVICE_UNAVAILABLE) {
		out.has_max_age = true;
		out.max_age_s = max_age_s;
	}
	carob_answer_seal(&out, entry, &request->token);
	if (out.verdict == CAROB_VERDICT_UNKNOWN)
		entry->counters.outcome_unknown++;
	else
		entry->counters.refused_not_run++;
	carob_request_answer(request, CAROB_RECORD_ANSWERED, &out);
}

void carob_request_answer_unknown(carob_request_t *request)
{
	carob_msg_t out;

	carob_answer_init_for(&out, request->entry, request);
	carob_answer_fill_unknown(&out, request->entry, &request->token);
	carob_request_answer(request, CAROB_RECORD_UNKNOWN, &out);
}

/* Scheduler callbacks */

static uint32_t runtime_limit_ms(const carob_entry_t *entry,
				 uint32_t service_id)
{
	const carob_manifest_service_t *service = NULL;

	if (entry->manifest)
		service = carob_manifest_find_service(entry->manifest,
						      service_id);
	return service && service->max_runtime_ms ? service->max_runtime_ms
						  : DEFAULT_MAX_RUNTIME_MS;
}

static void limit_runtime(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;
	uint64_t limit_ns = runtime_limit_ms(entry, request->work.service_id) *
			    CAROB_NS_PER_MS;
	uint64_t latest_ns = carob_entry_now(entry) + limit_ns;

	if (latest_ns < request->deadline_ns)
		request->deadline_ns = latest_ns;
	carob_timer_arm(entry->kernel, &request->timer, request->deadline_ns);
}

static bool has_expired(const carob_request_t *request)
{
	const carob_entry_t *entry = request->entry;

	return carob_entry_now(entry) >= request->deadline_ns &&
	       entry->mutation != CAROB_ENTRY_MUTATION_RUN_EXPIRED;
}

static void on_start(carob_work_t *work,
		     const carob_manifest_upstream_t *upstream)
{
	carob_request_t *request = request_of_work(work);
	carob_entry_t *entry = request->entry;

	carob_request_set_phase(request, CAROB_REQUEST_RUNNING);
	/* The deadline timer fires late after a pause of the process. */
	if (has_expired(request)) {
		carob_request_refuse(request, CAROB_CODE_GATEWAY_TIMEOUT, 0);
		carob_request_finish(request, CAROB_OUTCOME_DONE);
		return;
	}
	limit_runtime(request);
	if (carob_path_send(request, upstream) != 0) {
		carob_request_refuse(request, CAROB_CODE_SERVICE_UNAVAILABLE,
				     RECORDS_FULL_MAX_AGE_S);
		carob_request_finish(request, CAROB_OUTCOME_DONE);
		return;
	}
	entry->counters.forwarded++;
	if (request->attempts++ == 0)
		carob_retry_budget_earn(&entry->retries);
}

static void on_redirect(carob_work_t *work, carob_instance_id_t to)
{
	carob_request_t *request = request_of_work(work);
	carob_entry_t *entry = request->entry;
	carob_msg_t msg;
	carob_packet_t packet = {
		.service_id = request->token.service_id,
		.caller = request->caller,
		.msg = &msg,
		.arrived_ns = request->arrived_ns,
	};

	carob_timer_cancel(entry->kernel, &request->timer);
	carob_request_set_phase(request, CAROB_REQUEST_REDIRECTED);
	request->record->state = CAROB_RECORD_REDIRECTED;
	request->record->redirected_to = to;
	carob_msg_unpack(&msg, request->packed->bytes, request->packed->len);
	carob_entry_relay(entry, &packet, CAROB_RELAY_OVERFLOW, to);
	free(request->packed);
	request->packed = NULL;
}

static uint32_t round_up_to_seconds(uint32_t ms)
{
	return ms / MS_PER_S + (ms % MS_PER_S != 0);
}

static void on_refuse(carob_work_t *work, carob_refusal_t reason,
		      uint32_t retry_after_ms)
{
	carob_request_t *request = request_of_work(work);
	carob_token_t fresh;
	uint8_t code = CAROB_CODE_SERVICE_UNAVAILABLE;

	if (reason == CAROB_REFUSAL_EXPIRED)
		code = CAROB_CODE_GATEWAY_TIMEOUT;
	/* A flow whose upstream was removed must be replaced by a new flow. */
	if (reason == CAROB_REFUSAL_NO_UPSTREAM && work->pinned.id != 0 &&
	    carob_answer_fresh_token(&fresh, request->entry,
				     work->service_id) == 0)
		request->token = fresh;
	carob_request_refuse(request, code,
			     round_up_to_seconds(retry_after_ms));
	carob_request_free(request);
}

static const carob_work_ops_t work_ops = {
	.start = on_start,
	.redirect = on_redirect,
	.refuse = on_refuse,
};

/* Deadlines */

void carob_request_cancel_upstream(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;

	carob_request_set_phase(request, CAROB_REQUEST_CANCELLING);
	carob_timer_arm(entry->kernel, &request->timer,
			carob_entry_now(entry) + CANCEL_TIMEOUT_NS);
	carob_path_send_message(request, CAROB_SENT_CANCEL);
}

static void on_timer(carob_timer_t *timer)
{
	carob_request_t *request =
		CAROB_CONTAINER_OF(timer, carob_request_t, timer);

	switch (request->phase) {
	case CAROB_REQUEST_QUEUED:
		carob_scheduler_withdraw(request->entry->scheduler,
					 &request->work);
		carob_request_refuse(request, CAROB_CODE_GATEWAY_TIMEOUT, 0);
		carob_request_free(request);
		break;
	case CAROB_REQUEST_RUNNING:
		carob_request_answer_unknown(request);
		carob_request_cancel_upstream(request);
		break;
	case CAROB_REQUEST_CANCELLING:
		carob_request_on_lost(request, CAROB_OUTCOME_TIMEOUT);
		break;
	case CAROB_REQUEST_FEED:
		carob_feed_on_timer(request);
		break;
	case CAROB_REQUEST_REDIRECTED:
		break;
	}
}

/* New requests */

static uint64_t deadline_of(const carob_entry_t *entry,
			    const carob_packet_t *packet)
{
	uint32_t ms = packet->msg->deadline_ms;

	if (!packet->msg->has_deadline)
		ms = runtime_limit_ms(entry, packet->service_id);
	if (ms > DEADLINE_MAX_MS)
		ms = DEADLINE_MAX_MS;
	return packet->arrived_ns + ms * CAROB_NS_PER_MS;
}

static void fill_work(carob_request_t *request, const carob_packet_t *packet)
{
	carob_work_t *work = &request->work;

	work->ops = &work_ops;
	work->kind = carob_msg_is_registration(packet->msg)
			     ? CAROB_WORK_FEED
			     : CAROB_WORK_REQUEST;
	work->service_id = packet->service_id;
	if (packet->token.flags & CAROB_TOKEN_ESTABLISHED)
		work->pinned = packet->token.upstream;
	/* Another instance would not know that the request may have run. */
	work->may_redirect = packet->relay_kind != CAROB_RELAY_OVERFLOW &&
			     !packet->may_have_run;
	work->deadline_ns = request->deadline_ns;
}

static carob_request_t *request_new(carob_entry_t *entry,
				    const carob_packet_t *packet)
{
	carob_request_t *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->packed = carob_msg_pack(packet->msg);
	if (!request->packed) {
		free(request);
		return NULL;
	}
	request->entry = entry;
	request->token = packet->token;
	request->token.owner = carob_entry_self(entry);
	request->caller = packet->caller;
	request->type = (uint8_t)packet->msg->type;
	request->mid = packet->msg->mid;
	request->idempotent = carob_msg_is_idempotent(packet->msg);
	request->may_have_run = packet->may_have_run;
	request->arrived_ns = packet->arrived_ns;
	request->deadline_ns = deadline_of(entry, packet);
	request->timer.fire = on_timer;
	request->trace = carob_request_trace_new(entry->tracer, packet->msg,
						 packet->service_id);
	fill_work(request, packet);
	carob_exchange_key_init(&request->key, packet->token.flow, packet->msg);
	request->key.mid = 0;
	count_phase(request, 1);
	insert_into_tables(request);
	return request;
}

static void admit_request(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;

	if (carob_tombstone_find(entry, &request->key)) {
		entry->counters.cancelled_before++;
		carob_request_refuse(request, CAROB_CODE_SERVICE_UNAVAILABLE,
				     0);
		carob_request_free(request);
		return;
	}
	if (has_expired(request)) {
		carob_request_refuse(request, CAROB_CODE_GATEWAY_TIMEOUT, 0);
		carob_request_free(request);
		return;
	}
	carob_timer_arm(entry->kernel, &request->timer, request->deadline_ns);
	carob_request_trace_queue(request->trace);
	carob_scheduler_submit(entry->scheduler, &request->work);
}

void carob_request_accept(carob_entry_t *entry, carob_packet_t *packet)
{
	bool idempotent = carob_msg_is_idempotent(packet->msg);
	carob_exchange_key_t key;
	carob_record_t *record;
	carob_request_t *request;

	if (idempotent && packet->token.flags & CAROB_TOKEN_MAY_HAVE_RUN)
		packet->may_have_run = true;
	if (carob_record_store_may_have_evicted(entry, idempotent))
		packet->may_have_run = true;
	if (packet->token.flags & CAROB_TOKEN_ESTABLISHED &&
	    !carob_entry_find_upstream(entry, &packet->token)) {
		carob_answer_challenge(
			entry, packet,
			refusal_verdict(carob_msg_is_registration(packet->msg),
					packet->may_have_run));
		return;
	}
	carob_exchange_key_init(&key, packet->token.flow, packet->msg);
	record = carob_record_new(entry, &key, idempotent);
	request = record ? request_new(entry, packet) : NULL;
	if (!request) {
		if (record)
			carob_record_free(entry, record);
		carob_answer_refuse(entry, packet, RECORDS_FULL_MAX_AGE_S);
		return;
	}
	record->request = request;
	request->record = record;
	admit_request(request);
}
