#include "carobtrail/keyring.h"

#include "carobtrail/errors.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define EPOCH_COUNT 256

struct carob_keyring {
	uint8_t keys[EPOCH_COUNT][CAROB_KEY_BYTES];
	bool present[EPOCH_COUNT];
	bool has_active;
	uint8_t active;
};

int carob_keyring_new(carob_keyring_t **out)
{
	carob_keyring_t *ring;

	if (sodium_init() < 0)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot initialise libsodium");
	ring = calloc(1, sizeof(*ring));
	if (!ring)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate keyring");
	*out = ring;
	return 0;
}

void carob_keyring_free(carob_keyring_t *ring)
{
	if (!ring)
		return;
	sodium_memzero(ring, sizeof(*ring));
	free(ring);
}

int carob_keyring_add(carob_keyring_t *ring, uint8_t epoch,
		      const uint8_t key[CAROB_KEY_BYTES])
{
	if (ring->present[epoch] &&
	    sodium_memcmp(ring->keys[epoch], key, CAROB_KEY_BYTES) != 0)
		return carob_error_set(CAROB_ECONFLICT,
				       "epoch %u already has a different key",
				       epoch);
	memcpy(ring->keys[epoch], key, CAROB_KEY_BYTES);
	ring->present[epoch] = true;
	return 0;
}

int carob_keyring_activate(carob_keyring_t *ring, uint8_t epoch)
{
	if (!ring->present[epoch])
		return carob_error_set(
			CAROB_ENOTFOUND,
			"cannot activate epoch %u: it has no key", epoch);
	ring->active = epoch;
	ring->has_active = true;
	return 0;
}

void carob_keyring_remove(carob_keyring_t *ring, uint8_t epoch)
{
	sodium_memzero(ring->keys[epoch], CAROB_KEY_BYTES);
	ring->present[epoch] = false;
	if (ring->active == epoch)
		ring->has_active = false;
}

const uint8_t *carob_keyring_get(const carob_keyring_t *ring, uint8_t epoch)
{
	return ring->present[epoch] ? ring->keys[epoch] : NULL;
}

const uint8_t *carob_keyring_active(const carob_keyring_t *ring, uint8_t *epoch)
{
	if (!ring->has_active)
		return NULL;
	*epoch = ring->active;
	return ring->keys[ring->active];
}
