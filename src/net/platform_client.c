#include "net/platform_client.h"

#include "carobtrail/errors.h"
#include "net/platform_reply.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define URI_BYTES      1024
#define BODY_BYTES_MAX (4 * CAROB_KV_VALUE_BYTES_MAX)

typedef enum call_kind {
	CALL_READ,
	CALL_WRITE,
	CALL_REMOVE,
	CALL_LIST,
} call_kind_t;

/* One HTTP request on a connection of its own. */
typedef struct http_call {
	carob_platform_client_t *client;
	carob_kv_call_t *call; /* NULL once cancelled or completed */
	call_kind_t kind;
	struct evhttp_connection *connection;
	carob_timer_t timeout;
	/* Completes the call outside the callbacks of the connection, which
	 * cannot free it. */
	carob_timer_t completion_timer;
	bool ended;
	bool timed_out;
	int status;
	uint64_t index;
	carob_buf_t body;
	struct http_call *prev;
	struct http_call *next;
} http_call_t;

struct carob_platform_client {
	carob_kv_t kv;
	carob_platform_client_options_t options;
	char host[INET6_ADDRSTRLEN];
	char source[INET6_ADDRSTRLEN]; /* "": any */
	http_call_t *calls;
};

static void http_call_free(http_call_t *http)
{
	carob_platform_client_t *client = http->client;

	DL_DELETE(client->calls, http);
	carob_timer_cancel(client->options.kernel, &http->timeout);
	carob_timer_cancel(client->options.kernel, &http->completion_timer);
	if (http->call)
		http->call->pending = NULL;
	http->call = NULL;
	http->ended = true;
	if (http->connection)
		evhttp_connection_free(http->connection);
	carob_buf_dispose(&http->body);
	free(http);
}

static void deliver_reply(http_call_t *http, const carob_kv_reply_t *reply)
{
	carob_kv_call_t *call = http->call;

	http->call = NULL;
	if (!call)
		return;
	call->pending = NULL;
	call->done(call, reply);
}

static int fail_without_response(const http_call_t *http)
{
	const char *reason = http->timed_out ? "response timed out"
					     : "connection failed";
	char addr[CAROB_ADDR_TEXT_MAX];
	bool write = http->kind == CALL_WRITE || http->kind == CALL_REMOVE;

	carob_addr_format(addr, &http->client->options.addr);
	return carob_error_set(write ? CAROB_EUNKNOWN : CAROB_EUNAVAILABLE,
			       "platform %s: %s", addr, reason);
}

/* After a server error it is unknown whether a write took effect. */
static int fail_with_status(const http_call_t *http)
{
	bool write = http->kind == CALL_WRITE || http->kind == CALL_REMOVE;
	int code = CAROB_EUNAVAILABLE;

	if (http->status == HTTP_ENTITYTOOLARGE)
		code = CAROB_ELIMIT;
	else if (http->status >= 500 && write)
		code = CAROB_EUNKNOWN;
	return carob_error_set(code, "platform: HTTP status %d", http->status);
}

static void complete_read(http_call_t *http, carob_kv_reply_t *reply)
{
	carob_platform_entries_t entries = {0};
	carob_str_t body = carob_buf_view(&http->body);

	reply->index = http->index;
	if (http->status == HTTP_NOTFOUND) {
		reply->result = http->kind == CALL_LIST ? 0 : CAROB_ENOTFOUND;
	} else if (http->kind == CALL_LIST) {
		reply->result = carob_platform_decode_keys(&entries, body);
	} else {
		reply->result = carob_platform_decode_values(&entries, body);
		if (reply->result == 0 && entries.count != 1)
			reply->result = carob_error_set(
				CAROB_EFORMAT,
				"platform response has %zu keys: expected 1",
				entries.count);
	}
	reply->count = entries.count;
	reply->entries = entries.entries;
	deliver_reply(http, reply);
	carob_platform_entries_dispose(&entries);
}

static void complete_write(http_call_t *http, carob_kv_reply_t *reply)
{
	bool done = false;

	reply->result =
		carob_platform_decode_done(&done, carob_buf_view(&http->body));
	if (reply->result != 0)
		reply->result = CAROB_EUNKNOWN;
	else if (!done)
		reply->result = CAROB_ECONFLICT;
	deliver_reply(http, reply);
}

static void complete_call(http_call_t *http)
{
	carob_kv_reply_t reply = {.result = 0};
	bool read = http->kind == CALL_READ || http->kind == CALL_LIST;

	if (http->status == 0) {
		reply.result = fail_without_response(http);
		deliver_reply(http, &reply);
	} else if (read &&
		   (http->status == HTTP_OK || http->status == HTTP_NOTFOUND)) {
		complete_read(http, &reply);
	} else if (http->status == HTTP_OK) {
		complete_write(http, &reply);
	} else {
		reply.result = fail_with_status(http);
		deliver_reply(http, &reply);
	}
}

static void on_completion_timer(carob_timer_t *timer)
{
	http_call_t *http =
		CAROB_CONTAINER_OF(timer, http_call_t, completion_timer);

	complete_call(http);
	http_call_free(http);
}

/* Completes the call from a timer: this function may run in a callback of the
 * connection, which cannot be freed there. */
static void schedule_completion(http_call_t *http)
{
	carob_kernel_t *kernel = http->client->options.kernel;

	if (http->ended)
		return;
	http->ended = true;
	carob_timer_cancel(kernel, &http->timeout);
	http->completion_timer.fire = on_completion_timer;
	(void)carob_timer_arm(kernel, &http->completion_timer,
			      carob_kernel_now_ns(kernel));
}

static void on_timeout(carob_timer_t *timer)
{
	http_call_t *http = CAROB_CONTAINER_OF(timer, http_call_t, timeout);

	http->timed_out = true;
	schedule_completion(http);
}

static void on_response(struct evhttp_request *request, void *arg)
{
	http_call_t *http = arg;
	struct evbuffer *input;
	const char *index;

	if (http->ended)
		return;
	if (request)
		http->status = evhttp_request_get_response_code(request);
	if (http->status != 0) {
		input = evhttp_request_get_input_buffer(request);
		(void)carob_buf_append(&http->body, evbuffer_pullup(input, -1),
				       evbuffer_get_length(input));
		index = evhttp_find_header(
			evhttp_request_get_input_headers(request),
			"X-Consul-Index");
		http->index = index ? strtoull(index, NULL, 10) : 0;
	}
	schedule_completion(http);
}

static struct evhttp_request *make_request(http_call_t *http, carob_str_t body)
{
	struct evhttp_request *request = evhttp_request_new(on_response, http);
	struct evkeyvalq *headers;

	if (!request)
		return NULL;
	headers = evhttp_request_get_output_headers(request);
	(void)evhttp_add_header(headers, "Host", http->client->host);
	(void)evhttp_add_header(headers, "Connection", "close");
	if (body.len > 0)
		(void)evbuffer_add(evhttp_request_get_output_buffer(request),
				   body.ptr, body.len);
	return request;
}

static void send_request(http_call_t *http, const char *uri, carob_str_t body,
			 uint32_t wait_ms)
{
	carob_platform_client_t *client = http->client;
	uint64_t timeout = client->options.timeout_ms + (uint64_t)wait_ms;
	enum evhttp_cmd_type method = EVHTTP_REQ_GET;
	struct evhttp_request *request;

	if (http->kind == CALL_WRITE)
		method = EVHTTP_REQ_PUT;
	else if (http->kind == CALL_REMOVE)
		method = EVHTTP_REQ_DELETE;
	http->timeout.fire = on_timeout;
	(void)carob_timer_arm(client->options.kernel, &http->timeout,
			      carob_kernel_now_ns(client->options.kernel) +
				      timeout * CAROB_NS_PER_MS);
	http->connection = evhttp_connection_base_new(
		client->options.base, NULL, client->host,
		client->options.addr.port);
	request = http->connection ? make_request(http, body) : NULL;
	if (!request) {
		schedule_completion(http);
		return;
	}
	evhttp_connection_set_max_body_size(http->connection, BODY_BYTES_MAX);
	if (client->source[0])
		evhttp_connection_set_local_address(http->connection,
						    client->source);
	if (evhttp_make_request(http->connection, request, method, uri) != 0)
		schedule_completion(http);
}

static http_call_t *http_call_new(carob_kv_t *kv, carob_kv_call_t *call,
				  call_kind_t kind)
{
	carob_platform_client_t *client =
		CAROB_CONTAINER_OF(kv, carob_platform_client_t, kv);
	http_call_t *http = calloc(1, sizeof(*http));
	carob_kv_reply_t reply = {.result = CAROB_ENOMEM};

	if (!http) {
		call->done(call, &reply);
		return NULL;
	}
	http->client = client;
	http->call = call;
	http->kind = kind;
	call->pending = http;
	DL_APPEND(client->calls, http);
	return http;
}

static void client_get(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key)
{
	http_call_t *http = http_call_new(kv, call, CALL_READ);
	char uri[URI_BYTES];

	if (!http)
		return;
	(void)snprintf(uri, sizeof(uri), "/v1/kv/%.*s", (int)key.len, key.ptr);
	send_request(http, uri, CAROB_STR(""), 0);
}

static void client_watch(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key,
			 uint64_t index, uint32_t wait_ms)
{
	http_call_t *http = http_call_new(kv, call, CALL_READ);
	char uri[URI_BYTES];

	if (!http)
		return;
	(void)snprintf(uri, sizeof(uri),
		       "/v1/kv/%.*s?index=%" PRIu64 "&wait=%" PRIu32 "ms",
		       (int)key.len, key.ptr, index, wait_ms);
	send_request(http, uri, CAROB_STR(""), wait_ms);
}

static void client_put_cas(carob_kv_t *kv, carob_kv_call_t *call,
			   carob_str_t key, carob_str_t value, uint64_t index)
{
	http_call_t *http = http_call_new(kv, call, CALL_WRITE);
	char uri[URI_BYTES];

	if (!http)
		return;
	(void)snprintf(uri, sizeof(uri), "/v1/kv/%.*s?cas=%" PRIu64,
		       (int)key.len, key.ptr, index);
	send_request(http, uri, value, 0);
}

static void client_remove(carob_kv_t *kv, carob_kv_call_t *call,
			  carob_str_t key)
{
	http_call_t *http = http_call_new(kv, call, CALL_REMOVE);
	char uri[URI_BYTES];

	if (!http)
		return;
	(void)snprintf(uri, sizeof(uri), "/v1/kv/%.*s", (int)key.len, key.ptr);
	send_request(http, uri, CAROB_STR(""), 0);
}

static void client_list(carob_kv_t *kv, carob_kv_call_t *call,
			carob_str_t prefix)
{
	http_call_t *http = http_call_new(kv, call, CALL_LIST);
	char uri[URI_BYTES];

	if (!http)
		return;
	(void)snprintf(uri, sizeof(uri), "/v1/kv/%.*s?keys=", (int)prefix.len,
		       prefix.ptr);
	send_request(http, uri, CAROB_STR(""), 0);
}

static void client_cancel(carob_kv_t *kv, carob_kv_call_t *call)
{
	http_call_t *http = call->pending;

	(void)kv;
	if (!http)
		return;
	call->pending = NULL;
	http->call = NULL;
	schedule_completion(http);
}

static const carob_kv_ops_t client_ops = {
	.get = client_get,
	.watch = client_watch,
	.put_cas = client_put_cas,
	.remove = client_remove,
	.list = client_list,
	.cancel = client_cancel,
};

static void format_ip(char out[INET6_ADDRSTRLEN], const carob_addr_t *addr)
{
	(void)inet_ntop(addr->family == 4 ? AF_INET : AF_INET6, addr->ip, out,
			INET6_ADDRSTRLEN);
}

int carob_platform_client_new(carob_platform_client_t **out,
			      const carob_platform_client_options_t *options)
{
	carob_platform_client_t *client;

	if (options->version != CAROB_PLATFORM_CLIENT_OPTIONS_VERSION ||
	    !options->kernel || !options->base || options->addr.family == 0)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of platform client");
	client = calloc(1, sizeof(*client));
	if (!client)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate platform client");
	client->kv.ops = &client_ops;
	client->options = *options;
	format_ip(client->host, &options->addr);
	if (options->source.family)
		format_ip(client->source, &options->source);
	*out = client;
	return 0;
}

void carob_platform_client_free(carob_platform_client_t *client)
{
	http_call_t *http;
	http_call_t *next;

	if (!client)
		return;
	DL_FOREACH_SAFE (client->calls, http, next)
		http_call_free(http);
	free(client);
}

carob_kv_t *carob_platform_client_kv(carob_platform_client_t *client)
{
	return &client->kv;
}
