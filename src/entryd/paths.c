#include "paths.h"

#include "carobtrail/errors.h"
#include "net/coap_codec.h"

#include <stdlib.h>
#include <uthash.h>

/* Notifications that waited for longer are dropped. */
#define NOTIFICATION_AGE_MAX_MS 1000

/* Key of the hash table. It is compared as bytes, so it has no padding. */
typedef struct path_key {
	uint32_t upstream;
	uint32_t incarnation;
	uint32_t path;
} path_key_t;

typedef struct path {
	carob_udp_handler_t handler;
	entryd_paths_t *paths;
	path_key_t key;
	carob_upstream_id_t upstream;
	carob_addr_t addr;
	carob_udp_t *udp;
	UT_hash_handle hh;
} path_t;

struct entryd_paths {
	carob_service_t service;
	carob_udp_hub_t *hub;
	carob_addr_t ip;
	entryd_path_handler_t *handler;
	path_t *by_key;
	entryd_paths_counters_t counters;
};

static void close_path(entryd_paths_t *paths, path_t *path)
{
	if (paths->by_key)
		HASH_DEL(paths->by_key, path);
	carob_udp_close(path->udp);
	free(path);
}

static void paths_free(carob_service_t *service)
{
	entryd_paths_t *paths = (entryd_paths_t *)service;
	path_t *path;
	path_t *next;

	HASH_ITER (hh, paths->by_key, path, next)
		close_path(paths, path);
	free(paths);
}

static const carob_service_ops_t paths_ops = {
	.name = ENTRYD_PATHS,
	.free = paths_free,
};

/* Whether a notification waited too long in the socket's receive buffer. While
 * this process was paused, the caller may have registered its feed at another
 * instance and received newer states; an old notification would set it back. */
static bool is_stale(const carob_msg_t *msg, uint32_t age_ms)
{
	return age_ms > NOTIFICATION_AGE_MAX_MS && msg->has_observe &&
	       msg->type != CAROB_MSG_ACK;
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	path_t *path = (path_t *)handler;
	entryd_paths_t *paths = path->paths;
	carob_msg_t msg;
	uint8_t refusal;

	if (!carob_addr_eq(from, &path->addr))
		paths->counters.wrong_source++;
	else if (carob_coap_decode(&msg, &refusal, data.ptr, data.len) != 0)
		paths->counters.undecodable++;
	else if (is_stale(&msg, carob_udp_hub_age_ms(paths->hub)))
		paths->counters.stale++;
	else
		paths->handler->receive(paths->handler, path->upstream,
					path->key.path, &msg);
}

static path_t *find_path(const entryd_paths_t *paths, const path_key_t *key)
{
	path_t *path;

	HASH_FIND(hh, paths->by_key, key, sizeof(*key), path);
	return path;
}

static path_t *open_path(entryd_paths_t *paths, const path_key_t *key,
			 const carob_manifest_upstream_t *upstream)
{
	path_t *path = calloc(1, sizeof(*path));

	if (!path)
		return NULL;
	path->handler.receive = on_datagram;
	path->paths = paths;
	path->key = *key;
	path->upstream = upstream->id;
	path->addr = upstream->addr;
	if (carob_udp_open(&path->udp, paths->hub, &paths->ip,
			   &path->handler) != 0) {
		free(path);
		return NULL;
	}
	HASH_ADD(hh, paths->by_key, key, sizeof(path->key), path);
	paths->counters.opened++;
	return path;
}

int entryd_paths_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			  const carob_addr_t *ip)
{
	entryd_paths_t *paths = calloc(1, sizeof(*paths));
	int error;

	if (!paths)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the upstream paths");
	paths->service.ops = &paths_ops;
	paths->hub = hub;
	paths->ip = *ip;
	error = carob_kernel_register(kernel, &paths->service);
	if (error)
		free(paths);
	return error;
}

entryd_paths_t *entryd_paths_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_PATHS);
	return (entryd_paths_t *)service;
}

void entryd_paths_set_handler(entryd_paths_t *paths,
			      entryd_path_handler_t *handler)
{
	paths->handler = handler;
}

static path_key_t make_path_key(carob_upstream_id_t upstream, uint32_t path)
{
	return (path_key_t){upstream.id, upstream.incarnation, path};
}

void entryd_paths_send(entryd_paths_t *paths,
		       const carob_manifest_upstream_t *upstream, uint32_t path,
		       const carob_msg_t *msg)
{
	path_key_t key = make_path_key(upstream->id, path);
	uint8_t data[CAROB_MSG_BYTES_MAX];
	path_t *found = find_path(paths, &key);
	size_t len;

	if (!found)
		found = open_path(paths, &key, upstream);
	if (!found || carob_coap_encode(data, &len, sizeof(data), msg) != 0)
		return;
	carob_udp_send(found->udp, &found->addr, data, len);
}

void entryd_paths_close(entryd_paths_t *paths, carob_upstream_id_t upstream,
			uint32_t path)
{
	path_key_t key = make_path_key(upstream, path);
	path_t *found = find_path(paths, &key);

	if (found)
		close_path(paths, found);
}

const entryd_paths_counters_t *
entryd_paths_counters(const entryd_paths_t *paths)
{
	return &paths->counters;
}
