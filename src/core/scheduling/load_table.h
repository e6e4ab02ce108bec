/**
 * @file load_table.h
 * What the other instances last said of their load for one service, and how
 * many flows they were given since.
 */
#ifndef CAROBTRAIL_LOAD_TABLE_H
#define CAROBTRAIL_LOAD_TABLE_H

#include "carobtrail/scheduler.h"

/** One instance's row. */
typedef struct carob_load_row {
	carob_instance_id_t instance;
	bool heard;
	uint64_t heard_ns;
	double given; /* flows given to it lately, decaying */
	uint64_t given_ns;
	carob_load_summary_t summary;
} carob_load_row_t;

/** Rows of one service. */
typedef struct carob_load_table {
	carob_load_row_t *rows;
	size_t count;
	size_t cap;
} carob_load_table_t;

/** Releases the rows. */
void carob_load_table_dispose(carob_load_table_t *table);

/** @return the instance's row, or NULL if there is none; borrowed */
carob_load_row_t *carob_load_table_find(const carob_load_table_t *table,
					carob_instance_id_t instance);

/** @return the instance's row, added if missing, or NULL without memory */
carob_load_row_t *carob_load_table_get(carob_load_table_t *table,
				       carob_instance_id_t instance);

/** Drops the rows of instances that are neither alive nor leaving. */
void carob_load_table_prune(carob_load_table_t *table,
			    const carob_membership_t *membership);

/** @return whether the row's summary is young enough to be used */
bool carob_load_row_fresh(const carob_load_row_t *row, uint64_t now_ns);

/** @return flows given to the instance that its summary need not show yet */
double carob_load_row_given(const carob_load_row_t *row, uint64_t now_ns);

/** Counts one more flow given to the instance. */
void carob_load_row_give(carob_load_row_t *row, uint64_t now_ns);

/** @return what others run on the upstream, from their fresh summaries */
carob_upstream_load_t carob_load_table_foreign(const carob_load_table_t *table,
					       carob_upstream_id_t upstream,
					       uint64_t now_ns);

#endif
