#include "carobtrail/manifest.h"

#include "carobtrail/errors.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* When a manifest is rejected, an error message must be set. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_str_t json = {(const char *)data, size};
	carob_manifest_t *manifest;

	carob_error_clear();
	if (carob_manifest_parse(&manifest, "fuzz", json) == 0)
		carob_manifest_free(manifest);
	else if (carob_error_last()[0] == '\0')
		abort();
	return 0;
}
