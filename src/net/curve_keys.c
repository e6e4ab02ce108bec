#include "net/curve_keys.h"

#include <sodium.h>

#define SUBKEY_ID 1

static const char subkey_context[crypto_kdf_CONTEXTBYTES + 1] = "carobcrv";

void carob_curve_keys_derive(carob_curve_keys_t *out,
			     const uint8_t secret[CAROB_KEY_BYTES])
{
	crypto_kdf_derive_from_key(out->secret_key, sizeof(out->secret_key),
				   SUBKEY_ID, subkey_context, secret);
	crypto_scalarmult_base(out->public_key, out->secret_key);
}

void carob_curve_keys_wipe(carob_curve_keys_t *keys)
{
	sodium_memzero(keys, sizeof(*keys));
}
