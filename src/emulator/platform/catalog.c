#include "catalog.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

void catalog_init(catalog_t *catalog, carob_kernel_t *kernel)
{
	memset(catalog, 0, sizeof(*catalog));
	catalog->kernel = kernel;
}

static void entry_free(catalog_t *catalog, catalog_entry_t *entry)
{
	DL_DELETE(catalog->entries, entry);
	json_decref(entry->service);
	free(entry);
}

void catalog_dispose(catalog_t *catalog)
{
	catalog_entry_t *entry;
	catalog_entry_t *next;

	DL_FOREACH_SAFE (catalog->entries, entry, next)
		entry_free(catalog, entry);
}

/* Returns the time as of which the catalogue is shown. */
static uint64_t visible_time_ns(const catalog_t *catalog)
{
	uint64_t now = carob_kernel_now_ns(catalog->kernel);

	if (catalog->frozen_ns > 0)
		return catalog->frozen_ns;
	return now > catalog->lag_ns ? now - catalog->lag_ns : 0;
}

void catalog_freeze(catalog_t *catalog, bool frozen)
{
	if (!frozen)
		catalog->frozen_ns = 0;
	else if (catalog->frozen_ns == 0)
		catalog->frozen_ns = visible_time_ns(catalog);
}

static const char *string_member(const json_t *service, const char *key)
{
	return json_string_value(json_object_get(service, key));
}

/* Also frees older entries that are not shown any more. */
void catalog_deregister(catalog_t *catalog, const char *id)
{
	uint64_t now = carob_kernel_now_ns(catalog->kernel);
	uint64_t shown = visible_time_ns(catalog);
	catalog_entry_t *entry;
	catalog_entry_t *next;

	DL_FOREACH_SAFE (catalog->entries, entry, next) {
		if (entry->deregistered_ns != UINT64_MAX) {
			if (entry->deregistered_ns <= shown)
				entry_free(catalog, entry);
			continue;
		}
		if (strcmp(string_member(entry->service, "ID"), id) == 0)
			entry->deregistered_ns = now;
	}
}

int catalog_register(catalog_t *catalog, json_t *service)
{
	catalog_entry_t *entry;

	if (!string_member(service, "ID") || !string_member(service, "Name"))
		return carob_error_set(CAROB_EINVALID,
				       "the service lacks \"ID\" or \"Name\"");
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate catalogue entry");
	catalog_deregister(catalog, string_member(service, "ID"));
	entry->service = json_incref(service);
	entry->registered_ns = carob_kernel_now_ns(catalog->kernel);
	entry->deregistered_ns = UINT64_MAX;
	DL_APPEND(catalog->entries, entry);
	return 0;
}

static json_t *service_json(json_t *service)
{
	return json_pack("{s:s, s:O?, s:O?, s:O?, s:O?, s:O?, s:O?}", "Node",
			 "carob-platform", "ServiceID",
			 json_object_get(service, "ID"), "ServiceName",
			 json_object_get(service, "Name"), "ServiceAddress",
			 json_object_get(service, "Address"), "ServicePort",
			 json_object_get(service, "Port"), "ServiceTags",
			 json_object_get(service, "Tags"), "ServiceMeta",
			 json_object_get(service, "Meta"));
}

json_t *catalog_list(catalog_t *catalog, const char *name)
{
	uint64_t shown = visible_time_ns(catalog);
	json_t *list = json_array();
	catalog_entry_t *entry;

	DL_FOREACH (catalog->entries, entry) {
		if (entry->registered_ns > shown ||
		    entry->deregistered_ns <= shown ||
		    strcmp(string_member(entry->service, "Name"), name) != 0)
			continue;
		(void)json_array_append_new(list, service_json(entry->service));
	}
	return list;
}
