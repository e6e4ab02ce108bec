/* Baseline of the benchmarks: a UDP relay that forwards all datagrams between
 * its clients and one target and makes no decisions. */
#include "bench_loop.h"

#include <uthash.h>

typedef struct relay relay_t;

/* A client and the socket that sends its datagrams to the target. */
typedef struct client {
	carob_udp_handler_t handler;
	relay_t *relay;
	carob_addr_t addr;
	carob_udp_t *udp;
	UT_hash_handle hh;
} client_t;

struct relay {
	carob_udp_handler_t handler;
	bench_loop_t bench;
	carob_addr_t listen;
	carob_addr_t target;
	carob_udp_t *udp;
	client_t *clients;
};

static void on_target_datagram(carob_udp_handler_t *handler,
			       const carob_addr_t *from, carob_str_t data)
{
	client_t *client = (client_t *)handler;

	(void)from;
	carob_udp_send(client->relay->udp, &client->addr, data.ptr, data.len);
}

static client_t *add_client(relay_t *relay, const carob_addr_t *addr)
{
	client_t *client = calloc(1, sizeof(*client));
	carob_addr_t any = relay->listen;

	if (!client)
		abort();
	any.port = 0;
	client->handler.receive = on_target_datagram;
	client->relay = relay;
	client->addr = *addr;
	bench_check(carob_udp_open(&client->udp, relay->bench.hub, &any,
				   &client->handler));
	HASH_ADD(hh, relay->clients, addr, sizeof(client->addr), client);
	return client;
}

static void on_client_datagram(carob_udp_handler_t *handler,
			       const carob_addr_t *from, carob_str_t data)
{
	relay_t *relay = (relay_t *)handler;
	client_t *client;

	HASH_FIND(hh, relay->clients, from, sizeof(*from), client);
	if (!client)
		client = add_client(relay, from);
	carob_udp_send(client->udp, &relay->target, data.ptr, data.len);
}

int main(int argc, char **argv)
{
	relay_t relay = {.handler.receive = on_client_datagram};

	if (argc != 3) {
		fprintf(stderr, "usage: bench-plain-relay LISTEN TARGET\n");
		return 2;
	}
	relay.listen = bench_addr(argv[1]);
	relay.target = bench_addr(argv[2]);
	bench_loop_init(&relay.bench);
	bench_check(carob_udp_open(&relay.udp, relay.bench.hub, &relay.listen,
				   &relay.handler));
	bench_check(carob_loop_run(relay.bench.loop));
	return 0;
}
