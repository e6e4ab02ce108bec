#include "flowd/settings.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Settings that are accepted must name the instance, the port for packets and
 * the port of the store. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_str_t text = {(const char *)data, size};
	carob_json_doc_t *doc;
	flowd_settings_t settings;
	carob_json_node_t root;

	if (carob_json_doc_parse(&doc, "settings", text,
				 CAROB_JSON_SETTINGS_BYTES_MAX) != 0)
		return 0;
	root = carob_json_doc_root(doc);
	if (flowd_settings_read(&settings, &root) == 0 &&
	    (settings.instance.len == 0 || settings.packets.port == 0 ||
	     settings.store.port == 0))
		abort();
	carob_json_doc_free(doc);
	return 0;
}
