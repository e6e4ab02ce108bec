#include "settings.h"

#include "carobtrail/errors.h"
#include "emulator/common/number_rule.h"

#include <stdlib.h>
#include <string.h>

#define GROUPS_MAX   64
#define SOCKETS_MAX  500
#define FLOWS_MAX    200000
#define MS_MAX	     3600000
#define PERCENT_MAX  100
#define PATH_LEN_MAX 1024

static const char *const root_keys[] = {
	"seed",	       "ledger",       "address",	  "sockets",
	"duration_ms", "max_requests", "answer_bound_ms", "log_level",
	"flows",
};
static const char *const group_keys[] = {
	"service",	   "address",		"kind",	       "count",
	"start_ms",	   "think_ms",		"deadline_ms", "cancel_percent",
	"cancel_after_ms", "requests_per_flow",
};
static const char *const kind_names[] = {"feed", "check", "download"};

#define ROOT_RULE(member, min, max, fallback)                                  \
	CAROB_NUMBER_RULE(caller_settings_t, member, min, max, fallback)
#define GROUP_RULE(member, min, max, fallback)                                 \
	CAROB_NUMBER_RULE(caller_flow_group_t, member, min, max, fallback)

static const carob_number_rule_t root_rules[] = {
	ROOT_RULE(sockets, 1, SOCKETS_MAX, 20),
	ROOT_RULE(duration_ms, 1, MS_MAX, 10000),
	ROOT_RULE(answer_bound_ms, 0, MS_MAX, 2000),
};
static const carob_number_rule_t group_rules[] = {
	GROUP_RULE(count, 1, FLOWS_MAX, 1),
	GROUP_RULE(start_ms, 0, MS_MAX, 1000),
	GROUP_RULE(think_ms, 0, MS_MAX, 100),
	GROUP_RULE(deadline_ms, 1, MS_MAX, 10000),
	GROUP_RULE(cancel_percent, 0, PERCENT_MAX, 0),
	GROUP_RULE(cancel_after_ms, 0, MS_MAX, 100),
	GROUP_RULE(requests_per_flow, 1, UINT32_MAX, 10),
};

static int read_group(caller_flow_group_t *out, const carob_json_node_t *node)
{
	carob_json_node_t member;
	carob_str_t name;
	size_t kind = 0;
	int error;

	error = carob_json_object(node, group_keys,
				  CAROB_ARRAY_SIZE(group_keys));
	if (!error)
		error = carob_json_get(&member, node, "service");
	if (!error)
		error = carob_json_name(&name, &member, CAROB_RECORD_NAME_MAX);
	if (error)
		return error;
	carob_record_name(out->service, name);
	error = carob_json_get_addr(&out->addr, node, "address");
	if (!error)
		error = carob_json_get(&member, node, "kind");
	if (!error)
		error = carob_json_choice(&kind, &member, kind_names,
					  CAROB_ARRAY_SIZE(kind_names));
	out->kind = (caller_kind_t)kind;
	if (!error)
		error = carob_numbers_read(out, node, group_rules,
					   CAROB_ARRAY_SIZE(group_rules));
	return error;
}

static int read_groups(caller_settings_t *out, const carob_json_node_t *root)
{
	carob_json_node_t array;
	int error;

	error = carob_json_get(&array, root, "flows");
	if (!error)
		error = carob_json_array(&out->group_count, &array, 1,
					 GROUPS_MAX);
	if (error)
		return error;
	out->groups = calloc(out->group_count, sizeof(*out->groups));
	if (!out->groups)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate settings of flows");
	for (size_t i = 0; !error && i < out->group_count; i++) {
		carob_json_node_t node = carob_json_at(&array, i);

		error = read_group(&out->groups[i], &node);
	}
	return error;
}

int caller_settings_read(caller_settings_t *out, const carob_json_node_t *root)
{
	int error;

	memset(out, 0, sizeof(*out));
	error = carob_json_object(root, root_keys, CAROB_ARRAY_SIZE(root_keys));
	if (!error)
		error = carob_json_get_u64_or(&out->seed, root, "seed", 0,
					      UINT32_MAX, 1);
	if (!error)
		error = carob_json_get_u64_or(&out->max_requests, root,
					      "max_requests", 0, UINT32_MAX, 0);
	if (!error)
		error = carob_json_get_str(&out->ledger_path, root, "ledger", 1,
					   PATH_LEN_MAX);
	if (!error)
		error = carob_json_get_addr(&out->addr, root, "address");
	if (!error)
		error = carob_numbers_read(out, root, root_rules,
					   CAROB_ARRAY_SIZE(root_rules));
	if (!error)
		error = read_groups(out, root);
	return error;
}

void caller_settings_dispose(caller_settings_t *settings)
{
	free(settings->groups);
}
