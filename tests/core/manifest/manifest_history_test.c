#include "test_runner.h"

#include "carobtrail/errors.h"
#include "core/manifest/manifest_history.h"

#include <string.h>

/*
 * One upstream of a manifest. The manifest has the services that have at least
 * one upstream.
 */
typedef struct upstream_spec {
	unsigned int service;
	unsigned int id;
	unsigned int incarnation;
	const char *addr;
} upstream_spec_t;

#define UPSTREAMS_MAX 3

static int format_upstream_spec(carob_buf_t *out,
				const upstream_spec_t *upstream,
				const char *name, unsigned int port)
{
	return carob_buf_printf(
		out,
		"{\"id\":%u,\"name\":\"%s%u\",\"addr\":\"127.0.0.1:%u\","
		"\"slots\":1,\"connections\":1,\"upstreams\":[{\"id\":%u,"
		"\"incarnation\":%u,\"name\":\"u%u\",\"zone\":\"a\",\"addr\":"
		"\"%s\"}]}",
		upstream->service, name, upstream->service, port, upstream->id,
		upstream->incarnation, upstream->id, upstream->addr);
}

static carob_manifest_t *
make_manifest(const upstream_spec_t upstreams[UPSTREAMS_MAX], const char *name,
	      unsigned int port_base)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_manifest_t *manifest = NULL;

	(void)carob_buf_printf(&text, "{\"deployment\":\"d\",\"zones\":[\"a\"],"
				      "\"services\":[");
	for (size_t i = 0; i < UPSTREAMS_MAX && upstreams[i].service > 0; i++) {
		if (i > 0)
			(void)carob_buf_printf(&text, ",");
		(void)format_upstream_spec(&text, &upstreams[i], name,
					   port_base + upstreams[i].service);
	}
	(void)carob_buf_printf(&text, "]}");
	CU_ASSERT_EQUAL(
		carob_manifest_parse(&manifest, "m", carob_buf_view(&text)), 0);
	return manifest;
}

#define ADDR_A "127.0.1.1:1"
#define ADDR_B "127.0.1.2:1"
#define ADDR_C "127.0.1.3:1"

/*
 * Services 1 and 2 have one upstream each. In the second manifest, service 2
 * has another upstream instead.
 */
static const upstream_spec_t first[UPSTREAMS_MAX] = {{1, 11, 1, ADDR_A},
						     {2, 21, 3, ADDR_B}};
static const upstream_spec_t second[UPSTREAMS_MAX] = {{1, 11, 1, ADDR_A},
						      {2, 22, 1, ADDR_C}};

typedef struct successor_case {
	const char *name;
	upstream_spec_t next[UPSTREAMS_MAX];
	/*
	 * Generation that every instance has reached. The manifest `first` is
	 * generation 1, `second` is generation 2.
	 */
	uint64_t confirmed;
	int result;
	const char *message;
} successor_case_t;

static const successor_case_t successor_cases[] = {
	{"the manifest is unchanged",
	 {{1, 11, 1, ADDR_A}, {2, 22, 1, ADDR_C}},
	 0,
	 0,
	 ""},
	{"a removed upstream is added again",
	 {{1, 11, 1, ADDR_A}, {2, 21, 3, ADDR_B}},
	 0,
	 0,
	 ""},
	{"a new upstream gets a removed address of the same service",
	 {{1, 11, 1, ADDR_A}, {2, 23, 1, ADDR_B}},
	 0,
	 0,
	 ""},
	{"an address in use is given to another service",
	 {{1, 12, 1, ADDR_C}, {2, 23, 1, "127.0.1.9:1"}},
	 9,
	 CAROB_EINVALID,
	 "u12: its address: service 2 used it until generation 0 (in use"},
	{"a removed address is given to another service",
	 {{1, 12, 1, ADDR_B}, {2, 22, 1, ADDR_C}},
	 0,
	 CAROB_EINVALID,
	 "u12: its address: service 2 used it until generation 2"},
	{"a removed address is given to another service, and an instance may "
	 "still have generation 1",
	 {{1, 12, 1, ADDR_B}, {2, 22, 1, ADDR_C}},
	 1,
	 CAROB_EINVALID,
	 "its address"},
	{"a removed address is given to another service, and every instance "
	 "has generation 2",
	 {{1, 12, 1, ADDR_B}, {2, 22, 1, ADDR_C}},
	 2,
	 0,
	 ""},
	{"an id in use is given to another service",
	 {{1, 22, 1, "127.0.1.9:1"}, {2, 23, 1, ADDR_C}},
	 9,
	 CAROB_EINVALID,
	 "u22: its id: service 2"},
	{"a removed id is given to another service",
	 {{1, 21, 4, "127.0.1.9:1"}, {2, 22, 1, ADDR_C}},
	 0,
	 CAROB_EINVALID,
	 "u21: its id: service 2"},
	{"an upstream gets another address with the same incarnation",
	 {{1, 11, 1, "127.0.1.9:1"}, {2, 22, 1, ADDR_C}},
	 0,
	 CAROB_EINVALID,
	 "u11: its incarnation"},
	{"an upstream gets another address with a higher incarnation",
	 {{1, 11, 2, "127.0.1.9:1"}, {2, 22, 1, ADDR_C}},
	 0,
	 0,
	 ""},
	{"a removed upstream is added again with a lower incarnation",
	 {{1, 11, 1, ADDR_A}, {2, 21, 2, ADDR_B}},
	 0,
	 CAROB_EINVALID,
	 "u21: its incarnation"},
	{"a service is removed and another one is added",
	 {{3, 31, 1, "127.0.1.9:1"}, {2, 22, 1, ADDR_C}},
	 0,
	 0,
	 ""},
};

/* Returns the history after `first` and `second`, formatted and parsed. */
static carob_history_t *make_history(const carob_manifest_t *prev,
				     const carob_manifest_t *next)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_history_t *history = NULL;
	carob_history_t *parsed = NULL;

	CU_ASSERT_EQUAL(carob_history_new(&history), 0);
	CU_ASSERT_EQUAL(carob_history_check(history, prev, next, 0), 0);
	CU_ASSERT_EQUAL(carob_history_advance(history, prev, next, 2, 0), 0);
	CU_ASSERT_EQUAL(carob_history_size(history), 2);
	CU_ASSERT_EQUAL(carob_history_format(&text, history), 0);
	CU_ASSERT_EQUAL(
		carob_history_parse(&parsed, "h", carob_buf_view(&text)), 0);
	carob_history_free(history);
	return parsed;
}

static void test_successors(void)
{
	carob_manifest_t *prev = make_manifest(first, "s", 5700);
	carob_manifest_t *next = make_manifest(second, "s", 5700);
	carob_history_t *history = make_history(prev, next);

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(successor_cases); i++) {
		const successor_case_t *c = &successor_cases[i];
		carob_manifest_t *successor = make_manifest(c->next, "s", 5700);

		carob_error_clear();
		CU_ASSERT_EQUAL(carob_history_check(history, next, successor,
						    c->confirmed),
				c->result);
		CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), c->message));
		carob_manifest_free(successor);
	}
	carob_history_free(history);
	carob_manifest_free(prev);
	carob_manifest_free(next);
}

static void test_service_id_and_port_are_not_reused(void)
{
	static const upstream_spec_t third_service[UPSTREAMS_MAX] = {
		{3, 31, 1, "127.0.1.9:1"}};
	carob_manifest_t *prev = make_manifest(first, "s", 5700);
	carob_manifest_t *renamed = make_manifest(first, "t", 5700);
	/* Service 3 of this manifest has the port of service 1. */
	carob_manifest_t *moved = make_manifest(third_service, "s", 5698);
	carob_history_t *history = NULL;

	CU_ASSERT_EQUAL(carob_history_new(&history), 0);
	CU_ASSERT_EQUAL(carob_history_check(history, prev, renamed, 9),
			CAROB_EINVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), "its id"));
	CU_ASSERT_EQUAL(carob_history_check(history, prev, moved, 9),
			CAROB_EINVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), "its port"));
	carob_history_free(history);
	carob_manifest_free(prev);
	carob_manifest_free(renamed);
	carob_manifest_free(moved);
}

static void test_confirmation_releases_records(void)
{
	carob_manifest_t *prev = make_manifest(first, "s", 5700);
	carob_manifest_t *next = make_manifest(second, "s", 5700);
	carob_history_t *history = make_history(prev, next);

	CU_ASSERT_EQUAL(carob_history_advance(history, next, next, 3, 1), 0);
	CU_ASSERT_EQUAL(carob_history_size(history), 2);
	CU_ASSERT_EQUAL(carob_history_advance(history, next, next, 3, 2), 0);
	CU_ASSERT_EQUAL(carob_history_size(history), 0);
	carob_history_free(history);
	carob_manifest_free(prev);
	carob_manifest_free(next);
}

static void test_malformed_histories_are_rejected(void)
{
	static const char zero[] =
		"[{\"kind\":\"addr\",\"number\":0,\"service\":0,"
		"\"removed\":1}]";
	static const char *const texts[] = {"", "{}", "[{}]",
					    "[{\"kind\":\"x\"}]", zero};
	carob_history_t *history = NULL;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(texts); i++)
		CU_ASSERT_NOT_EQUAL(
			carob_history_parse(&history, "h",
					    carob_str_from(texts[i])),
			0);
	CU_ASSERT_PTR_NULL(history);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"valid and invalid successors of a manifest", test_successors},
		{"the id and the port of a service are not reused",
		 test_service_id_and_port_are_not_reused},
		{"a confirmed generation releases records",
		 test_confirmation_releases_records},
		{"malformed histories are rejected",
		 test_malformed_histories_are_rejected},
	};

	return run_tests("manifest_history", cases, CAROB_ARRAY_SIZE(cases));
}
