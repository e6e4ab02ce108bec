#include "check_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

/* A member that is compared, and the rank of a difference. */
typedef struct compared {
	const char *name;
	unsigned int rank;
} compared_t;

static const compared_t route_members[] = {
	{"priority", RANK_PRIORITY},
	{"target_latency_ms", RANK_TARGET},
	{"timeout_ms", RANK_TIMEOUT},
	{"route_type", RANK_OTHER},
	{"max_attempts", RANK_OTHER},
	{"name", RANK_OTHER},
	{0},
};

static const compared_t service_members[] = {
	{"cold_per_s", RANK_SERVICES},
	{"cold_start_s", RANK_SERVICES},
	{"max_conns", RANK_SERVICES},
	{"health_path", RANK_SERVICES},
	{"protocol", RANK_SERVICES},
	{"tls", RANK_SERVICES},
	{0},
};

static const compared_t limit_members[] = {
	{"idle_timeout_ms", RANK_TIMEOUT},
	{"header_timeout_ms", RANK_TIMEOUT},
	{"max_header_bytes", RANK_OTHER},
	{"max_body_bytes", RANK_OTHER},
	{0},
};

/* Numbers are equal if their values are: 2 and 2.0 have the same effect. */
static bool is_same(const json_t *a, const json_t *b)
{
	if (json_is_number(a) && json_is_number(b))
		return json_number_value(a) == json_number_value(b);
	return a == b || json_equal(a, b);
}

static void compare_members(check_report_t *report, const json_t *from,
			    const json_t *to, const char *path,
			    const compared_t *members)
{
	char member[2 * CHECK_PATH_BYTES];
	char now[CHECK_TEXT_BYTES];
	char before[CHECK_TEXT_BYTES];

	for (; members->name; members++) {
		const json_t *a = json_object_get(from, members->name);
		const json_t *b = json_object_get(to, members->name);

		if (is_same(a, b))
			continue;
		(void)snprintf(member, sizeof(member), "%s.%s", path,
			       members->name);
		report->rank = members->rank;
		check_add(report, CHECK_NOTE, member, "%s, was %s",
			  check_describe(now, b), check_describe(before, a));
	}
}

/* Returns the weight of each service of a route, by name; NULL if memory is
 * short. */
static json_t *weights_of(const carob_catalog_route_t *route)
{
	json_t *weights = json_object();

	for (size_t i = 0; weights && i < route->share_count; i++) {
		const carob_catalog_share_t *share = &route->shares[i];
		json_int_t weight = (json_int_t)share->weight;

		if (!share->service.ptr || !weight)
			continue;
		weight += json_integer_value(json_object_getn(
			weights, share->service.ptr, share->service.len));
		(void)json_object_setn_new(weights, share->service.ptr,
					   share->service.len,
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
			   const carob_catalog_route_t *to, const char *path)
{
	json_t *before = weights_of(from);
	json_t *now = weights_of(to);
	bool same_services = has_same_keys(before, now);
	char *was = json_dumps(before, JSON_ENSURE_ASCII);
	char *is = json_dumps(now, JSON_ENSURE_ASCII);

	if (!was || !is)
		report->no_memory = true;
	else if (!same_services ||
		 (json_object_size(now) > 1 && !json_equal(before, now))) {
		report->rank = same_services ? RANK_SHARES : RANK_SERVICES;
		check_add(report, CHECK_NOTE, path, "%s %s, were %s",
			  same_services ? "shares" : "services", is, was);
	}
	free(was);
	free(is);
	json_decref(before);
	json_decref(now);
}

static void endpoint_text(char out[ENDPOINT_BYTES], carob_endpoint_t endpoint)
{
	(void)snprintf(out, ENDPOINT_BYTES, "%u.%u.%u.%u:%u", endpoint.ip >> 24,
		       endpoint.ip >> 16 & 255, endpoint.ip >> 8 & 255,
		       endpoint.ip & 255, endpoint.port);
}

/* Returns the index of the first route of each address and port. */
static json_t *index_routes(const platform_config_t *config)
{
	json_t *index = json_object();
	char key[ENDPOINT_BYTES];

	for (size_t i = config->config.count; i-- > 0;) {
		endpoint_text(key, config->routes[i].endpoint);
		if (config->routes[i].endpoint.port)
			(void)json_object_set_new(index, key,
						  json_integer((json_int_t)i));
	}
	return index;
}

static const json_t *route_at(const check_config_t *config, size_t i)
{
	return json_array_get(json_object_get(config->root, "routes"), i);
}

static void compare_routes(check_report_t *report, const check_config_t *from,
			   const check_config_t *to, json_t *before,
			   json_t *now)
{
	char path[CHECK_PATH_BYTES];
	const json_t *index;
	const char *key;

	json_object_foreach (now, key, index) {
		const json_t *previous = json_object_get(before, key);
		size_t i = (size_t)json_integer_value(index);
		size_t j = (size_t)json_integer_value(previous);

		(void)snprintf(path, sizeof(path), "routes[%zu]", i);
		if (!previous) {
			report->rank = RANK_ADDED;
			check_add(report, CHECK_NOTE, path, "%s: route added",
				  key);
			continue;
		}
		compare_shares(report, &from->decoded.routes[j],
			       &to->decoded.routes[i], path);
		compare_members(report, route_at(from, j), route_at(to, i),
				path, route_members);
	}
}

static void report_dropped(check_report_t *report, json_t *before,
			   const json_t *now)
{
	char path[CHECK_PATH_BYTES];
	const json_t *index;
	const char *key;

	report->document = CHECK_IN_FORCE;
	report->rank = RANK_DROPPED;
	json_object_foreach (before, key, index) {
		if (json_object_get(now, key))
			continue;
		(void)snprintf(path, sizeof(path), "routes[%lld]",
			       (long long)json_integer_value(index));
		check_add(report, CHECK_WARNING, path,
			  "%s: route dropped: its open flows end", key);
	}
	report->document = CHECK_CONFIG;
}

/* Services are declared by their names; a service that only one of the two
 * versions declares shows in the routes that use it. */
static void compare_services(check_report_t *report, const json_t *from,
			     const json_t *to)
{
	json_t *before = json_object();
	char path[CHECK_PATH_BYTES];
	const json_t *service;
	size_t i;

	json_array_foreach (from, i, service) {
		const char *name =
			json_string_value(json_object_get(service, "name"));

		if (name)
			(void)json_object_set(before, name, (json_t *)service);
	}
	json_array_foreach (to, i, service) {
		const char *name =
			json_string_value(json_object_get(service, "name"));
		const json_t *previous = name ? json_object_get(before, name)
					      : NULL;

		(void)snprintf(path, sizeof(path), "services[%zu]", i);
		if (previous)
			compare_members(report, previous, service, path,
					service_members);
	}
	json_decref(before);
}

void check_differences(check_report_t *report, const check_config_t *from,
		       const check_config_t *to)
{
	json_t *before = index_routes(&from->decoded);
	json_t *now = index_routes(&to->decoded);

	report_dropped(report, before, now);
	compare_routes(report, from, to, before, now);
	compare_services(report, json_object_get(from->root, "services"),
			 json_object_get(to->root, "services"));
	compare_members(report, json_object_get(from->root, "limits"),
			json_object_get(to->root, "limits"), "limits",
			limit_members);
	report->rank = 0;
	json_decref(before);
	json_decref(now);
}
