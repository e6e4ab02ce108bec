#include "platform/packet.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A packet that decodes must reach the upstream unaltered except for the
 * steering tag. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_str_t datagram = {(const char *)data, size};
	uint8_t out[PLATFORM_PACKET_BYTES_MAX];
	carob_flow_packet_t packet;
	carob_flow_packet_t forwarded;

	if (platform_packet_decode(&packet, datagram) != 0)
		return 0;
	if (platform_packet_encode(out, datagram, 7, 9) !=
	    size + PLATFORM_PACKET_PREFIX_BYTES)
		abort();
	datagram.ptr = (const char *)out + PLATFORM_PACKET_PREFIX_BYTES;
	if (platform_packet_decode(&forwarded, datagram) != 0 ||
	    forwarded.steering_tag != 9)
		abort();
	forwarded.steering_tag = packet.steering_tag;
	if (memcmp(&forwarded.caller, &packet.caller, sizeof(packet.caller)) ||
	    forwarded.seq != packet.seq || forwarded.ack != packet.ack ||
	    forwarded.data_bytes != packet.data_bytes)
		abort();
	return 0;
}
