/**
 * @file steering_priv.h
 * Declarations shared by the source files of steering: decisions on packets
 * (steering.c), state of single flows (steering_flow.c), operations on many
 * flows (steering_sweep.c) and explanations (steering_explain.c).
 */
#ifndef CAROB_FLOW_STEERING_STEERING_PRIV_H
#define CAROB_FLOW_STEERING_STEERING_PRIV_H

#include "carobtrail/attempt_table.h"
#include "carobtrail/response_norms.h"
#include "carobtrail/steering.h"

struct carob_steering {
	/** First member, since `carob_steering_expire_flow` casts it back. */
	carob_flow_visitor_t expiry_visitor;
	const carob_clock_t *clock;
	const carob_route_table_t *routes;
	carob_upstream_table_t *upstreams;
	carob_name_id_t home_zone;
	const carob_link_meter_t *link;	    /* NULL: none */
	const carob_load_view_t *load_view; /* NULL: load is not shared */
	uint64_t serving_ns; /* time of the first SYN; 0: none yet */
	bool reset_gone;
	bool reads_late;	  /* the last packet was no evidence */
	uint64_t gone_checked_ns; /* time of the last check for gone upstreams */
	uint64_t failing_checked_ns; /* the same for failing upstreams */
	uint64_t overdue_checked_ns; /* the same for overdue requests */
	size_t overdue_at;	     /* bucket at which the next one begins */
	carob_flow_table_t flows;
	carob_admission_t admission;
	carob_attempt_table_t attempts;
	carob_pace_t pace;
	carob_response_norms_t norms;
	carob_outlier_detector_t outliers;
	/** NULL: load is not shared. */
	carob_shared_admission_t *shared_admission;
	/** Upstream whose flows are to be reset, or CAROB_UPSTREAM_NONE. */
	carob_upstream_index_t silent_upstream;
	carob_steering_counters_t counters;
};

static inline uint64_t carob_steering_now_ns(const carob_steering_t *steering)
{
	return carob_clock_now_ns(steering->clock);
}

static inline uint32_t carob_steering_now_ms(const carob_steering_t *steering)
{
	return (uint32_t)(carob_steering_now_ns(steering) / CAROB_NS_PER_MS);
}

/** @return the verdict that belongs to a reason */
carob_steer_verdict_t carob_steering_verdict(carob_steer_reason_t reason);

/**
 * Chooses an upstream for the flow of a packet. `except` is chosen only if
 * there is no other upstream.
 *
 * @return the index of the upstream, or CAROB_UPSTREAM_NONE
 */
carob_upstream_index_t carob_steering_place(const carob_steering_t *steering,
					    const carob_route_t *route,
					    const carob_flow_packet_t *packet,
					    carob_upstream_index_t except);

/**
 * @return why there was no upstream for the flow of a SYN: none accepts flows,
 *         or all are paced. Callers send two copies of a SYN; a flow is refused
 *         at the last one, and deferred before.
 */
carob_steer_reason_t
carob_steering_reason_unplaced(const carob_steering_t *steering,
			       const carob_route_t *route,
			       const carob_flow_packet_t *packet);

/**
 * Adds the flow of a packet to the flow table and to the load of its upstream.
 *
 * @return the flow, borrowed until the table changes, or NULL if the table is
 *         full or memory runs out
 */
carob_flow_t *carob_steering_add_flow(carob_steering_t *steering,
				      const carob_flow_packet_t *packet,
				      carob_flow_phase_t phase,
				      carob_upstream_index_t upstream);

/** Removes a flow from the flow table and from the load of its upstream. */
void carob_steering_remove_flow(carob_steering_t *steering, carob_flow_t *flow);

/** Moves a flow and its load to another upstream. */
void carob_steering_bind_flow(carob_steering_t *steering, carob_flow_t *flow,
			      carob_upstream_index_t upstream);

/** Removes a flow from the load of its upstream. */
void carob_steering_unbind_flow(carob_steering_t *steering, carob_flow_t *flow);

/** Sets whether a request is in progress on the flow. */
void carob_steering_set_pending(carob_steering_t *steering, carob_flow_t *flow,
				bool pending);

/**
 * Sets whether the caller of the request in progress has fallen silent. Such a
 * request does not count for admission control: the routers may have given its
 * flow to another instance, which counts it, and then no packet here ever ends
 * it. It does count for placement, since the upstream may not be answering.
 */
void carob_steering_set_overdue(const carob_steering_t *steering,
				carob_flow_t *flow, bool overdue);

/** Records that a packet of the flow has arrived. */
void carob_steering_touch_flow(const carob_steering_t *steering,
			       carob_flow_t *flow);

/** Counts a response for reports of load, or a SYN or request that the caller
 * repeated without one as late. */
void carob_steering_meter_answer(const carob_steering_t *steering,
				 carob_upstream_index_t upstream, bool late);

/**
 * Judges the response to the last request by its length, once it has ended.
 * Does nothing if there was none since.
 */
void carob_steering_judge_response(carob_steering_t *steering,
				   carob_flow_t *flow);

/** Meters the request in progress as one without a response, once. */
void carob_steering_meter_missing(const carob_steering_t *steering,
				  carob_flow_t *flow);

/**
 * Marks a flow as open at the caller's first packet after the SYN, which shows
 * that an upstream has answered. Does nothing for a reset.
 */
void carob_steering_open_flow(carob_steering_t *steering, carob_flow_t *flow,
			      const carob_flow_packet_t *packet);

/**
 * Updates a flow from a packet: its requests, responses and end. A reset
 * removes the flow.
 */
void carob_steering_track_packet(carob_steering_t *steering, carob_flow_t *flow,
				 const carob_flow_packet_t *packet);

/**
 * @return whether a copy of a packet is evidence that its upstream does not
 *         answer. It is none if it was read late, or if the link of this
 *         instance is congested: then its caller may wait for this instance.
 */
bool carob_steering_is_evidence(const carob_steering_t *steering,
				const carob_flow_packet_t *packet);

/** @return whether an upstream is silent; see failure_detector.h */
bool carob_steering_is_silent(const carob_steering_t *steering,
			      carob_upstream_index_t upstream);

/**
 * @return whether an upstream is known to be gone (see failure_detector.h) and
 *         flows are to be reset then
 */
bool carob_steering_is_gone(const carob_steering_t *steering,
			    carob_upstream_index_t upstream);

/**
 * Schedules the reset of the flows of an upstream if it is silent or gone;
 * `carob_steering_reset_silent` sends the resets.
 */
void carob_steering_check_silent(carob_steering_t *steering,
				 carob_upstream_index_t upstream);

/**
 * Visitor of the sweep: removes expired flows and requests from the load of
 * their upstreams.
 *
 * @param visitor the first member of a `carob_steering_t`
 * @param flow the flow
 * @return whether the flow has ended or is idle
 */
bool carob_steering_expire_flow(carob_flow_visitor_t *visitor,
				carob_flow_t *flow);

/**
 * Looks for overdue requests in a part of the flow table; does nothing if it
 * has done so a moment ago.
 */
void carob_steering_check_overdue(carob_steering_t *steering);

#endif
