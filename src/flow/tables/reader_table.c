#include "carobtrail/reader_table.h"

#include <string.h>

/* Finds the slot of another zone. If it has none, `add` takes a free element,
 * or that of a zone without a reader. */
static carob_reader_slot_t *find_zone(carob_reader_table_t *table,
				      carob_str_t zone, bool add)
{
	carob_reader_zone_t *free_zone = NULL;

	if (zone.len == 0 || zone.len > CAROB_READER_NAME_MAX)
		return NULL;
	for (size_t i = 0; i < CAROB_READER_ZONES_MAX; i++) {
		carob_reader_zone_t *other = &table->others[i];

		if (carob_str_eq(carob_str_from(other->zone), zone))
			return &other->slot;
		if (!other->slot.used &&
		    (!free_zone || free_zone->zone[0] != '\0'))
			free_zone = other;
	}
	if (!add || !free_zone)
		return NULL;
	*free_zone = (carob_reader_zone_t){0};
	memcpy(free_zone->zone, zone.ptr, zone.len);
	return &free_zone->slot;
}

static carob_reader_slot_t *find_slot(carob_reader_table_t *table,
				      carob_str_t zone, uint32_t slot, bool add)
{
	if (slot >= CAROB_READER_SLOTS)
		return NULL;
	if (carob_str_eq(table->zone, zone))
		return &table->slots[slot];
	return slot == 0 ? find_zone(table, zone, add) : NULL;
}

void carob_reader_table_put(carob_reader_table_t *table,
			    const carob_reader_entry_t *entry,
			    uint64_t revision)
{
	carob_reader_slot_t *slot =
		find_slot(table, entry->zone, entry->slot, true);

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
	carob_reader_slot_t *slot = find_slot(table, zone, slot_index, false);

	if (!slot || revision < slot->revision)
		return;
	slot->used = false;
	slot->revision = revision;
}

void carob_reader_table_begin_era(carob_reader_table_t *table)
{
	for (size_t i = 0; i < CAROB_READER_SLOTS; i++)
		table->slots[i].revision = 0;
	for (size_t i = 0; i < CAROB_READER_ZONES_MAX; i++)
		table->others[i].slot.revision = 0;
}

void carob_reader_table_begin_listing(carob_reader_table_t *table)
{
	for (size_t i = 0; i < CAROB_READER_SLOTS; i++)
		table->slots[i].listed = false;
	for (size_t i = 0; i < CAROB_READER_ZONES_MAX; i++)
		table->others[i].slot.listed = false;
}

static void end_listing(carob_reader_slot_t *slot, uint64_t revision)
{
	if (!slot->listed && slot->revision <= revision)
		slot->used = false;
}

void carob_reader_table_end_listing(carob_reader_table_t *table,
				    uint64_t revision)
{
	for (size_t i = 0; i < CAROB_READER_SLOTS; i++)
		end_listing(&table->slots[i], revision);
	for (size_t i = 0; i < CAROB_READER_ZONES_MAX; i++)
		end_listing(&table->others[i].slot, revision);
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
