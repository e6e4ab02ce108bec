#include "core/manifest/manifest_priv.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

static int compare_services(const void *a, const void *b)
{
	const carob_manifest_service_t *left = a;
	const carob_manifest_service_t *right = b;

	if (left->id == right->id)
		return 0;
	return left->id < right->id ? -1 : 1;
}

static int compare_upstreams(const void *a, const void *b)
{
	const carob_manifest_upstream_t *left = a;
	const carob_manifest_upstream_t *right = b;

	if (left->id.id == right->id.id)
		return 0;
	return left->id.id < right->id.id ? -1 : 1;
}

static int compare_blocks(const void *a, const void *b)
{
	const carob_service_block_t *left =
		*(const carob_service_block_t *const *)a;
	const carob_service_block_t *right =
		*(const carob_service_block_t *const *)b;

	return compare_services(&left->service, &right->service);
}

void carob_service_block_free(carob_service_block_t *block)
{
	if (!block || --block->references > 0)
		return;
	free(block->names);
	free(block);
}

/*
 * Checks that a shared service is consistent with the zones and the other
 * services of the manifest being built.
 */
static int check_shared(carob_manifest_builder_t *builder,
			const carob_manifest_service_t *service,
			const carob_json_node_t *where)
{
	int result =
		carob_manifest_check_service(builder->check, where, service);

	for (size_t i = 0; result == 0 && i < service->upstream_count; i++) {
		const carob_manifest_upstream_t *upstream =
			&service->upstreams[i];

		if (!carob_manifest_has_zone(builder->manifest,
					     &upstream->zone))
			return carob_json_expected(where,
						   "the zones of all unchanged "
						   "upstreams");
		result = carob_manifest_check_upstream(builder->check, where,
						       upstream);
	}
	return result;
}

int carob_manifest_builder_share(carob_manifest_builder_t *builder,
				 const carob_manifest_t *from, size_t index,
				 const carob_json_node_t *where)
{
	carob_service_block_t *block = from->blocks[index];
	carob_manifest_t *manifest = builder->manifest;
	int result;

	if (manifest->service_count == builder->cap)
		return carob_error_set(CAROB_EINVALID,
				       "cannot add a shared service: the "
				       "manifest being built is full");
	result = check_shared(builder, &block->service, where);
	if (result != 0)
		return result;
	block->references++;
	manifest->blocks[manifest->service_count++] = block;
	return 0;
}

void carob_manifest_builder_finish(carob_manifest_t **out,
				   carob_manifest_builder_t *builder)
{
	carob_manifest_t *manifest = builder->manifest;

	if (manifest->service_count > 0)
		qsort(manifest->blocks, manifest->service_count,
		      sizeof(manifest->blocks[0]), compare_blocks);
	for (size_t i = 0; i < manifest->service_count; i++)
		manifest->services[i] = manifest->blocks[i]->service;
	builder->manifest = NULL;
	*out = manifest;
}

void carob_manifest_builder_dispose(carob_manifest_builder_t *builder)
{
	carob_manifest_free(builder->manifest);
	carob_manifest_check_free(builder->check);
}

const char *carob_manifest_cached_hash(const carob_manifest_t *manifest)
{
	return manifest->hash[0] != '\0' ? manifest->hash : NULL;
}

void carob_manifest_set_cached_hash(carob_manifest_t *manifest,
				    const char hash[CAROB_HASH_TEXT_BYTES])
{
	memcpy(manifest->hash, hash, sizeof(manifest->hash));
}

carob_manifest_t *carob_manifest_ref(carob_manifest_t *manifest)
{
	manifest->references++;
	return manifest;
}

void carob_manifest_free(carob_manifest_t *manifest)
{
	if (!manifest || --manifest->references > 0)
		return;
	for (size_t i = 0; i < manifest->service_count; i++)
		carob_service_block_free(manifest->blocks[i]);
	free(manifest->zones);
	free(manifest->services);
	free(manifest->blocks);
	free(manifest);
}

carob_str_t carob_manifest_deployment(const carob_manifest_t *manifest)
{
	return carob_str_from(manifest->deployment);
}

const carob_zone_t *carob_manifest_zones(const carob_manifest_t *manifest,
					 size_t *count)
{
	*count = manifest->zone_count;
	return manifest->zones;
}

bool carob_manifest_has_zone(const carob_manifest_t *manifest,
			     const carob_zone_t *zone)
{
	for (size_t i = 0; i < manifest->zone_count; i++)
		if (strcmp(manifest->zones[i].name, zone->name) == 0)
			return true;
	return false;
}

const carob_manifest_service_t *
carob_manifest_services(const carob_manifest_t *manifest, size_t *count)
{
	*count = manifest->service_count;
	return manifest->services;
}

const carob_manifest_service_t *
carob_manifest_find_service(const carob_manifest_t *manifest, uint32_t id)
{
	carob_manifest_service_t key = {.id = id};

	return bsearch(&key, manifest->services, manifest->service_count,
		       sizeof(key), compare_services);
}

const carob_manifest_upstream_t *
carob_manifest_find_upstream(const carob_manifest_service_t *service,
			     carob_upstream_id_t id)
{
	carob_manifest_upstream_t key = {.id = id};
	const carob_manifest_upstream_t *found =
		bsearch(&key, service->upstreams, service->upstream_count,
			sizeof(key), compare_upstreams);

	return found && carob_upstream_id_eq(found->id, id) ? found : NULL;
}
