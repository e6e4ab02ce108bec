#include "test_runner.h"

#include "carobtrail/errors.h"
#include "core/requests/entry_priv.h"
#include "core/entry_fixture.h"

#include <string.h>

#define FLOW	 0x1234
#define UPSTREAM 101 /* upstream of FIXTURE_SERVICE */

static void set_modes(fixture_t *f, fixture_mode_t mode)
{
	for (size_t i = 0; i < FIXTURE_UPSTREAMS_MAX; i++)
		f->mode[i] = mode;
}

/* @return a request of an established flow owned by instance 0 */
static carob_msg_t owned_request(fixture_t *f, uint8_t code, uint16_t mid,
				 const char *payload)
{
	carob_msg_t request = fixture_new_request(code, mid, payload);

	fixture_set_token(f, &request, 0, FIXTURE_SERVICE, FLOW,
			  CAROB_TOKEN_ESTABLISHED, UPSTREAM);
	return request;
}

static carob_msg_t new_cancel(const carob_msg_t *request, uint16_t mid)
{
	carob_msg_t cancel = fixture_new_request(CAROB_CODE_GET, mid, "");

	cancel.token_len = request->token_len;
	memcpy(cancel.token, request->token, sizeof(cancel.token));
	fixture_copy_echo(&cancel, request);
	cancel.has_observe = true;
	cancel.observe = 1;
	return cancel;
}

static carob_msg_t new_registration(fixture_t *f, uint16_t mid)
{
	carob_msg_t request = owned_request(f, CAROB_CODE_GET, mid, "board");

	request.has_observe = true;
	request.observe = 0;
	return request;
}

static uint32_t slots_in_use(const fixture_t *f)
{
	carob_load_summary_t summaries[8];
	uint32_t in_use = 0;
	size_t count = carob_scheduler_summaries(summaries, 8,
						 f->instances[0].scheduler);

	for (size_t i = 0; i < count; i++)
		in_use += summaries[i].in_flight + summaries[i].feeds;
	return in_use;
}

/* Death of the owner */

typedef enum death_point {
	DIES_BEFORE_ARRIVAL,
	DIES_BEFORE_FORWARDING, /* while the request waits for a slot */
	DIES_WHILE_RUNNING,
	DIES_AFTER_RESPONSE, /* the caller has lost the response */
} death_point_t;

typedef struct death_case {
	death_point_t point;
	uint8_t method;
	size_t runs;
	uint8_t code; /* expected for the retransmission */
	carob_verdict_t verdict;
} death_case_t;

static const death_case_t death_cases[] = {
	{DIES_BEFORE_ARRIVAL, CAROB_CODE_POST, 0, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN},
	{DIES_BEFORE_FORWARDING, CAROB_CODE_POST, 0, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN},
	{DIES_WHILE_RUNNING, CAROB_CODE_POST, 1, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN},
	{DIES_AFTER_RESPONSE, CAROB_CODE_POST, 1, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN},
	{DIES_AFTER_RESPONSE, CAROB_CODE_PATCH, 1, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN},
	{DIES_BEFORE_ARRIVAL, CAROB_CODE_GET, 0, CAROB_CODE_UNAUTHORIZED,
	 CAROB_VERDICT_NONE},
	{DIES_WHILE_RUNNING, CAROB_CODE_GET, 1, CAROB_CODE_UNAUTHORIZED,
	 CAROB_VERDICT_NONE},
	{DIES_AFTER_RESPONSE, CAROB_CODE_PUT, 1, CAROB_CODE_UNAUTHORIZED,
	 CAROB_VERDICT_NONE},
};

static void fill_slots(fixture_t *f)
{
	set_modes(f, FIXTURE_HOLD);
	for (uint16_t mid = 100; mid < 102; mid++) {
		carob_msg_t other =
			owned_request(f, CAROB_CODE_GET, mid, "other");

		fixture_exchange(f, 0, &other);
	}
}

static void run_until_death_point(fixture_t *f, const carob_msg_t *request,
				  death_point_t point)
{
	if (point == DIES_BEFORE_FORWARDING)
		fill_slots(f);
	if (point == DIES_WHILE_RUNNING)
		set_modes(f, FIXTURE_HOLD);
	if (point == DIES_BEFORE_ARRIVAL)
		return;
	fixture_exchange(f, 0, request);
}

static void test_owner_dies(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(death_cases); i++) {
		const death_case_t *c = &death_cases[i];
		fixture_t *f = fixture_new(4, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request = owned_request(f, c->method, 9, "check");
		carob_msg_t response;

		run_until_death_point(f, &request, c->point);
		fixture_kill(f, 0, true);
		set_modes(f, FIXTURE_RESPOND);
		response = fixture_exchange(f, 1, &request);
		CU_ASSERT_EQUAL(response.code, c->code);
		CU_ASSERT_EQUAL(response.verdict, c->verdict);
		CU_ASSERT_EQUAL(response.echo_len, CAROB_TOKEN_SEALED_BYTES);
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), c->runs);
		/* The request does not run again through any instance. */
		for (size_t via = 1; via < 4; via++) {
			carob_msg_t again = fixture_exchange(f, via, &request);

			CU_ASSERT_EQUAL(again.code, c->code);
			CU_ASSERT_EQUAL(again.verdict, c->verdict);
		}
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), c->runs);
		/* The flow continues with the token of the response. */
		request = fixture_new_request(CAROB_CODE_POST, 10, "next");
		fixture_copy_echo(&request, &response);
		response = fixture_exchange(f, 2, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
		CU_ASSERT_EQUAL(fixture_count_runs(f, "next"), 1);
		CU_ASSERT_EQUAL(f->requests[f->request_count - 1].upstream.id,
				UPSTREAM);
		fixture_free(f);
	}
}

/*
 * The caller is asked to repeat an idempotent request, which then runs with
 * the new token.
 */
static void test_idempotent_request_is_repeated(void)
{
	static const fixture_mode_t modes[] = {FIXTURE_RESPOND, FIXTURE_SHED};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(modes); i++) {
		fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request =
			owned_request(f, CAROB_CODE_GET, 9, "check");
		carob_msg_t response;

		fixture_exchange(f, 0, &request);
		fixture_kill(f, 0, true);
		response = fixture_exchange(f, 1, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_UNAUTHORIZED);
		set_modes(f, modes[i]);
		request.mid = 10;
		fixture_copy_echo(&request, &response);
		response = fixture_exchange(f, 2, &request);
		/* The first copy has run, so a refusal must not deny it. */
		CU_ASSERT_EQUAL(response.verdict,
				modes[i] == FIXTURE_SHED ? CAROB_VERDICT_UNKNOWN
							 : CAROB_VERDICT_NONE);
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"),
				modes[i] == FIXTURE_SHED ? 1 : 2);
		fixture_free(f);
	}
}

static void test_death_not_known(void)
{
	fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	fixture_kill(f, 0, false);
	CU_ASSERT_EQUAL(fixture_exchange(f, 1, &request).code, 0);
	CU_ASSERT_EQUAL(fixture_exchange(f, 2, &request).code, 0);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	fixture_free(f);
}

/* Cancels */

static void test_cancel_before_request(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t cancel = new_cancel(&request, 10);
	carob_msg_t response = fixture_exchange(f, 1, &cancel);

	CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(response.max_age_s, 0);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	/* The CoAP token can be used again after a short time. */
	fixture_run_for(f, 6000);
	request.mid = 11;
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code,
			CAROB_CODE_CONTENT);
	fixture_free(f);
}

static void test_cancel_while_queued(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t cancel = new_cancel(&request, 10);
	carob_msg_t refusal;

	fill_slots(f);
	fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).requests_open, 3);
	fixture_send(f, 1, &cancel);
	fixture_deliver_all(f);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).cancelled_before, 1);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).requests_open, 2);
	refusal = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(refusal.verdict, CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(refusal.mid, 9);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	fixture_free(f);
}

static void test_cancel_while_running(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t cancel = new_cancel(&request, 10);

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(slots_in_use(f), 1);
	fixture_send(f, 0, &cancel);
	fixture_deliver(f, 0);
	/* The upstream has not confirmed the cancel yet. */
	CU_ASSERT_EQUAL(slots_in_use(f), 1);
	fixture_deliver_all(f);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	CU_ASSERT_TRUE(f->requests[0].cancelled);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).cancelled_after, 1);
	CU_ASSERT_EQUAL(fixture_exchange(f, 1, &request).verdict,
			CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	fixture_free(f);
}

static void test_relayed_reset(void)
{
	fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t rst = {.type = CAROB_MSG_RST, .mid = 9};

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_send(f, 2, &rst);
	fixture_deliver_all(f);
	CU_ASSERT_TRUE(f->requests[0].cancelled);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	fixture_free(f);
}

static void test_resets_are_not_amplified(void)
{
	fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t rst = {.type = CAROB_MSG_RST};

	for (rst.mid = 0; rst.mid < 1000; rst.mid++)
		fixture_exchange(f, 0, &rst);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).relayed_out, 100 * 2);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).dropped, 900);
	fixture_run_for(f, 1000);
	fixture_exchange(f, 0, &rst);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).relayed_out, 101 * 2);
	fixture_free(f);
}

/* Late and reordered responses */

static void test_late_response(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t first = owned_request(f, CAROB_CODE_GET, 9, "first");
	carob_msg_t second = owned_request(f, CAROB_CODE_GET, 10, "second");
	carob_msg_t response;

	memcpy(second.token, first.token, sizeof(second.token));
	set_modes(f, FIXTURE_HOLD);
	first.deadline_ms = 1000;
	fixture_exchange(f, 0, &first);
	fixture_run_for(f, 1500);
	CU_ASSERT_EQUAL(fixture_last_response(f).verdict,
			CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(fixture_last_response(f).mid, 9);
	fixture_exchange(f, 0, &second);
	fixture_respond(f, 0, CAROB_CODE_CONTENT);
	fixture_deliver_all(f);
	CU_ASSERT_EQUAL(fixture_last_response(f).mid, 9);
	fixture_respond(f, 1, CAROB_CODE_CONTENT);
	fixture_deliver_all(f);
	response = fixture_last_response(f);
	CU_ASSERT_EQUAL(response.mid, 10);
	CU_ASSERT_TRUE(carob_str_eq(response.payload, CAROB_STR("second")));
	fixture_free(f);
}

static void test_reordered_responses(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t first = owned_request(f, CAROB_CODE_GET, 9, "first");
	carob_msg_t second = owned_request(f, CAROB_CODE_GET, 10, "second");
	carob_msg_t response;

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &first);
	fixture_exchange(f, 0, &second);
	fixture_respond(f, 1, CAROB_CODE_CONTENT);
	fixture_deliver_all(f);
	response = fixture_last_response(f);
	CU_ASSERT_EQUAL(response.mid, 10);
	CU_ASSERT_TRUE(carob_str_eq(response.payload, CAROB_STR("second")));
	fixture_respond(f, 0, CAROB_CODE_CONTENT);
	fixture_deliver_all(f);
	response = fixture_last_response(f);
	CU_ASSERT_EQUAL(response.mid, 9);
	CU_ASSERT_TRUE(carob_str_eq(response.payload, CAROB_STR("first")));
	fixture_free(f);
}

/* Deadlines and pauses */

static void test_expired_on_arrival(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t response;

	request.deadline_ms = 0;
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_GATEWAY_TIMEOUT);
	CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	fixture_free(f);
}

/*
 * A queued request must not run if a slot becomes free after a pause of the
 * process in which its deadline has passed.
 */
static void test_deadline_during_pause(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t response;

	fill_slots(f);
	request.deadline_ms = 1500;
	fixture_exchange(f, 0, &request);
	fixture_advance_clock(f, 5000);
	/* The response that frees a slot is read before timers fire. */
	fixture_respond(f, 0, CAROB_CODE_CONTENT);
	fixture_deliver_all(f);
	fixture_run_for(f, 100);
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_GATEWAY_TIMEOUT);
	CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	fixture_free(f);
}

/*
 * A retransmission that waited in the socket while the owner was paused must
 * still find the request's record, however long the pause was.
 */
static void test_retransmission_read_after_pause(void)
{
	static const uint64_t pause_ms[] = {1000, 247000, 260000, 3600000};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(pause_ms); i++) {
		fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request =
			owned_request(f, CAROB_CODE_POST, 9, "check");

		fixture_exchange(f, 0, &request);
		f->instances[0].paused = true;
		fixture_send(f, 0, &request);
		fixture_advance_clock(f, pause_ms[i]);
		f->instances[0].paused = false;
		/* Timers may fire before the socket is read. */
		carob_kernel_run_due(f->instances[0].kernel);
		fixture_deliver_all(f);
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
		CU_ASSERT_EQUAL(fixture_last_response(f).code,
				CAROB_CODE_CONTENT);
		fixture_free(f);
	}
}

/*
 * A request whose deadline passed while it waited in the socket of a paused
 * instance must not run.
 */
static void test_expiry_in_socket(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	request.deadline_ms = 2000;
	f->instances[0].paused = true;
	fixture_send(f, 0, &request);
	fixture_advance_clock(f, 5000);
	f->instances[0].paused = false;
	fixture_deliver_all(f);
	CU_ASSERT_EQUAL(fixture_last_response(f).code,
			CAROB_CODE_GATEWAY_TIMEOUT);
	CU_ASSERT_EQUAL(fixture_last_response(f).verdict,
			CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	/* A request that arrives later is not considered old. */
	fixture_run_for(f, 500);
	request.mid = 10;
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code,
			CAROB_CODE_CONTENT);
	fixture_free(f);
}

/*
 * While the owner of an observation is paused, its caller registers at another
 * instance. Old notifications that waited in the owner's socket must not be
 * sent to the caller after the pause.
 */
static void test_observation_moves_during_pause(void)
{
	static const bool timers_first[] = {false, true};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(timers_first); i++) {
		fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request = new_registration(f, 9);
		carob_msg_t response;
		size_t received_before;

		fixture_exchange(f, 0, &request);
		f->instances[0].paused = true;
		for (int n = 0; n < 5; n++)
			fixture_notify(f, 0, "old");
		fixture_advance_clock(f, 6000);
		fixture_set_member_state(f, 0, CAROB_MEMBER_DEAD, 1);
		request.mid = 10;
		response = fixture_exchange(f, 1, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
		CU_ASSERT_EQUAL(fixture_token_owner(f, &response), 1);
		CU_ASSERT_EQUAL(fixture_counters(f, 1).feeds_open, 1);
		CU_ASSERT_EQUAL(f->requests[1].upstream.id, UPSTREAM);
		received_before = f->received_count;
		f->instances[0].paused = false;
		if (timers_first[i])
			carob_kernel_run_due(f->instances[0].kernel);
		fixture_deliver_all(f);
		fixture_notify(f, 0, "old registration");
		fixture_deliver_all(f);
		CU_ASSERT_EQUAL(f->received_count, received_before);
		/* The old registration ends, the new one continues. */
		fixture_run_for(f, 12000);
		CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 0);
		fixture_notify(f, 1, "new");
		fixture_deliver_all(f);
		CU_ASSERT_TRUE(carob_str_eq(fixture_last_response(f).payload,
					    CAROB_STR("new")));
		fixture_free(f);
	}
}

/*
 * An observation continues if its caller registers again at the same owner
 * after a pause that no other instance detected.
 */
static void test_observation_continues_after_pause(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);

	fixture_exchange(f, 0, &request);
	f->instances[0].paused = true;
	fixture_advance_clock(f, 3000);
	f->instances[0].paused = false;
	fixture_run_for(f, 100);
	request.mid = 10;
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).mid, 10);
	CU_ASSERT_EQUAL(fixture_last_response(f).code, CAROB_CODE_CONTENT);
	fixture_notify(f, 0, "news");
	fixture_deliver_all(f);
	CU_ASSERT_TRUE(carob_str_eq(fixture_last_response(f).payload,
				    CAROB_STR("news")));
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_opened, 1);
	fixture_free(f);
}

static void test_record_expires(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	fixture_exchange(f, 0, &request);
	fixture_run_for(f, 240000);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).remembered, 1);
	fixture_run_for(f, 15000);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).remembered, 0);
	fixture_free(f);
}

static void test_deadline_while_running(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	set_modes(f, FIXTURE_HOLD);
	request.deadline_ms = 1000;
	fixture_exchange(f, 0, &request);
	fixture_run_for(f, 990);
	CU_ASSERT_EQUAL(f->received_count, 0);
	fixture_run_for(f, 100);
	CU_ASSERT_EQUAL(fixture_last_response(f).code,
			CAROB_CODE_GATEWAY_TIMEOUT);
	CU_ASSERT_EQUAL(fixture_last_response(f).verdict,
			CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_TRUE(f->requests[0].cancelled);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	fixture_free(f);
}

/* Paths */

typedef struct lost_path_case {
	uint8_t method;
	carob_verdict_t verdict;
	size_t runs;
} lost_path_case_t;

static const lost_path_case_t lost_path_cases[] = {
	{CAROB_CODE_POST, CAROB_VERDICT_UNKNOWN, 0},
	{CAROB_CODE_GET, CAROB_VERDICT_NONE, 1},
};

static void test_silent_path(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(lost_path_cases); i++) {
		const lost_path_case_t *c = &lost_path_cases[i];
		fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t first = owned_request(f, CAROB_CODE_GET, 1, "a");
		carob_msg_t request = owned_request(f, c->method, 9, "check");

		fixture_exchange(f, 0, &first);
		f->cut_path = f->requests[0].path;
		fixture_exchange(f, 0, &request);
		fixture_run_for(f, 5000);
		CU_ASSERT_EQUAL(fixture_last_response(f).verdict, c->verdict);
		CU_ASSERT_EQUAL(fixture_last_response(f).mid, 9);
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), c->runs);
		CU_ASSERT_EQUAL(f->closed_paths, 1);
		/* The flow continues at its upstream over a new path. */
		request = owned_request(f, CAROB_CODE_POST, 10, "next");
		CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code,
				CAROB_CODE_CONTENT);
		CU_ASSERT_EQUAL(f->requests[f->request_count - 1].upstream.id,
				UPSTREAM);
		fixture_free(f);
	}
}

static void test_observation_moves_to_new_path(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);
	uint32_t old_path;

	fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 1);
	old_path = f->requests[0].path;
	f->cut_path = old_path;
	fixture_run_for(f, 20000);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 1);
	CU_ASSERT_EQUAL(f->request_count, 2);
	CU_ASSERT_NOT_EQUAL(f->requests[1].path, old_path);
	CU_ASSERT_EQUAL(f->requests[1].upstream.id, UPSTREAM);
	CU_ASSERT_TRUE(fixture_last_response(f).has_observe);
	fixture_free(f);
}

static void test_silent_upstream(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	set_modes(f, FIXTURE_SILENT);
	fixture_exchange(f, 0, &request);
	fixture_run_for(f, 7000);
	CU_ASSERT_EQUAL(f->received_count, 0);
	fixture_run_for(f, 1000);
	CU_ASSERT_EQUAL(fixture_last_response(f).verdict,
			CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	fixture_free(f);
}

/* Retries */

typedef struct retry_case {
	uint8_t method;
	size_t earlier_requests; /* earlier requests, which earn retry budget */
	fixture_mode_t mode_after;
	uint8_t code;
	carob_verdict_t verdict;
	uint64_t retries;
} retry_case_t;

static const retry_case_t retry_cases[] = {
	{CAROB_CODE_GET, 20, FIXTURE_RESPOND, CAROB_CODE_CONTENT,
	 CAROB_VERDICT_NONE, 1},
	/* The first attempt may have run. */
	{CAROB_CODE_GET, 20, FIXTURE_SHED, CAROB_CODE_SERVICE_UNAVAILABLE,
	 CAROB_VERDICT_UNKNOWN, 1},
	{CAROB_CODE_GET, 0, FIXTURE_RESPOND, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN, 0},
	{CAROB_CODE_POST, 20, FIXTURE_RESPOND, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN, 0},
};

static void test_retry_after_timeout(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(retry_cases); i++) {
		const retry_case_t *c = &retry_cases[i];
		fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request =
			fixture_new_request(c->method, 9, "check");

		for (uint16_t mid = 100; mid < 100 + c->earlier_requests;
		     mid++) {
			carob_msg_t other =
				owned_request(f, CAROB_CODE_GET, mid, "other");

			fixture_exchange(f, 0, &other);
		}
		fixture_set_token(f, &request, 0, FIXTURE_SERVICE, FLOW, 0,
				  UPSTREAM);
		set_modes(f, FIXTURE_SILENT);
		fixture_exchange(f, 0, &request);
		fixture_run_for(f, 7000);
		set_modes(f, c->mode_after);
		/* The reply to a ping could prevent the request's timeout. */
		fixture_advance_clock(f, 1000);
		carob_kernel_run_due(f->instances[0].kernel);
		fixture_deliver_all(f);
		CU_ASSERT_EQUAL(fixture_last_response(f).mid, 9);
		CU_ASSERT_EQUAL(fixture_last_response(f).code, c->code);
		CU_ASSERT_EQUAL(fixture_last_response(f).verdict, c->verdict);
		CU_ASSERT_EQUAL(fixture_counters(f, 0).retries, c->retries);
		fixture_free(f);
	}
}

/* Handover */

static void hand_over_records(fixture_t *f, size_t from, size_t to)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t records = CAROB_BUF_INIT;

	CU_ASSERT_EQUAL(carob_entry_export(&records, f->instances[from].entry),
			0);
	CU_ASSERT_EQUAL(carob_entry_import(f->instances[to].entry,
					   f->instances[from].id,
					   carob_buf_view(&records)),
			0);
	fixture_set_member_state(f, from, CAROB_MEMBER_LEFT, to);
}

static void test_two_handovers(void)
{
	fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t next = owned_request(f, CAROB_CODE_POST, 10, "next");
	carob_msg_t response;

	fixture_exchange(f, 0, &request);
	fixture_set_member_state(f, 0, CAROB_MEMBER_LEAVING, 1);
	carob_entry_drain(f->instances[0].entry, f->instances[1].id);
	fixture_run_for(f, 6000);
	CU_ASSERT_TRUE(carob_entry_drained(f->instances[0].entry));
	hand_over_records(f, 0, 1);
	/* The successor has the record, whichever instance gets the request. */
	for (size_t via = 0; via < 3; via++) {
		response = fixture_exchange(f, via, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	}
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	/* It also runs new requests with a token of the predecessor. */
	response = fixture_exchange(f, 2, &next);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(fixture_token_owner(f, &response), 1);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "next"), 1);
	/* A second handover passes on the records of both predecessors. */
	fixture_set_member_state(f, 1, CAROB_MEMBER_LEAVING, 2);
	carob_entry_drain(f->instances[1].entry, f->instances[2].id);
	fixture_run_for(f, 6000);
	hand_over_records(f, 1, 2);
	CU_ASSERT_EQUAL(fixture_exchange(f, 2, &request).code,
			CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(fixture_exchange(f, 1, &next).code, CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "next"), 1);
	fixture_free(f);
}

static void test_successor_without_records(void)
{
	fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	fixture_set_member_state(f, 0, CAROB_MEMBER_LEFT, 1);
	for (size_t via = 1; via < 3; via++)
		CU_ASSERT_EQUAL(fixture_exchange(f, via, &request).verdict,
				CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	fixture_free(f);
}

static void test_no_request_accepted_after_export(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t records = CAROB_BUF_INIT;
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	carob_entry_drain(f->instances[0].entry, f->instances[1].id);
	CU_ASSERT_EQUAL(carob_entry_export(&records, f->instances[0].entry), 0);
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code, 0);
	CU_ASSERT_EQUAL(carob_entry_import(f->instances[1].entry,
					   f->instances[0].id,
					   carob_buf_view(&records)),
			0);
	fixture_set_member_state(f, 0, CAROB_MEMBER_LEFT, 1);
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code,
			CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	fixture_free(f);
}

static void test_truncated_import(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t records = CAROB_BUF_INIT;
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_str_t exported;

	fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(carob_entry_export(&records, f->instances[0].entry), 0);
	exported = carob_buf_view(&records);
	for (size_t len = 0; len < exported.len; len++)
		CU_ASSERT_NOT_EQUAL(
			carob_entry_import(f->instances[1].entry,
					   f->instances[0].id,
					   (carob_str_t){exported.ptr, len}),
			0);
	CU_ASSERT_EQUAL(fixture_counters(f, 1).remembered, 0);
	CU_ASSERT_NOT_EQUAL(carob_entry_import(f->instances[1].entry,
					       f->instances[1].id, exported),
			    0);
	fixture_free(f);
}

/* If the records do not fit, none of them is taken over, and the instance does
 * not act as the successor. */
static void test_import_without_memory(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t records = CAROB_BUF_INIT;
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t first = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t second = owned_request(f, CAROB_CODE_POST, 10, "next");

	fixture_exchange(f, 0, &first);
	fixture_exchange(f, 0, &second);
	CU_ASSERT_EQUAL(carob_entry_export(&records, f->instances[0].entry), 0);
	/* There is room for one record. */
	f->instances[1].entry->record_store.bytes_max = 1;
	CU_ASSERT_EQUAL(carob_entry_import(f->instances[1].entry,
					   f->instances[0].id,
					   carob_buf_view(&records)),
			CAROB_ENOMEM);
	CU_ASSERT_EQUAL(fixture_counters(f, 1).remembered, 0);
	fixture_set_member_state(f, 0, CAROB_MEMBER_LEFT, 1);
	CU_ASSERT_EQUAL(fixture_exchange(f, 1, &first).verdict,
			CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	fixture_free(f);
}

static void test_drain_moves_observations(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);
	carob_msg_t notification;

	fixture_exchange(f, 0, &request);
	fixture_set_member_state(f, 0, CAROB_MEMBER_LEAVING, 1);
	carob_entry_drain(f->instances[0].entry, f->instances[1].id);
	CU_ASSERT_FALSE(carob_entry_drained(f->instances[0].entry));
	fixture_run_for(f, 5200);
	notification = fixture_last_response(f);
	CU_ASSERT_EQUAL(notification.code, CAROB_CODE_VALID);
	CU_ASSERT_EQUAL(notification.max_age_s, 1);
	CU_ASSERT_TRUE(notification.has_observe);
	CU_ASSERT_EQUAL(fixture_token_owner(f, &notification), 1);
	request.mid = 10;
	fixture_copy_echo(&request, &notification);
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code,
			CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(fixture_counters(f, 1).feeds_open, 1);
	fixture_run_for(f, 4000);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 0);
	CU_ASSERT_TRUE(carob_entry_drained(f->instances[0].entry));
	CU_ASSERT_EQUAL(fixture_counters(f, 1).feeds_open, 1);
	fixture_free(f);
}

static void test_drain_with_requests(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t response;

	set_modes(f, FIXTURE_HOLD);
	fixture_exchange(f, 0, &request);
	fixture_set_member_state(f, 0, CAROB_MEMBER_LEAVING, 1);
	carob_entry_drain(f->instances[0].entry, f->instances[1].id);
	fixture_run_for(f, 6000);
	CU_ASSERT_FALSE(carob_entry_drained(f->instances[0].entry));
	fixture_respond(f, 0, CAROB_CODE_CHANGED);
	fixture_deliver_all(f);
	response = fixture_last_response(f);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_CHANGED);
	CU_ASSERT_EQUAL(fixture_token_owner(f, &response), 1);
	CU_ASSERT_TRUE(carob_entry_drained(f->instances[0].entry));
	fixture_free(f);
}

/* Requests redirected by another instance */

static void relay_redirected(fixture_t *f, const carob_msg_t *request,
			     size_t to, uint32_t incarnation)
{
	carob_relay_t relay = {
		.kind = CAROB_RELAY_OVERFLOW,
		.service_id = FIXTURE_SERVICE,
		.from = f->instances[0].id,
		.to = {f->instances[to].id.id, incarnation},
		.caller = {{10, 0, 0, 1}, 4000, 4},
		.msg = *request,
	};

	carob_entry_on_relay(f->instances[to].entry, &relay);
	fixture_deliver_all(f);
}

static void test_redirected_request_runs_once(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	for (int i = 0; i < 3; i++) {
		relay_redirected(f, &request, 1, 7);
		CU_ASSERT_EQUAL(fixture_last_response(f).code,
				CAROB_CODE_CONTENT);
	}
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	fixture_free(f);
}

/*
 * A request redirected to an instance that was restarted meanwhile must not
 * run, since the earlier run of the instance may have run it.
 */
static void test_redirect_to_earlier_incarnation(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");

	relay_redirected(f, &request, 1, 6);
	CU_ASSERT_EQUAL(fixture_last_response(f).verdict,
			CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	fixture_free(f);
}

typedef struct redirect_case {
	uint8_t method;
	bool feed;
	uint8_t code; /* expected for a copy of the request */
	carob_verdict_t verdict;
} redirect_case_t;

static const redirect_case_t redirect_cases[] = {
	{CAROB_CODE_POST, false, CAROB_CODE_GATEWAY_TIMEOUT,
	 CAROB_VERDICT_UNKNOWN},
	{CAROB_CODE_GET, false, CAROB_CODE_UNAUTHORIZED, CAROB_VERDICT_NONE},
	{CAROB_CODE_GET, true, CAROB_CODE_CONTENT, CAROB_VERDICT_NONE},
};

/* A copy of a request arrives that was redirected to an instance now dead. */
static void test_redirect_to_dead_instance(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(redirect_cases); i++) {
		const redirect_case_t *c = &redirect_cases[i];
		fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request = owned_request(f, c->method, 9, "check");
		carob_exchange_key_t key;
		carob_record_t *record;
		carob_msg_t response;

		request.has_observe = c->feed;
		carob_exchange_key_init(&key, FLOW, &request);
		record = carob_record_new(f->instances[0].entry, &key,
					  carob_msg_is_idempotent(&request));
		record->state = CAROB_RECORD_REDIRECTED;
		record->redirected_to = f->instances[1].id;
		fixture_kill(f, 1, true);
		response = fixture_exchange(f, 0, &request);
		CU_ASSERT_EQUAL(response.code, c->code);
		CU_ASSERT_EQUAL(response.verdict, c->verdict);
		CU_ASSERT_EQUAL(f->request_count, c->feed);
		fixture_free(f);
	}
}

/* Observations */

static void test_observe_values_increase(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);
	uint32_t last;

	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code,
			CAROB_CODE_CONTENT);
	last = fixture_last_response(f).observe;
	for (uint16_t mid = 10; mid < 20; mid++) {
		request.mid = mid;
		CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).mid, mid);
		CU_ASSERT_TRUE(fixture_last_response(f).observe > last);
		last = fixture_last_response(f).observe;
	}
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 1);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_opened, 1);
	fixture_free(f);
}

static void test_unrefreshed_observation_ends(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);

	fixture_exchange(f, 0, &request);
	fixture_run_for(f, 14 * 60 * 1000);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 1);
	fixture_run_for(f, 70 * 1000);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 0);
	CU_ASSERT_EQUAL(fixture_last_response(f).code,
			CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(fixture_last_response(f).max_age_s, 0);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	fixture_free(f);
}

/*
 * After a long pause the caller may have registered at another instance, so
 * the observation ends without a notification to the caller.
 */
static void test_observation_ends_after_long_pause(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);
	size_t received_before;

	fixture_exchange(f, 0, &request);
	received_before = f->received_count;
	fixture_advance_clock(f, 3 * 60 * 1000);
	fixture_run_for(f, 10);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 0);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_ended, 1);
	CU_ASSERT_EQUAL(f->received_count, received_before);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	/* Packets read just after a pause count as old and are refused. */
	fixture_run_for(f, 300);
	request.mid = 10;
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code,
			CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 1);
	fixture_free(f);
}

/*
 * The refusal of a registration has no verdict, since another instance may
 * have taken over the observation.
 */
static void test_refused_registration(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);
	carob_msg_t response;

	set_modes(f, FIXTURE_SHED);
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_NONE);
	CU_ASSERT_EQUAL(response.max_age_s, 3);
	fixture_free(f);
}

static void test_observation_cancelled(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);
	carob_msg_t cancel = new_cancel(&request, 10);

	fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(slots_in_use(f), 1);
	CU_ASSERT_EQUAL(fixture_exchange(f, 1, &cancel).code,
			CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_ended, 1);
	fixture_free(f);
}

/* Manifest */

static void test_upstream_moves_to_another_service(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t later_request =
		owned_request(f, CAROB_CODE_POST, 10, "late");
	carob_msg_t response = fixture_exchange(f, 0, &request);

	CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	fixture_move_upstream(f, 0);
	/* The record of the earlier request is still there. */
	CU_ASSERT_EQUAL(fixture_exchange(f, 1, &request).code,
			CAROB_CODE_CONTENT);
	/* Instance 1 has the old manifest, but the owner's manifest decides. */
	response = fixture_exchange(f, 1, &later_request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_UNAUTHORIZED);
	CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "late"), 0);
	later_request.mid = 11;
	fixture_copy_echo(&later_request, &response);
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &later_request).code,
			CAROB_CODE_CONTENT);
	CU_ASSERT_NOT_EQUAL(f->requests[f->request_count - 1].upstream.id,
			    UPSTREAM);
	fixture_free(f);
}

static void test_upstream_of_observation_removed(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_registration(f, 9);
	carob_msg_t response;

	fixture_exchange(f, 0, &request);
	fixture_move_upstream(f, 0);
	request.mid = 10;
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(response.max_age_s, 0);
	request.mid = 11;
	fixture_copy_echo(&request, &response);
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	CU_ASSERT_TRUE(response.has_observe);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).feeds_open, 1);
	fixture_free(f);
}

/* Limit on the size of request records */

#define REQUESTS_OVER_LIMIT 1000

static void test_record_limit(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t first = owned_request(f, CAROB_CODE_POST, 1, "check");
	carob_msg_t response = fixture_exchange(f, 0, &first);

	CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	for (uint16_t mid = 2; mid < REQUESTS_OVER_LIMIT; mid++) {
		carob_msg_t request =
			owned_request(f, CAROB_CODE_POST, mid, "other");

		request.token[1] = (uint8_t)(mid >> 8);
		response = fixture_exchange(f, 0, &request);
		if (response.code != CAROB_CODE_CONTENT)
			break;
	}
	/*
	 * A request is refused if no record of it can be kept. The verdict is
	 * not "not run", since a copy may run when there is room again.
	 */
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "other") + 1, f->request_count);
	/* The first record has no response now, but shows that it ran. */
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &first).verdict,
			CAROB_VERDICT_UNKNOWN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	fixture_free(f);
}

static void test_idempotent_records_are_evicted_first(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t check = owned_request(f, CAROB_CODE_POST, 1, "check");
	carob_msg_t response;

	fixture_exchange(f, 0, &check);
	for (uint16_t mid = 2; mid < REQUESTS_OVER_LIMIT; mid++) {
		carob_msg_t request =
			owned_request(f, CAROB_CODE_GET, mid, "other");

		response = fixture_exchange(f, 0, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	}
	CU_ASSERT_TRUE(fixture_counters(f, 0).remembered < REQUESTS_OVER_LIMIT);
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &check).code,
			CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	/* A refused copy of a request without record may have run before. */
	set_modes(f, FIXTURE_SHED);
	check = owned_request(f, CAROB_CODE_GET, 2, "other");
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &check).verdict,
			CAROB_VERDICT_UNKNOWN);
	fixture_free(f);
}

static void test_cancel_crosses_refusal(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = owned_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t cancel = new_cancel(&request, 10);

	fixture_send(f, 0, &request);
	fixture_deliver(f, 0);
	fixture_send(f, 0, &cancel);
	fixture_deliver(f, 1);
	/* The request and then its refusal arrive before the cancel. */
	set_modes(f, FIXTURE_SHED);
	fixture_deliver_all(f);
	CU_ASSERT_EQUAL(fixture_last_response(f).code,
			CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(fixture_last_response(f).verdict,
			CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	CU_ASSERT_EQUAL(slots_in_use(f), 0);
	fixture_free(f);
}

static const test_case_t cases[] = {
	{"owner dies in each phase of a request", test_owner_dies},
	{"idempotent request is repeated after its owner died",
	 test_idempotent_request_is_repeated},
	{"owner is dead but not known to be", test_death_not_known},
	{"cancel before its request", test_cancel_before_request},
	{"queued request is cancelled", test_cancel_while_queued},
	{"running request is cancelled", test_cancel_while_running},
	{"Reset relayed by another instance", test_relayed_reset},
	{"relays of Resets are limited", test_resets_are_not_amplified},
	{"late response after token reuse", test_late_response},
	{"responses in reverse order", test_reordered_responses},
	{"request is expired on arrival", test_expired_on_arrival},
	{"deadline passes during a pause", test_deadline_during_pause},
	{"retransmission is read after a long pause",
	 test_retransmission_read_after_pause},
	{"request expires in the socket", test_expiry_in_socket},
	{"observation moves while its owner is paused",
	 test_observation_moves_during_pause},
	{"observation continues after a short pause",
	 test_observation_continues_after_pause},
	{"record expires", test_record_expires},
	{"deadline of a running request", test_deadline_while_running},
	{"path loses all packets", test_silent_path},
	{"observation moves from a silent path to a new one",
	 test_observation_moves_to_new_path},
	{"upstream sends nothing", test_silent_upstream},
	{"retry after a timeout", test_retry_after_timeout},
	{"two handovers in a row", test_two_handovers},
	{"successor without records", test_successor_without_records},
	{"no request is accepted after the export",
	 test_no_request_accepted_after_export},
	{"truncated records are not imported", test_truncated_import},
	{"records that do not fit are not imported",
	 test_import_without_memory},
	{"drain moves observations", test_drain_moves_observations},
	{"drain completes requests", test_drain_with_requests},
	{"redirected request runs once", test_redirected_request_runs_once},
	{"request was redirected to an earlier incarnation",
	 test_redirect_to_earlier_incarnation},
	{"request was redirected to an instance that died",
	 test_redirect_to_dead_instance},
	{"Observe values increase", test_observe_values_increase},
	{"observation not refreshed", test_unrefreshed_observation_ends},
	{"observation ends after a long pause",
	 test_observation_ends_after_long_pause},
	{"refusal of a registration", test_refused_registration},
	{"observation is cancelled", test_observation_cancelled},
	{"upstream moves to another service",
	 test_upstream_moves_to_another_service},
	{"upstream of an observation is removed",
	 test_upstream_of_observation_removed},
	{"limit on records is reached", test_record_limit},
	{"records of idempotent requests are evicted first",
	 test_idempotent_records_are_evicted_first},
	{"cancel crosses a refusal", test_cancel_crosses_refusal},
};

int main(void)
{
	return run_tests("entry failures", cases, CAROB_ARRAY_SIZE(cases));
}
