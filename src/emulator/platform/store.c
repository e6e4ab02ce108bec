#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SESSION_SEED 0x706c6174ULL

static void on_expiry(carob_timer_t *timer);

void store_init(store_t *store, carob_kernel_t *kernel)
{
	memset(store, 0, sizeof(*store));
	store->kernel = kernel;
	store->index = 1;
	store->expiry.fire = on_expiry;
	carob_rng_init(&store->rng, carob_kernel_now_ns(kernel) ^ SESSION_SEED);
}

static void item_free(store_t *store, store_item_t *item)
{
	HASH_DEL(store->items, item);
	carob_buf_dispose(&item->value);
	free(item->key);
	free(item);
}

void store_dispose(store_t *store)
{
	store_item_t *item;
	store_item_t *next_item;
	store_session_t *session;
	store_session_t *next_session;

	HASH_ITER (hh, store->items, item, next_item)
		item_free(store, item);
	HASH_ITER (hh, store->sessions, session, next_session) {
		HASH_DEL(store->sessions, session);
		free(session);
	}
}

store_item_t *store_find(const store_t *store, const char *key)
{
	store_item_t *item;

	HASH_FIND_STR(store->items, key, item);
	return item;
}

uint64_t store_prefix_index(const store_t *store, const char *prefix)
{
	const store_item_t *item;
	const store_item_t *next;
	size_t len = strlen(prefix);
	uint64_t index = 0;

	HASH_ITER (hh, store->items, item, next)
		if (strncmp(item->key, prefix, len) == 0 &&
		    item->modify_index > index)
			index = item->modify_index;
	return index;
}

static void notify_change(store_t *store)
{
	if (store->on_change)
		store->on_change(store);
}

static store_session_t *find_session(const store_t *store, const char *id)
{
	store_session_t *session;

	HASH_FIND_STR(store->sessions, id, session);
	return session;
}

static bool cas_matches(const store_item_t *item,
			const store_condition_t *condition)
{
	if (!condition->has_cas)
		return true;
	return (item ? item->modify_index : 0) == condition->cas;
}

static bool lock_allows_write(const store_t *store, const store_item_t *item,
			      const store_condition_t *condition)
{
	if (condition->acquire) {
		if (!find_session(store, condition->acquire))
			return false;
		return !item || item->session[0] == '\0' ||
		       strcmp(item->session, condition->acquire) == 0;
	}
	if (condition->release)
		return item && strcmp(item->session, condition->release) == 0;
	return true;
}

static store_item_t *add_item(store_t *store, const char *key)
{
	store_item_t *item = calloc(1, sizeof(*item));

	if (!item)
		return NULL;
	item->key = strdup(key);
	if (!item->key) {
		free(item);
		return NULL;
	}
	item->create_index = store->index + 1;
	HASH_ADD_KEYPTR(hh, store->items, item->key, strlen(item->key), item);
	return item;
}

static void update_lock(store_item_t *item, const store_condition_t *condition)
{
	if (condition->acquire) {
		if (item->session[0] == '\0')
			item->lock_index++;
		(void)snprintf(item->session, sizeof(item->session), "%s",
			       condition->acquire);
	} else if (condition->release) {
		item->session[0] = '\0';
	}
}

bool store_put(store_t *store, const char *key, carob_str_t value,
	       uint64_t flags, const store_condition_t *condition)
{
	store_item_t *item = store_find(store, key);

	if (!cas_matches(item, condition) ||
	    !lock_allows_write(store, item, condition))
		return false;
	if (!item)
		item = add_item(store, key);
	if (!item)
		return false;
	carob_buf_clear(&item->value);
	if (carob_buf_append(&item->value, value.ptr, value.len) != 0)
		return false;
	item->flags = flags;
	item->modify_index = ++store->index;
	update_lock(item, condition);
	notify_change(store);
	return true;
}

bool store_delete(store_t *store, const char *key,
		  const store_condition_t *condition)
{
	store_item_t *item = store_find(store, key);

	if (item && !cas_matches(item, condition))
		return false;
	if (!item)
		return true;
	item_free(store, item);
	store->index++;
	notify_change(store);
	return true;
}

void store_delete_prefix(store_t *store, const char *prefix)
{
	store_item_t *item;
	store_item_t *next;
	size_t len = strlen(prefix);

	HASH_ITER (hh, store->items, item, next)
		if (strncmp(item->key, prefix, len) == 0)
			item_free(store, item);
	store->index++;
	notify_change(store);
}

/* Arms the timer for the session that expires first. */
static void arm_expiry(store_t *store)
{
	const store_session_t *session;
	const store_session_t *next;
	uint64_t due = UINT64_MAX;

	HASH_ITER (hh, store->sessions, session, next)
		if (session->ttl_ns > 0 && session->expires_ns < due)
			due = session->expires_ns;
	if (due == UINT64_MAX)
		carob_timer_cancel(store->kernel, &store->expiry);
	else
		(void)carob_timer_arm(store->kernel, &store->expiry, due);
}

store_session_t *store_session_create(store_t *store, uint64_t ttl_ns,
				      bool delete_keys)
{
	store_session_t *session = calloc(1, sizeof(*session));
	uint64_t a = carob_rng_u64(&store->rng);
	uint64_t b = carob_rng_u64(&store->rng);

	if (!session)
		return NULL;
	(void)snprintf(session->id, sizeof(session->id),
		       "%08x-%04x-%04x-%04x-%012llx", (unsigned int)(a >> 32),
		       (unsigned int)(a >> 16 & 0xffff),
		       (unsigned int)(a & 0xffff), (unsigned int)(b >> 48),
		       (unsigned long long)(b & 0xffffffffffffULL));
	session->ttl_ns = ttl_ns;
	session->expires_ns = carob_kernel_now_ns(store->kernel) + ttl_ns;
	session->delete_keys = delete_keys;
	HASH_ADD_STR(store->sessions, id, session);
	store->index++;
	arm_expiry(store);
	return session;
}

store_session_t *store_session_renew(store_t *store, const char *id)
{
	store_session_t *session = find_session(store, id);

	if (!session)
		return NULL;
	session->expires_ns =
		carob_kernel_now_ns(store->kernel) + session->ttl_ns;
	arm_expiry(store);
	return session;
}

static void end_session(store_t *store, store_session_t *session)
{
	store_item_t *item;
	store_item_t *next;

	HASH_ITER (hh, store->items, item, next) {
		if (strcmp(item->session, session->id) != 0)
			continue;
		if (session->delete_keys) {
			item_free(store, item);
			continue;
		}
		item->session[0] = '\0';
		item->modify_index = store->index + 1;
	}
	store->index++;
	HASH_DEL(store->sessions, session);
	free(session);
}

void store_session_destroy(store_t *store, const char *id)
{
	store_session_t *session = find_session(store, id);

	if (!session)
		return;
	end_session(store, session);
	arm_expiry(store);
	notify_change(store);
}

static void on_expiry(carob_timer_t *timer)
{
	store_t *store = CAROB_CONTAINER_OF(timer, store_t, expiry);
	uint64_t now = carob_kernel_now_ns(store->kernel);
	store_session_t *session;
	store_session_t *next;

	HASH_ITER (hh, store->sessions, session, next)
		if (session->ttl_ns > 0 && session->expires_ns <= now)
			end_session(store, session);
	arm_expiry(store);
	notify_change(store);
}
