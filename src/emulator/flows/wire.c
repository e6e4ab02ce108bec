#include "wire.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <string.h>

/* Key of the checksum. Only the ends of flows have it, so that a packet which
 * the load balancer alters or makes up is detected. */
#define CHECKSUM_KEY	0x5eedca20b7a11ULL
#define ECHO_OFFSET	26
#define CHECKSUM_OFFSET 30

static size_t put16(uint8_t *bytes, uint32_t value)
{
	bytes[0] = (uint8_t)(value >> 8);
	bytes[1] = (uint8_t)value;
	return 2;
}

static size_t put32(uint8_t *bytes, uint32_t value)
{
	put16(bytes, value >> 16);
	put16(bytes + 2, value);
	return 4;
}

static uint16_t get16(const uint8_t *bytes)
{
	return (uint16_t)(bytes[0] << 8 | bytes[1]);
}

static uint32_t get32(const uint8_t *bytes)
{
	return (uint32_t)get16(bytes) << 16 | get16(bytes + 2);
}

/* Computes the checksum over the header up to the echo field and the data. The
 * echo field is left out, since the load balancer sets it. */
static uint32_t compute_checksum(const uint8_t *header, carob_str_t data)
{
	uint64_t hash = carob_hash_bytes(CHECKSUM_KEY, header, ECHO_OFFSET);

	return (uint32_t)carob_hash_bytes(hash, data.ptr, data.len);
}

size_t wire_encode(uint8_t out[WIRE_BYTES_MAX], const wire_packet_t *packet)
{
	uint8_t *cursor = out;

	cursor += put16(cursor, (uint32_t)packet->data.len);
	cursor += put32(cursor, packet->seq);
	cursor += put32(cursor, packet->ack);
	*cursor++ = packet->flags;
	memset(cursor, 0, 3);
	cursor += 3;
	cursor += put32(cursor, packet->from.ip);
	cursor += put32(cursor, packet->to.ip);
	cursor += put16(cursor, packet->from.port);
	cursor += put16(cursor, packet->to.port);
	cursor += put32(cursor, packet->echo);
	put32(cursor, compute_checksum(out, packet->data));
	if (packet->data.len)
		memcpy(out + WIRE_HEADER_BYTES, packet->data.ptr,
		       packet->data.len);
	return WIRE_HEADER_BYTES + packet->data.len;
}

int wire_decode(wire_packet_t *out, carob_str_t datagram)
{
	const uint8_t *bytes = (const uint8_t *)datagram.ptr;

	if (datagram.len < WIRE_HEADER_BYTES ||
	    datagram.len != WIRE_HEADER_BYTES + (size_t)get16(bytes))
		return CAROB_EFORMAT;
	*out = (wire_packet_t){
		.from = {get32(bytes + 14), get16(bytes + 22)},
		.to = {get32(bytes + 18), get16(bytes + 24)},
		.seq = get32(bytes + 2),
		.ack = get32(bytes + 6),
		.flags = bytes[10],
		.echo = get32(bytes + ECHO_OFFSET),
		.checksum = get32(bytes + CHECKSUM_OFFSET),
		.data = {datagram.ptr + WIRE_HEADER_BYTES, get16(bytes)},
	};
	return 0;
}

bool wire_checksum_valid(const wire_packet_t *packet)
{
	uint8_t copy[WIRE_BYTES_MAX];

	(void)wire_encode(copy, packet);
	return get32(copy + CHECKSUM_OFFSET) == packet->checksum;
}
