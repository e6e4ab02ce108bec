/**
 * @file udp_relay.h
 * A UDP address that relays each packet to a random one of its targets. Each
 * client has a socket of its own towards the targets, so that the response of
 * any target reaches the client.
 */
#ifndef CAROB_FABRIC_UDP_RELAY_H
#define CAROB_FABRIC_UDP_RELAY_H

#include "carobtrail/kernel.h"
#include "link.h"
#include "net/udp.h"

/** Largest number of targets of one relay. */
#define FABRIC_TARGETS_MAX 64

typedef struct udp_relay udp_relay_t;

/** Options of `udp_relay_open`. */
typedef struct udp_relay_options {
	carob_kernel_t *kernel;
	carob_udp_hub_t *hub;
	fabric_links_t *links;
	carob_str_t name; /* borrowed */
	carob_addr_t listen;
	carob_addr_t bind; /* local address of clients' sockets; port 0 */
} udp_relay_options_t;

/** Counters of a relay. */
typedef struct udp_relay_counters {
	uint64_t forwarded;
	uint64_t dropped;
	uint64_t clients;
} udp_relay_counters_t;

/** Opens a relay without targets. @return 0, CAROB_ENOMEM or CAROB_EIO */
int udp_relay_open(udp_relay_t **out, const udp_relay_options_t *options);

/** Closes a relay; NULL is ignored. */
void udp_relay_close(udp_relay_t *relay);

/** Replaces the targets and enables all of them. */
void udp_relay_set_targets(udp_relay_t *relay, const carob_addr_t *targets,
			   size_t count);

/** Enables or disables all targets with an IP address; ports are ignored. */
void udp_relay_enable(udp_relay_t *relay, const carob_addr_t *ip, bool on);

/**
 * Freezes some of the clients seen so far: all their packets are dropped, in
 * both directions and permanently. Packets from new addresses still pass.
 *
 * @param relay the relay
 * @param client_ip only clients with this IP address; family 0: any
 * @param count largest number of clients to freeze
 * @return the number of clients that were frozen
 */
size_t udp_relay_freeze(udp_relay_t *relay, const carob_addr_t *client_ip,
			size_t count);

/** @return the relay's name */
carob_str_t udp_relay_name(const udp_relay_t *relay);

/** @return the counters, borrowed */
const udp_relay_counters_t *udp_relay_counters(const udp_relay_t *relay);

#endif
