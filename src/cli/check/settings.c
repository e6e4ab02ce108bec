#include "check_priv.h"

#include "carobtrail/errors.h"
#include "flowd/settings.h"

#include <stdio.h>

/* Reads a number; the defaults are those of the settings reader. */
static double number_of(const json_t *settings, const char *key,
			double fallback)
{
	const json_t *value = json_object_get(settings, key);

	return json_is_number(value) ? json_number_value(value) : fallback;
}

static void check_values(check_report_t *report, const json_t *settings)
{
	double apply_ms =
		number_of(settings, "apply_ms", FLOWD_APPLY_MS_DEFAULT);
	double contact_ms =
		number_of(settings, "contact_ms", FLOWD_CONTACT_MS_DEFAULT);
	double floor = number_of(settings, "low_priority_floor", 0);
	double overage = number_of(settings, "cold_overage", 1);

	if (overage < 1)
		check_add(report, CHECK_ERROR, "cold_overage",
			  "%g: expected at least 1", overage);
	if (floor < 0 || floor > 1)
		check_add(report, CHECK_ERROR, "low_priority_floor",
			  "%g: expected a share from 0 to 1", floor);
	if (apply_ms > contact_ms)
		check_add(report, CHECK_WARNING, "apply_ms",
			  "%g: above contact_ms, %g: the platform counts as "
			  "out of contact before a change has to be in force",
			  apply_ms, contact_ms);
	if (json_object_get(settings, "cold_slack") &&
	    !json_object_get(settings, "cold_overage"))
		check_add(report, CHECK_WARNING, "cold_slack",
			  "no effect without cold_overage");
	if (json_object_get(settings, "low_priority_floor") &&
	    !json_is_true(json_object_get(settings, "share_load")))
		check_add(report, CHECK_WARNING, "low_priority_floor",
			  "no effect without share_load");
}

/* Reports rates of services that the settings do not keep or turn to nothing.
 */
static void check_rates(check_report_t *report, const json_t *settings,
			const platform_config_t *config)
{
	double overage = number_of(settings, "cold_overage", 0);
	double slack = number_of(settings, "cold_slack", 0);

	for (size_t i = 0; i < config->config.service_count; i++) {
		const carob_catalog_service_t *service = &config->services[i];
		json_t *name;
		char text[CHECK_TEXT_BYTES];

		if (!(service->cold_per_s > 0))
			continue;
		name = json_stringn(service->name.ptr, service->name.len);
		check_describe(text, name);
		json_decref(name);
		if (!json_object_get(settings, "cold_overage"))
			check_add(report, CHECK_WARNING, "",
				  "without cold_overage, cold_per_s of service "
				  "%s has no effect",
				  text);
		else if (service->cold_per_s * overage + slack < 1)
			check_add(report, CHECK_WARNING, "cold_overage",
				  "cold_per_s of service %s x cold_overage + "
				  "cold_slack is below 1: its cold upstreams "
				  "get no flows at all",
				  text);
	}
}

static void check_priorities(check_report_t *report, const json_t *settings,
			     const platform_config_t *config)
{
	if (json_is_true(json_object_get(settings, "share_load")))
		return;
	for (size_t i = 1; i < config->config.count; i++) {
		if (config->routes[i].priority == config->routes[0].priority)
			continue;
		check_add(report, CHECK_NOTE, "share_load",
			  "false: in an overload the load of other instances "
			  "is not known when routes are served by priority");
		return;
	}
}

/* Reports what the reader of carob-flowd refuses, unless it is known. */
static void check_reader(check_report_t *report, carob_str_t text)
{
	carob_json_doc_t *doc = NULL;
	flowd_settings_t settings;
	carob_json_node_t root;
	int error = carob_json_doc_parse(&doc, "settings", text,
					 CAROB_JSON_SETTINGS_BYTES_MAX);

	if (!error) {
		root = carob_json_doc_root(doc);
		error = flowd_settings_read(&settings, &root);
	}
	carob_json_doc_free(doc);
	if (error == CAROB_ENOMEM)
		report->no_memory = true;
	else if (error)
		check_add(report, CHECK_ERROR, "",
			  "carob-flowd refuses these settings: %s",
			  carob_error_last());
}

void check_settings(check_report_t *report, const json_t *settings,
		    carob_str_t text, const check_config_t *config)
{
	size_t errors = report->counts[CHECK_ERROR];

	check_values(report, settings);
	check_rates(report, settings, &config->decoded);
	check_priorities(report, settings, &config->decoded);
	if (report->counts[CHECK_ERROR] == errors)
		check_reader(report, text);
}
