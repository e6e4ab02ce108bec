/**
 * @file flow_packet.h
 * One packet of a flow, as steering sees it: the header in host order. The
 * bytes that the two ends exchange are never read.
 */
#ifndef CAROBTRAIL_FLOW_PACKET_H
#define CAROBTRAIL_FLOW_PACKET_H

#include "carobtrail/endpoint.h"

/** A packet from a caller towards an upstream. */
typedef struct carob_flow_packet {
	carob_endpoint_t caller;
	carob_endpoint_t
		route; /* address and port that the caller connects to */
	uint32_t seq;
	uint32_t ack;	       /* 0 in a SYN */
	uint32_t steering_tag; /* names the upstream; 0: the caller knows none */
	uint16_t data_bytes;
	uint8_t syn_copy; /* of a SYN: 0 first, then 1, 2 for each repetition */
	bool syn;
	bool has_ack;
	bool fin;
	bool rst;
} carob_flow_packet_t;

#endif
