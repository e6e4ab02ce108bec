/* Datagrams of load reports, and what a reader makes of them. */
#include "carobtrail/load_sums.h"

#include "carobtrail/errors.h"
#include "test_runner.h"

#include <string.h>

#define MS	 CAROB_NS_PER_MS
#define START_NS (1000 * CAROB_NS_PER_S)

/* Fills a list with `count` loads. */
static void fill(carob_load_list_t *list, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		carob_load_entry_t entry = {
			.tag = (uint16_t)(3 * i),
			.load = (uint16_t)(i % (CAROB_LOAD_MAX + 1)),
			.late = (uint8_t)(i % (CAROB_LOAD_LATE_MAX + 1)),
		};

		CU_ASSERT_EQUAL_FATAL(carob_load_list_add(list, &entry), 0);
	}
}

/* A message keeps its loads, in datagrams of bounded size. */
static void check_message(size_t count)
{
	carob_load_header_t header = {
		.kind = CAROB_LOAD_ANSWER,
		.from = 1ULL << 63,
		.to = 2,
		.incarnation = 3,
		.to_incarnation = 4,
		.sequence = 5,
		.echo = 6,
		.age_ms = 7,
		.hold_ms = 8,
		.interval_ms = 9,
		.zone_instances = 10,
		.all_instances = 11,
	};
	carob_load_list_t list = {0};
	size_t decoded = 0;

	fill(&list, count);
	for (size_t part = 0; part < carob_load_parts(count); part++) {
		uint8_t data[CAROB_LOAD_DATAGRAM_MAX];
		uint8_t again[CAROB_LOAD_DATAGRAM_MAX];
		carob_load_entry_t entries[CAROB_LOAD_PART_ENTRIES];
		carob_load_header_t out = {0};
		size_t got;
		size_t len;

		header.part = (uint8_t)part;
		header.parts = (uint8_t)carob_load_parts(count);
		len = carob_load_encode(data, &header, &list);
		CU_ASSERT_TRUE(len + CAROB_LOAD_AUTH_BYTES <=
			       CAROB_LOAD_DATAGRAM_MAX);
		CU_ASSERT_EQUAL_FATAL(
			carob_load_decode(&out, entries, &got,
					  (carob_str_t){(char *)data, len}),
			0);
		CU_ASSERT_EQUAL(carob_load_encode(again, &out, &list), len);
		CU_ASSERT_EQUAL(memcmp(again, data, len), 0);
		CU_ASSERT_TRUE_FATAL(decoded + got <= list.count);
		for (size_t i = 0; list.items && i < got; i++, decoded++)
			CU_ASSERT_TRUE(
				entries[i].tag == list.items[decoded].tag &&
				entries[i].load == list.items[decoded].load &&
				entries[i].late == list.items[decoded].late);
	}
	CU_ASSERT_EQUAL(decoded, count);
	carob_load_list_dispose(&list);
}

static void test_messages(void)
{
	static const size_t counts[] = {0,
					1,
					150,
					CAROB_LOAD_PART_ENTRIES,
					CAROB_LOAD_PART_ENTRIES + 1,
					CAROB_LOAD_ENTRIES_MAX};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(counts); i++)
		check_message(counts[i]);
}

/* Bytes of a datagram with two loads that are set to a wrong value. */
static const struct malformed_case {
	const char *name;
	size_t at;
	uint8_t value;
	size_t cut; /* bytes cut off at the end */
} malformed_cases[] = {
	{"other version", 0, 9, 0},
	{"no kind", 1, 0, 0},
	{"unknown kind", 1, 4, 0},
	{"no parts", 3, 0, 0},
	{"part behind the last", 2, 1, 0},
	{"not the last, but short", 3, 2, 0},
	{"too many parts", 3, 65, 0},
	{"tags not sorted", 65, 9, 0},
	{"half of a load", 1, 1, 2},
	{"shorter than a header", 1, 1, 12},
	{"empty", 1, 1, 72},
};

static void test_malformed(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(malformed_cases); i++) {
		const struct malformed_case *c = &malformed_cases[i];
		const carob_load_header_t header = {.kind = CAROB_LOAD_REPORT};
		carob_load_entry_t entries[CAROB_LOAD_PART_ENTRIES];
		uint8_t data[CAROB_LOAD_DATAGRAM_MAX];
		carob_load_list_t list = {0};
		carob_load_header_t out;
		size_t count;
		size_t len;

		fill(&list, 2);
		len = carob_load_encode(data, &header, &list);
		data[c->at] = c->value;
		CU_ASSERT_EQUAL(carob_load_decode(&out, entries, &count,
						  (carob_str_t){(char *)data,
								len - c->cut}),
				CAROB_EFORMAT);
		carob_load_list_dispose(&list);
	}
}

/* Datagrams that arrive one after the other at a reader, and what becomes of
 * each. A report of sender 1 has a load of `load` steps on tag 5. */
static const struct put_case {
	const char *name;
	uint64_t from;
	uint64_t incarnation;
	uint32_t sequence;
	uint8_t part;
	uint8_t parts;
	uint16_t load;
	int result;
	uint32_t total; /* of all, afterwards */
} put_cases[] = {
	{"first", 1, 10, 5, 0, 1, 8, 0, 8},
	{"repeated", 1, 10, 5, 0, 1, 9, CAROB_ESTALE, 8},
	{"older", 1, 10, 4, 0, 1, 9, CAROB_ESTALE, 8},
	{"newer", 1, 10, 6, 0, 1, 16, 0, 16},
	{"other sender", 2, 10, 1, 0, 1, 4, 0, 20},
	{"first of two datagrams", 1, 10, 7, 0, 2, 1, CAROB_EEXISTS, 20},
	{"the same again", 1, 10, 7, 0, 2, 1, CAROB_ESTALE, 20},
	{"second of three", 1, 10, 7, 1, 3, 1, CAROB_EFORMAT, 20},
	{"second of two", 1, 10, 7, 1, 2, 2, 0, 7},
	{"earlier incarnation", 1, 9, 50, 0, 1, 9, CAROB_ESTALE, 7},
	{"next incarnation", 1, 11, 1, 0, 1, 0, 0, 4},
};

static uint32_t total_of(carob_load_sums_t *sums, uint64_t except)
{
	const carob_load_query_t query = {.except = except};
	carob_load_summary_t summary;
	carob_load_list_t list = {0};
	const carob_load_entry_t *entry;
	uint32_t load;

	CU_ASSERT_EQUAL(carob_load_sums_write(&list, &summary, sums, &query,
					      START_NS),
			0);
	entry = carob_load_list_find(&list, 5);
	load = entry ? entry->load : 0;
	carob_load_list_dispose(&list);
	return load;
}

static void test_puts(void)
{
	carob_load_sums_t sums = {0};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(put_cases); i++) {
		const struct put_case *c = &put_cases[i];
		const carob_load_header_t header = {
			.kind = CAROB_LOAD_REPORT,
			.incarnation = c->incarnation,
			.sequence = c->sequence,
			.part = c->part,
			.parts = c->parts,
			.interval_ms = 250,
		};
		const carob_load_entry_t entry = {.tag = 5, .load = c->load};
		const carob_load_part_t part = {.header = &header,
						.entries = &entry,
						.count = 1,
						.id = c->from,
						.measured_ns = START_NS};
		int result = carob_load_sums_put(&sums, &part, START_NS);

		CU_ASSERT_EQUAL(result, c->result);
		CU_ASSERT_EQUAL(total_of(&sums, 0), c->total);
		CU_ASSERT_EQUAL(total_of(&sums, 2),
				i < 4 ? c->total : c->total - 4);
		if (result != c->result)
			printf("\n%s: %d", c->name, result);
	}
	carob_load_sums_expire(&sums, START_NS + 750 * MS);
	CU_ASSERT_EQUAL(total_of(&sums, 0), 0);
	CU_ASSERT_EQUAL(sums.used_count, 0);
	carob_load_sums_dispose(&sums);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"messages of each length", test_messages},
		{"malformed datagrams", test_malformed},
		{"datagrams at a reader", test_puts},
	};

	return run_tests("load-sums", cases, CAROB_ARRAY_SIZE(cases));
}
