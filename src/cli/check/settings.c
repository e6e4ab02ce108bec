#include "check_priv.h"

#include "carobtrail/errors.h"
#include "flowd/settings.h"

static double number_of(const check_place_t *settings, const char *key,
			double fallback)
{
	const json_t *value = json_object_get(settings->value, key);

	return json_is_number(value) ? json_number_value(value) : fallback;
}

static bool has(const check_place_t *settings, const char *key)
{
	return json_object_get(settings->value, key) != NULL;
}

/* Reports values out of range with their line. The reader, which stops at the
 * first fault, refuses them, too. */
static void check_ranges(check_report_t *report, const check_place_t *settings)
{
	double floor = number_of(settings, "low_priority_floor", 0);

	if (number_of(settings, "cold_overage", 1) < 1)
		check_add(report, CHECK_ERROR, settings, "cold_overage",
			  "expected at least 1");
	if (floor < 0 || floor > 1)
		check_add(report, CHECK_ERROR, settings, "low_priority_floor",
			  "expected a share from 0 to 1");
}

static void check_effects(check_report_t *report, const check_place_t *settings)
{
	if (has(settings, "cold_slack") && !has(settings, "cold_overage"))
		check_add(report, CHECK_WARNING, settings, "cold_slack",
			  "no effect without cold_overage");
	if (has(settings, "low_priority_floor") &&
	    !json_is_true(json_object_get(settings->value, "share_load")))
		check_add(report, CHECK_WARNING, settings, "low_priority_floor",
			  "no effect without share_load");
}

/* Reports stated rates that are not kept, or that no flow keeps. */
static void check_rates(check_report_t *report, const check_place_t *settings,
			const platform_config_t *config)
{
	double overage = number_of(settings, "cold_overage", 0);
	double slack = number_of(settings, "cold_slack", 0);

	for (size_t i = 0; i < config->config.service_count; i++) {
		double rate = config->services[i].cold_per_s;
		carob_str_t name = config->services[i].name;

		if (rate > 0 && !has(settings, "cold_overage"))
			check_add(report, CHECK_WARNING, settings,
				  "cold_overage",
				  "so cold_per_s of service %.*s has no effect",
				  (int)name.len, name.ptr);
		else if (rate > 0 && rate * overage + slack < 1)
			check_add(report, CHECK_WARNING, settings,
				  "cold_overage",
				  "with cold_slack, cold upstreams of service "
				  "%.*s may not receive one flow in a second",
				  (int)name.len, name.ptr);
	}
}

/* Reports what the reader of carob-flowd refuses, and durations that it
 * accepts, defaults included, although they contradict each other. */
static void check_reader(check_report_t *report, const check_place_t *settings,
			 carob_str_t text)
{
	carob_json_doc_t *doc = NULL;
	flowd_settings_t read = {0};
	carob_json_node_t root;
	int error = carob_json_doc_parse(&doc, "settings", text,
					 CAROB_JSON_SETTINGS_BYTES_MAX);

	if (!error) {
		root = carob_json_doc_root(doc);
		error = flowd_settings_read(&read, &root);
	}
	carob_json_doc_free(doc);
	if (error == CAROB_ENOMEM)
		report->no_memory = true;
	else if (error)
		check_add(report, CHECK_ERROR, settings, NULL,
			  "carob-flowd refuses this: %s", carob_error_last());
	else if (read.apply_ms > read.contact_ms)
		check_add(report, CHECK_WARNING, settings, "apply_ms",
			  "%u ms is above contact_ms, %u: the store has to be "
			  "read again before a change has to be in force",
			  read.apply_ms, read.contact_ms);
}

void check_settings(check_report_t *report, const json_t *root,
		    carob_str_t text, const platform_config_t *config)
{
	check_place_t place = {"", root};
	size_t errors = report->counts[CHECK_ERROR];

	check_ranges(report, &place);
	check_effects(report, &place);
	check_rates(report, &place, config);
	if (report->counts[CHECK_ERROR] == errors)
		check_reader(report, &place, text);
}
