/**
 * @file assignment.h
 * Which instance schedules which upstream: rendezvous hashing (Thaler and
 * Ravishankar 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam
 * 2018). A pure function of the service and the members.
 */
#ifndef CAROBTRAIL_ASSIGNMENT_H
#define CAROBTRAIL_ASSIGNMENT_H

#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"

/**
 * Assigns every upstream of a service to one member of its availability zone,
 * or to any member where the zone has none. Of n upstreams of a zone, none of
 * its m members gets more than ceil(n/m).
 *
 * @param owners receives an instance for each upstream of `service`; id 0
 *        where there are no members
 * @param service the service
 * @param members the live members
 * @param count their number
 * @return 0 or CAROB_ENOMEM
 */
int carob_assignment_compute(carob_instance_id_t *owners,
			     const carob_manifest_service_t *service,
			     const carob_member_t *const *members,
			     size_t count);

#endif
