#include "flow/tables/upstream_groups.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAP 8

carob_upstream_group_t *
carob_upstream_table_first_group(const carob_upstream_table_t *table,
				 carob_name_id_t service)
{
	if (service >= table->group_head_count ||
	    table->group_heads[service] == CAROB_INDEX_END)
		return NULL;
	return &table->groups[table->group_heads[service]];
}

carob_upstream_group_t *
carob_upstream_table_next_group(const carob_upstream_table_t *table,
				const carob_upstream_group_t *group)
{
	return group->next == CAROB_INDEX_END ? NULL
					      : &table->groups[group->next];
}

static int ensure_head(carob_upstream_table_t *table, carob_name_id_t service)
{
	size_t count = (size_t)service + 1;
	uint32_t *heads;

	if (service < table->group_head_count)
		return 0;
	heads = realloc(table->group_heads, count * sizeof(*heads));
	if (!heads)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate upstream groups");
	for (size_t i = table->group_head_count; i < count; i++)
		heads[i] = CAROB_INDEX_END;
	table->group_heads = heads;
	table->group_head_count = count;
	return 0;
}

static const char *zone_name(const carob_upstream_table_t *table,
			     carob_name_id_t zone)
{
	return carob_name_table_text(&table->zones, zone);
}

/* Links a group into the list of its service, in the order of zone names: the
 * numbers of names differ between instances. */
static void link_group(carob_upstream_table_t *table, uint32_t index)
{
	carob_upstream_group_t *group = &table->groups[index];
	uint32_t *link = &table->group_heads[group->service];

	while (*link != CAROB_INDEX_END &&
	       strcmp(zone_name(table, table->groups[*link].zone),
		      zone_name(table, group->zone)) < 0)
		link = &table->groups[*link].next;
	group->next = *link;
	*link = index;
}

static int add_group(uint32_t *out, carob_upstream_table_t *table,
		     carob_name_id_t service, carob_name_id_t zone)
{
	size_t count = table->group_count + 1;
	carob_upstream_group_t *groups =
		realloc(table->groups, count * sizeof(*groups));

	if (!groups)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate upstream groups");
	table->groups = groups;
	*out = (uint32_t)table->group_count;
	table->group_count = count;
	groups[*out] =
		(carob_upstream_group_t){.service = service, .zone = zone};
	link_group(table, *out);
	return 0;
}

static int ensure_room(carob_upstream_group_t *group)
{
	uint32_t cap = group->cap ? 2 * group->cap : FIRST_CAP;
	carob_upstream_index_t *members;

	if (group->count < group->cap)
		return 0;
	members = realloc(group->members, cap * sizeof(*members));
	if (!members)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate upstream group");
	group->members = members;
	group->cap = cap;
	return 0;
}

int carob_upstream_group_reserve(uint32_t *out, carob_upstream_table_t *table,
				 carob_name_id_t service, carob_name_id_t zone)
{
	int error = ensure_head(table, service);

	if (error)
		return error;
	*out = table->group_heads[service];
	while (*out != CAROB_INDEX_END && table->groups[*out].zone != zone)
		*out = table->groups[*out].next;
	if (*out == CAROB_INDEX_END)
		error = add_group(out, table, service, zone);
	return error ? error : ensure_room(&table->groups[*out]);
}

/* Returns the position of the first member whose number is not lower. */
static uint32_t position_of(const carob_upstream_table_t *table,
			    const carob_upstream_group_t *group,
			    uint64_t number)
{
	uint32_t low = 0;
	uint32_t high = group->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (table->items[group->members[middle]].number < number)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void carob_upstream_group_join(carob_upstream_table_t *table, uint32_t group,
			       carob_upstream_index_t index)
{
	carob_upstream_group_t *to = &table->groups[group];
	uint32_t at = position_of(table, to, table->items[index].number);

	memmove(&to->members[at + 1], &to->members[at],
		(to->count - at) * sizeof(*to->members));
	to->members[at] = index;
	to->count++;
	table->items[index].group = group;
}

void carob_upstream_group_leave(carob_upstream_table_t *table,
				carob_upstream_index_t index)
{
	carob_upstream_t *upstream = &table->items[index];
	carob_upstream_group_t *from;
	uint32_t at;

	if (upstream->group == CAROB_INDEX_END)
		return;
	from = &table->groups[upstream->group];
	at = position_of(table, from, upstream->number);
	/* Upstreams with different ids may have the same number. */
	while (from->members[at] != index)
		at++;
	from->count--;
	memmove(&from->members[at], &from->members[at + 1],
		(from->count - at) * sizeof(*from->members));
	upstream->group = CAROB_INDEX_END;
}

void carob_upstream_groups_dispose(carob_upstream_table_t *table)
{
	for (size_t i = 0; i < table->group_count; i++)
		free(table->groups[i].members);
	free(table->groups);
	free(table->group_heads);
}
