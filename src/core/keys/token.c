#include "carobtrail/token.h"

#include "carobtrail/errors.h"
#include "core/messages/bytes.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#define FORMAT_VERSION	  1 /* high half of the first plaintext byte */
#define FLAGS_BITS	  4
#define FLAGS_MASK	  0x0f
#define IV_BYTES	  12
#define IV_OFFSET	  1
#define CIPHERTEXT_OFFSET (IV_OFFSET + IV_BYTES)
#define PLAIN_BYTES	  (CAROB_TOKEN_SEALED_BYTES - CIPHERTEXT_OFFSET)
#define SUBKEY_CONTEXT	  "carobtok"
#define SUBKEY_ID	  1
#define FLOW_BYTES	  6
#define HASH_BYTES	  16 /* shortest BLAKE2b output of libsodium */

/* Keys derived from an epoch's key, separate ones for the IV and the cipher. */
typedef struct subkeys {
	uint8_t iv[CAROB_KEY_BYTES];
	uint8_t cipher[crypto_stream_chacha20_ietf_KEYBYTES];
} subkeys_t;

static_assert(sizeof(subkeys_t) == crypto_kdf_BYTES_MAX,
	      "one key derivation must yield both subkeys");
static_assert(IV_BYTES == crypto_stream_chacha20_ietf_NONCEBYTES,
	      "the IV must have the length of the nonce");

static void pack(uint8_t plain[PLAIN_BYTES], const carob_token_t *token)
{
	uint8_t *cursor = plain;

	cursor = carob_put_be(
		cursor,
		FORMAT_VERSION << FLAGS_BITS | (token->flags & FLAGS_MASK), 1);
	cursor = carob_put_be(cursor, token->service_id, 4);
	cursor = carob_put_be(cursor, token->upstream.id, 4);
	cursor = carob_put_be(cursor, token->upstream.incarnation, 2);
	cursor = carob_put_be(cursor, token->owner.id, 4);
	cursor = carob_put_be(cursor, token->owner.incarnation, 4);
	cursor = carob_put_be(cursor, token->flow, FLOW_BYTES);
	carob_put_be(cursor, token->issued_min, 2);
}

static bool unpack(carob_token_t *token, const uint8_t plain[PLAIN_BYTES])
{
	carob_reader_t in = {plain, PLAIN_BYTES, false};
	uint8_t first = (uint8_t)carob_read_be(&in, 1);

	if (first >> FLAGS_BITS != FORMAT_VERSION)
		return false;
	token->flags = first & FLAGS_MASK;
	token->service_id = (uint32_t)carob_read_be(&in, 4);
	token->upstream.id = (uint32_t)carob_read_be(&in, 4);
	token->upstream.incarnation = (uint16_t)carob_read_be(&in, 2);
	token->owner.id = (uint32_t)carob_read_be(&in, 4);
	token->owner.incarnation = (uint32_t)carob_read_be(&in, 4);
	token->flow = carob_read_be(&in, FLOW_BYTES);
	token->issued_min = (uint16_t)carob_read_be(&in, 2);
	return true;
}

static void derive_subkeys(subkeys_t *out, const uint8_t *key)
{
	crypto_kdf_derive_from_key((unsigned char *)out, sizeof(*out),
				   SUBKEY_ID, SUBKEY_CONTEXT, key);
}

static void compute_iv(uint8_t iv[IV_BYTES], const subkeys_t *keys,
		       uint8_t epoch, const uint8_t plain[PLAIN_BYTES])
{
	uint8_t input[1 + PLAIN_BYTES];
	uint8_t hash[HASH_BYTES];

	input[0] = epoch;
	memcpy(input + 1, plain, PLAIN_BYTES);
	crypto_generichash(hash, sizeof(hash), input, sizeof(input), keys->iv,
			   sizeof(keys->iv));
	memcpy(iv, hash, IV_BYTES);
}

int carob_token_seal(uint8_t out[CAROB_TOKEN_SEALED_BYTES],
		     const carob_keyring_t *ring, const carob_token_t *token)
{
	uint8_t plain[PLAIN_BYTES];
	subkeys_t keys;
	uint8_t epoch;
	const uint8_t *key = carob_keyring_active(ring, &epoch);

	if (!key)
		return carob_error_set(CAROB_ENOTFOUND,
				       "cannot seal flow token: no active key");
	derive_subkeys(&keys, key);
	pack(plain, token);
	out[0] = epoch;
	compute_iv(out + IV_OFFSET, &keys, epoch, plain);
	crypto_stream_chacha20_ietf_xor(out + CIPHERTEXT_OFFSET, plain,
					PLAIN_BYTES, out + IV_OFFSET,
					keys.cipher);
	sodium_memzero(&keys, sizeof(keys));
	return 0;
}

static int decrypt(carob_token_t *out, const subkeys_t *keys,
		   const uint8_t *sealed)
{
	uint8_t plain[PLAIN_BYTES];
	uint8_t iv[IV_BYTES];
	carob_token_t token;

	crypto_stream_chacha20_ietf_xor(plain, sealed + CIPHERTEXT_OFFSET,
					PLAIN_BYTES, sealed + IV_OFFSET,
					keys->cipher);
	compute_iv(iv, keys, sealed[0], plain);
	if (sodium_memcmp(iv, sealed + IV_OFFSET, IV_BYTES) != 0 ||
	    !unpack(&token, plain))
		return carob_error_set(CAROB_EAUTH,
				       "flow token does not verify");
	*out = token;
	return 0;
}

int carob_token_open(carob_token_t *out, const carob_keyring_t *ring,
		     const uint8_t *sealed, size_t len)
{
	const uint8_t *key;
	subkeys_t keys;
	int error;

	if (len != CAROB_TOKEN_SEALED_BYTES)
		return carob_error_set(CAROB_EFORMAT,
				       "flow token has a wrong length: %zu "
				       "bytes",
				       len);
	key = carob_keyring_get(ring, sealed[0]);
	if (!key)
		return carob_error_set(CAROB_ENOTFOUND,
				       "no key for flow token of epoch %u",
				       sealed[0]);
	derive_subkeys(&keys, key);
	error = decrypt(out, &keys, sealed);
	sodium_memzero(&keys, sizeof(keys));
	return error;
}
