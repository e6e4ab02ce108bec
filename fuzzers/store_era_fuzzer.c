#include "carobtrail/errors.h"
#include "platform/era.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_BYTES 64

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A value that is refused must not change the era, and one that is accepted
 * must be the same number when it is written and parsed again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char text[TEXT_BYTES];
	char again[TEXT_BYTES];
	uint64_t era = 77;
	uint64_t parsed;
	int error;

	if (size >= sizeof(text))
		return 0;
	memcpy(text, data, size);
	text[size] = '\0';
	error = platform_era_parse(&era, text);
	if (error && (error != CAROB_EFORMAT || era != 77))
		abort();
	if (error)
		return 0;
	(void)snprintf(again, sizeof(again), "%llu", (unsigned long long)era);
	if (platform_era_parse(&parsed, again) != 0 || parsed != era)
		abort();
	return 0;
}
