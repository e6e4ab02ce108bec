/**
 * @file scheduler.h
 * Admission and placement of work on the upstreams that this instance
 * schedules.
 *
 * Every upstream is scheduled by one instance, which is chosen by rendezvous
 * hashing (highest random weight, Thaler and Ravishankar 1998) among the live
 * instances of the upstream's availability zone. Only this instance admits new
 * work for the upstream, so that the slots in use are counted exactly in one
 * place. Work that finds no free slot here is redirected once to an instance
 * whose load summary shows free slots, queued for a bounded time, or refused
 * at once.
 */
#ifndef CAROBTRAIL_SCHEDULER_H
#define CAROBTRAIL_SCHEDULER_H

#include "carobtrail/ids.h"
#include "carobtrail/kernel.h"
#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"
#include "carobtrail/rng.h"

typedef struct carob_scheduler carob_scheduler_t;
typedef struct carob_work carob_work_t;

/**
 * Kind of work; determines which resource it occupies on its upstream. A feed
 * is a CoAP observation (RFC 7641).
 */
typedef enum carob_work_kind {
	CAROB_WORK_REQUEST, /* a slot, until the response or a cancel */
	CAROB_WORK_FEED,    /* a connection, until the feed ends */
} carob_work_kind_t;

/** State of a piece of work in the scheduler. */
typedef enum carob_work_state {
	CAROB_WORK_IDLE,
	CAROB_WORK_QUEUED,
	CAROB_WORK_RUNNING,
} carob_work_state_t;

/** How a running piece of work ended. */
typedef enum carob_work_outcome {
	CAROB_OUTCOME_DONE,
	CAROB_OUTCOME_CANCELLED, /* the upstream confirmed the cancel */
	CAROB_OUTCOME_SHED,    /* refused by the overloaded upstream, not run */
	CAROB_OUTCOME_TIMEOUT, /* no response in time, may have run */
	CAROB_OUTCOME_ERROR,   /* the upstream failed */
} carob_work_outcome_t;

/** Why work is refused. Refused work was not run. */
typedef enum carob_refusal {
	/** No slot is expected to become free in time. */
	CAROB_REFUSAL_OVERLOAD,
	/**
	 * No upstream can take the work, or the upstream that it is pinned to
	 * does not exist any more.
	 */
	CAROB_REFUSAL_NO_UPSTREAM,
	/** The deadline of the work has passed. */
	CAROB_REFUSAL_EXPIRED,
} carob_refusal_t;

/**
 * Callbacks through which the scheduler announces its decision about a piece
 * of work. They may be called during `carob_scheduler_submit` or later.
 */
typedef struct carob_work_ops {
	/**
	 * Sends the work to `upstream` now. The work occupies a slot or a
	 * connection until `carob_scheduler_finish` is called.
	 */
	void (*start)(carob_work_t *work,
		      const carob_manifest_upstream_t *upstream);
	/**
	 * Forwards the work to instance `to`, which has free slots. This
	 * scheduler does not track the work any more.
	 */
	void (*redirect)(carob_work_t *work, carob_instance_id_t to);
	/**
	 * Responds that the work was not run and may be submitted again after
	 * `retry_after_ms`.
	 */
	void (*refuse)(carob_work_t *work, carob_refusal_t reason,
		       uint32_t retry_after_ms);
} carob_work_ops_t;

/**
 * A piece of work. The caller embeds it, zero-initialises it and sets the
 * fields before `state`.
 */
struct carob_work {
	const carob_work_ops_t *ops;
	carob_work_kind_t kind;
	uint32_t service_id;
	carob_upstream_id_t pinned; /* required upstream; id 0 for any */
	bool may_redirect;	    /* another instance may run the work */
	uint64_t deadline_ns;	    /* UINT64_MAX for none */
	/* The scheduler owns the fields from here on. */
	carob_work_state_t state;
	carob_upstream_id_t upstream;
	uint64_t submitted_ns;
	uint64_t started_ns;
	carob_work_t *prev;
	carob_work_t *next;
};

/** Maximum number of upstreams in one load summary. */
#define CAROB_LOAD_SUMMARY_UPSTREAMS_MAX 32

/** Work that one instance runs on one upstream. */
typedef struct carob_upstream_load {
	carob_upstream_id_t upstream;
	uint16_t in_flight;
	uint16_t feeds;
} carob_upstream_load_t;

/**
 * Load of one service at one instance, exchanged between instances. `upstreams`
 * lists every upstream on which the instance runs work, including upstreams
 * that another instance schedules: after a change of the membership,
 * established flows stay with their owner, which is not necessarily the
 * instance that schedules their upstream now. Each receiver adds these counts
 * to its own.
 */
typedef struct carob_load_summary {
	carob_instance_id_t instance; /* the sender */
	uint32_t service_id;
	uint16_t slots;	      /* usable slots of the scheduled upstreams */
	uint16_t in_flight;   /* requests on the scheduled upstreams */
	uint16_t queued;      /* requests that wait for a slot */
	uint32_t connections; /* feeds that the scheduled upstreams allow */
	uint32_t feeds;	      /* feeds on the scheduled upstreams */
	uint16_t upstream_count;
	carob_upstream_load_t upstreams[CAROB_LOAD_SUMMARY_UPSTREAMS_MAX];
} carob_load_summary_t;

/** Load and health of one upstream, as found by a health probe. */
typedef struct carob_load_report {
	carob_upstream_id_t upstream;
	uint32_t service_id;
	uint32_t in_use; /* slots in use */
	uint32_t feeds;	 /* connections in use */
	uint32_t age_ms; /* age of the figures, as stated by the upstream */
	bool healthy;
} carob_load_report_t;

/** Mutations: deliberate defects that only tests enable. */
typedef enum carob_scheduler_mutation {
	CAROB_SCHEDULER_MUTATION_NONE,
	/** Places new work on draining upstreams. */
	CAROB_SCHEDULER_MUTATION_PLACE_ON_DRAINING,
	/** Places work on upstreams of another service. */
	CAROB_SCHEDULER_MUTATION_ANY_SERVICE,
	/** Places work on upstreams without free slots. */
	CAROB_SCHEDULER_MUTATION_IGNORE_SLOTS,
	/** Starts work whose deadline has passed. */
	CAROB_SCHEDULER_MUTATION_KEEP_EXPIRED,
	/**
	 * Each instance schedules all upstreams and takes the less loaded of
	 * two upstreams drawn at random.
	 */
	CAROB_SCHEDULER_MUTATION_EVERYBODY_SCHEDULES,
} carob_scheduler_mutation_t;

/** Options of `carob_scheduler_new`; the objects must outlive the scheduler. */
typedef struct carob_scheduler_options {
	unsigned int version;
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	uint64_t seed;
	carob_scheduler_mutation_t mutation;
} carob_scheduler_options_t;

#define CAROB_SCHEDULER_OPTIONS_VERSION 1
#define CAROB_SCHEDULER_OPTIONS_INIT                                           \
	{                                                                      \
		.version = CAROB_SCHEDULER_OPTIONS_VERSION                     \
	}

/**
 * Creates a scheduler. It refuses all work until it gets a manifest.
 *
 * @param out receives the scheduler; release it with `carob_scheduler_free`
 * @param options kernel, membership and seed of the random numbers
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_scheduler_new(carob_scheduler_t **out,
			const carob_scheduler_options_t *options);

/** Releases the scheduler without calling the `ops` of work it still holds. */
void carob_scheduler_free(carob_scheduler_t *sched);

/**
 * Replaces the manifest in force. Upstreams that are in both manifests keep
 * their state.
 *
 * @param sched the scheduler
 * @param manifest the new manifest; the scheduler takes its own reference
 * @return 0, or CAROB_ENOMEM with the previous manifest still in force
 */
int carob_scheduler_set_manifest(carob_scheduler_t *sched,
				 carob_manifest_t *manifest);

/**
 * Chooses the owner of a new flow by two random choices (Mitzenmacher 2001):
 * draws two instances, weighted by the slots that they schedule for the
 * service, and takes the one with the lower load in its last summary. Flows
 * assigned to an instance recently count as load, so that many choices between
 * two summaries do not all select the same instance.
 *
 * @param out receives the instance
 * @param upstream receives an upstream that the instance schedules, as a hint
 * @param sched the scheduler
 * @param service_id the service
 * @return 0, or CAROB_ENOTFOUND if no instance schedules the service
 */
int carob_scheduler_choose_owner(carob_instance_id_t *out,
				 carob_upstream_id_t *upstream,
				 carob_scheduler_t *sched, uint32_t service_id);

/**
 * Submits work. Exactly one of its `ops` is called, during this call or later,
 * unless the work is withdrawn before.
 */
void carob_scheduler_submit(carob_scheduler_t *sched, carob_work_t *work);

/**
 * Removes queued work without calling its `ops`. Has no effect on work that is
 * not queued.
 */
void carob_scheduler_withdraw(carob_scheduler_t *sched, carob_work_t *work);

/**
 * Releases the slot or connection of running work.
 *
 * @param sched the scheduler
 * @param work running work; idle afterwards
 * @param outcome how it ended
 * @param retry_after_ms for CAROB_OUTCOME_SHED, the time after which the
 *        upstream accepts requests again; 0 if unknown
 */
void carob_scheduler_finish(carob_scheduler_t *sched, carob_work_t *work,
			    carob_work_outcome_t outcome,
			    uint32_t retry_after_ms);

/** Handles a load summary from a peer. */
void carob_scheduler_on_summary(carob_scheduler_t *sched,
				const carob_load_summary_t *summary);

/**
 * Handles the report of a health probe. A late or wrong report is tolerated:
 * reports only rank upstreams and do not change the counts of slots in use.
 */
void carob_scheduler_on_report(carob_scheduler_t *sched,
			       const carob_load_report_t *report);

/**
 * Writes the load summaries of this instance, one for each service of which it
 * schedules or uses an upstream.
 *
 * @param out receives up to `cap` summaries
 * @param cap capacity of `out`
 * @param sched the scheduler
 * @return number of summaries written
 */
size_t carob_scheduler_summaries(carob_load_summary_t *out, size_t cap,
				 const carob_scheduler_t *sched);

#endif
