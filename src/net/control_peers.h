/**
 * @file control_peers.h
 * The DEALER sockets of the control channel, one for each peer to which this
 * instance connects, and the settings that they share with its other sockets.
 */
#ifndef CAROB_NET_CONTROL_PEERS_H
#define CAROB_NET_CONTROL_PEERS_H

#include "carobtrail/control_msg.h"
#include "net/curve_keys.h"
#include "net/zmq_socket.h"

/**
 * First byte of the ZeroMQ routing id of an instance. The instance's id and
 * incarnation follow, both in network byte order.
 */
#define CAROB_ROUTE_INSTANCE 'I'
/** Length of the routing id of an instance, in bytes. */
#define CAROB_ROUTE_BYTES 9

/** A connection from this instance to a peer. */
typedef struct carob_control_dealer {
	carob_zmq_socket_t socket;
	struct carob_control *control;
	carob_addr_t addr;
	uint64_t last_sent_ns;
	struct carob_control_dealer *next;
} carob_control_dealer_t;

/** Encodes the routing id of an instance. */
void carob_route_write(uint8_t out[CAROB_ROUTE_BYTES], carob_instance_id_t id);

/**
 * Decodes a routing id.
 *
 * @param out receives the instance; not changed if there is none
 * @param route the routing id; any content is allowed
 * @return whether it is the routing id of an instance
 */
bool carob_route_read(carob_instance_id_t *out, carob_str_t route);

/**
 * Sets the limits and timeouts that all TCP sockets of the channel share.
 *
 * @return 0 or CAROB_EIO
 */
int carob_control_limit_socket(carob_zmq_socket_t *socket);

/**
 * Makes a socket a CURVE client.
 *
 * @param socket the socket
 * @param keys key pair of both the client and the server
 * @return 0 or CAROB_EIO
 */
int carob_control_secure_client(carob_zmq_socket_t *socket,
				const carob_curve_keys_t *keys);

/**
 * Connects a socket to a control address.
 *
 * @param socket the socket
 * @param addr the control address
 * @param source the address to connect from, of which the port is ignored, or
 *        NULL for any address
 * @return 0 or CAROB_EIO
 */
int carob_control_connect(carob_zmq_socket_t *socket, const carob_addr_t *addr,
			  const carob_addr_t *source);

#endif
