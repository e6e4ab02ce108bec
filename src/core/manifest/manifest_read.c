#include "carobtrail/errors.h"
#include "core/manifest/manifest_priv.h"
#include "util/json_doc.h"

#include <stdlib.h>
#include <string.h>

#define ZONES_MAX	       64
#define SERVICES_MAX	       65536
#define UPSTREAMS_MAX	       65536 /* per service */
#define SLOTS_MAX	       65535
#define CONNECTIONS_MAX	       1000000
#define MAX_RUNTIME_MS_MAX     (24 * 60 * 60 * 1000)
#define MAX_RUNTIME_MS_DEFAULT 30000

static const char *const root_keys[] = {"deployment", "zones", "services"};
static const char *const service_keys[] = {
	"id",	       "name",	       "addr",		 "slots",
	"connections", "reports_load", "max_runtime_ms", "upstreams"};
static const char *const upstream_keys[] = {"id",   "incarnation", "name",
					    "zone", "addr",	   "state"};
static const char *const state_names[] = {"active", "draining"};

static int read_id(uint32_t *out, const carob_json_node_t *object)
{
	uint64_t id = 0;
	int result = carob_json_get_u64(&id, object, "id", 1, UINT32_MAX);

	*out = (uint32_t)id;
	return result;
}

/* Reads a number from 1 to `max`; it is required if `fallback` is 0. */
static int read_u32(uint32_t *out, const carob_json_node_t *object,
		    const char *key, uint32_t max, uint32_t fallback)
{
	uint64_t value = fallback;
	int result;

	if (fallback == 0)
		result = carob_json_get_u64(&value, object, key, 1, max);
	else
		result = carob_json_get_u64_or(&value, object, key, 1, max,
					       fallback);
	*out = (uint32_t)value;
	return result;
}

static int read_name(carob_str_t *out, const carob_json_node_t *object)
{
	carob_json_node_t node;
	int result = carob_json_get(&node, object, "name");

	if (result != 0)
		return result;
	return carob_json_name(out, &node, CAROB_MANIFEST_NAME_MAX);
}

static int read_zones(carob_manifest_builder_t *builder,
		      const carob_json_node_t *root)
{
	carob_manifest_t *manifest = builder->manifest;
	carob_json_node_t list;
	size_t count = 0;
	int result = carob_json_get(&list, root, "zones");

	if (result == 0)
		result = carob_json_array(&count, &list, 1, ZONES_MAX);
	if (result != 0)
		return result;
	manifest->zones = calloc(count, sizeof(manifest->zones[0]));
	if (!manifest->zones)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate %zu zones", count);
	for (size_t i = 0; i < count; i++) {
		carob_json_node_t node = carob_json_at(&list, i);

		result = carob_json_zone(&manifest->zones[i], &node);
		if (result != 0)
			return result;
		if (carob_manifest_has_zone(manifest, &manifest->zones[i]))
			return carob_json_expected(&node, "a zone only once");
		manifest->zone_count++;
	}
	return 0;
}

static int read_zone(carob_zone_t *out, const carob_manifest_builder_t *builder,
		     const carob_json_node_t *object)
{
	carob_json_node_t node;
	int result = carob_json_get(&node, object, "zone");

	if (result == 0)
		result = carob_json_zone(out, &node);
	if (result != 0)
		return result;
	if (!carob_manifest_has_zone(builder->manifest, out))
		return carob_json_expected(&node,
					   "a zone that \"zones\" lists");
	return 0;
}

static int read_state(carob_upstream_state_t *out,
		      const carob_json_node_t *object)
{
	carob_json_node_t node;
	size_t choice = CAROB_UPSTREAM_ACTIVE;
	int result = 0;

	if (carob_json_find(&node, object, "state"))
		result = carob_json_choice(&choice, &node, state_names,
					   CAROB_ARRAY_SIZE(state_names));
	*out = (carob_upstream_state_t)choice;
	return result;
}

static int read_upstream(carob_manifest_upstream_t *out,
			 carob_manifest_builder_t *builder,
			 const carob_json_node_t *object)
{
	uint64_t incarnation = 1;
	int result = carob_json_object(object, upstream_keys,
				       CAROB_ARRAY_SIZE(upstream_keys));

	if (result == 0)
		result = read_id(&out->id.id, object);
	if (result == 0)
		result = carob_json_get_u64_or(&incarnation, object,
					       "incarnation", 1, UINT16_MAX, 1);
	out->id.incarnation = (uint16_t)incarnation;
	if (result == 0)
		result = read_name(&out->name, object);
	if (result == 0)
		result = read_zone(&out->zone, builder, object);
	if (result == 0)
		result = carob_json_get_addr(&out->addr, object, "addr");
	if (result == 0)
		result = read_state(&out->state, object);
	if (result == 0)
		result = carob_manifest_check_upstream(builder->check, object,
						       out);
	return result;
}

static int compare_upstreams(const void *a, const void *b)
{
	const carob_manifest_upstream_t *left = a;
	const carob_manifest_upstream_t *right = b;

	if (left->id.id == right->id.id)
		return 0;
	return left->id.id < right->id.id ? -1 : 1;
}

/* Reads and checks all members of a service except its upstreams. */
static int read_attributes(carob_manifest_service_t *out,
			   carob_manifest_builder_t *builder,
			   const carob_json_node_t *object)
{
	int result = carob_json_object(object, service_keys,
				       CAROB_ARRAY_SIZE(service_keys));

	if (result == 0)
		result = read_id(&out->id, object);
	if (result == 0)
		result = read_name(&out->name, object);
	if (result == 0)
		result = carob_json_get_addr(&out->addr, object, "addr");
	if (result == 0)
		result = read_u32(&out->slots, object, "slots", SLOTS_MAX, 0);
	if (result == 0)
		result = read_u32(&out->connections, object, "connections",
				  CONNECTIONS_MAX, 0);
	if (result == 0)
		result = carob_json_get_bool_or(&out->reports_load, object,
						"reports_load", false);
	if (result == 0)
		result = read_u32(&out->max_runtime_ms, object,
				  "max_runtime_ms", MAX_RUNTIME_MS_MAX,
				  MAX_RUNTIME_MS_DEFAULT);
	if (result == 0)
		result = carob_manifest_check_service(builder->check, object,
						      out);
	return result;
}

static int read_upstreams(carob_service_block_t *block,
			  carob_manifest_builder_t *builder,
			  const carob_json_node_t *list, size_t count)
{
	int result = 0;

	for (size_t i = 0; result == 0 && i < count; i++) {
		carob_json_node_t node = carob_json_at(list, i);

		result = read_upstream(&block->upstreams[i], builder, &node);
	}
	if (result != 0)
		return result;
	qsort(block->upstreams, count, sizeof(block->upstreams[0]),
	      compare_upstreams);
	block->service.upstreams = block->upstreams;
	block->service.upstream_count = count;
	return 0;
}

/* Copies a name to `dest`. Returns the end of the copy. */
static char *copy_name(carob_str_t *name, char *dest)
{
	if (name->len > 0)
		memcpy(dest, name->ptr, name->len);
	name->ptr = dest;
	return dest + name->len;
}

/* Copies all names, since the document is released after parsing. */
static int copy_names(carob_service_block_t *block)
{
	carob_manifest_service_t *service = &block->service;
	size_t total = service->name.len;
	char *dest;

	for (size_t i = 0; i < service->upstream_count; i++)
		total += block->upstreams[i].name.len;
	dest = malloc(total + 1);
	if (!dest)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate %zu bytes of names",
				       total);
	block->names = dest;
	dest = copy_name(&service->name, dest);
	for (size_t i = 0; i < service->upstream_count; i++)
		dest = copy_name(&block->upstreams[i].name, dest);
	return 0;
}

static int read_block(carob_service_block_t **out,
		      carob_manifest_builder_t *builder,
		      const carob_json_node_t *object)
{
	carob_manifest_service_t service = {0};
	carob_service_block_t *block;
	carob_json_node_t list;
	size_t count = 0;
	int result = read_attributes(&service, builder, object);

	if (result == 0)
		result = carob_json_get(&list, object, "upstreams");
	if (result == 0)
		result = carob_json_array(&count, &list, 1, UPSTREAMS_MAX);
	if (result != 0)
		return result;
	block = calloc(1, sizeof(*block) + count * sizeof(block->upstreams[0]));
	if (!block)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate %zu upstreams", count);
	block->references = 1;
	block->service = service;
	result = read_upstreams(block, builder, &list, count);
	if (result == 0)
		result = copy_names(block);
	if (result != 0) {
		carob_service_block_free(block);
		return result;
	}
	*out = block;
	return 0;
}

int carob_manifest_builder_read(carob_manifest_builder_t *builder,
				const carob_json_node_t *object)
{
	carob_manifest_t *manifest = builder->manifest;
	carob_service_block_t *block = NULL;
	int result;

	if (manifest->service_count == builder->cap)
		return carob_json_expected(object, "no additional service");
	result = read_block(&block, builder, object);
	if (result == 0)
		manifest->blocks[manifest->service_count++] = block;
	return result;
}

static int read_deployment(carob_manifest_t *manifest,
			   const carob_json_node_t *object)
{
	carob_json_node_t node;
	carob_str_t name = CAROB_STR("");
	int result = carob_json_get(&node, object, "deployment");

	if (result == 0)
		result = carob_json_name(&name, &node, CAROB_MANIFEST_NAME_MAX);
	if (result == 0)
		memcpy(manifest->deployment, name.ptr, name.len);
	return result;
}

int carob_manifest_builder_init(carob_manifest_builder_t *builder,
				const carob_json_node_t *object,
				size_t services)
{
	carob_manifest_t *manifest = calloc(1, sizeof(*manifest));
	int result;

	*builder = (carob_manifest_builder_t){manifest, NULL, services};
	if (!manifest)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a manifest");
	manifest->references = 1;
	manifest->services =
		calloc(services + 1, sizeof(manifest->services[0]));
	manifest->blocks = calloc(services + 1, sizeof(manifest->blocks[0]));
	if (!manifest->services || !manifest->blocks)
		return carob_error_set(
			CAROB_ENOMEM, "cannot allocate %zu services", services);
	result = carob_manifest_check_new(&builder->check);
	if (result == 0)
		result = read_deployment(manifest, object);
	return result == 0 ? read_zones(builder, object) : result;
}

static int read_manifest(carob_manifest_builder_t *builder,
			 const carob_json_node_t *root)
{
	carob_json_node_t list = {0};
	size_t count;
	int result =
		carob_json_object(root, root_keys, CAROB_ARRAY_SIZE(root_keys));
	bool listed = carob_json_find(&list, root, "services");

	if (result == 0)
		result = carob_manifest_builder_init(
			builder, root,
			listed ? json_array_size(list.value) : 0);
	if (result == 0)
		result = carob_json_get(&list, root, "services");
	if (result == 0)
		result = carob_json_array(&count, &list, 1, SERVICES_MAX);
	for (size_t i = 0; result == 0 && i < count; i++) {
		carob_json_node_t node = carob_json_at(&list, i);

		result = carob_manifest_builder_read(builder, &node);
	}
	return result;
}

int carob_manifest_parse(carob_manifest_t **out, const char *source,
			 carob_str_t json)
{
	carob_manifest_builder_t builder = {0};
	carob_json_doc_t *doc = NULL;
	carob_json_node_t root;
	int result;

	result = carob_json_doc_parse(&doc, source, json,
				      CAROB_MANIFEST_BYTES_MAX);
	if (result != 0)
		return result;
	root = carob_json_doc_root(doc);
	result = read_manifest(&builder, &root);
	if (result == 0)
		carob_manifest_builder_finish(out, &builder);
	carob_manifest_builder_dispose(&builder);
	carob_json_doc_free(doc);
	return result;
}
