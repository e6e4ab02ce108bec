#include "http_get.h"

#include "carobtrail/errors.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#define RESPONSE_TIMEOUT_S 3 /* instances usually respond in milliseconds */

/* A request in progress. */
typedef struct get {
	struct event_base *base;
	struct evhttp_connection *connection;
	carob_buf_t *body;
	int status; /* 0: no response */
	int error;
} get_t;

static void on_response(struct evhttp_request *request, void *arg)
{
	get_t *get = arg;
	struct evbuffer *input;

	event_base_loopbreak(get->base);
	if (!request)
		return;
	get->status = evhttp_request_get_response_code(request);
	input = evhttp_request_get_input_buffer(request);
	get->error = carob_buf_append(get->body,
				      (const char *)evbuffer_pullup(input, -1),
				      evbuffer_get_length(input));
}

static int send_request(get_t *get, const char *ip, uint16_t port,
			const char *path)
{
	struct evhttp_request *request = evhttp_request_new(on_response, get);

	get->connection = evhttp_connection_base_new(get->base, NULL, ip, port);
	if (!request || !get->connection)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot create an HTTP request");
	evhttp_connection_set_timeout(get->connection, RESPONSE_TIMEOUT_S);
	(void)evhttp_add_header(evhttp_request_get_output_headers(request),
				"Host", ip);
	if (evhttp_make_request(get->connection, request, EVHTTP_REQ_GET,
				path) != 0)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot create an HTTP request");
	event_base_dispatch(get->base);
	if (get->status == 0)
		return carob_error_set(CAROB_EUNAVAILABLE,
				       "%s:%u: no response to GET %s", ip, port,
				       path);
	return get->error;
}

int cli_http_get(carob_buf_t *body, int *status, const carob_addr_t *addr,
		 const char *path)
{
	get_t get = {.body = body};
	char ip[INET_ADDRSTRLEN] = "";
	int error;

	if (addr->family != 4)
		return carob_error_set(CAROB_EUSAGE,
				       "address with port %u: expected an IPv4 "
				       "address",
				       addr->port);
	get.base = event_base_new();
	if (!get.base)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the event loop of an "
				       "HTTP request");
	(void)inet_ntop(AF_INET, addr->ip, ip, sizeof(ip));
	error = send_request(&get, ip, addr->port, path);
	if (get.connection)
		evhttp_connection_free(get.connection);
	event_base_free(get.base);
	*status = get.status;
	return error;
}
