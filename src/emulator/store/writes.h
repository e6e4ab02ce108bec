/**
 * @file writes.h
 * Requests that write: leases and transactions, in CBOR.
 */
#ifndef CAROB_EMULATOR_STORE_WRITES_H
#define CAROB_EMULATOR_STORE_WRITES_H

#include "leases.h"

/** A request that writes. */
typedef struct store_write {
	const char *method; /* "POST" or "DELETE" */
	const char *path;
	carob_str_t body;
	uint64_t now_ns;
} store_write_t;

/**
 * Executes a request that writes.
 *
 * @param out receives the body of the response, as JSON
 * @param items the store's items
 * @param leases the store's leases
 * @param write the request
 * @return the HTTP status; 404 also if the path is unknown
 */
int store_write_execute(carob_buf_t *out, store_items_t *items,
			store_leases_t *leases, const store_write_t *write);

#endif
