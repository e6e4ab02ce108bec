#include "carobtrail/route_table.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

#define BUCKETS_PER_ROUTE 2
#define BUCKETS_MIN	  16

static size_t bucket_of(carob_endpoint_t endpoint, size_t bucket_count)
{
	uint64_t key = (uint64_t)endpoint.ip << 16 | endpoint.port;

	return (size_t)carob_hash_u64(key) & (bucket_count - 1);
}

static void fill_buckets(carob_route_table_t *table)
{
	const carob_route_config_t *config = &table->config;

	for (size_t i = 0; i < config->count; i++) {
		size_t bucket = bucket_of(config->routes[i].endpoint,
					  table->bucket_count);

		while (table->buckets[bucket])
			bucket = (bucket + 1) & (table->bucket_count - 1);
		table->buckets[bucket] = (uint32_t)i + 1;
	}
}

static bool is_dropped(const carob_route_table_t *table,
		       carob_endpoint_t endpoint)
{
	for (size_t i = 0; i < table->dropped_count; i++)
		if (carob_endpoint_eq(table->dropped[i], endpoint))
			return true;
	return false;
}

/* Sets `dropped` to the routes that `previous` had, or had dropped, and that
 * the table does not have. */
static int collect_dropped(carob_route_table_t *table,
			   const carob_route_table_t *previous)
{
	size_t dropped_max = previous->dropped_count + previous->config.count;
	const carob_route_t *route;

	table->dropped =
		calloc(dropped_max ? dropped_max : 1, sizeof(*table->dropped));
	if (!table->dropped)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate table of dropped "
				       "routes");
	for (size_t i = 0; i < dropped_max; i++) {
		carob_endpoint_t endpoint =
			i < previous->dropped_count
				? previous->dropped[i]
				: previous->config
					  .routes[i - previous->dropped_count]
					  .endpoint;

		if (carob_route_table_find(&route, table, endpoint) ==
		    CAROB_ROUTE_UNKNOWN)
			table->dropped[table->dropped_count++] = endpoint;
	}
	return 0;
}

static int copy_services(carob_route_config_t *out,
			 const carob_route_config_t *config)
{
	out->services = NULL;
	if (config->service_count == 0)
		return 0;
	out->services =
		calloc(config->service_count, sizeof(*config->services));
	if (!out->services)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate services of a "
				       "configuration");
	memcpy(out->services, config->services,
	       config->service_count * sizeof(*config->services));
	return 0;
}

static size_t count_shares(const carob_route_config_t *config)
{
	size_t count = 0;

	for (size_t i = 0; i < config->count; i++)
		count += config->routes[i].share_count;
	return count;
}

static int copy_routes(carob_route_table_t *table,
		       const carob_route_config_t *config)
{
	size_t share_count = count_shares(config);
	carob_route_share_t *shares;

	table->config.routes = calloc(config->count ? config->count : 1,
				      sizeof(*config->routes));
	table->shares =
		calloc(share_count ? share_count : 1, sizeof(*table->shares));
	if (!table->config.routes || !table->shares)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate route table");
	shares = table->shares;
	for (size_t i = 0; i < config->count; i++) {
		carob_route_t *route = &table->config.routes[i];

		*route = config->routes[i];
		route->shares = shares;
		for (size_t k = 0; k < route->share_count; k++)
			*shares++ = config->routes[i].shares[k];
	}
	return 0;
}

static int build_table(carob_route_table_t *table,
		       const carob_route_config_t *config,
		       const carob_route_table_t *previous)
{
	int error;

	table->bucket_count = BUCKETS_MIN;
	while (table->bucket_count < BUCKETS_PER_ROUTE * config->count)
		table->bucket_count *= 2;
	table->buckets = calloc(table->bucket_count, sizeof(*table->buckets));
	table->config = *config;
	table->config.routes = NULL;
	error = copy_services(&table->config, config);
	if (!error)
		error = copy_routes(table, config);
	if (error)
		return error;
	if (!table->buckets)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate route table");
	for (size_t i = 0; i < config->count; i++)
		if (config->routes[i].priority > table->config.least_priority)
			table->config.least_priority =
				config->routes[i].priority;
	fill_buckets(table);
	return collect_dropped(table, previous);
}

int carob_route_table_apply(carob_route_table_t *table,
			    const carob_route_config_t *config)
{
	carob_route_table_t next = {0};
	int error;

	if (table->buckets && config->version <= table->config.version)
		return carob_error_set(
			CAROB_ESTALE,
			"configuration version %llu is not newer than version "
			"%llu, which is in force",
			(unsigned long long)config->version,
			(unsigned long long)table->config.version);
	error = build_table(&next, config, table);
	if (error) {
		carob_route_table_dispose(&next);
		return error;
	}
	carob_route_table_dispose(table);
	*table = next;
	return 0;
}

carob_route_status_t carob_route_table_find(const carob_route_t **out,
					    const carob_route_table_t *table,
					    carob_endpoint_t endpoint)
{
	size_t bucket;

	if (!table->buckets)
		return CAROB_ROUTE_UNKNOWN;
	bucket = bucket_of(endpoint, table->bucket_count);
	while (table->buckets[bucket]) {
		const carob_route_t *route =
			&table->config.routes[table->buckets[bucket] - 1];

		if (carob_endpoint_eq(route->endpoint, endpoint)) {
			*out = route;
			return CAROB_ROUTE_FOUND;
		}
		bucket = (bucket + 1) & (table->bucket_count - 1);
	}
	return is_dropped(table, endpoint) ? CAROB_ROUTE_DROPPED
					   : CAROB_ROUTE_UNKNOWN;
}

const carob_service_config_t *
carob_route_table_service(const carob_route_table_t *table,
			  carob_name_id_t service)
{
	for (size_t i = 0; i < table->config.service_count; i++)
		if (table->config.services[i].service == service)
			return &table->config.services[i];
	return NULL;
}

carob_name_id_t carob_route_choose_service(const carob_route_t *route,
					   uint64_t flow_hash)
{
	uint64_t total = 0;
	uint64_t point;

	for (size_t i = 0; i < route->share_count; i++)
		total += route->shares[i].weight;
	if (total == 0)
		return CAROB_NAME_NONE;
	point = flow_hash % total;
	for (size_t i = 0; i < route->share_count; i++) {
		if (point < route->shares[i].weight)
			return route->shares[i].service;
		point -= route->shares[i].weight;
	}
	return CAROB_NAME_NONE;
}

void carob_route_table_dispose(carob_route_table_t *table)
{
	free(table->config.routes);
	free(table->config.services);
	free(table->shares);
	free(table->buckets);
	free(table->dropped);
	memset(table, 0, sizeof(*table));
}
