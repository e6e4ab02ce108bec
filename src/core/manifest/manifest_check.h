/**
 * @file manifest_check.h
 * Checks the rules between the services and upstreams of one manifest: ids,
 * names, addresses and service ports must be unique.
 */
#ifndef CAROB_CORE_MANIFEST_CHECK_H
#define CAROB_CORE_MANIFEST_CHECK_H

#include "carobtrail/manifest.h"
#include "util/json_doc.h"

/** The ids, names, addresses and ports that a manifest has used so far. */
typedef struct carob_manifest_check carob_manifest_check_t;

/**
 * Creates an empty check.
 *
 * @param out receives the check; release it with `carob_manifest_check_free`
 * @return 0 or CAROB_ENOMEM
 */
int carob_manifest_check_new(carob_manifest_check_t **out);

/** Releases a check; NULL is allowed. */
void carob_manifest_check_free(carob_manifest_check_t *check);

/**
 * Checks that the id, name, port and address of a service are unused, and
 * records them. The upstreams of the service are not checked.
 *
 * @param check the check
 * @param node the service in the document
 * @param service the parsed service
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_check_service(carob_manifest_check_t *check,
				 const carob_json_node_t *node,
				 const carob_manifest_service_t *service);

/**
 * Checks that the id, name and address of an upstream are unused in all
 * services and that the address is that of a host, and records them.
 *
 * @param check the check
 * @param node the upstream in the document
 * @param upstream the parsed upstream
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_check_upstream(carob_manifest_check_t *check,
				  const carob_json_node_t *node,
				  const carob_manifest_upstream_t *upstream);

#endif
