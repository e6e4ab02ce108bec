/*
 * The records of past and current requests, by which duplicates are detected,
 * and the tombstones of cancels that arrived before their requests.
 */
#include "core/requests/entry_priv.h"

#include <stdlib.h>
#include <string.h>

#define EXCHANGE_LIFETIME_S  247 /* RFC 7252, section 4.8.2 */
#define SWEEP_PERIOD_NS	     (2 * CAROB_NS_PER_S)
#define SWEEP_STEP_MAX_NS    (3 * CAROB_NS_PER_S)
#define TOMBSTONE_LIFETIME_S 2

/* A cancel that arrived before its request. */
struct carob_tombstone {
	carob_exchange_key_t key;
	uint64_t expires_ns; /* on the clock of the records */
	UT_hash_handle hh;
};

void carob_exchange_key_init(carob_exchange_key_t *key, carob_flow_id_t flow,
			     const carob_msg_t *msg)
{
	memset(key, 0, sizeof(*key));
	key->flow = flow;
	key->token_len = msg->token_len;
	memcpy(key->token, msg->token, msg->token_len);
	key->mid = msg->mid;
}

/*
 * The clock by which records expire advances only while the process runs.
 * Packets that waited in the socket during a pause still find the records that
 * existed when the pause began.
 */
static void advance_clock(carob_entry_t *entry)
{
	carob_record_store_t *store = &entry->record_store;
	uint64_t now = carob_entry_now(entry);
	uint64_t step = now - store->swept_ns;

	if (step > SWEEP_STEP_MAX_NS)
		step = SWEEP_STEP_MAX_NS;
	store->clock_ns += step;
	store->swept_ns = now;
}

static uint32_t store_now_s(const carob_record_store_t *store)
{
	return (uint32_t)(store->clock_ns / CAROB_NS_PER_S);
}

static size_t record_bytes(const carob_record_t *record)
{
	return sizeof(*record) + (record->answer ? record->answer->len : 0);
}

/* Restarts the lifetime of a record and makes it the newest of its table. */
static void renew_expiry(carob_record_store_t *store, carob_record_t *record)
{
	carob_record_t **table = &store->records[record->idempotent];

	HASH_DEL(*table, record);
	record->expires_s = store_now_s(store) + EXCHANGE_LIFETIME_S;
	HASH_ADD(hh, *table, key, sizeof(record->key), record);
}

/* The tables iterate in insertion order, so the oldest records come first. */
static void sweep_records(carob_entry_t *entry, bool idempotent)
{
	carob_record_store_t *store = &entry->record_store;
	carob_record_t *record;
	carob_record_t *next;

	HASH_ITER (hh, store->records[idempotent], record, next) {
		if (record->expires_s > store_now_s(store))
			return;
		if (record->state == CAROB_RECORD_IN_PROGRESS)
			renew_expiry(store, record);
		else
			carob_record_free(entry, record);
	}
}

static void sweep_tombstones(carob_record_store_t *store)
{
	carob_tombstone_t *tombstone;
	carob_tombstone_t *next;

	HASH_ITER (hh, store->tombstones, tombstone, next) {
		if (tombstone->expires_ns > store->clock_ns)
			return;
		HASH_DEL(store->tombstones, tombstone);
		free(tombstone);
	}
}

static void arm_sweep(carob_entry_t *entry)
{
	carob_record_store_t *store = &entry->record_store;

	if (carob_timer_armed(&store->sweep))
		return;
	store->swept_ns = carob_entry_now(entry);
	carob_timer_arm(entry->kernel, &store->sweep,
			store->swept_ns + SWEEP_PERIOD_NS);
}

static void on_sweep(carob_timer_t *timer)
{
	carob_entry_t *entry =
		CAROB_CONTAINER_OF(timer, carob_entry_t, record_store.sweep);
	carob_record_store_t *store = &entry->record_store;

	advance_clock(entry);
	sweep_records(entry, false);
	sweep_records(entry, true);
	sweep_tombstones(store);
	if (store->records[false] || store->records[true] || store->tombstones)
		arm_sweep(entry);
}

void carob_record_store_init(carob_entry_t *entry, size_t bytes_max)
{
	entry->record_store.bytes_max = bytes_max;
	entry->record_store.sweep.fire = on_sweep;
}

static void free_records(carob_entry_t *entry, bool idempotent)
{
	carob_record_t *record;
	carob_record_t *next;

	HASH_ITER (hh, entry->record_store.records[idempotent], record, next)
		carob_record_free(entry, record);
}

void carob_record_store_dispose(carob_entry_t *entry)
{
	carob_record_store_t *store = &entry->record_store;
	carob_tombstone_t *tombstone;
	carob_tombstone_t *next;

	carob_timer_cancel(entry->kernel, &store->sweep);
	free_records(entry, false);
	free_records(entry, true);
	HASH_ITER (hh, store->tombstones, tombstone, next) {
		HASH_DEL(store->tombstones, tombstone);
		free(tombstone);
	}
}

carob_record_t *carob_record_find(const carob_entry_t *entry,
				  const carob_exchange_key_t *key,
				  bool idempotent)
{
	carob_record_t *record;

	HASH_FIND(hh, entry->record_store.records[idempotent], key,
		  sizeof(*key), record);
	return record;
}

static void drop_answer(carob_record_store_t *store, carob_record_t *record)
{
	if (!record->answer)
		return;
	store->bytes -= record->answer->len;
	free(record->answer);
	record->answer = NULL;
}

/* Eviction frees an eighth of the limit at a time, so that it is rare. */
static size_t eviction_target(const carob_record_store_t *store)
{
	return store->bytes_max - store->bytes_max / 8;
}

/* Idempotent requests are evicted first: a second run does no harm. */
static void evict_idempotent(carob_entry_t *entry)
{
	carob_record_store_t *store = &entry->record_store;
	carob_record_t *record;
	carob_record_t *next;

	HASH_ITER (hh, store->records[true], record, next) {
		if (store->bytes <= eviction_target(store))
			return;
		if (record->state == CAROB_RECORD_IN_PROGRESS)
			continue;
		store->evicted = true;
		store->evicted_until_s =
			store_now_s(store) + EXCHANGE_LIFETIME_S;
		carob_record_free(entry, record);
	}
}

/*
 * Drops stored responses but keeps the records. Without a stored response, a
 * duplicate of the request is answered with "outcome unknown".
 */
static void evict_answers(carob_record_store_t *store)
{
	carob_record_t *record;
	carob_record_t *next;

	HASH_ITER (hh, store->records[false], record, next) {
		if (store->bytes <= eviction_target(store))
			return;
		drop_answer(store, record);
	}
}

static void enforce_limit(carob_entry_t *entry)
{
	if (entry->record_store.bytes > entry->record_store.bytes_max)
		evict_idempotent(entry);
	if (entry->record_store.bytes > entry->record_store.bytes_max)
		evict_answers(&entry->record_store);
}

carob_record_t *carob_record_new(carob_entry_t *entry,
				 const carob_exchange_key_t *key,
				 bool idempotent)
{
	carob_record_store_t *store = &entry->record_store;
	carob_record_t *record;

	enforce_limit(entry);
	if (store->bytes > store->bytes_max)
		return NULL;
	record = calloc(1, sizeof(*record));
	if (!record)
		return NULL;
	arm_sweep(entry);
	record->key = *key;
	record->idempotent = idempotent;
	/* The clock may lag by up to one sweep period, which is added. */
	record->expires_s = store_now_s(store) + EXCHANGE_LIFETIME_S +
			    (uint32_t)(SWEEP_PERIOD_NS / CAROB_NS_PER_S);
	store->bytes += record_bytes(record);
	HASH_ADD(hh, store->records[idempotent], key, sizeof(record->key),
		 record);
	entry->counters.remembered++;
	return record;
}

void carob_record_free(carob_entry_t *entry, carob_record_t *record)
{
	carob_record_store_t *store = &entry->record_store;

	if (record->request) {
		record->request->record = NULL;
		if (record->state == CAROB_RECORD_REDIRECTED)
			carob_request_free(record->request);
	}
	drop_answer(store, record);
	store->bytes -= sizeof(*record);
	HASH_DEL(store->records[record->idempotent], record);
	entry->counters.remembered--;
	free(record);
}

void carob_record_answer(carob_entry_t *entry, carob_record_t *record,
			 carob_record_state_t state, const carob_msg_t *msg)
{
	drop_answer(&entry->record_store, record);
	record->state = state;
	record->answer = carob_msg_pack(msg);
	if (record->answer)
		entry->record_store.bytes += record->answer->len;
	enforce_limit(entry);
}

bool carob_record_store_may_have_evicted(const carob_entry_t *entry,
					 bool idempotent)
{
	const carob_record_store_t *store = &entry->record_store;

	return idempotent && store->evicted &&
	       store_now_s(store) <= store->evicted_until_s;
}

void carob_tombstone_add(carob_entry_t *entry, const carob_exchange_key_t *key)
{
	carob_record_store_t *store = &entry->record_store;
	carob_tombstone_t *tombstone;

	HASH_FIND(hh, store->tombstones, key, sizeof(*key), tombstone);
	if (tombstone)
		return;
	tombstone = calloc(1, sizeof(*tombstone));
	if (!tombstone)
		return;
	arm_sweep(entry);
	tombstone->key = *key;
	tombstone->expires_ns =
		store->clock_ns + TOMBSTONE_LIFETIME_S * CAROB_NS_PER_S;
	HASH_ADD(hh, store->tombstones, key, sizeof(tombstone->key), tombstone);
}

bool carob_tombstone_find(const carob_entry_t *entry,
			  const carob_exchange_key_t *key)
{
	carob_tombstone_t *tombstone;

	HASH_FIND(hh, entry->record_store.tombstones, key, sizeof(*key),
		  tombstone);
	return tombstone != NULL;
}
