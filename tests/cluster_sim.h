/**
 * @file cluster_sim.h
 * Simulation of the cluster components of several instances in memory, with a
 * key-value store. Each instance has a stub host that records the callbacks.
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

/** The instances and the store, which has a kernel of its own. */
typedef struct cluster_sim {
	sim_t sim;
	carob_kernel_t *kernel;
	carob_kv_memory_t *store;
	carob_cluster_mutation_t mutation; /* for instances started later */
} cluster_sim_t;

/* Stub of the other components of an instance, with its cluster component. */
typedef struct app {
	carob_cluster_host_t host;
	carob_cluster_t *cluster;
	carob_keyring_t *keyring;
	sim_node_t *node;
	carob_instance_id_t drain_successor;
	size_t work_in_progress; /* the request path is drained when this is 0 */
	size_t record_bytes;
	carob_instance_id_t imported_from;
	size_t imported_bytes;
	unsigned int imports;
	bool refuse_import;
	bool left;
	uint64_t peer_generation;
	uint32_t received_summaries;
	uint16_t load;	    /* load in the summary that this instance sends */
	uint16_t last_load; /* load in the last summary received */
	size_t reports;
} app_t;

static inline app_t *app_of(sim_t *sim, size_t i)
{
	return sim->nodes[i].app;
}

static inline void host_peer_generation(carob_cluster_host_t *host,
					const carob_control_peer_t *peer,
					uint64_t generation)
{
	app_t *app = (app_t *)host;

	CU_ASSERT(peer->id.id != 0);
	if (app->peer_generation >= generation)
		return;
	/* Stands for fetching the generation from the peer. */
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

static inline void host_on_summary(carob_cluster_host_t *host,
				   const carob_load_summary_t *summary)
{
	app_t *app = (app_t *)host;

	app->received_summaries++;
	app->last_load = summary->in_flight;
}

static inline void host_on_report(carob_cluster_host_t *host,
				  const carob_load_report_t *report)
{
	CU_ASSERT_EQUAL(report->service_id, 5);
	((app_t *)host)->reports++;
}

static inline void host_drain(carob_cluster_host_t *host,
			      carob_instance_id_t successor)
{
	((app_t *)host)->drain_successor = successor;
}

static inline bool host_drained(carob_cluster_host_t *host)
{
	return ((app_t *)host)->work_in_progress == 0;
}

/* Byte `i` of the records; the pattern reveals bytes in the wrong order. */
static inline char record_byte(size_t i)
{
	return (char)(i * 7 + i / 251);
}

static inline int host_export_records(carob_cluster_host_t *host,
				      carob_buf_t *out)
{
	app_t *app = (app_t *)host;

	for (size_t i = 0; i < app->record_bytes; i++) {
		char c = record_byte(i);

		if (carob_buf_append(out, &c, 1) != 0)
			return CAROB_ENOMEM;
	}
	return 0;
}

static inline int host_import_records(carob_cluster_host_t *host,
				      carob_instance_id_t predecessor,
				      carob_str_t records)
{
	app_t *app = (app_t *)host;

	if (app->refuse_import)
		return carob_error_set(CAROB_EFORMAT, "import refused");
	for (size_t i = 0; i < records.len; i++)
		if (records.ptr[i] != record_byte(i))
			return carob_error_set(CAROB_EFORMAT,
					       "wrong byte at offset %zu", i);
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
	.peer_generation = host_peer_generation,
	.summaries = host_summaries,
	.on_summary = host_on_summary,
	.on_report = host_on_report,
	.drain = host_drain,
	.drained = host_drained,
	.export_records = host_export_records,
	.import_records = host_import_records,
	.left = host_left,
};

static inline void app_start(sim_node_t *node, const carob_addr_t *seeds,
			     size_t seed_count)
{
	carob_cluster_options_t options = CAROB_CLUSTER_OPTIONS_INIT;
	app_t *app = calloc(1, sizeof(*app));
	const cluster_sim_t *s = (const cluster_sim_t *)node->sim;

	app->host.ops = &host_ops;
	app->node = node;
	node->app = app;
	CU_ASSERT_EQUAL_FATAL(carob_keyring_new(&app->keyring), 0);
	options.kernel = node->kernel;
	options.membership = node->membership;
	options.port = &node->port;
	options.host = &app->host;
	options.keyring = app->keyring;
	options.kv = carob_kv_memory_kv(s->store);
	options.deployment = CAROB_STR("hou");
	options.secret = secret;
	options.seeds = seeds;
	options.seed_count = seed_count;
	options.seed = carob_rng_u64(&node->sim->rng);
	options.mutation = s->mutation;
	CU_ASSERT_EQUAL_FATAL(carob_cluster_new(&app->cluster, &options), 0);
	CU_ASSERT_EQUAL_FATAL(carob_cluster_start(app->cluster), 0);
	node->gossip = carob_cluster_gossip(app->cluster);
}

static inline void app_stop(sim_node_t *node)
{
	app_t *app = node->app;

	carob_cluster_free(app->cluster);
	carob_keyring_free(app->keyring);
	free(app);
}

static inline void app_on_message(sim_node_t *node,
				  const carob_control_msg_t *msg)
{
	carob_cluster_on_message(((app_t *)node->app)->cluster, msg);
}

static inline const sim_app_t *cluster_sim_app(void)
{
	static const sim_app_t app = {app_start, app_stop, app_on_message};

	return &app;
}

static inline void run_ms(cluster_sim_t *s, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += 5) {
		sim_step(&s->sim);
		carob_kernel_run_due(s->kernel);
	}
}

/** Creates `count` nodes without instances, and an empty store. */
static inline void cluster_sim_prepare(cluster_sim_t *s, size_t count,
				       uint64_t seed)
{
	s->mutation = CAROB_CLUSTER_MUTATION_NONE;
	sim_init(&s->sim, count, seed);
	s->sim.app = cluster_sim_app();
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&s->kernel, &s->sim.clock.clock),
			      0);
	CU_ASSERT_EQUAL_FATAL(carob_kv_memory_new(&s->store, s->kernel), 0);
	carob_kv_memory_set_latency(s->store, 5 * CAROB_NS_PER_MS);
}

/** Starts an instance in every node and runs until they have joined. */
static inline void cluster_sim_start(cluster_sim_t *s)
{
	for (size_t i = 0; i < s->sim.count; i++)
		sim_start(&s->sim, i, zones[i % 2]);
	run_ms(s, 5000);
	CU_ASSERT(sim_converged(&s->sim));
}

static inline void cluster_sim_init(cluster_sim_t *s, size_t count,
				    uint64_t seed)
{
	cluster_sim_prepare(s, count, seed);
	cluster_sim_start(s);
}

static inline void cluster_sim_dispose(cluster_sim_t *s)
{
	sim_dispose(&s->sim);
	carob_kv_memory_free(s->store);
	carob_kernel_free(s->kernel);
}

#endif
