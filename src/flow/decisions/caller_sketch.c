#include "carobtrail/caller_sketch.h"

#include "carobtrail/rng.h"

#include <string.h>

/* Counters are in fractions of a flow, so that halving keeps a single flow for
 * some intervals. */
#define UNITS_PER_FLOW 16
/* After so many halvings, all counters are zero. */
#define HALVINGS_MAX 16

typedef struct cell_set {
	uint16_t *cells[CAROB_CALLER_SKETCH_ROWS];
	uint16_t least;
} cell_set_t;

static void halve(carob_caller_sketch_t *sketch, unsigned int times)
{
	for (size_t row = 0; row < CAROB_CALLER_SKETCH_ROWS; row++)
		for (size_t i = 0; i < CAROB_CALLER_SKETCH_COLUMNS; i++)
			sketch->counters[row][i] >>= times;
	sketch->sum /= (double)(1U << times);
}

static void decay(carob_caller_sketch_t *sketch, uint64_t now_ns)
{
	uint64_t intervals;

	if (now_ns < sketch->halved_ns + sketch->half_life_ns)
		return;
	intervals = (now_ns - sketch->halved_ns) / sketch->half_life_ns;
	sketch->halved_ns += intervals * sketch->half_life_ns;
	halve(sketch, intervals < HALVINGS_MAX ? (unsigned int)intervals
					       : HALVINGS_MAX);
}

static cell_set_t cells_of(carob_caller_sketch_t *sketch, uint32_t caller_ip)
{
	uint64_t hash = carob_hash_u64(sketch->seed ^ caller_ip);
	cell_set_t set = {.least = UINT16_MAX};

	for (size_t row = 0; row < CAROB_CALLER_SKETCH_ROWS; row++) {
		size_t column =
			(hash >> (16 * row)) % CAROB_CALLER_SKETCH_COLUMNS;

		set.cells[row] = &sketch->counters[row][column];
		if (*set.cells[row] < set.least)
			set.least = *set.cells[row];
	}
	return set;
}

void carob_caller_sketch_init(carob_caller_sketch_t *sketch, uint64_t seed,
			      uint64_t half_life_ns, uint64_t now_ns)
{
	memset(sketch, 0, sizeof(*sketch));
	sketch->seed = carob_hash_u64(seed);
	sketch->half_life_ns = half_life_ns;
	sketch->halved_ns = now_ns;
}

void carob_caller_sketch_add(carob_caller_sketch_t *sketch, uint32_t caller_ip,
			     uint64_t now_ns)
{
	cell_set_t set;
	uint16_t count;

	decay(sketch, now_ns);
	set = cells_of(sketch, caller_ip);
	if (set.least > UINT16_MAX - UNITS_PER_FLOW)
		return;
	count = (uint16_t)(set.least + UNITS_PER_FLOW);
	for (size_t row = 0; row < CAROB_CALLER_SKETCH_ROWS; row++)
		if (*set.cells[row] < count)
			*set.cells[row] = count;
	sketch->sum++;
}

double carob_caller_sketch_count(carob_caller_sketch_t *sketch,
				 uint32_t caller_ip, uint64_t now_ns)
{
	decay(sketch, now_ns);
	return (double)cells_of(sketch, caller_ip).least / UNITS_PER_FLOW;
}

double carob_caller_sketch_noise(const carob_caller_sketch_t *sketch)
{
	return sketch->sum / CAROB_CALLER_SKETCH_COLUMNS;
}
