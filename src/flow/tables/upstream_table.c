#include "carobtrail/upstream_table.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "flow/tables/upstream_groups.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAP 32

uint32_t carob_upstream_tag(uint64_t number)
{
	uint32_t tag = (uint32_t)(number >> 32) ^ (uint32_t)number;

	return tag ? tag : 1;
}

const char *carob_upstream_state_name(carob_upstream_state_t state)
{
	static const char *const names[] = {"ready", "draining", "lapsed",
					    "gone"};

	return names[state];
}

static void set_state(carob_upstream_table_t *table, carob_upstream_t *upstream,
		      carob_upstream_state_t state, uint64_t now_ns)
{
	upstream->state = state;
	upstream->changed_ns = now_ns;
	table->changes++;
	if (state == CAROB_UPSTREAM_DRAINING || state == CAROB_UPSTREAM_GONE) {
		carob_upstream_group_leave(
			table,
			(carob_upstream_index_t)(upstream - table->items));
		/* Outlier detection looks at members of groups only. */
		upstream->outlier = (carob_upstream_outlier_t){0};
	}
	CAROB_LOG(CAROB_EV_UPSTREAM_STATE,
		  CAROB_FIELD_CSTR("upstream", upstream->id),
		  CAROB_FIELD_CSTR("state", carob_upstream_state_name(state)),
		  CAROB_FIELD_CSTR("service",
				   carob_name_table_text(&table->services,
							 upstream->service)),
		  CAROB_FIELD_CSTR("zone",
				   carob_name_table_text(&table->zones,
							 upstream->zone)),
		  CAROB_FIELD_U64("revision", upstream->revision),
		  CAROB_FIELD_U64("open_flows", upstream->open_flows));
}

static void dispose_indexes(carob_upstream_table_t *table)
{
	carob_index_map_dispose(&table->by_id);
	carob_index_map_dispose(&table->by_tag);
	carob_index_map_dispose(&table->by_service);
}

static uint64_t hash_of_id(carob_str_t id)
{
	return carob_hash_bytes(0, id.ptr, id.len);
}

carob_upstream_index_t
carob_upstream_table_by_id(const carob_upstream_table_t *table, carob_str_t id)
{
	uint32_t index = carob_index_map_first(&table->by_id, hash_of_id(id));

	while (index != CAROB_INDEX_END &&
	       !carob_str_eq(carob_str_from(table->items[index].id), id))
		index = carob_index_map_next(&table->by_id, index);
	return index;
}

/* Different ids may have the same tag: an upstream that is not gone takes
 * precedence. */
carob_upstream_index_t
carob_upstream_table_by_tag(const carob_upstream_table_t *table, uint32_t tag)
{
	carob_upstream_index_t gone_index = CAROB_UPSTREAM_NONE;

	for (uint32_t index = carob_index_map_first(&table->by_tag, tag);
	     index != CAROB_INDEX_END;
	     index = carob_index_map_next(&table->by_tag, index)) {
		const carob_upstream_t *upstream = &table->items[index];

		if (upstream->tag != tag)
			continue;
		if (upstream->state != CAROB_UPSTREAM_GONE)
			return index;
		gone_index = index;
	}
	return gone_index;
}

/* Returns the first upstream of `service` in the chain from `index` on. */
static carob_upstream_index_t
skip_other_services(const carob_upstream_table_t *table, uint32_t index,
		    carob_name_id_t service)
{
	while (index != CAROB_INDEX_END &&
	       table->items[index].service != service)
		index = carob_index_map_next(&table->by_service, index);
	return index;
}

carob_upstream_index_t
carob_upstream_table_first_of_service(const carob_upstream_table_t *table,
				      carob_name_id_t service)
{
	return skip_other_services(
		table, carob_index_map_first(&table->by_service, service),
		service);
}

carob_upstream_index_t
carob_upstream_table_next_of_service(const carob_upstream_table_t *table,
				     carob_upstream_index_t index)
{
	return skip_other_services(
		table, carob_index_map_next(&table->by_service, index),
		table->items[index].service);
}

static void add_to_indexes(carob_upstream_table_t *table,
			   carob_upstream_index_t index)
{
	const carob_upstream_t *upstream = &table->items[index];
	uint64_t id = hash_of_id(carob_str_from(upstream->id));

	carob_index_map_add(&table->by_id, id, index);
	carob_index_map_add(&table->by_tag, upstream->tag, index);
	carob_index_map_add(&table->by_service, upstream->service, index);
}

static void remove_from_indexes(carob_upstream_table_t *table,
				carob_upstream_index_t index)
{
	const carob_upstream_t *upstream = &table->items[index];
	uint64_t id = hash_of_id(carob_str_from(upstream->id));

	carob_index_map_remove(&table->by_id, id, index);
	carob_index_map_remove(&table->by_tag, upstream->tag, index);
	carob_index_map_remove(&table->by_service, upstream->service, index);
}

static int resize_indexes(carob_upstream_table_t *table, size_t cap)
{
	carob_index_map_t by_id = {0};
	carob_index_map_t by_tag = {0};
	carob_index_map_t by_service = {0};

	if (carob_index_map_resize(&by_id, cap) != 0 ||
	    carob_index_map_resize(&by_tag, cap) != 0 ||
	    carob_index_map_resize(&by_service, cap) != 0) {
		carob_index_map_dispose(&by_id);
		carob_index_map_dispose(&by_tag);
		carob_index_map_dispose(&by_service);
		return CAROB_ENOMEM;
	}
	dispose_indexes(table);
	table->by_id = by_id;
	table->by_tag = by_tag;
	table->by_service = by_service;
	for (size_t i = 0; i < table->count; i++)
		if (table->items[i].used)
			add_to_indexes(table, (carob_upstream_index_t)i);
	return 0;
}

static int grow(carob_upstream_table_t *table)
{
	size_t cap = table->cap ? 2 * table->cap : FIRST_CAP;
	carob_upstream_t *items = realloc(table->items, cap * sizeof(*items));
	int error;

	if (!items)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate upstream table");
	table->items = items;
	error = resize_indexes(table, cap);
	if (!error)
		table->cap = cap;
	return error;
}

/* Finds a free element, or appends one if there is none, and zeroes it. */
static int allocate_element(carob_upstream_index_t *out,
			    carob_upstream_table_t *table)
{
	int error = 0;

	while (table->first_free < table->count &&
	       table->items[table->first_free].used)
		table->first_free++;
	if (table->first_free == table->cap)
		error = grow(table);
	if (error)
		return error;
	*out = (carob_upstream_index_t)table->first_free;
	if (table->first_free == table->count)
		table->count++;
	memset(&table->items[*out], 0, sizeof(table->items[*out]));
	return 0;
}

static int add_upstream(carob_upstream_index_t *out,
			carob_upstream_table_t *table, carob_str_t id)
{
	carob_upstream_t *upstream;
	int error;

	if (id.len > CAROB_UPSTREAM_ID_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "upstream id has %zu bytes, expected at "
				       "most %d",
				       id.len, CAROB_UPSTREAM_ID_MAX);
	error = allocate_element(out, table);
	if (error)
		return error;
	upstream = &table->items[*out];
	memcpy(upstream->id, id.ptr, id.len);
	upstream->state = CAROB_UPSTREAM_GONE;
	upstream->group = CAROB_INDEX_END;
	upstream->used = true;
	add_to_indexes(table, *out);
	return 0;
}

void carob_upstream_discard_evidence(carob_upstream_t *upstream)
{
	upstream->unanswered_syns = 0;
	upstream->refused_syns = 0;
	upstream->repeated_requests = 0;
	upstream->stalled = false;
	upstream->overdue_ns = 0;
	upstream->avoid_until_ns = 0;
}

static bool is_zone_evacuated(const carob_upstream_table_t *table,
			      carob_name_id_t zone)
{
	return zone < table->evacuated_zones_cap &&
	       table->evacuated_zones[zone];
}

/* Ensures that `evacuated_zones` has an element for a zone. */
static int ensure_zone(carob_upstream_table_t *table, carob_name_id_t zone)
{
	size_t cap = (size_t)zone + 1;
	bool *zones;

	if (zone < table->evacuated_zones_cap)
		return 0;
	zones = realloc(table->evacuated_zones, cap * sizeof(*zones));
	if (!zones)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate evacuated zones");
	memset(&zones[table->evacuated_zones_cap], 0,
	       (cap - table->evacuated_zones_cap) * sizeof(*zones));
	table->evacuated_zones = zones;
	table->evacuated_zones_cap = cap;
	return 0;
}

int carob_upstream_table_set_evacuated(size_t *out_count,
				       carob_upstream_table_t *table,
				       carob_str_t zone, bool evacuated)
{
	carob_name_id_t id;
	int error = carob_name_table_add(&id, &table->zones, zone);

	*out_count = 0;
	if (!error)
		error = ensure_zone(table, id);
	if (error)
		return error;
	table->evacuated_zones[id] = evacuated;
	table->changes++;
	for (size_t i = 0; i < table->count; i++) {
		carob_upstream_t *upstream = &table->items[i];

		if (!upstream->used || upstream->zone != id)
			continue;
		upstream->evacuated = evacuated;
		++*out_count;
	}
	return 0;
}

/* Copies the attributes of an entry, except service, zone and state. */
static void copy_entry(carob_upstream_t *upstream,
		       const carob_upstream_entry_t *entry, uint64_t now_ns)
{
	if (upstream->started_ms != entry->started_ms) {
		carob_upstream_discard_evidence(upstream);
		upstream->outlier = (carob_upstream_outlier_t){0};
		upstream->meter.answered = 0;
		upstream->meter.late = 0;
	}
	upstream->number = entry->number;
	upstream->tag = carob_upstream_tag(entry->number);
	upstream->endpoint = entry->endpoint;
	upstream->slots = entry->slots ? entry->slots : 1;
	upstream->started_ms = entry->started_ms;
	upstream->sequence = entry->sequence;
	upstream->cold_until_ns =
		now_ns + (uint64_t)entry->cold_ms * CAROB_NS_PER_MS;
	upstream->listed = true;
	upstream->removed_ns = 0;
}

/* Returns whether an entry is from before what is known of the upstream. With
 * the same sequence it tells nothing new, but a drain or a removal is later
 * than the entry. */
static bool is_outdated(const carob_upstream_t *upstream,
			const carob_upstream_entry_t *entry)
{
	if (entry->started_ms != upstream->started_ms)
		return entry->started_ms < upstream->started_ms;
	if (entry->sequence != upstream->sequence)
		return entry->sequence < upstream->sequence;
	return upstream->state == CAROB_UPSTREAM_DRAINING ||
	       upstream->state == CAROB_UPSTREAM_GONE;
}

int carob_upstream_table_put(carob_upstream_table_t *table,
			     const carob_upstream_entry_t *entry,
			     uint64_t revision, uint64_t now_ns)
{
	carob_upstream_index_t index =
		carob_upstream_table_by_id(table, entry->id);
	carob_upstream_state_t state = entry->draining ? CAROB_UPSTREAM_DRAINING
						       : CAROB_UPSTREAM_READY;
	carob_name_id_t service;
	carob_name_id_t zone;
	carob_upstream_t *upstream;
	uint32_t group;
	int error;

	if (index != CAROB_UPSTREAM_NONE) {
		table->items[index].listed = true;
		if (revision <= table->items[index].revision ||
		    (table->reconciling &&
		     is_outdated(&table->items[index], entry)))
			return CAROB_ESTALE;
	}
	error = carob_name_table_add(&service, &table->services,
				     entry->service);
	if (!error)
		error = carob_name_table_add(&zone, &table->zones, entry->zone);
	if (!error)
		error = carob_upstream_group_reserve(&group, table, service,
						     zone);
	if (!error && index == CAROB_UPSTREAM_NONE)
		error = add_upstream(&index, table, entry->id);
	if (error)
		return error;
	upstream = &table->items[index];
	remove_from_indexes(table, index);
	carob_upstream_group_leave(table, index);
	upstream->service = service;
	upstream->zone = zone;
	if (upstream->started_ms != entry->started_ms || entry->cold_ms > 0)
		table->changes++;
	upstream->evacuated = is_zone_evacuated(table, zone);
	copy_entry(upstream, entry, now_ns);
	add_to_indexes(table, index);
	upstream->revision = revision;
	if (upstream->state != state)
		set_state(table, upstream, state, now_ns);
	if (state == CAROB_UPSTREAM_READY)
		carob_upstream_group_join(table, group, index);
	return 0;
}

static void mark_removed(carob_upstream_table_t *table,
			 carob_upstream_t *upstream, carob_upstream_state_t to,
			 uint64_t now_ns)
{
	if (upstream->state == CAROB_UPSTREAM_GONE)
		return;
	if (upstream->state == CAROB_UPSTREAM_DRAINING)
		to = CAROB_UPSTREAM_GONE;
	if (upstream->state != to)
		set_state(table, upstream, to, now_ns);
}

void carob_upstream_table_remove(carob_upstream_table_t *table, carob_str_t id,
				 uint64_t revision, carob_upstream_state_t to,
				 uint64_t now_ns)
{
	carob_upstream_index_t index = carob_upstream_table_by_id(table, id);

	if (index == CAROB_UPSTREAM_NONE ||
	    revision < table->items[index].revision)
		return;
	table->items[index].revision = revision;
	mark_removed(table, &table->items[index], to, now_ns);
}

void carob_upstream_table_note_removal(carob_upstream_table_t *table,
				       carob_str_t id, uint64_t revision,
				       uint64_t now_ns)
{
	carob_upstream_index_t index = carob_upstream_table_by_id(table, id);

	if (index != CAROB_UPSTREAM_NONE &&
	    revision >= table->items[index].revision &&
	    table->items[index].state == CAROB_UPSTREAM_READY)
		table->items[index].removed_ns = now_ns;
}

void carob_upstream_table_distrust_removals(carob_upstream_table_t *table,
					    uint64_t since_ns)
{
	for (size_t i = 0; i < table->count; i++)
		if (table->items[i].removed_ns >= since_ns)
			table->items[i].removed_ns = 0;
}

void carob_upstream_table_begin_era(carob_upstream_table_t *table)
{
	table->reconciling = true;
	for (size_t i = 0; i < table->count; i++)
		table->items[i].revision = 0;
}

void carob_upstream_table_end_reconciling(carob_upstream_table_t *table)
{
	table->reconciling = false;
}

void carob_upstream_table_begin_listing(carob_upstream_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		table->items[i].listed = false;
}

void carob_upstream_table_end_listing(carob_upstream_table_t *table,
				      uint64_t revision,
				      carob_upstream_state_t to,
				      uint64_t now_ns)
{
	for (size_t i = 0; i < table->count; i++) {
		carob_upstream_t *upstream = &table->items[i];

		if (upstream->used && !upstream->listed &&
		    upstream->revision <= revision)
			mark_removed(table, upstream, to, now_ns);
	}
}

void carob_upstream_table_expire_lapsed(carob_upstream_table_t *table,
					uint64_t now_ns)
{
	for (size_t i = 0; i < table->count; i++) {
		carob_upstream_t *upstream = &table->items[i];

		if (upstream->used && upstream->state == CAROB_UPSTREAM_LAPSED)
			set_state(table, upstream, CAROB_UPSTREAM_GONE, now_ns);
	}
}

static void free_element(carob_upstream_table_t *table,
			 carob_upstream_index_t index)
{
	remove_from_indexes(table, index);
	carob_upstream_group_leave(table, index);
	table->items[index].used = false;
	if (index < table->first_free)
		table->first_free = index;
}

void carob_upstream_table_forget_gone(carob_upstream_table_t *table,
				      uint64_t after_ns, uint64_t now_ns)
{
	for (size_t i = 0; i < table->count; i++) {
		carob_upstream_t *upstream = &table->items[i];

		if (upstream->used && upstream->state == CAROB_UPSTREAM_GONE &&
		    upstream->open_flows == 0 &&
		    now_ns - upstream->changed_ns > after_ns)
			free_element(table, (carob_upstream_index_t)i);
	}
}

void carob_upstream_table_dispose(carob_upstream_table_t *table)
{
	free(table->items);
	free(table->evacuated_zones);
	dispose_indexes(table);
	carob_upstream_groups_dispose(table);
	carob_name_table_dispose(&table->services);
	carob_name_table_dispose(&table->zones);
	memset(table, 0, sizeof(*table));
}
