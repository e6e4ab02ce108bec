#include "carobtrail/zone_table.h"

#include "carobtrail/errors.h"

#include <string.h>

static int find_or_add(carob_name_id_t *out, carob_zone_table_t *table,
		       carob_str_t name)
{
	*out = carob_name_table_find(&table->names, name);
	if (*out != CAROB_NAME_NONE)
		return 0;
	if (name.len > CAROB_ZONE_TABLE_NAME_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "zone name has %zu bytes, expected at "
				       "most %d",
				       name.len, CAROB_ZONE_TABLE_NAME_MAX);
	if (table->names.count == CAROB_ZONE_TABLE_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "more than %d zones were evacuated",
				       CAROB_ZONE_TABLE_MAX);
	return carob_name_table_add(out, &table->names, name);
}

int carob_zone_table_evacuate(carob_zone_table_t *table, carob_str_t name,
			      uint64_t revision, uint64_t now_ns)
{
	carob_name_id_t id;
	carob_zone_entry_t *zone;
	int error = find_or_add(&id, table, name);

	if (error)
		return error;
	zone = &table->items[id];
	zone->listed = true;
	if (revision <= zone->revision)
		return CAROB_ESTALE;
	zone->revision = revision;
	if (zone->evacuated)
		return CAROB_ESTALE;
	zone->evacuated = true;
	zone->since_ns = now_ns;
	return 0;
}

bool carob_zone_table_restore(uint64_t *out_since_ns, carob_zone_table_t *table,
			      carob_str_t name, uint64_t revision,
			      uint64_t now_ns)
{
	carob_name_id_t id = carob_name_table_find(&table->names, name);
	carob_zone_entry_t *zone;

	if (id == CAROB_NAME_NONE || revision < table->items[id].revision)
		return false;
	zone = &table->items[id];
	zone->revision = revision;
	if (!zone->evacuated)
		return false;
	*out_since_ns = zone->since_ns;
	zone->evacuated = false;
	zone->since_ns = now_ns;
	return true;
}

void carob_zone_table_begin_era(carob_zone_table_t *table)
{
	table->reconciling = true;
	for (size_t i = 0; i < table->names.count; i++)
		table->items[i].revision = 0;
}

void carob_zone_table_end_reconciling(carob_zone_table_t *table)
{
	table->reconciling = false;
}

void carob_zone_table_begin_listing(carob_zone_table_t *table)
{
	for (size_t i = 0; i < table->names.count; i++)
		table->items[i].listed = false;
}

bool carob_zone_table_is_unlisted(const carob_zone_table_t *table, size_t index,
				  uint64_t revision)
{
	const carob_zone_entry_t *zone = &table->items[index];

	return !table->reconciling && zone->evacuated && !zone->listed &&
	       zone->revision <= revision;
}

bool carob_zone_table_is_evacuated(const carob_zone_table_t *table,
				   carob_str_t name)
{
	carob_name_id_t id = carob_name_table_find(&table->names, name);

	return id != CAROB_NAME_NONE && table->items[id].evacuated;
}

size_t carob_zone_table_count_evacuated(const carob_zone_table_t *table)
{
	size_t count = 0;

	for (size_t i = 0; i < table->names.count; i++)
		count += table->items[i].evacuated;
	return count;
}

void carob_zone_table_dispose(carob_zone_table_t *table)
{
	carob_name_table_dispose(&table->names);
	memset(table, 0, sizeof(*table));
}
