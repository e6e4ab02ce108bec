/**
 * @file delta_log.h
 * The last deltas that this instance applied, for peers who lack them.
 */
#ifndef CAROB_CORE_DELTA_LOG_H
#define CAROB_CORE_DELTA_LOG_H

#include "carobtrail/manifest_store.h"

/** Deltas that are kept. */
#define CAROB_DELTA_LOG_MAX 16
/** Bytes that they may have together. */
#define CAROB_DELTA_LOG_BYTES_MAX (256 * 1024)

/** One delta between two generations that followed each other here. */
typedef struct carob_delta {
	uint64_t from;
	uint64_t to;
	carob_publish_id_t publish_id; /* of `to` */
	carob_buf_t text;
} carob_delta_t;

/** The log; zero-initialise it. */
typedef struct carob_delta_log {
	carob_delta_t deltas[CAROB_DELTA_LOG_MAX];
	size_t first; /* oldest */
	size_t count;
	size_t bytes;
} carob_delta_log_t;

/** Releases all deltas. */
void carob_delta_log_dispose(carob_delta_log_t *log);

/**
 * Adds a delta and drops the oldest ones beyond the bounds. One that is too
 * large by itself is not kept.
 *
 * @param log the log
 * @param delta whose text the log takes over
 */
void carob_delta_log_add(carob_delta_log_t *log, carob_delta_t *delta);

/** @return the delta from a generation, borrowed, or NULL */
const carob_delta_t *carob_delta_log_find(const carob_delta_log_t *log,
					  uint64_t from);

#endif
