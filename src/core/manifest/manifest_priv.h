/**
 * @file manifest_priv.h
 * Storage of manifests. Services are reference-counted blocks that several
 * manifests may share.
 */
#ifndef CAROB_CORE_MANIFEST_PRIV_H
#define CAROB_CORE_MANIFEST_PRIV_H

#include "core/manifest/manifest_build.h"

/** A service with its upstreams and the bytes of all their names. */
struct carob_service_block {
	unsigned int references;
	char *names;
	carob_manifest_service_t service;
	carob_manifest_upstream_t upstreams[];
};

struct carob_manifest {
	unsigned int references;
	char deployment[CAROB_MANIFEST_NAME_MAX + 1];
	char hash[CAROB_HASH_TEXT_BYTES]; /* empty: not computed yet */
	size_t zone_count;
	carob_zone_t *zones;
	size_t service_count;
	carob_manifest_service_t *services; /* copies of those in `blocks` */
	carob_service_block_t **blocks;
};

/** Drops a reference; NULL is allowed. */
void carob_service_block_free(carob_service_block_t *block);

#endif
