/**
 * @file items.h
 * Items of the store with one revision counter, and the history of changes.
 */
#ifndef CAROB_EMULATOR_STORE_ITEMS_H
#define CAROB_EMULATOR_STORE_ITEMS_H

#include "carobtrail/str.h"

/** Changes that are kept for watches. */
#define STORE_HISTORY_MAX 4096

/** One item, or one change: without a value, it was removed. */
typedef struct store_item {
	char *key;
	char *value; /* base64; NULL: removed */
	uint64_t revision;
} store_item_t;

/** All items, in the order of their keys. */
typedef struct store_items {
	store_item_t *items;
	size_t count;
	size_t cap;
	store_item_t history[STORE_HISTORY_MAX]; /* a ring */
	size_t history_first;
	size_t history_count;
	uint64_t forgotten; /* changes up to this revision are gone */
	uint64_t revision;
} store_items_t;

/** Prepares an empty store at revision 1. */
void store_items_init(store_items_t *items);

/**
 * Writes an item, or removes it.
 *
 * @param value the new value, any bytes; `ptr` NULL: remove
 * @return 0 or CAROB_ENOMEM
 */
int store_items_write(store_items_t *items, carob_str_t key, carob_str_t value);

/** Drops the history: watches from an older revision find it gone. */
void store_items_compact(store_items_t *items);

/** Appends a page of items with a prefix, behind the key `after`, as JSON. */
int store_items_list(carob_buf_t *out, const store_items_t *items,
		     const char *prefix, const char *after);

/** @return whether there are changes with the prefix after the revision */
bool store_items_changed(const store_items_t *items, const char *prefix,
			 uint64_t after);

/** Appends the changes with a prefix after a revision, as JSON. */
int store_items_changes(carob_buf_t *out, const store_items_t *items,
			const char *prefix, uint64_t after);

/** Releases all items. */
void store_items_dispose(store_items_t *items);

#endif
