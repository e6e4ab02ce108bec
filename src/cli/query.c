#include "query.h"

#include "carobtrail/errors.h"
#include "net/control.h"
#include "util/json_doc.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define RESPONSE_TIMEOUT_MS 1500
#define SECRET_FILE_MAX	    256

int cli_read_secret(uint8_t secret[CAROB_KEY_BYTES], const char *path)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	size_t len = 0;
	int result;

	if (!path)
		return carob_error_set(CAROB_EUSAGE,
				       "--secret-file is missing");
	result = carob_file_read(&text, path, SECRET_FILE_MAX);
	if (result != 0)
		return result;
	while (text.len > 0 && (text.ptr[text.len - 1] == '\n' ||
				text.ptr[text.len - 1] == ' '))
		text.len--;
	if (text.len != 2 * CAROB_KEY_BYTES ||
	    sodium_hex2bin(secret, CAROB_KEY_BYTES, text.ptr, text.len, NULL,
			   &len, NULL) != 0 ||
	    len != CAROB_KEY_BYTES)
		return carob_error_set(CAROB_EINVALID,
				       "%s: expected %d hexadecimal digits",
				       path, 2 * CAROB_KEY_BYTES);
	return 0;
}

static bool is_known(const cli_responses_t *responses, const carob_addr_t *addr)
{
	for (size_t i = 0; i < responses->count; i++)
		if (carob_addr_eq(&responses->items[i].addr, addr))
			return true;
	return false;
}

static int add_instance(cli_responses_t *responses, const carob_addr_t *addr)
{
	size_t cap = responses->cap ? responses->cap * 2 : 16;
	cli_response_t *grown;

	if (is_known(responses, addr) || responses->count == CLI_INSTANCES_MAX)
		return 0;
	if (responses->count == responses->cap) {
		grown = realloc(responses->items, cap * sizeof(grown[0]));
		if (!grown)
			return carob_error_set(CAROB_ENOMEM,
					       "cannot allocate the responses "
					       "of %zu instances",
					       cap);
		responses->items = grown;
		responses->cap = cap;
	}
	memset(&responses->items[responses->count], 0, sizeof(cli_response_t));
	responses->items[responses->count++].addr = *addr;
	return 0;
}

static int add_listed_instances(cli_responses_t *responses, const char *addrs)
{
	const char *cursor = addrs;

	while (*cursor != '\0') {
		size_t len = strcspn(cursor, ",");
		carob_addr_t addr;
		int result;

		if (carob_addr_parse(&addr, (carob_str_t){cursor, len}) != 0)
			return carob_error_set(CAROB_EUSAGE,
					       "--instances: %.*s: expected "
					       "control addresses with ports, "
					       "separated by commas",
					       (int)len, cursor);
		result = add_instance(responses, &addr);
		if (result != 0)
			return result;
		cursor += len;
		cursor += *cursor == ',';
	}
	return 0;
}

/* Adds the members in a response that have not left and are not dead. */
static int add_members(cli_responses_t *responses, carob_str_t json)
{
	json_t *root = json_loadb(json.ptr, json.len, 0, NULL);
	const json_t *members = json_object_get(root, "members");
	size_t count = json_array_size(members);
	int result = 0;

	for (size_t i = 0; result == 0 && i < count; i++) {
		const json_t *member = json_array_get(members, i);
		const char *state =
			json_string_value(json_object_get(member, "state"));
		const char *control =
			json_string_value(json_object_get(member, "control"));
		carob_addr_t addr;

		if (!state || !control || strcmp(state, "left") == 0 ||
		    strcmp(state, "dead") == 0 ||
		    carob_addr_parse(&addr, carob_str_from(control)) != 0)
			continue;
		result = add_instance(responses, &addr);
	}
	json_decref(root);
	return result;
}

static void query_status(cli_response_t *response, const uint8_t *secret)
{
	response->result = carob_control_query(&response->json, &response->addr,
					       secret, CAROB_STR("instance"),
					       RESPONSE_TIMEOUT_MS);
	if (response->result == 0)
		return;
	carob_buf_clear(&response->json);
	(void)carob_buf_printf(&response->json, "%s", carob_error_last());
}

int cli_query_all(cli_responses_t *out, const uint8_t *secret,
		  const char *addrs)
{
	int result;

	memset(out, 0, sizeof(*out));
	result = add_listed_instances(out, addrs);
	for (size_t i = 0; result == 0 && i < out->count; i++) {
		cli_response_t response = out->items[i];

		query_status(&response, secret);
		out->items[i] = response;
		if (response.result == 0)
			result = add_members(out,
					     carob_buf_view(&response.json));
	}
	return result;
}

void cli_responses_dispose(cli_responses_t *responses)
{
	for (size_t i = 0; i < responses->count; i++)
		carob_buf_dispose(&responses->items[i].json);
	free(responses->items);
}
