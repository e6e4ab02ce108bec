/**
 * @file flow_packet.h
 * Header of one packet of a flow, in host byte order. Steering decides by the
 * header alone and never reads the payload.
 */
#ifndef CAROBTRAIL_FLOW_PACKET_H
#define CAROBTRAIL_FLOW_PACKET_H

#include "carobtrail/endpoint.h"

/** Number of the last copy of a SYN that callers send, after 200 and 600 ms. */
#define CAROB_SYN_COPY_LAST 2

/** Header of a packet from a caller to an upstream. */
typedef struct carob_flow_packet {
	carob_endpoint_t caller;
	carob_endpoint_t
		route; /* address and port that the caller connects to */
	uint32_t seq;
	uint32_t ack;	       /* 0 in a SYN */
	uint32_t steering_tag; /* identifies the upstream; 0: not known yet */
	uint32_t age_ms;       /* time since the instance received it */
	uint16_t data_bytes;
	uint8_t syn_copy; /* of a SYN: 0 at first, 1, 2 in retransmissions */
	bool syn;
	bool has_ack;
	bool fin;
	bool rst;
} carob_flow_packet_t;

#endif
