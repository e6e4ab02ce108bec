/* The platform's store: kv-range and kv-watch over HTTP, bodies in CBOR. */
#include "standin.h"
#include "loop.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ITEMS_MAX  256
#define EVENTS_MAX 20000
#define CONNS_MAX  256

typedef struct item {
	char key[200];
	buf_t value;
	uint64_t revision, created;
	bool used;
} item_t;

typedef struct event {
	char key[200];
	buf_t value;
	uint64_t revision, created;
	bool tombstone;
} event_t;

typedef struct conn {
	int fd;
	buf_t in;
	bool silent;  /* nothing is read, sent or closed any more */
	bool waiting; /* a watch */
	uint64_t after, deadline_ms;
} conn_t;

static item_t items[ITEMS_MAX];
static size_t item_count;
static event_t events[EVENTS_MAX];
static size_t event_count;
static uint64_t revision = 1;
static conn_t conns[CONNS_MAX];
static int listener;
uint64_t store_calls;

void store_start(void)
{
	listener = tcp_listen(STORE_IP, STORE_PORT);
	for (size_t i = 0; i < CONNS_MAX; i++)
		conns[i].fd = -1;
}

static void base64(buf_t *out, const buf_t *in)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < in->len; i += 3) {
		size_t rest = in->len - i < 3 ? in->len - i : 3;
		uint32_t v = (uint32_t)in->bytes[i] << 16;
		char text[4];

		v |= rest > 1 ? (uint32_t)in->bytes[i + 1] << 8 : 0;
		v |= rest > 2 ? in->bytes[i + 2] : 0;
		text[0] = digits[v >> 18];
		text[1] = digits[v >> 12 & 63];
		text[2] = rest > 1 ? digits[v >> 6 & 63] : '=';
		text[3] = rest > 2 ? digits[v & 63] : '=';
		buf_add(out, text, 4);
	}
}

static void write_item(buf_t *out, const char *key, const buf_t *value,
		       uint64_t rev, uint64_t created)
{
	buf_t text = {0};

	base64(&text, value);
	cbor_map(out, 5);
	cbor_text(out, "key");
	cbor_text(out, key);
	cbor_text(out, "value");
	cbor_text_n(out, (char *)text.bytes, text.len);
	cbor_text(out, "revision");
	cbor_uint(out, rev);
	cbor_text(out, "created");
	cbor_uint(out, created);
	cbor_text(out, "lease");
	cbor_uint(out, 0);
	buf_free(&text);
}

static void respond(conn_t *conn, int status, const buf_t *body)
{
	char head[200];
	int len = snprintf(head, sizeof(head),
			   "HTTP/1.1 %d X\r\nContent-Type: application/cbor\r\n"
			   "Content-Length: %zu\r\n\r\n",
			   status, body ? body->len : 0);
	buf_t all = {0};

	buf_add(&all, head, (size_t)len);
	if (body)
		buf_add(&all, body->bytes, body->len);
	if (send(conn->fd, all.bytes, all.len, MSG_NOSIGNAL) !=
	    (ssize_t)all.len)
		record("store: a response was cut");
	buf_free(&all);
}

static void respond_range(conn_t *conn)
{
	buf_t body = {0};
	size_t used = 0;

	for (size_t i = 0; i < item_count; i++)
		used += items[i].used;
	cbor_map(&body, 3);
	cbor_text(&body, "items");
	cbor_array(&body, used);
	for (size_t i = 0; i < item_count; i++)
		if (items[i].used)
			write_item(&body, items[i].key, &items[i].value,
				   items[i].revision, items[i].created);
	cbor_text(&body, "truncated");
	cbor_bool(&body, false);
	cbor_text(&body, "current_rev");
	cbor_uint(&body, revision);
	respond(conn, 200, &body);
	buf_free(&body);
}

/* @return whether it has responded */
static bool respond_watch(conn_t *conn, bool at_end)
{
	buf_t body = {0};
	size_t first = 0;

	while (first < event_count && events[first].revision <= conn->after)
		first++;
	if (first == event_count && !at_end)
		return false;
	cbor_map(&body, 2);
	cbor_text(&body, "events");
	cbor_array(&body, event_count - first);
	for (size_t i = first; i < event_count; i++) {
		if (!events[i].tombstone) {
			write_item(&body, events[i].key, &events[i].value,
				   events[i].revision, events[i].created);
			continue;
		}
		cbor_map(&body, 3);
		cbor_text(&body, "key");
		cbor_text(&body, events[i].key);
		cbor_text(&body, "revision");
		cbor_uint(&body, events[i].revision);
		cbor_text(&body, "tombstone");
		cbor_bool(&body, true);
	}
	cbor_text(&body, "current_rev");
	cbor_uint(&body, revision);
	respond(conn, 200, &body);
	buf_free(&body);
	return true;
}

static uint64_t query_number(const char *request, const char *name)
{
	const char *at = strstr(request, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static void handle_request(conn_t *conn, const char *request)
{
	store_calls++;
	if (strncmp(request, "GET /v1/kv-range?", 17) == 0) {
		respond_range(conn);
	} else if (strncmp(request, "GET /v1/kv-watch?", 17) == 0) {
		conn->after = query_number(request, "after=");
		conn->deadline_ms =
			now_ms() + query_number(request, "wait_ms=");
		conn->waiting = !respond_watch(conn, false);
	} else {
		respond(conn, 503, NULL);
	}
}

static void conn_close(conn_t *conn)
{
	close(conn->fd);
	buf_free(&conn->in);
	*conn = (conn_t){.fd = -1};
}

static void on_conn(size_t index)
{
	conn_t *conn = &conns[index];
	uint8_t bytes[4096];
	ssize_t len = recv(conn->fd, bytes, sizeof(bytes), 0);

	if (len == 0 || (len < 0 && errno != EAGAIN)) {
		conn_close(conn);
		return;
	}
	if (len < 0)
		return;
	buf_add(&conn->in, bytes, (size_t)len);
	buf_add(&conn->in, "", 1);
	conn->in.len--;
	if (strstr((char *)conn->in.bytes, "\r\n\r\n")) {
		handle_request(conn, (char *)conn->in.bytes);
		conn->in.len = 0;
	}
}

static void on_accept(size_t index)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)index;
	for (size_t i = 0; fd >= 0 && i < CONNS_MAX; i++)
		if (conns[i].fd < 0) {
			conns[i] = (conn_t){.fd = fd};
			return;
		}
	if (fd >= 0)
		close(fd);
}

void store_watch_fds(void)
{
	loop_add(listener, on_accept, 0);
	for (size_t i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd >= 0 && !conns[i].silent)
			loop_add(conns[i].fd, on_conn, i);
}

void store_tick(void)
{
	for (size_t i = 0; i < CONNS_MAX; i++) {
		conn_t *conn = &conns[i];

		if (conn->fd < 0 || !conn->waiting || conn->silent)
			continue;
		if (respond_watch(conn, now_ms() >= conn->deadline_ms))
			conn->waiting = false;
	}
}

static void add_event(const char *key, const buf_t *value, uint64_t created)
{
	event_t *event = &events[event_count++];

	if (event_count == EVENTS_MAX)
		exit(2);
	snprintf(event->key, sizeof(event->key), "%s", key);
	event->revision = revision;
	event->created = created;
	event->tombstone = !value;
	if (value)
		buf_add(&event->value, value->bytes, value->len);
}

static item_t *find_item(const char *key)
{
	for (size_t i = 0; i < item_count; i++)
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	return NULL;
}

uint64_t store_put(const char *key, const buf_t *value)
{
	item_t *item = find_item(key);

	revision++;
	if (!item) {
		if (item_count == ITEMS_MAX)
			exit(2);
		item = &items[item_count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	if (!item->used)
		item->created = revision;
	item->used = true;
	item->revision = revision;
	item->value.len = 0;
	buf_add(&item->value, value->bytes, value->len);
	add_event(key, value, item->created);
	store_tick();
	return revision;
}

uint64_t store_remove(const char *key)
{
	item_t *item = find_item(key);

	if (!item || !item->used)
		return revision;
	revision++;
	item->used = false;
	add_event(key, NULL, 0);
	store_tick();
	return revision;
}

int store_silence_connections(void)
{
	int count = 0;

	for (size_t i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd >= 0 && !conns[i].silent) {
			conns[i].silent = true;
			count++;
		}
	return count;
}
