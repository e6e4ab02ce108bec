#include "check_priv.h"

#include <stdio.h>
#include <string.h>

/* The absence of a member that carob-flowd or this check uses is an error, and
 * of one that only other parts of the platform use a warning. */
const check_field_t check_config_fields[] = {
	{"version", CHECK_DECODED, CHECK_NOTE},
	{"routes", CHECK_DECODED, CHECK_NOTE},
	{"services", CHECK_LIST, CHECK_ERROR},
	{"limits", CHECK_OBJECT, CHECK_ERROR},
	{0},
};

const check_field_t check_route_fields[] = {
	{"name", CHECK_TEXT, CHECK_ERROR},
	{"hostname", CHECK_DECODED, CHECK_NOTE},
	{"prefix", CHECK_DECODED, CHECK_NOTE},
	{"route_type", CHECK_ROUTE_TYPE, CHECK_ERROR},
	{"timeout_ms", CHECK_COUNT, CHECK_ERROR},
	{"target_latency_ms", CHECK_COUNT, CHECK_ERROR},
	{"priority", CHECK_COUNT, CHECK_ERROR},
	{"traffic_split", CHECK_DECODED, CHECK_NOTE},
	{"service", CHECK_DECODED, CHECK_NOTE},
	{"max_attempts", CHECK_COUNT, CHECK_WARNING},
	{0},
};

const check_field_t check_share_fields[] = {
	{"service", CHECK_DECODED, CHECK_NOTE},
	{"weight", CHECK_DECODED, CHECK_NOTE},
	{0},
};

/* Without the two members for cold upstreams, nothing is stated of them. */
const check_field_t check_service_fields[] = {
	{"name", CHECK_TEXT, CHECK_ERROR},
	{"health_path", CHECK_TEXT, CHECK_WARNING},
	{"max_conns", CHECK_COUNT, CHECK_WARNING},
	{"protocol", CHECK_TEXT, CHECK_WARNING},
	{"tls", CHECK_BOOL, CHECK_WARNING},
	{"cold_start_s", CHECK_NUMBER, CHECK_NOTE},
	{"cold_per_s", CHECK_NUMBER, CHECK_NOTE},
	{0},
};

const check_field_t check_limit_fields[] = {
	{"max_header_bytes", CHECK_COUNT, CHECK_WARNING},
	{"max_body_bytes", CHECK_COUNT, CHECK_WARNING},
	{"header_timeout_ms", CHECK_COUNT, CHECK_WARNING},
	{"idle_timeout_ms", CHECK_COUNT, CHECK_ERROR},
	{0},
};

static const char *const expected[] = {
	[CHECK_LIST] = "a list",
	[CHECK_OBJECT] = "an object",
	[CHECK_TEXT] = "a text that is not empty",
	[CHECK_BOOL] = "true or false",
	[CHECK_COUNT] = "a whole number from 0 to 4294967295",
	[CHECK_NUMBER] = "a number that is not negative",
	[CHECK_ROUTE_TYPE] = "\"safe\", \"download\" or \"unsafe\"",
};

static bool is_route_type(const json_t *value)
{
	const char *text = json_string_value(value);

	return text &&
	       (strcmp(text, "safe") == 0 || strcmp(text, "download") == 0 ||
		strcmp(text, "unsafe") == 0);
}

static bool is_of_kind(const json_t *value, check_kind_t kind)
{
	switch (kind) {
	case CHECK_DECODED:
		return true;
	case CHECK_LIST:
		return json_is_array(value);
	case CHECK_OBJECT:
		return json_is_object(value);
	case CHECK_TEXT:
		return json_string_length(value) > 0;
	case CHECK_BOOL:
		return json_is_boolean(value);
	case CHECK_COUNT:
		return json_is_integer(value) &&
		       json_integer_value(value) >= 0 &&
		       json_integer_value(value) <= UINT32_MAX;
	case CHECK_NUMBER:
		return json_is_number(value) && json_number_value(value) >= 0;
	case CHECK_ROUTE_TYPE:
		return is_route_type(value);
	}
	return false;
}

static void check_unknown(check_report_t *report, const json_t *object,
			  const char *at, const check_field_t *fields)
{
	char path[2 * CHECK_PATH_BYTES];
	const check_field_t *field;
	const json_t *value;
	const char *key;

	json_object_foreach ((json_t *)object, key, value) {
		for (field = fields; field->name; field++)
			if (strcmp(field->name, key) == 0)
				break;
		if (field->name)
			continue;
		(void)snprintf(path, sizeof(path), "%s%s", at, key);
		check_add(report, CHECK_WARNING, path,
			  "unknown field: it has no effect");
	}
}

void check_fields(check_report_t *report, const json_t *object,
		  const char *path, const check_field_t *fields)
{
	char at[CHECK_PATH_BYTES];
	char member[2 * CHECK_PATH_BYTES];
	char text[CHECK_TEXT_BYTES];

	if (!json_is_object(object))
		return;
	(void)snprintf(at, sizeof(at), "%s%s", path, *path ? "." : "");
	for (const check_field_t *field = fields; field->name; field++) {
		const json_t *value = json_object_get(object, field->name);

		if (field->kind == CHECK_DECODED ||
		    (!value && field->missing == CHECK_NOTE) ||
		    is_of_kind(value, field->kind))
			continue;
		(void)snprintf(member, sizeof(member), "%s%s", at, field->name);
		check_add(report, value ? CHECK_ERROR : field->missing, member,
			  "%s: expected %s", check_describe(text, value),
			  expected[field->kind]);
	}
	check_unknown(report, object, at, fields);
}
