#include "placing_ways.h"

#include "carobtrail/rng.h"

/* Highest load of an upstream, as a multiple of the mean load (Mirrokni, Thorup
 * and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018). */
#define LOAD_BOUND_FACTOR 1.25

static bool is_candidate(const carob_upstream_table_t *table,
			 const carob_placement_query_t *query,
			 carob_upstream_index_t index)
{
	return index != query->except &&
	       carob_upstream_accepts(&table->items[index]);
}

static double relative_load(const carob_upstream_t *upstream)
{
	return (double)upstream->open_flows / upstream->slots;
}

static uint64_t upstream_rank(const carob_upstream_t *upstream,
			      uint64_t flow_hash)
{
	return carob_hash_u64(flow_hash ^ upstream->number);
}

/* Returns the mean load of the candidates, including the new flow. */
static double mean_load(const carob_upstream_table_t *table,
			const carob_placement_query_t *query)
{
	double flows = 1;
	double slots = 0;

	CAROB_UPSTREAMS_OF (i, table, query->service) {
		if (!is_candidate(table, query, i))
			continue;
		flows += table->items[i].open_flows;
		slots += table->items[i].slots;
	}
	return slots > 0 ? flows / slots : 0;
}

/* Rendezvous hashing: returns the candidate with the highest rank for the hash
 * of the flow, among those whose load is at most `load_max` (Thaler and
 * Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996). */
static carob_upstream_index_t
highest_ranked(const carob_upstream_table_t *table,
	       const carob_placement_query_t *query, double load_max)
{
	carob_upstream_index_t best = CAROB_UPSTREAM_NONE;
	uint64_t best_rank = 0;

	CAROB_UPSTREAMS_OF (i, table, query->service) {
		uint64_t rank =
			upstream_rank(&table->items[i], query->flow_hash);

		if (!is_candidate(table, query, i) ||
		    relative_load(&table->items[i]) > load_max)
			continue;
		if (best == CAROB_UPSTREAM_NONE || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

static carob_upstream_index_t
choose_hashed(const carob_upstream_table_t *table,
	      const carob_placement_query_t *query)
{
	return highest_ranked(table, query, 1e9);
}

static carob_upstream_index_t
choose_bounded(const carob_upstream_table_t *table,
	       const carob_placement_query_t *query)
{
	carob_upstream_index_t best = highest_ranked(
		table, query, LOAD_BOUND_FACTOR * mean_load(table, query));

	return best == CAROB_UPSTREAM_NONE ? choose_hashed(table, query) : best;
}

/* Returns the less loaded of two upstreams that are chosen by two hashes of the
 * flow (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
 * 2001). */
static carob_upstream_index_t
choose_of_two(const carob_upstream_table_t *table,
	      const carob_placement_query_t *query)
{
	carob_placement_query_t second_query = *query;
	carob_upstream_index_t first = choose_hashed(table, query);
	carob_upstream_index_t second;

	second_query.flow_hash = carob_hash_u64(query->flow_hash);
	second = choose_hashed(table, &second_query);
	if (second == CAROB_UPSTREAM_NONE)
		return first;
	return relative_load(&table->items[second]) <
			       relative_load(&table->items[first])
		       ? second
		       : first;
}

/* Returns a random candidate. The hash of the flow, which is uniformly
 * distributed, is the source of randomness. */
static carob_upstream_index_t
choose_random(const carob_upstream_table_t *table,
	      const carob_placement_query_t *query)
{
	uint64_t hash = query->flow_hash;
	carob_upstream_index_t index;

	do {
		hash = carob_hash_u64(hash);
		index = (carob_upstream_index_t)(hash % table->count);
	} while (!is_candidate(table, query, index));
	return index;
}

const placement_policy_t placement_policies[PLACEMENT_POLICIES] = {
	{"least load and refusing", true, carob_placement_choose},
	{"least load", false, carob_placement_choose},
	{"better of two", false, choose_of_two},
	{"bounded hashing", false, choose_bounded},
	{"hashing", false, choose_hashed},
	{"random", false, choose_random},
};
