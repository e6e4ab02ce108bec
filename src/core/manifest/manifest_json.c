#include "core/manifest/manifest_json.h"

#include "carobtrail/errors.h"
#include "core/manifest/manifest_build.h"

#include <sodium.h>
#include <string.h>

#define HASH_BYTES ((CAROB_HASH_TEXT_BYTES - 1) / 2)

static int format_zones(carob_buf_t *out, const carob_manifest_t *manifest)
{
	size_t count;
	const carob_zone_t *zones = carob_manifest_zones(manifest, &count);
	int result = 0;

	for (size_t i = 0; result == 0 && i < count; i++)
		result = carob_buf_printf(out, "%s\"%s\"", i ? "," : "",
					  zones[i].name);
	return result;
}

static int format_upstream(carob_buf_t *out,
			   const carob_manifest_upstream_t *upstream)
{
	char addr[CAROB_ADDR_TEXT_MAX];

	carob_addr_format(addr, &upstream->addr);
	return carob_buf_printf(
		out,
		"{\"id\":%u,\"incarnation\":%u,\"name\":\"%.*s\",\"zone\":"
		"\"%s\",\"addr\":\"%s\",\"state\":\"%s\"}",
		upstream->id.id, upstream->id.incarnation,
		(int)upstream->name.len, upstream->name.ptr,
		upstream->zone.name, addr,
		upstream->state == CAROB_UPSTREAM_ACTIVE ? "active"
							 : "draining");
}

/* Appends a service without its upstreams and without the closing brace. */
static int format_attributes(carob_buf_t *out,
			     const carob_manifest_service_t *service)
{
	char addr[CAROB_ADDR_TEXT_MAX];

	carob_addr_format(addr, &service->addr);
	return carob_buf_printf(
		out,
		"{\"id\":%u,\"name\":\"%.*s\",\"addr\":\"%s\",\"slots\":%u,"
		"\"connections\":%u,\"reports_load\":%s,\"max_runtime_ms\":%u",
		service->id, (int)service->name.len, service->name.ptr, addr,
		service->slots, service->connections,
		service->reports_load ? "true" : "false",
		service->max_runtime_ms);
}

int carob_manifest_format_service(carob_buf_t *out,
				  const carob_manifest_service_t *service)
{
	int result = format_attributes(out, service);

	if (result == 0)
		result = carob_buf_printf(out, ",\"upstreams\":[");
	for (size_t i = 0; result == 0 && i < service->upstream_count; i++) {
		if (i > 0)
			result = carob_buf_append(out, ",", 1);
		if (result == 0)
			result = format_upstream(out, &service->upstreams[i]);
	}
	return result == 0 ? carob_buf_append(out, "]}", 2) : result;
}

int carob_manifest_format_head(carob_buf_t *out,
			       const carob_manifest_t *manifest)
{
	carob_str_t name = carob_manifest_deployment(manifest);
	int result = carob_buf_printf(out, "{\"deployment\":\"%.*s\",",
				      (int)name.len, name.ptr);

	if (result == 0)
		result = carob_buf_printf(out, "\"zones\":[");
	if (result == 0)
		result = format_zones(out, manifest);
	if (result == 0)
		result = carob_buf_printf(out, "],\"services\":[");
	return result;
}

int carob_manifest_format(carob_buf_t *out, const carob_manifest_t *manifest)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(manifest, &count);
	int result = carob_manifest_format_head(out, manifest);

	for (size_t i = 0; result == 0 && i < count; i++) {
		if (i > 0)
			result = carob_buf_append(out, ",", 1);
		if (result == 0)
			result = carob_manifest_format_service(out,
							       &services[i]);
	}
	return result == 0 ? carob_buf_append(out, "]}", 2) : result;
}

void carob_content_hash(char out[CAROB_HASH_TEXT_BYTES], carob_str_t bytes)
{
	unsigned char hash[HASH_BYTES];

	(void)crypto_generichash(hash, sizeof(hash),
				 (const unsigned char *)bytes.ptr, bytes.len,
				 NULL, 0);
	(void)sodium_bin2hex(out, CAROB_HASH_TEXT_BYTES, hash, sizeof(hash));
}

int carob_manifest_hash(char out[CAROB_HASH_TEXT_BYTES],
			const carob_manifest_t *manifest)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	const char *cached = carob_manifest_cached_hash(manifest);
	int result;

	if (cached) {
		memcpy(out, cached, CAROB_HASH_TEXT_BYTES);
		return 0;
	}
	result = carob_manifest_format(&text, manifest);
	if (result != 0)
		return result;
	carob_content_hash(out, carob_buf_view(&text));
	/* The manifest is immutable; only its cached hash is written. */
	carob_manifest_set_cached_hash((carob_manifest_t *)manifest, out);
	return 0;
}

static bool same_upstream(const carob_manifest_upstream_t *a,
			  const carob_manifest_upstream_t *b)
{
	return carob_upstream_id_eq(a->id, b->id) &&
	       carob_str_eq(a->name, b->name) &&
	       strcmp(a->zone.name, b->zone.name) == 0 &&
	       carob_addr_eq(&a->addr, &b->addr) && a->state == b->state;
}

/*
 * Appends the upstreams of `to` that are new or changed. `from` is NULL for a
 * new service.
 */
static int delta_changed_upstreams(carob_buf_t *out, size_t *count,
				   const carob_manifest_service_t *from,
				   const carob_manifest_service_t *to)
{
	size_t j = 0;
	int result = 0;

	*count = 0;
	for (size_t i = 0; result == 0 && i < to->upstream_count; i++) {
		const carob_manifest_upstream_t *upstream = &to->upstreams[i];

		while (from && j < from->upstream_count &&
		       from->upstreams[j].id.id < upstream->id.id)
			j++;
		if (from && j < from->upstream_count &&
		    same_upstream(&from->upstreams[j], upstream))
			continue;
		if ((*count)++ > 0)
			result = carob_buf_append(out, ",", 1);
		if (result == 0)
			result = format_upstream(out, upstream);
	}
	return result;
}

/* Appends the ids of upstreams that `from` has and `to` has not. */
static int delta_removed_upstreams(carob_buf_t *out, size_t *count,
				   const carob_manifest_service_t *from,
				   const carob_manifest_service_t *to)
{
	size_t j = 0;
	int result = 0;

	*count = 0;
	for (size_t i = 0; from && result == 0 && i < from->upstream_count;
	     i++) {
		uint32_t id = from->upstreams[i].id.id;

		while (j < to->upstream_count && to->upstreams[j].id.id < id)
			j++;
		if (j < to->upstream_count && to->upstreams[j].id.id == id)
			continue;
		result = carob_buf_printf(out, "%s%u", *count ? "," : "", id);
		(*count)++;
	}
	return result;
}

/* Appends the attributes of `to`; `changed` receives whether they differ. */
static int delta_attributes(carob_buf_t *out, bool *changed,
			    const carob_manifest_service_t *from,
			    const carob_manifest_service_t *to)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t previous = CAROB_BUF_INIT;
	size_t start = out->len;
	int result = format_attributes(out, to);

	*changed = true;
	if (result == 0 && from)
		result = format_attributes(&previous, from);
	if (result == 0 && from)
		*changed = !carob_str_eq(carob_buf_view(&previous),
					 (carob_str_t){out->ptr + start,
						       out->len - start});
	return result;
}

/* Appends the change of a service; appends nothing if there is none. */
static int delta_service(carob_buf_t *out, size_t *count,
			 const carob_manifest_service_t *from,
			 const carob_manifest_service_t *to)
{
	size_t start = out->len;
	size_t changed = 0;
	size_t removed = 0;
	bool attributes;
	int result = *count > 0 ? carob_buf_append(out, ",", 1) : 0;

	if (result == 0)
		result = delta_attributes(out, &attributes, from, to);
	if (result == 0)
		result = carob_buf_printf(out, ",\"removed\":[");
	if (result == 0)
		result = delta_removed_upstreams(out, &removed, from, to);
	if (result == 0)
		result = carob_buf_printf(out, "],\"upstreams\":[");
	if (result == 0)
		result = delta_changed_upstreams(out, &changed, from, to);
	if (result == 0)
		result = carob_buf_append(out, "]}", 2);
	if (result != 0)
		return result;
	if (!attributes && changed == 0 && removed == 0)
		out->len = start;
	else
		(*count)++;
	return 0;
}

static int delta_services(carob_buf_t *out, const carob_manifest_t *from,
			  const carob_manifest_t *to)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(to, &count);
	size_t changed = 0;
	int result = 0;

	for (size_t i = 0; result == 0 && i < count; i++)
		result = delta_service(
			out, &changed,
			carob_manifest_find_service(from, services[i].id),
			&services[i]);
	return result;
}

static int delta_removed_services(carob_buf_t *out,
				  const carob_manifest_t *from,
				  const carob_manifest_t *to)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(from, &count);
	size_t removed = 0;
	int result = 0;

	for (size_t i = 0; result == 0 && i < count; i++) {
		if (carob_manifest_find_service(to, services[i].id))
			continue;
		result = carob_buf_printf(out, "%s%u", removed ? "," : "",
					  services[i].id);
		removed++;
	}
	return result;
}

int carob_manifest_delta(carob_buf_t *out, const carob_manifest_t *from,
			 const carob_manifest_t *to)
{
	char from_hash[CAROB_HASH_TEXT_BYTES];
	char to_hash[CAROB_HASH_TEXT_BYTES];
	carob_str_t name = carob_manifest_deployment(to);
	int result = carob_manifest_hash(from_hash, from);

	if (result == 0)
		result = carob_manifest_hash(to_hash, to);
	if (result == 0)
		result = carob_buf_printf(
			out,
			"{\"from\":\"%s\",\"to\":\"%s\",\"deployment\":"
			"\"%.*s\",\"zones\":[",
			from_hash, to_hash, (int)name.len, name.ptr);
	if (result == 0)
		result = format_zones(out, to);
	if (result == 0)
		result = carob_buf_printf(out, "],\"removed\":[");
	if (result == 0)
		result = delta_removed_services(out, from, to);
	if (result == 0)
		result = carob_buf_printf(out, "],\"services\":[");
	if (result == 0)
		result = delta_services(out, from, to);
	return result == 0 ? carob_buf_append(out, "]}", 2) : result;
}
