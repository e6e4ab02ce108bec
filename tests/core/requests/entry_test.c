#include "test_runner.h"

#include "core/entry_world.h"

#include <string.h>

/* @return a request with a token for a new flow */
static carob_msg_t new_flow_request(world_t *w, uint8_t code, uint16_t mid,
				    const char *payload)
{
	carob_msg_t challenge = world_challenge(w, 0);
	carob_msg_t request = world_request(code, mid, payload);

	CU_ASSERT_EQUAL(challenge.code, CAROB_CODE_UNAUTHORIZED);
	world_use_echo(&request, &challenge);
	return request;
}

static void set_modes(world_t *w, world_mode_t mode)
{
	for (size_t i = 0; i < WORLD_UPSTREAMS_MAX; i++)
		w->mode[i] = mode;
}

static void test_flow_starts_with_a_challenge(void)
{
	static const uint8_t codes[] = {CAROB_CODE_GET, CAROB_CODE_POST,
					CAROB_CODE_PUT, CAROB_CODE_PATCH};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(codes); i++) {
		world_t *w = world_new(2, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request = world_request(codes[i], 5, "check");
		carob_msg_t answer = world_ask(w, 1, &request);

		CU_ASSERT_EQUAL(answer.code, CAROB_CODE_UNAUTHORIZED);
		CU_ASSERT_EQUAL(answer.verdict, CAROB_VERDICT_NOT_RUN);
		CU_ASSERT_EQUAL(answer.type, CAROB_MSG_ACK);
		CU_ASSERT_EQUAL(answer.mid, 5);
		CU_ASSERT_EQUAL(world_runs(w, "check"), 0);
		CU_ASSERT_EQUAL(world_counters(w, 1).remembered, 0);
		world_use_echo(&request, &answer);
		request.mid = 6;
		answer = world_ask(w, 0, &request);
		CU_ASSERT_EQUAL(answer.code, CAROB_CODE_CONTENT);
		CU_ASSERT_EQUAL(answer.mid, 6);
		CU_ASSERT_EQUAL(answer.echo_len, CAROB_TOKEN_SEALED_BYTES);
		CU_ASSERT_EQUAL(memcmp(answer.token, request.token, 2), 0);
		CU_ASSERT_TRUE(
			carob_str_eq(answer.payload, CAROB_STR("check")));
		CU_ASSERT_EQUAL(world_runs(w, "check"), 1);
		world_free(w);
	}
}

typedef struct echo_case {
	const char *name;
	size_t changed_byte; /* index of the Echo byte to change; 40: none */
	uint32_t service_id;
	uint8_t code;
	carob_verdict_t verdict;
} echo_case_t;

static const echo_case_t echo_cases[] = {
	{"changed cipher text", 39, 1, CAROB_CODE_POST, CAROB_VERDICT_NOT_RUN},
	{"key of another epoch", 0, 1, CAROB_CODE_POST, CAROB_VERDICT_UNKNOWN},
	{"key of another epoch", 0, 1, CAROB_CODE_GET, CAROB_VERDICT_UNKNOWN},
	{"another service", 40, 2, CAROB_CODE_POST, CAROB_VERDICT_UNKNOWN},
};

static void test_refused_echo(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(echo_cases); i++) {
		const echo_case_t *c = &echo_cases[i];
		world_t *w = world_new(2, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request = world_request(c->code, 5, "check");
		carob_msg_t answer;

		world_seal(w, &request, 0, c->service_id, 77, 0, 101);
		if (c->changed_byte < 40)
			request.echo[c->changed_byte] ^= 1;
		answer = world_ask(w, 0, &request);
		CU_ASSERT_EQUAL(answer.code, CAROB_CODE_UNAUTHORIZED);
		CU_ASSERT_EQUAL(answer.verdict, c->verdict);
		CU_ASSERT_EQUAL(world_runs(w, "check"), 0);
		CU_ASSERT_EQUAL(world_counters(w, 0).tokens_refused, 1);
		world_free(w);
	}
}

static void test_small_packets_get_no_challenge(void)
{
	world_t *w = world_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t small = {.type = CAROB_MSG_CON, .code = CAROB_CODE_GET};

	CU_ASSERT_EQUAL(world_ask(w, 0, &small).code, 0);
	CU_ASSERT_EQUAL(world_counters(w, 0).dropped, 1);
	world_free(w);
}

static void test_copies_to_all_instances_run_once(void)
{
	world_t *w = world_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(w, CAROB_CODE_POST, 9, "check");
	carob_msg_t answer = {0};

	for (size_t i = 0; i < 6; i++) {
		answer = world_ask(w, i % 3, &request);
		CU_ASSERT_EQUAL(answer.code, CAROB_CODE_CONTENT);
		CU_ASSERT_EQUAL(answer.mid, 9);
	}
	CU_ASSERT_EQUAL(world_runs(w, "check"), 1);
	CU_ASSERT_EQUAL(world_counters(w, world_owner(w, &answer)).duplicates,
			5);
	world_free(w);
}

static void test_established_flow_stays(void)
{
	world_t *w = world_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(w, CAROB_CODE_POST, 9, "check");
	carob_msg_t answer = world_ask(w, 0, &request);

	for (uint16_t mid = 10; mid < 30; mid++) {
		request = world_request(CAROB_CODE_POST, mid, "again");
		world_use_echo(&request, &answer);
		answer = world_ask(w, mid % 3, &request);
		CU_ASSERT_EQUAL(answer.code, CAROB_CODE_CONTENT);
	}
	for (size_t i = 1; i < w->request_count; i++)
		CU_ASSERT_EQUAL(w->requests[i].upstream.id,
				w->requests[0].upstream.id);
	CU_ASSERT_EQUAL(world_runs(w, "again"), 20);
	world_free(w);
}

static void test_duplicate_of_running_request(void)
{
	world_t *w = world_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(w, CAROB_CODE_POST, 9, "check");

	set_modes(w, WORLD_HOLD);
	CU_ASSERT_EQUAL(world_ask(w, 0, &request).code, 0);
	CU_ASSERT_EQUAL(world_ask(w, 1, &request).code, 0);
	world_answer(w, 0, CAROB_CODE_CHANGED);
	world_run(w);
	CU_ASSERT_EQUAL(world_last(w).code, CAROB_CODE_CHANGED);
	CU_ASSERT_EQUAL(world_runs(w, "check"), 1);
	world_free(w);
}

static void test_latency_from_arrival_to_response(void)
{
	world_t *w = world_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(w, CAROB_CODE_POST, 9, "check");
	const carob_histogram_t *latency;

	set_modes(w, WORLD_HOLD);
	CU_ASSERT_EQUAL(world_ask(w, 0, &request).code, 0);
	world_pass(w, 70);
	world_answer(w, 0, CAROB_CODE_CHANGED);
	world_run(w);
	latency = carob_entry_latency(w->instances[0].entry);
	CU_ASSERT_EQUAL(latency->count, 1);
	CU_ASSERT_EQUAL(latency->max, 70 * CAROB_NS_PER_MS);
	world_free(w);
}

static void test_no_echo_to_upstream(void)
{
	world_t *w = world_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(w, CAROB_CODE_POST, 9, "check");
	carob_msg_t received;

	world_skip(w, 500);
	world_ask(w, 0, &request);
	CU_ASSERT_EQUAL(carob_msg_unpack(&received, w->requests[0].msg->bytes,
					 w->requests[0].msg->len),
			0);
	CU_ASSERT_EQUAL(received.echo_len, 0);
	CU_ASSERT_EQUAL(received.token_len, 8);
	CU_ASSERT_TRUE(received.has_deadline);
	CU_ASSERT_EQUAL(received.deadline_ms, 20000);
	CU_ASSERT_EQUAL(received.other_count, 1);
	world_free(w);
}

static void test_shed_is_answered_not_run(void)
{
	world_t *w = world_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(w, CAROB_CODE_POST, 9, "check");
	carob_msg_t answer;

	set_modes(w, WORLD_SHED);
	answer = world_ask(w, 0, &request);
	CU_ASSERT_EQUAL(answer.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(answer.verdict, CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(answer.max_age_s, 3);
	/* A request that was answered with "not run" is never run. */
	set_modes(w, WORLD_ANSWER);
	answer = world_ask(w, 0, &request);
	CU_ASSERT_EQUAL(answer.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(world_runs(w, "check"), 0);
	request.mid++;
	answer = world_ask(w, 0, &request);
	CU_ASSERT_EQUAL(answer.code, CAROB_CODE_CONTENT);
	world_free(w);
}

static void test_ping_is_answered(void)
{
	world_t *w = world_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t ping = {.type = CAROB_MSG_CON, .mid = 3};
	carob_msg_t answer = world_ask(w, 0, &ping);

	CU_ASSERT_EQUAL(answer.type, CAROB_MSG_RST);
	CU_ASSERT_EQUAL(answer.mid, 3);
	world_free(w);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a flow starts with a challenge",
		 test_flow_starts_with_a_challenge},
		{"a request with a refused Echo does not run",
		 test_refused_echo},
		{"small packets are not amplified",
		 test_small_packets_get_no_challenge},
		{"a request runs once, whichever instances receive its copies",
		 test_copies_to_all_instances_run_once},
		{"an established flow stays on its upstream",
		 test_established_flow_stays},
		{"a duplicate of a running request is not run",
		 test_duplicate_of_running_request},
		{"latency is measured from arrival to response",
		 test_latency_from_arrival_to_response},
		{"the request to the upstream has no Echo option",
		 test_no_echo_to_upstream},
		{"a request shed by the upstream is answered with \"not run\"",
		 test_shed_is_answered_not_run},
		{"a CoAP ping is answered with a Reset", test_ping_is_answered},
	};

	return run_tests("entry", cases, CAROB_ARRAY_SIZE(cases));
}
