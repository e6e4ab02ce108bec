#include "test_runner.h"

#include "core/entry_world.h"

#include <string.h>

#define FLOW	 0x1234
#define UPSTREAM 101

/*
 * Each deliberate fault breaks the guarantee that its check looks at. A check
 * returns whether the guarantee held; it must hold without the fault.
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

/* The owner dies while the request runs; the caller retransmits. */
static bool runs_once_over_a_death(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_kill(f, 0, true);
	fixture_exchange(f, 1, &request);
	return fixture_count_runs(f, "check") == 1;
}

/* The upstream runs the request and its answers are lost. */
static bool runs_once_over_a_timeout(fixture_t *f)
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

static bool not_run_is_true(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_kill(f, 0, true);
	return fixture_exchange(f, 1, &request).verdict !=
	       CAROB_VERDICT_NOT_RUN;
}

static bool stays_in_its_service(fixture_t *f)
{
	carob_msg_t request = fixture_new_request(CAROB_CODE_POST, 9, "check");

	fixture_set_token(f, &request, 0, FIXTURE_OTHER_SERVICE, FLOW,
			  CAROB_TOKEN_ESTABLISHED, 204);
	fixture_exchange(f, 0, &request);
	return f->request_count == 0;
}

/* A late answer has the message id of another request. */
static bool answer_is_its_own(fixture_t *f)
{
	carob_msg_t first = owned_request(f, CAROB_CODE_GET, 9, "first");
	carob_msg_t seen;
	carob_msg_t late = {
		.type = CAROB_MSG_NON,
		.code = CAROB_CODE_CONTENT,
		.token_len = 8,
		.payload = CAROB_STR("of another request"),
	};

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &first);
	CU_ASSERT_EQUAL(carob_msg_unpack(&seen, f->requests[0].msg->bytes,
					 f->requests[0].msg->len),
			0);
	late.mid = seen.mid;
	carob_entry_on_upstream(f->instances[0].entry, f->requests[0].upstream,
				f->requests[0].path, &late);
	fixture_deliver_all(f);
	return f->answer_count == 0;
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

static bool drain_cuts_nothing(fixture_t *f)
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

static bool expired_never_runs(fixture_t *f)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	request.deadline_ms = 0;
	fixture_exchange(f, 0, &request);
	return fixture_count_runs(f, "check") == 0;
}

typedef struct fault_case {
	carob_entry_mutation_t fault;
	bool (*holds)(fixture_t *f);
} fault_case_t;

static const fault_case_t fault_cases[] = {
	{CAROB_ENTRY_MUTATION_FORGET_OWNER, runs_once_over_a_death},
	{CAROB_ENTRY_MUTATION_RETRY_AFTER_TIMEOUT, runs_once_over_a_timeout},
	{CAROB_ENTRY_MUTATION_FALSE_NOT_RUN, not_run_is_true},
	{CAROB_ENTRY_MUTATION_IGNORE_SERVICE, stays_in_its_service},
	{CAROB_ENTRY_MUTATION_MATCH_BY_MID_ONLY, answer_is_its_own},
	{CAROB_ENTRY_MUTATION_CANCEL_KEEPS_SLOT, cancel_frees_the_slot},
	{CAROB_ENTRY_MUTATION_DRAIN_DROPS, drain_cuts_nothing},
	{CAROB_ENTRY_MUTATION_RUN_EXPIRED, expired_never_runs},
};

static bool holds_with(const fault_case_t *c, carob_entry_mutation_t fault)
{
	fixture_t *f = fixture_new(2, fault);
	bool held = c->holds(f);

	fixture_free(f);
	return held;
}

static void test_guarantees_hold(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(fault_cases); i++)
		CU_ASSERT_TRUE(
			holds_with(&fault_cases[i], CAROB_ENTRY_MUTATION_NONE));
}

static void test_faults_are_noticed(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(fault_cases); i++)
		CU_ASSERT_FALSE(
			holds_with(&fault_cases[i], fault_cases[i].fault));
}

int main(void)
{
	static const test_case_t cases[] = {
		{"guarantees hold", test_guarantees_hold},
		{"each deliberate fault is noticed", test_faults_are_noticed},
	};

	return run_tests("entry faults", cases, CAROB_ARRAY_SIZE(cases));
}
