/**
 * @file keys.h
 * Obtains the deployment's sealing keys and rotates them. The store's
 * compare-and-swap decides which instance creates a key. The others fetch it
 * from a peer, or from the store when no peer has one, so an instance that
 * starts while the store is down still gets the keys from its peers.
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
	carob_kv_t *kv; /* NULL: no store */
	/* Name of the deployment, used in the key of the store; copied. */
	carob_str_t deployment;
	/* Secret of the deployment, CAROB_KEY_BYTES long; copied. */
	const uint8_t *secret;
	uint64_t seed;
	carob_cluster_mutation_t mutation;
} carob_keys_options_t;

/** The keys held, and counters. */
typedef struct carob_keys_status {
	uint32_t newest;    /* serial of the newest key; 0: none */
	uint32_t sealing;   /* serial of the sealing key; 0: none */
	size_t count;	    /* keys held */
	uint64_t created;   /* documents written to the store */
	uint64_t conflicts; /* two different keys with one serial */
	uint64_t store_calls;
	uint64_t store_failures;
	uint64_t peer_requests;
} carob_keys_status_t;

/**
 * Creates the key management of an instance, without keys.
 *
 * @param out receives it; release it with `carob_keys_free`
 * @param options the options; kernel, membership, gossip, port, keyring and
 *        key-value service must outlive it
 * @return 0 or CAROB_ENOMEM
 */
int carob_keys_new(carob_keys_t **out, const carob_keys_options_t *options);

/** Cancels a store call in progress, wipes the keys and releases the object. */
void carob_keys_free(carob_keys_t *keys);

/** Starts to obtain keys. @return 0 or CAROB_ENOMEM */
int carob_keys_start(carob_keys_t *keys);

/**
 * Processes the serial of a peer's newest key, from a heartbeat or another
 * message. If the key is newer than those held, it is requested from the peer.
 */
void carob_keys_on_peer_serial(carob_keys_t *keys,
			       const carob_control_peer_t *peer,
			       uint32_t serial);

/** Processes a message of type CAROB_CONTROL_KEY_*. */
void carob_keys_on_message(carob_keys_t *keys, const carob_control_msg_t *msg);

/** Copies the status. */
void carob_keys_status(carob_keys_status_t *out, const carob_keys_t *keys);

#endif
