#include "explain.h"

#include "carobtrail/errors.h"
#include "carobtrail/token.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#define SUMMARIES_MAX 256

static const char *const member_states[] = {"alive", "leaving", "left", "dead"};

static bool skip_prefix(carob_str_t *args, carob_str_t prefix)
{
	if (args->len < prefix.len ||
	    memcmp(args->ptr, prefix.ptr, prefix.len) != 0)
		return false;
	args->ptr += prefix.len;
	args->len -= prefix.len;
	return true;
}

static const carob_manifest_service_t *
find_service(const carob_manifest_t *manifest, carob_str_t name)
{
	const carob_manifest_service_t *services;
	size_t count;

	services = carob_manifest_services(manifest, &count);
	for (size_t i = 0; i < count; i++)
		if (carob_str_eq(services[i].name, name))
			return &services[i];
	return NULL;
}

static int add_upstream(carob_buf_t *json,
			const carob_manifest_upstream_t *upstream)
{
	char addr[CAROB_ADDR_TEXT_MAX];

	carob_addr_format(addr, &upstream->addr);
	return carob_buf_printf(
		json,
		"{\"id\":%u,\"incarnation\":%u,\"name\":\"%.*s\",\"zone\":"
		"\"%s\",\"addr\":\"%s\",\"new_flows\":%s}",
		upstream->id.id, upstream->id.incarnation,
		(int)upstream->name.len, upstream->name.ptr,
		upstream->zone.name, addr,
		upstream->state == CAROB_UPSTREAM_ACTIVE ? "true" : "false");
}

static int add_load(carob_buf_t *json, const entryd_core_t *core,
		    uint32_t service_id)
{
	carob_load_summary_t summaries[SUMMARIES_MAX];
	size_t count = carob_scheduler_summaries(summaries, SUMMARIES_MAX,
						 core->scheduler);

	for (size_t i = 0; i < count; i++)
		if (summaries[i].service_id == service_id)
			return carob_buf_printf(
				json,
				"{\"slots\":%u,\"in_flight\":%u,\"queued\":%u,"
				"\"connections\":%u,\"feeds\":%u}",
				summaries[i].slots, summaries[i].in_flight,
				summaries[i].queued, summaries[i].connections,
				summaries[i].feeds);
	return carob_buf_printf(json, "null");
}

static int explain_service(carob_buf_t *json, const entryd_core_t *core,
			   const carob_generation_t *current, carob_str_t name)
{
	const carob_manifest_service_t *service =
		find_service(current->manifest, name);
	int result;

	if (!service)
		return carob_error_set(CAROB_ENOTFOUND,
				       "service %.*s is not in generation "
				       "%" PRIu64,
				       (int)name.len, name.ptr,
				       current->number);
	result = carob_buf_printf(json,
				  "{\"service\":\"%.*s\",\"id\":%u,\"port\":%u,"
				  "\"generation\":%" PRIu64 ",\"scheduled_here"
				  "\":",
				  (int)name.len, name.ptr, service->id,
				  service->addr.port, current->number);
	if (result == 0)
		result = add_load(json, core, service->id);
	if (result == 0)
		result = carob_buf_printf(
			json,
			",\"why\":\"a new flow is assigned to the less "
			"loaded of two random instances, weighted by the slots "
			"that each schedules, and sent to its least loaded "
			"upstream\",\"upstreams\":[");
	for (size_t i = 0; result == 0 && i < service->upstream_count; i++) {
		result = carob_buf_printf(json, "%s", i ? "," : "");
		if (result == 0)
			result = add_upstream(json, &service->upstreams[i]);
	}
	return result == 0 ? carob_buf_printf(json, "]}") : result;
}

static const char *upstream_reason(const carob_manifest_service_t *service,
				   const carob_manifest_upstream_t *upstream)
{
	if (!service)
		return "the service is no longer in the manifest: requests "
		       "are refused as not run";
	if (!upstream)
		return "the flow's upstream is no longer in the manifest: the "
		       "flow ends, and a new one starts with a challenge";
	if (upstream->state == CAROB_UPSTREAM_DRAINING)
		return "the upstream is draining: this flow stays on it, new "
		       "flows are sent elsewhere";
	return "the flow stays on the upstream that its token names";
}

static const char *owner_reason(const carob_member_t *owner,
				const carob_member_t *current)
{
	if (!current)
		return "its owner is gone without a successor: the outcome of "
		       "requests in progress there is unknown";
	if (owner && carob_instance_id_eq(owner->id, current->id))
		return "its owner holds the flow's requests";
	return "its owner left and handed its requests over to this successor";
}

static int add_owner(carob_buf_t *json, const entryd_core_t *core,
		     carob_instance_id_t id)
{
	const carob_member_t *owner =
		carob_membership_find(core->membership, id);
	const carob_member_t *current =
		carob_membership_resolve(core->membership, id);
	int result;

	result = carob_buf_printf(
		json,
		"{\"instance\":%u,\"incarnation\":%u,\"state\":\"%s\","
		"\"served_by\":",
		id.id, id.incarnation,
		owner ? member_states[owner->state] : "unknown");
	if (result == 0)
		result = current ? carob_buf_printf(json, "%u", current->id.id)
				 : carob_buf_printf(json, "null");
	return result == 0 ? carob_buf_printf(json, ",\"why\":\"%s\"}",
					      owner_reason(owner, current))
			   : result;
}

static int open_token(carob_token_t *out, const entryd_core_t *core,
		      carob_str_t hex)
{
	uint8_t sealed[CAROB_TOKEN_SEALED_BYTES];
	size_t len = 0;

	if (hex.len != 2 * sizeof(sealed) ||
	    sodium_hex2bin(sealed, sizeof(sealed), hex.ptr, hex.len, NULL, &len,
			   NULL) != 0 ||
	    len != sizeof(sealed))
		return carob_error_set(CAROB_EINVALID,
				       "token: expected %zu hexadecimal digits",
				       2 * sizeof(sealed));
	return carob_token_open(out, core->keyring, sealed, len);
}

static int explain_token(carob_buf_t *json, const entryd_core_t *core,
			 const carob_generation_t *current, carob_str_t hex)
{
	const carob_manifest_upstream_t *upstream = NULL;
	const carob_manifest_service_t *service;
	carob_token_t token = {0};
	int result = open_token(&token, core, hex);

	if (result != 0)
		return result;
	service = carob_manifest_find_service(current->manifest,
					      token.service_id);
	if (service)
		upstream =
			carob_manifest_find_upstream(service, token.upstream);
	result = carob_buf_printf(
		json,
		"{\"flow\":\"%012" PRIx64
		"\",\"service\":%u,\"generation\":%" PRIu64
		",\"established\":%s,\"upstream\":",
		token.flow, token.service_id, current->number,
		token.flags & CAROB_TOKEN_ESTABLISHED ? "true" : "false");
	if (result == 0)
		result = upstream ? add_upstream(json, upstream)
				  : carob_buf_printf(json, "null");
	if (result == 0)
		result = carob_buf_printf(json, ",\"why\":\"%s\",\"owner\":",
					  upstream_reason(service, upstream));
	if (result == 0)
		result = add_owner(json, core, token.owner);
	return result == 0 ? carob_buf_printf(json, "}") : result;
}

int entryd_explain(carob_buf_t *json, const entryd_core_t *core,
		   carob_str_t args)
{
	const carob_generation_t *current =
		carob_manifest_store_current(core->store);

	if (!current->manifest)
		return carob_error_set(CAROB_ENOTFOUND,
				       "no manifest is in force on this "
				       "instance yet");
	if (skip_prefix(&args, CAROB_STR("service ")))
		return explain_service(json, core, current, args);
	if (skip_prefix(&args, CAROB_STR("token ")))
		return explain_token(json, core, current, args);
	return carob_error_set(CAROB_EINVALID,
			       "explain: expected \"service NAME\" or \"token "
			       "HEX\"");
}
