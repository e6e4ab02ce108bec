/**
 * @file status.h
 * Kernel service for the status queries of operators: "instance" returns the
 * state and the counters of this instance, "explain" returns where a flow or
 * the flows of a service are sent, and why.
 */
#ifndef CAROB_ENTRYD_STATUS_H
#define CAROB_ENTRYD_STATUS_H

#include "carobtrail/kernel.h"

#define ENTRYD_STATUS "status"

/**
 * Creates and registers the service; all others must be registered.
 *
 * @return 0 or a negative code
 */
int entryd_status_register(carob_kernel_t *kernel);

#endif
