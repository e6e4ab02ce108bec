#include "carobtrail/ids.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* An address that parses must be the same after formatting and parsing it
 * again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_str_t text = {(const char *)data, size};
	char formatted[CAROB_ADDR_TEXT_MAX];
	carob_addr_t first;
	carob_addr_t second;

	if (carob_addr_parse(&first, text) != 0)
		return 0;
	carob_addr_format(formatted, &first);
	if (carob_addr_parse(&second, carob_str_from(formatted)) != 0)
		abort();
	if (!carob_addr_eq(&first, &second))
		abort();
	return 0;
}
