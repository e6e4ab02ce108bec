/**
 * @file keyset.h
 * The deployment's sealing keys with their lifetimes, and the document that
 * holds them in the platform's store. No I/O and no clock; all times are
 * parameters, in milliseconds of wall-clock time.
 *
 * A key seals tokens from its activation until the activation of the next
 * key, and opens tokens for CAROB_KEY_RETAIN_MS longer. Each new key has the
 * serial after the last one. The epoch in a token is the low byte of the
 * serial, so at most 255 serials may be in use at one time.
 */
#ifndef CAROB_CORE_KEYSET_H
#define CAROB_CORE_KEYSET_H

#include "carobtrail/control_msg.h"
#include "carobtrail/keyring.h"
#include "carobtrail/str.h"

/** Age of the newest key at which the next key is created. */
#define CAROB_KEY_ROTATE_MS (24 * 3600 * 1000ULL)
/**
 * Time from a key's creation to its activation, so that every instance has
 * received the key before any instance seals with it.
 */
#define CAROB_KEY_ACTIVATION_DELAY_MS (15 * 60 * 1000ULL)
/** Time for which a key still opens tokens after the next was activated. */
#define CAROB_KEY_RETAIN_MS (24 * 3600 * 1000ULL)
/** Maximum length of the document in the store, in bytes. */
#define CAROB_KEYSET_DOCUMENT_MAX 4096

/** Keys in ascending order of serial; zero-initialise it. */
typedef struct carob_keyset {
	carob_control_key_t keys[CAROB_CONTROL_KEYS_MAX];
	size_t count;
} carob_keyset_t;

/** Result of merging a key into a set. */
typedef enum carob_keyset_merge_result {
	CAROB_KEYSET_KNOWN, /* the set already held the key */
	CAROB_KEYSET_ADDED,
	CAROB_KEYSET_REPLACED,	 /* replaced another key with its serial */
	CAROB_KEYSET_SUPERSEDED, /* another key with its serial was kept */
	CAROB_KEYSET_TOO_OLD,	 /* the set is full of newer keys */
	CAROB_KEYSET_INVALID, /* serial 0, or activated before its creation */
} carob_keyset_merge_result_t;

/**
 * Adds a key. Of two different keys with the same serial, the set keeps the
 * one created earlier; if they were created at the same time, the one whose
 * bytes compare lower. The result doesn't depend on the order of arrival, so
 * all instances keep the same key. A full set drops its oldest key.
 */
carob_keyset_merge_result_t carob_keyset_merge(carob_keyset_t *set,
					       const carob_control_key_t *key);

/** @return the newest key, or NULL */
const carob_control_key_t *carob_keyset_newest(const carob_keyset_t *set);

/**
 * @return the newest key that is activated at `now_ms`, else the oldest key,
 *         or NULL if the set is empty
 */
const carob_control_key_t *carob_keyset_sealing(const carob_keyset_t *set,
						uint64_t now_ms);

/** @return whether it is time to create the next key; false for an empty set */
bool carob_keyset_rotation_due(const carob_keyset_t *set, uint64_t now_ms);

/**
 * Generates the next key from random bytes. The first key of an empty set is
 * activated at its creation, later ones after CAROB_KEY_ACTIVATION_DELAY_MS.
 */
void carob_keyset_generate(carob_control_key_t *out, const carob_keyset_t *set,
			   uint64_t now_ms);

/**
 * Removes the oldest key if its time to open tokens is over.
 *
 * @param out receives the serial of the removed key
 * @param set the keys
 * @param now_ms the time
 * @return whether a key was removed
 */
bool carob_keyset_remove_expired(uint32_t *out, carob_keyset_t *set,
				 uint64_t now_ms);

/** Overwrites the keys with zeros and empties the set. */
void carob_keyset_wipe(carob_keyset_t *set);

/**
 * Appends the document for the store. It holds the keys, each encrypted with
 * a key derived from the deployment's secret.
 *
 * @param out buffer to append to
 * @param set the keys
 * @param secret secret of the deployment, CAROB_KEY_BYTES long
 * @return 0 or CAROB_ENOMEM
 */
int carob_keyset_write(carob_buf_t *out, const carob_keyset_t *set,
		       const uint8_t *secret);

/**
 * Reads a document from the store.
 *
 * @param out receives the keys; on failure, those read before the error
 * @param document the document
 * @param secret secret of the deployment, CAROB_KEY_BYTES long
 * @return 0, CAROB_ELIMIT, CAROB_EFORMAT, CAROB_EINVALID, or CAROB_EAUTH if a
 *         key was encrypted with another secret
 */
int carob_keyset_read(carob_keyset_t *out, carob_str_t document,
		      const uint8_t *secret);

#endif
