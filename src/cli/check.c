#include "check/check.h"
#include "cli.h"
#include "http_get.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Larger files are not read. The check itself states the limit of the store,
 * which is lower. */
#define FILE_BYTES_MAX (16 * 1024 * 1024)
#define STATUS_FAILED  3

/* Options of the command; NULL if not given. */
typedef struct check {
	const char *config;
	char *settings;
	char *in_force;
	char *instance;
} check_t;

static void print_examples(void)
{
	printf("\nFILE is the JSON text of the store's value op/config; \"-\" "
	       "is standard input.\n\n"
	       "Examples:\n"
	       "  carobctl check next.json\n"
	       "  carobctl check --settings flowd.json next.json\n"
	       "  carobctl check --in-force current.json next.json\n"
	       "  carobctl check --instance 10.1.0.10:9464 next.json\n"
	       "  carobctl check --json next.json | jq '.findings[].reason'\n\n"
	       "Exit status: 0 nothing found, 1 warnings only, 2 errors, 3 the "
	       "check itself\nfailed. Notes and differences other than dropped "
	       "routes leave it at 0.\n");
}

/* Reads the version in force at an instance; 0 if it has none. The flow that
 * the query names need not exist. */
static int query_version(uint64_t *out, const char *instance)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	carob_addr_t addr;
	json_t *root;
	const json_t *version;
	int status = 0;
	int result = cli_addr(&addr, "--instance", instance);

	if (result == 0)
		result = cli_http_get(&body, &status, &addr,
				      "/explain?caller=127.0.0.1:1"
				      "&route=127.0.0.1:1");
	if (result != 0)
		return result;
	root = json_loadb(body.ptr ? body.ptr : "", body.len, 0, NULL);
	version = json_object_get(root, "configuration_version");
	if (status != 200 || !json_is_integer(version) ||
	    json_integer_value(version) < 0)
		result = carob_error_set(CAROB_EFORMAT,
					 "%s: HTTP status %d: expected the "
					 "version in force of carob-flowd",
					 instance, status);
	else
		*out = (uint64_t)json_integer_value(version);
	json_decref(root);
	return result;
}

/* Reads a file if its name is given; an empty one is not NULL. */
static int read_file(carob_str_t *out, carob_buf_t *buf, const char *path)
{
	int result;

	if (!path)
		return 0;
	result = carob_file_read(buf, path, FILE_BYTES_MAX);
	if (result == 0)
		*out = buf->ptr ? carob_buf_view(buf) : CAROB_STR("");
	return result;
}

static const char *file_of(const check_t *check, const check_finding_t *finding)
{
	if (finding->document == CHECK_SETTINGS)
		return check->settings;
	return finding->document == CHECK_CONFIG ? check->config
						 : check->in_force;
}

static void print_text(const check_report_t *report, const check_t *check)
{
	for (size_t i = 0; i < report->count; i++) {
		const check_finding_t *finding = &report->items[i];

		printf("%s:", file_of(check, finding));
		if (finding->line)
			printf("%u:", finding->line);
		printf(" %s: %s%s%s\n", check_severity_name(finding->severity),
		       finding->path, *finding->path ? ": " : "",
		       finding->reason);
	}
	if (report->omitted)
		printf("%zu more findings are not printed\n", report->omitted);
	printf("%s: %zu errors, %zu warnings, %zu notes\n", check->config,
	       report->counts[CHECK_ERROR], report->counts[CHECK_WARNING],
	       report->counts[CHECK_NOTE]);
}

static int print_json(const check_report_t *report, const check_t *check)
{
	json_t *findings = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < report->count; i++) {
		const check_finding_t *finding = &report->items[i];

		(void)json_array_append_new(
			findings,
			json_pack("{s:s%,s:o,s:s,s:s,s:s}", "file",
				  file_of(check, finding),
				  strlen(file_of(check, finding)), "line",
				  finding->line ? json_integer(finding->line)
						: json_null(),
				  "severity",
				  check_severity_name(finding->severity),
				  "path", finding->path, "reason",
				  finding->reason));
	}
	root = json_pack("{s:i,s:i,s:I,s:I,s:I,s:I,s:o}", "result", 0, "status",
			 check_report_status(report), "errors",
			 (json_int_t)report->counts[CHECK_ERROR], "warnings",
			 (json_int_t)report->counts[CHECK_WARNING], "notes",
			 (json_int_t)report->counts[CHECK_NOTE], "omitted",
			 (json_int_t)report->omitted, "findings", findings);
	text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	json_decref(root);
	if (!text)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot encode the findings as JSON");
	printf("%s\n", text);
	free(text);
	return 0;
}

static int run_check(cli_t *cli, const check_t *check)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t config = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t settings = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t in_force = CAROB_BUF_INIT;
	CAROB_CLEANUP(check_report_dispose) check_report_t report = {0};
	check_input_t input = {0};
	int result = read_file(&input.config, &config, check->config);

	if (result == 0)
		result = read_file(&input.settings, &settings, check->settings);
	if (result == 0)
		result = read_file(&input.in_force, &in_force, check->in_force);
	if (result == 0 && check->instance)
		result =
			query_version(&input.version_in_force, check->instance);
	if (result == 0)
		result = check_run(&report, &input);
	if (result != 0)
		return result;
	if (cli->json)
		result = print_json(&report, check);
	else
		print_text(&report, check);
	cli->status = check_report_status(&report);
	return result;
}

int cli_check(cli_t *cli, int argc, const char **argv)
{
	check_t check = {0};
	int json = 0;
	int help = 0;
	struct poptOption options[] = {
		{"settings", 's', POPT_ARG_STRING, &check.settings, 0,
		 "settings of carob-flowd to check with the configuration",
		 "FILE"},
		{"in-force", 'f', POPT_ARG_STRING, &check.in_force, 0,
		 "print what changes from this configuration, which is in "
		 "force",
		 "FILE"},
		{"instance", 'n', POPT_ARG_STRING, &check.instance, 0,
		 "metrics address of a carob-flowd; the version has to be "
		 "higher than the one in force there",
		 "ADDRESS:PORT"},
		{"json", 'j', POPT_ARG_NONE, &json, 0,
		 "print the findings as one JSON object", NULL},
		{"help", '?', POPT_ARG_NONE, &help, 0, "print this help", NULL},
		POPT_TABLEEND};
	poptContext context = NULL;
	int result =
		cli_parse(&context, argc, argv, options, "[OPTION...] FILE");

	cli->json |= json != 0;
	if (result == 0 && help) {
		poptPrintHelp(context, stdout, 0);
		print_examples();
	} else if (result == 0) {
		check.config = poptGetArg(context);
		if (!check.config || poptPeekArg(context))
			result = carob_error_set(CAROB_EUSAGE,
						 "check: expected one file");
		else
			result = run_check(cli, &check);
	}
	if (result != 0)
		cli->status = STATUS_FAILED;
	poptFreeContext(context);
	free(check.settings);
	free(check.in_force);
	free(check.instance);
	return result;
}
