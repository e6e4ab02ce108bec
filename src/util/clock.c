#include "carobtrail/clock.h"

#include <time.h>

static uint64_t read_clock_ns(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * CAROB_NS_PER_S + (uint64_t)ts.tv_nsec;
}

static uint64_t system_now_ns(const carob_clock_t *clock)
{
	(void)clock;
	return read_clock_ns(CLOCK_MONOTONIC);
}

static uint64_t system_wall_ms(const carob_clock_t *clock)
{
	(void)clock;
	return read_clock_ns(CLOCK_REALTIME) / CAROB_NS_PER_MS;
}

static const carob_clock_ops_t system_ops = {
	.now_ns = system_now_ns,
	.wall_ms = system_wall_ms,
};

static const carob_clock_t system_clock = {&system_ops};

const carob_clock_t *carob_clock_system(void)
{
	return &system_clock;
}

static uint64_t manual_now_ns(const carob_clock_t *clock)
{
	return ((const carob_manual_clock_t *)clock)->now_ns;
}

static uint64_t manual_wall_ms(const carob_clock_t *clock)
{
	const carob_manual_clock_t *manual = (const void *)clock;

	return manual->wall_offset_ms + manual->now_ns / CAROB_NS_PER_MS;
}

static const carob_clock_ops_t manual_ops = {
	.now_ns = manual_now_ns,
	.wall_ms = manual_wall_ms,
};

void carob_manual_clock_init(carob_manual_clock_t *clock, uint64_t now_ns)
{
	*clock = (carob_manual_clock_t){
		.clock = {&manual_ops},
		.now_ns = now_ns,
	};
}

void carob_manual_clock_advance(carob_manual_clock_t *clock, uint64_t ns)
{
	clock->now_ns += ns;
}

uint64_t carob_clock_now_ns(const carob_clock_t *clock)
{
	return clock->ops->now_ns(clock);
}

uint64_t carob_clock_wall_ms(const carob_clock_t *clock)
{
	return clock->ops->wall_ms(clock);
}
