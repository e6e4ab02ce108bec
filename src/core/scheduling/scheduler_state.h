/**
 * @file scheduler_state.h
 * Private state of the scheduler, shared by its source files.
 */
#ifndef CAROBTRAIL_SCHEDULER_STATE_H
#define CAROBTRAIL_SCHEDULER_STATE_H

#include "load_table.h"
#include "core/membership/stable_members.h"
#include "upstream_slots.h"

/** Retry time for requests to a service that the manifest does not contain. */
#define CAROB_UNKNOWN_SERVICE_RETRY_MS 2000

/** Share of one instance in the scheduling of a service. */
typedef struct carob_schedule_share {
	carob_instance_id_t instance;
	uint32_t slots; /* total slots of the active upstreams it schedules */
	bool stable;	/* see stable_members.h */
	carob_upstream_id_t hint; /* the first upstream that it schedules */
} carob_schedule_share_t;

/** Arrays that are as long as the list of upstreams of a service. */
typedef struct carob_schedule_arrays {
	carob_upstream_slots_t **upstreams;
	carob_instance_id_t *owners; /* instances that schedule `upstreams` */
	carob_schedule_share_t *shares;
} carob_schedule_arrays_t;

/** One service. */
typedef struct carob_scheduled_service {
	uint32_t id;
	const carob_manifest_service_t *entry; /* NULL: not in the manifest */
	carob_schedule_arrays_t current;
	carob_schedule_arrays_t next; /* for a manifest that is being applied */
	size_t share_count;	      /* used elements of `current.shares` */
	bool assigned;		      /* `current.owners` has been computed */
	/** Version of the stable members for which owners were computed. */
	uint64_t assigned_version;
	carob_load_table_t loads; /* load of the peers */
	/** Row of this instance; only its recent flows are used. */
	carob_load_row_t own_row;
	carob_admission_queue_t queue; /* unpinned work that waits */
	carob_wait_estimator_t estimator;
	bool dispatching; /* guards against recursion */
	UT_hash_handle hh;
} carob_scheduled_service_t;

struct carob_scheduler {
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	carob_stable_members_t *stable_members;
	carob_scheduler_mutation_t mutation;
	carob_rng_t rng;
	carob_manifest_t *manifest;
	carob_scheduled_service_t *services;
	carob_upstream_slots_t *upstreams;
	carob_timer_t tick;
};

/** @return the service, or NULL if no manifest so far has contained it */
carob_scheduled_service_t *carob_scheduler_service(const carob_scheduler_t *s,
						   uint32_t id);

/** @return the upstream, or NULL if it is unknown */
carob_upstream_slots_t *carob_scheduler_upstream(const carob_scheduler_t *s,
						 carob_upstream_id_t id);

/** Recomputes the assignment of a service if the membership has changed. */
void carob_scheduler_refresh(carob_scheduler_t *s,
			     carob_scheduled_service_t *service);

/**
 * Chooses the least loaded of the upstreams that this instance schedules.
 *
 * @return the upstream, or NULL if none can take work of this kind
 */
carob_upstream_slots_t *
carob_scheduler_place(carob_scheduler_t *s, carob_scheduled_service_t *service,
		      carob_work_kind_t kind);

/** @return number of slots that may serve unpinned work here now */
uint32_t carob_scheduler_slots(const carob_scheduler_t *s,
			       const carob_scheduled_service_t *service);

/** @return whether an upstream can take one more piece of work of a kind */
bool carob_scheduler_has_room(const carob_scheduler_t *s,
			      const carob_upstream_slots_t *up,
			      carob_work_kind_t kind);

/** Starts waiting work on free slots, oldest first. */
void carob_scheduler_dispatch(carob_scheduler_t *s,
			      carob_scheduled_service_t *service);

/** Starts, queues, redirects or refuses new work. */
void carob_scheduler_admit(carob_scheduler_t *s,
			   carob_scheduled_service_t *service,
			   carob_work_t *work);

/**
 * Timer callback: refuses overdue work, starts or redirects waiting work,
 * drops unused upstreams, and arms the timer again if work still waits.
 */
void carob_scheduler_on_tick(carob_timer_t *timer);

/**
 * @return whether this instance schedules an active upstream that is not
 *         ejected, so that unpinned work can be started now or later
 */
bool carob_scheduler_available(const carob_scheduler_t *s,
			       const carob_scheduled_service_t *service);

/** Releases upstreams that are not in the manifest and have no work. */
void carob_scheduler_drop_unused(carob_scheduler_t *s);

/**
 * Finds the peer with the most free slots, for work that finds none here.
 *
 * @return whether there is such a peer
 */
bool carob_scheduler_find_peer(carob_instance_id_t *out, carob_scheduler_t *s,
			       carob_scheduled_service_t *service);

#endif
