/**
 * @file endpoint_key.h
 * Hash table keys of a peer's address and a CoAP token or message id.
 */
#ifndef CAROB_UPSTREAM_ENDPOINT_KEY_H
#define CAROB_UPSTREAM_ENDPOINT_KEY_H

#include "carobtrail/ids.h"
#include "carobtrail/msg.h"

#include <string.h>

/** A key without padding, so that it can be compared as bytes. */
typedef struct endpoint_key {
	uint8_t ip[16];
	uint8_t port[2];
	uint8_t family;
	uint8_t id_len;
	uint8_t id[CAROB_MSG_TOKEN_MAX];
} endpoint_key_t;

/** @return the key of a peer and an identifier of up to 8 bytes */
static inline endpoint_key_t endpoint_key(const carob_addr_t *peer,
					  const void *id, size_t len)
{
	endpoint_key_t key = {0};

	memcpy(key.ip, peer->ip, sizeof(key.ip));
	memcpy(key.port, &peer->port, sizeof(key.port));
	key.family = peer->family;
	key.id_len = (uint8_t)len;
	memcpy(key.id, id, len);
	return key;
}

#endif
