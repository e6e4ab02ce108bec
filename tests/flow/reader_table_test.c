/* Readers of the own zone and of others. Guards against sums of load that are
 * sent to a reader which is gone, or to none although there is one. */
#include "carobtrail/reader_table.h"

#include "test_runner.h"

#include <stdio.h>
#include <string.h>

/* Changes, and the address of the reader of zone b afterwards, 0: none. */
static const struct change_case {
	const char *name;
	enum {
		PUT,
		REMOVE,
		LIST_NOTHING,
		LIST_IT,
		NEW_ERA
	} kind;
	const char *zone;
	uint32_t slot;
	uint64_t revision;
	uint32_t ip; /* of a put, and of the result */
	uint32_t result;
} change_cases[] = {
	{"of the own zone", PUT, "a", 0, 5, 7, 0},
	{"of another zone", PUT, "b", 0, 5, 1, 1},
	{"older", PUT, "b", 0, 4, 2, 1},
	{"newer", PUT, "b", 0, 6, 3, 3},
	{"another slot", PUT, "b", 1, 7, 4, 3},
	{"of a third zone", PUT, "c", 0, 7, 5, 3},
	{"older removal", REMOVE, "b", 0, 5, 0, 3},
	{"removal", REMOVE, "b", 0, 8, 0, 0},
	{"older than the removal", PUT, "b", 0, 7, 6, 0},
	{"after the removal", PUT, "b", 0, 9, 6, 6},
	{"newer than a listing without it", LIST_NOTHING, "", 0, 8, 0, 6},
	{"in a listing", LIST_IT, "b", 0, 10, 6, 6},
	{"not in a listing", LIST_NOTHING, "", 0, 11, 0, 0},
	{"new era", NEW_ERA, "", 0, 0, 0, 0},
	{"first of the new era", PUT, "b", 0, 1, 8, 8},
};

static void put(carob_reader_table_t *table, const struct change_case *c)
{
	carob_reader_entry_t entry = {
		.zone = carob_str_from(c->zone),
		.slot = c->slot,
		.name = CAROB_STR("i-1"),
		.endpoint = {c->ip, 5703},
	};

	carob_reader_table_put(table, &entry, c->revision);
}

static void change(carob_reader_table_t *table, const struct change_case *c)
{
	switch (c->kind) {
	case PUT:
		put(table, c);
		break;
	case REMOVE:
		carob_reader_table_remove(table, carob_str_from(c->zone),
					  c->slot, c->revision);
		break;
	case LIST_IT:
	case LIST_NOTHING:
		carob_reader_table_begin_listing(table);
		if (c->kind == LIST_IT)
			put(table, c);
		carob_reader_table_end_listing(table, c->revision);
		break;
	case NEW_ERA:
		carob_reader_table_begin_era(table);
		break;
	}
}

static uint32_t ip_of(const carob_reader_table_t *table, const char *zone)
{
	for (size_t i = 0; i < CAROB_READER_ZONES_MAX; i++)
		if (strcmp(table->others[i].zone, zone) == 0 &&
		    table->others[i].slot.used)
			return table->others[i].slot.endpoint.ip;
	return 0;
}

static void test_changes(void)
{
	carob_reader_table_t table = {.zone = CAROB_STR("a")};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(change_cases); i++) {
		const struct change_case *c = &change_cases[i];

		change(&table, c);
		CU_ASSERT_EQUAL(ip_of(&table, "b"), c->result);
		CU_ASSERT_EQUAL(ip_of(&table, "a"), 0);
		if (ip_of(&table, "b") != c->result)
			printf("\n%s", c->name);
	}
}

/* More zones than fit: those that are known stay, and one without a reader
 * makes room. */
static void test_many_zones(void)
{
	carob_reader_table_t table = {.zone = CAROB_STR("a")};
	char zone[16];

	for (uint32_t i = 0; i <= CAROB_READER_ZONES_MAX; i++) {
		const struct change_case c = {
			.zone = zone, .revision = 1, .ip = i + 1};

		(void)snprintf(zone, sizeof(zone), "z-%u", i);
		put(&table, &c);
		CU_ASSERT_EQUAL(ip_of(&table, zone),
				i < CAROB_READER_ZONES_MAX ? i + 1 : 0);
	}
	carob_reader_table_remove(&table, CAROB_STR("z-3"), 0, 2);
	put(&table,
	    &(struct change_case){.zone = "y", .revision = 3, .ip = 99});
	CU_ASSERT_EQUAL(ip_of(&table, "y"), 99);
	CU_ASSERT_EQUAL(ip_of(&table, "z-2"), 3);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"changes of readers", test_changes},
		{"more zones than fit", test_many_zones},
	};

	return run_tests("reader-table", cases, CAROB_ARRAY_SIZE(cases));
}
