/**
 * @file token.h
 * The flow token, which binds a flow to an upstream and to the instance that
 * owns the flow. The caller receives it sealed in the Echo option (RFC 9175)
 * and sends it back with each request; it cannot read or forge it.
 *
 * Sealed form, 40 bytes: key epoch (1), synthetic IV (12), ciphertext (27).
 * The IV is a keyed BLAKE2b hash of the epoch and the plaintext and is also
 * the nonce of ChaCha20 (RFC 8439). This is the construction of SIV
 * (RFC 5297): equal tokens have equal sealed forms, and a nonce that occurs
 * twice reveals only that the tokens are equal.
 */
#ifndef CAROBTRAIL_TOKEN_H
#define CAROBTRAIL_TOKEN_H

#include "carobtrail/ids.h"
#include "carobtrail/keyring.h"

/** Length of a sealed token, in bytes. */
#define CAROB_TOKEN_SEALED_BYTES 40

/** Bits of `carob_token_t.flags`. */
typedef enum carob_token_flag {
	/**
	 * The upstream has answered in this flow, so the flow must not be
	 * assigned to another upstream.
	 */
	CAROB_TOKEN_ESTABLISHED = 1,
	/**
	 * The token was issued in reply to an idempotent request that may
	 * already have been executed by an upstream.
	 */
	CAROB_TOKEN_MAY_HAVE_RUN = 2,
} carob_token_flag_t;

/** The plaintext of a token. */
typedef struct carob_token {
	uint32_t service_id;
	carob_upstream_id_t upstream;
	carob_instance_id_t owner;
	carob_flow_id_t flow;
	uint8_t flags;	     /* carob_token_flag_t; 4 bits */
	uint16_t issued_min; /* wall-clock time in minutes, modulo 2^16 */
} carob_token_t;

/**
 * Seals a token with the keyring's active key.
 *
 * @param out receives the sealed bytes
 * @param ring the keyring
 * @param token the token
 * @return 0, or CAROB_ENOTFOUND if no key is active
 */
int carob_token_seal(uint8_t out[CAROB_TOKEN_SEALED_BYTES],
		     const carob_keyring_t *ring, const carob_token_t *token);

/**
 * Opens a sealed token.
 *
 * @param out receives the token; unchanged on failure
 * @param ring the keyring
 * @param sealed bytes received from a caller, with arbitrary content
 * @param len length of `sealed`
 * @return 0, CAROB_EFORMAT for a wrong length, CAROB_ENOTFOUND for an epoch
 *         without a key, or CAROB_EAUTH if the token does not verify
 */
int carob_token_open(carob_token_t *out, const carob_keyring_t *ring,
		     const uint8_t *sealed, size_t len);

#endif
