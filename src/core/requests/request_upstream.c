#include "core/requests/entry_priv.h"

#include <string.h>

#define ATTEMPTS_MAX	       2
#define SHED_DEFAULT_MAX_AGE_S 1
#define SHED_MAX_AGE_LIMIT_S   3600
#define MS_PER_S	       1000

static void submit_again(carob_request_t *request, carob_work_outcome_t outcome,
			 uint32_t retry_after_ms)
{
	carob_entry_t *entry = request->entry;

	carob_path_detach(request);
	entry->counters.retries++;
	carob_request_set_phase(request, CAROB_REQUEST_QUEUED);
	carob_scheduler_finish(entry->scheduler, &request->work, outcome,
			       retry_after_ms);
	carob_request_trace_queue(request->trace);
	carob_scheduler_submit(entry->scheduler, &request->work);
}

static bool may_retry(carob_request_t *request)
{
	return request->work.pinned.id == 0 &&
	       request->attempts < ATTEMPTS_MAX &&
	       carob_entry_now(request->entry) < request->deadline_ns &&
	       carob_retry_budget_spend(&request->entry->retries);
}

static void on_shed(carob_request_t *request, const carob_msg_t *msg)
{
	carob_entry_t *entry = request->entry;
	uint32_t age_s = msg->has_max_age ? msg->max_age_s
					  : SHED_DEFAULT_MAX_AGE_S;
	uint32_t retry_after_ms;

	if (age_s > SHED_MAX_AGE_LIMIT_S)
		age_s = SHED_MAX_AGE_LIMIT_S;
	retry_after_ms = age_s * MS_PER_S;
	if (request->phase == CAROB_REQUEST_RUNNING && may_retry(request)) {
		submit_again(request, CAROB_OUTCOME_SHED, retry_after_ms);
		return;
	}
	carob_path_detach(request);
	if (!request->answered)
		carob_request_refuse(request, CAROB_CODE_SERVICE_UNAVAILABLE,
				     age_s);
	carob_scheduler_finish(entry->scheduler, &request->work,
			       CAROB_OUTCOME_SHED, retry_after_ms);
	carob_request_free(request);
}

static void establish_flow(carob_request_t *request)
{
	const carob_link_t *link = request->exchange.path->link;

	request->token.upstream = link->upstream.id;
	request->token.flags = CAROB_TOKEN_ESTABLISHED;
}

static void forward_response(carob_request_t *request, const carob_msg_t *msg)
{
	carob_entry_t *entry = request->entry;
	carob_msg_t out = *msg;
	carob_msg_t header;

	carob_answer_init_for(&header, entry, request);
	out.type = header.type;
	out.mid = header.mid;
	out.token_len = header.token_len;
	memcpy(out.token, header.token, sizeof(out.token));
	out.verdict = CAROB_VERDICT_NONE;
	out.has_deadline = false;
	out.has_trace = false;
	out.has_observe = false;
	carob_answer_seal(&out, entry, &request->token);
	entry->counters.answered++;
	carob_request_answer(request, CAROB_RECORD_ANSWERED, &out);
}

static bool is_shed(const carob_msg_t *msg)
{
	return msg->code == CAROB_CODE_SERVICE_UNAVAILABLE ||
	       msg->code == CAROB_CODE_TOO_MANY_REQUESTS;
}

void carob_request_on_answer(carob_request_t *request, const carob_msg_t *msg)
{
	if (is_shed(msg)) {
		on_shed(request, msg);
		return;
	}
	establish_flow(request);
	if (request->phase == CAROB_REQUEST_RUNNING &&
	    request->work.kind == CAROB_WORK_FEED && msg->has_observe) {
		carob_feed_open(request, msg);
		return;
	}
	if (!request->answered)
		forward_response(request, msg);
	carob_request_finish(request, CAROB_OUTCOME_DONE);
}

void carob_request_on_cancelled(carob_request_t *request)
{
	if (!request->answered)
		carob_request_answer_unknown(request);
	carob_request_finish(request, CAROB_OUTCOME_CANCELLED);
}

static bool may_run_again(carob_request_t *request)
{
	if (request->phase != CAROB_REQUEST_RUNNING)
		return false;
	if (request->entry->mutation ==
	    CAROB_ENTRY_MUTATION_RETRY_AFTER_TIMEOUT)
		return request->attempts < ATTEMPTS_MAX;
	return request->idempotent && may_retry(request);
}

void carob_request_on_lost(carob_request_t *request,
			   carob_work_outcome_t outcome)
{
	if (request->phase == CAROB_REQUEST_FEED) {
		carob_feed_end(request, true);
		return;
	}
	if (may_run_again(request)) {
		request->may_have_run = true;
		request->work.may_redirect = false;
		submit_again(request, outcome, 0);
		return;
	}
	if (!request->answered)
		carob_request_answer_unknown(request);
	carob_request_finish(request, outcome);
}
