/**
 * @file route_table.h
 * Routes of the newest configuration: which service takes new flows to an
 * address and port.
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

/** Most services that one route may be split over. */
#define CAROB_ROUTE_SHARES_MAX 8

/** One route of a configuration. */
typedef struct carob_route {
	carob_endpoint_t endpoint;
	bool idempotent;    /* callers may repeat its requests */
	uint32_t target_ms; /* answers are wanted within this; 0: not said */
	uint32_t priority;  /* 0 is the most urgent */
	size_t share_count;
	carob_route_share_t shares[CAROB_ROUTE_SHARES_MAX];
} carob_route_t;

/** One configuration, whole. */
typedef struct carob_route_config {
	uint64_t version;
	uint32_t idle_timeout_ms; /* flows idle for longer may be forgotten */
	uint32_t least_priority;  /* the highest number that a route has */
	size_t count;
	carob_route_t *routes;
} carob_route_config_t;

/** The routes in force; zero-initialise it. */
typedef struct carob_route_table {
	carob_route_config_t config;
	uint32_t *buckets; /* index into `routes` plus 1; 0: empty */
	size_t bucket_count;
	carob_endpoint_t *dropped; /* routes that an earlier version had */
	size_t dropped_count;
} carob_route_table_t;

/** What a route table says of an address and port. */
typedef enum carob_route_status {
	CAROB_ROUTE_FOUND,
	CAROB_ROUTE_DROPPED, /* an earlier configuration had it */
	CAROB_ROUTE_UNKNOWN,
} carob_route_status_t;

/**
 * Puts a configuration in force.
 *
 * @param table the table
 * @param config the configuration; its routes are copied
 * @return 0; CAROB_ESTALE, with the table unchanged, if the version is not
 *         higher than the one in force; or CAROB_ENOMEM, unchanged
 */
int carob_route_table_apply(carob_route_table_t *table,
			    const carob_route_config_t *config);

/**
 * Looks up a route.
 *
 * @param out receives the route, borrowed until the next configuration
 * @param table the table
 * @param endpoint address and port that a caller connects to
 */
carob_route_status_t carob_route_table_find(const carob_route_t **out,
					    const carob_route_table_t *table,
					    carob_endpoint_t endpoint);

/**
 * Picks a service by the routes' weights.
 *
 * @param route the route
 * @param flow_hash hash of the flow; the same flow gets the same service
 * @return the service, or CAROB_NAME_NONE if all weights are 0
 */
carob_name_id_t carob_route_service(const carob_route_t *route,
				    uint64_t flow_hash);

/** Releases what the table holds. */
void carob_route_table_dispose(carob_route_table_t *table);

#endif
