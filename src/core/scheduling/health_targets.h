/**
 * @file health_targets.h
 * The upstreams that this instance probes, and what is known of each.
 */
#ifndef CAROB_CORE_HEALTH_TARGETS_H
#define CAROB_CORE_HEALTH_TARGETS_H

#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"

/** One upstream that is probed. */
typedef struct carob_health_target {
	const carob_manifest_upstream_t *upstream; /* of the manifest */
	uint32_t service_id;
	bool reports_load;
	carob_instance_id_t owner; /* the instance that schedules it */
	uint32_t sequence;	   /* of the last probe */
	uint32_t missed;	   /* probes in a row */
	uint32_t refused;	   /* unhealthy answers in a row */
	bool partner_heard;
	uint64_t partner_heard_ns; /* the other prober heard it */
	bool told;
	bool told_healthy;
	uint64_t told_ns;
} carob_health_target_t;

/** All of them, ascending by service and upstream; zero-initialise it. */
typedef struct carob_health_targets {
	carob_health_target_t *items;
	size_t count;
} carob_health_targets_t;

/** Releases the list. */
void carob_health_targets_dispose(carob_health_targets_t *targets);

/**
 * Lists anew what this instance probes; upstreams that stay keep their state.
 *
 * @param targets the list; unchanged on failure
 * @param manifest what is in force; must outlive the list
 * @param membership the members
 * @return 0 or CAROB_ENOMEM
 */
int carob_health_targets_rebuild(carob_health_targets_t *targets,
				 const carob_manifest_t *manifest,
				 const carob_membership_t *membership);

/** @return the upstream's place in the list, or NULL */
carob_health_target_t *
carob_health_targets_find(const carob_health_targets_t *targets,
			  uint32_t service_id, carob_upstream_id_t upstream);

#endif
