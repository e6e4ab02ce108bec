/**
 * @file manifest_build.h
 * Builds manifests. Several manifests may share a service, so that applying a
 * small change neither copies nor parses the unchanged services.
 */
#ifndef CAROB_CORE_MANIFEST_BUILD_H
#define CAROB_CORE_MANIFEST_BUILD_H

#include "core/manifest/manifest_check.h"
#include "core/manifest/manifest_json.h"

/** A service with its upstreams and names, shared by reference. */
typedef struct carob_service_block carob_service_block_t;

/** A manifest being built. */
typedef struct carob_manifest_builder {
	carob_manifest_t *manifest;
	carob_manifest_check_t *check;
	size_t cap; /* largest number of services */
} carob_manifest_builder_t;

/**
 * Begins a manifest with the members "deployment" and "zones" of an object.
 *
 * @param builder the builder to initialise; must be disposed of even if the
 *        call fails
 * @param object the document
 * @param services largest number of services that will be added
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_builder_init(carob_manifest_builder_t *builder,
				const carob_json_node_t *object,
				size_t services);

/** Parses, checks and adds a service. @return 0 or a negative code */
int carob_manifest_builder_read(carob_manifest_builder_t *builder,
				const carob_json_node_t *object);

/**
 * Adds a service of another manifest. Both manifests then share the service.
 *
 * @param builder the builder
 * @param from the other manifest
 * @param index index of the service in `from`
 * @param where JSON value that error texts refer to
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_builder_share(carob_manifest_builder_t *builder,
				 const carob_manifest_t *from, size_t index,
				 const carob_json_node_t *where);

/**
 * Completes the manifest and takes it out of the builder.
 *
 * @param out receives the manifest; release it with `carob_manifest_free`
 * @param builder the builder; dispose of it afterwards
 */
void carob_manifest_builder_finish(carob_manifest_t **out,
				   carob_manifest_builder_t *builder);

/** Releases the builder and a manifest that was not completed. */
void carob_manifest_builder_dispose(carob_manifest_builder_t *builder);

/** @return the cached hash of the manifest, or NULL if there is none yet */
const char *carob_manifest_cached_hash(const carob_manifest_t *manifest);

/** Caches the hash of a manifest. */
void carob_manifest_set_cached_hash(carob_manifest_t *manifest,
				    const char hash[CAROB_HASH_TEXT_BYTES]);

#endif
