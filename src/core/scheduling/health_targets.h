/**
 * @file health_targets.h
 * The upstreams that this instance probes, with the state of each.
 */
#ifndef CAROB_CORE_HEALTH_TARGETS_H
#define CAROB_CORE_HEALTH_TARGETS_H

#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"

/** One upstream that is probed. */
typedef struct carob_health_target {
	const carob_manifest_upstream_t *upstream; /* owned by the manifest */
	uint32_t service_id;
	bool reports_load;
	carob_instance_id_t owner;    /* instance that schedules the upstream */
	uint32_t sequence;	      /* sequence number of the last probe */
	uint32_t unanswered;	      /* unanswered probes in a row */
	uint32_t unhealthy_responses; /* unhealthy responses in a row */
	/* Last report from the second prober, if this instance is the owner. */
	bool partner_healthy;
	uint64_t partner_report_ns;
	/* Last report to the owner, if this instance is the second prober. */
	bool report_sent;
	bool sent_healthy;
	uint64_t sent_ns;
} carob_health_target_t;

/**
 * List of targets in ascending order of service and upstream. Zero-initialise
 * it.
 */
typedef struct carob_health_targets {
	carob_health_target_t *items;
	size_t count;
} carob_health_targets_t;

/** Releases the items; the list is empty afterwards. */
void carob_health_targets_dispose(carob_health_targets_t *targets);

/**
 * Rebuilds the list for a manifest and the live members. Upstreams that were
 * in the list before keep their state.
 *
 * @param targets the list; unchanged on failure
 * @param manifest the manifest in force; must outlive the list
 * @param membership the membership
 * @return 0 or CAROB_ENOMEM
 */
int carob_health_targets_rebuild(carob_health_targets_t *targets,
				 const carob_manifest_t *manifest,
				 const carob_membership_t *membership);

/** @return the target, owned by the list, or NULL if it is not in the list */
carob_health_target_t *
carob_health_targets_find(const carob_health_targets_t *targets,
			  uint32_t service_id, carob_upstream_id_t upstream);

#endif
