#include "check_priv.h"

#include "carobtrail/errors.h"
#include "platform/cbor.h"

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
	char text[CHECK_TEXT_BYTES];

	check_add(sink->report, CHECK_ERROR, path, "%s: expected %s",
		  check_describe(text, value), expected);
}

static bool is_too_deep(const json_t *value, size_t levels)
{
	const json_t *inner;
	const char *key;
	size_t i;

	if (levels == 0)
		return true;
	json_object_foreach ((json_t *)value, key, inner)
		if (is_too_deep(inner, levels - 1))
			return true;
	json_array_foreach (value, i, inner)
		if (is_too_deep(inner, levels - 1))
			return true;
	return false;
}

/* Parses the current document of the report; @return NULL: not usable */
static json_t *parse(check_report_t *report, carob_str_t text)
{
	json_error_t error;
	json_t *root;

	if (text.len > PLATFORM_VALUE_BYTES_MAX) {
		check_add(report, CHECK_ERROR, "",
			  "%zu bytes: expected at most %zu", text.len,
			  PLATFORM_VALUE_BYTES_MAX);
		return NULL;
	}
	root = json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, &error);
	if (!root) {
		check_add(report, CHECK_ERROR, "",
			  "column %d: %s: expected valid JSON", error.column,
			  error.text);
		if (report->count)
			report->items[report->count - 1].line =
				error.line > 0 ? (unsigned int)error.line : 0;
		return NULL;
	}
	if (json_is_object(root))
		return root;
	check_add(report, CHECK_ERROR, "", "a list: expected an object");
	json_decref(root);
	return NULL;
}

/* Parses and decodes a configuration; `out` is empty if it is not JSON. */
static int load_config(check_config_t *out, check_report_t *report,
		       carob_str_t text)
{
	fault_sink_t sink = {{add_fault}, report};

	out->root = parse(report, text);
	if (!out->root)
		return 0;
	if (is_too_deep(out->root, PLATFORM_CBOR_DEPTH_MAX))
		check_add(report, CHECK_ERROR, "",
			  "nested too deeply: expected at most %d levels",
			  PLATFORM_CBOR_DEPTH_MAX);
	return platform_config_decode(&out->decoded, out->root, &sink.faults) ==
			       CAROB_ENOMEM
		       ? CAROB_ENOMEM
		       : 0;
}

static void dispose_config(check_config_t *config)
{
	platform_config_dispose(&config->decoded);
	json_decref(config->root);
}

/* Fails if the configuration in force can't be used: there is nothing wrong
 * with the one that is checked. */
static int load_in_force(check_config_t *out, carob_str_t text)
{
	CAROB_CLEANUP(check_report_dispose) check_report_t faults = {0};
	int error = load_config(out, &faults, text);
	const check_finding_t *first;

	if (error || !faults.count)
		return error;
	if (out->root)
		check_find_lines(&faults, CHECK_CONFIG, text);
	check_report_sort(&faults);
	first = &faults.items[0];
	return carob_error_set(CAROB_EFORMAT,
			       "configuration in force: line %u: %s%s%s",
			       first->line, first->path ? first->path : "",
			       first->path && *first->path ? ": " : "",
			       first->reason ? first->reason : "");
}

static void check_version(check_report_t *report, const check_config_t *config,
			  uint64_t in_force)
{
	uint64_t version = config->decoded.config.version;

	/* The decoder reports a version that is not valid. */
	if (!json_is_integer(json_object_get(config->root, "version")) ||
	    json_integer_value(json_object_get(config->root, "version")) < 0 ||
	    version > in_force)
		return;
	check_add(report, CHECK_ERROR, "version",
		  "%llu: expected a version above %llu, which is in force",
		  (unsigned long long)version, (unsigned long long)in_force);
}

static int compare_with_in_force(check_report_t *report,
				 const check_config_t *config,
				 const check_input_t *input)
{
	check_config_t in_force = {0};
	uint64_t version = input->version_in_force;
	int error = 0;

	if (input->in_force.ptr)
		error = load_in_force(&in_force, input->in_force);
	if (error || !input->in_force.ptr) {
		dispose_config(&in_force);
		if (!error && version)
			check_version(report, config, version);
		return error;
	}
	if (version && version != in_force.decoded.config.version) {
		report->document = CHECK_IN_FORCE;
		check_add(report, CHECK_WARNING, "version",
			  "%llu: the instance has version %llu in force, so "
			  "the differences may not be those that take effect",
			  (unsigned long long)in_force.decoded.config.version,
			  (unsigned long long)version);
		report->document = CHECK_CONFIG;
	}
	if (version < in_force.decoded.config.version)
		version = in_force.decoded.config.version;
	check_version(report, config, version);
	check_differences(report, &in_force, config);
	check_find_lines(report, CHECK_IN_FORCE, input->in_force);
	dispose_config(&in_force);
	return 0;
}

static void run_settings(check_report_t *report, const check_config_t *config,
			 carob_str_t text)
{
	json_t *root;

	report->document = CHECK_SETTINGS;
	root = parse(report, text);
	if (root) {
		check_settings(report, root, text, config);
		check_find_lines(report, CHECK_SETTINGS, text);
	}
	json_decref(root);
	report->document = CHECK_CONFIG;
}

int check_run(check_report_t *report, const check_input_t *input)
{
	check_config_t config = {0};
	int error;

	memset(report, 0, sizeof(*report));
	error = load_config(&config, report, input->config);
	if (!error && config.root) {
		check_rules(report, &config);
		error = compare_with_in_force(report, &config, input);
		check_find_lines(report, CHECK_CONFIG, input->config);
	}
	if (!error && input->settings.ptr)
		run_settings(report, &config, input->settings);
	dispose_config(&config);
	check_report_sort(report);
	if (!error && report->no_memory)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the findings");
	return error;
}
