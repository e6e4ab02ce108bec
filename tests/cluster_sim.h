/**
 * @file cluster_sim.h
 * Whole cluster parts of instances in memory, with a platform store; each has
 * a small host that records what it is told. Used by tests and benchmarks.
 */
#ifndef CAROBTRAIL_CLUSTER_SIM_H
#define CAROBTRAIL_CLUSTER_SIM_H

#include "test_runner.h"

#include "carobtrail/cluster.h"
#include "carobtrail/errors.h"
#include "emulator/kv/memory.h"
#include "gossip_sim.h"

static const char *const zones[] = {"hou-a", "hou-b"};
static const uint8_t secret[CAROB_KEY_BYTES] = {9, 8, 7};

/** Instances and the platform's store, which has a kernel of its own. */
typedef struct world {
	sim_t sim;
	carob_kernel_t *kernel;
	carob_kv_memory_t *store;
	carob_cluster_fault_t fault; /* of the instances started next */
} world_t;

/* The other parts of an instance, as the cluster sees them. */
typedef struct app {
	carob_cluster_host_t host;
	carob_cluster_t *cluster;
	carob_keyring_t *keyring;
	sim_node_t *node;
	carob_instance_id_t drained_to;
	size_t work; /* in progress */
	size_t memory_bytes;
	carob_instance_id_t imported_from;
	size_t imported_bytes;
	unsigned int imports;
	bool refuses_import;
	bool left;
	uint64_t peer_generation;
	uint32_t heard_summaries;
	uint16_t load; /* in its own summary */
	uint16_t last_load;
	size_t reports;
} app_t;

static inline app_t *app_of(sim_t *sim, size_t i)
{
	return sim->nodes[i].app;
}

static inline void host_generation(carob_cluster_host_t *host,
				   const carob_control_peer_t *peer,
				   uint64_t generation)
{
	app_t *app = (app_t *)host;

	CU_ASSERT(peer->id.id != 0);
	if (app->peer_generation >= generation)
		return;
	/* As if it had fetched the generation from the peer. */
	app->peer_generation = generation;
	carob_membership_set_generation(app->node->membership, generation);
}

static inline size_t host_summaries(carob_cluster_host_t *host,
				    carob_load_summary_t *out, size_t cap)
{
	app_t *app = (app_t *)host;

	CU_ASSERT(cap > 0);
	out[0].instance = app->node->self.id;
	out[0].service_id = 1;
	out[0].in_flight = app->load;
	return 1;
}

static inline void host_summary(carob_cluster_host_t *host,
				const carob_load_summary_t *summary)
{
	app_t *app = (app_t *)host;

	app->heard_summaries++;
	app->last_load = summary->in_flight;
}

static inline void host_report(carob_cluster_host_t *host,
			       const carob_load_report_t *report)
{
	CU_ASSERT_EQUAL(report->service_id, 5);
	((app_t *)host)->reports++;
}

static inline void host_drain(carob_cluster_host_t *host,
			      carob_instance_id_t successor)
{
	((app_t *)host)->drained_to = successor;
}

static inline bool host_drained(carob_cluster_host_t *host)
{
	return ((app_t *)host)->work == 0;
}

/* Bytes that name their place, so that a wrong order is seen. */
static inline char memory_byte(size_t i)
{
	return (char)(i * 7 + i / 251);
}

static inline int host_export(carob_cluster_host_t *host, carob_buf_t *out)
{
	app_t *app = (app_t *)host;

	for (size_t i = 0; i < app->memory_bytes; i++) {
		char c = memory_byte(i);

		if (carob_buf_append(out, &c, 1) != 0)
			return CAROB_ENOMEM;
	}
	return 0;
}

static inline int host_import(carob_cluster_host_t *host,
			      carob_instance_id_t predecessor,
			      carob_str_t records)
{
	app_t *app = (app_t *)host;

	if (app->refuses_import)
		return carob_error_set(CAROB_EFORMAT, "refused");
	for (size_t i = 0; i < records.len; i++)
		if (records.ptr[i] != memory_byte(i))
			return carob_error_set(CAROB_EFORMAT, "byte %zu", i);
	app->imported_from = predecessor;
	app->imported_bytes = records.len;
	app->imports++;
	return 0;
}

static inline void host_left(carob_cluster_host_t *host)
{
	((app_t *)host)->left = true;
}

static const carob_cluster_host_ops_t host_ops = {
	.peer_generation = host_generation,
	.summaries = host_summaries,
	.on_summary = host_summary,
	.on_report = host_report,
	.drain = host_drain,
	.drained = host_drained,
	.export_memory = host_export,
	.import_memory = host_import,
	.left = host_left,
};

static inline void start_app(sim_node_t *node, const carob_addr_t *seeds,
			     size_t seed_count)
{
	carob_cluster_options_t options = CAROB_CLUSTER_OPTIONS_INIT;
	app_t *app = calloc(1, sizeof(*app));
	const world_t *w = (const world_t *)node->sim;

	app->host.ops = &host_ops;
	app->node = node;
	node->app = app;
	CU_ASSERT_EQUAL_FATAL(carob_keyring_new(&app->keyring), 0);
	options.kernel = node->kernel;
	options.membership = node->membership;
	options.port = &node->port;
	options.host = &app->host;
	options.keyring = app->keyring;
	options.kv = carob_kv_memory_kv(w->store);
	options.deployment = CAROB_STR("hou");
	options.secret = secret;
	options.seeds = seeds;
	options.seed_count = seed_count;
	options.seed = carob_rng_u64(&node->sim->rng);
	options.fault = w->fault;
	CU_ASSERT_EQUAL_FATAL(carob_cluster_new(&app->cluster, &options), 0);
	CU_ASSERT_EQUAL_FATAL(carob_cluster_start(app->cluster), 0);
	node->gossip = carob_cluster_gossip(app->cluster);
}

static inline void stop_app(sim_node_t *node)
{
	app_t *app = node->app;

	carob_cluster_free(app->cluster);
	carob_keyring_free(app->keyring);
	free(app);
}

static inline void app_message(sim_node_t *node, const carob_control_msg_t *msg)
{
	carob_cluster_on_message(((app_t *)node->app)->cluster, msg);
}

static inline const sim_app_t *cluster_app(void)
{
	static const sim_app_t app = {start_app, stop_app, app_message};

	return &app;
}

static inline void run_ms(world_t *w, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 5) {
		sim_step(&w->sim);
		carob_kernel_run_due(w->kernel);
	}
}

/** Creates empty slots and an empty store. */
static inline void world_prepare(world_t *w, size_t count, uint64_t seed)
{
	w->fault = CAROB_CLUSTER_FAULT_NONE;
	sim_init(&w->sim, count, seed);
	w->sim.app = cluster_app();
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&w->kernel, &w->sim.clock.clock),
			      0);
	CU_ASSERT_EQUAL_FATAL(carob_kv_memory_new(&w->store, w->kernel), 0);
	carob_kv_memory_set_latency(w->store, 5 * CAROB_NS_PER_MS);
}

/** Starts an instance in every slot and lets them join. */
static inline void world_start(world_t *w)
{
	for (size_t i = 0; i < w->sim.count; i++)
		sim_start(&w->sim, i, zones[i % 2]);
	run_ms(w, 5000);
	CU_ASSERT(sim_converged(&w->sim));
}

static inline void world_init(world_t *w, size_t count, uint64_t seed)
{
	world_prepare(w, count, seed);
	world_start(w);
}

static inline void world_dispose(world_t *w)
{
	sim_dispose(&w->sim);
	carob_kv_memory_free(w->store);
	carob_kernel_free(w->kernel);
}

#endif
