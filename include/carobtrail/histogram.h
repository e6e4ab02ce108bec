/**
 * @file histogram.h
 * A histogram of durations with logarithmic buckets, each split linearly. The
 * relative error of a quantile is at most 1/16.
 */
#ifndef CAROBTRAIL_HISTOGRAM_H
#define CAROBTRAIL_HISTOGRAM_H

#include "carobtrail/common.h"

#define CAROB_HISTOGRAM_SUB_BITS 4
#define CAROB_HISTOGRAM_BUCKETS                                                \
	((64 - CAROB_HISTOGRAM_SUB_BITS + 1) << CAROB_HISTOGRAM_SUB_BITS)

/** Number of recorded values per bucket; zero-initialise it. */
typedef struct carob_histogram {
	uint64_t count;
	uint64_t max;
	uint32_t buckets[CAROB_HISTOGRAM_BUCKETS];
} carob_histogram_t;

/** Records one value. */
void carob_histogram_record(carob_histogram_t *histogram, uint64_t value);

/**
 * @param histogram the histogram
 * @param q quantile in [0, 1]
 * @return the upper bound of the bucket that contains the quantile, at most
 *         the largest recorded value; 0 if the histogram is empty
 */
uint64_t carob_histogram_quantile(const carob_histogram_t *histogram, double q);

/** Adds all counts of `from` to `into`. */
void carob_histogram_merge(carob_histogram_t *into,
			   const carob_histogram_t *from);

#endif
