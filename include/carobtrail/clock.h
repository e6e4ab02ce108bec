/**
 * @file clock.h
 * Clock interface of the runtime. Code that depends on time reads it only
 * through this interface, so that tests can use a manual clock.
 */
#ifndef CAROBTRAIL_CLOCK_H
#define CAROBTRAIL_CLOCK_H

#include "carobtrail/common.h"

typedef struct carob_clock carob_clock_t;

/** Operations of a clock. */
typedef struct carob_clock_ops {
	/** @return monotonic time in nanoseconds */
	uint64_t (*now_ns)(const carob_clock_t *clock);
	/** @return wall-clock time in milliseconds since 1970 UTC */
	uint64_t (*wall_ms)(const carob_clock_t *clock);
} carob_clock_ops_t;

/** A clock; implementations embed it as their first member. */
struct carob_clock {
	const carob_clock_ops_t *ops;
};

/** A clock for tests; its time only changes when a test advances it. */
typedef struct carob_manual_clock {
	carob_clock_t clock;
	uint64_t now_ns;
	uint64_t wall_offset_ms;
} carob_manual_clock_t;

/** @return the operating system's clock; static storage */
const carob_clock_t *carob_clock_system(void);

/** Initialises a manual clock whose monotonic time is `now_ns`. */
void carob_manual_clock_init(carob_manual_clock_t *clock, uint64_t now_ns);

/** Moves a manual clock forward by `ns` nanoseconds. */
void carob_manual_clock_advance(carob_manual_clock_t *clock, uint64_t ns);

/** @return monotonic time in nanoseconds */
uint64_t carob_clock_now_ns(const carob_clock_t *clock);

/** @return wall-clock time in milliseconds since 1970 UTC */
uint64_t carob_clock_wall_ms(const carob_clock_t *clock);

#endif
