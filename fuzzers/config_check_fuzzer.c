#include "carobtrail/log.h"
#include "cli/check/check.h"
#include "emulator/common/cbor_json.h"
#include "platform/items.h"

#include <sodium.h>
#include <stdlib.h>

#define TEXT_BYTES 4096
#define BODY_BYTES (16 * TEXT_BYTES)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* @return whether instances refuse the text as a configuration */
static bool is_refused(carob_str_t text)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t value = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	static char json[BODY_BYTES];
	static char base64[BODY_BYTES / 2];
	platform_items_t *items;
	bool refused;
	int len;

	if (cbor_json_encode_text(&value, text) != 0 ||
	    sodium_base64_encoded_len(
		    value.len, sodium_base64_VARIANT_ORIGINAL) > sizeof(base64))
		return false;
	sodium_bin2base64(base64, sizeof(base64), (const uint8_t *)value.ptr,
			  value.len, sodium_base64_VARIANT_ORIGINAL);
	len = snprintf(json, sizeof(json),
		       "{\"events\":[{\"key\":\"op/config\",\"value\":\"%s\","
		       "\"revision\":3}],\"current_rev\":4}",
		       base64);
	if (cbor_json_encode_text(&body, (carob_str_t){json, (size_t)len}) !=
		    0 ||
	    platform_items_decode(&items, carob_buf_view(&body)) != 0)
		return false;
	refused = platform_items_reply(items)->changes[0].kind ==
		  CAROB_CATALOG_CONFIG_UNUSABLE;
	platform_items_free(items);
	return refused;
}

/* What instances refuse must be an error of the check, and no text may crash
 * it, be it a configuration, the settings or the configuration in force. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_str_t text = {(const char *)data, size};
	check_input_t input = {.config = text, .settings = text};
	CAROB_CLEANUP(check_report_dispose) check_report_t report = {0};
	CAROB_CLEANUP(check_report_dispose) check_report_t compared = {0};

	carob_log_configure("fuzzer", NULL, CAROB_LOG_ERROR, NULL);
	if (size == 0 || size > TEXT_BYTES)
		return 0;
	if (check_run(&report, &input) != 0 || report.lines)
		abort();
	if (is_refused(text)) {
		input.settings = (carob_str_t){0};
		check_report_dispose(&report);
		if (check_run(&report, &input) != 0 ||
		    check_report_status(&report) != 2)
			abort();
	}
	input.in_force = text;
	(void)check_run(&compared, &input);
	return 0;
}
