/**
 * @file scheduler_state.h
 * State of the scheduler, shared by its source files only.
 */
#ifndef CAROBTRAIL_SCHEDULER_STATE_H
#define CAROBTRAIL_SCHEDULER_STATE_H

#include "load_table.h"
#include "core/membership/settled_members.h"
#include "upstream_slots.h"

/** When to come back to a service that no manifest in force here names. */
#define CAROB_UNKNOWN_SERVICE_RETRY_MS 2000

/** An instance that schedules upstreams of a service. */
typedef struct carob_schedule_share {
	carob_instance_id_t instance;
	uint32_t slots; /* of its active upstreams */
	bool settled;
	carob_upstream_id_t hint;
} carob_schedule_share_t;

/** Arrays as long as a service's list of upstreams. */
typedef struct carob_schedule_arrays {
	carob_upstream_slots_t **upstreams;
	carob_instance_id_t *owners; /* of `upstreams` */
	carob_schedule_share_t *shares;
} carob_schedule_arrays_t;

/** One service. */
typedef struct carob_scheduled_service {
	uint32_t id;
	const carob_manifest_service_t *entry; /* NULL: not in force */
	carob_schedule_arrays_t now;
	carob_schedule_arrays_t next; /* of a manifest being put in force */
	size_t share_count;
	bool assigned;
	uint64_t assigned_version; /* of the settled members */
	carob_load_table_t loads;
	carob_load_row_t own; /* only its `given` is used */
	carob_admission_queue_t queue;
	carob_turnover_t turnover;
	bool dispatching;
	UT_hash_handle hh;
} carob_scheduled_service_t;

struct carob_scheduler {
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	carob_settled_members_t *settled;
	carob_scheduler_fault_t fault;
	carob_rng_t rng;
	carob_manifest_t *manifest;
	carob_scheduled_service_t *services;
	carob_upstream_slots_t *upstreams;
	carob_timer_t tick;
};

/** @return the service, or NULL if it never was in force */
carob_scheduled_service_t *carob_scheduler_service(const carob_scheduler_t *s,
						   uint32_t id);

/** @return the upstream, or NULL if it is not known */
carob_upstream_slots_t *carob_scheduler_upstream(const carob_scheduler_t *s,
						 carob_upstream_id_t id);

/** Brings the assignment of a service up to date with the membership. */
void carob_scheduler_refresh(carob_scheduler_t *s,
			     carob_scheduled_service_t *service);

/**
 * Joins the least loaded of the upstreams that this instance schedules.
 *
 * @return that upstream, or NULL if none has room
 */
carob_upstream_slots_t *
carob_scheduler_place(carob_scheduler_t *s, carob_scheduled_service_t *service,
		      carob_work_kind_t kind);

/** @return slots that this instance may use now for unpinned work */
uint32_t carob_scheduler_slots(const carob_scheduler_t *s,
			       const carob_scheduled_service_t *service);

/** Tells whether an upstream runs work of that kind for this service now. */
bool carob_scheduler_has_room(const carob_scheduler_t *s,
			      const carob_upstream_slots_t *up,
			      carob_work_kind_t kind);

/** Gives waiting work the slots that are free, oldest first. */
void carob_scheduler_dispatch(carob_scheduler_t *s,
			      carob_scheduled_service_t *service);

/** Admits, queues, passes on or refuses new work. */
void carob_scheduler_admit(carob_scheduler_t *s,
			   carob_scheduled_service_t *service,
			   carob_work_t *work);

/** Fires while work waits: drops what expired, dispatches, arms again. */
void carob_scheduler_on_tick(carob_timer_t *timer);

/** @return whether any upstream may get new work here, sooner or later */
bool carob_scheduler_available(const carob_scheduler_t *s,
			       const carob_scheduled_service_t *service);

/** Releases upstreams that no manifest names and nothing runs on. */
void carob_scheduler_drop_unused(carob_scheduler_t *s);

/** Draws a peer with free slots for work that finds none here. */
bool carob_scheduler_find_peer(carob_instance_id_t *out, carob_scheduler_t *s,
			       carob_scheduled_service_t *service);

#endif
