#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"
#include "net/control_codec.h"

#include <stdlib.h>
#include <string.h>

#define RANDOM_MESSAGES	 20000
#define RANDOM_BYTES_MAX 200
#define SEED		 4711

static carob_control_scratch_t scratch;

static const carob_control_zone_age_t zones[] = {
	{{"macon-b"}, 120},
	{{"warner-c"}, 70000},
};

static const carob_member_t members[] = {
	{
		.id = {1, 0xfffffffe},
		.zone = {"macon-a"},
		.relay_addr = {.ip = {127, 0, 6, 1}, .port = 26001, .family = 4},
		.control_addr = {.ip = {0x20, 1, 0xd, 0xb8, 0, 0, 0, 0, 0, 0, 0,
					0, 0, 0, 0, 1},
				 .port = 65535,
				 .family = 6},
		.state = CAROB_MEMBER_LEFT,
		.successor = {2, 3},
		.generation = UINT64_MAX,
		.revision = UINT32_MAX,
	},
	{.id = {2, 3}, .state = CAROB_MEMBER_ALIVE},
};

static const carob_load_summary_t summaries[] = {
	{
		.instance = {1, 2},
		.service_id = 3,
		.slots = 42,
		.in_flight = 41,
		.queued = 65535,
		.connections = 28000,
		.feeds = 27999,
		.upstream_count = 2,
		.upstreams = {{{9, 1}, 3, 4}, {{10, 65535}, 5, 6}},
	},
	{.instance = {1, 2}, .service_id = 4},
};

static const carob_load_report_t reports[] = {
	{{9, 1}, 3, 2, 1999, 60000, true},
	{{10, 1}, 3, 0, 0, 0, false},
};

static const carob_control_key_t keys[] = {
	{.serial = 256, .created_ms = 1, .activate_ms = 2, .key = {1, 2, 3}},
	{.serial = 257, .created_ms = 3, .activate_ms = 4, .key = {4, 5, 6}},
};

static uint32_t digests[CAROB_CONTROL_DIGESTS];

static carob_control_msg_t sample_message(carob_control_type_t type)
{
	carob_control_msg_t msg = {.type = type, .from = {7, 8}};

	switch (type) {
	case CAROB_CONTROL_HEARTBEAT:
	case CAROB_CONTROL_HEARTBEAT_ACK:
		msg.heartbeat = (carob_control_heartbeat_t){
			5, 6, 7, 8, 2, zones, 2, members};
		break;
	case CAROB_CONTROL_MEMBER_UPDATES:
	case CAROB_CONTROL_MEMBER_TABLE:
		msg.members = (carob_control_members_t){2, members, 17};
		break;
	case CAROB_CONTROL_MEMBER_PULL:
		digests[255] = 0xdeadbeef;
		msg.pull = (carob_control_pull_t){
			members[0], 3, CAROB_CONTROL_DIGESTS, digests};
		break;
	case CAROB_CONTROL_CHECK_REQUEST:
	case CAROB_CONTROL_CHECK_REPLY:
		msg.check = (carob_control_check_t){9, {1, 2}, true};
		break;
	case CAROB_CONTROL_LOAD_SUMMARIES:
		msg.summaries = (carob_control_summaries_t){2, summaries};
		break;
	case CAROB_CONTROL_MANIFEST_AVAILABLE:
	case CAROB_CONTROL_MANIFEST_REQUEST:
	case CAROB_CONTROL_MANIFEST_REPLY:
		msg.manifest = (carob_control_manifest_t){
			1ULL << 40, 9, {1, 2}, CAROB_STR("{}")};
		break;
	case CAROB_CONTROL_KEY_AVAILABLE:
	case CAROB_CONTROL_KEY_REQUEST:
	case CAROB_CONTROL_KEY_REPLY:
		msg.keys = (carob_control_keys_t){257, 2, keys};
		break;
	case CAROB_CONTROL_RECORDS_TRANSFER:
	case CAROB_CONTROL_RECORDS_ACK:
		msg.records = (carob_control_records_t){
			{1, 2}, 100, 200, true, CAROB_STR("memory")};
		break;
	case CAROB_CONTROL_UPSTREAM_REPORTS:
		msg.reports = (carob_control_reports_t){2, reports};
		break;
	case CAROB_CONTROL_STATUS_REQUEST:
	case CAROB_CONTROL_STATUS_REPLY:
		msg.status = (carob_control_status_t){3, CAROB_ENOTFOUND,
						      CAROB_STR("members"),
						      CAROB_STR("{\"a\":1}")};
		break;
	}
	return msg;
}

static void encode(carob_buf_t *out, const carob_control_msg_t *msg)
{
	carob_buf_clear(out);
	CU_ASSERT_EQUAL_FATAL(carob_control_encode(out, msg), 0);
}

/* If a field were lost, encoding the decoded message would give other bytes. */
static void test_round_trip(void)
{
	carob_buf_t first = CAROB_BUF_INIT;
	carob_buf_t second = CAROB_BUF_INIT;

	for (int type = 1; type <= CAROB_CONTROL_STATUS_REPLY; type++) {
		carob_control_msg_t msg =
			sample_message((carob_control_type_t)type);
		carob_control_msg_t decoded;

		encode(&first, &msg);
		CU_ASSERT_EQUAL_FATAL(
			carob_control_decode(&decoded, &scratch,
					     carob_buf_view(&first)),
			0);
		CU_ASSERT_EQUAL(decoded.type, type);
		CU_ASSERT(carob_instance_id_eq(decoded.from, msg.from));
		encode(&second, &decoded);
		CU_ASSERT(carob_str_eq(carob_buf_view(&first),
				       carob_buf_view(&second)));
	}
	carob_buf_dispose(&first);
	carob_buf_dispose(&second);
}

static void expect_same_member(const carob_member_t *a, const carob_member_t *b)
{
	CU_ASSERT_TRUE(carob_instance_id_eq(a->id, b->id));
	CU_ASSERT_STRING_EQUAL(a->zone.name, b->zone.name);
	CU_ASSERT_TRUE(carob_addr_eq(&a->relay_addr, &b->relay_addr));
	CU_ASSERT_TRUE(carob_addr_eq(&a->control_addr, &b->control_addr));
	CU_ASSERT_EQUAL(a->state, b->state);
	CU_ASSERT_TRUE(carob_instance_id_eq(a->successor, b->successor));
	CU_ASSERT_EQUAL(a->generation, b->generation);
	CU_ASSERT_EQUAL(a->revision, b->revision);
}

static void test_fields(void)
{
	carob_buf_t buf = CAROB_BUF_INIT;
	carob_control_msg_t msg = sample_message(CAROB_CONTROL_HEARTBEAT);
	carob_control_msg_t decoded;

	encode(&buf, &msg);
	CU_ASSERT_EQUAL_FATAL(carob_control_decode(&decoded, &scratch,
						   carob_buf_view(&buf)),
			      0);
	CU_ASSERT_EQUAL(decoded.heartbeat.generation, 6);
	CU_ASSERT_EQUAL(decoded.heartbeat.zones[1].age_ms, 70000);
	CU_ASSERT_STRING_EQUAL(decoded.heartbeat.zones[1].zone.name,
			       "warner-c");
	CU_ASSERT_EQUAL_FATAL(decoded.heartbeat.member_count,
			      CAROB_ARRAY_SIZE(members));
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(members); i++)
		expect_same_member(&decoded.heartbeat.members[i], &members[i]);
	msg = sample_message(CAROB_CONTROL_STATUS_REPLY);
	encode(&buf, &msg);
	CU_ASSERT_EQUAL_FATAL(carob_control_decode(&decoded, &scratch,
						   carob_buf_view(&buf)),
			      0);
	CU_ASSERT_EQUAL(decoded.status.result, CAROB_ENOTFOUND);
	carob_buf_dispose(&buf);
}

/* Decodes a copy of exact size, so that sanitizers see reads past its end. */
static int decode_copy(const char *ptr, size_t len)
{
	carob_control_msg_t msg;
	char *copy = malloc(len ? len : 1);
	int error;

	memcpy(copy, ptr, len);
	error = carob_control_decode(&msg, &scratch, (carob_str_t){copy, len});
	free(copy);
	return error;
}

static void test_truncated(void)
{
	carob_buf_t buf = CAROB_BUF_INIT;

	for (int type = 1; type <= CAROB_CONTROL_STATUS_REPLY; type++) {
		carob_control_msg_t msg =
			sample_message((carob_control_type_t)type);

		encode(&buf, &msg);
		for (size_t len = 0; len < buf.len; len++)
			CU_ASSERT_NOT_EQUAL(decode_copy(buf.ptr, len), 0);
		CU_ASSERT_EQUAL(carob_buf_append(&buf, "\0", 1), 0);
		CU_ASSERT_NOT_EQUAL(decode_copy(buf.ptr, buf.len), 0);
	}
	carob_buf_dispose(&buf);
}

/*
 * Valid messages in which random bytes are changed must be decoded or refused
 * without a memory error.
 */
static void test_changed_messages(void)
{
	carob_buf_t buf = CAROB_BUF_INIT;
	carob_rng_t rng;
	size_t refused = 0;

	carob_rng_init(&rng, SEED);
	for (int i = 0; i < RANDOM_MESSAGES; i++) {
		carob_control_msg_t msg = sample_message((
			carob_control_type_t)(1 +
					      carob_rng_below(
						      &rng,
						      CAROB_CONTROL_STATUS_REPLY)));

		encode(&buf, &msg);
		for (int j = 0; j < 3; j++)
			buf.ptr[carob_rng_below(&rng, (uint32_t)buf.len)] =
				(char)carob_rng_u32(&rng);
		if (decode_copy(buf.ptr, buf.len) != 0)
			refused++;
	}
	CU_ASSERT(refused > RANDOM_MESSAGES / 4);
	carob_buf_dispose(&buf);
}

static void test_random(void)
{
	char bytes[RANDOM_BYTES_MAX];
	carob_rng_t rng;

	carob_rng_init(&rng, SEED);
	for (int i = 0; i < RANDOM_MESSAGES; i++) {
		size_t len = carob_rng_below(&rng, sizeof(bytes));

		for (size_t j = 0; j < len; j++)
			bytes[j] = (char)carob_rng_u32(&rng);
		CU_ASSERT_NOT_EQUAL(decode_copy(bytes, len), 0);
	}
}

typedef struct refused_case {
	const char *name;
	const char *bytes;
	size_t len;
} refused_case_t;

#define BYTES(literal) (literal), sizeof(literal) - 1

static const refused_case_t refused_cases[] = {
	{"another version", BYTES("\x85\x02\x0c\x07\x08\x82\x00\x80")},
	{"type 0", BYTES("\x85\x01\x00\x07\x08\x80")},
	{"a type greater than the last", BYTES("\x85\x01\x18\x63\x07\x08\x80")},
	{"an array of 2^32 members",
	 BYTES("\x85\x01\x03\x07\x08\x82\x00\x9a\xff\xff\xff\xff")},
	{"an array of 2^64-1 members",
	 BYTES("\x85\x01\x03\x07\x08\x82\x00"
	       "\x9b\xff\xff\xff\xff\xff\xff\xff\xff")},
	{"a byte string of 2^63 bytes",
	 BYTES("\x85\x01\x0f\x07\x08\x86\x01\x02\x00\x00\xf4"
	       "\x5b\x80\x00\x00\x00\x00\x00\x00\x00")},
	{"an indefinite array", BYTES("\x9f\x01\x0c\x07\x08\x82\x00\x80\xff")},
	{"a map", BYTES("\xa1\x01\x0c")},
	{"an id of 33 bits",
	 BYTES("\x85\x01\x0c\x1b\x00\x00\x00\x01\x00\x00\x00\x00\x08"
	       "\x82\x00\x80")},
	{"a negative id", BYTES("\x85\x01\x0c\x20\x08\x82\x00\x80")},
};

static void test_refused(void)
{
	CU_ASSERT_EQUAL(decode_copy("\x85\x01\x0c\x07\x08\x82\x00\x80", 8), 0);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(refused_cases); i++)
		CU_ASSERT_NOT_EQUAL(decode_copy(refused_cases[i].bytes,
						refused_cases[i].len),
				    0);
}

static void test_lists_are_bounded(void)
{
	carob_buf_t buf = CAROB_BUF_INIT;
	carob_control_msg_t msg = sample_message(CAROB_CONTROL_MEMBER_UPDATES);

	msg.members.member_count = CAROB_CONTROL_MEMBERS_MAX + 1;
	CU_ASSERT_EQUAL(carob_control_encode(&buf, &msg), CAROB_ELIMIT);
	carob_buf_clear(&buf);
	msg = sample_message(CAROB_CONTROL_RECORDS_TRANSFER);
	msg.records.bytes.len = CAROB_CONTROL_CHUNK_MAX + 1;
	CU_ASSERT_EQUAL(carob_control_encode(&buf, &msg), CAROB_ELIMIT);
	carob_buf_dispose(&buf);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"every type of message is the same after encoding and "
		 "decoding",
		 test_round_trip},
		{"fields are the same after encoding and decoding",
		 test_fields},
		{"truncated and overlong messages are refused", test_truncated},
		{"randomly changed messages are decoded or refused",
		 test_changed_messages},
		{"random bytes are refused", test_random},
		{"malformed messages are refused", test_refused},
		{"encoding refuses lists that are too long",
		 test_lists_are_bounded},
	};

	return run_tests("control codec", cases, CAROB_ARRAY_SIZE(cases));
}
