#include "cluster_sim.h"

#include "core/keys/keyset.h"

#include <string.h>

#define INSTANCES 5
#define STORE_KEY "carobtrail/hou/keys"

static const uint8_t *sealing_key(const cluster_sim_t *s, size_t i,
				  uint8_t *epoch)
{
	return carob_keyring_active(app_of((sim_t *)&s->sim, i)->keyring,
				    epoch);
}

/* @return how many running instances can open tokens that `i` seals */
static size_t count_able_to_open(cluster_sim_t *s, size_t i)
{
	uint8_t epoch;
	const uint8_t *key = sealing_key(s, i, &epoch);
	size_t count = 0;

	for (size_t j = 0; key && j < s->sim.count; j++) {
		const uint8_t *other;

		if (!s->sim.nodes[j].gossip)
			continue;
		other = carob_keyring_get(app_of(&s->sim, j)->keyring, epoch);
		if (other && memcmp(other, key, CAROB_KEY_BYTES) == 0)
			count++;
	}
	return count;
}

/* @return whether every instance can open the tokens of every instance */
static bool all_tokens_open(cluster_sim_t *s)
{
	for (size_t i = 0; i < s->sim.count; i++)
		if (s->sim.nodes[i].gossip &&
		    count_able_to_open(s, i) != s->sim.count)
			return false;
	return true;
}

/* Runs `ms`. @return whether `all_tokens_open` was true after each step */
static bool run_and_check_tokens(cluster_sim_t *s, uint64_t ms)
{
	bool all_opened = true;

	for (uint64_t t = 0; t < ms; t += 5) {
		run_ms(s, 5);
		all_opened &= all_tokens_open(s);
	}
	return all_opened;
}

static uint8_t epoch_of(const cluster_sim_t *s, size_t i)
{
	uint8_t epoch = 0;

	(void)sealing_key(s, i, &epoch);
	return epoch;
}

static void advance_wall_clock(cluster_sim_t *s, uint64_t ms)
{
	s->sim.clock.wall_offset_ms += ms;
}

/*
 * All instances start at once and try to create the first key. Only one key
 * must result, also when the first writes fail or their replies are lost.
 */
static void test_first_key(void)
{
	static const carob_kv_outcome_t outcomes[] = {
		CAROB_KV_SERVED, CAROB_KV_LOST, CAROB_KV_RESPONSE_LOST};

	for (size_t f = 0; f < CAROB_ARRAY_SIZE(outcomes); f++) {
		cluster_sim_t s;

		cluster_sim_prepare(&s, INSTANCES, f + 1);
		carob_kv_memory_set_write_outcome(s.store, outcomes[f], 0, 2);
		cluster_sim_start(&s);
		run_ms(&s, 5000);
		CU_ASSERT(all_tokens_open(&s));
		for (size_t i = 0; i < INSTANCES; i++)
			CU_ASSERT_EQUAL(epoch_of(&s, i), 1);
		CU_ASSERT_EQUAL(carob_kv_memory_size(s.store), 1);
		cluster_sim_dispose(&s);
	}
}

static void test_store_down_at_start(void)
{
	cluster_sim_t s;

	cluster_sim_prepare(&s, INSTANCES, 1);
	carob_kv_memory_set_outcome(s.store, CAROB_KV_LOST);
	cluster_sim_start(&s);
	run_ms(&s, 5000);
	for (size_t i = 0; i < INSTANCES; i++)
		CU_ASSERT_FALSE(
			carob_cluster_ready(app_of(&s.sim, i)->cluster));
	carob_kv_memory_set_outcome(s.store, CAROB_KV_SERVED);
	run_ms(&s, 5000);
	CU_ASSERT(all_tokens_open(&s));
	cluster_sim_dispose(&s);
}

/*
 * An instance that accepted flows before it knows the other members would
 * take the owners of their flows for dead. It must not fill its keyring before
 * it has joined, although a peer has sent it a key.
 */
static void test_no_key_before_joined(void)
{
	carob_control_key_t key = {.serial = 1, .key = {5}};
	carob_control_msg_t msg = {.type = CAROB_CONTROL_KEY_REPLY,
				   .from = {9, 9}};
	cluster_sim_t s;
	app_t *app;

	cluster_sim_prepare(&s, 1, 1);
	sim_start(&s.sim, 0, zones[0]);
	app = app_of(&s.sim, 0);
	run_ms(&s, 100);
	msg.keys = (carob_control_keys_t){1, 1, &key};
	carob_cluster_on_message(app->cluster, &msg);
	CU_ASSERT_FALSE(carob_gossip_joined(s.sim.nodes[0].gossip));
	CU_ASSERT_FALSE(carob_cluster_ready(app->cluster));
	CU_ASSERT_PTR_NULL(carob_keyring_get(app->keyring, 1));
	run_ms(&s, 6000);
	CU_ASSERT(carob_gossip_joined(s.sim.nodes[0].gossip));
	CU_ASSERT(carob_cluster_ready(app->cluster));
	CU_ASSERT_PTR_NOT_NULL(carob_keyring_get(app->keyring, 1));
	cluster_sim_dispose(&s);
}

/* Restarted instances get the keys from peers, without any store call. */
static void test_keys_from_peers(void)
{
	uint64_t calls;
	cluster_sim_t s;

	cluster_sim_init(&s, INSTANCES, 1);
	run_ms(&s, 3000);
	carob_kv_memory_set_outcome(s.store, CAROB_KV_LOST);
	calls = carob_kv_memory_calls(s.store);
	for (size_t i = 0; i < INSTANCES; i++) {
		sim_kill(&s.sim, i);
		sim_start(&s.sim, i, zones[i % 2]);
		run_ms(&s, 4000);
		CU_ASSERT(carob_cluster_ready(app_of(&s.sim, i)->cluster));
	}
	CU_ASSERT(all_tokens_open(&s));
	CU_ASSERT_EQUAL(carob_kv_memory_calls(s.store), calls);
	cluster_sim_dispose(&s);
}

/*
 * Rotates the key once. @return whether every instance could open the tokens
 * of every instance at each step
 */
static bool rotation_keeps_tokens_valid(carob_cluster_mutation_t mutation)
{
	bool all_opened;
	cluster_sim_t s;

	cluster_sim_prepare(&s, INSTANCES, 1);
	s.mutation = mutation;
	cluster_sim_start(&s);
	run_ms(&s, 5000);
	all_opened = all_tokens_open(&s);
	advance_wall_clock(&s, CAROB_KEY_ROTATE_MS);
	all_opened &= run_and_check_tokens(&s, 20000);
	if (mutation == CAROB_CLUSTER_MUTATION_NONE)
		CU_ASSERT_EQUAL(epoch_of(&s, 0), 1);
	for (size_t i = 0; i < INSTANCES; i++)
		CU_ASSERT_PTR_NOT_NULL(
			carob_keyring_get(app_of(&s.sim, i)->keyring, 2));
	advance_wall_clock(&s, CAROB_KEY_ACTIVATION_DELAY_MS);
	all_opened &= run_and_check_tokens(&s, 5000);
	for (size_t i = 0; i < INSTANCES; i++)
		CU_ASSERT_EQUAL(epoch_of(&s, i), 2);
	/* Tokens sealed with the previous key can still be opened. */
	CU_ASSERT_PTR_NOT_NULL(
		carob_keyring_get(app_of(&s.sim, 0)->keyring, 1));
	cluster_sim_dispose(&s);
	return all_opened;
}

static void test_rotation(void)
{
	CU_ASSERT(rotation_keeps_tokens_valid(CAROB_CLUSTER_MUTATION_NONE));
	CU_ASSERT_FALSE(rotation_keeps_tokens_valid(
		CAROB_CLUSTER_MUTATION_ACTIVATE_AT_ONCE));
}

static void partition_zone(cluster_sim_t *s, int group)
{
	for (size_t i = 0; i < s->sim.count; i++)
		s->sim.nodes[i].group = i % 2 ? group : 0;
}

/*
 * Two zones that are cut off from each other both reach the store, so that an
 * instance of each tries to rotate the key at the same time.
 *
 * @return whether all instances have the same key in the end
 */
static bool race_ends_with_one_key(carob_cluster_mutation_t mutation,
				   uint64_t seed)
{
	bool has_one_key;
	cluster_sim_t s;

	cluster_sim_prepare(&s, INSTANCES, seed);
	s.mutation = mutation;
	cluster_sim_start(&s);
	run_ms(&s, 5000);
	partition_zone(&s, 1);
	run_ms(&s, 10000);
	advance_wall_clock(&s, 2 * CAROB_KEY_ROTATE_MS);
	run_ms(&s, 20000);
	partition_zone(&s, 0);
	run_ms(&s, 15000);
	advance_wall_clock(&s, CAROB_KEY_ACTIVATION_DELAY_MS);
	run_ms(&s, 5000);
	has_one_key = all_tokens_open(&s);
	cluster_sim_dispose(&s);
	return has_one_key;
}

static void test_concurrent_rotations(void)
{
	bool mutation_detected = false;

	for (uint64_t seed = 1; seed <= 6; seed++) {
		CU_ASSERT(race_ends_with_one_key(CAROB_CLUSTER_MUTATION_NONE,
						 seed));
		mutation_detected |= !race_ends_with_one_key(
			CAROB_CLUSTER_MUTATION_IGNORE_CONFLICT, seed);
	}
	CU_ASSERT(mutation_detected);
}

/*
 * The rotation is delayed while a zone is cut off and could not receive the
 * new key, but only for CAROB_KEY_ROTATE_MS.
 */
static void test_rotation_while_cut_off(void)
{
	cluster_sim_t s;

	cluster_sim_init(&s, INSTANCES, 1);
	run_ms(&s, 5000);
	partition_zone(&s, 1);
	run_ms(&s, 10000);
	advance_wall_clock(&s, CAROB_KEY_ROTATE_MS);
	run_ms(&s, 20000);
	CU_ASSERT_PTR_NULL(carob_keyring_get(app_of(&s.sim, 0)->keyring, 2));
	advance_wall_clock(&s, CAROB_KEY_ROTATE_MS);
	/* Paused, the cut-off instances can't reach the store either. */
	for (size_t i = 1; i < INSTANCES; i += 2)
		s.sim.nodes[i].paused = true;
	run_ms(&s, 100000);
	CU_ASSERT_PTR_NOT_NULL(
		carob_keyring_get(app_of(&s.sim, 0)->keyring, 2));
	for (size_t i = 1; i < INSTANCES; i += 2)
		sim_resume(&s.sim, i);
	partition_zone(&s, 0);
	run_ms(&s, 10000);
	CU_ASSERT(all_tokens_open(&s));
	advance_wall_clock(&s, CAROB_KEY_ACTIVATION_DELAY_MS);
	CU_ASSERT(run_and_check_tokens(&s, 3000));
	cluster_sim_dispose(&s);
}

static void on_stored(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	(void)call;
	CU_ASSERT_EQUAL(reply->result, 0);
}

static void store_document(cluster_sim_t *s, carob_str_t document)
{
	carob_kv_call_t call = {.done = on_stored};
	carob_kv_t *kv = carob_kv_memory_kv(s->store);

	kv->ops->put_cas(kv, &call, CAROB_STR(STORE_KEY), document, 0);
	for (int i = 0; i < 10; i++) {
		carob_manual_clock_advance(&s->sim.clock, SIM_STEP_NS);
		carob_kernel_run_due(s->kernel);
	}
}

/* Rotates the key once a day while the epoch wraps from 255 to 0. */
static void test_epoch_wraps(void)
{
	carob_control_key_t first = {.serial = 254, .key = {5}};
	carob_keyset_t set = {.count = 0};
	carob_buf_t document = CAROB_BUF_INIT;
	cluster_sim_t s;

	cluster_sim_prepare(&s, INSTANCES, 1);
	first.created_ms = carob_clock_wall_ms(&s.sim.clock.clock);
	first.activate_ms = first.created_ms;
	carob_keyset_merge(&set, &first);
	CU_ASSERT_EQUAL(carob_keyset_write(&document, &set, secret), 0);
	store_document(&s, carob_buf_view(&document));
	cluster_sim_start(&s);
	run_ms(&s, 5000);
	for (int day = 0; day < 4; day++) {
		CU_ASSERT(all_tokens_open(&s));
		CU_ASSERT_EQUAL(epoch_of(&s, 1), (uint8_t)(254 + day));
		advance_wall_clock(&s, CAROB_KEY_ROTATE_MS);
		CU_ASSERT(run_and_check_tokens(&s, 100000));
		advance_wall_clock(&s, CAROB_KEY_ACTIVATION_DELAY_MS);
		CU_ASSERT(run_and_check_tokens(&s, 2000));
	}
	CU_ASSERT_PTR_NULL(carob_keyring_get(app_of(&s.sim, 0)->keyring, 254));
	carob_buf_dispose(&document);
	cluster_sim_dispose(&s);
}

/* A document that cannot be read, such as a newer version, must be kept. */
static void test_unreadable_document(void)
{
	carob_str_t value;
	cluster_sim_t s;

	cluster_sim_prepare(&s, 3, 1);
	store_document(&s, CAROB_STR("{\"version\":9}"));
	cluster_sim_start(&s);
	run_ms(&s, 20000);
	for (size_t i = 0; i < 3; i++)
		CU_ASSERT_FALSE(
			carob_cluster_ready(app_of(&s.sim, i)->cluster));
	CU_ASSERT(carob_kv_memory_peek(&value, s.store, CAROB_STR(STORE_KEY)));
	CU_ASSERT(carob_str_eq(value, CAROB_STR("{\"version\":9}")));
	cluster_sim_dispose(&s);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"only one first key is created", test_first_key},
		{"the first key is created when the store is available again",
		 test_store_down_at_start},
		{"keys come from peers while the store is down",
		 test_keys_from_peers},
		{"the keyring stays empty until the instance has joined",
		 test_no_key_before_joined},
		{"tokens stay valid during a rotation", test_rotation},
		{"two concurrent rotations end with one key",
		 test_concurrent_rotations},
		{"a rotation is delayed while a zone is cut off",
		 test_rotation_while_cut_off},
		{"tokens stay valid while the epoch wraps", test_epoch_wraps},
		{"an unreadable document is not overwritten",
		 test_unreadable_document},
	};

	return run_tests("keys", cases, CAROB_ARRAY_SIZE(cases));
}
