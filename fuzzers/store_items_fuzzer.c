#include "carobtrail/log.h"
#include "emulator/common/cbor_json.h"
#include "platform/items.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES 16384

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Puts the decoded upstreams into a table, as the catalogue does. */
static void apply_upstreams(const carob_catalog_reply_t *reply)
{
	CAROB_CLEANUP(carob_upstream_table_dispose)
	carob_upstream_table_t table = {0};

	for (size_t i = 0; i < reply->count; i++)
		if (reply->changes[i].kind == CAROB_CATALOG_UPSTREAM)
			(void)carob_upstream_table_put(
				&table, &reply->changes[i].upstream,
				reply->changes[i].revision, 1);
}

static void decode(carob_str_t body)
{
	platform_items_t *items;

	if (platform_items_decode(&items, body) != 0)
		return;
	apply_upstreams(platform_items_reply(items));
	platform_items_free(items);
}

/* No input may crash the decoder, be it a whole response of the store, the
 * entry of an upstream, or a configuration. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const keys[] = {"servers/i-1f", "op/config"};
	static char body[BODY_BYTES];
	static char value[BODY_BYTES / 2];

	carob_log_configure("fuzzer", NULL, CAROB_LOG_ERROR, NULL);
	decode((carob_str_t){(const char *)data, size});
	if (sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL) >
	    sizeof(value))
		return 0;
	sodium_bin2base64(value, sizeof(value), data, size,
			  sodium_base64_VARIANT_ORIGINAL);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(keys); i++) {
		CAROB_CLEANUP(carob_buf_dispose)
		carob_buf_t bytes = CAROB_BUF_INIT;
		int len = snprintf(body, sizeof(body),
				   "{\"events\":[{\"key\":\"%s\",\"value\":"
				   "\"%s\",\"revision\":3}],\"current_rev\":4}",
				   keys[i], value);

		if (cbor_json_encode_text(
			    &bytes, (carob_str_t){body, (size_t)len}) == 0)
			decode(carob_buf_view(&bytes));
	}
	return 0;
}
