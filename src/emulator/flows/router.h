/**
 * @file router.h
 * The platform's routers. They spread flows by hash over the instances that
 * are in rotation.
 */
#ifndef CAROB_EMULATOR_FLOWS_ROUTER_H
#define CAROB_EMULATOR_FLOWS_ROUTER_H

#include "testbed.h"

/**
 * Starts a router, which checks the readiness of all instances.
 *
 * @param out receives the router; release it with `router_free`
 * @param testbed the testbed, which must outlive the router
 * @return 0 or CAROB_ENOMEM
 */
int router_new(router_t **out, testbed_t *testbed);

/** Stops and releases the router. */
void router_free(router_t *router);

/**
 * Chooses the instance for a flow, in the caller's zone if possible.
 *
 * @param router the router
 * @param zone zone of the caller
 * @param flow_hash hash of the flow
 * @return index of an instance, or `testbed->instance_count` if none is in
 *         rotation
 */
size_t router_choose(const router_t *router, size_t zone, uint64_t flow_hash);

/** @return whether any instance is in rotation */
bool router_has_instance(const router_t *router);

#endif
