/**
 * @file request_path.h
 * Kernel service that connects the request path (`carob_entry_t`) with the
 * sockets.
 */
#ifndef CAROB_ENTRYD_REQUEST_PATH_H
#define CAROB_ENTRYD_REQUEST_PATH_H

#include "carobtrail/entry.h"
#include "carobtrail/kernel.h"

#define ENTRYD_REQUEST_PATH "request-path"

/**
 * Creates and registers the service; "core", "traces", "callers",
 * "upstream-paths" and "relay" must be registered.
 *
 * @return 0 or a negative code
 */
int entryd_request_path_register(carob_kernel_t *kernel);

/** @return the request path, borrowed from the service */
carob_entry_t *entryd_request_path_find(const carob_kernel_t *kernel);

#endif
