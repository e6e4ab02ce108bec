#include "core/scheduling/health_targets.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"
#include "core/scheduling/assignment.h"

#include <stdlib.h>
#include <string.h>

typedef struct builder {
	carob_health_targets_t next;
	const carob_health_targets_t *previous;
	carob_instance_id_t *owners;
	carob_instance_id_t self;
	const carob_member_t *const *members;
	size_t member_count;
} builder_t;

void carob_health_targets_dispose(carob_health_targets_t *targets)
{
	free(targets->items);
	*targets = (carob_health_targets_t){NULL, 0};
}

static int compare_keys(uint32_t service_a, carob_upstream_id_t a,
			uint32_t service_b, carob_upstream_id_t b)
{
	if (service_a != service_b)
		return service_a < service_b ? -1 : 1;
	if (a.id != b.id)
		return a.id < b.id ? -1 : 1;
	if (a.incarnation != b.incarnation)
		return a.incarnation < b.incarnation ? -1 : 1;
	return 0;
}

carob_health_target_t *
carob_health_targets_find(const carob_health_targets_t *targets,
			  uint32_t service_id, carob_upstream_id_t upstream)
{
	size_t low = 0;
	size_t high = targets->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		carob_health_target_t *target = &targets->items[middle];
		int order = compare_keys(service_id, upstream,
					 target->service_id,
					 target->upstream->id);

		if (order == 0)
			return target;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}

static uint64_t score(carob_upstream_id_t upstream, carob_instance_id_t member)
{
	uint64_t key = (uint64_t)upstream.id << 16 | upstream.incarnation;

	return carob_hash_u64(carob_hash_u64(key) + member.id);
}

/*
 * Chooses the second prober of an upstream by rendezvous hashing among the
 * members other than the owner. Members of the upstream's zone are preferred.
 */
static carob_instance_id_t find_partner(const builder_t *b,
					const carob_manifest_upstream_t *up,
					carob_instance_id_t owner)
{
	carob_instance_id_t best = {0, 0};
	uint64_t best_score = 0;
	bool best_same_zone = false;

	for (size_t i = 0; i < b->member_count; i++) {
		const carob_member_t *member = b->members[i];
		uint64_t member_score = score(up->id, member->id);
		bool same_zone = strcmp(member->zone.name, up->zone.name) == 0;

		if (carob_instance_id_eq(member->id, owner) ||
		    (best.id != 0 && same_zone == best_same_zone &&
		     member_score <= best_score) ||
		    (best_same_zone && !same_zone))
			continue;
		best = member->id;
		best_score = member_score;
		best_same_zone = same_zone;
	}
	return best;
}

static void add_target(builder_t *b, const carob_manifest_service_t *service,
		       const carob_manifest_upstream_t *upstream,
		       carob_instance_id_t owner)
{
	carob_health_target_t *target = &b->next.items[b->next.count++];
	const carob_health_target_t *known = carob_health_targets_find(
		b->previous, service->id, upstream->id);

	*target = known ? *known : (carob_health_target_t){.unanswered = 0};
	target->upstream = upstream;
	target->service_id = service->id;
	target->reports_load = service->reports_load;
	if (!carob_instance_id_eq(target->owner, owner))
		target->report_sent = false;
	target->owner = owner;
}

static int add_service(builder_t *b, const carob_manifest_service_t *service)
{
	int error = carob_assignment_compute(b->owners, service, b->members,
					     b->member_count);

	for (size_t i = 0; i < service->upstream_count && !error; i++) {
		const carob_manifest_upstream_t *up = &service->upstreams[i];
		carob_instance_id_t partner = find_partner(b, up, b->owners[i]);

		if (carob_instance_id_eq(b->owners[i], b->self) ||
		    carob_instance_id_eq(partner, b->self))
			add_target(b, service, up, b->owners[i]);
	}
	return error;
}

static int add_services(builder_t *b, const carob_manifest_service_t *services,
			size_t count)
{
	int error = 0;

	for (size_t i = 0; i < count && !error; i++)
		error = add_service(b, &services[i]);
	return error;
}

static size_t count_upstreams(const carob_manifest_service_t *services,
			      size_t count)
{
	size_t sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += services[i].upstream_count;
	return sum;
}

int carob_health_targets_rebuild(carob_health_targets_t *targets,
				 const carob_manifest_t *manifest,
				 const carob_membership_t *membership)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(manifest, &count);
	size_t upstreams = count_upstreams(services, count);
	builder_t b = {.previous = targets,
		       .self = carob_membership_self(membership)->id};
	int error = CAROB_ENOMEM;

	b.members = carob_membership_alive(membership, &b.member_count);
	b.owners = calloc(upstreams + 1, sizeof(b.owners[0]));
	b.next.items = calloc(upstreams + 1, sizeof(b.next.items[0]));
	if (b.owners && b.next.items)
		error = add_services(&b, services, count);
	free(b.owners);
	if (error) {
		carob_health_targets_dispose(&b.next);
		return carob_error_set(
			error,
			"cannot allocate probe targets for %zu upstreams",
			upstreams);
	}
	carob_health_targets_dispose(targets);
	*targets = b.next;
	return 0;
}
