/**
 * @file traces.h
 * Kernel service that records spans and sends them to the trace collector.
 */
#ifndef CAROB_ENTRYD_TRACES_H
#define CAROB_ENTRYD_TRACES_H

#include "carobtrail/trace.h"
#include "carobtrail/kernel.h"
#include "settings.h"

#define ENTRYD_TRACES "traces"

struct event_base;

/**
 * Creates and registers the service; "core" must be registered.
 *
 * @return 0 or a negative code
 */
int entryd_traces_register(carob_kernel_t *kernel, struct event_base *base,
			   const entryd_settings_t *settings);

/** @return the tracer, borrowed from the service */
carob_tracer_t *entryd_traces_tracer(const carob_kernel_t *kernel);

#endif
