#include "flowd/settings.h"

#include "carobtrail/errors.h"
#include "test_runner.h"

#include <string.h>

#define REQUIRED                                                               \
	"\"instance\":\"flowd-1\",\"zone\":\"hou-a\","                         \
	"\"packets\":\"10.1.0.10:8172\",\"readiness\":\"10.1.0.10:8167\","     \
	"\"store\":\"10.200.1.7:8169\""

static const struct {
	const char *text;
	int result;
	const char *message; /* substring of the error message */
} cases[] = {
	{"{" REQUIRED "}", 0, NULL},
	{"{" REQUIRED ",\"metrics\":\"10.1.0.10:9464\",\"contact_ms\":5000,"
	 "\"apply_ms\":5000,\"stop_grace_s\":6,\"first_start\":true}",
	 0, NULL},
	{"{" REQUIRED ",\"contact_ms\":4500.5,\"apply_ms\":3000.25,"
	 "\"stop_grace_s\":6.5}",
	 0, NULL},
	{"{\"instance\":\"flowd-1\",\"zone\":"
	 "\"a zone with a name of more than 31 bytes\","
	 "\"packets\":\"10.1.0.10:8172\",\"readiness\":\"10.1.0.10:8167\","
	 "\"store\":\"10.200.1.7:8169\"}",
	 0, NULL},
	{"{" REQUIRED ",\"relay\":\"10.1.0.10:7720\",\"relay_upstreams\":1}", 0,
	 NULL},
	{"{" REQUIRED ",\"relay\":7720}", CAROB_EINVALID, "relay"},
	{"{" REQUIRED ",\"relay_upstreams\":0}", CAROB_EINVALID,
	 "relay_upstreams"},
	{"{" REQUIRED ",\"relay_upstreams\":1.5}", CAROB_EINVALID,
	 "relay_upstreams"},
	{"{" REQUIRED ",\"relay\":\"10.1.0.10:7720\",\"share_load\":true}", 0,
	 NULL},
	{"{" REQUIRED ",\"share_load\":false}", 0, NULL},
	{"{" REQUIRED ",\"share_load\":true}", CAROB_EINVALID, "share_load"},
	{"{" REQUIRED ",\"relay\":\"10.1.0.10:7720\",\"share_load\":1}",
	 CAROB_EINVALID, "share_load"},
	{"{" REQUIRED ",\"link_mbps\":20.5}", 0, NULL},
	{"{" REQUIRED ",\"link_mbps\":-1}", CAROB_EINVALID, "link_mbps"},
	{"{" REQUIRED ",\"cold_overage\":1.5,\"cold_slack\":5,"
	 "\"pace_instances\":28}",
	 0, NULL},
	{"{" REQUIRED ",\"cold_overage\":0.99}", CAROB_EINVALID,
	 "cold_overage"},
	{"{" REQUIRED ",\"cold_overage\":0}", CAROB_EINVALID, "cold_overage"},
	{"{" REQUIRED ",\"cold_slack\":-1}", CAROB_EINVALID, "cold_slack"},
	{"{" REQUIRED ",\"pace_instances\":0}", CAROB_EINVALID,
	 "pace_instances"},
	{"{" REQUIRED ",\"link_mbps\":\"20\"}", CAROB_EINVALID, "link_mbps"},
	{"{" REQUIRED ",\"low_priority_floor\":0}", 0, NULL},
	{"{" REQUIRED ",\"low_priority_floor\":1}", 0, NULL},
	{"{" REQUIRED ",\"low_priority_floor\":-0.1}", CAROB_EINVALID,
	 "low_priority_floor"},
	{"{" REQUIRED ",\"low_priority_floor\":1.01}", CAROB_EINVALID,
	 "low_priority_floor"},
	{"{" REQUIRED ",\"low_priority_floor\":\"0.1\"}", CAROB_EINVALID,
	 "low_priority_floor"},
	{"{" REQUIRED ",\"stop_grace_s\":1e300}", CAROB_EINVALID,
	 "stop_grace_s"},
	{"{}", CAROB_EINVALID, "instance"},
	{"[]", CAROB_EINVALID, "expected"},
	{"{" REQUIRED ",\"colour\":1}", CAROB_EINVALID, "colour"},
	{"{" REQUIRED ",\"contact_ms\":99}", CAROB_EINVALID, "contact_ms"},
	{"{" REQUIRED ",\"contact_ms\":\"4000\"}", CAROB_EINVALID,
	 "contact_ms"},
	{"{" REQUIRED ",\"stop_grace_s\":0}", CAROB_EINVALID, "stop_grace_s"},
	{"{" REQUIRED ",\"metrics\":\"somewhere\"}", CAROB_EINVALID, "metrics"},
	{"{\"instance\":\"flowd-1\",\"zone\":\"hou-a\",\"packets\":\"x\"}",
	 CAROB_EINVALID, "packets"},
};

static void test_settings(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		carob_json_doc_t *doc = NULL;
		flowd_settings_t settings;
		carob_json_node_t root;
		int result;

		CU_ASSERT_EQUAL_FATAL(
			carob_json_doc_parse(&doc, "settings",
					     carob_str_from(cases[i].text),
					     CAROB_JSON_SETTINGS_BYTES_MAX),
			0);
		root = carob_json_doc_root(doc);
		result = flowd_settings_read(&settings, &root);
		CU_ASSERT_EQUAL(result, cases[i].result);
		if (cases[i].message)
			CU_ASSERT_PTR_NOT_NULL(
				strstr(carob_error_last(), cases[i].message));
		carob_json_doc_free(doc);
	}
}

/* Reads settings that must be accepted; their strings borrow from `doc`. */
static flowd_settings_t read_valid(carob_json_doc_t **doc, const char *text)
{
	flowd_settings_t settings = {0};
	carob_json_node_t root;

	CU_ASSERT_EQUAL_FATAL(
		carob_json_doc_parse(doc, "settings", carob_str_from(text),
				     CAROB_JSON_SETTINGS_BYTES_MAX),
		0);
	root = carob_json_doc_root(*doc);
	CU_ASSERT_EQUAL(flowd_settings_read(&settings, &root), 0);
	return settings;
}

/* The platform may give durations as fractions, which must not be refused. */
static void test_fractions(void)
{
	carob_json_doc_t *doc = NULL;
	flowd_settings_t settings = read_valid(&doc, "{" REQUIRED
						     ",\"contact_ms\":4500.5,"
						     "\"stop_grace_s\":6.5}");

	CU_ASSERT_EQUAL(settings.contact_ms, 4500);
	CU_ASSERT_EQUAL(settings.stop_grace_ms, 6500);
	carob_json_doc_free(doc);
}

static void test_defaults(void)
{
	carob_json_doc_t *doc = NULL;
	flowd_settings_t settings = read_valid(&doc, "{" REQUIRED "}");

	CU_ASSERT_EQUAL(settings.contact_ms, 4000);
	CU_ASSERT_EQUAL(settings.apply_ms, 3000);
	CU_ASSERT_EQUAL(settings.stop_grace_ms, 6000);
	CU_ASSERT_EQUAL(settings.metrics.family, 0);
	CU_ASSERT_DOUBLE_EQUAL(settings.low_priority_floor, 0.1, 1e-9);
	CU_ASSERT_EQUAL(settings.packets.port, 8172);
	CU_ASSERT_FALSE(settings.first_start);
	CU_ASSERT_EQUAL(settings.cold_overage, 0);
	CU_ASSERT_EQUAL(settings.pace_instances, 150);
	carob_json_doc_free(doc);
}

int main(void)
{
	static const test_case_t tests[] = {
		{"valid and invalid settings", test_settings},
		{"fractional durations", test_fractions},
		{"default values", test_defaults},
	};

	return run_tests("flowd settings", tests, CAROB_ARRAY_SIZE(tests));
}
