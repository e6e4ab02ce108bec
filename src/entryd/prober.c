#include "prober.h"

#include "carobtrail/errors.h"
#include "cluster.h"
#include "core.h"
#include "net/coap_codec.h"

#include <coap3/coap.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

typedef struct prober {
	carob_service_t service;
	carob_health_port_t port;
	carob_udp_handler_t handler;
	carob_manifest_subscriber_t subscriber;
	entryd_core_t *core;
	carob_health_t *health;
	carob_udp_t *udp;
	uint16_t next_mid;
} prober_t;

static prober_t *from_port(carob_health_port_t *port)
{
	return CAROB_CONTAINER_OF(port, prober_t, port);
}

static void prober_free(carob_service_t *service)
{
	prober_t *prober = (prober_t *)service;

	carob_health_free(prober->health);
	carob_udp_close(prober->udp);
	free(prober);
}

/* Sends a probe; its CoAP token is the number of the probe. */
static void send_probe(carob_health_port_t *port,
		       const carob_manifest_upstream_t *upstream,
		       bool reports_load, uint64_t probe)
{
	prober_t *prober = from_port(port);
	uint8_t data[CAROB_MSG_BYTES_MAX];
	carob_msg_t msg = {
		.type = CAROB_MSG_NON,
		.code = CAROB_CODE_GET,
		.mid = prober->next_mid++,
		.token_len = sizeof(probe),
		.other_count = 1,
		.other = {{COAP_OPTION_URI_PATH, CAROB_STR("health")}},
	};
	size_t len;

	memcpy(msg.token, &probe, sizeof(probe));
	if (reports_load)
		msg.other[0].value = CAROB_STR("load");
	if (carob_coap_encode(data, &len, sizeof(data), &msg) == 0)
		carob_udp_send(prober->udp, &upstream->addr, data, len);
}

static void report_to_scheduler(carob_health_port_t *port,
				const carob_load_report_t *result)
{
	carob_scheduler_on_report(from_port(port)->core->scheduler, result);
}

static void report_to_partner(carob_health_port_t *port, carob_instance_id_t to,
			      const carob_load_report_t *result)
{
	carob_kernel_t *kernel = from_port(port)->service.kernel;

	carob_cluster_send_reports(entryd_cluster_find(kernel), to, result, 1);
}

static const carob_health_port_ops_t port_ops = {
	send_probe, report_to_scheduler, report_to_partner};

static uint32_t get_uint(const json_t *object, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(object, key));

	return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

static bool read_load(carob_load_report_t *out, carob_str_t payload)
{
	json_t *root = json_loadb(payload.ptr, payload.len, 0, NULL);

	if (!json_is_object(root)) {
		json_decref(root);
		return false;
	}
	out->in_use = get_uint(root, "in_use");
	out->feeds = get_uint(root, "feeds");
	out->age_ms = get_uint(root, "age_ms");
	out->healthy = !json_is_false(json_object_get(root, "healthy"));
	json_decref(root);
	return true;
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	prober_t *prober = CAROB_CONTAINER_OF(handler, prober_t, handler);
	carob_load_report_t result = {.healthy = false};
	carob_msg_t msg;
	uint64_t probe;
	uint8_t refusal;

	if (carob_coap_decode(&msg, &refusal, data.ptr, data.len) != 0 ||
	    msg.token_len != sizeof(probe) || !carob_msg_is_response(&msg))
		return;
	memcpy(&probe, msg.token, sizeof(probe));
	result.healthy = msg.code == CAROB_CODE_CONTENT;
	if (result.healthy && msg.payload.len > 0 &&
	    !read_load(&result, msg.payload))
		return;
	carob_health_on_answer(prober->health, probe, from, &result);
}

static int apply_manifest(carob_manifest_subscriber_t *subscriber,
			  const carob_generation_t *generation)
{
	prober_t *prober = CAROB_CONTAINER_OF(subscriber, prober_t, subscriber);

	carob_health_set_manifest(prober->health, generation->manifest);
	return 0;
}

static int prober_start(carob_service_t *service)
{
	return carob_health_start(((prober_t *)service)->health);
}

static const carob_service_ops_t prober_ops = {
	.name = ENTRYD_PROBER,
	.start = prober_start,
	.free = prober_free,
};

static int new_health(prober_t *prober, carob_kernel_t *kernel)
{
	carob_health_options_t options = CAROB_HEALTH_OPTIONS_INIT;

	prober->port.ops = &port_ops;
	options.kernel = kernel;
	options.membership = prober->core->membership;
	options.port = &prober->port;
	return carob_health_new(&prober->health, &options);
}

int entryd_prober_register(carob_kernel_t *kernel, carob_udp_hub_t *hub,
			   const carob_addr_t *ip)
{
	prober_t *prober = calloc(1, sizeof(*prober));
	int error;

	if (!prober)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the prober");
	prober->service.ops = &prober_ops;
	prober->handler.receive = on_datagram;
	prober->subscriber.apply = apply_manifest;
	prober->core = entryd_core_find(kernel);
	error = new_health(prober, kernel);
	if (!error)
		error = carob_udp_open(&prober->udp, hub, ip, &prober->handler);
	if (!error)
		error = carob_kernel_register(kernel, &prober->service);
	if (error) {
		prober_free(&prober->service);
		return error;
	}
	return carob_manifest_store_subscribe(prober->core->store,
					      &prober->subscriber);
}

carob_health_t *entryd_prober_health(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_PROBER);
	return ((prober_t *)service)->health;
}
