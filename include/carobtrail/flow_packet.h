/**
 * @file flow_packet.h
 * One packet of a flow, as steering sees it: the header in host order. The
 * bytes that the two ends exchange are never read.
 */
#ifndef CAROBTRAIL_FLOW_PACKET_H
#define CAROBTRAIL_FLOW_PACKET_H

#include "carobtrail/common.h"

/** An IPv4 address and port, both in host order. */
typedef struct carob_endpoint {
	uint32_t ip;
	uint16_t port;
} carob_endpoint_t;

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

/** @return whether both are the same address and port */
static inline bool carob_endpoint_eq(carob_endpoint_t a, carob_endpoint_t b)
{
	return a.ip == b.ip && a.port == b.port;
}

#endif
