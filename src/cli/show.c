#include "cli.h"
#include "query.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Status of the platform and the instances, as printed. */
typedef struct report {
	cli_t *cli;
	cli_responses_t responses;
	carob_head_t head; /* generation 0: not read, or nothing published */
	int head_result;
	uint64_t newest;	/* highest generation */
	uint64_t newest_age_ms; /* minimum time since it was accepted */
	size_t behind;		/* instances with a lower generation in force */
	size_t unresponsive;	/* instances without a response */
} report_t;

static uint64_t get_u64(const json_t *object, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(object, key));

	return value > 0 ? (uint64_t)value : 0;
}

static json_t *parse_response(const cli_response_t *response)
{
	if (response->result != 0)
		return NULL;
	return json_loadb(response->json.ptr, response->json.len, 0, NULL);
}

/*
 * Finds the highest generation and the minimum time since it was accepted,
 * which is the longest time that an instance has had it in force.
 */
static void find_newest(report_t *report)
{
	report->newest = report->head.generation;
	for (size_t i = 0; i < report->responses.count; i++) {
		json_t *root = parse_response(&report->responses.items[i]);
		uint64_t generation = get_u64(root, "generation");
		uint64_t age = get_u64(root, "in_force_ms");

		if (generation > report->newest) {
			report->newest = generation;
			report->newest_age_ms = 0;
		}
		if (root && generation == report->newest &&
		    age > report->newest_age_ms)
			report->newest_age_ms = age;
		json_decref(root);
	}
}

static void count_instances(report_t *report)
{
	for (size_t i = 0; i < report->responses.count; i++) {
		json_t *root = parse_response(&report->responses.items[i]);

		report->unresponsive += root == NULL;
		report->behind += root &&
				  get_u64(root, "generation") < report->newest;
		json_decref(root);
	}
}

static void print_response(const report_t *report, const json_t *root)
{
	const json_t *requests = json_object_get(root, "requests");
	const json_t *latency = json_object_get(root, "latency_us");
	const char *zone = json_string_value(json_object_get(root, "zone"));
	const char *state = json_string_value(json_object_get(root, "state"));
	uint64_t generation = get_u64(root, "generation");

	printf("%8" PRIu64 " %-12s %-8s %10" PRIu64 " %9.1f",
	       get_u64(root, "instance"), zone ? zone : "?",
	       state ? state : "?", generation,
	       (double)get_u64(root, "in_force_ms") / 1000);
	printf(" %9" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %7" PRIu64
	       " %7" PRIu64,
	       get_u64(requests, "answered"),
	       get_u64(requests, "cancelled_before") +
		       get_u64(requests, "cancelled_after"),
	       get_u64(requests, "refused_not_run"),
	       get_u64(requests, "outcome_unknown"), get_u64(latency, "p50"),
	       get_u64(latency, "p99"));
	if (generation < report->newest)
		printf("  behind by %" PRIu64 " for at least %.1f s",
		       report->newest - generation,
		       (double)report->newest_age_ms / 1000);
	printf("\n");
}

static void print_head(const report_t *report)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	carob_publish_id_format(id, &report->head.publish_id);
	if (!report->cli->platform)
		printf("platform: not queried (no --platform)\n");
	else if (report->head_result != 0)
		printf("platform: cannot read the published generation\n");
	else if (report->head.generation == 0)
		printf("platform: nothing is published\n");
	else
		printf("platform: generation %" PRIu64 ", publish %s\n",
		       report->head.generation, id);
}

static void print_text(const report_t *report)
{
	char addr[CAROB_ADDR_TEXT_MAX];

	print_head(report);
	printf("%8s %-12s %-8s %10s %9s %9s %8s %8s %8s %7s %7s\n", "instance",
	       "zone", "state", "generation", "since s", "answered", "cancels",
	       "refused", "unknown", "p50 us", "p99 us");
	for (size_t i = 0; i < report->responses.count; i++) {
		const cli_response_t *response = &report->responses.items[i];
		json_t *root = parse_response(response);

		carob_addr_format(addr, &response->addr);
		if (root)
			print_response(report, root);
		else
			printf("%s: no response: %s\n", addr,
			       response->json.ptr ? response->json.ptr : "");
		json_decref(root);
	}
	printf("%zu instances: %zu behind generation %" PRIu64
	       ", %zu without an answer\n",
	       report->responses.count, report->behind, report->newest,
	       report->unresponsive);
}

static json_t *describe_head(const report_t *report)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	carob_publish_id_format(id, &report->head.publish_id);
	if (!report->cli->platform || report->head_result != 0)
		return json_null();
	return json_pack("{s:I,s:s}", "generation",
			 (json_int_t)report->head.generation, "publish", id);
}

static void print_json(const report_t *report)
{
	json_t *list = json_array();
	json_t *document;
	char *text;

	for (size_t i = 0; i < report->responses.count; i++) {
		const cli_response_t *response = &report->responses.items[i];
		json_t *root = parse_response(response);
		char addr[CAROB_ADDR_TEXT_MAX];

		carob_addr_format(addr, &response->addr);
		(void)json_array_append_new(
			list,
			json_pack("{s:s,s:i,s:o?}", "control", addr, "result",
				  response->result, "status", root));
	}
	document = json_pack("{s:i,s:o,s:I,s:I,s:I,s:I,s:o}", "result", 0,
			     "platform", describe_head(report), "newest",
			     (json_int_t)report->newest, "newest_age_ms",
			     (json_int_t)report->newest_age_ms, "behind",
			     (json_int_t)report->behind, "silent",
			     (json_int_t)report->unresponsive, "instances",
			     list);
	text = json_dumps(document, JSON_COMPACT);
	printf("%s\n", text ? text : "{}");
	free(text);
	json_decref(document);
}

static void read_head(report_t *report, const char *deployment)
{
	cli_published_t published = {0};

	report->head_result = cli_connect(report->cli);
	if (report->head_result == 0)
		report->head_result =
			cli_read_published(&published, report->cli,
					   carob_str_from(deployment), false);
	report->head = published.head;
}

static int run_show(report_t *report, const char *deployment,
		    const char *instances, const char *secret_file)
{
	uint8_t secret[CAROB_KEY_BYTES];
	int result = 0;

	if (report->cli->platform)
		read_head(report, deployment);
	if (instances) {
		result = cli_read_secret(secret, secret_file);
		if (result == 0)
			result = cli_query_all(&report->responses, secret,
					       instances);
	}
	if (result != 0)
		return result;
	find_newest(report);
	count_instances(report);
	if (report->cli->json)
		print_json(report);
	else
		print_text(report);
	return 0;
}

int cli_show(cli_t *cli, int argc, const char **argv)
{
	char *platform = NULL;
	char *deployment = NULL;
	char *instances = NULL;
	char *secret_file = NULL;
	struct poptOption options[] = {
		{"platform", 'p', POPT_ARG_STRING, &platform, 0,
		 "address of the platform's key-value service", "ADDRESS:PORT"},
		{"deployment", 'd', POPT_ARG_STRING, &deployment, 0,
		 "deployment whose generation is read from the platform",
		 "NAME"},
		{"instances", 'n', POPT_ARG_STRING, &instances, 0,
		 "control addresses of instances to query; the instances "
		 "in their member lists are queried too",
		 "ADDRESS:PORT,..."},
		{"secret-file", 's', POPT_ARG_STRING, &secret_file, 0,
		 "file with the deployment's secret", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	report_t report = {.cli = cli};
	poptContext context = NULL;
	int result = cli_parse(&context, argc, argv, options, "[OPTION...]");

	if (result != 0)
		return result;
	cli->platform = platform;
	if (poptPeekArg(context) || (!platform && !instances) ||
	    (platform && !deployment))
		result = carob_error_set(CAROB_EUSAGE,
					 "show: expected --instances, or "
					 "--platform with --deployment, or "
					 "all of them");
	else
		result = run_show(&report, deployment, instances, secret_file);
	cli_responses_dispose(&report.responses);
	poptFreeContext(context);
	cli->platform = NULL;
	free(platform);
	free(deployment);
	free(instances);
	free(secret_file);
	return result;
}
