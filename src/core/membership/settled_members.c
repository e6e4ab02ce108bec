#include "settled_members.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <uthash.h>

/* Time that the dissemination of a join to all instances may take. */
#define SETTLE_NS (2 * CAROB_NS_PER_S)

/* A member that is alive and reachable. */
typedef struct sighting {
	carob_instance_id_t id;
	uint64_t settled_ns; /* time from which it is settled */
	uint64_t update;     /* version of the last update that found it */
	UT_hash_handle hh;
} sighting_t;

struct carob_settled_members {
	const carob_membership_t *membership;
	uint64_t created_ns;
	sighting_t *sightings; /* hash table by id */
	bool valid;	       /* updated at least once */
	uint64_t membership_version;
	uint64_t updated_ns;
	uint64_t next_change_ns; /* time at which the next member is settled */
	uint64_t version;
};

int carob_settled_members_new(carob_settled_members_t **out,
			      const carob_membership_t *membership,
			      uint64_t now_ns)
{
	carob_settled_members_t *settled = calloc(1, sizeof(*settled));

	if (!settled)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the settled members");
	settled->membership = membership;
	settled->created_ns = now_ns;
	*out = settled;
	return 0;
}

void carob_settled_members_free(carob_settled_members_t *settled)
{
	sighting_t *sighting;
	sighting_t *next;

	if (!settled)
		return;
	HASH_ITER (hh, settled->sightings, sighting, next) {
		HASH_DEL(settled->sightings, sighting);
		free(sighting);
	}
	free(settled);
}

static bool is_self(const carob_settled_members_t *settled,
		    carob_instance_id_t id)
{
	return carob_instance_id_eq(
		id, carob_membership_self(settled->membership)->id);
}

static uint64_t settling_time(const carob_settled_members_t *settled,
			      carob_instance_id_t id, uint64_t now_ns)
{
	if (is_self(settled, id) || now_ns - settled->created_ns < SETTLE_NS)
		return settled->created_ns;
	return now_ns + SETTLE_NS;
}

static sighting_t *sight(carob_settled_members_t *settled,
			 carob_instance_id_t id, uint64_t now_ns)
{
	sighting_t *sighting;

	HASH_FIND(hh, settled->sightings, &id, sizeof(id), sighting);
	if (!sighting) {
		sighting = calloc(1, sizeof(*sighting));
		if (!sighting)
			return NULL;
		sighting->id = id;
		sighting->settled_ns = settling_time(settled, id, now_ns);
		HASH_ADD(hh, settled->sightings, id, sizeof(sighting->id),
			 sighting);
	}
	sighting->update = settled->version;
	return sighting;
}

static void forget_unseen(carob_settled_members_t *settled)
{
	sighting_t *sighting;
	sighting_t *next;

	HASH_ITER (hh, settled->sightings, sighting, next) {
		if (sighting->update == settled->version)
			continue;
		HASH_DEL(settled->sightings, sighting);
		free(sighting);
	}
}

static void rebuild(carob_settled_members_t *settled, uint64_t now_ns)
{
	size_t count;
	const carob_member_t *const *alive =
		carob_membership_alive(settled->membership, &count);

	settled->version++;
	settled->next_change_ns = UINT64_MAX;
	for (size_t i = 0; i < count; i++) {
		const sighting_t *sighting =
			sight(settled, alive[i]->id, now_ns);

		if (sighting && sighting->settled_ns > now_ns &&
		    sighting->settled_ns < settled->next_change_ns)
			settled->next_change_ns = sighting->settled_ns;
	}
	forget_unseen(settled);
}

uint64_t carob_settled_members_update(carob_settled_members_t *settled,
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

bool carob_settled_members_has(const carob_settled_members_t *settled,
			       carob_instance_id_t id)
{
	sighting_t *sighting;

	HASH_FIND(hh, settled->sightings, &id, sizeof(id), sighting);
	return sighting && sighting->settled_ns <= settled->updated_ns;
}
