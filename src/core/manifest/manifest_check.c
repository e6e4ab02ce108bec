#include "core/manifest/manifest_check.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* IP address, port and family, without the padding of carob_addr_t. */
#define ADDR_KEY_BYTES 19

/* What a value identifies; the first byte of its key. */
typedef enum key_kind {
	KEY_SERVICE_ID,
	KEY_SERVICE_NAME,
	KEY_SERVICE_PORT,
	KEY_UPSTREAM_ID,
	KEY_UPSTREAM_NAME,
	KEY_ADDR,
} key_kind_t;

typedef struct unique_key {
	UT_hash_handle hh;
	char key[];
} unique_key_t;

struct carob_manifest_check {
	unique_key_t *keys;
};

int carob_manifest_check_new(carob_manifest_check_t **out)
{
	*out = calloc(1, sizeof(**out));
	if (!*out)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the manifest check");
	return 0;
}

void carob_manifest_check_free(carob_manifest_check_t *check)
{
	unique_key_t *entry;
	unique_key_t *next;

	if (!check)
		return;
	HASH_ITER (hh, check->keys, entry, next) {
		HASH_DEL(check->keys, entry);
		free(entry);
	}
	free(check);
}

/* Adds a value to the set; fails if the set already holds an equal one. */
static int expect_unique(carob_manifest_check_t *check, key_kind_t kind,
			 const void *bytes, size_t len,
			 const carob_json_node_t *node, const char *expected)
{
	unique_key_t *entry = calloc(1, sizeof(*entry) + 1 + len);
	unique_key_t *existing;

	if (!entry)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a key of the manifest "
				       "check");
	entry->key[0] = (char)kind;
	memcpy(entry->key + 1, bytes, len);
	HASH_FIND(hh, check->keys, entry->key, 1 + len, existing);
	if (existing) {
		free(entry);
		return carob_json_expected(node, "%s", expected);
	}
	HASH_ADD_KEYPTR(hh, check->keys, entry->key, 1 + len, entry);
	return 0;
}

static carob_json_node_t get_member(const carob_json_node_t *object,
				    const char *key)
{
	carob_json_node_t node;

	(void)carob_json_find(&node, object, key);
	return node;
}

static int check_addr(carob_manifest_check_t *check,
		      const carob_json_node_t *object, const carob_addr_t *addr)
{
	carob_json_node_t node = get_member(object, "addr");
	char key[ADDR_KEY_BYTES];

	memcpy(key, addr->ip, sizeof(addr->ip));
	memcpy(key + sizeof(addr->ip), &addr->port, sizeof(addr->port));
	key[ADDR_KEY_BYTES - 1] = (char)addr->family;
	return expect_unique(check, KEY_ADDR, key, sizeof(key), &node,
			     "an address that no other service or upstream "
			     "has");
}

int carob_manifest_check_service(carob_manifest_check_t *check,
				 const carob_json_node_t *node,
				 const carob_manifest_service_t *service)
{
	carob_json_node_t id = get_member(node, "id");
	carob_json_node_t name = get_member(node, "name");
	carob_json_node_t addr = get_member(node, "addr");
	int result;

	result = expect_unique(check, KEY_SERVICE_ID, &service->id,
			       sizeof(service->id), &id,
			       "an id that no other service has");
	if (result == 0)
		result = expect_unique(check, KEY_SERVICE_NAME,
				       service->name.ptr, service->name.len,
				       &name,
				       "a name that no other service has");
	if (result == 0)
		result = expect_unique(check, KEY_SERVICE_PORT,
				       &service->addr.port,
				       sizeof(service->addr.port), &addr,
				       "a port that no other service has");
	if (result == 0)
		result = check_addr(check, node, &service->addr);
	return result;
}

static bool is_unspecified(const carob_addr_t *addr)
{
	static const uint8_t zero[sizeof(addr->ip)];

	return memcmp(addr->ip, zero, sizeof(zero)) == 0;
}

int carob_manifest_check_upstream(carob_manifest_check_t *check,
				  const carob_json_node_t *node,
				  const carob_manifest_upstream_t *upstream)
{
	carob_json_node_t id = get_member(node, "id");
	carob_json_node_t name = get_member(node, "name");
	carob_json_node_t addr = get_member(node, "addr");
	int result;

	if (is_unspecified(&upstream->addr))
		return carob_json_expected(&addr,
					   "the address of a single host");
	result = expect_unique(check, KEY_UPSTREAM_ID, &upstream->id.id,
			       sizeof(upstream->id.id), &id,
			       "an id that no other upstream has");
	if (result == 0)
		result = expect_unique(check, KEY_UPSTREAM_NAME,
				       upstream->name.ptr, upstream->name.len,
				       &name,
				       "a name that no other upstream has");
	if (result == 0)
		result = check_addr(check, node, &upstream->addr);
	return result;
}
