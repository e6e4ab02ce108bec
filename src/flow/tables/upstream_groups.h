/**
 * @file upstream_groups.h
 * Maintenance of the upstream table's groups, by upstream_table.c only. A group
 * holds the upstreams of one service in one availability zone that are neither
 * draining nor gone.
 */
#ifndef CAROB_FLOW_TABLES_UPSTREAM_GROUPS_H
#define CAROB_FLOW_TABLES_UPSTREAM_GROUPS_H

#include "carobtrail/upstream_table.h"

/**
 * Makes room for one more member, so that `carob_upstream_group_join` can't
 * fail. Creates the group if it is missing.
 *
 * @param out receives the index of the group
 * @param table the table
 * @param service the service of the group
 * @param zone the availability zone of the group
 * @return 0 or CAROB_ENOMEM
 */
int carob_upstream_group_reserve(uint32_t *out, carob_upstream_table_t *table,
				 carob_name_id_t service, carob_name_id_t zone);

/** Adds an upstream, which is in no group, to a group with room for it. */
void carob_upstream_group_join(carob_upstream_table_t *table, uint32_t group,
			       carob_upstream_index_t index);

/** Removes an upstream from its group, if it is in one. */
void carob_upstream_group_leave(carob_upstream_table_t *table,
				carob_upstream_index_t index);

/** Releases the groups. */
void carob_upstream_groups_dispose(carob_upstream_table_t *table);

#endif
