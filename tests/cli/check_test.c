#include "cli/check/check.h"
#include "test_runner.h"

#include "carobtrail/errors.h"

#include <stdio.h>
#include <string.h>

/* One member a line, so that each has a line of its own. */
#define ROUTE(name, host, more)                                                \
	"{\"name\":\"" name "\",\"hostname\":\"" host "\",\n"                  \
	"\"route_type\":\"safe\",\"max_attempts\":2," more "}"
#define PORT	 "\"prefix\":\"/443/\","
#define TIMES	 "\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2"
#define TO(name) "\"service\":\"" name "\""
#define SPLIT(a, b)                                                            \
	"\"traffic_split\":[{\"service\":\"a\",\"weight\":" a "},"             \
	"{\"service\":\"b\",\"weight\":" b "}]"
#define SERVICE(name, more)                                                    \
	"{\"name\":\"" name "\",\"health_path\":\"/health\",\"max_conns\":9,"  \
	"\"protocol\":\"h1\",\"tls\":false" more "}"
#define A   SERVICE("a", "")
#define A_B A "," SERVICE("b", "")
#define LIMITS                                                                 \
	"{\"max_header_bytes\":1,\"max_body_bytes\":1,"                        \
	"\"header_timeout_ms\":1,\"idle_timeout_ms\":15000}"
#define CONFIG(version, routes, services, limits)                              \
	"{\"version\":" version ",\n\"routes\":[\n" routes                     \
	"],\n\"services\":[" services "],\n\"limits\":" limits "}"
#define WITH(routes, services) CONFIG("7", routes, services, LIMITS)
#define ONE_ROUTE(more)	       WITH(ROUTE("r", "198.18.0.1", more), A)
#define GOOD		       ONE_ROUTE(PORT TIMES "," TO("a"))
#define NINE_NUMBERS	       "\"traffic_split\":[1,2,3,4,5,6,7,8,9]"
#define THREE_SHARES                                                           \
	"{\"service\":\"a\",\"weight\":1},"                                    \
	"{\"service\":\"a\",\"weight\":2},"                                    \
	"{\"service\":\"a\",\"weight\":3}"
#define NINE_SHARES                                                            \
	"\"traffic_split\":[" THREE_SHARES "," THREE_SHARES "," THREE_SHARES "]"
#define SETTINGS                                                               \
	"\"instance\":\"flowd-1\",\"zone\":\"z\","                             \
	"\"packets\":\"10.1.0.10:8172\",\"readiness\":\"10.1.0.10:8167\","     \
	"\"store\":\"10.200.1.7:8169\""

/* A wrong severity would let a script send what carob-flowd refuses, or stop
 * what it accepts; a finding without its line is of little help. */
static const struct {
	const char *config;
	int status;
	unsigned int line;
	const char *path;
	const char *reason; /* part of it; NULL: no finding at all */
} cases[] = {
	{GOOD, 0, 0, "", NULL},
	/* What can't be decoded. */
	{"", 2, 1, "", "expected valid JSON"},
	{"{\"version\":1,\n]", 2, 2, "", "expected valid JSON"},
	{"{\"version\":1,\n\"version\":2}", 2, 2, "", "duplicate object key"},
	{"[]", 2, 0, "", "expected an object"},
	{"{}", 2, 1, "routes", "missing"},
	{CONFIG("7.0", ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")), A,
		LIMITS),
	 2, 1, "version", "7.0: expected"},
	{CONFIG("-1", "", "", LIMITS), 2, 1, "version", "-1: expected"},
	{WITH("7", ""), 2, 3, "routes[0]", "7: expected a route"},
	{WITH(ROUTE("r", "::1", PORT TIMES "," TO("a")), A), 2, 3,
	 "routes[0].hostname", "an IPv4 address"},
	{ONE_ROUTE("\"prefix\":\"/65536/\"," TIMES "," TO("a")), 2, 4,
	 "routes[0].prefix", "\"/65536/\": expected a port"},
	{ONE_ROUTE(TIMES "," TO("a")), 2, 3, "routes[0].prefix", "missing"},
	{ONE_ROUTE(PORT TIMES), 2, 3, "routes[0].service", "missing"},
	{ONE_ROUTE(PORT TIMES "," NINE_SHARES), 0, 0, NULL, NULL},
	{ONE_ROUTE(PORT TIMES "," NINE_NUMBERS), 2, 4,
	 "routes[0].traffic_split[8]", "9: expected a share"},
	{WITH(ROUTE("r", "198.18.0.1", PORT TIMES "," SPLIT("1", "0.5")), A_B),
	 2, 4, "routes[0].traffic_split[1].weight", "0.5: expected"},
	{"{\"version\":7,\"routes\":[],\"services\":[],\"limits\":" LIMITS
	 ",\"x\":[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]}",
	 2, 1, "", "17 levels"},
	/* What can be decoded, but is wrong. */
	{ONE_ROUTE(PORT "\"timeout_ms\":2.5,\"target_latency_ms\":1,"
			"\"priority\":2," TO("a")),
	 2, 4, "routes[0].timeout_ms", "2.5: expected a whole number"},
	{ONE_ROUTE(PORT "\"timeout_ms\":2000,\"target_latency_ms\":300,"
			"\"priority\":-2," TO("a")),
	 2, 4, "routes[0].priority", "-2: expected a whole number"},
	{"{\"version\":7,\"routes\":[{\"route_type\":\"fast\"}]}", 2, 1,
	 "routes[0].route_type", "\"fast\": expected \"safe\""},
	{ONE_ROUTE(PORT TIMES "," TO("x")), 2, 4, "routes[0].service",
	 "not declared"},
	{WITH(ROUTE("r", "198.18.0.1", PORT TIMES "," SPLIT("0", "0")), A_B), 2,
	 4, "routes[0].traffic_split", "no weight is above 0"},
	{WITH(ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")) "," ROUTE(
		      "r", "198.18.0.2", PORT TIMES "," TO("a")),
	      A),
	 2, 4, "routes[1].name", "duplicate"},
	{WITH(ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")), A "," A), 2, 5,
	 "services[1].name", "duplicate"},
	{WITH("", SERVICE("a", ",\"cold_per_s\":-1")), 2, 4,
	 "services[0].cold_per_s", "-1: expected"},
	/* What has no effect. */
	{WITH(ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")) ",\n" ROUTE(
		      "s", "198.18.0.1", PORT TIMES "," TO("a")),
	      A),
	 1, 5, "routes[1]", "never matches: routes[0]"},
	{WITH(ROUTE("r", "198.18.0.1", PORT TIMES "," SPLIT("1", "0")), A_B), 1,
	 4, "routes[0].traffic_split[1].weight", "receives no flows"},
	{WITH(ROUTE("r", "198.18.0.1",
		    PORT TIMES "," TO("b") "," SPLIT("1", "1")),
	      A_B),
	 1, 4, "routes[0].service", "no effect"},
	{WITH("", A), 1, 4, "services[0]", "no route uses"},
	{ONE_ROUTE(PORT TIMES "," TO("a") ",\"co\\u001bl\":1"), 1, 3,
	 "routes[0].co?l", "unknown field"},
	{CONFIG("7", "", "", "{\"idle_timeout_ms\":0}"), 1, 5,
	 "limits.max_body_bytes", "missing"},
	/* What contradicts itself. */
	{ONE_ROUTE(PORT "\"timeout_ms\":2000,\"target_latency_ms\":2001,"
			"\"priority\":2," TO("a")),
	 1, 4, "routes[0].target_latency_ms", "above timeout_ms"},
	{ONE_ROUTE(PORT "\"timeout_ms\":599,\"target_latency_ms\":300,"
			"\"priority\":2," TO("a")),
	 1, 4, "routes[0].timeout_ms", "deferring a flow never helps"},
	{ONE_ROUTE(PORT "\"timeout_ms\":15001,\"target_latency_ms\":300,"
			"\"priority\":2," TO("a")),
	 1, 6, "limits.idle_timeout_ms", "below timeout_ms of routes[0]"},
	{WITH(ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")),
	      SERVICE("a", ",\"cold_start_s\":2.0,\"cold_per_s\":0.0")),
	 0, 5, "services[0].cold_per_s", "no rate is stated"},
};

static const check_finding_t *find(const check_report_t *report,
				   const char *path, const char *reason)
{
	for (size_t i = 0; i < report->count; i++)
		if (strcmp(report->items[i].path, path) == 0 &&
		    strstr(report->items[i].reason, reason))
			return &report->items[i];
	return NULL;
}

static void test_configurations(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		CAROB_CLEANUP(check_report_dispose) check_report_t report;
		check_input_t input = {.config =
					       carob_str_from(cases[i].config)};
		const check_finding_t *found = NULL;

		CU_ASSERT_EQUAL(check_run(&report, &input), 0);
		CU_ASSERT_EQUAL(check_report_status(&report), cases[i].status);
		if (cases[i].reason)
			found = find(&report, cases[i].path, cases[i].reason);
		if (!cases[i].reason ? report.count != 0
				     : !found || found->line != cases[i].line) {
			printf("case %zu: line %u\n", i,
			       found ? found->line : 0);
			CU_FAIL("finding");
		}
	}
}

static const struct {
	const char *settings;
	int status;
	const char *path;
	const char *reason;
} settings_cases[] = {
	{"{" SETTINGS ",\"cold_overage\":1.5}", 0, "", NULL},
	{"{" SETTINGS "}", 1, "cold_overage", "cold_per_s of service a"},
	{"{" SETTINGS ",\"cold_overage\":0.9}", 2, "cold_overage", "at least"},
	{"{" SETTINGS ",\"cold_overage\":1}", 1, "cold_overage", "one flow"},
	{"{\"low_priority_floor\":1.5}", 2, "low_priority_floor", "0 to 1"},
	{"{" SETTINGS ",\"cold_overage\":1.5,\"contact_ms\":2000}", 1,
	 "apply_ms", "above contact_ms"},
	{"{" SETTINGS ",\"cold_slack\":5}", 1, "cold_slack", "no effect"},
	{"{\"cold_overage\":1.5}", 2, "", "carob-flowd refuses this"},
	{"{", 2, "", "expected valid JSON"},
};

/* Settings and configuration are sent by different ways, and the reader of the
 * settings does not know the configuration. */
static void test_settings(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(settings_cases); i++) {
		CAROB_CLEANUP(check_report_dispose) check_report_t report;
		check_input_t input = {
			.config = CAROB_STR(
				WITH(ROUTE("r", "198.18.0.1",
					   PORT TIMES "," TO("a")),
				     SERVICE("a", ",\"cold_start_s\":2,"
						  "\"cold_per_s\":0.8"))),
			.settings = carob_str_from(settings_cases[i].settings)};

		CU_ASSERT_EQUAL(check_run(&report, &input), 0);
		CU_ASSERT_EQUAL(check_report_status(&report),
				settings_cases[i].status);
		CU_ASSERT_TRUE(!settings_cases[i].reason ||
			       find(&report, settings_cases[i].path,
				    settings_cases[i].reason));
	}
}

/* What ends open flows must come first, and an older version, which instances
 * ignore, must not pass. */
static void test_differences(void)
{
	static const char *const order[] = {
		"198.18.0.1:443: route dropped",
		"198.18.0.3:443: route added",
		"services {\"b\": 1}, were",
		"shares {\"a\": 1, \"b\": 2}",
		"7: was 2",
		"900: was 2000",
	};
	CAROB_CLEANUP(check_report_dispose) check_report_t report;
	check_input_t input = {
		.in_force = CAROB_STR(CONFIG(
			"7",
			ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")) "," ROUTE(
				"s", "198.18.0.2",
				PORT TIMES
				"," TO("a")) "," ROUTE("t", "198.18.0.4",
						       PORT TIMES
						       "," SPLIT("1", "1")),
			A_B, LIMITS)),
		.config = CAROB_STR(CONFIG(
			"8",
			ROUTE("r", "198.18.0.3", PORT TIMES "," TO("a")) "," ROUTE(
				"s", "198.18.0.2",
				PORT
				"\"timeout_ms\":900,\"priority\":7,"
				"\"target_latency_ms\":300," TO(
					"b")) "," ROUTE("t", "198.18.0.4",
							PORT TIMES
							"," SPLIT("1", "2")),
			A_B, LIMITS))};

	CU_ASSERT_EQUAL(check_run(&report, &input), 0);
	CU_ASSERT_EQUAL(check_report_status(&report), 1);
	CU_ASSERT_EQUAL_FATAL(report.count, CAROB_ARRAY_SIZE(order));
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(order); i++)
		CU_ASSERT_PTR_NOT_NULL(
			strstr(report.items[i].reason, order[i]));
}

static const struct {
	const char *in_force;
	uint64_t instance;
	int result;
	int status;
} version_cases[] = {
	{NULL, 6, 0, 0},
	{NULL, 7, 0, 2},
	{GOOD, 0, 0, 2},
	{CONFIG("6", ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")), A,
		LIMITS),
	 0, 0, 0},
	{CONFIG("6", ROUTE("r", "198.18.0.1", PORT TIMES "," TO("a")), A,
		LIMITS),
	 5, 0, 1},
	{"{}", 0, CAROB_EFORMAT, 0},
};

static void test_versions(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(version_cases); i++) {
		CAROB_CLEANUP(check_report_dispose) check_report_t report;
		check_input_t input = {.config = CAROB_STR(GOOD),
				       .version_in_force =
					       version_cases[i].instance};

		if (version_cases[i].in_force)
			input.in_force =
				carob_str_from(version_cases[i].in_force);
		CU_ASSERT_EQUAL(check_run(&report, &input),
				version_cases[i].result);
		CU_ASSERT_EQUAL(check_report_status(&report),
				version_cases[i].status);
	}
}

/* A great many warnings must not hide an error that is found after them. */
static void test_many_findings(void)
{
	CAROB_CLEANUP(check_report_dispose) check_report_t report;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	check_input_t input = {0};

	CU_ASSERT_EQUAL(carob_buf_printf(&text, "{"), 0);
	for (int i = 0; i < CHECK_FINDINGS_MAX + 5; i++)
		CU_ASSERT_EQUAL(carob_buf_printf(&text, "\"%d\":1,", i), 0);
	CU_ASSERT_EQUAL(carob_buf_printf(&text, "%s",
					 "\"version\":7,\"routes\":[],"
					 "\"services\":[{\"name\":7}],"
					 "\"limits\":" LIMITS "}"),
			0);
	input.config = carob_buf_view(&text);
	CU_ASSERT_EQUAL(check_run(&report, &input), 0);
	CU_ASSERT_PTR_NOT_NULL(find(&report, "services[0].name", "7"));
	/* The service also lacks four members. */
	CU_ASSERT_EQUAL(report.omitted, 5 + 4);
}

int main(void)
{
	static const test_case_t tests[] = {
		{"configurations", test_configurations},
		{"settings", test_settings},
		{"order of differences", test_differences},
		{"versions in force", test_versions},
		{"many findings", test_many_findings},
	};

	return run_tests("check", tests, CAROB_ARRAY_SIZE(tests));
}
