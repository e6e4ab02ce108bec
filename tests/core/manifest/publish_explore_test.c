/*
 * Model checker for publishing, applying and cleaning up manifests. The
 * processes are two publishers, two appliers (instances that put generations in
 * force, the first of which sends them to the second) and a cleaner, all using
 * one key-value service. A step serves one pending call, so a process may pause
 * between any two of its calls. The checker explores the interleavings depth
 * first, skips states that it has visited before, and reaches the state after a
 * path by replaying the path from the start. It guards against reverted
 * generations, wrong outcomes of publishes and removed parts that are still
 * needed.
 */
#include "core/manifest_fixture.h"

#include "carobtrail/rng.h"
#include "core/manifest/manifest_fetch.h"

#include <stdio.h>
#include <stdlib.h>

#define PUBLISHERS	 2
#define APPLIERS	 2
#define FIRST_GENERATION 2
#define GENERATIONS_MAX	 8
#define DEPTH_MAX	 200
#define ACTIONS_MAX	 16

typedef enum process_id {
	PROCESS_PUBLISHER_0,
	PROCESS_PUBLISHER_1,
	PROCESS_APPLIER_0,
	PROCESS_APPLIER_1,
	PROCESS_CLEANER,
	PROCESS_COUNT,
} process_id_t;

/* Steps other than serving the call of a process. */
typedef enum extra_action {
	/* Publisher 0 writes the head, but gets no response. */
	ACTION_LOSE_ANSWER = PROCESS_COUNT,
	ACTION_PEER,	/* applier 1 applies the generation from applier 0 */
	ACTION_TIME,	/* the next timer fires */
	ACTION_APPLY_0, /* applier 0 applies the generation it fetched */
	ACTION_APPLY_1, /* applier 1 applies the generation it fetched */
	ACTION_COUNT,
} extra_action_t;

/* Processes, failures and bounds of one exploration. */
typedef struct model {
	bool with[PROCESS_COUNT];
	bool lose_answer; /* allows ACTION_LOSE_ANSWER once */
	carob_manifest_fault_t fault;
	unsigned int rounds; /* reads of the head by each applier */
	/* Largest number of switches away from a process that can continue. */
	unsigned int switches_max;
} model_t;

typedef struct world world_t;

/* Forwards the calls of a process to the service and hashes the replies. */
typedef struct proxy {
	carob_kv_t kv;
	carob_kv_call_t inner;	/* call to the service */
	carob_kv_call_t *outer; /* pending call of the process, or NULL */
	carob_kv_t *target;
	uint64_t seen; /* hash of all replies, represents the process state */
	bool touches_head; /* the pending call reads or writes the head */
	bool writes_head;  /* the pending call writes the head */
} proxy_t;

/* An instance that reads the head and puts new generations in force. */
typedef struct applier {
	carob_kv_call_t call;
	carob_fetch_t fetch;
	proxy_t *proxy;
	world_t *world;
	carob_manifest_store_t *store;
	unsigned int rounds;
	carob_generation_t fetched; /* fetched, but not applied yet */
	uint64_t highest;	    /* generation after the last `apply` */
	bool reverted;		    /* a lower generation came in force */
} applier_t;

struct world {
	const model_t *model;
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_kv_memory_t *memory;
	proxy_t proxies[PROCESS_COUNT];
	carob_publish_t *publishers[PUBLISHERS];
	carob_publish_outcome_t outcomes[PUBLISHERS];
	bool published[PUBLISHERS];
	applier_t appliers[APPLIERS];
	carob_clean_t *cleaner;
	bool cleaned;
	bool answer_lost;
	carob_generation_t told; /* in transit from applier 0 to applier 1 */
	/* Publish ids that the head has had, by generation. */
	carob_publish_id_t accepted[GENERATIONS_MAX];
	int last; /* process of the last step, or -1 */
	unsigned int switches;
};

/* Initial content of the service, with two generations published. */
static carob_kv_memory_t *base;

static void on_inner(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	proxy_t *proxy = CAROB_CONTAINER_OF(call, proxy_t, inner);
	carob_kv_call_t *outer = proxy->outer;
	uint64_t hash = proxy->seen;

	hash = carob_hash_u64(hash ^ (uint64_t)(int64_t)reply->result);
	for (size_t i = 0; i < reply->count; i++) {
		const carob_kv_entry_t *entry = &reply->entries[i];

		hash = carob_hash_bytes(hash ^ entry->index, entry->key.ptr,
					entry->key.len);
		hash = carob_hash_bytes(hash, entry->value.ptr,
					entry->value.len);
	}
	proxy->seen = hash;
	proxy->outer = NULL;
	outer->pending = NULL;
	outer->done(outer, reply);
}

static proxy_t *take_call(carob_kv_t *kv, carob_kv_call_t *call,
			  carob_str_t key)
{
	proxy_t *proxy = CAROB_CONTAINER_OF(kv, proxy_t, kv);
	carob_kv_key_t head;

	proxy->outer = call;
	call->pending = proxy;
	proxy->inner.done = on_inner;
	carob_head_key(&head, FIXTURE_DEPLOYMENT);
	proxy->touches_head = carob_str_eq(key, carob_str_from(head.text));
	proxy->writes_head = false;
	return proxy;
}

static void proxy_get(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key)
{
	proxy_t *proxy = take_call(kv, call, key);

	proxy->target->ops->get(proxy->target, &proxy->inner, key);
}

static void proxy_put_cas(carob_kv_t *kv, carob_kv_call_t *call,
			  carob_str_t key, carob_str_t value, uint64_t index)
{
	proxy_t *proxy = take_call(kv, call, key);

	proxy->writes_head = proxy->touches_head;
	proxy->target->ops->put_cas(proxy->target, &proxy->inner, key, value,
				    index);
}

static void proxy_remove(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key)
{
	proxy_t *proxy = take_call(kv, call, key);

	proxy->target->ops->remove(proxy->target, &proxy->inner, key);
}

static void proxy_list(carob_kv_t *kv, carob_kv_call_t *call,
		       carob_str_t prefix)
{
	proxy_t *proxy = take_call(kv, call, prefix);

	proxy->target->ops->list(proxy->target, &proxy->inner, prefix);
}

static void proxy_cancel(carob_kv_t *kv, carob_kv_call_t *call)
{
	proxy_t *proxy = CAROB_CONTAINER_OF(kv, proxy_t, kv);

	call->pending = NULL;
	proxy->outer = NULL;
	proxy->target->ops->cancel(proxy->target, &proxy->inner);
}

static const carob_kv_ops_t proxy_ops = {
	.get = proxy_get,
	.put_cas = proxy_put_cas,
	.remove = proxy_remove,
	.list = proxy_list,
	.cancel = proxy_cancel,
};

static void apply(applier_t *applier, const carob_generation_t *generation)
{
	world_t *world = applier->world;
	const carob_generation_t *current;

	(void)carob_manifest_store_offer(applier->store, generation);
	current = carob_manifest_store_current(applier->store);
	if (current->number < applier->highest)
		applier->reverted = true;
	applier->highest = current->number;
	if (applier == &world->appliers[0]) {
		carob_manifest_free(world->told.manifest);
		world->told = *current;
		(void)carob_manifest_ref(world->told.manifest);
	}
}

static void next_round(applier_t *applier);

static void on_fetched(carob_fetch_t *fetch, int result,
		       carob_manifest_t *manifest)
{
	applier_t *applier = CAROB_CONTAINER_OF(fetch, applier_t, fetch);
	carob_generation_t generation = {fetch->index.generation,
					 fetch->index.publish_id, manifest};

	if (result == 0)
		applier->fetched = generation; /* applied by another step */
	else
		next_round(applier);
}

static void on_head(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	applier_t *applier = CAROB_CONTAINER_OF(call, applier_t, call);
	const carob_generation_t *current =
		carob_manifest_store_current(applier->store);
	carob_head_t head = {0};

	if (reply->result != 0 ||
	    carob_head_parse(&head, "head", reply->entries[0].value) != 0 ||
	    head.generation <= current->number) {
		next_round(applier);
		return;
	}
	applier->fetch.done = on_fetched;
	carob_fetch_start(&applier->fetch, &applier->proxy->kv,
			  FIXTURE_DEPLOYMENT, &head.index, current->manifest);
}

static void next_round(applier_t *applier)
{
	carob_kv_key_t key;

	if (applier->rounds++ == applier->world->model->rounds)
		return;
	carob_head_key(&key, FIXTURE_DEPLOYMENT);
	applier->call.done = on_head;
	proxy_get(&applier->proxy->kv, &applier->call,
		  carob_str_from(key.text));
}

static void on_published(void *context, const carob_publish_outcome_t *outcome)
{
	carob_publish_outcome_t *slot = context;

	*slot = *outcome;
	slot->unchanged = true; /* marks the publish as ended */
}

static void on_cleaned(void *context, int result, size_t removed)
{
	(void)result;
	(void)removed;
	((world_t *)context)->cleaned = true;
}

static void start_publisher(world_t *world, unsigned int i)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	char addr[] = "127.0.1.5:1";

	addr[8] = (char)('5' + i);
	options.kernel = world->kernel;
	options.kv = &world->proxies[PROCESS_PUBLISHER_0 + i].kv;
	options.manifest = fixture_manifest(addr, 9);
	options.publish_id.bytes[0] = (uint8_t)(10 + i);
	options.done = on_published;
	options.context = &world->outcomes[i];
	CU_ASSERT_EQUAL(carob_publish_new(&world->publishers[i], &options), 0);
	carob_manifest_free(options.manifest);
}

static void start_applier(world_t *world, unsigned int i)
{
	applier_t *applier = &world->appliers[i];

	applier->proxy = &world->proxies[PROCESS_APPLIER_0 + i];
	applier->world = world;
	CU_ASSERT_EQUAL(carob_manifest_store_new(&applier->store), 0);
	carob_manifest_store_set_fault(applier->store, world->model->fault);
	next_round(applier);
}

static void start_cleaner(world_t *world)
{
	carob_clean_options_t options = CAROB_CLEAN_OPTIONS_INIT;

	options.kv = &world->proxies[PROCESS_CLEANER].kv;
	options.deployment = FIXTURE_DEPLOYMENT;
	options.keep = 0;
	options.fault = world->model->fault;
	options.done = on_cleaned;
	options.context = world;
	CU_ASSERT_EQUAL(carob_clean_new(&world->cleaner, &options), 0);
}

static world_t *world_new(const model_t *model)
{
	world_t *world = calloc(1, sizeof(*world));

	if (!world)
		abort();
	world->model = model;
	world->last = -1;
	carob_manual_clock_init(&world->clock, CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(carob_kernel_new(&world->kernel, &world->clock.clock),
			0);
	CU_ASSERT_EQUAL(carob_kv_memory_new(&world->memory, NULL), 0);
	carob_kv_memory_copy(world->memory, base);
	for (int i = 0; i < PROCESS_COUNT; i++) {
		world->proxies[i].kv.ops = &proxy_ops;
		world->proxies[i].target = carob_kv_memory_kv(world->memory);
	}
	for (unsigned int i = 0; i < PUBLISHERS; i++)
		if (model->with[PROCESS_PUBLISHER_0 + i])
			start_publisher(world, i);
	for (unsigned int i = 0; i < APPLIERS; i++)
		if (model->with[PROCESS_APPLIER_0 + i])
			start_applier(world, i);
	if (model->with[PROCESS_CLEANER])
		start_cleaner(world);
	return world;
}

static void world_free(world_t *world)
{
	for (unsigned int i = 0; i < PUBLISHERS; i++)
		carob_publish_free(world->publishers[i]);
	for (unsigned int i = 0; i < APPLIERS; i++) {
		if (world->appliers[i].call.pending)
			proxy_cancel(&world->appliers[i].proxy->kv,
				     &world->appliers[i].call);
		carob_fetch_cancel(&world->appliers[i].fetch);
		carob_manifest_free(world->appliers[i].fetched.manifest);
		carob_manifest_store_free(world->appliers[i].store);
	}
	carob_clean_free(world->cleaner);
	carob_manifest_free(world->told.manifest);
	carob_kv_memory_free(world->memory);
	carob_kernel_free(world->kernel);
	free(world);
}

static bool process_ready(const world_t *world, int process)
{
	return world->proxies[process].outer != NULL;
}

static bool can_lose_answer(const world_t *world)
{
	const proxy_t *proxy = &world->proxies[PROCESS_PUBLISHER_0];

	return world->model->lose_answer && !world->answer_lost &&
	       proxy->outer && proxy->writes_head;
}

/*
 * Returns a process whose pending call accesses a part, or -1. Parts are
 * immutable, so without a cleaner the order of such a call and the steps of
 * other processes makes no difference, and only one order is explored.
 */
static int find_invisible(const world_t *world)
{
	for (int i = 0; i < PROCESS_COUNT; i++)
		if (process_ready(world, i) && !world->proxies[i].touches_head)
			return i;
	return -1;
}

static size_t list_actions(int actions[ACTIONS_MAX], const world_t *world)
{
	bool may_switch = world->switches < world->model->switches_max;
	uint64_t due;
	size_t count = 0;

	if (!world->model->with[PROCESS_CLEANER] &&
	    find_invisible(world) >= 0) {
		actions[count++] = find_invisible(world);
		return count;
	}
	/* No switches are left, so a process that can continue does so. */
	if (!may_switch && world->last >= 0 &&
	    process_ready(world, world->last)) {
		actions[count++] = world->last;
		return count;
	}
	for (int i = 0; i < PROCESS_COUNT; i++)
		if (process_ready(world, i))
			actions[count++] = i;
	if (can_lose_answer(world))
		actions[count++] = ACTION_LOSE_ANSWER;
	if (world->told.manifest && world->appliers[1].store)
		actions[count++] = ACTION_PEER;
	for (int i = 0; i < APPLIERS; i++)
		if (world->appliers[i].fetched.manifest)
			actions[count++] = ACTION_APPLY_0 + i;
	if (carob_kernel_next_due(world->kernel, &due))
		actions[count++] = ACTION_TIME;
	return count;
}

static void serve(world_t *world, int process, carob_kv_fate_t fate)
{
	size_t ready = carob_kv_memory_ready(world->memory);

	for (size_t i = 0; i < ready; i++) {
		if (carob_kv_memory_ready_call(world->memory, i) !=
		    &world->proxies[process].inner)
			continue;
		carob_kv_memory_serve(world->memory, i, fate);
		return;
	}
}

static void apply_fetched(applier_t *applier)
{
	carob_generation_t fetched = applier->fetched;

	applier->fetched = (carob_generation_t){0};
	apply(applier, &fetched);
	carob_manifest_free(fetched.manifest);
	next_round(applier);
}

static void step(world_t *world, int action)
{
	carob_generation_t told = world->told;
	uint64_t due;

	if (world->last >= 0 && action != world->last &&
	    process_ready(world, world->last))
		world->switches++;
	world->last = action < PROCESS_COUNT ? action : -1;
	if (action < PROCESS_COUNT) {
		serve(world, action, CAROB_KV_SERVED);
	} else if (action == ACTION_LOSE_ANSWER) {
		world->answer_lost = true;
		serve(world, PROCESS_PUBLISHER_0, CAROB_KV_ANSWER_LOST);
	} else if (action == ACTION_PEER) {
		world->told = (carob_generation_t){0};
		apply(&world->appliers[1], &told);
		carob_manifest_free(told.manifest);
	} else if (action >= ACTION_APPLY_0) {
		apply_fetched(&world->appliers[action - ACTION_APPLY_0]);
	} else if (carob_kernel_next_due(world->kernel, &due)) {
		world->clock.now_ns = due;
		carob_kernel_run_due(world->kernel);
	}
}

static bool part_exists(const world_t *world, const carob_part_name_t *name)
{
	carob_kv_key_t key;
	carob_str_t value;

	carob_part_key(&key, FIXTURE_DEPLOYMENT, name);
	return carob_kv_memory_peek(&value, world->memory,
				    carob_str_from(key.text));
}

static bool index_is_whole(const world_t *world, const carob_head_t *head)
{
	carob_index_t index;
	carob_kv_key_t key;
	carob_str_t value;

	carob_part_key(&key, FIXTURE_DEPLOYMENT, &head->index);
	if (!carob_kv_memory_peek(&value, world->memory,
				  carob_str_from(key.text)) ||
	    carob_index_parse(&index, "index", value) != 0 ||
	    index.generation != head->generation ||
	    !part_exists(world, &index.history))
		return false;
	for (size_t i = 0; i < CAROB_PART_COUNT; i++)
		if (!part_exists(world, &index.parts[i]))
			return false;
	return true;
}

static carob_head_t read_head(const world_t *world)
{
	carob_head_t head = {0};
	carob_kv_key_t key;
	carob_str_t value;

	carob_head_key(&key, FIXTURE_DEPLOYMENT);
	if (carob_kv_memory_peek(&value, world->memory,
				 carob_str_from(key.text)))
		(void)carob_head_parse(&head, "head", value);
	return head;
}

static bool is_none(const carob_publish_id_t *id)
{
	static const carob_publish_id_t none;

	return carob_publish_id_eq(id, &none);
}

static bool was_accepted(const world_t *world, unsigned int publisher)
{
	for (size_t g = 0; g < GENERATIONS_MAX; g++)
		if (world->accepted[g].bytes[0] == 10 + publisher)
			return true;
	return false;
}

/* Returns NULL, or a description of the invariant that is violated. */
static const char *check_publishers(const world_t *world)
{
	for (unsigned int i = 0; i < PUBLISHERS; i++) {
		const carob_publish_outcome_t *outcome = &world->outcomes[i];

		if (!outcome->unchanged)
			continue;
		if (outcome->result == 0 && !was_accepted(world, i))
			return "a publish reported success, but was not "
			       "accepted";
		if (outcome->result == CAROB_ECONFLICT &&
		    was_accepted(world, i))
			return "a publish reported a conflict, but was "
			       "accepted";
	}
	return NULL;
}

static const char *check_appliers(const world_t *world)
{
	for (unsigned int i = 0; i < APPLIERS; i++) {
		const applier_t *applier = &world->appliers[i];
		const carob_generation_t *current;

		if (!applier->store)
			continue;
		current = carob_manifest_store_current(applier->store);
		if (applier->reverted)
			return "an instance reverted to a lower generation";
		if (current->number > FIRST_GENERATION &&
		    !carob_publish_id_eq(&current->publish_id,
					 &world->accepted[current->number]))
			return "a generation is in force whose publish was "
			       "not accepted";
	}
	return NULL;
}

/* Records the publish id of the head, and checks it is the only one. */
static const char *note_head(world_t *world, const carob_head_t *head)
{
	carob_publish_id_t *accepted;

	if (head->generation == 0 || head->generation >= GENERATIONS_MAX)
		return "the head is missing or its generation out of range";
	accepted = &world->accepted[head->generation];
	if (is_none(accepted))
		*accepted = head->publish_id;
	return carob_publish_id_eq(accepted, &head->publish_id)
		       ? NULL
		       : "one generation was accepted from two publishes";
}

static const char *check(world_t *world)
{
	carob_head_t head = read_head(world);
	const char *broken = note_head(world, &head);

	if (broken)
		return broken;
	if (!index_is_whole(world, &head) ||
	    (head.delta.text[0] && !part_exists(world, &head.delta)))
		return "the head refers to a part that does not exist";
	broken = check_publishers(world);
	return broken ? broken : check_appliers(world);
}

static uint64_t hash_world(const world_t *world)
{
	uint64_t hash = carob_kv_memory_hash(world->memory);

	for (int i = 0; i < PROCESS_COUNT; i++)
		hash = carob_hash_u64(hash ^ world->proxies[i].seen);
	for (unsigned int i = 0; i < APPLIERS; i++) {
		hash = carob_hash_u64(hash ^ world->appliers[i].highest);
		hash = carob_hash_u64(hash ^ world->appliers[i].fetched.number);
	}
	hash = carob_hash_u64(hash ^ world->told.number);
	hash = carob_hash_u64(hash ^ world->answer_lost);
	if (world->model->switches_max < DEPTH_MAX) {
		hash = carob_hash_u64(hash ^ world->switches);
		hash = carob_hash_u64(hash ^ (uint64_t)(world->last + 1));
	}
	return hash;
}

/* Set of state hashes, a hash table with open addressing. */
typedef struct seen_set {
	uint64_t *slots;
	size_t cap;
	size_t count;
} seen_set_t;

static bool seen_add(seen_set_t *set, uint64_t hash);

static void seen_grow(seen_set_t *set)
{
	seen_set_t larger = {.cap = set->cap ? set->cap * 2 : 1 << 16};

	larger.slots = calloc(larger.cap, sizeof(larger.slots[0]));
	if (!larger.slots)
		abort();
	for (size_t i = 0; i < set->cap; i++)
		if (set->slots[i])
			(void)seen_add(&larger, set->slots[i]);
	free(set->slots);
	*set = larger;
}

/* Adds a hash. Returns whether the set did not contain it. */
static bool seen_add(seen_set_t *set, uint64_t hash)
{
	size_t i;

	hash += hash == 0;
	if (set->count * 2 >= set->cap)
		seen_grow(set);
	i = hash & (set->cap - 1);
	while (set->slots[i] && set->slots[i] != hash)
		i = (i + 1) & (set->cap - 1);
	if (set->slots[i])
		return false;
	set->slots[i] = hash;
	set->count++;
	return true;
}

/* State of an exploration. */
typedef struct explorer {
	const model_t *model;
	seen_set_t seen;
	int path[DEPTH_MAX]; /* actions that lead to the current state */
	size_t deepest;
	size_t ends;	    /* states without a possible action */
	const char *broken; /* violated invariant, or NULL */
} explorer_t;

/* Returns the state after the first `depth` actions of the path. */
static world_t *replay(const explorer_t *explorer, size_t depth)
{
	world_t *world = world_new(explorer->model);

	for (size_t i = 0; i < depth; i++) {
		carob_head_t head = read_head(world);

		(void)note_head(world, &head);
		step(world, explorer->path[i]);
	}
	return world;
}

/* Explores all states after the given one, which it frees. */
static void explore(explorer_t *explorer, world_t *world, size_t depth)
{
	int actions[ACTIONS_MAX];
	size_t count;

	explorer->broken = check(world);
	if (explorer->broken || depth == DEPTH_MAX ||
	    !seen_add(&explorer->seen, hash_world(world))) {
		world_free(world);
		return;
	}
	if (depth > explorer->deepest)
		explorer->deepest = depth;
	count = list_actions(actions, world);
	explorer->ends += count == 0;
	for (size_t i = 0; i < count && !explorer->broken; i++) {
		if (i > 0)
			world = replay(explorer, depth);
		explorer->path[depth] = actions[i];
		step(world, actions[i]);
		explore(explorer, world, depth + 1);
		world = NULL;
	}
	if (count == 0)
		world_free(world);
}

static const char *run_model(const char *name, const model_t *model)
{
	explorer_t explorer = {.model = model};

	explore(&explorer, world_new(model), 0);
	printf("\n    %s: %zu states, %zu final states, depth %zu: %s", name,
	       explorer.seen.count, explorer.ends, explorer.deepest,
	       explorer.broken ? explorer.broken : "no violation");
	free(explorer.seen.slots);
	return explorer.broken;
}

static void make_base(void)
{
	fixture_t f;

	fixture_init(&f);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1), 1), 0);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.2:1", 2), 2), 0);
	CU_ASSERT_EQUAL(carob_kv_memory_new(&base, NULL), 0);
	carob_kv_memory_copy(base, f.memory);
	fixture_dispose(&f);
}

typedef struct model_case {
	const char *name;
	model_t model;
	/* Invariant that the mutation must violate; NULL without mutation. */
	const char *broken;
} model_case_t;

#define ALL DEPTH_MAX

static const model_case_t model_cases[] = {
	{"publishers and cleaner, a lost response, two switches",
	 {{true, true, false, false, true}, true, 0, 2, 2},
	 NULL},
	{"publishers and appliers, a lost response, all interleavings",
	 {{true, true, true, true, false}, true, 0, 2, ALL},
	 NULL},
	{"publisher, applier and cleaner, four switches",
	 {{true, false, true, false, true}, false, 0, 1, 4},
	 NULL},
	{"publishers, applier and cleaner, one switch",
	 {{true, true, true, false, true}, false, 0, 1, 1},
	 NULL},
	{"mutation: generation not compared again before it is applied",
	 {{true, true, true, true, false},
	  false,
	  CAROB_MANIFEST_FAULT_NO_RECHECK,
	  2,
	  ALL},
	 "an instance reverted to a lower generation"},
	{"mutation: clean-up by age of parts",
	 {{true, true, false, false, true},
	  false,
	  CAROB_MANIFEST_FAULT_CLEAN_BY_AGE,
	  2,
	  4},
	 "the head refers to a part that does not exist"},
};

static void test_all_models(void)
{
	make_base();
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(model_cases); i++) {
		const model_case_t *c = &model_cases[i];
		const char *broken = run_model(c->name, &c->model);

		if (c->broken && broken)
			CU_ASSERT_STRING_EQUAL(broken, c->broken);
		CU_ASSERT_EQUAL(broken != NULL, c->broken != NULL);
	}
	carob_kv_memory_free(base);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"interleavings of publish, apply and clean-up keep invariants",
		 test_all_models},
	};

	return run_tests("publish_explore", cases, CAROB_ARRAY_SIZE(cases));
}
