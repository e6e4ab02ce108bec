/**
 * @file explain.h
 * Where a flow would go now and why, as JSON for people.
 */
#ifndef CAROB_FLOWD_EXPLAIN_H
#define CAROB_FLOWD_EXPLAIN_H

#include "carobtrail/catalog.h"
#include "carobtrail/steering.h"

/** What an explanation is read from. */
typedef struct flowd_explain_source {
	const carob_steering_t *steering;
	const carob_catalog_t *catalog;
	const carob_upstream_table_t *upstreams;
} flowd_explain_source_t;

/**
 * Explains a flow.
 *
 * @param out receives JSON: the explanation, or `error` with what is wrong
 * @param source what is read
 * @param query `caller=IP:PORT&route=IP:PORT`, and `tag=NUMBER` if the flow is
 *        open: the echo field of its packets
 * @return 0, CAROB_EINVALID (the query) or CAROB_ENOMEM
 */
int flowd_explain_write(carob_buf_t *out, const flowd_explain_source_t *source,
			const char *query);

#endif
