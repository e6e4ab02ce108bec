/**
 * @file platform_client.h
 * Implements `carob_kv_t` for the platform's key-value service over HTTP,
 * which has the form of Consul's published KV API (/v1/kv/KEY with cas, index
 * and wait).
 */
#ifndef CAROB_NET_PLATFORM_CLIENT_H
#define CAROB_NET_PLATFORM_CLIENT_H

#include "carobtrail/ids.h"
#include "carobtrail/kernel.h"
#include "carobtrail/kv.h"

struct event_base;

typedef struct carob_platform_client carob_platform_client_t;

/** Options of `carob_platform_client_new`. */
typedef struct carob_platform_client_options {
	unsigned int version;
	carob_kernel_t *kernel;
	struct event_base *base;
	carob_addr_t addr;
	/* Time limit of a call. For a watch, its wait time is added. */
	uint32_t timeout_ms;
	carob_addr_t source; /* connect from this IP; family 0: any */
} carob_platform_client_options_t;

#define CAROB_PLATFORM_TIMEOUT_MS_DEFAULT     2000
#define CAROB_PLATFORM_CLIENT_OPTIONS_VERSION 1
#define CAROB_PLATFORM_CLIENT_OPTIONS_INIT                                     \
	{                                                                      \
		.version = CAROB_PLATFORM_CLIENT_OPTIONS_VERSION,              \
		.timeout_ms = CAROB_PLATFORM_TIMEOUT_MS_DEFAULT                \
	}

/**
 * Creates a client, which opens a connection for each call.
 *
 * @param out receives it; release it with `carob_platform_client_free`
 * @param options the options; `kernel` and `base` must outlive the client
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_platform_client_new(carob_platform_client_t **out,
			      const carob_platform_client_options_t *options);

/** Releases the client; `done` of calls in progress is not called. */
void carob_platform_client_free(carob_platform_client_t *client);

/** @return the client's key-value interface, borrowed */
carob_kv_t *carob_platform_client_kv(carob_platform_client_t *client);

#endif
