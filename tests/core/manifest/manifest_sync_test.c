#include "core/manifest_fixture.h"

#include "carobtrail/manifest_sync.h"

#include <stdio.h>
#include <stdlib.h>

#define INSTANCES 8
#define ZONES	  2

/* A message that was sent and is not delivered yet. */
typedef struct message {
	uint32_t from;
	uint32_t to;
	carob_control_msg_t msg;
	carob_buf_t bytes;
} message_t;

#define MESSAGES_MAX 4096

typedef struct simulation simulation_t;

/* An instance of the simulated cluster. */
typedef struct instance {
	carob_control_port_t port;
	simulation_t *sim;
	uint32_t id;
	bool cut_off; /* messages from and to it are lost */
	carob_membership_t *membership;
	carob_manifest_store_t *store;
	carob_manifest_sync_t *sync;
} instance_t;

/* A simulated cluster whose instances share a platform and a clock. */
struct simulation {
	fixture_t f;
	instance_t instances[INSTANCES + 1]; /* indexed by id, from 1 */
	message_t messages[MESSAGES_MAX];
	size_t message_count;
	uint64_t sent;
	uint64_t sent_bytes;
};

static void send_message(carob_control_port_t *port,
			 const carob_control_peer_t *to,
			 const carob_control_msg_t *msg)
{
	instance_t *from = CAROB_CONTAINER_OF(port, instance_t, port);
	simulation_t *sim = from->sim;
	message_t *message = &sim->messages[sim->message_count];

	if (sim->message_count == MESSAGES_MAX)
		return;
	sim->message_count++;
	memset(message, 0, sizeof(*message));
	message->from = from->id;
	message->to = to->id.id;
	message->msg = *msg;
	(void)carob_buf_append(&message->bytes, msg->manifest.bytes.ptr,
			       msg->manifest.bytes.len);
	sim->sent++;
	sim->sent_bytes += msg->manifest.bytes.len;
}

static const carob_control_port_ops_t port_ops = {.send = send_message};

static carob_control_peer_t peer_of(uint32_t id)
{
	return (carob_control_peer_t){.id = {id, id}};
}

static void deliver(simulation_t *sim, message_t *message)
{
	instance_t *to = &sim->instances[message->to];
	carob_control_peer_t peer = peer_of(message->from);

	message->msg.manifest.bytes = carob_buf_view(&message->bytes);
	if (!to->cut_off && !sim->instances[message->from].cut_off && to->sync)
		carob_manifest_sync_on_message(to->sync, &peer, &message->msg);
	carob_buf_dispose(&message->bytes);
}

/* Delivers all messages, including those sent during the delivery. */
static void deliver_all(simulation_t *sim)
{
	size_t done = 0;

	while (done < sim->message_count) {
		message_t message = sim->messages[done++];

		deliver(sim, &message);
	}
	sim->message_count = 0;
}

/* Reports the generation of its neighbour to each instance. */
static void send_heartbeats(simulation_t *sim)
{
	for (uint32_t id = 1; id <= INSTANCES; id++) {
		instance_t *to = &sim->instances[id];
		uint32_t other = id % INSTANCES + 1;
		instance_t *from = &sim->instances[other];
		carob_control_peer_t peer = peer_of(other);

		if (to->cut_off || from->cut_off || !to->sync || !from->sync)
			continue;
		carob_manifest_sync_on_peer_generation(
			to->sync, &peer,
			carob_manifest_store_current(from->store)->number);
	}
}

static void sim_run(simulation_t *sim, unsigned int ms)
{
	for (unsigned int i = 0; i < ms; i++) {
		fixture_run(&sim->f, CAROB_NS_PER_MS);
		deliver_all(sim);
		if (i % 1000 == 999)
			send_heartbeats(sim);
	}
}

static carob_member_t member_of(uint32_t id)
{
	carob_member_t member = {.id = {id, id}, .revision = 1};

	member.zone.name[0] = (char)('a' + id % ZONES);
	member.state = CAROB_MEMBER_ALIVE;
	return member;
}

static void start_instance(simulation_t *sim, uint32_t id, bool with_platform)
{
	carob_manifest_sync_options_t options =
		CAROB_MANIFEST_SYNC_OPTIONS_INIT;
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	instance_t *instance = &sim->instances[id];

	memset(instance, 0, sizeof(*instance));
	instance->port.ops = &port_ops;
	instance->sim = sim;
	instance->id = id;
	membership.self = member_of(id);
	CU_ASSERT_EQUAL(
		carob_membership_new(&instance->membership, &membership), 0);
	for (uint32_t other = 1; other <= INSTANCES; other++) {
		carob_member_t member = member_of(other);

		CU_ASSERT_EQUAL(carob_membership_learn(instance->membership,
						       &member, NULL),
				0);
	}
	CU_ASSERT_EQUAL(carob_manifest_store_new(&instance->store), 0);
	options.kernel = sim->f.kernel;
	options.store = instance->store;
	options.membership = instance->membership;
	options.port = &instance->port;
	options.kv = with_platform ? sim->f.kv : NULL;
	options.deployment = FIXTURE_DEPLOYMENT;
	options.seed = id;
	CU_ASSERT_EQUAL(carob_manifest_sync_new(&instance->sync, &options), 0);
}

static void stop_instance(simulation_t *sim, uint32_t id)
{
	instance_t *instance = &sim->instances[id];

	carob_manifest_sync_free(instance->sync);
	carob_manifest_store_free(instance->store);
	carob_membership_free(instance->membership);
	memset(instance, 0, sizeof(*instance));
}

static simulation_t *sim_new(void)
{
	simulation_t *sim = calloc(1, sizeof(*sim));

	if (!sim)
		abort();
	fixture_init(&sim->f);
	for (uint32_t id = 1; id <= INSTANCES; id++)
		start_instance(sim, id, true);
	return sim;
}

static void sim_free(simulation_t *sim)
{
	for (size_t i = 0; i < sim->message_count; i++)
		carob_buf_dispose(&sim->messages[i].bytes);
	for (uint32_t id = 1; id <= INSTANCES; id++)
		if (sim->instances[id].sync)
			stop_instance(sim, id);
	fixture_dispose(&sim->f);
	free(sim);
}

/* Counts the instances where a generation is in force. */
static unsigned int count_in_force(const simulation_t *sim, uint64_t generation)
{
	unsigned int count = 0;

	for (uint32_t id = 1; id <= INSTANCES; id++)
		if (sim->instances[id].store &&
		    carob_manifest_store_current(sim->instances[id].store)
				    ->number == generation)
			count++;
	return count;
}

/* Publishes a manifest whose upstream address contains `n`. */
static void publish(simulation_t *sim, unsigned int n)
{
	fixture_publish_t p;
	char addr[32];

	(void)snprintf(addr, sizeof(addr), "127.0.1.%u:1", n);
	fixture_start(&p, &sim->f, fixture_manifest(addr, n), (uint8_t)n);
	for (int ms = 0; ms < 1000 && !p.done; ms++)
		sim_run(sim, 1);
	CU_ASSERT_TRUE(p.done);
	CU_ASSERT_EQUAL(p.outcome.result, 0);
	carob_publish_free(p.publish);
}

static carob_manifest_sync_counters_t counters_of(const simulation_t *sim,
						  uint32_t id)
{
	carob_manifest_sync_counters_t counters;

	carob_manifest_sync_counters(&counters, sim->instances[id].sync);
	return counters;
}

static void test_two_instances_per_zone_watch(void)
{
	simulation_t *sim = sim_new();
	unsigned int watchers[ZONES] = {0};

	sim_run(sim, 3000);
	for (uint32_t id = 1; id <= INSTANCES; id++)
		watchers[id % ZONES] +=
			carob_manifest_sync_watches(sim->instances[id].sync);
	for (size_t zone = 0; zone < ZONES; zone++)
		CU_ASSERT_EQUAL(watchers[zone], 2);
	for (unsigned int n = 1; n <= 5; n++) {
		publish(sim, n);
		sim_run(sim, 3000);
		CU_ASSERT_EQUAL(count_in_force(sim, n), INSTANCES);
	}
	for (uint32_t id = 1; id <= INSTANCES; id++) {
		carob_manifest_sync_counters_t counters = counters_of(sim, id);

		CU_ASSERT_EQUAL(counters.applied, 5);
		CU_ASSERT_EQUAL(counters.applied_by_delta, 4);
		CU_ASSERT_EQUAL(counters.refused, 0);
	}
	sim_free(sim);
}

/*
 * Without changes, only the two watchers of each zone call the platform, each
 * once in 30 s.
 */
static void test_only_watchers_call_platform_when_idle(void)
{
	simulation_t *sim = sim_new();
	uint64_t before;

	publish(sim, 1);
	sim_run(sim, 5000);
	before = carob_kv_memory_calls(sim->f.memory);
	fixture_run(&sim->f, 300 * CAROB_NS_PER_S);
	CU_ASSERT_TRUE(carob_kv_memory_calls(sim->f.memory) - before <=
		       ZONES * 2 * 11);
	sim_free(sim);
}

static void test_platform_fails_after_accepting(void)
{
	simulation_t *sim = sim_new();
	unsigned int ms = 0;

	publish(sim, 1);
	sim_run(sim, 3000);
	publish(sim, 2);
	while (count_in_force(sim, 2) == 0 && ms++ < 1000)
		sim_run(sim, 1);
	carob_kv_memory_set_outcome(sim->f.memory, CAROB_KV_LOST);
	sim_run(sim, 3000);
	CU_ASSERT_EQUAL(count_in_force(sim, 2), INSTANCES);
	sim_free(sim);
}

static void test_start_while_platform_is_down(void)
{
	simulation_t *sim = sim_new();

	publish(sim, 1);
	publish(sim, 2);
	sim_run(sim, 3000);
	carob_kv_memory_set_outcome(sim->f.memory, CAROB_KV_LOST);
	stop_instance(sim, 3);
	start_instance(sim, 3, true);
	sim_run(sim, 4000);
	CU_ASSERT_EQUAL(
		carob_manifest_store_current(sim->instances[3].store)->number,
		2);
	CU_ASSERT_EQUAL(counters_of(sim, 3).applied_from_peer, 1);
	/* The instance fetches later generations once the platform is back. */
	carob_kv_memory_set_outcome(sim->f.memory, CAROB_KV_SERVED);
	publish(sim, 3);
	sim_run(sim, 40000);
	CU_ASSERT_EQUAL(count_in_force(sim, 3), INSTANCES);
	sim_free(sim);
}

static void test_partitioned_instance_catches_up(void)
{
	simulation_t *sim = sim_new();

	publish(sim, 1);
	sim_run(sim, 3000);
	stop_instance(sim, 5);
	start_instance(sim, 5, false); /* can't reach the platform */
	sim_run(sim, 3000);
	sim->instances[5].cut_off = true;
	for (unsigned int n = 2; n <= 6; n++) {
		publish(sim, n);
		sim_run(sim, 2000);
	}
	CU_ASSERT_EQUAL(
		carob_manifest_store_current(sim->instances[5].store)->number,
		1);
	sim->instances[5].cut_off = false;
	sim_run(sim, 5000);
	CU_ASSERT_EQUAL(count_in_force(sim, 6), INSTANCES);
	CU_ASSERT_EQUAL(counters_of(sim, 5).applied_by_delta, 5);
	sim_free(sim);
}

/*
 * Reports a generation of instance 2 to instance 1, which requests it, and
 * replies with `bytes`.
 */
static void reply_with(simulation_t *sim, uint64_t generation, uint64_t base,
		       const char *bytes)
{
	carob_control_peer_t peer = peer_of(2);
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MANIFEST_REPLY};

	carob_manifest_sync_on_peer_generation(sim->instances[1].sync, &peer,
					       generation);
	msg.manifest.generation = generation;
	msg.manifest.base = base;
	msg.manifest.bytes = carob_str_from(bytes);
	carob_manifest_sync_on_message(sim->instances[1].sync, &peer, &msg);
}

static void test_invalid_replies_are_refused(void)
{
	static const char *const invalid[] = {"", "{}", "[[[", "{\"from\":1}",
					      "\xff\xff"};
	simulation_t *sim = sim_new();

	publish(sim, 1);
	sim_run(sim, 3000);
	carob_kv_memory_set_outcome(sim->f.memory, CAROB_KV_LOST);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(invalid); i++) {
		reply_with(sim, 9 + i, 0, invalid[i]);
		reply_with(sim, 9 + i, 1, invalid[i]);
		sim_run(sim, 2000);
	}
	CU_ASSERT_EQUAL(count_in_force(sim, 1), INSTANCES);
	CU_ASSERT_TRUE(counters_of(sim, 1).refused >= 5);
	sim_free(sim);
}

static instance_t *find_watcher(simulation_t *sim)
{
	uint32_t id = 1;

	sim_run(sim, 2000);
	while (id < INSTANCES &&
	       !carob_manifest_sync_watches(sim->instances[id].sync))
		id++;
	return &sim->instances[id];
}

/*
 * An instance reads the head and the index of generation 1 and is paused before
 * it applies them. Meanwhile generations 2 and 3 are published, and a peer
 * sends generation 3. Returns the generation in force after the instance has
 * completed the fetch of generation 1.
 */
static uint64_t apply_after_pause(carob_manifest_mutation_t mutation)
{
	simulation_t *sim = sim_new();
	carob_kv_memory_t *platform_copy = NULL;
	carob_manifest_sync_options_t options =
		CAROB_MANIFEST_SYNC_OPTIONS_INIT;
	instance_t *paused = find_watcher(sim);
	carob_control_peer_t peer = peer_of(paused->id % INSTANCES + 1);
	uint64_t in_force;

	/* The instance gets its own copy of the platform; the test serves it. */
	CU_ASSERT_EQUAL(carob_kv_memory_new(&platform_copy, NULL), 0);
	carob_manifest_sync_free(paused->sync);
	options.kernel = sim->f.kernel;
	options.store = paused->store;
	options.membership = paused->membership;
	options.port = &paused->port;
	options.kv = carob_kv_memory_kv(platform_copy);
	options.deployment = FIXTURE_DEPLOYMENT;
	CU_ASSERT_EQUAL(carob_manifest_sync_new(&paused->sync, &options), 0);
	carob_manifest_store_set_mutation(paused->store, mutation);
	paused->cut_off = true;
	publish(sim, 1);
	sim_run(sim, 3000);
	carob_kv_memory_copy(platform_copy, sim->f.memory);
	/* The instance reads the head and the index, and is paused. */
	for (int i = 0; i < 200 && carob_kv_memory_ready(platform_copy) == 0;
	     i++)
		sim_run(sim, 10);
	for (int i = 0; i < 2; i++)
		carob_kv_memory_serve(platform_copy, 0, CAROB_KV_SERVED);
	CU_ASSERT_EQUAL(carob_kv_memory_ready(platform_copy), 1);
	publish(sim, 2);
	publish(sim, 3);
	sim_run(sim, 3000);
	paused->cut_off = false;
	carob_manifest_sync_on_peer_generation(paused->sync, &peer, 3);
	deliver_all(sim);
	sim_run(sim, 10);
	CU_ASSERT_EQUAL(carob_manifest_store_current(paused->store)->number, 3);
	/* The instance continues the fetch of generation 1. */
	for (int i = 0; i < 40; i++)
		carob_kv_memory_serve(platform_copy, 0, CAROB_KV_SERVED);
	in_force = carob_manifest_store_current(paused->store)->number;
	sim_free(sim);
	carob_kv_memory_free(platform_copy);
	return in_force;
}

static void test_apply_after_pause_does_not_revert(void)
{
	CU_ASSERT_EQUAL(apply_after_pause(CAROB_MANIFEST_MUTATION_NONE), 3);
	CU_ASSERT_EQUAL(apply_after_pause(CAROB_MANIFEST_MUTATION_NO_RECHECK),
			1);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"two instances per zone watch, all apply generations",
		 test_two_instances_per_zone_watch},
		{"only watchers call the platform while nothing changes",
		 test_only_watchers_call_platform_when_idle},
		{"a generation reaches all instances if the platform fails "
		 "after accepting it",
		 test_platform_fails_after_accepting},
		{"an instance starts while the platform is down",
		 test_start_while_platform_is_down},
		{"a partitioned instance catches up with deltas",
		 test_partitioned_instance_catches_up},
		{"invalid replies of peers are refused",
		 test_invalid_replies_are_refused},
		{"a generation applied after a pause replaces no newer one",
		 test_apply_after_pause_does_not_revert},
	};

	return run_tests("manifest_sync", cases, CAROB_ARRAY_SIZE(cases));
}
