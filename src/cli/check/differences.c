#include "check_priv.h"

#include <stdio.h>
#include <stdlib.h>

#define ENDPOINT_BYTES 32

/* What a difference changes for callers, the gravest first. */
enum {
	RANK_DROPPED = 1,
	RANK_ADDED,
	RANK_SERVICES,
	RANK_SHARES,
	RANK_PRIORITY,
	RANK_TARGET,
	RANK_TIMEOUT,
	RANK_OTHER,
};

/* Members that are compared, in routes, services and limits. */
static const struct {
	const char *name;
	unsigned int rank;
} members[] = {
	{"cold_per_s", RANK_SERVICES},	     {"cold_start_s", RANK_SERVICES},
	{"max_conns", RANK_SERVICES},	     {"health_path", RANK_SERVICES},
	{"protocol", RANK_SERVICES},	     {"tls", RANK_SERVICES},
	{"priority", RANK_PRIORITY},	     {"target_latency_ms", RANK_TARGET},
	{"timeout_ms", RANK_TIMEOUT},	     {"idle_timeout_ms", RANK_TIMEOUT},
	{"header_timeout_ms", RANK_TIMEOUT}, {"route_type", RANK_OTHER},
	{"max_attempts", RANK_OTHER},	     {"max_header_bytes", RANK_OTHER},
	{"max_body_bytes", RANK_OTHER},	     {"name", RANK_OTHER},
};

/* Numbers are equal if their values are: 2 and 2.0 have the same effect. */
static bool is_same(const json_t *a, const json_t *b)
{
	if (json_is_number(a) && json_is_number(b))
		return json_number_value(a) == json_number_value(b);
	return a == b || json_equal(a, b);
}

static void compare_members(check_report_t *report, const json_t *from,
			    const check_place_t *to)
{
	char was[CHECK_TEXT_BYTES];

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(members); i++) {
		const char *name = members[i].name;
		const json_t *before = json_object_get(from, name);

		report->rank = members[i].rank;
		if (!is_same(before, json_object_get(to->value, name)))
			check_add(report, CHECK_NOTE, to, name, "was %s",
				  check_describe(was, before));
	}
}

/* @return the weights of a route by service; NULL if memory is short */
static json_t *weights_of(const carob_catalog_route_t *route)
{
	json_t *weights = json_object();

	for (size_t i = 0; weights && i < route->share_count; i++) {
		carob_str_t name = route->shares[i].service;
		json_int_t weight = route->shares[i].weight;

		if (!name.ptr || !weight)
			continue;
		weight += json_integer_value(
			json_object_getn(weights, name.ptr, name.len));
		(void)json_object_setn_new(weights, name.ptr, name.len,
					   json_integer(weight));
	}
	return weights;
}

static bool has_same_keys(json_t *a, const json_t *b)
{
	const json_t *value;
	const char *key;

	json_object_foreach (a, key, value)
		if (!json_object_get(b, key))
			return false;
	return json_object_size(a) == json_object_size(b);
}

static void compare_shares(check_report_t *report,
			   const carob_catalog_route_t *from,
			   const carob_catalog_route_t *to,
			   const check_place_t *route)
{
	json_t *before = weights_of(from);
	json_t *now = weights_of(to);
	bool same_services = has_same_keys(before, now);
	char *was = json_dumps(before, JSON_ENSURE_ASCII);
	char *is = json_dumps(now, JSON_ENSURE_ASCII);

	report->rank = same_services ? RANK_SHARES : RANK_SERVICES;
	/* The weight of a single service has no effect. */
	if (!same_services ||
	    (json_object_size(now) > 1 && !json_equal(before, now)))
		check_add(report, CHECK_NOTE, route, NULL, "%s %s, were %s",
			  same_services ? "shares" : "services", is ? is : "?",
			  was ? was : "?");
	free(was);
	free(is);
	json_decref(before);
	json_decref(now);
}

/* @return the index of the first route of each address and port */
static json_t *index_routes(const platform_config_t *config)
{
	json_t *index = json_object();
	char key[ENDPOINT_BYTES];

	for (size_t i = config->config.count; i-- > 0;) {
		carob_endpoint_t at = config->routes[i].endpoint;

		(void)snprintf(key, sizeof(key), "%u.%u.%u.%u:%u", at.ip >> 24,
			       at.ip >> 16 & 255, at.ip >> 8 & 255, at.ip & 255,
			       at.port);
		if (at.port)
			(void)json_object_set_new(index, key,
						  json_integer((json_int_t)i));
	}
	return index;
}

static void compare_routes(check_report_t *report, const check_config_t *from,
			   const check_config_t *to, json_t *before,
			   json_t *now)
{
	check_place_t root = {"", to->root};
	check_place_t old_root = {"", from->root};
	const json_t *index;
	const char *key;

	json_object_foreach (now, key, index) {
		const json_t *previous = json_object_get(before, key);
		size_t i = (size_t)json_integer_value(index);
		size_t j = (size_t)json_integer_value(previous);
		check_place_t route = check_element(&root, "routes", i);

		report->rank = RANK_ADDED;
		if (!previous) {
			check_add(report, CHECK_NOTE, &route, NULL,
				  "%s: route added", key);
			continue;
		}
		compare_shares(report, &from->decoded.routes[j],
			       &to->decoded.routes[i], &route);
		compare_members(report,
				check_element(&old_root, "routes", j).value,
				&route);
	}
}

/* These findings are about the configuration in force. */
static void report_dropped(check_report_t *report, const check_config_t *from,
			   json_t *before, const json_t *now)
{
	check_place_t root = {"", from->root};
	check_place_t route;
	const json_t *index;
	const char *key;

	report->rank = RANK_DROPPED;
	report->document = CHECK_IN_FORCE;
	report->lines = from->lines;
	json_object_foreach (before, key, index) {
		route = check_element(&root, "routes",
				      (size_t)json_integer_value(index));
		if (!json_object_get(now, key))
			check_add(report, CHECK_WARNING, &route, NULL,
				  "%s: route dropped: its open flows end", key);
	}
}

/* Compares services of the same name. One that only one of the two versions
 * declares shows in the routes that use it. */
static void compare_services(check_report_t *report, const json_t *from,
			     const check_place_t *to)
{
	const json_t *list = json_object_get(to->value, "services");
	json_t *before = json_object();
	const json_t *service;
	const char *name;
	size_t i;

	json_array_foreach (json_object_get(from, "services"), i, service) {
		name = json_string_value(json_object_get(service, "name"));
		if (name)
			(void)json_object_set(before, name, (json_t *)service);
	}
	for (i = 0; i < json_array_size(list); i++) {
		check_place_t place = check_element(to, "services", i);

		name = json_string_value(json_object_get(place.value, "name"));
		service = name ? json_object_get(before, name) : NULL;
		if (service)
			compare_members(report, service, &place);
	}
	json_decref(before);
}

void check_differences(check_report_t *report, const check_config_t *from,
		       const check_config_t *to)
{
	json_t *before = index_routes(&from->decoded);
	json_t *now = index_routes(&to->decoded);
	check_place_t root = {"", to->root};
	check_place_t limits = {"limits", json_object_get(to->root, "limits")};

	compare_routes(report, from, to, before, now);
	compare_services(report, from->root, &root);
	compare_members(report, json_object_get(from->root, "limits"), &limits);
	report_dropped(report, from, before, now);
	report->rank = 0;
	json_decref(before);
	json_decref(now);
}
