/*
 * Exhaustive exploration of request ownership. One caller sends one request to
 * a cluster of instances. Every order in which packets are delivered is tried,
 * together with a bounded number of duplicated packets, retransmissions
 * through any instance, cancels, killed instances, owners declared dead
 * (rightly or wrongly), timeouts and a handover. The depth is not bounded:
 * every run ends when its budgets and packets are used up.
 *
 * In every state, a non-idempotent request must have run at most once, and a
 * request answered "not run" must not have run.
 *
 * Since every state is checked, packet loss needs no action: it is covered by
 * the states in which the packet has not been delivered. Killing an instance
 * likewise only adds states in which its timers no longer fire.
 *
 * Usage: test-core-ownership-explore [EXTRA], where EXTRA is added to each
 * non-zero budget.
 */
#include "test_runner.h"

#include "core/requests/entry_priv.h"
#include "core/entry_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLOW		0x1234
#define UPSTREAM	101
#define PAYLOAD		"check"
#define REQUEST_MID	9
#define REPEAT_MID	19 /* of the request repeated after a 4.01 */
#define REPEAT_PAYLOAD	"check again"
#define PATH_MAX	64
#define CHOICES_MAX	96
#define ADVANCE_MS	9000 /* exceeds all retransmissions to an upstream */
#define ADVANCE_STEP_MS 50

typedef enum action_kind {
	ACT_SEND,	  /* the caller sends its request to an instance */
	ACT_DELIVER,	  /* a packet is delivered */
	ACT_DUPLICATE,	  /* a packet is duplicated */
	ACT_KILL,	  /* an instance is killed */
	ACT_DECLARE_DEAD, /* an instance learns that the owner is dead */
	ACT_ADVANCE,	  /* time advances by ADVANCE_MS */
	ACT_EXPORT,	  /* the owner hands its records to its successor */
	ACT_LEAVE,	  /* all instances learn that the owner has left */
	ACT_CANCEL,	  /* the caller sends a cancel to an instance */
	ACT_SHED,	  /* all upstreams refuse requests from now on */
	ACT_REPEAT,	  /* the caller repeats its request after a challenge */
	ACT_COUNT,
} action_kind_t;

typedef struct action {
	action_kind_t kind;
	uint8_t arg; /* index of the packet or instance */
} action_t;

typedef struct scenario {
	const char *name;
	size_t instances;
	bool established;
	bool overflow;	/* the owner has no free slot, its peer has some */
	uint8_t method; /* 0: POST */
	fixture_mode_t first_upstream;
	uint8_t budget[ACT_COUNT];
	carob_entry_mutation_t mutation;
	bool guarantees_hold; /* true: no violation; false: at least one */
} scenario_t;

typedef struct visited {
	uint64_t *keys;
	size_t cap;
	size_t count;
} visited_t;

typedef struct search {
	const scenario_t *scenario;
	carob_manifest_t *manifest;
	uint8_t budget[ACT_COUNT];
	action_t path[PATH_MAX];
	size_t depth;
	visited_t visited;
	size_t longest_path;
	size_t violations;
	size_t runs_seen[2]; /* states without and with a run */
} search_t;

static unsigned int extra_budget;

/* The set of visited states: an open-addressing hash table of state hashes. */

static bool insert_key(visited_t *v, uint64_t key)
{
	size_t bucket = key & (v->cap - 1);

	while (v->keys[bucket] && v->keys[bucket] != key)
		bucket = (bucket + 1) & (v->cap - 1);
	if (v->keys[bucket] == key)
		return false;
	v->keys[bucket] = key;
	v->count++;
	return true;
}

static void grow_visited(visited_t *v)
{
	visited_t larger = {NULL, v->cap ? v->cap * 2 : 4096, 0};

	larger.keys = calloc(larger.cap, sizeof(*larger.keys));
	if (!larger.keys)
		abort();
	for (size_t i = 0; i < v->cap; i++)
		if (v->keys[i])
			insert_key(&larger, v->keys[i]);
	free(v->keys);
	*v = larger;
}

/* @return whether the state is new */
static bool visit(visited_t *v, uint64_t key)
{
	if (v->count * 2 >= v->cap)
		grow_visited(v);
	return insert_key(v, key ? key : 1);
}

/*
 * State hashes. The hashes of the members of a set are added up, so that their
 * order does not matter.
 */

static uint64_t mix(uint64_t hash, uint64_t value)
{
	return carob_hash_u64(hash ^ carob_hash_u64(value));
}

static uint64_t hash_packed(uint64_t hash, const carob_packed_msg_t *msg)
{
	return msg ? mix(hash, carob_hash_bytes(1, msg->bytes, msg->len))
		   : hash;
}

static uint64_t hash_packets(const fixture_t *f)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < f->packet_count; i++) {
		const fixture_packet_t *p = &f->packets[i];
		uint64_t hash = mix(11, p->kind);

		hash = mix(hash, p->instance);
		hash = mix(hash, p->path);
		hash = mix(hash, p->upstream.id);
		hash = mix(hash, p->relay.kind * 16 + p->to);
		sum += hash_packed(hash, p->msg);
	}
	return sum;
}

static uint64_t hash_upstreams(const fixture_t *f)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < f->request_count; i++) {
		const fixture_request_t *r = &f->requests[i];
		uint64_t hash = mix(12, r->upstream.id);

		hash = mix(hash, r->instance * 100 + r->path);
		hash = mix(hash, r->ran * 4 + r->done * 2 + r->cancelled);
		sum += hash_packed(hash, r->msg);
	}
	return sum;
}

static uint64_t hash_records(const carob_entry_t *entry, bool idempotent)
{
	uint64_t sum = 0;
	carob_record_t *record;
	carob_record_t *next;

	HASH_ITER (hh, entry->record_store.records[idempotent], record, next) {
		uint64_t hash =
			carob_hash_bytes(13, &record->key, sizeof(record->key));

		hash = mix(hash, record->state);
		hash = mix(hash, record->redirected_to.id);
		sum += hash_packed(hash, record->answer);
	}
	return sum;
}

static uint64_t hash_requests(const carob_entry_t *entry)
{
	uint64_t sum = 0;
	carob_request_t *request;
	carob_request_t *next;

	HASH_ITER (hh, entry->by_token, request, next) {
		const carob_exchange_t *x = &request->exchange;
		uint64_t hash = mix(14, request->phase * 65536 + request->mid);

		hash = mix(hash, request->attempts * 4 + request->answered * 2 +
					 request->may_have_run);
		hash = mix(hash, x->path ? x->path->number : 0);
		hash = mix(hash, x->tries * 16 + x->sent * 2 + x->acked);
		sum += mix(hash, request->timer.due_ns);
	}
	return sum;
}

static uint64_t hash_instance(const fixture_t *f, size_t index)
{
	const fixture_instance_t *instance = &f->instances[index];
	const carob_entry_t *entry = instance->entry;
	const carob_member_t *owner =
		carob_membership_find(instance->membership, f->instances[0].id);
	uint64_t hash = mix(index, instance->dead * 2 + entry->exported);

	hash = mix(hash, owner->state);
	hash = mix(hash, entry->predecessor_count);
	hash = mix(hash, entry->counters.forwarded);
	hash = mix(hash, entry->counters.retries);
	hash = mix(hash, hash_records(entry, false));
	hash = mix(hash, hash_records(entry, true));
	return mix(hash, hash_requests(entry));
}

static bool answered_not_run(const fixture_t *f, uint16_t mid)
{
	for (size_t i = 0; i < f->received_count; i++) {
		carob_msg_t msg;

		carob_msg_unpack(&msg, f->received[i]->bytes,
				 f->received[i]->len);
		if (msg.mid == mid && msg.verdict == CAROB_VERDICT_NOT_RUN)
			return true;
	}
	return false;
}

/* @return whether the caller was asked to repeat its request */
static bool find_challenge(carob_msg_t *out, const fixture_t *f)
{
	for (size_t i = f->received_count; i > 0; i--) {
		carob_msg_unpack(out, f->received[i - 1]->bytes,
				 f->received[i - 1]->len);
		if (out->mid == REQUEST_MID &&
		    out->code == CAROB_CODE_UNAUTHORIZED)
			return true;
	}
	return false;
}

static uint64_t hash_state(const fixture_t *f, const search_t *search)
{
	carob_msg_t challenge;
	uint64_t hash = mix(f->clock.now_ns,
			    answered_not_run(f, REQUEST_MID) * 4 +
				    answered_not_run(f, REPEAT_MID) * 2 +
				    find_challenge(&challenge, f));

	hash = mix(hash, hash_packets(f));
	hash = mix(hash, hash_upstreams(f));
	for (size_t i = 0; i < f->instance_count; i++)
		hash = mix(hash, hash_instance(f, i));
	return mix(hash,
		   carob_hash_bytes(2, search->budget, sizeof(search->budget)));
}

/* Actions */

/*
 * Packets to callers are delivered at once, since their order does not change
 * which actions are possible.
 */
static void deliver_to_callers(fixture_t *f)
{
	size_t i = 0;

	while (i < f->packet_count) {
		if (f->packets[i].kind == FIXTURE_TO_CALLER)
			fixture_deliver(f, i);
		else
			i++;
	}
}

static bool is_duplicate(const fixture_t *f, size_t index)
{
	const fixture_packet_t *p = &f->packets[index];

	for (size_t i = 0; i < index; i++) {
		const fixture_packet_t *q = &f->packets[i];

		if (q->kind == p->kind && q->instance == p->instance &&
		    q->path == p->path && q->msg->len == p->msg->len &&
		    memcmp(q->msg->bytes, p->msg->bytes, 4) == 0)
			return true;
	}
	return false;
}

static bool is_ping(const fixture_packet_t *packet)
{
	carob_msg_t msg;

	carob_msg_unpack(&msg, packet->msg->bytes, packet->msg->len);
	return msg.code == CAROB_CODE_EMPTY;
}

/* Advances the time; pings and retransmissions sent meanwhile are lost. */
static void advance_time(fixture_t *f)
{
	size_t before = f->packet_count;

	for (int ms = 0; ms < ADVANCE_MS; ms += ADVANCE_STEP_MS) {
		fixture_advance_clock(f, ADVANCE_STEP_MS);
		for (size_t i = 0; i < f->instance_count; i++)
			if (!f->instances[i].dead)
				carob_kernel_run_due(f->instances[i].kernel);
		for (size_t i = f->packet_count; i > before; i--)
			if (f->packets[i - 1].kind == FIXTURE_TO_UPSTREAM &&
			    (is_ping(&f->packets[i - 1]) ||
			     is_duplicate(f, i - 1)))
				fixture_drop(f, i - 1);
	}
}

static void declare_owner_dead(fixture_t *f, size_t index)
{
	carob_member_t dead_owner = *carob_membership_find(
		f->instances[index].membership, f->instances[0].id);

	dead_owner.state = CAROB_MEMBER_DEAD;
	carob_membership_learn(f->instances[index].membership, &dead_owner,
			       NULL);
}

static void export_records(fixture_t *f)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t records = CAROB_BUF_INIT;

	carob_entry_drain(f->instances[0].entry, f->instances[1].id);
	carob_entry_export(&records, f->instances[0].entry);
	carob_entry_import(f->instances[1].entry, f->instances[0].id,
			   carob_buf_view(&records));
}

static carob_msg_t caller_request(fixture_t *f, const scenario_t *scenario)
{
	carob_msg_t request = fixture_new_request(
		scenario->method ? scenario->method : CAROB_CODE_POST,
		REQUEST_MID, PAYLOAD);

	fixture_set_token(f, &request, 0, FIXTURE_SERVICE, FLOW,
			  scenario->established ? CAROB_TOKEN_ESTABLISHED : 0,
			  UPSTREAM);
	return request;
}

static carob_msg_t caller_cancel(fixture_t *f, const scenario_t *scenario)
{
	carob_msg_t cancel = caller_request(f, scenario);

	cancel.code = CAROB_CODE_GET;
	cancel.mid = REQUEST_MID + 1;
	cancel.has_observe = true;
	cancel.observe = 1;
	cancel.payload = CAROB_STR("");
	return cancel;
}

static void apply(fixture_t *f, const scenario_t *scenario, action_t action)
{
	carob_msg_t request;
	carob_msg_t challenge;

	switch (action.kind) {
	case ACT_SEND:
		request = caller_request(f, scenario);
		fixture_send(f, action.arg, &request);
		break;
	case ACT_DELIVER:
		fixture_deliver(f, action.arg);
		break;
	case ACT_DUPLICATE:
		fixture_duplicate(f, action.arg);
		break;
	case ACT_KILL:
		f->instances[action.arg].dead = true;
		break;
	case ACT_DECLARE_DEAD:
		declare_owner_dead(f, action.arg);
		break;
	case ACT_ADVANCE:
		advance_time(f);
		break;
	case ACT_EXPORT:
		export_records(f);
		break;
	case ACT_LEAVE:
		fixture_set_member_state(f, 0, CAROB_MEMBER_LEFT, 1);
		break;
	case ACT_CANCEL:
		request = caller_cancel(f, scenario);
		fixture_send(f, action.arg, &request);
		break;
	case ACT_SHED:
		for (size_t i = 0; i < FIXTURE_UPSTREAMS_MAX; i++)
			f->mode[i] = FIXTURE_SHED;
		break;
	case ACT_REPEAT:
		request = caller_request(f, scenario);
		find_challenge(&challenge, f);
		fixture_copy_echo(&request, &challenge);
		request.mid = REPEAT_MID;
		request.payload = CAROB_STR(REPEAT_PAYLOAD);
		fixture_send(f, action.arg, &request);
		break;
	case ACT_COUNT:
		break;
	}
	deliver_to_callers(f);
}

/* The actions that a state allows */

typedef struct choices {
	action_t actions[CHOICES_MAX];
	size_t count;
} choices_t;

static void add_choice(choices_t *out, const search_t *search,
		       action_kind_t kind, size_t arg)
{
	if (kind != ACT_DELIVER && search->budget[kind] == 0)
		return;
	if (out->count < CHOICES_MAX)
		out->actions[out->count++] = (action_t){kind, (uint8_t)arg};
}

static void add_packet_choices(choices_t *out, const search_t *search,
			       const fixture_t *f)
{
	for (size_t i = 0; i < f->packet_count; i++) {
		const fixture_packet_t *p = &f->packets[i];
		size_t to = p->kind == FIXTURE_RELAY ? p->to : p->instance;

		if (is_duplicate(f, i))
			continue;
		if (p->kind != FIXTURE_TO_UPSTREAM && f->instances[to].dead)
			continue;
		add_choice(out, search, ACT_DELIVER, i);
		add_choice(out, search, ACT_DUPLICATE, i);
	}
}

static void add_instance_choices(choices_t *out, const search_t *search,
				 const fixture_t *f)
{
	carob_msg_t challenge;

	for (size_t i = 0; i < f->instance_count; i++) {
		const carob_member_t *owner = carob_membership_find(
			f->instances[i].membership, f->instances[0].id);

		if (!f->instances[i].dead)
			add_choice(out, search, ACT_SEND, i);
		if (!f->instances[i].dead)
			add_choice(out, search, ACT_CANCEL, i);
		if (!f->instances[i].dead && find_challenge(&challenge, f))
			add_choice(out, search, ACT_REPEAT, i);
		if (!f->instances[i].dead)
			add_choice(out, search, ACT_KILL, i);
		if (i != 0 && owner->state == CAROB_MEMBER_ALIVE)
			add_choice(out, search, ACT_DECLARE_DEAD, i);
	}
}

static void add_all_choices(choices_t *out, const search_t *search,
			    const fixture_t *f)
{
	const carob_entry_t *owner = f->instances[0].entry;

	out->count = 0;
	add_packet_choices(out, search, f);
	add_instance_choices(out, search, f);
	add_choice(out, search, ACT_ADVANCE, 0);
	add_choice(out, search, ACT_SHED, 0);
	/* A graceful stop waits for the requests in progress. */
	if (!owner->exported && !f->instances[0].dead &&
	    owner->counters.requests_open == 0)
		add_choice(out, search, ACT_EXPORT, 0);
	if (owner->exported)
		add_choice(out, search, ACT_LEAVE, 0);
}

/* The search */

/* Fills the owner's slots with requests of other flows. */
static void fill_owner_slots(fixture_t *f)
{
	carob_load_summary_t summaries[4];
	size_t count;

	for (size_t i = 0; i < FIXTURE_UPSTREAMS_MAX; i++)
		f->mode[i] = FIXTURE_HOLD;
	for (uint16_t mid = 100; mid < 104; mid++) {
		carob_msg_t other =
			fixture_new_request(CAROB_CODE_GET, mid, "other");

		fixture_set_token(f, &other, 0, FIXTURE_SERVICE, mid, 0,
				  UPSTREAM);
		fixture_exchange(f, 0, &other);
	}
	for (size_t i = 0; i < FIXTURE_UPSTREAMS_MAX; i++)
		f->mode[i] = FIXTURE_RESPOND;
	count = carob_scheduler_summaries(summaries, 4,
					  f->instances[1].scheduler);
	for (size_t i = 0; i < count; i++)
		carob_scheduler_on_summary(f->instances[0].scheduler,
					   &summaries[i]);
	fixture_deliver_all(f);
}

static fixture_t *replay(const search_t *search)
{
	const scenario_t *s = search->scenario;
	fixture_t *f =
		fixture_new_with(search->manifest, s->instances, s->mutation);

	f->mode[UPSTREAM % 100] = s->first_upstream;
	if (s->overflow)
		fill_owner_slots(f);
	for (size_t i = 0; i < search->depth; i++)
		apply(f, s, search->path[i]);
	return f;
}

static void print_path(const search_t *search)
{
	static const char *const names[ACT_COUNT] = {
		[ACT_SEND] = "send",
		[ACT_DELIVER] = "deliver",
		[ACT_DUPLICATE] = "duplicate",
		[ACT_KILL] = "kill",
		[ACT_DECLARE_DEAD] = "declare-owner-dead",
		[ACT_ADVANCE] = "advance-time",
		[ACT_EXPORT] = "export",
		[ACT_LEAVE] = "leave",
		[ACT_CANCEL] = "cancel",
		[ACT_REPEAT] = "repeat",
		[ACT_SHED] = "shed",
	};

	printf("\n    path:");
	for (size_t i = 0; i < search->depth; i++)
		printf(" %s %u", names[search->path[i].kind],
		       search->path[i].arg);
}

static void check_state(search_t *search, const fixture_t *f)
{
	size_t runs = fixture_count_runs(f, PAYLOAD);
	size_t all_runs = runs + fixture_count_runs(f, REPEAT_PAYLOAD);
	bool ran_twice = runs > 1 && !search->scenario->method;

	search->runs_seen[runs > 0]++;
	if (ran_twice || (runs > 0 && answered_not_run(f, REQUEST_MID)) ||
	    (all_runs > 0 && answered_not_run(f, REPEAT_MID))) {
		if (search->violations++ == 0)
			print_path(search);
	}
	if (search->depth > search->longest_path)
		search->longest_path = search->depth;
}

static void explore(search_t *search)
{
	fixture_t *f = replay(search);
	bool is_new = visit(&search->visited, hash_state(f, search));
	choices_t choices = {.count = 0};

	if (is_new) {
		check_state(search, f);
		add_all_choices(&choices, search, f);
	}
	fixture_free(f);
	/* One violation is enough to detect a mutation. */
	if (search->violations || search->depth == PATH_MAX)
		return;
	for (size_t i = 0; i < choices.count; i++) {
		action_t action = choices.actions[i];
		bool uses_budget = action.kind != ACT_DELIVER;

		search->budget[action.kind] -= uses_budget;
		search->path[search->depth++] = action;
		explore(search);
		search->depth--;
		search->budget[action.kind] += uses_budget;
	}
}

static void run_scenario(const scenario_t *scenario)
{
	search_t search = {.scenario = scenario};

	search.manifest = fixture_manifest();
	for (size_t i = 0; i < ACT_COUNT; i++)
		search.budget[i] =
			(uint8_t)(scenario->budget[i] +
				  (scenario->budget[i] ? extra_budget : 0));
	explore(&search);
	printf("\n    %s: %zu states, longest path %zu, %zu with a run, "
	       "%zu violations ",
	       scenario->name, search.visited.count, search.longest_path,
	       search.runs_seen[1], search.violations);
	CU_ASSERT_EQUAL(search.violations == 0, scenario->guarantees_hold);
	CU_ASSERT_TRUE(search.longest_path < PATH_MAX);
	CU_ASSERT_TRUE(search.runs_seen[1] > 0);
	free(search.visited.keys);
	carob_manifest_free(search.manifest);
}

static const scenario_t correct_scenarios[] = {
	{
		.name = "owner is killed or declared dead",
		.instances = 3,
		.established = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DUPLICATE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_DECLARE_DEAD] = 2},
		.guarantees_hold = true,
	},
	{
		.name = "upstream does not answer in time",
		.instances = 2,
		.established = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_KILL] = 1,
			   [ACT_DECLARE_DEAD] = 1,
			   [ACT_ADVANCE] = 1},
		.guarantees_hold = true,
	},
	{
		.name = "handover to a successor",
		.instances = 3,
		.established = true,
		.budget = {[ACT_SEND] = 3,
			   [ACT_DUPLICATE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_EXPORT] = 1,
			   [ACT_LEAVE] = 1},
		.guarantees_hold = true,
	},
	{
		.name = "cancel",
		.instances = 2,
		.established = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DUPLICATE] = 1,
			   [ACT_DECLARE_DEAD] = 1,
			   [ACT_CANCEL] = 2},
		.guarantees_hold = true,
	},
	{
		.name = "first upstream refuses the request",
		.instances = 2,
		.first_upstream = FIXTURE_SHED,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DUPLICATE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_DECLARE_DEAD] = 1},
		.guarantees_hold = true,
	},
	{
		.name = "redirected to an instance with free slots",
		.instances = 2,
		.overflow = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DUPLICATE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_DECLARE_DEAD] = 1},
		.guarantees_hold = true,
	},
	{
		.name = "idempotent request repeated, upstreams start refusing",
		.instances = 2,
		.method = CAROB_CODE_GET,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DUPLICATE] = 1,
			   [ACT_DECLARE_DEAD] = 1,
			   [ACT_SHED] = 1,
			   [ACT_REPEAT] = 2},
		.guarantees_hold = true,
	},
	{
		.name = "idempotent request retried after timeout or "
			"redirected",
		.instances = 2,
		.method = CAROB_CODE_GET,
		.overflow = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DECLARE_DEAD] = 1,
			   [ACT_ADVANCE] = 1,
			   [ACT_SHED] = 1,
			   [ACT_REPEAT] = 1},
		.guarantees_hold = true,
	},
};

static const scenario_t mutation_scenarios[] = {
	{
		.name = "mutation FORGET_OWNER",
		.instances = 2,
		.established = true,
		.budget =
			{[ACT_SEND] = 2, [ACT_KILL] = 1, [ACT_DECLARE_DEAD] = 1},
		.mutation = CAROB_ENTRY_MUTATION_FORGET_OWNER,
	},
	{
		.name = "mutation RETRY_AFTER_TIMEOUT",
		.instances = 1,
		.established = true,
		.budget = {[ACT_SEND] = 1, [ACT_ADVANCE] = 1},
		.mutation = CAROB_ENTRY_MUTATION_RETRY_AFTER_TIMEOUT,
	},
	{
		.name = "mutation FALSE_NOT_RUN",
		.instances = 2,
		.established = true,
		.budget = {[ACT_SEND] = 2, [ACT_DECLARE_DEAD] = 1},
		.mutation = CAROB_ENTRY_MUTATION_FALSE_NOT_RUN,
	},
};

static void test_guarantees_hold(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(correct_scenarios); i++)
		run_scenario(&correct_scenarios[i]);
}

static void test_mutations_are_detected(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(mutation_scenarios); i++)
		run_scenario(&mutation_scenarios[i]);
}

int main(int argc, char **argv)
{
	static const test_case_t cases[] = {
		{"guarantees hold in every state", test_guarantees_hold},
		{"each mutation violates a guarantee",
		 test_mutations_are_detected},
	};

	if (argc > 1)
		extra_budget = (unsigned int)strtoul(argv[1], NULL, 10);
	return run_tests("exploration of request ownership", cases,
			 CAROB_ARRAY_SIZE(cases));
}
