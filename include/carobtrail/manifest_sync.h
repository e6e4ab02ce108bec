/**
 * @file manifest_sync.h
 * Keeps the manifest of an instance up to date. Two instances of each
 * availability zone watch the platform, whose key-value service holds the
 * published manifests; all others, and these too while the platform is down,
 * fetch new generations from peers. A delta is applied where possible, else the
 * whole manifest is transferred.
 *
 * Messages to peers are sent through the control port. The host passes in
 * received messages of type CAROB_CONTROL_MANIFEST_AVAILABLE, _REQUEST and
 * _REPLY with `carob_manifest_sync_on_message`, and the generation in the
 * heartbeats of peers with `carob_manifest_sync_on_peer_generation`.
 */
#ifndef CAROBTRAIL_MANIFEST_SYNC_H
#define CAROBTRAIL_MANIFEST_SYNC_H

#include "carobtrail/control_msg.h"
#include "carobtrail/kernel.h"
#include "carobtrail/kv.h"
#include "carobtrail/manifest_store.h"
#include "carobtrail/membership.h"

typedef struct carob_manifest_sync carob_manifest_sync_t;

/** Options of `carob_manifest_sync_new`. */
typedef struct carob_manifest_sync_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_manifest_store_t *store;
	carob_membership_t *membership; /* receives the generation in force */
	carob_control_port_t *port;	/* NULL: no messages to peers */
	carob_kv_t *kv;			/* NULL: no platform */
	carob_str_t deployment;		/* part of the keys in the platform */
	uint64_t seed;
} carob_manifest_sync_options_t;

#define CAROB_MANIFEST_SYNC_OPTIONS_VERSION 1
#define CAROB_MANIFEST_SYNC_OPTIONS_INIT                                       \
	{                                                                      \
		.version = CAROB_MANIFEST_SYNC_OPTIONS_VERSION                 \
	}

/**
 * Creates the synchronisation and starts its timers.
 *
 * @param out receives the synchronisation; release it with
 *        `carob_manifest_sync_free`
 * @param options the options; kernel, store, membership, port and kv must
 *        outlive the synchronisation
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_sync_new(carob_manifest_sync_t **out,
			    const carob_manifest_sync_options_t *options);

/** Releases the synchronisation and cancels its calls; NULL is allowed. */
void carob_manifest_sync_free(carob_manifest_sync_t *sync);

/**
 * Handles the report of a peer about the generation in force there, as
 * heartbeats contain it. A peer with a higher generation than the one in force
 * here becomes a candidate for a request.
 *
 * @param sync the synchronisation
 * @param peer the peer, with its control address
 * @param generation the generation in force at the peer; 0: none
 */
void carob_manifest_sync_on_peer_generation(carob_manifest_sync_t *sync,
					    const carob_control_peer_t *peer,
					    uint64_t generation);

/**
 * Handles a message of type CAROB_CONTROL_MANIFEST_*.
 *
 * @param sync the synchronisation
 * @param peer the sender, with its control address
 * @param msg the message
 */
void carob_manifest_sync_on_message(carob_manifest_sync_t *sync,
				    const carob_control_peer_t *peer,
				    const carob_control_msg_t *msg);

/** Counters of the synchronisation; they never decrease. */
typedef struct carob_manifest_sync_counters {
	uint64_t applied;	    /* generations put in force */
	uint64_t applied_by_delta;  /* generations applied through a delta */
	uint64_t applied_from_peer; /* generations applied from a peer */
	uint64_t refused;	    /* rejected heads, manifests and deltas */
	uint64_t platform_calls;    /* each waiting watch counts once */
	uint64_t platform_failures; /* failed calls of the platform */
	uint64_t peer_requests;	    /* requests sent to peers */
	uint64_t peer_replies;	    /* replies sent to peers */
	uint64_t peer_reply_bytes;  /* manifest bytes in these replies */
} carob_manifest_sync_counters_t;

/** Copies the counters. */
void carob_manifest_sync_counters(carob_manifest_sync_counters_t *out,
				  const carob_manifest_sync_t *sync);

/** @return whether this instance watches the platform for its zone */
bool carob_manifest_sync_watches(const carob_manifest_sync_t *sync);

#endif
