#include "test_runner.h"

#include "carobtrail/errors.h"
#include "net/trace_export.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#define SPANS_EMITTED 600

static char received[4096];

static void on_request(struct evhttp_request *request, void *arg)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	int len = evbuffer_remove(body, received, sizeof(received) - 1);

	received[len > 0 ? len : 0] = '\0';
	evhttp_send_reply(request, 200, "OK", NULL);
	event_base_loopbreak(arg);
}

static uint16_t bound_port(struct evhttp_bound_socket *bound)
{
	struct sockaddr_in addr = {0};
	socklen_t len = sizeof(addr);

	getsockname(evhttp_bound_socket_get_fd(bound), (void *)&addr, &len);
	return ntohs(addr.sin_port);
}

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	struct event_base *base;
	struct evhttp *collector;
	carob_trace_export_t *exporter;
} fixture_t;

static void set_up(fixture_t *f)
{
	carob_trace_export_options_t options = CAROB_TRACE_EXPORT_OPTIONS_INIT;
	struct evhttp_bound_socket *bound;

	carob_manual_clock_init(&f->clock, 0);
	carob_kernel_new(&f->kernel, &f->clock.clock);
	f->base = event_base_new();
	f->collector = evhttp_new(f->base);
	evhttp_set_gencb(f->collector, on_request, f->base);
	bound = evhttp_bind_socket_with_handle(f->collector, "127.0.0.1", 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(bound);
	options.kernel = f->kernel;
	options.base = f->base;
	options.instance = (carob_instance_id_t){1, 2};
	options.collector = (carob_addr_t){
		.ip = {127, 0, 0, 1}, .port = bound_port(bound), .family = 4};
	CU_ASSERT_EQUAL_FATAL(carob_trace_export_new(&f->exporter, &options),
			      0);
}

static void tear_down(fixture_t *f)
{
	carob_trace_export_free(f->exporter);
	evhttp_free(f->collector);
	event_base_free(f->base);
	carob_kernel_free(f->kernel);
}

static void test_spans_reach_the_collector(void)
{
	carob_span_t span = {.kind = CAROB_SPAN_RELAY};
	carob_trace_sink_t *sink;
	fixture_t f;

	set_up(&f);
	sink = carob_trace_export_sink(f.exporter);
	sink->emit(sink, &span);
	carob_manual_clock_advance(&f.clock, CAROB_NS_PER_S);
	carob_kernel_run_due(f.kernel);
	event_base_dispatch(f.base);
	CU_ASSERT_PTR_NOT_NULL(strstr(received, "\"name\":\"relay\""));
	CU_ASSERT_EQUAL(carob_trace_export_dropped(f.exporter), 0);
	tear_down(&f);
}

static void test_spans_beyond_buffer_are_dropped(void)
{
	carob_span_t span = {.kind = CAROB_SPAN_RELAY};
	carob_trace_sink_t *sink;
	fixture_t f;

	set_up(&f);
	sink = carob_trace_export_sink(f.exporter);
	for (int i = 0; i < SPANS_EMITTED; i++)
		sink->emit(sink, &span);
	CU_ASSERT_EQUAL(carob_trace_export_dropped(f.exporter),
			SPANS_EMITTED - 512);
	tear_down(&f);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"spans are sent to the collector",
		 test_spans_reach_the_collector},
		{"spans beyond the buffer are dropped and counted",
		 test_spans_beyond_buffer_are_dropped},
	};

	return run_tests("trace export", cases, CAROB_ARRAY_SIZE(cases));
}
