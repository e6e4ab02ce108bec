#include "stable_members.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <uthash.h>

/*
 * Time for which a member must be alive and reachable to be stable. The
 * dissemination of a join to all instances may take that long.
 */
#define STABLE_AFTER_NS (2 * CAROB_NS_PER_S)

/* A member that is alive and reachable. */
typedef struct tracked_member {
	carob_instance_id_t id;
	uint64_t stable_ns; /* time from which the member is stable */
	uint64_t update;    /* version of the last update that found it */
	UT_hash_handle hh;
} tracked_member_t;

struct carob_stable_members {
	const carob_membership_t *membership;
	uint64_t created_ns;
	tracked_member_t *members; /* hash table by id */
	bool valid;		   /* updated at least once */
	uint64_t membership_version;
	uint64_t updated_ns;
	uint64_t next_change_ns; /* time at which the next member is stable */
	uint64_t version;
};

int carob_stable_members_new(carob_stable_members_t **out,
			     const carob_membership_t *membership,
			     uint64_t now_ns)
{
	carob_stable_members_t *set = calloc(1, sizeof(*set));

	if (!set)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the stable members");
	set->membership = membership;
	set->created_ns = now_ns;
	*out = set;
	return 0;
}

void carob_stable_members_free(carob_stable_members_t *set)
{
	tracked_member_t *member;
	tracked_member_t *next;

	if (!set)
		return;
	HASH_ITER (hh, set->members, member, next) {
		HASH_DEL(set->members, member);
		free(member);
	}
	free(set);
}

static bool is_self(const carob_stable_members_t *set, carob_instance_id_t id)
{
	return carob_instance_id_eq(id,
				    carob_membership_self(set->membership)->id);
}

static uint64_t stable_from(const carob_stable_members_t *set,
			    carob_instance_id_t id, uint64_t now_ns)
{
	if (is_self(set, id) || now_ns - set->created_ns < STABLE_AFTER_NS)
		return set->created_ns;
	return now_ns + STABLE_AFTER_NS;
}

static tracked_member_t *track(carob_stable_members_t *set,
			       carob_instance_id_t id, uint64_t now_ns)
{
	tracked_member_t *member;

	HASH_FIND(hh, set->members, &id, sizeof(id), member);
	if (!member) {
		member = calloc(1, sizeof(*member));
		if (!member)
			return NULL;
		member->id = id;
		member->stable_ns = stable_from(set, id, now_ns);
		HASH_ADD(hh, set->members, id, sizeof(member->id), member);
	}
	member->update = set->version;
	return member;
}

static void remove_absent(carob_stable_members_t *set)
{
	tracked_member_t *member;
	tracked_member_t *next;

	HASH_ITER (hh, set->members, member, next) {
		if (member->update == set->version)
			continue;
		HASH_DEL(set->members, member);
		free(member);
	}
}

static void rebuild(carob_stable_members_t *set, uint64_t now_ns)
{
	size_t count;
	const carob_member_t *const *alive =
		carob_membership_alive(set->membership, &count);

	set->version++;
	set->next_change_ns = UINT64_MAX;
	for (size_t i = 0; i < count; i++) {
		const tracked_member_t *member =
			track(set, alive[i]->id, now_ns);

		if (member && member->stable_ns > now_ns &&
		    member->stable_ns < set->next_change_ns)
			set->next_change_ns = member->stable_ns;
	}
	remove_absent(set);
}

uint64_t carob_stable_members_update(carob_stable_members_t *set,
				     uint64_t now_ns)
{
	uint64_t version = carob_membership_version(set->membership);

	if (set->valid && set->membership_version == version &&
	    now_ns < set->next_change_ns)
		return set->version;
	rebuild(set, now_ns);
	set->updated_ns = now_ns;
	set->valid = true;
	set->membership_version = version;
	return set->version;
}

bool carob_stable_members_has(const carob_stable_members_t *set,
			      carob_instance_id_t id)
{
	tracked_member_t *member;

	HASH_FIND(hh, set->members, &id, sizeof(id), member);
	return member && member->stable_ns <= set->updated_ns;
}
