#include "carobtrail/shared_admission.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Maximum of the requests per slot. One runs and about 4 more fit into the
 * queue of an upstream. The rest is left to higher priorities, and to queues
 * that are longer than the mean. With 2.5, a crowd of some seconds had 2 %
 * fewer callers served. */
#define DEPTH_MAX 4.2
/* Minimum: nothing is turned away while there are free slots. */
#define DEPTH_MIN 1.0
/* Change of the used part of the depth per response in time and per late one.
 * The depth falls if more than a quarter is late. Fewer late ones stem from
 * single slow upstreams, which a lower depth of all others does not help. */
#define DEPTH_INCREASE 0.02
#define DEPTH_DECREASE 0.06
/* Responses faster than this part of the work time may be sheds and say
 * nothing about the depth. */
#define SHED_FACTOR 0.25
/* How much higher the limit of each higher priority is, as a part of the limit
 * and in requests. Lower priorities have no room before the higher ones have
 * none, also if the part of an instance is a few requests. */
#define PRIORITY_STEP	       0.15
#define PRIORITY_STEP_REQUESTS 0.7
/* Up to this factor of the limit, the floor of the lowest priority applies:
 * beyond it, the queues of the upstreams overflow. */
#define FLOOR_LIMIT_FACTOR 1.6
/* Flows that the floor allows at once. */
#define FLOOR_BURST 2.0
/* How much higher the limit is for callers that were turned away before. */
#define RETURN_FACTOR 1.1
/* Arrivals of independent callers vary by the square root of their mean. A
 * limit may be exceeded by this many of it after a time of less load, and
 * always while less than half of the room is used: then the others leave it
 * free. */
#define BURST_DEVIATIONS 2.0
/* The least such burst while less than half of the room is used: the part of an
 * instance may be less than one request. */
#define BURST_MIN   2.0
#define ARRIVALS_NS CAROB_NS_PER_S /* time constant of the mean */
#define BUCKET_NS   (50 * CAROB_NS_PER_MS)
/* Counts of accepted flows decay over some seconds; a refusal is remembered for
 * five half-lives, which is as long as a caller needs for its attempts. */
#define ACCEPTED_HALF_LIFE_NS (4 * CAROB_NS_PER_S)
#define REFUSED_HALF_LIFE_NS  (CAROB_NS_PER_S)
/* Range of the level above which callers yield, in flows. It starts at the
 * maximum, falls while callers below it find no room, and rises again. The
 * minimum is above the two attempts that a caller of one flow may have had
 * accepted before, if upstreams shed them. */
#define CALLER_LEVEL_MAX      32.0
#define CALLER_LEVEL_MIN      2.1
#define CALLER_LEVEL_DECREASE 0.9
#define CALLER_LEVEL_INCREASE 1.01
#define CALLER_LEVEL_NS	      (20 * CAROB_NS_PER_MS)
/* How far the level stays above the mean error of the sketch. */
#define CALLER_NOISE_FACTOR 3.0
/* Part of the limit from which such callers yield, but never below what keeps
 * the slots busy. */
#define CALLER_YIELD_FACTOR 0.6
/* An overload has ended when no flow was turned away for this long; bounds the
 * log lines to two in this time per service. */
#define OVERLOAD_END_NS (3 * CAROB_NS_PER_S)
/* Flows are deferred only if the reports show less than this part of the room
 * in use, or did before the last view. With more in use for two views the
 * overload lasts, and a caller is served sooner by its next attempt at another
 * instance. */
#define DEFER_LOAD_MAX 0.8

struct carob_shared_admission {
	carob_shared_service_t *services;
	size_t count;
	double low_priority_floor;
	carob_caller_sketch_t accepted; /* flows by caller */
	carob_caller_sketch_t refused;	/* refusals by caller */
	carob_shared_counters_t counters;
};

/* A decision in progress. */
typedef struct decision {
	carob_shared_admission_t *admission;
	carob_shared_service_t *service;
	const carob_admission_query_t *query;
	carob_shared_load_t *load;
	double depth;	   /* requests per slot */
	double limit;	   /* of the flow, by its priority and caller */
	double slot_share; /* own part of the slots */
	size_t class;	   /* index of the priority in counters */
} decision_t;

static const char *const reason_texts[] = {
#define X(name, text) text,
	CAROB_SHARED_REASONS(X)
#undef X
};

const char *carob_shared_reason_text(carob_shared_reason_t reason)
{
	return reason_texts[reason];
}

int carob_shared_admission_new(carob_shared_admission_t **out,
			       double low_priority_floor, uint64_t now_ns)
{
	carob_shared_admission_t *admission = calloc(1, sizeof(*admission));

	if (!admission)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate admission control");
	admission->low_priority_floor = low_priority_floor;
	carob_caller_sketch_init(&admission->accepted, now_ns,
				 ACCEPTED_HALF_LIFE_NS, now_ns);
	carob_caller_sketch_init(&admission->refused, now_ns + 1,
				 REFUSED_HALF_LIFE_NS, now_ns);
	*out = admission;
	return 0;
}

void carob_shared_admission_free(carob_shared_admission_t *admission)
{
	if (!admission)
		return;
	free(admission->services);
	free(admission);
}

void carob_shared_admission_set_floor(carob_shared_admission_t *admission,
				      double low_priority_floor)
{
	admission->low_priority_floor = low_priority_floor;
}

bool carob_shared_admission_applies(const carob_shared_admission_t *admission,
				    const carob_load_view_t *view,
				    uint64_t now_ns)
{
	return admission && view && view->updated_ns != 0 &&
	       carob_load_view_all_instances(view, now_ns) > 0;
}

static carob_shared_service_t *
ensure_service(carob_shared_admission_t *admission, carob_name_id_t service,
	       uint64_t now_ns)
{
	size_t count = (size_t)service + 1;
	carob_shared_service_t *services = admission->services;

	if (service < admission->count)
		return &services[service];
	services = realloc(services, count * sizeof(*services));
	if (!services)
		return NULL;
	memset(&services[admission->count], 0,
	       (count - admission->count) * sizeof(*services));
	for (size_t i = admission->count; i < count; i++) {
		services[i].depth_factor = 1;
		services[i].arrivals_ns = now_ns;
		services[i].floor_ns = now_ns;
		services[i].caller_level = CALLER_LEVEL_MAX;
	}
	admission->services = services;
	admission->count = count;
	return &services[service];
}

static double compute_depth(const carob_shared_service_t *service,
			    uint32_t target_ms)
{
	double work_ms = carob_service_load_work_ms(&service->load);
	double depth = DEPTH_MAX;

	if (target_ms > 0 && target_ms / work_ms < depth)
		depth = target_ms / work_ms;
	depth *= service->depth_factor;
	return depth < DEPTH_MIN ? DEPTH_MIN : depth;
}

/* Own load that may be kept or reached, by the load of all. Reports are up to
 * three intervals old. To grow, the least own load of that time is taken: the
 * same free room must not be taken twice. To keep or shrink, the greatest is
 * taken: the same excess must not be removed twice. */
static double limit_by_view(const carob_service_load_t *load, double room)
{
	double least = load->own_history[0];
	double most = load->own_history[0];
	double free;

	for (size_t i = 1; i < CAROB_SERVICE_LOAD_VIEWS; i++) {
		least = fmin(least, load->own_history[i]);
		most = fmax(most, load->own_history[i]);
	}
	free = room - load->others - least;
	if (load->others + most > room)
		most *= room / (load->others + most);
	return free > 0 ? fmax(least + free / load->parts, most) : most;
}

static void measure(decision_t *decision)
{
	const carob_admission_query_t *query = decision->query;
	carob_service_load_t *load = &decision->service->load;
	carob_shared_load_t *out = decision->load;

	out->slots = load->slots;
	out->instances =
		carob_load_view_all_instances(query->view, query->now_ns);
	out->view_is_fresh =
		carob_load_view_is_fresh(query->view, query->now_ns);
	out->view_age_ms =
		(uint32_t)((query->now_ns - query->view->updated_ns) /
			   CAROB_NS_PER_MS);
	out->own = carob_service_load_own(load, query->now_ns);
	out->others = out->view_is_fresh ? load->others
					 : out->own * (load->parts - 1);
	out->room = decision->depth * load->slots;
	out->limit = out->room / load->parts;
	if (out->view_is_fresh)
		out->limit = fmax(out->limit, limit_by_view(load, out->room));
	decision->slot_share = out->limit / decision->depth;
}

/* How far the limit may be exceeded for a moment, after a time of less load. */
static double burst(const decision_t *decision)
{
	const carob_shared_load_t *load = decision->load;
	double unused = load->limit - decision->service->load.own_mean;
	double deviation = BURST_DEVIATIONS * sqrt(load->limit);

	if (load->own + load->others < load->room / 2)
		return fmax(deviation, BURST_MIN);
	return fmin(fmax(unused, 0), deviation);
}

/* Returns whether a further flow keeps the load within a limit. A load that
 * flows enter whenever it is below this threshold has the limit as its mean;
 * also for a limit below one. */
static bool fits(const decision_t *decision, double limit)
{
	if (limit <= 0)
		return false;
	return decision->load->own < 1 / (exp(1 / limit) - 1) + burst(decision);
}

static double limit_of_priority(const decision_t *decision, uint32_t priority)
{
	uint32_t least = decision->query->least_priority;
	uint32_t steps = priority < least ? least - priority : 0;
	double limit = decision->load->limit;

	if (steps >= CAROB_ADMISSION_PRIORITIES)
		steps = CAROB_ADMISSION_PRIORITIES - 1;
	return limit + steps * (PRIORITY_STEP * limit + PRIORITY_STEP_REQUESTS);
}

/* A caller yields only to others of its priority, so its limit is at least that
 * of the next lower priority. */
static double yielding_limit(const decision_t *decision)
{
	const carob_admission_query_t *query = decision->query;

	if (query->priority < query->least_priority)
		return limit_of_priority(decision, query->priority + 1);
	return fmax(CALLER_YIELD_FACTOR * decision->load->limit,
		    decision->slot_share);
}

static double least_caller_level(const carob_shared_admission_t *admission)
{
	return CALLER_LEVEL_MIN +
	       CALLER_NOISE_FACTOR *
		       carob_caller_sketch_noise(&admission->accepted);
}

/* Moves the level towards the one at which the callers below it just find
 * room: the max-min share. */
static void adapt_caller_level(const decision_t *decision, bool lacks_room)
{
	carob_shared_service_t *service = decision->service;
	uint64_t now = decision->query->now_ns;

	if (now - service->caller_level_ns < CALLER_LEVEL_NS)
		return;
	service->caller_level_ns = now;
	service->caller_level *= lacks_room ? CALLER_LEVEL_DECREASE
					    : CALLER_LEVEL_INCREASE;
	service->caller_level =
		fmin(fmax(service->caller_level,
			  least_caller_level(decision->admission)),
		     CALLER_LEVEL_MAX);
}

static bool is_above_level(const decision_t *decision)
{
	double level = fmax(decision->service->caller_level,
			    least_caller_level(decision->admission));

	return carob_caller_sketch_count(&decision->admission->accepted,
					 decision->query->caller_ip,
					 decision->query->now_ns) >= level;
}

/* Returns whether the caller goes before others: it was refused before, or its
 * SYN was deferred and its response can still be in time. */
static bool goes_first(const decision_t *decision)
{
	/* Age of a copy of a SYN. */
	static const uint32_t sent_ms[CAROB_SYN_COPY_LAST + 1] = {0, 200, 600};
	const carob_admission_query_t *query = decision->query;

	if (query->syn_copy > 0)
		return query->target_ms == 0 ||
		       sent_ms[query->syn_copy < CAROB_SYN_COPY_LAST
				       ? query->syn_copy
				       : CAROB_SYN_COPY_LAST] <
			       query->target_ms;
	return carob_caller_sketch_count(&decision->admission->refused,
					 query->caller_ip, query->now_ns) > 0;
}

/* Refills the floor of the lowest priority: its part of what the slots of this
 * instance can serve. Takes a flow from it if there is one. */
static bool take_floor(const decision_t *decision)
{
	carob_shared_service_t *service = decision->service;
	const carob_admission_query_t *query = decision->query;
	double ms =
		(double)(query->now_ns - service->floor_ns) / CAROB_NS_PER_MS;

	service->floor_ns = query->now_ns;
	service->floor_tokens += ms * decision->admission->low_priority_floor *
				 decision->slot_share /
				 carob_service_load_work_ms(&service->load);
	service->floor_tokens = fmin(service->floor_tokens, FLOOR_BURST);
	if (query->least_priority == 0 ||
	    query->priority < query->least_priority ||
	    service->floor_tokens < 1 ||
	    decision->load->own >= FLOOR_LIMIT_FACTOR * decision->load->limit)
		return false;
	service->floor_tokens--;
	decision->admission->counters.floor_used++;
	return true;
}

static carob_shared_reason_t find_reason(const decision_t *decision)
{
	const carob_admission_query_t *query = decision->query;
	double limit = limit_of_priority(decision, query->priority);
	bool lacks_room;

	if (fits(decision, yielding_limit(decision))) {
		adapt_caller_level(decision, false);
		return CAROB_SHARED_WITHIN_LIMIT;
	}
	if (is_above_level(decision))
		return CAROB_SHARED_CALLER_SHARE;
	if (goes_first(decision))
		limit *= RETURN_FACTOR;
	lacks_room = !fits(decision, limit);
	if (!lacks_room)
		return CAROB_SHARED_WITHIN_LIMIT;
	adapt_caller_level(decision, true);
	return take_floor(decision) ? CAROB_SHARED_FLOOR : CAROB_SHARED_NO_ROOM;
}

static void count_arrival(const decision_t *decision)
{
	carob_shared_service_t *service = decision->service;
	const carob_admission_query_t *query = decision->query;
	double decay = exp(-(double)(query->now_ns - service->arrivals_ns) /
			   ARRIVALS_NS);

	service->arrivals_ns = query->now_ns;
	for (size_t i = 0; i < CAROB_ADMISSION_PRIORITIES; i++)
		service->arrivals_per_s[i] *= decay;
	if (query->syn_copy == 0)
		service->arrivals_per_s[decision->class] +=
			(double)CAROB_NS_PER_S / ARRIVALS_NS;
}

/* Clears the buckets of SYN copies that have passed. */
static void advance_returns(carob_shared_service_t *service, uint64_t now_ns)
{
	uint64_t at = now_ns / BUCKET_NS;
	uint64_t passed = at - service->returns_at;

	if (passed > CAROB_ADMISSION_RETURN_BUCKETS)
		passed = CAROB_ADMISSION_RETURN_BUCKETS;
	for (uint64_t i = 0; i < passed; i++)
		service->returns[(at - i) % CAROB_ADMISSION_RETURN_BUCKETS] = 0;
	service->returns_at = at;
}

/* Returns whether the caller's remaining SYN copies will find room: whether the
 * slots that are this instance's serve its excess, the copies expected and the
 * arrivals by then. */
static bool expects_room(const decision_t *decision)
{
	/* From a SYN or a copy of it until the last copy. */
	static const double until_last_s[CAROB_SYN_COPY_LAST] = {0.6, 0.4};
	carob_shared_service_t *service = decision->service;
	const carob_admission_query_t *query = decision->query;
	double waiting = fmax(decision->load->own - decision->load->limit, 0);
	double served_per_s = 1000 * decision->slot_share /
			      carob_service_load_work_ms(&service->load);

	if (query->syn_copy >= CAROB_SYN_COPY_LAST ||
	    (decision->load->view_is_fresh &&
	     fmin(service->load.others, service->load.others_before) +
			     service->load.own_history[0] >
		     DEFER_LOAD_MAX * decision->load->room))
		return false;
	advance_returns(service, query->now_ns);
	for (size_t i = 0; i < CAROB_ADMISSION_RETURN_BUCKETS; i++)
		waiting += service->returns[i];
	for (size_t i = 0; i < CAROB_ADMISSION_PRIORITIES; i++)
		served_per_s -= service->arrivals_per_s[i];
	return waiting + 1 <= served_per_s * until_last_s[query->syn_copy];
}

static void expect_return(const decision_t *decision)
{
	static const uint64_t until_next_ns[CAROB_SYN_COPY_LAST] = {
		200 * CAROB_NS_PER_MS, 400 * CAROB_NS_PER_MS};
	const carob_admission_query_t *query = decision->query;
	uint64_t due = query->now_ns + until_next_ns[query->syn_copy];

	decision->service
		->returns[(due / BUCKET_NS) % CAROB_ADMISSION_RETURN_BUCKETS]++;
}

static void log_begin(const decision_t *decision,
		      const carob_upstream_table_t *table)
{
	const carob_shared_load_t *load = decision->load;

	CAROB_LOG(CAROB_EV_OVERLOAD_BEGUN,
		  CAROB_FIELD_CSTR(
			  "service",
			  carob_name_table_text(&table->services,
						decision->query->service)),
		  CAROB_FIELD_CSTR("reason",
				   carob_shared_reason_text(load->reason)),
		  CAROB_FIELD_U64("load", (uint64_t)(load->own + load->others)),
		  CAROB_FIELD_U64("room", (uint64_t)load->room),
		  CAROB_FIELD_U64("slots", (uint64_t)load->slots),
		  CAROB_FIELD_U64("own_load", (uint64_t)load->own),
		  CAROB_FIELD_U64("own_limit", (uint64_t)load->limit),
		  CAROB_FIELD_U64("instances", load->instances),
		  CAROB_FIELD_U64("view_age_ms", load->view_age_ms));
}

static void count_turned_away(const decision_t *decision,
			      const carob_upstream_table_t *table,
			      bool deferred)
{
	carob_overload_t *overload = &decision->service->overload;
	carob_shared_counters_t *counters = &decision->admission->counters;
	size_t reason = decision->load->reason;

	if (!overload->is_active) {
		*overload = (carob_overload_t){
			.is_active = true, .begun_ns = decision->query->now_ns};
		counters->overloads++;
		log_begin(decision, table);
	}
	overload->last_ns = decision->query->now_ns;
	if (deferred) {
		overload->deferred++;
		counters->deferred[reason][decision->class]++;
	} else {
		overload->refused++;
		counters->refused[reason][decision->class]++;
	}
}

static carob_admission_verdict_t turn_away(const decision_t *decision,
					   const carob_upstream_table_t *table)
{
	const carob_admission_query_t *query = decision->query;
	bool deferred = expects_room(decision);

	count_turned_away(decision, table, deferred);
	if (deferred) {
		expect_return(decision);
		return CAROB_ADMISSION_DEFER;
	}
	carob_caller_sketch_add(&decision->admission->refused, query->caller_ip,
				query->now_ns);
	return CAROB_ADMISSION_REFUSE;
}

carob_admission_verdict_t
carob_shared_admission_decide(carob_shared_load_t *out,
			      carob_shared_admission_t *admission,
			      const carob_upstream_table_t *table,
			      const carob_admission_query_t *query)
{
	carob_service_load_query_t load_query = {
		.service = query->service,
		.view = query->view,
		.now_ns = query->now_ns,
	};
	decision_t decision = {
		.admission = admission,
		.query = query,
		.load = out,
		.class = query->priority < CAROB_ADMISSION_PRIORITIES
				 ? query->priority
				 : CAROB_ADMISSION_PRIORITIES - 1,
	};

	*out = (carob_shared_load_t){0};
	decision.service =
		ensure_service(admission, query->service, query->now_ns);
	if (!decision.service)
		return CAROB_ADMISSION_ACCEPT;
	carob_service_load_update(&decision.service->load, table, &load_query);
	decision.depth = compute_depth(decision.service, query->target_ms);
	measure(&decision);
	count_arrival(&decision);
	out->reason = find_reason(&decision);
	if (out->reason != CAROB_SHARED_WITHIN_LIMIT &&
	    out->reason != CAROB_SHARED_FLOOR)
		return turn_away(&decision, table);
	carob_service_load_add_flow(&decision.service->load, query->now_ns);
	carob_caller_sketch_add(&admission->accepted, query->caller_ip,
				query->now_ns);
	return CAROB_ADMISSION_ACCEPT;
}

void carob_shared_admission_record_response(carob_shared_admission_t *admission,
					    carob_name_id_t service,
					    uint32_t ms, uint32_t target_ms)
{
	carob_shared_service_t *state;
	double work_ms;

	if (service >= admission->count)
		return;
	state = &admission->services[service];
	work_ms = carob_service_load_work_ms(&state->load);
	carob_service_load_record_response(&state->load, ms, target_ms);
	if (ms > target_ms)
		state->depth_factor -= DEPTH_DECREASE;
	else if (ms >= SHED_FACTOR * work_ms)
		state->depth_factor += DEPTH_INCREASE;
	state->depth_factor =
		fmin(fmax(state->depth_factor, DEPTH_MIN / DEPTH_MAX), 1);
}

static void end_overload(carob_overload_t *overload, const char *service)
{
	overload->is_active = false;
	CAROB_LOG(CAROB_EV_OVERLOAD_ENDED, CAROB_FIELD_CSTR("service", service),
		  CAROB_FIELD_U64("lasted_ms",
				  (overload->last_ns - overload->begun_ns) /
					  CAROB_NS_PER_MS),
		  CAROB_FIELD_U64("refused", overload->refused),
		  CAROB_FIELD_U64("deferred", overload->deferred));
}

void carob_shared_admission_check(carob_shared_admission_t *admission,
				  const carob_upstream_table_t *table,
				  uint64_t now_ns)
{
	for (size_t i = 0; i < admission->count; i++) {
		carob_overload_t *overload = &admission->services[i].overload;

		if (overload->is_active &&
		    now_ns - overload->last_ns >= OVERLOAD_END_NS)
			end_overload(overload,
				     carob_name_table_text(&table->services,
							   (carob_name_id_t)i));
	}
}

const carob_shared_counters_t *
carob_shared_admission_counters(const carob_shared_admission_t *admission)
{
	return &admission->counters;
}
