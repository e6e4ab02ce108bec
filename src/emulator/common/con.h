/**
 * @file con.h
 * Confirmable messages, which are retransmitted until they are stopped (RFC
 * 7252, section 4.2).
 */
#ifndef CAROB_EMULATOR_CON_H
#define CAROB_EMULATOR_CON_H

#include "carobtrail/kernel.h"
#include "carobtrail/msg.h"
#include "carobtrail/rng.h"
#include "net/udp.h"

typedef struct carob_con carob_con_t;

/** A confirmable message; its user embeds and zero-initialises it. */
struct carob_con {
	carob_timer_t timer;
	/** Called if the last retransmission is not acknowledged in time. */
	void (*give_up)(carob_con_t *con);
	carob_kernel_t *kernel;
	carob_udp_t *udp;
	carob_addr_t peer;
	uint64_t timeout_ns;
	unsigned int retransmissions;
	size_t len;
	uint8_t *data;
};

/**
 * Sends a message and starts its retransmissions.
 *
 * @param con with `give_up`, `kernel`, `udp` and `peer` set; not in use
 * @param rng for the random factor of the first timeout
 * @param msg the message
 * @return 0, CAROB_ENOMEM or a code of `carob_coap_encode`
 */
int carob_con_start(carob_con_t *con, carob_rng_t *rng, const carob_msg_t *msg);

/** Stops the retransmissions, if there are any. */
void carob_con_stop(carob_con_t *con);

/** @return whether the message is still retransmitted */
bool carob_con_active(const carob_con_t *con);

/** Encodes and sends a message once. */
void carob_msg_send(carob_udp_t *udp, const carob_addr_t *to,
		    const carob_msg_t *msg);

/** Sends an empty acknowledgement or reset. */
void carob_msg_send_empty(carob_udp_t *udp, const carob_addr_t *to,
			  carob_msg_type_t type, uint16_t mid);

#endif
