/**
 * @file callers.h
 * Kernel service that receives requests from callers. It holds one UDP socket
 * for each service of the manifest.
 */
#ifndef CAROB_ENTRYD_CALLERS_H
#define CAROB_ENTRYD_CALLERS_H

#include "carobtrail/kernel.h"
#include "carobtrail/manifest_store.h"
#include "carobtrail/msg.h"
#include "net/udp.h"

#define ENTRYD_CALLERS "callers"

typedef struct entryd_callers entryd_callers_t;
typedef struct entryd_caller_handler entryd_caller_handler_t;

/** Receiver of messages from callers; implementations embed it. */
struct entryd_caller_handler {
	void (*receive)(entryd_caller_handler_t *handler, uint32_t service_id,
			const carob_addr_t *caller, const carob_msg_t *msg);
};

/** Counters of datagrams that were not passed to the handler. */
typedef struct entryd_callers_counters {
	uint64_t undecodable; /* dropped without a response */
	uint64_t refused;     /* refused with a 4.xx or 5.05 response */
} entryd_callers_counters_t;

/**
 * Creates and registers the service; "core" must be registered.
 *
 * @param kernel the kernel
 * @param hub the loop's UDP buffers
 * @param ip IP address that the sockets bind to, each with its service's port
 * @return 0 or a negative code
 */
int entryd_callers_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			    const carob_addr_t *ip);

/** @return the service; the kernel owns it */
entryd_callers_t *entryd_callers_find(const carob_kernel_t *kernel);

/** Sets the receiver of messages; it must outlive the service. */
void entryd_callers_set_handler(entryd_callers_t *callers,
				entryd_caller_handler_t *handler);

/**
 * Sends a message to a caller from the address of a service. The message is
 * dropped if the service has no socket.
 */
void entryd_callers_send(entryd_callers_t *callers, uint32_t service_id,
			 const carob_addr_t *caller, const carob_msg_t *msg);

/** @return the counters, borrowed */
const entryd_callers_counters_t *
entryd_callers_counters(const entryd_callers_t *callers);

#endif
