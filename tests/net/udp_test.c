#include "test_runner.h"

#include "carobtrail/errors.h"
#include "net/loop.h"
#include "net/udp.h"

#include <string.h>
#include <unistd.h>

#define DATAGRAMS   100
#define WAIT_MS	    50
#define STAMP_TRIES 40

/* Counts the received datagrams, sends them back if `echoes` is set, and stops
 * the loop after `stop_after` of them. */
typedef struct peer {
	carob_udp_handler_t handler;
	carob_loop_t *loop;
	carob_udp_t *udp;
	bool echoes;
	int received;
	int stop_after;
	size_t bytes;
} peer_t;

static void peer_receive(carob_udp_handler_t *handler, const carob_addr_t *from,
			 carob_str_t data)
{
	peer_t *peer = (peer_t *)handler;

	peer->received++;
	peer->bytes += data.len;
	if (peer->echoes)
		carob_udp_send(peer->udp, from, data.ptr, data.len);
	if (peer->received == peer->stop_after)
		carob_loop_stop(peer->loop);
}

/* Stops a loop that waits for datagrams that never arrive. */
typedef struct watchdog {
	carob_timer_t timer;
	carob_loop_t *loop;
	bool fired;
} watchdog_t;

static void watchdog_fire(carob_timer_t *timer)
{
	watchdog_t *watchdog = (watchdog_t *)timer;

	watchdog->fired = true;
	carob_loop_stop(watchdog->loop);
}

typedef struct fixture {
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_udp_hub_t *hub;
	peer_t a;
	peer_t b;
	watchdog_t watchdog;
} fixture_t;

static void open_peer(fixture_t *f, peer_t *peer, const char *local)
{
	carob_addr_t addr;

	CU_ASSERT_EQUAL_FATAL(carob_addr_parse(&addr, carob_str_from(local)),
			      0);
	addr.port = 0;
	peer->handler.receive = peer_receive;
	peer->loop = f->loop;
	CU_ASSERT_EQUAL_FATAL(
		carob_udp_open(&peer->udp, f->hub, &addr, &peer->handler), 0);
}

static void setup(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&f->kernel, carob_clock_system()), 0);
	CU_ASSERT_EQUAL_FATAL(carob_loop_new(&f->loop, f->kernel), 0);
	CU_ASSERT_EQUAL_FATAL(
		carob_udp_hub_new(&f->hub, carob_loop_base(f->loop)), 0);
	open_peer(f, &f->a, "127.0.3.1:1");
	open_peer(f, &f->b, "127.0.3.2:1");
	f->watchdog.timer.fire = watchdog_fire;
	f->watchdog.loop = f->loop;
	carob_timer_arm(f->kernel, &f->watchdog.timer,
			carob_kernel_now_ns(f->kernel) + 20 * CAROB_NS_PER_S);
}

static void teardown(fixture_t *f)
{
	carob_udp_close(f->a.udp);
	carob_udp_close(f->b.udp);
	carob_udp_hub_free(f->hub);
	carob_loop_free(f->loop);
	carob_kernel_free(f->kernel);
}

static void test_echo(void)
{
	char data[64] = "datagram";
	carob_addr_t to;
	fixture_t f;

	setup(&f);
	f.b.echoes = true;
	f.a.stop_after = DATAGRAMS;
	to = carob_udp_local(f.b.udp);
	for (int i = 0; i < DATAGRAMS; i++)
		carob_udp_send(f.a.udp, &to, data, sizeof(data));
	CU_ASSERT_EQUAL(carob_loop_run(f.loop), 0);
	CU_ASSERT_FALSE(f.watchdog.fired);
	CU_ASSERT_EQUAL(f.a.received, DATAGRAMS);
	CU_ASSERT_EQUAL(f.b.received, DATAGRAMS);
	CU_ASSERT_EQUAL(f.a.bytes, DATAGRAMS * sizeof(data));
	CU_ASSERT_EQUAL(carob_udp_hub_counters(f.hub)->sent, 2 * DATAGRAMS);
	teardown(&f);
}

static void test_oversized_datagrams(void)
{
	static char data[CAROB_UDP_BYTES_MAX + 1];
	carob_addr_t to;
	fixture_t f;

	setup(&f);
	f.b.stop_after = 1;
	to = carob_udp_local(f.b.udp);
	carob_udp_send(f.a.udp, &to, data, sizeof(data));
	carob_udp_send(f.a.udp, &to, data, sizeof(data) - 1);
	CU_ASSERT_EQUAL(carob_loop_run(f.loop), 0);
	CU_ASSERT_EQUAL(f.b.bytes, sizeof(data) - 1);
	CU_ASSERT_EQUAL(carob_udp_hub_counters(f.hub)->send_failed, 1);
	teardown(&f);
}

/* Closes its own socket at the first datagram. */
static void close_on_receive(carob_udp_handler_t *handler,
			     const carob_addr_t *from, carob_str_t data)
{
	peer_t *peer = (peer_t *)handler;

	(void)from;
	(void)data;
	peer->received++;
	carob_udp_close(peer->udp);
	peer->udp = NULL;
	carob_loop_stop(peer->loop);
}

static void test_close_while_receiving(void)
{
	carob_addr_t to;
	fixture_t f;

	setup(&f);
	f.b.handler.receive = close_on_receive;
	to = carob_udp_local(f.b.udp);
	for (int i = 0; i < DATAGRAMS; i++)
		carob_udp_send(f.a.udp, &to, "x", 1);
	CU_ASSERT_EQUAL(carob_loop_run(f.loop), 0);
	CU_ASSERT_EQUAL(f.b.received, 1);
	teardown(&f);
}

/* Stores the age of the datagram in `b.bytes`. */
static void record_age(carob_udp_handler_t *handler, const carob_addr_t *from,
		       carob_str_t data)
{
	fixture_t *f = CAROB_CONTAINER_OF(handler, fixture_t, b.handler);

	(void)from;
	(void)data;
	f->b.bytes = carob_udp_hub_age_ms(f->hub);
	carob_loop_stop(f->loop);
}

/* The system begins to stamp datagrams some time after the first socket of the
 * machine has enabled time stamps. Until then it stamps them when they are
 * read, so the age is 0 and the test tries again. */
static void test_age_includes_queueing(void)
{
	carob_addr_t to;
	fixture_t f;

	setup(&f);
	f.b.handler.receive = record_age;
	to = carob_udp_local(f.b.udp);
	for (int i = 0; i < STAMP_TRIES && f.b.bytes < WAIT_MS - 1; i++) {
		carob_udp_send(f.a.udp, &to, "x", 1);
		carob_udp_hub_flush(f.hub);
		usleep(WAIT_MS * 1000);
		CU_ASSERT_EQUAL(carob_loop_run(f.loop), 0);
	}
	CU_ASSERT_TRUE(f.b.bytes >= WAIT_MS - 1);
	teardown(&f);
}

static void test_address_in_use(void)
{
	carob_addr_t addr_in_use;
	carob_udp_t *udp;
	fixture_t f;

	setup(&f);
	addr_in_use = carob_udp_local(f.a.udp);
	CU_ASSERT_EQUAL(carob_udp_open(&udp, f.hub, &addr_in_use, &f.b.handler),
			CAROB_EIO);
	CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), "127.0.3.1"));
	teardown(&f);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"datagrams are sent and echoed", test_echo},
		{"datagrams that are too large are counted as failed",
		 test_oversized_datagrams},
		{"a handler may close the socket that it receives from",
		 test_close_while_receiving},
		{"the age of a datagram includes its time in the system queue",
		 test_age_includes_queueing},
		{"the error for an address in use names the address",
		 test_address_in_use},
	};

	return run_tests("udp", cases, CAROB_ARRAY_SIZE(cases));
}
