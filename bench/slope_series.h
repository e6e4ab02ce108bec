/**
 * @file slope_series.h
 * Series of measured points, which are printed as JSON with a fitted straight
 * line.
 */
#ifndef CAROBTRAIL_BENCH_SLOPE_SERIES_H
#define CAROBTRAIL_BENCH_SLOPE_SERIES_H

#include "carobtrail/common.h"

#define SERIES_POINTS_MAX 16

/** Measurements of a cost against a size. */
typedef struct series {
	const char *name;
	const char *x;	  /* name of the size */
	const char *unit; /* unit of the cost */
	size_t count;
	double xs[SERIES_POINTS_MAX];
	double ys[SERIES_POINTS_MAX];
} series_t;

/** Adds a point; ignored if the series is full. */
void series_add(series_t *series, double x, double y);

/**
 * Prints a series with the slope, intercept and r squared of its least-squares
 * fit, and a comma before every series but the first.
 */
void series_print(const series_t *series);

/** @return processor time of this process in nanoseconds */
uint64_t bench_cpu_ns(void);

/** @return bytes that are allocated from the heap now */
size_t bench_heap_bytes(void);

#endif
