#include "core/manifest_fixture.h"

#include "carobtrail/manifest_sync.h"

#include <stdio.h>
#include <stdlib.h>

#define INSTANCES 8
#define ZONES	  2

/* A message on its way between two instances. */
typedef struct letter {
	uint32_t from;
	uint32_t to;
	carob_control_msg_t msg;
	carob_buf_t bytes;
} letter_t;

#define LETTERS_MAX 4096

typedef struct mesh mesh_t;

typedef struct instance {
	carob_control_port_t port; /* first member */
	mesh_t *mesh;
	uint32_t id;
	bool cut; /* neither sends nor receives */
	carob_membership_t *membership;
	carob_manifest_store_t *store;
	carob_manifest_sync_t *sync;
} instance_t;

struct mesh {
	fixture_t f;
	instance_t instances[INSTANCES + 1]; /* by id, from 1 */
	letter_t letters[LETTERS_MAX];
	size_t letter_count;
	uint64_t sent;
	uint64_t sent_bytes;
};

static void post(carob_control_port_t *port, const carob_control_peer_t *to,
		 const carob_control_msg_t *msg)
{
	instance_t *from = CAROB_CONTAINER_OF(port, instance_t, port);
	mesh_t *mesh = from->mesh;
	letter_t *letter = &mesh->letters[mesh->letter_count];

	if (mesh->letter_count == LETTERS_MAX)
		return;
	mesh->letter_count++;
	memset(letter, 0, sizeof(*letter));
	letter->from = from->id;
	letter->to = to->id.id;
	letter->msg = *msg;
	(void)carob_buf_append(&letter->bytes, msg->manifest.bytes.ptr,
			       msg->manifest.bytes.len);
	mesh->sent++;
	mesh->sent_bytes += msg->manifest.bytes.len;
}

static const carob_control_port_ops_t port_ops = {.send = post};

static carob_control_peer_t peer_of(uint32_t id)
{
	return (carob_control_peer_t){.id = {id, id}};
}

static void deliver(mesh_t *mesh, letter_t *letter)
{
	instance_t *to = &mesh->instances[letter->to];
	carob_control_peer_t peer = peer_of(letter->from);

	letter->msg.manifest.bytes = carob_buf_view(&letter->bytes);
	if (!to->cut && !mesh->instances[letter->from].cut && to->sync)
		carob_manifest_sync_on_message(to->sync, &peer, &letter->msg);
	carob_buf_dispose(&letter->bytes);
}

/* Delivers what was sent, and what that leads to. */
static void deliver_all(mesh_t *mesh)
{
	size_t done = 0;

	while (done < mesh->letter_count) {
		letter_t letter = mesh->letters[done++];

		deliver(mesh, &letter);
	}
	mesh->letter_count = 0;
}

/* Each instance hears one other one's generation, as heartbeats would. */
static void heartbeat(mesh_t *mesh)
{
	for (uint32_t id = 1; id <= INSTANCES; id++) {
		instance_t *to = &mesh->instances[id];
		uint32_t other = id % INSTANCES + 1;
		instance_t *from = &mesh->instances[other];
		carob_control_peer_t peer = peer_of(other);

		if (to->cut || from->cut || !to->sync || !from->sync)
			continue;
		carob_manifest_sync_on_peer(
			to->sync, &peer,
			carob_manifest_store_current(from->store)->number);
	}
}

static void mesh_run(mesh_t *mesh, unsigned int ms)
{
	for (unsigned int i = 0; i < ms; i++) {
		fixture_run(&mesh->f, CAROB_NS_PER_MS);
		deliver_all(mesh);
		if (i % 1000 == 999)
			heartbeat(mesh);
	}
}

static carob_member_t member_of(uint32_t id)
{
	carob_member_t member = {.id = {id, id}, .revision = 1};

	member.zone.name[0] = (char)('a' + id % ZONES);
	member.state = CAROB_MEMBER_ALIVE;
	return member;
}

static void start_instance(mesh_t *mesh, uint32_t id, bool with_platform)
{
	carob_manifest_sync_options_t options =
		CAROB_MANIFEST_SYNC_OPTIONS_INIT;
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	instance_t *instance = &mesh->instances[id];

	memset(instance, 0, sizeof(*instance));
	instance->port.ops = &port_ops;
	instance->mesh = mesh;
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
	options.kernel = mesh->f.kernel;
	options.store = instance->store;
	options.membership = instance->membership;
	options.port = &instance->port;
	options.kv = with_platform ? mesh->f.kv : NULL;
	options.deployment = FIXTURE_DEPLOYMENT;
	options.seed = id;
	CU_ASSERT_EQUAL(carob_manifest_sync_new(&instance->sync, &options), 0);
}

static void stop_instance(mesh_t *mesh, uint32_t id)
{
	instance_t *instance = &mesh->instances[id];

	carob_manifest_sync_free(instance->sync);
	carob_manifest_store_free(instance->store);
	carob_membership_free(instance->membership);
	memset(instance, 0, sizeof(*instance));
}

static mesh_t *mesh_new(void)
{
	mesh_t *mesh = calloc(1, sizeof(*mesh));

	if (!mesh)
		abort();
	fixture_init(&mesh->f);
	for (uint32_t id = 1; id <= INSTANCES; id++)
		start_instance(mesh, id, true);
	return mesh;
}

static void mesh_free(mesh_t *mesh)
{
	for (size_t i = 0; i < mesh->letter_count; i++)
		carob_buf_dispose(&mesh->letters[i].bytes);
	for (uint32_t id = 1; id <= INSTANCES; id++)
		if (mesh->instances[id].sync)
			stop_instance(mesh, id);
	fixture_dispose(&mesh->f);
	free(mesh);
}

static unsigned int count_at(const mesh_t *mesh, uint64_t generation)
{
	unsigned int count = 0;

	for (uint32_t id = 1; id <= INSTANCES; id++)
		if (mesh->instances[id].store &&
		    carob_manifest_store_current(mesh->instances[id].store)
				    ->number == generation)
			count++;
	return count;
}

/* Publishes a manifest whose address tells the generation. */
static void publish(mesh_t *mesh, unsigned int n)
{
	fixture_publish_t p;
	char addr[32];

	(void)snprintf(addr, sizeof(addr), "127.0.1.%u:1", n);
	fixture_start(&p, &mesh->f, fixture_manifest(addr, n), (uint8_t)n);
	for (int ms = 0; ms < 1000 && !p.done; ms++)
		mesh_run(mesh, 1);
	CU_ASSERT_TRUE(p.done);
	CU_ASSERT_EQUAL(p.outcome.result, 0);
	carob_publish_free(p.publish);
}

static carob_manifest_sync_counters_t counters_of(const mesh_t *mesh,
						  uint32_t id)
{
	carob_manifest_sync_counters_t counters;

	carob_manifest_sync_counters(&counters, mesh->instances[id].sync);
	return counters;
}

static void test_two_watch_in_each_zone_and_all_learn(void)
{
	mesh_t *mesh = mesh_new();
	unsigned int watchers[ZONES] = {0};

	mesh_run(mesh, 3000);
	for (uint32_t id = 1; id <= INSTANCES; id++)
		watchers[id % ZONES] +=
			carob_manifest_sync_watches(mesh->instances[id].sync);
	for (size_t zone = 0; zone < ZONES; zone++)
		CU_ASSERT_EQUAL(watchers[zone], 2);
	for (unsigned int n = 1; n <= 5; n++) {
		publish(mesh, n);
		mesh_run(mesh, 3000);
		CU_ASSERT_EQUAL(count_at(mesh, n), INSTANCES);
	}
	for (uint32_t id = 1; id <= INSTANCES; id++) {
		carob_manifest_sync_counters_t counters = counters_of(mesh, id);

		CU_ASSERT_EQUAL(counters.applied, 5);
		CU_ASSERT_EQUAL(counters.applied_by_delta, 4);
		CU_ASSERT_EQUAL(counters.refused, 0);
	}
	mesh_free(mesh);
}

/* Calls a second while nothing changes: watchers only, one in 30 s each. */
static void test_an_idle_fleet_costs_few_calls(void)
{
	mesh_t *mesh = mesh_new();
	uint64_t before;

	publish(mesh, 1);
	mesh_run(mesh, 5000);
	before = carob_kv_memory_calls(mesh->f.memory);
	fixture_run(&mesh->f, 300 * CAROB_NS_PER_S);
	CU_ASSERT_TRUE(carob_kv_memory_calls(mesh->f.memory) - before <=
		       ZONES * 2 * 11);
	mesh_free(mesh);
}

static void test_platform_lost_right_after_acceptance(void)
{
	mesh_t *mesh = mesh_new();
	unsigned int ms = 0;

	publish(mesh, 1);
	mesh_run(mesh, 3000);
	publish(mesh, 2);
	while (count_at(mesh, 2) == 0 && ms++ < 1000)
		mesh_run(mesh, 1);
	carob_kv_memory_set_fate(mesh->f.memory, CAROB_KV_LOST);
	mesh_run(mesh, 3000);
	CU_ASSERT_EQUAL(count_at(mesh, 2), INSTANCES);
	mesh_free(mesh);
}

static void test_start_while_the_platform_is_down(void)
{
	mesh_t *mesh = mesh_new();

	publish(mesh, 1);
	publish(mesh, 2);
	mesh_run(mesh, 3000);
	carob_kv_memory_set_fate(mesh->f.memory, CAROB_KV_LOST);
	stop_instance(mesh, 3);
	start_instance(mesh, 3, true);
	mesh_run(mesh, 4000);
	CU_ASSERT_EQUAL(
		carob_manifest_store_current(mesh->instances[3].store)->number,
		2);
	CU_ASSERT_EQUAL(counters_of(mesh, 3).applied_from_peer, 1);
	/* It learns later generations once the platform is back. */
	carob_kv_memory_set_fate(mesh->f.memory, CAROB_KV_SERVED);
	publish(mesh, 3);
	mesh_run(mesh, 40000);
	CU_ASSERT_EQUAL(count_at(mesh, 3), INSTANCES);
	mesh_free(mesh);
}

static void test_a_cut_off_instance_catches_up(void)
{
	mesh_t *mesh = mesh_new();

	publish(mesh, 1);
	mesh_run(mesh, 3000);
	stop_instance(mesh, 5);
	start_instance(mesh, 5, false); /* can't reach the platform */
	mesh_run(mesh, 3000);
	mesh->instances[5].cut = true;
	for (unsigned int n = 2; n <= 6; n++) {
		publish(mesh, n);
		mesh_run(mesh, 2000);
	}
	CU_ASSERT_EQUAL(
		carob_manifest_store_current(mesh->instances[5].store)->number,
		1);
	mesh->instances[5].cut = false;
	mesh_run(mesh, 5000);
	CU_ASSERT_EQUAL(count_at(mesh, 6), INSTANCES);
	CU_ASSERT_EQUAL(counters_of(mesh, 5).applied_by_delta, 5);
	mesh_free(mesh);
}

/* Offers itself as a peer that answers with `bytes`. */
static void answer_with(mesh_t *mesh, uint64_t generation, uint64_t base,
			const char *bytes)
{
	carob_control_peer_t peer = peer_of(2);
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MANIFEST_REPLY};

	carob_manifest_sync_on_peer(mesh->instances[1].sync, &peer, generation);
	msg.manifest.generation = generation;
	msg.manifest.base = base;
	msg.manifest.bytes = carob_str_from(bytes);
	carob_manifest_sync_on_message(mesh->instances[1].sync, &peer, &msg);
}

static void test_bad_replies_change_nothing(void)
{
	static const char *const bad[] = {"", "{}", "[[[", "{\"from\":1}",
					  "\xff\xff"};
	mesh_t *mesh = mesh_new();

	publish(mesh, 1);
	mesh_run(mesh, 3000);
	carob_kv_memory_set_fate(mesh->f.memory, CAROB_KV_LOST);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(bad); i++) {
		answer_with(mesh, 9 + i, 0, bad[i]);
		answer_with(mesh, 9 + i, 1, bad[i]);
		mesh_run(mesh, 2000);
	}
	CU_ASSERT_EQUAL(count_at(mesh, 1), INSTANCES);
	CU_ASSERT_TRUE(counters_of(mesh, 1).refused >= 5);
	mesh_free(mesh);
}

static instance_t *find_watcher(mesh_t *mesh)
{
	uint32_t id = 1;

	mesh_run(mesh, 2000);
	while (id < INSTANCES &&
	       !carob_manifest_sync_watches(mesh->instances[id].sync))
		id++;
	return &mesh->instances[id];
}

/*
 * An instance is paused between reading the head and applying it; meanwhile
 * two more generations are published and reach it through a peer.
 */
static uint64_t
pause_while_two_are_published(carob_manifest_mutation_t mutation)
{
	mesh_t *mesh = mesh_new();
	carob_kv_memory_t *slow = NULL;
	carob_manifest_sync_options_t options =
		CAROB_MANIFEST_SYNC_OPTIONS_INIT;
	instance_t *paused = find_watcher(mesh);
	carob_control_peer_t peer = peer_of(paused->id % INSTANCES + 1);
	uint64_t in_force;

	/* Its own view of the platform, served by hand. */
	CU_ASSERT_EQUAL(carob_kv_memory_new(&slow, NULL), 0);
	carob_manifest_sync_free(paused->sync);
	options.kernel = mesh->f.kernel;
	options.store = paused->store;
	options.membership = paused->membership;
	options.port = &paused->port;
	options.kv = carob_kv_memory_kv(slow);
	options.deployment = FIXTURE_DEPLOYMENT;
	CU_ASSERT_EQUAL(carob_manifest_sync_new(&paused->sync, &options), 0);
	carob_manifest_store_set_mutation(paused->store, mutation);
	paused->cut = true;
	publish(mesh, 1);
	mesh_run(mesh, 3000);
	carob_kv_memory_copy(slow, mesh->f.memory);
	/* It reads the head and the index, and pauses. */
	for (int i = 0; i < 200 && carob_kv_memory_ready(slow) == 0; i++)
		mesh_run(mesh, 10);
	for (int i = 0; i < 2; i++)
		carob_kv_memory_serve(slow, 0, CAROB_KV_SERVED);
	CU_ASSERT_EQUAL(carob_kv_memory_ready(slow), 1);
	publish(mesh, 2);
	publish(mesh, 3);
	mesh_run(mesh, 3000);
	paused->cut = false;
	carob_manifest_sync_on_peer(paused->sync, &peer, 3);
	deliver_all(mesh);
	mesh_run(mesh, 10);
	CU_ASSERT_EQUAL(carob_manifest_store_current(paused->store)->number, 3);
	/* It goes on with generation 1. */
	for (int i = 0; i < 40; i++)
		carob_kv_memory_serve(slow, 0, CAROB_KV_SERVED);
	in_force = carob_manifest_store_current(paused->store)->number;
	mesh_free(mesh);
	carob_kv_memory_free(slow);
	return in_force;
}

static void test_a_paused_apply_does_not_revert(void)
{
	CU_ASSERT_EQUAL(
		pause_while_two_are_published(CAROB_MANIFEST_MUTATION_NONE), 3);
	CU_ASSERT_EQUAL(pause_while_two_are_published(
				CAROB_MANIFEST_MUTATION_NO_RECHECK),
			1);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"two watch in each zone and all learn",
		 test_two_watch_in_each_zone_and_all_learn},
		{"an idle fleet costs few calls",
		 test_an_idle_fleet_costs_few_calls},
		{"platform lost right after acceptance",
		 test_platform_lost_right_after_acceptance},
		{"start while the platform is down",
		 test_start_while_the_platform_is_down},
		{"a cut-off instance catches up",
		 test_a_cut_off_instance_catches_up},
		{"bad replies change nothing", test_bad_replies_change_nothing},
		{"a paused apply does not revert",
		 test_a_paused_apply_does_not_revert},
	};

	return run_tests("manifest_sync", cases, CAROB_ARRAY_SIZE(cases));
}
