/* The bound on new flows to a cold upstream, kept by all instances in sum. */
#include "flow/decisions/pace_priv.h"

#include <math.h>

/* Greatest width of a window of the bound. A wider window is used more often,
 * but more windows of other instances are open at the same time. */
#define WINDOW_NS_MAX (500 * CAROB_NS_PER_MS)
/* Logarithm of the probability, at most, that more windows than the bound are
 * open within some second: 1 in a million. */
#define LOG_EXCESS_MAX (-13.8)
#define BISECTIONS     40
/* Longest period, which a cold upstream does not reach; rates come from the
 * configuration and may be as low as one likes. */
#define PERIOD_S_MAX 1e6
/* Instances that may have started since the number was learned. */
#define INSTANCES_FACTOR 1.5
/* For this long the larger one of the last two numbers of instances counts. */
#define INSTANCES_HOLD_NS (60 * CAROB_NS_PER_S)
/* Views in the first moments after a start count only the instances that have
 * reported so far, so the setting counts as well. */
#define INSTANCES_SETTLE_NS (5 * CAROB_NS_PER_S)

/* Returns the number of instances that may send to a cold upstream: those of
 * its zone. */
double carob_pace_count_instances(carob_pace_t *pace,
				  const carob_load_view_t *view,
				  uint64_t now_ns)
{
	carob_pace_instances_t *known = &pace->instances;
	uint32_t count = carob_load_view_zone_instances(view, now_ns);
	double sum;

	if (count == 0) {
		*known = (carob_pace_instances_t){0};
		return pace->options.instances;
	}
	if (known->known_ns == 0)
		*known = (carob_pace_instances_t){.known_ns = now_ns};
	if (count != known->latest) {
		/* A fall in several steps counts from its first number. */
		if (now_ns - known->changed_ns >= INSTANCES_HOLD_NS ||
		    known->latest > known->before)
			known->before = known->latest;
		known->latest = count;
		known->changed_ns = now_ns;
	}
	if (now_ns - known->changed_ns >= INSTANCES_HOLD_NS)
		known->before = 0;
	if (known->before > count)
		count = known->before;
	sum = INSTANCES_FACTOR * count;
	if (now_ns - known->known_ns < INSTANCES_SETTLE_NS &&
	    sum < pace->options.instances)
		sum = pace->options.instances;
	return sum;
}

/* Returns how many windows may be open within a second on average, for a bound
 * on their number. The number is close to a Poisson distribution, as the phases
 * are random; its tail is bounded as by Chernoff. */
static double mean_below(double bound)
{
	double excess = floor(bound) + 1;
	double low = 0;
	double high = excess;

	for (int i = 0; i < BISECTIONS; i++) {
		double mean = (low + high) / 2;

		if (excess - mean + excess * log(mean / excess) <
		    LOG_EXCESS_MAX)
			low = mean;
		else
			high = mean;
	}
	return low;
}

void carob_pace_set_windows(carob_pace_t *pace, carob_upstream_pace_t *state,
			    double cold_per_s, bool home, uint64_t now_ns)
{
	double bound = cold_per_s * pace->options.cold_overage +
		       pace->options.cold_slack;
	double instances = pace->instance_count;
	double open_s = 1 + (double)WINDOW_NS_MAX / CAROB_NS_PER_S;
	double period_s = instances * open_s / mean_below(bound);
	double certain_s = bound > instances ? open_s / (bound / instances - 1)
					     : INFINITY;
	uint64_t period_ns;

	if (certain_s < period_s)
		period_s = certain_s;
	if (period_s < instances / cold_per_s)
		period_s = instances / cold_per_s;
	if (period_s > PERIOD_S_MAX)
		period_s = PERIOD_S_MAX;
	period_ns = (uint64_t)(period_s * CAROB_NS_PER_S) + 1;
	/* A phase that was random in the old period is so in the new one. */
	if (state->period_ns == 0)
		state->window_ns =
			now_ns + (uint64_t)(carob_rng_unit(&pace->rng) *
					    (double)period_ns);
	else if (state->period_ns != period_ns && state->window_ns > now_ns)
		state->window_ns =
			now_ns +
			(uint64_t)((double)(state->window_ns - now_ns) *
				   (double)period_ns /
				   (double)state->period_ns);
	state->period_ns = period_ns;
	state->width_ns = period_ns < WINDOW_NS_MAX ? period_ns : WINDOW_NS_MAX;
	if (!home)
		state->width_ns = 0;
}

bool carob_pace_window_is_open(const carob_upstream_pace_t *state,
			       uint64_t now_ns)
{
	return now_ns >= state->window_ns &&
	       (now_ns - state->window_ns) % state->period_ns < state->width_ns;
}
