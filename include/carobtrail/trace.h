/**
 * @file trace.h
 * Tracing: records a span for each hop of a sampled request. The trace context
 * (W3C Trace Context) comes with the request in the Trace option, or is created
 * by the instance that the request reaches first.
 */
#ifndef CAROBTRAIL_TRACE_H
#define CAROBTRAIL_TRACE_H

#include "carobtrail/clock.h"
#include "carobtrail/ids.h"
#include "carobtrail/msg.h"

/** Bit of `carob_trace_context_t.flags`: the trace is recorded. */
#define CAROB_TRACE_SAMPLED 0x01

/** The hop that a span covers. */
typedef enum carob_span_kind {
	CAROB_SPAN_RECEIVE,  /* the request, from arrival to response */
	CAROB_SPAN_RELAY,    /* forwarding to another instance */
	CAROB_SPAN_QUEUE,    /* wait for a free slot */
	CAROB_SPAN_UPSTREAM, /* wait for the response of the upstream */
	CAROB_SPAN_ANSWER,   /* sending of the response to the caller */
} carob_span_kind_t;

/** A finished span. */
typedef struct carob_span {
	carob_span_kind_t kind;
	carob_trace_context_t context; /* its span_id identifies this span */
	uint8_t parent_span_id[8];     /* all zero: no parent */
	uint64_t start_unix_ns;
	uint64_t end_unix_ns;
	uint32_t service_id;
	carob_upstream_id_t upstream; /* id 0: none */
	uint8_t code;		      /* CoAP response code; 0: none */
	carob_verdict_t verdict;
} carob_span_t;

typedef struct carob_trace_sink carob_trace_sink_t;

/** Receiver of finished spans; implementations embed it as first member. */
struct carob_trace_sink {
	/** Receives a finished span, valid during the call only. */
	void (*emit)(carob_trace_sink_t *sink, const carob_span_t *span);
};

/** Creates spans and decides which requests are sampled. */
typedef struct carob_tracer carob_tracer_t;

/** Options of `carob_tracer_new`. */
typedef struct carob_tracer_options {
	unsigned int version;
	const carob_clock_t *clock;
	carob_trace_sink_t *sink;
	uint64_t seed; /* for span ids, trace ids and sampling */
	/** One in this many requests without a context is sampled; 0: none. */
	uint32_t sample_one_in;
} carob_tracer_options_t;

#define CAROB_TRACER_OPTIONS_VERSION 1
#define CAROB_TRACER_OPTIONS_INIT                                              \
	{                                                                      \
		.version = CAROB_TRACER_OPTIONS_VERSION                        \
	}

/** Creates a tracer. @return 0, CAROB_EINVALID or CAROB_ENOMEM */
int carob_tracer_new(carob_tracer_t **out,
		     const carob_tracer_options_t *options);

/** Releases the tracer. */
void carob_tracer_free(carob_tracer_t *tracer);

/**
 * Begins a span.
 *
 * @param out receives the span; pass it to `carob_tracer_end`
 * @param tracer the tracer; if NULL, nothing is recorded
 * @param kind the hop
 * @param parent the context of the parent span, or the one that came with the
 *        request; if NULL, the sampling rate decides
 * @return whether the span is recorded; if not, `out` is zero-filled
 */
bool carob_tracer_begin(carob_span_t *out, carob_tracer_t *tracer,
			carob_span_kind_t kind,
			const carob_trace_context_t *parent);

/** Ends a span and emits it; does nothing if the span is not recorded. */
void carob_tracer_end(carob_tracer_t *tracer, carob_span_t *span);

/**
 * Encodes spans as one OTLP/JSON request (OpenTelemetry protocol 1.x,
 * ExportTraceServiceRequest).
 *
 * @param out buffer to append to
 * @param instance this instance, encoded as resource attributes
 * @param spans the spans
 * @param count number of spans
 * @return 0 or CAROB_ENOMEM
 */
int carob_trace_encode_otlp(carob_buf_t *out, carob_instance_id_t instance,
			    const carob_span_t *spans, size_t count);

#endif
