#include "confirm.h"

#include "carobtrail/errors.h"
#include "query.h"
#include "util/json_doc.h"

#include <string.h>

/* Evaluation of the responses. */
typedef struct confirmation {
	const cli_responses_t *responses;
	uint64_t lowest; /* lowest generation in force */
} confirmation_t;

static json_t *parse_response(const cli_response_t *response)
{
	return json_loadb(response->json.ptr, response->json.len, 0, NULL);
}

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static bool has_responded(const cli_responses_t *responses,
			  const json_t *member)
{
	carob_addr_t addr;

	if (carob_addr_parse(&addr,
			     carob_str_from(get_text(member, "control"))) != 0)
		return false;
	for (size_t i = 0; i < responses->count; i++)
		if (carob_addr_eq(&responses->items[i].addr, &addr))
			return responses->items[i].result == 0;
	return false;
}

/* Checks that every member in a response has left or responds itself. */
static int check_members(const cli_responses_t *responses, const json_t *root)
{
	const json_t *members = json_object_get(root, "members");
	size_t count = json_array_size(members);

	for (size_t i = 0; i < count; i++) {
		const json_t *member = json_array_get(members, i);

		if (strcmp(get_text(member, "state"), "left") == 0 ||
		    has_responded(responses, member))
			continue;
		return carob_error_set(
			CAROB_EUNAVAILABLE,
			"--confirm: instance %lld at %s (state %s) does not "
			"respond, so it may have an older generation in force; "
			"nothing was changed",
			(long long)json_integer_value(
				json_object_get(member, "instance")),
			get_text(member, "control"), get_text(member, "state"));
	}
	return 0;
}

static int evaluate_response(confirmation_t *confirmation,
			     const cli_response_t *response)
{
	char addr[CAROB_ADDR_TEXT_MAX];
	json_int_t generation;
	json_t *root;
	int result;

	carob_addr_format(addr, &response->addr);
	if (response->result != 0)
		return carob_error_set(CAROB_EUNAVAILABLE,
				       "--confirm: instance at %s does not "
				       "respond, so it may have an older "
				       "generation in force; nothing was "
				       "changed",
				       addr);
	root = parse_response(response);
	generation = json_integer_value(json_object_get(root, "generation"));
	if (generation >= 0 && (uint64_t)generation < confirmation->lowest)
		confirmation->lowest = (uint64_t)generation;
	result = check_members(confirmation->responses, root);
	json_decref(root);
	return result;
}

static bool zone_responds(const cli_responses_t *responses, const char *zone)
{
	bool found = false;

	for (size_t i = 0; i < responses->count && !found; i++) {
		json_t *root = parse_response(&responses->items[i]);

		found = strcmp(get_text(root, "zone"), zone) == 0;
		json_decref(root);
	}
	return found;
}

static int check_zones(const cli_responses_t *responses,
		       const carob_manifest_t *manifest)
{
	size_t count;
	const carob_zone_t *zones = carob_manifest_zones(manifest, &count);

	for (size_t i = 0; i < count; i++)
		if (!zone_responds(responses, zones[i].name))
			return carob_error_set(
				CAROB_EUNAVAILABLE,
				"--confirm: no instance of availability zone "
				"%s responds, so some may have an older "
				"generation in force; nothing was changed",
				zones[i].name);
	return 0;
}

int cli_confirm(uint64_t *out, const carob_manifest_t *manifest,
		const char *addrs, const char *secret_file)
{
	cli_responses_t responses = {0};
	confirmation_t confirmation = {.responses = &responses,
				       .lowest = UINT64_MAX};
	uint8_t secret[CAROB_KEY_BYTES];
	int result = cli_read_secret(secret, secret_file);

	if (result == 0)
		result = cli_query_all(&responses, secret, addrs);
	for (size_t i = 0; result == 0 && i < responses.count; i++)
		result = evaluate_response(&confirmation, &responses.items[i]);
	if (result == 0)
		result = check_zones(&responses, manifest);
	*out = confirmation.lowest;
	cli_responses_dispose(&responses);
	return result;
}
