#include "slopes.h"

#include "carobtrail/manifest_sync.h"
#include "carobtrail/publish.h"
#include "emulator/kv/memory.h"
#include "slope_series.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ZONES	    9
#define HOP_NS	    (3 * CAROB_NS_PER_MS) /* network and processing */
#define LETTERS_MAX 65536
#define IDLE_S	    1200
/* Bytes of a control message on the network apart from its payload; the same as
 * SIM_OVERHEAD_BYTES in tests/gossip_sim.h. */
#define OVERHEAD_BYTES 139
#define UPSTREAMS      60
#define SPREAD_LIMIT_S 60

static const size_t sizes[] = {45, 90, 180, 360};

typedef struct fleet fleet_t;

typedef struct node {
	carob_control_port_t port; /* first member */
	fleet_t *fleet;
	uint32_t id;
	carob_membership_t *membership;
	carob_manifest_store_t *store;
	carob_manifest_sync_t *sync;
	uint64_t bytes;
} node_t;

typedef struct letter {
	uint32_t from;
	uint32_t to;
	uint64_t due_ns;
	carob_control_msg_t msg;
	carob_buf_t bytes;
} letter_t;

struct fleet {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_kv_memory_t *memory;
	size_t count;
	node_t *nodes; /* index: the id, from 1 */
	letter_t *letters;
	size_t first;
	size_t pending;
	carob_rng_t rng;
};

static void post(carob_control_port_t *port, const carob_control_peer_t *to,
		 const carob_control_msg_t *msg)
{
	node_t *from = (node_t *)port;
	fleet_t *fleet = from->fleet;
	letter_t *letter;

	from->bytes += OVERHEAD_BYTES + msg->manifest.bytes.len;
	if (fleet->pending == LETTERS_MAX)
		abort();
	letter =
		&fleet->letters[(fleet->first + fleet->pending++) % LETTERS_MAX];
	memset(letter, 0, sizeof(*letter));
	letter->from = from->id;
	letter->to = to->id.id;
	letter->due_ns = fleet->clock.now_ns + HOP_NS;
	letter->msg = *msg;
	(void)carob_buf_append(&letter->bytes, msg->manifest.bytes.ptr,
			       msg->manifest.bytes.len);
}

static const carob_control_port_ops_t port_ops = {.send = post};

static carob_member_t member_of(uint32_t id)
{
	carob_member_t member = {.id = {id, id}, .revision = 1};

	member.zone.name[0] = (char)('a' + id % ZONES);
	member.state = CAROB_MEMBER_ALIVE;
	return member;
}

static void start_node(fleet_t *fleet, uint32_t id)
{
	carob_manifest_sync_options_t options =
		CAROB_MANIFEST_SYNC_OPTIONS_INIT;
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	node_t *node = &fleet->nodes[id];

	node->port.ops = &port_ops;
	node->fleet = fleet;
	node->id = id;
	membership.self = member_of(id);
	if (carob_membership_new(&node->membership, &membership) != 0 ||
	    carob_manifest_store_new(&node->store) != 0)
		abort();
	for (uint32_t other = 1; other <= fleet->count; other++) {
		carob_member_t member = member_of(other);

		(void)carob_membership_learn(node->membership, &member, NULL);
	}
	options.kernel = fleet->kernel;
	options.store = node->store;
	options.membership = node->membership;
	options.port = &node->port;
	options.kv = carob_kv_memory_kv(fleet->memory);
	options.deployment = CAROB_STR("d");
	options.seed = id;
	if (carob_manifest_sync_new(&node->sync, &options) != 0)
		abort();
}

static fleet_t *fleet_new(size_t count)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		abort();
	fleet->count = count;
	fleet->nodes = calloc(count + 1, sizeof(fleet->nodes[0]));
	fleet->letters = calloc(LETTERS_MAX, sizeof(fleet->letters[0]));
	carob_manual_clock_init(&fleet->clock, CAROB_NS_PER_S);
	carob_rng_init(&fleet->rng, count);
	if (!fleet->nodes || !fleet->letters ||
	    carob_kernel_new(&fleet->kernel, &fleet->clock.clock) != 0 ||
	    carob_kv_memory_new(&fleet->memory, fleet->kernel) != 0)
		abort();
	carob_kv_memory_set_latency(fleet->memory, 3 * CAROB_NS_PER_MS);
	for (uint32_t id = 1; id <= count; id++)
		start_node(fleet, id);
	return fleet;
}

static void fleet_free(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->pending; i++)
		carob_buf_dispose(
			&fleet->letters[(fleet->first + i) % LETTERS_MAX].bytes);
	for (uint32_t id = 1; id <= fleet->count; id++) {
		carob_manifest_sync_free(fleet->nodes[id].sync);
		carob_manifest_store_free(fleet->nodes[id].store);
		carob_membership_free(fleet->nodes[id].membership);
	}
	carob_kv_memory_free(fleet->memory);
	carob_kernel_free(fleet->kernel);
	free(fleet->nodes);
	free(fleet->letters);
	free(fleet);
}

static void deliver_due(fleet_t *fleet)
{
	while (fleet->pending > 0 &&
	       fleet->letters[fleet->first].due_ns <= fleet->clock.now_ns) {
		letter_t letter = fleet->letters[fleet->first];
		carob_control_peer_t peer = {.id = {letter.from, letter.from}};

		fleet->first = (fleet->first + 1) % LETTERS_MAX;
		fleet->pending--;
		letter.msg.manifest.bytes = carob_buf_view(&letter.bytes);
		carob_manifest_sync_on_message(fleet->nodes[letter.to].sync,
					       &peer, &letter.msg);
		carob_buf_dispose(&letter.bytes);
	}
}

/* Reports the generation of a random peer to each node, as the heartbeats of
 * one second do. */
static void heartbeat(fleet_t *fleet)
{
	for (uint32_t id = 1; id <= fleet->count; id++) {
		uint32_t other = 1 + carob_rng_below(&fleet->rng,
						     (uint32_t)fleet->count);
		carob_control_peer_t peer = {.id = {other, other}};

		carob_manifest_sync_on_peer(
			fleet->nodes[id].sync, &peer,
			carob_manifest_store_current(fleet->nodes[other].store)
				->number);
	}
}

/* Runs timers and delivers messages for `ns` nanoseconds of simulated time. */
static void run(fleet_t *fleet, uint64_t ns)
{
	uint64_t end = fleet->clock.now_ns + ns;

	for (;;) {
		uint64_t due = UINT64_MAX;

		(void)carob_kernel_next_due(fleet->kernel, &due);
		if (fleet->pending > 0 &&
		    fleet->letters[fleet->first].due_ns < due)
			due = fleet->letters[fleet->first].due_ns;
		if (due > end)
			break;
		if (due > fleet->clock.now_ns)
			fleet->clock.now_ns = due;
		carob_kernel_run_due(fleet->kernel);
		deliver_due(fleet);
	}
	fleet->clock.now_ns = end;
}

static void on_published(void *context, const carob_publish_outcome_t *outcome)
{
	if (outcome->result != 0)
		abort();
	*(bool *)context = true;
}

static void publish(fleet_t *fleet, unsigned int change)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	carob_publish_t *object = NULL;
	bool done = false;

	options.kernel = fleet->kernel;
	options.kv = carob_kv_memory_kv(fleet->memory);
	options.manifest = bench_manifest(UPSTREAMS, change);
	options.publish_id.bytes[0] = (uint8_t)(change + 1);
	options.done = on_published;
	options.context = &done;
	if (carob_publish_new(&object, &options) != 0)
		abort();
	while (!done)
		run(fleet, CAROB_NS_PER_MS);
	carob_publish_free(object);
	carob_manifest_free(options.manifest);
}

static size_t count_at(const fleet_t *fleet, uint64_t generation)
{
	size_t count = 0;

	for (uint32_t id = 1; id <= fleet->count; id++)
		count += carob_manifest_store_current(fleet->nodes[id].store)
				 ->number >= generation;
	return count;
}

/* Runs until all instances have the generation and returns the simulated time
 * that this took, in milliseconds. */
static double time_to_all(fleet_t *fleet, uint64_t generation)
{
	uint64_t began = fleet->clock.now_ns;
	unsigned int ms = 0;

	while (count_at(fleet, generation) < fleet->count) {
		run(fleet, CAROB_NS_PER_MS);
		if (++ms % 1000 == 0)
			heartbeat(fleet);
		if (ms > SPREAD_LIMIT_S * 1000)
			abort();
	}
	return (double)(fleet->clock.now_ns - began) / 1e6;
}

static uint64_t most_bytes(const fleet_t *fleet)
{
	uint64_t most = 0;

	for (uint32_t id = 1; id <= fleet->count; id++)
		if (fleet->nodes[id].bytes > most)
			most = fleet->nodes[id].bytes;
	return most;
}

static uint64_t all_bytes(const fleet_t *fleet)
{
	uint64_t sum = 0;

	for (uint32_t id = 1; id <= fleet->count; id++)
		sum += fleet->nodes[id].bytes;
	return sum;
}

/* Series that are measured in the same simulation; each simulation adds one
 * point to each of them. */
typedef struct spread {
	series_t start_calls;
	series_t idle_calls;
	series_t change_calls;
	series_t change_ms;
	series_t change_ms_log;
	series_t change_bytes;
	series_t most_bytes;
} spread_t;

static void measure(spread_t *spread, size_t count)
{
	fleet_t *fleet = fleet_new(count);
	double size = (double)count;
	uint64_t calls;
	uint64_t bytes;
	uint64_t most;
	double ms;

	publish(fleet, 0);
	(void)time_to_all(fleet, 1);
	run(fleet, 10 * CAROB_NS_PER_S);
	series_add(&spread->start_calls, size,
		   (double)carob_kv_memory_calls(fleet->memory));
	calls = carob_kv_memory_calls(fleet->memory);
	run(fleet, IDLE_S * CAROB_NS_PER_S);
	series_add(&spread->idle_calls, size,
		   (double)(carob_kv_memory_calls(fleet->memory) - calls) /
			   IDLE_S);
	publish(fleet, 1);
	calls = carob_kv_memory_calls(fleet->memory);
	bytes = all_bytes(fleet);
	most = most_bytes(fleet);
	ms = time_to_all(fleet, 2);
	series_add(&spread->change_ms, size, ms);
	series_add(&spread->change_ms_log, log2(size), ms);
	run(fleet, 2 * CAROB_NS_PER_S);
	series_add(&spread->change_calls, size,
		   (double)(carob_kv_memory_calls(fleet->memory) - calls));
	series_add(&spread->change_bytes, size,
		   (double)(all_bytes(fleet) - bytes) / size);
	series_add(&spread->most_bytes, size,
		   (double)(most_bytes(fleet) - most));
	fleet_free(fleet);
}

void bench_spread_series(void)
{
	static spread_t spread = {
		{"start_calls", "instances", "calls", 0, {0}, {0}},
		{"idle_calls", "instances", "calls/s", 0, {0}, {0}},
		{"change_calls", "instances", "calls", 0, {0}, {0}},
		{"change_ms", "instances", "ms", 0, {0}, {0}},
		{"change_ms_log", "log2 instances", "ms", 0, {0}, {0}},
		{"change_bytes", "instances", "B/instance", 0, {0}, {0}},
		{"change_bytes_most", "instances", "B", 0, {0}, {0}},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++)
		measure(&spread, sizes[i]);
	series_print(&spread.start_calls);
	series_print(&spread.idle_calls);
	series_print(&spread.change_calls);
	series_print(&spread.change_ms);
	series_print(&spread.change_ms_log);
	series_print(&spread.change_bytes);
	series_print(&spread.most_bytes);
}
