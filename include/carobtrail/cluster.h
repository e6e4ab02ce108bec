/**
 * @file cluster.h
 * The cluster component of an instance. It combines the gossip that maintains
 * the membership table, the exchange of load summaries, the management of the
 * sealing keys and the handover of request records at a graceful stop. It does
 * no I/O of its own: control messages arrive through
 * `carob_cluster_on_message` and are sent through a port.
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
	carob_kv_t *kv; /* store for the sealing keys; NULL: none */
	/* Name of the deployment, used in the key of the store; copied. */
	carob_str_t deployment;
	const uint8_t *secret;	   /* deployment's secret, CAROB_KEY_BYTES */
	const carob_addr_t *seeds; /* addresses through which to join; copied */
	size_t seed_count;
	uint64_t seed; /* seed of the random number generators */
	carob_cluster_mutation_t mutation;
} carob_cluster_options_t;

#define CAROB_CLUSTER_OPTIONS_VERSION 1
#define CAROB_CLUSTER_OPTIONS_INIT                                             \
	{                                                                      \
		.version = CAROB_CLUSTER_OPTIONS_VERSION                       \
	}

/**
 * Creates the cluster component of an instance. It sends nothing until
 * `carob_cluster_start`.
 *
 * @param out receives the component; release it with `carob_cluster_free`
 * @param options the options; the kernel, membership, port, host, keyring and
 *        key-value service must outlive the component
 * @return 0, CAROB_EINVALID, CAROB_ELIMIT or CAROB_ENOMEM
 */
int carob_cluster_new(carob_cluster_t **out,
		      const carob_cluster_options_t *options);

/** Cancels the timers and releases the component. */
void carob_cluster_free(carob_cluster_t *cluster);

/** Starts to join the cluster. @return 0 or CAROB_ENOMEM */
int carob_cluster_start(carob_cluster_t *cluster);

/** Processes a control message from another instance. */
void carob_cluster_on_message(carob_cluster_t *cluster,
			      const carob_control_msg_t *msg);

/**
 * Returns whether the instance can accept flows: it knows the other instances
 * and has an active sealing key. The keyring stays empty until the instance
 * has joined, so an active key implies both.
 *
 * @return whether the instance is ready
 */
bool carob_cluster_ready(const carob_cluster_t *cluster);

/**
 * Starts a graceful stop. The instance announces the state LEAVING with a
 * successor, waits until the request path is drained, transfers its request
 * records to the successor and announces the state LEFT. The host's `left` is
 * called once two neighbours (all, if there are fewer) have acknowledged that
 * state, or after a timeout.
 */
void carob_cluster_drain(carob_cluster_t *cluster);

/** @return whether the graceful stop is complete */
bool carob_cluster_has_left(const carob_cluster_t *cluster);

/** Sends results of this instance's health probes to another instance. */
void carob_cluster_send_reports(carob_cluster_t *cluster,
				carob_instance_id_t to,
				const carob_load_report_t *reports,
				size_t count);

/** @return the gossip, borrowed, to add address hints and read counters */
carob_gossip_t *carob_cluster_gossip(carob_cluster_t *cluster);

/** Counters and state of the cluster component. */
typedef struct carob_cluster_counters {
	carob_gossip_counters_t gossip;
	uint32_t key_newest;  /* serial of the newest key; 0: none */
	uint32_t key_sealing; /* serial of the sealing key; 0: none */
	size_t keys;
	uint64_t key_conflicts;
	uint64_t key_store_failures;
	uint64_t load_rounds;
	uint64_t load_postponed; /* rounds delayed by the bandwidth budget */
	uint64_t memories_taken_over;
} carob_cluster_counters_t;

/** Copies the counters. */
void carob_cluster_counters(carob_cluster_counters_t *out,
			    const carob_cluster_t *cluster);

/**
 * Appends the status of the members and the sealing keys as a JSON object.
 *
 * @return 0 or CAROB_ENOMEM
 */
int carob_cluster_status(carob_buf_t *json, const carob_cluster_t *cluster);

#endif
