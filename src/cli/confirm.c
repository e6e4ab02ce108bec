#include "confirm.h"

#include "ask.h"
#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <string.h>

/* Evaluation of the responses. */
typedef struct confirmation {
	const cli_answers_t *answers;
	uint64_t lowest; /* generation */
} confirmation_t;

static json_t *parse(const cli_answer_t *answer)
{
	return json_loadb(answer->json.ptr, answer->json.len, 0, NULL);
}

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static bool has_answered(const cli_answers_t *answers, const json_t *member)
{
	carob_addr_t addr;

	if (carob_addr_parse(&addr,
			     carob_str_from(get_text(member, "control"))) != 0)
		return false;
	for (size_t i = 0; i < answers->count; i++)
		if (carob_addr_eq(&answers->answers[i].addr, &addr))
			return answers->answers[i].result == 0;
	return false;
}

/* Checks that every member in a response has left or responds itself. */
static int check_members(const cli_answers_t *answers, const json_t *root)
{
	const json_t *members = json_object_get(root, "members");
	size_t count = json_array_size(members);

	for (size_t i = 0; i < count; i++) {
		const json_t *member = json_array_get(members, i);

		if (strcmp(get_text(member, "state"), "left") == 0 ||
		    has_answered(answers, member))
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

static int take_answer(confirmation_t *all, const cli_answer_t *answer)
{
	char addr[CAROB_ADDR_TEXT_MAX];
	json_int_t generation;
	json_t *root;
	int result;

	carob_addr_format(addr, &answer->addr);
	if (answer->result != 0)
		return carob_error_set(CAROB_EUNAVAILABLE,
				       "--confirm: instance at %s does not "
				       "respond, so it may have an older "
				       "generation in force; nothing was "
				       "changed",
				       addr);
	root = parse(answer);
	generation = json_integer_value(json_object_get(root, "generation"));
	if (generation >= 0 && (uint64_t)generation < all->lowest)
		all->lowest = (uint64_t)generation;
	result = check_members(all->answers, root);
	json_decref(root);
	return result;
}

static bool zone_answers(const cli_answers_t *answers, const char *zone)
{
	bool found = false;

	for (size_t i = 0; i < answers->count && !found; i++) {
		json_t *root = parse(&answers->answers[i]);

		found = strcmp(get_text(root, "zone"), zone) == 0;
		json_decref(root);
	}
	return found;
}

static int check_zones(const cli_answers_t *answers,
		       const carob_manifest_t *manifest)
{
	size_t count;
	const carob_zone_t *zones = carob_manifest_zones(manifest, &count);

	for (size_t i = 0; i < count; i++)
		if (!zone_answers(answers, zones[i].name))
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
	cli_answers_t answers = {0};
	confirmation_t all = {.answers = &answers, .lowest = UINT64_MAX};
	uint8_t secret[CAROB_KEY_BYTES];
	int result = cli_read_secret(secret, secret_file);

	if (result == 0)
		result = cli_ask_all(&answers, secret, addrs);
	for (size_t i = 0; result == 0 && i < answers.count; i++)
		result = take_answer(&all, &answers.answers[i]);
	if (result == 0)
		result = check_zones(&answers, manifest);
	*out = all.lowest;
	cli_answers_dispose(&answers);
	return result;
}
