#include "slopes.h"

#include "carobtrail/manifest_sync.h"
#include "carobtrail/publish.h"
#include "emulator/kv/memory.h"
#include "slope_series.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ZONES	     9
#define HOP_NS	     (3 * CAROB_NS_PER_MS) /* network and processing */
#define MESSAGES_MAX 65536
#define IDLE_S	     1200
/* Bytes of a control message on the network apart from its payload; the same as
 * SIM_OVERHEAD_BYTES in tests/gossip_sim.h. */
#define OVERHEAD_BYTES	    139
#define UPSTREAMS	    60
#define PROPAGATION_LIMIT_S 60

static const size_t sizes[] = {45, 90, 180, 360};

typedef struct simulation simulation_t;

typedef struct node {
	carob_control_port_t port; /* first member */
	simulation_t *sim;
	uint32_t id;
	carob_membership_t *membership;
	carob_manifest_store_t *store;
	carob_manifest_sync_t *sync;
	uint64_t bytes;
} node_t;

typedef struct message {
	uint32_t from;
	uint32_t to;
	uint64_t due_ns;
	carob_control_msg_t msg;
	carob_buf_t bytes;
} message_t;

struct simulation {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_kv_memory_t *memory;
	size_t count;
	node_t *nodes; /* index: the id, from 1 */
	message_t *messages;
	size_t first_message;
	size_t message_count;
	carob_rng_t rng;
};

static void send_message(carob_control_port_t *port,
			 const carob_control_peer_t *to,
			 const carob_control_msg_t *msg)
{
	node_t *from = (node_t *)port;
	simulation_t *sim = from->sim;
	message_t *message;

	from->bytes += OVERHEAD_BYTES + msg->manifest.bytes.len;
	if (sim->message_count == MESSAGES_MAX)
		abort();
	message = &sim->messages[(sim->first_message + sim->message_count++) %
				 MESSAGES_MAX];
	memset(message, 0, sizeof(*message));
	message->from = from->id;
	message->to = to->id.id;
	message->due_ns = sim->clock.now_ns + HOP_NS;
	message->msg = *msg;
	(void)carob_buf_append(&message->bytes, msg->manifest.bytes.ptr,
			       msg->manifest.bytes.len);
}

static const carob_control_port_ops_t port_ops = {.send = send_message};

static carob_member_t make_member(uint32_t id)
{
	carob_member_t member = {.id = {id, id}, .revision = 1};

	member.zone.name[0] = (char)('a' + id % ZONES);
	member.state = CAROB_MEMBER_ALIVE;
	return member;
}

static void start_node(simulation_t *sim, uint32_t id)
{
	carob_manifest_sync_options_t options =
		CAROB_MANIFEST_SYNC_OPTIONS_INIT;
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	node_t *node = &sim->nodes[id];

	node->port.ops = &port_ops;
	node->sim = sim;
	node->id = id;
	membership.self = make_member(id);
	if (carob_membership_new(&node->membership, &membership) != 0 ||
	    carob_manifest_store_new(&node->store) != 0)
		abort();
	for (uint32_t other = 1; other <= sim->count; other++) {
		carob_member_t member = make_member(other);

		(void)carob_membership_learn(node->membership, &member, NULL);
	}
	options.kernel = sim->kernel;
	options.store = node->store;
	options.membership = node->membership;
	options.port = &node->port;
	options.kv = carob_kv_memory_kv(sim->memory);
	options.deployment = CAROB_STR("d");
	options.seed = id;
	if (carob_manifest_sync_new(&node->sync, &options) != 0)
		abort();
}

static simulation_t *simulation_new(size_t count)
{
	simulation_t *sim = calloc(1, sizeof(*sim));

	if (!sim)
		abort();
	sim->count = count;
	sim->nodes = calloc(count + 1, sizeof(sim->nodes[0]));
	sim->messages = calloc(MESSAGES_MAX, sizeof(sim->messages[0]));
	carob_manual_clock_init(&sim->clock, CAROB_NS_PER_S);
	carob_rng_init(&sim->rng, count);
	if (!sim->nodes || !sim->messages ||
	    carob_kernel_new(&sim->kernel, &sim->clock.clock) != 0 ||
	    carob_kv_memory_new(&sim->memory, sim->kernel) != 0)
		abort();
	carob_kv_memory_set_latency(sim->memory, 3 * CAROB_NS_PER_MS);
	for (uint32_t id = 1; id <= count; id++)
		start_node(sim, id);
	return sim;
}

static void simulation_free(simulation_t *sim)
{
	for (size_t i = 0; i < sim->message_count; i++)
		carob_buf_dispose(
			&sim->messages[(sim->first_message + i) % MESSAGES_MAX]
				 .bytes);
	for (uint32_t id = 1; id <= sim->count; id++) {
		carob_manifest_sync_free(sim->nodes[id].sync);
		carob_manifest_store_free(sim->nodes[id].store);
		carob_membership_free(sim->nodes[id].membership);
	}
	carob_kv_memory_free(sim->memory);
	carob_kernel_free(sim->kernel);
	free(sim->nodes);
	free(sim->messages);
	free(sim);
}

static void deliver_due(simulation_t *sim)
{
	while (sim->message_count > 0 &&
	       sim->messages[sim->first_message].due_ns <= sim->clock.now_ns) {
		message_t message = sim->messages[sim->first_message];
		carob_control_peer_t peer = {
			.id = {message.from, message.from}};

		sim->first_message = (sim->first_message + 1) % MESSAGES_MAX;
		sim->message_count--;
		message.msg.manifest.bytes = carob_buf_view(&message.bytes);
		carob_manifest_sync_on_message(sim->nodes[message.to].sync,
					       &peer, &message.msg);
		carob_buf_dispose(&message.bytes);
	}
}

/* Reports the generation of a random peer to each node, as the heartbeats of
 * one second do. */
static void exchange_heartbeats(simulation_t *sim)
{
	for (uint32_t id = 1; id <= sim->count; id++) {
		uint32_t other =
			1 + carob_rng_below(&sim->rng, (uint32_t)sim->count);
		carob_control_peer_t peer = {.id = {other, other}};

		carob_manifest_sync_on_peer_generation(
			sim->nodes[id].sync, &peer,
			carob_manifest_store_current(sim->nodes[other].store)
				->number);
	}
}

/* Runs timers and delivers messages for `ns` nanoseconds of simulated time. */
static void run_for(simulation_t *sim, uint64_t ns)
{
	uint64_t end = sim->clock.now_ns + ns;

	for (;;) {
		uint64_t due = UINT64_MAX;

		(void)carob_kernel_next_due(sim->kernel, &due);
		if (sim->message_count > 0 &&
		    sim->messages[sim->first_message].due_ns < due)
			due = sim->messages[sim->first_message].due_ns;
		if (due > end)
			break;
		if (due > sim->clock.now_ns)
			sim->clock.now_ns = due;
		carob_kernel_run_due(sim->kernel);
		deliver_due(sim);
	}
	sim->clock.now_ns = end;
}

static void on_published(void *context, const carob_publish_outcome_t *outcome)
{
	if (outcome->result != 0)
		abort();
	*(bool *)context = true;
}

static void publish(simulation_t *sim, unsigned int change)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	carob_publish_t *object = NULL;
	bool done = false;

	options.kernel = sim->kernel;
	options.kv = carob_kv_memory_kv(sim->memory);
	options.manifest = bench_manifest(UPSTREAMS, change);
	options.publish_id.bytes[0] = (uint8_t)(change + 1);
	options.done = on_published;
	options.context = &done;
	if (carob_publish_new(&object, &options) != 0)
		abort();
	while (!done)
		run_for(sim, CAROB_NS_PER_MS);
	carob_publish_free(object);
	carob_manifest_free(options.manifest);
}

static size_t count_with_generation(const simulation_t *sim,
				    uint64_t generation)
{
	size_t count = 0;

	for (uint32_t id = 1; id <= sim->count; id++)
		count += carob_manifest_store_current(sim->nodes[id].store)
				 ->number >= generation;
	return count;
}

/* Runs until all instances have the generation and returns the simulated time
 * that this took, in milliseconds. */
static double measure_propagation(simulation_t *sim, uint64_t generation)
{
	uint64_t start_ns = sim->clock.now_ns;
	unsigned int ms = 0;

	while (count_with_generation(sim, generation) < sim->count) {
		run_for(sim, CAROB_NS_PER_MS);
		if (++ms % 1000 == 0)
			exchange_heartbeats(sim);
		if (ms > PROPAGATION_LIMIT_S * 1000)
			abort();
	}
	return (double)(sim->clock.now_ns - start_ns) / 1e6;
}

static uint64_t max_bytes(const simulation_t *sim)
{
	uint64_t max = 0;

	for (uint32_t id = 1; id <= sim->count; id++)
		if (sim->nodes[id].bytes > max)
			max = sim->nodes[id].bytes;
	return max;
}

static uint64_t sum_bytes(const simulation_t *sim)
{
	uint64_t sum = 0;

	for (uint32_t id = 1; id <= sim->count; id++)
		sum += sim->nodes[id].bytes;
	return sum;
}

/* Series that are measured in the same simulation; each simulation adds one
 * point to each of them. */
typedef struct propagation {
	series_t start_calls;
	series_t idle_calls;
	series_t change_calls;
	series_t change_ms;
	series_t change_ms_log;
	series_t change_bytes;
	series_t change_bytes_max;
} propagation_t;

static void measure_instances(propagation_t *propagation, size_t count)
{
	simulation_t *sim = simulation_new(count);
	double size = (double)count;
	uint64_t calls;
	uint64_t bytes;
	uint64_t max;
	double ms;

	publish(sim, 0);
	(void)measure_propagation(sim, 1);
	run_for(sim, 10 * CAROB_NS_PER_S);
	series_add(&propagation->start_calls, size,
		   (double)carob_kv_memory_calls(sim->memory));
	calls = carob_kv_memory_calls(sim->memory);
	run_for(sim, IDLE_S * CAROB_NS_PER_S);
	series_add(&propagation->idle_calls, size,
		   (double)(carob_kv_memory_calls(sim->memory) - calls) /
			   IDLE_S);
	publish(sim, 1);
	calls = carob_kv_memory_calls(sim->memory);
	bytes = sum_bytes(sim);
	max = max_bytes(sim);
	ms = measure_propagation(sim, 2);
	series_add(&propagation->change_ms, size, ms);
	series_add(&propagation->change_ms_log, log2(size), ms);
	run_for(sim, 2 * CAROB_NS_PER_S);
	series_add(&propagation->change_calls, size,
		   (double)(carob_kv_memory_calls(sim->memory) - calls));
	series_add(&propagation->change_bytes, size,
		   (double)(sum_bytes(sim) - bytes) / size);
	series_add(&propagation->change_bytes_max, size,
		   (double)(max_bytes(sim) - max));
	simulation_free(sim);
}

void bench_propagation_series(void)
{
	static propagation_t propagation = {
		{"start_calls", "instances", "calls", 0, {0}, {0}},
		{"idle_calls", "instances", "calls/s", 0, {0}, {0}},
		{"change_calls", "instances", "calls", 0, {0}, {0}},
		{"change_ms", "instances", "ms", 0, {0}, {0}},
		{"change_ms_log", "log2 instances", "ms", 0, {0}, {0}},
		{"change_bytes", "instances", "B/instance", 0, {0}, {0}},
		{"change_bytes_most", "instances", "B", 0, {0}, {0}},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++)
		measure_instances(&propagation, sizes[i]);
	series_print(&propagation.start_calls);
	series_print(&propagation.idle_calls);
	series_print(&propagation.change_calls);
	series_print(&propagation.change_ms);
	series_print(&propagation.change_ms_log);
	series_print(&propagation.change_bytes);
	series_print(&propagation.change_bytes_max);
}
