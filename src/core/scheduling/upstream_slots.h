/**
 * @file upstream_slots.h
 * State of one upstream in the scheduler: the work that it runs, its limits,
 * and the pinned work that waits for it.
 */
#ifndef CAROBTRAIL_UPSTREAM_SLOTS_H
#define CAROBTRAIL_UPSTREAM_SLOTS_H

#include "admission_queue.h"
#include "carobtrail/limiter.h"
#include "upstream_health.h"

#include "carobtrail/scheduler.h"

#include <uthash.h>

/** State of one upstream. */
typedef struct carob_upstream_slots {
	carob_upstream_id_t id;
	uint64_t key; /* hash key: both parts of `id` without padding */
	uint32_t service_id;
	const carob_manifest_upstream_t *entry; /* NULL: not in the manifest */
	uint32_t slots;
	uint32_t connections;
	bool scheduled_here;
	/** The last manifest that contained it had it as not active. */
	bool was_draining;
	uint32_t in_flight;		 /* requests of this instance */
	uint32_t feeds;			 /* feeds of this instance */
	carob_upstream_load_t peer_load; /* work of the peers */
	uint32_t reported_extra; /* reported slots in use beyond those known */
	uint64_t reported_ns; /* time at which `reported_extra` was measured */
	carob_limiter_t limiter;
	carob_upstream_health_t health;
	uint64_t slow_start_ns; /* start of the slow start; 0 if there was none */
	double mean_used;	/* moving average of the slots in use */
	uint64_t mean_used_ns; /* time of the last update of `mean_used` */
	carob_admission_queue_t pinned;
	UT_hash_handle hh;
} carob_upstream_slots_t;

/** @return known requests in flight, of this instance and its peers */
uint32_t carob_upstream_slots_used(const carob_upstream_slots_t *up);

/**
 * @return requests that may be in flight, without regard to a backoff after a
 *         shed; 0 if the upstream is ejected or not in the manifest
 */
uint32_t carob_upstream_slots_capacity(const carob_upstream_slots_t *up,
				       uint64_t now_ns);

/** @return requests that may be in flight now; 0 during a backoff */
uint32_t carob_upstream_slots_limit(const carob_upstream_slots_t *up,
				    uint64_t now_ns);

/** @return whether the upstream can take one more piece of work of a kind */
bool carob_upstream_slots_has_room(const carob_upstream_slots_t *up,
				   carob_work_kind_t kind, uint64_t now_ns);

/** Begins a slow start. */
void carob_upstream_slots_begin_slow_start(carob_upstream_slots_t *up,
					   uint64_t now_ns);

/** Occupies a slot or a connection for work that starts. */
void carob_upstream_slots_acquire(carob_upstream_slots_t *up,
				  carob_work_kind_t kind, uint64_t now_ns);

/** Frees the slot or connection of work that has ended. */
void carob_upstream_slots_release(carob_upstream_slots_t *up,
				  carob_work_kind_t kind, uint64_t now_ns);

/** @return exponential moving average of the slots in use */
double carob_upstream_slots_mean_used(const carob_upstream_slots_t *up,
				      uint64_t now_ns);

/**
 * Stores the result of a probe. It is used only to rank the upstream among
 * others and does not change how much work is admitted.
 */
void carob_upstream_slots_on_report(carob_upstream_slots_t *up,
				    const carob_load_report_t *report,
				    uint64_t now_ns);

/**
 * @return slots in use that this instance does not know of, according to the
 *         last report; decreases to 0 as the report ages
 */
double carob_upstream_slots_reported_extra(const carob_upstream_slots_t *up,
					   uint64_t now_ns);

#endif
