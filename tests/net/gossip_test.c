#include "test_runner.h"

#include "gossip_sim.h"

#define SEEDS	     4
#define JOIN_MS	     10000
#define DETECT_MS    3000 /* target: a dead instance is known in its zone */
#define CONVERGE_MS  5000
#define SETTLE_MS    1500 /* joining ends by then, even if no table is equal */
#define HEAL_MS	     40000
#define LOSS	     0.10
#define LOSSY_RUN_MS 120000

static const char *const zones[] = {"macon-a", "macon-b", "warner-c"};

#define ZONES CAROB_ARRAY_SIZE(zones)

static const char *zone_of(size_t i)
{
	return zones[i % ZONES];
}

/* Starts `count` instances, spread evenly over the zones, and lets them join. */
static void setup_mutated(sim_t *sim, size_t count, uint64_t seed,
			  carob_gossip_mutation_t mutation)
{
	sim_init(sim, count, seed);
	sim->mutation = mutation;
	for (size_t i = 0; i < count; i++)
		sim_start(sim, i, zone_of(i));
	CU_ASSERT(sim_run_until_converged(sim, JOIN_MS) <= JOIN_MS);
	sim_run_ms(sim, 2000);
}

static void setup(sim_t *sim, size_t count, uint64_t seed)
{
	setup_mutated(sim, count, seed, CAROB_GOSSIP_MUTATION_NONE);
}

/*
 * Returns whether no running instance other than `j` counts `departed`, a
 * previous run of `j`, as alive and reachable. Checks the instances of the zone
 * of `j`, or all instances if `everywhere`.
 */
static bool is_departure_known(sim_t *sim, size_t j,
			       carob_instance_id_t departed, bool everywhere)
{
	for (size_t i = 0; i < sim->count; i++) {
		carob_membership_t *m = sim->nodes[i].membership;
		const carob_member_t *member;

		if (!sim->nodes[i].gossip || i == j ||
		    (!everywhere && zone_of(i) != zone_of(j)))
			continue;
		member = carob_membership_find(m, departed);
		if (member && member->state == CAROB_MEMBER_ALIVE &&
		    carob_membership_is_reachable(m, departed))
			return false;
	}
	return true;
}

static uint64_t run_until_departure_known(sim_t *sim, size_t j,
					  carob_instance_id_t departed,
					  bool everywhere, uint64_t limit_ms)
{
	for (uint64_t ms = 0; ms <= limit_ms; ms += 5) {
		if (is_departure_known(sim, j, departed, everywhere))
			return ms;
		sim_step(sim);
	}
	return limit_ms + 1;
}

typedef struct size_case {
	size_t instances;
	double loss;
} size_case_t;

static const size_case_t size_cases[] = {
	{3, 0}, {5, 0}, {5, LOSS}, {12, 0}, {30, LOSS}, {60, 0},
};

static void test_dead_instance_is_known(void)
{
	for (size_t c = 0; c < CAROB_ARRAY_SIZE(size_cases); c++) {
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			size_t count = size_cases[c].instances;
			size_t victim = seed % count;
			carob_instance_id_t departed;
			sim_t sim;

			setup(&sim, count, seed);
			sim.loss = size_cases[c].loss;
			sim_run_ms(&sim, 1000 + 137 * seed);
			departed = sim.nodes[victim].self.id;
			sim_kill(&sim, victim);
			CU_ASSERT(run_until_departure_known(
					  &sim, victim, departed, false,
					  DETECT_MS) <= DETECT_MS);
			CU_ASSERT(run_until_departure_known(
					  &sim, victim, departed, true,
					  CONVERGE_MS) <= CONVERGE_MS);
			sim_dispose(&sim);
		}
	}
}

static void test_no_false_death_under_loss(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		sim_t sim;

		setup(&sim, 30, seed);
		sim.loss = LOSS;
		sim_run_ms(&sim, LOSSY_RUN_MS);
		CU_ASSERT_EQUAL(sim_deaths(&sim), 0);
		sim.loss = 0;
		CU_ASSERT(sim_run_until_converged(&sim, CONVERGE_MS) <=
			  CONVERGE_MS);
		sim_dispose(&sim);
	}
}

static uint64_t false_deaths_without_indirect_probes(void)
{
	uint64_t deaths = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		sim_t sim;

		setup_mutated(&sim, 30, seed,
			      CAROB_GOSSIP_MUTATION_NO_INDIRECT_PROBE);
		sim.loss = LOSS;
		sim_run_ms(&sim, LOSSY_RUN_MS);
		deaths += sim_deaths(&sim);
		sim_dispose(&sim);
	}
	return deaths;
}

static void test_loss_causes_false_deaths_without_indirect_probes(void)
{
	CU_ASSERT(false_deaths_without_indirect_probes() > 0);
}

typedef struct pause_case {
	uint64_t pause_ms;
	bool keeps_inbox;   /* messages sent during the pause arrive */
	bool declared_dead; /* the others count it as dead at the end */
} pause_case_t;

static const pause_case_t pause_cases[] = {
	{600, true, false},
	{20000, true, true},
	{20000, false, true},
	{300000, true, true},
};

/*
 * Pauses an instance and lets it run on. Returns whether all tables converge
 * and the instance never counts another one as dead or unreachable, as it would
 * if it took its own pause for silence of the others.
 */
static bool recovers_from_pause(carob_gossip_mutation_t mutation,
				const pause_case_t *c, uint64_t seed)
{
	carob_gossip_counters_t counters;
	size_t paused = 4;
	bool lost_members = false;
	size_t alive;
	sim_t sim;
	bool recovered;

	setup_mutated(&sim, 12, seed, mutation);
	sim.nodes[paused].paused = true;
	sim_run_ms(&sim, c->pause_ms);
	CU_ASSERT_EQUAL(sim_view(&sim, 1, paused)->state == CAROB_MEMBER_DEAD,
			c->declared_dead);
	if (!c->keeps_inbox)
		sim_drop_inbox(&sim.nodes[paused]);
	sim_resume(&sim, paused);
	for (int i = 0; i < 400; i++) {
		carob_membership_alive(sim.nodes[paused].membership, &alive);
		lost_members |= alive < 12;
		sim_step(&sim);
	}
	carob_gossip_counters(&counters, sim.nodes[paused].gossip);
	recovered = sim_converged(&sim) && counters.deaths == 0 &&
		    !lost_members;
	sim_dispose(&sim);
	return recovered;
}

static void test_instance_rejoins_after_pause(void)
{
	for (size_t c = 0; c < CAROB_ARRAY_SIZE(pause_cases); c++)
		for (uint64_t seed = 1; seed <= SEEDS; seed++)
			CU_ASSERT(
				recovers_from_pause(CAROB_GOSSIP_MUTATION_NONE,
						    &pause_cases[c], seed));
}

static void test_pause_mutations_are_caught(void)
{
	CU_ASSERT_FALSE(recovers_from_pause(CAROB_GOSSIP_MUTATION_NO_REFUTATION,
					    &pause_cases[1], 1));
	CU_ASSERT_FALSE(recovers_from_pause(
		CAROB_GOSSIP_MUTATION_TRUST_OWN_CLOCK, &pause_cases[2], 1));
}

/*
 * While a zone is cut off, instances on either side count those on the other
 * side as unreachable and no instance as dead, and use the rest.
 */
static void test_zone_cut_off_and_reconnected(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		sim_t sim;

		setup(&sim, 12, seed);
		for (size_t i = 0; i < sim.count; i++)
			sim.nodes[i].group = zone_of(i) == zones[1];
		sim_run_ms(&sim, 20000);
		for (size_t i = 0; i < sim.count; i++)
			for (size_t j = 0; j < sim.count; j++)
				CU_ASSERT_EQUAL(sim_usable(&sim, i, j),
						sim.nodes[i].group ==
							sim.nodes[j].group);
		CU_ASSERT_EQUAL(sim_deaths(&sim), 0);
		for (size_t i = 0; i < sim.count; i++)
			sim.nodes[i].group = 0;
		CU_ASSERT(sim_run_until_converged(&sim, 10000) <= 10000);
		CU_ASSERT_EQUAL(sim_deaths(&sim), 0);
		sim_dispose(&sim);
	}
}

/*
 * Instances end and start while a zone is cut off. After the cut has healed,
 * all instances must know the changes of both sides.
 */
static void test_changes_while_cut_off(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		sim_t sim;

		setup(&sim, 15, seed);
		for (size_t i = 0; i < sim.count; i++)
			sim.nodes[i].group = zone_of(i) == zones[1];
		sim_run_ms(&sim, 8000);
		sim_kill(&sim, 4);
		sim_kill(&sim, 5);
		sim_run_ms(&sim, 8000);
		sim_start(&sim, 5, zone_of(5));
		sim.nodes[5].group = 0;
		sim_run_ms(&sim, 8000);
		for (size_t i = 0; i < sim.count; i++)
			sim.nodes[i].group = 0;
		CU_ASSERT(sim_run_until_converged(&sim, 20000) <= 20000);
		sim_dispose(&sim);
	}
}

/*
 * A network partition runs through every zone, so that each half of a zone
 * declares the other half dead. After it has healed, the instances must find
 * each other again.
 */
static void test_partition_through_zones(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		sim_t sim;

		setup(&sim, 24, seed);
		for (size_t i = 0; i < sim.count; i++)
			sim.nodes[i].group = i >= 12;
		sim_run_ms(&sim, 20000);
		CU_ASSERT_FALSE(sim_usable(&sim, 0, 15));
		CU_ASSERT(sim_usable(&sim, 0, 3));
		for (size_t i = 0; i < sim.count; i++)
			sim.nodes[i].group = 0;
		CU_ASSERT(sim_run_until_converged(&sim, HEAL_MS) <= HEAL_MS);
		sim_dispose(&sim);
	}
}

static void leave(sim_t *sim, size_t i, size_t successor)
{
	sim_node_t *node = &sim->nodes[i];

	carob_membership_set_self(node->membership, CAROB_MEMBER_LEAVING,
				  sim->nodes[successor].self.id);
	carob_gossip_announce(node->gossip);
	sim_run_ms(sim, 500);
	carob_membership_set_self(node->membership, CAROB_MEMBER_LEFT,
				  sim->nodes[successor].self.id);
	carob_gossip_announce(node->gossip);
	sim_run_ms(sim, 100);
}

static void test_replaced_one_after_another(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		carob_instance_id_t first;
		sim_t sim;

		setup(&sim, 6, seed);
		first = sim.nodes[0].self.id;
		for (size_t i = 0; i < sim.count; i++) {
			leave(&sim, i, (i + 3) % 6);
			CU_ASSERT(carob_gossip_acknowledged(sim.nodes[i].gossip,
							    NULL) >= 2);
			sim_kill(&sim, i);
			sim_start(&sim, i, zone_of(i));
			CU_ASSERT(sim_run_until_converged(&sim, CONVERGE_MS) <=
				  CONVERGE_MS);
		}
		CU_ASSERT_EQUAL(sim_deaths(&sim), 0);
		/*
		 * The successor of the first run left too, and named the new
		 * run of node 0 as its own successor.
		 */
		CU_ASSERT_EQUAL(
			carob_membership_resolve(sim.nodes[2].membership, first)
				->id.incarnation,
			sim.nodes[0].self.id.incarnation);
		sim_dispose(&sim);
	}
}

static void test_restart_with_new_incarnation(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		carob_instance_id_t previous;
		sim_t sim;

		setup(&sim, 9, seed);
		previous = sim.nodes[3].self.id;
		sim_kill(&sim, 3);
		sim_run_ms(&sim, 1000);
		sim_start(&sim, 3, zone_of(3));
		CU_ASSERT(sim_run_until_converged(&sim, CONVERGE_MS) <=
			  CONVERGE_MS);
		CU_ASSERT(run_until_departure_known(&sim, 3, previous, true,
						    100) <= 100);
		sim_dispose(&sim);
	}
}

/*
 * Addresses at which no instance listens must not prevent an instance from
 * joining on its own, and addresses of other instances must connect instances
 * that started separately.
 */
static void test_hints(void)
{
	carob_addr_t stale = {.ip = {10, 9, 9, 9}, .port = 1, .family = 4};
	sim_t sim;

	sim_init(&sim, 6, 1);
	sim.seed_base = 100;
	for (size_t i = 0; i < 6; i++)
		sim_start(&sim, i, zone_of(i));
	for (size_t i = 0; i < 6; i++)
		carob_gossip_add_hint(sim.nodes[i].gossip, &stale);
	sim_run_ms(&sim, 5000);
	CU_ASSERT_FALSE(sim_usable(&sim, 0, 1));
	CU_ASSERT(carob_gossip_joined(sim.nodes[0].gossip));
	for (size_t i = 1; i < 6; i++)
		carob_gossip_add_hint(sim.nodes[i].gossip,
				      &sim.nodes[i - 1].self.control_addr);
	CU_ASSERT(sim_run_until_converged(&sim, HEAL_MS) <= HEAL_MS);
	CU_ASSERT_EQUAL(sim_deaths(&sim), 0);
	sim_dispose(&sim);
}

/*
 * Writes a new state of one instance directly into the tables of its
 * neighbours and of the seeds, so that no update of it is disseminated.
 * Returns whether anti-entropy brings it to all other tables.
 */
static bool repairs_tables(carob_gossip_mutation_t mutation)
{
	carob_control_peer_t neighbours[CAROB_GOSSIP_LINKS_MAX];
	carob_instance_id_t no_successor = {0, 0};
	size_t neighbour_count;
	bool repaired = true;
	sim_t sim;

	sim_init(&sim, 30, 1);
	sim.mutation = mutation;
	for (size_t i = 0; i < sim.count; i++) {
		sim_start(&sim, i, zone_of(i));
		sim_run_ms(&sim, 700);
	}
	CU_ASSERT(sim_run_until_converged(&sim, JOIN_MS) <= JOIN_MS);
	carob_membership_set_self(sim.nodes[2].membership, CAROB_MEMBER_LEAVING,
				  no_successor);
	neighbour_count = carob_gossip_links(neighbours, CAROB_GOSSIP_LINKS_MAX,
					     sim.nodes[2].gossip);
	for (size_t i = 0; i < neighbour_count; i++)
		carob_membership_learn(
			sim.nodes[neighbours[i].id.id - 1].membership,
			carob_membership_self(sim.nodes[2].membership), NULL);
	for (size_t i = 0; i < SIM_SEEDS; i++)
		carob_membership_learn(
			sim.nodes[i].membership,
			carob_membership_self(sim.nodes[2].membership), NULL);
	sim_run_ms(&sim, 12000);
	for (size_t i = 0; i < sim.count; i++)
		repaired &= sim_view(&sim, i, 2)->state == CAROB_MEMBER_LEAVING;
	sim_dispose(&sim);
	return repaired;
}

static void test_differing_tables_are_repaired(void)
{
	CU_ASSERT(repairs_tables(CAROB_GOSSIP_MUTATION_NONE));
	CU_ASSERT_FALSE(repairs_tables(CAROB_GOSSIP_MUTATION_NO_REPAIR));
}

/*
 * Instances that start within a few milliseconds of each other receive updates
 * before they have received a member table.
 */
static void test_start_together_converges(void)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		sim_t sim;

		sim_init(&sim, 4, seed);
		for (size_t i = 0; i < sim.count; i++) {
			sim_start(&sim, i, zones[i % 2]);
			sim_run_ms(&sim, carob_rng_below(&sim.rng, 4) * 5);
		}
		CU_ASSERT(sim_run_until_converged(&sim, 1500) <= 1500);
		sim_run_ms(&sim, SETTLE_MS);
		for (size_t i = 0; i < sim.count; i++)
			CU_ASSERT(carob_gossip_joined(sim.nodes[i].gossip));
		sim_dispose(&sim);
	}
}

static void test_unexpected_messages(void)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_HEARTBEAT};
	carob_gossip_counters_t counters;
	sim_t sim;

	setup(&sim, 3, 1);
	CU_ASSERT(carob_gossip_on_message(sim.nodes[0].gossip, &msg));
	msg.from = sim.nodes[0].self.id;
	CU_ASSERT(carob_gossip_on_message(sim.nodes[0].gossip, &msg));
	msg.from = (carob_instance_id_t){77, 77};
	msg.type = CAROB_CONTROL_CHECK_REQUEST;
	msg.check.target = (carob_instance_id_t){78, 78};
	CU_ASSERT(carob_gossip_on_message(sim.nodes[0].gossip, &msg));
	msg = (carob_control_msg_t){.type = CAROB_CONTROL_MEMBER_PULL,
				    .from = {77, 77}};
	CU_ASSERT(carob_gossip_on_message(sim.nodes[0].gossip, &msg));
	msg.type = CAROB_CONTROL_KEY_REQUEST;
	CU_ASSERT_FALSE(carob_gossip_on_message(sim.nodes[0].gossip, &msg));
	carob_gossip_counters(&counters, sim.nodes[0].gossip);
	CU_ASSERT_EQUAL(counters.unexpected, 4);
	CU_ASSERT(sim_converged(&sim));
	sim_dispose(&sim);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a dead instance is known in its zone within 3 s",
		 test_dead_instance_is_known},
		{"no instance is declared dead under 10 % packet loss",
		 test_no_false_death_under_loss},
		{"without indirect probes packet loss causes false deaths",
		 test_loss_causes_false_deaths_without_indirect_probes},
		{"an instance rejoins after a pause and declares no deaths",
		 test_instance_rejoins_after_pause},
		{"mutations of the handling of pauses are caught",
		 test_pause_mutations_are_caught},
		{"a zone is cut off and reconnected",
		 test_zone_cut_off_and_reconnected},
		{"changes while a zone is cut off reach all instances",
		 test_changes_while_cut_off},
		{"a partition through all zones heals",
		 test_partition_through_zones},
		{"instances are replaced one after another",
		 test_replaced_one_after_another},
		{"an instance restarts with a new incarnation",
		 test_restart_with_new_incarnation},
		{"hints connect instances, unused addresses are ignored",
		 test_hints},
		{"instances that start together converge quickly",
		 test_start_together_converges},
		{"differing member tables are repaired",
		 test_differing_tables_are_repaired},
		{"unexpected messages are counted", test_unexpected_messages},
	};

	return run_tests("gossip", cases, CAROB_ARRAY_SIZE(cases));
}
