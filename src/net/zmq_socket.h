/**
 * @file zmq_socket.h
 * A ZeroMQ socket on the libevent loop.
 *
 * The file descriptor of a ZeroMQ socket is edge triggered: it becomes
 * readable once when the state of the socket changes, and any call on the
 * socket may consume this event. Therefore the socket is read until it is
 * empty after each event, and is checked again from the loop after each send.
 */
#ifndef CAROB_NET_ZMQ_SOCKET_H
#define CAROB_NET_ZMQ_SOCKET_H

#include "carobtrail/str.h"

struct event;
struct event_base;

/** Maximum number of frames in a message; longer messages are dropped. */
#define CAROB_ZMQ_FRAMES_MAX 8

typedef struct carob_zmq_socket carob_zmq_socket_t;

/** A socket; the owner embeds it. */
struct carob_zmq_socket {
	/**
	 * Handles a message; the frames are borrowed. The handler may send on
	 * the socket but must not close it.
	 */
	void (*receive)(carob_zmq_socket_t *socket, const carob_str_t *frames,
			size_t count);
	void *handle;		/* ZeroMQ socket; NULL when closed */
	struct event *readable; /* fires when the descriptor is readable */
	struct event *recheck;	/* activated to check the socket again */
};

/**
 * Opens a socket. It receives no messages until `carob_zmq_watch` is called.
 *
 * @param socket with `receive` set if it is going to be watched
 * @param context the ZeroMQ context
 * @param type type of ZeroMQ socket, such as ZMQ_ROUTER
 * @return 0 or CAROB_EIO
 */
int carob_zmq_open(carob_zmq_socket_t *socket, void *context, int type);

/** Sets a socket option of type int. @return 0 or CAROB_EIO */
int carob_zmq_set_int(carob_zmq_socket_t *socket, int option, int value);

/** Sets a socket option that consists of bytes. @return 0 or CAROB_EIO */
int carob_zmq_set_bytes(carob_zmq_socket_t *socket, int option, const void *ptr,
			size_t len);

/** Starts receiving on the loop. @return 0 or CAROB_EIO */
int carob_zmq_watch(carob_zmq_socket_t *socket, struct event_base *base);

/**
 * Sends a message without blocking. The message is dropped on failure.
 *
 * @return 0, CAROB_EUNAVAILABLE if there is no such receiver, CAROB_ELIMIT if
 *         the queue is full, or CAROB_EIO
 */
int carob_zmq_send(carob_zmq_socket_t *socket, const carob_str_t *frames,
		   size_t count);

/** Closes the socket; does nothing if it is already closed. */
void carob_zmq_close(carob_zmq_socket_t *socket);

#endif
