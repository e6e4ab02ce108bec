/**
 * @file udp.h
 * Non-blocking UDP sockets on libevent. Datagrams are received and sent in
 * batches (recvmmsg, sendmmsg) through buffers that all sockets of a loop
 * share. The number of datagrams that a socket receives per loop iteration is
 * bounded.
 */
#ifndef CAROB_NET_UDP_H
#define CAROB_NET_UDP_H

#include "carobtrail/ids.h"

/** Largest datagram, in bytes; longer received ones are truncated. */
#define CAROB_UDP_BYTES_MAX 2048

struct event_base;

typedef struct carob_udp_hub carob_udp_hub_t;
typedef struct carob_udp carob_udp_t;
typedef struct carob_udp_handler carob_udp_handler_t;

/** Receiver of datagrams; implementations embed it. */
struct carob_udp_handler {
	/** Handles a datagram; `data` is valid during the call only. */
	void (*receive)(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data);
};

/** Counters of a hub. */
typedef struct carob_udp_counters {
	uint64_t received;
	uint64_t sent;
	uint64_t send_failed; /* refused by the operating system */
} carob_udp_counters_t;

/**
 * Creates the shared buffers of a loop's sockets.
 *
 * @param out receives the hub; release it with `carob_udp_hub_free`
 * @param base the libevent base; must outlive the hub
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int carob_udp_hub_new(carob_udp_hub_t **out, struct event_base *base);

/** Releases the hub; all its sockets must have been closed before. */
void carob_udp_hub_free(carob_udp_hub_t *hub);

/** Sends the queued datagrams immediately. */
void carob_udp_hub_flush(carob_udp_hub_t *hub);

/** @return the counters, borrowed */
const carob_udp_counters_t *carob_udp_hub_counters(const carob_udp_hub_t *hub);

/**
 * @return how long the datagram that is being handled was queued in the
 *         operating system, in milliseconds; a large value follows a pause of
 *         the process
 */
uint32_t carob_udp_hub_age_ms(const carob_udp_hub_t *hub);

/**
 * Opens a socket.
 *
 * @param out receives it; release it with `carob_udp_close`
 * @param hub the shared buffers
 * @param local address to bind; port 0 for any port
 * @param handler receiver of its datagrams; must outlive the socket
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int carob_udp_open(carob_udp_t **out, carob_udp_hub_t *hub,
		   const carob_addr_t *local, carob_udp_handler_t *handler);

/**
 * Stops or resumes the reception of datagrams. Meanwhile they are queued in the
 * operating system, as far as the receive buffer allows.
 *
 * @return 0 or CAROB_ENOMEM
 */
int carob_udp_set_receiving(carob_udp_t *udp, bool receiving);

/** Closes a socket after sending the datagrams that it has queued. */
void carob_udp_close(carob_udp_t *udp);

/** @return the address that the socket is bound to */
carob_addr_t carob_udp_local(const carob_udp_t *udp);

/**
 * Queues a datagram; it is sent before the loop waits again.
 *
 * @param udp the socket to send from
 * @param to the destination
 * @param data at most CAROB_UDP_BYTES_MAX bytes, copied; longer ones are
 *             counted as failed
 * @param len how many bytes
 */
void carob_udp_send(carob_udp_t *udp, const carob_addr_t *to, const void *data,
		    size_t len);

#endif
