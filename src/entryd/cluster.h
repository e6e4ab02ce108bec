/**
 * @file cluster.h
 * Kernel service that hosts the cluster component: gossip with the other
 * instances, load summaries, sealing keys and the handover at a graceful stop.
 */
#ifndef CAROB_ENTRYD_CLUSTER_H
#define CAROB_ENTRYD_CLUSTER_H

#include "carobtrail/cluster.h"
#include "net/loop.h"
#include "settings.h"

#define ENTRYD_CLUSTER "cluster-host"

/**
 * Creates and registers the service; all others but "status" must be
 * registered.
 *
 * @param kernel the kernel
 * @param loop the event loop, which is stopped when a graceful stop is complete
 * @param settings settings of this instance
 * @return 0 or a negative code
 */
int entryd_cluster_register(carob_kernel_t *kernel, carob_loop_t *loop,
			    const entryd_settings_t *settings);

/** @return the cluster component, borrowed from the service */
carob_cluster_t *entryd_cluster_find(const carob_kernel_t *kernel);

#endif
