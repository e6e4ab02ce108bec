#include "net/zmq_socket.h"

#include "carobtrail/errors.h"

#include <errno.h>
#include <event2/event.h>
#include <zmq.h>

/* Bounds the time in one callback, so that other events are handled too. */
#define MESSAGES_PER_ROUND 64

static int set_zmq_error(const char *what)
{
	return carob_error_set(CAROB_EIO, "ZeroMQ cannot %s: %s", what,
			       zmq_strerror(zmq_errno()));
}

int carob_zmq_open(carob_zmq_socket_t *socket, void *context, int type)
{
	socket->readable = NULL;
	socket->recheck = NULL;
	socket->handle = zmq_socket(context, type);
	return socket->handle ? 0 : set_zmq_error("open a socket");
}

int carob_zmq_set_int(carob_zmq_socket_t *socket, int option, int value)
{
	return zmq_setsockopt(socket->handle, option, &value, sizeof(value)) ==
			       0
		       ? 0
		       : set_zmq_error("set a socket option");
}

int carob_zmq_set_bytes(carob_zmq_socket_t *socket, int option, const void *ptr,
			size_t len)
{
	return zmq_setsockopt(socket->handle, option, ptr, len) == 0
		       ? 0
		       : set_zmq_error("set a socket option");
}

static bool is_readable(carob_zmq_socket_t *socket)
{
	int events = 0;
	size_t len = sizeof(events);

	return zmq_getsockopt(socket->handle, ZMQ_EVENTS, &events, &len) == 0 &&
	       (events & ZMQ_POLLIN);
}

/*
 * Receives all frames of a message and keeps the first CAROB_ZMQ_FRAMES_MAX.
 * Returns the number received, also if it is more than that.
 */
static size_t receive_frames(carob_zmq_socket_t *socket, zmq_msg_t *frames)
{
	zmq_msg_t surplus;
	size_t count = 0;
	int more = 1;

	while (more) {
		zmq_msg_t *frame = count < CAROB_ZMQ_FRAMES_MAX ? &frames[count]
								: &surplus;

		zmq_msg_init(frame);
		if (zmq_msg_recv(frame, socket->handle, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(frame);
			break;
		}
		more = zmq_msg_more(frame);
		if (frame == &surplus)
			zmq_msg_close(frame);
		count++;
	}
	return count;
}

static void receive_one(carob_zmq_socket_t *socket)
{
	zmq_msg_t frames[CAROB_ZMQ_FRAMES_MAX];
	carob_str_t views[CAROB_ZMQ_FRAMES_MAX];
	size_t count = receive_frames(socket, frames);
	size_t kept = count < CAROB_ZMQ_FRAMES_MAX ? count
						   : CAROB_ZMQ_FRAMES_MAX;

	for (size_t i = 0; i < kept; i++)
		views[i] = (carob_str_t){zmq_msg_data(&frames[i]),
					 zmq_msg_size(&frames[i])};
	if (count > 0 && count <= CAROB_ZMQ_FRAMES_MAX)
		socket->receive(socket, views, count);
	for (size_t i = 0; i < kept; i++)
		zmq_msg_close(&frames[i]);
}

static void drain_socket(carob_zmq_socket_t *socket)
{
	for (int i = 0; i < MESSAGES_PER_ROUND; i++) {
		if (!is_readable(socket))
			return;
		receive_one(socket);
	}
	event_active(socket->recheck, EV_READ, 0);
}

static void on_event(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	drain_socket(context);
}

int carob_zmq_watch(carob_zmq_socket_t *socket, struct event_base *base)
{
	evutil_socket_t fd = -1;
	size_t len = sizeof(fd);

	if (zmq_getsockopt(socket->handle, ZMQ_FD, &fd, &len) != 0)
		return set_zmq_error("get the descriptor of a socket");
	socket->readable =
		event_new(base, fd, EV_READ | EV_PERSIST, on_event, socket);
	socket->recheck = event_new(base, -1, EV_PERSIST, on_event, socket);
	if (!socket->readable || !socket->recheck ||
	    event_add(socket->readable, NULL) != 0)
		return carob_error_set(
			CAROB_EIO,
			"cannot create the events of a ZeroMQ socket");
	event_active(socket->recheck, EV_READ, 0);
	return 0;
}

static int send_error(void)
{
	switch (zmq_errno()) {
	case EHOSTUNREACH:
		return CAROB_EUNAVAILABLE;
	case EAGAIN:
		return CAROB_ELIMIT;
	default:
		return CAROB_EIO;
	}
}

int carob_zmq_send(carob_zmq_socket_t *socket, const carob_str_t *frames,
		   size_t count)
{
	int error = 0;

	for (size_t i = 0; i < count && !error; i++) {
		int flags = ZMQ_DONTWAIT;

		if (i + 1 < count)
			flags |= ZMQ_SNDMORE;
		if (zmq_send(socket->handle, frames[i].ptr, frames[i].len,
			     flags) < 0)
			error = send_error();
	}
	if (socket->recheck)
		event_active(socket->recheck, EV_READ, 0);
	return error;
}

void carob_zmq_close(carob_zmq_socket_t *socket)
{
	if (!socket->handle)
		return;
	if (socket->readable)
		event_free(socket->readable);
	if (socket->recheck)
		event_free(socket->recheck);
	zmq_close(socket->handle);
	socket->handle = NULL;
	socket->readable = NULL;
	socket->recheck = NULL;
}
