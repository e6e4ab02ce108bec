#include "net/trace_export.h"

#include "carobtrail/errors.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define EXPORT_SPANS_MAX      512
#define EXPORT_INTERVAL_NS    CAROB_NS_PER_S
#define EXPORT_HTTP_TIMEOUT_S 2
#define EXPORT_PATH	      "/v1/traces"

struct carob_trace_export {
	carob_trace_sink_t sink;
	carob_kernel_t *kernel;
	struct event_base *base;
	carob_addr_t collector;
	carob_instance_id_t instance;
	carob_timer_t timer;
	struct evhttp_connection *connection;
	bool request_pending;
	uint64_t dropped;
	size_t count;
	carob_span_t spans[EXPORT_SPANS_MAX];
};

static void emit(carob_trace_sink_t *sink, const carob_span_t *span)
{
	carob_trace_export_t *exporter = (carob_trace_export_t *)sink;

	if (exporter->count == EXPORT_SPANS_MAX) {
		exporter->dropped++;
		return;
	}
	exporter->spans[exporter->count++] = *span;
	if (!carob_timer_armed(&exporter->timer))
		carob_timer_arm(exporter->kernel, &exporter->timer,
				carob_kernel_now_ns(exporter->kernel) +
					EXPORT_INTERVAL_NS);
}

static void write_to_stderr(carob_buf_t *body)
{
	ssize_t written;

	carob_buf_append(body, "\n", 1);
	written = write(STDERR_FILENO, body->ptr, body->len);
	(void)written;
}

static void on_response(struct evhttp_request *request, void *arg)
{
	carob_trace_export_t *exporter = arg;

	(void)request;
	exporter->request_pending = false;
}

static int connect_collector(carob_trace_export_t *exporter)
{
	char text[CAROB_ADDR_TEXT_MAX];
	char *colon;

	if (exporter->connection)
		return 0;
	carob_addr_format(text, &exporter->collector);
	colon = strrchr(text, ':');
	*colon = '\0';
	exporter->connection = evhttp_connection_base_new(
		exporter->base, NULL, text, exporter->collector.port);
	if (!exporter->connection)
		return carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate connection to trace collector");
	evhttp_connection_set_timeout(exporter->connection,
				      EXPORT_HTTP_TIMEOUT_S);
	return 0;
}

static int post_to_collector(carob_trace_export_t *exporter,
			     const carob_buf_t *body)
{
	struct evhttp_request *request;
	int error = connect_collector(exporter);

	if (error)
		return error;
	request = evhttp_request_new(on_response, exporter);
	if (!request)
		return carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate request to trace collector");
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(request), body->ptr,
		     body->len);
	exporter->request_pending = true;
	if (evhttp_make_request(exporter->connection, request, EVHTTP_REQ_POST,
				EXPORT_PATH) == 0)
		return 0;
	exporter->request_pending = false;
	return carob_error_set(CAROB_EUNAVAILABLE,
			       "cannot send request to trace collector");
}

static int send_spans(carob_trace_export_t *exporter)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	int error = carob_trace_encode_otlp(&body, exporter->instance,
					    exporter->spans, exporter->count);

	if (error)
		return error;
	if (exporter->collector.family == 0) {
		write_to_stderr(&body);
		return 0;
	}
	if (exporter->request_pending)
		return carob_error_set(
			CAROB_EUNAVAILABLE,
			"previous request to trace collector still pending");
	return post_to_collector(exporter, &body);
}

static void on_timer(carob_timer_t *timer)
{
	carob_trace_export_t *exporter =
		CAROB_CONTAINER_OF(timer, carob_trace_export_t, timer);

	if (send_spans(exporter) != 0)
		exporter->dropped += exporter->count;
	exporter->count = 0;
}

int carob_trace_export_new(carob_trace_export_t **out,
			   const carob_trace_export_options_t *options)
{
	carob_trace_export_t *exporter;

	if (options->version != CAROB_TRACE_EXPORT_OPTIONS_VERSION ||
	    !options->kernel || !options->base)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of trace exporter");
	exporter = calloc(1, sizeof(*exporter));
	if (!exporter)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate trace exporter");
	exporter->sink.emit = emit;
	exporter->timer.fire = on_timer;
	exporter->kernel = options->kernel;
	exporter->base = options->base;
	exporter->collector = options->collector;
	exporter->instance = options->instance;
	*out = exporter;
	return 0;
}

void carob_trace_export_free(carob_trace_export_t *exporter)
{
	if (!exporter)
		return;
	carob_timer_cancel(exporter->kernel, &exporter->timer);
	if (exporter->connection)
		evhttp_connection_free(exporter->connection);
	free(exporter);
}

carob_trace_sink_t *carob_trace_export_sink(carob_trace_export_t *exporter)
{
	return &exporter->sink;
}

uint64_t carob_trace_export_dropped(const carob_trace_export_t *exporter)
{
	return exporter->dropped;
}
