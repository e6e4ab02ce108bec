#include "carobtrail/token.h"

#include <stdlib.h>

#define FUZZ_EPOCH 1

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Bytes that were not sealed with the key must never open as a token. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const uint8_t key[CAROB_KEY_BYTES] = {0x5a};
	static carob_keyring_t *ring;
	carob_token_t token;

	if (!ring && (carob_keyring_new(&ring) != 0 ||
		      carob_keyring_add(ring, FUZZ_EPOCH, key) != 0))
		abort();
	if (carob_token_open(&token, ring, data, size) == 0)
		abort();
	return 0;
}
