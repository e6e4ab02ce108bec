#include "platform.h"

#include "carobtrail/kv.h"

#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_DEFAULT_S 300
#define WAIT_MAX_S     600
#define S_PER_MIN      60

static json_t *encode_value(const carob_buf_t *value)
{
	size_t size = sodium_base64_encoded_len(value->len,
						sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);
	json_t *string;

	if (!text)
		return json_null();
	(void)sodium_bin2base64(text, size, (const unsigned char *)value->ptr,
				value->len, sodium_base64_VARIANT_ORIGINAL);
	string = json_string(text);
	free(text);
	return string;
}

/* Returns the representation of an item in responses, a new object. */
static json_t *item_json(const store_item_t *item)
{
	json_t *object = json_pack(
		"{s:I, s:s, s:I, s:o, s:I, s:I}", "LockIndex",
		(json_int_t)item->lock_index, "Key", item->key, "Flags",
		(json_int_t)item->flags, "Value", encode_value(&item->value),
		"CreateIndex", (json_int_t)item->create_index, "ModifyIndex",
		(json_int_t)item->modify_index);

	if (object && item->session[0] != '\0')
		(void)json_object_set_new(object, "Session",
					  json_string(item->session));
	return object;
}

static json_t *list(const store_t *store, const char *prefix, bool keys_only)
{
	json_t *array = json_array();
	const store_item_t *item;
	const store_item_t *next;
	size_t len = strlen(prefix);

	HASH_ITER (hh, store->items, item, next) {
		if (strncmp(item->key, prefix, len) != 0)
			continue;
		(void)json_array_append_new(array,
					    keys_only ? json_string(item->key)
						      : item_json(item));
	}
	return array;
}

/* Parses the longest wait of a watch, such as "30s", "500ms" or "5m", into
 * nanoseconds. */
static uint64_t parse_wait(const char *text)
{
	char *end;
	uint64_t unit_ns;
	uint64_t n;

	if (!text)
		return WAIT_DEFAULT_S * CAROB_NS_PER_S;
	n = strtoull(text, &end, 10);
	unit_ns = CAROB_NS_PER_S;
	if (strcmp(end, "ms") == 0)
		unit_ns = CAROB_NS_PER_MS;
	else if (strcmp(end, "m") == 0)
		unit_ns = S_PER_MIN * CAROB_NS_PER_S;
	if (n > WAIT_MAX_S * CAROB_NS_PER_S / unit_ns)
		return WAIT_MAX_S * CAROB_NS_PER_S;
	return n * unit_ns;
}

/* Lets a call wait if it is a watch and its index has not changed. Returns
 * whether it waits. */
static bool wait_for_change(platform_call_t *call,
			    const struct evkeyvalq *query, uint64_t index)
{
	const char *text = evhttp_find_header(query, "index");
	uint64_t now = carob_kernel_now_ns(call->platform->program.kernel);
	uint64_t known_index = text ? strtoull(text, NULL, 10) : 0;

	if (known_index == 0 || known_index != index)
		return false;
	if (call->expires_ns == 0)
		call->expires_ns =
			now + parse_wait(evhttp_find_header(query, "wait"));
	if (now >= call->expires_ns)
		return false;
	platform_wait_for_change(call, known_index, call->expires_ns);
	return true;
}

static void add_index(platform_call_t *call, uint64_t index)
{
	char text[24];

	(void)snprintf(text, sizeof(text), "%" PRIu64, index);
	(void)evhttp_add_header(
		evhttp_request_get_output_headers(call->request),
		"X-Consul-Index", text);
}

static void get(platform_call_t *call, const char *key,
		const struct evkeyvalq *query)
{
	const store_t *store = &call->platform->store;
	bool keys_only = evhttp_find_header(query, "keys") != NULL;
	bool recurse = evhttp_find_header(query, "recurse") != NULL;
	const store_item_t *item = store_find(store, key);
	uint64_t index = item ? item->modify_index : 1;
	json_t *found;

	if (keys_only || recurse) {
		index = store_prefix_index(store, key);
		index = index > 0 ? index : 1;
	}
	if (wait_for_change(call, query, index))
		return;
	add_index(call, index);
	if (keys_only || recurse)
		found = list(store, key, keys_only);
	else
		found = item ? json_pack("[o]", item_json(item)) : json_array();
	if (json_array_size(found) == 0) {
		json_decref(found);
		platform_reply(call, HTTP_NOTFOUND, CAROB_STR(""));
		return;
	}
	if (item && evhttp_find_header(query, "raw")) {
		json_decref(found);
		platform_reply(call, HTTP_OK, carob_buf_view(&item->value));
		return;
	}
	platform_reply_json(call, HTTP_OK, found);
}

static store_condition_t read_condition(const struct evkeyvalq *query)
{
	const char *cas = evhttp_find_header(query, "cas");
	store_condition_t condition = {
		.has_cas = cas != NULL,
		.cas = cas ? strtoull(cas, NULL, 10) : 0,
		.acquire = evhttp_find_header(query, "acquire"),
		.release = evhttp_find_header(query, "release"),
	};

	return condition;
}

static void put(platform_call_t *call, const char *key,
		const struct evkeyvalq *query)
{
	CAROB_CLEANUP(carob_buf_dispose)
	carob_buf_t body = platform_request_body(call);
	store_condition_t condition = read_condition(query);
	const char *flags = evhttp_find_header(query, "flags");
	bool done;

	if (body.len > CAROB_KV_VALUE_BYTES_MAX) {
		platform_reply(call, HTTP_ENTITYTOOLARGE,
			       CAROB_STR("value larger than 1 MB"));
		return;
	}
	done = store_put(&call->platform->store, key, carob_buf_view(&body),
			 flags ? strtoull(flags, NULL, 10) : 0, &condition);
	platform_reply_write(call, HTTP_OK, json_boolean(done));
}

static void remove_key(platform_call_t *call, const char *key,
		       const struct evkeyvalq *query)
{
	store_condition_t condition = read_condition(query);
	bool done = true;

	if (evhttp_find_header(query, "recurse"))
		store_delete_prefix(&call->platform->store, key);
	else
		done = store_delete(&call->platform->store, key, &condition);
	platform_reply_write(call, HTTP_OK, json_boolean(done));
}

void platform_kv(platform_call_t *call, const char *key,
		 const struct evkeyvalq *query)
{
	enum evhttp_cmd_type method = evhttp_request_get_command(call->request);

	if (method == EVHTTP_REQ_GET)
		get(call, key, query);
	else if (method == EVHTTP_REQ_PUT)
		put(call, key, query);
	else
		remove_key(call, key, query);
}
