#include "ask.h"

#include "carobtrail/errors.h"
#include "net/control.h"
#include "util/json_doc.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIMEOUT_MS 1500
#define SECRET_FILE_MAX	  256

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

static bool is_known(const cli_answers_t *answers, const carob_addr_t *addr)
{
	for (size_t i = 0; i < answers->count; i++)
		if (carob_addr_eq(&answers->answers[i].addr, addr))
			return true;
	return false;
}

static int add(cli_answers_t *answers, const carob_addr_t *addr)
{
	size_t cap = answers->cap ? answers->cap * 2 : 16;
	cli_answer_t *grown;

	if (is_known(answers, addr) || answers->count == CLI_INSTANCES_MAX)
		return 0;
	if (answers->count == answers->cap) {
		grown = realloc(answers->answers, cap * sizeof(grown[0]));
		if (!grown)
			return carob_error_set(CAROB_ENOMEM,
					       "cannot allocate the responses "
					       "of %zu instances",
					       cap);
		answers->answers = grown;
		answers->cap = cap;
	}
	memset(&answers->answers[answers->count], 0, sizeof(cli_answer_t));
	answers->answers[answers->count++].addr = *addr;
	return 0;
}

static int add_listed(cli_answers_t *answers, const char *addrs)
{
	const char *at = addrs;

	while (*at != '\0') {
		size_t len = strcspn(at, ",");
		carob_addr_t addr;
		int result;

		if (carob_addr_parse(&addr, (carob_str_t){at, len}) != 0)
			return carob_error_set(CAROB_EUSAGE,
					       "--instances: %.*s: expected "
					       "control addresses with ports, "
					       "separated by commas",
					       (int)len, at);
		result = add(answers, &addr);
		if (result != 0)
			return result;
		at += len;
		at += *at == ',';
	}
	return 0;
}

/* Adds the members in a response that have not left and are not dead. */
static int add_members(cli_answers_t *answers, carob_str_t json)
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
		result = add(answers, &addr);
	}
	json_decref(root);
	return result;
}

static void ask(cli_answer_t *answer, const uint8_t *secret)
{
	answer->result = carob_control_query(&answer->json, &answer->addr,
					     secret, CAROB_STR("instance"),
					     ANSWER_TIMEOUT_MS);
	if (answer->result == 0)
		return;
	carob_buf_clear(&answer->json);
	(void)carob_buf_printf(&answer->json, "%s", carob_error_last());
}

int cli_ask_all(cli_answers_t *out, const uint8_t *secret, const char *addrs)
{
	int result;

	memset(out, 0, sizeof(*out));
	result = add_listed(out, addrs);
	for (size_t i = 0; result == 0 && i < out->count; i++) {
		cli_answer_t answer = out->answers[i];

		ask(&answer, secret);
		out->answers[i] = answer;
		if (answer.result == 0)
			result = add_members(out, carob_buf_view(&answer.json));
	}
	return result;
}

void cli_answers_dispose(cli_answers_t *answers)
{
	for (size_t i = 0; i < answers->count; i++)
		carob_buf_dispose(&answers->answers[i].json);
	free(answers->answers);
}
