#include "slopes.h"

#include "carobtrail/entry.h"
#include "slope_series.h"

#include <stdlib.h>
#include <string.h>

#define FEEDS_MAX   40000
#define CONNECTIONS 20000

static const size_t sizes[] = {5000, 10000, 20000, 40000};

/* A request path with its dependencies. Its port records the last message in
 * each direction and sends nothing. */
typedef struct fixture {
	carob_entry_port_t port; /* first member */
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *scheduler;
	carob_keyring_t *keyring;
	carob_entry_t *entry;
	carob_msg_t response; /* last message to a caller */
	carob_msg_t request;  /* last message to an upstream */
	carob_upstream_id_t upstream;
	uint32_t path;
	uint64_t forwarded;
} fixture_t;

static void to_caller(carob_entry_port_t *port, uint32_t service_id,
		      const carob_addr_t *caller, const carob_msg_t *msg)
{
	(void)service_id;
	(void)caller;
	((fixture_t *)port)->response = *msg;
}

static void to_upstream(carob_entry_port_t *port,
			const carob_manifest_upstream_t *upstream,
			uint32_t path, const carob_msg_t *msg)
{
	fixture_t *fixture = (fixture_t *)port;

	fixture->request = *msg;
	fixture->upstream = upstream->id;
	fixture->path = path;
	fixture->forwarded++;
}

static void close_path(carob_entry_port_t *port, carob_upstream_id_t upstream,
		       uint32_t path)
{
	(void)port;
	(void)upstream;
	(void)path;
}

static void to_instance(carob_entry_port_t *port, const carob_relay_t *relay)
{
	(void)port;
	(void)relay;
}

static const carob_entry_port_ops_t port_ops = {
	.to_caller = to_caller,
	.to_upstream = to_upstream,
	.close_path = close_path,
	.to_instance = to_instance,
};

static carob_manifest_t *make_manifest(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_manifest_t *manifest = NULL;

	(void)carob_buf_printf(
		&text,
		"{\"deployment\":\"d\",\"zones\":[\"z\"],\"services\":[{\"id\":"
		"1,\"name\":\"s\",\"addr\":\"127.0.0.1:5701\",\"slots\":60000,"
		"\"connections\":%d,\"upstreams\":[",
		CONNECTIONS);
	for (int i = 1; i <= 4; i++)
		(void)carob_buf_printf(&text,
				       "%s{\"id\":%d,\"name\":\"u%d\",\"zone\":"
				       "\"z\",\"addr\":\"127.0.1.%d:1\"}",
				       i > 1 ? "," : "", i, i, i);
	(void)carob_buf_printf(&text, "]}]}");
	if (carob_manifest_parse(&manifest, "bench", carob_buf_view(&text)) !=
	    0)
		abort();
	return manifest;
}

static void fixture_init(fixture_t *fixture, carob_manifest_t *manifest)
{
	static const uint8_t key[CAROB_KEY_BYTES] = {1};
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_scheduler_options_t scheduler = CAROB_SCHEDULER_OPTIONS_INIT;
	carob_entry_options_t options = CAROB_ENTRY_OPTIONS_INIT;

	memset(fixture, 0, sizeof(*fixture));
	fixture->port.ops = &port_ops;
	carob_manual_clock_init(&fixture->clock, CAROB_NS_PER_S);
	membership.self.id = (carob_instance_id_t){1, 1};
	membership.self.zone.name[0] = 'z';
	if (carob_kernel_new(&fixture->kernel, &fixture->clock.clock) != 0 ||
	    carob_membership_new(&fixture->membership, &membership) != 0 ||
	    carob_keyring_new(&fixture->keyring) != 0 ||
	    carob_keyring_add(fixture->keyring, 1, key) != 0 ||
	    carob_keyring_activate(fixture->keyring, 1) != 0)
		abort();
	scheduler.kernel = fixture->kernel;
	scheduler.membership = fixture->membership;
	if (carob_scheduler_new(&fixture->scheduler, &scheduler) != 0)
		abort();
	options.kernel = fixture->kernel;
	options.port = &fixture->port;
	options.scheduler = fixture->scheduler;
	options.membership = fixture->membership;
	options.keyring = fixture->keyring;
	if (carob_entry_new(&fixture->entry, &options) != 0 ||
	    carob_scheduler_set_manifest(fixture->scheduler, manifest) != 0 ||
	    carob_entry_set_manifest(fixture->entry, manifest) != 0)
		abort();
}

static void fixture_dispose(fixture_t *fixture)
{
	carob_entry_free(fixture->entry);
	carob_scheduler_free(fixture->scheduler);
	carob_membership_free(fixture->membership);
	carob_keyring_free(fixture->keyring);
	carob_kernel_free(fixture->kernel);
}

static carob_addr_t caller_addr(size_t i)
{
	carob_addr_t addr = {.ip = {127, 2, (uint8_t)(i >> 8), (uint8_t)i},
			     .port = (uint16_t)(2000 + (i >> 16)),
			     .family = 4};

	return addr;
}

/* Runs a flow with one request: the request is challenged, sent again with the
 * echo, forwarded and answered by the upstream. */
static void run_flow(fixture_t *fixture, size_t i, bool feed)
{
	carob_msg_t msg = {.type = CAROB_MSG_CON,
			   .code = feed ? CAROB_CODE_GET : CAROB_CODE_POST,
			   .mid = (uint16_t)(2 * i),
			   .token_len = 4,
			   .has_observe = feed};
	carob_msg_t response = {.type = CAROB_MSG_ACK,
				.code = CAROB_CODE_CONTENT,
				.has_observe = feed,
				.observe = 1};
	carob_addr_t caller = caller_addr(i);
	uint64_t forwarded = fixture->forwarded;

	memcpy(msg.token, &i, 4);
	msg.payload = CAROB_STR("field session 0123456789abcdef");
	response.payload = CAROB_STR("state");
	carob_entry_on_caller(fixture->entry, 1, &caller, &msg);
	msg.mid++;
	msg.echo_len = fixture->response.echo_len;
	memcpy(msg.echo, fixture->response.echo, msg.echo_len);
	carob_entry_on_caller(fixture->entry, 1, &caller, &msg);
	if (fixture->forwarded == forwarded)
		abort();
	response.mid = fixture->request.mid;
	response.token_len = fixture->request.token_len;
	memcpy(response.token, fixture->request.token, sizeof(response.token));
	carob_entry_on_upstream(fixture->entry, fixture->upstream,
				fixture->path, &response);
}

static void measure_flows(series_t *memory, series_t *time, size_t count,
			  bool feed)
{
	carob_manifest_t *manifest = make_manifest();
	size_t heap;
	uint64_t start_ns;
	fixture_t fixture;

	fixture_init(&fixture, manifest);
	heap = bench_heap_bytes();
	start_ns = bench_cpu_ns();
	for (size_t i = 0; i < count; i++)
		run_flow(&fixture, i, feed);
	series_add(time, (double)count,
		   (double)(bench_cpu_ns() - start_ns) / 1e3);
	series_add(memory, (double)count, (double)(bench_heap_bytes() - heap));
	fixture_dispose(&fixture);
	carob_manifest_free(manifest);
}

void bench_entry_series(void)
{
	series_t feeds = {"feed_memory", "feeds", "B", 0, {0}, {0}};
	series_t feed_time = {"feed_open", "feeds", "us", 0, {0}, {0}};
	series_t memory = {"remembered_memory", "requests", "B", 0, {0}, {0}};
	series_t time = {"request_time", "requests", "us", 0, {0}, {0}};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++) {
		measure_flows(&feeds, &feed_time, sizes[i], true);
		measure_flows(&memory, &time, sizes[i], false);
	}
	series_print(&feeds);
	series_print(&feed_time);
	series_print(&memory);
	series_print(&time);
}
