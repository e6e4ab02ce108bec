/**
 * @file testbed.h
 * The testbed of carob-flows: zones with the carob-flowd instances under test,
 * emulated hosts (upstreams), callers and routers, the routes that are
 * configured, and the checker of guarantees.
 */
#ifndef CAROB_EMULATOR_FLOWS_TESTBED_H
#define CAROB_EMULATOR_FLOWS_TESTBED_H

#include "carobtrail/rng.h"
#include "checker.h"
#include "net/program.h"
#include "wire.h"

#define TESTBED_ZONES_MAX  8
#define TESTBED_SERVICES   2 /* one for requests, one for downloads */
#define TESTBED_ROUTES_MAX 16
/* After a fault, instances may act on outdated state for this long. */
#define TESTBED_CONTACT_MS 4000
/* A changed route must be in force after this time. */
#define TESTBED_APPLY_MS 3000
/* A draining host must not get new flows after this time. */
#define TESTBED_DRAIN_MS 3000

/* Nothing new may be sent to the hosts of a zone after this time of its
 * evacuation. */
#define TESTBED_EVACUATION_MS 5000

typedef struct testbed testbed_t;
typedef struct router router_t;
typedef struct callers callers_t;
typedef struct operations operations_t;
struct host;

/** One carob-flowd instance under test. */
typedef struct testbed_instance {
	size_t zone;
	carob_addr_t packets;
	carob_addr_t readiness;
} testbed_instance_t;

/** One route that is listed in the configuration or was listed before. */
typedef struct testbed_route {
	carob_endpoint_t endpoint;
	size_t service;
	bool idempotent;
	bool listed;
	uint64_t changed_ns; /* when `listed` was last written to the store */
} testbed_route_t;

/** The testbed of one run. */
struct testbed {
	carob_program_t program;
	carob_rng_t rng;
	checker_t checker;
	size_t zone_count;
	char zones[TESTBED_ZONES_MAX][32];
	size_t instance_count;
	testbed_instance_t instances[CHECKER_INSTANCES_MAX];
	testbed_route_t routes[TESTBED_ROUTES_MAX];
	size_t route_count;
	struct host *hosts[CHECKER_HOSTS_MAX];
	size_t host_count;  /* hosts of the whole run; ended ones are NULL */
	carob_addr_t store; /* command address of carob-store */
	carob_addr_t base;  /* first address for hosts and callers */
	uint32_t loss_per_mille;
	size_t cut_zone;       /* partitioned zone; zone_count: none */
	size_t evacuated_zone; /* zone_count: none */
	uint64_t evacuated_ns; /* when its evacuation was written */
	router_t *router;
	callers_t *callers;
	operations_t *operations;
};

/** @return the monotonic time in nanoseconds */
static inline uint64_t testbed_now_ns(const testbed_t *testbed)
{
	return carob_clock_now_ns(testbed->checker.clock);
}

/**
 * @return the index of the instance that sent a datagram, or
 *         CHECKER_INSTANCES_MAX if no instance has the address `from`
 */
size_t testbed_instance_of(const testbed_t *testbed, const carob_addr_t *from);

/** @return the address `offset` addresses after `testbed->base`, with a port */
carob_addr_t testbed_addr(const testbed_t *testbed, uint32_t offset,
			  uint16_t port);

/** Decides whether a datagram is lost: to or from a partitioned zone always,
 * else at random. */
bool testbed_loses_packet(testbed_t *testbed, size_t from_zone, size_t to_zone);

/** @return the route of an endpoint, listed or not, borrowed, or NULL */
testbed_route_t *testbed_find_route(testbed_t *testbed,
				    carob_endpoint_t endpoint);

#endif
