#include "check_priv.h"

#include "carobtrail/errors.h"
#include "platform/cbor.h"

#include <stdio.h>
#include <string.h>

/* Passes faults of the decoder on to a report. */
typedef struct fault_sink {
	platform_config_faults_t faults;
	check_report_t *report;
} fault_sink_t;

static void add_fault(platform_config_faults_t *faults, const char *path,
		      const json_t *value, const char *expected)
{
	fault_sink_t *sink = CAROB_CONTAINER_OF(faults, fault_sink_t, faults);
	check_place_t place = {.value = value};
	char text[CHECK_TEXT_BYTES];

	(void)snprintf(place.path, sizeof(place.path), "%s", path);
	check_add(sink->report, CHECK_ERROR, &place, NULL, "%s: expected %s",
		  check_describe(text, value), expected);
}

/* Parses a document and makes it the one that findings are about; `root` stays
 * NULL if it is not usable. */
static void parse(check_config_t *out, check_report_t *report,
		  check_document_t document, carob_str_t text)
{
	check_place_t whole = {"", NULL};
	json_error_t error;
	size_t depth;

	report->document = document;
	report->lines = NULL;
	if (text.len > PLATFORM_VALUE_BYTES_MAX) {
		check_add(report, CHECK_ERROR, &whole, NULL,
			  "%zu bytes: expected at most %zu", text.len,
			  PLATFORM_VALUE_BYTES_MAX);
		return;
	}
	out->root =
		json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, &error);
	if (!out->root) {
		out->lines = json_pack("{s:i}", "", error.line);
		report->lines = out->lines;
		check_add(report, CHECK_ERROR, &whole, NULL,
			  "column %d: %s: expected valid JSON", error.column,
			  error.text);
	} else if (!json_is_object(out->root)) {
		check_add(report, CHECK_ERROR, &whole, NULL,
			  "a list: expected an object");
		json_decref(out->root);
		out->root = NULL;
	} else {
		out->lines = check_find_lines(&depth, text);
		report->lines = out->lines;
		if (depth > PLATFORM_CBOR_DEPTH_MAX)
			check_add(report, CHECK_ERROR, &whole, NULL,
				  "%zu levels: expected at most %d", depth,
				  PLATFORM_CBOR_DEPTH_MAX);
	}
}

static int load_config(check_config_t *out, check_report_t *report,
		       check_document_t document, carob_str_t text)
{
	fault_sink_t sink = {{add_fault}, report};
	int error = 0;

	parse(out, report, document, text);
	if (out->root)
		error = platform_config_decode(&out->decoded, out->root,
					       &sink.faults);
	return error == CAROB_ENOMEM ? error : 0;
}

static void dispose_config(check_config_t *config)
{
	platform_config_dispose(&config->decoded);
	json_decref(config->root);
	json_decref(config->lines);
}

/* Fails if the configuration in force can't be used: there is nothing wrong
 * with the one that is checked. */
static int load_in_force(check_config_t *out, carob_str_t text)
{
	CAROB_CLEANUP(check_report_dispose) check_report_t faults = {0};
	int error = load_config(out, &faults, CHECK_IN_FORCE, text);
	const check_finding_t *first = faults.items;

	if (error || !faults.count)
		return error;
	return carob_error_set(CAROB_EFORMAT,
			       "configuration in force: line %u: %s%s%s",
			       first->line, first->path,
			       *first->path ? ": " : "", first->reason);
}

static void check_version(check_report_t *report, const check_config_t *config,
			  uint64_t in_force)
{
	check_place_t root = {"", config->root};
	const json_t *version = json_object_get(config->root, "version");

	/* The decoder reports a version that is not valid. */
	if (json_is_integer(version) && json_integer_value(version) >= 0 &&
	    config->decoded.config.version <= in_force)
		check_add(report, CHECK_ERROR, &root, "version",
			  "expected a version above %llu, which is in force",
			  (unsigned long long)in_force);
}

static int compare_with_in_force(check_report_t *report,
				 const check_config_t *config,
				 const check_input_t *input)
{
	check_config_t in_force = {0};
	uint64_t version = input->version_in_force;
	uint64_t listed;
	int error = 0;

	if (!input->in_force.ptr) {
		if (version)
			check_version(report, config, version);
		return 0;
	}
	error = load_in_force(&in_force, input->in_force);
	if (!error) {
		listed = in_force.decoded.config.version;
		check_version(report, config,
			      version > listed ? version : listed);
		if (version && version != listed)
			check_add(report, CHECK_WARNING, &(check_place_t){0},
				  NULL,
				  "compared with version %llu, but the "
				  "instance has version %llu in force",
				  (unsigned long long)listed,
				  (unsigned long long)version);
		check_differences(report, &in_force, config);
	}
	dispose_config(&in_force);
	return error;
}

int check_run(check_report_t *report, const check_input_t *input)
{
	check_config_t config = {0};
	check_config_t settings = {0};
	int error;

	memset(report, 0, sizeof(*report));
	error = load_config(&config, report, CHECK_CONFIG, input->config);
	if (!error && config.root) {
		check_rules(report, &config);
		error = compare_with_in_force(report, &config, input);
	}
	if (!error && input->settings.ptr) {
		parse(&settings, report, CHECK_SETTINGS, input->settings);
		if (settings.root)
			check_settings(report, settings.root, input->settings,
				       &config.decoded);
	}
	dispose_config(&settings);
	dispose_config(&config);
	report->lines = NULL;
	check_report_sort(report);
	if (!error && report->no_memory)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the findings");
	return error;
}
