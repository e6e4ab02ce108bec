/**
 * @file cluster.h
 * One instance among the others: membership, exchange of load, sealing keys
 * and the hand-over at a graceful stop, joined into one object. A pure
 * decision: control messages come in through `carob_cluster_on_message` and
 * go out through a port.
 */
#ifndef CAROBTRAIL_CLUSTER_H
#define CAROBTRAIL_CLUSTER_H

#include "carobtrail/cluster_host.h"
#include "carobtrail/gossip.h"
#include "carobtrail/kernel.h"
#include "carobtrail/keyring.h"
#include "carobtrail/kv.h"
#include "carobtrail/membership.h"

typedef struct carob_cluster carob_cluster_t;

/** Options of `carob_cluster_new`. */
typedef struct carob_cluster_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_control_port_t *port;
	carob_cluster_host_t *host;
	carob_keyring_t *keyring;
	carob_kv_t *kv;		   /* NULL: no platform */
	carob_str_t deployment;	   /* names the keys in the platform; copied */
	const uint8_t *secret;	   /* of the deployment, CAROB_KEY_BYTES */
	const carob_addr_t *seeds; /* where to join; copied */
	size_t seed_count;
	uint64_t seed; /* of the random choices */
	carob_cluster_fault_t fault;
} carob_cluster_options_t;

#define CAROB_CLUSTER_OPTIONS_VERSION 1
#define CAROB_CLUSTER_OPTIONS_INIT                                             \
	{                                                                      \
		.version = CAROB_CLUSTER_OPTIONS_VERSION                       \
	}

/**
 * Creates the instance's part in the cluster; it is silent until started.
 *
 * @param out receives it; release it with `carob_cluster_free`
 * @param options all that it works with must outlive it
 * @return 0, CAROB_EINVALID, CAROB_ELIMIT or CAROB_ENOMEM
 */
int carob_cluster_new(carob_cluster_t **out,
		      const carob_cluster_options_t *options);

/** Releases it; timers are cancelled. */
void carob_cluster_free(carob_cluster_t *cluster);

/** Begins to join. @return 0 or CAROB_ENOMEM */
int carob_cluster_start(carob_cluster_t *cluster);

/** A control message of another instance arrived. */
void carob_cluster_on_message(carob_cluster_t *cluster,
			      const carob_control_msg_t *msg);

/**
 * @return whether there is a sealing key and the other instances are known, so
 *         that flows can be taken; before, the keyring is empty
 */
bool carob_cluster_ready(const carob_cluster_t *cluster);

/**
 * Begins a graceful stop: says LEAVING and names a successor, lets the
 * request path drain, hands its memory over, says LEFT, and calls `left` of
 * the host once two neighbours have acknowledged that.
 */
void carob_cluster_drain(carob_cluster_t *cluster);

/** @return whether the graceful stop is complete */
bool carob_cluster_has_left(const carob_cluster_t *cluster);

/** Sends what this instance's health probes found to one instance. */
void carob_cluster_send_reports(carob_cluster_t *cluster,
				carob_instance_id_t to,
				const carob_load_report_t *reports,
				size_t count);

/** The gossip, for hints of whom to ask and for counters; borrowed. */
carob_gossip_t *carob_cluster_gossip(carob_cluster_t *cluster);

/** Counters and state of the parts. */
typedef struct carob_cluster_counters {
	carob_gossip_counters_t gossip;
	uint32_t key_newest; /* serials; 0: none */
	uint32_t key_sealing;
	size_t keys;
	uint64_t key_conflicts;
	uint64_t key_store_failures;
	uint64_t load_rounds;
	uint64_t load_postponed; /* for want of budget */
	uint64_t memories_taken_over;
} carob_cluster_counters_t;

/** Copies the counters. */
void carob_cluster_counters(carob_cluster_counters_t *out,
			    const carob_cluster_t *cluster);

/**
 * Appends the status of members and keys as JSON.
 *
 * @return 0 or CAROB_ENOMEM
 */
int carob_cluster_status(carob_buf_t *json, const carob_cluster_t *cluster);

#endif
