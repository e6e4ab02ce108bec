#include "settled_members.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <uthash.h>

/* Time that the dissemination of a join to all instances may take. */
#define SETTLE_NS (2 * CAROB_NS_PER_S)

/* A member that is alive and reachable. */
typedef struct tracked_member {
	carob_instance_id_t id;
	uint64_t settled_ns; /* time from which it is settled */
	uint64_t update;     /* version of the last update that found it */
	UT_hash_handle hh;
} tracked_member_t;

struct carob_stable_members {
	const carob_membership_t *membership;
	uint64_t created_ns;
	tracked_member_t *members; /* hash table by id */
	bool valid;		   /* updated at least once */
	uint64_t membership_version;
	uint64_t updated_ns;
	uint64_t next_change_ns; /* time at which the next member is settled */
	uint64_t version;
};

int carob_stable_members_new(carob_stable_members_t **out,
			     const carob_membership_t *membership,
			     uint64_t now_ns)
{
	carob_stable_members_t *settled = calloc(1, sizeof(*settled));

	if (!settled)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the stable members");
	settled->membership = membership;
	settled->created_ns = now_ns;
	*out = settled;
	return 0;
}

void carob_stable_members_free(carob_stable_members_t *settled)
{
	tracked_member_t *member;
	tracked_member_t *next;

	if (!settled)
		return;
	HASH_ITER (hh, settled->members, member, next) {
		HASH_DEL(settled->members, member);
		free(member);
	}
	free(settled);
}

static bool is_self(const carob_stable_members_t *settled,
		    carob_instance_id_t id)
{
	return carob_instance_id_eq(
		id, carob_membership_self(settled->membership)->id);
}

static uint64_t settled_from(const carob_stable_members_t *settled,
			     carob_instance_id_t id, uint64_t now_ns)
{
	if (is_self(settled, id) || now_ns - settled->created_ns < SETTLE_NS)
		return settled->created_ns;
	return now_ns + SETTLE_NS;
}

static tracked_member_t *track(carob_stable_members_t *settled,
			       carob_instance_id_t id, uint64_t now_ns)
{
	tracked_member_t *member;

	HASH_FIND(hh, settled->members, &id, sizeof(id), member);
	if (!member) {
		member = calloc(1, sizeof(*member));
		if (!member)
			return NULL;
		member->id = id;
		member->settled_ns = settled_from(settled, id, now_ns);
		HASH_ADD(hh, settled->members, id, sizeof(member->id), member);
	}
	member->update = settled->version;
	return member;
}

static void remove_absent(carob_stable_members_t *settled)
{
	tracked_member_t *member;
	tracked_member_t *next;

	HASH_ITER (hh, settled->members, member, next) {
		if (member->update == settled->version)
			continue;
		HASH_DEL(settled->members, member);
		free(member);
	}
}

static void rebuild(carob_stable_members_t *settled, uint64_t now_ns)
{
	size_t count;
	const carob_member_t *const *alive =
		carob_membership_alive(settled->membership, &count);

	settled->version++;
	settled->next_change_ns = UINT64_MAX;
	for (size_t i = 0; i < count; i++) {
		const tracked_member_t *member =
			track(settled, alive[i]->id, now_ns);

		if (member && member->settled_ns > now_ns &&
		    member->settled_ns < settled->next_change_ns)
			settled->next_change_ns = member->settled_ns;
	}
	remove_absent(settled);
}

uint64_t carob_stable_members_update(carob_stable_members_t *settled,
				     uint64_t now_ns)
{
	uint64_t version = carob_membership_version(settled->membership);

	if (settled->valid && settled->membership_version == version &&
	    now_ns < settled->next_change_ns)
		return settled->version;
	rebuild(settled, now_ns);
	settled->updated_ns = now_ns;
	settled->valid = true;
	settled->membership_version = version;
	return settled->version;
}

bool carob_stable_members_has(const carob_stable_members_t *settled,
			      carob_instance_id_t id)
{
	tracked_member_t *member;

	HASH_FIND(hh, settled->members, &id, sizeof(id), member);
	return member && member->settled_ns <= settled->updated_ns;
}
