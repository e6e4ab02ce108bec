/**
 * @file wire.h
 * Packet format as the two ends of a flow encode and check it. It does not
 * use the load balancer's codec, so that tests can detect defects in that.
 */
#ifndef CAROB_EMULATOR_FLOWS_WIRE_H
#define CAROB_EMULATOR_FLOWS_WIRE_H

#include "carobtrail/flow_packet.h"
#include "carobtrail/str.h"

#define WIRE_HEADER_BYTES 34
#define WIRE_DATA_MAX	  1200
#define WIRE_NUMBER_BYTES 8 /* host's number before each packet to a host */
#define WIRE_BYTES_MAX	  (WIRE_NUMBER_BYTES + WIRE_HEADER_BYTES + WIRE_DATA_MAX)

/** Flags in a packet's header. */
enum {
	WIRE_RST = 1,
	WIRE_FIN = 4,
	WIRE_SYN = 32,
	WIRE_ACK = 128,
};

/** One packet, with its numbers in host byte order; `data` is borrowed. */
typedef struct wire_packet {
	carob_endpoint_t from;
	carob_endpoint_t to;
	uint32_t seq;
	uint32_t ack;
	uint32_t echo;
	uint32_t checksum;
	uint8_t flags;
	carob_str_t data;
} wire_packet_t;

/** Encodes a packet and computes its checksum. @return its length in bytes */
size_t wire_encode(uint8_t out[WIRE_BYTES_MAX], const wire_packet_t *packet);

/** Decodes a packet; `out->data` points into it. @return 0 or CAROB_EFORMAT */
int wire_decode(wire_packet_t *out, carob_str_t datagram);

/** @return whether the checksum shows that an end of a flow wrote the packet
 * and that it is unaltered */
bool wire_checksum_valid(const wire_packet_t *packet);

#endif
