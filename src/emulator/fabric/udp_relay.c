#include "udp_relay.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#define CLIENTS_MAX 20000
/* Maximum number of lines on dropped packets in a second. A relay that drops
 * everything must not slow the others down. */
#define DROP_LOGS_PER_S 200
/* Bytes of a dropped packet that are logged: the CoAP header with the message
 * id and the token, or the beginning of any other protocol's. */
#define DROP_LOG_BYTES 16

typedef struct client client_t;
typedef struct delayed delayed_t;

/* A client of the relay and the socket that represents it to the targets. */
struct client {
	carob_udp_handler_t handler;
	udp_relay_t *relay;
	carob_addr_t addr;
	carob_udp_t *udp;
	bool frozen;
	UT_hash_handle hh;
};

/* A datagram that is sent after a delay. */
struct delayed {
	carob_timer_t timer;
	udp_relay_t *relay;
	carob_udp_t *udp;
	carob_addr_t to;
	delayed_t *prev;
	delayed_t *next;
	size_t len;
	char data[];
};

struct udp_relay {
	carob_udp_handler_t handler;
	udp_relay_options_t options;
	carob_udp_t *udp;
	client_t *clients;
	delayed_t *delayed;
	size_t target_count;
	carob_addr_t targets[FABRIC_TARGETS_MAX];
	bool disabled[FABRIC_TARGETS_MAX];
	udp_relay_counters_t counters;
	uint64_t drop_log_ns;	 /* begin of the second that is counted */
	uint32_t drop_logs;	 /* lines written in it */
	uint64_t drops_unlogged; /* since the last line */
};

static void free_delayed(delayed_t *packet)
{
	carob_timer_cancel(packet->relay->options.kernel, &packet->timer);
	DL_DELETE(packet->relay->delayed, packet);
	free(packet);
}

static void on_delay_timer(carob_timer_t *timer)
{
	delayed_t *packet = CAROB_CONTAINER_OF(timer, delayed_t, timer);

	carob_udp_send(packet->udp, &packet->to, packet->data, packet->len);
	free_delayed(packet);
}

static void send_delayed(udp_relay_t *relay, carob_udp_t *udp,
			 const carob_addr_t *to, carob_str_t data,
			 uint64_t delay_ns)
{
	carob_kernel_t *kernel = relay->options.kernel;
	delayed_t *packet = malloc(sizeof(*packet) + data.len);

	if (!packet)
		return;
	memset(packet, 0, sizeof(*packet));
	packet->timer.fire = on_delay_timer;
	packet->relay = relay;
	packet->udp = udp;
	packet->to = *to;
	packet->len = data.len;
	memcpy(packet->data, data.ptr, data.len);
	DL_APPEND(relay->delayed, packet);
	carob_timer_arm(kernel, &packet->timer,
			carob_kernel_now_ns(kernel) + delay_ns);
}

static bool may_log_drop(udp_relay_t *relay)
{
	uint64_t now = carob_kernel_now_ns(relay->options.kernel);

	if (now - relay->drop_log_ns >= CAROB_NS_PER_S) {
		relay->drop_log_ns = now;
		relay->drop_logs = 0;
	}
	if (relay->drop_logs == DROP_LOGS_PER_S) {
		relay->drops_unlogged++;
		return false;
	}
	relay->drop_logs++;
	return true;
}

/* Counts and logs a dropped packet; `to` is NULL if it has no target. */
static void drop_datagram(udp_relay_t *relay, const carob_addr_t *from,
			  const carob_addr_t *to, carob_str_t data,
			  const char *cause)
{
	char from_text[CAROB_ADDR_TEXT_MAX];
	char to_text[CAROB_ADDR_TEXT_MAX] = "";
	char head[2 * DROP_LOG_BYTES + 1] = "";

	relay->counters.dropped++;
	if (!may_log_drop(relay))
		return;
	carob_addr_format(from_text, from);
	if (to)
		carob_addr_format(to_text, to);
	for (size_t i = 0; i < data.len && i < DROP_LOG_BYTES; i++)
		(void)snprintf(&head[2 * i], 3, "%02x", (uint8_t)data.ptr[i]);
	CAROB_LOG(CAROB_EV_PACKET_DROPPED,
		  CAROB_FIELD_STR("relay", relay->options.name),
		  CAROB_FIELD_CSTR("from", from_text),
		  CAROB_FIELD_CSTR("to", to_text),
		  CAROB_FIELD_CSTR("cause", cause),
		  CAROB_FIELD_U64("bytes", data.len),
		  CAROB_FIELD_CSTR("head", head),
		  CAROB_FIELD_U64("unlogged", relay->drops_unlogged));
	relay->drops_unlogged = 0;
}

/* Forwards a datagram with the faults between `from` and `to`. These are the
 * addresses of the two ends, not those of the relay's sockets. */
static void forward_datagram(udp_relay_t *relay, carob_udp_t *udp,
			     const carob_addr_t *from, const carob_addr_t *to,
			     carob_str_t data)
{
	fabric_delivery_t delivery;

	fabric_links_decide_delivery(&delivery, relay->options.links, from, to);
	if (delivery.copies == 0)
		drop_datagram(relay, from, to, data,
			      fabric_links_is_cut(relay->options.links, from,
						  to)
				      ? "cut"
				      : "chance");
	for (unsigned int i = 0; i < delivery.copies; i++) {
		relay->counters.forwarded++;
		if (delivery.delay_ns[i])
			send_delayed(relay, udp, to, data,
				     delivery.delay_ns[i]);
		else
			carob_udp_send(udp, to, data.ptr, data.len);
	}
}

static void on_target_datagram(carob_udp_handler_t *handler,
			       const carob_addr_t *from, carob_str_t data)
{
	client_t *client = (client_t *)handler;

	if (client->frozen)
		drop_datagram(client->relay, from, &client->addr, data,
			      "frozen");
	else
		forward_datagram(client->relay, client->relay->udp, from,
				 &client->addr, data);
}

static client_t *find_client(udp_relay_t *relay, const carob_addr_t *addr)
{
	client_t *client;

	HASH_FIND(hh, relay->clients, addr, sizeof(*addr), client);
	return client;
}

static client_t *add_client(udp_relay_t *relay, const carob_addr_t *addr)
{
	client_t *client;

	if (relay->counters.clients == CLIENTS_MAX)
		return NULL;
	client = calloc(1, sizeof(*client));
	if (!client)
		return NULL;
	client->handler.receive = on_target_datagram;
	client->relay = relay;
	client->addr = *addr;
	if (carob_udp_open(&client->udp, relay->options.hub,
			   &relay->options.bind, &client->handler) != 0) {
		free(client);
		return NULL;
	}
	relay->counters.clients++;
	HASH_ADD(hh, relay->clients, addr, sizeof(client->addr), client);
	return client;
}

static const carob_addr_t *pick_target(const udp_relay_t *relay)
{
	size_t enabled[FABRIC_TARGETS_MAX];
	uint32_t count = 0;

	for (size_t i = 0; i < relay->target_count; i++)
		if (!relay->disabled[i])
			enabled[count++] = i;
	if (count == 0)
		return NULL;
	return &relay->targets[enabled[fabric_links_random_below(
		relay->options.links, count)]];
}

static void on_client_datagram(carob_udp_handler_t *handler,
			       const carob_addr_t *from, carob_str_t data)
{
	udp_relay_t *relay = (udp_relay_t *)handler;
	client_t *client = find_client(relay, from);
	const carob_addr_t *target = pick_target(relay);

	if (!client)
		client = add_client(relay, from);
	if (!client)
		drop_datagram(relay, from, target, data, "too_many_clients");
	else if (!target || client->frozen)
		drop_datagram(relay, from, target, data,
			      target ? "frozen" : "no_target");
	else
		forward_datagram(relay, client->udp, from, target, data);
}

int udp_relay_open(udp_relay_t **out, const udp_relay_options_t *options)
{
	udp_relay_t *relay = calloc(1, sizeof(*relay));
	int error;

	if (!relay)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate UDP relay");
	relay->options = *options;
	relay->handler.receive = on_client_datagram;
	error = carob_udp_open(&relay->udp, options->hub, &options->listen,
			       &relay->handler);
	if (error) {
		free(relay);
		return error;
	}
	*out = relay;
	return 0;
}

void udp_relay_close(udp_relay_t *relay)
{
	client_t *client;
	client_t *next;

	if (!relay)
		return;
	while (relay->delayed)
		free_delayed(relay->delayed);
	HASH_ITER (hh, relay->clients, client, next) {
		HASH_DEL(relay->clients, client);
		carob_udp_close(client->udp);
		free(client);
	}
	carob_udp_close(relay->udp);
	free(relay);
}

void udp_relay_set_targets(udp_relay_t *relay, const carob_addr_t *targets,
			   size_t count)
{
	memcpy(relay->targets, targets, count * sizeof(*targets));
	memset(relay->disabled, 0, sizeof(relay->disabled));
	relay->target_count = count;
}

static bool same_ip(const carob_addr_t *a, const carob_addr_t *b)
{
	return a->family == b->family &&
	       memcmp(a->ip, b->ip, sizeof(a->ip)) == 0;
}

void udp_relay_enable(udp_relay_t *relay, const carob_addr_t *ip, bool on)
{
	for (size_t i = 0; i < relay->target_count; i++)
		if (same_ip(&relay->targets[i], ip))
			relay->disabled[i] = !on;
}

size_t udp_relay_freeze(udp_relay_t *relay, const carob_addr_t *client_ip,
			size_t count)
{
	size_t frozen = 0;

	for (client_t *client = relay->clients; client && frozen < count;
	     client = client->hh.next) {
		if (client->frozen ||
		    (client_ip->family && !same_ip(&client->addr, client_ip)))
			continue;
		client->frozen = true;
		frozen++;
	}
	return frozen;
}

carob_str_t udp_relay_name(const udp_relay_t *relay)
{
	return relay->options.name;
}

const udp_relay_counters_t *udp_relay_counters(const udp_relay_t *relay)
{
	return &relay->counters;
}
