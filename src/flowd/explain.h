/**
 * @file explain.h
 * Explains where the packets of a flow are sent and why, as JSON for operators.
 */
#ifndef CAROB_FLOWD_EXPLAIN_H
#define CAROB_FLOWD_EXPLAIN_H

#include "carobtrail/catalog.h"
#include "carobtrail/load_sharing.h"
#include "carobtrail/steering.h"

/** The objects that an explanation is based on. */
typedef struct flowd_explain_source {
	const carob_steering_t *steering;
	const carob_catalog_t *catalog;
	const carob_upstream_table_t *upstreams;
	const carob_zone_table_t *zones;
	const char *read_from; /* a reader's name, or "platform" */
	carob_load_status_t load;
} flowd_explain_source_t;

/**
 * Explains where a packet of a flow would be sent now.
 *
 * @param out receives a JSON object: the explanation, or the message of the
 *        failure in `error`
 * @param source the objects that the explanation is based on
 * @param query `caller=IP:PORT&route=IP:PORT`; for an open flow also
 *        `tag=NUMBER`, the steering tag in the echo field of its packets
 * @return 0, CAROB_EINVALID (bad query) or CAROB_ENOMEM
 */
int flowd_explain_write(carob_buf_t *out, const flowd_explain_source_t *source,
			const char *query);

#endif
