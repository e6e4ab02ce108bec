#include "explain.h"

#include "carobtrail/errors.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdlib.h>

static const char *const verdicts[] = {"forward", "reset", "drop"};

static int get_endpoint(carob_endpoint_t *out, const struct evkeyvalq *query,
			const char *name)
{
	const char *text = evhttp_find_header(query, name);
	carob_addr_t addr;

	if (!text || carob_addr_parse(&addr, carob_str_from(text)) != 0 ||
	    addr.family != 4)
		return carob_error_set(CAROB_EINVALID,
				       "%s: expected IPv4 address:port", name);
	*out = carob_endpoint_of(&addr);
	return 0;
}

static int get_tag(uint32_t *out, const struct evkeyvalq *query)
{
	const char *text = evhttp_find_header(query, "tag");
	unsigned long long number;
	char *end;

	*out = 0;
	if (!text)
		return 0;
	number = strtoull(text, &end, 10);
	if (end == text || *end || number > UINT32_MAX)
		return carob_error_set(CAROB_EINVALID,
				       "tag: expected a number up to %u",
				       UINT32_MAX);
	*out = (uint32_t)number;
	return 0;
}

static int read_query(carob_flow_packet_t *out, const char *text)
{
	struct evkeyvalq query;
	int error;

	if (evhttp_parse_query_str(text, &query) != 0)
		return carob_error_set(CAROB_EINVALID,
				       "malformed query string");
	error = get_endpoint(&out->caller, &query, "caller");
	if (!error)
		error = get_endpoint(&out->route, &query, "route");
	if (!error)
		error = get_tag(&out->steering_tag, &query);
	evhttp_clear_headers(&query);
	return error;
}

static json_t *upstream_to_json(const carob_upstream_table_t *table,
				const carob_upstream_t *upstream)
{
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:b, s:b, s:f, s:f, "
		"s:f, s:b, s:b}",
		"id", upstream->id, "state",
		carob_upstream_state_name(upstream->state), "service",
		carob_name_table_text(&table->services, upstream->service),
		"zone", carob_name_table_text(&table->zones, upstream->zone),
		"revision", (json_int_t)upstream->revision, "open_flows",
		(int)upstream->open_flows, "pending", (int)upstream->pending,
		"unanswered_syns", (int)upstream->unanswered_syns, "paced",
		upstream->pace.ramping, "bounded", upstream->pace.bounded,
		"share", upstream->pace.ramping ? upstream->pace.share : 1.0,
		"others_load", (double)upstream->others_load, "others_late",
		(double)upstream->others_late, "evacuated", upstream->evacuated,
		"ejected", upstream->outlier.ejected);
}

static json_t *load_to_json(const carob_load_status_t *load)
{
	return json_pack("{s:b, s:I, s:I, s:I, s:I}", "known", load->known,
			 "age_ms", (json_int_t)load->age_ms, "interval_ms",
			 (json_int_t)load->interval_ms, "zone_instances",
			 (json_int_t)load->zone_instances, "all_instances",
			 (json_int_t)load->all_instances);
}

static json_t *evacuated_zones_to_json(const carob_zone_table_t *zones)
{
	json_t *names = json_array();

	for (size_t i = 0; i < zones->names.count; i++)
		if (zones->items[i].evacuated)
			(void)json_array_append_new(
				names, json_string(zones->names.names[i]));
	return names;
}

static json_t *explanation_to_json(const carob_steer_explanation_t *explanation,
				   const flowd_explain_source_t *source)
{
	json_t *upstream = explanation->upstream
				   ? upstream_to_json(source->upstreams,
						      explanation->upstream)
				   : json_null();

	return json_pack(
		"{s:s, s:s, s:o, s:b, s:I, s:I, s:I, s:I, s:I, s:s, s:o, s:o}",
		"verdict", verdicts[explanation->verdict], "decision",
		carob_steer_reason_text(explanation->reason), "upstream",
		upstream, "remembered", explanation->remembered, "idle_ms",
		(json_int_t)explanation->idle_ms, "configuration_version",
		(json_int_t)explanation->config_version, "era",
		(json_int_t)carob_catalog_era(source->catalog), "revision",
		(json_int_t)carob_catalog_revision(source->catalog), "age_ms",
		(json_int_t)carob_catalog_age_ms(source->catalog), "read_from",
		source->read_from, "load", load_to_json(&source->load),
		"evacuated_zones", evacuated_zones_to_json(source->zones));
}

static int append_json(carob_buf_t *out, json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	int error;

	json_decref(json);
	if (!text)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot encode the explanation as JSON");
	error = carob_buf_printf(out, "%s\n", text);
	free(text);
	return error;
}

int flowd_explain_write(carob_buf_t *out, const flowd_explain_source_t *source,
			const char *query)
{
	carob_steer_explanation_t explanation;
	carob_flow_packet_t packet = {0};
	int error = read_query(&packet, query);

	if (error) {
		(void)append_json(out, json_pack("{s:s}", "error",
						 carob_error_last()));
		return error;
	}
	carob_steering_explain(&explanation, source->steering, &packet);
	return append_json(out, explanation_to_json(&explanation, source));
}
