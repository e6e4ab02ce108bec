#include "items.h"

#include "carobtrail/errors.h"
#include "emulator/common/cbor_json.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 64
#define PAGE_ITEMS	 50 /* small, so that tests cover several pages */

void store_items_init(store_items_t *items)
{
	memset(items, 0, sizeof(*items));
	items->revision = 1;
	items->era = 1;
}

/* Converts a value from JSON to CBOR in base64 text, the form in which values
 * are kept. Returns NULL if the value is malformed or memory runs out. */
static char *encode_value(carob_str_t value)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t bytes = CAROB_BUF_INIT;
	char *text;
	size_t len;

	if (cbor_json_encode_text(&bytes, value) != 0)
		return NULL;
	len = sodium_base64_encoded_len(bytes.len,
					sodium_base64_VARIANT_ORIGINAL);
	text = malloc(len);
	if (text)
		sodium_bin2base64(text, len, (const uint8_t *)bytes.ptr,
				  bytes.len, sodium_base64_VARIANT_ORIGINAL);
	return text;
}

static void item_clear(store_item_t *item)
{
	free(item->key);
	free(item->value);
	memset(item, 0, sizeof(*item));
}

/* Appends a change to the history, in place of the oldest one if it is full. */
static void append_history(store_items_t *items, const store_item_t *change)
{
	size_t position;

	if (items->history_count == STORE_HISTORY_MAX) {
		store_item_t *first = &items->history[items->history_first];

		items->compacted_revision = first->revision;
		item_clear(first);
		items->history_first =
			(items->history_first + 1) % STORE_HISTORY_MAX;
		items->history_count--;
	}
	position = (items->history_first + items->history_count++) %
		   STORE_HISTORY_MAX;
	items->history[position].key = strdup(change->key);
	items->history[position].value = change->value ? strdup(change->value)
						       : NULL;
	items->history[position].revision = change->revision;
}

/* Returns the position of a key, or where it would be inserted. */
static size_t position_of(const store_items_t *items, const char *key,
			  bool *found)
{
	size_t position = 0;

	while (position < items->count &&
	       strcmp(items->items[position].key, key) < 0)
		position++;
	*found = position < items->count &&
		 strcmp(items->items[position].key, key) == 0;
	return position;
}

static int ensure_capacity(store_items_t *items)
{
	size_t cap = items->cap ? 2 * items->cap : INITIAL_CAPACITY;
	store_item_t *new_items;

	if (items->count < items->cap)
		return 0;
	new_items = realloc(items->items, cap * sizeof(*new_items));
	if (!new_items)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate store items");
	items->items = new_items;
	items->cap = cap;
	return 0;
}

static void remove_at(store_items_t *items, size_t position)
{
	item_clear(&items->items[position]);
	items->count--;
	memmove(&items->items[position], &items->items[position + 1],
		(items->count - position) * sizeof(*items->items));
}

static int insert_at(store_items_t *items, size_t position,
		     const store_item_t *item)
{
	int error = ensure_capacity(items);

	if (error)
		return error;
	memmove(&items->items[position + 1], &items->items[position],
		(items->count - position) * sizeof(*items->items));
	items->items[position] = *item;
	items->count++;
	return 0;
}

/* Writes an item, whose strings are taken over; without a value it is removed. */
static int write_item(store_items_t *items, store_item_t *item)
{
	bool found;
	size_t position = position_of(items, item->key, &found);

	if (!item->value && !found) {
		item_clear(item);
		return 0;
	}
	item->revision = ++items->revision;
	append_history(items, item);
	if (found)
		remove_at(items, position);
	if (item->value)
		return insert_at(items, position, item);
	item_clear(item);
	return 0;
}

int store_items_write(store_items_t *items, carob_str_t key, carob_str_t value)
{
	store_item_t item = {.key = strndup(key.ptr, key.len),
			     .value = value.ptr ? encode_value(value) : NULL};

	return write_item(items, &item);
}

int store_items_write_leased(store_items_t *items, carob_str_t key,
			     carob_str_t value, uint64_t lease)
{
	store_item_t item = {.key = strndup(key.ptr, key.len),
			     .value = strndup(value.ptr, value.len),
			     .lease = lease};

	return write_item(items, &item);
}

/* Removes the items of one lease, or with `lease` 0 those of all leases. */
static int remove_leased(store_items_t *items, uint64_t lease)
{
	size_t position = 0;
	int error = 0;

	while (!error && position < items->count) {
		const store_item_t *item = &items->items[position];

		if (item->lease == 0 || (lease && item->lease != lease))
			position++;
		else
			error = store_items_write(items,
						  carob_str_from(item->key),
						  (carob_str_t){NULL, 0});
	}
	return error;
}

int store_items_remove_lease(store_items_t *items, uint64_t lease)
{
	return remove_leased(items, lease);
}

int store_items_remove_leased(store_items_t *items)
{
	return remove_leased(items, 0);
}

uint64_t store_items_revision(const store_items_t *items, carob_str_t key)
{
	for (size_t i = 0; i < items->count; i++)
		if (carob_str_eq(carob_str_from(items->items[i].key), key))
			return items->items[i].revision;
	return 0;
}

void store_items_compact(store_items_t *items)
{
	while (items->history_count > 0) {
		item_clear(&items->history[items->history_first]);
		items->history_first =
			(items->history_first + 1) % STORE_HISTORY_MAX;
		items->history_count--;
	}
	items->compacted_revision = items->revision;
}

static int copy_item(store_item_t *out, const store_item_t *item)
{
	out->key = strdup(item->key);
	out->value = strdup(item->value);
	out->revision = item->revision;
	out->lease = item->lease;
	return out->key && out->value ? 0 : CAROB_ENOMEM;
}

int store_items_copy(store_items_t *out, const store_items_t *items)
{
	int error = 0;

	memset(out, 0, sizeof(*out));
	out->items = calloc(items->count + 1, sizeof(*out->items));
	if (!out->items)
		error = CAROB_ENOMEM;
	out->cap = items->count + 1;
	for (size_t i = 0; !error && i < items->count; i++) {
		error = copy_item(&out->items[i], &items->items[i]);
		out->count++;
	}
	out->revision = items->revision;
	if (!error)
		return 0;
	store_items_dispose(out);
	return carob_error_set(error, "cannot copy the store items");
}

int store_items_restore(store_items_t *items, const store_items_t *copy)
{
	uint64_t era = items->era;
	store_items_t restored;
	int error = store_items_copy(&restored, copy);

	if (error)
		return error;
	store_items_dispose(items);
	*items = restored;
	items->era = era + 1;
	items->compacted_revision = items->revision;
	return 0;
}

static bool has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

int store_items_expire(store_items_t *items, const char *prefix,
		       uint64_t revision)
{
	size_t position = 0;
	int error = 0;

	while (!error && position < items->count) {
		const store_item_t *item = &items->items[position];

		if (item->revision > revision || !has_prefix(item->key, prefix))
			position++;
		else
			error = store_items_write(items,
						  carob_str_from(item->key),
						  (carob_str_t){NULL, 0});
	}
	return error;
}

static int append_item(carob_buf_t *out, const store_item_t *item, bool first)
{
	if (!item->value)
		return carob_buf_printf(
			out,
			"%s{\"key\":\"%s\",\"revision\":%" PRIu64
			",\"tombstone\":true}",
			first ? "" : ",", item->key, item->revision);
	return carob_buf_printf(out,
				"%s{\"key\":\"%s\",\"value\":\"%s\","
				"\"revision\":%" PRIu64 ",\"created\":%" PRIu64
				",\"lease\":0}",
				first ? "" : ",", item->key, item->value,
				item->revision, item->revision);
}

int store_items_list(carob_buf_t *out, const store_items_t *items,
		     const char *prefix, const char *after)
{
	size_t listed = 0;
	bool truncated = false;
	int error = carob_buf_printf(out, "{\"items\":[");

	for (size_t i = 0; !error && i < items->count; i++) {
		const store_item_t *item = &items->items[i];

		if (!has_prefix(item->key, prefix) ||
		    strcmp(item->key, after) <= 0)
			continue;
		truncated = listed == PAGE_ITEMS;
		if (truncated)
			break;
		error = append_item(out, item, listed++ == 0);
	}
	if (error)
		return error;
	return carob_buf_printf(out,
				"],\"truncated\":%s,\"current_rev\":%" PRIu64
				"}",
				truncated ? "true" : "false", items->revision);
}

static const store_item_t *change_at(const store_items_t *items, size_t i)
{
	return &items->history[(items->history_first + i) % STORE_HISTORY_MAX];
}

bool store_items_changed(const store_items_t *items, const char *prefix,
			 uint64_t after)
{
	for (size_t i = 0; i < items->history_count; i++)
		if (change_at(items, i)->revision > after &&
		    has_prefix(change_at(items, i)->key, prefix))
			return true;
	return false;
}

int store_items_changes(carob_buf_t *out, const store_items_t *items,
			const char *prefix, uint64_t after)
{
	bool first = true;
	int error = carob_buf_printf(out, "{\"events\":[");

	for (size_t i = 0; !error && i < items->history_count; i++) {
		const store_item_t *change = change_at(items, i);

		if (change->revision <= after ||
		    !has_prefix(change->key, prefix))
			continue;
		error = append_item(out, change, first);
		first = false;
	}
	if (error)
		return error;
	return carob_buf_printf(out, "],\"current_rev\":%" PRIu64 "}",
				items->revision);
}

void store_items_dispose(store_items_t *items)
{
	store_items_compact(items);
	for (size_t i = 0; i < items->count; i++)
		item_clear(&items->items[i]);
	free(items->items);
	memset(items, 0, sizeof(*items));
}
