#include "net/platform_reply.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* No input may crash the decoders of the key-value service's replies. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_str_t input = {(const char *)data, size};
	carob_platform_entries_t entries;
	bool done;

	if (carob_platform_decode_values(&entries, input) == 0)
		carob_platform_entries_dispose(&entries);
	if (carob_platform_decode_keys(&entries, input) == 0)
		carob_platform_entries_dispose(&entries);
	(void)carob_platform_decode_done(&done, input);
	return 0;
}
