/**
 * @file manifest.h
 * The manifest: the list of zones, services and upstreams of a deployment
 * that operators publish. A parsed manifest is valid and immutable.
 */
#ifndef CAROBTRAIL_MANIFEST_H
#define CAROBTRAIL_MANIFEST_H

#include "carobtrail/ids.h"

/** Largest manifest document that is accepted, in bytes. */
#define CAROB_MANIFEST_BYTES_MAX (1024 * 1024)

/** Bytes of the random id of one publish. */
#define CAROB_PUBLISH_ID_BYTES 16

/** Longest name of a deployment, service or upstream, in bytes. */
#define CAROB_MANIFEST_NAME_MAX 63

/** Which flows an upstream may receive. */
typedef enum carob_upstream_state {
	CAROB_UPSTREAM_ACTIVE,	 /* new and established flows */
	CAROB_UPSTREAM_DRAINING, /* established flows only */
} carob_upstream_state_t;

/** One upstream of a service. */
typedef struct carob_manifest_upstream {
	carob_upstream_id_t id;
	carob_str_t name;
	carob_zone_t zone;
	carob_addr_t addr;
	carob_upstream_state_t state;
} carob_manifest_upstream_t;

/** One service. */
typedef struct carob_manifest_service {
	uint32_t id; /* never 0, never reused */
	carob_str_t name;
	carob_addr_t addr;	 /* address that callers send to */
	uint32_t slots;		 /* concurrent requests per upstream */
	uint32_t connections;	 /* concurrent observations per upstream */
	bool reports_load;	 /* upstreams answer GET /load */
	uint32_t max_runtime_ms; /* longest runtime of one request */
	size_t upstream_count;
	const carob_manifest_upstream_t *upstreams; /* ascending by id */
} carob_manifest_service_t;

typedef struct carob_manifest carob_manifest_t;

/**
 * Parses and checks a manifest document.
 *
 * @param out receives the manifest; release it with `carob_manifest_free`
 * @param source name of the document in error texts, such as its file name
 * @param json the document, at most CAROB_MANIFEST_BYTES_MAX bytes
 * @return 0, CAROB_ELIMIT, CAROB_EFORMAT or CAROB_EINVALID; the last error
 *         names the source, the path in the document, the value and what was
 *         expected
 */
int carob_manifest_parse(carob_manifest_t **out, const char *source,
			 carob_str_t json);

/** Adds a reference. @return `manifest` */
carob_manifest_t *carob_manifest_ref(carob_manifest_t *manifest);

/** Drops a reference; dropping the last one releases the manifest. */
void carob_manifest_free(carob_manifest_t *manifest);

/** @return the name of the deployment, borrowed from the manifest */
carob_str_t carob_manifest_deployment(const carob_manifest_t *manifest);

/**
 * Returns all availability zones, in the order of the document.
 *
 * @param manifest the manifest
 * @param count receives their number
 * @return the first zone; borrowed from the manifest
 */
const carob_zone_t *carob_manifest_zones(const carob_manifest_t *manifest,
					 size_t *count);

/** @return whether the manifest lists the zone */
bool carob_manifest_has_zone(const carob_manifest_t *manifest,
			     const carob_zone_t *zone);

/**
 * Returns all services, ascending by id.
 *
 * @param manifest the manifest
 * @param count receives their number
 * @return the first service; borrowed from the manifest
 */
const carob_manifest_service_t *
carob_manifest_services(const carob_manifest_t *manifest, size_t *count);

/** @return the service with that id, borrowed from the manifest, or NULL */
const carob_manifest_service_t *
carob_manifest_find_service(const carob_manifest_t *manifest, uint32_t id);

/** @return the upstream with that id and incarnation, borrowed, or NULL */
const carob_manifest_upstream_t *
carob_manifest_find_upstream(const carob_manifest_service_t *service,
			     carob_upstream_id_t id);

#endif
