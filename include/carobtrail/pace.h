/**
 * @file pace.h
 * Slow start: paces the new flows to an upstream that is cold, that has
 * appeared or returned, or that was avoided and answers again. Such an upstream
 * has the fewest flows, so placement would send it all new flows at once.
 *
 * Two limits apply, each to the new flows of this instance:
 *
 * - The share: a fraction of what a warm upstream of the service receives from
 *   this instance, in new flows per second and in open flows. It begins small,
 *   rises with time, rises faster while the upstream answers as fast as warm
 *   ones, and falls when answers are slow or missing. At 1 the ramp ends.
 * - The bound: while the upstream is cold and its service states a rate
 *   (`cold_per_s`), all instances together send it at most
 *   `cold_per_s` x `cold_overage` + `cold_slack` new flows in any second. Each
 *   instance of the upstream's zone may send one flow in each of its own short
 * windows. The windows recur with a period that grows with the number of
 * instances, at a random phase; a window that was not used lapses.
 *
 * docs/design/pace.md has the reasons. All of it is off until
 * `carob_pace_configure` sets `cold_overage`.
 */
#ifndef CAROBTRAIL_PACE_H
#define CAROBTRAIL_PACE_H

#include "carobtrail/load_view.h"
#include "carobtrail/rng.h"
#include "carobtrail/route_table.h"
#include "carobtrail/upstream_table.h"

/** Settings of the pace. */
typedef struct carob_pace_options {
	double cold_overage; /* at least 1; 0: the pace is off */
	double cold_slack;   /* new flows */
	carob_name_id_t home_zone;
	/** Number of instances of a zone while load is not shared; at least 1. */
	uint32_t instances;
	/** Seed of the random phases; has to differ between instances. */
	uint64_t seed;
} carob_pace_options_t;

/** Counters of a pace. */
typedef struct carob_pace_counters {
	uint64_t begun;	  /* ramps begun */
	uint64_t ended;	  /* ramps that ended at the full share */
	uint64_t raised;  /* steps up after fast answers */
	uint64_t lowered; /* steps down after slow or missing answers */
} carob_pace_counters_t;

/** What the warm upstreams of one service receive in one zone. */
typedef struct carob_pace_peers {
	double per_s; /* new flows of this instance per second */
	uint32_t open_flows;
	uint32_t warm_slots;
	uint32_t paced_slots;
} carob_pace_peers_t;

/** Usual time of the warm upstreams' responses on one route. */
typedef struct carob_pace_usual {
	uint64_t key; /* hash of route and service; 0: unused */
	double ms;    /* estimate of the median */
	uint32_t samples;
} carob_pace_usual_t;

/** Number of elements of the cache of usual times; a power of two. */
#define CAROB_PACE_USUAL_COUNT 64

/** The number of instances of the own zone, as views have told it. */
typedef struct carob_pace_instances {
	uint32_t latest;
	uint32_t before;     /* the number before `latest` */
	uint64_t changed_ns; /* when `latest` was learned */
	uint64_t known_ns;   /* since when the number has been known; 0: not */
} carob_pace_instances_t;

/** The pace of an instance; zero-initialise it: it is off then. */
typedef struct carob_pace {
	carob_pace_options_t options;
	carob_rng_t rng;
	carob_pace_instances_t instances;
	double instance_count;	   /* that may send to a cold upstream */
	carob_pace_peers_t *peers; /* indexed by service and zone */
	size_t peers_cap;
	size_t zones; /* number of zones in `peers` */
	carob_pace_usual_t usual[CAROB_PACE_USUAL_COUNT];
	uint64_t seen_changes;	 /* of the upstream table */
	uint64_t seen_version;	 /* of the configuration */
	uint64_t next_update_ns; /* while upstreams are paced */
	bool begun;		 /* the upstreams have been looked at */
	uint32_t paced;		 /* upstreams that are paced now */
	carob_pace_counters_t counters;
} carob_pace_t;

/** Sets or changes the options. */
void carob_pace_configure(carob_pace_t *pace,
			  const carob_pace_options_t *options);

/**
 * Finds upstreams to pace and updates the limits of those that are paced. Call
 * it before each placement; it does nothing if nothing is due.
 *
 * @param pace the pace
 * @param table the upstreams
 * @param routes the configuration in force
 * @param view the number of instances, or NULL if load is not shared
 * @param now_ns monotonic time
 */
void carob_pace_update(carob_pace_t *pace, carob_upstream_table_t *table,
		       const carob_route_table_t *routes,
		       const carob_load_view_t *view, uint64_t now_ns);

/** @return whether the upstream may receive a new flow now */
bool carob_pace_allows(const carob_upstream_t *upstream, uint64_t now_ns);

/**
 * @return whether the service has an upstream that accepts flows but may not
 *         receive one now
 */
bool carob_pace_withholds(const carob_upstream_table_t *table,
			  carob_name_id_t service, uint64_t now_ns);

/** Records that a SYN of a flow that is new to the upstream is sent to it. */
void carob_pace_record_flow(const carob_pace_t *pace,
			    carob_upstream_t *upstream, uint64_t now_ns);

/**
 * Records a response.
 *
 * @param pace the pace
 * @param upstream the upstream that has responded
 * @param route the route of the flow; responses are compared with those to the
 *        same route
 * @param ms time since the request, in milliseconds
 * @param now_ns monotonic time
 */
void carob_pace_record_response(carob_pace_t *pace, carob_upstream_t *upstream,
				carob_endpoint_t route, uint32_t ms,
				uint64_t now_ns);

/** Records a SYN or a request that the caller has retransmitted. */
void carob_pace_record_missing(carob_pace_t *pace, carob_upstream_t *upstream,
			       uint64_t now_ns);

/**
 * Begins the ramp of an upstream that was avoided and has answered again. Call
 * it before the failure detector records the answer.
 */
void carob_pace_record_answer(carob_pace_t *pace,
			      const carob_upstream_table_t *table,
			      carob_upstream_t *upstream, uint64_t now_ns);

/** Releases the memory and zeroes the structure. */
void carob_pace_dispose(carob_pace_t *pace);

#endif
