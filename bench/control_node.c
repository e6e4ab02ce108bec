/*
 * An instance with the cluster component and the real control channel, but
 * without a request path. It measures the cost of the channel for a process.
 *
 * Usage: bench-control-node ID ZONE ADDRESS SEED...
 * On SIGTERM it prints its counters as one JSON object and exits.
 */
#include "carobtrail/cluster.h"
#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "net/control.h"

#include <event2/event.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#define SUMMARY_SERVICES  2
#define SUMMARY_UPSTREAMS 4

typedef struct control_node {
	carob_cluster_host_t host;
	carob_control_handler_t handler;
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_membership_t *membership;
	carob_keyring_t *keyring;
	carob_control_t *control;
	carob_cluster_t *cluster;
	struct event *sigterm;
	uint16_t load;
	uint64_t started_ns;
} control_node_t;

static uint64_t elapsed_ms(const control_node_t *node)
{
	return (carob_kernel_now_ns(node->kernel) - node->started_ns) /
	       CAROB_NS_PER_MS;
}

/* Returns a load that is different in each call, as under traffic. */
static size_t summaries(carob_cluster_host_t *host, carob_load_summary_t *out,
			size_t cap)
{
	control_node_t *node = (control_node_t *)host;
	size_t count = cap < SUMMARY_SERVICES ? cap : SUMMARY_SERVICES;

	node->load++;
	for (size_t i = 0; i < count; i++) {
		out[i].service_id = (uint32_t)i + 1;
		out[i].in_flight = node->load;
		out[i].upstream_count = SUMMARY_UPSTREAMS;
	}
	return count;
}

static const carob_cluster_host_ops_t host_ops = {.summaries = summaries};

static void on_message(carob_control_handler_t *handler,
		       const carob_control_msg_t *msg)
{
	carob_cluster_on_message(
		CAROB_CONTAINER_OF(handler, control_node_t, handler)->cluster,
		msg);
}

static uint64_t cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
		       1000000 +
	       (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void on_sigterm(evutil_socket_t fd, short what, void *context)
{
	control_node_t *node = context;
	carob_control_counters_t c;
	struct rusage usage;
	size_t alive;

	(void)fd;
	(void)what;
	getrusage(RUSAGE_SELF, &usage);
	carob_control_counters(&c, node->control);
	carob_membership_alive(node->membership, &alive);
	printf("{\"alive\":%zu,\"elapsed_ms\":%" PRIu64 ",\"cpu_us\":%" PRIu64
	       ",\"peak_rss_kb\":%ld,\"messages\":%" PRIu64
	       ",\"payload_bytes\":%" PRIu64 ",\"dropped\":%" PRIu64
	       ",\"dealers\":%" PRIu64 "}\n",
	       alive, elapsed_ms(node), cpu_us(), usage.ru_maxrss,
	       c.sent + c.received, c.sent_bytes + c.received_bytes, c.dropped,
	       c.dealers);
	carob_loop_stop(node->loop);
}

static int open_control(control_node_t *node, const uint8_t *secret)
{
	carob_control_options_t options = CAROB_CONTROL_OPTIONS_INIT;
	const carob_member_t *self = carob_membership_self(node->membership);

	node->handler.message = on_message;
	options.kernel = node->kernel;
	options.loop = node->loop;
	options.self = self->id;
	options.listen = self->control_addr;
	options.secret = secret;
	options.handler = &node->handler;
	return carob_control_new(&node->control, &options);
}

static int open_cluster(control_node_t *node, const uint8_t *secret,
			const carob_addr_t *seeds, size_t seed_count)
{
	carob_cluster_options_t options = CAROB_CLUSTER_OPTIONS_INIT;

	node->host.ops = &host_ops;
	options.kernel = node->kernel;
	options.membership = node->membership;
	options.port = carob_control_port(node->control);
	options.host = &node->host;
	options.keyring = node->keyring;
	options.deployment = CAROB_STR("bench");
	options.secret = secret;
	options.seeds = seeds;
	options.seed_count = seed_count;
	randombytes_buf(&options.seed, sizeof(options.seed));
	return carob_cluster_new(&node->cluster, &options);
}

static int open_node(control_node_t *node, char **args, int count)
{
	static const uint8_t secret[CAROB_KEY_BYTES] = {1};
	carob_membership_options_t options = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_addr_t seeds[CAROB_GOSSIP_SEEDS_MAX];
	size_t seed_count = 0;
	int error;

	options.self.id.id = (uint32_t)strtoul(args[0], NULL, 10);
	options.self.id.incarnation = 1 + randombytes_uniform(UINT32_MAX);
	snprintf(options.self.zone.name, sizeof(options.self.zone.name), "%s",
		 args[1]);
	error = carob_addr_parse(&options.self.control_addr,
				 carob_str_from(args[2]));
	for (int i = 3; i < count && i < CAROB_GOSSIP_SEEDS_MAX && !error; i++)
		error = carob_addr_parse(&seeds[seed_count++],
					 carob_str_from(args[i]));
	if (!error)
		error = carob_kernel_new(&node->kernel, carob_clock_system());
	if (!error)
		error = carob_loop_new(&node->loop, node->kernel);
	if (!error)
		error = carob_membership_new(&node->membership, &options);
	if (!error)
		error = carob_keyring_new(&node->keyring);
	if (!error)
		error = open_control(node, secret);
	if (!error)
		error = open_cluster(node, secret, seeds, seed_count);
	return error;
}

static void close_node(control_node_t *node)
{
	event_free(node->sigterm);
	carob_cluster_free(node->cluster);
	carob_control_free(node->control);
	carob_membership_free(node->membership);
	carob_keyring_free(node->keyring);
	carob_loop_free(node->loop);
	carob_kernel_free(node->kernel);
}

int main(int argc, char **argv)
{
	control_node_t node = {.load = 0};

	if (argc < 4 || sodium_init() < 0)
		return 2;
	carob_log_configure("bench-control-node", carob_clock_system(),
			    CAROB_LOG_ERROR, NULL);
	if (open_node(&node, argv + 1, argc - 1) != 0) {
		fprintf(stderr, "%s\n", carob_error_last());
		return 1;
	}
	node.sigterm = evsignal_new(carob_loop_base(node.loop), SIGTERM,
				    on_sigterm, &node);
	if (!node.sigterm || event_add(node.sigterm, NULL) != 0 ||
	    carob_cluster_start(node.cluster) != 0)
		return 1;
	node.started_ns = carob_kernel_now_ns(node.kernel);
	carob_loop_run(node.loop);
	close_node(&node);
	return 0;
}
