#include "scheduler_state.h"

#include "assignment.h"

#include "carobtrail/errors.h"

#include <stdlib.h>

/*
 * Added to the load of an instance whose last summary is out of date, and twice
 * to that of an instance without usable slots. A load is the ratio of slots in
 * use to slots.
 */
#define STALE_LOAD_PENALTY 1.0

static void add_share(const carob_scheduler_t *s,
		      carob_scheduled_service_t *service, size_t index)
{
	const carob_manifest_upstream_t *up = &service->entry->upstreams[index];
	carob_instance_id_t owner = service->current.owners[index];
	carob_schedule_share_t *share = service->current.shares;
	carob_schedule_share_t *end = share + service->share_count;

	if (owner.id == 0 || up->state != CAROB_UPSTREAM_ACTIVE)
		return;
	while (share < end && !carob_instance_id_eq(share->instance, owner))
		share++;
	if (share == end) {
		*share = (carob_schedule_share_t){.instance = owner,
						  .hint = up->id};
		share->stable =
			carob_stable_members_has(s->stable_members, owner);
		service->share_count++;
	}
	share->slots += service->entry->slots;
}

static int compute_assignment(carob_scheduler_t *s,
			      carob_scheduled_service_t *service)
{
	const carob_member_t *self = carob_membership_self(s->membership);
	const carob_member_t *const *members;
	size_t count;
	int error;

	members = carob_membership_alive(s->membership, &count);
	error = carob_assignment_compute(service->current.owners,
					 service->entry, members, count);
	if (error)
		return error;
	service->share_count = 0;
	for (size_t i = 0; i < service->entry->upstream_count; i++) {
		if (s->mutation == CAROB_SCHEDULER_MUTATION_EVERYBODY_SCHEDULES)
			service->current.owners[i] = self->id;
		service->current.upstreams[i]->scheduled_here =
			carob_instance_id_eq(service->current.owners[i],
					     self->id);
		add_share(s, service, i);
	}
	return 0;
}

void carob_scheduler_refresh(carob_scheduler_t *s,
			     carob_scheduled_service_t *service)
{
	uint64_t version = carob_stable_members_update(
		s->stable_members, carob_kernel_now_ns(s->kernel));

	if (!service->entry)
		return;
	if (service->assigned && service->assigned_version == version)
		return;
	if (compute_assignment(s, service) != 0)
		return;
	carob_load_table_prune(&service->loads, s->membership);
	service->assigned = true;
	service->assigned_version = version;
}

static bool accepts_new_work(const carob_scheduler_t *s,
			     const carob_upstream_slots_t *up)
{
	if (!up->entry || !up->scheduled_here)
		return false;
	if (s->mutation == CAROB_SCHEDULER_MUTATION_PLACE_ON_DRAINING)
		return true;
	return up->entry->state == CAROB_UPSTREAM_ACTIVE;
}

bool carob_scheduler_has_room(const carob_scheduler_t *s,
			      const carob_upstream_slots_t *up,
			      carob_work_kind_t kind)
{
	if (s->mutation == CAROB_SCHEDULER_MUTATION_IGNORE_SLOTS)
		return true;
	return carob_upstream_slots_has_room(up, kind,
					     carob_kernel_now_ns(s->kernel));
}

/*
 * Whether the probe results of a service are ignored. If half of its upstreams
 * or more appear unhealthy, a fault of the probes is assumed.
 */
static bool distrusts_probes(const carob_scheduled_service_t *service)
{
	size_t unhealthy = 0;

	for (size_t i = 0; i < service->entry->upstream_count; i++)
		if (service->current.upstreams[i]->health.probed_unhealthy)
			unhealthy++;
	return unhealthy * 2 >= service->entry->upstream_count;
}

/*
 * Sort key of upstreams for placement. The fields are compared in order, and
 * the upstream with the lowest key is used.
 */
typedef struct placement_key {
	bool avoided; /* unhealthy according to probes, or in backoff */
	double load;
	double tie; /* breaks ties */
} placement_key_t;

static placement_key_t placement_key(const carob_upstream_slots_t *up,
				     carob_work_kind_t kind, bool trust_probes,
				     uint64_t now_ns)
{
	double used = carob_upstream_slots_used(up);
	double feeds = up->feeds + up->peer_load.feeds;
	double limit = carob_upstream_slots_capacity(up, now_ns);
	placement_key_t key;

	key.avoided = (trust_probes && up->health.probed_unhealthy) ||
		      carob_limiter_backoff_ns(&up->limiter, now_ns) > 0;
	used += up->pinned.length;
	used += carob_upstream_slots_reported_extra(up, now_ns);
	key.load = used / limit;
	key.tie = carob_upstream_slots_mean_used(up, now_ns);
	if (kind == CAROB_WORK_FEED) {
		key.tie = key.load;
		key.load = feeds / up->connections;
	}
	return key;
}

static bool key_less(const placement_key_t *a, const placement_key_t *b)
{
	if (a->avoided != b->avoided)
		return b->avoided;
	if (a->load != b->load)
		return a->load < b->load;
	return a->tie < b->tie;
}

/* Least loaded of the `n` upstreams from index `first` that can take work. */
static carob_upstream_slots_t *
least_loaded(const carob_scheduler_t *s,
	     const carob_scheduled_service_t *service, carob_work_kind_t kind,
	     size_t first, size_t n)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);
	size_t count = service->entry->upstream_count;
	carob_upstream_slots_t *best = NULL;
	placement_key_t best_key = {0};
	bool trust = !distrusts_probes(service);

	for (size_t i = first; i < first + n; i++) {
		carob_upstream_slots_t *up =
			service->current.upstreams[i % count];
		placement_key_t key;

		if (!accepts_new_work(s, up) ||
		    !carob_scheduler_has_room(s, up, kind))
			continue;
		key = placement_key(up, kind, trust, now);
		if (!best || key_less(&key, &best_key)) {
			best = up;
			best_key = key;
		}
	}
	return best;
}

/* Placement of the mutation: the less loaded of two random upstreams. */
static carob_upstream_slots_t *
place_by_two_choices(carob_scheduler_t *s,
		     const carob_scheduled_service_t *service,
		     carob_work_kind_t kind)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);
	uint32_t count = (uint32_t)service->entry->upstream_count;
	bool trust = !distrusts_probes(service);
	carob_upstream_slots_t *up[2];
	placement_key_t keys[2];

	for (size_t i = 0; i < 2; i++) {
		up[i] = least_loaded(s, service, kind,
				     carob_rng_below(&s->rng, count), 1);
		if (!up[i])
			return NULL;
		keys[i] = placement_key(up[i], kind, trust, now);
	}
	return key_less(&keys[1], &keys[0]) ? up[1] : up[0];
}

carob_upstream_slots_t *
carob_scheduler_place(carob_scheduler_t *s, carob_scheduled_service_t *service,
		      carob_work_kind_t kind)
{
	size_t count = service->entry ? service->entry->upstream_count : 0;
	carob_upstream_slots_t *up = NULL;

	if (count == 0)
		return NULL;
	if (s->mutation == CAROB_SCHEDULER_MUTATION_EVERYBODY_SCHEDULES)
		up = place_by_two_choices(s, service, kind);
	if (up)
		return up;
	return least_loaded(s, service, kind,
			    carob_rng_below(&s->rng, (uint32_t)count), count);
}

uint32_t carob_scheduler_slots(const carob_scheduler_t *s,
			       const carob_scheduled_service_t *service)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);
	uint32_t slots = 0;

	for (size_t i = 0; i < service->entry->upstream_count; i++)
		if (accepts_new_work(s, service->current.upstreams[i]))
			slots += carob_upstream_slots_limit(
				service->current.upstreams[i], now);
	return slots;
}

bool carob_scheduler_available(const carob_scheduler_t *s,
			       const carob_scheduled_service_t *service)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);

	for (size_t i = 0; service->entry && i < service->entry->upstream_count;
	     i++) {
		const carob_upstream_slots_t *up =
			service->current.upstreams[i];

		if (accepts_new_work(s, up) &&
		    !carob_upstream_health_ejected(&up->health, now))
			return true;
	}
	return false;
}

static uint32_t own_requests(const carob_scheduler_t *s,
			     const carob_scheduled_service_t *service)
{
	uint32_t used = service->queue.length;

	for (size_t i = 0; i < service->entry->upstream_count; i++) {
		const carob_upstream_slots_t *up =
			service->current.upstreams[i];

		if (accepts_new_work(s, up))
			used += carob_upstream_slots_used(up) +
				up->pinned.length;
	}
	return used;
}

static bool is_self(const carob_scheduler_t *s, carob_instance_id_t id)
{
	return carob_instance_id_eq(id,
				    carob_membership_self(s->membership)->id);
}

static carob_load_row_t *share_row(const carob_scheduler_t *s,
				   carob_scheduled_service_t *service,
				   const carob_schedule_share_t *share)
{
	if (is_self(s, share->instance))
		return &service->own_row;
	return carob_load_table_get(&service->loads, share->instance);
}

/*
 * Estimated load of an instance: the ratio of requests to slots, from its last
 * summary and the flows assigned to it recently.
 */
static double share_load(const carob_scheduler_t *s,
			 carob_scheduled_service_t *service,
			 const carob_schedule_share_t *share)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);
	const carob_load_row_t *row = share_row(s, service, share);
	double slots = share->slots;
	double used = 0.0;
	double penalty = 0.0;

	if (!row)
		return STALE_LOAD_PENALTY;
	if (row == &service->own_row) {
		used = own_requests(s, service);
		slots = carob_scheduler_slots(s, service);
	} else if (carob_load_row_is_fresh(row, now)) {
		used = row->summary.in_flight + row->summary.queued;
		slots = row->summary.slots;
	} else if (row->has_summary) {
		penalty = STALE_LOAD_PENALTY;
	}
	if (slots == 0)
		return 2.0 * STALE_LOAD_PENALTY + used;
	return penalty + (used + carob_load_row_recent_flows(row, now)) / slots;
}

static uint32_t stable_slots(const carob_scheduled_service_t *service)
{
	uint32_t total = 0;

	for (size_t i = 0; i < service->share_count; i++)
		if (service->current.shares[i].stable)
			total += service->current.shares[i].slots;
	return total;
}

/*
 * Draws an instance at random, weighted by slots, among the stable instances,
 * or among all if none is stable.
 */
static const carob_schedule_share_t *
draw_share(carob_scheduler_t *s, const carob_scheduled_service_t *service)
{
	uint32_t total = stable_slots(service);
	bool any = total == 0;
	uint32_t draw;

	for (size_t i = 0; any && i < service->share_count; i++)
		total += service->current.shares[i].slots;
	draw = carob_rng_below(&s->rng, total);
	for (size_t i = 0; i < service->share_count; i++) {
		const carob_schedule_share_t *share =
			&service->current.shares[i];

		if (!any && !share->stable)
			continue;
		if (draw < share->slots)
			return share;
		draw -= share->slots;
	}
	return &service->current.shares[0];
}

int carob_scheduler_choose_owner(carob_instance_id_t *out,
				 carob_upstream_id_t *upstream,
				 carob_scheduler_t *sched, uint32_t service_id)
{
	carob_scheduled_service_t *service;
	const carob_schedule_share_t *chosen;
	const carob_schedule_share_t *other;
	carob_load_row_t *row;

	service = carob_scheduler_service(sched, service_id);
	if (service)
		carob_scheduler_refresh(sched, service);
	if (!service || !service->entry || service->share_count == 0)
		return carob_error_set(CAROB_ENOTFOUND,
				       "no instance schedules service %u",
				       service_id);
	chosen = draw_share(sched, service);
	other = draw_share(sched, service);
	if (share_load(sched, service, other) <
	    share_load(sched, service, chosen))
		chosen = other;
	row = share_row(sched, service, chosen);
	if (row)
		carob_load_row_add_flow(row,
					carob_kernel_now_ns(sched->kernel));
	*out = chosen->instance;
	*upstream = chosen->hint;
	return 0;
}

static double free_slots(const carob_load_row_t *row, uint64_t now_ns)
{
	if (!carob_load_row_is_fresh(row, now_ns) || row->summary.queued > 0)
		return 0.0;
	return row->summary.slots - row->summary.in_flight -
	       carob_load_row_recent_flows(row, now_ns);
}

bool carob_scheduler_find_peer(carob_instance_id_t *out, carob_scheduler_t *s,
			       carob_scheduled_service_t *service)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);
	carob_load_row_t *best = NULL;
	double best_free = 0.0;

	for (size_t i = 0; i < service->share_count; i++) {
		carob_load_row_t *row = carob_load_table_find(
			&service->loads, service->current.shares[i].instance);
		double free = row ? free_slots(row, now) : 0.0;

		if (free >= 1.0 && free > best_free) {
			best = row;
			best_free = free;
		}
	}
	if (!best)
		return false;
	carob_load_row_add_flow(best, now);
	*out = best->instance;
	return true;
}
