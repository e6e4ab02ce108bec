/*
 * A reader and the instances that wait for its changes, over loopback. Its link
 * carries the packets of callers too: a body for all that wait must not hold
 * them up, and what it does send must count, or missing answers of callers are
 * taken for silent upstreams and flows are reset.
 */
#include "platform/relay_server.h"
#include "platform/cbor_write.h"
#include "platform/store.h"

#include "net/loop.h"
#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PEERS	   20
#define WAIT_MS	   2000
#define TIMEOUT_MS 3000
#define REVISION   7

typedef struct testbed testbed_t;

typedef struct peer {
	carob_catalog_reader_t reader;
	platform_store_t *store;
	testbed_t *testbed;
	int result;
	size_t changes;
} peer_t;

struct testbed {
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_link_meter_t link;
	platform_relay_server_t *server;
	carob_timer_t update;
	carob_buf_t body;
	peer_t peers[PEERS];
	size_t done;
};

static const struct relay_case {
	const char *name;
	double mbps;
	size_t body_bytes;
	int result;
	bool congested;
} cases[] = {
	{"slow link, long body", 10, 14000, CAROB_ESTALE, false},
	{"slow link, short body", 10, 4000, 0, true},
	{"fast link, long body", 200, 14000, 0, false},
	{"rate not known, long body", 0, 14000, 0, false},
	{"fast link, body over the limit", 200, 20000, CAROB_ESTALE, false},
};

static void on_done(carob_catalog_reader_t *reader,
		    const carob_catalog_reply_t *reply)
{
	peer_t *peer = CAROB_CONTAINER_OF(reader, peer_t, reader);

	peer->result = reply->result;
	peer->changes = reply->count;
	if (++peer->testbed->done == PEERS)
		carob_loop_stop(peer->testbed->loop);
}

/* Writes a response of the store with one change of about `bytes`. */
static void write_body(carob_buf_t *out, size_t bytes)
{
	platform_cbor_writer_t writer = {0};
	char *text = calloc(1, bytes);

	CU_ASSERT_PTR_NOT_NULL_FATAL(text);
	if (!text)
		return;
	memset(text, 'A', bytes);
	platform_cbor_write_map(&writer, 2);
	platform_cbor_write_text(&writer, CAROB_STR("current_rev"));
	platform_cbor_write_uint(&writer, REVISION);
	platform_cbor_write_text(&writer, CAROB_STR("events"));
	platform_cbor_write_array(&writer, 1);
	platform_cbor_write_map(&writer, 3);
	platform_cbor_write_text(&writer, CAROB_STR("key"));
	platform_cbor_write_text(&writer, CAROB_STR("other"));
	platform_cbor_write_text(&writer, CAROB_STR("revision"));
	platform_cbor_write_uint(&writer, REVISION);
	platform_cbor_write_text(&writer, CAROB_STR("value"));
	platform_cbor_write_text(&writer, (carob_str_t){text, bytes});
	CU_ASSERT_EQUAL_FATAL(writer.error, 0);
	*out = writer.out;
	free(text);
}

static void on_update(carob_timer_t *timer)
{
	testbed_t *testbed = CAROB_CONTAINER_OF(timer, testbed_t, update);
	platform_relay_update_t update = {
		.after = 1,
		.revision = REVISION,
		.has_changes = true,
		.body = carob_buf_view(&testbed->body),
	};

	platform_relay_server_update(testbed->server, &update);
}

static void start_peer(testbed_t *testbed, peer_t *peer,
		       const carob_addr_t *local)
{
	carob_reader_slot_t slot = {.used = true, .name = "reader"};
	const carob_catalog_watch_t watch = {
		.after = 1,
		.wait_ms = WAIT_MS,
		.timeout_ms = TIMEOUT_MS,
		.stall_ms = TIMEOUT_MS,
	};
	carob_peer_source_t *source;

	slot.endpoint = carob_endpoint_of(local);
	peer->reader.done = on_done;
	peer->testbed = testbed;
	CU_ASSERT_EQUAL_FATAL(platform_peer_new(&peer->store, testbed->kernel,
						carob_loop_base(testbed->loop),
						local),
			      0);
	source = platform_peer_source(peer->store);
	source->connect(source, &slot);
	source->source.ops->watch(&source->source, &peer->reader, &watch);
}

/* Test programs of several runs have different addresses. */
static void set_address(carob_addr_t *out)
{
	unsigned int pid = (unsigned int)getpid();
	char text[CAROB_ADDR_TEXT_MAX];

	(void)snprintf(text, sizeof(text), "127.%u.%u.1:17729",
		       100 + pid / 250 % 100, 1 + pid % 250);
	CU_ASSERT_EQUAL_FATAL(carob_addr_parse(out, carob_str_from(text)), 0);
}

static void testbed_init(testbed_t *testbed, const struct relay_case *c)
{
	platform_relay_server_options_t options = {.link = &testbed->link};
	platform_relay_update_t first = {.revision = 1};

	memset(testbed, 0, sizeof(*testbed));
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&testbed->kernel, carob_clock_system()), 0);
	CU_ASSERT_EQUAL_FATAL(carob_loop_new(&testbed->loop, testbed->kernel),
			      0);
	carob_link_meter_init(&testbed->link, c->mbps);
	set_address(&options.local);
	options.kernel = testbed->kernel;
	options.base = carob_loop_base(testbed->loop);
	CU_ASSERT_EQUAL_FATAL(
		platform_relay_server_new(&testbed->server, &options), 0);
	platform_relay_server_update(testbed->server, &first);
	write_body(&testbed->body, c->body_bytes);
	for (size_t i = 0; i < PEERS; i++)
		start_peer(testbed, &testbed->peers[i], &options.local);
	testbed->update.fire = on_update;
	/* By then all peers wait. */
	(void)carob_timer_arm(testbed->kernel, &testbed->update,
			      carob_kernel_now_ns(testbed->kernel) +
				      300 * CAROB_NS_PER_MS);
}

static void testbed_dispose(testbed_t *testbed)
{
	for (size_t i = 0; i < PEERS; i++)
		platform_store_free(testbed->peers[i].store);
	platform_relay_server_free(testbed->server);
	carob_buf_dispose(&testbed->body);
	carob_loop_free(testbed->loop);
	carob_kernel_free(testbed->kernel);
}

static void check_relay(const struct relay_case *c)
{
	static testbed_t testbed;
	bool congested;

	testbed_init(&testbed, c);
	CU_ASSERT_EQUAL(carob_loop_run(testbed.loop), 0);
	congested = carob_link_meter_congested(
		&testbed.link, carob_kernel_now_ns(testbed.kernel));
	CU_ASSERT_EQUAL(testbed.done, PEERS);
	for (size_t i = 0; i < PEERS; i++) {
		CU_ASSERT_EQUAL(testbed.peers[i].result, c->result);
		CU_ASSERT_EQUAL(testbed.peers[i].changes, c->result == 0);
	}
	CU_ASSERT_EQUAL(congested, c->congested);
	if (congested != c->congested)
		printf("\n%s: congested %d", c->name, congested);
	testbed_dispose(&testbed);
}

static void test_relay(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++)
		check_relay(&cases[i]);
}

int main(void)
{
	static const test_case_t tests[] = {
		{"links and bodies", test_relay},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("relay-server", tests, CAROB_ARRAY_SIZE(tests));
}
