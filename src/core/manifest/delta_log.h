/**
 * @file delta_log.h
 * Bounded log of the manifest deltas that this instance applied last, kept for
 * peers that do not have them yet.
 */
#ifndef CAROB_CORE_DELTA_LOG_H
#define CAROB_CORE_DELTA_LOG_H

#include "carobtrail/manifest_store.h"

/** Largest number of deltas in the log. */
#define CAROB_DELTA_LOG_MAX 16
/** Largest total size of the deltas in the log, in bytes. */
#define CAROB_DELTA_LOG_BYTES_MAX (256 * 1024)

/**
 * Difference between two generations that were in force at this instance one
 * after the other.
 */
typedef struct carob_delta {
	uint64_t from;
	uint64_t to;
	carob_publish_id_t publish_id; /* publish of generation `to` */
	carob_buf_t text;	       /* JSON text of the delta */
} carob_delta_t;

/** Ring buffer of deltas; zero-initialise it. */
typedef struct carob_delta_log {
	carob_delta_t deltas[CAROB_DELTA_LOG_MAX];
	size_t first; /* index of the oldest delta */
	size_t count;
	size_t bytes; /* total size of the texts */
} carob_delta_log_t;

/** Releases all deltas in the log. */
void carob_delta_log_dispose(carob_delta_log_t *log);

/**
 * Adds a delta and removes the oldest ones until the log is within its bounds.
 * A delta that exceeds the size bound by itself is released instead.
 *
 * @param log the log
 * @param delta the delta; the log takes ownership of its text
 */
void carob_delta_log_add(carob_delta_log_t *log, carob_delta_t *delta);

/** @return the delta that starts at generation `from`, borrowed, or NULL */
const carob_delta_t *carob_delta_log_find(const carob_delta_log_t *log,
					  uint64_t from);

#endif
