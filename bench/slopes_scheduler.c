#include "slopes.h"

#include "carobtrail/membership.h"
#include "carobtrail/scheduler.h"
#include "slope_series.h"

#include <stdlib.h>

#define FLOWS 20000

static const size_t upstream_sizes[] = {300, 900, 1800, 3600, 6000};
static const size_t member_sizes[] = {5, 50, 200, 800, 2000};

/* A scheduler with its dependencies. */
typedef struct fixture {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *scheduler;
} fixture_t;

static carob_member_t make_member(size_t i)
{
	carob_member_t member = {.id = {(uint32_t)i + 1, 1}, .revision = 1};

	member.zone.name[0] = 'z';
	member.zone.name[1] = (char)('0' + i % 9);
	member.state = CAROB_MEMBER_ALIVE;
	return member;
}

static void fixture_init(fixture_t *fixture, size_t members)
{
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_scheduler_options_t options = CAROB_SCHEDULER_OPTIONS_INIT;

	carob_manual_clock_init(&fixture->clock, CAROB_NS_PER_S);
	membership.self = make_member(0);
	if (carob_kernel_new(&fixture->kernel, &fixture->clock.clock) != 0 ||
	    carob_membership_new(&fixture->membership, &membership) != 0)
		abort();
	for (size_t i = 1; i < members; i++) {
		carob_member_t member = make_member(i);

		(void)carob_membership_learn(fixture->membership, &member,
					     NULL);
	}
	options.kernel = fixture->kernel;
	options.membership = fixture->membership;
	options.seed = 1;
	if (carob_scheduler_new(&fixture->scheduler, &options) != 0)
		abort();
}

static void fixture_dispose(fixture_t *fixture)
{
	carob_scheduler_free(fixture->scheduler);
	carob_membership_free(fixture->membership);
	carob_kernel_free(fixture->kernel);
}

static void measure_manifest(series_t *memory, series_t *time, size_t upstreams)
{
	carob_manifest_t *manifest = bench_manifest(upstreams, 0);
	size_t heap;
	uint64_t start_ns;
	fixture_t fixture;

	fixture_init(&fixture, 17);
	heap = bench_heap_bytes();
	start_ns = bench_cpu_ns();
	if (carob_scheduler_set_manifest(fixture.scheduler, manifest) != 0)
		abort();
	series_add(time, (double)upstreams,
		   (double)(bench_cpu_ns() - start_ns) / 1e3);
	series_add(memory, (double)upstreams,
		   (double)(bench_heap_bytes() - heap));
	fixture_dispose(&fixture);
	carob_manifest_free(manifest);
}

static void measure_owner(series_t *time, size_t members)
{
	carob_manifest_t *manifest = bench_manifest(900, 0);
	carob_instance_id_t owner;
	carob_upstream_id_t hint;
	uint64_t start_ns;
	fixture_t fixture;

	fixture_init(&fixture, members);
	if (carob_scheduler_set_manifest(fixture.scheduler, manifest) != 0)
		abort();
	start_ns = bench_cpu_ns();
	for (uint32_t i = 0; i < FLOWS; i++)
		(void)carob_scheduler_choose_owner(
			&owner, &hint, fixture.scheduler, 1 + i % 300);
	series_add(time, (double)members,
		   (double)(bench_cpu_ns() - start_ns) / FLOWS);
	fixture_dispose(&fixture);
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
