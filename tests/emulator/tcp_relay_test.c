#include "emulator/fabric/tcp_relay.h"

#include "carobtrail/errors.h"
#include "net/sockaddr.h"
#include "test_runner.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Hosts of an address in 127/8 that depends on the process, so that two runs of
 * the test do not disturb each other. */
#define LISTEN_HOST 1
#define TARGET_HOST 2
#define CLIENT_HOST 3
#define PORT	    17001
#define ROUNDS	    50 /* of the event loop, until all data has passed */

/* A connection through a relay: its two ends and the fabric's links. */
typedef struct fixture {
	struct event_base *base;
	fabric_links_t *links;
	tcp_relay_t *relay;
	int client;
	int server;
} fixture_t;

static carob_addr_t local_addr(uint8_t host)
{
	return (carob_addr_t){
		.family = 4,
		.port = PORT,
		.ip = {127, (uint8_t)(1 + getpid() / 250 % 60),
		       (uint8_t)(getpid() % 250), host},
	};
}

static void add_group(fabric_links_t *links, carob_str_t name, uint8_t host)
{
	carob_addr_t addr = local_addr(host);
	char ip[INET_ADDRSTRLEN] = "";

	(void)inet_ntop(AF_INET, addr.ip, ip, sizeof(ip));
	CU_ASSERT_EQUAL(
		fabric_links_add_to_group(links, name, carob_str_from(ip)), 0);
}

static int open_socket(carob_addr_t addr)
{
	struct sockaddr_storage sa;
	socklen_t len = carob_sockaddr_from(&sa, &addr);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&sa, len), 0);
	return fd;
}

static void run_loop(fixture_t *fixture)
{
	for (int i = 0; i < ROUNDS; i++) {
		(void)event_base_loop(fixture->base, EVLOOP_NONBLOCK);
		(void)usleep(1000);
	}
}

static void set_rule(fixture_t *fixture, const char *from, const char *to,
		     double drop)
{
	fabric_faults_t faults = {.drop = drop};

	CU_ASSERT_EQUAL(fabric_links_set(fixture->links, carob_str_from(from),
					 carob_str_from(to), &faults),
			0);
	tcp_relay_update(fixture->relay);
}

static void fixture_init(fixture_t *fixture)
{
	carob_addr_t listen_addr = local_addr(LISTEN_HOST);
	carob_addr_t target = local_addr(TARGET_HOST);
	struct sockaddr_storage sa;
	socklen_t len = carob_sockaddr_from(&sa, &listen_addr);
	carob_addr_t client = local_addr(CLIENT_HOST);
	int listener = open_socket(target);

	CU_ASSERT_EQUAL_FATAL(listen(listener, 1), 0);
	fixture->base = event_base_new();
	CU_ASSERT_EQUAL_FATAL(fabric_links_new(&fixture->links, 1), 0);
	add_group(fixture->links, CAROB_STR("client"), CLIENT_HOST);
	add_group(fixture->links, CAROB_STR("server"), TARGET_HOST);
	CU_ASSERT_EQUAL_FATAL(tcp_relay_open(&fixture->relay, fixture->base,
					     fixture->links, &listen_addr,
					     &target),
			      0);
	client.port = 0; /* chosen by the system */
	fixture->client = open_socket(client);
	(void)connect(fixture->client, (struct sockaddr *)&sa, len);
	run_loop(fixture);
	fixture->server = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	CU_ASSERT_TRUE_FATAL(fixture->server >= 0);
	close(listener);
}

static void fixture_dispose(fixture_t *fixture)
{
	close(fixture->client);
	close(fixture->server);
	tcp_relay_close(fixture->relay);
	fabric_links_free(fixture->links);
	event_base_free(fixture->base);
}

/* Sends a byte each way and returns which arrived. */
static void exchange(fixture_t *fixture, bool *at_server, bool *at_client)
{
	char byte = 'x';

	CU_ASSERT_EQUAL(send(fixture->client, &byte, 1, MSG_NOSIGNAL), 1);
	CU_ASSERT_EQUAL(send(fixture->server, &byte, 1, MSG_NOSIGNAL), 1);
	run_loop(fixture);
	*at_server = recv(fixture->server, &byte, 1, 0) == 1;
	*at_client = recv(fixture->client, &byte, 1, 0) == 1;
}

/* A link that is cut one way holds the data of that direction only. */
static void test_directions(void)
{
	static const struct {
		double to_server; /* drop probability of the direction */
		double to_client;
		bool at_server;
		bool at_client;
	} cases[] = {
		{0, 0, true, true},
		{1, 0, false, true},
		{0, 1, true, false},
		{1, 1, false, false},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		fixture_t fixture;
		bool at_server;
		bool at_client;

		fixture_init(&fixture);
		set_rule(&fixture, "client", "server", cases[i].to_server);
		set_rule(&fixture, "server", "client", cases[i].to_client);
		exchange(&fixture, &at_server, &at_client);
		CU_ASSERT_EQUAL(at_server, cases[i].at_server);
		CU_ASSERT_EQUAL(at_client, cases[i].at_client);
		fixture_dispose(&fixture);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"data of each direction", test_directions},
	};

	return run_tests("tcp-relay", cases, CAROB_ARRAY_SIZE(cases));
}
