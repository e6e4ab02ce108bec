#include "test_runner.h"

#include "carobtrail/trace.h"

#include <jansson.h>
#include <string.h>

typedef struct recording_sink {
	carob_trace_sink_t sink;
	carob_span_t last;
	size_t count;
} recording_sink_t;

static void record(carob_trace_sink_t *sink, const carob_span_t *span)
{
	recording_sink_t *recording = (recording_sink_t *)sink;

	recording->last = *span;
	recording->count++;
}

typedef struct sampling_case {
	bool has_parent;
	uint8_t parent_flags;
	uint32_t one_in;
	bool recorded;
} sampling_case_t;

static const sampling_case_t sampling_cases[] = {
	{true, CAROB_TRACE_SAMPLED, 0, true},
	{true, 0, 1, false},
	{false, 0, 0, false},
	{false, 0, 1, true},
};

static void check_sampling(const sampling_case_t *c)
{
	carob_tracer_options_t options = CAROB_TRACER_OPTIONS_INIT;
	carob_trace_context_t parent = {.flags = c->parent_flags};
	recording_sink_t sink = {.sink = {record}};
	carob_manual_clock_t clock;
	carob_tracer_t *tracer;
	carob_span_t span;

	carob_manual_clock_init(&clock, 5 * CAROB_NS_PER_S);
	memset(parent.trace_id, 7, sizeof(parent.trace_id));
	memset(parent.span_id, 9, sizeof(parent.span_id));
	options.clock = &clock.clock;
	options.sink = &sink.sink;
	options.sample_one_in = c->one_in;
	CU_ASSERT_EQUAL_FATAL(carob_tracer_new(&tracer, &options), 0);
	CU_ASSERT_EQUAL(carob_tracer_begin(&span, tracer, CAROB_SPAN_QUEUE,
					   c->has_parent ? &parent : NULL),
			c->recorded);
	carob_manual_clock_advance(&clock, 1500);
	carob_tracer_end(tracer, &span);
	CU_ASSERT_EQUAL(sink.count, c->recorded ? 1 : 0);
	if (c->recorded)
		CU_ASSERT_EQUAL(sink.last.end_unix_ns - sink.last.start_unix_ns,
				1500);
	if (c->recorded && c->has_parent) {
		CU_ASSERT_EQUAL(sink.last.parent_span_id[0], 9);
		CU_ASSERT_EQUAL(sink.last.context.trace_id[0], 7);
	}
	carob_tracer_free(tracer);
}

static void test_sampling(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sampling_cases); i++)
		check_sampling(&sampling_cases[i]);
}

static void test_no_tracer(void)
{
	carob_span_t span;

	CU_ASSERT_FALSE(
		carob_tracer_begin(&span, NULL, CAROB_SPAN_RECEIVE, NULL));
	carob_tracer_end(NULL, &span);
}

static void test_otlp(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t buf = CAROB_BUF_INIT;
	carob_span_t span = {
		.kind = CAROB_SPAN_UPSTREAM,
		.context = {.trace_id = {0xab}, .span_id = {0x01}},
		.start_unix_ns = 18446744073709551615ULL,
		.service_id = 4,
		.code = CAROB_CODE_SERVICE_UNAVAILABLE,
	};
	const char *trace_id = NULL;
	const char *start = NULL;
	const char *parent = NULL;
	json_t *json;

	CU_ASSERT_EQUAL_FATAL(
		carob_trace_encode_otlp(&buf, (carob_instance_id_t){3, 4},
					&span, 1),
		0);
	json = json_loads(buf.ptr, 0, NULL);
	CU_ASSERT_EQUAL(json_unpack(json, "{s:[{s:[{s:[{s:s, s:s, s?s}]}]}]}",
				    "resourceSpans", "scopeSpans", "spans",
				    "traceId", &trace_id, "startTimeUnixNano",
				    &start, "parentSpanId", &parent),
			0);
	CU_ASSERT_STRING_EQUAL(trace_id, "ab000000000000000000000000000000");
	CU_ASSERT_STRING_EQUAL(start, "18446744073709551615");
	CU_ASSERT_PTR_NULL(parent);
	json_decref(json);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"sampling by parent context or by rate", test_sampling},
		{"nothing is recorded without a tracer", test_no_tracer},
		{"encoding of spans as OTLP/JSON", test_otlp},
	};

	return run_tests("trace", cases, CAROB_ARRAY_SIZE(cases));
}
