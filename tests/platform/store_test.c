/* The client of the store, against a server on loopback that sends a response
 * in parts: how old the response counts, and when it is given up. */
#include "platform/store.h"
#include "platform/cbor_write.h"

#include "net/loop.h"
#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PAD_BYTES  10000
#define REVISION   7
#define TIMEOUT_MS 3000
#define STALL_MS   600

static const struct response_case {
	const char *name;
	size_t bytes_max;  /* of the watch */
	size_t first_part; /* bytes of the body that are sent at once */
	uint64_t pause_ms; /* until the rest is sent; 0: it is not sent */
	int result;
	bool partial;
	uint32_t age_ms_min;
	uint64_t elapsed_ms_max;
} cases[] = {
	{"in two parts", 0, 5000, 300, 0, false, 280, 2000},
	{"as long as allowed", 2 * PAD_BYTES, 5000, 100, 0, false, 90, 2000},
	{"its header says that it is too long", 5000, 100, 0,
	 CAROB_EUNAVAILABLE, true, 0, 1000},
	{"silent after its first part", 0, 5000, 0, CAROB_EUNAVAILABLE, false,
	 0, 2000},
};

typedef struct testbed {
	const struct response_case *c;
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	struct evconnlistener *listener;
	struct bufferevent *connection;
	carob_timer_t rest;
	carob_buf_t body;
	carob_catalog_reader_t reader;
	platform_store_t *store;
	uint64_t begun_ns;
	uint64_t done_ns;
	carob_catalog_reply_t reply; /* without its changes */
} testbed_t;

static void on_done(carob_catalog_reader_t *reader,
		    const carob_catalog_reply_t *reply)
{
	testbed_t *testbed = CAROB_CONTAINER_OF(reader, testbed_t, reader);

	testbed->reply = *reply;
	testbed->done_ns = carob_kernel_now_ns(testbed->kernel);
	carob_loop_stop(testbed->loop);
}

static void send_rest(carob_timer_t *timer)
{
	testbed_t *testbed = CAROB_CONTAINER_OF(timer, testbed_t, rest);

	(void)bufferevent_write(testbed->connection,
				testbed->body.ptr + testbed->c->first_part,
				testbed->body.len - testbed->c->first_part);
}

/* Sends the first part of the response, whatever the request is. */
static void on_request(struct bufferevent *connection, void *arg)
{
	testbed_t *testbed = arg;
	char head[128];
	int len = snprintf(head, sizeof(head),
			   "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
			   testbed->body.len);

	(void)evbuffer_drain(
		bufferevent_get_input(connection),
		evbuffer_get_length(bufferevent_get_input(connection)));
	(void)bufferevent_write(connection, head, (size_t)len);
	(void)bufferevent_write(connection, testbed->body.ptr,
				testbed->c->first_part);
	if (testbed->c->pause_ms)
		(void)carob_timer_arm(testbed->kernel, &testbed->rest,
				      carob_kernel_now_ns(testbed->kernel) +
					      testbed->c->pause_ms *
						      CAROB_NS_PER_MS);
}

static void on_connection(struct evconnlistener *listener, evutil_socket_t fd,
			  struct sockaddr *addr, int len, void *arg)
{
	testbed_t *testbed = arg;

	(void)addr;
	(void)len;
	testbed->connection = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(testbed->connection, on_request, NULL, NULL, testbed);
	(void)bufferevent_enable(testbed->connection, EV_READ | EV_WRITE);
}

/* Writes a response without changes, made longer by an unknown member. */
static void write_body(carob_buf_t *out)
{
	static char pad[PAD_BYTES];
	platform_cbor_writer_t writer = {0};

	memset(pad, 'A', sizeof(pad));
	platform_cbor_write_map(&writer, 3);
	platform_cbor_write_text(&writer, CAROB_STR("current_rev"));
	platform_cbor_write_uint(&writer, REVISION);
	platform_cbor_write_text(&writer, CAROB_STR("events"));
	platform_cbor_write_array(&writer, 0);
	platform_cbor_write_text(&writer, CAROB_STR("pad"));
	platform_cbor_write_text(&writer, (carob_str_t){pad, sizeof(pad)});
	CU_ASSERT_EQUAL_FATAL(writer.error, 0);
	*out = writer.out;
}

static void listen_on(testbed_t *testbed, const carob_addr_t *addr)
{
	struct sockaddr_in local = {.sin_family = AF_INET,
				    .sin_port = htons(addr->port)};

	memcpy(&local.sin_addr, addr->ip, sizeof(local.sin_addr));
	testbed->listener = evconnlistener_new_bind(
		carob_loop_base(testbed->loop), on_connection, testbed,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 4,
		(struct sockaddr *)&local, sizeof(local));
	CU_ASSERT_PTR_NOT_NULL_FATAL(testbed->listener);
}

static void begin_watch(testbed_t *testbed, const carob_addr_t *addr)
{
	const carob_catalog_watch_t watch = {
		.after = 1,
		.wait_ms = 1,
		.timeout_ms = TIMEOUT_MS,
		.stall_ms = STALL_MS,
		.bytes_max = testbed->c->bytes_max,
	};
	carob_catalog_source_t *source;

	CU_ASSERT_EQUAL_FATAL(
		platform_store_new(&testbed->store, testbed->kernel,
				   carob_loop_base(testbed->loop), addr, addr),
		0);
	source = platform_store_source(testbed->store);
	testbed->reader.done = on_done;
	testbed->rest.fire = send_rest;
	testbed->begun_ns = carob_kernel_now_ns(testbed->kernel);
	source->ops->watch(source, &testbed->reader, &watch);
}

static void testbed_init(testbed_t *testbed, const struct response_case *c)
{
	unsigned int pid = (unsigned int)getpid();
	char text[CAROB_ADDR_TEXT_MAX];
	carob_addr_t addr;

	*testbed = (testbed_t){.c = c};
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&testbed->kernel, carob_clock_system()), 0);
	CU_ASSERT_EQUAL_FATAL(carob_loop_new(&testbed->loop, testbed->kernel),
			      0);
	/* Test programs of several runs have different addresses. */
	(void)snprintf(text, sizeof(text), "127.%u.%u.1:17731",
		       100 + pid / 250 % 100, 1 + pid % 250);
	CU_ASSERT_EQUAL_FATAL(carob_addr_parse(&addr, carob_str_from(text)), 0);
	write_body(&testbed->body);
	listen_on(testbed, &addr);
	begin_watch(testbed, &addr);
}

static void testbed_dispose(testbed_t *testbed)
{
	carob_timer_cancel(testbed->kernel, &testbed->rest);
	platform_store_free(testbed->store);
	if (testbed->connection)
		bufferevent_free(testbed->connection);
	evconnlistener_free(testbed->listener);
	carob_buf_dispose(&testbed->body);
	carob_loop_free(testbed->loop);
	carob_kernel_free(testbed->kernel);
}

static void check_response(const struct response_case *c)
{
	static testbed_t testbed;
	uint64_t elapsed_ms;

	testbed_init(&testbed, c);
	CU_ASSERT_EQUAL(carob_loop_run(testbed.loop), 0);
	elapsed_ms = (testbed.done_ns - testbed.begun_ns) / CAROB_NS_PER_MS;
	CU_ASSERT_EQUAL(testbed.reply.result, c->result);
	CU_ASSERT_EQUAL(testbed.reply.partial, c->partial);
	CU_ASSERT_TRUE(testbed.reply.age_ms >= c->age_ms_min);
	CU_ASSERT_TRUE(testbed.reply.age_ms <= elapsed_ms);
	CU_ASSERT_TRUE(elapsed_ms <= c->elapsed_ms_max);
	if (c->result == 0)
		CU_ASSERT_EQUAL(testbed.reply.bytes, testbed.body.len);
	if (testbed.reply.result != c->result || elapsed_ms > c->elapsed_ms_max)
		printf("\n%s: result %d after %llu ms", c->name,
		       testbed.reply.result, (unsigned long long)elapsed_ms);
	testbed_dispose(&testbed);
}

/* A response that arrives slowly counts as old as its first byte, and one that
 * is longer than allowed, or stops, is given up before its body has come. */
static void test_responses(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++)
		check_response(&cases[i]);
}

int main(void)
{
	static const test_case_t tests[] = {
		{"responses in parts", test_responses},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("store client", tests, CAROB_ARRAY_SIZE(tests));
}
