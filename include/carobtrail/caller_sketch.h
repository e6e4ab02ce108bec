/**
 * @file caller_sketch.h
 * Counts flows by caller address in bounded memory: a count-min sketch
 * (Cormode and Muthukrishnan 2005) with conservative update, whose counts are
 * halved in regular intervals. Estimates are never too low, and too high only
 * if many callers share the counters; `carob_caller_sketch_noise` says by how
 * much on average.
 */
#ifndef CAROBTRAIL_CALLER_SKETCH_H
#define CAROBTRAIL_CALLER_SKETCH_H

#include "carobtrail/common.h"

/** Rows of counters; an estimate is the least counter of all rows. */
#define CAROB_CALLER_SKETCH_ROWS 4
/** Counters per row, a power of two of at most 2^16. */
#define CAROB_CALLER_SKETCH_COLUMNS 4096

/** A sketch of 32 KB; initialise it with `carob_caller_sketch_init`. */
typedef struct carob_caller_sketch {
	uint16_t counters[CAROB_CALLER_SKETCH_ROWS][CAROB_CALLER_SKETCH_COLUMNS];
	uint64_t seed;
	uint64_t half_life_ns;
	uint64_t halved_ns; /* time of the last halving */
	double sum;	    /* of all counts, in flows */
} carob_caller_sketch_t;

/**
 * Initialises an empty sketch.
 *
 * @param sketch the sketch
 * @param seed distinguishes instances, so that callers who share counters at
 *        one of them do not at the others
 * @param half_life_ns time after which a count has halved, in nanoseconds; a
 *        single flow is forgotten after five times as long
 * @param now_ns monotonic time
 */
void carob_caller_sketch_init(carob_caller_sketch_t *sketch, uint64_t seed,
			      uint64_t half_life_ns, uint64_t now_ns);

/** Counts one flow of a caller. */
void carob_caller_sketch_add(carob_caller_sketch_t *sketch, uint32_t caller_ip,
			     uint64_t now_ns);

/** @return the estimated count of a caller, in flows */
double carob_caller_sketch_count(carob_caller_sketch_t *sketch,
				 uint32_t caller_ip, uint64_t now_ns);

/** @return the mean of a counter, in flows: what others add to an estimate */
double carob_caller_sketch_noise(const carob_caller_sketch_t *sketch);

#endif
