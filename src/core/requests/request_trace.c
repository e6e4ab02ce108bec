#include "core/requests/request_trace.h"

#include <stdlib.h>

carob_request_trace_t *carob_request_trace_new(carob_tracer_t *tracer,
					       const carob_msg_t *msg,
					       uint32_t service_id)
{
	carob_request_trace_t *trace;
	carob_span_t receive;

	if (!carob_tracer_begin(&receive, tracer, CAROB_SPAN_RECEIVE,
				msg->has_trace ? &msg->trace : NULL))
		return NULL;
	trace = calloc(1, sizeof(*trace));
	if (!trace)
		return NULL;
	trace->tracer = tracer;
	trace->receive = receive;
	trace->receive.service_id = service_id;
	return trace;
}

void carob_request_trace_free(carob_request_trace_t *trace)
{
	free(trace);
}

static void begin_child_span(carob_request_trace_t *trace,
			     carob_span_kind_t kind)
{
	carob_tracer_end(trace->tracer, &trace->child_span);
	carob_tracer_begin(&trace->child_span, trace->tracer, kind,
			   &trace->receive.context);
	trace->child_span.service_id = trace->receive.service_id;
}

void carob_request_trace_queue(carob_request_trace_t *trace)
{
	if (trace)
		begin_child_span(trace, CAROB_SPAN_QUEUE);
}

void carob_request_trace_upstream(carob_request_trace_t *trace,
				  carob_upstream_id_t upstream)
{
	if (!trace)
		return;
	begin_child_span(trace, CAROB_SPAN_UPSTREAM);
	trace->child_span.upstream = upstream;
	trace->receive.upstream = upstream;
}

void carob_request_trace_answer(carob_request_trace_t *trace,
				const carob_msg_t *answer)
{
	if (!trace)
		return;
	trace->child_span.code = answer->code;
	begin_child_span(trace, CAROB_SPAN_ANSWER);
	trace->child_span.code = answer->code;
	trace->child_span.verdict = answer->verdict;
	carob_tracer_end(trace->tracer, &trace->child_span);
	trace->receive.code = answer->code;
	trace->receive.verdict = answer->verdict;
	carob_tracer_end(trace->tracer, &trace->receive);
}

void carob_request_trace_relay(carob_tracer_t *tracer, carob_msg_t *msg,
			       uint32_t service_id)
{
	carob_span_t span;

	if (!carob_tracer_begin(&span, tracer, CAROB_SPAN_RELAY,
				msg->has_trace ? &msg->trace : NULL))
		return;
	span.service_id = service_id;
	msg->has_trace = true;
	msg->trace = span.context;
	carob_tracer_end(tracer, &span);
}
