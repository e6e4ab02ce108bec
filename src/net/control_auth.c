#include "net/control_auth.h"

#include "carobtrail/errors.h"

#include <sodium.h>
#include <string.h>
#include <zmq.h>

#define ZAP_ENDPOINT	 "inproc://zeromq.zap.01"
#define MONITOR_ENDPOINT "inproc://carobtrail.monitor"
#define ZAP_FRAMES	 7 /* the client's key is the only credential */
#define FAILED_HANDSHAKES                                                      \
	(ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |                                \
	 ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |                                 \
	 ZMQ_EVENT_HANDSHAKE_FAILED_AUTH)

/* Positions of the frames in a ZAP request (RFC 27). */
typedef enum zap_frame {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_DOMAIN,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_CLIENT_KEY,
} zap_frame_t;

static bool is_admitted(const carob_control_auth_t *auth,
			const carob_str_t *frames, size_t count)
{
	return count == ZAP_FRAMES &&
	       carob_str_eq(frames[ZAP_VERSION], CAROB_STR("1.0")) &&
	       carob_str_eq(frames[ZAP_DOMAIN], CAROB_STR(CAROB_ZAP_DOMAIN)) &&
	       carob_str_eq(frames[ZAP_MECHANISM], CAROB_STR("CURVE")) &&
	       frames[ZAP_CLIENT_KEY].len == sizeof(auth->public_key) &&
	       sodium_memcmp(frames[ZAP_CLIENT_KEY].ptr, auth->public_key,
			     sizeof(auth->public_key)) == 0;
}

static void on_zap(carob_zmq_socket_t *socket, const carob_str_t *frames,
		   size_t count)
{
	carob_control_auth_t *auth =
		CAROB_CONTAINER_OF(socket, carob_control_auth_t, zap);
	bool admitted = is_admitted(auth, frames, count);
	const carob_str_t reply[] = {
		CAROB_STR("1.0"),
		count > ZAP_REQUEST_ID ? frames[ZAP_REQUEST_ID] : CAROB_STR(""),
		admitted ? CAROB_STR("200") : CAROB_STR("400"),
		CAROB_STR(""), /* status text */
		CAROB_STR(""), /* user id */
		CAROB_STR(""), /* metadata */
	};

	carob_zmq_send(socket, reply, CAROB_ARRAY_SIZE(reply));
}

static void on_monitor(carob_zmq_socket_t *socket, const carob_str_t *frames,
		       size_t count)
{
	carob_control_auth_t *auth =
		CAROB_CONTAINER_OF(socket, carob_control_auth_t, monitor);

	(void)frames;
	if (count > 0)
		auth->failed_handshakes++;
}

int carob_control_auth_init(carob_control_auth_t *auth, void *context,
			    struct event_base *base,
			    const carob_curve_keys_t *keys)
{
	int error;

	memcpy(auth->public_key, keys->public_key, sizeof(auth->public_key));
	auth->zap.receive = on_zap;
	auth->monitor.receive = on_monitor;
	error = carob_zmq_open(&auth->zap, context, ZMQ_REP);
	if (error)
		return error;
	if (zmq_bind(auth->zap.handle, ZAP_ENDPOINT) != 0)
		return carob_error_set(CAROB_EIO, "cannot bind ZAP handler: %s",
				       zmq_strerror(zmq_errno()));
	return carob_zmq_watch(&auth->zap, base);
}

int carob_control_auth_monitor(carob_control_auth_t *auth, void *context,
			       struct event_base *base,
			       carob_zmq_socket_t *server)
{
	int error;

	if (zmq_socket_monitor(server->handle, MONITOR_ENDPOINT,
			       FAILED_HANDSHAKES) != 0)
		return carob_error_set(CAROB_EIO,
				       "cannot start ZeroMQ monitor: %s",
				       zmq_strerror(zmq_errno()));
	error = carob_zmq_open(&auth->monitor, context, ZMQ_PAIR);
	if (error)
		return error;
	if (zmq_connect(auth->monitor.handle, MONITOR_ENDPOINT) != 0)
		return carob_error_set(CAROB_EIO,
				       "cannot connect to ZeroMQ monitor: %s",
				       zmq_strerror(zmq_errno()));
	return carob_zmq_watch(&auth->monitor, base);
}

void carob_control_auth_dispose(carob_control_auth_t *auth)
{
	carob_zmq_close(&auth->monitor);
	carob_zmq_close(&auth->zap);
}
