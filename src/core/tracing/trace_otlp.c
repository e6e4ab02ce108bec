#include "carobtrail/trace.h"

#include "carobtrail/errors.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#define OTLP_KIND_INTERNAL 1
#define OTLP_KIND_SERVER   2
#define OTLP_KIND_CLIENT   3
#define HEX_ID_MAX	   33
#define NUMBER_TEXT_MAX	   24

static const struct {
	const char *name;
	int otlp_kind;
} span_kinds[] = {
	[CAROB_SPAN_RECEIVE] = {"receive", OTLP_KIND_SERVER},
	[CAROB_SPAN_RELAY] = {"relay", OTLP_KIND_CLIENT},
	[CAROB_SPAN_QUEUE] = {"queue", OTLP_KIND_INTERNAL},
	[CAROB_SPAN_UPSTREAM] = {"upstream", OTLP_KIND_CLIENT},
	[CAROB_SPAN_ANSWER] = {"answer", OTLP_KIND_INTERNAL},
};

static json_t *hex_string(const uint8_t *bytes, size_t len)
{
	char text[HEX_ID_MAX];

	for (size_t i = 0; i < len; i++)
		snprintf(text + 2 * i, 3, "%02x", bytes[i]);
	return json_stringn(text, 2 * len);
}

/* OTLP/JSON encodes 64-bit integers as decimal strings. */
static json_t *decimal_string(uint64_t value)
{
	char text[NUMBER_TEXT_MAX];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	return json_string(text);
}

static json_t *int_attribute(const char *key, uint64_t value)
{
	return json_pack("{s:s, s:{s:o}}", "key", key, "value", "intValue",
			 decimal_string(value));
}

static json_t *span_attributes(const carob_span_t *span)
{
	json_t *list = json_array();

	json_array_append_new(list, int_attribute("carobtrail.service_id",
						  span->service_id));
	if (span->upstream.id)
		json_array_append_new(list,
				      int_attribute("carobtrail.upstream_id",
						    span->upstream.id));
	if (span->code)
		json_array_append_new(
			list, int_attribute("carobtrail.coap_code",
					    (span->code >> 5) * 100U +
						    (span->code & 0x1f)));
	if (span->verdict)
		json_array_append_new(list, int_attribute("carobtrail.verdict",
							  span->verdict));
	return list;
}

static json_t *span_object(const carob_span_t *span)
{
	static const uint8_t no_parent[sizeof(span->parent_span_id)];
	json_t *object =
		json_pack("{s:o, s:o, s:s, s:i, s:o, s:o, s:o}", "traceId",
			  hex_string(span->context.trace_id,
				     sizeof(span->context.trace_id)),
			  "spanId",
			  hex_string(span->context.span_id,
				     sizeof(span->context.span_id)),
			  "name", span_kinds[span->kind].name, "kind",
			  span_kinds[span->kind].otlp_kind, "startTimeUnixNano",
			  decimal_string(span->start_unix_ns),
			  "endTimeUnixNano", decimal_string(span->end_unix_ns),
			  "attributes", span_attributes(span));

	if (object &&
	    memcmp(span->parent_span_id, no_parent, sizeof(no_parent)) != 0)
		json_object_set_new(object, "parentSpanId",
				    hex_string(span->parent_span_id,
					       sizeof(no_parent)));
	return object;
}

static json_t *resource_object(carob_instance_id_t instance)
{
	return json_pack("{s:[{s:s, s:{s:s}}, o, o]}", "attributes", "key",
			 "service.name", "value", "stringValue", "carobtrail",
			 int_attribute("carobtrail.instance_id", instance.id),
			 int_attribute("carobtrail.instance_incarnation",
				       instance.incarnation));
}

int carob_trace_encode_otlp(carob_buf_t *out, carob_instance_id_t instance,
			    const carob_span_t *spans, size_t count)
{
	json_t *list = json_array();
	json_t *request;
	char *text;
	int error;

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, span_object(&spans[i]));
	request = json_pack("{s:[{s:o, s:[{s:{s:s}, s:o}]}]}", "resourceSpans",
			    "resource", resource_object(instance), "scopeSpans",
			    "scope", "name", "carobtrail", "spans", list);
	text = request ? json_dumps(request, JSON_COMPACT) : NULL;
	json_decref(request);
	if (!text)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot encode %zu spans as OTLP/JSON",
				       count);
	error = carob_buf_append(out, text, strlen(text));
	free(text);
	return error;
}
