/**
 * @file cluster_host.h
 * Interface through which the cluster component uses the other components of
 * its instance: manifest, scheduler, health checks and request path.
 */
#ifndef CAROBTRAIL_CLUSTER_HOST_H
#define CAROBTRAIL_CLUSTER_HOST_H

#include "carobtrail/control_msg.h"

typedef struct carob_cluster_host carob_cluster_host_t;

/** Callbacks into the other components. Any member may be NULL. */
typedef struct carob_cluster_host_ops {
	/** Called when a peer reports the manifest generation it has applied. */
	void (*peer_generation)(carob_cluster_host_t *host,
				const carob_control_peer_t *peer,
				uint64_t generation);
	/** Processes a message of type CAROB_CONTROL_MANIFEST_*. */
	void (*manifest_message)(carob_cluster_host_t *host,
				 const carob_control_peer_t *peer,
				 const carob_control_msg_t *msg);
	/**
	 * Writes up to `cap` summaries of this instance's load.
	 * @return how many were written
	 */
	size_t (*summaries)(carob_cluster_host_t *host,
			    carob_load_summary_t *out, size_t cap);
	/** Processes a load summary of a peer. */
	void (*on_summary)(carob_cluster_host_t *host,
			   const carob_load_summary_t *summary);
	/** Processes the result of a peer's health probe. */
	void (*on_report)(carob_cluster_host_t *host,
			  const carob_load_report_t *report);
	/**
	 * Starts to drain the request path. Called again when another
	 * successor is chosen. A `successor` with id 0 means that there is
	 * none.
	 */
	void (*drain)(carob_cluster_host_t *host,
		      carob_instance_id_t successor);
	/** @return whether the request path has finished all its work */
	bool (*drained)(carob_cluster_host_t *host);
	/**
	 * Appends the request records for the successor.
	 * @return 0 or an error code
	 */
	int (*export_records)(carob_cluster_host_t *host, carob_buf_t *out);
	/**
	 * Takes over the request records of an instance that leaves.
	 * @return 0 or an error code
	 */
	int (*import_records)(carob_cluster_host_t *host,
			      carob_instance_id_t predecessor,
			      carob_str_t records);
	/** Called when the graceful stop is complete and the process may end. */
	void (*left)(carob_cluster_host_t *host);
} carob_cluster_host_ops_t;

/** The host of a cluster component; implementations embed it first. */
struct carob_cluster_host {
	const carob_cluster_host_ops_t *ops;
};

/** Deliberately wrong variants, which only tests switch on. */
typedef enum carob_cluster_mutation {
	CAROB_CLUSTER_MUTATION_NONE,
	/**
	 * Sends the request records to a second successor although the first
	 * may have received all of them.
	 */
	CAROB_CLUSTER_MUTATION_SECOND_SUCCESSOR,
	/** Completes the stop before any neighbour knows of the state LEFT. */
	CAROB_CLUSTER_MUTATION_LEAVE_AT_ONCE,
	/** Seals with a new key before the other instances have it. */
	CAROB_CLUSTER_MUTATION_ACTIVATE_AT_ONCE,
	/** Uses its own new key although the write to the store failed. */
	CAROB_CLUSTER_MUTATION_IGNORE_CONFLICT,
} carob_cluster_mutation_t;

#endif
