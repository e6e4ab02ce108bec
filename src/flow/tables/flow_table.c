#include "carobtrail/flow_table.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAP 1024
/* The table takes at most 42 MB, which the smallest class of machines can
 * spare for it. */
#define CAP_MAX (1024 * 1024)
/* Maximum load factor, in fifths. Beyond it the table grows by a quarter,
 * which lowers the load factor to 64 %; a flow takes at most 62.5 bytes. */
#define LOAD_FIFTHS_MAX 4
#define GROW_BY(cap)	((cap) / 4)

static uint64_t hash_endpoints(uint32_t caller_ip, uint16_t caller_port,
			       uint32_t route_ip, uint16_t route_port)
{
	uint64_t ips = (uint64_t)caller_ip << 32 | route_ip;
	uint64_t ports = (uint64_t)caller_port << 16 | route_port;

	return carob_hash_u64(carob_hash_u64(ips) ^ ports);
}

uint64_t carob_flow_hash(const carob_flow_packet_t *packet)
{
	return hash_endpoints(packet->caller.ip, packet->caller.port,
			      packet->route.ip, packet->route.port);
}

/* Maps a hash to a bucket of a table of any size (D. Lemire, "Fast Random
 * Integer Generation in an Interval", 2019, section 3). */
static size_t bucket_of(const carob_flow_table_t *table, uint64_t hash)
{
	return (size_t)(((hash >> 32) * table->cap) >> 32);
}

static size_t next_bucket(const carob_flow_table_t *table, size_t bucket)
{
	return bucket + 1 < table->cap ? bucket + 1 : 0;
}

/* Number of steps from bucket `from` to bucket `to`, with wrap-around. */
static size_t probe_distance(const carob_flow_table_t *table, size_t from,
			     size_t to)
{
	return to >= from ? to - from : to + table->cap - from;
}

static size_t home_bucket(const carob_flow_table_t *table,
			  const carob_flow_t *flow)
{
	return bucket_of(table,
			 hash_endpoints(flow->caller_ip, flow->caller_port,
					flow->route_ip, flow->route_port));
}

static bool matches(const carob_flow_t *flow, const carob_flow_packet_t *packet)
{
	return flow->caller_ip == packet->caller.ip &&
	       flow->caller_port == packet->caller.port &&
	       flow->route_ip == packet->route.ip &&
	       flow->route_port == packet->route.port;
}

carob_flow_t *carob_flow_table_find(const carob_flow_table_t *table,
				    const carob_flow_packet_t *packet)
{
	size_t bucket;

	if (table->cap == 0)
		return NULL;
	bucket = bucket_of(table, carob_flow_hash(packet));
	while (table->items[bucket].phase != CAROB_FLOW_FREE) {
		if (matches(&table->items[bucket], packet))
			return &table->items[bucket];
		bucket = next_bucket(table, bucket);
	}
	return NULL;
}

static carob_flow_t *find_free_bucket(const carob_flow_table_t *table,
				      size_t bucket)
{
	while (table->items[bucket].phase != CAROB_FLOW_FREE)
		bucket = next_bucket(table, bucket);
	return &table->items[bucket];
}

static int grow(carob_flow_table_t *table)
{
	carob_flow_table_t next = {
		.cap = table->cap ? table->cap + GROW_BY(table->cap)
				  : FIRST_CAP};

	if (next.cap > CAP_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "flow table is full: %zu flows",
				       table->count);
	next.items = calloc(next.cap, sizeof(*next.items));
	if (!next.items)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate flow table");
	for (size_t i = 0; i < table->cap; i++) {
		const carob_flow_t *flow = &table->items[i];

		if (flow->phase != CAROB_FLOW_FREE)
			*find_free_bucket(&next, home_bucket(&next, flow)) =
				*flow;
	}
	next.count = table->count;
	free(table->items);
	*table = next;
	return 0;
}

int carob_flow_table_add(carob_flow_t **out, carob_flow_table_t *table,
			 const carob_flow_packet_t *packet)
{
	carob_flow_t *flow;
	int error = 0;

	if (5 * (table->count + 1) > LOAD_FIFTHS_MAX * table->cap)
		error = grow(table);
	if (error)
		return error;
	flow = find_free_bucket(table,
				bucket_of(table, carob_flow_hash(packet)));
	memset(flow, 0, sizeof(*flow));
	flow->phase = CAROB_FLOW_OPENING;
	flow->caller_ip = packet->caller.ip;
	flow->caller_port = packet->caller.port;
	flow->route_ip = packet->route.ip;
	flow->route_port = packet->route.port;
	flow->upstream = CAROB_UPSTREAM_NONE;
	table->count++;
	*out = flow;
	return 0;
}

/* Deletes from a table with linear probing: moves the following flows back, so
 * that no probe sequence ends at the free bucket before it reaches its flow
 * (Knuth, The Art of Computer Programming, vol. 3, 6.4, algorithm R). */
void carob_flow_table_remove(carob_flow_table_t *table, carob_flow_t *flow)
{
	size_t hole = (size_t)(flow - table->items);
	size_t bucket = hole;

	for (;;) {
		size_t home;

		bucket = next_bucket(table, bucket);
		if (table->items[bucket].phase == CAROB_FLOW_FREE)
			break;
		home = home_bucket(table, &table->items[bucket]);
		if (probe_distance(table, home, bucket) <
		    probe_distance(table, hole, bucket))
			continue;
		table->items[hole] = table->items[bucket];
		hole = bucket;
	}
	table->items[hole].phase = CAROB_FLOW_FREE;
	table->count--;
}

void carob_flow_table_sweep(carob_flow_table_t *table, size_t buckets,
			    carob_flow_visitor_t *visitor)
{
	carob_flow_table_sweep_at(table, &table->sweep_at, buckets, visitor);
}

void carob_flow_table_sweep_at(carob_flow_table_t *table, size_t *at,
			       size_t buckets, carob_flow_visitor_t *visitor)
{
	if (buckets > table->cap)
		buckets = table->cap;
	for (size_t i = 0; i < buckets; i++) {
		carob_flow_t *flow;

		if (*at >= table->cap)
			*at = 0;
		flow = &table->items[*at];
		if (flow->phase != CAROB_FLOW_FREE &&
		    visitor->visit(visitor, flow))
			carob_flow_table_remove(table, flow);
		else
			++*at;
	}
}

void carob_flow_table_dispose(carob_flow_table_t *table)
{
	free(table->items);
	memset(table, 0, sizeof(*table));
}
