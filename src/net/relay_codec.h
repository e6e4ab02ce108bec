/**
 * @file relay_codec.h
 * Encodes and decodes packets relayed between instances, one per datagram.
 *
 * Layout: key epoch (1 byte), tag (16 bytes), a CBOR array (RFC 8949) of
 * [kind, service, from id, from incarnation, to id, to incarnation, caller's
 * IP, caller's port, age in microseconds], the CoAP datagram. The tag is the
 * 128-bit SipHash-2-4 of all bytes after it, under a key derived from the
 * keyring's key of the epoch.
 */
#ifndef CAROB_NET_RELAY_CODEC_H
#define CAROB_NET_RELAY_CODEC_H

#include "carobtrail/keyring.h"
#include "carobtrail/relay.h"

/** Largest datagram of a relayed packet, in bytes. */
#define CAROB_RELAY_BYTES_MAX (CAROB_MSG_BYTES_MAX + 100)

/**
 * Encodes a packet with a tag under the keyring's active key.
 *
 * @param out receives the datagram; its previous contents are discarded
 * @param ring the keyring
 * @param relay the packet
 * @return 0, CAROB_ENOTFOUND if no key is active, CAROB_ELIMIT,
 *         CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_relay_encode(carob_buf_t *out, const carob_keyring_t *ring,
		       const carob_relay_t *relay);

/**
 * Decodes a datagram from another instance. The receiver must check that `to`
 * identifies itself or an instance whose successor it is.
 *
 * @param out receives the packet; its message borrows from `data`
 * @param ring the keyring
 * @param data the datagram, any content
 * @param len its length in bytes
 * @return 0, CAROB_EFORMAT, CAROB_ELIMIT, CAROB_ENOTFOUND for an epoch without
 *         a key, or CAROB_EAUTH
 */
int carob_relay_decode(carob_relay_t *out, const carob_keyring_t *ring,
		       const void *data, size_t len);

#endif
