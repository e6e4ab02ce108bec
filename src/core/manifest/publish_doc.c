#include "core/manifest/publish_doc.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"
#include "util/json_doc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PART_HASH_SEED 0x6361726f62ULL
#define DOC_BYTES_MAX  (16 * 1024)

void carob_head_key(carob_kv_key_t *out, carob_str_t deployment)
{
	(void)snprintf(out->text, sizeof(out->text), "carobtrail/%.*s/head",
		       (int)deployment.len, deployment.ptr);
}

void carob_parts_prefix(carob_kv_key_t *out, carob_str_t deployment)
{
	(void)snprintf(out->text, sizeof(out->text), "carobtrail/%.*s/parts/",
		       (int)deployment.len, deployment.ptr);
}

void carob_part_key(carob_kv_key_t *out, carob_str_t deployment,
		    const carob_part_name_t *name)
{
	(void)snprintf(out->text, sizeof(out->text), "carobtrail/%.*s/parts/%s",
		       (int)deployment.len, deployment.ptr, name->text);
}

void carob_part_name(carob_part_name_t *out, uint64_t generation,
		     carob_str_t content)
{
	char hash[CAROB_HASH_TEXT_BYTES];

	carob_content_hash(hash, content);
	(void)snprintf(out->text, sizeof(out->text), "%" PRIu64 "/%s",
		       generation, hash);
}

uint64_t carob_part_generation(carob_str_t name)
{
	uint64_t generation = 0;
	size_t i;

	for (i = 0; i < name.len && name.ptr[i] != '/'; i++) {
		if (name.ptr[i] < '0' || name.ptr[i] > '9' || i >= 19)
			return 0;
		generation = generation * 10 + (uint64_t)(name.ptr[i] - '0');
	}
	return i < name.len ? generation : 0;
}

bool carob_part_matches(const carob_part_name_t *name, carob_str_t content)
{
	const char *slash = strchr(name->text, '/');
	char hash[CAROB_HASH_TEXT_BYTES];

	carob_content_hash(hash, content);
	return slash && strcmp(slash + 1, hash) == 0;
}

bool carob_part_name_eq(const carob_part_name_t *a, const carob_part_name_t *b)
{
	return strcmp(a->text, b->text) == 0;
}

int carob_head_format(carob_buf_t *out, const carob_head_t *head)
{
	char publish_id[CAROB_PUBLISH_ID_TEXT_BYTES];

	carob_publish_id_format(publish_id, &head->publish_id);
	return carob_buf_printf(out,
				"{\"generation\":%" PRIu64
				",\"publish\":\"%s\",\"index\":\"%s\","
				"\"delta\":\"%s\"}",
				head->generation, publish_id, head->index.text,
				head->delta.text);
}

static int read_publish_id(carob_publish_id_t *out,
			   const carob_json_node_t *object)
{
	carob_json_node_t node;
	carob_str_t text = CAROB_STR("");
	int result = carob_json_get(&node, object, "publish");

	if (result == 0)
		result = carob_json_str(&text, &node, 1,
					CAROB_PUBLISH_ID_TEXT_BYTES);
	if (result == 0 && carob_publish_id_parse(out, text) != 0)
		result = carob_json_expected(&node, "a publish id");
	return result;
}

static int read_part_name(carob_part_name_t *out, const carob_json_node_t *node,
			  bool may_be_empty)
{
	carob_str_t text = CAROB_STR("");
	int result = carob_json_str(&text, node, may_be_empty ? 0 : 1,
				    sizeof(out->text) - 1);

	if (result != 0)
		return result;
	if (text.len > 0 && carob_part_generation(text) == 0)
		return carob_json_expected(node, "the name of a part");
	memset(out, 0, sizeof(*out));
	memcpy(out->text, text.ptr, text.len);
	return 0;
}

static int get_part_name(carob_part_name_t *out,
			 const carob_json_node_t *object, const char *key,
			 bool may_be_empty)
{
	carob_json_node_t node;
	int result = carob_json_get(&node, object, key);

	return result != 0 ? result : read_part_name(out, &node, may_be_empty);
}

static int read_head(carob_head_t *out, const carob_json_node_t *root)
{
	static const char *const keys[] = {"generation", "publish", "index",
					   "delta"};
	int result = carob_json_object(root, keys, CAROB_ARRAY_SIZE(keys));

	if (result == 0)
		result = carob_json_get_u64(&out->generation, root,
					    "generation", 1, INT64_MAX);
	if (result == 0)
		result = read_publish_id(&out->publish_id, root);
	if (result == 0)
		result = get_part_name(&out->index, root, "index", false);
	if (result == 0)
		result = get_part_name(&out->delta, root, "delta", true);
	return result;
}

int carob_head_parse(carob_head_t *out, const char *source, carob_str_t text)
{
	carob_json_doc_t *doc = NULL;
	carob_head_t head = {0};
	carob_json_node_t root;
	int result = carob_json_doc_parse(&doc, source, text, DOC_BYTES_MAX);

	if (result != 0)
		return result;
	root = carob_json_doc_root(doc);
	result = read_head(&head, &root);
	carob_json_doc_free(doc);
	if (result == 0)
		*out = head;
	return result;
}

int carob_index_format(carob_buf_t *out, const carob_index_t *index)
{
	char publish_id[CAROB_PUBLISH_ID_TEXT_BYTES];
	int result;

	carob_publish_id_format(publish_id, &index->publish_id);
	result = carob_buf_printf(
		out,
		"{\"generation\":%" PRIu64 ",\"publish\":\"%s\",\"previous\":"
		"\"%s\",\"history\":\"%s\",\"hash\":\"%s\",\"parts\":[",
		index->generation, publish_id, index->previous.text,
		index->history.text, index->hash);
	for (size_t i = 0; result == 0 && i < CAROB_PART_COUNT; i++)
		result = carob_buf_printf(out, "%s\"%s\"", i ? "," : "",
					  index->parts[i].text);
	return result == 0 ? carob_buf_append(out, "]}", 2) : result;
}

static int read_parts(carob_index_t *out, const carob_json_node_t *root)
{
	carob_json_node_t list;
	size_t count = 0;
	int result = carob_json_get(&list, root, "parts");

	if (result == 0)
		result = carob_json_array(&count, &list, CAROB_PART_COUNT,
					  CAROB_PART_COUNT);
	for (size_t i = 0; result == 0 && i < count; i++) {
		carob_json_node_t node = carob_json_at(&list, i);

		result = read_part_name(&out->parts[i], &node, false);
	}
	return result;
}

static int read_index(carob_index_t *out, const carob_json_node_t *root)
{
	static const char *const keys[] = {"generation", "publish", "previous",
					   "history",	 "hash",    "parts"};
	carob_str_t hash = CAROB_STR("");
	int result = carob_json_object(root, keys, CAROB_ARRAY_SIZE(keys));

	if (result == 0)
		result = carob_json_get_u64(&out->generation, root,
					    "generation", 1, INT64_MAX);
	if (result == 0)
		result = read_publish_id(&out->publish_id, root);
	if (result == 0)
		result = get_part_name(&out->previous, root, "previous", true);
	if (result == 0)
		result = get_part_name(&out->history, root, "history", true);
	if (result == 0)
		result = carob_json_get_str(&hash, root, "hash",
					    CAROB_HASH_TEXT_BYTES - 1,
					    CAROB_HASH_TEXT_BYTES - 1);
	if (result == 0)
		memcpy(out->hash, hash.ptr, hash.len);
	return result == 0 ? read_parts(out, root) : result;
}

int carob_index_parse(carob_index_t *out, const char *source, carob_str_t text)
{
	carob_json_doc_t *doc = NULL;
	carob_index_t index = {0};
	carob_json_node_t root;
	int result = carob_json_doc_parse(&doc, source, text, DOC_BYTES_MAX);

	if (result != 0)
		return result;
	root = carob_json_doc_root(doc);
	result = read_index(&index, &root);
	carob_json_doc_free(doc);
	if (result == 0)
		*out = index;
	return result;
}

static size_t part_of_service(uint32_t service_id)
{
	return carob_hash_u64(PART_HASH_SEED ^ service_id) % CAROB_PART_COUNT;
}

int carob_part_format(carob_buf_t *out, const carob_manifest_t *manifest,
		      size_t part)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(manifest, &count);
	int result = 0;

	if (part == 0)
		result = carob_manifest_format_head(out, manifest);
	for (size_t i = 0; result == 0 && i < count; i++) {
		if (part_of_service(services[i].id) != part)
			continue;
		result = carob_manifest_format_service(out, &services[i]);
		if (result == 0)
			result = carob_buf_append(out, ",", 1);
	}
	return result;
}

/* Concatenates the parts to the JSON text of a manifest. */
static int join_texts(carob_buf_t *out,
		      const carob_buf_t parts[CAROB_PART_COUNT])
{
	int result = 0;

	for (size_t i = 0; result == 0 && i < CAROB_PART_COUNT; i++)
		result = carob_buf_append(out, parts[i].ptr, parts[i].len);
	if (result == 0 && out->len > 0 && out->ptr[out->len - 1] == ',')
		out->len--;
	return result == 0 ? carob_buf_append(out, "]}", 2) : result;
}

int carob_parts_join(carob_manifest_t **out, const carob_index_t *index,
		     const carob_buf_t parts[CAROB_PART_COUNT])
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	char hash[CAROB_HASH_TEXT_BYTES];
	carob_manifest_t *manifest = NULL;
	char source[64];
	int result = join_texts(&text, parts);

	if (result != 0)
		return result;
	(void)snprintf(source, sizeof(source), "generation %" PRIu64,
		       index->generation);
	result = carob_manifest_parse(&manifest, source, carob_buf_view(&text));
	if (result == 0)
		result = carob_manifest_hash(hash, manifest);
	if (result == 0 && strcmp(hash, index->hash) != 0)
		result = carob_error_set(CAROB_EMISMATCH,
					 "%s: manifest joined from its parts "
					 "has hash %s: expected %s",
					 source, hash, index->hash);
	if (result != 0) {
		carob_manifest_free(manifest);
		return result;
	}
	*out = manifest;
	return 0;
}
