/* carob-store: emulates the platform's store. It serves listings and watches
 * over HTTP; commands write items and cause faults. */
#include "carobtrail/errors.h"
#include "emulator/common/cbor_json.h"
#include "emulator/common/command.h"
#include "items.h"
#include "writes.h"
#include "net/program.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define WAIT_MS_MAX  30000
#define DELAY_MS_MAX 60000
#define KEY_MAX	     200
#define VALUE_MAX    (48 * 1024)
#define HTTP_BUSY    503
#define HTTP_GONE    410
/* A copy of all items is made at this interval, and this many are kept. */
#define COPY_INTERVAL_MS 500
#define COPIES_MAX	 40
#define RESTORE_MS_MAX	 60000
#define LEASE_CHECK_MS	 100
/* Entries of upstreams. They expire if they are not written after a return. */
#define SERVERS_PREFIX "servers/"

/* How the store treats calls. */
typedef enum store_mode {
	MODE_SERVE,
	MODE_BUSY,   /* responds with status 503 */
	MODE_SILENT, /* never responds */
	MODE_RESET,  /* closes the connection */
} store_mode_t;

typedef struct store store_t;

/* A pending call: a watch that waits for a change, or a delayed call. */
typedef struct call {
	store_t *store;
	struct evhttp_request *request;
	char prefix[KEY_MAX + 1];
	uint64_t after; /* revision that a watch has seen */
	bool is_watch;
	carob_timer_t timer;
	struct call *prev;
	struct call *next;
} call_t;

struct store {
	carob_program_t program;
	carob_command_t *command;
	struct evhttp *server;
	store_items_t items;
	store_leases_t leases;
	carob_timer_t lease_timer; /* ends leases that have expired */
	store_mode_t mode;
	uint64_t delay_ms;
	call_t *calls;
	uint64_t call_count;
	carob_timer_t copy_timer;
	store_items_t copies[COPIES_MAX]; /* ring buffer */
	uint64_t copy_count;		  /* copies made so far */
	carob_timer_t restore_timer;	  /* ends the absence before a return */
	uint64_t restore_copy; /* number of the copy to return from */
	carob_timer_t expiry_timer;
	uint64_t expiry_ms; /* after a return; 0: entries do not expire */
	uint64_t expiry_revision;
};

static void reply(const store_t *store, struct evhttp_request *request,
		  int status, const carob_buf_t *body)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(request);
	char era[24];

	(void)snprintf(era, sizeof(era), "%" PRIu64, store->items.era);
	(void)evhttp_add_header(evhttp_request_get_output_headers(request),
				"Store-Era", era);
	if (body)
		(void)evbuffer_add(out, body->ptr, body->len);
	evhttp_send_reply(request, status, NULL, NULL);
}

static void call_free(call_t *call)
{
	DL_DELETE(call->store->calls, call);
	carob_timer_cancel(call->store->program.kernel, &call->timer);
	free(call);
}

static void on_closed(struct evhttp_connection *connection, void *arg)
{
	(void)connection;
	call_free(arg);
}

/* Ends a call with a response, whose body is converted from JSON to CBOR. */
static void end_call(call_t *call, int status, const carob_buf_t *json)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	struct evhttp_request *request = call->request;
	const store_t *store = call->store;
	struct evhttp_connection *connection =
		evhttp_request_get_connection(request);

	if (connection)
		evhttp_connection_set_closecb(connection, NULL, NULL);
	call_free(call);
	if (json)
		(void)cbor_json_encode_text(&body, carob_buf_view(json));
	reply(store, request, status, &body);
}

/* Returns whether the changes since a revision are known: it may be too old, or
 * of an era in which more had been written. */
static bool has_history(const store_items_t *items, uint64_t revision)
{
	return revision >= items->compacted_revision &&
	       revision <= items->revision;
}

static void respond_to_watch(call_t *call)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	store_items_t *items = &call->store->items;

	if (!has_history(items, call->after)) {
		end_call(call, HTTP_GONE, NULL);
		return;
	}
	(void)store_items_changes(&body, items, call->prefix, call->after);
	end_call(call, HTTP_OK, &body);
}

/* Reads the query parameter "after" without percent-decoding it: the store
 * compares keys as they are sent. */
static void copy_raw_after(char out[KEY_MAX + 1], const char *query)
{
	const char *start = query ? strstr(query, "after=") : NULL;
	size_t len = 0;

	out[0] = '\0';
	if (!start)
		return;
	start += strlen("after=");
	while (start[len] && start[len] != '&' && len < KEY_MAX)
		len++;
	(void)snprintf(out, KEY_MAX + 1, "%.*s", (int)len, start);
}

static void respond_to_list(call_t *call)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	char after[KEY_MAX + 1];

	copy_raw_after(after,
		       evhttp_uri_get_query(
			       evhttp_request_get_evhttp_uri(call->request)));
	(void)store_items_list(&body, &call->store->items, call->prefix, after);
	end_call(call, HTTP_OK, &body);
}

static void on_due(carob_timer_t *timer)
{
	call_t *call = CAROB_CONTAINER_OF(timer, call_t, timer);

	if (call->store->mode == MODE_SILENT)
		return; /* the call stays pending until its caller closes */
	if (call->is_watch)
		respond_to_watch(call);
	else
		respond_to_list(call);
}

/* Ends the watches that wait for an item that was just written. */
static void end_changed_watches(store_t *store)
{
	call_t *call;
	call_t *next;

	if (store->mode != MODE_SERVE)
		return;
	DL_FOREACH_SAFE (store->calls, call, next)
		if (call->is_watch &&
		    store_items_changed(&store->items, call->prefix,
					call->after))
			respond_to_watch(call);
}

static uint64_t query_number(const struct evkeyvalq *query, const char *name)
{
	const char *text = evhttp_find_header(query, name);

	return text ? strtoull(text, NULL, 10) : 0;
}

/* Returns how long a call stays pending at most, in milliseconds. */
static uint64_t call_timeout_ms(const call_t *call,
				const struct evkeyvalq *query)
{
	uint64_t wait_ms = query_number(query, "wait_ms");
	const store_t *store = call->store;

	if (!call->is_watch || !has_history(&store->items, call->after) ||
	    store_items_changed(&store->items, call->prefix, call->after))
		return store->delay_ms;
	return (wait_ms < WAIT_MS_MAX ? wait_ms : WAIT_MS_MAX) +
	       store->delay_ms;
}

static void begin_call(store_t *store, struct evhttp_request *request,
		       bool is_watch)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(request);
	call_t *call = calloc(1, sizeof(*call));
	struct evkeyvalq query;
	const char *prefix;

	if (!call) {
		reply(store, request, HTTP_BUSY, NULL);
		return;
	}
	(void)evhttp_parse_query_str(
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request)),
		&query);
	prefix = evhttp_find_header(&query, "prefix");
	call->store = store;
	call->request = request;
	call->is_watch = is_watch;
	call->after = query_number(&query, "after");
	call->timer.fire = on_due;
	(void)snprintf(call->prefix, sizeof(call->prefix), "%s",
		       prefix ? prefix : "");
	DL_APPEND(store->calls, call);
	evhttp_connection_set_closecb(connection, on_closed, call);
	(void)carob_timer_arm(store->program.kernel, &call->timer,
			      carob_kernel_now_ns(store->program.kernel) +
				      call_timeout_ms(call, &query) *
					      CAROB_NS_PER_MS);
	evhttp_clear_headers(&query);
}

static void execute_write(store_t *store, struct evhttp_request *request)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t json = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t body = CAROB_BUF_INIT;
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	store_write_t write = {
		.method = evhttp_request_get_command(request) ==
					  EVHTTP_REQ_DELETE
				  ? "DELETE"
				  : "POST",
		.path = evhttp_uri_get_path(
			evhttp_request_get_evhttp_uri(request)),
		.body = {(const char *)evbuffer_pullup(input, -1),
			 evbuffer_get_length(input)},
		.now_ns = carob_kernel_now_ns(store->program.kernel),
	};
	int status = store_write_execute(&json, &store->items, &store->leases,
					 &write);

	if (json.len > 0)
		(void)cbor_json_encode_text(&body, carob_buf_view(&json));
	reply(store, request, status, &body);
	end_changed_watches(store);
}

static void on_request(struct evhttp_request *request, void *arg)
{
	store_t *store = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	bool is_watch = strcmp(path, "/v1/kv-watch") == 0;

	store->call_count++;
	if (store->mode == MODE_BUSY) {
		reply(store, request, HTTP_BUSY, NULL);
	} else if (store->mode == MODE_RESET) {
		evhttp_connection_free(evhttp_request_get_connection(request));
	} else if (evhttp_request_get_command(request) != EVHTTP_REQ_GET &&
		   store->mode != MODE_SILENT) {
		execute_write(store, request);
	} else if (is_watch || strcmp(path, "/v1/kv-range") == 0) {
		begin_call(store, request, is_watch);
	} else {
		reply(store, request, HTTP_NOTFOUND, NULL);
	}
}

static int run_put(store_t *store, const carob_json_node_t *root)
{
	carob_str_t key;
	carob_str_t value;
	uint64_t times = 1;
	int error = carob_json_get_str(&key, root, "key", 1, KEY_MAX);

	if (!error)
		error = carob_json_get_str(&value, root, "value", 0, VALUE_MAX);
	if (!error)
		error = carob_json_get_u64_or(&times, root, "times", 1,
					      STORE_HISTORY_MAX, 1);
	for (uint64_t i = 0; !error && i < times; i++)
		error = store_items_write(&store->items, key, value);
	if (!error)
		end_changed_watches(store);
	return error;
}

static int run_remove(store_t *store, const carob_json_node_t *root)
{
	carob_str_t key;
	int error = carob_json_get_str(&key, root, "key", 1, KEY_MAX);

	if (!error)
		error = store_items_write(&store->items, key,
					  (carob_str_t){NULL, 0});
	if (!error)
		end_changed_watches(store);
	return error;
}

static void close_calls(store_t *store)
{
	call_t *call;
	call_t *next;

	DL_FOREACH_SAFE (store->calls, call, next)
		evhttp_connection_free(
			evhttp_request_get_connection(call->request));
}

static int run_mode(store_t *store, const carob_json_node_t *root)
{
	static const char *const names[] = {"serve", "busy", "silent", "reset"};
	carob_json_node_t node;
	size_t index;
	int error = carob_json_get(&node, root, "mode");

	if (!error)
		error = carob_json_choice(&index, &node, names,
					  CAROB_ARRAY_SIZE(names));
	if (!error)
		error = carob_json_get_u64_or(&store->delay_ms, root,
					      "delay_ms", 0, DELAY_MS_MAX, 0);
	if (error)
		return error;
	store->mode = (store_mode_t)index;
	if (store->mode == MODE_RESET)
		close_calls(store);
	return 0;
}

static int run_compact(store_t *store, const carob_json_node_t *root)
{
	(void)root;
	store_items_compact(&store->items);
	close_calls(store);
	return 0;
}

static void arm(store_t *store, carob_timer_t *timer, uint64_t ms)
{
	(void)carob_timer_arm(store->program.kernel, timer,
			      carob_kernel_now_ns(store->program.kernel) +
				      ms * CAROB_NS_PER_MS);
}

/* Copies all items, in place of the oldest copy. Without memory there is no
 * copy for this interval. */
static void on_copy(carob_timer_t *timer)
{
	store_t *store = CAROB_CONTAINER_OF(timer, store_t, copy_timer);
	store_items_t *copy = &store->copies[store->copy_count % COPIES_MAX];

	store_items_dispose(copy);
	if (store_items_copy(copy, &store->items) == 0)
		store->copy_count++;
	arm(store, &store->copy_timer, COPY_INTERVAL_MS);
}

static void on_lease_check(carob_timer_t *timer)
{
	store_t *store = CAROB_CONTAINER_OF(timer, store_t, lease_timer);

	if (store_leases_expire(&store->leases, &store->items,
				carob_kernel_now_ns(store->program.kernel)))
		end_changed_watches(store);
	arm(store, &store->lease_timer, LEASE_CHECK_MS);
}

static void on_expiry(carob_timer_t *timer)
{
	store_t *store = CAROB_CONTAINER_OF(timer, store_t, expiry_timer);

	(void)store_items_expire(&store->items, SERVERS_PREFIX,
				 store->expiry_revision);
	end_changed_watches(store);
}

static void on_restore(carob_timer_t *timer)
{
	store_t *store = CAROB_CONTAINER_OF(timer, store_t, restore_timer);

	(void)store_items_restore(
		&store->items,
		&store->copies[store->restore_copy % COPIES_MAX]);
	store_leases_clear(&store->leases, &store->items);
	/* Later copies are of data that the store does not have any more. */
	store->copy_count = store->restore_copy + 1;
	store->mode = MODE_SERVE;
	store->expiry_revision = store->items.revision;
	if (store->expiry_ms > 0)
		arm(store, &store->expiry_timer, store->expiry_ms);
}

/* Returns from a copy that is `age_ms` old, after the store has been away for
 * `down_ms`. Writes in that time are lost as well. */
static int run_restore(store_t *store, const carob_json_node_t *root)
{
	uint64_t age_ms = 0;
	uint64_t down_ms = 0;
	uint64_t steps;
	int error =
		carob_json_get_u64(&age_ms, root, "age_ms", 0, RESTORE_MS_MAX);

	if (!error)
		error = carob_json_get_u64_or(&down_ms, root, "down_ms", 0,
					      RESTORE_MS_MAX, 0);
	if (!error)
		error = carob_json_get_u64_or(&store->expiry_ms, root,
					      "expire_ms", 0, RESTORE_MS_MAX,
					      0);
	if (error)
		return error;
	steps = 1 + (age_ms + COPY_INTERVAL_MS - 1) / COPY_INTERVAL_MS;
	if (steps > COPIES_MAX || steps > store->copy_count)
		return carob_error_set(CAROB_ELIMIT,
				       "no copy is %" PRIu64 " ms old", age_ms);
	store->restore_copy = store->copy_count - steps;
	store->mode = MODE_RESET;
	close_calls(store);
	carob_timer_cancel(store->program.kernel, &store->copy_timer);
	arm(store, &store->copy_timer, down_ms + COPY_INTERVAL_MS);
	arm(store, &store->restore_timer, down_ms);
	return 0;
}

static const struct {
	const char *name;
	int (*run)(store_t *store, const carob_json_node_t *root);
} commands[] = {
	{"put", run_put},	  {"remove", run_remove},   {"mode", run_mode},
	{"compact", run_compact}, {"restore", run_restore},
};

static int on_command(carob_buf_t *answer, void *context,
		      const carob_json_node_t *root)
{
	store_t *store = context;
	size_t index;
	int error = carob_command_choose(&index, root, commands,
					 sizeof(commands[0]),
					 CAROB_ARRAY_SIZE(commands));

	if (!error)
		error = commands[index].run(store, root);
	if (error)
		return error;
	return carob_buf_printf(answer,
				",\"era\":%llu,\"revision\":%llu,"
				"\"calls\":%llu",
				(unsigned long long)store->items.era,
				(unsigned long long)store->items.revision,
				(unsigned long long)store->call_count);
}

static int open_store(store_t *store)
{
	static const char *const keys[] = {"listen", "command", "log_level"};
	carob_json_node_t root = carob_json_doc_root(store->program.settings);
	char ip[INET_ADDRSTRLEN] = "";
	carob_addr_t listen;
	carob_addr_t command;
	int error = carob_json_object(&root, keys, CAROB_ARRAY_SIZE(keys));

	if (!error)
		error = carob_json_get_addr(&listen, &root, "listen");
	if (!error)
		error = carob_json_get_addr(&command, &root, "command");
	if (error)
		return carob_program_refuse_settings(&store->program, error);
	store_items_init(&store->items);
	error = carob_command_open(&store->command, store->program.hub,
				   &command, on_command, store);
	if (error)
		return carob_program_fail(&store->program, error);
	store->server = evhttp_new(carob_loop_base(store->program.loop));
	(void)inet_ntop(AF_INET, listen.ip, ip, sizeof(ip));
	if (!store->server ||
	    evhttp_bind_socket(store->server, ip, listen.port) != 0)
		return carob_program_fail(&store->program,
					  carob_error_set(CAROB_EIO,
							  "cannot listen on "
							  "%s:%u",
							  ip, listen.port));
	evhttp_set_gencb(store->server, on_request, store);
	store->copy_timer.fire = on_copy;
	store->restore_timer.fire = on_restore;
	store->expiry_timer.fire = on_expiry;
	arm(store, &store->copy_timer, 0);
	store->lease_timer.fire = on_lease_check;
	arm(store, &store->lease_timer, LEASE_CHECK_MS);
	return 0;
}

int main(int argc, const char **argv)
{
	static store_t store = {.program.name = "carob-store"};

	if (carob_program_init(&store.program, argc, argv) == 0 &&
	    open_store(&store) == 0)
		carob_program_run(&store.program);
	close_calls(&store);
	if (store.server)
		evhttp_free(store.server);
	if (store.command)
		carob_command_close(store.command);
	store_items_dispose(&store.items);
	for (size_t i = 0; i < COPIES_MAX; i++)
		store_items_dispose(&store.copies[i]);
	carob_program_dispose(&store.program);
	return store.program.exit_status;
}
