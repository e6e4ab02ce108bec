#include "net/control.h"

#include "carobtrail/errors.h"
#include "net/control_codec.h"
#include "net/control_peers.h"

#include <stdlib.h>
#include <zmq.h>

/* Resources of one query. Fields that are not set up yet are empty. */
typedef struct query {
	void *context;
	carob_zmq_socket_t socket;
	carob_buf_t out;
	carob_control_scratch_t *scratch;
	zmq_msg_t reply;
} query_t;

static void dispose_query(query_t *q)
{
	zmq_msg_close(&q->reply);
	carob_zmq_close(&q->socket);
	if (q->context)
		zmq_ctx_term(q->context);
	carob_buf_dispose(&q->out);
	free(q->scratch);
}

static int connect_query(query_t *q, const carob_addr_t *addr,
			 const uint8_t *secret)
{
	carob_curve_keys_t keys;
	int error;

	q->context = zmq_ctx_new();
	q->scratch = malloc(sizeof(*q->scratch));
	if (!q->context || !q->scratch)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate status query");
	carob_curve_keys_derive(&keys, secret);
	error = carob_zmq_open(&q->socket, q->context, ZMQ_DEALER);
	if (!error)
		error = carob_control_limit_socket(&q->socket);
	if (!error)
		error = carob_control_secure_client(&q->socket, &keys);
	if (!error)
		error = carob_control_connect(&q->socket, addr, NULL);
	carob_curve_keys_wipe(&keys);
	return error;
}

static int send_request(query_t *q, carob_str_t query)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_STATUS_REQUEST};
	carob_str_t frame;
	int error;

	msg.status.request = 1;
	msg.status.query = query;
	error = carob_control_encode(&q->out, &msg);
	frame = carob_buf_view(&q->out);
	return error ? error : carob_zmq_send(&q->socket, &frame, 1);
}

static int read_reply(carob_buf_t *json, query_t *q)
{
	carob_str_t bytes = {zmq_msg_data(&q->reply), zmq_msg_size(&q->reply)};
	carob_control_msg_t msg;
	int error = carob_control_decode(&msg, q->scratch, bytes);

	if (error)
		return error;
	if (msg.type != CAROB_CONTROL_STATUS_REPLY)
		return carob_error_set(CAROB_EFORMAT,
				       "reply to a status request has another "
				       "type");
	if (msg.status.result != 0)
		return carob_error_set(msg.status.result, "%.*s",
				       (int)msg.status.json.len,
				       msg.status.json.ptr);
	return carob_buf_append(json, msg.status.json.ptr, msg.status.json.len);
}

static int wait_reply(carob_buf_t *json, query_t *q, uint32_t timeout_ms)
{
	zmq_pollitem_t item = {.socket = q->socket.handle,
			       .events = ZMQ_POLLIN};

	if (zmq_poll(&item, 1, timeout_ms) <= 0 ||
	    zmq_msg_recv(&q->reply, q->socket.handle, ZMQ_DONTWAIT) < 0)
		return carob_error_set(CAROB_EUNAVAILABLE,
				       "no reply to a status request within "
				       "%u ms",
				       timeout_ms);
	return read_reply(json, q);
}

int carob_control_query(carob_buf_t *json, const carob_addr_t *addr,
			const uint8_t *secret, carob_str_t query,
			uint32_t timeout_ms)
{
	query_t q = {.context = NULL};
	int error;

	zmq_msg_init(&q.reply);
	error = connect_query(&q, addr, secret);
	if (!error)
		error = send_request(&q, query);
	if (!error)
		error = wait_reply(json, &q, timeout_ms);
	dispose_query(&q);
	return error;
}
