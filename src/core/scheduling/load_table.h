/**
 * @file load_table.h
 * The last load summary of each peer for one service, and an estimate of the
 * flows assigned to the peer that this summary does not include yet.
 */
#ifndef CAROBTRAIL_LOAD_TABLE_H
#define CAROBTRAIL_LOAD_TABLE_H

#include "carobtrail/scheduler.h"

/** Load of one instance. */
typedef struct carob_load_row {
	carob_instance_id_t instance;
	bool has_summary;    /* whether `summary` is set */
	uint64_t summary_ns; /* arrival time of `summary` */
	/** Decaying count of assigned flows, as of `recent_flows_ns`. */
	double recent_flows;
	uint64_t recent_flows_ns; /* time of the last assignment */
	carob_load_summary_t summary;
} carob_load_row_t;

/** Rows of one service. Zero-initialise it. */
typedef struct carob_load_table {
	carob_load_row_t *rows;
	size_t count;
	size_t cap;
} carob_load_table_t;

/** Releases the rows. */
void carob_load_table_dispose(carob_load_table_t *table);

/** @return the row of the instance, owned by the table, or NULL */
carob_load_row_t *carob_load_table_find(const carob_load_table_t *table,
					carob_instance_id_t instance);

/**
 * Finds the row of an instance and adds it if it is missing.
 *
 * @return the row, owned by the table and valid until the next addition, or
 *         NULL if memory is exhausted
 */
carob_load_row_t *carob_load_table_get(carob_load_table_t *table,
				       carob_instance_id_t instance);

/** Removes the rows of instances that are neither alive nor leaving. */
void carob_load_table_prune(carob_load_table_t *table,
			    const carob_membership_t *membership);

/** @return whether the summary is recent enough to be used */
bool carob_load_row_is_fresh(const carob_load_row_t *row, uint64_t now_ns);

/**
 * @return estimated number of flows that were assigned to the instance and may
 *         be missing in its summary; decays exponentially
 */
double carob_load_row_recent_flows(const carob_load_row_t *row,
				   uint64_t now_ns);

/** Counts one more flow assigned to the instance. */
void carob_load_row_add_flow(carob_load_row_t *row, uint64_t now_ns);

/** @return work of the peers on an upstream, summed over fresh summaries */
carob_upstream_load_t
carob_load_table_peer_load(const carob_load_table_t *table,
			   carob_upstream_id_t upstream, uint64_t now_ns);

#endif
