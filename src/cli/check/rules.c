#include "check_priv.h"

#include <stdio.h>

/* Callers send the last copy of a SYN after this time. */
#define LAST_SYN_COPY_MS 600
#define ENDPOINT_BYTES	 32

/* What has been seen of a configuration. */
typedef struct rules {
	check_report_t *report;
	const check_config_t *config;
	json_t *names;	       /* of routes, with the index of the first */
	json_t *endpoints;     /* of routes, likewise */
	json_t *declared;      /* names of services, likewise */
	json_t *used;	       /* names of services in routes */
	json_int_t longest_ms; /* the longest `timeout_ms` */
	size_t longest;	       /* the route that has it */
} rules_t;

/* Adds a key to a set.
 * @return the index of the one that had it before, or -1 */
static json_int_t claim(json_t *set, const char *key, size_t index)
{
	const json_t *first = json_object_get(set, key);

	if (first)
		return json_integer_value(first);
	(void)json_object_set_new(set, key, json_integer((json_int_t)index));
	return -1;
}

static json_int_t int_of(const check_place_t *place, const char *name)
{
	return json_integer_value(json_object_get(place->value, name));
}

/* Reports a name that an earlier element of the list has. */
static void check_name(rules_t *rules, json_t *names,
		       const check_place_t *place, size_t index)
{
	const json_t *name = json_object_get(place->value, "name");
	json_int_t first = -1;

	if (json_is_string(name))
		first = claim(names, json_string_value(name), index);
	if (first >= 0)
		check_add(rules->report, CHECK_ERROR, place, "name",
			  "duplicate: number %lld of the list has it, too",
			  (long long)first);
}

static void check_endpoint(rules_t *rules, const check_place_t *route,
			   size_t index)
{
	carob_endpoint_t endpoint =
		rules->config->decoded.routes[index].endpoint;
	char text[ENDPOINT_BYTES];
	json_int_t first;

	if (!endpoint.port)
		return;
	(void)snprintf(text, sizeof(text), "%u:%u", endpoint.ip, endpoint.port);
	first = claim(rules->endpoints, text, index);
	if (first >= 0)
		check_add(rules->report, CHECK_WARNING, route, NULL,
			  "never matches: routes[%lld] has the same address "
			  "and port",
			  (long long)first);
}

/* Reports a service without declaration, and notes that it is used. */
static void check_service_name(rules_t *rules, const check_place_t *place)
{
	const json_t *name = json_object_get(place->value, "service");
	const json_t *services =
		json_object_get(rules->config->root, "services");

	if (!json_is_string(name))
		return;
	(void)claim(rules->used, json_string_value(name), 0);
	if (json_is_array(services) &&
	    !json_object_get(rules->declared, json_string_value(name)))
		check_add(rules->report, CHECK_ERROR, place, "service",
			  "not declared in services");
}

static bool has_weight_0(const check_place_t *share)
{
	const json_t *weight = json_object_get(share->value, "weight");

	return json_is_integer(weight) && json_integer_value(weight) == 0;
}

/* Checks the shares of a route; the decoder reports splits that are no list. */
static void check_split(rules_t *rules, const check_place_t *route,
			const json_t *split)
{
	size_t count = json_array_size(split);
	size_t zero = 0;

	if (!json_is_array(split))
		return;
	for (size_t i = 0; i < count; i++) {
		check_place_t share = check_element(route, "traffic_split", i);

		zero += has_weight_0(&share);
		check_service_name(rules, &share);
		check_fields(rules->report, &share, CHECK_SHARE);
	}
	if (zero == count) {
		check_add(rules->report, CHECK_ERROR, route, "traffic_split",
			  "no weight is above 0: no flow can be placed");
		return;
	}
	for (size_t i = 0; i < count; i++) {
		check_place_t share = check_element(route, "traffic_split", i);

		if (has_weight_0(&share))
			check_add(rules->report, CHECK_WARNING, &share,
				  "weight", "this share receives no flows");
	}
}

static void check_shares(rules_t *rules, const check_place_t *route)
{
	const json_t *split = json_object_get(route->value, "traffic_split");
	const json_t *service = json_object_get(route->value, "service");

	if (!split || json_is_null(split)) {
		check_service_name(rules, route);
		return;
	}
	if (service && !json_is_null(service))
		check_add(rules->report, CHECK_WARNING, route, "service",
			  "no effect, as there is a traffic_split");
	check_split(rules, route, split);
}

static void check_times(rules_t *rules, const check_place_t *route,
			size_t index)
{
	json_int_t timeout_ms = int_of(route, "timeout_ms");

	/* Another type is reported as such. */
	if (!json_is_integer(json_object_get(route->value, "timeout_ms")) ||
	    timeout_ms < 0)
		return;
	if (timeout_ms > rules->longest_ms) {
		rules->longest_ms = timeout_ms;
		rules->longest = index;
	}
	if (int_of(route, "target_latency_ms") > timeout_ms)
		check_add(rules->report, CHECK_WARNING, route,
			  "target_latency_ms",
			  "above timeout_ms, %lld: callers give up before a "
			  "response is late",
			  (long long)timeout_ms);
	if (timeout_ms < LAST_SYN_COPY_MS)
		check_add(rules->report, CHECK_WARNING, route, "timeout_ms",
			  "callers send the last copy of a SYN after %d ms, so "
			  "deferring a flow never helps",
			  LAST_SYN_COPY_MS);
}

/* Reports that no rate is stated, which may be intended. */
static void check_cold(rules_t *rules, const check_place_t *service)
{
	const json_t *rate = json_object_get(service->value, "cold_per_s");
	const json_t *start = json_object_get(service->value, "cold_start_s");

	if (json_number_value(start) > 0 && json_number_value(rate) == 0 &&
	    (!rate || json_is_number(rate)))
		check_add(rules->report, CHECK_NOTE, service, "cold_per_s",
			  "no rate is stated, although cold_start_s is above "
			  "0: the response times alone decide how many flows a "
			  "cold upstream gets");
}

static void check_services(rules_t *rules, const check_place_t *root)
{
	const json_t *services = json_object_get(root->value, "services");

	for (size_t i = 0; i < json_array_size(services); i++) {
		check_place_t service = check_element(root, "services", i);

		if (!json_is_object(service.value))
			check_add(rules->report, CHECK_ERROR, &service, NULL,
				  "expected a service");
		check_fields(rules->report, &service, CHECK_SERVICE);
		check_name(rules, rules->declared, &service, i);
		check_cold(rules, &service);
	}
}

static void check_routes(rules_t *rules, const check_place_t *root)
{
	for (size_t i = 0; i < rules->config->decoded.config.count; i++) {
		check_place_t route = check_element(root, "routes", i);

		check_fields(rules->report, &route, CHECK_ROUTE);
		check_name(rules, rules->names, &route, i);
		check_endpoint(rules, &route, i);
		check_shares(rules, &route);
		check_times(rules, &route, i);
	}
}

static void check_unused(rules_t *rules, const check_place_t *root)
{
	check_place_t service;
	const json_t *index;
	const char *name;

	json_object_foreach (rules->declared, name, index) {
		service = check_element(root, "services",
					(size_t)json_integer_value(index));
		if (!json_object_get(rules->used, name))
			check_add(rules->report, CHECK_WARNING, &service, NULL,
				  "no route uses this service");
	}
}

static void check_limits(rules_t *rules, const check_place_t *root)
{
	check_place_t limits = {"limits",
				json_object_get(root->value, "limits")};
	const json_t *idle = json_object_get(limits.value, "idle_timeout_ms");

	check_fields(rules->report, &limits, CHECK_LIMITS);
	if (json_is_integer(idle) && json_integer_value(idle) >= 0 &&
	    json_integer_value(idle) < rules->longest_ms)
		check_add(rules->report, CHECK_WARNING, &limits,
			  "idle_timeout_ms",
			  "below timeout_ms of routes[%zu], %lld: a flow may "
			  "be forgotten while its caller still waits",
			  rules->longest, (long long)rules->longest_ms);
}

void check_rules(check_report_t *report, const check_config_t *config)
{
	check_place_t root = {"", config->root};
	rules_t rules = {.report = report,
			 .config = config,
			 .names = json_object(),
			 .endpoints = json_object(),
			 .declared = json_object(),
			 .used = json_object()};

	check_fields(report, &root, CHECK_ROOT);
	check_services(&rules, &root); /* before routes, which name them */
	check_routes(&rules, &root);
	check_unused(&rules, &root);
	check_limits(&rules, &root);
	json_decref(rules.names);
	json_decref(rules.endpoints);
	json_decref(rules.declared);
	json_decref(rules.used);
}
