#include "status.h"

#include "carobtrail/errors.h"
#include "cluster.h"
#include "control.h"
#include "explain.h"
#include "request_path.h"
#include "sync.h"

#include <inttypes.h>
#include <stdlib.h>

#define MEMBERS_MAX 2000 /* members listed in one response */

typedef struct entryd_status {
	carob_service_t service;
	carob_kernel_t *kernel;
	carob_status_provider_t instance;
	carob_status_provider_t explain;
	carob_manifest_subscriber_t subscriber;
	uint64_t in_force_ns; /* time at which the manifest was applied */
} entryd_status_t;

static const char *const member_states[] = {"alive", "leaving", "left", "dead"};

static void status_free(carob_service_t *service)
{
	free(service);
}

static const carob_service_ops_t status_ops = {
	.name = ENTRYD_STATUS,
	.free = status_free,
};

static int on_applied(carob_manifest_subscriber_t *subscriber,
		      const carob_generation_t *generation)
{
	entryd_status_t *self =
		CAROB_CONTAINER_OF(subscriber, entryd_status_t, subscriber);

	(void)generation;
	self->in_force_ns = carob_kernel_now_ns(self->kernel);
	return 0;
}

static int add_manifest(carob_buf_t *json, const entryd_status_t *self,
			const entryd_core_t *core)
{
	const carob_generation_t *current =
		carob_manifest_store_current(core->store);
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];
	uint64_t age = 0;

	if (current->number > 0)
		age = carob_kernel_now_ns(self->kernel) - self->in_force_ns;
	carob_publish_id_format(id, &current->publish_id);
	return carob_buf_printf(json,
				",\"generation\":%" PRIu64
				",\"publish\":\"%s\",\"in_force_ms\":%" PRIu64,
				current->number, id,
				(uint64_t)(age / CAROB_NS_PER_MS));
}

static int add_sync(carob_buf_t *json, const carob_manifest_sync_t *sync)
{
	carob_manifest_sync_counters_t c;

	carob_manifest_sync_counters(&c, sync);
	return carob_buf_printf(
		json,
		",\"sync\":{\"watching\":%s,\"applied\":%" PRIu64
		",\"by_delta\":%" PRIu64 ",\"from_peer\":%" PRIu64
		",\"refused\":%" PRIu64 ",\"platform_calls\":%" PRIu64
		",\"platform_failures\":%" PRIu64 ",\"peer_requests\":%" PRIu64
		",\"peer_replies\":%" PRIu64 ",\"peer_reply_bytes\":%" PRIu64
		"}",
		carob_manifest_sync_watches(sync) ? "true" : "false", c.applied,
		c.applied_by_delta, c.applied_from_peer, c.refused,
		c.platform_calls, c.platform_failures, c.peer_requests,
		c.peer_replies, c.peer_reply_bytes);
}

static int add_requests(carob_buf_t *json, const carob_entry_t *entry)
{
	carob_entry_counters_t c;

	carob_entry_counters(&c, entry);
	return carob_buf_printf(
		json,
		",\"requests\":{\"packets_in\":%" PRIu64
		",\"relayed_out\":%" PRIu64 ",\"relayed_in\":%" PRIu64
		",\"tokens_refused\":%" PRIu64 ",\"forwarded\":%" PRIu64
		",\"answered\":%" PRIu64 ",\"cancelled_before\":%" PRIu64
		",\"cancelled_after\":%" PRIu64 ",\"refused_not_run\":%" PRIu64
		",\"outcome_unknown\":%" PRIu64 ",\"duplicates\":%" PRIu64
		",\"retries\":%" PRIu64 ",\"dropped\":%" PRIu64
		",\"feeds_opened\":%" PRIu64 ",\"feeds_ended\":%" PRIu64
		",\"feeds_open\":%" PRIu64 ",\"requests_open\":%" PRIu64
		",\"remembered\":%" PRIu64 "}",
		c.packets_in, c.relayed_out, c.relayed_in, c.tokens_refused,
		c.forwarded, c.answered, c.cancelled_before, c.cancelled_after,
		c.refused_not_run, c.outcome_unknown, c.duplicates, c.retries,
		c.dropped, c.feeds_opened, c.feeds_ended, c.feeds_open,
		c.requests_open, c.remembered);
}

static int add_cluster(carob_buf_t *json, const carob_cluster_t *cluster)
{
	carob_cluster_counters_t c;

	carob_cluster_counters(&c, cluster);
	return carob_buf_printf(
		json,
		",\"keys\":{\"newest\":%" PRIu32 ",\"sealing\":%" PRIu32
		",\"count\":%zu,\"conflicts\":%" PRIu64
		",\"store_failures\":%" PRIu64
		"},\"gossip\":{\"checks\":%" PRIu64 ",\"deaths\":%" PRIu64
		",\"refutations\":%" PRIu64 ",\"pauses\":%" PRIu64
		",\"pulls\":%" PRIu64 ",\"news_learnt\":%" PRIu64
		"},\"load_rounds\":%" PRIu64 ",\"load_postponed\":%" PRIu64
		",\"memories_taken_over\":%" PRIu64,
		c.key_newest, c.key_sealing, c.keys, c.key_conflicts,
		c.key_store_failures, c.gossip.checks, c.gossip.deaths,
		c.gossip.refutations, c.gossip.pauses, c.gossip.pulls,
		c.gossip.news_learnt, c.load_rounds, c.load_postponed,
		c.memories_taken_over);
}

static int add_control(carob_buf_t *json, const carob_control_t *control)
{
	carob_control_counters_t c;

	carob_control_counters(&c, control);
	return carob_buf_printf(
		json,
		",\"control\":{\"sent\":%" PRIu64 ",\"sent_bytes\":%" PRIu64
		",\"received\":%" PRIu64 ",\"received_bytes\":%" PRIu64
		",\"dropped\":%" PRIu64 ",\"refused_key\":%" PRIu64
		",\"refused_message\":%" PRIu64 ",\"dealers\":%" PRIu64
		",\"routes\":%" PRIu64 "}",
		c.sent, c.sent_bytes, c.received, c.received_bytes, c.dropped,
		c.refused_key, c.refused_message, c.dealers, c.routes);
}

static uint64_t ns_to_us(uint64_t ns)
{
	return ns / CAROB_NS_PER_US;
}

static int add_latency(carob_buf_t *json, const carob_entry_t *entry)
{
	const carob_histogram_t *latency = carob_entry_latency(entry);

	return carob_buf_printf(
		json,
		",\"latency_us\":{\"count\":%" PRIu64 ",\"p50\":%" PRIu64
		",\"p90\":%" PRIu64 ",\"p99\":%" PRIu64 ",\"max\":%" PRIu64 "}",
		latency->count,
		ns_to_us(carob_histogram_quantile(latency, 0.5)),
		ns_to_us(carob_histogram_quantile(latency, 0.9)),
		ns_to_us(carob_histogram_quantile(latency, 0.99)),
		ns_to_us(latency->max));
}

static int add_members(carob_buf_t *json, const carob_membership_t *membership)
{
	const carob_member_t *const *members;
	char addr[CAROB_ADDR_TEXT_MAX];
	size_t count;
	int result;

	members = carob_membership_all(membership, &count);
	result = carob_buf_printf(json, ",\"members\":[");
	for (size_t i = 0; result == 0 && i < count && i < MEMBERS_MAX; i++) {
		const carob_member_t *member = members[i];

		carob_addr_format(addr, &member->control_addr);
		result = carob_buf_printf(
			json,
			"%s{\"instance\":%u,\"incarnation\":%u,\"zone\":\"%s\","
			"\"state\":\"%s\",\"generation\":%" PRIu64
			",\"control\":\"%s\"}",
			i ? "," : "", member->id.id, member->id.incarnation,
			member->zone.name, member_states[member->state],
			member->generation, addr);
	}
	return result == 0 ? carob_buf_printf(json, "]}") : result;
}

static int write_instance(carob_status_provider_t *provider, carob_buf_t *json,
			  carob_str_t args)
{
	const entryd_status_t *self =
		CAROB_CONTAINER_OF(provider, entryd_status_t, instance);
	const entryd_core_t *core = entryd_core_find(self->kernel);
	const carob_entry_t *entry = entryd_request_path_find(self->kernel);
	const carob_member_t *member = carob_membership_self(core->membership);
	int result;

	(void)args;
	result = carob_buf_printf(json,
				  "{\"instance\":%u,\"incarnation\":%u,"
				  "\"zone\":\"%s\",\"state\":\"%s\"",
				  member->id.id, member->id.incarnation,
				  member->zone.name,
				  member_states[member->state]);
	if (result == 0)
		result = add_manifest(json, self, core);
	if (result == 0)
		result = add_sync(json, entryd_sync_find(self->kernel));
	if (result == 0)
		result = add_requests(json, entry);
	if (result == 0)
		result = add_latency(json, entry);
	if (result == 0)
		result = add_cluster(json, entryd_cluster_find(self->kernel));
	if (result == 0)
		result = add_control(json,
				     entryd_control_channel(entryd_control_find(
					     self->kernel)));
	return result == 0 ? add_members(json, core->membership) : result;
}

static int write_explanation(carob_status_provider_t *provider,
			     carob_buf_t *json, carob_str_t args)
{
	const entryd_status_t *self =
		CAROB_CONTAINER_OF(provider, entryd_status_t, explain);

	return entryd_explain(json, entryd_core_find(self->kernel), args);
}

int entryd_status_register(carob_kernel_t *kernel)
{
	carob_control_t *channel =
		entryd_control_channel(entryd_control_find(kernel));
	entryd_status_t *self = calloc(1, sizeof(*self));
	int error;

	if (!self)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the status service");
	self->service.ops = &status_ops;
	self->kernel = kernel;
	self->instance.name = "instance";
	self->instance.status = write_instance;
	self->explain.name = "explain";
	self->explain.status = write_explanation;
	self->subscriber.apply = on_applied;
	error = carob_kernel_register(kernel, &self->service);
	if (error) {
		free(self);
		return error;
	}
	carob_control_add_status(channel, &self->instance);
	carob_control_add_status(channel, &self->explain);
	return carob_manifest_store_subscribe(entryd_core_find(kernel)->store,
					      &self->subscriber);
}
