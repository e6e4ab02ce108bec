#include "flow/decisions/placement_priv.h"

#include "carobtrail/failure_detector.h"
#include "carobtrail/pace.h"
#include "carobtrail/rng.h"

/* How much lower the load in another zone has to be, in requests per slot. At
 * this margin one request waits for each slot of the own zone. */
#define OTHER_ZONE_MARGIN 1.0

/* Preference classes of upstreams, the most preferred first. */
typedef enum candidate_class {
	CANDIDATE_GOOD,
	CANDIDATE_LAPSED,
	CANDIDATE_EJECTED,
	CANDIDATE_AVOIDED,
	CANDIDATE_EXCEPTED,
	CANDIDATE_UNUSABLE,
} candidate_class_t;

_Static_assert(CANDIDATE_LAPSED == CAROB_PLACEMENT_STEADY_RANK,
	       "classes that change with each flow come after the steady ones");

/* One in so many flows is placed without regard to evidence against an upstream
 * or its zone, so that a recovery is noticed. */
#define RECOVERY_SHARE 8
/* Salt of the hash by which these flows are chosen. */
#define RECOVERY_SALT 0x9e3779b97f4a7c15U

typedef struct candidate {
	candidate_class_t class;
	double cost;
	uint64_t tie_break;
} candidate_t;

bool carob_placement_seeks_recovery(const carob_placement_query_t *query)
{
	return carob_hash_u64(query->flow_hash + RECOVERY_SALT) %
		       RECOVERY_SHARE ==
	       0;
}

bool carob_placement_is_trial(const carob_placement_query_t *query)
{
	return !query->once && carob_placement_seeks_recovery(query);
}

static candidate_class_t class_of(const carob_upstream_t *upstream,
				  carob_upstream_index_t index,
				  const carob_placement_query_t *query)
{
	if (!carob_upstream_accepts(upstream))
		return CANDIDATE_UNUSABLE;
	if (index == query->except)
		return CANDIDATE_EXCEPTED;
	if (!carob_pace_allows(upstream, query->now_ns))
		return CANDIDATE_UNUSABLE;
	if (carob_failure_detector_is_avoided(upstream, query->now_ns))
		return CANDIDATE_AVOIDED;
	if (upstream->outlier.ejected && !carob_placement_is_trial(query))
		return CANDIDATE_EJECTED;
	if (upstream->state == CAROB_UPSTREAM_LAPSED)
		return CANDIDATE_LAPSED;
	return CANDIDATE_GOOD;
}

int carob_placement_rank(const carob_upstream_t *upstream,
			 carob_upstream_index_t index,
			 const carob_placement_query_t *query)
{
	candidate_class_t class = class_of(upstream, index, query);

	return class == CANDIDATE_UNUSABLE ? CAROB_PLACEMENT_UNUSABLE
					   : (int)class;
}

double carob_placement_idle_load(const carob_upstream_t *upstream)
{
	if (upstream->open_flows <= upstream->pending)
		return 0;
	return CAROB_IDLE_FLOW_LOAD *
	       (upstream->open_flows - upstream->pending);
}

/* Idle load per slot of the own zone. It is taken as an estimate for other
 * zones, too: their instances keep about as many idle flows on their
 * upstreams, which this instance does not see. */
static double home_idle_load(const carob_upstream_table_t *table,
			     const carob_placement_query_t *query)
{
	double load = 0;
	double slots = 0;

	CAROB_UPSTREAMS_OF (i, table, query->service) {
		const carob_upstream_t *upstream = &table->items[i];

		if (!carob_upstream_accepts(upstream) ||
		    upstream->zone != query->home_zone)
			continue;
		load += carob_placement_idle_load(upstream);
		slots += upstream->slots;
	}
	return slots > 0 ? load / slots : 0;
}

static double cost_of(const carob_upstream_t *upstream,
		      const carob_placement_query_t *query, double home_idle)
{
	double slots = carob_upstream_usable_slots(upstream, query->now_ns);
	double load = upstream->pending + carob_placement_idle_load(upstream);

	if (upstream->zone == query->home_zone)
		return load / slots;
	return load / slots + home_idle + OTHER_ZONE_MARGIN;
}

static bool is_better(const candidate_t *a, const candidate_t *b)
{
	if (a->class != b->class)
		return a->class < b->class;
	if (a->cost != b->cost)
		return a->cost < b->cost;
	return a->tie_break > b->tie_break;
}

static carob_upstream_index_t
choose_by_own_load(const carob_upstream_table_t *table,
		   const carob_placement_query_t *query)
{
	carob_upstream_index_t best_index = CAROB_UPSTREAM_NONE;
	candidate_t best = {.class = CANDIDATE_UNUSABLE};
	double home_idle = home_idle_load(table, query);

	CAROB_UPSTREAMS_OF (i, table, query->service) {
		const carob_upstream_t *upstream = &table->items[i];
		candidate_t candidate = {.class = class_of(upstream, i, query)};

		if (candidate.class == CANDIDATE_UNUSABLE)
			continue;
		candidate.cost = cost_of(upstream, query, home_idle);
		candidate.tie_break =
			carob_hash_u64(query->flow_hash ^ upstream->number);
		if (best_index == CAROB_UPSTREAM_NONE ||
		    is_better(&candidate, &best)) {
			best = candidate;
			best_index = i;
		}
	}
	return best_index;
}

carob_upstream_index_t
carob_placement_choose(const carob_upstream_table_t *table,
		       const carob_placement_query_t *query)
{
	return carob_placement_is_shared(query)
		       ? carob_placement_choose_shared(table, query)
		       : choose_by_own_load(table, query);
}
