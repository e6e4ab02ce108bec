/**
 * @file keyring.h
 * A table of the keys that seal flow tokens and authenticate relayed packets.
 * The index is the epoch, a number from 0 to 255. Any key in the table opens
 * tokens; one of them, the active key, seals new ones.
 */
#ifndef CAROBTRAIL_KEYRING_H
#define CAROBTRAIL_KEYRING_H

#include "carobtrail/common.h"

/** Length of a key, in bytes. */
#define CAROB_KEY_BYTES 32

typedef struct carob_keyring carob_keyring_t;

/**
 * Creates an empty keyring.
 *
 * @param out receives the keyring; release it with `carob_keyring_free`
 * @return 0 or CAROB_ENOMEM
 */
int carob_keyring_new(carob_keyring_t **out);

/** Overwrites the keys with zeros and releases the keyring. */
void carob_keyring_free(carob_keyring_t *ring);

/**
 * Adds the key of an epoch, which can then open tokens. Adding the same key
 * again has no effect.
 *
 * @param ring the keyring
 * @param epoch the key's epoch
 * @param key the key; copied
 * @return 0, or CAROB_ECONFLICT if the epoch has a different key
 */
int carob_keyring_add(carob_keyring_t *ring, uint8_t epoch,
		      const uint8_t key[CAROB_KEY_BYTES]);

/**
 * Makes the key of an epoch the active one, which seals new tokens.
 *
 * @param ring the keyring
 * @param epoch the epoch
 * @return 0, or CAROB_ENOTFOUND if the epoch has no key
 */
int carob_keyring_activate(carob_keyring_t *ring, uint8_t epoch);

/**
 * Removes the key of an epoch and overwrites it with zeros. Has no effect if
 * the epoch has no key. If the key was active, no key is active afterwards.
 */
void carob_keyring_remove(carob_keyring_t *ring, uint8_t epoch);

/** @return the key of `epoch`, borrowed until it is removed, or NULL */
const uint8_t *carob_keyring_get(const carob_keyring_t *ring, uint8_t epoch);

/**
 * @param ring the keyring
 * @param epoch receives the epoch of the active key; unchanged if there is none
 * @return the active key, borrowed until it is removed, or NULL
 */
const uint8_t *carob_keyring_active(const carob_keyring_t *ring,
				    uint8_t *epoch);

#endif
