#include "core/keys/keyset.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#define DOCUMENT_VERSION 1
#define WRAP_KEY_ID	 2
#define BOX_BYTES                                                              \
	(crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES +             \
	 CAROB_KEY_BYTES)
#define BOX_HEX_CHARS (2 * BOX_BYTES)

static const char wrap_context[crypto_kdf_CONTEXTBYTES + 1] = "carobwrp";

/* @return whether `a` is kept if `a` and `b` have the same serial */
static bool takes_precedence(const carob_control_key_t *a,
			     const carob_control_key_t *b)
{
	if (a->created_ms != b->created_ms)
		return a->created_ms < b->created_ms;
	return memcmp(a->key, b->key, sizeof(a->key)) < 0;
}

static carob_keyset_merge_result_t
resolve_conflict(carob_control_key_t *known, const carob_control_key_t *key)
{
	if (memcmp(known->key, key->key, sizeof(key->key)) == 0)
		return CAROB_KEYSET_KNOWN;
	if (!takes_precedence(key, known))
		return CAROB_KEYSET_SUPERSEDED;
	*known = *key;
	return CAROB_KEYSET_REPLACED;
}

static void remove_at(carob_keyset_t *set, size_t i)
{
	sodium_memzero(&set->keys[i], sizeof(set->keys[i]));
	set->count--;
	for (; i < set->count; i++)
		set->keys[i] = set->keys[i + 1];
	sodium_memzero(&set->keys[set->count], sizeof(set->keys[0]));
}

carob_keyset_merge_result_t carob_keyset_merge(carob_keyset_t *set,
					       const carob_control_key_t *key)
{
	size_t i = 0;

	if (key->serial == 0 || key->activate_ms < key->created_ms)
		return CAROB_KEYSET_INVALID;
	while (i < set->count && set->keys[i].serial < key->serial)
		i++;
	if (i < set->count && set->keys[i].serial == key->serial)
		return resolve_conflict(&set->keys[i], key);
	if (set->count == CAROB_CONTROL_KEYS_MAX) {
		if (i == 0)
			return CAROB_KEYSET_TOO_OLD;
		remove_at(set, 0);
		i--;
	}
	for (size_t j = set->count; j > i; j--)
		set->keys[j] = set->keys[j - 1];
	set->keys[i] = *key;
	set->count++;
	return CAROB_KEYSET_ADDED;
}

const carob_control_key_t *carob_keyset_newest(const carob_keyset_t *set)
{
	return set->count ? &set->keys[set->count - 1] : NULL;
}

/*
 * If the clock is so far behind that no key is activated yet, the oldest key
 * is used, so that the instance can still seal.
 */
const carob_control_key_t *carob_keyset_sealing(const carob_keyset_t *set,
						uint64_t now_ms)
{
	const carob_control_key_t *sealing = set->count ? &set->keys[0] : NULL;

	for (size_t i = 0; i < set->count; i++)
		if (set->keys[i].activate_ms <= now_ms)
			sealing = &set->keys[i];
	return sealing;
}

bool carob_keyset_rotation_due(const carob_keyset_t *set, uint64_t now_ms)
{
	const carob_control_key_t *newest = carob_keyset_newest(set);

	return newest && now_ms >= newest->created_ms + CAROB_KEY_ROTATE_MS;
}

void carob_keyset_generate(carob_control_key_t *out, const carob_keyset_t *set,
			   uint64_t now_ms)
{
	const carob_control_key_t *newest = carob_keyset_newest(set);

	*out = (carob_control_key_t){
		.serial = newest ? newest->serial + 1 : 1,
		.created_ms = now_ms,
		.activate_ms = newest ? now_ms + CAROB_KEY_ACTIVATION_DELAY_MS
				      : now_ms,
	};
	randombytes_buf(out->key, sizeof(out->key));
}

bool carob_keyset_remove_expired(uint32_t *out, carob_keyset_t *set,
				 uint64_t now_ms)
{
	if (set->count < 2 ||
	    now_ms < set->keys[1].activate_ms + CAROB_KEY_RETAIN_MS)
		return false;
	*out = set->keys[0].serial;
	remove_at(set, 0);
	return true;
}

void carob_keyset_wipe(carob_keyset_t *set)
{
	sodium_memzero(set, sizeof(*set));
}

static void derive_wrap_key(uint8_t out[crypto_secretbox_KEYBYTES],
			    const uint8_t *secret)
{
	crypto_kdf_derive_from_key(out, crypto_secretbox_KEYBYTES, WRAP_KEY_ID,
				   wrap_context, secret);
}

static void encrypt_key(char hex[BOX_HEX_CHARS + 1],
			const carob_control_key_t *key, const uint8_t *wrap_key)
{
	uint8_t box[BOX_BYTES];

	randombytes_buf(box, crypto_secretbox_NONCEBYTES);
	crypto_secretbox_easy(box + crypto_secretbox_NONCEBYTES, key->key,
			      sizeof(key->key), box, wrap_key);
	sodium_bin2hex(hex, BOX_HEX_CHARS + 1, box, sizeof(box));
}

int carob_keyset_write(carob_buf_t *out, const carob_keyset_t *set,
		       const uint8_t *secret)
{
	uint8_t wrap_key[crypto_secretbox_KEYBYTES];
	char hex[BOX_HEX_CHARS + 1];
	int error;

	derive_wrap_key(wrap_key, secret);
	error = carob_buf_printf(out, "{\"version\":%d,\"keys\":[",
				 DOCUMENT_VERSION);
	for (size_t i = 0; i < set->count && !error; i++) {
		encrypt_key(hex, &set->keys[i], wrap_key);
		error = carob_buf_printf(
			out,
			"%s{\"serial\":%" PRIu32 ",\"created_ms\":%" PRIu64
			",\"activate_ms\":%" PRIu64 ",\"encrypted\":\"%s\"}",
			i ? "," : "", set->keys[i].serial,
			set->keys[i].created_ms, set->keys[i].activate_ms, hex);
	}
	if (!error)
		error = carob_buf_printf(out, "]}");
	sodium_memzero(wrap_key, sizeof(wrap_key));
	return error;
}

static int decrypt_key(carob_control_key_t *out, const carob_json_node_t *node,
		       const uint8_t *wrap_key)
{
	uint8_t box[BOX_BYTES];
	carob_json_node_t encrypted;
	carob_str_t hex;
	size_t len;
	int error = carob_json_get(&encrypted, node, "encrypted");

	if (!error)
		error = carob_json_str(&hex, &encrypted, BOX_HEX_CHARS,
				       BOX_HEX_CHARS);
	if (error)
		return error;
	if (sodium_hex2bin(box, sizeof(box), hex.ptr, hex.len, NULL, &len,
			   NULL) != 0 ||
	    len != sizeof(box))
		return carob_json_expected(&encrypted, "%d hex digits",
					   BOX_HEX_CHARS);
	if (crypto_secretbox_open_easy(
		    out->key, box + crypto_secretbox_NONCEBYTES,
		    sizeof(box) - crypto_secretbox_NONCEBYTES, box,
		    wrap_key) != 0)
		return carob_error_set(CAROB_EAUTH,
				       "sealing key %" PRIu32
				       " was encrypted with another secret",
				       out->serial);
	return 0;
}

static int read_key(carob_control_key_t *out, const carob_json_node_t *node,
		    const uint8_t *wrap_key)
{
	static const char *const names[] = {"serial", "created_ms",
					    "activate_ms", "encrypted"};
	uint64_t serial = 0;
	int error = carob_json_object(node, names, CAROB_ARRAY_SIZE(names));

	*out = (carob_control_key_t){.serial = 0};
	if (!error)
		error = carob_json_get_u64(&serial, node, "serial", 1,
					   UINT32_MAX);
	if (!error)
		error = carob_json_get_u64(&out->created_ms, node, "created_ms",
					   0, INT64_MAX);
	if (!error)
		error = carob_json_get_u64(&out->activate_ms, node,
					   "activate_ms", out->created_ms,
					   INT64_MAX);
	out->serial = (uint32_t)serial;
	return error ? error : decrypt_key(out, node, wrap_key);
}

static int read_keys(carob_keyset_t *out, const carob_json_doc_t *doc,
		     const uint8_t *wrap_key)
{
	static const char *const names[] = {"version", "keys"};
	carob_json_node_t root = carob_json_doc_root(doc);
	carob_json_node_t list;
	carob_control_key_t key;
	uint64_t version;
	size_t count = 0;
	int error = carob_json_object(&root, names, CAROB_ARRAY_SIZE(names));

	if (!error)
		error = carob_json_get_u64(&version, &root, "version",
					   DOCUMENT_VERSION, DOCUMENT_VERSION);
	if (!error)
		error = carob_json_get(&list, &root, "keys");
	if (!error)
		error = carob_json_array(&count, &list, 1,
					 CAROB_CONTROL_KEYS_MAX);
	for (size_t i = 0; i < count && !error; i++) {
		carob_json_node_t node = carob_json_at(&list, i);

		error = read_key(&key, &node, wrap_key);
		if (!error &&
		    carob_keyset_merge(out, &key) != CAROB_KEYSET_ADDED)
			error = carob_json_expected(
				&node, "a serial that occurs only once");
	}
	sodium_memzero(&key, sizeof(key));
	return error;
}

int carob_keyset_read(carob_keyset_t *out, carob_str_t document,
		      const uint8_t *secret)
{
	uint8_t wrap_key[crypto_secretbox_KEYBYTES];
	carob_json_doc_t *doc;
	int error = carob_json_doc_parse(&doc, "sealing keys", document,
					 CAROB_KEYSET_DOCUMENT_MAX);

	*out = (carob_keyset_t){.count = 0};
	if (error)
		return error;
	derive_wrap_key(wrap_key, secret);
	error = read_keys(out, doc, wrap_key);
	sodium_memzero(wrap_key, sizeof(wrap_key));
	carob_json_doc_free(doc);
	return error;
}
