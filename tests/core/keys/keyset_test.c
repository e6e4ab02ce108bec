#include "test_runner.h"

#include "carobtrail/errors.h"
#include "core/keys/keyset.h"

#include <sodium.h>
#include <string.h>

#define DAY_MS CAROB_KEY_ROTATE_MS

static const uint8_t secret[CAROB_KEY_BYTES] = {1};
static const uint8_t other_secret[CAROB_KEY_BYTES] = {2};

static carob_control_key_t key(uint32_t serial, uint64_t created_ms,
			       uint8_t first_byte)
{
	return (carob_control_key_t){
		.serial = serial,
		.created_ms = created_ms,
		.activate_ms = created_ms + CAROB_KEY_ACTIVATION_DELAY_MS,
		.key = {first_byte},
	};
}

typedef struct merge_case {
	uint32_t serial;
	uint64_t created_ms;
	uint8_t byte;
	carob_keyset_merge_result_t expected;
	uint8_t byte_after; /* expected first byte of the key with serial 5 */
} merge_case_t;

/*
 * Keys merged into a set that holds serial 5, created at 100 ms, with the
 * first byte 50.
 */
static const merge_case_t merge_cases[] = {
	{5, 100, 50, CAROB_KEYSET_KNOWN, 50},
	{5, 99, 60, CAROB_KEYSET_REPLACED, 60},
	{5, 101, 40, CAROB_KEYSET_SUPERSEDED, 50},
	{5, 100, 40, CAROB_KEYSET_REPLACED, 40},
	{5, 100, 60, CAROB_KEYSET_SUPERSEDED, 50},
	{6, 1, 1, CAROB_KEYSET_ADDED, 50},
	{4, 1, 1, CAROB_KEYSET_ADDED, 50},
	{0, 1, 1, CAROB_KEYSET_INVALID, 50},
};

static void test_merge(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(merge_cases); i++) {
		const merge_case_t *c = &merge_cases[i];
		carob_control_key_t existing = key(5, 100, 50);
		carob_control_key_t received =
			key(c->serial, c->created_ms, c->byte);
		carob_keyset_t set = {.count = 0};

		CU_ASSERT_EQUAL(carob_keyset_merge(&set, &existing),
				CAROB_KEYSET_ADDED);
		CU_ASSERT_EQUAL(carob_keyset_merge(&set, &received),
				c->expected);
		for (size_t j = 0; j < set.count; j++)
			if (set.keys[j].serial == 5)
				CU_ASSERT_EQUAL(set.keys[j].key[0],
						c->byte_after);
	}
}

static void test_full_set_drops_the_oldest(void)
{
	carob_keyset_t set = {.count = 0};
	carob_control_key_t old = key(1, 1, 1);

	for (uint32_t serial = 3; serial < 3 + CAROB_CONTROL_KEYS_MAX;
	     serial++) {
		carob_control_key_t k = key(serial, serial, 1);

		CU_ASSERT_EQUAL(carob_keyset_merge(&set, &k),
				CAROB_KEYSET_ADDED);
	}
	CU_ASSERT_EQUAL(carob_keyset_merge(&set, &old), CAROB_KEYSET_TOO_OLD);
	old = key(100, 100, 1);
	CU_ASSERT_EQUAL(carob_keyset_merge(&set, &old), CAROB_KEYSET_ADDED);
	CU_ASSERT_EQUAL(set.count, CAROB_CONTROL_KEYS_MAX);
	CU_ASSERT_EQUAL(set.keys[0].serial, 4);
	CU_ASSERT_EQUAL(carob_keyset_newest(&set)->serial, 100);
}

/*
 * Creates one key a day, starting at serial 250, so that the epoch wraps from
 * 255 to 0. A key that stayed too long would share its epoch with a new one.
 */
static void test_lifetimes(void)
{
	carob_keyset_t set = {.count = 0};
	carob_control_key_t first = key(250, 0, 1);
	uint64_t now = 0;

	carob_keyset_merge(&set, &first);
	for (int day = 1; day < 20; day++) {
		carob_control_key_t next;
		uint32_t sealing = carob_keyset_sealing(&set, now)->serial;
		bool epochs[256] = {false};
		uint32_t expired;

		CU_ASSERT_FALSE(carob_keyset_rotation_due(
			&set, (uint64_t)day * DAY_MS - 1));
		now = (uint64_t)day * DAY_MS;
		CU_ASSERT(carob_keyset_rotation_due(&set, now));
		carob_keyset_generate(&next, &set, now);
		CU_ASSERT_EQUAL(carob_keyset_merge(&set, &next),
				CAROB_KEYSET_ADDED);
		/* The next key must not seal before its activation time. */
		now += CAROB_KEY_ACTIVATION_DELAY_MS - 1;
		CU_ASSERT_EQUAL(carob_keyset_sealing(&set, now)->serial,
				sealing);
		now += 1;
		CU_ASSERT_EQUAL(carob_keyset_sealing(&set, now)->serial,
				sealing + 1);
		while (carob_keyset_remove_expired(&expired, &set, now))
			CU_ASSERT(expired < sealing);
		CU_ASSERT(set.count <= 3);
		for (size_t i = 0; i < set.count; i++) {
			uint8_t epoch = (uint8_t)set.keys[i].serial;

			CU_ASSERT_FALSE(epochs[epoch]);
			epochs[epoch] = true;
		}
	}
	CU_ASSERT(carob_keyset_newest(&set)->serial > 256);
}

static void test_clock_behind_seals_with_oldest(void)
{
	carob_keyset_t set = {.count = 0};
	carob_control_key_t a = key(7, 5000, 1);

	CU_ASSERT_PTR_NULL(carob_keyset_sealing(&set, 1));
	carob_keyset_merge(&set, &a);
	CU_ASSERT_EQUAL(carob_keyset_sealing(&set, 1)->serial, 7);
}

static void test_document_round_trip(void)
{
	carob_keyset_t set = {.count = 0};
	carob_keyset_t read;
	carob_buf_t document = CAROB_BUF_INIT;
	char hex[2 * CAROB_KEY_BYTES + 1];

	for (uint32_t serial = 1; serial <= CAROB_CONTROL_KEYS_MAX; serial++) {
		carob_control_key_t next;

		carob_keyset_generate(&next, &set, serial);
		carob_keyset_merge(&set, &next);
	}
	CU_ASSERT_EQUAL(carob_keyset_write(&document, &set, secret), 0);
	CU_ASSERT(document.len <= CAROB_KEYSET_DOCUMENT_MAX);
	CU_ASSERT_EQUAL(
		carob_keyset_read(&read, carob_buf_view(&document), secret), 0);
	CU_ASSERT_EQUAL(read.count, set.count);
	for (size_t i = 0; i < set.count; i++) {
		CU_ASSERT_EQUAL(read.keys[i].serial, set.keys[i].serial);
		CU_ASSERT_EQUAL(read.keys[i].activate_ms,
				set.keys[i].activate_ms);
		CU_ASSERT_EQUAL(memcmp(read.keys[i].key, set.keys[i].key,
				       CAROB_KEY_BYTES),
				0);
		sodium_bin2hex(hex, sizeof(hex), set.keys[i].key,
			       CAROB_KEY_BYTES);
		CU_ASSERT_PTR_NULL(strstr(document.ptr, hex));
	}
	CU_ASSERT_EQUAL(carob_keyset_read(&read, carob_buf_view(&document),
					  other_secret),
			CAROB_EAUTH);
	carob_buf_dispose(&document);
}

static const char *const bad_documents[] = {
	"",
	"{}",
	"[]",
	"{\"version\":2,\"keys\":[]}",
	"{\"version\":1,\"keys\":[]}",
	"{\"version\":1,\"keys\":[{}]}",
	"{\"version\":1,\"keys\":[{\"serial\":0,\"created_ms\":1,"
	"\"activate_ms\":1,\"encrypted\":\"00\"}]}",
	"{\"version\":1,\"keys\":[{\"serial\":1,\"created_ms\":1,"
	"\"activate_ms\":1,\"encrypted\":\"zz\"}]}",
	"{\"version\":1,\"keys\":[{\"serial\":1,\"created_ms\":5,"
	"\"activate_ms\":1,\"encrypted\":\"00\"}]}",
	"{\"version\":1,\"keys\":[{\"serial\":1,\"created_ms\":1,"
	"\"activate_ms\":1,\"encrypted\":\"00\",\"more\":1}]}",
	"{\"version\":1,\"keys\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]"
	"]",
};

static void test_bad_documents(void)
{
	carob_keyset_t read;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(bad_documents); i++)
		CU_ASSERT(carob_keyset_read(&read,
					    carob_str_from(bad_documents[i]),
					    secret) < 0);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"merging keeps one key per serial", test_merge},
		{"a full set drops its oldest key",
		 test_full_set_drops_the_oldest},
		{"key lifetimes across the wrap of the epoch", test_lifetimes},
		{"with a clock that is behind, the oldest key seals",
		 test_clock_behind_seals_with_oldest},
		{"a document that was written can be read",
		 test_document_round_trip},
		{"invalid documents are refused", test_bad_documents},
	};

	if (sodium_init() < 0)
		return 2;
	return run_tests("keyset", cases, CAROB_ARRAY_SIZE(cases));
}
