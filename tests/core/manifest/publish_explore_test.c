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
	ACTION_LOSE_RESPONSE = PROCESS_COUNT,
	ACTION_PEER,	/* applier 1 applies the generation from applier 0 */
	ACTION_TIME,	/* the next timer fires */
	ACTION_APPLY_0, /* applier 0 applies the generation it fetched */
	ACTION_APPLY_1, /* applier 1 applies the generation it fetched */
	ACTION_COUNT,
} extra_action_t;

/* Processes, failures and bounds of one exploration. */
typedef struct model {
	bool enabled[PROCESS_COUNT];
	bool lose_response; /* allows ACTION_LOSE_RESPONSE once */
	carob_manifest_mutation_t mutation;
	unsigned int rounds; /* reads of the head by each applier */
	/* Largest number of switches away from a process that can continue. */
	unsigned int switches_max;
} model_t;

typedef struct simulation simulation_t;

/* Forwards the calls of a process to the service and hashes the replies. */
typedef struct proxy {
	carob_kv_t kv;
	carob_kv_call_t service_call;  /* call to the service */
	carob_kv_call_t *process_call; /* pending call of the process, or NULL */
	carob_kv_t *target;
	uint64_t reply_hash; /* of all replies, which determine the state */
	bool accesses_head;  /* the pending call reads or writes the head */
	bool writes_head;    /* the pending call writes the head */
} proxy_t;

/* An instance that reads the head and puts new generations in force. */
typedef struct applier {
	carob_kv_call_t call;
	carob_fetch_t fetch;
	proxy_t *proxy;
	simulation_t *sim;
	carob_manifest_store_t *store;
	unsigned int rounds;
	carob_generation_t fetched; /* fetched, but not applied yet */
	uint64_t highest; /* generation after the last `apply_generation` */
	bool reverted;	  /* a lower generation came in force */
} applier_t;

struct simulation {
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
	bool response_lost;
	carob_generation_t in_transit; /* message from applier 0 to applier 1 */
	/* Publish ids that the head has had, by generation. */
	carob_publish_id_t accepted[GENERATIONS_MAX];
	int last; /* process of the last step, or -1 */
	unsigned int switches;
};

/* Initial content of the service, with two generations published. */
static carob_kv_memory_t *initial_memory;

static void on_service_reply(carob_kv_call_t *call,
			     const carob_kv_reply_t *reply)
{
	proxy_t *proxy = CAROB_CONTAINER_OF(call, proxy_t, service_call);
	carob_kv_call_t *process_call = proxy->process_call;
	uint64_t hash = proxy->reply_hash;

	hash = carob_hash_u64(hash ^ (uint64_t)(int64_t)reply->result);
	for (size_t i = 0; i < reply->count; i++) {
		const carob_kv_entry_t *entry = &reply->entries[i];

		hash = carob_hash_bytes(hash ^ entry->index, entry->key.ptr,
					entry->key.len);
		hash = carob_hash_bytes(hash, entry->value.ptr,
					entry->value.len);
	}
	proxy->reply_hash = hash;
	proxy->process_call = NULL;
	process_call->pending = NULL;
	process_call->done(process_call, reply);
}

static proxy_t *begin_proxy_call(carob_kv_t *kv, carob_kv_call_t *call,
				 carob_str_t key)
{
	proxy_t *proxy = CAROB_CONTAINER_OF(kv, proxy_t, kv);
	carob_kv_key_t head;

	proxy->process_call = call;
	call->pending = proxy;
	proxy->service_call.done = on_service_reply;
	carob_head_key(&head, FIXTURE_DEPLOYMENT);
	proxy->accesses_head = carob_str_eq(key, carob_str_from(head.text));
	proxy->writes_head = false;
	return proxy;
}

static void proxy_get(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key)
{
	proxy_t *proxy = begin_proxy_call(kv, call, key);

	proxy->target->ops->get(proxy->target, &proxy->service_call, key);
}

static void proxy_put_cas(carob_kv_t *kv, carob_kv_call_t *call,
			  carob_str_t key, carob_str_t value, uint64_t index)
{
	proxy_t *proxy = begin_proxy_call(kv, call, key);

	proxy->writes_head = proxy->accesses_head;
	proxy->target->ops->put_cas(proxy->target, &proxy->service_call, key,
				    value, index);
}

static void proxy_remove(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key)
{
	proxy_t *proxy = begin_proxy_call(kv, call, key);

	proxy->target->ops->remove(proxy->target, &proxy->service_call, key);
}

static void proxy_list(carob_kv_t *kv, carob_kv_call_t *call,
		       carob_str_t prefix)
{
	proxy_t *proxy = begin_proxy_call(kv, call, prefix);

	proxy->target->ops->list(proxy->target, &proxy->service_call, prefix);
}

static void proxy_cancel(carob_kv_t *kv, carob_kv_call_t *call)
{
	proxy_t *proxy = CAROB_CONTAINER_OF(kv, proxy_t, kv);

	call->pending = NULL;
	proxy->process_call = NULL;
	proxy->target->ops->cancel(proxy->target, &proxy->service_call);
}

static const carob_kv_ops_t proxy_ops = {
	.get = proxy_get,
	.put_cas = proxy_put_cas,
	.remove = proxy_remove,
	.list = proxy_list,
	.cancel = proxy_cancel,
};

static void apply_generation(applier_t *applier,
			     const carob_generation_t *generation)
{
	simulation_t *sim = applier->sim;
	const carob_generation_t *current;

	(void)carob_manifest_store_offer(applier->store, generation);
	current = carob_manifest_store_current(applier->store);
	if (current->number < applier->highest)
		applier->reverted = true;
	applier->highest = current->number;
	if (applier == &sim->appliers[0]) {
		carob_manifest_free(sim->in_transit.manifest);
		sim->in_transit = *current;
		(void)carob_manifest_ref(sim->in_transit.manifest);
	}
}

static void read_next_head(applier_t *applier);

static void on_fetched(carob_fetch_t *fetch, int result,
		       carob_manifest_t *manifest)
{
	applier_t *applier = CAROB_CONTAINER_OF(fetch, applier_t, fetch);
	carob_generation_t generation = {fetch->index.generation,
					 fetch->index.publish_id, manifest};

	if (result == 0)
		applier->fetched = generation; /* applied by ACTION_APPLY_* */
	else
		read_next_head(applier);
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
		read_next_head(applier);
		return;
	}
	applier->fetch.done = on_fetched;
	carob_fetch_start(&applier->fetch, &applier->proxy->kv,
			  FIXTURE_DEPLOYMENT, &head.index, current->manifest);
}

static void read_next_head(applier_t *applier)
{
	carob_kv_key_t key;

	if (applier->rounds++ == applier->sim->model->rounds)
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
	slot->unchanged = true; /* tells check_publishers that it ended */
}

static void on_cleaned(void *context, int result, size_t removed)
{
	(void)result;
	(void)removed;
	((simulation_t *)context)->cleaned = true;
}

static void start_publisher(simulation_t *sim, unsigned int i)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	char addr[] = "127.0.1.5:1";

	addr[8] = (char)('5' + i);
	options.kernel = sim->kernel;
	options.kv = &sim->proxies[PROCESS_PUBLISHER_0 + i].kv;
	options.manifest = fixture_manifest(addr, 9);
	options.publish_id.bytes[0] = (uint8_t)(10 + i);
	options.done = on_published;
	options.context = &sim->outcomes[i];
	CU_ASSERT_EQUAL(carob_publish_new(&sim->publishers[i], &options), 0);
	carob_manifest_free(options.manifest);
}

static void start_applier(simulation_t *sim, unsigned int i)
{
	applier_t *applier = &sim->appliers[i];

	applier->proxy = &sim->proxies[PROCESS_APPLIER_0 + i];
	applier->sim = sim;
	CU_ASSERT_EQUAL(carob_manifest_store_new(&applier->store), 0);
	carob_manifest_store_set_mutation(applier->store, sim->model->mutation);
	read_next_head(applier);
}

static void start_cleaner(simulation_t *sim)
{
	carob_clean_options_t options = CAROB_CLEAN_OPTIONS_INIT;

	options.kv = &sim->proxies[PROCESS_CLEANER].kv;
	options.deployment = FIXTURE_DEPLOYMENT;
	options.keep = 0;
	options.mutation = sim->model->mutation;
	options.done = on_cleaned;
	options.context = sim;
	CU_ASSERT_EQUAL(carob_clean_new(&sim->cleaner, &options), 0);
}

static simulation_t *simulation_new(const model_t *model)
{
	simulation_t *sim = calloc(1, sizeof(*sim));

	if (!sim)
		abort();
	sim->model = model;
	sim->last = -1;
	carob_manual_clock_init(&sim->clock, CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(carob_kernel_new(&sim->kernel, &sim->clock.clock), 0);
	CU_ASSERT_EQUAL(carob_kv_memory_new(&sim->memory, NULL), 0);
	carob_kv_memory_copy(sim->memory, initial_memory);
	for (int i = 0; i < PROCESS_COUNT; i++) {
		sim->proxies[i].kv.ops = &proxy_ops;
		sim->proxies[i].target = carob_kv_memory_kv(sim->memory);
	}
	for (unsigned int i = 0; i < PUBLISHERS; i++)
		if (model->enabled[PROCESS_PUBLISHER_0 + i])
			start_publisher(sim, i);
	for (unsigned int i = 0; i < APPLIERS; i++)
		if (model->enabled[PROCESS_APPLIER_0 + i])
			start_applier(sim, i);
	if (model->enabled[PROCESS_CLEANER])
		start_cleaner(sim);
	return sim;
}

static void simulation_free(simulation_t *sim)
{
	for (unsigned int i = 0; i < PUBLISHERS; i++)
		carob_publish_free(sim->publishers[i]);
	for (unsigned int i = 0; i < APPLIERS; i++) {
		if (sim->appliers[i].call.pending)
			proxy_cancel(&sim->appliers[i].proxy->kv,
				     &sim->appliers[i].call);
		carob_fetch_cancel(&sim->appliers[i].fetch);
		carob_manifest_free(sim->appliers[i].fetched.manifest);
		carob_manifest_store_free(sim->appliers[i].store);
	}
	carob_clean_free(sim->cleaner);
	carob_manifest_free(sim->in_transit.manifest);
	carob_kv_memory_free(sim->memory);
	carob_kernel_free(sim->kernel);
	free(sim);
}

static bool has_pending_call(const simulation_t *sim, int process)
{
	return sim->proxies[process].process_call != NULL;
}

static bool can_lose_response(const simulation_t *sim)
{
	const proxy_t *proxy = &sim->proxies[PROCESS_PUBLISHER_0];

	return sim->model->lose_response && !sim->response_lost &&
	       proxy->process_call && proxy->writes_head;
}

/*
 * Returns a process whose pending call accesses a part, or -1. Parts are
 * immutable, so without a cleaner the order of such a call and the steps of
 * other processes makes no difference, and only one order is explored.
 */
static int find_part_access(const simulation_t *sim)
{
	for (int i = 0; i < PROCESS_COUNT; i++)
		if (has_pending_call(sim, i) && !sim->proxies[i].accesses_head)
			return i;
	return -1;
}

static size_t list_actions(int actions[ACTIONS_MAX], const simulation_t *sim)
{
	bool may_switch = sim->switches < sim->model->switches_max;
	uint64_t due;
	size_t count = 0;

	if (!sim->model->enabled[PROCESS_CLEANER] &&
	    find_part_access(sim) >= 0) {
		actions[count++] = find_part_access(sim);
		return count;
	}
	/* No switches are left, so a process that can continue does so. */
	if (!may_switch && sim->last >= 0 && has_pending_call(sim, sim->last)) {
		actions[count++] = sim->last;
		return count;
	}
	for (int i = 0; i < PROCESS_COUNT; i++)
		if (has_pending_call(sim, i))
			actions[count++] = i;
	if (can_lose_response(sim))
		actions[count++] = ACTION_LOSE_RESPONSE;
	if (sim->in_transit.manifest && sim->appliers[1].store)
		actions[count++] = ACTION_PEER;
	for (int i = 0; i < APPLIERS; i++)
		if (sim->appliers[i].fetched.manifest)
			actions[count++] = ACTION_APPLY_0 + i;
	if (carob_kernel_next_due(sim->kernel, &due))
		actions[count++] = ACTION_TIME;
	return count;
}

static void serve_call(simulation_t *sim, int process,
		       carob_kv_outcome_t outcome)
{
	size_t ready = carob_kv_memory_ready(sim->memory);

	for (size_t i = 0; i < ready; i++) {
		if (carob_kv_memory_ready_call(sim->memory, i) !=
		    &sim->proxies[process].service_call)
			continue;
		carob_kv_memory_serve(sim->memory, i, outcome);
		return;
	}
}

static void apply_fetched(applier_t *applier)
{
	carob_generation_t fetched = applier->fetched;

	applier->fetched = (carob_generation_t){0};
	apply_generation(applier, &fetched);
	carob_manifest_free(fetched.manifest);
	read_next_head(applier);
}

static void step(simulation_t *sim, int action)
{
	carob_generation_t in_transit = sim->in_transit;
	uint64_t due;

	if (sim->last >= 0 && action != sim->last &&
	    has_pending_call(sim, sim->last))
		sim->switches++;
	sim->last = action < PROCESS_COUNT ? action : -1;
	if (action < PROCESS_COUNT) {
		serve_call(sim, action, CAROB_KV_SERVED);
	} else if (action == ACTION_LOSE_RESPONSE) {
		sim->response_lost = true;
		serve_call(sim, PROCESS_PUBLISHER_0, CAROB_KV_RESPONSE_LOST);
	} else if (action == ACTION_PEER) {
		sim->in_transit = (carob_generation_t){0};
		apply_generation(&sim->appliers[1], &in_transit);
		carob_manifest_free(in_transit.manifest);
	} else if (action >= ACTION_APPLY_0) {
		apply_fetched(&sim->appliers[action - ACTION_APPLY_0]);
	} else if (carob_kernel_next_due(sim->kernel, &due)) {
		sim->clock.now_ns = due;
		carob_kernel_run_due(sim->kernel);
	}
}

static bool part_exists(const simulation_t *sim, const carob_part_name_t *name)
{
	carob_kv_key_t key;
	carob_str_t value;

	carob_part_key(&key, FIXTURE_DEPLOYMENT, name);
	return carob_kv_memory_peek(&value, sim->memory,
				    carob_str_from(key.text));
}

static bool index_is_complete(const simulation_t *sim, const carob_head_t *head)
{
	carob_index_t index;
	carob_kv_key_t key;
	carob_str_t value;

	carob_part_key(&key, FIXTURE_DEPLOYMENT, &head->index);
	if (!carob_kv_memory_peek(&value, sim->memory,
				  carob_str_from(key.text)) ||
	    carob_index_parse(&index, "index", value) != 0 ||
	    index.generation != head->generation ||
	    !part_exists(sim, &index.history))
		return false;
	for (size_t i = 0; i < CAROB_PART_COUNT; i++)
		if (!part_exists(sim, &index.parts[i]))
			return false;
	return true;
}

static carob_head_t read_head(const simulation_t *sim)
{
	carob_head_t head = {0};
	carob_kv_key_t key;
	carob_str_t value;

	carob_head_key(&key, FIXTURE_DEPLOYMENT);
	if (carob_kv_memory_peek(&value, sim->memory, carob_str_from(key.text)))
		(void)carob_head_parse(&head, "head", value);
	return head;
}

static bool is_zero(const carob_publish_id_t *id)
{
	static const carob_publish_id_t none;

	return carob_publish_id_eq(id, &none);
}

static bool was_accepted(const simulation_t *sim, unsigned int publisher)
{
	for (size_t g = 0; g < GENERATIONS_MAX; g++)
		if (sim->accepted[g].bytes[0] == 10 + publisher)
			return true;
	return false;
}

/* Returns NULL, or a description of the invariant that is violated. */
static const char *check_publishers(const simulation_t *sim)
{
	for (unsigned int i = 0; i < PUBLISHERS; i++) {
		const carob_publish_outcome_t *outcome = &sim->outcomes[i];

		if (!outcome->unchanged)
			continue;
		if (outcome->result == 0 && !was_accepted(sim, i))
			return "a publish reported success, but was not "
			       "accepted";
		if (outcome->result == CAROB_ECONFLICT && was_accepted(sim, i))
			return "a publish reported a conflict, but was "
			       "accepted";
	}
	return NULL;
}

static const char *check_appliers(const simulation_t *sim)
{
	for (unsigned int i = 0; i < APPLIERS; i++) {
		const applier_t *applier = &sim->appliers[i];
		const carob_generation_t *current;

		if (!applier->store)
			continue;
		current = carob_manifest_store_current(applier->store);
		if (applier->reverted)
			return "an instance reverted to a lower generation";
		if (current->number > FIRST_GENERATION &&
		    !carob_publish_id_eq(&current->publish_id,
					 &sim->accepted[current->number]))
			return "a generation is in force whose publish was "
			       "not accepted";
	}
	return NULL;
}

/*
 * Records the publish id of the head. Returns NULL, or the violation if the
 * head is missing or its generation had another publish id before.
 */
static const char *record_head(simulation_t *sim, const carob_head_t *head)
{
	carob_publish_id_t *accepted;

	if (head->generation == 0 || head->generation >= GENERATIONS_MAX)
		return "the head is missing or its generation out of range";
	accepted = &sim->accepted[head->generation];
	if (is_zero(accepted))
		*accepted = head->publish_id;
	return carob_publish_id_eq(accepted, &head->publish_id)
		       ? NULL
		       : "one generation was accepted from two publishes";
}

static const char *check_invariants(simulation_t *sim)
{
	carob_head_t head = read_head(sim);
	const char *violation = record_head(sim, &head);

	if (violation)
		return violation;
	if (!index_is_complete(sim, &head) ||
	    (head.delta.text[0] && !part_exists(sim, &head.delta)))
		return "the head refers to a part that does not exist";
	violation = check_publishers(sim);
	return violation ? violation : check_appliers(sim);
}

static uint64_t hash_simulation(const simulation_t *sim)
{
	uint64_t hash = carob_kv_memory_hash(sim->memory);

	for (int i = 0; i < PROCESS_COUNT; i++)
		hash = carob_hash_u64(hash ^ sim->proxies[i].reply_hash);
	for (unsigned int i = 0; i < APPLIERS; i++) {
		hash = carob_hash_u64(hash ^ sim->appliers[i].highest);
		hash = carob_hash_u64(hash ^ sim->appliers[i].fetched.number);
	}
	hash = carob_hash_u64(hash ^ sim->in_transit.number);
	hash = carob_hash_u64(hash ^ sim->response_lost);
	if (sim->model->switches_max < DEPTH_MAX) {
		hash = carob_hash_u64(hash ^ sim->switches);
		hash = carob_hash_u64(hash ^ (uint64_t)(sim->last + 1));
	}
	return hash;
}

/* Set of state hashes, a hash table with open addressing. */
typedef struct visited_set {
	uint64_t *buckets;
	size_t cap;
	size_t count;
} visited_set_t;

static bool visited_add(visited_set_t *set, uint64_t hash);

static void visited_grow(visited_set_t *set)
{
	visited_set_t larger = {.cap = set->cap ? set->cap * 2 : 1 << 16};

	larger.buckets = calloc(larger.cap, sizeof(larger.buckets[0]));
	if (!larger.buckets)
		abort();
	for (size_t i = 0; i < set->cap; i++)
		if (set->buckets[i])
			(void)visited_add(&larger, set->buckets[i]);
	free(set->buckets);
	*set = larger;
}

/* Adds a hash. Returns whether the set did not contain it. */
static bool visited_add(visited_set_t *set, uint64_t hash)
{
	size_t i;

	hash += hash == 0;
	if (set->count * 2 >= set->cap)
		visited_grow(set);
	i = hash & (set->cap - 1);
	while (set->buckets[i] && set->buckets[i] != hash)
		i = (i + 1) & (set->cap - 1);
	if (set->buckets[i])
		return false;
	set->buckets[i] = hash;
	set->count++;
	return true;
}

/* State of an exploration. */
typedef struct explorer {
	const model_t *model;
	visited_set_t visited;
	int path[DEPTH_MAX]; /* actions that lead to the current state */
	size_t max_depth;
	size_t final_states;   /* states without a possible action */
	const char *violation; /* violated invariant, or NULL */
} explorer_t;

/* Returns the state after the first `depth` actions of the path. */
static simulation_t *replay(const explorer_t *explorer, size_t depth)
{
	simulation_t *sim = simulation_new(explorer->model);

	for (size_t i = 0; i < depth; i++) {
		carob_head_t head = read_head(sim);

		(void)record_head(sim, &head);
		step(sim, explorer->path[i]);
	}
	return sim;
}

/* Explores all states after the given one, which it frees. */
static void explore(explorer_t *explorer, simulation_t *sim, size_t depth)
{
	int actions[ACTIONS_MAX];
	size_t count;

	explorer->violation = check_invariants(sim);
	if (explorer->violation || depth == DEPTH_MAX ||
	    !visited_add(&explorer->visited, hash_simulation(sim))) {
		simulation_free(sim);
		return;
	}
	if (depth > explorer->max_depth)
		explorer->max_depth = depth;
	count = list_actions(actions, sim);
	explorer->final_states += count == 0;
	for (size_t i = 0; i < count && !explorer->violation; i++) {
		if (i > 0)
			sim = replay(explorer, depth);
		explorer->path[depth] = actions[i];
		step(sim, actions[i]);
		explore(explorer, sim, depth + 1);
		sim = NULL;
	}
	if (count == 0)
		simulation_free(sim);
}

static const char *run_model(const char *name, const model_t *model)
{
	explorer_t explorer = {.model = model};

	explore(&explorer, simulation_new(model), 0);
	printf("\n    %s: %zu states, %zu final states, depth %zu: %s", name,
	       explorer.visited.count, explorer.final_states,
	       explorer.max_depth,
	       explorer.violation ? explorer.violation : "no violation");
	free(explorer.visited.buckets);
	return explorer.violation;
}

static void make_initial_memory(void)
{
	fixture_t f;

	fixture_init(&f);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1), 1), 0);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.2:1", 2), 2), 0);
	CU_ASSERT_EQUAL(carob_kv_memory_new(&initial_memory, NULL), 0);
	carob_kv_memory_copy(initial_memory, f.memory);
	fixture_dispose(&f);
}

typedef struct model_case {
	const char *name;
	model_t model;
	/* Invariant that the mutation must violate; NULL without mutation. */
	const char *violation;
} model_case_t;

#define UNLIMITED DEPTH_MAX

static const model_case_t model_cases[] = {
	{"publishers and cleaner, a lost response, two switches",
	 {{true, true, false, false, true}, true, 0, 2, 2},
	 NULL},
	{"publishers and appliers, a lost response, all interleavings",
	 {{true, true, true, true, false}, true, 0, 2, UNLIMITED},
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
	  CAROB_MANIFEST_MUTATION_NO_RECHECK,
	  2,
	  UNLIMITED},
	 "an instance reverted to a lower generation"},
	{"mutation: clean-up by age of parts",
	 {{true, true, false, false, true},
	  false,
	  CAROB_MANIFEST_MUTATION_CLEAN_BY_AGE,
	  2,
	  4},
	 "the head refers to a part that does not exist"},
};

static void test_all_models(void)
{
	make_initial_memory();
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(model_cases); i++) {
		const model_case_t *c = &model_cases[i];
		const char *violation = run_model(c->name, &c->model);

		if (c->violation && violation)
			CU_ASSERT_STRING_EQUAL(violation, c->violation);
		CU_ASSERT_EQUAL(violation != NULL, c->violation != NULL);
	}
	carob_kv_memory_free(initial_memory);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"interleavings of publish, apply and clean-up keep invariants",
		 test_all_models},
	};

	return run_tests("publish_explore", cases, CAROB_ARRAY_SIZE(cases));
}
