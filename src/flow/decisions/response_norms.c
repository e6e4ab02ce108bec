#include "carobtrail/response_norms.h"

#include "carobtrail/rng.h"

#include <math.h>

/* Responses from which on a length can be compared. With 16, the spread was
 * often far too small; of 135 instances, one sees few a second of a route. */
#define SAMPLES_MIN 24
/* Least step of the estimates, in logarithms. Earlier steps are 1/n. */
#define STEP_MIN 0.01
/* The spread of n responses is uncertain by this divided by n. */
#define UNCERTAIN_SAMPLES 8.0
/* A response is short below half of the median, and if its logarithm is this
 * many spreads below. Of lengths with a log-normal distribution, whose spread
 * is 0.67 standard deviations, 1 in 280 is. */
#define LOG_SHORT_MIN	 0.69
#define SHORT_DEVIATIONS 4

static carob_response_norm_t *norm_of(carob_response_norms_t *norms,
				      carob_endpoint_t route,
				      carob_name_id_t service)
{
	uint64_t key = carob_hash_u64((uint64_t)route.ip << 16 | route.port) ^
		       carob_hash_u64((uint64_t)service + 1);
	carob_response_norm_t *norm =
		&norms->items[key & (CAROB_RESPONSE_NORMS - 1)];

	if (norm->key != key)
		*norm = (carob_response_norm_t){.key = key};
	return norm;
}

/* Follows the medians: as many values move them up as down. Only longer
 * responses count for the spread, since none of them is an error. */
static void learn(carob_response_norm_t *norm, double log_bytes)
{
	double deviation = fabs(log_bytes - norm->log_median);
	double step;

	if (norm->samples++ == 0) {
		norm->log_median = (float)log_bytes;
		return;
	}
	step = fmax(1.0 / norm->samples, STEP_MIN);
	norm->log_median = (float)(norm->log_median +
				   copysign(fmin(step, deviation),
					    log_bytes - norm->log_median));
	if (log_bytes < norm->log_median)
		return;
	norm->log_spread = (float)fmax(
		0, norm->log_spread +
			   copysign(step, deviation - norm->log_spread));
}

bool carob_response_norms_add(carob_response_norms_t *norms,
			      carob_endpoint_t route, carob_name_id_t service,
			      uint32_t bytes)
{
	carob_response_norm_t *norm = norm_of(norms, route, service);
	double log_bytes = log(bytes);
	double below = norm->log_median - log_bytes;
	bool is_short = norm->samples >= SAMPLES_MIN && below > LOG_SHORT_MIN &&
			below > SHORT_DEVIATIONS * norm->log_spread;

	if (norm->samples < UINT32_MAX)
		learn(norm, log_bytes);
	return is_short;
}
