/*
 * Measures the cost of membership for an instance against the number of
 * instances and against the replacements per hour, in memory, with encoded
 * messages and a manual clock. Prints one JSON object.
 *
 * Usage: bench-slopes-membership [seed]
 */
#include "carobtrail/membership.h"
#include "core/membership/gossip_links.h"
#include "gossip_sim.h"

#include <inttypes.h>
#include <time.h>

#define ZONES_COUNT	9
#define SETTLE_MS	40000
#define MEASURE_MS	30000
#define JOIN_LIMIT_MS	120000
#define DETECT_MS	20000
#define MS_PER_HOUR	3600000
#define PLANNED_MEMBERS 17000
#define TABLE_CHANGES	200

static const size_t sizes[] = {5, 20, 50, 100, 200, 400, 800};
static const unsigned int rates[] = {0, 30, 120, 500, 2000};

static void zone_name(char *out, size_t cap, size_t i)
{
	snprintf(out, cap, "zone-%zu", i % ZONES_COUNT);
}

static uint64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * CAROB_NS_PER_S + (uint64_t)ts.tv_nsec;
}

static void start_instance(sim_t *sim, size_t i)
{
	char zone[CAROB_ZONE_NAME_MAX + 1];

	zone_name(zone, sizeof(zone), i);
	sim_start(sim, i, zone);
}

static uint64_t sum_bytes(const sim_t *sim)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < sim->count; i++)
		sum += sim->nodes[i].bytes;
	return sum;
}

static uint64_t max_bytes(const sim_t *sim)
{
	uint64_t max = 0;

	for (size_t i = 0; i < sim->count; i++)
		if (sim->nodes[i].bytes > max)
			max = sim->nodes[i].bytes;
	return max;
}

static void reset_bytes(sim_t *sim)
{
	for (size_t i = 0; i < sim->count; i++)
		sim->nodes[i].bytes = sim->nodes[i].messages = 0;
}

/* Returns whether no running instance regards `failed` as alive and reachable
 * any more. Without `everywhere`, only instances in `victim`'s zone count. */
static bool all_know_failure(sim_t *sim, size_t victim,
			     carob_instance_id_t failed, bool everywhere)
{
	for (size_t i = 0; i < sim->count; i++) {
		const carob_member_t *member;

		if (!sim->nodes[i].gossip ||
		    (!everywhere && i % ZONES_COUNT != victim % ZONES_COUNT))
			continue;
		member =
			carob_membership_find(sim->nodes[i].membership, failed);
		if (member && member->state == CAROB_MEMBER_ALIVE &&
		    carob_membership_is_reachable(sim->nodes[i].membership,
						  failed))
			return false;
	}
	return true;
}

static uint64_t run_until_known(sim_t *sim, size_t victim,
				carob_instance_id_t failed, bool everywhere)
{
	uint64_t ms = 0;

	while (ms < DETECT_MS &&
	       !all_know_failure(sim, victim, failed, everywhere)) {
		sim_step(sim);
		ms += SIM_STEP_NS / CAROB_NS_PER_MS;
	}
	return ms;
}

/* Starts instance `i` and returns the bytes that it sends and receives until it
 * knows all instances. */
static uint64_t measure_join(sim_t *sim, size_t i)
{
	size_t known = 0;

	sim->nodes[i].bytes = 0;
	start_instance(sim, i);
	for (uint64_t ms = 0; ms < DETECT_MS && known < sim->count; ms += 5) {
		sim_step(sim);
		carob_membership_alive(sim->nodes[i].membership, &known);
	}
	return sim->nodes[i].bytes;
}

static void measure_size(size_t count, uint64_t seed, bool first)
{
	size_t victim = count / 2;
	carob_instance_id_t failed;
	uint64_t join_ms;
	uint64_t start_ns;
	uint64_t cpu;
	uint64_t in_zone;
	size_t memory;
	sim_t sim;

	sim_init(&sim, count, seed);
	for (size_t i = 0; i < count; i++)
		start_instance(&sim, i);
	join_ms = sim_run_until_converged(&sim, JOIN_LIMIT_MS);
	sim_run_ms(&sim, SETTLE_MS);
	reset_bytes(&sim);
	start_ns = cpu_ns();
	sim_run_ms(&sim, MEASURE_MS);
	cpu = cpu_ns() - start_ns;
	memory = carob_membership_memory_bytes(sim.nodes[0].membership) +
		 carob_gossip_memory_bytes(sim.nodes[0].gossip);
	printf("%s{\"instances\":%zu,\"start_together_ms\":%" PRIu64
	       ",\"idle_bytes_per_s\":%" PRIu64
	       ",\"idle_bytes_per_s_most\":%" PRIu64
	       ",\"idle_cpu_us_per_s\":%.1f,\"memory_bytes\":%zu",
	       first ? "" : ",", count, join_ms,
	       sum_bytes(&sim) * 1000 / MEASURE_MS / count,
	       max_bytes(&sim) * 1000 / MEASURE_MS,
	       (double)cpu / 1000 / count / (MEASURE_MS / 1000.0), memory);
	failed = sim.nodes[victim].self.id;
	sim_kill(&sim, victim);
	in_zone = run_until_known(&sim, victim, failed, false);
	printf(",\"dead_known_in_zone_ms\":%" PRIu64
	       ",\"dead_known_everywhere_ms\":%" PRIu64,
	       in_zone, in_zone + run_until_known(&sim, victim, failed, true));
	sim_run_ms(&sim, 5000);
	printf(",\"join_bytes\":%" PRIu64 "}", measure_join(&sim, victim));
	sim_dispose(&sim);
	fflush(stdout);
}

/* Replaces an instance: it leaves in a graceful stop and is started again with
 * the same id and a new incarnation. */
static void replace_instance(sim_t *sim, size_t i)
{
	carob_instance_id_t no_successor = {0, 0};
	sim_node_t *node = &sim->nodes[i];

	carob_membership_set_self(node->membership, CAROB_MEMBER_LEAVING,
				  no_successor);
	carob_gossip_announce(node->gossip);
	sim_run_ms(sim, 300);
	carob_membership_set_self(node->membership, CAROB_MEMBER_LEFT,
				  no_successor);
	carob_gossip_announce(node->gossip);
	sim_run_ms(sim, 200);
	sim_kill(sim, i);
	start_instance(sim, i);
}

static void measure_rate(unsigned int per_hour, uint64_t seed, bool first)
{
	uint64_t period_ms = per_hour ? MS_PER_HOUR / per_hour : MEASURE_MS;
	unsigned int replaced = 0;
	uint64_t elapsed_ms = 0;
	sim_t sim;

	sim_init(&sim, 200, seed);
	for (size_t i = 0; i < sim.count; i++)
		start_instance(&sim, i);
	sim_run_until_converged(&sim, JOIN_LIMIT_MS);
	sim_run_ms(&sim, SETTLE_MS);
	reset_bytes(&sim);
	while (elapsed_ms < 6ULL * MEASURE_MS) {
		if (per_hour) {
			replace_instance(&sim, 10 + replaced % 180);
			replaced++;
			elapsed_ms += 500;
		}
		sim_run_ms(&sim, period_ms - 500);
		elapsed_ms += period_ms - 500;
	}
	printf("%s{\"instances\":%zu,\"replaced_per_hour\":%u,"
	       "\"replaced\":%u,\"bytes_per_s\":%" PRIu64 "}",
	       first ? "" : ",", sim.count, per_hour, replaced,
	       sum_bytes(&sim) * 1000 / elapsed_ms / sim.count);
	sim_dispose(&sim);
	fflush(stdout);
}

static carob_member_t table_member(size_t i, uint32_t revision)
{
	carob_member_t m = {
		.id = {(uint32_t)i + 1, 7},
		.control_addr = {.ip = {10, (uint8_t)(i >> 16),
					(uint8_t)(i >> 8), (uint8_t)i},
				 .port = SIM_PORT,
				 .family = 4},
		.revision = revision,
	};

	m.relay_addr = m.control_addr;
	zone_name(m.zone.name, sizeof(m.zone.name), i);
	return m;
}

/* Measures a member table alone: the time to build it, the time of a change and
 * its memory. */
static void measure_table(size_t count, bool first)
{
	carob_membership_options_t options = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_zone_contacts_t zones = {.count = 0};
	carob_links_t links = {.count = 0};
	carob_membership_t *m;
	uint64_t start_ns = cpu_ns();
	uint64_t built;
	size_t alive;

	options.self = table_member(0, 1);
	if (carob_membership_new(&m, &options) != 0)
		abort();
	for (size_t i = 1; i < count; i++) {
		carob_member_t member = table_member(i, 1);

		carob_membership_learn(m, &member, NULL);
	}
	carob_membership_alive(m, &alive);
	built = cpu_ns() - start_ns;
	start_ns = cpu_ns();
	for (size_t i = 0; i < TABLE_CHANGES; i++) {
		carob_member_t member = table_member(1 + i, 2);

		member.state = CAROB_MEMBER_LEAVING;
		carob_membership_learn(m, &member, NULL);
		carob_membership_alive(m, &alive);
		carob_links_choose(&links, m, &zones, 1);
	}
	printf("%s{\"members\":%zu,\"build_us\":%.0f,\"change_us\":%.1f,"
	       "\"memory_bytes\":%zu}",
	       first ? "" : ",", count, (double)built / 1000,
	       (double)(cpu_ns() - start_ns) / 1000 / TABLE_CHANGES,
	       carob_membership_memory_bytes(m));
	carob_membership_free(m);
}

int main(int argc, char **argv)
{
	static const size_t tables[] = {1000, 4000, 8000, PLANNED_MEMBERS};
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;

	printf("{\"seed\":%" PRIu64 ",\"zones\":%d,"
	       "\"overhead_bytes_per_message\":%d,\"sizes\":[",
	       seed, ZONES_COUNT, SIM_OVERHEAD_BYTES);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++)
		measure_size(sizes[i], seed, i == 0);
	printf("],\"rates\":[");
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rates); i++)
		measure_rate(rates[i], seed, i == 0);
	printf("],\"tables\":[");
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(tables); i++)
		measure_table(tables[i], i == 0);
	printf("]}\n");
	return 0;
}
