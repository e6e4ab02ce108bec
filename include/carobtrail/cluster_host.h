/**
 * @file cluster_host.h
 * What an instance's part in the cluster asks of the instance's other parts.
 */
#ifndef CAROBTRAIL_CLUSTER_HOST_H
#define CAROBTRAIL_CLUSTER_HOST_H

#include "carobtrail/control_msg.h"

typedef struct carob_cluster_host carob_cluster_host_t;

/** The instance's other parts. Any member may be NULL. */
typedef struct carob_cluster_host_ops {
	/** A peer has this manifest generation in force. */
	void (*peer_generation)(carob_cluster_host_t *host,
				const carob_control_peer_t *peer,
				uint64_t generation);
	/** A message of type CAROB_CONTROL_MANIFEST_* arrived. */
	void (*manifest_message)(carob_cluster_host_t *host,
				 const carob_control_peer_t *peer,
				 const carob_control_msg_t *msg);
	/** Writes this instance's load. @return how many summaries */
	size_t (*summaries)(carob_cluster_host_t *host,
			    carob_load_summary_t *out, size_t cap);
	/** A peer's load arrived. */
	void (*on_summary)(carob_cluster_host_t *host,
			   const carob_load_summary_t *summary);
	/** What a peer's health probe found arrived. */
	void (*on_report)(carob_cluster_host_t *host,
			  const carob_load_report_t *report);
	/**
	 * Begins a graceful stop of the request path. Called again if another
	 * successor has to be chosen; `successor` with id 0: there is none.
	 */
	void (*drain)(carob_cluster_host_t *host,
		      carob_instance_id_t successor);
	/** @return whether no work is in progress any more after a drain */
	bool (*drained)(carob_cluster_host_t *host);
	/** Appends the memory for the successor. @return 0 or a code */
	int (*export_memory)(carob_cluster_host_t *host, carob_buf_t *out);
	/** Takes over the memory of a predecessor. @return 0 or a code */
	int (*import_memory)(carob_cluster_host_t *host,
			     carob_instance_id_t predecessor,
			     carob_str_t records);
	/** The graceful stop is complete: the process may end. */
	void (*left)(carob_cluster_host_t *host);
} carob_cluster_host_ops_t;

/** A host; implementations embed it as their first member. */
struct carob_cluster_host {
	const carob_cluster_host_ops_t *ops;
};

/** Deliberately wrong variants, which only tests switch on. */
typedef enum carob_cluster_fault {
	CAROB_CLUSTER_FAULT_NONE,
	/** Gives the memory to another one though the first may have it. */
	CAROB_CLUSTER_FAULT_SECOND_SUCCESSOR,
	/** Ends before anybody knows that this instance left. */
	CAROB_CLUSTER_FAULT_LEAVE_AT_ONCE,
	/** Seals with a new key before others have it. */
	CAROB_CLUSTER_FAULT_ACTIVATE_AT_ONCE,
	/** Keeps its own key after a lost race. */
	CAROB_CLUSTER_FAULT_IGNORE_CONFLICT,
} carob_cluster_fault_t;

#endif
