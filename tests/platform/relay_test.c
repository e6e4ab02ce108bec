/* What passes between instances, and the entries of readers in the store. */
#include "platform/cbor.h"
#include "platform/readers.h"
#include "platform/relay_auth.h"

#include "test_runner.h"

#include <sodium.h>
#include <string.h>

#define ENTRY                                                                  \
	((carob_reader_entry_t){.zone = CAROB_STR("hou-a"),                    \
				.slot = 0,                                     \
				.name = CAROB_STR("flowd-1"),                  \
				.endpoint = {0x0a010009, 7720},                \
				.key = {1, 2, 3, 255}})

static void test_entry(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t key = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t value = CAROB_BUF_INIT;
	carob_reader_entry_t entry = ENTRY;
	carob_reader_entry_t read = {0};
	uint8_t bytes[512];
	size_t len;
	json_t *tree;

	CU_ASSERT_EQUAL(platform_reader_key(&key, &entry), 0);
	CU_ASSERT_TRUE(carob_str_eq(carob_buf_view(&key),
				    CAROB_STR("readers/hou-a/0")));
	CU_ASSERT_EQUAL(platform_reader_value(&value, &entry), 0);
	CU_ASSERT_EQUAL(sodium_base642bin(bytes, sizeof(bytes), value.ptr,
					  value.len, NULL, &len, NULL,
					  sodium_base64_VARIANT_ORIGINAL),
			0);
	CU_ASSERT_EQUAL_FATAL(
		platform_cbor_parse(&tree, (carob_str_t){(char *)bytes, len}),
		0);
	CU_ASSERT_TRUE(platform_reader_parse_key(&read, carob_buf_view(&key)));
	CU_ASSERT_TRUE(platform_reader_parse_value(&read, tree));
	CU_ASSERT_TRUE(carob_str_eq(read.zone, entry.zone));
	CU_ASSERT_TRUE(carob_str_eq(read.name, entry.name));
	CU_ASSERT_TRUE(carob_endpoint_eq(read.endpoint, entry.endpoint));
	CU_ASSERT_EQUAL(memcmp(read.key, entry.key, sizeof(read.key)), 0);
	json_decref(tree);
}

static void test_keys(void)
{
	static const struct {
		const char *key;
		bool is_reader;
	} cases[] = {
		{"readers/hou-a/0", true},  {"readers/a/b/0", true},
		{"readers/hou-a/9", false}, {"readers/hou-a/00", false},
		{"readers/hou-a/", false},  {"readers/hou-a", false},
		{"readers/", false},	    {"", false},
		{"readers0/a/0", false},    {"servers/i-1", false},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		carob_reader_entry_t entry;

		CU_ASSERT_EQUAL(platform_reader_parse_key(
					&entry, carob_str_from(cases[i].key)),
				cases[i].is_reader);
	}
}

/* Entries are not trusted: any client of the store may write one. */
static void test_malformed_values(void)
{
#define KEY                                                                    \
	"\"key\":"                                                             \
	"\"0102030405060708091011121314151617181920212223242526272829303132\""
	static const struct {
		const char *json;
		bool valid;
	} cases[] = {
		{"{\"instance\":\"i\",\"address\":\"10.1.0.9:7720\"," KEY "}",
		 true},
		{"{\"instance\":\"i\",\"address\":\"10.1.0.9:7720\"}", false},
		{"{\"instance\":\"i\",\"address\":\"nowhere\"," KEY "}", false},
		{"{\"instance\":\"i\",\"address\":\"[::1]:7720\"," KEY "}",
		 false},
		{"{\"instance\":7,\"address\":\"10.1.0.9:7720\"," KEY "}",
		 false},
		{"{\"instance\":\"i\",\"address\":\"10.1.0.9:7720\","
		 "\"key\":\"0102\"}",
		 false},
		{"{}", false},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		json_t *tree = json_loads(cases[i].json, 0, NULL);
		carob_reader_entry_t entry;

		CU_ASSERT_PTR_NOT_NULL(tree);
		CU_ASSERT_EQUAL(platform_reader_parse_value(&entry, tree),
				cases[i].valid);
		json_decref(tree);
	}
#undef KEY
}

/* An authenticator holds for one response to one request with one key. */
static void test_authenticator(void)
{
	const uint8_t key[CAROB_READER_KEY_BYTES] = {1};
	const uint8_t other_key[CAROB_READER_KEY_BYTES] = {2};
	const platform_relay_response_t response = {
		.nonce = CAROB_STR("0011aabb"),
		.after = 4,
		.era = 2,
		.revision = 9,
		.age_ms = 70,
		.body = CAROB_STR("changes"),
	};
	platform_relay_response_t changed[6];
	char auth[PLATFORM_RELAY_AUTH_CHARS];

	platform_relay_sign(auth, &response, key);
	CU_ASSERT_TRUE(platform_relay_verify(auth, &response, key));
	CU_ASSERT_FALSE(platform_relay_verify(auth, &response, other_key));
	CU_ASSERT_FALSE(platform_relay_verify("", &response, key));
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(changed); i++)
		changed[i] = response;
	changed[0].nonce = CAROB_STR("0011aabc"); /* replayed */
	changed[1].after++;
	changed[2].era++;
	changed[3].revision++;
	changed[4].age_ms--;
	changed[5].body = CAROB_STR("Changes");
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(changed); i++)
		CU_ASSERT_FALSE(platform_relay_verify(auth, &changed[i], key));
}

int main(void)
{
	static const test_case_t cases[] = {
		{"an entry is written and read", test_entry},
		{"keys of readers", test_keys},
		{"malformed entries", test_malformed_values},
		{"authenticators", test_authenticator},
	};

	return run_tests("relay", cases, CAROB_ARRAY_SIZE(cases));
}
