/**
 * @file keyset.h
 * The deployment's sealing keys with their lifetimes, and their form in the
 * platform's store. Pure; times are wall-clock milliseconds.
 *
 * A key seals from its activation on and opens tokens until long after a
 * later one was activated. Serials grow by one; the token's epoch is the low
 * byte of the serial, so at most 255 serials may be in use at once.
 */
#ifndef CAROB_CORE_KEYSET_H
#define CAROB_CORE_KEYSET_H

#include "carobtrail/control_msg.h"
#include "carobtrail/keyring.h"
#include "carobtrail/str.h"

/** Age at which the newest key gets a successor. */
#define CAROB_KEY_ROTATE_MS (24 * 3600 * 1000ULL)
/** Time from a key's creation to its activation: it has to reach everybody. */
#define CAROB_KEY_SPREAD_MS (15 * 60 * 1000ULL)
/** Time that a key still opens tokens after a later one was activated. */
#define CAROB_KEY_RETAIN_MS (24 * 3600 * 1000ULL)
/** Largest document in the store, in bytes. */
#define CAROB_KEYSET_DOCUMENT_MAX 4096

/** Keys, ascending by serial; zero-initialise it. */
typedef struct carob_keyset {
	carob_control_key_t keys[CAROB_CONTROL_KEYS_MAX];
	size_t count;
} carob_keyset_t;

/** What became of a key that was merged. */
typedef enum carob_keyset_merge {
	CAROB_KEYSET_KNOWN,
	CAROB_KEYSET_ADDED,
	CAROB_KEYSET_REPLACED, /* another key had its serial, and lost */
	CAROB_KEYSET_LOST,     /* another key has its serial, and won */
	CAROB_KEYSET_OLD,      /* older than all of a full set */
	CAROB_KEYSET_REFUSED,  /* impossible */
} carob_keyset_merge_t;

/**
 * Adds a key. Of two keys with one serial the one created first wins, by the
 * same rule everywhere.
 */
carob_keyset_merge_t carob_keyset_merge(carob_keyset_t *set,
					const carob_control_key_t *key);

/** @return the newest key, or NULL */
const carob_control_key_t *carob_keyset_newest(const carob_keyset_t *set);

/** @return the key that seals at `now_ms`, or NULL if there is none */
const carob_control_key_t *carob_keyset_sealing(const carob_keyset_t *set,
						uint64_t now_ms);

/** @return whether the newest key is due for a successor */
bool carob_keyset_rotation_due(const carob_keyset_t *set, uint64_t now_ms);

/** Makes the next key, random; the first one seals at once. */
void carob_keyset_next(carob_control_key_t *out, const carob_keyset_t *set,
		       uint64_t now_ms);

/**
 * Removes a key that opens no tokens any more.
 *
 * @param out receives its serial
 * @return whether there was one
 */
bool carob_keyset_expire(uint32_t *out, carob_keyset_t *set, uint64_t now_ms);

/** Wipes the keys. */
void carob_keyset_wipe(carob_keyset_t *set);

/**
 * Appends the document for the store: the keys, each encrypted with a key
 * derived from the deployment's secret.
 *
 * @param out buffer to append to
 * @param set the keys
 * @param secret of the deployment, CAROB_KEY_BYTES
 * @return 0 or CAROB_ENOMEM
 */
int carob_keyset_write(carob_buf_t *out, const carob_keyset_t *set,
		       const uint8_t *secret);

/**
 * Reads a document of the store.
 *
 * @param out receives the keys
 * @param document the document
 * @param secret of the deployment, CAROB_KEY_BYTES
 * @return 0, CAROB_ELIMIT, CAROB_EFORMAT, CAROB_EINVALID, or CAROB_EAUTH if a
 *         key was encrypted with another secret
 */
int carob_keyset_read(carob_keyset_t *out, carob_str_t document,
		      const uint8_t *secret);

#endif
