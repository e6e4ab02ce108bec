#include "net/udp.h"

#include "carobtrail/clock.h"
#include "carobtrail/errors.h"
#include "net/sockaddr.h"

#include <errno.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BATCH		    32 /* datagrams per system call */
#define BATCHES_PER_ROUND   4
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)
#define MS_PER_S	    1000

/* Buffer for the control message with a datagram's time of arrival. */
typedef union timestamp {
	struct cmsghdr header;
	uint8_t bytes[CMSG_SPACE(sizeof(struct timespec))];
} timestamp_t;

/* Datagrams of one direction, in the form that recvmmsg and sendmmsg use. */
typedef struct batch {
	struct mmsghdr headers[BATCH];
	struct iovec vectors[BATCH];
	struct sockaddr_storage addrs[BATCH];
	uint8_t data[BATCH][CAROB_UDP_BYTES_MAX];
	timestamp_t timestamps[BATCH]; /* times of arrival; unused in `out` */
} batch_t;

struct carob_udp_hub {
	struct event_base *base;
	struct event *flush_event;
	carob_udp_counters_t counters;
	uint32_t age_ms; /* age of the datagram being handled */
	size_t queued;
	carob_udp_t *senders[BATCH];
	batch_t out;
	batch_t in;
};

struct carob_udp {
	carob_udp_hub_t *hub;
	carob_udp_handler_t *handler;
	struct event *event;
	int fd;
	/* Flag that carob_udp_close sets if it is called in on_readable; NULL
	 * at other times. */
	bool *closed;
};

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	carob_udp_hub_flush(arg);
}

static void init_batch(batch_t *batch)
{
	for (size_t i = 0; i < BATCH; i++) {
		struct msghdr *header = &batch->headers[i].msg_hdr;

		batch->vectors[i].iov_base = batch->data[i];
		header->msg_iov = &batch->vectors[i];
		header->msg_iovlen = 1;
		header->msg_name = &batch->addrs[i];
	}
}

int carob_udp_hub_new(carob_udp_hub_t **out, struct event_base *base)
{
	carob_udp_hub_t *hub = calloc(1, sizeof(*hub));

	if (!hub)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate UDP buffers");
	hub->base = base;
	init_batch(&hub->out);
	init_batch(&hub->in);
	hub->flush_event = event_new(base, -1, 0, on_flush, hub);
	if (!hub->flush_event) {
		free(hub);
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate UDP flush event");
	}
	*out = hub;
	return 0;
}

void carob_udp_hub_free(carob_udp_hub_t *hub)
{
	if (!hub)
		return;
	carob_udp_hub_flush(hub);
	event_free(hub->flush_event);
	free(hub);
}

const carob_udp_counters_t *carob_udp_hub_counters(const carob_udp_hub_t *hub)
{
	return &hub->counters;
}

/* Sends the queued datagrams [first, end), which belong to one socket. A
 * datagram that the system refuses is counted and skipped, since UDP may lose
 * datagrams anyway. */
static void send_range(carob_udp_hub_t *hub, size_t first, size_t end)
{
	int fd = hub->senders[first]->fd;

	while (first < end) {
		int sent = sendmmsg(fd, &hub->out.headers[first],
				    (unsigned int)(end - first), 0);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0) {
			hub->counters.send_failed++;
			first++;
			continue;
		}
		hub->counters.sent += (uint64_t)sent;
		first += (size_t)sent;
	}
}

void carob_udp_hub_flush(carob_udp_hub_t *hub)
{
	size_t first = 0;

	for (size_t i = 1; i <= hub->queued; i++) {
		if (i < hub->queued && hub->senders[i] == hub->senders[first])
			continue;
		send_range(hub, first, i);
		first = i;
	}
	hub->queued = 0;
}

void carob_udp_send(carob_udp_t *udp, const carob_addr_t *to, const void *data,
		    size_t len)
{
	carob_udp_hub_t *hub = udp->hub;
	size_t slot;

	if (len > CAROB_UDP_BYTES_MAX) {
		hub->counters.send_failed++;
		return;
	}
	if (hub->queued == BATCH)
		carob_udp_hub_flush(hub);
	if (hub->queued == 0)
		event_active(hub->flush_event, EV_TIMEOUT, 0);
	slot = hub->queued++;
	hub->senders[slot] = udp;
	memcpy(hub->out.data[slot], data, len);
	hub->out.vectors[slot].iov_len = len;
	hub->out.headers[slot].msg_hdr.msg_namelen =
		carob_sockaddr_from(&hub->out.addrs[slot], to);
}

uint32_t carob_udp_hub_age_ms(const carob_udp_hub_t *hub)
{
	return hub->age_ms;
}

/* @return how long ago a datagram arrived, in milliseconds, by the wall-clock
 * time stamp of the system; 0 if there is no time stamp */
static uint32_t datagram_age_ms(struct msghdr *header, uint64_t now_ms)
{
	struct cmsghdr *cmsg = CMSG_FIRSTHDR(header);
	struct timespec stamp;
	uint64_t stamp_ms;

	if (!cmsg || cmsg->cmsg_type != SCM_TIMESTAMPNS)
		return 0;
	memcpy(&stamp, CMSG_DATA(cmsg), sizeof(stamp));
	stamp_ms = (uint64_t)stamp.tv_sec * MS_PER_S +
		   (uint64_t)stamp.tv_nsec / CAROB_NS_PER_MS;
	return stamp_ms < now_ms ? (uint32_t)(now_ms - stamp_ms) : 0;
}

static int receive_batch(carob_udp_t *udp)
{
	batch_t *in = &udp->hub->in;

	for (size_t i = 0; i < BATCH; i++) {
		in->vectors[i].iov_len = CAROB_UDP_BYTES_MAX;
		in->headers[i].msg_hdr.msg_namelen = sizeof(in->addrs[i]);
		in->headers[i].msg_hdr.msg_control = &in->timestamps[i];
		in->headers[i].msg_hdr.msg_controllen =
			sizeof(in->timestamps[i]);
	}
	return recvmmsg(udp->fd, in->headers, BATCH, MSG_DONTWAIT, NULL);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	carob_udp_t *udp = arg;
	batch_t *in = &udp->hub->in;
	bool closed = false;
	int count = BATCH;

	(void)fd;
	(void)what;
	udp->closed = &closed;
	for (int round = 0; round < BATCHES_PER_ROUND && count == BATCH;
	     round++) {
		uint64_t now_ms;

		count = receive_batch(udp);
		now_ms = carob_clock_wall_ms(carob_clock_system());
		for (int i = 0; i < count && !closed; i++) {
			carob_addr_t from;

			carob_sockaddr_to(&from, &in->addrs[i]);
			udp->hub->counters.received++;
			udp->hub->age_ms = datagram_age_ms(
				&in->headers[i].msg_hdr, now_ms);
			udp->handler->receive(
				udp->handler, &from,
				(carob_str_t){(char *)in->data[i],
					      in->headers[i].msg_len});
		}
		if (closed)
			return;
	}
	udp->closed = NULL;
}

static int open_socket(int *out, const carob_addr_t *local)
{
	static const int buffer_bytes = SOCKET_BUFFER_BYTES;
	static const int on = 1;
	char text[CAROB_ADDR_TEXT_MAX];
	struct sockaddr_storage sa;
	socklen_t len = carob_sockaddr_from(&sa, local);
	int fd;

	carob_addr_format(text, local);
	fd = socket(sa.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return carob_error_set(CAROB_EIO,
				       "cannot open UDP socket for %s: %s",
				       text, strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, len) != 0) {
		int error = errno;

		close(fd);
		return carob_error_set(CAROB_EIO,
				       "cannot bind UDP socket to %s: %s", text,
				       strerror(error));
	}
	*out = fd;
	return 0;
}

int carob_udp_open(carob_udp_t **out, carob_udp_hub_t *hub,
		   const carob_addr_t *local, carob_udp_handler_t *handler)
{
	carob_udp_t *udp = calloc(1, sizeof(*udp));
	int error;

	if (!udp)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate UDP socket");
	udp->hub = hub;
	udp->handler = handler;
	error = open_socket(&udp->fd, local);
	if (error) {
		free(udp);
		return error;
	}
	udp->event = event_new(hub->base, udp->fd, EV_READ | EV_PERSIST,
			       on_readable, udp);
	if (!udp->event || event_add(udp->event, NULL) != 0) {
		carob_udp_close(udp);
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate UDP socket event");
	}
	*out = udp;
	return 0;
}

int carob_udp_set_receiving(carob_udp_t *udp, bool receiving)
{
	int failed = receiving ? event_add(udp->event, NULL)
			       : event_del(udp->event);

	if (failed)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot change a UDP socket event");
	return 0;
}

void carob_udp_close(carob_udp_t *udp)
{
	if (!udp)
		return;
	carob_udp_hub_flush(udp->hub);
	if (udp->closed)
		*udp->closed = true;
	if (udp->event)
		event_free(udp->event);
	close(udp->fd);
	free(udp);
}

carob_addr_t carob_udp_local(const carob_udp_t *udp)
{
	struct sockaddr_storage sa = {0};
	socklen_t len = sizeof(sa);
	carob_addr_t addr;

	getsockname(udp->fd, (struct sockaddr *)&sa, &len);
	carob_sockaddr_to(&addr, &sa);
	return addr;
}
