/**
 * @file relay.h
 * Kernel service that relays packets to other instances and receives the
 * packets that they relay.
 */
#ifndef CAROB_ENTRYD_RELAY_H
#define CAROB_ENTRYD_RELAY_H

#include "carobtrail/kernel.h"
#include "carobtrail/relay.h"
#include "net/udp.h"

#define ENTRYD_RELAY "relay"

typedef struct entryd_relay entryd_relay_t;
typedef struct entryd_relay_handler entryd_relay_handler_t;

/** Receiver of relayed packets; implementations embed it. */
struct entryd_relay_handler {
	void (*receive)(entryd_relay_handler_t *handler,
			const carob_relay_t *relay);
};

/** Counters of dropped packets. */
typedef struct entryd_relay_counters {
	uint64_t refused;     /* forged, truncated or with an unknown key */
	uint64_t undelivered; /* unknown receiver, or cannot be encoded */
} entryd_relay_counters_t;

/**
 * Creates and registers the service; "core" must be registered.
 *
 * @return 0 or a negative code
 */
int entryd_relay_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			  const carob_addr_t *addr);

/** @return the service; the kernel owns it */
entryd_relay_t *entryd_relay_find(const carob_kernel_t *kernel);

/** Sets the receiver of packets; it must outlive the service. */
void entryd_relay_set_handler(entryd_relay_t *relay,
			      entryd_relay_handler_t *handler);

/** Relays a packet to the instance `packet->to`. */
void entryd_relay_send(entryd_relay_t *relay, const carob_relay_t *packet);

/** @return the counters, borrowed */
const entryd_relay_counters_t *
entryd_relay_counters(const entryd_relay_t *relay);

#endif
