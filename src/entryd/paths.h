/**
 * @file paths.h
 * Kernel service that exchanges messages with upstreams. It holds one UDP
 * socket for each path to an upstream, so each path has its own source port.
 */
#ifndef CAROB_ENTRYD_PATHS_H
#define CAROB_ENTRYD_PATHS_H

#include "carobtrail/kernel.h"
#include "carobtrail/manifest.h"
#include "carobtrail/msg.h"
#include "net/udp.h"

#define ENTRYD_PATHS "upstream-paths"

typedef struct entryd_paths entryd_paths_t;
typedef struct entryd_path_handler entryd_path_handler_t;

/** Receiver of messages from upstreams; implementations embed it. */
struct entryd_path_handler {
	void (*receive)(entryd_path_handler_t *handler,
			carob_upstream_id_t upstream, uint32_t path,
			const carob_msg_t *msg);
};

/** Counters of paths and of dropped datagrams. */
typedef struct entryd_paths_counters {
	uint64_t opened;       /* opened paths */
	uint64_t undecodable;  /* datagrams that cannot be decoded */
	uint64_t stale;	       /* notifications that waited for too long */
	uint64_t wrong_source; /* datagrams not from the upstream's address */
} entryd_paths_counters_t;

/** Creates and registers the service. @return 0 or a negative code */
int entryd_paths_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			  const carob_addr_t *ip);

/** @return the service; the kernel owns it */
entryd_paths_t *entryd_paths_find(const carob_kernel_t *kernel);

/** Sets the receiver of messages; it must outlive the service. */
void entryd_paths_set_handler(entryd_paths_t *paths,
			      entryd_path_handler_t *handler);

/**
 * Sends a message to an upstream; opens the path if it is new. The message is
 * dropped if the path cannot be opened.
 */
void entryd_paths_send(entryd_paths_t *paths,
		       const carob_manifest_upstream_t *upstream, uint32_t path,
		       const carob_msg_t *msg);

/** Closes a path; does nothing if the path is not open. */
void entryd_paths_close(entryd_paths_t *paths, carob_upstream_id_t upstream,
			uint32_t path);

/** @return the counters, borrowed */
const entryd_paths_counters_t *
entryd_paths_counters(const entryd_paths_t *paths);

#endif
