#include "test_runner.h"

#include "core/scheduling/assignment.h"

#include <stdio.h>
#include <string.h>

#define UPSTREAMS_MAX 32
#define MEMBERS_MAX   8

typedef struct fixture {
	carob_manifest_upstream_t upstreams[UPSTREAMS_MAX];
	carob_manifest_service_t service;
	carob_member_t members[MEMBERS_MAX];
	const carob_member_t *member_list[MEMBERS_MAX];
	size_t member_count;
	carob_instance_id_t owners[UPSTREAMS_MAX];
} fixture_t;

static void set_zone(carob_zone_t *zone, char letter)
{
	snprintf(zone->name, sizeof(zone->name), "hou-%c", letter);
}

/*
 * Sets up a service and its members. Each letter of `upstreams` and `members`
 * stands for one upstream or member in the zone of that letter.
 */
static void set_up(fixture_t *f, const char *upstreams, const char *members)
{
	*f = (fixture_t){.service = {.id = 1, .slots = 2}};
	f->service.upstreams = f->upstreams;
	f->service.upstream_count = strlen(upstreams);
	f->member_count = strlen(members);
	for (size_t i = 0; upstreams[i]; i++) {
		f->upstreams[i].id = (carob_upstream_id_t){100 + i, 1};
		set_zone(&f->upstreams[i].zone, upstreams[i]);
	}
	for (size_t i = 0; members[i]; i++) {
		f->members[i].id = (carob_instance_id_t){1 + i, 7};
		set_zone(&f->members[i].zone, members[i]);
		f->member_list[i] = &f->members[i];
	}
}

static void compute(fixture_t *f)
{
	CU_ASSERT_EQUAL(carob_assignment_compute(f->owners, &f->service,
						 f->member_list,
						 f->member_count),
			0);
}

static size_t count_owned_by(const fixture_t *f, uint32_t id)
{
	size_t count = 0;

	for (size_t i = 0; i < f->service.upstream_count; i++)
		count += f->owners[i].id == id;
	return count;
}

typedef struct share_case {
	const char *upstreams;
	const char *members;
	size_t share_max; /* ceil(upstreams / members) of the fullest zone */
} share_case_t;

static const share_case_t share_cases[] = {
	{"aaaaabbbbbcccc", "aabbc", 4},
	{"aaaabbbbcccddd", "abcd", 4},
	{"aaaabbbbcccddd", "aabcd", 4},
	{"aabc", "aabbc", 1},
	{"aaaaaaaaaaaaaa", "aaaaa", 3},
	{"aaaaaaaaaaaaaa", "bbbb", 4}, /* no member in the zone */
	{"aaaa", "", 0},
};

static void test_shares_are_bounded(void)
{
	fixture_t f;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(share_cases); i++) {
		const share_case_t *c = &share_cases[i];

		set_up(&f, c->upstreams, c->members);
		compute(&f);
		for (size_t m = 0; m < f.member_count; m++)
			CU_ASSERT(count_owned_by(&f, f.members[m].id.id) <=
				  c->share_max);
		CU_ASSERT_EQUAL(count_owned_by(&f, 0),
				f.member_count ? 0 : strlen(c->upstreams));
	}
}

static void test_owners_are_of_the_zone(void)
{
	fixture_t f;

	set_up(&f, "aaaaabbbbbcccc", "aabbc");
	compute(&f);
	for (size_t i = 0; i < f.service.upstream_count; i++) {
		const carob_member_t *owner = &f.members[f.owners[i].id - 1];

		CU_ASSERT_STRING_EQUAL(owner->zone.name,
				       f.upstreams[i].zone.name);
	}
}

/*
 * When a member leaves, its upstreams are reassigned. At most three upstreams
 * of other members may move too, because no member may exceed its share.
 */
static void test_few_other_upstreams_are_reassigned(void)
{
	carob_instance_id_t before[UPSTREAMS_MAX];
	fixture_t f;
	size_t moved = 0;

	set_up(&f, "aaaaaaaaaaaaaa", "aaaaa");
	compute(&f);
	memcpy(before, f.owners, sizeof(before));
	f.member_count--;
	compute(&f);
	for (size_t i = 0; i < f.service.upstream_count; i++)
		moved += before[i].id != 5 && before[i].id != f.owners[i].id;
	CU_ASSERT(moved <= 3);
}

static void test_order_of_members_is_irrelevant(void)
{
	carob_instance_id_t before[UPSTREAMS_MAX];
	fixture_t f;

	set_up(&f, "aaaaabbbbbcccc", "aabbc");
	compute(&f);
	memcpy(before, f.owners, sizeof(before));
	for (size_t i = 0; i < f.member_count; i++)
		f.member_list[i] = &f.members[f.member_count - 1 - i];
	compute(&f);
	CU_ASSERT_EQUAL(memcmp(before, f.owners, sizeof(before)), 0);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"no member schedules more than its share",
		 test_shares_are_bounded},
		{"upstreams are assigned to members of their own zone",
		 test_owners_are_of_the_zone},
		{"few other upstreams are reassigned when a member leaves",
		 test_few_other_upstreams_are_reassigned},
		{"the order of the members does not change the assignment",
		 test_order_of_members_is_irrelevant},
	};

	return run_tests("assignment", cases, CAROB_ARRAY_SIZE(cases));
}
