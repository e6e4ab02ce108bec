/* Measures what one choice of an upstream costs, by the own load and by the
 * load of all, among 18, 600 and 3,000 upstreams of three zones. The flows come
 * at 100 a second on a manual clock, so that the measurements of zones are part
 * of the cost. Prints a Markdown table. Usage: bench-choosing [CHOICES] */
#include "carobtrail/common.h"
#include "carobtrail/log.h"
#include "carobtrail/placement.h"
#include "carobtrail/rng.h"

#include <stdio.h>
#include <stdlib.h>

#define START_NS (1000 * CAROB_NS_PER_S)
#define FLOW_NS	 (10 * CAROB_NS_PER_MS)
#define ROUNDS	 5

static const uint32_t sizes[] = {18, 600, 3000};

static void fill(carob_upstream_table_t *table, uint32_t count)
{
	static const char *const zones[] = {"hou-a", "hou-b", "hou-c"};

	for (uint32_t i = 0; i < count; i++) {
		char id[16];
		carob_upstream_entry_t entry = {
			.number = carob_hash_u64(i),
			.service = CAROB_STR("desk"),
			.zone = carob_str_from(zones[i % 3]),
			.slots = 2,
		};
		carob_upstream_index_t index;

		(void)snprintf(id, sizeof(id), "i-%x", i);
		entry.id = carob_str_from(id);
		if (carob_upstream_table_put(table, &entry, i + 1, START_NS) !=
		    0) {
			fprintf(stderr, "bench-choosing: out of memory\n");
			exit(1);
		}
		index = carob_upstream_table_by_id(table, entry.id);
		table->items[index].open_flows = i % 4;
		table->items[index].pending = i % 2;
		table->items[index].others_load = (float)(i % 7) / 4;
	}
}

/* Returns the nanoseconds of one choice. */
static double measure(const carob_upstream_table_t *table,
		      const carob_load_view_t *view, uint32_t choices,
		      uint64_t start_ns)
{
	carob_placement_query_t query = {
		.service = 0,
		.home_zone = 0,
		.except = CAROB_UPSTREAM_NONE,
		.now_ns = start_ns,
		.view = view,
	};
	uint64_t began_ns = carob_clock_now_ns(carob_clock_system());
	uint64_t sum = 0;

	for (uint32_t i = 0; i < choices; i++) {
		query.flow_hash = carob_hash_u64(i);
		query.now_ns += FLOW_NS;
		sum += carob_placement_choose(table, &query);
	}
	/* The choices must not be optimised away. */
	if (sum == 1)
		printf("\n");
	return (double)(carob_clock_now_ns(carob_clock_system()) - began_ns) /
	       choices;
}

static double best_of(const carob_upstream_table_t *table,
		      const carob_load_view_t *view, uint32_t choices)
{
	double best = 0;

	for (uint32_t i = 0; i < ROUNDS; i++) {
		double ns = measure(table, view, choices,
				    START_NS + i * choices * FLOW_NS);

		if (i == 0 || ns < best)
			best = ns;
	}
	return best;
}

int main(int argc, char **argv)
{
	uint32_t choices = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10)
				    : 20000;
	carob_load_view_t view = {
		.zone_instances = 9,
		.all_instances = 28,
		.updated_ns = START_NS,
		.expires_ns = UINT64_MAX,
		.counts_expire_ns = UINT64_MAX,
	};

	carob_log_configure("bench-choosing", NULL, CAROB_LOG_ERROR, NULL);
	printf("| upstreams | by the own load, ns | by the load of all, ns |\n"
	       "| --- | --- | --- |\n");
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++) {
		CAROB_CLEANUP(carob_upstream_table_dispose)
		carob_upstream_table_t table = {0};

		fill(&table, sizes[i]);
		printf("| %u | %.0f | %.0f |\n", sizes[i],
		       best_of(&table, NULL, choices),
		       best_of(&table, &view, choices));
	}
	return 0;
}
