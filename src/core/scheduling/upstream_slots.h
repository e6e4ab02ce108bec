/**
 * @file upstream_slots.h
 * One upstream as the scheduler sees it: what runs on it, how much it may be
 * given, and the pinned work that waits for it.
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
	uint64_t key; /* of the hash table: both parts of `id` */
	uint32_t service_id;
	const carob_manifest_upstream_t *entry; /* NULL: not in force */
	uint32_t slots;
	uint32_t connections;
	bool scheduled_here;
	bool was_draining;  /* before the manifest in force */
	uint32_t in_flight; /* own */
	uint32_t feeds;	    /* own */
	carob_upstream_load_t foreign;
	uint32_t reported; /* slots in use beyond those known, by report */
	uint64_t reported_ns;
	carob_limiter_t limiter;
	carob_upstream_health_t health;
	uint64_t ramp_ns; /* slow start began; 0 when warm */
	double busy;	  /* smoothed slots in use */
	uint64_t busy_ns;
	carob_admission_queue_t pinned;
	UT_hash_handle hh;
} carob_upstream_slots_t;

/** @return requests known to be in flight on it, own and others' */
uint32_t carob_upstream_slots_used(const carob_upstream_slots_t *up);

/** @return requests that may be in flight on it, but for backing off */
uint32_t carob_upstream_slots_capacity(const carob_upstream_slots_t *up,
				       uint64_t now_ns);

/** @return requests that may be in flight on it now; 0 while backing off */
uint32_t carob_upstream_slots_limit(const carob_upstream_slots_t *up,
				    uint64_t now_ns);

/** @return whether it has room for one more piece of work of that kind */
bool carob_upstream_slots_has_room(const carob_upstream_slots_t *up,
				   carob_work_kind_t kind, uint64_t now_ns);

/** Begins its slow start. */
void carob_upstream_slots_start_ramp(carob_upstream_slots_t *up,
				     uint64_t now_ns);

/** Counts work that starts on it. */
void carob_upstream_slots_take(carob_upstream_slots_t *up,
			       carob_work_kind_t kind, uint64_t now_ns);

/** Counts work that ended on it. */
void carob_upstream_slots_release(carob_upstream_slots_t *up,
				  carob_work_kind_t kind, uint64_t now_ns);

/** @return slots in use, averaged over the last seconds */
double carob_upstream_slots_busy(const carob_upstream_slots_t *up,
				 uint64_t now_ns);

/** Takes in its own report, which only ranks it and never admits work. */
void carob_upstream_slots_on_report(carob_upstream_slots_t *up,
				    const carob_load_report_t *report,
				    uint64_t now_ns);

/** @return slots in use beyond the known ones, by its last report */
double carob_upstream_slots_reported(const carob_upstream_slots_t *up,
				     uint64_t now_ns);

#endif
