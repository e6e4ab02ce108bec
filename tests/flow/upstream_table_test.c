#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "flow/flow_fixture.h"

#include <stdio.h>

#define MANY 3000

static carob_upstream_entry_t make_entry(char id[16], uint32_t number,
					 const char *service)
{
	(void)snprintf(id, 16, "i-%08x", number);
	return (carob_upstream_entry_t){
		.id = carob_str_from(id),
		.number = number,
		.service = carob_str_from(service),
		.zone = carob_str_from("a"),
		.endpoint = {0x0a000000 + number, 8080},
		.slots = 2,
	};
}

static void put_upstream(carob_upstream_table_t *table, uint32_t number,
			 const char *service, uint64_t revision)
{
	char id[16];
	carob_upstream_entry_t entry = make_entry(id, number, service);

	CU_ASSERT_EQUAL_FATAL(carob_upstream_table_put(table, &entry, revision,
						       FIXTURE_START),
			      0);
}

static carob_upstream_index_t find_upstream(const carob_upstream_table_t *table,
					    uint32_t number)
{
	char id[16];

	return carob_upstream_table_by_id(table, make_entry(id, number, "").id);
}

static void remove_upstream(carob_upstream_table_t *table, uint32_t number,
			    uint64_t revision)
{
	char id[16];

	carob_upstream_table_remove(table, make_entry(id, number, "").id,
				    revision, CAROB_UPSTREAM_GONE,
				    FIXTURE_START);
}

static size_t count_upstreams(const carob_upstream_table_t *table,
			      const char *service)
{
	carob_name_id_t id = carob_name_table_find(&table->services,
						   carob_str_from(service));
	size_t count = 0;

	CAROB_UPSTREAMS_OF (index, table, id) {
		CU_ASSERT_EQUAL(table->items[index].service, id);
		count++;
	}
	return count;
}

static void test_finds_each_of_many(void)
{
	carob_upstream_table_t table = {0};

	for (uint32_t i = 1; i <= MANY; i++)
		put_upstream(&table, i, i % 3 ? "slots" : "documents", i);
	for (uint32_t i = 1; i <= MANY; i++) {
		carob_upstream_index_t index = find_upstream(&table, i);

		CU_ASSERT_NOT_EQUAL_FATAL(index, CAROB_UPSTREAM_NONE);
		CU_ASSERT_EQUAL(table.items[index].number, i);
		CU_ASSERT_EQUAL(carob_upstream_table_by_tag(
					&table, carob_upstream_tag(i)),
				index);
	}
	CU_ASSERT_EQUAL(find_upstream(&table, MANY + 1), CAROB_UPSTREAM_NONE);
	CU_ASSERT_EQUAL(count_upstreams(&table, "slots"), 2 * MANY / 3);
	CU_ASSERT_EQUAL(count_upstreams(&table, "documents"), MANY / 3);
	carob_upstream_table_dispose(&table);
}

static void test_empty_table(void)
{
	carob_upstream_table_t table = {0};

	CU_ASSERT_EQUAL(find_upstream(&table, 1), CAROB_UPSTREAM_NONE);
	CU_ASSERT_EQUAL(carob_upstream_table_by_tag(&table, 1),
			CAROB_UPSTREAM_NONE);
	CU_ASSERT_EQUAL(count_upstreams(&table, "slots"), 0);
}

static void test_moves_to_another_service(void)
{
	carob_upstream_table_t table = {0};

	put_upstream(&table, 1, "slots", 1);
	put_upstream(&table, 2, "slots", 2);
	put_upstream(&table, 1, "documents", 3);
	CU_ASSERT_EQUAL(count_upstreams(&table, "slots"), 1);
	CU_ASSERT_EQUAL(count_upstreams(&table, "documents"), 1);
	CU_ASSERT_EQUAL(table.count, 2);
	carob_upstream_table_dispose(&table);
}

/* Elements of forgotten upstreams are reused, and no index still finds the
 * forgotten upstreams. */
static void test_reuses_elements(void)
{
	carob_upstream_table_t table = {0};

	for (uint32_t i = 1; i <= 100; i++)
		put_upstream(&table, i, "slots", i);
	for (uint32_t i = 1; i <= 100; i += 2)
		remove_upstream(&table, i, 100 + i);
	carob_upstream_table_forget_gone(&table, CAROB_NS_PER_S,
					 FIXTURE_START + 2 * CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(count_upstreams(&table, "slots"), 50);
	CU_ASSERT_EQUAL(find_upstream(&table, 1), CAROB_UPSTREAM_NONE);
	CU_ASSERT_EQUAL(carob_upstream_table_by_tag(&table,
						    carob_upstream_tag(1)),
			CAROB_UPSTREAM_NONE);
	for (uint32_t i = 201; i <= 250; i++)
		put_upstream(&table, i, "slots", i);
	CU_ASSERT_EQUAL(table.count, 100);
	CU_ASSERT_EQUAL(count_upstreams(&table, "slots"), 100);
	CU_ASSERT_NOT_EQUAL(find_upstream(&table, 201), CAROB_UPSTREAM_NONE);
	CU_ASSERT_NOT_EQUAL(find_upstream(&table, 2), CAROB_UPSTREAM_NONE);
	carob_upstream_table_dispose(&table);
}

/* Two ids may have the same tag. If one of the upstreams is gone, the tag
 * identifies the other one. */
static void test_shared_tag(void)
{
	static const struct {
		uint32_t removed;
		uint32_t expected;
	} cases[] = {{1, 2}, {2, 1}};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		carob_upstream_table_t table = {0};
		carob_upstream_entry_t entry;
		char id[16];

		for (uint32_t n = 1; n <= 2; n++) {
			entry = make_entry(id, n, "slots");
			entry.number = 7;
			CU_ASSERT_EQUAL_FATAL(
				carob_upstream_table_put(&table, &entry, n,
							 FIXTURE_START),
				0);
		}
		remove_upstream(&table, cases[i].removed, 3);
		CU_ASSERT_EQUAL(carob_upstream_table_by_tag(&table, 7),
				find_upstream(&table, cases[i].expected));
		carob_upstream_table_dispose(&table);
	}
}

/* An id that is too long leaves the table unchanged. */
static void test_id_too_long(void)
{
	char id[CAROB_UPSTREAM_ID_MAX + 2];
	carob_upstream_table_t table = {0};
	char short_id[16];
	carob_upstream_entry_t entry = make_entry(short_id, 1, "slots");

	memset(id, 'i', sizeof(id));
	entry.id = (carob_str_t){.ptr = id, .len = sizeof(id)};
	CU_ASSERT_EQUAL(carob_upstream_table_put(&table, &entry, 1,
						 FIXTURE_START),
			CAROB_ELIMIT);
	CU_ASSERT_EQUAL(table.count, 0);
	carob_upstream_table_dispose(&table);
}

#define GROUP_STEPS   4000
#define GROUP_NUMBERS 60

/* Applies one random change: an entry of either service and any zone, a drain,
 * a removal, a lapse, or the removal of what is gone. */
static void change_at_random(carob_upstream_table_t *table, carob_rng_t *rng,
			     uint64_t revision)
{
	static const char *const zones[] = {"a", "b", "c"};
	uint32_t number = 1 + carob_rng_below(rng, GROUP_NUMBERS);
	uint32_t action = carob_rng_below(rng, 8);
	char id[16];
	carob_upstream_entry_t entry = make_entry(
		id, number, carob_rng_below(rng, 2) ? "slots" : "yard");

	entry.zone = carob_str_from(zones[carob_rng_below(rng, 3)]);
	entry.draining = action == 0;
	if (action < 5) {
		CU_ASSERT_EQUAL_FATAL(carob_upstream_table_put(table, &entry,
							       revision,
							       FIXTURE_START),
				      0);
		return;
	}
	if (action < 7)
		carob_upstream_table_remove(table, entry.id, revision,
					    action == 5 ? CAROB_UPSTREAM_LAPSED
							: CAROB_UPSTREAM_GONE,
					    FIXTURE_START);
	else
		carob_upstream_table_forget_gone(table, 0, FIXTURE_START + 1);
}

/* Counts the members of all groups of a service that are in the right one and
 * in the order of their numbers. */
static size_t count_members(const carob_upstream_table_t *table,
			    carob_name_id_t service)
{
	size_t count = 0;

	CAROB_UPSTREAM_GROUPS_OF (group, table, service) {
		uint64_t last = 0;

		for (uint32_t i = 0; i < group->count; i++) {
			const carob_upstream_t *upstream =
				&table->items[group->members[i]];

			if (upstream->used && upstream->service == service &&
			    upstream->zone == group->zone &&
			    upstream->number > last)
				count++;
			last = upstream->number;
		}
	}
	return count;
}

/* An upstream that is missing from its group gets no flows at all, and one that
 * stays in a wrong group gets those of another service. */
static void test_groups(void)
{
	CAROB_CLEANUP(carob_upstream_table_dispose)
	carob_upstream_table_t table = {0};
	carob_rng_t rng;
	size_t wrong = 0;

	carob_rng_init(&rng, 1);
	for (uint64_t step = 1; step <= GROUP_STEPS; step++) {
		change_at_random(&table, &rng, step);
		for (size_t k = 0; k < table.services.count; k++) {
			carob_name_id_t service = (carob_name_id_t)k;
			size_t expected = 0;

			CAROB_UPSTREAMS_OF (i, &table, service)
				expected +=
					carob_upstream_accepts(&table.items[i]);
			if (count_members(&table, service) != expected)
				wrong++;
		}
	}
	CU_ASSERT_EQUAL(wrong, 0);
}

/* Instances hear of upstreams and zones in different orders, and a copy of a
 * SYN at another instance has to find the same candidates. */
static void test_group_order(void)
{
	static const char *const zones[] = {"c", "a", "b", "a", "c", "b"};
	carob_upstream_table_t tables[2] = {0};
	carob_upstream_group_t *groups[2];

	for (uint32_t i = 0; i < 2 * CAROB_ARRAY_SIZE(zones); i++) {
		uint32_t table = i % 2;
		uint32_t k = table ? i / 2 : 5 - i / 2;
		char id[16];
		carob_upstream_entry_t entry = make_entry(id, k + 1, "slots");

		entry.zone = carob_str_from(zones[k]);
		CU_ASSERT_EQUAL(carob_upstream_table_put(&tables[table], &entry,
							 i + 1, FIXTURE_START),
				0);
	}
	for (uint32_t i = 0; i < 2; i++)
		groups[i] = carob_upstream_table_first_group(&tables[i], 0);
	while (groups[0] && groups[1]) {
		CU_ASSERT_EQUAL_FATAL(groups[0]->count, 2);
		CU_ASSERT_EQUAL_FATAL(groups[1]->count, 2);
		for (uint32_t m = 0; m < 2; m++)
			CU_ASSERT_EQUAL(
				tables[0].items[groups[0]->members[m]].number,
				tables[1].items[groups[1]->members[m]].number);
		for (uint32_t i = 0; i < 2; i++)
			groups[i] = carob_upstream_table_next_group(&tables[i],
								    groups[i]);
	}
	CU_ASSERT_PTR_NULL(groups[0]);
	CU_ASSERT_PTR_NULL(groups[1]);
	carob_upstream_table_dispose(&tables[0]);
	carob_upstream_table_dispose(&tables[1]);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"finds each of many upstreams", test_finds_each_of_many},
		{"finds nothing in an empty table", test_empty_table},
		{"an upstream moves to another service",
		 test_moves_to_another_service},
		{"reuses the elements of forgotten upstreams",
		 test_reuses_elements},
		{"a shared tag identifies the upstream that is not gone",
		 test_shared_tag},
		{"refuses an id that is too long", test_id_too_long},
		{"groups hold the upstreams that accept flows", test_groups},
		{"groups have the same order at all instances",
		 test_group_order},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("upstream table", cases, CAROB_ARRAY_SIZE(cases));
}
