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
/* Part of the limit up to which flows are accepted whose response can't be in
 * time any more. The rest is left to those that can: otherwise the callers that
 * wait since an outage make the new ones late too. */
#define LATE_FACTOR 0.6
/* Maximum of the budget of deferrals, per slot in the instance's own zone: what
 * a slot can serve until the last copy of a SYN, 600 ms, at 25 ms a request. */
#define DEFERRALS_PER_HOME_SLOT 24
/* Deferrals that an accepted flow adds to the budget while the service is far
 * from its limit. In a lasting overload it never is. */
#define DEFERRALS_PER_ACCEPTED 0.1
#define FAR_FROM_LIMIT	       0.5

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

		/* Flows that stay in an evacuated zone use its slots, which
		 * are not counted either. */
		if (upstream->evacuated)
			continue;
		load.pending += upstream->pending - upstream->overdue;
		if (!carob_upstream_accepts(upstream))
			continue;
		load.slots += upstream->slots;
		if (upstream->zone == query->home_zone)
			load.home_slots += upstream->slots;
	}
	return load;
}

static bool ensure_service(carob_admission_t *admission,
			   carob_name_id_t service)
{
	size_t count = (size_t)service + 1;
	carob_admission_service_t *services;

	if (service < admission->count)
		return true;
	services = realloc(admission->services, count * sizeof(*services));
	if (!services)
		return false;
	memset(&services[admission->count], 0,
	       (count - admission->count) * sizeof(*services));
	admission->services = services;
	admission->count = count;
	return true;
}

static uint32_t compute_limit(carob_limiter_t *limiter,
			      const service_load_t *load, bool urgent)
{
	uint32_t whole;
	double limit;

	carob_limiter_set_slots(limiter, LIMIT_PER_SLOT_MAX * load->slots);
	limit = carob_limiter_limit(limiter);
	if (limit < LIMIT_PER_HOME_SLOT_MIN * load->home_slots)
		limit = LIMIT_PER_HOME_SLOT_MIN * load->home_slots;
	if (urgent)
		limit *= URGENT_FACTOR;
	whole = (uint32_t)limit;
	return limit > whole ? whole + 1 : whole;
}

/* Adds to the budget, which is full at first. */
static void fill_budget(carob_admission_service_t *service, double max,
			double deferrals)
{
	service->deferrals += deferrals;
	if (!service->used || service->deferrals > max)
		service->deferrals = max;
	service->used = true;
}

static bool take_deferral(carob_admission_service_t *service)
{
	if (service->deferrals < 1)
		return false;
	service->deferrals--;
	return true;
}

static bool is_late(const carob_admission_query_t *query)
{
	/* Age of a copy of a SYN. */
	static const uint32_t sent_ms[CAROB_SYN_COPY_LAST + 1] = {0, 200, 600};
	uint8_t copy = query->syn_copy < CAROB_SYN_COPY_LAST
			       ? query->syn_copy
			       : CAROB_SYN_COPY_LAST;

	return query->target_ms > 0 && sent_ms[copy] >= query->target_ms;
}

void carob_admission_measure(carob_admission_load_t *out,
			     carob_admission_t *admission,
			     const carob_upstream_table_t *table,
			     const carob_admission_query_t *query)
{
	service_load_t load = sum_service_load(table, query);

	*out = (carob_admission_load_t){.limit = UINT32_MAX};
	if (!ensure_service(admission, query->service))
		return;
	out->pending = load.pending;
	out->limit = compute_limit(&admission->services[query->service].limiter,
				   &load, query->urgent);
	if (is_late(query))
		out->limit = (uint32_t)(LATE_FACTOR * out->limit);
	out->home_slots = load.home_slots;
}

bool carob_admission_has_room(const carob_admission_load_t *load)
{
	return load->pending == 0 || load->pending < load->limit;
}

carob_admission_verdict_t
carob_admission_decide(carob_admission_t *admission,
		       const carob_admission_load_t *load,
		       const carob_admission_query_t *query)
{
	double max = DEFERRALS_PER_HOME_SLOT * load->home_slots;
	carob_admission_service_t *service;

	if (query->service >= admission->count)
		return CAROB_ADMISSION_ACCEPT;
	service = &admission->services[query->service];
	if (carob_admission_has_room(load)) {
		fill_budget(service, max,
			    load->pending < FAR_FROM_LIMIT * load->limit
				    ? DEFERRALS_PER_ACCEPTED
				    : 0);
		return CAROB_ADMISSION_ACCEPT;
	}
	fill_budget(service, max, 0);
	/* After the last copy, a deferral would only delay the refusal. */
	if (query->syn_copy >= CAROB_SYN_COPY_LAST)
		return CAROB_ADMISSION_REFUSE;
	return take_deferral(service) || query->after_start
		       ? CAROB_ADMISSION_DEFER
		       : CAROB_ADMISSION_REFUSE;
}

void carob_admission_record_response(carob_admission_t *admission,
				     carob_name_id_t service, bool in_time,
				     uint64_t now_ns)
{
	carob_limiter_t *limiter;

	if (service >= admission->count)
		return;
	limiter = &admission->services[service].limiter;
	if (in_time)
		carob_limiter_on_success(limiter);
	else
		carob_limiter_on_timeout(limiter, now_ns);
}

void carob_admission_dispose(carob_admission_t *admission)
{
	free(admission->services);
	memset(admission, 0, sizeof(*admission));
}
