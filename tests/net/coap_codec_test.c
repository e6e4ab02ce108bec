#include "test_runner.h"

#include "carobtrail/errors.h"
#include "net/coap_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATAGRAM_BYTES 2048

static carob_msg_t full_message(void)
{
	carob_msg_t msg = {
		.type = CAROB_MSG_CON,
		.code = CAROB_CODE_GET,
		.mid = 0xbeef,
		.token_len = 8,
		.token = {1, 2, 3, 4, 5, 6, 7, 8},
		.echo_len = CAROB_MSG_ECHO_MAX,
		.has_observe = true,
		.observe = 0xabcdef,
		.has_max_age = true,
		.max_age_s = 90000,
		.has_deadline = true,
		.deadline_ms = 1500,
		.has_trace = true,
		.trace = {{9, 8, 7}, {6, 5}, 1},
		.verdict = CAROB_VERDICT_UNKNOWN,
		.other_count = 3,
		.other = {{11, CAROB_STR("checks")},
			  {23, CAROB_STR("\x16")},
			  {60000, CAROB_STR("")}},
		.payload = CAROB_STR("payload"),
	};

	memset(msg.echo, 0x5a, sizeof(msg.echo));
	return msg;
}

static void assert_same(const carob_msg_t *a, const carob_msg_t *b)
{
	CU_ASSERT_EQUAL(a->type, b->type);
	CU_ASSERT_EQUAL(a->code, b->code);
	CU_ASSERT_EQUAL(a->mid, b->mid);
	CU_ASSERT_EQUAL_FATAL(a->token_len, b->token_len);
	CU_ASSERT_EQUAL(memcmp(a->token, b->token, a->token_len), 0);
	CU_ASSERT_EQUAL_FATAL(a->echo_len, b->echo_len);
	CU_ASSERT_EQUAL(memcmp(a->echo, b->echo, a->echo_len), 0);
	CU_ASSERT_EQUAL(a->has_observe, b->has_observe);
	CU_ASSERT_EQUAL(a->observe, b->observe);
	CU_ASSERT_EQUAL(a->has_max_age, b->has_max_age);
	CU_ASSERT_EQUAL(a->max_age_s, b->max_age_s);
	CU_ASSERT_EQUAL(a->has_deadline, b->has_deadline);
	CU_ASSERT_EQUAL(a->deadline_ms, b->deadline_ms);
	CU_ASSERT_EQUAL(a->has_trace, b->has_trace);
	CU_ASSERT_EQUAL(memcmp(&a->trace, &b->trace, sizeof(a->trace)), 0);
	CU_ASSERT_EQUAL(a->verdict, b->verdict);
	CU_ASSERT_EQUAL_FATAL(a->other_count, b->other_count);
	for (size_t i = 0; i < a->other_count; i++) {
		CU_ASSERT_EQUAL(a->other[i].number, b->other[i].number);
		CU_ASSERT_TRUE(
			carob_str_eq(a->other[i].value, b->other[i].value));
	}
	CU_ASSERT_TRUE(carob_str_eq(a->payload, b->payload));
}

static void test_round_trip(void)
{
	carob_msg_t messages[] = {
		full_message(),
		{.type = CAROB_MSG_ACK, .mid = 7},
		{.type = CAROB_MSG_RST, .mid = 8},
		{.type = CAROB_MSG_NON,
		 .code = CAROB_CODE_CONTENT,
		 .has_observe = true,
		 .payload = CAROB_STR("x")},
		{.type = CAROB_MSG_CON,
		 .code = CAROB_CODE_POST,
		 .has_deadline = true,
		 .other_count = 1,
		 .other = {{11, CAROB_STR("a")}}},
	};
	uint8_t data[CAROB_MSG_BYTES_MAX];

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(messages); i++) {
		carob_msg_t decoded;
		uint8_t refusal;
		size_t len;

		CU_ASSERT_EQUAL_FATAL(carob_coap_encode(data, &len,
							sizeof(data),
							&messages[i]),
				      0);
		CU_ASSERT_EQUAL_FATAL(
			carob_coap_decode(&decoded, &refusal, data, len), 0);
		assert_same(&messages[i], &decoded);
	}
}

static void test_views_borrow_from_the_datagram(void)
{
	carob_msg_t msg = full_message();
	uint8_t data[CAROB_MSG_BYTES_MAX];
	carob_msg_t decoded;
	uint8_t refusal;
	size_t len;

	CU_ASSERT_EQUAL_FATAL(carob_coap_encode(data, &len, sizeof(data), &msg),
			      0);
	CU_ASSERT_EQUAL_FATAL(carob_coap_decode(&decoded, &refusal, data, len),
			      0);
	for (size_t i = 0; i < decoded.other_count; i++) {
		const char *ptr = decoded.other[i].value.ptr;

		CU_ASSERT_TRUE(ptr > (const char *)data);
		CU_ASSERT_TRUE(ptr <= (const char *)data + len);
	}
	CU_ASSERT_PTR_EQUAL(decoded.payload.ptr, data + len - msg.payload.len);
}

typedef struct invalid_case {
	const char *name;
	carob_str_t data;
	int error;
	uint8_t refusal;
} invalid_case_t;

#define INVALID(name, literal, error, refusal)                                 \
	{                                                                      \
		name, {literal, sizeof(literal) - 1}, error, refusal           \
	}

static const invalid_case_t invalid_cases[] = {
	INVALID("empty datagram", "", CAROB_EFORMAT, 0),
	INVALID("short header", "\x40\x01\x00", CAROB_EFORMAT, 0),
	INVALID("version 0", "\x00\x01\x00\x01", CAROB_EFORMAT, 0),
	INVALID("version 2", "\x80\x01\x00\x01", CAROB_EFORMAT, 0),
	INVALID("token of 9",
		"\x49\x01\x00\x01"
		"123456789",
		CAROB_EFORMAT, 0),
	INVALID("extended token",
		"\x4d\x01\x00\x01\x00"
		"1234567890123",
		CAROB_EFORMAT, 0),
	INVALID("truncated token",
		"\x44\x01\x00\x01"
		"12",
		CAROB_EFORMAT, 0),
	INVALID("empty with token",
		"\x41\x00\x00\x01"
		"1",
		CAROB_EFORMAT, 0),
	INVALID("empty with payload",
		"\x40\x00\x00\x01\xff"
		"1",
		CAROB_EFORMAT, 0),
	INVALID("marker without payload", "\x40\x01\x00\x01\xff", CAROB_EFORMAT,
		0),
	INVALID("truncated option",
		"\x40\x01\x00\x01\xb5"
		"ab",
		CAROB_EFORMAT, 0),
	INVALID("reserved option length",
		"\x40\x01\x00\x01\xbf"
		"ab",
		CAROB_EFORMAT, 0),
	INVALID("reserved option delta",
		"\x40\x01\x00\x01\xf1"
		"ab",
		CAROB_EFORMAT, 0),
	INVALID("option number above 65535",
		"\x40\x01\x00\x01\xe0\xff\x00\xe0\xff\x00", CAROB_EFORMAT, 0),
	INVALID("unknown critical option", "\x40\x01\x00\x01\xd0\x06",
		CAROB_EINVALID, CAROB_CODE_BAD_OPTION),
	INVALID("unknown critical option in a response",
		"\x60\x45\x00\x01\xd0\x06", CAROB_EINVALID, 0),
	INVALID("proxy option",
		"\x40\x01\x00\x01\xd1\x16"
		"a",
		CAROB_EINVALID, CAROB_CODE_PROXYING_NOT_SUPPORTED),
};

static void test_invalid_datagrams(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(invalid_cases); i++) {
		const invalid_case_t *c = &invalid_cases[i];
		carob_msg_t msg;
		uint8_t refusal;
		int error;

		error = carob_coap_decode(&msg, &refusal, c->data.ptr,
					  c->data.len);
		if (error != c->error || refusal != c->refusal)
			printf("\n%s: error %d, refusal %u\n", c->name, error,
			       refusal);
		CU_ASSERT_EQUAL(error, c->error);
		CU_ASSERT_EQUAL(refusal, c->refusal);
	}
}

static void test_limits(void)
{
	carob_msg_t msg = {.code = CAROB_CODE_POST, .mid = 3, .token_len = 2};
	static uint8_t data[DATAGRAM_BYTES];
	static char payload[DATAGRAM_BYTES];
	carob_msg_t decoded;
	uint8_t refusal;
	size_t len;

	msg.payload = (carob_str_t){payload, CAROB_MSG_BYTES_MAX - 7};
	CU_ASSERT_EQUAL(
		carob_coap_encode(data, &len, CAROB_MSG_BYTES_MAX, &msg), 0);
	CU_ASSERT_EQUAL(len, CAROB_MSG_BYTES_MAX);
	CU_ASSERT_EQUAL(carob_coap_decode(&decoded, &refusal, data, len), 0);
	msg.payload.len++;
	CU_ASSERT_EQUAL(carob_coap_encode(data, &len, CAROB_MSG_BYTES_MAX,
					  &msg),
			CAROB_ELIMIT);
	CU_ASSERT_EQUAL(carob_coap_encode(data, &len, sizeof(data), &msg), 0);
	CU_ASSERT_EQUAL(carob_coap_decode(&decoded, &refusal, data, len),
			CAROB_ELIMIT);
	CU_ASSERT_EQUAL(refusal, CAROB_CODE_TOO_LARGE);
	CU_ASSERT_EQUAL(decoded.mid, 3);
	CU_ASSERT_EQUAL(decoded.token_len, 2);
}

static void test_too_many_options(void)
{
	uint8_t data[4 + CAROB_MSG_OTHER_MAX + 1] = {0x40, CAROB_CODE_GET};
	carob_msg_t decoded;
	uint8_t refusal;

	data[4] = 0xb0; /* Uri-Path; the zero bytes after it repeat it */
	CU_ASSERT_EQUAL(carob_coap_decode(&decoded, &refusal, data,
					  sizeof(data) - 1),
			0);
	CU_ASSERT_EQUAL(decoded.other_count, CAROB_MSG_OTHER_MAX);
	CU_ASSERT_EQUAL(carob_coap_decode(&decoded, &refusal, data,
					  sizeof(data)),
			CAROB_ELIMIT);
	CU_ASSERT_EQUAL(refusal, CAROB_CODE_BAD_REQUEST);
}

static void test_options_out_of_order_are_refused(void)
{
	carob_msg_t msg = {
		.code = CAROB_CODE_GET,
		.other_count = 2,
		.other = {{23, CAROB_STR("")}, {11, CAROB_STR("a")}},
	};
	uint8_t data[CAROB_MSG_BYTES_MAX];
	size_t len;

	CU_ASSERT_EQUAL(carob_coap_encode(data, &len, sizeof(data), &msg),
			CAROB_EINVALID);
}

/* Decodes every truncation and every single-bit error of a full message, to
 * find reads beyond the datagram. */
static void test_corrupted_messages(void)
{
	carob_msg_t msg = full_message();
	uint8_t data[CAROB_MSG_BYTES_MAX];
	carob_msg_t decoded;
	uint8_t refusal;
	size_t len;

	CU_ASSERT_EQUAL_FATAL(carob_coap_encode(data, &len, sizeof(data), &msg),
			      0);
	for (size_t prefix_len = 0; prefix_len < len; prefix_len++) {
		uint8_t *copy = malloc(prefix_len ? prefix_len : 1);

		memcpy(copy, data, prefix_len);
		carob_coap_decode(&decoded, &refusal, copy, prefix_len);
		free(copy);
	}
	for (size_t offset = 0; offset < len; offset++) {
		for (unsigned int bit = 0; bit < 8; bit++) {
			data[offset] ^= 1U << bit;
			carob_coap_decode(&decoded, &refusal, data, len);
			data[offset] ^= 1U << bit;
		}
	}
	CU_ASSERT_EQUAL(carob_coap_decode(&decoded, &refusal, data, len), 0);
	assert_same(&msg, &decoded);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"an encoded message decodes to the same message",
		 test_round_trip},
		{"views of a message borrow from the datagram",
		 test_views_borrow_from_the_datagram},
		{"invalid datagrams give the right error and response code",
		 test_invalid_datagrams},
		{"messages beyond the size limit are refused", test_limits},
		{"too many options are refused", test_too_many_options},
		{"options out of order are refused",
		 test_options_out_of_order_are_refused},
		{"truncated and corrupted messages are decoded safely",
		 test_corrupted_messages},
	};

	return run_tests("coap_codec", cases, CAROB_ARRAY_SIZE(cases));
}
