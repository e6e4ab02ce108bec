#include "test_runner.h"

#include "core/entry_fixture.h"

#include <string.h>

/* @return a request with a token for a new flow */
static carob_msg_t new_flow_request(fixture_t *f, uint8_t code, uint16_t mid,
				    const char *payload)
{
	carob_msg_t challenge = fixture_request_challenge(f, 0);
	carob_msg_t request = fixture_new_request(code, mid, payload);

	CU_ASSERT_EQUAL(challenge.code, CAROB_CODE_UNAUTHORIZED);
	fixture_copy_echo(&request, &challenge);
	return request;
}

static void set_modes(fixture_t *f, fixture_mode_t mode)
{
	for (size_t i = 0; i < FIXTURE_UPSTREAMS_MAX; i++)
		f->mode[i] = mode;
}

static void test_flow_starts_with_a_challenge(void)
{
	static const uint8_t codes[] = {CAROB_CODE_GET, CAROB_CODE_POST,
					CAROB_CODE_PUT, CAROB_CODE_PATCH};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(codes); i++) {
		fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request = fixture_new_request(codes[i], 5, "check");
		carob_msg_t response = fixture_exchange(f, 1, &request);

		CU_ASSERT_EQUAL(response.code, CAROB_CODE_UNAUTHORIZED);
		CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_NOT_RUN);
		CU_ASSERT_EQUAL(response.type, CAROB_MSG_ACK);
		CU_ASSERT_EQUAL(response.mid, 5);
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
		CU_ASSERT_EQUAL(fixture_counters(f, 1).remembered, 0);
		fixture_copy_echo(&request, &response);
		request.mid = 6;
		response = fixture_exchange(f, 0, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
		CU_ASSERT_EQUAL(response.mid, 6);
		CU_ASSERT_EQUAL(response.echo_len, CAROB_TOKEN_SEALED_BYTES);
		CU_ASSERT_EQUAL(memcmp(response.token, request.token, 2), 0);
		CU_ASSERT_TRUE(
			carob_str_eq(response.payload, CAROB_STR("check")));
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
		fixture_free(f);
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
		fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
		carob_msg_t request = fixture_new_request(c->code, 5, "check");
		carob_msg_t response;

		fixture_set_token(f, &request, 0, c->service_id, 77, 0, 101);
		if (c->changed_byte < 40)
			request.echo[c->changed_byte] ^= 1;
		response = fixture_exchange(f, 0, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_UNAUTHORIZED);
		CU_ASSERT_EQUAL(response.verdict, c->verdict);
		CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
		CU_ASSERT_EQUAL(fixture_counters(f, 0).tokens_refused, 1);
		fixture_free(f);
	}
}

static void test_small_packets_get_no_challenge(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t small = {.type = CAROB_MSG_CON, .code = CAROB_CODE_GET};

	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &small).code, 0);
	CU_ASSERT_EQUAL(fixture_counters(f, 0).dropped, 1);
	fixture_free(f);
}

static void test_copies_to_all_instances_run_once(void)
{
	fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t response = {0};

	for (size_t i = 0; i < 6; i++) {
		response = fixture_exchange(f, i % 3, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
		CU_ASSERT_EQUAL(response.mid, 9);
	}
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	CU_ASSERT_EQUAL(fixture_counters(f, fixture_token_owner(f, &response))
				.duplicates,
			5);
	fixture_free(f);
}

static void test_established_flow_keeps_upstream(void)
{
	fixture_t *f = fixture_new(3, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t response = fixture_exchange(f, 0, &request);

	for (uint16_t mid = 10; mid < 30; mid++) {
		request = fixture_new_request(CAROB_CODE_POST, mid, "again");
		fixture_copy_echo(&request, &response);
		response = fixture_exchange(f, mid % 3, &request);
		CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	}
	for (size_t i = 1; i < f->request_count; i++)
		CU_ASSERT_EQUAL(f->requests[i].upstream.id,
				f->requests[0].upstream.id);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "again"), 20);
	fixture_free(f);
}

static void test_duplicate_of_running_request(void)
{
	fixture_t *f = fixture_new(2, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(f, CAROB_CODE_POST, 9, "check");

	set_modes(f, FIXTURE_HOLD);
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code, 0);
	CU_ASSERT_EQUAL(fixture_exchange(f, 1, &request).code, 0);
	fixture_respond(f, 0, CAROB_CODE_CHANGED);
	fixture_deliver_all(f);
	CU_ASSERT_EQUAL(fixture_last_response(f).code, CAROB_CODE_CHANGED);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 1);
	fixture_free(f);
}

static void test_latency_from_arrival_to_response(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(f, CAROB_CODE_POST, 9, "check");
	const carob_histogram_t *latency;

	set_modes(f, FIXTURE_HOLD);
	CU_ASSERT_EQUAL(fixture_exchange(f, 0, &request).code, 0);
	fixture_run_for(f, 70);
	fixture_respond(f, 0, CAROB_CODE_CHANGED);
	fixture_deliver_all(f);
	latency = carob_entry_latency(f->instances[0].entry);
	CU_ASSERT_EQUAL(latency->count, 1);
	CU_ASSERT_EQUAL(latency->max, 70 * CAROB_NS_PER_MS);
	fixture_free(f);
}

static void test_no_echo_to_upstream(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t received;

	fixture_advance_clock(f, 500);
	fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(carob_msg_unpack(&received, f->requests[0].msg->bytes,
					 f->requests[0].msg->len),
			0);
	CU_ASSERT_EQUAL(received.echo_len, 0);
	CU_ASSERT_EQUAL(received.token_len, 8);
	CU_ASSERT_TRUE(received.has_deadline);
	CU_ASSERT_EQUAL(received.deadline_ms, 20000);
	CU_ASSERT_EQUAL(received.other_count, 1);
	fixture_free(f);
}

static void test_shed_is_answered_not_run(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t request = new_flow_request(f, CAROB_CODE_POST, 9, "check");
	carob_msg_t response;

	set_modes(f, FIXTURE_SHED);
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(response.verdict, CAROB_VERDICT_NOT_RUN);
	CU_ASSERT_EQUAL(response.max_age_s, 3);
	/* A request that was answered with "not run" is never run. */
	set_modes(f, FIXTURE_RESPOND);
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_SERVICE_UNAVAILABLE);
	CU_ASSERT_EQUAL(fixture_count_runs(f, "check"), 0);
	request.mid++;
	response = fixture_exchange(f, 0, &request);
	CU_ASSERT_EQUAL(response.code, CAROB_CODE_CONTENT);
	fixture_free(f);
}

static void test_ping_is_answered(void)
{
	fixture_t *f = fixture_new(1, CAROB_ENTRY_MUTATION_NONE);
	carob_msg_t ping = {.type = CAROB_MSG_CON, .mid = 3};
	carob_msg_t response = fixture_exchange(f, 0, &ping);

	CU_ASSERT_EQUAL(response.type, CAROB_MSG_RST);
	CU_ASSERT_EQUAL(response.mid, 3);
	fixture_free(f);
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
		 test_established_flow_keeps_upstream},
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
