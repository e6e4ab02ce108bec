/**
 * @file route_table.h
 * Routes of the configuration in force: they map the address and port that a
 * caller connects to to the services that receive its new flows.
 */
#ifndef CAROBTRAIL_ROUTE_TABLE_H
#define CAROBTRAIL_ROUTE_TABLE_H

#include "carobtrail/flow_packet.h"
#include "carobtrail/name_table.h"

/** A service's share of a route's new flows. */
typedef struct carob_route_share {
	carob_name_id_t service;
	uint32_t weight;
} carob_route_share_t;

/** One route of a configuration. */
typedef struct carob_route {
	carob_endpoint_t endpoint;
	bool idempotent;    /* callers may safely retry its requests */
	uint32_t target_ms; /* target for the response time; 0: none */
	/** How long callers wait for a response, tries included; 0: unknown. */
	uint32_t timeout_ms;
	uint32_t priority; /* 0 is the highest priority */
	size_t share_count;
	const carob_route_share_t *shares; /* borrowed; in a table: its own */
} carob_route_t;

/** What the configuration says of a service's cold upstreams. */
typedef struct carob_service_config {
	carob_name_id_t service;
	/** New flows that a cold upstream can take a second; 0: not stated. */
	double cold_per_s;
	/** How long an upstream is cold if its entry does not say it; 0: the
	 * entry has to. */
	uint32_t cold_start_ms;
} carob_service_config_t;

/** One complete version of the configuration. */
typedef struct carob_route_config {
	uint64_t version;
	uint32_t idle_timeout_ms; /* flows idle for longer may be removed */
	uint32_t least_priority;  /* the highest `priority` of the routes */
	size_t count;
	carob_route_t *routes;
	size_t service_count; /* services that the configuration describes */
	carob_service_config_t *services;
} carob_route_config_t;

/** The routes in force; zero-initialise it. */
typedef struct carob_route_table {
	carob_route_config_t config;
	/**
	 * Hash table of indexes into `routes`, plus 1; 0: empty bucket. NULL
	 * before the first configuration.
	 */
	uint32_t *buckets;
	size_t bucket_count;	     /* a power of two */
	carob_route_share_t *shares; /* of all routes, one after the other */
	carob_endpoint_t *dropped;   /* routes that only earlier versions had */
	size_t dropped_count;
} carob_route_table_t;

/** Result of looking up an address and port. */
typedef enum carob_route_status {
	CAROB_ROUTE_FOUND,
	CAROB_ROUTE_DROPPED, /* only an earlier configuration had it */
	CAROB_ROUTE_UNKNOWN,
} carob_route_status_t;

/**
 * Puts a configuration in force.
 *
 * @param table the table
 * @param config the configuration; its routes, with their shares, and its
 * services are copied.
 * `least_priority` is computed from the routes if it is lower than theirs.
 * @return 0; CAROB_ESTALE if the version is not higher than the one in force;
 *         or CAROB_ENOMEM. On failure the table is unchanged.
 */
int carob_route_table_apply(carob_route_table_t *table,
			    const carob_route_config_t *config);

/**
 * Looks up a route.
 *
 * @param out receives the route if it is found, borrowed until the next
 *        configuration is applied; otherwise unchanged
 * @param table the table
 * @param endpoint address and port that a caller connects to
 * @return whether the configuration has, or an earlier one had, the route
 */
carob_route_status_t carob_route_table_find(const carob_route_t **out,
					    const carob_route_table_t *table,
					    carob_endpoint_t endpoint);

/**
 * Picks the service for a flow by the weights of the route's shares.
 *
 * @param route the route
 * @param flow_hash hash of the flow; equal hashes get the same service
 * @return the service, or CAROB_NAME_NONE if all weights are 0
 */
carob_name_id_t carob_route_choose_service(const carob_route_t *route,
					   uint64_t flow_hash);

/**
 * @return what the configuration in force says of a service, borrowed until the
 *         next one is applied, or NULL if it says nothing
 */
const carob_service_config_t *
carob_route_table_service(const carob_route_table_t *table,
			  carob_name_id_t service);

/** Releases the routes and zeroes the table. */
void carob_route_table_dispose(carob_route_table_t *table);

#endif
