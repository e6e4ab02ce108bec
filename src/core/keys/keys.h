/**
 * @file keys.h
 * How an instance comes by the deployment's sealing keys, and how they are
 * replaced. The store's compare-and-swap decides who creates a key; everybody
 * else learns it from peers, or from the store when no peer has one. While
 * the store is down, peers are enough.
 */
#ifndef CAROB_CORE_KEYS_H
#define CAROB_CORE_KEYS_H

#include "carobtrail/cluster_host.h"
#include "carobtrail/gossip.h"
#include "carobtrail/keyring.h"
#include "carobtrail/kv.h"

typedef struct carob_keys carob_keys_t;

/** Options of `carob_keys_new`. */
typedef struct carob_keys_options {
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	carob_gossip_t *gossip;
	carob_control_port_t *port;
	carob_keyring_t *keyring;
	carob_kv_t *kv;		/* NULL: no platform */
	carob_str_t deployment; /* copied */
	const uint8_t *secret;	/* copied, CAROB_KEY_BYTES */
	uint64_t seed;
	carob_cluster_fault_t fault;
} carob_keys_options_t;

/** What there is; counters only grow. */
typedef struct carob_keys_status {
	uint32_t newest; /* serials; 0: none */
	uint32_t sealing;
	size_t count;
	uint64_t created;
	uint64_t conflicts;
	uint64_t store_calls;
	uint64_t store_failures;
	uint64_t peer_requests;
} carob_keys_status_t;

/** Creates it, without keys. @return 0 or CAROB_ENOMEM */
int carob_keys_new(carob_keys_t **out, const carob_keys_options_t *options);

/** Releases it; a call in progress is cancelled. */
void carob_keys_free(carob_keys_t *keys);

/** Begins to look for keys. @return 0 or CAROB_ENOMEM */
int carob_keys_start(carob_keys_t *keys);

/** A peer's heartbeat named its newest key. */
void carob_keys_on_peer(carob_keys_t *keys, const carob_control_peer_t *peer,
			uint32_t serial);

/** A message of type CAROB_CONTROL_KEY_* arrived. */
void carob_keys_on_message(carob_keys_t *keys, const carob_control_msg_t *msg);

/** Copies the status. */
void carob_keys_status(carob_keys_status_t *out, const carob_keys_t *keys);

#endif
