#include "cluster_sim.h"

#include "core/keys/keyset.h"

#include <string.h>

#define INSTANCES 5
#define STORE_KEY "carobtrail/hou/keys"

static const uint8_t *sealing_key(const world_t *w, size_t i, uint8_t *epoch)
{
	return carob_keyring_active(app_of((sim_t *)&w->sim, i)->keyring,
				    epoch);
}

/* @return how many instances can open what instance `i` seals */
static size_t count_openers(world_t *w, size_t i)
{
	uint8_t epoch;
	const uint8_t *key = sealing_key(w, i, &epoch);
	size_t count = 0;

	for (size_t j = 0; key && j < w->sim.count; j++) {
		const uint8_t *other;

		if (!w->sim.nodes[j].gossip)
			continue;
		other = carob_keyring_get(app_of(&w->sim, j)->keyring, epoch);
		if (other && memcmp(other, key, CAROB_KEY_BYTES) == 0)
			count++;
	}
	return count;
}

/* @return whether everybody opens what anybody seals */
static bool all_open_all(world_t *w)
{
	for (size_t i = 0; i < w->sim.count; i++)
		if (w->sim.nodes[i].gossip &&
		    count_openers(w, i) != w->sim.count)
			return false;
	return true;
}

/* Runs and checks at each step. @return whether it held all the time */
static bool open_all_for(world_t *w, uint64_t ms)
{
	bool held = true;

	for (uint64_t t = 0; t < ms; t += 5) {
		run_ms(w, 5);
		held &= all_open_all(w);
	}
	return held;
}

static uint8_t epoch_of(const world_t *w, size_t i)
{
	uint8_t epoch = 0;

	(void)sealing_key(w, i, &epoch);
	return epoch;
}

static void pass_days(world_t *w, uint64_t ms)
{
	w->sim.clock.wall_offset_ms += ms;
}

static void test_first_key(void)
{
	static const carob_kv_fate_t fates[] = {CAROB_KV_SERVED, CAROB_KV_LOST,
						CAROB_KV_ANSWER_LOST};

	for (size_t f = 0; f < CAROB_ARRAY_SIZE(fates); f++) {
		world_t w;

		world_prepare(&w, INSTANCES, f + 1);
		carob_kv_memory_set_write_fate(w.store, fates[f], 0, 2);
		world_start(&w);
		run_ms(&w, 5000);
		CU_ASSERT(all_open_all(&w));
		for (size_t i = 0; i < INSTANCES; i++)
			CU_ASSERT_EQUAL(epoch_of(&w, i), 1);
		CU_ASSERT_EQUAL(carob_kv_memory_size(w.store), 1);
		world_dispose(&w);
	}
}

static void test_store_down_at_start(void)
{
	world_t w;

	world_prepare(&w, INSTANCES, 1);
	carob_kv_memory_set_fate(w.store, CAROB_KV_LOST);
	world_start(&w);
	run_ms(&w, 5000);
	for (size_t i = 0; i < INSTANCES; i++)
		CU_ASSERT_FALSE(
			carob_cluster_ready(app_of(&w.sim, i)->cluster));
	carob_kv_memory_set_fate(w.store, CAROB_KV_SERVED);
	run_ms(&w, 5000);
	CU_ASSERT(all_open_all(&w));
	world_dispose(&w);
}

/* Without the others it would take their flows for those of dead owners. */
static void test_no_key_before_joined(void)
{
	carob_control_key_t key = {.serial = 1, .key = {5}};
	carob_control_msg_t msg = {.type = CAROB_CONTROL_KEY_REPLY,
				   .from = {9, 9}};
	world_t w;
	app_t *app;

	world_prepare(&w, 1, 1);
	sim_start(&w.sim, 0, zones[0]);
	app = app_of(&w.sim, 0);
	run_ms(&w, 100);
	msg.keys = (carob_control_keys_t){1, 1, &key};
	carob_cluster_on_message(app->cluster, &msg);
	CU_ASSERT_FALSE(carob_gossip_joined(w.sim.nodes[0].gossip));
	CU_ASSERT_FALSE(carob_cluster_ready(app->cluster));
	CU_ASSERT_PTR_NULL(carob_keyring_get(app->keyring, 1));
	run_ms(&w, 6000);
	CU_ASSERT(carob_gossip_joined(w.sim.nodes[0].gossip));
	CU_ASSERT(carob_cluster_ready(app->cluster));
	CU_ASSERT_PTR_NOT_NULL(carob_keyring_get(app->keyring, 1));
	world_dispose(&w);
}

static void test_keys_from_peers(void)
{
	uint64_t calls;
	world_t w;

	world_init(&w, INSTANCES, 1);
	run_ms(&w, 3000);
	carob_kv_memory_set_fate(w.store, CAROB_KV_LOST);
	calls = carob_kv_memory_calls(w.store);
	for (size_t i = 0; i < INSTANCES; i++) {
		sim_kill(&w.sim, i);
		sim_start(&w.sim, i, zones[i % 2]);
		run_ms(&w, 4000);
		CU_ASSERT(carob_cluster_ready(app_of(&w.sim, i)->cluster));
	}
	CU_ASSERT(all_open_all(&w));
	CU_ASSERT_EQUAL(carob_kv_memory_calls(w.store), calls);
	world_dispose(&w);
}

/* @return whether everybody opened everything at every moment */
static bool rotates_smoothly(carob_cluster_fault_t fault)
{
	bool held;
	world_t w;

	world_prepare(&w, INSTANCES, 1);
	w.fault = fault;
	world_start(&w);
	run_ms(&w, 5000);
	held = all_open_all(&w);
	pass_days(&w, CAROB_KEY_ROTATE_MS);
	held &= open_all_for(&w, 20000);
	if (fault == CAROB_CLUSTER_FAULT_NONE)
		CU_ASSERT_EQUAL(epoch_of(&w, 0), 1);
	for (size_t i = 0; i < INSTANCES; i++)
		CU_ASSERT_PTR_NOT_NULL(
			carob_keyring_get(app_of(&w.sim, i)->keyring, 2));
	pass_days(&w, CAROB_KEY_SPREAD_MS);
	held &= open_all_for(&w, 5000);
	for (size_t i = 0; i < INSTANCES; i++)
		CU_ASSERT_EQUAL(epoch_of(&w, i), 2);
	/* Tokens of the former key still open. */
	CU_ASSERT_PTR_NOT_NULL(
		carob_keyring_get(app_of(&w.sim, 0)->keyring, 1));
	world_dispose(&w);
	return held;
}

static void test_rotation(void)
{
	CU_ASSERT(rotates_smoothly(CAROB_CLUSTER_FAULT_NONE));
	CU_ASSERT_FALSE(rotates_smoothly(CAROB_CLUSTER_FAULT_ACTIVATE_AT_ONCE));
}

static void cut_zone(world_t *w, int group)
{
	for (size_t i = 0; i < w->sim.count; i++)
		w->sim.nodes[i].group = i % 2 ? group : 0;
}

/* The store can be reached by both sides, so both try to rotate at once. */
static bool race_ends_with_one_key(carob_cluster_fault_t fault, uint64_t seed)
{
	bool agreed;
	world_t w;

	world_prepare(&w, INSTANCES, seed);
	w.fault = fault;
	world_start(&w);
	run_ms(&w, 5000);
	cut_zone(&w, 1);
	run_ms(&w, 10000);
	pass_days(&w, 2 * CAROB_KEY_ROTATE_MS);
	run_ms(&w, 20000);
	cut_zone(&w, 0);
	run_ms(&w, 15000);
	pass_days(&w, CAROB_KEY_SPREAD_MS);
	run_ms(&w, 5000);
	agreed = all_open_all(&w);
	world_dispose(&w);
	return agreed;
}

static void test_race(void)
{
	bool caught = false;

	for (uint64_t seed = 1; seed <= 6; seed++) {
		CU_ASSERT(
			race_ends_with_one_key(CAROB_CLUSTER_FAULT_NONE, seed));
		caught |= !race_ends_with_one_key(
			CAROB_CLUSTER_FAULT_IGNORE_CONFLICT, seed);
	}
	CU_ASSERT(caught);
}

/* The rotation waits for a zone that is cut off, but not for ever. */
static void test_rotation_while_cut_off(void)
{
	world_t w;

	world_init(&w, INSTANCES, 1);
	run_ms(&w, 5000);
	cut_zone(&w, 1);
	run_ms(&w, 10000);
	pass_days(&w, CAROB_KEY_ROTATE_MS);
	run_ms(&w, 20000);
	CU_ASSERT_PTR_NULL(carob_keyring_get(app_of(&w.sim, 0)->keyring, 2));
	pass_days(&w, CAROB_KEY_ROTATE_MS);
	/* The cut-off zone can't reach the store either. */
	for (size_t i = 1; i < INSTANCES; i += 2)
		w.sim.nodes[i].paused = true;
	run_ms(&w, 100000);
	CU_ASSERT_PTR_NOT_NULL(
		carob_keyring_get(app_of(&w.sim, 0)->keyring, 2));
	for (size_t i = 1; i < INSTANCES; i += 2)
		sim_resume(&w.sim, i);
	cut_zone(&w, 0);
	run_ms(&w, 10000);
	CU_ASSERT(all_open_all(&w));
	pass_days(&w, CAROB_KEY_SPREAD_MS);
	CU_ASSERT(open_all_for(&w, 3000));
	world_dispose(&w);
}

static void forget(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	(void)call;
	CU_ASSERT_EQUAL(reply->result, 0);
}

static void store_document(world_t *w, carob_str_t document)
{
	carob_kv_call_t call = {.done = forget};
	carob_kv_t *kv = carob_kv_memory_kv(w->store);

	kv->ops->put_cas(kv, &call, CAROB_STR(STORE_KEY), document, 0);
	for (int i = 0; i < 10; i++) {
		carob_manual_clock_advance(&w->sim.clock, SIM_STEP_NS);
		carob_kernel_run_due(w->kernel);
	}
}

/* Day after day; the epoch wraps from 255 to 0. */
static void test_epoch_wraps(void)
{
	carob_control_key_t first = {.serial = 254, .key = {5}};
	carob_keyset_t set = {.count = 0};
	carob_buf_t document = CAROB_BUF_INIT;
	world_t w;

	world_prepare(&w, INSTANCES, 1);
	first.created_ms = carob_clock_wall_ms(&w.sim.clock.clock);
	first.activate_ms = first.created_ms;
	carob_keyset_merge(&set, &first);
	CU_ASSERT_EQUAL(carob_keyset_write(&document, &set, secret), 0);
	store_document(&w, carob_buf_view(&document));
	world_start(&w);
	run_ms(&w, 5000);
	for (int day = 0; day < 4; day++) {
		CU_ASSERT(all_open_all(&w));
		CU_ASSERT_EQUAL(epoch_of(&w, 1), (uint8_t)(254 + day));
		pass_days(&w, CAROB_KEY_ROTATE_MS);
		CU_ASSERT(open_all_for(&w, 100000));
		pass_days(&w, CAROB_KEY_SPREAD_MS);
		CU_ASSERT(open_all_for(&w, 2000));
	}
	CU_ASSERT_PTR_NULL(carob_keyring_get(app_of(&w.sim, 0)->keyring, 254));
	carob_buf_dispose(&document);
	world_dispose(&w);
}

/* Nobody overwrites what it cannot read. */
static void test_unreadable_document(void)
{
	carob_str_t value;
	world_t w;

	world_prepare(&w, 3, 1);
	store_document(&w, CAROB_STR("{\"version\":9}"));
	world_start(&w);
	run_ms(&w, 20000);
	for (size_t i = 0; i < 3; i++)
		CU_ASSERT_FALSE(
			carob_cluster_ready(app_of(&w.sim, i)->cluster));
	CU_ASSERT(carob_kv_memory_peek(&value, w.store, CAROB_STR(STORE_KEY)));
	CU_ASSERT(carob_str_eq(value, CAROB_STR("{\"version\":9}")));
	world_dispose(&w);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"the first key is created once", test_first_key},
		{"the store is down at the start", test_store_down_at_start},
		{"keys come from peers while the store is down",
		 test_keys_from_peers},
		{"no key before the others are known",
		 test_no_key_before_joined},
		{"a rotation breaks no token", test_rotation},
		{"two rotations at once end with one key", test_race},
		{"a rotation while a zone is cut off",
		 test_rotation_while_cut_off},
		{"the epoch wraps", test_epoch_wraps},
		{"an unreadable document is left alone",
		 test_unreadable_document},
	};

	return run_tests("keys", cases, CAROB_ARRAY_SIZE(cases));
}
