/**
 * @file manifest_build.h
 * Building manifests from services that several manifests may share, so that
 * a small change does not copy or read again what stays the same.
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
	size_t cap; /* of services */
} carob_manifest_builder_t;

/**
 * Begins a manifest with what an object names as "deployment" and "zones".
 *
 * @param builder receives what is being built; dispose of it in any case
 * @param object the document
 * @param services how many services there will be at most
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_builder_init(carob_manifest_builder_t *builder,
				const carob_json_node_t *object,
				size_t services);

/** Reads, checks and adds a service. @return 0 or a negative code */
int carob_manifest_builder_read(carob_manifest_builder_t *builder,
				const carob_json_node_t *object);

/**
 * Adds a service of another manifest, which then share it.
 *
 * @param builder what is being built
 * @param from the other manifest
 * @param index of the service there
 * @param where value that errors are reported for
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_builder_share(carob_manifest_builder_t *builder,
				 const carob_manifest_t *from, size_t index,
				 const carob_json_node_t *where);

/** Ends the building. @param out receives the manifest; release it */
void carob_manifest_builder_finish(carob_manifest_t **out,
				   carob_manifest_builder_t *builder);

/** Releases what was not finished. */
void carob_manifest_builder_dispose(carob_manifest_builder_t *builder);

/** @return the manifest's hash if it is known, else NULL */
const char *carob_manifest_known_hash(const carob_manifest_t *manifest);

/** Remembers a manifest's hash. */
void carob_manifest_set_hash(carob_manifest_t *manifest,
			     const char hash[CAROB_HASH_TEXT_BYTES]);

#endif
