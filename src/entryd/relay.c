#include "relay.h"

#include "carobtrail/errors.h"
#include "core.h"
#include "net/relay_codec.h"

#include <stdlib.h>

#define US_PER_MS 1000

struct entryd_relay {
	carob_service_t service;
	carob_udp_handler_t socket_handler;
	const entryd_core_t *core;
	carob_udp_hub_t *hub;
	carob_udp_t *udp;
	entryd_relay_handler_t *handler;
	carob_buf_t datagram; /* buffer for the datagram to send */
	entryd_relay_counters_t counters;
};

static void relay_free(carob_service_t *service)
{
	entryd_relay_t *relay = (entryd_relay_t *)service;

	carob_udp_close(relay->udp);
	carob_buf_dispose(&relay->datagram);
	free(relay);
}

static const carob_service_ops_t relay_ops = {
	.name = ENTRYD_RELAY,
	.free = relay_free,
};

static uint32_t add_waiting_time(uint32_t age_us, uint32_t waited_ms)
{
	uint64_t sum = age_us + (uint64_t)waited_ms * US_PER_MS;

	return sum < UINT32_MAX ? (uint32_t)sum : UINT32_MAX;
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	entryd_relay_t *relay =
		CAROB_CONTAINER_OF(handler, entryd_relay_t, socket_handler);
	carob_relay_t packet;

	(void)from;
	if (carob_relay_decode(&packet, relay->core->keyring, data.ptr,
			       data.len) != 0) {
		relay->counters.refused++;
		return;
	}
	packet.age_us = add_waiting_time(packet.age_us,
					 carob_udp_hub_age_ms(relay->hub));
	relay->handler->receive(relay->handler, &packet);
}

int entryd_relay_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			  const carob_addr_t *addr)
{
	entryd_relay_t *relay = calloc(1, sizeof(*relay));
	int error;

	if (!relay)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the relay service");
	relay->service.ops = &relay_ops;
	relay->socket_handler.receive = on_datagram;
	relay->core = entryd_core_find(kernel);
	relay->hub = hub;
	error = carob_udp_open(&relay->udp, hub, addr, &relay->socket_handler);
	if (!error)
		error = carob_kernel_register(kernel, &relay->service);
	if (error)
		relay_free(&relay->service);
	return error;
}

entryd_relay_t *entryd_relay_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_RELAY);
	return (entryd_relay_t *)service;
}

void entryd_relay_set_handler(entryd_relay_t *relay,
			      entryd_relay_handler_t *handler)
{
	relay->handler = handler;
}

void entryd_relay_send(entryd_relay_t *relay, const carob_relay_t *packet)
{
	const carob_member_t *member =
		carob_membership_find(relay->core->membership, packet->to);

	if (!member || carob_relay_encode(&relay->datagram,
					  relay->core->keyring, packet) != 0)
		relay->counters.undelivered++;
	else
		carob_udp_send(relay->udp, &member->relay_addr,
			       relay->datagram.ptr, relay->datagram.len);
}

const entryd_relay_counters_t *
entryd_relay_counters(const entryd_relay_t *relay)
{
	return &relay->counters;
}
