#include "net/platform_reply.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_MAX       100000
#define BODY_BYTES_MAX (4 * CAROB_KV_VALUE_BYTES_MAX)
#define BASE64_MAX     (CAROB_KV_VALUE_BYTES_MAX / 3 * 4 + 8)

/* The unused part of the memory that the entries borrow from. */
typedef struct arena {
	char *next;
	size_t left;
} arena_t;

static int allocate_entries(carob_platform_entries_t *out, arena_t *arena,
			    size_t count, size_t bytes)
{
	out->entries = calloc(count + 1, sizeof(out->entries[0]));
	out->bytes = malloc(bytes + 1);
	if (!out->entries || !out->bytes)
		return carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate entries of platform response");
	arena->next = out->bytes;
	arena->left = bytes + 1;
	return 0;
}

static carob_str_t copy_text(arena_t *arena, carob_str_t text)
{
	carob_str_t copy = {arena->next, text.len};

	memcpy(arena->next, text.ptr, text.len);
	arena->next += text.len;
	arena->left -= text.len;
	return copy;
}

static int decode_base64(carob_str_t *out, arena_t *arena,
			 const carob_json_node_t *node, carob_str_t text)
{
	size_t len = 0;

	if (sodium_base642bin((unsigned char *)arena->next, arena->left,
			      text.ptr, text.len, NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL) != 0)
		return carob_json_expected(node, "base64");
	*out = (carob_str_t){arena->next, len};
	arena->next += len;
	arena->left -= len;
	return 0;
}

static int decode_entry(carob_kv_entry_t *out, arena_t *arena,
			const carob_json_node_t *node)
{
	carob_str_t text = CAROB_STR("");
	carob_json_node_t value;
	int result;

	result = carob_json_get_str(&text, node, "Key", 1, CAROB_KV_KEY_MAX);
	if (result != 0)
		return result;
	out->key = copy_text(arena, text);
	result = carob_json_get_u64(&out->index, node, "ModifyIndex", 1,
				    INT64_MAX);
	out->value = CAROB_STR("");
	if (result != 0 || !carob_json_find(&value, node, "Value") ||
	    json_is_null(value.value))
		return result;
	result = carob_json_str(&text, &value, 0, BASE64_MAX);
	return result != 0 ? result
			   : decode_base64(&out->value, arena, &value, text);
}

static int decode_key(carob_kv_entry_t *out, arena_t *arena,
		      const carob_json_node_t *node)
{
	carob_str_t text = CAROB_STR("");
	int result = carob_json_str(&text, node, 1, CAROB_KV_KEY_MAX);

	if (result != 0)
		return result;
	out->key = copy_text(arena, text);
	out->value = CAROB_STR("");
	return 0;
}

static int decode_array(carob_platform_entries_t *out, carob_str_t body,
			int (*decode_element)(carob_kv_entry_t *out,
					      arena_t *arena,
					      const carob_json_node_t *node))
{
	carob_json_doc_t *doc = NULL;
	carob_json_node_t root;
	static char empty;
	arena_t arena = {&empty, 0};
	size_t count = 0;
	int result;

	memset(out, 0, sizeof(*out));
	result = carob_json_doc_parse(&doc, "platform", body, BODY_BYTES_MAX);
	if (result != 0)
		return CAROB_EFORMAT;
	root = carob_json_doc_root(doc);
	result = carob_json_array(&count, &root, 0, KEYS_MAX);
	if (result == 0)
		result = allocate_entries(out, &arena, count, body.len);
	for (size_t i = 0; result == 0 && i < count; i++) {
		carob_json_node_t node = carob_json_at(&root, i);

		result = decode_element(&out->entries[out->count], &arena,
					&node);
		out->count += result == 0;
	}
	carob_json_doc_free(doc);
	if (result == 0)
		return 0;
	carob_platform_entries_dispose(out);
	return result == CAROB_ENOMEM ? result : CAROB_EFORMAT;
}

int carob_platform_decode_values(carob_platform_entries_t *out,
				 carob_str_t body)
{
	return decode_array(out, body, decode_entry);
}

int carob_platform_decode_keys(carob_platform_entries_t *out, carob_str_t body)
{
	return decode_array(out, body, decode_key);
}

int carob_platform_decode_done(bool *done, carob_str_t body)
{
	while (body.len > 0 && (body.ptr[body.len - 1] == '\n' ||
				body.ptr[body.len - 1] == '\r'))
		body.len--;
	*done = carob_str_eq(body, CAROB_STR("true"));
	if (*done || carob_str_eq(body, CAROB_STR("false")))
		return 0;
	return carob_error_set(CAROB_EFORMAT,
			       "platform response: %.*s: expected true or "
			       "false",
			       (int)(body.len > 40 ? 40 : body.len), body.ptr);
}

void carob_platform_entries_dispose(carob_platform_entries_t *entries)
{
	free(entries->entries);
	free(entries->bytes);
	memset(entries, 0, sizeof(*entries));
}
