#include "carobtrail/admission.h"

#include <stdlib.h>
#include <string.h>

/* Maximum of the limit, in requests per slot of the service: one that runs and
 * one that waits. */
#define LIMIT_PER_SLOT_MAX 2
/* Minimum of the limit, in requests per slot of the service in the instance's
 * own zone. With fewer requests there would be free slots; the other slots are
 * used by other instances of the zone. */
#define LIMIT_PER_HOME_SLOT_MIN 0.5
/* Factor by which the limit for urgent flows is higher. */
#define URGENT_FACTOR 3.0

typedef struct service_load {
	uint32_t pending;
	uint32_t slots;
	uint32_t home_slots;
} service_load_t;

static service_load_t sum_service_load(const carob_upstream_table_t *table,
				       const carob_admission_query_t *query)
{
	service_load_t load = {0};

	CAROB_UPSTREAMS_OF (i, table, query->service) {
		const carob_upstream_t *upstream = &table->items[i];

		load.pending += upstream->pending;
		if (!carob_upstream_accepts(upstream))
			continue;
		load.slots += upstream->slots;
		if (upstream->zone == query->home_zone)
			load.home_slots += upstream->slots;
	}
	return load;
}

static bool ensure_limiter(carob_admission_t *admission,
			   carob_name_id_t service)
{
	size_t count = (size_t)service + 1;
	carob_limiter_t *limiters;

	if (service < admission->count)
		return true;
	limiters = realloc(admission->limiters, count * sizeof(*limiters));
	if (!limiters)
		return false;
	memset(&limiters[admission->count], 0,
	       (count - admission->count) * sizeof(*limiters));
	admission->limiters = limiters;
	admission->count = count;
	return true;
}

bool carob_admission_admits(carob_admission_load_t *out,
			    carob_admission_t *admission,
			    const carob_upstream_table_t *table,
			    const carob_admission_query_t *query)
{
	service_load_t load = sum_service_load(table, query);
	uint32_t limit_max = LIMIT_PER_SLOT_MAX * load.slots;
	double limit;

	*out = (carob_admission_load_t){0};
	if (!ensure_limiter(admission, query->service))
		return true;
	carob_limiter_set_slots(&admission->limiters[query->service],
				limit_max);
	limit = carob_limiter_limit(&admission->limiters[query->service]);
	if (limit < LIMIT_PER_HOME_SLOT_MIN * load.home_slots)
		limit = LIMIT_PER_HOME_SLOT_MIN * load.home_slots;
	if (query->urgent)
		limit *= URGENT_FACTOR;
	out->pending = load.pending;
	out->limit = (uint32_t)limit;
	return load.pending == 0 || load.pending < limit;
}

void carob_admission_record_response(carob_admission_t *admission,
				     carob_name_id_t service, bool in_time,
				     uint64_t now_ns)
{
	if (service >= admission->count)
		return;
	if (in_time)
		carob_limiter_on_success(&admission->limiters[service]);
	else
		carob_limiter_on_timeout(&admission->limiters[service], now_ns);
}

void carob_admission_dispose(carob_admission_t *admission)
{
	free(admission->limiters);
	memset(admission, 0, sizeof(*admission));
}
