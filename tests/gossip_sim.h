/**
 * @file gossip_sim.h
 * Simulation of many instances with gossip in one process. The clock is
 * advanced by the simulation, and random choices come from a seed. Messages are
 * encoded and delayed, and can be lost at random or between groups of
 * instances. Used by tests and benchmarks.
 */
#ifndef CAROBTRAIL_GOSSIP_SIM_H
#define CAROBTRAIL_GOSSIP_SIM_H

#include "carobtrail/gossip.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "net/control_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_STEP_NS  (5 * CAROB_NS_PER_MS)
#define SIM_START_NS (1000 * CAROB_NS_PER_S)
#define SIM_SEEDS    3
#define SIM_PORT     7000
/*
 * Bytes that a message needs on the network beside its encoded form: 35 of
 * ZMTP and CURVE, 52 of TCP and IP, 52 of a bare TCP acknowledgement.
 */
#define SIM_OVERHEAD_BYTES 139

typedef struct sim sim_t;
typedef struct sim_node sim_node_t;

/**
 * The software under test in each node; by default the gossip alone. `start`
 * creates the gossip of the node, `stop` releases it, and `message` is called
 * for each message that is delivered to the node.
 */
typedef struct sim_app {
	void (*start)(sim_node_t *node, const carob_addr_t *seeds,
		      size_t seed_count);
	void (*stop)(sim_node_t *node);
	void (*message)(sim_node_t *node, const carob_control_msg_t *msg);
} sim_app_t;

/** An encoded message that was sent and not yet delivered. */
typedef struct sim_packet {
	struct sim_packet *next;
	uint64_t due_ns; /* time of its delivery */
	size_t to;	 /* index of the receiving node */
	size_t len;
	char bytes[];
} sim_packet_t;

/** One instance; a replacement of it uses the same node. */
struct sim_node {
	carob_control_port_t port;
	sim_t *sim;
	size_t index;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_gossip_t *gossip; /* NULL: not running */
	void *app; /* state of a `sim_app_t` that owns the gossip, or NULL */
	carob_member_t self;
	bool paused;	     /* the process is paused */
	int group;	     /* messages between different groups are lost */
	sim_packet_t *inbox; /* received while paused, newest first */
	uint64_t messages;   /* messages sent */
	/* Bytes sent and received, with SIM_OVERHEAD_BYTES per message. */
	uint64_t bytes;
};

struct sim {
	carob_manual_clock_t clock;
	carob_rng_t rng;
	sim_node_t *nodes;
	size_t count;
	double loss;	      /* probability that a message is lost */
	uint32_t incarnation; /* incarnation that was assigned last */
	carob_gossip_mutation_t mutation;
	size_t seed_base; /* index of the first seed node */
	const sim_app_t *app;
	sim_packet_t *first; /* messages to deliver, in order of sending */
	sim_packet_t *last;
	carob_control_scratch_t *scratch;
	carob_buf_t buf;
};

/* Finds the running node of a peer, by address if the peer has no id. */
static inline sim_node_t *sim_find(sim_t *sim, const carob_control_peer_t *to)
{
	for (size_t i = 0; to->id.id == 0 && i < sim->count; i++)
		if (sim->nodes[i].gossip &&
		    carob_addr_eq(&sim->nodes[i].self.control_addr, &to->addr))
			return &sim->nodes[i];
	if (to->id.id == 0 || to->id.id > sim->count)
		return NULL;
	if (!sim->nodes[to->id.id - 1].gossip)
		return NULL;
	return carob_instance_id_eq(sim->nodes[to->id.id - 1].self.id, to->id)
		       ? &sim->nodes[to->id.id - 1]
		       : NULL;
}

/*
 * Sends a message. Each is delivered one step later, so that messages arrive
 * in the order of sending.
 */
static inline void sim_send(carob_control_port_t *port,
			    const carob_control_peer_t *to,
			    const carob_control_msg_t *msg)
{
	sim_node_t *from = (sim_node_t *)port;
	sim_t *sim = from->sim;
	sim_node_t *node = sim_find(sim, to);
	sim_packet_t *packet;

	carob_buf_clear(&sim->buf);
	if (carob_control_encode(&sim->buf, msg) != 0)
		abort();
	from->messages++;
	from->bytes += sim->buf.len + SIM_OVERHEAD_BYTES;
	if (!node || node->group != from->group ||
	    carob_rng_unit(&sim->rng) < sim->loss)
		return;
	node->bytes += sim->buf.len + SIM_OVERHEAD_BYTES;
	packet = malloc(sizeof(*packet) + sim->buf.len);
	packet->next = NULL;
	packet->due_ns = sim->clock.now_ns + SIM_STEP_NS;
	packet->to = node->index;
	packet->len = sim->buf.len;
	memcpy(packet->bytes, sim->buf.ptr, sim->buf.len);
	if (sim->last)
		sim->last->next = packet;
	else
		sim->first = packet;
	sim->last = packet;
}

static inline const carob_control_port_ops_t *sim_port_ops(void)
{
	static const carob_control_port_ops_t ops = {sim_send};

	return &ops;
}

static inline void sim_dispatch(sim_t *sim, sim_packet_t *packet)
{
	sim_node_t *node = &sim->nodes[packet->to];
	carob_control_msg_t msg;

	if (node->gossip &&
	    carob_control_decode(&msg, sim->scratch,
				 (carob_str_t){packet->bytes, packet->len}) ==
		    0)
		sim->app->message(node, &msg);
	free(packet);
}

static inline void sim_deliver(sim_t *sim, sim_packet_t *packet)
{
	sim_node_t *node = &sim->nodes[packet->to];

	if (!node->paused) {
		sim_dispatch(sim, packet);
		return;
	}
	packet->next = node->inbox;
	node->inbox = packet;
}

static inline void sim_step(sim_t *sim)
{
	carob_manual_clock_advance(&sim->clock, SIM_STEP_NS);
	while (sim->first && sim->first->due_ns <= sim->clock.now_ns) {
		sim_packet_t *packet = sim->first;

		sim->first = packet->next;
		if (!sim->first)
			sim->last = NULL;
		sim_deliver(sim, packet);
	}
	for (size_t i = 0; i < sim->count; i++)
		if (sim->nodes[i].gossip && !sim->nodes[i].paused)
			carob_kernel_run_due(sim->nodes[i].kernel);
}

static inline void sim_run_ms(sim_t *sim, uint64_t ms)
{
	for (uint64_t t = 0; t < ms * CAROB_NS_PER_MS; t += SIM_STEP_NS)
		sim_step(sim);
}

static inline void sim_gossip_start(sim_node_t *node, const carob_addr_t *seeds,
				    size_t seed_count)
{
	carob_gossip_options_t g = CAROB_GOSSIP_OPTIONS_INIT;

	g.kernel = node->kernel;
	g.membership = node->membership;
	g.port = &node->port;
	g.seeds = seeds;
	g.seed_count = seed_count;
	g.seed = carob_rng_u64(&node->sim->rng);
	g.mutation = node->sim->mutation;
	if (carob_gossip_new(&node->gossip, &g) != 0 ||
	    carob_gossip_start(node->gossip) != 0)
		abort();
}

static inline void sim_gossip_stop(sim_node_t *node)
{
	carob_gossip_free(node->gossip);
}

static inline void sim_gossip_message(sim_node_t *node,
				      const carob_control_msg_t *msg)
{
	carob_gossip_on_message(node->gossip, msg);
}

static inline const sim_app_t *sim_gossip_app(void)
{
	static const sim_app_t app = {sim_gossip_start, sim_gossip_stop,
				      sim_gossip_message};

	return &app;
}

/** Starts an instance in a node that is not running, with a new incarnation. */
static inline void sim_start(sim_t *sim, size_t i, const char *zone)
{
	carob_membership_options_t m = CAROB_MEMBERSHIP_OPTIONS_INIT;
	sim_node_t *node = &sim->nodes[i];
	carob_addr_t seeds[SIM_SEEDS];

	node->port.ops = sim_port_ops();
	node->sim = sim;
	node->index = i;
	node->paused = false;
	node->self = (carob_member_t){
		.id = {(uint32_t)i + 1, ++sim->incarnation},
		.control_addr = {.ip = {10, (uint8_t)(i >> 16),
					(uint8_t)(i >> 8), (uint8_t)i},
				 .port = SIM_PORT,
				 .family = 4},
	};
	node->self.relay_addr = node->self.control_addr;
	snprintf(node->self.zone.name, sizeof(node->self.zone.name), "%s",
		 zone);
	for (size_t j = 0; j < SIM_SEEDS; j++) {
		size_t k = sim->seed_base + j;

		seeds[j] = (carob_addr_t){.ip = {10, 0, (uint8_t)(k >> 8),
						 (uint8_t)k},
					  .port = SIM_PORT,
					  .family = 4};
	}
	m.self = node->self;
	if (carob_kernel_new(&node->kernel, &sim->clock.clock) != 0 ||
	    carob_membership_new(&node->membership, &m) != 0)
		abort();
	sim->app->start(node, seeds, SIM_SEEDS);
}

static inline void sim_drop_inbox(sim_node_t *node)
{
	while (node->inbox) {
		sim_packet_t *packet = node->inbox;

		node->inbox = packet->next;
		free(packet);
	}
}

/** Ends an instance at once; it sends nothing more. */
static inline void sim_kill(sim_t *sim, size_t i)
{
	sim_node_t *node = &sim->nodes[i];

	if (!node->gossip)
		return;
	sim->app->stop(node);
	carob_membership_free(node->membership);
	carob_kernel_free(node->kernel);
	sim_drop_inbox(node);
	node->gossip = NULL;
	node->paused = false;
}

/**
 * Lets a paused instance run again. The messages that it received during the
 * pause are handled first.
 */
static inline void sim_resume(sim_t *sim, size_t i)
{
	sim_node_t *node = &sim->nodes[i];
	sim_packet_t *oldest = NULL;

	node->paused = false;
	while (node->inbox) {
		sim_packet_t *packet = node->inbox;

		node->inbox = packet->next;
		packet->next = oldest;
		oldest = packet;
	}
	while (oldest) {
		sim_packet_t *packet = oldest;

		oldest = packet->next;
		sim_dispatch(sim, packet);
	}
}

static inline void sim_discard_log(carob_log_sink_t *sink, carob_str_t line)
{
	(void)sink;
	(void)line;
}

/** Initialises a simulation with `count` nodes, none of them running. */
static inline void sim_init(sim_t *sim, size_t count, uint64_t seed)
{
	static carob_log_sink_t sink = {sim_discard_log};

	*sim = (sim_t){.count = count, .app = sim_gossip_app()};
	carob_manual_clock_init(&sim->clock, SIM_START_NS);
	carob_rng_init(&sim->rng, seed);
	sim->nodes = calloc(count, sizeof(sim->nodes[0]));
	sim->scratch = malloc(sizeof(*sim->scratch));
	carob_log_configure("sim", &sim->clock.clock, CAROB_LOG_ERROR, &sink);
}

static inline void sim_dispose(sim_t *sim)
{
	for (size_t i = 0; i < sim->count; i++)
		sim_kill(sim, i);
	while (sim->first) {
		sim_packet_t *packet = sim->first;

		sim->first = packet->next;
		free(packet);
	}
	free(sim->nodes);
	free(sim->scratch);
	carob_buf_dispose(&sim->buf);
}

/** @return what node `i` knows of the current run in node `j`, or NULL */
static inline const carob_member_t *sim_view(sim_t *sim, size_t i, size_t j)
{
	return carob_membership_find(sim->nodes[i].membership,
				     sim->nodes[j].self.id);
}

/** @return whether the current run in `j` takes new flows in the view of `i` */
static inline bool sim_usable(sim_t *sim, size_t i, size_t j)
{
	const carob_member_t *member = sim_view(sim, i, j);

	return member && member->state == CAROB_MEMBER_ALIVE &&
	       carob_membership_is_reachable(sim->nodes[i].membership,
					     sim->nodes[j].self.id);
}

/** @return whether each running instance knows all running ones and no other */
static inline bool sim_converged(sim_t *sim)
{
	size_t running = 0;

	for (size_t i = 0; i < sim->count; i++)
		if (sim->nodes[i].gossip)
			running++;
	for (size_t i = 0; i < sim->count; i++) {
		size_t alive;

		if (!sim->nodes[i].gossip)
			continue;
		carob_membership_alive(sim->nodes[i].membership, &alive);
		if (alive != running)
			return false;
		for (size_t j = 0; j < sim->count; j++)
			if (sim->nodes[j].gossip && !sim_usable(sim, i, j))
				return false;
	}
	return true;
}

/**
 * Runs until the member tables have converged.
 *
 * @return milliseconds that it took, or `limit_ms` + 1
 */
static inline uint64_t sim_run_until_converged(sim_t *sim, uint64_t limit_ms)
{
	for (uint64_t ms = 0; ms <= limit_ms; ms += 5) {
		if (sim_converged(sim))
			return ms;
		sim_step(sim);
	}
	return limit_ms + 1;
}

/** @return number of deaths declared by all running instances */
static inline uint64_t sim_deaths(sim_t *sim)
{
	carob_gossip_counters_t c;
	uint64_t deaths = 0;

	for (size_t i = 0; i < sim->count; i++) {
		if (!sim->nodes[i].gossip)
			continue;
		carob_gossip_counters(&c, sim->nodes[i].gossip);
		deaths += c.deaths;
	}
	return deaths;
}

#endif
