#include "test_runner.h"

#include "carobtrail/errors.h"
#include "net/loop.h"
#include "net/platform_list.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#define ROUNDS_MAX     20000
#define ROUND_US       200
#define HINT_ADDRS_MAX 32

/* A fake platform with a fixed response, a reader of its list and the hints
 * that the reader passed on. */
typedef struct fixture {
	carob_platform_hints_t hints;
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_membership_t *membership;
	struct evhttp *http;
	carob_platform_list_t *list;
	const char *body;
	int status;
	carob_addr_t hint_addrs[HINT_ADDRS_MAX];
	size_t hint_count;
	char uri[128];
} fixture_t;

static void on_request(struct evhttp_request *request, void *context)
{
	fixture_t *f = context;
	struct evbuffer *body = evbuffer_new();

	snprintf(f->uri, sizeof(f->uri), "%s", evhttp_request_get_uri(request));
	evbuffer_add(body, f->body, strlen(f->body));
	evhttp_send_reply(request, f->status, "answer", body);
	evbuffer_free(body);
}

static void on_hint(carob_platform_hints_t *hints, const carob_addr_t *addr)
{
	fixture_t *f = (fixture_t *)hints;

	if (f->hint_count < HINT_ADDRS_MAX)
		f->hint_addrs[f->hint_count++] = *addr;
}

static uint16_t start_platform(fixture_t *f)
{
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sa = {.sin_port = 0};
	socklen_t len = sizeof(sa);

	f->http = evhttp_new(carob_loop_base(f->loop));
	evhttp_set_gencb(f->http, on_request, f);
	bound = evhttp_bind_socket_with_handle(f->http, "127.0.6.9", 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(bound);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&sa,
		    &len);
	return ntohs(sa.sin_port);
}

static void setup(fixture_t *f, int status, const char *body)
{
	carob_membership_options_t m = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_platform_list_options_t options =
		CAROB_PLATFORM_LIST_OPTIONS_INIT;

	*f = (fixture_t){.hints = {on_hint}, .body = body, .status = status};
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&f->kernel, carob_clock_system()), 0);
	CU_ASSERT_EQUAL_FATAL(carob_loop_new(&f->loop, f->kernel), 0);
	m.self.id = (carob_instance_id_t){1, 1};
	CU_ASSERT_EQUAL_FATAL(carob_membership_new(&f->membership, &m), 0);
	options.kernel = f->kernel;
	options.base = carob_loop_base(f->loop);
	options.membership = f->membership;
	options.hints = &f->hints;
	options.addr = (carob_addr_t){
		.ip = {127, 0, 6, 9}, .port = start_platform(f), .family = 4};
	options.name = CAROB_STR("carobtrail-hou");
	CU_ASSERT_EQUAL_FATAL(carob_platform_list_new(&f->list, &options), 0);
}

static void teardown(fixture_t *f)
{
	carob_platform_list_free(f->list);
	evhttp_free(f->http);
	carob_membership_free(f->membership);
	carob_loop_free(f->loop);
	carob_kernel_free(f->kernel);
}

/* Runs the loop until the first request has ended. */
static carob_platform_list_counters_t run_until_first_read(fixture_t *f)
{
	carob_platform_list_counters_t c = {0};

	for (int i = 0; i < ROUNDS_MAX && c.failures + c.hints == 0; i++) {
		carob_kernel_run_due(f->kernel);
		event_base_loop(carob_loop_base(f->loop), EVLOOP_NONBLOCK);
		usleep(ROUND_US);
		carob_platform_list_counters(&c, f->list);
	}
	return c;
}

#define ENTRY(ip, port)                                                        \
	"{\"ServiceAddress\":\"" ip "\",\"ServicePort\":" port "}"

#define TEN(text) text text text text text text text text text text
/* An array nested deeper than the JSON library follows. */
#define DEEP TEN(TEN(TEN("[[["))) TEN(TEN(TEN("]]]")))

typedef struct response_case {
	int status;
	const char *body;
	size_t hints;
	bool failed;
} response_case_t;

static const response_case_t response_cases[] =
	{
		{200, "[" ENTRY("127.0.0.1", "7002") "]", 1, false},
		{200, "[" ENTRY("::1", "7002") "," ENTRY("10.0.0.2", "1") "]",
		 2, false},
		{200,
		 "[7,null,{},{\"ServiceAddress\":5}," ENTRY("no ip", "7") "," ENTRY(
			 "10.0.0.1",
			 "0") "," ENTRY("10.0.0.1",
					"65536") "," ENTRY("10.0.0.1", "9") "]",
		 1, false},
		{200,
		 "[" ENTRY("10.0.0.1", "1") "," ENTRY("10.0.0.1", "2") "," ENTRY("10.0.0.1", "3") "," ENTRY(
			 "10.0.0.1",
			 "4") "," ENTRY("10.0.0.1",
					"5") "," ENTRY("10.0.0.1",
						       "6") "," ENTRY("10.0.0."
								      "1",
								      "7") "," ENTRY("10.0.0.1",
										     "8") "," ENTRY("10.0.0.1",
												    "9") "]",
		 CAROB_PLATFORM_HINTS_MAX, false},
		/* Elements that cannot be parsed leave the others in use. */
		{200,
		 "[{\"ServicePort\":18446744073709551616}," ENTRY("10.0.0.1",
								  "9") "]",
		 1, false},
		{200,
		 "[" ENTRY("10.0.0.1", "9") ",{\"x\":1e999}," ENTRY("10.0.0.2",
								    "9") " ]\n",
		 2, false},
		{200,
		 "[{\"x\":\"]},\\\"\",\"y\":1e999}," ENTRY("10.0.0.1", "9") "]",
		 1, false},
		{200, "[" DEEP "," ENTRY("10.0.0.1", "9") "]", 1, false},
		{200, "[1e999," ENTRY("10.0.0.1", "9") "}", 0, true},
		{200, "[1e999," ENTRY("10.0.0.1", "9") "]]", 0, true},
		{200, "[1e999," ENTRY("10.0.0.1", "9"), 0, true},
		{200, "{}", 0, true},
		{200, "", 0, true},
		{200, "[{", 0, true},
		{503, "[" ENTRY("127.0.0.1", "7002") "]", 0, true},
};

static void test_responses(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(response_cases); i++) {
		const response_case_t *c = &response_cases[i];
		carob_platform_list_counters_t counters;
		fixture_t f;

		setup(&f, c->status, c->body);
		counters = run_until_first_read(&f);
		CU_ASSERT_EQUAL(f.hint_count, c->hints);
		CU_ASSERT_EQUAL(counters.failures, c->failed ? 1 : 0);
		CU_ASSERT_EQUAL(counters.calls, 1);
		CU_ASSERT_STRING_EQUAL(f.uri,
				       "/v1/catalog/service/carobtrail-hou");
		teardown(&f);
	}
}

static void test_connection_refused(void)
{
	carob_platform_list_counters_t counters;
	fixture_t f;

	setup(&f, 200, "[]");
	evhttp_free(f.http);
	f.http = evhttp_new(carob_loop_base(f.loop));
	counters = run_until_first_read(&f);
	CU_ASSERT_EQUAL(counters.failures, 1);
	CU_ASSERT_EQUAL(f.hint_count, 0);
	teardown(&f);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"valid responses give hints, invalid ones are refused",
		 test_responses},
		{"a platform that refuses connections counts as a failure",
		 test_connection_refused},
	};

	return run_tests("platform list", cases, CAROB_ARRAY_SIZE(cases));
}
