#include "carobtrail/flow_table.h"

#include "carobtrail/rng.h"
#include "test_runner.h"

#define FLOWS	   5000
#define STEPS	   40000
#define MANY_FLOWS 200000
/* Maximum memory per open flow: the target set by the users. */
#define FLOW_BYTES_MAX 64

static carob_flow_packet_t make_packet(uint32_t number)
{
	return (carob_flow_packet_t){
		.caller = {0x64400000 + number / 60000,
			   (uint16_t)(1000 + number % 60000)},
		.route = {0xc6120001, 443},
	};
}

/* Adds and removes flows at random and compares the table with an array. */
static void test_random_operations(void)
{
	static bool expected[FLOWS];
	carob_flow_table_t table = {0};
	carob_rng_t rng;
	size_t count = 0;

	carob_rng_init(&rng, 1);
	for (int i = 0; i < STEPS; i++) {
		uint32_t number = carob_rng_below(&rng, FLOWS);
		carob_flow_packet_t packet = make_packet(number);
		carob_flow_t *flow = carob_flow_table_find(&table, &packet);

		CU_ASSERT_EQUAL_FATAL(flow != NULL, expected[number]);
		if (flow) {
			CU_ASSERT_EQUAL(flow->first_seq, number);
			carob_flow_table_remove(&table, flow);
			count--;
		} else {
			CU_ASSERT_EQUAL_FATAL(
				carob_flow_table_add(&flow, &table, &packet),
				0);
			flow->first_seq = number;
			count++;
		}
		expected[number] = !expected[number];
		CU_ASSERT_EQUAL(table.count, count);
	}
	carob_flow_table_dispose(&table);
}

/* From a few thousand flows on, the table takes less than 64 bytes per flow at
 * every size, also just after it has grown. */
static void test_memory_per_flow(void)
{
	carob_flow_table_t table = {0};
	carob_flow_t *flow;

	for (uint32_t i = 0; i < MANY_FLOWS; i++) {
		carob_flow_packet_t packet = make_packet(i);

		CU_ASSERT_EQUAL_FATAL(
			carob_flow_table_add(&flow, &table, &packet), 0);
		if (i > FLOWS)
			CU_ASSERT_TRUE_FATAL(table.cap * sizeof(*flow) <
					     FLOW_BYTES_MAX * table.count);
	}
	carob_flow_table_dispose(&table);
}

typedef struct odd_visitor {
	carob_flow_visitor_t visitor;
	size_t visited;
} odd_visitor_t;

static bool remove_odd(carob_flow_visitor_t *visitor, carob_flow_t *flow)
{
	((odd_visitor_t *)visitor)->visited++;
	return flow->first_seq % 2 == 1;
}

/* Removing a flow may move others to an earlier bucket. Sweeps in parts must
 * visit these flows, too. */
static void test_partial_sweeps(void)
{
	odd_visitor_t odd = {.visitor.visit = remove_odd};
	carob_flow_table_t table = {0};
	carob_flow_t *flow;

	for (uint32_t i = 0; i < FLOWS; i++) {
		carob_flow_packet_t packet = make_packet(i);

		CU_ASSERT_EQUAL_FATAL(
			carob_flow_table_add(&flow, &table, &packet), 0);
		flow->first_seq = i;
	}
	for (int i = 0; i < 40; i++)
		carob_flow_table_sweep(&table, table.cap / 16, &odd.visitor);
	CU_ASSERT_EQUAL(table.count, FLOWS / 2);
	for (uint32_t i = 0; i < FLOWS; i++) {
		carob_flow_packet_t packet = make_packet(i);

		CU_ASSERT_EQUAL(carob_flow_table_find(&table, &packet) != NULL,
				i % 2 == 0);
	}
	carob_flow_table_dispose(&table);
}

static void test_empty_table(void)
{
	carob_flow_packet_t packet = make_packet(1);
	odd_visitor_t odd = {.visitor.visit = remove_odd};
	carob_flow_table_t table = {0};

	CU_ASSERT_PTR_NULL(carob_flow_table_find(&table, &packet));
	carob_flow_table_sweep(&table, 100, &odd.visitor);
	CU_ASSERT_EQUAL(odd.visited, 0);
	carob_flow_table_dispose(&table);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"random operations agree with an array",
		 test_random_operations},
		{"partial sweeps visit every flow", test_partial_sweeps},
		{"memory per flow", test_memory_per_flow},
		{"empty table", test_empty_table},
	};

	return run_tests("flow table", cases, CAROB_ARRAY_SIZE(cases));
}
