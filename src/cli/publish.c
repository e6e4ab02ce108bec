#include "cli.h"
#include "confirm.h"

#include "carobtrail/errors.h"
#include "carobtrail/publish.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

/* Options and outcome of the command. */
typedef struct publish_run {
	cli_t *cli;
	int has_base;
	long long base;
	long long above;
	char *publish_id;
	char *confirm;
	char *secret_file;
	uint64_t confirmed;
	carob_publish_outcome_t outcome;
	int clean_result;
	size_t cleaned;
} publish_run_t;

static void on_published(void *context, const carob_publish_outcome_t *outcome)
{
	publish_run_t *run = context;

	run->outcome = *outcome;
	carob_loop_stop(run->cli->loop);
}

static void on_cleaned(void *context, int result, size_t removed)
{
	publish_run_t *run = context;

	run->clean_result = result;
	run->cleaned = removed;
	carob_loop_stop(run->cli->loop);
}

static int choose_publish_id(carob_publish_id_t *out, const publish_run_t *run)
{
	if (run->publish_id)
		return carob_publish_id_parse(out,
					      carob_str_from(run->publish_id));
	randombytes_buf(out->bytes, sizeof(out->bytes));
	return 0;
}

static int publish_manifest(publish_run_t *run, carob_manifest_t *manifest,
			    const carob_publish_id_t *id)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	carob_publish_t *object = NULL;
	int result;

	options.kernel = run->cli->kernel;
	options.kv = run->cli->kv;
	options.manifest = manifest;
	options.publish_id = *id;
	options.has_base = run->has_base != 0;
	options.base = (uint64_t)run->base;
	options.confirmed = run->confirmed;
	options.above = run->above > 0 ? (uint64_t)run->above : 0;
	options.seed = carob_kernel_now_ns(run->cli->kernel);
	options.done = on_published;
	options.context = run;
	result = carob_publish_new(&object, &options);
	if (result == 0)
		result = carob_loop_run(run->cli->loop);
	carob_publish_free(object);
	return result != 0 ? result : run->outcome.result;
}

/*
 * Removes the parts that are no longer needed. Errors are ignored, because the
 * clean-up after the next publish removes the same parts.
 */
static void remove_unneeded_parts(publish_run_t *run,
				  const carob_manifest_t *manifest)
{
	carob_clean_options_t options = CAROB_CLEAN_OPTIONS_INIT;
	carob_clean_t *object = NULL;

	options.kv = run->cli->kv;
	options.deployment = carob_manifest_deployment(manifest);
	options.done = on_cleaned;
	options.context = run;
	if (carob_clean_new(&object, &options) == 0)
		(void)carob_loop_run(run->cli->loop);
	carob_clean_free(object);
}

static void print_outcome(const publish_run_t *run,
			  const carob_publish_id_t *publish_id)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	carob_publish_id_format(id, publish_id);
	if (run->cli->json)
		printf("{\"result\":0,\"generation\":%" PRIu64
		       ",\"publish\":\"%s\",\"unchanged\":%s}\n",
		       run->outcome.generation, id,
		       run->outcome.unchanged ? "true" : "false");
	else if (run->outcome.unchanged)
		printf("unchanged: generation %" PRIu64
		       " is in force and has the same content\n",
		       run->outcome.generation);
	else
		printf("generation %" PRIu64 " accepted (publish %s)\n",
		       run->outcome.generation, id);
}

static int run_publish(publish_run_t *run, const char *path)
{
	carob_manifest_t *manifest = NULL;
	carob_publish_id_t id;
	int result = cli_load_manifest(&manifest, path);

	if (result == 0 && run->confirm)
		result = cli_confirm(&run->confirmed, manifest, run->confirm,
				     run->secret_file);
	if (result == 0)
		result = choose_publish_id(&id, run);
	if (result == 0)
		result = cli_connect(run->cli);
	if (result == 0)
		result = publish_manifest(run, manifest, &id);
	if (result == 0)
		print_outcome(run, &id);
	if (result == 0 && !run->outcome.unchanged)
		remove_unneeded_parts(run, manifest);
	carob_manifest_free(manifest);
	return result;
}

int cli_publish(cli_t *cli, int argc, const char **argv)
{
	publish_run_t run = {.cli = cli, .base = -1};
	char *platform = NULL;
	struct poptOption options[] = {
		{"platform", 'p', POPT_ARG_STRING, &platform, 0,
		 "address of the platform's key-value service", "ADDRESS:PORT"},
		{"base", 'b', POPT_ARG_LONGLONG, &run.base, 0,
		 "fail unless this generation is in force", "GENERATION"},
		{"above", 0, POPT_ARG_LONGLONG, &run.above, 0,
		 "give the manifest a generation higher than this one; needed "
		 "after the platform has lost its data",
		 "GENERATION"},
		{"publish-id", 'i', POPT_ARG_STRING, &run.publish_id, 0,
		 "id by which this publish is identified; default: random",
		 "32 HEX DIGITS"},
		{"confirm", 0, POPT_ARG_STRING, &run.confirm, 0,
		 "query all instances, starting at these control addresses, "
		 "and allow reuse of ids, addresses and ports that no "
		 "instance can still be using",
		 "ADDRESS:PORT,..."},
		{"secret-file", 's', POPT_ARG_STRING, &run.secret_file, 0,
		 "file with the deployment's secret, for --confirm", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = NULL;
	const char *path;
	int result = cli_parse(&context, argc, argv, options,
			       "--platform ADDRESS:PORT FILE");

	if (result != 0)
		return result;
	run.has_base = run.base >= 0;
	cli->platform = platform;
	path = poptGetArg(context);
	if (!path || poptPeekArg(context))
		result = carob_error_set(CAROB_EUSAGE,
					 "publish: expected one manifest file");
	else if (!platform)
		result = carob_error_set(CAROB_EUSAGE,
					 "publish: --platform is missing");
	else
		result = run_publish(&run, path);
	poptFreeContext(context);
	cli->platform = NULL;
	free(platform);
	free(run.publish_id);
	free(run.confirm);
	free(run.secret_file);
	return result;
}
