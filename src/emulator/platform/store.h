/**
 * @file store.h
 * Keys, values and sessions of the platform's key-value service, with indexes
 * as in Consul's published API.
 */
#ifndef CAROB_PLATFORM_STORE_H
#define CAROB_PLATFORM_STORE_H

#include "carobtrail/kernel.h"
#include "carobtrail/rng.h"
#include "carobtrail/str.h"

#include <uthash.h>

#define PLATFORM_SESSION_ID_BYTES 37 /* a UUID with its NUL byte */

/** A key with its value. */
typedef struct store_item {
	char *key;
	carob_buf_t value;
	uint64_t create_index;
	uint64_t modify_index;
	uint64_t lock_index;
	uint64_t flags;
	char session[PLATFORM_SESSION_ID_BYTES]; /* lock holder, or empty */
	UT_hash_handle hh;
} store_item_t;

/** A session, which its holder must renew before its time to live ends. */
typedef struct store_session {
	char id[PLATFORM_SESSION_ID_BYTES];
	uint64_t ttl_ns; /* 0: does not expire */
	uint64_t expires_ns;
	bool delete_keys; /* its keys are deleted when it ends; else released */
	UT_hash_handle hh;
} store_session_t;

/** Data of the service. */
typedef struct store {
	carob_kernel_t *kernel;
	carob_rng_t rng;
	uint64_t index; /* raised by each change */
	store_item_t *items;
	store_session_t *sessions;
	carob_timer_t expiry;
	/** Called after each change. */
	void (*on_change)(struct store *store);
} store_t;

/** Initialises an empty store; release it with `store_dispose`. */
void store_init(store_t *store, carob_kernel_t *kernel);

/** Releases all keys and sessions. */
void store_dispose(store_t *store);

/** @return the item with a key, borrowed, or NULL */
store_item_t *store_find(const store_t *store, const char *key);

/** @return the highest modify index of all keys with the prefix, or 0 */
uint64_t store_prefix_index(const store_t *store, const char *prefix);

/** Condition of a write, and its change of the key's lock. */
typedef struct store_condition {
	bool has_cas;
	uint64_t cas;	     /* required modify index; 0: no such key */
	const char *acquire; /* session that locks the key, or NULL */
	const char *release; /* session that unlocks it, or NULL */
} store_condition_t;

/** Writes a key if the condition is met. @return whether it was written */
bool store_put(store_t *store, const char *key, carob_str_t value,
	       uint64_t flags, const store_condition_t *condition);

/** Deletes a key if the condition is met. @return whether the condition is met
 * or there is no such key */
bool store_delete(store_t *store, const char *key,
		  const store_condition_t *condition);

/** Deletes all keys with a prefix. */
void store_delete_prefix(store_t *store, const char *prefix);

/** Creates a session. @return the session, borrowed, or NULL without memory */
store_session_t *store_session_create(store_t *store, uint64_t ttl_ns,
				      bool delete_keys);

/** Renews a session. @return the session, borrowed, or NULL if it has expired
 * or never existed */
store_session_t *store_session_renew(store_t *store, const char *id);

/** Ends a session; the keys that it has locked are released or deleted. */
void store_session_destroy(store_t *store, const char *id);

#endif
