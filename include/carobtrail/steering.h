/**
 * @file steering.h
 * Where each packet of a flow goes. No sockets and no wall time: a packet
 * comes in, a verdict goes out.
 */
#ifndef CAROBTRAIL_STEERING_H
#define CAROBTRAIL_STEERING_H

#include "carobtrail/admission.h"
#include "carobtrail/flow_table.h"
#include "carobtrail/histogram.h"
#include "carobtrail/placement.h"
#include "carobtrail/route_table.h"

typedef struct carob_steering carob_steering_t;

/** What to do with a packet. */
typedef enum carob_steer_verdict {
	CAROB_STEER_FORWARD, /* to `upstream`, with its tag */
	CAROB_STEER_RESET,   /* to the caller: not served */
	CAROB_STEER_DROP,
} carob_steer_verdict_t;

/** Why: X(name, verdict, text). */
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
	X(CAROB_STEER_FORGED, DROP, "forged")

typedef enum carob_steer_reason {
#define X(name, verdict, text) name,
	CAROB_STEER_REASONS(X)
#undef X
	CAROB_STEER_REASON_COUNT
} carob_steer_reason_t;

/** Where one packet goes. */
typedef struct carob_steer_result {
	carob_steer_verdict_t verdict;
	carob_steer_reason_t reason;
	/**
	 * To forward to; of a reset because of it, the one that is silent;
	 * borrowed
	 */
	const carob_upstream_t *upstream;
	const carob_upstream_t *passed_over; /* left a SYN unanswered, or NULL */
	carob_admission_load_t load;	     /* that an admission rests on */
	uint32_t reset_seq;		     /* of the reset */
} carob_steer_result_t;

/** Counters of a steering. */
typedef struct carob_steering_counters {
	uint64_t reasons[CAROB_STEER_REASON_COUNT];
	uint64_t repeated_data;	 /* packets that a caller sent again */
	uint64_t not_remembered; /* flows that did not fit into the table */
	carob_histogram_t connect_ms; /* SYN to the caller's next packet */
	carob_histogram_t answer_ms;  /* request to the first acknowledgement */
} carob_steering_counters_t;

/** Options of `carob_steering_new`. */
typedef struct carob_steering_options {
	unsigned int version;
	const carob_clock_t *clock;
	const carob_route_table_t *routes;
	carob_upstream_table_t *upstreams;
	carob_str_t home_zone;
} carob_steering_options_t;

#define CAROB_STEERING_OPTIONS_VERSION 1
#define CAROB_STEERING_OPTIONS_INIT                                            \
	{                                                                      \
		.version = CAROB_STEERING_OPTIONS_VERSION                      \
	}

/**
 * Creates a steering.
 *
 * @param out receives it; release it with `carob_steering_free`
 * @param options tables and clock; must outlive it
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_steering_new(carob_steering_t **out,
		       const carob_steering_options_t *options);

/** Releases a steering with its flow table. */
void carob_steering_free(carob_steering_t *steering);

/** Decides where a packet of a caller goes. */
void carob_steering_packet(carob_steer_result_t *out,
			   carob_steering_t *steering,
			   const carob_flow_packet_t *packet);

/** Where a packet would go now; for people. */
typedef struct carob_steer_explanation {
	carob_steer_verdict_t verdict;
	carob_steer_reason_t reason;
	const carob_upstream_t *upstream; /* or NULL; borrowed */
	bool remembered;		  /* this instance has seen the flow */
	uint32_t idle_ms;		  /* of a remembered flow */
	uint64_t config_version;	  /* that routes were looked up in */
} carob_steer_explanation_t;

/**
 * Says where a packet would go, and changes nothing. Without a steering tag a
 * flow that is not remembered counts as new; admission is not asked.
 */
void carob_steering_explain(carob_steer_explanation_t *out,
			    const carob_steering_t *steering,
			    const carob_flow_packet_t *packet);

/** Who sends resets that no packet asked for; implementations embed it. */
typedef struct carob_reset_sender carob_reset_sender_t;
struct carob_reset_sender {
	/** Sends one; `flow` has the addresses of the flow, no more. */
	void (*send)(carob_reset_sender_t *sender,
		     const carob_flow_packet_t *flow, uint32_t seq);
};

/**
 * Resets flows whose requests wait for an upstream that has fallen silent, if
 * their callers may repeat the requests; call it after each batch of packets.
 */
void carob_steering_reset_silent(carob_steering_t *steering,
				 carob_reset_sender_t *sender);

/** Forgets a part of the flows that have ended or are idle; call it often. */
void carob_steering_sweep(carob_steering_t *steering);

/** @return how many flows are remembered */
size_t carob_steering_flow_count(const carob_steering_t *steering);

/** @return the counters, borrowed */
const carob_steering_counters_t *
carob_steering_counters(const carob_steering_t *steering);

/** @return the text of a reason, for logs and metrics */
const char *carob_steer_reason_text(carob_steer_reason_t reason);

#endif
