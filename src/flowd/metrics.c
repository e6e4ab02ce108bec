#include "metrics.h"

#include <inttypes.h>

typedef struct metric {
	const char *name;
	uint64_t value;
} metric_t;

static int write_metrics(carob_buf_t *out, const metric_t *metrics,
			 size_t count)
{
	int error = 0;

	for (size_t i = 0; !error && i < count; i++)
		error = carob_buf_printf(out, "carob_%s %" PRIu64 "\n",
					 metrics[i].name, metrics[i].value);
	return error;
}

static int write_histogram(carob_buf_t *out, const char *name,
			   const carob_histogram_t *histogram)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 1.0};
	int error;

	error = carob_buf_printf(out, "carob_%s_count %" PRIu64 "\n", name,
				 histogram->count);
	for (size_t i = 0; !error && i < CAROB_ARRAY_SIZE(quantiles); i++)
		error = carob_buf_printf(
			out, "carob_%s{quantile=\"%g\"} %" PRIu64 "\n", name,
			quantiles[i],
			carob_histogram_quantile(histogram, quantiles[i]));
	return error;
}

static int write_decisions(carob_buf_t *out,
			   const carob_steering_counters_t *counters)
{
	int error = 0;

	for (int i = 0; !error && i < CAROB_STEER_REASON_COUNT; i++)
		error = carob_buf_printf(
			out, "carob_packets{decision=\"%s\"} %" PRIu64 "\n",
			carob_steer_reason_text((carob_steer_reason_t)i),
			counters->reasons[i]);
	return error;
}

static int write_shared_row(carob_buf_t *out, const char *name,
			    const uint64_t *counts,
			    carob_shared_reason_t reason)
{
	int error = 0;

	for (int i = 0; !error && i < CAROB_ADMISSION_PRIORITIES; i++)
		error = carob_buf_printf(
			out,
			"carob_%s{reason=\"%s\",priority=\"%d\"} %" PRIu64 "\n",
			name, carob_shared_reason_text(reason), i, counts[i]);
	return error;
}

/* Flows that were turned away by the load of all instances. */
static int write_shared(carob_buf_t *out,
			const carob_shared_counters_t *counters)
{
	static const carob_shared_reason_t rows[] = {CAROB_SHARED_NO_ROOM,
						     CAROB_SHARED_CALLER_SHARE};
	metric_t metrics[] = {{"admission_floor_used", 0}, {"overloads", 0}};
	int error = 0;

	if (!counters)
		return 0;
	for (size_t i = 0; !error && i < CAROB_ARRAY_SIZE(rows); i++) {
		error = write_shared_row(out, "flows_refused",
					 counters->refused[rows[i]], rows[i]);
		if (!error)
			error = write_shared_row(out, "flows_deferred",
						 counters->deferred[rows[i]],
						 rows[i]);
	}
	metrics[0].value = counters->floor_used;
	metrics[1].value = counters->overloads;
	if (!error)
		error = write_metrics(out, metrics, CAROB_ARRAY_SIZE(metrics));
	return error;
}

static int write_upstreams(carob_buf_t *out,
			   const carob_upstream_table_t *upstreams)
{
	uint64_t states[CAROB_UPSTREAM_GONE + 1] = {0};
	int error = 0;

	for (size_t i = 0; i < upstreams->count; i++)
		if (upstreams->items[i].used)
			states[upstreams->items[i].state]++;
	for (int i = 0; !error && i <= CAROB_UPSTREAM_GONE; i++)
		error = carob_buf_printf(
			out, "carob_upstreams{state=\"%s\"} %" PRIu64 "\n",
			carob_upstream_state_name((carob_upstream_state_t)i),
			states[i]);
	return error;
}

static int write_catalog(carob_buf_t *out, const flowd_metrics_source_t *source)
{
	const carob_catalog_counters_t *counters =
		carob_catalog_counters(source->catalog);
	const metric_t metrics[] = {
		{"store_lists", counters->lists},
		{"store_watches", counters->watches},
		{"store_failed_calls", counters->failed},
		{"store_changes", counters->changes},
		{"store_unusable_items", counters->unusable},
		{"store_era", carob_catalog_era(source->catalog)},
		{"store_era_changes", counters->eras},
		{"store_outdated_answers", counters->outdated},
		{"reader", source->relay.is_reader},
		{"relayed_answers", source->relay.counters.relayed},
		{"reader_fallbacks", source->relay.counters.fallbacks},
		{"store_revision", carob_catalog_revision(source->catalog)},
		{"store_answer_age_ms", carob_catalog_age_ms(source->catalog)},
		{"zones_evacuated",
		 carob_zone_table_count_evacuated(source->zones)},
		{"configuration_version", source->routes->config.version},
		{"routes", source->routes->config.count},
	};

	return write_metrics(out, metrics, CAROB_ARRAY_SIZE(metrics));
}

static int write_pace(carob_buf_t *out, const carob_pace_t *pace)
{
	const metric_t metrics[] = {
		{"paced_upstreams", pace->paced},
		{"pace_begun", pace->counters.begun},
		{"pace_ended", pace->counters.ended},
		{"pace_raised", pace->counters.raised},
		{"pace_lowered", pace->counters.lowered},
	};

	return write_metrics(out, metrics, CAROB_ARRAY_SIZE(metrics));
}

static int write_frontend(carob_buf_t *out,
			  const flowd_metrics_source_t *source)
{
	const carob_steering_counters_t *steering =
		carob_steering_counters(source->steering);
	const carob_outlier_detector_t *outliers =
		carob_steering_outliers(source->steering);
	const flowd_frontend_counters_t *frontend =
		flowd_frontend_counters(source->frontend);
	const carob_udp_counters_t *udp = carob_udp_hub_counters(source->hub);
	const metric_t metrics[] = {
		{"packets_received", frontend->packets},
		{"packets_malformed", frontend->malformed},
		{"packets_stale", frontend->stale},
		{"packets_sent", udp->sent},
		{"packets_send_failed", udp->send_failed},
		{"packets_repeated_data", steering->repeated_data},
		{"responses_short", steering->short_responses},
		{"upstreams_ejected", outliers->ejected},
		{"upstream_ejections", outliers->ejections},
		{"upstream_returns", outliers->returns},
		{"flows", carob_steering_flow_count(source->steering)},
		{"flows_not_remembered", steering->not_remembered},
		{"link_congested", source->link_congested},
		{"log_decisions_skipped", frontend->unlogged},
	};

	return write_metrics(out, metrics, CAROB_ARRAY_SIZE(metrics));
}

static int write_load(carob_buf_t *out, const carob_load_status_t *load)
{
	const carob_load_counters_t *counters = &load->counters;
	const metric_t metrics[] = {
		{"load_known", load->known},
		{"load_age_ms", load->age_ms},
		{"load_interval_ms", load->interval_ms},
		{"load_zone_instances", load->zone_instances},
		{"load_all_instances", load->all_instances},
		{"load_reports_sent", counters->reports_sent},
		{"load_answers_received", counters->answers_received},
		{"load_reports_received", counters->reports_received},
		{"load_answers_sent", counters->answers_sent},
		{"load_zone_sums_sent", counters->zone_sums_sent},
		{"load_zone_sums_received", counters->zone_sums_received},
		{"load_rejected{reason=\"malformed\"}", counters->malformed},
		{"load_rejected{reason=\"forged\"}", counters->forged},
		{"load_rejected{reason=\"stale\"}", counters->stale},
		{"load_rejected{reason=\"foreign\"}", counters->foreign},
		{"load_bytes_sent", counters->bytes_sent},
		{"load_bytes_received", counters->bytes_received},
	};

	return write_metrics(out, metrics, CAROB_ARRAY_SIZE(metrics));
}

int flowd_metrics_write(carob_buf_t *out, const flowd_metrics_source_t *source)
{
	const carob_steering_counters_t *steering =
		carob_steering_counters(source->steering);
	int error;

	error = write_frontend(out, source);
	if (!error)
		error = write_decisions(out, steering);
	if (!error)
		error = write_shared(
			out, carob_steering_shared_counters(source->steering));
	if (!error)
		error = write_histogram(out, "connect_ms",
					&steering->connect_ms);
	if (!error)
		error = write_histogram(out, "answer_ms", &steering->answer_ms);
	if (!error)
		error = write_catalog(out, source);
	if (!error)
		error = write_load(out, &source->load);
	if (!error)
		error = write_upstreams(out, source->upstreams);
	if (!error)
		error = write_pace(out, carob_steering_pace(source->steering));
	return error;
}
