#include "scheduler_state.h"

#define TICK_NS (10 * CAROB_NS_PER_MS)
/* Longest expected wait for which work is queued. */
#define WAIT_MAX_MS 1000.0
/* Longest actual wait, after which queued work is refused. */
#define QUEUED_MAX_NS (2 * CAROB_NS_PER_S)
/* A queue holds up to QUEUE_PER_SLOT * slots + QUEUE_LENGTH_MIN items. */
#define QUEUE_PER_SLOT	 4
#define QUEUE_LENGTH_MIN 8

static void start_work(carob_scheduler_t *s, carob_upstream_slots_t *up,
		       carob_work_t *work)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);

	carob_upstream_slots_acquire(up, work->kind, now);
	work->state = CAROB_WORK_RUNNING;
	work->upstream = up->id;
	work->started_ns = now;
	work->ops->start(work, up->entry);
}

static void dequeue(carob_admission_queue_t *queue, carob_work_t *work)
{
	carob_admission_queue_remove(queue, work);
	work->state = CAROB_WORK_IDLE;
}

static uint32_t serving_slots(const carob_scheduler_t *s,
			      const carob_scheduled_service_t *service,
			      const carob_upstream_slots_t *pinned)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);

	if (pinned)
		return carob_upstream_slots_capacity(pinned, now);
	return service->entry ? carob_scheduler_slots(s, service) : 0;
}

static void refuse_work(carob_scheduler_t *s,
			carob_scheduled_service_t *service, carob_work_t *work,
			carob_refusal_t reason)
{
	uint32_t slots = serving_slots(s, service, NULL);
	uint32_t retry_after_ms = carob_wait_estimator_on_refusal(
		&service->estimator, carob_kernel_now_ns(s->kernel),
		service->queue.length, slots, &s->rng);

	work->state = CAROB_WORK_IDLE;
	work->ops->refuse(work, reason, retry_after_ms);
}

static bool is_expired(const carob_scheduler_t *s, const carob_work_t *work)
{
	if (s->mutation == CAROB_SCHEDULER_MUTATION_KEEP_EXPIRED)
		return false;
	return carob_kernel_now_ns(s->kernel) >= work->deadline_ns;
}

/*
 * Expected wait of new work in milliseconds; negative if there are no slots or
 * the queue is full.
 */
static double expected_wait_ms(const carob_scheduler_t *s,
			       const carob_scheduled_service_t *service,
			       const carob_upstream_slots_t *pinned)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);
	uint32_t slots = serving_slots(s, service, pinned);
	uint32_t ahead = service->queue.length;
	double backoff_ms = 0.0;

	if (pinned) {
		ahead = pinned->pinned.length;
		backoff_ms = (double)carob_limiter_backoff_ns(&pinned->limiter,
							      now) /
			     CAROB_NS_PER_MS;
	}
	if (slots == 0 || ahead >= QUEUE_PER_SLOT * slots + QUEUE_LENGTH_MIN)
		return -1.0;
	return backoff_ms +
	       carob_wait_estimator_wait_ms(&service->estimator, ahead, slots);
}

/* Whether to queue work: a slot is expected soon and before the deadline. */
static bool should_queue(const carob_scheduler_t *s,
			 const carob_scheduled_service_t *service,
			 const carob_work_t *work,
			 const carob_upstream_slots_t *pinned)
{
	uint64_t now = carob_kernel_now_ns(s->kernel);
	double wait_ms = expected_wait_ms(s, service, pinned);

	if (work->kind == CAROB_WORK_FEED || wait_ms < 0.0 ||
	    wait_ms > WAIT_MAX_MS)
		return false;
	return now + (uint64_t)(wait_ms * CAROB_NS_PER_MS) < work->deadline_ns;
}

static void enqueue(carob_scheduler_t *s, carob_admission_queue_t *queue,
		    carob_work_t *work)
{
	work->state = CAROB_WORK_QUEUED;
	carob_admission_queue_push(queue, work);
	if (!carob_timer_armed(&s->tick))
		carob_timer_arm(s->kernel, &s->tick,
				carob_kernel_now_ns(s->kernel) + TICK_NS);
}

/*
 * Whether work must queue behind other pinned work. The queued work waits for
 * a slot, which a feed does not need.
 */
static bool must_queue(const carob_upstream_slots_t *up,
		       const carob_work_t *work)
{
	return up->pinned.head && work->kind != CAROB_WORK_FEED;
}

static void admit_pinned(carob_scheduler_t *s,
			 carob_scheduled_service_t *service, carob_work_t *work)
{
	carob_upstream_slots_t *up = carob_scheduler_upstream(s, work->pinned);
	bool not_of_service = !up || up->service_id != work->service_id;

	if (s->mutation == CAROB_SCHEDULER_MUTATION_ANY_SERVICE && up)
		not_of_service = false;
	if (not_of_service || !up->entry)
		refuse_work(s, service, work, CAROB_REFUSAL_NO_UPSTREAM);
	else if (!must_queue(up, work) &&
		 carob_scheduler_has_room(s, up, work->kind))
		start_work(s, up, work);
	else if (should_queue(s, service, work, up))
		enqueue(s, &up->pinned, work);
	else
		refuse_work(s, service, work, CAROB_REFUSAL_OVERLOAD);
}

static void admit_unpinned(carob_scheduler_t *s,
			   carob_scheduled_service_t *service,
			   carob_work_t *work)
{
	carob_upstream_slots_t *up = NULL;
	carob_instance_id_t peer;

	if (!service->queue.head || work->kind == CAROB_WORK_FEED)
		up = carob_scheduler_place(s, service, work->kind);
	if (up)
		start_work(s, up, work);
	else if (work->may_redirect &&
		 carob_scheduler_find_peer(&peer, s, service))
		work->ops->redirect(work, peer);
	else if (should_queue(s, service, work, NULL))
		enqueue(s, &service->queue, work);
	else
		refuse_work(s, service, work,
			    serving_slots(s, service, NULL)
				    ? CAROB_REFUSAL_OVERLOAD
				    : CAROB_REFUSAL_NO_UPSTREAM);
}

void carob_scheduler_admit(carob_scheduler_t *s,
			   carob_scheduled_service_t *service,
			   carob_work_t *work)
{
	if (is_expired(s, work))
		refuse_work(s, service, work, CAROB_REFUSAL_EXPIRED);
	else if (work->pinned.id)
		admit_pinned(s, service, work);
	else
		admit_unpinned(s, service, work);
}

/* Finds the upstream with the oldest pinned work that can start now. */
static carob_upstream_slots_t *
oldest_pinned(const carob_scheduler_t *s,
	      const carob_scheduled_service_t *service)
{
	carob_upstream_slots_t *best = NULL;

	for (size_t i = 0; i < service->entry->upstream_count; i++) {
		carob_upstream_slots_t *up = service->current.upstreams[i];
		const carob_work_t *head = up->pinned.head;

		if (!head || !carob_scheduler_has_room(s, up, head->kind))
			continue;
		if (!best ||
		    head->submitted_ns < best->pinned.head->submitted_ns)
			best = up;
	}
	return best;
}

static void start_queued(carob_scheduler_t *s, carob_admission_queue_t *queue,
			 carob_upstream_slots_t *up)
{
	carob_work_t *work = queue->head;

	dequeue(queue, work);
	start_work(s, up, work);
}

/*
 * Starts the oldest piece of waiting work that an upstream can take.
 *
 * @return whether any was started
 */
static bool dispatch_one(carob_scheduler_t *s,
			 carob_scheduled_service_t *service)
{
	carob_work_t *head = service->queue.head;
	carob_upstream_slots_t *pinned = oldest_pinned(s, service);
	carob_upstream_slots_t *up;

	if (pinned && (!head || pinned->pinned.head->submitted_ns <=
					head->submitted_ns)) {
		start_queued(s, &pinned->pinned, pinned);
		return true;
	}
	up = head ? carob_scheduler_place(s, service, head->kind) : NULL;
	if (up)
		start_queued(s, &service->queue, up);
	else if (pinned)
		start_queued(s, &pinned->pinned, pinned);
	return up || pinned;
}

static bool refuse_oldest(carob_scheduler_t *s,
			  carob_scheduled_service_t *service,
			  carob_admission_queue_t *queue,
			  carob_refusal_t reason)
{
	carob_work_t *work = queue->head;

	if (!work)
		return false;
	dequeue(queue, work);
	refuse_work(s, service, work, reason);
	return true;
}

/* Whether waiting work must be refused now; sets the reason. */
static bool is_overdue(const carob_scheduler_t *s, const carob_work_t *work,
		       carob_refusal_t *reason)
{
	uint64_t waited = carob_kernel_now_ns(s->kernel) - work->submitted_ns;

	*reason = is_expired(s, work) ? CAROB_REFUSAL_EXPIRED
				      : CAROB_REFUSAL_OVERLOAD;
	return *reason == CAROB_REFUSAL_EXPIRED || waited >= QUEUED_MAX_NS;
}

static carob_work_t *find_overdue(const carob_scheduler_t *s,
				  const carob_admission_queue_t *queue,
				  carob_refusal_t *reason)
{
	carob_work_t *work = queue->head;

	while (work && !is_overdue(s, work, reason))
		work = work->next;
	return work;
}

static void refuse_overdue(carob_scheduler_t *s,
			   carob_scheduled_service_t *service,
			   carob_admission_queue_t *queue)
{
	carob_refusal_t reason;
	carob_work_t *work;

	while ((work = find_overdue(s, queue, &reason))) {
		dequeue(queue, work);
		refuse_work(s, service, work, reason);
	}
}

static void refuse_unservable(carob_scheduler_t *s,
			      carob_scheduled_service_t *service)
{
	refuse_overdue(s, service, &service->queue);
	if (carob_scheduler_available(s, service))
		return;
	while (refuse_oldest(s, service, &service->queue,
			     CAROB_REFUSAL_NO_UPSTREAM))
		;
}

/*
 * Refuses pinned work that is overdue, and all of it if the upstream is ejected
 * or no longer in the manifest. For an ejected upstream the reason is overload,
 * because "no upstream" would end the flow although the upstream may recover.
 */
static void refuse_unservable_pinned(carob_scheduler_t *s,
				     carob_upstream_slots_t *up)
{
	carob_scheduled_service_t *service =
		carob_scheduler_service(s, up->service_id);
	uint64_t now = carob_kernel_now_ns(s->kernel);
	carob_refusal_t reason = up->entry ? CAROB_REFUSAL_OVERLOAD
					   : CAROB_REFUSAL_NO_UPSTREAM;

	refuse_overdue(s, service, &up->pinned);
	if (up->entry && !carob_upstream_health_ejected(&up->health, now))
		return;
	while (refuse_oldest(s, service, &up->pinned, reason))
		;
}

void carob_scheduler_dispatch(carob_scheduler_t *s,
			      carob_scheduled_service_t *service)
{
	if (service->dispatching || !service->entry)
		return;
	service->dispatching = true;
	carob_scheduler_refresh(s, service);
	refuse_overdue(s, service, &service->queue);
	while (dispatch_one(s, service))
		;
	service->dispatching = false;
}

/* Redirects the oldest waiting work if a peer has free slots by now. */
static void redirect_waiting(carob_scheduler_t *s,
			     carob_scheduled_service_t *service)
{
	carob_work_t *work = service->queue.head;
	carob_instance_id_t peer;

	if (!work || !work->may_redirect ||
	    !carob_scheduler_find_peer(&peer, s, service))
		return;
	dequeue(&service->queue, work);
	work->ops->redirect(work, peer);
}

void carob_scheduler_on_tick(carob_timer_t *timer)
{
	carob_scheduler_t *s =
		CAROB_CONTAINER_OF(timer, carob_scheduler_t, tick);
	carob_scheduled_service_t *service;
	carob_scheduled_service_t *next;
	carob_upstream_slots_t *up;
	carob_upstream_slots_t *next_up;
	bool waiting = false;

	HASH_ITER (hh, s->upstreams, up, next_up)
		if (up->pinned.head)
			refuse_unservable_pinned(s, up);
	HASH_ITER (hh, s->services, service, next) {
		if (service->queue.head)
			refuse_unservable(s, service);
		carob_scheduler_dispatch(s, service);
		redirect_waiting(s, service);
		waiting |= service->queue.head != NULL;
	}
	HASH_ITER (hh, s->upstreams, up, next_up)
		waiting |= up->pinned.head != NULL;
	carob_scheduler_drop_unused(s);
	if (waiting)
		carob_timer_arm(s->kernel, timer,
				carob_kernel_now_ns(s->kernel) + TICK_NS);
}
