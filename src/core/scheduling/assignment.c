#include "assignment.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

/* An upstream and a member that may schedule it. */
typedef struct pairing {
	uint64_t score;
	uint32_t upstream; /* index in `service->upstreams` */
	uint32_t member;   /* index in `members` */
} pairing_t;

typedef struct assignment {
	carob_instance_id_t *owners;
	const carob_manifest_service_t *service;
	const carob_member_t *const *members;
	size_t member_count;
	uint32_t *assigned_counts; /* upstreams of the zone, by member */
	pairing_t *pairings;
	size_t pairing_count;
} assignment_t;

static bool same_zone(const carob_zone_t *a, const carob_zone_t *b)
{
	return strcmp(a->name, b->name) == 0;
}

static uint64_t score(carob_upstream_id_t upstream, carob_instance_id_t member)
{
	uint64_t key = carob_hash_u64(((uint64_t)upstream.id << 16) |
				      upstream.incarnation);

	return carob_hash_u64(key ^ carob_hash_u64(member.id));
}

static int compare_pairings(const void *a, const void *b)
{
	const pairing_t *left = a;
	const pairing_t *right = b;

	if (left->score != right->score)
		return left->score > right->score ? -1 : 1;
	if (left->upstream != right->upstream)
		return left->upstream < right->upstream ? -1 : 1;
	return left->member < right->member ? -1 : left->member > right->member;
}

static bool zone_has_member(const assignment_t *a, const carob_zone_t *zone)
{
	for (size_t i = 0; i < a->member_count; i++)
		if (same_zone(&a->members[i]->zone, zone))
			return true;
	return false;
}

static bool zone_seen_before(const carob_manifest_service_t *service,
			     size_t index)
{
	for (size_t i = 0; i < index; i++)
		if (same_zone(&service->upstreams[i].zone,
			      &service->upstreams[index].zone))
			return true;
	return false;
}

static void add_pairings(assignment_t *a, uint32_t index, bool any_zone)
{
	const carob_manifest_upstream_t *up = &a->service->upstreams[index];

	for (uint32_t i = 0; i < a->member_count; i++) {
		const carob_member_t *member = a->members[i];

		if (!any_zone && !same_zone(&member->zone, &up->zone))
			continue;
		a->pairings[a->pairing_count++] = (pairing_t){
			.score = score(up->id, member->id),
			.upstream = index,
			.member = i,
		};
	}
}

/*
 * Assigns the upstreams of a zone in descending order of score, skipping
 * members that already have their share.
 */
static void assign_by_score(assignment_t *a, size_t upstreams)
{
	size_t members = a->pairing_count / upstreams;
	size_t share = (upstreams + members - 1) / members;

	memset(a->assigned_counts, 0,
	       a->member_count * sizeof(a->assigned_counts[0]));
	qsort(a->pairings, a->pairing_count, sizeof(a->pairings[0]),
	      compare_pairings);
	for (size_t i = 0; i < a->pairing_count; i++) {
		const pairing_t *p = &a->pairings[i];

		if (a->owners[p->upstream].id ||
		    a->assigned_counts[p->member] == share)
			continue;
		a->owners[p->upstream] = a->members[p->member]->id;
		a->assigned_counts[p->member]++;
	}
}

static void assign_zone(assignment_t *a, const carob_zone_t *zone)
{
	bool any_zone = !zone_has_member(a, zone);
	size_t upstreams = 0;

	a->pairing_count = 0;
	for (uint32_t i = 0; i < a->service->upstream_count; i++) {
		if (!same_zone(&a->service->upstreams[i].zone, zone))
			continue;
		add_pairings(a, i, any_zone);
		upstreams++;
	}
	if (upstreams > 0 && a->pairing_count >= upstreams)
		assign_by_score(a, upstreams);
}

int carob_assignment_compute(carob_instance_id_t *owners,
			     const carob_manifest_service_t *service,
			     const carob_member_t *const *members, size_t count)
{
	assignment_t a = {
		.owners = owners,
		.service = service,
		.members = members,
		.member_count = count,
	};
	int error = 0;

	memset(owners, 0, service->upstream_count * sizeof(owners[0]));
	if (count == 0 || service->upstream_count == 0)
		return 0;
	a.assigned_counts = calloc(count, sizeof(a.assigned_counts[0]));
	a.pairings =
		calloc(count * service->upstream_count, sizeof(a.pairings[0]));
	if (!a.assigned_counts || !a.pairings) {
		error = carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate the assignment of upstreams");
		goto cleanup;
	}
	for (size_t i = 0; i < service->upstream_count; i++)
		if (!zone_seen_before(service, i))
			assign_zone(&a, &service->upstreams[i].zone);
cleanup:
	free(a.assigned_counts);
	free(a.pairings);
	return error;
}
