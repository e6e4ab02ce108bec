#include "test_runner.h"

#include "core/requests/request_trace.h"

#include <string.h>

#define SPANS_MAX 8

typedef struct recording_sink {
	carob_trace_sink_t sink;
	carob_span_t spans[SPANS_MAX];
	size_t count;
} recording_sink_t;

static void record(carob_trace_sink_t *sink, const carob_span_t *span)
{
	recording_sink_t *recording = (recording_sink_t *)sink;

	if (recording->count < SPANS_MAX)
		recording->spans[recording->count++] = *span;
}

static carob_tracer_t *new_tracer(recording_sink_t *sink,
				  const carob_clock_t *clock)
{
	carob_tracer_options_t options = CAROB_TRACER_OPTIONS_INIT;
	carob_tracer_t *tracer;

	sink->sink.emit = record;
	options.clock = clock;
	options.sink = &sink->sink;
	CU_ASSERT_EQUAL_FATAL(carob_tracer_new(&tracer, &options), 0);
	return tracer;
}

static carob_msg_t sampled_request(void)
{
	carob_msg_t msg = {.code = CAROB_CODE_GET, .has_trace = true};

	memset(msg.trace.trace_id, 7, sizeof(msg.trace.trace_id));
	memset(msg.trace.span_id, 9, sizeof(msg.trace.span_id));
	msg.trace.flags = CAROB_TRACE_SAMPLED;
	return msg;
}

/*
 * The spans of queue, upstream and response are children of the request's span,
 * which is a child of the caller's span.
 */
static void test_child_spans(void)
{
	static const carob_span_kind_t expected[] = {CAROB_SPAN_QUEUE,
						     CAROB_SPAN_UPSTREAM,
						     CAROB_SPAN_ANSWER,
						     CAROB_SPAN_RECEIVE};
	recording_sink_t sink = {0};
	carob_manual_clock_t clock;
	carob_msg_t request = sampled_request();
	carob_msg_t answer = {.code = CAROB_CODE_CONTENT};
	carob_request_trace_t *trace;
	carob_tracer_t *tracer;
	const carob_span_t *root;

	carob_manual_clock_init(&clock, 0);
	tracer = new_tracer(&sink, &clock.clock);
	trace = carob_request_trace_new(tracer, &request, 4);
	CU_ASSERT_PTR_NOT_NULL_FATAL(trace);
	carob_request_trace_queue(trace);
	carob_manual_clock_advance(&clock, 10);
	carob_request_trace_upstream(trace, (carob_upstream_id_t){101, 1});
	carob_manual_clock_advance(&clock, 20);
	carob_request_trace_answer(trace, &answer);
	carob_request_trace_free(trace);
	CU_ASSERT_EQUAL_FATAL(sink.count, CAROB_ARRAY_SIZE(expected));
	root = &sink.spans[3];
	CU_ASSERT_EQUAL(root->parent_span_id[0], 9);
	CU_ASSERT_EQUAL(root->code, CAROB_CODE_CONTENT);
	CU_ASSERT_EQUAL(root->end_unix_ns - root->start_unix_ns, 30);
	for (size_t i = 0; i < sink.count; i++) {
		const carob_span_t *span = &sink.spans[i];

		CU_ASSERT_EQUAL(span->kind, expected[i]);
		CU_ASSERT_EQUAL(span->context.trace_id[0], 7);
		CU_ASSERT_EQUAL(span->service_id, 4);
		if (span != root)
			CU_ASSERT_EQUAL(memcmp(span->parent_span_id,
					       root->context.span_id, 8),
					0);
	}
	CU_ASSERT_EQUAL(sink.spans[1].upstream.id, 101);
	CU_ASSERT_EQUAL(sink.spans[1].end_unix_ns - sink.spans[1].start_unix_ns,
			20);
	carob_tracer_free(tracer);
}

static void test_relay_span_is_parent(void)
{
	recording_sink_t sink = {0};
	carob_manual_clock_t clock;
	carob_msg_t msg = sampled_request();
	carob_tracer_t *tracer;

	carob_manual_clock_init(&clock, 0);
	tracer = new_tracer(&sink, &clock.clock);
	carob_request_trace_relay(tracer, &msg, 4);
	CU_ASSERT_EQUAL_FATAL(sink.count, 1);
	CU_ASSERT_EQUAL(sink.spans[0].kind, CAROB_SPAN_RELAY);
	CU_ASSERT_EQUAL(memcmp(msg.trace.span_id, sink.spans[0].context.span_id,
			       sizeof(msg.trace.span_id)),
			0);
	carob_tracer_free(tracer);
}

static void test_unsampled_request_has_no_spans(void)
{
	recording_sink_t sink = {0};
	carob_manual_clock_t clock;
	carob_msg_t msg = sampled_request();
	carob_tracer_t *tracer;

	carob_manual_clock_init(&clock, 0);
	tracer = new_tracer(&sink, &clock.clock);
	msg.trace.flags = 0;
	CU_ASSERT_PTR_NULL(carob_request_trace_new(tracer, &msg, 4));
	CU_ASSERT_PTR_NULL(carob_request_trace_new(NULL, &msg, 4));
	carob_request_trace_queue(NULL);
	carob_request_trace_upstream(NULL, (carob_upstream_id_t){1, 1});
	carob_request_trace_answer(NULL, &msg);
	carob_request_trace_relay(tracer, &msg, 4);
	CU_ASSERT_EQUAL(sink.count, 0);
	carob_tracer_free(tracer);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"queue, upstream and response each have a span",
		 test_child_spans},
		{"a relayed message carries the span of the relay",
		 test_relay_span_is_parent},
		{"a request that is not sampled has no spans",
		 test_unsampled_request_has_no_spans},
	};

	return run_tests("request trace", cases, CAROB_ARRAY_SIZE(cases));
}
