/**
 * @file control_auth.h
 * Authentication on the control channel: a ZAP handler (RFC 27) that admits
 * only the deployment's public key, and a monitor that counts failed
 * handshakes, both those that the handler refuses and those that fail before
 * they reach it. Both run on the loop of the control channel.
 */
#ifndef CAROB_NET_CONTROL_AUTH_H
#define CAROB_NET_CONTROL_AUTH_H

#include "net/curve_keys.h"
#include "net/zmq_socket.h"

/** ZAP domain of the server socket; the handler refuses every other domain. */
#define CAROB_ZAP_DOMAIN "carobtrail"

/** The ZAP handler and the monitor. */
typedef struct carob_control_auth {
	carob_zmq_socket_t zap;
	carob_zmq_socket_t monitor;
	uint8_t public_key[CAROB_CURVE_KEY_BYTES];
	uint64_t failed_handshakes;
} carob_control_auth_t;

/**
 * Starts the ZAP handler. Call it before the server socket is bound.
 *
 * @param auth zero-initialised; dispose of it also after an error
 * @param context the ZeroMQ context
 * @param base loop that the handler runs on
 * @param keys the key pair whose public key is admitted
 * @return 0 or CAROB_EIO
 */
int carob_control_auth_init(carob_control_auth_t *auth, void *context,
			    struct event_base *base,
			    const carob_curve_keys_t *keys);

/**
 * Starts counting the failed handshakes of the server socket.
 *
 * @return 0 or CAROB_EIO
 */
int carob_control_auth_monitor(carob_control_auth_t *auth, void *context,
			       struct event_base *base,
			       carob_zmq_socket_t *server);

/** Closes both sockets. Call it after the server socket is closed. */
void carob_control_auth_dispose(carob_control_auth_t *auth);

#endif
