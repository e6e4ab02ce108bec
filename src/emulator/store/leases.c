#include "leases.h"

#include <string.h>

uint64_t store_leases_begin(store_leases_t *leases, uint64_t ttl_ns,
			    uint64_t now_ns)
{
	for (size_t i = 0; i < STORE_LEASES_MAX; i++) {
		store_lease_t *lease = &leases->items[i];

		if (lease->id)
			continue;
		lease->id = ++leases->last_id;
		lease->ttl_ns = ttl_ns;
		store_leases_renew(lease, now_ns);
		return lease->id;
	}
	return 0;
}

store_lease_t *store_leases_find(store_leases_t *leases, uint64_t id)
{
	for (size_t i = 0; id && i < STORE_LEASES_MAX; i++)
		if (leases->items[i].id == id)
			return &leases->items[i];
	return NULL;
}

void store_leases_renew(store_lease_t *lease, uint64_t now_ns)
{
	lease->expires_ns = now_ns + lease->ttl_ns;
}

int store_leases_end(store_lease_t *lease, store_items_t *items)
{
	int error = store_items_remove_lease(items, lease->id);

	lease->id = 0;
	return error;
}

bool store_leases_expire(store_leases_t *leases, store_items_t *items,
			 uint64_t now_ns)
{
	bool ended = false;

	for (size_t i = 0; i < STORE_LEASES_MAX; i++) {
		store_lease_t *lease = &leases->items[i];

		if (!lease->id || now_ns < lease->expires_ns)
			continue;
		(void)store_leases_end(lease, items);
		ended = true;
	}
	return ended;
}

void store_leases_clear(store_leases_t *leases, store_items_t *items)
{
	(void)store_items_remove_leased(items);
	memset(leases->items, 0, sizeof(leases->items));
}
