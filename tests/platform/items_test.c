#include "platform/items.h"

#include "carobtrail/errors.h"
#include "emulator/common/cbor_json.h"
#include "platform/cbor_write.h"
#include "test_runner.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES 8192

/* Encodes a body that the test has in JSON as CBOR, and decodes that. */
static int decode_json(platform_items_t **out, carob_str_t json)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;

	CU_ASSERT_EQUAL(cbor_json_encode_text(&body, json), 0);
	return platform_items_decode(out, carob_buf_view(&body));
}

/* Appends an item whose value is the CBOR of `json` as base64 text. */
static void append_item(carob_buf_t *body, const char *key, const char *json,
			int revision)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t bytes = CAROB_BUF_INIT;
	char value[BODY_BYTES];

	CU_ASSERT_EQUAL(cbor_json_encode_text(&bytes, carob_str_from(json)), 0);
	sodium_bin2base64(value, sizeof(value), (const uint8_t *)bytes.ptr,
			  bytes.len, sodium_base64_VARIANT_ORIGINAL);
	CU_ASSERT_EQUAL(carob_buf_printf(body,
					 "%s{\"key\":\"%s\",\"value\":\"%s\","
					 "\"revision\":%d}",
					 body->ptr[body->len - 1] == '}' ? ","
									 : "",
					 key, value, revision),
			0);
}

static void begin_events(carob_buf_t *body)
{
	CU_ASSERT_EQUAL(carob_buf_printf(body, "{\"events\":["), 0);
}

static const carob_catalog_reply_t *finish_and_decode(platform_items_t **out,
						      carob_buf_t *body)
{
	CU_ASSERT_EQUAL(carob_buf_printf(body, "],\"current_rev\":99}"), 0);
	if (decode_json(out, carob_buf_view(body)) != 0)
		return NULL;
	return platform_items_reply(*out);
}

#define VALID_ENTRY                                                            \
	"{\"service\":\"desk\",\"address\":\"10.128.0.9:8080\","               \
	"\"zone\":\"hou-a\",\"version\":\"v1\",\"slots\":3,"                   \
	"\"state\":\"ready\",\"cold_ms\":40,\"seq\":4,\"born\":1700000000123}"

static void test_upstream_entry(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	platform_items_t *items = NULL;
	const carob_catalog_reply_t *reply;

	begin_events(&body);
	append_item(&body, "servers/i-7f3a91c2ff", VALID_ENTRY, 7);
	reply = finish_and_decode(&items, &body);
	CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
	if (!reply)
		return;
	CU_ASSERT_EQUAL(reply->revision, 99);
	CU_ASSERT_EQUAL(reply->count, 1);
	CU_ASSERT_EQUAL(reply->changes[0].kind, CAROB_CATALOG_UPSTREAM);
	CU_ASSERT_EQUAL(reply->changes[0].revision, 7);
	CU_ASSERT_EQUAL(reply->changes[0].upstream.number, 0x7f3a91c2ffULL);
	CU_ASSERT_EQUAL(reply->changes[0].upstream.endpoint.ip, 0x0a800009);
	CU_ASSERT_EQUAL(reply->changes[0].upstream.endpoint.port, 8080);
	CU_ASSERT_EQUAL(reply->changes[0].upstream.slots, 3);
	CU_ASSERT_EQUAL(reply->changes[0].upstream.cold_ms, 40);
	CU_ASSERT_EQUAL(reply->changes[0].upstream.started_ms, 1700000000123);
	CU_ASSERT_FALSE(reply->changes[0].upstream.draining);
	platform_items_free(items);
}

/* Entries are not trusted: one that is malformed must be reported as unusable,
 * and must not affect the entry after it. */
static void test_malformed_entries(void)
{
	static const char *const malformed[] = {
		"",
		"not json",
		"[]",
		"17",
		"{}",
		"{\"service\":7,\"address\":\"10.1.0.9:1\",\"zone\":\"a\","
		"\"version\":\"v\",\"slots\":3,\"state\":\"ready\","
		"\"cold_ms\":0,\"seq\":1}",
		"{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"a\","
		"\"version\":\"v\",\"slots\":3,\"state\":\"ready\","
		"\"cold_ms\":0,\"seq\":1}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"zone\":\"a\","
		"\"version\":\"v\",\"slots\":3,\"state\":\"asleep\","
		"\"cold_ms\":0,\"seq\":1}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"zone\":\"a\","
		"\"version\":\"v\",\"slots\":\"3\",\"state\":\"ready\","
		"\"cold_ms\":0,\"seq\":1}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"zone\":\"a\","
		"\"version\":\"v\",\"slots\":-3,\"state\":\"ready\","
		"\"cold_ms\":0,\"seq\":1}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"zone\":\"a\","
		"\"version\":\"v\",\"slots\":3,\"state\":\"ready\","
		"\"cold_ms\":0,\"seq\":1,\"born\":1.5}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\","
		"\"version\":\"v\",\"slots\":3,\"state\":\"ready\","
		"\"cold_ms\":0,\"seq\":1}",
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(malformed); i++) {
		CAROB_CLEANUP(carob_buf_dispose)
		carob_buf_t body = CAROB_BUF_INIT;
		platform_items_t *items = NULL;
		const carob_catalog_reply_t *reply;

		begin_events(&body);
		append_item(&body, "servers/i-01", malformed[i], 5);
		append_item(&body, "servers/i-02", VALID_ENTRY, 6);
		reply = finish_and_decode(&items, &body);
		CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
		if (!reply)
			return;
		CU_ASSERT_EQUAL(reply->changes[0].kind,
				CAROB_CATALOG_UPSTREAM_UNUSABLE);
		CU_ASSERT_EQUAL(reply->changes[1].kind, CAROB_CATALOG_UPSTREAM);
		platform_items_free(items);
	}
}

static void test_upstream_numbers(void)
{
	static const struct {
		const char *key;
		carob_catalog_change_kind_t kind;
		uint64_t number;
	} cases[] = {
		{"servers/i-0A", CAROB_CATALOG_UPSTREAM, 10},
		{"servers/7f", CAROB_CATALOG_UPSTREAM, 0x7f},
		{"servers/be-7f", CAROB_CATALOG_UPSTREAM, 0x7f},
		{"servers/i-ffffffffffffffff", CAROB_CATALOG_UPSTREAM,
		 UINT64_MAX},
		{"servers/i-00000000000000007f", CAROB_CATALOG_UPSTREAM, 0x7f},
		/* A number above 64 bits would be that of another upstream. */
		{"servers/i-1000000000000007f", CAROB_CATALOG_UPSTREAM_UNUSABLE,
		 0},
		{"servers/i-", CAROB_CATALOG_UPSTREAM_UNUSABLE, 0},
		{"servers/i-xyz", CAROB_CATALOG_UPSTREAM_UNUSABLE, 0},
		{"servers/", CAROB_CATALOG_OTHER, 0},
		{"my/leader", CAROB_CATALOG_OTHER, 0},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		CAROB_CLEANUP(carob_buf_dispose)
		carob_buf_t body = CAROB_BUF_INIT;
		platform_items_t *items = NULL;
		const carob_catalog_reply_t *reply;

		begin_events(&body);
		append_item(&body, cases[i].key, VALID_ENTRY, 5);
		reply = finish_and_decode(&items, &body);
		CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
		if (!reply)
			return;
		CU_ASSERT_EQUAL(reply->changes[0].kind, cases[i].kind);
		if (cases[i].kind == CAROB_CATALOG_UPSTREAM)
			CU_ASSERT_EQUAL(reply->changes[0].upstream.number,
					cases[i].number);
		platform_items_free(items);
	}
}

static void test_removal(void)
{
	static const char body[] =
		"{\"events\":[{\"key\":\"servers/i-7f\",\"revision\":12,"
		"\"tombstone\":true}],\"current_rev\":13}";
	platform_items_t *items = NULL;

	CU_ASSERT_EQUAL_FATAL(decode_json(&items, CAROB_STR(body)), 0);
	CU_ASSERT_EQUAL(platform_items_reply(items)->changes[0].kind,
			CAROB_CATALOG_UPSTREAM_REMOVED);
	CU_ASSERT_TRUE(carob_str_eq(
		platform_items_reply(items)->changes[0].upstream_id,
		CAROB_STR("i-7f")));
	platform_items_free(items);
}

/* The operator takes zones out of service by keys; their values do not matter,
 * and one that can't be parsed counts as well. */
static void test_evacuations(void)
{
	static const char body[] =
		"{\"events\":["
		"{\"key\":\"op/evacuate/hou-a\",\"value\":\"\",\"revision\":5},"
		"{\"key\":\"op/evacuate/z/1\",\"value\":7,\"revision\":6},"
		"{\"key\":\"op/evacuate/hou-a\",\"revision\":7,"
		"\"tombstone\":true},"
		"{\"key\":\"op/evacuate/\",\"value\":\"\",\"revision\":8},"
		"{\"key\":\"op/evacuate\",\"value\":\"\",\"revision\":9}],"
		"\"current_rev\":9}";
	static const struct {
		carob_catalog_change_kind_t kind;
		carob_str_t zone;
	} cases[] = {
		{CAROB_CATALOG_ZONE_EVACUATED, {"hou-a", 5}},
		{CAROB_CATALOG_ZONE_EVACUATED, {"z/1", 3}},
		{CAROB_CATALOG_ZONE_RESTORED, {"hou-a", 5}},
		{CAROB_CATALOG_OTHER, {"", 0}},
		{CAROB_CATALOG_OTHER, {"", 0}},
	};
	platform_items_t *items = NULL;
	const carob_catalog_reply_t *reply;

	CU_ASSERT_EQUAL_FATAL(decode_json(&items, CAROB_STR(body)), 0);
	reply = platform_items_reply(items);
	CU_ASSERT_EQUAL_FATAL(reply->count, CAROB_ARRAY_SIZE(cases));
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		CU_ASSERT_EQUAL(reply->changes[i].kind, cases[i].kind);
		if (cases[i].kind != CAROB_CATALOG_OTHER)
			CU_ASSERT_TRUE(carob_str_eq(reply->changes[i].zone,
						    cases[i].zone));
	}
	platform_items_free(items);
}

/* Configurations that are stored in quick succession may arrive in one
 * response, since a watch begins only after a pause if the last one returned
 * changes. */
static void test_two_configurations_in_one_response(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	platform_items_t *items = NULL;
	const carob_catalog_reply_t *reply;

	begin_events(&body);
	append_item(&body, "op/config",
		    "{\"version\":7,\"routes\":[{\"hostname\":\"198.18.0.1\","
		    "\"prefix\":\"/443/\",\"service\":\"one\"}],"
		    "\"limits\":{\"idle_timeout_ms\":15000}}",
		    3);
	append_item(
		&body, "op/config",
		"{\"version\":9,\"routes\":[{\"hostname\":\"198.18.0.2\","
		"\"prefix\":\"/80/\",\"traffic_split\":[{\"service\":\"a\","
		"\"weight\":90},{\"service\":\"b\",\"weight\":10}]},"
		"{\"hostname\":\"198.18.0.3\",\"prefix\":\"/81/\","
		"\"service\":\"c\"}],\"limits\":{},\"services\":["
		"{\"name\":\"a\",\"cold_per_s\":2.5,\"cold_start_s\":8},"
		"{\"cold_per_s\":9},7,"
		"{\"name\":\"b\",\"cold_per_s\":-1,\"cold_start_s\":\"x\"}]}",
		4);
	reply = finish_and_decode(&items, &body);
	CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
	if (!reply)
		return;
	CU_ASSERT_EQUAL(reply->changes[0].kind, CAROB_CATALOG_CONFIG);
	CU_ASSERT_EQUAL(reply->changes[0].config.version, 7);
	CU_ASSERT_EQUAL(reply->changes[0].config.idle_timeout_ms, 15000);
	CU_ASSERT_EQUAL(reply->changes[0].config.count, 1);
	CU_ASSERT_EQUAL(reply->changes[0].config.routes[0].endpoint.ip,
			0xc6120001);
	CU_ASSERT_EQUAL(reply->changes[0].config.routes[0].endpoint.port, 443);
	CU_ASSERT_EQUAL(reply->changes[1].config.version, 9);
	CU_ASSERT_EQUAL(reply->changes[1].config.routes[0].share_count, 2);
	CU_ASSERT_EQUAL(reply->changes[1].config.routes[0].shares[1].weight,
			10);
	CU_ASSERT_EQUAL(reply->changes[1].config.routes[1].endpoint.port, 81);
	/* Services without a name are left out, values that are out of range
	 * count as not stated; neither makes the routes unusable. */
	CU_ASSERT_EQUAL(reply->changes[0].config.service_count, 0);
	CU_ASSERT_EQUAL_FATAL(reply->changes[1].config.service_count, 2);
	CU_ASSERT_EQUAL(reply->changes[1].config.services[0].cold_per_s, 2.5);
	CU_ASSERT_EQUAL(reply->changes[1].config.services[0].cold_start_ms,
			8000);
	CU_ASSERT_TRUE(carob_str_eq(reply->changes[1].config.services[1].name,
				    CAROB_STR("b")));
	CU_ASSERT_EQUAL(reply->changes[1].config.services[1].cold_per_s, 0);
	CU_ASSERT_EQUAL(reply->changes[1].config.services[1].cold_start_ms, 0);
	platform_items_free(items);
}

/* Appends a configuration with one route over `count` services, s0 with the
 * weight 1, s1 with 2, and so on. */
static void append_split(carob_buf_t *body, size_t count)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t json = CAROB_BUF_INIT;

	CU_ASSERT_EQUAL(carob_buf_printf(&json, "{\"version\":7,\"routes\":[{"
						"\"hostname\":\"198.18.0.1\","
						"\"prefix\":\"/443/\","
						"\"traffic_split\":["),
			0);
	for (size_t i = 0; i < count; i++)
		CU_ASSERT_EQUAL(carob_buf_printf(&json,
						 "%s{\"service\":\"s%zu\","
						 "\"weight\":%zu}",
						 i ? "," : "", i, i + 1),
				0);
	CU_ASSERT_EQUAL(carob_buf_printf(&json, "]}]}"), 0);
	append_item(body, "op/config", json.ptr, 3);
}

/* A route over more services than a fixed array held made the instance refuse
 * the whole configuration and go on with the one before. */
static void test_split_over_many_services(void)
{
	static const size_t counts[] = {1, 8, 9, 100};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(counts); i++) {
		CAROB_CLEANUP(carob_buf_dispose)
		carob_buf_t body = CAROB_BUF_INIT;
		platform_items_t *items = NULL;
		const carob_catalog_reply_t *reply;
		const carob_catalog_route_t *route;

		begin_events(&body);
		append_split(&body, counts[i]);
		reply = finish_and_decode(&items, &body);
		CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
		if (!reply)
			return;
		CU_ASSERT_EQUAL_FATAL(reply->changes[0].kind,
				      CAROB_CATALOG_CONFIG);
		route = &reply->changes[0].config.routes[0];
		CU_ASSERT_EQUAL_FATAL(route->share_count, counts[i]);
		for (size_t k = 0; k < counts[i]; k++)
			CU_ASSERT_EQUAL(route->shares[k].weight, k + 1);
		platform_items_free(items);
	}
}

static void test_malformed_bodies(void)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{}",
		"{\"items\":[]}",
		"{\"items\":{},\"current_rev\":1}",
		"{\"items\":[{\"key\":\"servers/i-1\"}],\"current_rev\":1}",
		"{\"items\":[7],\"current_rev\":1}",
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(bodies); i++) {
		platform_items_t *items = NULL;

		CU_ASSERT_EQUAL(decode_json(&items, carob_str_from(bodies[i])),
				CAROB_EFORMAT);
		CU_ASSERT_PTR_NULL(items);
	}
}

/* These bodies are raw CBOR, since they can't be expressed in JSON. */
static void test_invalid_cbor(void)
{
	static const struct {
		const char *name;
		carob_str_t bytes;
	} cases[] = {
		{"truncated map", CAROB_STR("\xa2\x65items\x80")},
		{"byte after the map", CAROB_STR("\xa1\x65items\x80\x00")},
		{"byte string", CAROB_STR("\xa1\x65items\x41\x00")},
		{"tag", CAROB_STR("\xa1\x65items\xc1\x01")},
		{"integer as a key", CAROB_STR("\xa1\x01\x80")},
		{"integer above INT64_MAX",
		 CAROB_STR("\xa1\x61"
			   "a\x1b\xff\xff\xff\xff\xff\xff\xff\xff")},
		{"nesting beyond the limit",
		 CAROB_STR("\xa1\x61"
			   "a\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81"
			   "\x81\x81\x81\x81\x81\x81\x81\x80")},
		{"map that claims 168 million pairs",
		 CAROB_STR("\xba\x0a\x0a\x2a\x00\x00\x0a\x28")},
		{"array that claims 2^60 elements",
		 CAROB_STR("\xa1\x65items\x9b\x10\x00\x00\x00\x00\x00\x00\x00"
			   "\x01")},
		{"float as a key", CAROB_STR("\xa1\xfa\x00\x00\x00\x00\x80")},
		{"array of indefinite length",
		 CAROB_STR("\xa1\x65items\x9f\x01\xff")},
		{"JSON text", CAROB_STR("{\"items\":[],\"current_rev\":1}")},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		platform_items_t *items = NULL;

		if (platform_items_decode(&items, cases[i].bytes) !=
		    CAROB_EFORMAT)
			CU_FAIL(cases[i].name);
		CU_ASSERT_PTR_NULL(items);
	}
}

/* Another writer's entry, and a valid one behind it in the same response. */
typedef struct odd_entry {
	const char *name;
	carob_str_t key;
	carob_str_t value; /* in CBOR, or its beginning */
	uint8_t fill;	   /* the rest of the value */
	size_t fill_bytes;
	carob_catalog_change_kind_t kind;
} odd_entry_t;

#define ODD_KEY CAROB_STR("servers/i-01")
/* A map of the members of a valid entry, all but one, and that one. */
#define ODD_MEMBERS                                                            \
	"\xa8\x67service\x64"                                                  \
	"desk\x64zone\x65hou-a\x67version\x62v1\x65state\x65ready"             \
	"\x67"                                                                 \
	"cold_ms\x00"
#define ODD_ADDRESS                                                            \
	"\x67"                                                                 \
	"address\x6f"                                                          \
	"10.128.0.9:8080"
#define ODD_SLOTS "\x65slots\x03"
#define ODD_SEQ	  "\x63seq\x04"
#define ODD_KIND  CAROB_CATALOG_UPSTREAM_UNUSABLE

static const odd_entry_t odd_entries[] = {
	{"valid", ODD_KEY, CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SLOTS ODD_SEQ),
	 0, 0, CAROB_CATALOG_UPSTREAM},
	{"arrays nested a million times", ODD_KEY, CAROB_STR("\xa1\x61x"), 0x81,
	 1000000, ODD_KIND},
	{"maps nested half a million times", ODD_KEY, CAROB_STR("\xa1\x61x"),
	 0xa1, 500000, ODD_KIND},
	{"port out of range", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS "\x67"
			       "address\x70"
			       "10.128.0.9:65536" ODD_SLOTS ODD_SEQ),
	 0, 0, ODD_KIND},
	{"port 0", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS "\x67"
			       "address\x6c"
			       "10.128.0.9:0" ODD_SLOTS ODD_SEQ),
	 0, 0, ODD_KIND},
	{"port of 20 digits", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS
		   "\x67"
		   "address\x78\x1f"
		   "10.128.0.9:99999999999999999999" ODD_SLOTS ODD_SEQ),
	 0, 0, ODD_KIND},
	{"sequence above 63 bits", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SLOTS
		   "\x63seq\x1b\xff\xff\xff\xff\xff\xff\xff\xff"),
	 0, 0, ODD_KIND},
	{"sequence below 63 bits", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SLOTS
		   "\x63seq\x3b\xff\xff\xff\xff\xff\xff\xff\xff"),
	 0, 0, ODD_KIND},
	{"slots above 32 bits", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SEQ
		   "\x65slots\x1b\x00\x00\x00\x01\x00\x00\x00\x03"),
	 0, 0, ODD_KIND},
	{"slots of 1e300", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SEQ
		   "\x65slots\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c"),
	 0, 0, ODD_KIND},
	{"slots infinite", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SEQ "\x65slots\xf9\x7c\x00"), 0,
	 0, ODD_KIND},
	{"text longer than the value", ODD_KEY,
	 CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SEQ "\x65slots\x7b\x7f\xff\xff"
						   "\xff\xff\xff\xff\xff"),
	 0, 0, ODD_KIND},
	{"service with a NUL byte", ODD_KEY,
	 CAROB_STR("\xa8\x67"
		   "service\x64"
		   "de\x00k\x64zone\x65hou-a\x67"
		   "version\x62v1\x65state\x65ready\x67"
		   "cold_ms\x00" ODD_ADDRESS ODD_SLOTS ODD_SEQ),
	 0, 0, ODD_KIND},
	{"zone with a NUL byte", ODD_KEY,
	 CAROB_STR("\xa8\x67"
		   "service\x64"
		   "desk\x64zone\x65hou\x00"
		   "a\x67"
		   "version\x62v1\x65state\x65ready\x67"
		   "cold_ms\x00" ODD_ADDRESS ODD_SLOTS ODD_SEQ),
	 0, 0, ODD_KIND},
	{"id with a NUL byte", CAROB_STR("servers/i\0-01"),
	 CAROB_STR(ODD_MEMBERS ODD_ADDRESS ODD_SLOTS ODD_SEQ), 0, 0,
	 CAROB_CATALOG_OTHER},
	{"a million empty arrays", ODD_KEY,
	 CAROB_STR("\xa1\x61x\x9a\x00\x0f\x42\x40"), 0x80, 1000000, ODD_KIND},
	{"a million empty maps", ODD_KEY,
	 CAROB_STR("\xa1\x61x\x9a\x00\x0f\x42\x40"), 0xa0, 1000000, ODD_KIND},
};

/* Memory that the design allows a process for what is not packets. */
#define CONTROL_BYTES_MAX ((size_t)32 * 1024 * 1024)

static size_t json_bytes;
static size_t json_bytes_peak;

static void *allocate_counted(size_t size)
{
	size_t *block = malloc(size + 2 * sizeof(*block));

	if (!block)
		return NULL;
	*block = size;
	json_bytes += size;
	if (json_bytes > json_bytes_peak)
		json_bytes_peak = json_bytes;
	return block + 2;
}

static void free_counted(void *bytes)
{
	size_t *block = bytes;

	if (!block)
		return;
	json_bytes -= block[-2];
	free(block - 2);
}

static void write_item(platform_cbor_writer_t *writer, carob_str_t key,
		       carob_str_t value, uint64_t revision)
{
	size_t len = sodium_base64_encoded_len(value.len,
					       sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(len);

	CU_ASSERT_PTR_NOT_NULL_FATAL(text);
	if (!text)
		return;
	sodium_bin2base64(text, len, (const uint8_t *)value.ptr, value.len,
			  sodium_base64_VARIANT_ORIGINAL);
	platform_cbor_write_map(writer, 3);
	platform_cbor_write_text(writer, CAROB_STR("key"));
	platform_cbor_write_text(writer, key);
	platform_cbor_write_text(writer, CAROB_STR("revision"));
	platform_cbor_write_uint(writer, revision);
	platform_cbor_write_text(writer, CAROB_STR("value"));
	platform_cbor_write_text(writer, (carob_str_t){text, len - 1});
	free(text);
}

/* Writes a response with the entry and with a valid one under i-02. */
static void write_odd_response(carob_buf_t *out, const odd_entry_t *odd)
{
	platform_cbor_writer_t writer = {0};
	size_t len = odd->value.len + odd->fill_bytes;
	char *value = malloc(len);

	CU_ASSERT_PTR_NOT_NULL_FATAL(value);
	if (!value)
		return;
	memcpy(value, odd->value.ptr, odd->value.len);
	memset(value + odd->value.len, odd->fill, odd->fill_bytes);
	platform_cbor_write_map(&writer, 2);
	platform_cbor_write_text(&writer, CAROB_STR("current_rev"));
	platform_cbor_write_uint(&writer, 9);
	platform_cbor_write_text(&writer, CAROB_STR("items"));
	platform_cbor_write_array(&writer, 2);
	write_item(&writer, odd->key, (carob_str_t){value, len}, 5);
	write_item(&writer, CAROB_STR("servers/i-02"), odd_entries[0].value, 6);
	CU_ASSERT_EQUAL_FATAL(writer.error, 0);
	free(value);
	*out = writer.out;
}

static void check_odd_entry(const odd_entry_t *odd)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	platform_items_t *items = NULL;
	const carob_catalog_reply_t *reply;
	int error;

	write_odd_response(&body, odd);
	json_bytes_peak = json_bytes;
	json_set_alloc_funcs(allocate_counted, free_counted);
	error = platform_items_decode(&items, carob_buf_view(&body));
	if (error || json_bytes_peak > CONTROL_BYTES_MAX) {
		printf("\n%s: error %d, %zu bytes", odd->name, error,
		       json_bytes_peak);
		CU_FAIL("odd entry");
	}
	if (!error) {
		reply = platform_items_reply(items);
		CU_ASSERT_EQUAL(reply->count, 2);
		CU_ASSERT_EQUAL(reply->changes[0].kind, odd->kind);
		CU_ASSERT_EQUAL(reply->changes[1].kind, CAROB_CATALOG_UPSTREAM);
	}
	platform_items_free(items);
	json_set_alloc_funcs(malloc, free);
}

/* One entry of another writer ended the process, by its stack or by its memory,
 * or kept the others in the response from being used. */
static void test_odd_entries(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(odd_entries); i++)
		check_odd_entry(&odd_entries[i]);
}

/* Number of allocations by the JSON library until all further ones fail. */
static size_t allocations_left;

static void *allocate_or_fail(size_t size)
{
	if (allocations_left == 0)
		return NULL;
	allocations_left--;
	return malloc(size);
}

/* Without memory, decoding must fail as such at every point: a format error
 * would blame the store, and an entry reported as unusable would remove its
 * upstream. */
static void test_out_of_memory(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t json = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	platform_items_t *items = NULL;
	int error = CAROB_ENOMEM;

	begin_events(&json);
	append_item(&json, "servers/i-01", VALID_ENTRY, 5);
	append_item(&json, "op/config",
		    "{\"version\":3,\"routes\":[],\"limits\":{}}", 6);
	CU_ASSERT_EQUAL(carob_buf_printf(&json, "],\"current_rev\":99}"), 0);
	CU_ASSERT_EQUAL(cbor_json_encode_text(&body, carob_buf_view(&json)), 0);
	for (size_t count = 0; error == CAROB_ENOMEM && count < 1000; count++) {
		allocations_left = count;
		json_set_alloc_funcs(allocate_or_fail, free);
		error = platform_items_decode(&items, carob_buf_view(&body));
		json_set_alloc_funcs(malloc, free);
	}
	CU_ASSERT_EQUAL_FATAL(error, 0);
	if (error)
		return;
	CU_ASSERT_EQUAL(platform_items_reply(items)->changes[0].kind,
			CAROB_CATALOG_UPSTREAM);
	CU_ASSERT_EQUAL(platform_items_reply(items)->changes[1].kind,
			CAROB_CATALOG_CONFIG);
	platform_items_free(items);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"upstream entry", test_upstream_entry},
		{"malformed upstream entries", test_malformed_entries},
		{"keys and upstream numbers", test_upstream_numbers},
		{"removal of an upstream", test_removal},
		{"evacuations of zones", test_evacuations},
		{"two configurations in one response",
		 test_two_configurations_in_one_response},
		{"route over many services", test_split_over_many_services},
		{"malformed response bodies", test_malformed_bodies},
		{"malformed or unsupported CBOR", test_invalid_cbor},
		{"odd entries of another writer", test_odd_entries},
		{"fails as such when memory runs out", test_out_of_memory},
	};

	return run_tests("platform items", cases, CAROB_ARRAY_SIZE(cases));
}
