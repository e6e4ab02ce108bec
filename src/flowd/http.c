#include "http.h"

#include "carobtrail/errors.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>

struct flowd_http {
	struct evhttp *server;
};

static const char *reason_phrase(int status)
{
	if (status == HTTP_OK)
		return "OK";
	return status == HTTP_BADREQUEST ? "Bad Request"
					 : "Service Unavailable";
}

static void on_request(struct evhttp_request *request, void *arg)
{
	flowd_http_handler_t *handler = arg;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	struct evbuffer *body = evhttp_request_get_output_buffer(request);
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	int status = handler->handle(handler, &text, query ? query : "");

	(void)evbuffer_add(body, text.ptr ? text.ptr : "", text.len);
	evhttp_send_reply(request, status, reason_phrase(status), NULL);
}

int flowd_http_add(flowd_http_t *http, flowd_http_handler_t *handler)
{
	if (evhttp_set_cb(http->server, handler->path, on_request, handler))
		return carob_error_set(CAROB_ENOMEM, "cannot add HTTP path %s",
				       handler->path);
	return 0;
}

int flowd_http_new(flowd_http_t **out, struct event_base *base,
		   const carob_addr_t *local, flowd_http_handler_t *handler)
{
	char ip[INET_ADDRSTRLEN] = "";
	flowd_http_t *http = calloc(1, sizeof(*http));

	if (!http)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the HTTP server");
	http->server = evhttp_new(base);
	(void)inet_ntop(AF_INET, local->ip, ip, sizeof(ip));
	if (!http->server || flowd_http_add(http, handler) != 0 ||
	    evhttp_bind_socket(http->server, ip, local->port) != 0) {
		flowd_http_free(http);
		return carob_error_set(CAROB_EIO, "cannot serve HTTP on %s:%u",
				       ip, local->port);
	}
	*out = http;
	return 0;
}

void flowd_http_free(flowd_http_t *http)
{
	if (!http)
		return;
	if (http->server)
		evhttp_free(http->server);
	free(http);
}
