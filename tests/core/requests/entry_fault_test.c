#include "test_runner.h"

#include "core/entry_world.h"

#include <string.h>

#define FLOW	 0x1234
#define UPSTREAM 101

/*
 * Mutations of the request path. Each mutation must violate the guarantee that
 * its check tests, and without a mutation every guarantee must hold. A check
 * returns whether its guarantee held.
 */

static void set_modes(world_t *w, world_mode_t mode)
{
	for (size_t i = 0; i < WORLD_UPSTREAMS_MAX; i++)
		w->mode[i] = mode;
}

static carob_msg_t owned_request(world_t *w, uint8_t code, uint16_t mid,
				 const char *payload)
{
	carob_msg_t request = world_request(code, mid, payload);

	world_seal(w, &request, 0, WORLD_SERVICE, FLOW, CAROB_TOKEN_ESTABLISHED,
		   UPSTREAM);
	return request;
}

/* The owner is killed while the request runs; the caller retransmits. */
static bool runs_once_after_owner_death(world_t *w)
{
	carob_msg_t request = owned_request(w, CAROB_CODE_POST, 9, "check");

	set_modes(w, WORLD_HOLD);
	world_ask(w, 0, &request);
	world_kill(w, 0, true);
	world_ask(w, 1, &request);
	return world_runs(w, "check") == 1;
}

/* The upstream runs the request, but all its responses are lost. */
static bool runs_once_after_timeout(world_t *w)
{
	carob_msg_t request = owned_request(w, CAROB_CODE_POST, 9, "check");

	world_send(w, 0, &request);
	for (int i = 0; i < 400; i++) {
		while (w->packet_count) {
			if (w->packets[0].kind == WORLD_FROM_UPSTREAM)
				world_drop(w, 0);
			else
				world_deliver(w, 0);
		}
		world_skip(w, 50);
		carob_kernel_run_due(w->instances[0].kernel);
	}
	return world_runs(w, "check") == 1;
}

/* The owner is killed while the request runs: "not run" would be false. */
static bool not_run_is_never_false(world_t *w)
{
	carob_msg_t request = owned_request(w, CAROB_CODE_POST, 9, "check");

	set_modes(w, WORLD_HOLD);
	world_ask(w, 0, &request);
	world_kill(w, 0, true);
	return world_ask(w, 1, &request).verdict != CAROB_VERDICT_NOT_RUN;
}

/* A token of one service arrives at the address of another service. */
static bool token_is_bound_to_service(world_t *w)
{
	carob_msg_t request = world_request(CAROB_CODE_POST, 9, "check");

	world_seal(w, &request, 0, WORLD_OTHER_SERVICE, FLOW,
		   CAROB_TOKEN_ESTABLISHED, 204);
	world_ask(w, 0, &request);
	return w->request_count == 0;
}

/* A response with another CoAP token has the message ID of the request. */
static bool answer_is_matched_by_token(world_t *w)
{
	carob_msg_t first = owned_request(w, CAROB_CODE_GET, 9, "first");
	carob_msg_t seen;
	carob_msg_t late = {
		.type = CAROB_MSG_NON,
		.code = CAROB_CODE_CONTENT,
		.token_len = 8,
		.payload = CAROB_STR("of another request"),
	};

	set_modes(w, WORLD_HOLD);
	world_ask(w, 0, &first);
	CU_ASSERT_EQUAL(carob_msg_unpack(&seen, w->requests[0].msg->bytes,
					 w->requests[0].msg->len),
			0);
	late.mid = seen.mid;
	carob_entry_on_upstream(w->instances[0].entry, w->requests[0].upstream,
				w->requests[0].path, &late);
	world_run(w);
	return w->answer_count == 0;
}

static bool cancel_frees_the_slot(world_t *w)
{
	carob_msg_t request = owned_request(w, CAROB_CODE_GET, 9, "check");
	carob_msg_t cancel = owned_request(w, CAROB_CODE_GET, 10, "");
	carob_load_summary_t summary;

	memcpy(cancel.token, request.token, sizeof(cancel.token));
	cancel.has_observe = true;
	cancel.observe = 1;
	set_modes(w, WORLD_HOLD);
	world_ask(w, 0, &request);
	world_ask(w, 0, &cancel);
	CU_ASSERT_TRUE(carob_scheduler_summaries(
			       &summary, 1, w->instances[0].scheduler) > 0);
	return summary.in_flight == 0;
}

static bool drain_completes_requests(world_t *w)
{
	carob_msg_t request = owned_request(w, CAROB_CODE_GET, 9, "check");

	set_modes(w, WORLD_HOLD);
	world_ask(w, 0, &request);
	world_tell(w, 0, CAROB_MEMBER_LEAVING, 1);
	carob_entry_drain(w->instances[0].entry, w->instances[1].id);
	world_answer(w, 0, CAROB_CODE_CONTENT);
	world_pass(w, 6000);
	return world_last(w).code == CAROB_CODE_CONTENT;
}

static bool expired_request_does_not_run(world_t *w)
{
	carob_msg_t request = owned_request(w, CAROB_CODE_POST, 9, "check");

	request.deadline_ms = 0;
	world_ask(w, 0, &request);
	return world_runs(w, "check") == 0;
}

typedef struct mutation_case {
	carob_entry_fault_t mutation;
	bool (*holds)(world_t *w);
} mutation_case_t;

static const mutation_case_t mutation_cases[] = {
	{CAROB_ENTRY_FAULT_FORGET_OWNER, runs_once_after_owner_death},
	{CAROB_ENTRY_FAULT_RETRY_AFTER_TIMEOUT, runs_once_after_timeout},
	{CAROB_ENTRY_FAULT_FALSE_NOT_RUN, not_run_is_never_false},
	{CAROB_ENTRY_FAULT_IGNORE_SERVICE, token_is_bound_to_service},
	{CAROB_ENTRY_FAULT_MATCH_BY_MID_ONLY, answer_is_matched_by_token},
	{CAROB_ENTRY_FAULT_CANCEL_KEEPS_SLOT, cancel_frees_the_slot},
	{CAROB_ENTRY_FAULT_DRAIN_DROPS, drain_completes_requests},
	{CAROB_ENTRY_FAULT_RUN_EXPIRED, expired_request_does_not_run},
};

static bool holds_with(const mutation_case_t *c, carob_entry_fault_t mutation)
{
	world_t *w = world_new(2, mutation);
	bool held = c->holds(w);

	world_free(w);
	return held;
}

static void test_guarantees_hold(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(mutation_cases); i++)
		CU_ASSERT_TRUE(
			holds_with(&mutation_cases[i], CAROB_ENTRY_FAULT_NONE));
}

static void test_mutations_are_detected(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(mutation_cases); i++)
		CU_ASSERT_FALSE(holds_with(&mutation_cases[i],
					   mutation_cases[i].mutation));
}

int main(void)
{
	static const test_case_t cases[] = {
		{"guarantees hold without mutations", test_guarantees_hold},
		{"each mutation violates its guarantee",
		 test_mutations_are_detected},
	};

	return run_tests("request path mutations", cases,
			 CAROB_ARRAY_SIZE(cases));
}
