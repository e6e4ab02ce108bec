#include "platform/items.h"

#include "carobtrail/errors.h"
#include "emulator/common/cbor_json.h"
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
		{"fails as such when memory runs out", test_out_of_memory},
	};

	return run_tests("platform items", cases, CAROB_ARRAY_SIZE(cases));
}
