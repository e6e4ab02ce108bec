/**
 * @file wire.h
 * Packets as the two ends of a flow write and check them. The balancer's own
 * codec is not used, so that a fault in it is seen.
 */
#ifndef CAROB_EMULATOR_FLOWS_WIRE_H
#define CAROB_EMULATOR_FLOWS_WIRE_H

#include "carobtrail/flow_packet.h"
#include "carobtrail/str.h"

#define WIRE_HEADER_BYTES 34
#define WIRE_DATA_MAX	  1200
#define WIRE_NUMBER_BYTES 8 /* in front of packets to a host */
#define WIRE_BYTES_MAX	  (WIRE_NUMBER_BYTES + WIRE_HEADER_BYTES + WIRE_DATA_MAX)

/** Flags of a packet. */
enum {
	WIRE_RST = 1,
	WIRE_FIN = 4,
	WIRE_SYN = 32,
	WIRE_ACK = 128,
};

/** One packet; `data` is borrowed. */
typedef struct wire_packet {
	carob_endpoint_t from;
	carob_endpoint_t to;
	uint32_t seq;
	uint32_t ack;
	uint32_t echo;
	uint32_t sum;
	uint8_t flags;
	carob_str_t data;
} wire_packet_t;

/** Writes a packet with its sum. @return its length */
size_t wire_encode(uint8_t out[WIRE_BYTES_MAX], const wire_packet_t *packet);

/** Reads a packet. @return 0 or CAROB_EFORMAT */
int wire_decode(wire_packet_t *out, carob_str_t datagram);

/** @return whether the packet is as an end of a flow wrote it */
bool wire_is_genuine(const wire_packet_t *packet);

#endif
