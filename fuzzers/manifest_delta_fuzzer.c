#include "carobtrail/manifest.h"
#include "core/manifest/manifest_history.h"
#include "core/manifest/manifest_json.h"
#include "core/manifest/publish_doc.h"

#include <stdlib.h>

static const char document[] =
	"{\"deployment\":\"d\",\"zones\":[\"a\"],\"services\":[{\"id\":1,"
	"\"name\":\"s\",\"addr\":\"127.0.0.1:5701\",\"slots\":1,"
	"\"connections\":1,\"upstreams\":[{\"id\":7,\"name\":\"u\",\"zone\":"
	"\"a\",\"addr\":\"127.0.1.7:1\"}]}]}";

/* Applies a delta that fits the document and has the input as its services, so
 * that the input gets past the checks of the other members. */
static void apply_delta(const carob_manifest_t *from, carob_str_t input)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t delta = CAROB_BUF_INIT;
	char hash[CAROB_HASH_TEXT_BYTES];
	carob_manifest_t *patched = NULL;

	if (carob_manifest_hash(hash, from) != 0)
		abort();
	(void)carob_buf_printf(&delta,
			       "{\"from\":\"%s\",\"to\":\"0\",\"deployment\":"
			       "\"d\",\"zones\":[\"a\"],\"removed\":[],"
			       "\"services\":%.*s}",
			       hash, (int)input.len, input.ptr);
	if (carob_manifest_patch(&patched, from, "fuzz",
				 carob_buf_view(&delta)) == 0)
		abort(); /* no manifest has the hash "0" */
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* No input may crash the parsers of deltas, heads, indexes and histories, and
 * no delta may yield a manifest with a hash other than the one it names. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_str_t input = {(const char *)data, size};
	carob_manifest_t *from = NULL;
	carob_manifest_t *patched = NULL;
	carob_history_t *history = NULL;
	carob_index_t index;
	carob_head_t head;

	if (carob_manifest_parse(&from, "document", carob_str_from(document)) !=
	    0)
		abort();
	apply_delta(from, input);
	(void)carob_manifest_patch(&patched, from, "fuzz", input);
	(void)carob_head_parse(&head, "fuzz", input);
	(void)carob_index_parse(&index, "fuzz", input);
	(void)carob_history_parse(&history, "fuzz", input);
	carob_history_free(history);
	carob_manifest_free(patched);
	carob_manifest_free(from);
	return 0;
}
