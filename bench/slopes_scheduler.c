#include "slopes.h"

#include "carobtrail/membership.h"
#include "carobtrail/scheduler.h"
#include "slope_series.h"

#include <stdlib.h>

#define FLOWS 20000

static const size_t upstream_sizes[] = {300, 900, 1800, 3600, 6000};
static const size_t member_sizes[] = {5, 50, 200, 800, 2000};

/* A scheduler with its dependencies. */
typedef struct bed {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *scheduler;
} bed_t;

static carob_member_t member_of(size_t i)
{
	carob_member_t member = {.id = {(uint32_t)i + 1, 1}, .revision = 1};

	member.zone.name[0] = 'z';
	member.zone.name[1] = (char)('0' + i % 9);
	member.state = CAROB_MEMBER_ALIVE;
	return member;
}

static void bed_init(bed_t *bed, size_t members)
{
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_scheduler_options_t options = CAROB_SCHEDULER_OPTIONS_INIT;

	carob_manual_clock_init(&bed->clock, CAROB_NS_PER_S);
	membership.self = member_of(0);
	if (carob_kernel_new(&bed->kernel, &bed->clock.clock) != 0 ||
	    carob_membership_new(&bed->membership, &membership) != 0)
		abort();
	for (size_t i = 1; i < members; i++) {
		carob_member_t member = member_of(i);

		(void)carob_membership_learn(bed->membership, &member, NULL);
	}
	options.kernel = bed->kernel;
	options.membership = bed->membership;
	options.seed = 1;
	if (carob_scheduler_new(&bed->scheduler, &options) != 0)
		abort();
}

static void bed_dispose(bed_t *bed)
{
	carob_scheduler_free(bed->scheduler);
	carob_membership_free(bed->membership);
	carob_kernel_free(bed->kernel);
}

static void measure_manifest(series_t *memory, series_t *time, size_t upstreams)
{
	carob_manifest_t *manifest = bench_manifest(upstreams, 0);
	size_t heap;
	uint64_t began;
	bed_t bed;

	bed_init(&bed, 17);
	heap = bench_heap_bytes();
	began = bench_cpu_ns();
	if (carob_scheduler_set_manifest(bed.scheduler, manifest) != 0)
		abort();
	series_add(time, (double)upstreams,
		   (double)(bench_cpu_ns() - began) / 1e3);
	series_add(memory, (double)upstreams,
		   (double)(bench_heap_bytes() - heap));
	bed_dispose(&bed);
	carob_manifest_free(manifest);
}

static void measure_owner(series_t *time, size_t members)
{
	carob_manifest_t *manifest = bench_manifest(900, 0);
	carob_instance_id_t owner;
	carob_upstream_id_t hint;
	uint64_t began;
	bed_t bed;

	bed_init(&bed, members);
	if (carob_scheduler_set_manifest(bed.scheduler, manifest) != 0)
		abort();
	began = bench_cpu_ns();
	for (uint32_t i = 0; i < FLOWS; i++)
		(void)carob_scheduler_choose_owner(&owner, &hint, bed.scheduler,
						   1 + i % 300);
	series_add(time, (double)members,
		   (double)(bench_cpu_ns() - began) / FLOWS);
	bed_dispose(&bed);
	carob_manifest_free(manifest);
}

void bench_scheduler_series(void)
{
	series_t memory = {"scheduler_memory", "upstreams", "B", 0, {0}, {0}};
	series_t apply = {"scheduler_apply", "upstreams", "us", 0, {0}, {0}};
	series_t owner = {"choose_owner", "instances", "ns", 0, {0}, {0}};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(upstream_sizes); i++)
		measure_manifest(&memory, &apply, upstream_sizes[i]);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(member_sizes); i++)
		measure_owner(&owner, member_sizes[i]);
	series_print(&memory);
	series_print(&apply);
	series_print(&owner);
}
