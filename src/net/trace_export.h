/**
 * @file trace_export.h
 * Sends finished spans to a collector over OTLP/HTTP, or writes them to
 * standard error, one OTLP object per line. The buffer is bounded: spans that
 * do not fit are dropped and counted. A collector that does not respond never
 * blocks the program.
 */
#ifndef CAROB_NET_TRACE_EXPORT_H
#define CAROB_NET_TRACE_EXPORT_H

#include "carobtrail/kernel.h"
#include "carobtrail/trace.h"

struct event_base;

typedef struct carob_trace_export carob_trace_export_t;

/** Options of `carob_trace_export_new`. */
typedef struct carob_trace_export_options {
	unsigned int version;
	carob_kernel_t *kernel;
	struct event_base *base;
	carob_addr_t collector; /* family 0: standard error */
	carob_instance_id_t instance;
} carob_trace_export_options_t;

#define CAROB_TRACE_EXPORT_OPTIONS_VERSION 1
#define CAROB_TRACE_EXPORT_OPTIONS_INIT                                        \
	{                                                                      \
		.version = CAROB_TRACE_EXPORT_OPTIONS_VERSION                  \
	}

/**
 * Creates an exporter.
 *
 * @param out receives it; release it with `carob_trace_export_free`
 * @param options kernel, event loop and destination
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_trace_export_new(carob_trace_export_t **out,
			   const carob_trace_export_options_t *options);

/** Releases the exporter; spans not yet sent are lost. */
void carob_trace_export_free(carob_trace_export_t *exporter);

/** @return the sink to give to a tracer, borrowed from the exporter */
carob_trace_sink_t *carob_trace_export_sink(carob_trace_export_t *exporter);

/** @return how many spans were dropped so far */
uint64_t carob_trace_export_dropped(const carob_trace_export_t *exporter);

#endif
