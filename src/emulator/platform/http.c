#include "platform.h"

#include "carobtrail/errors.h"
#include "carobtrail/kv.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define HEADERS_BYTES_MAX (16 * 1024)
#define BODY_BYTES_MAX	  (2 * 1024 * 1024)

static void call_free(platform_call_t *call)
{
	DL_DELETE(call->platform->calls, call);
	carob_timer_cancel(call->platform->program.kernel, &call->timer);
	free(call);
}

/* Releases a call whose client has closed the connection. */
static void on_closed(struct evhttp_connection *connection, void *arg)
{
	platform_call_t *call = arg;

	(void)connection;
	call_free(call);
}

/* Releases a call; its request stays open. */
static void end_call(platform_call_t *call)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(call->request);

	if (connection)
		evhttp_connection_set_closecb(connection, NULL, NULL);
	call_free(call);
}

void platform_reply(platform_call_t *call, int status, carob_str_t body)
{
	struct evbuffer *buffer = evbuffer_new();
	struct evhttp_request *request = call->request;

	end_call(call);
	if (buffer)
		(void)evbuffer_add(buffer, body.ptr, body.len);
	evhttp_send_reply(request, status, NULL, buffer);
	if (buffer)
		evbuffer_free(buffer);
}

void platform_reply_json(platform_call_t *call, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

	(void)evhttp_add_header(
		evhttp_request_get_output_headers(call->request),
		"Content-Type", "application/json");
	platform_reply(call, status, carob_str_from(text ? text : ""));
	free(text);
	json_decref(value);
}

/* Closes the connection of a call without a response. */
static void close_without_response(platform_call_t *call)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(call->request);

	end_call(call);
	evhttp_connection_free(connection);
}

void platform_reply_write(platform_call_t *call, int status, json_t *value)
{
	platform_t *platform = call->platform;

	if (platform->faults.lose_answers == 0) {
		platform_reply_json(call, status, value);
		return;
	}
	platform->faults.lose_answers--;
	platform->answers_lost++;
	json_decref(value);
	close_without_response(call);
}

carob_buf_t platform_request_body(const platform_call_t *call)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(call->request);
	size_t len = evbuffer_get_length(input);
	carob_buf_t body = CAROB_BUF_INIT;

	(void)carob_buf_append(&body, evbuffer_pullup(input, -1), len);
	return body;
}

/* Copies a query and gives parameters such as "recurse" an empty value, since
 * libevent's parser requires one. */
static int normalize_query(carob_buf_t *out, const char *query)
{
	int result = 0;

	while (result == 0 && *query != '\0') {
		size_t len = strcspn(query, "&");
		bool has_value = memchr(query, '=', len) != NULL;

		result = carob_buf_printf(out, "%s%.*s%s", out->len ? "&" : "",
					  (int)len, query,
					  has_value ? "" : "=");
		query += len;
		query += *query == '&';
	}
	return result;
}

static void dispatch(platform_call_t *call)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	const struct evhttp_uri *uri =
		evhttp_request_get_evhttp_uri(call->request);
	const char *query_text = evhttp_uri_get_query(uri);
	char *path = evhttp_uridecode(evhttp_uri_get_path(uri), 0, NULL);
	struct evkeyvalq query = {0};

	if (normalize_query(&text, query_text ? query_text : "") == 0 &&
	    text.len > 0)
		(void)evhttp_parse_query_str(text.ptr, &query);
	if (path && strncmp(path, "/v1/kv/", 7) == 0)
		platform_kv(call, path + 7, &query);
	else if (path && strncmp(path, "/v1/session/", 12) == 0)
		platform_session(call, path + 12);
	else if (path && strncmp(path, "/v1/", 4) == 0)
		platform_catalog(call, path + 4);
	else
		platform_reply(call, HTTP_NOTFOUND, CAROB_STR("no such path"));
	evhttp_clear_headers(&query);
	free(path);
}

static void on_timer(carob_timer_t *timer)
{
	platform_call_t *call =
		CAROB_CONTAINER_OF(timer, platform_call_t, timer);

	call->is_waiting = false;
	if (call->platform->faults.down) {
		call->platform->refused_down++;
		close_without_response(call);
		return;
	}
	dispatch(call);
}

void platform_wait_for_change(platform_call_t *call, uint64_t index,
			      uint64_t expires_ns)
{
	call->is_waiting = true;
	call->index = index;
	call->expires_ns = expires_ns;
	(void)carob_timer_arm(call->platform->program.kernel, &call->timer,
			      expires_ns);
}

/* Lets waiting calls check for their change again, from the event loop. */
static void on_changed(store_t *store)
{
	platform_t *platform = CAROB_CONTAINER_OF(store, platform_t, store);
	uint64_t now = carob_kernel_now_ns(platform->program.kernel);
	platform_call_t *call;

	DL_FOREACH (platform->calls, call)
		if (call->is_waiting)
			(void)carob_timer_arm(platform->program.kernel,
					      &call->timer, now);
}

static bool is_read(struct evhttp_request *request)
{
	return evhttp_request_get_command(request) == EVHTTP_REQ_GET;
}

static void on_request(struct evhttp_request *request, void *arg)
{
	platform_t *platform = arg;
	uint64_t now = carob_kernel_now_ns(platform->program.kernel);
	platform_call_t *call = calloc(1, sizeof(*call));

	meter_count(is_read(request) ? &platform->reads : &platform->writes,
		    now);
	if (!call) {
		evhttp_send_error(request, HTTP_INTERNAL, NULL);
		return;
	}
	call->platform = platform;
	call->request = request;
	call->timer.fire = on_timer;
	DL_APPEND(platform->calls, call);
	evhttp_connection_set_closecb(evhttp_request_get_connection(request),
				      on_closed, call);
	(void)carob_timer_arm(platform->program.kernel, &call->timer,
			      now + platform->faults.delay_ns);
}

int platform_http_open(platform_t *platform, const carob_addr_t *listen)
{
	char ip[INET6_ADDRSTRLEN];
	char text[CAROB_ADDR_TEXT_MAX];

	platform->store.on_change = on_changed;
	platform->http = evhttp_new(carob_loop_base(platform->program.loop));
	if (!platform->http)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate HTTP server");
	evhttp_set_max_headers_size(platform->http, HEADERS_BYTES_MAX);
	evhttp_set_max_body_size(platform->http, BODY_BYTES_MAX);
	evhttp_set_allowed_methods(platform->http, EVHTTP_REQ_GET |
							   EVHTTP_REQ_PUT |
							   EVHTTP_REQ_DELETE);
	evhttp_set_gencb(platform->http, on_request, platform);
	(void)inet_ntop(listen->family == 4 ? AF_INET : AF_INET6, listen->ip,
			ip, sizeof(ip));
	carob_addr_format(text, listen);
	if (evhttp_bind_socket(platform->http, ip, listen->port) != 0)
		return carob_error_set(CAROB_EIO, "cannot listen on %s", text);
	return 0;
}

void platform_http_close(platform_t *platform)
{
	platform_call_t *call;
	platform_call_t *next;

	DL_FOREACH_SAFE (platform->calls, call, next)
		close_without_response(call);
	if (platform->http)
		evhttp_free(platform->http);
}
