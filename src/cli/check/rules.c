#include "check_priv.h"

#include "carobtrail/errors.h"

#include <stdio.h>
#include <string.h>

/* Callers send the last copy of a SYN after this time. */
#define LAST_SYN_COPY_MS 600
#define ENDPOINT_BYTES	 32

/* What has been seen of a configuration. */
typedef struct rules {
	check_report_t *report;
	const check_config_t *config;
	json_t *route_names;   /* name: index of the first route that has it */
	json_t *endpoints;     /* address and port: likewise */
	json_t *declared;      /* name of a service: index of its declaration */
	json_t *used;	       /* names of the services that routes name */
	json_int_t longest_ms; /* longest `timeout_ms` of the routes */
	size_t longest;	       /* the route that has it */
} rules_t;

/* Adds a key to a set.
 * @return the index of the one who had it before, or -1 */
static json_int_t claim(rules_t *rules, json_t *set, const char *key,
			size_t index)
{
	const json_t *first = json_object_get(set, key);

	if (first)
		return json_integer_value(first);
	if (json_object_set_new(set, key, json_integer((json_int_t)index)) != 0)
		rules->report->no_memory = true;
	return -1;
}

/* Reports a name that an earlier element of the list has. */
static void check_name(rules_t *rules, json_t *names, const json_t *object,
		       const char *list, size_t index)
{
	const json_t *name = json_object_get(object, "name");
	char path[CHECK_PATH_BYTES];
	char text[CHECK_TEXT_BYTES];
	json_int_t first;

	if (!json_string_length(name))
		return;
	first = claim(rules, names, json_string_value(name), index);
	if (first < 0)
		return;
	(void)snprintf(path, sizeof(path), "%s[%zu].name", list, index);
	check_add(rules->report, CHECK_ERROR, path,
		  "%s: duplicate name: %s[%lld] has it",
		  check_describe(text, name), list, (long long)first);
}

static void check_endpoint(rules_t *rules, size_t index, const char *path)
{
	carob_endpoint_t endpoint =
		rules->config->decoded.routes[index].endpoint;
	char text[ENDPOINT_BYTES];
	json_int_t first;

	if (!endpoint.port)
		return;
	(void)snprintf(text, sizeof(text), "%u:%u", endpoint.ip, endpoint.port);
	first = claim(rules, rules->endpoints, text, index);
	if (first >= 0)
		check_add(rules->report, CHECK_WARNING, path,
			  "never matches: routes[%lld] has the same address "
			  "and port",
			  (long long)first);
}

/* Reports a service without declaration, and notes that it is used. */
static void check_service_name(rules_t *rules, const json_t *object,
			       const char *path)
{
	const json_t *name = json_object_get(object, "service");
	const json_t *services =
		json_object_get(rules->config->root, "services");
	char member[2 * CHECK_PATH_BYTES];
	char text[CHECK_TEXT_BYTES];

	if (!json_is_string(name))
		return;
	if (json_object_set_new(rules->used, json_string_value(name),
				json_true()) != 0)
		rules->report->no_memory = true;
	if (!json_is_array(services) ||
	    json_object_get(rules->declared, json_string_value(name)))
		return;
	(void)snprintf(member, sizeof(member), "%s.service", path);
	check_add(rules->report, CHECK_ERROR, member,
		  "%s: this service is not declared in services",
		  check_describe(text, name));
}

static bool is_zero(const json_t *value)
{
	return json_is_integer(value) && json_integer_value(value) == 0;
}

/* Reports shares that receive no flows. */
static void check_weights(rules_t *rules, const json_t *split, const char *path)
{
	char member[2 * CHECK_PATH_BYTES];
	const json_t *share;
	size_t zero = 0;
	size_t i;

	json_array_foreach (split, i, share)
		zero += is_zero(json_object_get(share, "weight"));
	if (zero == json_array_size(split)) {
		check_add(rules->report, CHECK_ERROR, path,
			  "no share has a weight above 0: no flow can be "
			  "placed");
		return;
	}
	json_array_foreach (split, i, share) {
		if (!is_zero(json_object_get(share, "weight")))
			continue;
		(void)snprintf(member, sizeof(member), "%s[%zu].weight", path,
			       i);
		check_add(rules->report, CHECK_WARNING, member,
			  "0: this share receives no flows");
	}
}

static void check_shares(rules_t *rules, const json_t *route, const char *path)
{
	const json_t *split = json_object_get(route, "traffic_split");
	const json_t *service = json_object_get(route, "service");
	char member[CHECK_PATH_BYTES + CHECK_TEXT_BYTES];
	const json_t *share;
	size_t i;

	if (!split || json_is_null(split)) {
		check_service_name(rules, route, path);
		return;
	}
	if (service && !json_is_null(service)) {
		(void)snprintf(member, sizeof(member), "%s.service", path);
		check_add(rules->report, CHECK_WARNING, member,
			  "no effect: the route has a traffic_split");
	}
	/* The decoder reports splits that are no list or too long. */
	if (!json_is_array(split) ||
	    json_array_size(split) > CAROB_ROUTE_SHARES_MAX)
		return;
	(void)snprintf(member, sizeof(member), "%s.traffic_split", path);
	check_weights(rules, split, member);
	json_array_foreach (split, i, share) {
		(void)snprintf(member, sizeof(member), "%s.traffic_split[%zu]",
			       path, i);
		check_service_name(rules, share, member);
		check_fields(rules->report, share, member, check_share_fields);
	}
}

static void check_times(rules_t *rules, const json_t *route, const char *path,
			size_t index)
{
	const json_t *timeout = json_object_get(route, "timeout_ms");
	const json_t *target = json_object_get(route, "target_latency_ms");
	json_int_t timeout_ms = json_integer_value(timeout);
	char member[2 * CHECK_PATH_BYTES];

	if (!json_is_integer(timeout) || timeout_ms < 0)
		return;
	if (timeout_ms > rules->longest_ms) {
		rules->longest_ms = timeout_ms;
		rules->longest = index;
	}
	if (json_integer_value(target) > timeout_ms) {
		(void)snprintf(member, sizeof(member), "%s.target_latency_ms",
			       path);
		check_add(rules->report, CHECK_WARNING, member,
			  "%lld: above timeout_ms, %lld: callers give up "
			  "before a response is late",
			  (long long)json_integer_value(target),
			  (long long)timeout_ms);
	}
	if (timeout_ms < LAST_SYN_COPY_MS) {
		(void)snprintf(member, sizeof(member), "%s.timeout_ms", path);
		check_add(rules->report, CHECK_WARNING, member,
			  "%lld: callers send the last copy of a SYN after "
			  "%d ms, so deferring a flow never helps",
			  (long long)timeout_ms, LAST_SYN_COPY_MS);
	}
}

static void check_routes(rules_t *rules)
{
	const json_t *routes = json_object_get(rules->config->root, "routes");
	char path[CHECK_PATH_BYTES];
	const json_t *route;
	size_t i;

	json_array_foreach (routes, i, route) {
		(void)snprintf(path, sizeof(path), "routes[%zu]", i);
		check_fields(rules->report, route, path, check_route_fields);
		check_name(rules, rules->route_names, route, "routes", i);
		check_endpoint(rules, i, path);
		check_shares(rules, route, path);
		check_times(rules, route, path, i);
	}
}

static void check_cold(rules_t *rules, const json_t *service, const char *path)
{
	const json_t *start = json_object_get(service, "cold_start_s");
	const json_t *rate = json_object_get(service, "cold_per_s");
	char member[2 * CHECK_PATH_BYTES];

	if (!(json_number_value(start) > 0) ||
	    (rate && !(json_is_number(rate) && json_number_value(rate) == 0)))
		return;
	(void)snprintf(member, sizeof(member), "%s.cold_per_s", path);
	check_add(rules->report, CHECK_NOTE, member,
		  "no rate is stated, although cold_start_s is above 0: how "
		  "fast upstreams answer alone decides how many flows they get "
		  "while they are cold");
}

/* Services come before routes, which refer to them. */
static void check_services(rules_t *rules)
{
	const json_t *services =
		json_object_get(rules->config->root, "services");
	char path[CHECK_PATH_BYTES];
	const json_t *service;
	size_t i;

	json_array_foreach (services, i, service) {
		(void)snprintf(path, sizeof(path), "services[%zu]", i);
		if (!json_is_object(service))
			check_add(rules->report, CHECK_ERROR, path,
				  "expected a service");
		check_fields(rules->report, service, path,
			     check_service_fields);
		check_name(rules, rules->declared, service, "services", i);
		check_cold(rules, service, path);
	}
}

static void check_unused(rules_t *rules)
{
	const json_t *index;
	const char *name;

	json_object_foreach (rules->declared, name, index) {
		char path[CHECK_PATH_BYTES];

		if (json_object_get(rules->used, name))
			continue;
		(void)snprintf(path, sizeof(path), "services[%lld]",
			       (long long)json_integer_value(index));
		check_add(rules->report, CHECK_WARNING, path,
			  "no route uses this service");
	}
}

static void check_idle_timeout(rules_t *rules)
{
	const json_t *limits = json_object_get(rules->config->root, "limits");
	const json_t *idle = json_object_get(limits, "idle_timeout_ms");
	json_int_t idle_ms = json_integer_value(idle);

	if (json_is_integer(idle) && idle_ms >= 0 &&
	    idle_ms < rules->longest_ms)
		check_add(rules->report, CHECK_WARNING,
			  "limits.idle_timeout_ms",
			  "%lld: below timeout_ms of routes[%zu], %lld: a flow "
			  "may be forgotten while its caller still waits",
			  (long long)idle_ms, rules->longest,
			  (long long)rules->longest_ms);
}

void check_rules(check_report_t *report, const check_config_t *config)
{
	const json_t *root = config->root;
	rules_t rules = {.report = report,
			 .config = config,
			 .route_names = json_object(),
			 .endpoints = json_object(),
			 .declared = json_object(),
			 .used = json_object()};

	check_fields(report, root, "", check_config_fields);
	check_fields(report, json_object_get(root, "limits"), "limits",
		     check_limit_fields);
	check_services(&rules);
	check_routes(&rules);
	check_unused(&rules);
	check_idle_timeout(&rules);
	json_decref(rules.route_names);
	json_decref(rules.endpoints);
	json_decref(rules.declared);
	json_decref(rules.used);
}
