#include "carobtrail/errors.h"
#include "carobtrail/log.h"
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
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("upstream table", cases, CAROB_ARRAY_SIZE(cases));
}
