#include "tcp_relay.h"

#include "carobtrail/errors.h"
#include "net/sockaddr.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define QUEUE_BYTES_MAX (256 * 1024)

typedef struct connection connection_t;

struct connection {
	tcp_relay_t *relay;
	carob_addr_t client_addr;
	struct bufferevent *client;
	struct bufferevent *target;
	bool connected; /* connected to the target, or connecting */
	bool ended;	/* one end has closed; flush to the other, then close */
	connection_t *prev;
	connection_t *next;
};

struct tcp_relay {
	struct event_base *base;
	const fabric_links_t *links;
	carob_addr_t target;
	struct evconnlistener *listener;
	connection_t *connections;
};

static void close_connection(connection_t *connection)
{
	DL_DELETE(connection->relay->connections, connection);
	bufferevent_free(connection->client);
	bufferevent_free(connection->target);
	free(connection);
}

static struct bufferevent *other_end(const connection_t *connection,
				     const struct bufferevent *bev)
{
	return bev == connection->client ? connection->target
					 : connection->client;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct bufferevent *peer = other_end(arg, bev);

	evbuffer_add_buffer(bufferevent_get_output(peer),
			    bufferevent_get_input(bev));
	if (evbuffer_get_length(bufferevent_get_output(peer)) > QUEUE_BYTES_MAX)
		bufferevent_disable(bev, EV_READ);
}

/* Returns whether data that arrives at one end is held back. */
static bool is_held(const connection_t *connection,
		    const struct bufferevent *from)
{
	const carob_addr_t *client = &connection->client_addr;
	const carob_addr_t *target = &connection->relay->target;

	if (from == connection->client)
		return fabric_links_is_cut(connection->relay->links, client,
					   target);
	return fabric_links_is_cut(connection->relay->links, target, client);
}

static void on_write(struct bufferevent *bev, void *arg)
{
	connection_t *connection = arg;

	if (connection->ended)
		close_connection(connection);
	else if (!is_held(connection, other_end(connection, bev)))
		bufferevent_enable(other_end(connection, bev), EV_READ);
}

/* Data that one end sent before it closed is still delivered to the other. */
static void on_event(struct bufferevent *bev, short what, void *arg)
{
	connection_t *connection = arg;
	struct bufferevent *peer = other_end(connection, bev);

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	if (what & BEV_EVENT_EOF &&
	    evbuffer_get_length(bufferevent_get_output(peer)) > 0)
		connection->ended = true;
	else
		close_connection(connection);
}

static void connect_target(connection_t *connection)
{
	struct sockaddr_storage sa;
	socklen_t len = carob_sockaddr_from(&sa, &connection->relay->target);

	connection->connected = true;
	bufferevent_socket_connect(connection->target, (struct sockaddr *)&sa,
				   (int)len);
}

/* Stalls or resumes the direction from one end to the other. */
static void update_direction(const connection_t *connection,
			     struct bufferevent *from)
{
	struct bufferevent *to = other_end(connection, from);

	if (is_held(connection, from)) {
		bufferevent_disable(from, EV_READ);
		bufferevent_disable(to, EV_WRITE);
		return;
	}
	bufferevent_enable(from, EV_READ);
	bufferevent_enable(to, EV_WRITE);
}

/* A connection needs both directions to be opened. */
static void update_connection(connection_t *connection)
{
	bool cut = is_held(connection, connection->client) ||
		   is_held(connection, connection->target);

	update_direction(connection, connection->client);
	update_direction(connection, connection->target);
	if (!connection->connected && !cut)
		connect_target(connection);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	connection_t *connection = calloc(1, sizeof(*connection));
	tcp_relay_t *relay = arg;
	struct sockaddr_storage storage = {0};

	(void)listener;
	if (!connection) {
		evutil_closesocket(fd);
		return;
	}
	memcpy(&storage, sa, (size_t)len);
	connection->relay = relay;
	carob_sockaddr_to(&connection->client_addr, &storage);
	connection->client =
		bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
	connection->target =
		bufferevent_socket_new(relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
	DL_APPEND(relay->connections, connection);
	bufferevent_setcb(connection->client, on_read, on_write, on_event,
			  connection);
	bufferevent_setcb(connection->target, on_read, on_write, on_event,
			  connection);
	update_connection(connection);
}

int tcp_relay_open(tcp_relay_t **out, struct event_base *base,
		   const fabric_links_t *links, const carob_addr_t *listen,
		   const carob_addr_t *target)
{
	tcp_relay_t *relay = calloc(1, sizeof(*relay));
	char text[CAROB_ADDR_TEXT_MAX];
	struct sockaddr_storage sa;
	socklen_t len = carob_sockaddr_from(&sa, listen);

	if (!relay)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate TCP relay");
	relay->base = base;
	relay->links = links;
	relay->target = *target;
	relay->listener = evconnlistener_new_bind(
		base, on_accept, relay,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE,
		-1, (struct sockaddr *)&sa, (int)len);
	if (!relay->listener) {
		free(relay);
		carob_addr_format(text, listen);
		return carob_error_set(CAROB_EIO, "cannot listen on %s: %s",
				       text, strerror(errno));
	}
	*out = relay;
	return 0;
}

void tcp_relay_close(tcp_relay_t *relay)
{
	if (!relay)
		return;
	while (relay->connections)
		close_connection(relay->connections);
	evconnlistener_free(relay->listener);
	free(relay);
}

void tcp_relay_update(tcp_relay_t *relay)
{
	connection_t *connection;
	connection_t *next;

	DL_FOREACH_SAFE (relay->connections, connection, next)
		update_connection(connection);
}
