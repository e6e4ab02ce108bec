#include "net/control_internal.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

/* Interval at which idle dealers and routes are removed. */
#define SWEEP_NS       (5 * CAROB_NS_PER_S)
#define DEALER_IDLE_NS (30 * CAROB_NS_PER_S)
#define ROUTE_IDLE_NS  (90 * CAROB_NS_PER_S)
#define DEALERS_MAX    512
#define ENDPOINT_MAX   (CAROB_ADDR_TEXT_MAX + 8)

static uint64_t now_ns(const carob_control_t *control)
{
	return carob_kernel_now_ns(control->kernel);
}

static void refuse_message(carob_control_t *control)
{
	control->counters.refused_message++;
}

static bool decode_message(carob_control_t *control, carob_control_msg_t *msg,
			   carob_str_t payload)
{
	control->counters.received++;
	control->counters.received_bytes += payload.len;
	if (carob_control_decode(msg, control->scratch, payload) == 0)
		return true;
	refuse_message(control);
	return false;
}

static void dispatch_message(carob_control_t *control,
			     const carob_control_msg_t *msg)
{
	if (msg->type == CAROB_CONTROL_STATUS_REQUEST ||
	    msg->type == CAROB_CONTROL_STATUS_REPLY || msg->from.id == 0)
		refuse_message(control);
	else
		control->handler->message(control->handler, msg);
}

static carob_control_route_t *find_route(const carob_control_t *control,
					 carob_instance_id_t id)
{
	carob_control_route_t *route;

	HASH_FIND(hh, control->routes, &id, sizeof(id), route);
	return route;
}

static void record_route(carob_control_t *control, carob_instance_id_t id)
{
	carob_control_route_t *route = find_route(control, id);

	if (!route) {
		route = calloc(1, sizeof(*route));
		if (!route)
			return;
		route->id = id;
		HASH_ADD(hh, control->routes, id, sizeof(route->id), route);
	}
	route->last_received_ns = now_ns(control);
}

static void remove_route(carob_control_t *control, carob_control_route_t *route)
{
	HASH_DEL(control->routes, route);
	free(route);
}

/*
 * The routing id of an instance contains its id, which must be the sender that
 * the message names. A tool has no such routing id; it sends as id 0, from
 * which only status requests are accepted.
 */
static void on_router(carob_zmq_socket_t *socket, const carob_str_t *frames,
		      size_t count)
{
	carob_control_t *control =
		CAROB_CONTAINER_OF(socket, carob_control_t, router);
	carob_instance_id_t sender = {0, 0};
	carob_control_msg_t msg;
	bool is_instance;

	if (count != 2) {
		refuse_message(control);
		return;
	}
	if (!decode_message(control, &msg, frames[1]))
		return;
	is_instance = carob_route_read(&sender, frames[0]);
	if (!carob_instance_id_eq(sender, msg.from)) {
		refuse_message(control);
		return;
	}
	if (is_instance)
		record_route(control, sender);
	if (msg.type == CAROB_CONTROL_STATUS_REQUEST)
		carob_control_send_status_reply(control, frames[0], &msg);
	else
		dispatch_message(control, &msg);
}

static void on_dealer(carob_zmq_socket_t *socket, const carob_str_t *frames,
		      size_t count)
{
	carob_control_dealer_t *dealer =
		CAROB_CONTAINER_OF(socket, carob_control_dealer_t, socket);
	carob_control_msg_t msg;

	if (count != 1)
		refuse_message(dealer->control);
	else if (decode_message(dealer->control, &msg, frames[0]))
		dispatch_message(dealer->control, &msg);
}

static int open_dealer_socket(carob_control_t *control,
			      carob_control_dealer_t *dealer)
{
	uint8_t route[CAROB_ROUTE_BYTES];
	carob_zmq_socket_t *socket = &dealer->socket;
	int error = carob_zmq_open(socket, control->context, ZMQ_DEALER);

	carob_route_write(route, control->self);
	if (!error)
		error = carob_control_limit_socket(socket);
	if (!error)
		error = carob_control_secure_client(socket, &control->keys);
	if (!error)
		error = carob_zmq_set_bytes(socket, ZMQ_ROUTING_ID, route,
					    sizeof(route));
	if (!error)
		error = carob_control_connect(socket, &dealer->addr,
					      &control->listen);
	if (!error)
		error = carob_zmq_watch(socket, control->base);
	if (error)
		carob_zmq_close(socket);
	return error;
}

static carob_control_dealer_t *find_dealer(carob_control_t *control,
					   const carob_addr_t *addr)
{
	carob_control_dealer_t *dealer = control->dealers;

	while (dealer && !carob_addr_eq(&dealer->addr, addr))
		dealer = dealer->next;
	return dealer;
}

static carob_control_dealer_t *open_dealer(carob_control_t *control,
					   const carob_addr_t *addr)
{
	carob_control_dealer_t *dealer;

	if (addr->family == 0 || control->dealer_count == DEALERS_MAX)
		return NULL;
	dealer = calloc(1, sizeof(*dealer));
	if (!dealer)
		return NULL;
	dealer->control = control;
	dealer->addr = *addr;
	dealer->socket.receive = on_dealer;
	if (open_dealer_socket(control, dealer) != 0) {
		free(dealer);
		return NULL;
	}
	dealer->next = control->dealers;
	control->dealers = dealer;
	control->dealer_count++;
	return dealer;
}

static int send_by_route(carob_control_t *control, carob_instance_id_t id,
			 carob_str_t payload)
{
	carob_control_route_t *route = find_route(control, id);
	uint8_t routing_id[CAROB_ROUTE_BYTES];
	carob_str_t frames[2] = {{(const char *)routing_id, sizeof(routing_id)},
				 payload};
	int error;

	if (!route)
		return CAROB_EUNAVAILABLE;
	carob_route_write(routing_id, id);
	error = carob_zmq_send(&control->router, frames, 2);
	if (error == CAROB_EUNAVAILABLE)
		remove_route(control, route);
	return error;
}

static int send_by_dealer(carob_control_t *control,
			  carob_control_dealer_t *dealer, carob_str_t payload)
{
	if (!dealer)
		return CAROB_EUNAVAILABLE;
	dealer->last_sent_ns = now_ns(control);
	return carob_zmq_send(&dealer->socket, &payload, 1);
}

static void send_msg(carob_control_port_t *port, const carob_control_peer_t *to,
		     const carob_control_msg_t *msg)
{
	carob_control_t *control =
		CAROB_CONTAINER_OF(port, carob_control_t, port);
	carob_control_dealer_t *dealer = find_dealer(control, &to->addr);
	int error;

	carob_buf_clear(&control->out);
	error = carob_control_encode(&control->out, msg);
	if (!error && !dealer && to->id.id != 0)
		error = send_by_route(control, to->id,
				      carob_buf_view(&control->out));
	else if (!error)
		error = CAROB_EUNAVAILABLE;
	if (error == CAROB_EUNAVAILABLE) {
		if (!dealer)
			dealer = open_dealer(control, &to->addr);
		error = send_by_dealer(control, dealer,
				       carob_buf_view(&control->out));
	}
	if (error) {
		control->counters.dropped++;
		return;
	}
	control->counters.sent++;
	control->counters.sent_bytes += control->out.len;
}

static const carob_control_port_ops_t port_ops = {send_msg};

static void close_dealer(carob_control_t *control,
			 carob_control_dealer_t *dealer)
{
	carob_zmq_close(&dealer->socket);
	free(dealer);
	control->dealer_count--;
}

static void close_idle_dealers(carob_control_t *control, uint64_t idle_ns)
{
	carob_control_dealer_t **link = &control->dealers;

	while (*link) {
		carob_control_dealer_t *dealer = *link;

		if (now_ns(control) - dealer->last_sent_ns < idle_ns) {
			link = &dealer->next;
			continue;
		}
		*link = dealer->next;
		close_dealer(control, dealer);
	}
}

static void remove_idle_routes(carob_control_t *control, uint64_t idle_ns)
{
	carob_control_route_t *route;
	carob_control_route_t *next;

	HASH_ITER (hh, control->routes, route, next)
		if (now_ns(control) - route->last_received_ns >= idle_ns)
			remove_route(control, route);
}

static void on_sweep(carob_timer_t *timer)
{
	carob_control_t *control =
		CAROB_CONTAINER_OF(timer, carob_control_t, sweep);

	close_idle_dealers(control, DEALER_IDLE_NS);
	remove_idle_routes(control, ROUTE_IDLE_NS);
	carob_timer_arm(control->kernel, timer, now_ns(control) + SWEEP_NS);
}

static int secure_server(carob_control_t *control)
{
	carob_zmq_socket_t *router = &control->router;
	int error = carob_zmq_set_int(router, ZMQ_CURVE_SERVER, 1);

	if (!error)
		error = carob_zmq_set_bytes(router, ZMQ_CURVE_SECRETKEY,
					    control->keys.secret_key,
					    sizeof(control->keys.secret_key));
	if (!error)
		error = carob_zmq_set_bytes(router, ZMQ_ZAP_DOMAIN,
					    CAROB_ZAP_DOMAIN,
					    sizeof(CAROB_ZAP_DOMAIN) - 1);
	return error;
}

static int bind_router(carob_control_t *control, const carob_addr_t *addr)
{
	char text[CAROB_ADDR_TEXT_MAX];
	char endpoint[ENDPOINT_MAX];

	carob_addr_format(text, addr);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", text);
	if (zmq_bind(control->router.handle, endpoint) != 0)
		return carob_error_set(CAROB_EIO,
				       "control channel cannot listen at %s: "
				       "%s",
				       text, zmq_strerror(zmq_errno()));
	return 0;
}

static int open_router(carob_control_t *control, const carob_addr_t *addr)
{
	carob_zmq_socket_t *router = &control->router;
	int error = carob_zmq_open(router, control->context, ZMQ_ROUTER);

	if (!error)
		error = carob_control_limit_socket(router);
	if (!error)
		error = carob_zmq_set_int(router, ZMQ_ROUTER_MANDATORY, 1);
	if (!error)
		error = carob_zmq_set_int(router, ZMQ_ROUTER_HANDOVER, 1);
	if (!error)
		error = secure_server(control);
	if (!error)
		error = carob_control_auth_monitor(&control->auth,
						   control->context,
						   control->base, router);
	if (!error)
		error = bind_router(control, addr);
	if (!error)
		error = carob_zmq_watch(router, control->base);
	return error;
}

static const carob_service_ops_t service_ops = {.name = "control"};

static int open_channel(carob_control_t *control,
			const carob_control_options_t *options)
{
	int error;

	control->scratch = malloc(sizeof(*control->scratch));
	control->context = zmq_ctx_new();
	if (!control->scratch || !control->context)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate control channel");
	error = carob_control_auth_init(&control->auth, control->context,
					control->base, &control->keys);
	if (!error)
		error = open_router(control, &options->listen);
	if (!error)
		error = carob_kernel_register(control->kernel,
					      &control->service);
	if (!error)
		error = carob_timer_arm(control->kernel, &control->sweep,
					now_ns(control) + SWEEP_NS);
	return error;
}

int carob_control_new(carob_control_t **out,
		      const carob_control_options_t *options)
{
	carob_control_t *control;
	int error;

	if (options->version != CAROB_CONTROL_OPTIONS_VERSION ||
	    !options->kernel || !options->loop || !options->secret ||
	    !options->handler || options->self.id == 0)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of control channel");
	control = calloc(1, sizeof(*control));
	if (!control)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate control channel");
	control->port.ops = &port_ops;
	control->service.ops = &service_ops;
	control->kernel = options->kernel;
	control->base = carob_loop_base(options->loop);
	control->handler = options->handler;
	control->self = options->self;
	control->listen = options->listen;
	control->router.receive = on_router;
	control->sweep.fire = on_sweep;
	carob_curve_keys_derive(&control->keys, options->secret);
	error = open_channel(control, options);
	if (error) {
		carob_control_free(control);
		return error;
	}
	*out = control;
	return 0;
}

void carob_control_free(carob_control_t *control)
{
	if (!control)
		return;
	carob_kernel_unregister(control->kernel, &control->service);
	carob_timer_cancel(control->kernel, &control->sweep);
	close_idle_dealers(control, 0);
	remove_idle_routes(control, 0);
	carob_zmq_close(&control->router);
	carob_control_auth_dispose(&control->auth);
	if (control->context)
		zmq_ctx_term(control->context);
	carob_curve_keys_wipe(&control->keys);
	carob_buf_dispose(&control->out);
	carob_buf_dispose(&control->json);
	free(control->scratch);
	free(control);
}

carob_control_port_t *carob_control_port(carob_control_t *control)
{
	return &control->port;
}

void carob_control_add_status(carob_control_t *control,
			      carob_status_provider_t *provider)
{
	provider->next = control->providers;
	control->providers = provider;
}

void carob_control_counters(carob_control_counters_t *out,
			    const carob_control_t *control)
{
	*out = control->counters;
	out->refused_key = control->auth.failed_handshakes;
	out->dealers = control->dealer_count;
	out->routes = HASH_COUNT(control->routes);
}
