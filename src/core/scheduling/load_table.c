#include "load_table.h"

#include <math.h>
#include <stdlib.h>

#define SUMMARY_LIFETIME_NS   (3 * CAROB_NS_PER_S)
#define RECENT_FLOWS_DECAY_NS (0.25 * CAROB_NS_PER_S)
#define ROWS_INITIAL_CAP      8

void carob_load_table_dispose(carob_load_table_t *table)
{
	free(table->rows);
	*table = (carob_load_table_t){0};
}

carob_load_row_t *carob_load_table_find(const carob_load_table_t *table,
					carob_instance_id_t instance)
{
	for (size_t i = 0; i < table->count; i++)
		if (carob_instance_id_eq(table->rows[i].instance, instance))
			return &table->rows[i];
	return NULL;
}

carob_load_row_t *carob_load_table_get(carob_load_table_t *table,
				       carob_instance_id_t instance)
{
	carob_load_row_t *row = carob_load_table_find(table, instance);
	size_t cap = table->cap ? table->cap * 2 : ROWS_INITIAL_CAP;

	if (row)
		return row;
	if (table->count == table->cap) {
		row = realloc(table->rows, cap * sizeof(*row));
		if (!row)
			return NULL;
		table->rows = row;
		table->cap = cap;
	}
	row = &table->rows[table->count++];
	*row = (carob_load_row_t){.instance = instance};
	return row;
}

void carob_load_table_prune(carob_load_table_t *table,
			    const carob_membership_t *membership)
{
	size_t kept = 0;

	for (size_t i = 0; i < table->count; i++) {
		const carob_member_t *member = carob_membership_find(
			membership, table->rows[i].instance);

		if (member && (member->state == CAROB_MEMBER_ALIVE ||
			       member->state == CAROB_MEMBER_LEAVING))
			table->rows[kept++] = table->rows[i];
	}
	table->count = kept;
}

bool carob_load_row_is_fresh(const carob_load_row_t *row, uint64_t now_ns)
{
	return row->has_summary &&
	       now_ns - row->summary_ns < SUMMARY_LIFETIME_NS;
}

double carob_load_row_recent_flows(const carob_load_row_t *row, uint64_t now_ns)
{
	double age = (double)(now_ns - row->recent_flows_ns);

	return row->recent_flows * exp(-age / RECENT_FLOWS_DECAY_NS);
}

void carob_load_row_add_flow(carob_load_row_t *row, uint64_t now_ns)
{
	row->recent_flows = carob_load_row_recent_flows(row, now_ns) + 1.0;
	row->recent_flows_ns = now_ns;
}

carob_upstream_load_t
carob_load_table_peer_load(const carob_load_table_t *table,
			   carob_upstream_id_t upstream, uint64_t now_ns)
{
	carob_upstream_load_t sum = {.upstream = upstream};

	for (size_t i = 0; i < table->count; i++) {
		const carob_load_row_t *row = &table->rows[i];

		if (!carob_load_row_is_fresh(row, now_ns))
			continue;
		for (size_t j = 0; j < row->summary.upstream_count; j++) {
			const carob_upstream_load_t *load =
				&row->summary.upstreams[j];

			if (!carob_upstream_id_eq(load->upstream, upstream))
				continue;
			sum.in_flight += load->in_flight;
			sum.feeds += load->feeds;
		}
	}
	return sum;
}
