#include "carobtrail/cluster.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"
#include "core/requests/handover.h"
#include "core/keys/keys.h"
#include "core/scheduling/load_exchange.h"

#include <stdlib.h>
#include <string.h>

struct carob_cluster {
	carob_gossip_listener_t listener;
	carob_service_t service; /* registered as "cluster" */
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_control_port_t *port;
	carob_cluster_host_t *host;
	carob_keyring_t *keyring;
	carob_gossip_t *gossip;
	carob_keys_t *keys;
	carob_handover_t *handover;
	carob_load_exchange_t *load;
};

static void peer_versions(carob_gossip_listener_t *listener,
			  const carob_control_peer_t *peer, uint64_t generation,
			  uint32_t key_serial)
{
	carob_cluster_t *c =
		CAROB_CONTAINER_OF(listener, carob_cluster_t, listener);

	carob_keys_on_peer_serial(c->keys, peer, key_serial);
	if (c->host->ops->peer_generation)
		c->host->ops->peer_generation(c->host, peer, generation);
}

static const carob_gossip_listener_ops_t listener_ops = {
	.peer_versions = peer_versions,
};

static const carob_service_ops_t service_ops = {.name = "cluster"};

static int new_gossip(carob_cluster_t *c, const carob_cluster_options_t *o,
		      carob_rng_t *rng)
{
	carob_gossip_options_t options = CAROB_GOSSIP_OPTIONS_INIT;

	options.kernel = o->kernel;
	options.membership = o->membership;
	options.port = o->port;
	options.listener = &c->listener;
	options.seeds = o->seeds;
	options.seed_count = o->seed_count;
	options.seed = carob_rng_u64(rng);
	return carob_gossip_new(&c->gossip, &options);
}

static int new_keys(carob_cluster_t *c, const carob_cluster_options_t *o,
		    carob_rng_t *rng)
{
	carob_keys_options_t options = {
		.kernel = o->kernel,
		.membership = o->membership,
		.gossip = c->gossip,
		.port = o->port,
		.keyring = o->keyring,
		.kv = o->kv,
		.deployment = o->deployment,
		.secret = o->secret,
		.seed = carob_rng_u64(rng),
		.mutation = o->mutation,
	};

	return carob_keys_new(&c->keys, &options);
}

static int new_handover(carob_cluster_t *c, const carob_cluster_options_t *o)
{
	carob_handover_options_t options = {
		.kernel = o->kernel,
		.membership = o->membership,
		.gossip = c->gossip,
		.port = o->port,
		.host = o->host,
		.mutation = o->mutation,
	};

	return carob_handover_new(&c->handover, &options);
}

static int new_components(carob_cluster_t *c, const carob_cluster_options_t *o)
{
	carob_rng_t rng;
	int error;

	carob_rng_init(&rng, o->seed);
	error = new_gossip(c, o, &rng);
	if (!error)
		error = new_keys(c, o, &rng);
	if (!error)
		error = new_handover(c, o);
	if (!error)
		error = carob_load_exchange_new(&c->load, o->kernel,
						o->membership, o->port, o->host,
						carob_rng_u64(&rng));
	if (!error)
		error = carob_kernel_register(o->kernel, &c->service);
	return error;
}

int carob_cluster_new(carob_cluster_t **out,
		      const carob_cluster_options_t *options)
{
	carob_cluster_t *c;
	int error;

	if (options->version != CAROB_CLUSTER_OPTIONS_VERSION ||
	    !options->kernel || !options->membership || !options->port ||
	    !options->host || !options->keyring || !options->secret)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of the cluster");
	c = calloc(1, sizeof(*c));
	if (!c)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate cluster");
	c->listener.ops = &listener_ops;
	c->service.ops = &service_ops;
	c->kernel = options->kernel;
	c->membership = options->membership;
	c->port = options->port;
	c->host = options->host;
	c->keyring = options->keyring;
	error = new_components(c, options);
	if (error) {
		carob_cluster_free(c);
		return error;
	}
	*out = c;
	return 0;
}

void carob_cluster_free(carob_cluster_t *c)
{
	if (!c)
		return;
	carob_kernel_unregister(c->kernel, &c->service);
	carob_load_exchange_free(c->load);
	carob_handover_free(c->handover);
	carob_keys_free(c->keys);
	carob_gossip_free(c->gossip);
	free(c);
}

int carob_cluster_start(carob_cluster_t *c)
{
	int error = carob_gossip_start(c->gossip);

	if (!error)
		error = carob_keys_start(c->keys);
	if (!error)
		error = carob_load_exchange_start(c->load);
	return error;
}

static void on_summaries(carob_cluster_t *c, const carob_control_msg_t *msg)
{
	if (!c->host->ops->on_summary)
		return;
	for (size_t i = 0; i < msg->summaries.count; i++)
		c->host->ops->on_summary(c->host, &msg->summaries.summaries[i]);
}

static void on_reports(carob_cluster_t *c, const carob_control_msg_t *msg)
{
	if (!c->host->ops->on_report)
		return;
	for (size_t i = 0; i < msg->reports.count; i++)
		c->host->ops->on_report(c->host, &msg->reports.reports[i]);
}

static carob_control_peer_t peer_of(const carob_cluster_t *c,
				    carob_instance_id_t id)
{
	const carob_member_t *member = carob_membership_find(c->membership, id);
	carob_control_peer_t peer = {.id = id};

	if (member)
		peer.addr = member->control_addr;
	return peer;
}

static void on_manifest(carob_cluster_t *c, const carob_control_msg_t *msg)
{
	carob_control_peer_t peer = peer_of(c, msg->from);

	if (c->host->ops->manifest_message)
		c->host->ops->manifest_message(c->host, &peer, msg);
}

void carob_cluster_on_message(carob_cluster_t *c,
			      const carob_control_msg_t *msg)
{
	if (carob_gossip_on_message(c->gossip, msg))
		return;
	switch (msg->type) {
	case CAROB_CONTROL_LOAD_SUMMARIES:
		on_summaries(c, msg);
		break;
	case CAROB_CONTROL_MANIFEST_AVAILABLE:
	case CAROB_CONTROL_MANIFEST_REQUEST:
	case CAROB_CONTROL_MANIFEST_REPLY:
		on_manifest(c, msg);
		break;
	case CAROB_CONTROL_KEY_AVAILABLE:
	case CAROB_CONTROL_KEY_REQUEST:
	case CAROB_CONTROL_KEY_REPLY:
		carob_keys_on_message(c->keys, msg);
		break;
	case CAROB_CONTROL_RECORDS_TRANSFER:
	case CAROB_CONTROL_RECORDS_ACK:
		carob_handover_on_message(c->handover, msg);
		break;
	case CAROB_CONTROL_UPSTREAM_REPORTS:
		on_reports(c, msg);
		break;
	default:
		break;
	}
}

bool carob_cluster_ready(const carob_cluster_t *c)
{
	uint8_t epoch;

	return carob_keyring_active(c->keyring, &epoch) != NULL;
}

void carob_cluster_drain(carob_cluster_t *c)
{
	carob_handover_begin(c->handover);
}

bool carob_cluster_has_left(const carob_cluster_t *c)
{
	return carob_handover_complete(c->handover);
}

void carob_cluster_send_reports(carob_cluster_t *c, carob_instance_id_t to,
				const carob_load_report_t *reports,
				size_t count)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_UPSTREAM_REPORTS};
	carob_control_peer_t peer = peer_of(c, to);

	msg.from = carob_membership_self(c->membership)->id;
	while (count > 0) {
		msg.reports.count = count < CAROB_CONTROL_REPORTS_MAX
					    ? count
					    : CAROB_CONTROL_REPORTS_MAX;
		msg.reports.reports = reports;
		c->port->ops->send(c->port, &peer, &msg);
		reports += msg.reports.count;
		count -= msg.reports.count;
	}
}

carob_gossip_t *carob_cluster_gossip(carob_cluster_t *c)
{
	return c->gossip;
}

void carob_cluster_counters(carob_cluster_counters_t *out,
			    const carob_cluster_t *c)
{
	carob_load_exchange_counters_t load;
	carob_handover_counters_t handover;
	carob_keys_status_t keys;

	carob_load_exchange_counters(&load, c->load);
	carob_handover_counters(&handover, c->handover);
	carob_keys_status(&keys, c->keys);
	*out = (carob_cluster_counters_t){
		.key_newest = keys.newest,
		.key_sealing = keys.sealing,
		.keys = keys.count,
		.key_conflicts = keys.conflicts,
		.key_store_failures = keys.store_failures,
		.load_rounds = load.rounds,
		.load_postponed = load.postponed,
		.memories_taken_over = handover.taken_over,
	};
	carob_gossip_counters(&out->gossip, c->gossip);
}

static const char *state_name(carob_member_state_t state)
{
	static const char *const names[] = {
		[CAROB_MEMBER_ALIVE] = "alive",
		[CAROB_MEMBER_LEAVING] = "leaving",
		[CAROB_MEMBER_LEFT] = "left",
		[CAROB_MEMBER_DEAD] = "dead",
	};

	return names[state];
}

static int member_status(carob_buf_t *json, const carob_cluster_t *c,
			 const carob_member_t *member)
{
	char control[CAROB_ADDR_TEXT_MAX];
	bool reachable =
		carob_membership_is_reachable(c->membership, member->id);

	carob_addr_format(control, &member->control_addr);
	return carob_buf_printf(
		json,
		"{\"instance\":%u,\"incarnation\":%u,\"zone\":\"%s\","
		"\"control\":\"%s\",\"state\":\"%s\",\"reachable\":%s,"
		"\"generation\":%llu,\"successor\":%u}",
		member->id.id, member->id.incarnation, member->zone.name,
		control, state_name(member->state),
		reachable ? "true" : "false",
		(unsigned long long)member->generation, member->successor.id);
}

static int members_status(carob_buf_t *json, const carob_cluster_t *c)
{
	const carob_member_t *const *all;
	size_t count;
	int error;

	all = carob_membership_all(c->membership, &count);
	error = carob_buf_printf(json, "\"members\":[");
	for (size_t i = 0; i < count && !error; i++) {
		if (i > 0)
			error = carob_buf_printf(json, ",");
		if (!error)
			error = member_status(json, c, all[i]);
	}
	if (!error)
		error = carob_buf_printf(json, "]");
	return error;
}

int carob_cluster_status(carob_buf_t *json, const carob_cluster_t *c)
{
	const carob_member_t *self = carob_membership_self(c->membership);
	carob_keys_status_t keys;
	int error;

	carob_keys_status(&keys, c->keys);
	error = carob_buf_printf(
		json,
		"{\"instance\":%u,\"zone\":\"%s\",\"state\":\"%s\","
		"\"joined\":%s,\"ready\":%s,"
		"\"keys\":{\"newest\":%u,\"sealing\":%u,\"count\":%zu,"
		"\"conflicts\":%llu},",
		self->id.id, self->zone.name, state_name(self->state),
		carob_gossip_joined(c->gossip) ? "true" : "false",
		carob_cluster_ready(c) ? "true" : "false", keys.newest,
		keys.sealing, keys.count, (unsigned long long)keys.conflicts);
	if (!error)
		error = members_status(json, c);
	if (!error)
		error = carob_buf_printf(json, "}");
	return error;
}
