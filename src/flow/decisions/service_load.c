#include "carobtrail/service_load.h"

#include "carobtrail/failure_detector.h"

#include <math.h>

/* Maximum age of the sums. Own flows that are accepted meanwhile are added to
 * them; responses are seen this much late. */
#define SUM_AGE_NS (10 * CAROB_NS_PER_MS)
/* Without a sum for this long, the means of earlier views tell nothing. */
#define HISTORY_AGE_NS CAROB_NS_PER_S
/* Time constant of the mean of the own load: the interval of the reports with
 * which it is compared. */
#define MEAN_NS (250 * CAROB_NS_PER_MS)
/* Interval in which the least load of the others is an upper bound of the
 * weight of their idle flows. Idle flows come and go more slowly. */
#define LEAST_NS (10 * CAROB_NS_PER_S)
/* Work time before any response: the means of known deployments are between
 * 4 ms and 52 ms. */
#define WORK_MS_DEFAULT	 40.0
#define WORK_SAMPLES_MAX 64
/* Zones that are told apart; with more, some share a bit of the set. */
#define ZONES_MAX 64
/* How long an accepted flow counts at least, in work times. */
#define HOLD_FACTOR 1.0

static void add_upstream(carob_service_load_t *load,
			 const carob_upstream_t *upstream, bool with_avoided,
			 uint64_t now_ns)
{
	if (!carob_upstream_accepts(upstream) ||
	    (!with_avoided &&
	     carob_failure_detector_is_avoided(upstream, now_ns)))
		return;
	load->slots += carob_upstream_usable_slots(upstream, now_ns);
	load->zone_set |= 1ULL << (upstream->zone % ZONES_MAX);
	load->pending += upstream->pending - upstream->overdue;
	if (upstream->open_flows > upstream->pending)
		load->idle += upstream->open_flows - upstream->pending;
	load->others_sum += upstream->others_load;
}

static void sum_upstreams(carob_service_load_t *load,
			  const carob_upstream_table_t *table,
			  const carob_service_load_query_t *query,
			  bool with_avoided)
{
	load->slots = 0;
	load->zone_set = 0;
	load->pending = 0;
	load->accepted = 0;
	load->idle = 0;
	load->others_sum = 0;
	CAROB_UPSTREAMS_OF (i, table, query->service)
		add_upstream(load, &table->items[i], with_avoided,
			     query->now_ns);
}

static void track_least(carob_service_load_t *load, uint64_t now_ns)
{
	if (load->least_since_ns == 0 ||
	    now_ns - load->least_since_ns >= LEAST_NS) {
		load->least_sum[1] = load->least_since_ns == 0
					     ? load->others_sum
					     : load->least_sum[0];
		load->least_sum[0] = load->others_sum;
		load->least_since_ns = now_ns;
	}
	if (load->others_sum < load->least_sum[0])
		load->least_sum[0] = load->others_sum;
}

/* Weight of the other instances' idle flows. Routers spread flows evenly, so
 * each instance has about as many as this one; in zones with fewer it is at
 * most the least load of the last time. */
static double idle_weight_of_others(const carob_service_load_t *load,
				    uint32_t instances)
{
	double weight = CAROB_IDLE_FLOW_LOAD * load->idle * (instances - 1.0);

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(load->least_sum); i++)
		if (load->least_sum[i] < weight)
			weight = load->least_sum[i];
	return weight;
}

static void remember_own(carob_service_load_t *load, bool all)
{
	for (size_t i = CAROB_SERVICE_LOAD_VIEWS - 1; i > 0; i--)
		load->own_history[i] = all ? load->own_mean
					   : load->own_history[i - 1];
	load->own_history[0] = load->own_mean;
}

static double count_parts(const carob_service_load_t *load,
			  const carob_service_load_query_t *query)
{
	uint32_t in_zone =
		carob_load_view_zone_instances(query->view, query->now_ns);
	int zones = __builtin_popcountll(load->zone_set);

	if (in_zone == 0 || zones == 0)
		return carob_load_view_all_instances(query->view,
						     query->now_ns);
	return (double)in_zone * zones;
}

void carob_service_load_update(carob_service_load_t *load,
			       const carob_upstream_table_t *table,
			       const carob_service_load_query_t *query)
{
	uint32_t instances =
		carob_load_view_all_instances(query->view, query->now_ns);
	uint64_t now = query->now_ns;
	bool is_old = load->summed_ns == 0 ||
		      now - load->summed_ns >= HISTORY_AGE_NS;

	if (load->summed_ns != 0 && now - load->summed_ns < SUM_AGE_NS)
		return;
	sum_upstreams(load, table, query, false);
	/* Flows are placed on avoided upstreams if there are no others. */
	if (load->slots <= 0)
		sum_upstreams(load, table, query, true);
	load->parts = count_parts(load, query);
	load->summed_ns = now;
	(void)carob_service_load_own(load, now);
	if (is_old || load->view_ns != query->view->updated_ns)
		remember_own(load, is_old);
	if (!is_old && load->view_ns != query->view->updated_ns)
		load->others_before = load->others;
	load->view_ns = query->view->updated_ns;
	track_least(load, now);
	load->others = load->others_sum;
	if (instances > 0)
		load->others -= idle_weight_of_others(load, instances);
	if (is_old)
		load->others_before = load->others;
}

double carob_service_load_own(carob_service_load_t *load, uint64_t now_ns)
{
	double hold_ns = HOLD_FACTOR * carob_service_load_work_ms(load) *
			 CAROB_NS_PER_MS;
	double since_ns = (double)(now_ns - load->mean_ns);
	double own = (double)load->pending + load->accepted;

	load->held *= exp(-(double)(now_ns - load->held_ns) / hold_ns);
	load->held_ns = now_ns;
	if (own < load->held)
		own = load->held;
	load->own_mean +=
		(own - load->own_mean) * (1 - exp(-since_ns / MEAN_NS));
	load->mean_ns = now_ns;
	return own;
}

void carob_service_load_add_flow(carob_service_load_t *load, uint64_t now_ns)
{
	(void)carob_service_load_own(load, now_ns);
	load->accepted++;
	load->held++;
}

void carob_service_load_record_response(carob_service_load_t *load, uint32_t ms,
					uint32_t target_ms)
{
	if (load->others + load->own_mean >= load->slots ||
	    load->own_mean * load->parts >= load->slots)
		return;
	if (target_ms > 0 && ms > target_ms)
		ms = target_ms;
	if (load->work_samples < WORK_SAMPLES_MAX)
		load->work_samples++;
	load->work_ms += (ms - load->work_ms) / load->work_samples;
}

double carob_service_load_work_ms(const carob_service_load_t *load)
{
	if (load->work_samples == 0)
		return WORK_MS_DEFAULT;
	return load->work_ms < 1 ? 1 : load->work_ms;
}
