/**
 * @file manifest_check.h
 * Rules that hold between the parts of one manifest: ids, names, addresses
 * and service ports that may appear only once.
 */
#ifndef CAROB_CORE_MANIFEST_CHECK_H
#define CAROB_CORE_MANIFEST_CHECK_H

#include "carobtrail/manifest.h"
#include "util/json_doc.h"

typedef struct carob_manifest_check carob_manifest_check_t;

/** Creates the memory of what was seen. @return 0 or CAROB_ENOMEM */
int carob_manifest_check_new(carob_manifest_check_t **out);

/** Releases it; NULL is allowed. */
void carob_manifest_check_free(carob_manifest_check_t *check);

/**
 * Checks a service against what was seen and remembers it.
 *
 * @param check what was seen
 * @param node the service in the document
 * @param service the service as read
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_manifest_check_service(carob_manifest_check_t *check,
				 const carob_json_node_t *node,
				 const carob_manifest_service_t *service);

/** The same for an upstream; ids are unique over all services. */
int carob_manifest_check_upstream(carob_manifest_check_t *check,
				  const carob_json_node_t *node,
				  const carob_manifest_upstream_t *upstream);

#endif
