/**
 * @file stable_members.h
 * Tracks which members are stable: alive and reachable for so long, without
 * interruption, that their join has been disseminated to all other instances.
 * Only stable members are assigned new flows, unless no member is stable. An
 * instance that receives a packet of a flow and does not know the owner could
 * only respond with "outcome unknown".
 */
#ifndef CAROBTRAIL_STABLE_MEMBERS_H
#define CAROBTRAIL_STABLE_MEMBERS_H

#include "carobtrail/membership.h"

typedef struct carob_stable_members carob_stable_members_t;

/**
 * Creates the set. This instance is stable from the beginning, and so are the
 * members that are found shortly after: they joined before this instance.
 *
 * @param out receives the set; release it with `carob_stable_members_free`
 * @param membership the membership, which must outlive the set
 * @param now_ns the current time
 * @return 0 or CAROB_ENOMEM
 */
int carob_stable_members_new(carob_stable_members_t **out,
			     const carob_membership_t *membership,
			     uint64_t now_ns);

/** Releases the set; NULL is allowed. */
void carob_stable_members_free(carob_stable_members_t *set);

/**
 * Updates the set from the membership.
 *
 * @return a version that grows whenever the membership changes or a member
 *         becomes stable
 */
uint64_t carob_stable_members_update(carob_stable_members_t *set,
				     uint64_t now_ns);

/** @return whether the member is stable, as of the last update */
bool carob_stable_members_has(const carob_stable_members_t *set,
			      carob_instance_id_t id);

#endif
