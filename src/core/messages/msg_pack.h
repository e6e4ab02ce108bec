/**
 * @file msg_pack.h
 * Compact copies of messages that must outlive their datagram.
 */
#ifndef CAROBTRAIL_CORE_MSG_PACK_H
#define CAROBTRAIL_CORE_MSG_PACK_H

#include "carobtrail/msg.h"

/** A message with its options and payload, in one allocation. */
typedef struct carob_packed_msg {
	uint32_t len; /* of `bytes` */
	uint8_t bytes[];
} carob_packed_msg_t;

/**
 * Packs a message.
 *
 * @param msg the message
 * @return the packed message, to be released with `free`; NULL if memory is
 *         short
 */
carob_packed_msg_t *carob_msg_pack(const carob_msg_t *msg);

/**
 * Unpacks a message.
 *
 * @param out receives the message, which borrows from `bytes`
 * @param bytes a packed message, untrusted
 * @param len its length
 * @return 0 or CAROB_EFORMAT
 */
int carob_msg_unpack(carob_msg_t *out, const uint8_t *bytes, size_t len);

#endif
