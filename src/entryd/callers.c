#include "callers.h"

#include "carobtrail/errors.h"
#include "core.h"
#include "net/coap_codec.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

typedef struct listener listener_t;

/* Socket of one service of the manifest. */
struct listener {
	carob_udp_handler_t handler;
	entryd_callers_t *callers;
	uint32_t service_id;
	uint16_t port;
	carob_udp_t *udp;
	listener_t *next;
};

struct entryd_callers {
	carob_service_t service;
	carob_manifest_subscriber_t subscriber;
	carob_udp_hub_t *hub;
	carob_addr_t ip;
	entryd_caller_handler_t *handler;
	listener_t *listeners;
	entryd_callers_counters_t counters;
};

static void close_all(listener_t *list)
{
	while (list) {
		listener_t *listener = list;

		list = listener->next;
		carob_udp_close(listener->udp);
		free(listener);
	}
}

static void callers_free(carob_service_t *service)
{
	entryd_callers_t *callers = (entryd_callers_t *)service;

	close_all(callers->listeners);
	free(callers);
}

static const carob_service_ops_t callers_ops = {
	.name = ENTRYD_CALLERS,
	.free = callers_free,
};

static void encode_and_send(carob_udp_t *udp, const carob_addr_t *to,
			    const carob_msg_t *msg)
{
	uint8_t data[CAROB_MSG_BYTES_MAX];
	size_t len;

	if (carob_coap_encode(data, &len, sizeof(data), msg) == 0)
		carob_udp_send(udp, to, data, len);
}

/* Refuses a request that cannot be decoded. The response says that the request
 * was not run, as it never reaches the request path. */
static void send_refusal(listener_t *listener, const carob_addr_t *caller,
			 const carob_msg_t *request, uint8_t code)
{
	carob_msg_t response = {
		.type = request->type == CAROB_MSG_CON ? CAROB_MSG_ACK
						       : CAROB_MSG_NON,
		.code = code,
		.mid = request->mid,
		.token_len = request->token_len,
		.verdict = CAROB_VERDICT_NOT_RUN,
	};

	listener->callers->counters.refused++;
	memcpy(response.token, request->token, sizeof(response.token));
	encode_and_send(listener->udp, caller, &response);
}

/* Subtracts the time that a request waited in the socket's receive buffer from
 * its remaining time. */
static void reduce_deadline(carob_msg_t *msg, uint32_t age_ms)
{
	if (!msg->has_deadline)
		return;
	msg->deadline_ms = msg->deadline_ms > age_ms ? msg->deadline_ms - age_ms
						     : 0;
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	listener_t *listener = (listener_t *)handler;
	entryd_callers_t *callers = listener->callers;
	carob_msg_t msg;
	uint8_t refusal;

	if (carob_coap_decode(&msg, &refusal, data.ptr, data.len) == 0) {
		reduce_deadline(&msg, carob_udp_hub_age_ms(callers->hub));
		callers->handler->receive(callers->handler,
					  listener->service_id, from, &msg);
	} else if (refusal != CAROB_CODE_EMPTY) {
		send_refusal(listener, from, &msg, refusal);
	} else {
		callers->counters.undecodable++;
	}
}

static listener_t *find_listener(const entryd_callers_t *callers,
				 uint32_t service_id)
{
	listener_t *listener;

	LL_FOREACH (callers->listeners, listener) {
		if (listener->service_id == service_id)
			return listener;
	}
	return NULL;
}

static int open_listener(listener_t **list, entryd_callers_t *callers,
			 const carob_manifest_service_t *service)
{
	listener_t *listener = calloc(1, sizeof(*listener));
	carob_addr_t addr = callers->ip;
	int error;

	if (!listener)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a service socket");
	listener->handler.receive = on_datagram;
	listener->callers = callers;
	listener->service_id = service->id;
	listener->port = service->addr.port;
	addr.port = service->addr.port;
	error = carob_udp_open(&listener->udp, callers->hub, &addr,
			       &listener->handler);
	if (error) {
		free(listener);
		return error;
	}
	LL_PREPEND(*list, listener);
	return 0;
}

static bool is_in_manifest(const carob_manifest_t *manifest,
			   const listener_t *listener)
{
	const carob_manifest_service_t *service =
		carob_manifest_find_service(manifest, listener->service_id);

	return service && service->addr.port == listener->port;
}

static void close_removed(entryd_callers_t *callers,
			  const carob_manifest_t *manifest)
{
	listener_t **link = &callers->listeners;

	while (*link) {
		listener_t *listener = *link;

		if (is_in_manifest(manifest, listener)) {
			link = &listener->next;
			continue;
		}
		*link = listener->next;
		carob_udp_close(listener->udp);
		free(listener);
	}
}

/* One change of the manifest can move a port from one service to another, so
 * sockets are closed before new ones are opened. If a socket cannot be opened,
 * the store applies the previous generation again. */
static int apply_manifest(carob_manifest_subscriber_t *subscriber,
			  const carob_generation_t *generation)
{
	entryd_callers_t *callers =
		CAROB_CONTAINER_OF(subscriber, entryd_callers_t, subscriber);
	const carob_manifest_service_t *services;
	size_t count;
	int error = 0;

	close_removed(callers, generation->manifest);
	services = carob_manifest_services(generation->manifest, &count);
	for (size_t i = 0; !error && i < count; i++)
		if (!find_listener(callers, services[i].id))
			error = open_listener(&callers->listeners, callers,
					      &services[i]);
	return error;
}

int entryd_callers_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			    const carob_addr_t *ip)
{
	entryd_callers_t *callers = calloc(1, sizeof(*callers));
	int error;

	if (!callers)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the service sockets");
	callers->service.ops = &callers_ops;
	callers->hub = hub;
	callers->ip = *ip;
	callers->subscriber.apply = apply_manifest;
	error = carob_kernel_register(kernel, &callers->service);
	if (error) {
		free(callers);
		return error;
	}
	return carob_manifest_store_subscribe(entryd_core_find(kernel)->store,
					      &callers->subscriber);
}

entryd_callers_t *entryd_callers_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_CALLERS);
	return (entryd_callers_t *)service;
}

void entryd_callers_set_handler(entryd_callers_t *callers,
				entryd_caller_handler_t *handler)
{
	callers->handler = handler;
}

void entryd_callers_send(entryd_callers_t *callers, uint32_t service_id,
			 const carob_addr_t *caller, const carob_msg_t *msg)
{
	listener_t *listener = find_listener(callers, service_id);

	if (listener)
		encode_and_send(listener->udp, caller, msg);
}

const entryd_callers_counters_t *
entryd_callers_counters(const entryd_callers_t *callers)
{
	return &callers->counters;
}
