#include "emulator/common/payload.h"

#include "carobtrail/errors.h"

#include <inttypes.h>
#include <string.h>

size_t carob_payload_write(char out[CAROB_PAYLOAD_HEADER_MAX],
			   const carob_payload_header_t *header)
{
	int len = snprintf(out, CAROB_PAYLOAD_HEADER_MAX,
			   "%016" PRIx64 " %" PRIu64 " %s %s\n", header->rid,
			   header->sequence, header->service, header->upstream);

	return len < CAROB_PAYLOAD_HEADER_MAX ? (size_t)len
					      : CAROB_PAYLOAD_HEADER_MAX - 1;
}

int carob_payload_read(carob_payload_header_t *out, carob_str_t payload)
{
	char text[CAROB_PAYLOAD_HEADER_MAX + 1];
	size_t len = payload.len;

	if (len > CAROB_PAYLOAD_HEADER_MAX)
		len = CAROB_PAYLOAD_HEADER_MAX;
	memcpy(text, payload.ptr, len);
	text[len] = '\0';
	memset(out, 0, sizeof(*out));
	if (sscanf(text, "%16" SCNx64 " %" SCNu64 " %31s %31s", &out->rid,
		   &out->sequence, out->service, out->upstream) != 4)
		return carob_error_set(CAROB_EFORMAT,
				       "payload has no valid header line");
	return 0;
}
