/**
 * @file assignment.h
 * Assignment of upstreams to the instances that schedule them, by rendezvous
 * hashing (Thaler and Ravishankar 1998) with bounded loads (Mirrokni, Thorup
 * and Zadimoghaddam 2018). The result depends only on the service and the set
 * of members, so that all instances compute the same assignment.
 */
#ifndef CAROBTRAIL_ASSIGNMENT_H
#define CAROBTRAIL_ASSIGNMENT_H

#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"

/**
 * Assigns every upstream of a service to one member of the upstream's
 * availability zone, or to a member of any zone if its zone has none. Of the n
 * upstreams of a zone, each of the m eligible members gets at most ceil(n/m).
 *
 * @param owners receives the assigned instance of each upstream of `service`;
 *        id 0 if there are no members
 * @param service the service
 * @param members the live members
 * @param count number of members
 * @return 0 or CAROB_ENOMEM
 */
int carob_assignment_compute(carob_instance_id_t *owners,
			     const carob_manifest_service_t *service,
			     const carob_member_t *const *members,
			     size_t count);

#endif
