/**
 * @file items.h
 * Items of the emulated store, their common revision counter, and the history
 * of changes.
 */
#ifndef CAROB_EMULATOR_STORE_ITEMS_H
#define CAROB_EMULATOR_STORE_ITEMS_H

#include "carobtrail/str.h"

/** Number of changes that are kept for watches. */
#define STORE_HISTORY_MAX 4096

/** One item, or one change of an item. */
typedef struct store_item {
	char *key;
	char *value; /* base64; NULL: the change removed the item */
	uint64_t revision;
	uint64_t lease; /* 0: none */
} store_item_t;

/** All items, sorted by key. */
typedef struct store_items {
	store_item_t *items;
	size_t count;
	size_t cap;
	store_item_t history[STORE_HISTORY_MAX]; /* ring buffer */
	size_t history_first;
	size_t history_count;
	uint64_t compacted_revision; /* changes up to this one were dropped */
	uint64_t revision;	     /* revision of the last change */
	uint64_t era; /* rises when the items are restored from a copy */
} store_items_t;

/** Initialises an empty store at revision 1 of era 1; release it with
 * `store_items_dispose`. */
void store_items_init(store_items_t *items);

/**
 * Writes or removes an item.
 *
 * @param items the store's items
 * @param key key of the item
 * @param value the new value as JSON text; with `ptr` NULL the item is removed
 * @return 0 or CAROB_ENOMEM
 */
int store_items_write(store_items_t *items, carob_str_t key, carob_str_t value);

/**
 * Replaces all items by a copy that was made earlier. The revision goes back to
 * the copy's, the history is dropped and the era rises by one.
 *
 * @param items the store's items
 * @param copy a copy made by `store_items_copy`; unchanged
 * @return 0, or CAROB_ENOMEM: `items` is unchanged
 */
int store_items_restore(store_items_t *items, const store_items_t *copy);

/**
 * Copies the items and their revision, without the history.
 *
 * @param out receives the copy; release it with `store_items_dispose`
 * @param items the items
 * @return 0, or CAROB_ENOMEM: `out` is empty
 */
int store_items_copy(store_items_t *out, const store_items_t *items);

/**
 * Removes the items with a prefix that have not been written since a revision,
 * as if their leases had expired.
 * @return 0 or CAROB_ENOMEM
 */
int store_items_expire(store_items_t *items, const char *prefix,
		       uint64_t revision);

/**
 * Writes an item under a lease.
 *
 * @param items the store's items
 * @param key key of the item
 * @param value the value as base64 text
 * @param lease the lease, 0: none
 * @return 0 or CAROB_ENOMEM
 */
int store_items_write_leased(store_items_t *items, carob_str_t key,
			     carob_str_t value, uint64_t lease);

/** Removes the items of a lease. @return 0 or CAROB_ENOMEM */
int store_items_remove_lease(store_items_t *items, uint64_t lease);

/** Removes the items of all leases. @return 0 or CAROB_ENOMEM */
int store_items_remove_leased(store_items_t *items);

/** @return the revision of an item, 0 if there is none */
uint64_t store_items_revision(const store_items_t *items, carob_str_t key);

/** Drops the history; watches from an older revision then fail. */
void store_items_compact(store_items_t *items);

/** Appends a page of the items with a prefix, after the key `after`, as JSON.
 * @return 0 or CAROB_ENOMEM */
int store_items_list(carob_buf_t *out, const store_items_t *items,
		     const char *prefix, const char *after);

/** @return whether there are changes with the prefix after the revision */
bool store_items_changed(const store_items_t *items, const char *prefix,
			 uint64_t after);

/** Appends the changes with a prefix after a revision, as JSON.
 * @return 0 or CAROB_ENOMEM */
int store_items_changes(carob_buf_t *out, const store_items_t *items,
			const char *prefix, uint64_t after);

/** Releases all items. */
void store_items_dispose(store_items_t *items);

#endif
