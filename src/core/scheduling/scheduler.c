#include "scheduler_state.h"

#include "carobtrail/errors.h"

#include <stdlib.h>

int carob_scheduler_new(carob_scheduler_t **out,
			const carob_scheduler_options_t *options)
{
	carob_scheduler_t *s;
	int error;

	if (options->version != CAROB_SCHEDULER_OPTIONS_VERSION ||
	    !options->kernel || !options->membership)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of the scheduler");
	s = calloc(1, sizeof(*s));
	if (!s)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the scheduler");
	s->kernel = options->kernel;
	s->membership = options->membership;
	s->mutation = options->mutation;
	s->tick.fire = carob_scheduler_on_tick;
	carob_rng_init(&s->rng, options->seed);
	error = carob_stable_members_new(&s->stable_members, s->membership,
					 carob_kernel_now_ns(s->kernel));
	if (error) {
		free(s);
		return error;
	}
	*out = s;
	return 0;
}

static void dispose_arrays(carob_schedule_arrays_t *arrays)
{
	free(arrays->upstreams);
	free(arrays->owners);
	free(arrays->shares);
	*arrays = (carob_schedule_arrays_t){0};
}

static int alloc_arrays(carob_schedule_arrays_t *arrays, size_t count)
{
	dispose_arrays(arrays);
	arrays->upstreams = calloc(count + 1, sizeof(arrays->upstreams[0]));
	arrays->owners = calloc(count + 1, sizeof(arrays->owners[0]));
	arrays->shares = calloc(count + 1, sizeof(arrays->shares[0]));
	if (!arrays->upstreams || !arrays->owners || !arrays->shares)
		return carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate scheduler arrays for %zu upstreams",
			count);
	return 0;
}

void carob_scheduler_free(carob_scheduler_t *sched)
{
	carob_scheduled_service_t *service;
	carob_scheduled_service_t *next_service;
	carob_upstream_slots_t *up;
	carob_upstream_slots_t *next_up;

	if (!sched)
		return;
	carob_timer_cancel(sched->kernel, &sched->tick);
	HASH_ITER (hh, sched->upstreams, up, next_up) {
		HASH_DEL(sched->upstreams, up);
		free(up);
	}
	HASH_ITER (hh, sched->services, service, next_service) {
		HASH_DEL(sched->services, service);
		dispose_arrays(&service->current);
		dispose_arrays(&service->next);
		carob_load_table_dispose(&service->loads);
		free(service);
	}
	carob_stable_members_free(sched->stable_members);
	carob_manifest_free(sched->manifest);
	free(sched);
}

carob_scheduled_service_t *carob_scheduler_service(const carob_scheduler_t *s,
						   uint32_t id)
{
	carob_scheduled_service_t *service;

	HASH_FIND(hh, s->services, &id, sizeof(id), service);
	return service;
}

/* Packs an upstream id, because the hash must not include its padding. */
static uint64_t upstream_key(carob_upstream_id_t id)
{
	return ((uint64_t)id.id << 16) | id.incarnation;
}

carob_upstream_slots_t *carob_scheduler_upstream(const carob_scheduler_t *s,
						 carob_upstream_id_t id)
{
	uint64_t key = upstream_key(id);
	carob_upstream_slots_t *up;

	HASH_FIND(hh, s->upstreams, &key, sizeof(key), up);
	return up;
}

static carob_scheduled_service_t *get_service(carob_scheduler_t *s, uint32_t id)
{
	carob_scheduled_service_t *service = carob_scheduler_service(s, id);

	if (service)
		return service;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	service->id = id;
	HASH_ADD(hh, s->services, id, sizeof(service->id), service);
	return service;
}

static carob_upstream_slots_t *
get_upstream(carob_scheduler_t *s, carob_upstream_id_t id, uint32_t service_id)
{
	carob_upstream_slots_t *up = carob_scheduler_upstream(s, id);

	if (up)
		return up;
	up = calloc(1, sizeof(*up));
	if (!up)
		return NULL;
	up->id = id;
	up->key = upstream_key(id);
	up->service_id = service_id;
	up->mean_used_ns = carob_kernel_now_ns(s->kernel);
	HASH_ADD(hh, s->upstreams, key, sizeof(up->key), up);
	return up;
}

/*
 * Allocates the state for a service of a new manifest without changing the
 * state in force, so that a failure leaves the previous manifest usable.
 */
static int prepare_service(carob_scheduler_t *s,
			   const carob_manifest_service_t *entry)
{
	carob_scheduled_service_t *service = get_service(s, entry->id);
	int error;

	if (!service)
		return carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate scheduler state of a service");
	error = alloc_arrays(&service->next, entry->upstream_count);
	if (error)
		return error;
	for (size_t i = 0; i < entry->upstream_count; i++) {
		service->next.upstreams[i] =
			get_upstream(s, entry->upstreams[i].id, entry->id);
		if (!service->next.upstreams[i])
			return carob_error_set(CAROB_ENOMEM,
					       "cannot allocate scheduler "
					       "state of an upstream");
	}
	return 0;
}

static void apply_upstream(carob_scheduler_t *s, carob_upstream_slots_t *up,
			   const carob_manifest_service_t *service,
			   const carob_manifest_upstream_t *entry)
{
	bool known = up->slots > 0;
	bool was_draining = up->was_draining;

	if (known)
		carob_limiter_set_slots(&up->limiter, service->slots);
	else
		carob_limiter_init(&up->limiter, service->slots);
	/*
	 * No slow start with the first manifest, as the upstreams may have been
	 * in use before this instance started.
	 */
	if (s->manifest && entry->state == CAROB_UPSTREAM_ACTIVE &&
	    (!known || was_draining))
		carob_upstream_slots_begin_slow_start(
			up, carob_kernel_now_ns(s->kernel));
	up->was_draining = entry->state != CAROB_UPSTREAM_ACTIVE;
	up->service_id = service->id;
	up->slots = service->slots;
	up->connections = service->connections;
	up->entry = entry;
}

static void apply_service(carob_scheduler_t *s,
			  const carob_manifest_service_t *entry)
{
	carob_scheduled_service_t *service =
		carob_scheduler_service(s, entry->id);

	dispose_arrays(&service->current);
	service->current = service->next;
	service->next = (carob_schedule_arrays_t){0};
	service->entry = entry;
	service->assigned = false;
	service->share_count = 0;
	for (size_t i = 0; i < entry->upstream_count; i++)
		apply_upstream(s, service->current.upstreams[i], entry,
			       &entry->upstreams[i]);
}

static void detach_manifest(carob_scheduler_t *s)
{
	carob_scheduled_service_t *service;
	carob_scheduled_service_t *next_service;
	carob_upstream_slots_t *up;
	carob_upstream_slots_t *next_up;

	HASH_ITER (hh, s->services, service, next_service)
		service->entry = NULL;
	HASH_ITER (hh, s->upstreams, up, next_up) {
		up->entry = NULL;
		up->scheduled_here = false;
	}
}

static bool is_unused(const carob_upstream_slots_t *up)
{
	return !up->entry && up->in_flight == 0 && up->feeds == 0 &&
	       !up->pinned.head;
}

void carob_scheduler_drop_unused(carob_scheduler_t *s)
{
	carob_upstream_slots_t *up;
	carob_upstream_slots_t *next;

	HASH_ITER (hh, s->upstreams, up, next) {
		if (!is_unused(up))
			continue;
		HASH_DEL(s->upstreams, up);
		free(up);
	}
}

static void run_tick_now(carob_scheduler_t *s)
{
	carob_timer_cancel(s->kernel, &s->tick);
	carob_scheduler_on_tick(&s->tick);
}

int carob_scheduler_set_manifest(carob_scheduler_t *sched,
				 carob_manifest_t *manifest)
{
	carob_manifest_t *previous = sched->manifest;
	const carob_manifest_service_t *services;
	size_t count;

	services = carob_manifest_services(manifest, &count);
	for (size_t i = 0; i < count; i++) {
		int error = prepare_service(sched, &services[i]);

		if (error)
			return error;
	}
	detach_manifest(sched);
	for (size_t i = 0; i < count; i++)
		apply_service(sched, &services[i]);
	sched->manifest = carob_manifest_ref(manifest);
	carob_manifest_free(previous);
	for (size_t i = 0; i < count; i++)
		carob_scheduler_refresh(
			sched, carob_scheduler_service(sched, services[i].id));
	run_tick_now(sched);
	return 0;
}

static carob_scheduled_service_t *find_service(const carob_scheduler_t *s,
					       uint32_t id)
{
	carob_scheduled_service_t *service;
	carob_scheduled_service_t *next;

	if (s->mutation == CAROB_SCHEDULER_MUTATION_ANY_SERVICE)
		HASH_ITER (hh, s->services, service, next)
			if (service->entry && service->id != id)
				return service;
	return carob_scheduler_service(s, id);
}

void carob_scheduler_submit(carob_scheduler_t *sched, carob_work_t *work)
{
	carob_scheduled_service_t *service =
		find_service(sched, work->service_id);

	work->state = CAROB_WORK_IDLE;
	work->submitted_ns = carob_kernel_now_ns(sched->kernel);
	if (!service || !service->entry) {
		work->ops->refuse(work, CAROB_REFUSAL_NO_UPSTREAM,
				  CAROB_UNKNOWN_SERVICE_RETRY_MS);
		return;
	}
	carob_scheduler_refresh(sched, service);
	carob_scheduler_admit(sched, service, work);
}

void carob_scheduler_withdraw(carob_scheduler_t *sched, carob_work_t *work)
{
	carob_admission_queue_t *queue;

	if (work->state != CAROB_WORK_QUEUED)
		return;
	if (work->pinned.id)
		queue = &carob_scheduler_upstream(sched, work->pinned)->pinned;
	else
		queue = &find_service(sched, work->service_id)->queue;
	carob_admission_queue_remove(queue, work);
	work->state = CAROB_WORK_IDLE;
}

static void record_outcome(carob_scheduler_t *s, carob_upstream_slots_t *up,
			   carob_work_outcome_t outcome,
			   uint32_t retry_after_ms)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);

	switch (outcome) {
	case CAROB_OUTCOME_DONE:
		carob_limiter_on_success(&up->limiter);
		if (carob_upstream_health_on_success(&up->health, now))
			carob_upstream_slots_begin_slow_start(up, now);
		break;
	case CAROB_OUTCOME_CANCELLED:
		if (carob_upstream_health_on_success(&up->health, now))
			carob_upstream_slots_begin_slow_start(up, now);
		break;
	case CAROB_OUTCOME_SHED:
		carob_limiter_on_shed(&up->limiter, now,
				      carob_upstream_slots_used(up),
				      retry_after_ms, &s->rng);
		break;
	case CAROB_OUTCOME_TIMEOUT:
		carob_limiter_on_timeout(&up->limiter, now);
		carob_upstream_health_on_failure(&up->health, now, &s->rng);
		break;
	case CAROB_OUTCOME_ERROR:
		carob_upstream_health_on_failure(&up->health, now, &s->rng);
		break;
	}
}

void carob_scheduler_finish(carob_scheduler_t *sched, carob_work_t *work,
			    carob_work_outcome_t outcome,
			    uint32_t retry_after_ms)
{
	uint64_t now = carob_kernel_now_ns(sched->kernel);
	carob_upstream_slots_t *up =
		carob_scheduler_upstream(sched, work->upstream);
	carob_scheduled_service_t *service;

	if (work->state != CAROB_WORK_RUNNING || !up)
		return;
	work->state = CAROB_WORK_IDLE;
	carob_upstream_slots_release(up, work->kind, now);
	record_outcome(sched, up, outcome, retry_after_ms);
	service = carob_scheduler_service(sched, up->service_id);
	if (work->kind == CAROB_WORK_REQUEST && outcome != CAROB_OUTCOME_SHED)
		carob_wait_estimator_on_release(&service->estimator,
						now - work->started_ns);
	carob_scheduler_dispatch(sched, service);
}

static void update_peer_load(carob_scheduler_t *s,
			     carob_scheduled_service_t *service)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);

	for (size_t i = 0; i < service->entry->upstream_count; i++) {
		carob_upstream_slots_t *up = service->current.upstreams[i];

		up->peer_load = carob_load_table_peer_load(&service->loads,
							   up->id, now);
	}
}

void carob_scheduler_on_summary(carob_scheduler_t *sched,
				const carob_load_summary_t *summary)
{
	carob_scheduled_service_t *service =
		carob_scheduler_service(sched, summary->service_id);
	carob_load_row_t *row;

	if (!service || !service->entry ||
	    summary->upstream_count > CAROB_LOAD_SUMMARY_UPSTREAMS_MAX ||
	    !carob_membership_find(sched->membership, summary->instance))
		return;
	row = carob_load_table_get(&service->loads, summary->instance);
	if (!row)
		return;
	row->summary = *summary;
	row->has_summary = true;
	row->summary_ns = carob_kernel_now_ns(sched->kernel);
	update_peer_load(sched, service);
	carob_scheduler_dispatch(sched, service);
}

void carob_scheduler_on_report(carob_scheduler_t *sched,
			       const carob_load_report_t *report)
{
	carob_upstream_slots_t *up =
		carob_scheduler_upstream(sched, report->upstream);

	if (up && up->service_id == report->service_id)
		carob_upstream_slots_on_report(
			up, report, carob_kernel_now_ns(sched->kernel));
}

static void summarise_upstream(carob_load_summary_t *out,
			       const carob_upstream_slots_t *up, uint32_t limit)
{
	out->slots += limit;
	if (up->scheduled_here) {
		out->in_flight += carob_upstream_slots_used(up);
		out->queued += up->pinned.length;
		out->connections += up->connections;
		out->feeds += up->feeds + up->peer_load.feeds;
	}
	if (up->in_flight == 0 && up->feeds == 0)
		return;
	if (out->upstream_count == CAROB_LOAD_SUMMARY_UPSTREAMS_MAX)
		return;
	out->upstreams[out->upstream_count++] = (carob_upstream_load_t){
		.upstream = up->id,
		.in_flight = up->in_flight,
		.feeds = up->feeds,
	};
}

static void summarise_service(carob_load_summary_t *out,
			      const carob_scheduler_t *s,
			      const carob_scheduled_service_t *service)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);

	*out = (carob_load_summary_t){
		.instance = carob_membership_self(s->membership)->id,
		.service_id = service->id,
		.queued = service->queue.length,
	};
	for (size_t i = 0; i < service->entry->upstream_count; i++) {
		const carob_upstream_slots_t *up =
			service->current.upstreams[i];
		bool active = up->entry->state == CAROB_UPSTREAM_ACTIVE;
		uint32_t limit = 0;

		if (up->scheduled_here && active)
			limit = carob_upstream_slots_limit(up, now);
		summarise_upstream(out, up, limit);
	}
}

size_t carob_scheduler_summaries(carob_load_summary_t *out, size_t cap,
				 const carob_scheduler_t *sched)
{
	carob_scheduled_service_t *service;
	carob_scheduled_service_t *next;
	size_t count = 0;

	HASH_ITER (hh, sched->services, service, next) {
		if (!service->entry || count == cap)
			continue;
		summarise_service(&out[count], sched, service);
		if (out[count].connections || out[count].upstream_count)
			count++;
	}
	return count;
}
