/*
 * Explores the ownership of requests state by state: one caller with one
 * non-idempotent request, several instances, every order in which packets are
 * delivered or not, and bounded numbers of duplicates, retransmissions through
 * any instance, cancels, deaths, deaths that are believed (true or not), time
 * that passes, and a hand-over. No depth bound: every run ends by itself.
 *
 * Every state is checked, so a loss needs no action of its own: it is a packet
 * that is not delivered. For the same reason a death is covered by scenarios
 * without one, but for the timers of the dead.
 *
 * In every state: the request has run at most once, and if the caller was
 * told "not run", it has not.
 *
 * Usage: test-core-ownership-explore [EXTRA], where EXTRA raises each budget.
 */
#include "test_runner.h"

#include "core/requests/entry_priv.h"
#include "core/entry_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLOW	     0x1234
#define UPSTREAM     101
#define PAYLOAD	     "check"
#define REQUEST_MID  9
#define REPEAT_MID   19 /* with the token that a 4.01 brought */
#define REPEATED     "check again"
#define PATH_MAX     64
#define CHOICES_MAX  96
#define PASS_MS	     9000 /* past the last retransmission to an upstream */
#define PASS_STEP_MS 50

typedef enum action_kind {
	ACT_SEND,    /* the caller, through an instance */
	ACT_DELIVER, /* a packet */
	ACT_DOUBLE,
	ACT_KILL,    /* an instance */
	ACT_BELIEVE, /* an instance believes that the owner is dead */
	ACT_PASS,    /* time */
	ACT_EXPORT,  /* the owner's memory to its successor */
	ACT_LEAVE,   /* all learn that the owner has left */
	ACT_CANCEL,  /* the caller, through an instance */
	ACT_SHED,    /* all upstreams, from now on */
	ACT_REPEAT,  /* the caller, when it was asked to */
	ACT_KINDS,
} action_kind_t;

typedef struct action {
	action_kind_t kind;
	uint8_t arg;
} action_t;

typedef struct scenario {
	const char *name;
	size_t instances;
	bool established;
	bool overflow;	/* the owner has no slot left, its peer has */
	uint8_t method; /* 0: POST */
	fixture_mode_t first_upstream;
	uint8_t budget[ACT_KINDS];
	carob_entry_mutation_t fault;
	bool safe; /* whether the guarantees must hold */
} scenario_t;

typedef struct visited {
	uint64_t *keys;
	size_t cap;
	size_t count;
} visited_t;

typedef struct search {
	const scenario_t *scenario;
	carob_manifest_t *manifest;
	uint8_t budget[ACT_KINDS];
	action_t path[PATH_MAX];
	size_t depth;
	visited_t visited;
	size_t longest;
	size_t violations;
	size_t runs_seen[2];
} search_t;

static unsigned int extra_budget;

/* The set of states seen */

static bool insert_key(visited_t *v, uint64_t key)
{
	size_t at = key & (v->cap - 1);

	while (v->keys[at] && v->keys[at] != key)
		at = (at + 1) & (v->cap - 1);
	if (v->keys[at] == key)
		return false;
	v->keys[at] = key;
	v->count++;
	return true;
}

static void grow(visited_t *v)
{
	visited_t bigger = {NULL, v->cap ? v->cap * 2 : 4096, 0};

	bigger.keys = calloc(bigger.cap, sizeof(*bigger.keys));
	if (!bigger.keys)
		abort();
	for (size_t i = 0; i < v->cap; i++)
		if (v->keys[i])
			insert_key(&bigger, v->keys[i]);
	free(v->keys);
	*v = bigger;
}

/* @return whether the state is new */
static bool visit(visited_t *v, uint64_t key)
{
	if (v->count * 2 >= v->cap)
		grow(v);
	return insert_key(v, key ? key : 1);
}

/* What makes up a state. Sets are hashed without regard to their order. */

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

static bool told_not_run(const fixture_t *f, uint16_t mid)
{
	for (size_t i = 0; i < f->answer_count; i++) {
		carob_msg_t msg;

		carob_msg_unpack(&msg, f->answers[i]->bytes,
				 f->answers[i]->len);
		if (msg.mid == mid && msg.verdict == CAROB_VERDICT_NOT_RUN)
			return true;
	}
	return false;
}

/* @return whether the caller was asked to repeat its request */
static bool find_challenge(carob_msg_t *out, const fixture_t *f)
{
	for (size_t i = f->answer_count; i > 0; i--) {
		carob_msg_unpack(out, f->answers[i - 1]->bytes,
				 f->answers[i - 1]->len);
		if (out->mid == REQUEST_MID &&
		    out->code == CAROB_CODE_UNAUTHORIZED)
			return true;
	}
	return false;
}

static uint64_t hash_state(const fixture_t *f, const search_t *search)
{
	carob_msg_t challenge;
	uint64_t hash =
		mix(f->clock.now_ns, told_not_run(f, REQUEST_MID) * 4 +
					     told_not_run(f, REPEAT_MID) * 2 +
					     find_challenge(&challenge, f));

	hash = mix(hash, hash_packets(f));
	hash = mix(hash, hash_upstreams(f));
	for (size_t i = 0; i < f->instance_count; i++)
		hash = mix(hash, hash_instance(f, i));
	return mix(hash,
		   carob_hash_bytes(2, search->budget, sizeof(search->budget)));
}

/* Actions */

/* What reaches the caller changes nothing that it may do. */
static void settle_callers(fixture_t *f)
{
	size_t i = 0;

	while (i < f->packet_count) {
		if (f->packets[i].kind == FIXTURE_TO_CALLER)
			fixture_deliver(f, i);
		else
			i++;
	}
}

static bool is_repeated(const fixture_t *f, size_t index)
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

/* Of what is sent meanwhile, pings and retransmissions are lost. */
static void pass(fixture_t *f)
{
	size_t before = f->packet_count;

	for (int ms = 0; ms < PASS_MS; ms += PASS_STEP_MS) {
		fixture_advance_clock(f, PASS_STEP_MS);
		for (size_t i = 0; i < f->instance_count; i++)
			if (!f->instances[i].dead)
				carob_kernel_run_due(f->instances[i].kernel);
		for (size_t i = f->packet_count; i > before; i--)
			if (f->packets[i - 1].kind == FIXTURE_TO_UPSTREAM &&
			    (is_ping(&f->packets[i - 1]) ||
			     is_repeated(f, i - 1)))
				fixture_drop(f, i - 1);
	}
}

static void believe_dead(fixture_t *f, size_t index)
{
	carob_member_t said = *carob_membership_find(
		f->instances[index].membership, f->instances[0].id);

	said.state = CAROB_MEMBER_DEAD;
	carob_membership_learn(f->instances[index].membership, &said, NULL);
}

static void export_memory(fixture_t *f)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t memory = CAROB_BUF_INIT;

	carob_entry_drain(f->instances[0].entry, f->instances[1].id);
	carob_entry_export(&memory, f->instances[0].entry);
	carob_entry_import(f->instances[1].entry, f->instances[0].id,
			   carob_buf_view(&memory));
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
	case ACT_DOUBLE:
		fixture_duplicate(f, action.arg);
		break;
	case ACT_KILL:
		f->instances[action.arg].dead = true;
		break;
	case ACT_BELIEVE:
		believe_dead(f, action.arg);
		break;
	case ACT_PASS:
		pass(f);
		break;
	case ACT_EXPORT:
		export_memory(f);
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
		request.payload = CAROB_STR(REPEATED);
		fixture_send(f, action.arg, &request);
		break;
	case ACT_KINDS:
		break;
	}
	settle_callers(f);
}

/* Which actions a state allows */

typedef struct choices {
	action_t actions[CHOICES_MAX];
	size_t count;
} choices_t;

static void offer(choices_t *out, const search_t *search, action_kind_t kind,
		  size_t arg)
{
	if (kind != ACT_DELIVER && search->budget[kind] == 0)
		return;
	if (out->count < CHOICES_MAX)
		out->actions[out->count++] = (action_t){kind, (uint8_t)arg};
}

static void offer_packets(choices_t *out, const search_t *search,
			  const fixture_t *f)
{
	for (size_t i = 0; i < f->packet_count; i++) {
		const fixture_packet_t *p = &f->packets[i];
		size_t to = p->kind == FIXTURE_RELAY ? p->to : p->instance;

		if (is_repeated(f, i))
			continue;
		if (p->kind != FIXTURE_TO_UPSTREAM && f->instances[to].dead)
			continue;
		offer(out, search, ACT_DELIVER, i);
		offer(out, search, ACT_DOUBLE, i);
	}
}

static void offer_instances(choices_t *out, const search_t *search,
			    const fixture_t *f)
{
	carob_msg_t challenge;

	for (size_t i = 0; i < f->instance_count; i++) {
		const carob_member_t *owner = carob_membership_find(
			f->instances[i].membership, f->instances[0].id);

		if (!f->instances[i].dead)
			offer(out, search, ACT_SEND, i);
		if (!f->instances[i].dead)
			offer(out, search, ACT_CANCEL, i);
		if (!f->instances[i].dead && find_challenge(&challenge, f))
			offer(out, search, ACT_REPEAT, i);
		if (!f->instances[i].dead)
			offer(out, search, ACT_KILL, i);
		if (i != 0 && owner->state == CAROB_MEMBER_ALIVE)
			offer(out, search, ACT_BELIEVE, i);
	}
}

static void offer_all(choices_t *out, const search_t *search,
		      const fixture_t *f)
{
	const carob_entry_t *owner = f->instances[0].entry;

	out->count = 0;
	offer_packets(out, search, f);
	offer_instances(out, search, f);
	offer(out, search, ACT_PASS, 0);
	offer(out, search, ACT_SHED, 0);
	/* A graceful stop waits for the requests in progress. */
	if (!owner->exported && !f->instances[0].dead &&
	    owner->counters.requests_open == 0)
		offer(out, search, ACT_EXPORT, 0);
	if (owner->exported)
		offer(out, search, ACT_LEAVE, 0);
}

/* The search */

static void fill_owner(fixture_t *f)
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
		f->mode[i] = FIXTURE_ANSWER;
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
		fixture_new_with(search->manifest, s->instances, s->fault);

	f->mode[UPSTREAM % 100] = s->first_upstream;
	if (s->overflow)
		fill_owner(f);
	for (size_t i = 0; i < search->depth; i++)
		apply(f, s, search->path[i]);
	return f;
}

static void print_path(const search_t *search)
{
	static const char *const names[ACT_KINDS] = {
		[ACT_SEND] = "send",	   [ACT_DELIVER] = "deliver",
		[ACT_DOUBLE] = "double",   [ACT_KILL] = "kill",
		[ACT_BELIEVE] = "believe", [ACT_PASS] = "pass",
		[ACT_EXPORT] = "export",   [ACT_LEAVE] = "leave",
		[ACT_CANCEL] = "cancel",   [ACT_REPEAT] = "repeat",
		[ACT_SHED] = "shed",
	};

	printf("\n    path:");
	for (size_t i = 0; i < search->depth; i++)
		printf(" %s %u", names[search->path[i].kind],
		       search->path[i].arg);
}

static void check(search_t *search, const fixture_t *f)
{
	size_t runs = fixture_count_runs(f, PAYLOAD);
	size_t all_runs = runs + fixture_count_runs(f, REPEATED);
	bool twice = runs > 1 && !search->scenario->method;

	search->runs_seen[runs > 0]++;
	if (twice || (runs > 0 && told_not_run(f, REQUEST_MID)) ||
	    (all_runs > 0 && told_not_run(f, REPEAT_MID))) {
		if (search->violations++ == 0)
			print_path(search);
	}
	if (search->depth > search->longest)
		search->longest = search->depth;
}

static void explore(search_t *search)
{
	fixture_t *f = replay(search);
	bool is_new = visit(&search->visited, hash_state(f, search));
	choices_t choices = {.count = 0};

	if (is_new) {
		check(search, f);
		offer_all(&choices, search, f);
	}
	fixture_free(f);
	/* A fault is shown by one violation. */
	if (search->violations || search->depth == PATH_MAX)
		return;
	for (size_t i = 0; i < choices.count; i++) {
		action_t action = choices.actions[i];
		bool costs = action.kind != ACT_DELIVER;

		search->budget[action.kind] -= costs;
		search->path[search->depth++] = action;
		explore(search);
		search->depth--;
		search->budget[action.kind] += costs;
	}
}

static void run_scenario(const scenario_t *scenario)
{
	search_t search = {.scenario = scenario};

	search.manifest = fixture_manifest();
	for (size_t i = 0; i < ACT_KINDS; i++)
		search.budget[i] =
			(uint8_t)(scenario->budget[i] +
				  (scenario->budget[i] ? extra_budget : 0));
	explore(&search);
	printf("\n    %s: %zu states, longest path %zu, %zu with a run, "
	       "%zu violations ",
	       scenario->name, search.visited.count, search.longest,
	       search.runs_seen[1], search.violations);
	CU_ASSERT_EQUAL(search.violations == 0, scenario->safe);
	CU_ASSERT_TRUE(search.longest < PATH_MAX);
	CU_ASSERT_TRUE(search.runs_seen[1] > 0);
	free(search.visited.keys);
	carob_manifest_free(search.manifest);
}

static const scenario_t safe_scenarios[] = {
	{
		.name = "owner dies or is believed dead",
		.instances = 3,
		.established = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DOUBLE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_BELIEVE] = 2},
		.safe = true,
	},
	{
		.name = "time passes without answers",
		.instances = 2,
		.established = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_KILL] = 1,
			   [ACT_BELIEVE] = 1,
			   [ACT_PASS] = 1},
		.safe = true,
	},
	{
		.name = "hand-over to a successor",
		.instances = 3,
		.established = true,
		.budget = {[ACT_SEND] = 3,
			   [ACT_DOUBLE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_EXPORT] = 1,
			   [ACT_LEAVE] = 1},
		.safe = true,
	},
	{
		.name = "cancel",
		.instances = 2,
		.established = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DOUBLE] = 1,
			   [ACT_BELIEVE] = 1,
			   [ACT_CANCEL] = 2},
		.safe = true,
	},
	{
		.name = "first upstream sheds",
		.instances = 2,
		.first_upstream = FIXTURE_SHED,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DOUBLE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_BELIEVE] = 1},
		.safe = true,
	},
	{
		.name = "handed to an instance with free slots",
		.instances = 2,
		.overflow = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DOUBLE] = 1,
			   [ACT_KILL] = 1,
			   [ACT_BELIEVE] = 1},
		.safe = true,
	},
	{
		.name = "idempotent, repeated, upstreams shed from then on",
		.instances = 2,
		.method = CAROB_CODE_GET,
		.budget = {[ACT_SEND] = 2,
			   [ACT_DOUBLE] = 1,
			   [ACT_BELIEVE] = 1,
			   [ACT_SHED] = 1,
			   [ACT_REPEAT] = 2},
		.safe = true,
	},
	{
		.name = "idempotent, sent again after a timeout or handed on",
		.instances = 2,
		.method = CAROB_CODE_GET,
		.overflow = true,
		.budget = {[ACT_SEND] = 2,
			   [ACT_BELIEVE] = 1,
			   [ACT_PASS] = 1,
			   [ACT_SHED] = 1,
			   [ACT_REPEAT] = 1},
		.safe = true,
	},
};

static const scenario_t faulty_scenarios[] = {
	{
		.name = "fault FORGET_OWNER",
		.instances = 2,
		.established = true,
		.budget = {[ACT_SEND] = 2, [ACT_KILL] = 1, [ACT_BELIEVE] = 1},
		.fault = CAROB_ENTRY_MUTATION_FORGET_OWNER,
	},
	{
		.name = "fault RETRY_AFTER_TIMEOUT",
		.instances = 1,
		.established = true,
		.budget = {[ACT_SEND] = 1, [ACT_PASS] = 1},
		.fault = CAROB_ENTRY_MUTATION_RETRY_AFTER_TIMEOUT,
	},
	{
		.name = "fault FALSE_NOT_RUN",
		.instances = 2,
		.established = true,
		.budget = {[ACT_SEND] = 2, [ACT_BELIEVE] = 1},
		.fault = CAROB_ENTRY_MUTATION_FALSE_NOT_RUN,
	},
};

static void test_guarantees_hold(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(safe_scenarios); i++)
		run_scenario(&safe_scenarios[i]);
}

static void test_faults_are_found(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(faulty_scenarios); i++)
		run_scenario(&faulty_scenarios[i]);
}

int main(int argc, char **argv)
{
	static const test_case_t cases[] = {
		{"guarantees hold in every state", test_guarantees_hold},
		{"faults are found", test_faults_are_found},
	};

	if (argc > 1)
		extra_budget = (unsigned int)strtoul(argv[1], NULL, 10);
	return run_tests("ownership, state by state", cases,
			 CAROB_ARRAY_SIZE(cases));
}
