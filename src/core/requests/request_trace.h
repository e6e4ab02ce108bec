/**
 * @file request_trace.h
 * The spans of one sampled request: received, queued, at the upstream, and
 * answered. A request that is not sampled has none and costs nothing.
 */
#ifndef CAROB_CORE_REQUEST_TRACE_H
#define CAROB_CORE_REQUEST_TRACE_H

#include "carobtrail/trace.h"

/** The open spans of a request. */
typedef struct carob_request_trace {
	carob_tracer_t *tracer;
	carob_span_t receive;
	carob_span_t hop; /* queue or upstream, one after the other */
} carob_request_trace_t;

/**
 * Begins the spans of a request.
 *
 * @param tracer the tracer; NULL records nothing
 * @param msg the request
 * @param service_id its service
 * @return the spans, or NULL if the request is not sampled; end them with
 *         `carob_request_trace_answer`
 */
carob_request_trace_t *carob_request_trace_new(carob_tracer_t *tracer,
					       const carob_msg_t *msg,
					       uint32_t service_id);

/** Releases the spans without ending them. */
void carob_request_trace_free(carob_request_trace_t *trace);

/** The request waits for a slot from now on. */
void carob_request_trace_queue(carob_request_trace_t *trace);

/**
 * The request goes to an upstream now.
 *
 * @param trace the spans; NULL for none. The context of `hop` is to be sent
 *        along afterwards
 * @param upstream where it goes
 */
void carob_request_trace_upstream(carob_request_trace_t *trace,
				  carob_upstream_id_t upstream);

/** The request is answered now: ends and emits all its spans. */
void carob_request_trace_answer(carob_request_trace_t *trace,
				const carob_msg_t *answer);

/** Emits one span for a packet that is passed on. */
void carob_request_trace_relay(carob_tracer_t *tracer, carob_msg_t *msg,
			       uint32_t service_id);

#endif
