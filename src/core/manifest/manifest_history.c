#include "core/manifest/manifest_history.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define HISTORY_BYTES_MAX CAROB_MANIFEST_BYTES_MAX
#define RECORDS_MAX	  20000

/* Kind of resource that a record describes; part of its key. */
typedef enum record_kind {
	RECORD_SERVICE,
	RECORD_PORT,
	RECORD_UPSTREAM,
	RECORD_ADDR,
} record_kind_t;

#define RECORD_KIND_COUNT 4
static const char *const kind_names[RECORD_KIND_COUNT] = {"service", "port",
							  "upstream", "addr"};

/*
 * Key of the hash table of records. It is zero-filled before use because its
 * bytes, padding included, are hashed.
 */
typedef struct record_key {
	uint32_t kind;
	uint32_t number; /* id or port; 0 in the key of an address */
	uint8_t ip[16];
	uint16_t port;
	uint8_t family;
	uint8_t unused;
} record_key_t;

/* Service that uses or used an id, a port or an address. */
typedef struct record {
	record_key_t key;
	uint32_t service_id;
	uint64_t removed;     /* first generation without this use; 0: in use */
	uint16_t incarnation; /* only for RECORD_UPSTREAM */
	carob_addr_t addr;    /* only for RECORD_UPSTREAM and RECORD_ADDR */
	char name[CAROB_MANIFEST_NAME_MAX + 1]; /* only for RECORD_SERVICE */
	UT_hash_handle hh;
} record_t;

struct carob_history {
	record_t *records;
};

static record_key_t number_key(record_kind_t kind, uint32_t number)
{
	record_key_t key;

	memset(&key, 0, sizeof(key));
	key.kind = kind;
	key.number = number;
	return key;
}

static record_key_t addr_key(const carob_addr_t *addr)
{
	record_key_t key = number_key(RECORD_ADDR, 0);

	memcpy(key.ip, addr->ip, sizeof(key.ip));
	key.port = addr->port;
	key.family = addr->family;
	return key;
}

static const record_t *find_record(const carob_history_t *history,
				   record_key_t key)
{
	record_t *record;

	HASH_FIND(hh, history->records, &key, sizeof(key), record);
	return record;
}

/* Adds a copy of a record; replaces a record with the same key. */
static int put_record(carob_history_t *history, const record_t *value)
{
	record_t *record;

	HASH_FIND(hh, history->records, &value->key, sizeof(value->key),
		  record);
	if (record)
		HASH_DEL(history->records, record);
	else
		record = malloc(sizeof(*record));
	if (!record)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a record of the "
				       "manifest history");
	*record = *value;
	HASH_ADD(hh, history->records, key, sizeof(record->key), record);
	return 0;
}

int carob_history_new(carob_history_t **out)
{
	*out = calloc(1, sizeof(**out));
	if (!*out)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a manifest history");
	return 0;
}

void carob_history_free(carob_history_t *history)
{
	record_t *record;
	record_t *next;

	if (!history)
		return;
	HASH_ITER (hh, history->records, record, next) {
		HASH_DEL(history->records, record);
		free(record);
	}
	free(history);
}

size_t carob_history_size(const carob_history_t *history)
{
	return HASH_COUNT(history->records);
}

static int read_record(carob_history_t *history, const carob_json_node_t *node)
{
	static const char *const keys[] = {"kind",    "number",	     "service",
					   "removed", "incarnation", "addr",
					   "name"};
	record_t record = {0};
	carob_json_node_t member;
	carob_str_t name = CAROB_STR("");
	uint64_t incarnation = 0;
	uint64_t service = 0;
	uint64_t number = 0;
	size_t kind = 0;
	int result = carob_json_object(node, keys, CAROB_ARRAY_SIZE(keys));

	if (result == 0)
		result = carob_json_get(&member, node, "kind");
	if (result == 0)
		result = carob_json_choice(&kind, &member, kind_names,
					   RECORD_KIND_COUNT);
	if (result == 0)
		result = carob_json_get_u64(&number, node, "number", 0,
					    UINT32_MAX);
	if (result == 0)
		result = carob_json_get_u64(&service, node, "service", 1,
					    UINT32_MAX);
	if (result == 0)
		result = carob_json_get_u64(&record.removed, node, "removed", 1,
					    INT64_MAX);
	if (result == 0)
		result = carob_json_get_u64_or(&incarnation, node,
					       "incarnation", 0, UINT16_MAX, 0);
	if (result == 0 && carob_json_find(&member, node, "addr"))
		result = carob_json_addr(&record.addr, &member);
	if (result == 0 && carob_json_find(&member, node, "name"))
		result = carob_json_name(&name, &member,
					 CAROB_MANIFEST_NAME_MAX);
	if (result != 0)
		return result;
	record.key = kind == RECORD_ADDR ? addr_key(&record.addr)
					 : number_key((record_kind_t)kind,
						      (uint32_t)number);
	record.service_id = (uint32_t)service;
	record.incarnation = (uint16_t)incarnation;
	memcpy(record.name, name.ptr, name.len);
	return put_record(history, &record);
}

int carob_history_parse(carob_history_t **out, const char *source,
			carob_str_t text)
{
	carob_history_t *history = NULL;
	carob_json_doc_t *doc = NULL;
	carob_json_node_t root;
	size_t count = 0;
	int result =
		carob_json_doc_parse(&doc, source, text, HISTORY_BYTES_MAX);

	if (result != 0)
		return result;
	root = carob_json_doc_root(doc);
	result = carob_json_array(&count, &root, 0, RECORDS_MAX);
	if (result == 0)
		result = carob_history_new(&history);
	for (size_t i = 0; result == 0 && i < count; i++) {
		carob_json_node_t node = carob_json_at(&root, i);

		result = read_record(history, &node);
	}
	carob_json_doc_free(doc);
	if (result != 0) {
		carob_history_free(history);
		return result;
	}
	*out = history;
	return 0;
}

static int compare_records(const record_t *a, const record_t *b)
{
	return memcmp(&a->key, &b->key, sizeof(a->key));
}

static int format_record(carob_buf_t *out, const record_t *record)
{
	char addr[CAROB_ADDR_TEXT_MAX];
	int result = carob_buf_printf(out,
				      "{\"kind\":\"%s\",\"number\":%u,"
				      "\"service\":%u,\"removed\":%" PRIu64,
				      kind_names[record->key.kind],
				      record->key.number, record->service_id,
				      record->removed);

	if (result == 0 && record->incarnation > 0)
		result = carob_buf_printf(out, ",\"incarnation\":%u",
					  record->incarnation);
	if (result == 0 && record->addr.family != 0) {
		carob_addr_format(addr, &record->addr);
		result = carob_buf_printf(out, ",\"addr\":\"%s\"", addr);
	}
	if (result == 0 && record->name[0] != '\0')
		result =
			carob_buf_printf(out, ",\"name\":\"%s\"", record->name);
	return result == 0 ? carob_buf_append(out, "}", 1) : result;
}

int carob_history_format(carob_buf_t *out, const carob_history_t *history)
{
	record_t *first = history->records;
	const record_t *record;
	const record_t *next;
	const char *separator = "";
	int result = carob_buf_append(out, "[", 1);

	HASH_SORT(first, compare_records);
	HASH_ITER (hh, first, record, next) {
		if (result == 0)
			result = carob_buf_printf(out, "%s", separator);
		if (result == 0)
			result = format_record(out, record);
		separator = ",";
	}
	if (result == 0)
		result = carob_buf_append(out, "]", 1);
	/* Sorting changes which record is the first of the list. */
	((carob_history_t *)history)->records = first;
	if (result == 0 && (out->len > HISTORY_BYTES_MAX ||
			    carob_history_size(history) > RECORDS_MAX))
		return carob_error_set(CAROB_ELIMIT,
				       "manifest history: %zu ids, ports and "
				       "addresses must not be reused yet: "
				       "expected at most %d; publish with "
				       "--confirm to release them",
				       carob_history_size(history),
				       RECORDS_MAX);
	return result;
}

static int put_service(carob_history_t *history,
		       const carob_manifest_service_t *service,
		       uint64_t removed)
{
	record_t record = {0};
	int result;

	record.service_id = service->id;
	record.removed = removed;
	record.key = number_key(RECORD_PORT, service->addr.port);
	result = put_record(history, &record);
	record.key = number_key(RECORD_SERVICE, service->id);
	memcpy(record.name, service->name.ptr, service->name.len);
	return result == 0 ? put_record(history, &record) : result;
}

static int put_upstream(carob_history_t *history, uint32_t service_id,
			const carob_manifest_upstream_t *upstream,
			uint64_t removed)
{
	record_t record = {0};
	int result;

	record.service_id = service_id;
	record.removed = removed;
	record.addr = upstream->addr;
	record.key = addr_key(&upstream->addr);
	result = put_record(history, &record);
	record.key = number_key(RECORD_UPSTREAM, upstream->id.id);
	record.incarnation = upstream->id.incarnation;
	return result == 0 ? put_record(history, &record) : result;
}

/*
 * Adds records for everything that a manifest uses. `removed` is the first
 * generation without these uses, or 0 if they are in use.
 */
static int put_manifest(carob_history_t *history,
			const carob_manifest_t *manifest, uint64_t removed)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(manifest, &count);
	int result = 0;

	for (size_t i = 0; result == 0 && i < count; i++) {
		const carob_manifest_service_t *service = &services[i];

		result = put_service(history, service, removed);
		for (size_t j = 0; result == 0 && j < service->upstream_count;
		     j++)
			result = put_upstream(history, service->id,
					      &service->upstreams[j], removed);
	}
	return result;
}

/* Sets the error for an id, port or address that must not be used again. */
static int set_reuse_error(const char *kind, carob_str_t name, const char *use,
			   const record_t *record, const char *expected)
{
	return carob_error_set(
		CAROB_EINVALID,
		"%s %.*s: %s: service %u used it until generation %" PRIu64
		"%s: expected %s",
		kind, (int)name.len, name.ptr, use, record->service_id,
		record->removed, record->removed ? "" : " (in use now)",
		expected);
}

/* Whether an instance may have a generation in force that has this use. */
static bool may_be_in_use(const record_t *record, uint64_t confirmed)
{
	return record->removed == 0 || record->removed > confirmed;
}

static int check_service(const carob_history_t *used,
			 const carob_manifest_service_t *service,
			 uint64_t confirmed)
{
	const record_t *id =
		find_record(used, number_key(RECORD_SERVICE, service->id));
	const record_t *port =
		find_record(used, number_key(RECORD_PORT, service->addr.port));

	if (id && !carob_str_eq(carob_str_from(id->name), service->name))
		return set_reuse_error("service", service->name, "its id", id,
				       "a new id for another service");
	if (port && port->service_id != service->id &&
	    may_be_in_use(port, confirmed))
		return set_reuse_error(
			"service", service->name, "its port", port,
			"another port, or --confirm to verify that every "
			"instance has a generation without that use");
	return 0;
}

static int check_upstream_id(const record_t *id,
			     const carob_manifest_service_t *service,
			     const carob_manifest_upstream_t *upstream)
{
	if (id->service_id != service->id)
		return set_reuse_error("upstream", upstream->name, "its id", id,
				       "a new id in another service");
	if (upstream->id.incarnation < id->incarnation ||
	    (upstream->id.incarnation == id->incarnation &&
	     !carob_addr_eq(&upstream->addr, &id->addr)))
		return set_reuse_error(
			"upstream", upstream->name, "its incarnation", id,
			"a higher incarnation if the address changes, "
			"and never a lower one");
	return 0;
}

static int check_upstream(const carob_history_t *used,
			  const carob_manifest_service_t *service,
			  const carob_manifest_upstream_t *upstream,
			  uint64_t confirmed)
{
	const record_t *id =
		find_record(used, number_key(RECORD_UPSTREAM, upstream->id.id));
	const record_t *addr = find_record(used, addr_key(&upstream->addr));
	int result = id ? check_upstream_id(id, service, upstream) : 0;

	if (result == 0 && addr && addr->service_id != service->id &&
	    may_be_in_use(addr, confirmed))
		result = set_reuse_error(
			"upstream", upstream->name, "its address", addr,
			"another address or port, or --confirm to "
			"verify that every instance has a generation "
			"without that use");
	return result;
}

static int check_manifest(const carob_history_t *used,
			  const carob_manifest_t *next, uint64_t confirmed)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(next, &count);
	int result = 0;

	for (size_t i = 0; result == 0 && i < count; i++) {
		const carob_manifest_service_t *service = &services[i];

		result = check_service(used, service, confirmed);
		for (size_t j = 0; result == 0 && j < service->upstream_count;
		     j++)
			result = check_upstream(used, service,
						&service->upstreams[j],
						confirmed);
	}
	return result;
}

static int copy_records(carob_history_t *to, const carob_history_t *from)
{
	const record_t *record;
	const record_t *next;
	int result = 0;

	HASH_ITER (hh, from->records, record, next)
		if (result == 0)
			result = put_record(to, record);
	return result;
}

int carob_history_check(const carob_history_t *history,
			const carob_manifest_t *prev,
			const carob_manifest_t *next, uint64_t confirmed)
{
	carob_history_t *used = NULL;
	int result = carob_history_new(&used);

	if (result == 0)
		result = copy_records(used, history);
	if (result == 0)
		result = put_manifest(used, prev, 0);
	if (result == 0)
		result = check_manifest(used, next, confirmed);
	carob_history_free(used);
	return result;
}

/*
 * Removes the records of what is in use again and of what no instance can
 * still use.
 */
static void remove_unneeded(carob_history_t *history,
			    const carob_history_t *in_use, uint64_t confirmed)
{
	record_t *record;
	record_t *next;

	HASH_ITER (hh, history->records, record, next) {
		if (!find_record(in_use, record->key) &&
		    may_be_in_use(record, confirmed))
			continue;
		HASH_DEL(history->records, record);
		free(record);
	}
}

int carob_history_advance(carob_history_t *history,
			  const carob_manifest_t *prev,
			  const carob_manifest_t *next, uint64_t generation,
			  uint64_t confirmed)
{
	carob_history_t *in_use = NULL;
	int result = carob_history_new(&in_use);

	if (result == 0)
		result = put_manifest(in_use, next, 0);
	if (result == 0)
		result = put_manifest(history, prev, generation);
	if (result == 0)
		remove_unneeded(history, in_use, confirmed);
	carob_history_free(in_use);
	return result;
}
