#include "ask.h"
#include "cli.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Status of the platform and the instances, as printed. */
typedef struct view {
	cli_t *cli;
	cli_answers_t answers;
	carob_head_t head; /* generation 0: not read, or nothing published */
	int head_result;
	uint64_t newest;	/* highest generation */
	uint64_t newest_age_ms; /* minimum time since it was accepted */
	size_t behind;		/* instances with a lower generation in force */
	size_t silent;		/* instances without a response */
} view_t;

static uint64_t get_u64(const json_t *object, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(object, key));

	return value > 0 ? (uint64_t)value : 0;
}

static json_t *parse_answer(const cli_answer_t *answer)
{
	if (answer->result != 0)
		return NULL;
	return json_loadb(answer->json.ptr, answer->json.len, 0, NULL);
}

/*
 * Finds the highest generation and the minimum time since it was accepted,
 * which is the longest time that an instance has had it in force.
 */
static void find_newest(view_t *view)
{
	view->newest = view->head.generation;
	for (size_t i = 0; i < view->answers.count; i++) {
		json_t *root = parse_answer(&view->answers.answers[i]);
		uint64_t generation = get_u64(root, "generation");
		uint64_t age = get_u64(root, "in_force_ms");

		if (generation > view->newest) {
			view->newest = generation;
			view->newest_age_ms = 0;
		}
		if (root && generation == view->newest &&
		    age > view->newest_age_ms)
			view->newest_age_ms = age;
		json_decref(root);
	}
}

static void count_instances(view_t *view)
{
	for (size_t i = 0; i < view->answers.count; i++) {
		json_t *root = parse_answer(&view->answers.answers[i]);

		view->silent += root == NULL;
		view->behind += root &&
				get_u64(root, "generation") < view->newest;
		json_decref(root);
	}
}

static void print_answer(const view_t *view, const json_t *root)
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
	if (generation < view->newest)
		printf("  behind by %" PRIu64 " for at least %.1f s",
		       view->newest - generation,
		       (double)view->newest_age_ms / 1000);
	printf("\n");
}

static void print_head(const view_t *view)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	carob_publish_id_format(id, &view->head.publish_id);
	if (!view->cli->platform)
		printf("platform: not queried (no --platform)\n");
	else if (view->head_result != 0)
		printf("platform: cannot read the published generation\n");
	else if (view->head.generation == 0)
		printf("platform: nothing is published\n");
	else
		printf("platform: generation %" PRIu64 ", publish %s\n",
		       view->head.generation, id);
}

static void print_text(const view_t *view)
{
	char addr[CAROB_ADDR_TEXT_MAX];

	print_head(view);
	printf("%8s %-12s %-8s %10s %9s %9s %8s %8s %8s %7s %7s\n", "instance",
	       "zone", "state", "generation", "since s", "answered", "cancels",
	       "refused", "unknown", "p50 us", "p99 us");
	for (size_t i = 0; i < view->answers.count; i++) {
		const cli_answer_t *answer = &view->answers.answers[i];
		json_t *root = parse_answer(answer);

		carob_addr_format(addr, &answer->addr);
		if (root)
			print_answer(view, root);
		else
			printf("%s: no response: %s\n", addr,
			       answer->json.ptr ? answer->json.ptr : "");
		json_decref(root);
	}
	printf("%zu instances: %zu behind generation %" PRIu64
	       ", %zu without an answer\n",
	       view->answers.count, view->behind, view->newest, view->silent);
}

static json_t *describe_head(const view_t *view)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	carob_publish_id_format(id, &view->head.publish_id);
	if (!view->cli->platform || view->head_result != 0)
		return json_null();
	return json_pack("{s:I,s:s}", "generation",
			 (json_int_t)view->head.generation, "publish", id);
}

static void print_json(const view_t *view)
{
	json_t *list = json_array();
	json_t *document;
	char *text;

	for (size_t i = 0; i < view->answers.count; i++) {
		const cli_answer_t *answer = &view->answers.answers[i];
		json_t *root = parse_answer(answer);
		char addr[CAROB_ADDR_TEXT_MAX];

		carob_addr_format(addr, &answer->addr);
		(void)json_array_append_new(
			list,
			json_pack("{s:s,s:i,s:o?}", "control", addr, "result",
				  answer->result, "status", root));
	}
	document = json_pack("{s:i,s:o,s:I,s:I,s:I,s:I,s:o}", "result", 0,
			     "platform", describe_head(view), "newest",
			     (json_int_t)view->newest, "newest_age_ms",
			     (json_int_t)view->newest_age_ms, "behind",
			     (json_int_t)view->behind, "silent",
			     (json_int_t)view->silent, "instances", list);
	text = json_dumps(document, JSON_COMPACT);
	printf("%s\n", text ? text : "{}");
	free(text);
	json_decref(document);
}

static void read_head(view_t *view, const char *deployment)
{
	cli_published_t published = {0};

	view->head_result = cli_connect(view->cli);
	if (view->head_result == 0)
		view->head_result =
			cli_read_published(&published, view->cli,
					   carob_str_from(deployment), false);
	view->head = published.head;
}

static int run_show(view_t *view, const char *deployment, const char *instances,
		    const char *secret_file)
{
	uint8_t secret[CAROB_KEY_BYTES];
	int result = 0;

	if (view->cli->platform)
		read_head(view, deployment);
	if (instances) {
		result = cli_read_secret(secret, secret_file);
		if (result == 0)
			result = cli_ask_all(&view->answers, secret, instances);
	}
	if (result != 0)
		return result;
	find_newest(view);
	count_instances(view);
	if (view->cli->json)
		print_json(view);
	else
		print_text(view);
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
	view_t view = {.cli = cli};
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
		result = run_show(&view, deployment, instances, secret_file);
	cli_answers_dispose(&view.answers);
	poptFreeContext(context);
	cli->platform = NULL;
	free(platform);
	free(deployment);
	free(instances);
	free(secret_file);
	return result;
}
