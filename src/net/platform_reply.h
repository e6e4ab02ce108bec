/**
 * @file platform_reply.h
 * Decodes the platform's JSON responses.
 */
#ifndef CAROB_NET_PLATFORM_REPLY_H
#define CAROB_NET_PLATFORM_REPLY_H

#include "carobtrail/kv.h"

/** Entries decoded from a response, with the memory that they borrow from. */
typedef struct carob_platform_entries {
	size_t count;
	carob_kv_entry_t *entries;
	char *bytes;
} carob_platform_entries_t;

/**
 * Decodes the response to a read: an array of keys with values.
 *
 * @param out receives the entries; release them with
 *            `carob_platform_entries_dispose`
 * @param body the response body; any content
 * @return 0, CAROB_EFORMAT or CAROB_ENOMEM
 */
int carob_platform_decode_values(carob_platform_entries_t *out,
				 carob_str_t body);

/**
 * Decodes the response to a list request: an array of keys.
 *
 * @param out receives the entries, with empty values; release them with
 *            `carob_platform_entries_dispose`
 * @param body the response body; any content
 * @return 0, CAROB_EFORMAT or CAROB_ENOMEM
 */
int carob_platform_decode_keys(carob_platform_entries_t *out, carob_str_t body);

/**
 * Decodes the response to a write.
 *
 * @param done receives whether the write was carried out
 * @param body the response body; any content
 * @return 0 or CAROB_EFORMAT
 */
int carob_platform_decode_done(bool *done, carob_str_t body);

/** Releases the entries. */
void carob_platform_entries_dispose(carob_platform_entries_t *entries);

#endif
