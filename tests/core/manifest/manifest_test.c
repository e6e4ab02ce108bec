#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/manifest.h"
#include "util/json_doc.h"

#include <string.h>

#define SERVICE_HEAD                                                           \
	"{\"id\":1,\"name\":\"s\",\"addr\":\"127.0.0.1:5701\",\"slots\":3,"    \
	"\"connections\":2000,\"upstreams\":["
#define UPSTREAM_A                                                             \
	"{\"id\":7,\"name\":\"u7\",\"zone\":\"a\",\"addr\":\"127.0.1.7:"       \
	"5683\"}"
#define DOCUMENT(services)                                                     \
	"{\"deployment\":\"d\",\"zones\":[\"a\",\"b\"],\"services\":"          \
	"[" services "]}"
#define VALID	       DOCUMENT(SERVICE_HEAD UPSTREAM_A "]}")
#define UPSTREAM(text) DOCUMENT(SERVICE_HEAD UPSTREAM_A "," text "]}")
#define SERVICE(text)  DOCUMENT(SERVICE_HEAD UPSTREAM_A "]}," text)
#define SECOND_UPSTREAMS                                                       \
	"\"slots\":1,\"connections\":1,\"upstreams\":[{\"id\":8,\"name\":"     \
	"\"u8\",\"zone\":\"a\",\"addr\":\"127.0.1.8:5683\"}]}"

typedef struct manifest_case {
	const char *json;
	int result;
	const char *message; /* expected part of the last error */
} manifest_case_t;

static const manifest_case_t manifest_cases[] = {
	{VALID, 0, ""},
	{UPSTREAM("{\"id\":0,\"name\":\"u\",\"zone\":\"a\",\"addr\":"
		  "\"127.0.1.8:1\"}"),
	 CAROB_EINVALID, "m: services[0].upstreams[1].id: 0: expected"},
	{UPSTREAM("{\"id\":7,\"name\":\"u\",\"zone\":\"a\",\"addr\":"
		  "\"127.0.1.8:1\"}"),
	 CAROB_EINVALID,
	 "m: services[0].upstreams[1].id: 7: expected an id that no other"},
	{UPSTREAM("{\"id\":8,\"name\":\"u7\",\"zone\":\"a\",\"addr\":"
		  "\"127.0.1.8:1\"}"),
	 CAROB_EINVALID, "upstreams[1].name: \"u7\": expected a name that no"},
	{UPSTREAM("{\"id\":8,\"name\":\"u\",\"zone\":\"a\",\"addr\":"
		  "\"127.0.1.7:5683\"}"),
	 CAROB_EINVALID, "upstreams[1].addr: \"127.0.1.7:5683\": expected an"},
	{UPSTREAM("{\"id\":8,\"name\":\"u\",\"zone\":\"a\",\"addr\":"
		  "\"0.0.0.0:5683\"}"),
	 CAROB_EINVALID, "upstreams[1].addr: \"0.0.0.0:5683\": expected the"},
	{UPSTREAM("{\"id\":8,\"name\":\"u\",\"zone\":\"c\",\"addr\":"
		  "\"127.0.1.8:1\"}"),
	 CAROB_EINVALID, "upstreams[1].zone: \"c\": expected a zone that"},
	{UPSTREAM("{\"id\":8,\"name\":\"u\",\"zone\":\"a\",\"addr\":"
		  "\"127.0.1.8:1\",\"incarnation\":65536}"),
	 CAROB_EINVALID, "upstreams[1].incarnation: 65536: expected"},
	{UPSTREAM("{\"id\":8,\"name\":\"u\",\"zone\":\"a\",\"addr\":"
		  "\"127.0.1.8:1\",\"state\":\"gone\"}"),
	 CAROB_EINVALID, "state: \"gone\": expected one of active, draining"},
	{UPSTREAM("{\"id\":8,\"name\":\"u\",\"zone\":\"a\",\"addr\":"
		  "\"127.0.1.8:1\",\"weight\":2}"),
	 CAROB_EINVALID, "upstreams[1].weight: 2: expected one of the keys"},
	{SERVICE("{\"id\":1,\"name\":\"t\",\"addr\":\"127.0.0.1:"
		 "5702\"," SECOND_UPSTREAMS),
	 CAROB_EINVALID, "services[1].id: 1: expected an id that no other"},
	{SERVICE("{\"id\":2,\"name\":\"s\",\"addr\":\"127.0.0.1:"
		 "5702\"," SECOND_UPSTREAMS),
	 CAROB_EINVALID, "services[1].name: \"s\": expected a name that no"},
	{SERVICE("{\"id\":2,\"name\":\"t\",\"addr\":\"127.0.0.2:"
		 "5701\"," SECOND_UPSTREAMS),
	 CAROB_EINVALID,
	 "services[1].addr: \"127.0.0.2:5701\": expected a "
	 "port that no other service has"},
	{SERVICE("{\"id\":2,\"name\":\"t\",\"addr\":\"127.0.1.7:"
		 "5683\"," SECOND_UPSTREAMS),
	 CAROB_EINVALID,
	 "services[1].addr: \"127.0.1.7:5683\": expected an "
	 "address that no other service or upstream has"},
	{SERVICE("{\"id\":2,\"name\":\"t\",\"addr\":\"127.0.0.2:5702\","
		 "\"slots\":0,\"connections\":1,\"upstreams\":[]}"),
	 CAROB_EINVALID, "services[1].slots: 0: expected a whole number from"},
	{SERVICE("{\"id\":2,\"name\":\"t\",\"addr\":\"127.0.0.2:5702\","
		 "\"slots\":1,\"connections\":1000001,\"upstreams\":[]}"),
	 CAROB_EINVALID, "services[1].connections: 1000001: expected"},
	{SERVICE("{\"id\":2,\"name\":\"t\",\"addr\":\"127.0.0.2:5702\","
		 "\"slots\":1,\"connections\":1,\"upstreams\":[]}"),
	 CAROB_EINVALID, "services[1].upstreams: an array of 0: expected"},
	{SERVICE("{\"id\":2,\"name\":\"t\",\"addr\":\"127.0.0.2:"
		 "5702\"," SECOND_UPSTREAMS),
	 0, ""},
	{"{\"deployment\":\"d\",\"zones\":[\"a\",\"a\"],\"services\":[]}",
	 CAROB_EINVALID, "zones[1]: \"a\": expected a zone only once"},
	{"{\"deployment\":\"d\",\"zones\":[],\"services\":[]}", CAROB_EINVALID,
	 "zones: an array of 0: expected an array of 1 to"},
	{"{\"deployment\":\"d\",\"zones\":[\"a\"],\"services\":[]}",
	 CAROB_EINVALID, "services: an array of 0: expected an array of 1 to"},
	{"{\"deployment\":\"d\",\"zones\":[\"a\"],\"zones\":[\"b\"]}",
	 CAROB_EINVALID, "duplicate"},
	{"{\"generation\":4}", CAROB_EINVALID,
	 "m: generation: 4: expected one of the keys deployment, zones"},
	{"[1", CAROB_EFORMAT, "m: line 1"},
};

static void test_rules(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(manifest_cases); i++) {
		const manifest_case_t *c = &manifest_cases[i];
		carob_manifest_t *manifest = NULL;
		int result;

		carob_error_clear();
		result = carob_manifest_parse(&manifest, "m",
					      carob_str_from(c->json));
		CU_ASSERT_EQUAL(result, c->result);
		CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), c->message));
		CU_ASSERT_EQUAL(manifest != NULL, c->result == 0);
		carob_manifest_free(manifest);
	}
}

static void test_lookups(void)
{
	carob_manifest_t *manifest = NULL;
	const carob_manifest_service_t *service;
	const carob_manifest_upstream_t *upstream;
	carob_upstream_id_t id = {8, 3};
	char text[] = UPSTREAM("{\"id\":8,\"incarnation\":3,\"name\":\"u8\","
			       "\"zone\":\"b\",\"addr\":\"127.0.1.8:1\","
			       "\"state\":\"draining\"}");

	CU_ASSERT_EQUAL_FATAL(
		carob_manifest_parse(&manifest, "m", carob_str_from(text)), 0);
	memset(text, 'x', sizeof(text)); /* the manifest owns its names */
	service = carob_manifest_find_service(manifest, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(service);
	if (!service)
		return;
	CU_ASSERT_TRUE(carob_str_eq(service->name, CAROB_STR("s")));
	CU_ASSERT_EQUAL(service->max_runtime_ms, 30000);
	CU_ASSERT_PTR_NULL(carob_manifest_find_service(manifest, 2));
	upstream = carob_manifest_find_upstream(service, id);
	CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
	if (!upstream)
		return;
	CU_ASSERT_TRUE(carob_str_eq(upstream->name, CAROB_STR("u8")));
	CU_ASSERT_EQUAL(upstream->state, CAROB_UPSTREAM_DRAINING);
	CU_ASSERT_STRING_EQUAL(upstream->zone.name, "b");
	id.incarnation = 2;
	CU_ASSERT_PTR_NULL(carob_manifest_find_upstream(service, id));
	carob_manifest_free(manifest);
}

/* Parses the valid document, padded with blanks to `bytes`. */
static int parse_padded(size_t bytes)
{
	static char text[CAROB_MANIFEST_BYTES_MAX + 1];
	carob_manifest_t *manifest = NULL;
	int result;

	memset(text, ' ', sizeof(text));
	memcpy(text, VALID, sizeof(VALID) - 1);
	result = carob_manifest_parse(&manifest, "m",
				      (carob_str_t){text, bytes});
	carob_manifest_free(manifest);
	return result;
}

static void test_size_limit(void)
{
	CU_ASSERT_EQUAL(parse_padded(CAROB_MANIFEST_BYTES_MAX), 0);
	CU_ASSERT_EQUAL(parse_padded(CAROB_MANIFEST_BYTES_MAX + 1),
			CAROB_ELIMIT);
}

typedef struct example {
	const char *file;
	size_t zones;
	size_t upstreams[2];
	uint32_t slots;
} example_t;

static const example_t examples[] = {
	{CAROB_SOURCE_DIR "/examples/ga-central.json", 3, {14, 4}, 3},
	{CAROB_SOURCE_DIR "/examples/hou.json", 4, {14, 4}, 2},
};

static void check_example(const example_t *example)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	const carob_manifest_service_t *services;
	carob_manifest_t *manifest = NULL;
	size_t count;

	CU_ASSERT_EQUAL_FATAL(carob_file_read(&text, example->file,
					      CAROB_MANIFEST_BYTES_MAX),
			      0);
	CU_ASSERT_EQUAL_FATAL(carob_manifest_parse(&manifest, example->file,
						   carob_buf_view(&text)),
			      0);
	(void)carob_manifest_zones(manifest, &count);
	CU_ASSERT_EQUAL(count, example->zones);
	services = carob_manifest_services(manifest, &count);
	CU_ASSERT_EQUAL_FATAL(count, 2);
	for (size_t i = 0; i < count; i++) {
		CU_ASSERT_EQUAL(services[i].upstream_count,
				example->upstreams[i]);
		CU_ASSERT_EQUAL(services[i].slots, example->slots);
		CU_ASSERT_EQUAL(services[i].connections, 2000);
		CU_ASSERT_TRUE(services[i].reports_load);
	}
	carob_manifest_free(manifest);
}

static void test_examples(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(examples); i++)
		check_example(&examples[i]);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"every rule for documents is checked", test_rules},
		{"services and upstreams are found by id", test_lookups},
		{"1 MiB is accepted and 1 MiB + 1 byte is refused",
		 test_size_limit},
		{"the example deployments are valid", test_examples},
	};

	return run_tests("manifest", cases, CAROB_ARRAY_SIZE(cases));
}
