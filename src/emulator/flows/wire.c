#include "wire.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <string.h>

/* Key of the checksum. Only the ends of flows have it, so that a packet which
 * the load balancer alters or makes up is detected. */
#define CHECKSUM_KEY	0x5eedca20b7a11ULL
#define ECHO_OFFSET	26
#define CHECKSUM_OFFSET 30

static size_t put16(uint8_t *at, uint32_t value)
{
	at[0] = (uint8_t)(value >> 8);
	at[1] = (uint8_t)value;
	return 2;
}

static size_t put32(uint8_t *at, uint32_t value)
{
	put16(at, value >> 16);
	put16(at + 2, value);
	return 4;
}

static uint16_t get16(const uint8_t *at)
{
	return (uint16_t)(at[0] << 8 | at[1]);
}

static uint32_t get32(const uint8_t *at)
{
	return (uint32_t)get16(at) << 16 | get16(at + 2);
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
	uint8_t *at = out;

	at += put16(at, (uint32_t)packet->data.len);
	at += put32(at, packet->seq);
	at += put32(at, packet->ack);
	*at++ = packet->flags;
	memset(at, 0, 3);
	at += 3;
	at += put32(at, packet->from.ip);
	at += put32(at, packet->to.ip);
	at += put16(at, packet->from.port);
	at += put16(at, packet->to.port);
	at += put32(at, packet->echo);
	put32(at, compute_checksum(out, packet->data));
	if (packet->data.len)
		memcpy(out + WIRE_HEADER_BYTES, packet->data.ptr,
		       packet->data.len);
	return WIRE_HEADER_BYTES + packet->data.len;
}

int wire_decode(wire_packet_t *out, carob_str_t datagram)
{
	const uint8_t *at = (const uint8_t *)datagram.ptr;

	if (datagram.len < WIRE_HEADER_BYTES ||
	    datagram.len != WIRE_HEADER_BYTES + (size_t)get16(at))
		return CAROB_EFORMAT;
	*out = (wire_packet_t){
		.from = {get32(at + 14), get16(at + 22)},
		.to = {get32(at + 18), get16(at + 24)},
		.seq = get32(at + 2),
		.ack = get32(at + 6),
		.flags = at[10],
		.echo = get32(at + ECHO_OFFSET),
		.checksum = get32(at + CHECKSUM_OFFSET),
		.data = {datagram.ptr + WIRE_HEADER_BYTES, get16(at)},
	};
	return 0;
}

bool wire_checksum_valid(const wire_packet_t *packet)
{
	uint8_t copy[WIRE_BYTES_MAX];

	(void)wire_encode(copy, packet);
	return get32(copy + CHECKSUM_OFFSET) == packet->checksum;
}
