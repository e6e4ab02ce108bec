#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"
#include "net/control.h"
#include "net/control_codec.h"
#include "net/control_peers.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#define ROUNDS_MAX 20000 /* passes of the event loops, ROUND_US apart */
#define ROUND_US   200
#define BURST	   200
#define PORT_FIRST 26000
#define PORT_LAST  27990

/* Derives addresses from the process id, so that concurrent runs differ. */
static carob_addr_t test_addr(uint16_t i)
{
	unsigned int pid = (unsigned int)getpid();

	return (carob_addr_t){
		.ip = {127, 0, 6, (uint8_t)(1 + pid % 250)},
		.port = (uint16_t)(PORT_FIRST +
				   pid / 250 * 8 % (PORT_LAST - PORT_FIRST) +
				   i),
		.family = 4,
	};
}

static struct sockaddr_in sockaddr_of(carob_addr_t addr)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(addr.port)};

	memcpy(&sa.sin_addr, addr.ip, sizeof(sa.sin_addr));
	return sa;
}

static const uint8_t secret[CAROB_KEY_BYTES] = {1, 2, 3};
static const uint8_t other_secret[CAROB_KEY_BYTES] = {3, 2, 1};

/* An instance that consists of a control channel only. */
typedef struct node {
	carob_control_handler_t handler;
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_control_t *control;
	carob_control_peer_t peer;
	size_t received;
	size_t bytes; /* bytes of manifests received */
	carob_control_type_t last;
	carob_instance_id_t last_from;
	bool sends_acks; /* acknowledges each heartbeat */
} node_t;

static void on_message(carob_control_handler_t *handler,
		       const carob_control_msg_t *msg)
{
	node_t *node = (node_t *)handler;
	carob_control_peer_t sender = {.id = msg->from};
	carob_control_msg_t reply = {.type = CAROB_CONTROL_HEARTBEAT_ACK,
				     .from = node->peer.id};
	carob_control_port_t *port = carob_control_port(node->control);

	node->received++;
	node->last = msg->type;
	node->last_from = msg->from;
	if (msg->type == CAROB_CONTROL_MANIFEST_REPLY)
		node->bytes += msg->manifest.bytes.len;
	if (node->sends_acks && msg->type == CAROB_CONTROL_HEARTBEAT)
		port->ops->send(port, &sender, &reply);
}

static void node_init(node_t *node, uint32_t id, uint16_t addr_index,
		      const uint8_t *key)
{
	carob_control_options_t options = CAROB_CONTROL_OPTIONS_INIT;

	*node = (node_t){.handler = {on_message}};
	node->peer = (carob_control_peer_t){.id = {id, id + 100},
					    .addr = test_addr(addr_index)};
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&node->kernel, carob_clock_system()), 0);
	CU_ASSERT_EQUAL_FATAL(carob_loop_new(&node->loop, node->kernel), 0);
	options.kernel = node->kernel;
	options.loop = node->loop;
	options.self = node->peer.id;
	options.listen = node->peer.addr;
	options.secret = key;
	options.handler = &node->handler;
	CU_ASSERT_EQUAL_FATAL(carob_control_new(&node->control, &options), 0);
}

static void node_dispose(node_t *node)
{
	carob_control_free(node->control);
	carob_loop_free(node->loop);
	carob_kernel_free(node->kernel);
}

static void node_run_once(node_t *node)
{
	event_base_loop(carob_loop_base(node->loop), EVLOOP_NONBLOCK);
	carob_kernel_run_due(node->kernel);
}

/*
 * Runs both nodes until `*counter` reaches `target`, for at most ROUNDS_MAX
 * rounds. Returns whether it was reached.
 */
static bool run_until(node_t *a, node_t *b, const size_t *counter,
		      size_t target)
{
	for (int i = 0; i < ROUNDS_MAX && *counter < target; i++) {
		node_run_once(a);
		node_run_once(b);
		usleep(ROUND_US);
	}
	return *counter >= target;
}

static void send_to(node_t *from, const carob_control_peer_t *to,
		    carob_control_type_t type)
{
	carob_control_msg_t msg = {.type = type, .from = from->peer.id};
	carob_control_port_t *port = carob_control_port(from->control);

	port->ops->send(port, to, &msg);
}

static void test_message_and_reply(void)
{
	node_t a;
	node_t b;

	node_init(&a, 1, 0, secret);
	node_init(&b, 2, 1, secret);
	b.sends_acks = true;
	send_to(&a, &b.peer, CAROB_CONTROL_HEARTBEAT);
	CU_ASSERT(run_until(&a, &b, &a.received, 1));
	CU_ASSERT_EQUAL(a.last, CAROB_CONTROL_HEARTBEAT_ACK);
	CU_ASSERT(carob_instance_id_eq(a.last_from, b.peer.id));
	node_dispose(&a);
	node_dispose(&b);
}

/*
 * ZeroMQ's descriptor becomes readable only once for a burst of messages, but
 * all of them must be read.
 */
static void test_burst(void)
{
	carob_control_counters_t counters;
	node_t a;
	node_t b;

	node_init(&a, 1, 0, secret);
	node_init(&b, 2, 1, secret);
	b.sends_acks = true;
	for (int i = 0; i < BURST; i++)
		send_to(&a, &b.peer, CAROB_CONTROL_HEARTBEAT);
	CU_ASSERT(run_until(&a, &b, &b.received, BURST));
	CU_ASSERT(run_until(&a, &b, &a.received, BURST));
	carob_control_counters(&counters, b.control);
	CU_ASSERT_EQUAL(counters.received, BURST);
	CU_ASSERT_EQUAL(counters.dropped, 0);
	CU_ASSERT_EQUAL(counters.routes, 1);
	node_dispose(&a);
	node_dispose(&b);
}

static void test_largest_message(void)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MANIFEST_REPLY};
	carob_control_port_t *port;
	carob_buf_t bytes = CAROB_BUF_INIT;
	char block[1024] = {'x'};
	node_t a;
	node_t b;

	node_init(&a, 1, 0, secret);
	node_init(&b, 2, 1, secret);
	while (bytes.len < CAROB_CONTROL_MANIFEST_MAX)
		CU_ASSERT_EQUAL_FATAL(
			carob_buf_append(&bytes, block, sizeof(block)), 0);
	msg.from = a.peer.id;
	msg.manifest.bytes = carob_buf_view(&bytes);
	port = carob_control_port(a.control);
	port->ops->send(port, &b.peer, &msg);
	CU_ASSERT(run_until(&a, &b, &b.bytes, CAROB_CONTROL_MANIFEST_MAX));
	carob_buf_dispose(&bytes);
	node_dispose(&a);
	node_dispose(&b);
}

static bool run_until_refused(node_t *a, node_t *b, uint64_t target)
{
	carob_control_counters_t counters;

	for (int i = 0; i < ROUNDS_MAX; i++) {
		node_run_once(a);
		node_run_once(b);
		carob_control_counters(&counters, b->control);
		if (counters.refused_key >= target)
			return true;
		usleep(ROUND_US);
	}
	return false;
}

static void test_wrong_secret(void)
{
	node_t other_node;
	node_t a;
	node_t b;

	node_init(&a, 1, 0, secret);
	node_init(&b, 2, 1, secret);
	node_init(&other_node, 3, 2, other_secret);
	send_to(&other_node, &b.peer, CAROB_CONTROL_HEARTBEAT);
	CU_ASSERT(run_until_refused(&other_node, &b, 1));
	CU_ASSERT_EQUAL(b.received, 0);
	send_to(&a, &b.peer, CAROB_CONTROL_HEARTBEAT);
	CU_ASSERT(run_until(&a, &b, &b.received, 1));
	CU_ASSERT(carob_instance_id_eq(b.last_from, a.peer.id));
	node_dispose(&other_node);
	node_dispose(&a);
	node_dispose(&b);
}

/*
 * A client that knows the server's public key but has a key pair of another
 * secret must be refused.
 */
static void test_client_key_of_other_secret(void)
{
	carob_curve_keys_t server;
	carob_curve_keys_t own;
	carob_zmq_socket_t socket = {.receive = NULL};
	carob_str_t frame = CAROB_STR("x");
	void *context = zmq_ctx_new();
	node_t b;

	node_init(&b, 2, 1, secret);
	carob_curve_keys_derive(&server, secret);
	carob_curve_keys_derive(&own, other_secret);
	CU_ASSERT_EQUAL(carob_zmq_open(&socket, context, ZMQ_DEALER), 0);
	CU_ASSERT_EQUAL(carob_control_limit_socket(&socket), 0);
	CU_ASSERT_EQUAL(carob_control_secure_client(&socket, &own), 0);
	CU_ASSERT_EQUAL(carob_zmq_set_bytes(&socket, ZMQ_CURVE_SERVERKEY,
					    server.public_key,
					    sizeof(server.public_key)),
			0);
	CU_ASSERT_EQUAL(carob_control_connect(&socket, &b.peer.addr, NULL), 0);
	carob_zmq_send(&socket, &frame, 1);
	CU_ASSERT(run_until_refused(&b, &b, 1));
	CU_ASSERT_EQUAL(b.received, 0);
	carob_zmq_close(&socket);
	zmq_ctx_term(context);
	node_dispose(&b);
}

static void test_random_bytes_on_the_port(void)
{
	struct sockaddr_in addr = sockaddr_of(test_addr(1));
	carob_rng_t rng;
	node_t a;
	node_t b;

	node_init(&a, 1, 0, secret);
	node_init(&b, 2, 1, secret);
	carob_rng_init(&rng, 99);
	for (int i = 0; i < 20; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		char bytes[512];

		for (size_t j = 0; j < sizeof(bytes); j++)
			bytes[j] = (char)carob_rng_u32(&rng);
		CU_ASSERT_EQUAL(
			connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
		CU_ASSERT(send(fd, bytes, sizeof(bytes), MSG_NOSIGNAL) > 0);
		node_run_once(&b);
		close(fd);
	}
	send_to(&a, &b.peer, CAROB_CONTROL_HEARTBEAT);
	CU_ASSERT(run_until(&a, &b, &b.received, 1));
	node_dispose(&a);
	node_dispose(&b);
}

/* A client with the deployment's key sends messages that no instance sends. */
static void test_malformed_messages(void)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MEMBER_UPDATES,
				   .from = {77, 77}};
	carob_buf_t false_sender = CAROB_BUF_INIT;
	carob_control_counters_t counters = {0};
	carob_zmq_socket_t socket = {.receive = NULL};
	carob_curve_keys_t keys;
	carob_str_t two_frames[2] = {CAROB_STR("a"), CAROB_STR("b")};
	carob_str_t frame = CAROB_STR("\x85\x01");
	void *context = zmq_ctx_new();
	node_t b;

	node_init(&b, 2, 1, secret);
	carob_curve_keys_derive(&keys, secret);
	CU_ASSERT_EQUAL(carob_zmq_open(&socket, context, ZMQ_DEALER), 0);
	CU_ASSERT_EQUAL(carob_control_limit_socket(&socket), 0);
	CU_ASSERT_EQUAL(carob_control_secure_client(&socket, &keys), 0);
	CU_ASSERT_EQUAL(carob_control_connect(&socket, &b.peer.addr, NULL), 0);
	CU_ASSERT_EQUAL(carob_zmq_send(&socket, &frame, 1), 0);
	CU_ASSERT_EQUAL(carob_zmq_send(&socket, two_frames, 2), 0);
	CU_ASSERT_EQUAL(carob_control_encode(&false_sender, &msg), 0);
	frame = carob_buf_view(&false_sender);
	CU_ASSERT_EQUAL(carob_zmq_send(&socket, &frame, 1), 0);
	for (int i = 0; i < ROUNDS_MAX && counters.refused_message < 3; i++) {
		node_run_once(&b);
		usleep(ROUND_US);
		carob_control_counters(&counters, b.control);
	}
	CU_ASSERT_EQUAL(counters.refused_message, 3);
	CU_ASSERT_EQUAL(b.received, 0);
	carob_buf_dispose(&false_sender);
	carob_zmq_close(&socket);
	zmq_ctx_term(context);
	node_dispose(&b);
}

static int provide_status(carob_status_provider_t *provider, carob_buf_t *json,
			  carob_str_t args)
{
	(void)provider;
	return carob_buf_printf(json, "{\"args\":\"%.*s\"}", (int)args.len,
				args.ptr);
}

/* A status query and its expected result. */
typedef struct query_case {
	const char *query;
	const uint8_t *secret;
	int expected;
	const char *json;
} query_case_t;

/* A query in progress, on a thread of its own because it blocks. */
typedef struct query_run {
	const query_case_t *query;
	int result;
	size_t done;
	carob_buf_t reply;
	carob_addr_t addr;
} query_run_t;

static void *run_query(void *context)
{
	query_run_t *run = context;

	run->result =
		carob_control_query(&run->reply, &run->addr, run->query->secret,
				    carob_str_from(run->query->query), 1000);
	__atomic_store_n(&run->done, 1, __ATOMIC_RELEASE);
	return NULL;
}

static void test_status(void)
{
	static const query_case_t cases[] = {
		{"flows of 7", secret, 0, "{\"args\":\"of 7\"}"},
		{"flows", secret, 0, "{\"args\":\"\"}"},
		{"", secret, 0, "{\"status\":[\"flows\",\"control\"]}"},
		{"nothing", secret, CAROB_ENOTFOUND, ""},
		{"flows", other_secret, CAROB_EUNAVAILABLE, ""},
	};
	carob_status_provider_t provider = {"flows", provide_status, NULL};
	node_t b;

	node_init(&b, 2, 1, secret);
	carob_control_add_status(b.control, &provider);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		query_run_t run = {.query = &cases[i], .addr = b.peer.addr};
		pthread_t thread;

		CU_ASSERT_EQUAL(pthread_create(&thread, NULL, run_query, &run),
				0);
		for (int r = 0; r < ROUNDS_MAX &&
				!__atomic_load_n(&run.done, __ATOMIC_ACQUIRE);
		     r++) {
			node_run_once(&b);
			usleep(ROUND_US);
		}
		pthread_join(thread, NULL);
		CU_ASSERT_EQUAL(run.result, cases[i].expected);
		CU_ASSERT(carob_str_eq(carob_buf_view(&run.reply),
				       carob_str_from(cases[i].json)));
		carob_buf_dispose(&run.reply);
	}
	node_dispose(&b);
}

/*
 * Network partitions between zones are set up by address, so connections must
 * come from the address in the settings.
 */
static void test_source_address(void)
{
	carob_control_peer_t peer = {.id = {9, 9}, .addr = test_addr(3)};
	struct sockaddr_in addr = sockaddr_of(peer.addr);
	struct sockaddr_in own = sockaddr_of(test_addr(0));
	socklen_t len = sizeof(addr);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;
	int fd = -1;
	node_t a;

	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	CU_ASSERT_EQUAL_FATAL(
		bind(listener, (struct sockaddr *)&addr, sizeof(addr)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(listener, 1), 0);
	node_init(&a, 1, 0, secret);
	send_to(&a, &peer, CAROB_CONTROL_HEARTBEAT);
	for (int i = 0; i < ROUNDS_MAX && fd < 0; i++) {
		node_run_once(&a);
		usleep(ROUND_US);
		fd = accept(listener, (struct sockaddr *)&addr, &len);
	}
	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL(addr.sin_addr.s_addr, own.sin_addr.s_addr);
	close(fd);
	close(listener);
	node_dispose(&a);
}

static void test_address_in_use(void)
{
	carob_control_options_t options = CAROB_CONTROL_OPTIONS_INIT;
	char text[CAROB_ADDR_TEXT_MAX];
	carob_control_t *second;
	carob_kernel_t *kernel;
	node_t a;

	node_init(&a, 1, 0, secret);
	CU_ASSERT_EQUAL(carob_kernel_new(&kernel, carob_clock_system()), 0);
	options.kernel = kernel;
	options.loop = a.loop;
	options.self = a.peer.id;
	options.listen = a.peer.addr;
	options.secret = secret;
	options.handler = &a.handler;
	CU_ASSERT_EQUAL(carob_control_new(&second, &options), CAROB_EIO);
	carob_addr_format(text, &a.peer.addr);
	CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), text));
	carob_kernel_free(kernel);
	node_dispose(&a);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a reply uses the connection that the message came on",
		 test_message_and_reply},
		{"all messages of a burst arrive", test_burst},
		{"a message of maximum length arrives", test_largest_message},
		{"a peer with another secret is refused and counted",
		 test_wrong_secret},
		{"a client key derived from another secret is refused",
		 test_client_key_of_other_secret},
		{"random bytes on the port do not stop the channel",
		 test_random_bytes_on_the_port},
		{"malformed messages are refused", test_malformed_messages},
		{"a status query returns a status or an error", test_status},
		{"connections come from the instance's own address",
		 test_source_address},
		{"an address in use is an error", test_address_in_use},
	};

	return run_tests("control", cases, CAROB_ARRAY_SIZE(cases));
}
