#include "net/control_peers.h"

#include "carobtrail/errors.h"

#include <stdio.h>
#include <zmq.h>

#define QUEUE_MESSAGES	     256 /* queue length per peer and direction */
#define RECONNECT_MS	     200
#define RECONNECT_MAX_MS     5000
#define ACK_TIMEOUT_MS	     15000 /* TCP then closes the connection */
#define HANDSHAKE_TIMEOUT_MS 10000
#define LINGER_MS	     100 /* wait for queued messages when closing */
#define ENDPOINT_MAX	     (2 * CAROB_ADDR_TEXT_MAX + 8)

static void write_u32(uint8_t *out, uint32_t value)
{
	for (int i = 0; i < 4; i++)
		out[i] = (uint8_t)(value >> (24 - 8 * i));
}

static uint32_t read_u32(const char *in)
{
	uint32_t value = 0;

	for (int i = 0; i < 4; i++)
		value = value << 8 | (uint8_t)in[i];
	return value;
}

void carob_route_write(uint8_t out[CAROB_ROUTE_BYTES], carob_instance_id_t id)
{
	out[0] = CAROB_ROUTE_INSTANCE;
	write_u32(out + 1, id.id);
	write_u32(out + 5, id.incarnation);
}

bool carob_route_read(carob_instance_id_t *out, carob_str_t route)
{
	if (route.len != CAROB_ROUTE_BYTES ||
	    route.ptr[0] != CAROB_ROUTE_INSTANCE)
		return false;
	out->id = read_u32(route.ptr + 1);
	out->incarnation = read_u32(route.ptr + 5);
	return true;
}

int carob_control_limit_socket(carob_zmq_socket_t *socket)
{
	static const struct {
		int option;
		int value;
	} limits[] = {
		{ZMQ_SNDHWM, QUEUE_MESSAGES},
		{ZMQ_RCVHWM, QUEUE_MESSAGES},
		{ZMQ_LINGER, LINGER_MS},
		{ZMQ_RECONNECT_IVL, RECONNECT_MS},
		{ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS},
		{ZMQ_TCP_MAXRT, ACK_TIMEOUT_MS},
		{ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS},
		{ZMQ_IPV6, 1},
	};
	int64_t size = CAROB_CONTROL_MESSAGE_MAX;
	int error = carob_zmq_set_bytes(socket, ZMQ_MAXMSGSIZE, &size,
					sizeof(size));

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(limits) && !error; i++)
		error = carob_zmq_set_int(socket, limits[i].option,
					  limits[i].value);
	return error;
}

int carob_control_secure_client(carob_zmq_socket_t *socket,
				const carob_curve_keys_t *keys)
{
	int error = carob_zmq_set_bytes(socket, ZMQ_CURVE_SERVERKEY,
					keys->public_key,
					sizeof(keys->public_key));

	if (!error)
		error = carob_zmq_set_bytes(socket, ZMQ_CURVE_PUBLICKEY,
					    keys->public_key,
					    sizeof(keys->public_key));
	if (!error)
		error = carob_zmq_set_bytes(socket, ZMQ_CURVE_SECRETKEY,
					    keys->secret_key,
					    sizeof(keys->secret_key));
	return error;
}

int carob_control_connect(carob_zmq_socket_t *socket, const carob_addr_t *addr,
			  const carob_addr_t *source)
{
	char text[CAROB_ADDR_TEXT_MAX];
	char source_text[CAROB_ADDR_TEXT_MAX] = "";
	char endpoint[ENDPOINT_MAX];
	carob_addr_t source_host;

	carob_addr_format(text, addr);
	if (source) {
		source_host = *source;
		source_host.port = 0;
		carob_addr_format(source_text, &source_host);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s%s%s", source_text,
		 source ? ";" : "", text);
	if (zmq_connect(socket->handle, endpoint) != 0)
		return carob_error_set(CAROB_EIO, "cannot connect to %s: %s",
				       text, zmq_strerror(zmq_errno()));
	return 0;
}
