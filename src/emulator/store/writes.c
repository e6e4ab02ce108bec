#include "writes.h"

#include "carobtrail/clock.h"
#include "carobtrail/common.h"
#include "platform/cbor.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK		   200
#define STATUS_BAD_REQUEST	   400
#define STATUS_NOT_FOUND	   404
#define STATUS_PRECONDITION_FAILED 412
#define STATUS_UNAVAILABLE	   503

static uint64_t get_number(const json_t *object, const char *name)
{
	json_int_t number = json_integer_value(json_object_get(object, name));

	return number > 0 ? (uint64_t)number : 0;
}

static carob_str_t get_text(const json_t *object, const char *name)
{
	const json_t *text = json_object_get(object, name);

	return (carob_str_t){json_string_value(text), json_string_length(text)};
}

static int begin_lease(carob_buf_t *out, store_leases_t *leases,
		       const json_t *body, uint64_t now_ns)
{
	uint64_t ttl_ms = get_number(body, "ttl_ms");
	uint64_t id;

	if (ttl_ms == 0)
		return STATUS_BAD_REQUEST;
	id = store_leases_begin(leases, ttl_ms * CAROB_NS_PER_MS, now_ns);
	if (id == 0)
		return STATUS_UNAVAILABLE;
	(void)carob_buf_printf(out,
			       "{\"lease\":%" PRIu64 ",\"ttl_ms\":%" PRIu64 "}",
			       id, ttl_ms);
	return STATUS_OK;
}

static bool is_expected(const store_items_t *items, const json_t *expect)
{
	const json_t *row;
	size_t i;

	json_array_foreach (expect, i, row)
		if (store_items_revision(items, get_text(row, "key")) !=
		    get_number(row, "revision"))
			return false;
	return true;
}

static bool leases_exist(store_leases_t *leases, const json_t *puts)
{
	const json_t *put;
	size_t i;

	json_array_foreach (puts, i, put) {
		uint64_t lease = get_number(put, "lease");

		if (lease && !store_leases_find(leases, lease))
			return false;
	}
	return true;
}

static int run_transaction(carob_buf_t *out, store_items_t *items,
			   store_leases_t *leases, const json_t *body)
{
	const json_t *puts = json_object_get(body, "puts");
	const json_t *put;
	size_t i;

	if (!leases_exist(leases, puts))
		return STATUS_NOT_FOUND;
	if (!is_expected(items, json_object_get(body, "expect")))
		return STATUS_PRECONDITION_FAILED;
	json_array_foreach (puts, i, put)
		if (store_items_write_leased(items, get_text(put, "key"),
					     get_text(put, "value"),
					     get_number(put, "lease")) != 0)
			return STATUS_UNAVAILABLE;
	(void)carob_buf_printf(out, "{\"revision\":%" PRIu64 "}",
			       items->revision);
	return STATUS_OK;
}

/* Returns the lease whose id follows a path, or NULL. */
static store_lease_t *lease_of_path(store_leases_t *leases, const char *path,
				    const char *prefix)
{
	size_t len = strlen(prefix);

	if (strncmp(path, prefix, len) != 0)
		return NULL;
	return store_leases_find(leases, strtoull(path + len, NULL, 10));
}

static int execute_post(carob_buf_t *out, store_items_t *items,
			store_leases_t *leases, const store_write_t *write)
{
	store_lease_t *lease =
		lease_of_path(leases, write->path, "/v1/kv-keep/");
	json_t *body = NULL;
	int status = STATUS_NOT_FOUND;

	if (lease) {
		store_leases_renew(lease, write->now_ns);
		(void)carob_buf_printf(
			out, "{\"ttl_ms\":%" PRIu64 "}",
			(uint64_t)(lease->ttl_ns / CAROB_NS_PER_MS));
		return STATUS_OK;
	}
	if (write->body.len > 0 && platform_cbor_parse(&body, write->body) != 0)
		return STATUS_BAD_REQUEST;
	if (strcmp(write->path, "/v1/kv-lease") == 0)
		status = begin_lease(out, leases, body, write->now_ns);
	else if (strcmp(write->path, "/v1/kv-txn") == 0)
		status = run_transaction(out, items, leases, body);
	json_decref(body);
	return status;
}

int store_write_execute(carob_buf_t *out, store_items_t *items,
			store_leases_t *leases, const store_write_t *write)
{
	store_lease_t *lease;

	if (strcmp(write->method, "DELETE") != 0)
		return execute_post(out, items, leases, write);
	lease = lease_of_path(leases, write->path, "/v1/kv-lease-end/");
	if (!lease)
		return STATUS_NOT_FOUND;
	(void)store_leases_end(lease, items);
	return STATUS_OK;
}
