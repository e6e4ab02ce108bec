/**
 * @file msg_pack.h
 * Messages that outlive their datagram, in few bytes.
 */
#ifndef CAROBTRAIL_CORE_MSG_PACK_H
#define CAROBTRAIL_CORE_MSG_PACK_H

#include "carobtrail/msg.h"

/** A message with everything it refers to, in one piece of memory. */
typedef struct carob_packed_msg {
	uint32_t len;
	uint8_t bytes[];
} carob_packed_msg_t;

/**
 * Packs a message.
 *
 * @param msg the message
 * @return the packed message, to be released with `free`, or NULL
 */
carob_packed_msg_t *carob_msg_pack(const carob_msg_t *msg);

/**
 * Unpacks a message.
 *
 * @param out receives the message; borrows from `bytes`
 * @param bytes what was packed
 * @param len how many bytes
 * @return 0 or CAROB_EFORMAT
 */
int carob_msg_unpack(carob_msg_t *out, const uint8_t *bytes, size_t len);

#endif
