#include "core/manifest/manifest_build.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <stdlib.h>

/*
 * A service that a delta changes is merged with its previous form and parsed
 * like a service of a published document; all other services are shared with
 * the previous manifest. Both kinds pass the same checks as a published
 * document, and the hash of the resulting manifest is compared with the one in
 * the delta.
 */

#define CHANGES_MAX 65536

static json_t *find_by_id(json_t *list, json_int_t id, size_t *index)
{
	size_t count = json_array_size(list);

	for (size_t i = 0; i < count; i++) {
		json_t *element = json_array_get(list, i);

		if (json_integer_value(json_object_get(element, "id")) != id)
			continue;
		*index = i;
		return element;
	}
	return NULL;
}

static void remove_ids(json_t *list, const json_t *ids)
{
	size_t count = json_array_size(ids);

	for (size_t i = 0; i < count; i++) {
		json_int_t id = json_integer_value(json_array_get(ids, i));
		size_t index;

		if (find_by_id(list, id, &index))
			(void)json_array_remove(list, index);
	}
}

/* Replaces the element with the same id, or appends the element. */
static int put_element(json_t *list, json_t *element)
{
	json_int_t id = json_integer_value(json_object_get(element, "id"));
	size_t index;

	if (find_by_id(list, id, &index))
		return json_array_set(list, index, element);
	return json_array_append(list, element);
}

/* Adds the unchanged upstreams of the previous service to its change. */
static int add_unchanged_upstreams(json_t *change, json_t *previous)
{
	json_t *changed = json_object_get(change, "upstreams");
	size_t count = json_array_size(changed);
	json_t *upstreams;

	if (previous)
		upstreams = json_incref(json_object_get(previous, "upstreams"));
	else
		upstreams = json_array();
	remove_ids(upstreams, json_object_get(change, "removed"));
	for (size_t i = 0; i < count; i++)
		if (put_element(upstreams, json_array_get(changed, i)) != 0)
			break;
	(void)json_object_del(change, "removed");
	return json_object_set_new(change, "upstreams", upstreams);
}

static json_t *service_to_json(const carob_manifest_service_t *service)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;

	if (!service || carob_manifest_format_service(&text, service) != 0)
		return NULL;
	return json_loadb(text.ptr, text.len, 0, NULL);
}

static int read_change(carob_manifest_builder_t *builder,
		       const carob_manifest_t *from,
		       const carob_json_node_t *change)
{
	uint64_t id = 0;
	json_t *previous;
	int result;

	if (!json_is_object(change->value))
		return carob_json_expected(change,
					   "an object with the change of a "
					   "service");
	result = carob_json_get_u64(&id, change, "id", 1, UINT32_MAX);
	if (result != 0)
		return result;
	previous = service_to_json(
		carob_manifest_find_service(from, (uint32_t)id));
	result = add_unchanged_upstreams(change->value, previous);
	json_decref(previous);
	if (result != 0)
		return carob_json_expected(change,
					   "a change that can be merged with "
					   "the previous service");
	return carob_manifest_builder_read(builder, change);
}

static bool contains_id(const json_t *list, uint32_t id)
{
	size_t count = json_array_size(list);

	for (size_t i = 0; i < count; i++) {
		const json_t *element = json_array_get(list, i);

		if (json_is_object(element))
			element = json_object_get(element, "id");
		if (json_integer_value(element) == id)
			return true;
	}
	return false;
}

/* Shares the services that the delta neither changes nor removes. */
static int share_unchanged(carob_manifest_builder_t *builder,
			   const carob_manifest_t *from,
			   const carob_json_node_t *root)
{
	const json_t *removed = json_object_get(root->value, "removed");
	const json_t *changed = json_object_get(root->value, "services");
	const carob_manifest_service_t *services;
	size_t count;
	int result = 0;

	services = carob_manifest_services(from, &count);
	for (size_t i = 0; result == 0 && i < count; i++)
		if (!contains_id(removed, services[i].id) &&
		    !contains_id(changed, services[i].id))
			result = carob_manifest_builder_share(builder, from, i,
							      root);
	return result;
}

static int build_patched(carob_manifest_t **out, const carob_manifest_t *from,
			 const carob_json_node_t *root)
{
	carob_manifest_builder_t builder = {0};
	carob_json_node_t list;
	size_t services;
	size_t count = 0;
	int result = carob_json_get(&list, root, "services");

	(void)carob_manifest_services(from, &services);
	if (result == 0)
		result = carob_json_array(&count, &list, 0, CHANGES_MAX);
	if (result == 0)
		result = carob_manifest_builder_init(&builder, root,
						     services + count);
	if (result == 0)
		result = share_unchanged(&builder, from, root);
	for (size_t i = 0; result == 0 && i < count; i++) {
		carob_json_node_t node = carob_json_at(&list, i);

		result = read_change(&builder, from, &node);
	}
	if (result == 0)
		carob_manifest_builder_finish(out, &builder);
	carob_manifest_builder_dispose(&builder);
	return result;
}

static int check_delta_header(const carob_json_node_t *root,
			      const char *from_hash, carob_str_t deployment,
			      carob_str_t *to_hash)
{
	static const char *const keys[] = {"from",  "to",      "deployment",
					   "zones", "removed", "services"};
	carob_str_t from = CAROB_STR("");
	carob_str_t name = CAROB_STR("");
	int result = carob_json_object(root, keys, CAROB_ARRAY_SIZE(keys));

	if (result == 0)
		result = carob_json_get_str(&from, root, "from", 1,
					    CAROB_HASH_TEXT_BYTES);
	if (result == 0)
		result = carob_json_get_str(to_hash, root, "to", 1,
					    CAROB_HASH_TEXT_BYTES);
	if (result == 0)
		result = carob_json_get_str(&name, root, "deployment", 1,
					    CAROB_MANIFEST_NAME_MAX);
	if (result != 0)
		return result;
	if (!carob_str_eq(from, carob_str_from(from_hash)) ||
	    !carob_str_eq(name, deployment))
		return carob_error_set(CAROB_EMISMATCH,
				       "a delta from manifest %.*s: expected "
				       "one from manifest %s of the same "
				       "deployment",
				       (int)from.len, from.ptr, from_hash);
	return 0;
}

static int check_result_hash(const carob_manifest_t *manifest,
			     const char *source, carob_str_t to_hash)
{
	char hash[CAROB_HASH_TEXT_BYTES];
	int result = carob_manifest_hash(hash, manifest);

	if (result == 0 && !carob_str_eq(to_hash, carob_str_from(hash)))
		result = carob_error_set(CAROB_EMISMATCH,
					 "%s: the patched manifest has hash "
					 "%s: expected %.*s",
					 source, hash, (int)to_hash.len,
					 to_hash.ptr);
	return result;
}

int carob_manifest_patch(carob_manifest_t **out, const carob_manifest_t *from,
			 const char *source, carob_str_t delta)
{
	char from_hash[CAROB_HASH_TEXT_BYTES];
	carob_str_t to_hash = CAROB_STR("");
	carob_manifest_t *manifest = NULL;
	carob_json_doc_t *doc = NULL;
	carob_json_node_t root;
	int result;

	result = carob_manifest_hash(from_hash, from);
	if (result == 0)
		result = carob_json_doc_parse(&doc, source, delta,
					      CAROB_MANIFEST_BYTES_MAX);
	if (result != 0)
		return result;
	root = carob_json_doc_root(doc);
	result = check_delta_header(&root, from_hash,
				    carob_manifest_deployment(from), &to_hash);
	if (result == 0)
		result = build_patched(&manifest, from, &root);
	if (result == 0)
		result = check_result_hash(manifest, source, to_hash);
	carob_json_doc_free(doc);
	if (result != 0) {
		carob_manifest_free(manifest);
		return result;
	}
	*out = manifest;
	return 0;
}
