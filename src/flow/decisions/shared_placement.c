/* Placement by the load that all instances put on the upstreams: first a zone,
 * then the better of two upstreams of it, both by the hash of the flow. */
#include "carobtrail/rng.h"
#include "flow/decisions/placement_priv.h"

#include <float.h>
#include <math.h>

/* Upstreams that are compared. With more of them, instances with the same view
 * send more of their new flows to the same upstreams before it is renewed. */
#define CANDIDATES 2
/* Part of the difference between the loads that others have reported which is
 * taken to last until now. Requests end within 40 ms and reports are up to 2 s
 * old; taken in full, they draw too many flows to what was idle then. */
#define LASTING_PART 0.3
/* Positions that are tried by hash to find as many candidates. */
#define PROBES 8
/* The load of a zone is measured this often, one zone at a choice, and each
 * time on so many members of its group in turn: a choice must not cost more the
 * more upstreams there are. */
#define MEASURE_NS	(50 * CAROB_NS_PER_MS)
#define MEASURE_MEMBERS 12
/* Time constants of the load of a zone. It falls more slowly than it rises, so
 * that a zone whose reports are missing does not look idle at once. */
#define RISE_S 0.3
#define FALL_S 1.5
/* Time constant of the load of this instance, which is a few requests only. */
#define OWN_S 2.0
/* Requests per slot below which a new request hardly waits: with two slots an
 * upstream. */
#define FREE_PER_SLOT 0.7
/* Round trip to another zone, as the load per slot that makes a request wait
 * as long: 2 ms of about 40 ms. */
#define OTHER_ZONE_PER_SLOT 0.05
/* The share of flows that are placed in another zone follows the difference of
 * the waits at once with this gain, and its lasting part with this time
 * constant. A change shows in the view after up to 2 s and in the load of long
 * flows later: a lasting part alone, with 2 s, swung between 0.2 and 0.6 every
 * 12 s. */
#define SPILL_GAIN 0.5
#define SPILL_S	   8.0
/* Largest share of flows that leave a zone in which upstreams answer. */
#define SPILL_MAX 0.9
/* Longest time between two measurements that counts towards a change. */
#define STEP_S_MAX 0.5
/* How much more an upstream costs whose responses are all late or missing while
 * those of its zone are not. */
#define LATE_COST 3.0
/* Factor of the cost from which on an upstream is one that may recover: a
 * quarter of its responses more than in its zone are late. */
#define LATE_FACTOR 1.75
/* Unanswered SYNs to several upstreams that make a zone silent if none answers.
 * An instance with few flows may see two at hanging upstreams of its own zone
 * between two answers; leaving another zone costs nothing. */
#define SILENT_SYNS	 2
#define SILENT_SYNS_HOME 4
/* Salts of the independent choices for one flow. */
enum salt {
	SALT_ZONE = 2, /* 1 decides on recovery; see placement.c */
	SALT_CANDIDATE,
};

typedef struct shared_query {
	const carob_upstream_table_t *table;
	const carob_placement_query_t *flow;
	bool is_fresh;	  /* the load of others is known */
	double instances; /* factor of the own load if it is not */
} shared_query_t;

typedef struct candidate {
	carob_upstream_index_t index;
	int rank;
	bool is_late; /* later than its zone */
	double cost;
} candidate_t;

static const candidate_t no_candidate = {
	.index = CAROB_UPSTREAM_NONE,
	.rank = CAROB_PLACEMENT_UNUSABLE,
	.cost = DBL_MAX,
};

bool carob_placement_is_shared(const carob_placement_query_t *query)
{
	return carob_load_view_is_fresh(query->view, query->now_ns) ||
	       carob_load_view_zone_instances(query->view, query->now_ns) > 0;
}

static uint64_t hash_of(const shared_query_t *query, uint64_t salt)
{
	return carob_hash_u64(query->flow->flow_hash +
			      salt * 0x9e3779b97f4a7c15U);
}

/* Returns a number in [0, 1) that is the same at each instance. */
static double unit_of(const shared_query_t *query, uint64_t salt)
{
	return (double)(hash_of(query, salt) >> 11) * 0x1p-53;
}

static bool is_home(const shared_query_t *query,
		    const carob_upstream_group_t *group)
{
	return group->zone == query->flow->home_zone;
}

/* Load of an upstream in requests, with a part for each idle flow. */
static double load_of(const shared_query_t *query,
		      const carob_upstream_t *upstream)
{
	double own = upstream->pending + carob_placement_idle_load(upstream);

	return query->is_fresh ? own + upstream->others_load
			       : own * query->instances;
}

/* Load of an upstream as it is expected to be now, for comparisons within its
 * group. */
static double expected_load_of(const shared_query_t *query,
			       const carob_upstream_group_t *group,
			       const carob_upstream_t *upstream)
{
	double load = load_of(query, upstream);

	if (!query->is_fresh)
		return load;
	return load + (1 - LASTING_PART) *
			      (group->load.others_load - upstream->others_load);
}

/* Share of the responses that are late or missing. A SYN that is unanswered now
 * counts more than what others have reported. */
static double late_of(const shared_query_t *query,
		      const carob_upstream_t *upstream)
{
	if (upstream->unanswered_syns > 0 || upstream->refused_syns > 0)
		return 1;
	return query->is_fresh ? upstream->others_late : 0;
}

/* Measuring groups. */

/* Sums over the members of a group. */
typedef struct sums {
	double slots;
	double load;
	double late;
	double others_load;
	double own_pending;
	double own_idle;
	uint32_t count; /* members whose rank is good */
	int rank;
} sums_t;

/* Returns how much more an upstream costs because it is later than the others
 * of its group. */
static double late_factor(const shared_query_t *query,
			  const carob_upstream_group_t *group,
			  const carob_upstream_t *upstream)
{
	return 1 +
	       LATE_COST * fmax(0, late_of(query, upstream) - group->load.late);
}

/* Adds a member. What waits at one that is late or avoided does not make new
 * requests wait, since they go to others. */
static void add_member(sums_t *sums, const shared_query_t *query,
		       const carob_upstream_group_t *group,
		       carob_upstream_index_t index)
{
	const carob_upstream_t *upstream = &query->table->items[index];
	int rank = carob_placement_rank(upstream, index, query->flow);
	double weight = 1 / late_factor(query, group, upstream);

	if (rank < sums->rank)
		sums->rank = rank;
	if (rank > CAROB_PLACEMENT_STEADY_RANK)
		return;
	sums->count++;
	sums->slots += weight * carob_upstream_usable_slots(
					upstream, query->flow->now_ns);
	sums->load += weight * load_of(query, upstream);
	sums->late += late_of(query, upstream);
	sums->others_load += upstream->others_load;
	sums->own_pending += upstream->pending;
	sums->own_idle += carob_placement_idle_load(upstream);
}

/* Adds the members whose turn it is, scaled to the whole group. */
static void add_members(sums_t *sums, carob_upstream_group_t *group,
			const shared_query_t *query)
{
	uint32_t count = group->count < MEASURE_MEMBERS ? group->count
							: MEASURE_MEMBERS;
	uint32_t at = group->load.next_member;
	double scale = count > 0 ? (double)group->count / count : 0;

	for (uint32_t i = 0; i < count; i++, at++) {
		if (at >= group->count)
			at = 0;
		add_member(sums, query, group, group->members[at]);
	}
	group->load.next_member = at;
	sums->slots *= scale;
	sums->load *= scale;
	sums->own_pending *= scale;
	sums->own_idle *= scale;
}

static double smooth(double old, double new, double step_s, double time_s)
{
	return old + (new - old) * (1 - exp(-step_s / time_s));
}

/* Returns the share of the load that is requests in progress rather than idle
 * flows: as it is on the upstreams of the own zone, for this instance. */
static double busy_share(const carob_group_load_t *home)
{
	double whole = home->own_pending + home->own_idle;

	return whole > 0 ? home->own_pending / whole : 1;
}

static void set_load(carob_group_load_t *load, const sums_t *sums,
		     double step_s, bool is_first)
{
	load->slots = sums->slots;
	load->late = sums->count ? sums->late / sums->count : 0;
	load->others_load = sums->count ? sums->others_load / sums->count : 0;
	load->rank = sums->rank;
	load->own_pending = is_first ? sums->own_pending
				     : smooth(load->own_pending,
					      sums->own_pending, step_s, OWN_S);
	load->own_idle = is_first ? sums->own_idle
				  : smooth(load->own_idle, sums->own_idle,
					   step_s, OWN_S);
}

static void set_per_slot(carob_group_load_t *load, double per_slot,
			 double step_s, bool is_first)
{
	double time_s = per_slot > load->per_slot ? RISE_S : FALL_S;

	load->per_slot =
		is_first ? per_slot
			 : smooth(load->per_slot, per_slot, step_s, time_s);
}

static void measure_group(carob_upstream_group_t *group,
			  const shared_query_t *query,
			  const carob_upstream_group_t *home, double step_s)
{
	sums_t sums = {.rank = CAROB_PLACEMENT_UNUSABLE};
	carob_group_load_t *load = &group->load;
	bool is_first = load->measured_ns == 0;
	double per_slot;

	add_members(&sums, group, query);
	set_load(load, &sums, step_s, is_first);
	per_slot = sums.slots > 0 ? sums.load / sums.slots : 0;
	if (home)
		per_slot *= busy_share(&home->load);
	/* What the instances of another zone do is not known: their zone is
	 * taken as one without free slots. */
	if (!query->is_fresh && group != home)
		per_slot += FREE_PER_SLOT;
	set_per_slot(load, per_slot, step_s, is_first);
	load->measured_ns = query->flow->now_ns;
}

static double wait_of(const carob_group_load_t *load)
{
	return fmax(0, load->per_slot - FREE_PER_SLOT);
}

/* Moves the share of flows that another zone gets towards equal waiting. It
 * falls while the own zone has free slots. */
static void adapt_spill(carob_group_load_t *load,
			const carob_group_load_t *home, double step_s)
{
	double gain = wait_of(home) - wait_of(load) - OTHER_ZONE_PER_SLOT -
		      fmax(0, FREE_PER_SLOT - home->per_slot);

	gain /= home->per_slot + load->per_slot + OTHER_ZONE_PER_SLOT;
	load->spill_lasting += gain * step_s / SPILL_S;
	load->spill_lasting = fmin(fmax(load->spill_lasting, 0), SPILL_MAX);
	load->spill = load->spill_lasting + SPILL_GAIN * gain;
	load->spill = fmin(fmax(load->spill, 0), SPILL_MAX);
}

static void limit_spill(const shared_query_t *query)
{
	double sum = 0;

	CAROB_UPSTREAM_GROUPS_OF (group, query->table, query->flow->service)
		sum += group->load.spill;
	if (sum <= SPILL_MAX)
		return;
	CAROB_UPSTREAM_GROUPS_OF (group, query->table, query->flow->service)
		group->load.spill *= SPILL_MAX / sum;
}

static carob_upstream_group_t *home_group(const shared_query_t *query)
{
	CAROB_UPSTREAM_GROUPS_OF (group, query->table, query->flow->service)
		if (is_home(query, group))
			return group;
	return NULL;
}

/* Measures a group if the last time was long enough ago. */
static void measure_if_due(const shared_query_t *query,
			   carob_upstream_group_t *group,
			   const carob_upstream_group_t *home)
{
	uint64_t passed_ns = query->flow->now_ns - group->load.measured_ns;
	double step_s = fmin((double)passed_ns / CAROB_NS_PER_S, STEP_S_MAX);

	if (group->load.measured_ns != 0 && passed_ns < MEASURE_NS)
		return;
	measure_group(group, query, home, step_s);
	if (home && group != home) {
		adapt_spill(&group->load, &home->load, step_s);
		limit_spill(query);
	}
}

/* Measures the group of the service that was measured the longest ago, and all
 * that never were. */
static void measure_groups(const shared_query_t *query)
{
	carob_placement_query_t flow = *query->flow;
	shared_query_t any = *query;
	carob_upstream_group_t *home = home_group(query);
	carob_upstream_group_t *oldest = home;

	flow.except = CAROB_UPSTREAM_NONE;
	flow.once = true;
	any.flow = &flow;
	if (home && home->load.measured_ns == 0)
		measure_if_due(&any, home, home);
	CAROB_UPSTREAM_GROUPS_OF (group, query->table, flow.service) {
		if (group->load.measured_ns == 0)
			measure_if_due(&any, group, home);
		if (!oldest ||
		    group->load.measured_ns < oldest->load.measured_ns)
			oldest = group;
	}
	if (oldest)
		measure_if_due(&any, oldest, home);
}

/* The choice of a zone. */

/* Returns the best rank that a member of a group has had. */
static int best_rank(const shared_query_t *query)
{
	int best = CAROB_PLACEMENT_UNUSABLE;

	CAROB_UPSTREAM_GROUPS_OF (group, query->table, query->flow->service)
		if (group->load.rank < best)
			best = group->load.rank;
	return best;
}

static bool is_open(const shared_query_t *query,
		    const carob_upstream_group_t *group, int rank)
{
	uint32_t silent = is_home(query, group) ? SILENT_SYNS_HOME
						: SILENT_SYNS;

	return group->count > 0 && group->load.rank <= rank &&
	       (group->unanswered < silent ||
		carob_placement_seeks_recovery(query->flow));
}

/* Returns how much of the flows a group gets. While the own zone is open, it
 * gets what the others don't; otherwise the others share all by free slots. */
static double share_of(const carob_upstream_group_t *group, bool home_is_open)
{
	if (home_is_open)
		return group->load.spill;
	return group->load.slots / (FREE_PER_SLOT + group->load.per_slot);
}

static carob_upstream_group_t *choose_group(const shared_query_t *query,
					    int rank)
{
	carob_upstream_group_t *home = home_group(query);
	carob_upstream_group_t *chosen = NULL;
	bool home_is_open = home && is_open(query, home, rank);
	carob_upstream_index_t except = query->flow->except;
	double point = unit_of(query, SALT_ZONE);
	double sum = 0;

	/* A flow that has waited for another zone in vain stays at home. */
	if (home_is_open && except != CAROB_UPSTREAM_NONE &&
	    query->table->items[except].zone != home->zone)
		return home;
	CAROB_UPSTREAM_GROUPS_OF (group, query->table, query->flow->service)
		if (group != home && is_open(query, group, rank))
			sum += share_of(group, home_is_open);
	if (!home_is_open)
		point *= sum;
	CAROB_UPSTREAM_GROUPS_OF (group, query->table, query->flow->service) {
		if (group == home || !is_open(query, group, rank))
			continue;
		chosen = group;
		point -= share_of(group, home_is_open);
		if (point < 0)
			return group;
	}
	return home_is_open ? home : chosen;
}

/* The choice within a zone. */

static candidate_t make_candidate(const shared_query_t *query,
				  const carob_upstream_group_t *group,
				  carob_upstream_index_t index)
{
	const carob_upstream_t *upstream = &query->table->items[index];
	double factor = late_factor(query, group, upstream);
	candidate_t candidate = {
		.index = index,
		.rank = carob_placement_rank(upstream, index, query->flow),
		.is_late = factor >= LATE_FACTOR,
	};

	/* The new request counts, so that of two idle upstreams the late one
	 * costs more. */
	candidate.cost =
		(1 + expected_load_of(query, group, upstream)) /
		carob_upstream_usable_slots(upstream, query->flow->now_ns) *
		factor;
	return candidate;
}

static bool is_better(const candidate_t *a, const candidate_t *b)
{
	return a->rank != b->rank ? a->rank < b->rank : a->cost < b->cost;
}

static uint32_t position_of(const shared_query_t *query,
			    const carob_upstream_group_t *group, uint32_t probe)
{
	uint64_t hash = hash_of(query, SALT_CANDIDATE + probe);

	return (uint32_t)(((hash >> 32) * group->count) >> 32);
}

/* Returns the first member from a position on whose rank is good enough. */
static candidate_t walk_group(const shared_query_t *query,
			      const carob_upstream_group_t *group,
			      uint32_t position, int rank)
{
	for (uint32_t i = 0; i < group->count; i++) {
		carob_upstream_index_t index =
			group->members[(position + i) % group->count];
		candidate_t candidate = make_candidate(query, group, index);

		if (candidate.rank <= rank)
			return candidate;
	}
	return no_candidate;
}

/* Chooses the better of some members whose rank is good enough. */
static candidate_t choose_member(const shared_query_t *query,
				 const carob_upstream_group_t *group, int rank)
{
	candidate_t best = no_candidate;
	uint32_t found = 0;

	for (uint32_t i = 0; i < PROBES && found < CANDIDATES; i++) {
		carob_upstream_index_t index =
			group->members[position_of(query, group, i)];
		candidate_t candidate;

		if (index == best.index)
			continue;
		candidate = make_candidate(query, group, index);
		if (candidate.rank > rank)
			continue;
		found++;
		if (is_better(&candidate, &best))
			best = candidate;
		if (candidate.is_late && carob_placement_is_trial(query->flow))
			break;
	}
	if (found > 0)
		return best;
	return walk_group(query, group, position_of(query, group, PROBES),
			  rank);
}

/* Compares all upstreams of the service. */
static carob_upstream_index_t choose_of_all(const shared_query_t *query)
{
	candidate_t best = no_candidate;

	CAROB_UPSTREAM_GROUPS_OF (group, query->table, query->flow->service) {
		for (uint32_t i = 0; i < group->count; i++) {
			candidate_t candidate =
				make_candidate(query, group, group->members[i]);

			if (!is_home(query, group))
				candidate.cost += OTHER_ZONE_PER_SLOT;
			if (candidate.rank < CAROB_PLACEMENT_UNUSABLE &&
			    is_better(&candidate, &best))
				best = candidate;
		}
	}
	return best.index;
}

carob_upstream_index_t
carob_placement_choose_shared(const carob_upstream_table_t *table,
			      const carob_placement_query_t *flow)
{
	shared_query_t query = {
		.table = table,
		.flow = flow,
		.is_fresh = carob_load_view_is_fresh(flow->view, flow->now_ns),
		.instances = carob_load_view_zone_instances(flow->view,
							    flow->now_ns),
	};
	carob_upstream_group_t *group;
	candidate_t chosen;
	int rank;

	measure_groups(&query);
	rank = best_rank(&query);
	group = rank <= CAROB_PLACEMENT_STEADY_RANK ? choose_group(&query, rank)
						    : NULL;
	if (!group)
		return choose_of_all(&query);
	chosen = choose_member(&query, group, rank);
	return chosen.index != CAROB_UPSTREAM_NONE ? chosen.index
						   : choose_of_all(&query);
}
