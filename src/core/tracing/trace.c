#include "carobtrail/trace.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

struct carob_tracer {
	const carob_clock_t *clock;
	carob_trace_sink_t *sink;
	carob_rng_t rng;
	uint32_t sample_one_in;
	uint64_t unix_minus_monotonic_ns; /* offset between the clocks */
};

int carob_tracer_new(carob_tracer_t **out,
		     const carob_tracer_options_t *options)
{
	carob_tracer_t *tracer;

	if (options->version != CAROB_TRACER_OPTIONS_VERSION ||
	    !options->clock || !options->sink)
		return carob_error_set(
			CAROB_EINVALID,
			"invalid options of the tracer: "
			"unsupported version, or no clock or sink");
	tracer = calloc(1, sizeof(*tracer));
	if (!tracer)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the tracer");
	tracer->clock = options->clock;
	tracer->sink = options->sink;
	tracer->sample_one_in = options->sample_one_in;
	carob_rng_init(&tracer->rng, options->seed);
	tracer->unix_minus_monotonic_ns =
		carob_clock_wall_ms(options->clock) * CAROB_NS_PER_MS -
		carob_clock_now_ns(options->clock);
	*out = tracer;
	return 0;
}

void carob_tracer_free(carob_tracer_t *tracer)
{
	free(tracer);
}

static void fill_random(carob_rng_t *rng, uint8_t *out, size_t len)
{
	for (size_t i = 0; i < len; i++)
		out[i] = (uint8_t)carob_rng_u32(rng);
}

static bool sample_new_trace(carob_tracer_t *tracer)
{
	return tracer->sample_one_in != 0 &&
	       carob_rng_below(&tracer->rng, tracer->sample_one_in) == 0;
}

static uint64_t unix_ns(const carob_tracer_t *tracer)
{
	return carob_clock_now_ns(tracer->clock) +
	       tracer->unix_minus_monotonic_ns;
}

bool carob_tracer_begin(carob_span_t *out, carob_tracer_t *tracer,
			carob_span_kind_t kind,
			const carob_trace_context_t *parent)
{
	memset(out, 0, sizeof(*out));
	if (!tracer)
		return false;
	if (parent && !(parent->flags & CAROB_TRACE_SAMPLED))
		return false;
	if (!parent && !sample_new_trace(tracer))
		return false;
	out->kind = kind;
	if (parent) {
		out->context = *parent;
		memcpy(out->parent_span_id, parent->span_id,
		       sizeof(out->parent_span_id));
	} else {
		fill_random(&tracer->rng, out->context.trace_id,
			    sizeof(out->context.trace_id));
	}
	out->context.flags |= CAROB_TRACE_SAMPLED;
	fill_random(&tracer->rng, out->context.span_id,
		    sizeof(out->context.span_id));
	out->start_unix_ns = unix_ns(tracer);
	return true;
}

void carob_tracer_end(carob_tracer_t *tracer, carob_span_t *span)
{
	if (!tracer || !(span->context.flags & CAROB_TRACE_SAMPLED))
		return;
	span->end_unix_ns = unix_ns(tracer);
	tracer->sink->emit(tracer->sink, span);
}
