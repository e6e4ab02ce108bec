/**
 * @file request_trace.h
 * Trace spans of one sampled request: one from its arrival to its response, and
 * its children for the time in the queue, at an upstream and for the response.
 * Nothing is allocated for a request that is not sampled.
 */
#ifndef CAROB_CORE_REQUEST_TRACE_H
#define CAROB_CORE_REQUEST_TRACE_H

#include "carobtrail/trace.h"

/** The open spans of a request. */
typedef struct carob_request_trace {
	carob_tracer_t *tracer;
	carob_span_t receive;	 /* from the arrival to the response */
	carob_span_t child_span; /* current child: queue, upstream or response */
} carob_request_trace_t;

/**
 * Begins the trace of a request, at its arrival.
 *
 * @param tracer the tracer, or NULL to record nothing
 * @param msg the request
 * @param service_id the service that it is for
 * @return the trace, or NULL if the request is not sampled or there is no
 *         memory; end it with `carob_request_trace_answer` and release it with
 *         `carob_request_trace_free`
 */
carob_request_trace_t *carob_request_trace_new(carob_tracer_t *tracer,
					       const carob_msg_t *msg,
					       uint32_t service_id);

/** Releases a trace without emitting the spans that are still open. */
void carob_request_trace_free(carob_request_trace_t *trace);

/** Begins the span of a request's wait for a slot. */
void carob_request_trace_queue(carob_request_trace_t *trace);

/**
 * Begins the span of a request at an upstream. The request is to be sent with
 * the trace context of `child_span` afterwards.
 *
 * @param trace the trace, or NULL
 * @param upstream the upstream to which the request is sent
 */
void carob_request_trace_upstream(carob_request_trace_t *trace,
				  carob_upstream_id_t upstream);

/** Ends and emits all open spans of a request that is answered now. */
void carob_request_trace_answer(carob_request_trace_t *trace,
				const carob_msg_t *answer);

/**
 * Emits a span for a packet that is relayed to another instance, and makes it
 * the parent of the spans recorded there.
 */
void carob_request_trace_relay(carob_tracer_t *tracer, carob_msg_t *msg,
			       uint32_t service_id);

#endif
