#include "carobtrail/upstream_table.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

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

carob_upstream_index_t
carob_upstream_table_by_id(const carob_upstream_table_t *table, carob_str_t id)
{
	for (size_t i = 0; i < table->count; i++)
		if (table->items[i].used &&
		    carob_str_eq(carob_str_from(table->items[i].id), id))
			return (carob_upstream_index_t)i;
	return CAROB_UPSTREAM_NONE;
}

/* Of two ids with one tag, the one that is still listed has it. */
carob_upstream_index_t
carob_upstream_table_by_tag(const carob_upstream_table_t *table, uint32_t tag)
{
	carob_upstream_index_t found = CAROB_UPSTREAM_NONE;

	for (size_t i = 0; i < table->count; i++) {
		const carob_upstream_t *upstream = &table->items[i];

		if (!upstream->used || upstream->tag != tag)
			continue;
		if (found == CAROB_UPSTREAM_NONE ||
		    upstream->state != CAROB_UPSTREAM_GONE)
			found = (carob_upstream_index_t)i;
	}
	return found;
}

static int grow(carob_upstream_table_t *table)
{
	size_t cap = table->cap ? 2 * table->cap : FIRST_CAP;
	carob_upstream_t *items = realloc(table->items, cap * sizeof(*items));

	if (!items)
		return carob_error_set(CAROB_ENOMEM, "upstream table");
	table->items = items;
	table->cap = cap;
	return 0;
}

static int take_place(carob_upstream_t **out, carob_upstream_table_t *table)
{
	int error;

	for (size_t i = 0; i < table->count; i++) {
		if (!table->items[i].used) {
			*out = &table->items[i];
			memset(*out, 0, sizeof(**out));
			return 0;
		}
	}
	error = table->count == table->cap ? grow(table) : 0;
	if (error)
		return error;
	*out = &table->items[table->count++];
	memset(*out, 0, sizeof(**out));
	return 0;
}

static int add(carob_upstream_t **out, carob_upstream_table_t *table,
	       carob_str_t id)
{
	carob_upstream_t *upstream;
	int error;

	if (id.len > CAROB_UPSTREAM_ID_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "upstream id of %zu bytes: expected at "
				       "most %d",
				       id.len, CAROB_UPSTREAM_ID_MAX);
	error = take_place(&upstream, table);
	if (error)
		return error;
	memcpy(upstream->id, id.ptr, id.len);
	upstream->state = CAROB_UPSTREAM_GONE;
	*out = upstream;
	return 0;
}

/* A new incarnation knows nothing of what the one before failed to answer. */
static void forget_failures(carob_upstream_t *upstream)
{
	upstream->failures = 0;
	upstream->waiting = 0;
	upstream->avoid_until_ns = 0;
}

/* Takes over what an entry says, but for its state. */
static int fill(carob_upstream_table_t *table, carob_upstream_t *upstream,
		const carob_upstream_entry_t *entry, uint64_t now_ns)
{
	int error = carob_name_table_add(&upstream->service, &table->services,
					 entry->service);

	if (!error)
		error = carob_name_table_add(&upstream->zone, &table->zones,
					     entry->zone);
	if (error)
		return error;
	if (upstream->started_ms != entry->started_ms)
		forget_failures(upstream);
	upstream->number = entry->number;
	upstream->tag = carob_upstream_tag(entry->number);
	upstream->endpoint = entry->endpoint;
	upstream->slots = entry->slots ? entry->slots : 1;
	upstream->started_ms = entry->started_ms;
	upstream->cold_until_ns =
		now_ns + (uint64_t)entry->cold_ms * CAROB_NS_PER_MS;
	upstream->used = true;
	upstream->listed = true;
	return 0;
}

int carob_upstream_table_put(carob_upstream_table_t *table,
			     const carob_upstream_entry_t *entry,
			     uint64_t revision, uint64_t now_ns)
{
	carob_upstream_index_t at =
		carob_upstream_table_by_id(table, entry->id);
	carob_upstream_state_t state = entry->draining ? CAROB_UPSTREAM_DRAINING
						       : CAROB_UPSTREAM_READY;
	carob_upstream_t *upstream = NULL;
	int error;

	if (at == CAROB_UPSTREAM_NONE) {
		error = add(&upstream, table, entry->id);
		if (!upstream)
			return error;
	} else {
		upstream = &table->items[at];
		upstream->listed = true;
		if (revision <= upstream->revision)
			return CAROB_ESTALE;
	}
	error = fill(table, upstream, entry, now_ns);
	if (error)
		return error;
	upstream->revision = revision;
	if (upstream->state != state)
		set_state(table, upstream, state, now_ns);
	return 0;
}

static void remove_one(carob_upstream_table_t *table,
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
	carob_upstream_index_t at = carob_upstream_table_by_id(table, id);

	if (at == CAROB_UPSTREAM_NONE || revision < table->items[at].revision)
		return;
	table->items[at].revision = revision;
	remove_one(table, &table->items[at], to, now_ns);
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
			remove_one(table, upstream, to, now_ns);
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

void carob_upstream_table_forget_gone(carob_upstream_table_t *table,
				      uint64_t after_ns, uint64_t now_ns)
{
	for (size_t i = 0; i < table->count; i++) {
		carob_upstream_t *upstream = &table->items[i];

		if (upstream->used && upstream->state == CAROB_UPSTREAM_GONE &&
		    upstream->open_flows == 0 &&
		    now_ns - upstream->changed_ns > after_ns)
			upstream->used = false;
	}
}

void carob_upstream_table_dispose(carob_upstream_table_t *table)
{
	free(table->items);
	carob_name_table_dispose(&table->services);
	carob_name_table_dispose(&table->zones);
	memset(table, 0, sizeof(*table));
}
