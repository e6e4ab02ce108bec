#include "request_path.h"

#include "callers.h"
#include "carobtrail/errors.h"
#include "core.h"
#include "paths.h"
#include "relay.h"
#include "traces.h"

#include <sodium.h>
#include <stdlib.h>

typedef struct request_path {
	carob_service_t service;
	carob_entry_port_t port;
	carob_manifest_subscriber_t subscriber;
	entryd_caller_handler_t caller_handler;
	entryd_path_handler_t path_handler;
	entryd_relay_handler_t relay_handler;
	entryd_callers_t *callers;
	entryd_paths_t *paths;
	entryd_relay_t *relay;
	carob_entry_t *entry;
} request_path_t;

static void request_path_free(carob_service_t *service)
{
	request_path_t *self = (request_path_t *)service;

	carob_entry_free(self->entry);
	free(self);
}

static const carob_service_ops_t request_path_ops = {
	.name = ENTRYD_REQUEST_PATH,
	.free = request_path_free,
};

static request_path_t *from_port(carob_entry_port_t *port)
{
	return CAROB_CONTAINER_OF(port, request_path_t, port);
}

static void to_caller(carob_entry_port_t *port, uint32_t service_id,
		      const carob_addr_t *caller, const carob_msg_t *msg)
{
	entryd_callers_send(from_port(port)->callers, service_id, caller, msg);
}

static void to_upstream(carob_entry_port_t *port,
			const carob_manifest_upstream_t *upstream,
			uint32_t path, const carob_msg_t *msg)
{
	entryd_paths_send(from_port(port)->paths, upstream, path, msg);
}

static void close_path(carob_entry_port_t *port, carob_upstream_id_t upstream,
		       uint32_t path)
{
	entryd_paths_close(from_port(port)->paths, upstream, path);
}

static void to_instance(carob_entry_port_t *port, const carob_relay_t *relay)
{
	entryd_relay_send(from_port(port)->relay, relay);
}

static const carob_entry_port_ops_t port_ops = {
	.to_caller = to_caller,
	.to_upstream = to_upstream,
	.close_path = close_path,
	.to_instance = to_instance,
};

static void on_caller_message(entryd_caller_handler_t *handler,
			      uint32_t service_id, const carob_addr_t *caller,
			      const carob_msg_t *msg)
{
	request_path_t *self =
		CAROB_CONTAINER_OF(handler, request_path_t, caller_handler);

	carob_entry_on_caller(self->entry, service_id, caller, msg);
}

static void on_upstream_message(entryd_path_handler_t *handler,
				carob_upstream_id_t upstream, uint32_t path,
				const carob_msg_t *msg)
{
	request_path_t *self =
		CAROB_CONTAINER_OF(handler, request_path_t, path_handler);

	carob_entry_on_upstream(self->entry, upstream, path, msg);
}

static void on_relayed_packet(entryd_relay_handler_t *handler,
			      const carob_relay_t *relay)
{
	request_path_t *self =
		CAROB_CONTAINER_OF(handler, request_path_t, relay_handler);

	carob_entry_on_relay(self->entry, relay);
}

static int apply_manifest(carob_manifest_subscriber_t *subscriber,
			  const carob_generation_t *generation)
{
	request_path_t *self =
		CAROB_CONTAINER_OF(subscriber, request_path_t, subscriber);

	return carob_entry_set_manifest(self->entry, generation->manifest);
}

static int new_entry(request_path_t *self, carob_kernel_t *kernel,
		     const entryd_core_t *core)
{
	carob_entry_options_t options = CAROB_ENTRY_OPTIONS_INIT;

	options.kernel = kernel;
	options.port = &self->port;
	options.scheduler = core->scheduler;
	options.membership = core->membership;
	options.keyring = core->keyring;
	options.tracer = entryd_traces_tracer(kernel);
	randombytes_buf(&options.seed, sizeof(options.seed));
	return carob_entry_new(&self->entry, &options);
}

static void connect_sockets(request_path_t *self, const carob_kernel_t *kernel)
{
	self->callers = entryd_callers_find(kernel);
	self->paths = entryd_paths_find(kernel);
	self->relay = entryd_relay_find(kernel);
	self->caller_handler.receive = on_caller_message;
	self->path_handler.receive = on_upstream_message;
	self->relay_handler.receive = on_relayed_packet;
	entryd_callers_set_handler(self->callers, &self->caller_handler);
	entryd_paths_set_handler(self->paths, &self->path_handler);
	entryd_relay_set_handler(self->relay, &self->relay_handler);
}

int entryd_request_path_register(carob_kernel_t *kernel)
{
	request_path_t *self = calloc(1, sizeof(*self));
	entryd_core_t *core = entryd_core_find(kernel);
	int error;

	if (!self)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the request path "
				       "service");
	self->service.ops = &request_path_ops;
	self->port.ops = &port_ops;
	self->subscriber.apply = apply_manifest;
	error = new_entry(self, kernel, core);
	if (!error)
		error = carob_kernel_register(kernel, &self->service);
	if (error) {
		request_path_free(&self->service);
		return error;
	}
	connect_sockets(self, kernel);
	return carob_manifest_store_subscribe(core->store, &self->subscriber);
}

carob_entry_t *entryd_request_path_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_REQUEST_PATH);
	return ((request_path_t *)service)->entry;
}
