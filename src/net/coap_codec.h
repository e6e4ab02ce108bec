/**
 * @file coap_codec.h
 * Encodes and decodes CoAP messages (RFC 7252). libcoap is used as a codec
 * only, not for I/O.
 */
#ifndef CAROB_NET_COAP_CODEC_H
#define CAROB_NET_COAP_CODEC_H

#include "carobtrail/msg.h"

/** Numbers of the options that `carob_msg_t` holds in dedicated fields. */
typedef enum carob_option {
	CAROB_OPTION_OBSERVE = 6,
	CAROB_OPTION_MAX_AGE = 14,
	CAROB_OPTION_ECHO = 252,
	CAROB_OPTION_DEADLINE = 65000,
	CAROB_OPTION_TRACE = 65004,
	CAROB_OPTION_VERDICT = 65008,
} carob_option_t;

/** Response code 5.05 to a request to act as a forward proxy. */
#define CAROB_CODE_PROXYING_NOT_SUPPORTED CAROB_MSG_CODE(5, 5)

/**
 * Decodes a datagram. If an option of `carob_option_t` is repeated, the first
 * occurrence is used; occurrences of an invalid length are ignored.
 *
 * @param out receives the message, whose views borrow from `data`; after a
 *            failure with a `refusal`, its type, code, message id and token
 * @param refusal receives, after a failure, the code of the response to send,
 *                or CAROB_CODE_EMPTY if the datagram is to be dropped
 * @param data the datagram, any content
 * @param len its length in bytes
 * @return 0, CAROB_EFORMAT if it is no CoAP message, CAROB_ELIMIT if it is
 *         too large (4.13) or has too many options (4.00), CAROB_EINVALID for
 *         an unknown critical option (4.02) or a proxy option (5.05)
 */
int carob_coap_decode(carob_msg_t *out, uint8_t *refusal, const void *data,
		      size_t len);

/**
 * Encodes a message, all options in ascending order.
 *
 * @param out receives the datagram
 * @param len receives its length in bytes
 * @param cap capacity of `out`, in bytes
 * @param msg the message; `other` in ascending order
 * @return 0, CAROB_ELIMIT if it does not fit, or CAROB_EINVALID if `other` is
 *         out of order
 */
int carob_coap_encode(uint8_t *out, size_t *len, size_t cap,
		      const carob_msg_t *msg);

#endif
