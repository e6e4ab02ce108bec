/**
 * @file control.h
 * The control channel: typed messages between instances, and between
 * operators' tools and instances, over ZeroMQ with CURVE encryption. An
 * instance accepts connections on one ROUTER socket. It sends to a peer over
 * the DEALER socket that it has opened for this peer, otherwise over the
 * connection that the peer has opened to it, and opens a DEALER socket if
 * there is neither. Idle DEALER sockets are closed.
 *
 * Only holders of the deployment's key complete the handshake; all others are
 * refused and counted. Delivery is not confirmed: a message for a peer whose
 * queue is full is dropped and counted.
 */
#ifndef CAROB_NET_CONTROL_H
#define CAROB_NET_CONTROL_H

#include "carobtrail/control_msg.h"
#include "net/loop.h"

typedef struct carob_control carob_control_t;
typedef struct carob_control_handler carob_control_handler_t;
typedef struct carob_status_provider carob_status_provider_t;

/** Receives the messages of other instances. */
struct carob_control_handler {
	void (*message)(carob_control_handler_t *handler,
			const carob_control_msg_t *msg);
};

/** Provides one kind of status; the owner embeds it. */
struct carob_status_provider {
	const char *name; /* first word of the queries that it serves */
	/**
	 * Appends the status as JSON text.
	 *
	 * @param args rest of the query after the name, may be empty
	 * @return 0 or a result code, with the last error set
	 */
	int (*status)(carob_status_provider_t *provider, carob_buf_t *json,
		      carob_str_t args);
	carob_status_provider_t *next; /* owned by the control channel */
};

/** Options of `carob_control_new`. */
typedef struct carob_control_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_instance_id_t self;
	carob_addr_t listen;
	const uint8_t *secret; /* deployment's secret, CAROB_KEY_BYTES */
	carob_control_handler_t *handler;
} carob_control_options_t;

#define CAROB_CONTROL_OPTIONS_VERSION 1
#define CAROB_CONTROL_OPTIONS_INIT                                             \
	{                                                                      \
		.version = CAROB_CONTROL_OPTIONS_VERSION                       \
	}

/** Counters; all are monotonic except `dealers` and `routes`. */
typedef struct carob_control_counters {
	uint64_t sent;
	uint64_t sent_bytes; /* size of sent messages, without transport
				overhead */
	uint64_t received;
	uint64_t received_bytes;
	uint64_t dropped;	  /* queue full or peer not reachable */
	uint64_t refused_key;	  /* failed handshakes */
	uint64_t refused_message; /* malformed, or sent under a false id */
	uint64_t status_requests;
	uint64_t dealers; /* DEALER sockets that are open */
	uint64_t routes;  /* peers with a connection to this instance */
} carob_control_counters_t;

/**
 * Opens the control channel and listens for connections.
 *
 * @param out receives it; release it with `carob_control_free`
 * @param options kernel, loop and handler must outlive it
 * @return 0, CAROB_EINVALID, CAROB_EIO or CAROB_ENOMEM
 */
int carob_control_new(carob_control_t **out,
		      const carob_control_options_t *options);

/**
 * Closes all sockets and releases the control channel; NULL is allowed. Waits
 * a short time for queued messages to be sent.
 */
void carob_control_free(carob_control_t *control);

/** @return the port to send control messages to; borrowed */
carob_control_port_t *carob_control_port(carob_control_t *control);

/** Adds a status provider; it must outlive the control channel. */
void carob_control_add_status(carob_control_t *control,
			      carob_status_provider_t *provider);

/** Copies the counters. */
void carob_control_counters(carob_control_counters_t *out,
			    const carob_control_t *control);

/**
 * Requests a status from an instance and waits for the reply. It is meant for
 * tools without an event loop.
 *
 * @param json buffer to append the JSON text to
 * @param addr control address of the instance
 * @param secret the deployment's secret, CAROB_KEY_BYTES
 * @param query name and arguments, such as "members"
 * @param timeout_ms longest time to wait for the reply, in milliseconds
 * @return 0, CAROB_EUNAVAILABLE if no reply arrived, another code if the query
 *         could not be sent or the reply not read, or the result code of the
 *         reply
 */
int carob_control_query(carob_buf_t *json, const carob_addr_t *addr,
			const uint8_t *secret, carob_str_t query,
			uint32_t timeout_ms);

#endif
