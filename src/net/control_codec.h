/**
 * @file control_codec.h
 * Encodes control messages in CBOR (RFC 8949). A message is an array of
 * version, type, the sender's id and incarnation, and body. A body is an array
 * of fields in the order of `control_msg.h`; the id and the incarnation of an
 * instance or upstream are two fields. A body with nothing but a list is the
 * array of the list's elements.
 */
#ifndef CAROB_NET_CONTROL_CODEC_H
#define CAROB_NET_CONTROL_CODEC_H

#include "carobtrail/control_msg.h"

/** Storage for the lists of one decoded message. */
typedef struct carob_control_scratch {
	carob_control_zone_age_t zones[CAROB_CONTROL_ZONES_MAX];
	union {
		carob_member_t members[CAROB_CONTROL_MEMBERS_MAX];
		uint32_t digests[CAROB_CONTROL_DIGESTS];
		carob_load_summary_t summaries[CAROB_CONTROL_SUMMARIES_MAX];
		carob_load_report_t reports[CAROB_CONTROL_REPORTS_MAX];
		carob_control_key_t keys[CAROB_CONTROL_KEYS_MAX];
	};
} carob_control_scratch_t;

/**
 * Encodes a message.
 *
 * @param out buffer to append to; holds a partial message on failure
 * @param msg the message
 * @return 0, CAROB_ENOMEM, CAROB_ELIMIT for a list that is too long, or
 *         CAROB_EINVALID for an unknown type
 */
int carob_control_encode(carob_buf_t *out, const carob_control_msg_t *msg);

/**
 * Decodes a message of an untrusted sender.
 *
 * @param out receives the message, which borrows from `scratch` and `bytes`
 * @param scratch storage for its lists
 * @param bytes the encoded message; any content is allowed
 * @return 0, CAROB_EFORMAT or CAROB_ELIMIT
 */
int carob_control_decode(carob_control_msg_t *out,
			 carob_control_scratch_t *scratch, carob_str_t bytes);

#endif
