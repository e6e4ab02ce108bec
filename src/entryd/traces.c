#include "traces.h"

#include "carobtrail/errors.h"
#include "core.h"
#include "net/trace_export.h"

#include <sodium.h>
#include <stdlib.h>

typedef struct entryd_traces {
	carob_service_t service;
	carob_trace_export_t *exporter;
	carob_tracer_t *tracer;
} entryd_traces_t;

static void traces_free(carob_service_t *service)
{
	entryd_traces_t *self = (entryd_traces_t *)service;

	carob_tracer_free(self->tracer);
	carob_trace_export_free(self->exporter);
	free(self);
}

static const carob_service_ops_t traces_ops = {
	.name = ENTRYD_TRACES,
	.free = traces_free,
};

static int new_exporter(entryd_traces_t *self, carob_kernel_t *kernel,
			struct event_base *base,
			const entryd_settings_t *settings)
{
	carob_trace_export_options_t options = CAROB_TRACE_EXPORT_OPTIONS_INIT;

	options.kernel = kernel;
	options.base = base;
	options.collector = settings->collector;
	options.instance =
		carob_membership_self(entryd_core_find(kernel)->membership)->id;
	return carob_trace_export_new(&self->exporter, &options);
}

static int new_tracer(entryd_traces_t *self, carob_kernel_t *kernel,
		      const entryd_settings_t *settings)
{
	carob_tracer_options_t options = CAROB_TRACER_OPTIONS_INIT;

	options.clock = carob_kernel_clock(kernel);
	options.sink = carob_trace_export_sink(self->exporter);
	options.sample_one_in = settings->trace_one_in;
	randombytes_buf(&options.seed, sizeof(options.seed));
	return carob_tracer_new(&self->tracer, &options);
}

int entryd_traces_register(carob_kernel_t *kernel, struct event_base *base,
			   const entryd_settings_t *settings)
{
	entryd_traces_t *self = calloc(1, sizeof(*self));
	int error;

	if (!self)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the trace service");
	self->service.ops = &traces_ops;
	error = new_exporter(self, kernel, base, settings);
	if (!error)
		error = new_tracer(self, kernel, settings);
	if (!error)
		error = carob_kernel_register(kernel, &self->service);
	if (error)
		traces_free(&self->service);
	return error;
}

carob_tracer_t *entryd_traces_tracer(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_TRACES);
	return ((entryd_traces_t *)service)->tracer;
}
