/**
 * @file curve_keys.h
 * The key pair of the control channel (CurveZMQ, RFC 26). It is derived from
 * the deployment's secret, so that all instances and operators' tools of the
 * deployment have the same pair.
 */
#ifndef CAROB_NET_CURVE_KEYS_H
#define CAROB_NET_CURVE_KEYS_H

#include "carobtrail/keyring.h"

/** Length of a Curve25519 key, in bytes. */
#define CAROB_CURVE_KEY_BYTES 32

/** A Curve25519 key pair. */
typedef struct carob_curve_keys {
	uint8_t public_key[CAROB_CURVE_KEY_BYTES];
	uint8_t secret_key[CAROB_CURVE_KEY_BYTES];
} carob_curve_keys_t;

/** Derives the key pair from the deployment's secret. */
void carob_curve_keys_derive(carob_curve_keys_t *out,
			     const uint8_t secret[CAROB_KEY_BYTES]);

/** Overwrites the key pair with zeros. */
void carob_curve_keys_wipe(carob_curve_keys_t *keys);

#endif
