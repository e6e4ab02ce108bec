#include "test_runner.h"

#include "core/entry_fixture.h"

#include <string.h>

#define FLOW	 0x1234
#define UPSTREAM 101

/*
 * Mutations of the request path. Each mutation must violate the guarantee that
 * its check tests, and without a mutation every guarantee must hold. A check
 * returns whether its guarantee held.
 */

static void set_modes(fixture_t *f, fixture_mode_t mode)
{
	for (size_t i = 0; i < FIXTURE_UPSTREAMS_MAX; i++)
		f->mode[i] = mode;
}

static carob_msg_t owned_request(fixture_t *f, uint8_t code, uint16_t mid,
				 const char *payload)
{
	carob_msg_t request = fixture_new_request(code, mid, payload);

	fixture_set_token(f, &request, 0, FIXTURE_SERVICE, FLOW,
			  CAROB_TOKEN_ESTABLISHED, UPSTREAM);
	return request;
}

/* The owner is killed while the request runs; the caller retransmits. */
static bool runs_once_after_owner_death(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_kill(f, 0, true);
	fixture_exchange(f, 1, &request);
	return fixture_count_runs(f, "check") == 1;
}

/* The upstream runs the request, but all its responses are lost. */
static bool runs_once_after_timeout(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	fixture_send(f, 0, &request);
	for (int i = 0; i < 400; i++) {
		while (f->packet_count) {
			if (f->packets[0].kind == FIXTURE_FROM_UPSTREAM)
				fixture_drop(f, 0);
			else
				fixture_deliver(f, 0);
		}
		fixture_advance_clock(f, 50);
		carob_kernel_run_due(f->instances[0].kernel);
	}
	return fixture_count_runs(f, "check") == 1;
}

/* The owner is killed while the request runs: "not run" would be false. */
static bool not_run_is_never_false(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_kill(f, 0, true);
	return fixture_exchange(f, 1, &request).verdict !=
	       CAROB_VERDICT_NOT_RUN;
}

/* A token of one service arrives at the address of another service. */
static bool token_is_bound_to_service(fixture_t *f)
{
	carob_msg_t request = fixture_new_request(CAROB_CODE_POST, 9, "check");

	fixture_set_token(f, &request, 0, FIXTURE_OTHER_SERVICE, FLOW,
			  CAROB_TOKEN_ESTABLISHED, 204);
	fixture_exchange(f, 0, &request);
	return f->request_count == 0;
}

/* A response with another CoAP token has the message ID of the request. */
static bool response_is_matched_by_token(fixture_t *f)
{
	carob_msg_t first = owned_request(f, CAROB_CODE_GET, 9, "first");
	carob_msg_t forwarded;
	carob_msg_t late_response = {
		.type = CAROB_MSG_NON,
		.code = CAROB_CODE_CONTENT,
		.token_len = 8,
		.payload = CAROB_STR("of another request"),
	};

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &first);
	CU_ASSERT_EQUAL(carob_msg_unpack(&forwarded, f->requests[0].msg->bytes,
					 f->requests[0].msg->len),
			0);
	late_response.mid = forwarded.mid;
	carob_entry_on_upstream(f->instances[0].entry, f->requests[0].upstream,
				f->requests[0].path, &late_response);
	fixture_deliver_all(f);
	return f->received_count == 0;
}

static bool cancel_frees_the_slot(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_GET, 9, "check");
	carob_msg_t cancel = owned_request(f, CAROB_CODE_GET, 10, "");
	carob_load_summary_t summary;

	memcpy(cancel.token, request.token, sizeof(cancel.token));
	cancel.has_observe = true;
	cancel.observe = 1;
	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_exchange(f, 0, &cancel);
	CU_ASSERT_TRUE(carob_scheduler_summaries(
			       &summary, 1, f->instances[0].scheduler) > 0);
	return summary.in_flight == 0;
}

static bool drain_completes_requests(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_GET, 9, "check");

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_set_member_state(f, 0, CAROB_MEMBER_LEAVING, 1);
	carob_entry_drain(f->instances[0].entry, f->instances[1].id);
	fixture_respond(f, 0, CAROB_CODE_CONTENT);
	fixture_run_for(f, 6000);
	return fixture_last_response(f).code == CAROB_CODE_CONTENT;
}

static bool expired_request_does_not_run(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	request.deadline_ms = 0;
	fixture_exchange(f, 0, &request);
	return fixture_count_runs(f, "check") == 0;
}

typedef struct mutation_case {
	carob_entry_mutation_t mutation;
	bool (*holds)(fixture_t *f);
} mutation_case_t;

static const mutation_case_t mutation_cases[] = {
	{CAROB_ENTRY_MUTATION_FORGET_OWNER, runs_once_after_owner_death},
	{CAROB_ENTRY_MUTATION_RETRY_AFTER_TIMEOUT, runs_once_after_timeout},
	{CAROB_ENTRY_MUTATION_FALSE_NOT_RUN, not_run_is_never_false},
	{CAROB_ENTRY_MUTATION_IGNORE_SERVICE, token_is_bound_to_service},
	{CAROB_ENTRY_MUTATION_MATCH_BY_MID_ONLY, response_is_matched_by_token},
	{CAROB_ENTRY_MUTATION_CANCEL_KEEPS_SLOT, cancel_frees_the_slot},
	{CAROB_ENTRY_MUTATION_DRAIN_DROPS, drain_completes_requests},
	{CAROB_ENTRY_MUTATION_RUN_EXPIRED, expired_request_does_not_run},
};

static bool holds_with(const mutation_case_t *c,
		       carob_entry_mutation_t mutation)
{
	fixture_t *f = fixture_new(2, mutation);
	bool guarantee_held = c->holds(f);

	fixture_free(f);
	return guarantee_held;
}

static void test_guarantees_hold(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(mutation_cases); i++)
		CU_ASSERT_TRUE(holds_with(&mutation_cases[i],
					  CAROB_ENTRY_MUTATION_NONE));
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
