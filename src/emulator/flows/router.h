/**
 * @file router.h
 * The platform's routers: they hash flows over the instances in rotation.
 */
#ifndef CAROB_EMULATOR_FLOWS_ROUTER_H
#define CAROB_EMULATOR_FLOWS_ROUTER_H

#include "bed.h"

/** Starts to ask all instances for their readiness. @return 0 or a code */
int router_new(router_t **out, bed_t *bed);

/** Stops and releases the router. */
void router_free(router_t *router);

/**
 * @param router the router
 * @param zone of the caller
 * @param flow_hash of the flow
 * @return an instance, or `bed->instance_count` if none is in rotation
 */
size_t router_choose(const router_t *router, size_t zone, uint64_t flow_hash);

/** @return whether some instance is in rotation */
bool router_any(const router_t *router);

#endif
