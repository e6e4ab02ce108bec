#include "test_runner.h"

#include "carobtrail/errors.h"
#include "entryd/settings.h"

#include <stdio.h>
#include <string.h>

#define SECRET                                                                 \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define HEAD "{\"instance\":11,\"zone\":\"macon-a\",\"deployment\":\"ga\","
#define ADDRS                                                                  \
	"\"service_ip\":\"127.0.4.1\",\"relay\":\"127.0.4.1:7001\","           \
	"\"control\":\"127.0.4.1:7002\""
#define TAIL ",\"secret\":\"" SECRET "\"}"

/* A settings document and the text that its error must contain; NULL if the
 * document is valid. */
typedef struct settings_case {
	const char *json;
	const char *error_part;
} settings_case_t;

static const settings_case_t settings_cases[] = {
	{HEAD ADDRS TAIL, NULL},
	{HEAD ADDRS ",\"seeds\":[\"127.0.4.2:7002\"]" TAIL, NULL},
	{HEAD ADDRS ",\"platform\":\"127.0.3.1:8500\"" TAIL, NULL},
	{HEAD ADDRS ",\"colour\":1" TAIL, "colour"},
	{"{\"zone\":\"macon-a\",\"deployment\":\"ga\"," ADDRS TAIL, "instance"},
	{"{\"instance\":0,\"zone\":\"macon-a\",\"deployment\":\"ga\"," ADDRS
		 TAIL,
	 "instance"},
	{HEAD "\"service_ip\":\"nowhere\"" TAIL, "service_ip"},
	{HEAD "\"service_ip\":\"127.0.4.1\",\"relay\":\"127.0.4.1\"" TAIL,
	 "relay"},
	{HEAD ADDRS ",\"seeds\":[\"127.0.4.2\"]" TAIL, "seeds[0]"},
	{HEAD ADDRS "}", "secret"},
	{HEAD ADDRS ",\"secret\":\"00\"}", "secret"},
	{HEAD ADDRS ",\"secret\":\"Z" SECRET "\"}", "secret"},
};

static int read_settings(entryd_settings_t *out, carob_json_doc_t **doc,
			 const char *json)
{
	carob_json_node_t root;

	CU_ASSERT_EQUAL_FATAL(
		carob_json_doc_parse(doc, "entryd.json", carob_str_from(json),
				     CAROB_JSON_SETTINGS_BYTES_MAX),
		0);
	root = carob_json_doc_root(*doc);
	return entryd_settings_read(out, &root);
}

static void test_validation(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(settings_cases); i++) {
		const settings_case_t *c = &settings_cases[i];
		entryd_settings_t settings;
		carob_json_doc_t *doc;
		int error;

		error = read_settings(&settings, &doc, c->json);
		if (error && (!c->error_part ||
			      !strstr(carob_error_last(), c->error_part)))
			printf("\n%s\n%s\n", c->json, carob_error_last());
		CU_ASSERT_EQUAL(error, c->error_part ? CAROB_EINVALID : 0);
		if (c->error_part)
			CU_ASSERT_PTR_NOT_NULL(
				strstr(carob_error_last(), c->error_part));
		carob_json_doc_free(doc);
	}
}

static void test_defaults(void)
{
	entryd_settings_t settings;
	carob_json_doc_t *doc;

	CU_ASSERT_EQUAL_FATAL(read_settings(&settings, &doc, HEAD ADDRS TAIL),
			      0);
	CU_ASSERT_EQUAL(settings.instance, 11);
	CU_ASSERT_EQUAL(settings.secret[31], 0x1f);
	CU_ASSERT_EQUAL(settings.platform.family, 0);
	CU_ASSERT_EQUAL(settings.service_ip.port, 0);
	CU_ASSERT_TRUE(
		carob_addr_eq(&settings.relay, &settings.relay_advertised));
	CU_ASSERT_TRUE(
		carob_addr_eq(&settings.control, &settings.control_advertised));
	carob_json_doc_free(doc);
}

/* An invalid secret must not appear in the error text, which is logged. */
static void test_error_without_secret(void)
{
	entryd_settings_t settings;
	carob_json_doc_t *doc;

	CU_ASSERT_EQUAL(read_settings(&settings, &doc,
				      HEAD ADDRS ",\"secret\":\"5ecre7\"}"),
			CAROB_EINVALID);
	CU_ASSERT_PTR_NULL(strstr(carob_error_last(), "5ecre7"));
	carob_json_doc_free(doc);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"an invalid document is refused with the key in the error",
		 test_validation},
		{"keys that are missing have their defaults", test_defaults},
		{"the error of an invalid secret does not contain it",
		 test_error_without_secret},
	};

	return run_tests("settings", cases, CAROB_ARRAY_SIZE(cases));
}
