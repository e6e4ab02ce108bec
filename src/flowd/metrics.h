/**
 * @file metrics.h
 * Writes counters and latency histograms as text, one metric per line.
 */
#ifndef CAROB_FLOWD_METRICS_H
#define CAROB_FLOWD_METRICS_H

#include "carobtrail/catalog.h"
#include "carobtrail/load_sharing.h"
#include "carobtrail/steering.h"
#include "frontend.h"
#include "relay.h"

/** The objects whose metrics are written. */
typedef struct flowd_metrics_source {
	const carob_steering_t *steering;
	const carob_catalog_t *catalog;
	const carob_upstream_table_t *upstreams;
	const carob_route_table_t *routes;
	const carob_zone_table_t *zones;
	const flowd_frontend_t *frontend;
	const carob_udp_hub_t *hub;
	flowd_relay_status_t relay;
	carob_load_status_t load;
	bool link_congested;
} flowd_metrics_source_t;

/** Appends all metrics to `out`. @return 0 or CAROB_ENOMEM */
int flowd_metrics_write(carob_buf_t *out, const flowd_metrics_source_t *source);

#endif
