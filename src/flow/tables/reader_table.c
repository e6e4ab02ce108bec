#include "carobtrail/reader_table.h"

#include <string.h>

static carob_reader_slot_t *find_slot(carob_reader_table_t *table,
				      carob_str_t zone, uint32_t slot)
{
	if (slot >= CAROB_READER_SLOTS || !carob_str_eq(table->zone, zone))
		return NULL;
	return &table->slots[slot];
}

void carob_reader_table_put(carob_reader_table_t *table,
			    const carob_reader_entry_t *entry,
			    uint64_t revision)
{
	carob_reader_slot_t *slot = find_slot(table, entry->zone, entry->slot);

	if (!slot || entry->name.len > CAROB_READER_NAME_MAX)
		return;
	slot->listed = true;
	if (revision <= slot->revision)
		return;
	slot->used = true;
	slot->revision = revision;
	slot->endpoint = entry->endpoint;
	memcpy(slot->name, entry->name.ptr, entry->name.len);
	slot->name[entry->name.len] = '\0';
	memcpy(slot->key, entry->key, sizeof(slot->key));
}

void carob_reader_table_remove(carob_reader_table_t *table, carob_str_t zone,
			       uint32_t slot_index, uint64_t revision)
{
	carob_reader_slot_t *slot = find_slot(table, zone, slot_index);

	if (!slot || revision < slot->revision)
		return;
	slot->used = false;
	slot->revision = revision;
}

void carob_reader_table_begin_era(carob_reader_table_t *table)
{
	for (size_t i = 0; i < CAROB_READER_SLOTS; i++)
		table->slots[i].revision = 0;
}

void carob_reader_table_begin_listing(carob_reader_table_t *table)
{
	for (size_t i = 0; i < CAROB_READER_SLOTS; i++)
		table->slots[i].listed = false;
}

void carob_reader_table_end_listing(carob_reader_table_t *table,
				    uint64_t revision)
{
	for (size_t i = 0; i < CAROB_READER_SLOTS; i++)
		if (!table->slots[i].listed &&
		    table->slots[i].revision <= revision)
			table->slots[i].used = false;
}

size_t carob_reader_table_slot_of(const carob_reader_table_t *table,
				  carob_str_t name)
{
	size_t i = 0;

	while (i < CAROB_READER_SLOTS &&
	       !(table->slots[i].used &&
		 carob_str_eq(carob_str_from(table->slots[i].name), name)))
		i++;
	return i;
}

size_t carob_reader_table_free_slot(const carob_reader_table_t *table)
{
	size_t i = 0;

	while (i < CAROB_READER_SLOTS && table->slots[i].used)
		i++;
	return i;
}
