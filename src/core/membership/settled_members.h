/**
 * @file settled_members.h
 * Which live members are known for long enough that every other instance knows
 * them too. New flows are given to such members only: an instance that had
 * never heard of a flow's owner could but answer "outcome unknown".
 */
#ifndef CAROBTRAIL_SETTLED_MEMBERS_H
#define CAROBTRAIL_SETTLED_MEMBERS_H

#include "carobtrail/membership.h"

typedef struct carob_settled_members carob_settled_members_t;

/**
 * Creates it. This instance counts as settled, and so do members that are
 * learnt shortly after: they were there before it.
 *
 * @param out receives it; release it with `carob_settled_members_free`
 * @param membership must outlive it
 * @param now_ns the time
 * @return 0 or CAROB_ENOMEM
 */
int carob_settled_members_new(carob_settled_members_t **out,
			      const carob_membership_t *membership,
			      uint64_t now_ns);

/** Releases it. */
void carob_settled_members_free(carob_settled_members_t *settled);

/**
 * Brings it up to date.
 *
 * @return a number that grows with every change of a member's state or of
 *         whether it is settled
 */
uint64_t carob_settled_members_update(carob_settled_members_t *settled,
				      uint64_t now_ns);

/** @return whether the member was settled at the last update */
bool carob_settled_members_has(const carob_settled_members_t *settled,
			       carob_instance_id_t id);

#endif
