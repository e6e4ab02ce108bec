#include "settings.h"

#include "carobtrail/errors.h"
#include "emulator/common/number_rule.h"

#include <stdlib.h>
#include <string.h>

#define SERVICES_MAX 64
#define HOSTS_MAX    4096
#define SLOTS_MAX    10000
#define FEEDS_MAX    1000000
#define MS_MAX	     600000
#define FACTOR_MAX   100
#define BLOCKS_MAX   1024
#define PATH_LEN_MAX 1024

static const char *const root_keys[] = {"seed", "command", "ledger",
					"log_level", "services"};
static const char *const service_keys[] = {
	"name",		  "slots",	     "connections",
	"min_service_ms", "mean_service_ms", "cold_ms",
	"cold_factor",	  "cancel_ms",	     "ack_ms",
	"notify_ms",	  "block_count",     "report_lag_ms",
	"retry_after_s",  "upstreams",
};
static const char *const host_keys[] = {"name", "address"};

#define SERVICE_RULE(member, min, max, fallback)                               \
	CAROB_NUMBER_RULE(upstream_service_t, member, min, max, fallback)

static const carob_number_rule_t number_rules[] = {
	SERVICE_RULE(slots, 1, SLOTS_MAX, 3),
	SERVICE_RULE(connections, 0, FEEDS_MAX, 2000),
	SERVICE_RULE(min_service_ms, 0, MS_MAX, 5),
	SERVICE_RULE(mean_service_ms, 0, MS_MAX, 40),
	SERVICE_RULE(cold_ms, 0, MS_MAX, 0),
	SERVICE_RULE(cold_factor, 1, FACTOR_MAX, 3),
	SERVICE_RULE(cancel_ms, 0, MS_MAX, 1),
	SERVICE_RULE(ack_ms, 0, MS_MAX, 100),
	SERVICE_RULE(notify_ms, 1, MS_MAX, 500),
	SERVICE_RULE(block_count, 1, BLOCKS_MAX, 4),
	SERVICE_RULE(report_lag_ms, 0, MS_MAX, 500),
	SERVICE_RULE(retry_after_s, 0, MS_MAX, 1),
};

static int read_name(carob_record_name_t out, const carob_json_node_t *object)
{
	carob_json_node_t node;
	carob_str_t name;
	int error;

	error = carob_json_get(&node, object, "name");
	if (!error)
		error = carob_json_name(&name, &node, CAROB_RECORD_NAME_MAX);
	if (!error)
		carob_record_name(out, name);
	return error;
}

static int read_host(upstream_host_settings_t *out,
		     const carob_json_node_t *node)
{
	int error;

	error = carob_json_object(node, host_keys, CAROB_ARRAY_SIZE(host_keys));
	if (!error)
		error = read_name(out->name, node);
	if (!error)
		error = carob_json_get_addr(&out->addr, node, "address");
	return error;
}

static int read_hosts(upstream_settings_t *out,
		      const upstream_service_t *service,
		      const carob_json_node_t *object)
{
	upstream_host_settings_t *hosts;
	carob_json_node_t array;
	size_t count;
	int error;

	error = carob_json_get(&array, object, "upstreams");
	if (!error)
		error = carob_json_array(&count, &array, 1, HOSTS_MAX);
	if (error)
		return error;
	hosts = realloc(out->hosts, (out->host_count + count) * sizeof(*hosts));
	if (!hosts)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate settings of upstreams");
	out->hosts = hosts;
	for (size_t i = 0; !error && i < count; i++) {
		carob_json_node_t node = carob_json_at(&array, i);

		hosts[out->host_count].service = service;
		error = read_host(&hosts[out->host_count++], &node);
	}
	return error;
}

static int read_service(upstream_settings_t *out, upstream_service_t *service,
			const carob_json_node_t *node)
{
	int error;

	error = carob_json_object(node, service_keys,
				  CAROB_ARRAY_SIZE(service_keys));
	if (!error)
		error = read_name(service->name, node);
	if (!error)
		error = carob_numbers_read(service, node, number_rules,
					   CAROB_ARRAY_SIZE(number_rules));
	if (!error)
		error = read_hosts(out, service, node);
	return error;
}

static int read_services(upstream_settings_t *out,
			 const carob_json_node_t *root)
{
	carob_json_node_t array;
	int error;

	error = carob_json_get(&array, root, "services");
	if (!error)
		error = carob_json_array(&out->service_count, &array, 1,
					 SERVICES_MAX);
	if (error)
		return error;
	out->services = calloc(out->service_count, sizeof(*out->services));
	if (!out->services)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate settings of services");
	for (size_t i = 0; !error && i < out->service_count; i++) {
		carob_json_node_t node = carob_json_at(&array, i);

		error = read_service(out, &out->services[i], &node);
	}
	return error;
}

int upstream_settings_read(upstream_settings_t *out,
			   const carob_json_node_t *root)
{
	carob_json_node_t node;
	int error;

	memset(out, 0, sizeof(*out));
	error = carob_json_object(root, root_keys, CAROB_ARRAY_SIZE(root_keys));
	if (!error)
		error = carob_json_get_u64_or(&out->seed, root, "seed", 0,
					      UINT32_MAX, 1);
	if (!error && carob_json_find(&node, root, "command"))
		error = carob_json_addr(&out->command_addr, &node);
	if (!error)
		error = carob_json_get_str(&out->ledger_path, root, "ledger", 1,
					   PATH_LEN_MAX);
	if (!error)
		error = read_services(out, root);
	return error;
}

void upstream_settings_dispose(upstream_settings_t *settings)
{
	free(settings->services);
	free(settings->hosts);
}
