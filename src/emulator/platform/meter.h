/**
 * @file meter.h
 * Counts calls and compares their rate with the service's limit.
 */
#ifndef CAROB_PLATFORM_METER_H
#define CAROB_PLATFORM_METER_H

#include "carobtrail/kernel.h"
#include "carobtrail/str.h"

/** Counts of one kind of call. */
typedef struct meter {
	uint64_t limit_per_s;
	uint64_t total;
	uint64_t second;	      /* second that `current` counts in */
	uint64_t current;	      /* calls in that second */
	uint64_t peak;		      /* most calls in one second */
	uint64_t seconds_above_limit; /* number of seconds above the limit */
} meter_t;

/** Counts one call at a monotonic time. */
void meter_count(meter_t *meter, uint64_t now_ns);

/** Appends a comma and the counts as member `name` of a JSON object. */
int meter_format(carob_buf_t *out, const char *name, const meter_t *meter);

#endif
