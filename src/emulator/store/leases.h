/**
 * @file leases.h
 * Leases of the emulated store. An item that was written under a lease is
 * removed when the lease ends.
 */
#ifndef CAROB_EMULATOR_STORE_LEASES_H
#define CAROB_EMULATOR_STORE_LEASES_H

#include "items.h"

/** Most leases at a time. */
#define STORE_LEASES_MAX 64

/** One lease; `id` 0: a free element. */
typedef struct store_lease {
	uint64_t id;
	uint64_t ttl_ns;
	uint64_t expires_ns; /* monotonic time */
} store_lease_t;

/** All leases; zero-initialise it. */
typedef struct store_leases {
	store_lease_t items[STORE_LEASES_MAX];
	uint64_t last_id;
} store_leases_t;

/** Begins a lease. @return its id, 0 if there are too many */
uint64_t store_leases_begin(store_leases_t *leases, uint64_t ttl_ns,
			    uint64_t now_ns);

/** @return the lease with an id, or NULL if it has ended */
store_lease_t *store_leases_find(store_leases_t *leases, uint64_t id);

/** Renews a lease. */
void store_leases_renew(store_lease_t *lease, uint64_t now_ns);

/** Ends a lease and removes its items. @return 0 or CAROB_ENOMEM */
int store_leases_end(store_lease_t *lease, store_items_t *items);

/** Ends the leases that have expired. @return whether there were any */
bool store_leases_expire(store_leases_t *leases, store_items_t *items,
			 uint64_t now_ns);

/** Ends all leases, as the loss of the store's newest data does. */
void store_leases_clear(store_leases_t *leases, store_items_t *items);

#endif
