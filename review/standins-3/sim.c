#define _GNU_SOURCE
#include "sim.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define FLOWD	    "target/bin/carob-flowd"
#define HEAD	    34
#define PACKET_MAX  1400
#define SUM_KEY	    0x9e3779b97f4a7c15ULL
#define RUN_S_MAX   118
#define GRACE_MS    6000
#define CHECK_MS    500
#define STORE_CONNS 64
#define ITEMS_MAX   512
#define EVENTS_MAX  4096
#define VALUE_MAX   (1024 * 1024)
#define PAGE_ITEMS  500
#define PAGE_BYTES  1000000
#define HOST_FLOWS  256

enum {
	FLAG_RST = 1,
	FLAG_FIN = 4,
	FLAG_SYN = 32,
	FLAG_ACK = 128
};

typedef struct packet {
	uint32_t seq, ack, src, dst, echo, sum;
	uint16_t len, sport, dport;
	uint8_t flags;
	uint8_t data[1200];
} packet_t;

/* A flow as its host knows it. */
typedef struct host_flow {
	bool used, open, closing;
	int host;
	uint32_t client, route;
	uint16_t cport, rport;
	uint32_t client_seq, seq, ack, echo, acked;
	uint32_t request; /* that runs */
	bool close_asked;
	uint64_t done_ms; /* when it has run */
	uint64_t due_ms, wait_ms;
	int transmissions;
	packet_t last; /* response that is not acknowledged */
} host_flow_t;

typedef struct item {
	char key[64];
	const uint8_t *value; /* never freed: events refer to it */
	size_t len;
	uint64_t revision, created;
	bool gone;
} item_t;

typedef struct conn {
	int fd;
	char in[16384];
	size_t len;
	bool watching;
	uint64_t after, until_ms;
} conn_t;

sim_machine_t sim_machines[SIM_MACHINES];
int sim_machine_count;
sim_host_t sim_hosts[SIM_HOSTS];
int sim_host_count;
sim_flow_t sim_flows[SIM_FLOWS];
uint32_t sim_net;
uint64_t sim_work_ms = 20;
uint32_t sim_idle_timeout_ms = 15000;
uint32_t sim_memory_mb;

static host_flow_t host_flows[HOST_FLOWS];
static item_t items[ITEMS_MAX];
static int item_count;
static item_t *events;
static int event_count;
static uint64_t revision = 100;
static conn_t conns[STORE_CONNS];
static int store_fd, client_fd;
static int store_host = 1; /* last byte of the store's address */
static FILE *record;
static char folder[64];
static uint64_t start_ms;
static uint32_t next_request = 1;
static uint64_t term_ms[SIM_MACHINES];
static uint64_t random_state;

static uint64_t clock_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t sim_now_ms(void)
{
	return clock_ms() - start_ms;
}

static uint32_t random_u32(void)
{
	random_state =
		random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(random_state >> 32);
}

static void fail(const char *what)
{
	fprintf(stderr, "cannot run: %s: %s\n", what, strerror(errno));
	sim_end();
	exit(2);
}

void sim_note(const char *format, ...)
{
	va_list args;

	fprintf(record, "%7.3f ", (double)sim_now_ms() / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

static const char *ip_text(uint32_t ip)
{
	static char text[4][INET_ADDRSTRLEN];
	static int next;
	struct in_addr addr = {htonl(ip)};

	next = (next + 1) % 4;
	return inet_ntop(AF_INET, &addr, text[next], sizeof(text[0]));
}

static struct sockaddr_in address(uint32_t ip, uint16_t port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(ip),
				    .sin_port = htons(port)};
}

static int open_socket(int type, uint32_t ip, uint16_t port)
{
	struct sockaddr_in addr = address(ip, port);
	int on = 1;
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		fail("socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		fail("bind");
	if (type == SOCK_STREAM && listen(fd, 64) != 0)
		fail("listen");
	return fd;
}

/* --- packets --- */

static void put(uint8_t *at, int bytes, uint64_t value)
{
	for (int i = bytes; i-- > 0; value >>= 8)
		at[i] = (uint8_t)value;
}

static uint64_t get(const uint8_t *at, int bytes)
{
	uint64_t value = 0;

	for (int i = 0; i < bytes; i++)
		value = value << 8 | at[i];
	return value;
}

/* The keyed sum: over all fields but echo, pad and the flag BOUNCED. */
static uint32_t sum_of(const packet_t *packet)
{
	uint64_t hash = SUM_KEY;
	uint64_t words[] = {packet->len,   packet->seq,	 packet->ack,
			    packet->flags, packet->src,	 packet->dst,
			    packet->sport, packet->dport};

	for (size_t i = 0; i < sizeof(words) / sizeof(words[0]); i++)
		hash = (hash ^ words[i]) * 0x100000001b3ULL ^ hash >> 29;
	for (size_t i = 0; i < packet->len; i++)
		hash = (hash ^ packet->data[i]) * 0x100000001b3ULL ^ hash >> 29;
	return (uint32_t)(hash >> 16) | 1;
}

static size_t encode(uint8_t *out, const packet_t *packet)
{
	memset(out, 0, HEAD);
	put(out, 2, packet->len);
	put(out + 2, 4, packet->seq);
	put(out + 6, 4, packet->ack);
	out[10] = packet->flags;
	put(out + 14, 4, packet->src);
	put(out + 18, 4, packet->dst);
	put(out + 22, 2, packet->sport);
	put(out + 24, 2, packet->dport);
	put(out + 26, 4, packet->echo);
	put(out + 30, 4, sum_of(packet));
	memcpy(out + HEAD, packet->data, packet->len);
	return HEAD + packet->len;
}

static bool decode(packet_t *out, const uint8_t *in, size_t len)
{
	if (len < HEAD || len != HEAD + get(in, 2) || len > HEAD + 1200)
		return false;
	out->len = (uint16_t)get(in, 2);
	out->seq = (uint32_t)get(in + 2, 4);
	out->ack = (uint32_t)get(in + 6, 4);
	out->flags = in[10];
	out->src = (uint32_t)get(in + 14, 4);
	out->dst = (uint32_t)get(in + 18, 4);
	out->sport = (uint16_t)get(in + 22, 2);
	out->dport = (uint16_t)get(in + 24, 2);
	out->echo = (uint32_t)get(in + 26, 4);
	out->sum = (uint32_t)get(in + 30, 4);
	memcpy(out->data, in + HEAD, out->len);
	return true;
}

static void send_to(int fd, uint32_t ip, uint16_t port, const uint8_t *data,
		    size_t len)
{
	struct sockaddr_in addr = address(ip, port);

	(void)sendto(fd, data, len, 0, (struct sockaddr *)&addr, sizeof(addr));
}

/* --- the store --- */

static size_t cbor_head(uint8_t *out, int major, uint64_t value)
{
	int bytes = value < 24		 ? 0
		    : value < 256	 ? 1
		    : value < 65536	 ? 2
		    : value < 1ULL << 32 ? 4
					 : 8;
	int info = bytes == 0	? (int)value
		   : bytes == 1 ? 24
		   : bytes == 2 ? 25
		   : bytes == 4 ? 26
				: 27;

	out[0] = (uint8_t)(major << 5 | info);
	put(out + 1, bytes, value);
	return 1 + (size_t)bytes;
}

typedef struct cbor {
	uint8_t *data;
	size_t len, cap;
} cbor_t;

static void cbor_room(cbor_t *cbor, size_t more)
{
	if (cbor->len + more <= cbor->cap)
		return;
	cbor->cap = 2 * (cbor->cap + more);
	cbor->data = realloc(cbor->data, cbor->cap);
	if (!cbor->data)
		fail("memory");
}

static void cbor_put(cbor_t *cbor, int major, uint64_t value)
{
	cbor_room(cbor, 9);
	cbor->len += cbor_head(cbor->data + cbor->len, major, value);
}

static void cbor_text(cbor_t *cbor, const char *text, size_t len)
{
	cbor_put(cbor, 3, len);
	cbor_room(cbor, len);
	memcpy(cbor->data + cbor->len, text, len);
	cbor->len += len;
}

static void cbor_str(cbor_t *cbor, const char *text)
{
	cbor_text(cbor, text, strlen(text));
}

static void cbor_field(cbor_t *cbor, const char *name, uint64_t value)
{
	cbor_str(cbor, name);
	cbor_put(cbor, 0, value);
}

static void cbor_field_str(cbor_t *cbor, const char *name, const char *value)
{
	cbor_str(cbor, name);
	cbor_str(cbor, value);
}

static void cbor_base64(cbor_t *cbor, const uint8_t *in, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *text = malloc(4 * (len / 3 + 1) + 1);
	size_t used = 0;

	if (!text)
		fail("memory");
	for (size_t i = 0; i < len; i += 3) {
		uint32_t word = (uint32_t)in[i] << 16;

		if (i + 1 < len)
			word |= (uint32_t)in[i + 1] << 8;
		if (i + 2 < len)
			word |= in[i + 2];
		text[used++] = digits[word >> 18];
		text[used++] = digits[word >> 12 & 63];
		text[used++] = i + 1 < len ? digits[word >> 6 & 63] : '=';
		text[used++] = i + 2 < len ? digits[word & 63] : '=';
	}
	cbor_text(cbor, text, used);
	free(text);
}

static void cbor_item(cbor_t *cbor, const item_t *item)
{
	if (item->gone) {
		cbor_put(cbor, 5, 3);
		cbor_field_str(cbor, "key", item->key);
		cbor_field(cbor, "revision", item->revision);
		cbor_str(cbor, "tombstone");
		cbor_put(cbor, 7, 21);
		return;
	}
	cbor_put(cbor, 5, 5);
	cbor_field_str(cbor, "key", item->key);
	cbor_str(cbor, "value");
	cbor_base64(cbor, item->value, item->len);
	cbor_field(cbor, "revision", item->revision);
	cbor_field(cbor, "created", item->created);
	cbor_field(cbor, "lease", 0);
}

static void write_all(int fd, const void *data, size_t len)
{
	const uint8_t *at = data;

	while (len > 0) {
		ssize_t sent = send(fd, at, len, MSG_NOSIGNAL);
		struct pollfd poller = {fd, POLLOUT, 0};

		if (sent < 0 && errno != EAGAIN)
			return;
		if (sent < 0) {
			if (poll(&poller, 1, 100) < 1)
				return;
			continue;
		}
		at += sent;
		len -= (size_t)sent;
	}
}

static void respond(conn_t *conn, int status, const cbor_t *body)
{
	char head[160];
	int len =
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d OK\r\nContent-Type: application/cbor\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, body ? body->len : 0);

	conn->watching = false;
	write_all(conn->fd, head, (size_t)len);
	if (body)
		write_all(conn->fd, body->data, body->len);
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const item_t *)a)->key, ((const item_t *)b)->key);
}

/* A page has 500 items or 1 MB at most. */
static void respond_list(conn_t *conn, const char *after)
{
	cbor_t page = {0};
	cbor_t cbor = {0};
	bool truncated = false;
	int count = 0;

	qsort(items, (size_t)item_count, sizeof(items[0]), compare_items);
	for (int i = 0; i < item_count && !truncated; i++) {
		if (items[i].gone || strcmp(items[i].key, after) <= 0)
			continue;
		truncated = count == PAGE_ITEMS || page.len > PAGE_BYTES;
		if (truncated)
			break;
		cbor_item(&page, &items[i]);
		count++;
	}
	cbor_put(&cbor, 5, 3);
	cbor_str(&cbor, "items");
	cbor_put(&cbor, 4, (uint64_t)count);
	cbor_room(&cbor, page.len);
	memcpy(cbor.data + cbor.len, page.data, page.len);
	cbor.len += page.len;
	cbor_str(&cbor, "truncated");
	cbor_put(&cbor, 7, truncated ? 21 : 20);
	cbor_field(&cbor, "current_rev", revision);
	respond(conn, 200, &cbor);
	free(cbor.data);
	free(page.data);
}

static void respond_watch(conn_t *conn)
{
	cbor_t cbor = {0};
	int count = 0;

	for (int i = 0; i < event_count; i++)
		count += events[i].revision > conn->after;
	cbor_put(&cbor, 5, 2);
	cbor_str(&cbor, "events");
	cbor_put(&cbor, 4, (uint64_t)count);
	for (int i = 0; i < event_count; i++)
		if (events[i].revision > conn->after)
			cbor_item(&cbor, &events[i]);
	cbor_field(&cbor, "current_rev", revision);
	respond(conn, 200, &cbor);
	free(cbor.data);
}

static void write_item(const char *key, const cbor_t *value)
{
	item_t *item = NULL;

	for (int i = 0; i < item_count; i++)
		if (strcmp(items[i].key, key) == 0)
			item = &items[i];
	if (!item) {
		if (item_count == ITEMS_MAX || event_count == EVENTS_MAX)
			fail("too many items");
		item = &items[item_count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	item->revision = ++revision;
	if (item->gone || item->created == 0)
		item->created = revision;
	item->gone = !value;
	if (value && value->len > VALUE_MAX)
		fail("value too long");
	if (value) {
		uint8_t *copy = malloc(value->len);

		if (!copy)
			fail("memory");
		memcpy(copy, value->data, value->len);
		item->value = copy;
		item->len = value->len;
	}
	events[event_count++] = *item;
	for (int i = 0; i < STORE_CONNS; i++)
		if (conns[i].fd >= 0 && conns[i].watching)
			respond_watch(&conns[i]);
}

static uint64_t query_number(const char *line, const char *name)
{
	const char *at = strstr(line, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

/* Leases are granted and transactions refused: no deployment of this size
 * needs them. */
static void serve_write(conn_t *conn, const char *line)
{
	cbor_t cbor = {0};

	if (strncmp(line, "POST /v1/kv-lease ", 18) == 0) {
		cbor_put(&cbor, 5, 2);
		cbor_field(&cbor, "lease", 77);
		cbor_field(&cbor, "ttl_ms", 6000);
		respond(conn, 200, &cbor);
	} else {
		respond(conn, 503, NULL);
	}
	free(cbor.data);
}

static void serve_call(conn_t *conn, const char *line)
{
	char after[64] = "";
	const char *at = strstr(line, "&after=");

	if (strncmp(line, "GET /v1/kv-watch?", 17) == 0) {
		conn->watching = true;
		conn->after = query_number(line, "&after=");
		conn->until_ms = sim_now_ms() + query_number(line, "&wait_ms=");
		if (conn->after < revision)
			respond_watch(conn);
	} else if (strncmp(line, "GET /v1/kv-range?", 17) == 0) {
		if (at)
			sscanf(at + 7, "%63[^& ]", after);
		respond_list(conn, after);
	} else if (strncmp(line, "GET ", 4) != 0) {
		serve_write(conn, line);
	} else {
		respond(conn, 404, NULL);
	}
}

static void close_conn(conn_t *conn)
{
	close(conn->fd);
	conn->fd = -1;
}

static void read_conn(conn_t *conn)
{
	ssize_t got = recv(conn->fd, conn->in + conn->len,
			   sizeof(conn->in) - 1 - conn->len, 0);
	char *end;

	if (got == 0 || (got < 0 && errno != EAGAIN)) {
		close_conn(conn);
		return;
	}
	if (got < 0)
		return;
	conn->len += (size_t)got;
	conn->in[conn->len] = '\0';
	while (conn->fd >= 0 && (end = strstr(conn->in, "\r\n\r\n"))) {
		size_t body = query_number(conn->in, "Content-Length: ");
		size_t whole = (size_t)(end + 4 - conn->in) + body;

		if (conn->len < whole)
			return;
		serve_call(conn, conn->in);
		conn->len -= whole;
		memmove(conn->in, conn->in + whole, conn->len + 1);
	}
}

static void accept_conn(void)
{
	int fd = accept4(store_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	for (int i = 0; fd >= 0 && i < STORE_CONNS; i++)
		if (conns[i].fd < 0) {
			conns[i] = (conn_t){.fd = fd};
			return;
		}
	if (fd >= 0)
		close(fd);
}

static void check_watches(void)
{
	for (int i = 0; i < STORE_CONNS; i++)
		if (conns[i].fd >= 0 && conns[i].watching &&
		    sim_now_ms() >= conns[i].until_ms)
			respond_watch(&conns[i]);
}

uint32_t sim_route_ip(int number)
{
	return number == 0 ? 0xc6120001U : 0xc6130000U + (uint32_t)number / 8;
}

uint16_t sim_route_port(int number)
{
	return (uint16_t)(8080 + number % 8);
}

static void cbor_route(cbor_t *cbor, int number, const char *type,
		       const char *service)
{
	char name[16];
	char prefix[16];

	snprintf(name, sizeof(name), "r-%d", number);
	snprintf(prefix, sizeof(prefix), "/%u/", sim_route_port(number));
	cbor_put(cbor, 5, 9);
	cbor_field_str(cbor, "name", name);
	cbor_field_str(cbor, "hostname", ip_text(sim_route_ip(number)));
	cbor_field_str(cbor, "prefix", prefix);
	cbor_field_str(cbor, "route_type", type);
	cbor_field(cbor, "timeout_ms", 1500);
	cbor_field(cbor, "target_latency_ms", 150);
	cbor_field(cbor, "priority", 1);
	cbor_field_str(cbor, "service", service);
	cbor_field(cbor, "max_attempts", 2);
}

void sim_put_config(int version, const char *type, const char *service,
		    int first, int count)
{
	cbor_t cbor = {0};

	cbor_put(&cbor, 5, 4);
	cbor_field(&cbor, "version", (uint64_t)version);
	cbor_str(&cbor, "routes");
	cbor_put(&cbor, 4, 1 + (uint64_t)count);
	cbor_route(&cbor, 0, type, service);
	for (int i = first; i < first + count; i++)
		cbor_route(&cbor, i, type, service);
	cbor_str(&cbor, "services");
	cbor_put(&cbor, 4, 1);
	cbor_put(&cbor, 5, 3);
	cbor_field_str(&cbor, "name", service);
	cbor_field_str(&cbor, "health_path", "/health");
	cbor_field(&cbor, "max_conns", 2000);
	cbor_str(&cbor, "limits");
	cbor_put(&cbor, 5, 1);
	cbor_field(&cbor, "idle_timeout_ms", sim_idle_timeout_ms);
	sim_note("store: configuration %d: route 0 and %d more from %d on, %s, "
		 "to %s; %zu bytes",
		 version, count, first, type, service, cbor.len);
	write_item("op/config", &cbor);
	free(cbor.data);
}

void sim_put_host(int index, const char *state)
{
	sim_host_t *host = &sim_hosts[index];
	cbor_t cbor = {0};
	char address_text[32];
	char key[64];

	snprintf(address_text, sizeof(address_text), "%s:%d", ip_text(host->ip),
		 SIM_HOST_PORT);
	snprintf(key, sizeof(key), "servers/%s", host->id);
	cbor_put(&cbor, 5, 9);
	cbor_field_str(&cbor, "service", host->service);
	cbor_field_str(&cbor, "address", address_text);
	cbor_field_str(&cbor, "zone", host->zone);
	cbor_field_str(&cbor, "version", "v1");
	cbor_field(&cbor, "slots", 2);
	cbor_field_str(&cbor, "state", state);
	cbor_field(&cbor, "cold_ms", 0);
	cbor_field(&cbor, "seq", 1);
	cbor_field(&cbor, "born", 1765100000000ULL);
	write_item(key, &cbor);
	sim_note("store: host %d (%s) at %s is %s", index, host->id,
		 address_text, state);
	free(cbor.data);
}

void sim_put_foreign(const char *id, int version, size_t count)
{
	cbor_t cbor = {0};
	char key[64];

	cbor_put(&cbor, 5, 2);
	cbor_field(&cbor, "seq", (uint64_t)version);
	cbor_str(&cbor, "service");
	cbor_put(&cbor, 4, count);
	for (size_t i = 0; i < count; i++)
		cbor_put(&cbor, 5, 0);
	snprintf(key, sizeof(key), "servers/%s", id);
	write_item(key, &cbor);
	free(cbor.data);
}

/* --- hosts --- */

static void host_send(host_flow_t *flow, uint8_t flags, const char *text)
{
	packet_t packet = {.seq = flow->seq,
			   .ack = flow->ack,
			   .flags = flags,
			   .src = flow->route,
			   .dst = flow->client,
			   .sport = flow->rport,
			   .dport = flow->cport,
			   .echo = flow->echo};
	uint8_t data[PACKET_MAX];
	size_t len;

	if (text) {
		packet.len = (uint16_t)strlen(text);
		memcpy(packet.data, text, packet.len);
	}
	len = encode(data, &packet);
	send_to(sim_hosts[flow->host].fd, flow->client, SIM_PACKET_PORT, data,
		len);
	if (packet.len == 0 && !(flags & FLAG_FIN))
		return;
	flow->last = packet;
	flow->seq += packet.len + (flags & FLAG_FIN ? 1 : 0);
	flow->wait_ms = 200;
	flow->due_ms = sim_now_ms() + flow->wait_ms;
	flow->transmissions = 1;
}

static void host_reset(int host, const packet_t *cause)
{
	packet_t packet = {.seq = cause->ack,
			   .flags = FLAG_RST,
			   .src = cause->dst,
			   .dst = cause->src,
			   .sport = cause->dport,
			   .dport = cause->sport,
			   .echo = cause->echo};
	uint8_t data[PACKET_MAX];

	if (cause->flags & FLAG_RST)
		return;
	sim_note("host %d: a packet of a flow that it does not hold, from port "
		 "%u: sends a reset",
		 host, cause->sport);
	send_to(sim_hosts[host].fd, cause->src, SIM_PACKET_PORT, data,
		encode(data, &packet));
}

static host_flow_t *host_find(int host, const packet_t *packet)
{
	for (int i = 0; i < HOST_FLOWS; i++) {
		host_flow_t *flow = &host_flows[i];

		if (flow->used && flow->host == host &&
		    flow->client == packet->src &&
		    flow->cport == packet->sport &&
		    flow->route == packet->dst && flow->rport == packet->dport)
			return flow;
	}
	return NULL;
}

static void host_syn(int host, const packet_t *packet, host_flow_t *flow)
{
	if (flow && flow->client_seq != packet->seq)
		flow->used = false;
	if (!flow || !flow->used) {
		flow = NULL;
		for (int i = 0; i < HOST_FLOWS && !flow; i++)
			if (!host_flows[i].used)
				flow = &host_flows[i];
		if (!flow)
			return;
		*flow = (host_flow_t){.used = true,
				      .host = host,
				      .client = packet->src,
				      .cport = packet->sport,
				      .route = packet->dst,
				      .rport = packet->dport,
				      .client_seq = packet->seq,
				      .seq = random_u32(),
				      .ack = packet->seq + 1};
	}
	flow->echo = packet->echo;
	if (!flow->open)
		host_send(flow, FLAG_SYN | FLAG_ACK, NULL);
}

/* Runs a request: "REQ ID" or, to close the flow afterwards, "END ID". */
static void host_data(host_flow_t *flow, const packet_t *packet)
{
	char text[64];
	char kind[4];
	uint32_t id;

	if (packet->seq != flow->ack) /* a copy */
		return;
	flow->ack += packet->len;
	snprintf(text, sizeof(text), "%.*s",
		 packet->len < 60 ? packet->len : 60, packet->data);
	if (sscanf(text, "%3s %u", kind, &id) != 2)
		return;
	flow->request = id;
	flow->close_asked = strcmp(kind, "END") == 0;
	flow->done_ms = sim_now_ms() + sim_work_ms;
	sim_hosts[flow->host].runs++;
	sim_note("host %d: runs request %u of port %u", flow->host, id,
		 flow->cport);
}

static void host_packet(int host, const packet_t *packet)
{
	host_flow_t *flow = host_find(host, packet);

	if (packet->flags & FLAG_SYN) {
		host_syn(host, packet, flow);
		return;
	}
	if (packet->flags & FLAG_RST) {
		if (flow)
			flow->used = false;
		return;
	}
	if (!flow || (!flow->open && packet->ack != flow->seq + 1)) {
		host_reset(host, packet);
		return;
	}
	if (!flow->open) {
		flow->open = true;
		flow->seq++;
	}
	flow->echo = packet->echo;
	if (flow->due_ms && packet->ack == flow->seq)
		flow->due_ms = 0;
	if (packet->len > 0)
		host_data(flow, packet);
	if (packet->flags & FLAG_FIN) {
		flow->ack = packet->seq + packet->len + 1;
		host_send(flow, flow->closing ? FLAG_ACK : FLAG_ACK | FLAG_FIN,
			  NULL);
		flow->closing = true;
	}
	if (flow->closing && !flow->due_ms)
		flow->used = false;
}

static void host_work(host_flow_t *flow)
{
	uint64_t now = sim_now_ms();
	uint8_t data[PACKET_MAX];
	char text[64];

	if (flow->request && now >= flow->done_ms) {
		snprintf(text, sizeof(text), "RSP %u %d", flow->request,
			 flow->host);
		flow->request = 0;
		flow->closing = flow->close_asked;
		host_send(flow, flow->closing ? FLAG_ACK | FLAG_FIN : FLAG_ACK,
			  text);
	} else if (flow->due_ms && now >= flow->due_ms) {
		if (++flow->transmissions > 9) {
			flow->used = false;
			return;
		}
		send_to(sim_hosts[flow->host].fd, flow->client, SIM_PACKET_PORT,
			data, encode(data, &flow->last));
		flow->wait_ms = flow->wait_ms < 800 ? 2 * flow->wait_ms : 1600;
		flow->due_ms = now + flow->wait_ms;
	}
}

static sim_flow_t *flow_of_port(uint16_t port)
{
	for (int i = 0; i < SIM_FLOWS; i++)
		if (sim_flows[i].state != SIM_FLOW_NONE &&
		    sim_flows[i].port == port)
			return &sim_flows[i];
	return NULL;
}

static void read_host(int host)
{
	uint8_t data[PACKET_MAX];
	packet_t packet;
	ssize_t len;

	while ((len = recv(sim_hosts[host].fd, data, sizeof(data), 0)) > 8) {
		uint64_t number = get(data, 8);
		sim_flow_t *flow;

		if (number != 0 && number != sim_hosts[host].number)
			continue;
		if (!decode(&packet, data + 8, (size_t)len - 8))
			continue;
		if (packet.sum != sum_of(&packet))
			sim_note("host %d: UNASKED: a packet with a wrong sum",
				 host);
		flow = flow_of_port(packet.sport);
		if (flow && flow->state == SIM_FLOW_OPEN &&
		    !(packet.flags & FLAG_SYN)) {
			if (flow->host == host)
				flow->at_own++;
			else
				flow->at_other++;
		}
		host_packet(host, &packet);
	}
}

int sim_add_host(const char *service, const char *zone)
{
	sim_host_t *host = &sim_hosts[sim_host_count];

	*host = (sim_host_t){.service = service, .zone = zone};
	host->number = 0x10000000U | (random_u32() & 0x0fffffffU);
	host->ip = sim_net | (uint32_t)(100 + sim_host_count);
	snprintf(host->id, sizeof(host->id), "i-%08llx",
		 (unsigned long long)host->number);
	host->fd = open_socket(SOCK_DGRAM, host->ip, SIM_HOST_PORT);
	sim_put_host(sim_host_count, "ready");
	return sim_host_count++;
}

/* --- machines and routers --- */

static uint64_t mix(uint64_t value)
{
	value ^= value >> 33;
	value *= 0xff51afd7ed558ccdULL;
	value ^= value >> 33;
	value *= 0xc4ceb9fe1a85ec53ULL;
	return value ^ value >> 33;
}

static uint32_t client_ip(void)
{
	return sim_net | 30;
}

/* The steady hash: only the flows of a machine that leaves move. */
static uint64_t weight(uint16_t port, int route, int machine)
{
	return mix(mix((uint64_t)port << 32 | (uint32_t)route) ^
		   mix((uint64_t)machine + 1));
}

int sim_route_among(uint16_t port, int route, int count)
{
	int best = -1;

	for (int i = 0; i < count; i++)
		if (best < 0 ||
		    weight(port, route, i) > weight(port, route, best))
			best = i;
	return best;
}

/* If fewer than half are in rotation, the routers use all. */
int sim_route(uint16_t port, int route)
{
	int in_rotation = 0;
	int best = -1;

	for (int i = 0; i < sim_machine_count; i++)
		in_rotation += sim_machines[i].in_rotation;
	for (int i = 0; i < sim_machine_count; i++)
		if ((sim_machines[i].in_rotation ||
		     2 * in_rotation < sim_machine_count) &&
		    (best < 0 ||
		     weight(port, route, i) > weight(port, route, best)))
			best = i;
	return best;
}

static void rotate(int index, bool in)
{
	sim_machine_t *machine = &sim_machines[index];

	if (machine->in_rotation == in)
		return;
	machine->in_rotation = in;
	machine->rotated_ms = sim_now_ms();
	sim_note("routers: machine %d is %s rotation", index,
		 in ? "in" : "out of");
}

static void end_check(int index, bool ready)
{
	sim_machine_t *machine = &sim_machines[index];

	close(machine->ready_fd);
	machine->ready_fd = -1;
	machine->misses = ready ? 0 : machine->misses + 1;
	if (ready)
		rotate(index, true);
	else if (machine->misses >= 2)
		rotate(index, false);
}

static void begin_check(int index)
{
	static const char call[] = "GET /v1/ready HTTP/1.1\r\nHost: m\r\n"
				   "Connection: close\r\n\r\n";
	sim_machine_t *machine = &sim_machines[index];
	struct sockaddr_in addr = address(machine->ip, SIM_READY_PORT);

	machine->checked_ms = sim_now_ms();
	machine->ready_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (machine->ready_fd < 0)
		fail("socket");
	if (connect(machine->ready_fd, (struct sockaddr *)&addr,
		    sizeof(addr)) != 0) {
		end_check(index, false);
		return;
	}
	(void)send(machine->ready_fd, call, sizeof(call) - 1, MSG_NOSIGNAL);
	(void)fcntl(machine->ready_fd, F_SETFL, O_NONBLOCK);
}

static void read_check(int index)
{
	char text[64] = "";
	ssize_t got = recv(sim_machines[index].ready_fd, text, 63, 0);

	end_check(index, got > 12 && strncmp(text + 9, "200", 3) == 0);
}

/* @return the resident memory of a process that this one has started */
static uint32_t resident_mb(pid_t pid)
{
	char path[64];
	unsigned long whole;
	unsigned long resident = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%lu %lu", &whole, &resident) != 2)
		resident = 0;
	fclose(file);
	return (uint32_t)(resident * (unsigned long)sysconf(_SC_PAGESIZE) /
			  1000000);
}

static void check_machines(void)
{
	for (int i = 0; i < sim_machine_count; i++) {
		sim_machine_t *machine = &sim_machines[i];
		int status;

		if (machine->pid &&
		    waitpid(machine->pid, &status, WNOHANG) == machine->pid) {
			sim_note("machine %d: its process has ended, status "
				 "0x%x",
				 i, (unsigned)status);
			machine->pid = 0;
			term_ms[i] = 0;
		}
		if (machine->pid && sim_memory_mb &&
		    resident_mb(machine->pid) > sim_memory_mb) {
			sim_note("machine %d: its process uses %u MB and is "
				 "killed, the limit is %u MB",
				 i, resident_mb(machine->pid), sim_memory_mb);
			machine->memory_kills++;
			kill(machine->pid, SIGKILL);
			waitpid(machine->pid, NULL, 0);
			machine->pid = 0;
		}
		if (machine->pid && term_ms[i] &&
		    sim_now_ms() >= term_ms[i] + GRACE_MS)
			kill(machine->pid, SIGKILL);
		if (machine->ready_fd >= 0 &&
		    sim_now_ms() >= machine->checked_ms + CHECK_MS)
			end_check(i, false);
		if (machine->ready_fd < 0 &&
		    sim_now_ms() >= machine->checked_ms + CHECK_MS)
			begin_check(i);
	}
}

static void write_settings(const sim_machine_t *machine, const char *path)
{
	FILE *file = fopen(path, "w");
	const char *ip = ip_text(machine->ip);

	if (!file)
		fail(path);
	/* As platform/settings.json.in is filled in for a small deployment. */
	fprintf(file,
		"{\"instance\": \"%s\", \"zone\": \"%s\",\n"
		" \"packets\": \"%s:%d\", \"readiness\": \"%s:%d\",\n"
		" \"metrics\": \"%s:%d\", \"store\": \"%s:%d\",\n"
		" \"relay\": \"%s:%d\", \"share_load\": true,\n"
		" \"first_start\": true, \"contact_ms\": 4000,\n"
		" \"apply_ms\": 3000, \"stop_grace_s\": 6,\n"
		" \"link_mbps\": 1500.0, \"log_level\": \"info\"}\n",
		machine->name, machine->zone, ip, SIM_PACKET_PORT, ip,
		SIM_READY_PORT, ip, SIM_METRICS_PORT,
		ip_text(sim_net | (uint32_t)store_host), SIM_STORE_PORT, ip,
		SIM_RELAY_PORT);
	fclose(file);
}

int sim_add_machine(const char *zone)
{
	sim_machine_t *machine = &sim_machines[sim_machine_count];

	*machine = (sim_machine_t){.zone = zone, .ready_fd = -1};
	machine->ip = sim_net | (uint32_t)(11 + sim_machine_count);
	snprintf(machine->name, sizeof(machine->name), "frontend-%s-%d", zone,
		 sim_machine_count + 1);
	return sim_machine_count++;
}

void sim_move_store(int signals)
{
	char settings[96];

	close(store_fd);
	for (int i = 0; i < STORE_CONNS; i++)
		if (conns[i].fd >= 0)
			close_conn(&conns[i]);
	store_host++;
	store_fd = open_socket(SOCK_STREAM, sim_net | (uint32_t)store_host,
			       SIM_STORE_PORT);
	sim_note("store: serves at %s from now on",
		 ip_text(sim_net | (uint32_t)store_host));
	for (int i = 0; i < sim_machine_count; i++) {
		snprintf(settings, sizeof(settings), "%s/settings-%d.json",
			 folder, i);
		write_settings(&sim_machines[i], settings);
		sim_note("machine %d: its settings file has changed%s", i,
			 i < signals ? ", SIGHUP" : "");
		if (i < signals)
			kill(sim_machines[i].pid, SIGHUP);
	}
}

void sim_start_machine(int index)
{
	sim_machine_t *machine = &sim_machines[index];
	char settings[96];
	char log[96];

	snprintf(settings, sizeof(settings), "%s/settings-%d.json", folder,
		 index);
	snprintf(log, sizeof(log), "%s/log-%d", folder, index);
	write_settings(machine, settings);
	machine->started_ms = sim_now_ms();
	machine->pid = fork();
	if (machine->pid < 0)
		fail("fork");
	if (machine->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl(FLOWD, FLOWD, "--settings", settings, (char *)NULL);
		_exit(127);
	}
	sim_note("machine %d: started, %s", index, ip_text(machine->ip));
}

void sim_stop_machine(int index)
{
	sim_note("machine %d: SIGTERM", index);
	term_ms[index] = sim_now_ms();
	kill(sim_machines[index].pid, SIGTERM);
}

/* --- clients --- */

static void client_send(sim_flow_t *flow, uint8_t flags, const char *text)
{
	packet_t packet = {.seq = flow->seq,
			   .ack = flags & FLAG_SYN ? (uint32_t)flow->syns
						   : flow->ack,
			   .flags = flags,
			   .src = client_ip(),
			   .dst = sim_route_ip(flow->route),
			   .sport = flow->port,
			   .dport = sim_route_port(flow->route),
			   .echo = flow->echo};
	int machine = sim_route(flow->port, flow->route);
	uint8_t data[PACKET_MAX];
	size_t len;

	if (text) {
		packet.len = (uint16_t)strlen(text);
		memcpy(packet.data, text, packet.len);
	}
	len = encode(data, &packet);
	if (machine != flow->machine && machine >= 0)
		sim_note("routers: flow of port %u is at machine %d now",
			 flow->port, machine);
	flow->machine = machine;
	if (machine >= 0)
		send_to(client_fd, sim_machines[machine].ip, SIM_PACKET_PORT,
			data, len);
}

static void send_syn(sim_flow_t *flow)
{
	static const uint64_t pause_ms[] = {200, 400, 800};

	client_send(flow, FLAG_SYN, NULL);
	flow->due_ms = sim_now_ms() + pause_ms[flow->syns++];
}

void sim_open(sim_flow_t *flow, uint16_t port, int route)
{
	*flow = (sim_flow_t){.port = port,
			     .route = route,
			     .state = SIM_FLOW_SYN_SENT,
			     .seq = random_u32(),
			     .host = -1,
			     .machine = -1};
	sim_note("client: port %u opens a flow", port);
	send_syn(flow);
}

static void send_request(sim_flow_t *flow)
{
	char text[32];

	snprintf(text, sizeof(text), "%s %u", flow->close_asked ? "END" : "REQ",
		 flow->request);
	client_send(flow, FLAG_ACK, text);
	flow->due_ms = sim_now_ms() + flow->wait_ms;
}

void sim_request(sim_flow_t *flow, bool close)
{
	if (flow->request) /* the last one has no answer yet */
		return;
	flow->request = next_request++;
	flow->close_asked = close;
	flow->wait_ms = 200;
	flow->at_own = 0;
	flow->at_other = 0;
	sim_note("client: port %u sends request %u", flow->port, flow->request);
	send_request(flow);
}

static size_t request_bytes(const sim_flow_t *flow)
{
	char text[32];

	return (size_t)snprintf(text, sizeof(text), "REQ %u", flow->request);
}

static void client_syn_ack(sim_flow_t *flow, const packet_t *packet, int host)
{
	if (flow->state != SIM_FLOW_SYN_SENT || packet->ack != flow->seq + 1)
		return;
	flow->seq++;
	flow->ack = packet->seq + 1;
	flow->echo = packet->echo;
	flow->host = host;
	flow->state = SIM_FLOW_OPEN;
	flow->opened_ms = sim_now_ms();
	flow->due_ms = 0;
	client_send(flow, FLAG_ACK, NULL);
	sim_note("client: port %u: the flow is open at host %d", flow->port,
		 host);
}

static void client_data(sim_flow_t *flow, const packet_t *packet)
{
	char text[64];
	uint32_t id;
	int host;

	snprintf(text, sizeof(text), "%.*s",
		 packet->len < 60 ? packet->len : 60, packet->data);
	flow->ack += packet->len;
	if (sscanf(text, "RSP %u %d", &id, &host) != 2 || id != flow->request) {
		sim_note("client: port %u: MIXED: an answer of another request",
			 flow->port);
		return;
	}
	sim_note("client: port %u: request %u is answered by host %d",
		 flow->port, id, host);
	flow->seq += (uint32_t)request_bytes(flow);
	flow->answered = id;
	flow->request = 0;
	flow->due_ms = 0;
}

static void client_fin(sim_flow_t *flow, const packet_t *packet)
{
	flow->ack = packet->seq + packet->len + 1;
	flow->fin_received = true;
	client_send(flow, FLAG_ACK | FLAG_FIN, NULL);
	flow->seq++;
	flow->state = SIM_FLOW_CLOSED;
	sim_note("client: port %u: both ends have closed the flow", flow->port);
}

/* @return whether a reset is within the window of the flow */
static bool accepts_reset(const sim_flow_t *flow, const packet_t *packet)
{
	return flow->state == SIM_FLOW_SYN_SENT ||
	       packet->seq - flow->ack + 76800U <= 2 * 76800U;
}

static void client_reset(sim_flow_t *flow, const packet_t *packet,
			 const char *from)
{
	if ((flow->state != SIM_FLOW_OPEN &&
	     flow->state != SIM_FLOW_SYN_SENT) ||
	    !accepts_reset(flow, packet))
		return;
	sim_note("client: port %u: a reset from %s%s; request %u is not "
		 "answered",
		 flow->port, from, packet->sum ? "" : " (of the system)",
		 flow->request);
	snprintf(flow->reset_by, sizeof(flow->reset_by), "%s", from);
	flow->state = SIM_FLOW_RESET;
	flow->due_ms = 0;
}

static int host_of_address(uint32_t ip)
{
	for (int i = 0; i < sim_host_count; i++)
		if (sim_hosts[i].ip == ip)
			return i;
	return -1;
}

static void client_packet(sim_flow_t *flow, const packet_t *packet,
			  uint32_t from)
{
	int host = host_of_address(from);
	char sender[48];

	if (host >= 0)
		snprintf(sender, sizeof(sender), "host %d", host);
	else
		snprintf(sender, sizeof(sender), "machine at %s",
			 ip_text(from));
	if (packet->flags & FLAG_RST) {
		client_reset(flow, packet, sender);
		return;
	}
	if (packet->sum != sum_of(packet)) {
		sim_note("client: port %u: MIXED: a packet with a wrong sum",
			 flow->port);
		return;
	}
	if (packet->flags & FLAG_SYN) {
		client_syn_ack(flow, packet, host);
		return;
	}
	if (flow->state != SIM_FLOW_OPEN)
		return;
	flow->echo = packet->echo;
	if (packet->len > 0 && packet->seq == flow->ack && flow->request)
		client_data(flow, packet);
	if (packet->flags & FLAG_FIN)
		client_fin(flow, packet);
	else if (packet->len > 0)
		client_send(flow, FLAG_ACK, NULL);
}

static void read_client(void)
{
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	uint8_t data[PACKET_MAX];
	packet_t packet;
	ssize_t len;

	while ((len = recvfrom(client_fd, data, sizeof(data), 0,
			       (struct sockaddr *)&from, &from_len)) > 0) {
		sim_flow_t *flow;

		from_len = sizeof(from);
		if (!decode(&packet, data, (size_t)len))
			continue;
		flow = flow_of_port(packet.dport);
		if (flow)
			client_packet(flow, &packet,
				      ntohl(from.sin_addr.s_addr));
	}
}

static void client_work(sim_flow_t *flow)
{
	if (flow->state == SIM_FLOW_NONE || flow->due_ms == 0 ||
	    sim_now_ms() < flow->due_ms)
		return;
	if (flow->state == SIM_FLOW_SYN_SENT) {
		if (flow->syns < 3) {
			send_syn(flow);
			return;
		}
		flow->state = SIM_FLOW_FAILED;
		flow->due_ms = 0;
		sim_note("client: port %u: no answer to its SYN", flow->port);
	} else if (flow->request) {
		flow->wait_ms = flow->wait_ms < 800 ? 2 * flow->wait_ms : 1600;
		send_request(flow);
	}
}

/* --- the loop --- */

static void step(void)
{
	struct pollfd fds[2 + STORE_CONNS + SIM_HOSTS + SIM_MACHINES];
	int what[2 + STORE_CONNS + SIM_HOSTS + SIM_MACHINES];
	nfds_t count = 0;

	fds[count] = (struct pollfd){store_fd, POLLIN, 0};
	what[count++] = 0;
	fds[count] = (struct pollfd){client_fd, POLLIN, 0};
	what[count++] = 1;
	for (int i = 0; i < STORE_CONNS; i++)
		if (conns[i].fd >= 0) {
			fds[count] = (struct pollfd){conns[i].fd, POLLIN, 0};
			what[count++] = 1000 + i;
		}
	for (int i = 0; i < sim_host_count; i++) {
		fds[count] = (struct pollfd){sim_hosts[i].fd, POLLIN, 0};
		what[count++] = 2000 + i;
	}
	for (int i = 0; i < sim_machine_count; i++)
		if (sim_machines[i].ready_fd >= 0) {
			fds[count] = (struct pollfd){sim_machines[i].ready_fd,
						     POLLIN, 0};
			what[count++] = 3000 + i;
		}
	if (poll(fds, count, 2) < 0 && errno != EINTR)
		fail("poll");
	for (nfds_t i = 0; i < count; i++) {
		if (!fds[i].revents)
			continue;
		if (what[i] == 0)
			accept_conn();
		else if (what[i] == 1)
			read_client();
		else if (what[i] < 2000)
			read_conn(&conns[what[i] - 1000]);
		else if (what[i] < 3000)
			read_host(what[i] - 2000);
		else
			read_check(what[i] - 3000);
	}
	check_watches();
	check_machines();
	for (int i = 0; i < HOST_FLOWS; i++)
		if (host_flows[i].used)
			host_work(&host_flows[i]);
	for (int i = 0; i < SIM_FLOWS; i++)
		client_work(&sim_flows[i]);
}

void sim_run(uint64_t ms)
{
	uint64_t until = sim_now_ms() + ms;

	while (sim_now_ms() < until)
		step();
}

bool sim_wait(bool (*holds)(void *arg), void *arg, uint64_t timeout_ms)
{
	uint64_t until = sim_now_ms() + timeout_ms;

	while (!holds(arg) && sim_now_ms() < until)
		step();
	return holds(arg);
}

static void on_signal(int number)
{
	(void)number;
	sim_end();
	_exit(2);
}

void sim_begin(const char *record_path)
{
	uint32_t id = (uint32_t)getpid();

	start_ms = clock_ms();
	random_state = (uint64_t)id * 2654435761U + clock_ms();
	sim_net = 127U << 24 | (96 + id % 32) << 16 | (1 + id / 32 % 250) << 8;
	record = fopen(record_path, "w");
	if (!record) {
		perror(record_path);
		exit(2);
	}
	snprintf(folder, sizeof(folder), "/tmp/review-3.XXXXXX");
	if (!mkdtemp(folder))
		fail("temporary folder");
	events = calloc(EVENTS_MAX, sizeof(*events));
	if (!events)
		fail("memory");
	for (int i = 0; i < STORE_CONNS; i++)
		conns[i].fd = -1;
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(RUN_S_MAX);
	store_fd = open_socket(SOCK_STREAM, sim_net | 1, SIM_STORE_PORT);
	client_fd = open_socket(SOCK_DGRAM, client_ip(), SIM_PACKET_PORT);
	sim_note("addresses: %s to %s", ip_text(sim_net | 1),
		 ip_text(sim_net | 254));
}

void sim_end(void)
{
	char path[96];

	for (int i = 0; i < sim_machine_count; i++)
		if (sim_machines[i].pid > 0) {
			kill(sim_machines[i].pid, SIGKILL);
			waitpid(sim_machines[i].pid, NULL, 0);
			sim_machines[i].pid = 0;
		}
	for (int i = 0; folder[0] && i < SIM_MACHINES; i++) {
		snprintf(path, sizeof(path), "%s/settings-%d.json", folder, i);
		(void)unlink(path);
		snprintf(path, sizeof(path), "%s/log-%d", folder, i);
		if (getenv("KEEP_LOGS") == NULL)
			(void)unlink(path);
	}
	(void)rmdir(folder);
}
