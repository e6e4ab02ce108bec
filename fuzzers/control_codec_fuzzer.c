#include "net/control_codec.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A control message that decodes must be encodable again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static carob_control_scratch_t scratch;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t encoded = CAROB_BUF_INIT;
	carob_str_t bytes = {(const char *)data, size};
	carob_control_msg_t msg;

	if (carob_control_decode(&msg, &scratch, bytes) != 0)
		return 0;
	if (carob_control_encode(&encoded, &msg) != 0)
		abort();
	return 0;
}
