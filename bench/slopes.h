/**
 * @file slopes.h
 * Groups of measurements of bench-slopes. Each group prints its series.
 */
#ifndef CAROBTRAIL_BENCH_SLOPES_H
#define CAROBTRAIL_BENCH_SLOPES_H

#include "carobtrail/manifest.h"

/** Upstreams of a service; planned are 110,000 hosts and 35,000 services. */
#define BENCH_UPSTREAMS_PER_SERVICE 3

/**
 * Creates a manifest with about `upstreams` upstreams; aborts on failure.
 *
 * @param upstreams number of upstreams, rounded down to whole services
 * @param change manifests with different values differ in one upstream
 * @return the manifest; release it with `carob_manifest_free`
 */
carob_manifest_t *bench_manifest(size_t upstreams, unsigned int change);

/** Appends the JSON document of `bench_manifest` to `text`. */
void bench_manifest_text(carob_buf_t *text, size_t upstreams,
			 unsigned int change);

/** Measures parsing, memory, deltas and the store calls of publishing. */
void bench_manifest_series(void);

/** Measures store calls, bytes and time until all instances have a change. */
void bench_propagation_series(void);

/** Measures memory and time of the scheduler. */
void bench_scheduler_series(void);

/** Measures memory and time of requests and feeds. */
void bench_entry_series(void);

#endif
