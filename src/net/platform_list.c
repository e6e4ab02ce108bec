#include "net/platform_list.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Mean time between two reads with less than PERIOD_MEMBERS instances. */
#define PERIOD_NS      (60 * CAROB_NS_PER_S)
#define PERIOD_MEMBERS 64
#define RETRY_NS       (2 * CAROB_NS_PER_S)
/* Mean time between two reads while no other instance is known. */
#define PERIOD_ALONE_NS (4 * CAROB_NS_PER_S)
#define TIMEOUT_S	3
#define BODY_BYTES_MAX	(8 * 1024 * 1024)
#define URI_MAX		128
#define HOST_MAX	CAROB_ADDR_TEXT_MAX

struct carob_platform_list {
	carob_kernel_t *kernel;
	struct event_base *base;
	const carob_membership_t *membership;
	carob_platform_hints_t *hints;
	carob_addr_t addr;
	carob_addr_t source;
	char uri[URI_MAX];
	carob_rng_t rng;
	carob_timer_t timer;
	struct evhttp_connection *connection;
	carob_platform_list_counters_t counters;
};

/* Reads the list again after a random time from half of `ns` to one and a half
 * times `ns`. */
static void schedule_read(carob_platform_list_t *list, uint64_t ns)
{
	uint64_t jitter_ms =
		carob_rng_below(&list->rng, (uint32_t)(ns / CAROB_NS_PER_MS));

	carob_timer_arm(list->kernel, &list->timer,
			carob_kernel_now_ns(list->kernel) + ns / 2 +
				jitter_ms * CAROB_NS_PER_MS);
}

/* The period grows with the number of instances, so that all of them together
 * read the list about once per second at most. */
static uint64_t read_period(const carob_platform_list_t *list)
{
	size_t count;

	carob_membership_all(list->membership, &count);
	if (count == 1)
		return PERIOD_ALONE_NS;
	return PERIOD_NS * (1 + count / PERIOD_MEMBERS);
}

static bool read_addr(carob_addr_t *out, const json_t *entry)
{
	const char *ip =
		json_string_value(json_object_get(entry, "ServiceAddress"));
	json_int_t port =
		json_integer_value(json_object_get(entry, "ServicePort"));
	char text[CAROB_ADDR_TEXT_MAX];
	int len;

	if (!ip || port < 1 || port > UINT16_MAX)
		return false;
	len = snprintf(text, sizeof(text),
		       strchr(ip, ':') ? "[%s]:%d" : "%s:%d", ip, (int)port);
	return len > 0 && (size_t)len < sizeof(text) &&
	       carob_addr_parse(out, carob_str_from(text)) == 0;
}

/* Passes on the first valid addresses, starting at a random entry. */
static void report_hints(carob_platform_list_t *list, const json_t *entries)
{
	size_t count = json_array_size(entries);
	size_t start = carob_rng_below(&list->rng, (uint32_t)count);
	size_t reported = 0;

	for (size_t i = 0; i < count && reported < CAROB_PLATFORM_HINTS_MAX;
	     i++) {
		carob_addr_t addr;

		if (!read_addr(&addr,
			       json_array_get(entries, (start + i) % count)))
			continue;
		list->hints->hint(list->hints, &addr);
		list->counters.hints++;
		reported++;
	}
}

/* Returns the length of the array element at the beginning of `text`: what is
 * before the comma or the bracket that ends it, or all of `text` if none does. */
static size_t element_length(carob_str_t text)
{
	bool in_string = false;
	size_t depth = 0;

	for (size_t i = 0; i < text.len; i++) {
		char c = text.ptr[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (in_string)
			continue;
		else if (depth == 0 && (c == ',' || c == ']' || c == '}'))
			return i;
		else if (c == '[' || c == '{')
			depth++;
		else if (c == ']' || c == '}')
			depth--;
	}
	return text.len;
}

static carob_str_t skip(carob_str_t text, size_t len)
{
	return (carob_str_t){text.ptr + len, text.len - len};
}

static bool is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static carob_str_t skip_space(carob_str_t text)
{
	while (text.len > 0 && is_space(*text.ptr))
		text = skip(text, 1);
	return text;
}

/* Elements that could not be parsed. */
typedef struct unusable {
	size_t count;
	json_error_t first;
} unusable_t;

/* Parses an element and appends it; one that cannot be parsed is counted.
 * @return 0, or -1 if memory is short */
static int append_element(json_t *entries, unusable_t *unusable,
			  carob_str_t text)
{
	json_error_t error;
	json_t *entry = json_loadb(text.ptr, text.len, JSON_DECODE_ANY, &error);

	if (!entry && unusable->count++ == 0)
		unusable->first = error;
	/* The function takes ownership of the entry. */
	return entry ? json_array_append_new(entries, entry) : 0;
}

/* Parses the elements of an array one by one. Those that cannot be parsed are
 * left out: a number out of range or deep nesting in one of them must not keep
 * the others from being used.
 * @return the array; NULL if `text` is not one, or memory is short */
static json_t *parse_elements(carob_str_t text)
{
	carob_str_t rest = skip_space(text);
	char end = rest.len > 0 && *rest.ptr == '[' ? ',' : '\0';
	json_t *entries = json_array();
	unusable_t unusable = {0};

	while (end == ',') {
		size_t len;

		rest = skip(rest, 1);
		len = element_length(rest);
		if (append_element(entries, &unusable,
				   (carob_str_t){rest.ptr, len}) != 0)
			break;
		rest = skip(rest, len);
		end = rest.len > 0 ? *rest.ptr : '\0';
	}
	if (end != ']' || skip_space(skip(rest, 1)).len > 0) {
		json_decref(entries);
		return NULL;
	}
	CAROB_LOG(CAROB_EV_ITEM_UNUSABLE,
		  CAROB_FIELD_U64("count", unusable.count),
		  CAROB_FIELD_CSTR("error", unusable.first.text));
	return entries;
}

static json_t *parse_entries(carob_str_t text)
{
	json_t *entries = json_loadb(text.ptr, text.len, 0, NULL);

	return entries ? entries : parse_elements(text);
}

static bool handle_response(carob_platform_list_t *list,
			    struct evhttp_request *request)
{
	struct evbuffer *body;
	json_t *entries;
	bool is_list;

	if (!request || evhttp_request_get_response_code(request) != HTTP_OK)
		return false;
	body = evhttp_request_get_input_buffer(request);
	entries = parse_entries(
		(carob_str_t){(const char *)evbuffer_pullup(body, -1),
			      evbuffer_get_length(body)});
	is_list = json_is_array(entries);
	if (is_list)
		report_hints(list, entries);
	json_decref(entries);
	return is_list;
}

static void on_response(struct evhttp_request *request, void *context)
{
	carob_platform_list_t *list = context;

	if (handle_response(list, request)) {
		schedule_read(list, read_period(list));
		return;
	}
	list->counters.failures++;
	schedule_read(list, RETRY_NS);
}

static void close_connection(carob_platform_list_t *list)
{
	if (list->connection)
		evhttp_connection_free(list->connection);
	list->connection = NULL;
}

static void format_ip(char out[INET6_ADDRSTRLEN], const carob_addr_t *addr)
{
	out[0] = '\0';
	inet_ntop(addr->family == 6 ? AF_INET6 : AF_INET, addr->ip, out,
		  INET6_ADDRSTRLEN);
}

static bool open_connection(carob_platform_list_t *list)
{
	char ip[INET6_ADDRSTRLEN];

	format_ip(ip, &list->addr);
	list->connection = evhttp_connection_base_new(list->base, NULL, ip,
						      list->addr.port);
	if (!list->connection)
		return false;
	evhttp_connection_set_timeout(list->connection, TIMEOUT_S);
	evhttp_connection_set_max_body_size(list->connection, BODY_BYTES_MAX);
	format_ip(ip, &list->source);
	if (list->source.family != 0)
		evhttp_connection_set_local_address(list->connection, ip);
	return true;
}

static bool send_request(carob_platform_list_t *list)
{
	struct evhttp_request *request = evhttp_request_new(on_response, list);
	struct evkeyvalq *headers;
	char host[HOST_MAX];

	if (!request)
		return false;
	carob_addr_format(host, &list->addr);
	headers = evhttp_request_get_output_headers(request);
	(void)evhttp_add_header(headers, "Host", host);
	(void)evhttp_add_header(headers, "Connection", "close");
	return evhttp_make_request(list->connection, request, EVHTTP_REQ_GET,
				   list->uri) == 0;
}

static void on_timer(carob_timer_t *timer)
{
	carob_platform_list_t *list =
		CAROB_CONTAINER_OF(timer, carob_platform_list_t, timer);

	close_connection(list);
	list->counters.calls++;
	if (open_connection(list) && send_request(list))
		return;
	list->counters.failures++;
	schedule_read(list, RETRY_NS);
}

int carob_platform_list_new(carob_platform_list_t **out,
			    const carob_platform_list_options_t *options)
{
	carob_platform_list_t *list;
	int len;

	if (options->version != CAROB_PLATFORM_LIST_OPTIONS_VERSION ||
	    !options->kernel || !options->base || !options->membership ||
	    !options->hints || options->addr.family == 0)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of platform list");
	list = calloc(1, sizeof(*list));
	if (!list)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate platform list");
	list->kernel = options->kernel;
	list->base = options->base;
	list->membership = options->membership;
	list->hints = options->hints;
	list->addr = options->addr;
	list->source = options->source;
	list->timer.fire = on_timer;
	carob_rng_init(&list->rng, options->seed);
	len = snprintf(list->uri, sizeof(list->uri), "/v1/catalog/service/%.*s",
		       (int)options->name.len, options->name.ptr);
	if (len < 0 || (size_t)len >= sizeof(list->uri)) {
		free(list);
		return carob_error_set(
			CAROB_EINVALID,
			"service name of platform list too long");
	}
	carob_timer_arm(list->kernel, &list->timer,
			carob_kernel_now_ns(list->kernel));
	*out = list;
	return 0;
}

void carob_platform_list_free(carob_platform_list_t *list)
{
	if (!list)
		return;
	carob_timer_cancel(list->kernel, &list->timer);
	close_connection(list);
	free(list);
}

void carob_platform_list_counters(carob_platform_list_counters_t *out,
				  const carob_platform_list_t *list)
{
	*out = list->counters;
}
