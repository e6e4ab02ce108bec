#include "check_priv.h"

#include <string.h>

/* What a member has to be. */
typedef enum type {
	TYPE_DECODED, /* the decoder of the platform checks it */
	TYPE_LIST,
	TYPE_OBJECT,
	TYPE_TEXT,
	TYPE_BOOL,
	TYPE_COUNT,
	TYPE_NUMBER,
	TYPE_ROUTE_TYPE,
} type_t;

static const char *const expected[] = {
	[TYPE_LIST] = "a list",
	[TYPE_OBJECT] = "an object",
	[TYPE_TEXT] = "a text that is not empty",
	[TYPE_BOOL] = "true or false",
	[TYPE_COUNT] = "a whole number from 0 to 4294967295",
	[TYPE_NUMBER] = "a number that is not negative",
	[TYPE_ROUTE_TYPE] = "\"safe\", \"download\" or \"unsafe\"",
};

/* The absence of a member that carob-flowd or this check uses is an error, and
 * of one that only other parts of the platform use a warning. Without the
 * members for cold upstreams, nothing is stated of these. */
static const struct {
	check_kind_t kind;
	const char *name;
	type_t type;
	check_severity_t missing;
} fields[] = {
	{CHECK_ROOT, "version", TYPE_DECODED, CHECK_NOTE},
	{CHECK_ROOT, "routes", TYPE_DECODED, CHECK_NOTE},
	{CHECK_ROOT, "services", TYPE_LIST, CHECK_ERROR},
	{CHECK_ROOT, "limits", TYPE_OBJECT, CHECK_ERROR},
	{CHECK_ROUTE, "name", TYPE_TEXT, CHECK_ERROR},
	{CHECK_ROUTE, "hostname", TYPE_DECODED, CHECK_NOTE},
	{CHECK_ROUTE, "prefix", TYPE_DECODED, CHECK_NOTE},
	{CHECK_ROUTE, "route_type", TYPE_ROUTE_TYPE, CHECK_ERROR},
	{CHECK_ROUTE, "timeout_ms", TYPE_COUNT, CHECK_ERROR},
	{CHECK_ROUTE, "target_latency_ms", TYPE_COUNT, CHECK_ERROR},
	{CHECK_ROUTE, "priority", TYPE_COUNT, CHECK_ERROR},
	{CHECK_ROUTE, "traffic_split", TYPE_DECODED, CHECK_NOTE},
	{CHECK_ROUTE, "service", TYPE_DECODED, CHECK_NOTE},
	{CHECK_ROUTE, "max_attempts", TYPE_COUNT, CHECK_WARNING},
	{CHECK_SHARE, "service", TYPE_DECODED, CHECK_NOTE},
	{CHECK_SHARE, "weight", TYPE_DECODED, CHECK_NOTE},
	{CHECK_SERVICE, "name", TYPE_TEXT, CHECK_ERROR},
	{CHECK_SERVICE, "health_path", TYPE_TEXT, CHECK_WARNING},
	{CHECK_SERVICE, "max_conns", TYPE_COUNT, CHECK_WARNING},
	{CHECK_SERVICE, "protocol", TYPE_TEXT, CHECK_WARNING},
	{CHECK_SERVICE, "tls", TYPE_BOOL, CHECK_WARNING},
	{CHECK_SERVICE, "cold_start_s", TYPE_NUMBER, CHECK_NOTE},
	{CHECK_SERVICE, "cold_per_s", TYPE_NUMBER, CHECK_NOTE},
	{CHECK_LIMITS, "max_header_bytes", TYPE_COUNT, CHECK_WARNING},
	{CHECK_LIMITS, "max_body_bytes", TYPE_COUNT, CHECK_WARNING},
	{CHECK_LIMITS, "header_timeout_ms", TYPE_COUNT, CHECK_WARNING},
	{CHECK_LIMITS, "idle_timeout_ms", TYPE_COUNT, CHECK_ERROR},
};

static bool is_route_type(const json_t *value)
{
	const char *text = json_string_value(value);

	return text &&
	       (strcmp(text, "safe") == 0 || strcmp(text, "download") == 0 ||
		strcmp(text, "unsafe") == 0);
}

static bool is_of_type(const json_t *value, type_t type)
{
	switch (type) {
	case TYPE_DECODED:
		return true;
	case TYPE_LIST:
		return json_is_array(value);
	case TYPE_OBJECT:
		return json_is_object(value);
	case TYPE_TEXT:
		return json_string_length(value) > 0;
	case TYPE_BOOL:
		return json_is_boolean(value);
	case TYPE_COUNT:
		return json_is_integer(value) &&
		       json_integer_value(value) >= 0 &&
		       json_integer_value(value) <= UINT32_MAX;
	case TYPE_NUMBER:
		return json_is_number(value) && json_number_value(value) >= 0;
	case TYPE_ROUTE_TYPE:
		return is_route_type(value);
	}
	return false;
}

static bool is_known(check_kind_t kind, const char *name)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(fields); i++)
		if (fields[i].kind == kind && strcmp(fields[i].name, name) == 0)
			return true;
	return false;
}

void check_fields(check_report_t *report, const check_place_t *place,
		  check_kind_t kind)
{
	const json_t *value;
	const char *name;

	if (!json_is_object(place->value))
		return;
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(fields); i++) {
		if (fields[i].kind != kind)
			continue;
		value = json_object_get(place->value, fields[i].name);
		if ((value || fields[i].missing != CHECK_NOTE) &&
		    !is_of_type(value, fields[i].type))
			check_add(report,
				  value ? CHECK_ERROR : fields[i].missing,
				  place, fields[i].name, "expected %s",
				  expected[fields[i].type]);
	}
	json_object_foreach ((json_t *)place->value, name, value)
		if (!is_known(kind, name))
			check_add(report, CHECK_WARNING, place, name,
				  "unknown field: it has no effect");
}
