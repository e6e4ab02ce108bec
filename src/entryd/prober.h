/**
 * @file prober.h
 * Kernel service that probes the load and health of upstreams: the adapter
 * between `carob_health_t` and CoAP over UDP.
 */
#ifndef CAROB_ENTRYD_PROBER_H
#define CAROB_ENTRYD_PROBER_H

#include "carobtrail/health.h"
#include "carobtrail/kernel.h"
#include "net/udp.h"

#define ENTRYD_PROBER "prober"

/**
 * Creates and registers the service; "core" must be registered.
 *
 * @param kernel the kernel
 * @param hub the loop's UDP buffers
 * @param ip IP address that probes are sent from
 * @return 0 or a negative code
 */
int entryd_prober_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			   const carob_addr_t *ip);

/** @return the health checks, borrowed from the service */
carob_health_t *entryd_prober_health(const carob_kernel_t *kernel);

#endif
