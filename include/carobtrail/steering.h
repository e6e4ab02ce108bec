/**
 * @file steering.h
 * Decides where each packet of a flow goes. The decisions use neither sockets
 * nor the wall clock: a packet header goes in, a verdict comes out.
 */
#ifndef CAROBTRAIL_STEERING_H
#define CAROBTRAIL_STEERING_H

#include "carobtrail/admission.h"
#include "carobtrail/flow_table.h"
#include "carobtrail/histogram.h"
#include "carobtrail/link_meter.h"
#include "carobtrail/outlier_detector.h"
#include "carobtrail/pace.h"
#include "carobtrail/placement.h"
#include "carobtrail/route_table.h"
#include "carobtrail/shared_admission.h"

typedef struct carob_steering carob_steering_t;

/** What to do with a packet. */
typedef enum carob_steer_verdict {
	CAROB_STEER_FORWARD, /* send it to `upstream`, with its tag */
	CAROB_STEER_RESET,   /* send the caller a reset */
	CAROB_STEER_DROP,    /* discard it without a reply */
} carob_steer_verdict_t;

/** Reasons of a verdict: X(name, verdict, text). */
#define CAROB_STEER_REASONS(X)                                                 \
	X(CAROB_STEER_PLACED, FORWARD, "placed")                               \
	X(CAROB_STEER_REPEATED, FORWARD, "repeated")                           \
	X(CAROB_STEER_PLACED_AGAIN, FORWARD, "placed_again")                   \
	X(CAROB_STEER_KNOWN_FLOW, FORWARD, "known_flow")                       \
	X(CAROB_STEER_BY_TAG, FORWARD, "by_tag")                               \
	X(CAROB_STEER_NO_ROUTE, RESET, "no_route")                             \
	X(CAROB_STEER_ROUTE_DROPPED, RESET, "route_dropped")                   \
	X(CAROB_STEER_NO_UPSTREAM, RESET, "no_upstream")                       \
	X(CAROB_STEER_OVERLOADED, RESET, "overloaded")                         \
	X(CAROB_STEER_UPSTREAM_SILENT, RESET, "upstream_silent")               \
	X(CAROB_STEER_UNKNOWN_TAG, DROP, "unknown_tag")                        \
	X(CAROB_STEER_NO_CONFIG, DROP, "no_configuration")                     \
	X(CAROB_STEER_DEFERRED, DROP, "deferred")                              \
	X(CAROB_STEER_FORGED, DROP, "forged")                                  \
	X(CAROB_STEER_PACED, RESET, "paced")                                   \
	X(CAROB_STEER_PACE_DEFERRED, DROP, "pace_deferred")                    \
	/* A SYN copy whose flow was opening in an evacuated zone. */          \
	X(CAROB_STEER_EVACUATED_MOVED, FORWARD, "evacuated_moved")             \
	/* A SYN copy of a flow that is open in an evacuated zone. */          \
	X(CAROB_STEER_EVACUATED_DROPPED, DROP, "evacuated_dropped")            \
	X(CAROB_STEER_UPSTREAM_GONE, RESET, "upstream_gone")                   \
	X(CAROB_STEER_UPSTREAM_FAILING, RESET, "upstream_failing")

typedef enum carob_steer_reason {
#define X(name, verdict, text) name,
	CAROB_STEER_REASONS(X)
#undef X
	CAROB_STEER_REASON_COUNT
} carob_steer_reason_t;

/** The decision on one packet. */
typedef struct carob_steer_result {
	carob_steer_verdict_t verdict;
	carob_steer_reason_t reason;
	/**
	 * The upstream that a forwarded packet is sent to or, for the reason
	 * CAROB_STEER_UPSTREAM_SILENT, CAROB_STEER_UPSTREAM_GONE or
	 * CAROB_STEER_UPSTREAM_FAILING, the one that held the flow; otherwise
	 * NULL. Borrowed.
	 */
	const carob_upstream_t *upstream;
	/**
	 * The upstream that left the flow's last SYN unanswered, or the one of
	 * an evacuated zone that the flow was moved from, or NULL.
	 */
	const carob_upstream_t *passed_over;
	/** Load at the admission decision; all zero if none was made. */
	carob_admission_load_t load;
	/** The same if the load of all instances was known. */
	carob_shared_load_t shared_load;
	uint32_t reset_seq; /* sequence number of a reset */
} carob_steer_result_t;

/** Counters of a steering. */
typedef struct carob_steering_counters {
	uint64_t reasons[CAROB_STEER_REASON_COUNT]; /* packets, by reason */
	uint64_t short_responses; /* much shorter than usual */
	uint64_t repeated_data;	  /* data packets that callers retransmitted */
	uint64_t not_remembered;  /* flows that did not fit into the table */
	/** Time from a flow's first SYN to the caller's first other packet. */
	carob_histogram_t connect_ms;
	/** Time from a request until the caller acknowledges new data. */
	carob_histogram_t answer_ms;
} carob_steering_counters_t;

/** Options of `carob_steering_new`. */
typedef struct carob_steering_options {
	unsigned int version;
	const carob_clock_t *clock;
	const carob_route_table_t *routes;
	carob_upstream_table_t *upstreams;
	carob_str_t home_zone;
	/** Meter of the own link, borrowed; NULL: it is never congested. */
	const carob_link_meter_t *link;
	/** Load of other instances, borrowed; NULL: load is not shared. */
	const carob_load_view_t *load_view;
	/** Whether requests that may be retried are reset if their upstream is
	 * known to be gone; see docs/design/zone-lost.md. */
	bool reset_gone;
	/** Part of the room for the lowest priority; with `load_view` only. */
	double low_priority_floor;
} carob_steering_options_t;

#define CAROB_STEERING_OPTIONS_VERSION 1
#define CAROB_STEERING_OPTIONS_INIT                                            \
	{                                                                      \
		.version = CAROB_STEERING_OPTIONS_VERSION,                     \
		.low_priority_floor = CAROB_LOW_PRIORITY_FLOOR_DEFAULT         \
	}

/**
 * Creates a steering.
 *
 * @param out receives the steering; release it with `carob_steering_free`
 * @param options the clock and the tables, which must outlive the steering
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_steering_new(carob_steering_t **out,
		       const carob_steering_options_t *options);

/**
 * Sets or changes the pace of new flows; it is off before. `home_zone` is that
 * of the steering.
 */
void carob_steering_set_pace(carob_steering_t *steering,
			     const carob_pace_options_t *options);

/** @return the state of outlier detection, borrowed, for metrics */
const carob_outlier_detector_t *
carob_steering_outliers(const carob_steering_t *steering);

/** @return the pace of new flows, borrowed */
const carob_pace_t *carob_steering_pace(const carob_steering_t *steering);

/** Releases a steering with its flow table. */
void carob_steering_free(carob_steering_t *steering);

/**
 * Decides where a packet of a caller goes, and updates the flow and the load
 * of its upstream.
 *
 * @param out receives the decision
 * @param steering the steering
 * @param packet the header of the packet
 */
void carob_steering_packet(carob_steer_result_t *out,
			   carob_steering_t *steering,
			   const carob_flow_packet_t *packet);

/** Where a packet would go now; a diagnostic for operators. */
typedef struct carob_steer_explanation {
	carob_steer_verdict_t verdict;
	carob_steer_reason_t reason;
	const carob_upstream_t *upstream; /* or NULL; borrowed */
	bool remembered;		  /* the flow is in the flow table */
	uint32_t idle_ms;	 /* time since the last packet of that flow */
	uint64_t config_version; /* version of the routes that were used */
} carob_steer_explanation_t;

/**
 * Explains where a packet would go, without changing any state. A flow that is
 * not in the flow table is taken as new if the packet has no steering tag.
 * Admission control is left out.
 *
 * @param out receives the explanation
 * @param steering the steering
 * @param packet the header of the packet
 */
void carob_steering_explain(carob_steer_explanation_t *out,
			    const carob_steering_t *steering,
			    const carob_flow_packet_t *packet);

/**
 * Sends resets that are not a reply to a packet of the caller;
 * implementations embed it.
 */
typedef struct carob_reset_sender carob_reset_sender_t;
struct carob_reset_sender {
	/** Sends a reset; only the endpoints of `flow` are set. */
	void (*send)(carob_reset_sender_t *sender,
		     const carob_flow_packet_t *flow, uint32_t seq);
};

/**
 * Resets the flows with a request in progress on an upstream that was found
 * silent (see failure_detector.h), if their callers may safely retry the
 * request. Call it after each batch of packets.
 */
void carob_steering_reset_silent(carob_steering_t *steering,
				 carob_reset_sender_t *sender);

/**
 * Removes flows that have ended or are idle. Each call checks a part of the
 * flow table; call it periodically.
 */
void carob_steering_sweep(carob_steering_t *steering);

/** @return the number of flows in the flow table */
size_t carob_steering_flow_count(const carob_steering_t *steering);

/** @return the counters, borrowed */
const carob_steering_counters_t *
carob_steering_counters(const carob_steering_t *steering);

/**
 * @return the counters of admission control by the load of all instances,
 *         borrowed, or NULL if load is not shared
 */
const carob_shared_counters_t *
carob_steering_shared_counters(const carob_steering_t *steering);

/** Changes `low_priority_floor` of the options. */
void carob_steering_set_low_priority_floor(carob_steering_t *steering,
					   double floor);

/** @return the text of a reason, for logs and metrics */
const char *carob_steer_reason_text(carob_steer_reason_t reason);

#endif
