/**
 * @file steering_priv.h
 * What the parts of steering share: decisions (steering.c), flows
 * (steering_flow.c), many flows at a time (steering_sweep.c) and explanations
 * (steering_explain.c).
 */
#ifndef CAROB_FLOW_STEERING_PRIV_H
#define CAROB_FLOW_STEERING_PRIV_H

#include "carobtrail/steering.h"

struct carob_steering {
	carob_flow_visitor_t expiry;
	const carob_clock_t *clock;
	const carob_route_table_t *routes;
	carob_upstream_table_t *upstreams;
	carob_name_id_t home_zone;
	carob_flow_table_t flows;
	carob_admission_t admission;
	carob_upstream_index_t silent; /* whose flows are to be reset */
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

/** @return what is done to a packet for this reason */
carob_steer_verdict_t carob_steering_verdict(carob_steer_reason_t reason);

/**
 * Chooses an upstream for a new flow of the packet's caller, other than
 * `except` if there is another one.
 *
 * @return its index, or CAROB_UPSTREAM_NONE
 */
carob_upstream_index_t carob_steering_place(const carob_steering_t *steering,
					    const carob_route_t *route,
					    const carob_flow_packet_t *packet,
					    carob_upstream_index_t except);

/** Adds a flow whose upstream is known. @return NULL if there is no room */
carob_flow_t *carob_steering_remember(carob_steering_t *steering,
				      const carob_flow_packet_t *packet,
				      carob_flow_phase_t phase,
				      carob_upstream_index_t upstream);

/** Removes a flow and its load. */
void carob_steering_forget(carob_steering_t *steering, carob_flow_t *flow);

/** Moves a flow and its load to an upstream. */
void carob_steering_bind(carob_steering_t *steering, carob_flow_t *flow,
			 carob_upstream_index_t upstream);

/** Takes a flow's load off its upstream. */
void carob_steering_unbind(carob_steering_t *steering, carob_flow_t *flow);

/** Notes whether a request is in progress on the flow. */
void carob_steering_set_pending(carob_steering_t *steering, carob_flow_t *flow,
				bool pending);

/** The caller's first packet behind the SYN: an upstream has answered. */
void carob_steering_open(carob_steering_t *steering, carob_flow_t *flow,
			 const carob_flow_packet_t *packet);

/** Notes what a packet of a flow tells: requests, answers, its end. */
void carob_steering_track(carob_steering_t *steering, carob_flow_t *flow,
			  const carob_flow_packet_t *packet);

/** @return whether an upstream has fallen silent; see silence.h */
bool carob_steering_is_silent(const carob_steering_t *steering,
			      carob_upstream_index_t upstream);

/** Has the flows of an upstream reset if it has fallen silent. */
void carob_steering_note_silent(carob_steering_t *steering,
				carob_upstream_index_t upstream);

/** A visitor of the sweep. @return whether a flow has ended or is idle */
bool carob_steering_is_expired(carob_flow_visitor_t *visitor,
			       carob_flow_t *flow);

#endif
