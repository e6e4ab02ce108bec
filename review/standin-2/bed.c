#define _GNU_SOURCE
#include "bed.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
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

#define HEAD		 34
#define DATA_MAX	 1200
#define FLAG_RST	 1
#define FLAG_FIN	 4
#define FLAG_SYN	 32
#define FLAG_ACK	 128
#define WORK_S		 0.02
#define SYN_END_S	 1.4
#define DEADLINE_S	 2.0
#define RETRANSMIT_S	 0.2
#define RETRANSMIT_MAX_S 1.6
#define READY_EVERY_S	 0.5
#define CONNS_MAX	 64
#define HOST_FLOWS_MAX	 4096
#define PAGE_ITEMS	 500
#define LOOP_MS		 2

typedef struct buf {
	uint8_t *p;
	size_t len, cap;
} buf_t;

typedef struct item {
	char key[200];
	char *value; /* base64 text; NULL: removed */
	uint64_t revision;
} item_t;

typedef struct conn {
	int fd; /* 0: free */
	char in[8192];
	size_t in_len;
	buf_t out;
	size_t out_at;
	bool watching;
	uint64_t after;
	double due;
} conn_t;

typedef struct host_flow {
	bool used, open, closed;
	int host;
	uint32_t client_ip, route_ip;
	uint16_t client_port, route_port;
	uint32_t isn, next, una, peer_next, echo;
	char text[2048];
	size_t text_len;
	double answer_at; /* 0: no request in progress */
	double sent, interval;
	uint8_t response[256];
	uint16_t response_len;
} host_flow_t;

typedef struct packet {
	uint16_t len;
	uint32_t seq, ack;
	uint8_t flags;
	uint32_t src, dst;
	uint16_t sport, dport;
	uint32_t echo, sum;
	const uint8_t *data;
} packet_t;

bed_instance_t bed_instances[BED_INSTANCES_MAX];
bed_host_t bed_hosts[BED_HOSTS_MAX];
bed_flow_t bed_flows[BED_FLOWS_MAX];
int bed_instance_count, bed_host_count;
bool bed_trouble;

static double start_s;
static FILE *record;
static const char *flowd_path;
static char dir[256];
static unsigned net_a, net_b;
static uint64_t revision = 100;
static item_t *items, *history;
static size_t item_count, history_count;
static conn_t conns[CONNS_MAX];
static host_flow_t host_flows[HOST_FLOWS_MAX];
static int store_fd = -1, client_fd = -1;
static buf_t routes;
static uint16_t next_port = 20000;
static uint64_t next_request = 1;

static double clock_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double bed_now(void)
{
	return clock_s() - start_s;
}

void bed_record(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f ", bed_now());
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

void bed_exit(int status)
{
	for (int i = 0; i < bed_instance_count; i++)
		if (bed_instances[i].pid > 0) {
			kill(bed_instances[i].pid, SIGCONT);
			kill(bed_instances[i].pid, SIGKILL);
			waitpid(bed_instances[i].pid, NULL, 0);
		}
	if (record)
		bed_record("end, status %d", status);
	exit(status);
}

static void fail(const char *what)
{
	fprintf(stderr, "bed: %s: %s\n", what, strerror(errno));
	bed_exit(2);
}

uint32_t bed_ip(unsigned d)
{
	return 127U << 24 | net_a << 16 | net_b << 8 | d;
}

const char *bed_ip_text(uint32_t ip)
{
	static char text[4][16];
	static int at;

	at = (at + 1) % 4;
	snprintf(text[at], sizeof(text[at]), "%u.%u.%u.%u", ip >> 24,
		 ip >> 16 & 255, ip >> 8 & 255, ip & 255);
	return text[at];
}

/* ---- buffers, CBOR, base64 ---- */

static void put(buf_t *b, const void *p, size_t len)
{
	if (b->len + len > b->cap) {
		b->cap = 2 * (b->len + len) + 64;
		b->p = realloc(b->p, b->cap);
		if (!b->p)
			fail("memory");
	}
	memcpy(b->p + b->len, p, len);
	b->len += len;
}

static void put_text(buf_t *b, const char *text)
{
	put(b, text, strlen(text));
}

static void cbor_head(buf_t *b, unsigned major, uint64_t n)
{
	uint8_t head[9];
	unsigned bytes = n < 24		   ? 0
			 : n < 256	   ? 1
			 : n < 65536	   ? 2
			 : n <= UINT32_MAX ? 4
					   : 8;

	head[0] = (uint8_t)(major << 5 | (bytes == 0   ? n
					  : bytes == 1 ? 24
					  : bytes == 2 ? 25
					  : bytes == 4 ? 26
						       : 27));
	for (unsigned i = 0; i < bytes; i++)
		head[1 + i] = (uint8_t)(n >> 8 * (bytes - 1 - i));
	put(b, head, 1 + bytes);
}

static void cbor_text(buf_t *b, const char *text)
{
	cbor_head(b, 3, strlen(text));
	put_text(b, text);
}

static void cbor_map(buf_t *b, size_t pairs)
{
	cbor_head(b, 5, pairs);
}

static void cbor_key_uint(buf_t *b, const char *key, uint64_t n)
{
	cbor_text(b, key);
	cbor_head(b, 0, n);
}

static void cbor_key_text(buf_t *b, const char *key, const char *text)
{
	cbor_text(b, key);
	cbor_text(b, text);
}

static void cbor_key_bool(buf_t *b, const char *key, bool value)
{
	uint8_t byte = value ? 0xf5 : 0xf4;

	cbor_text(b, key);
	put(b, &byte, 1);
}

static char *base64(const buf_t *b)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = malloc((b->len + 2) / 3 * 4 + 1);
	size_t n = 0;

	if (!out)
		fail("memory");
	for (size_t i = 0; i < b->len; i += 3) {
		uint32_t v = (uint32_t)b->p[i] << 16;

		if (i + 1 < b->len)
			v |= (uint32_t)b->p[i + 1] << 8;
		if (i + 2 < b->len)
			v |= b->p[i + 2];
		out[n++] = digits[v >> 18];
		out[n++] = digits[v >> 12 & 63];
		out[n++] = i + 1 < b->len ? digits[v >> 6 & 63] : '=';
		out[n++] = i + 2 < b->len ? digits[v & 63] : '=';
	}
	out[n] = '\0';
	return out;
}

/* ---- the store ---- */

static void answer_watches(void);

static void store_write(const char *key, const buf_t *value)
{
	item_t item = {.revision = ++revision};
	size_t i = 0;

	snprintf(item.key, sizeof(item.key), "%s", key);
	item.value = base64(value);
	while (i < item_count && strcmp(items[i].key, key) < 0)
		i++;
	if (i == item_count || strcmp(items[i].key, key) != 0) {
		items = realloc(items, (item_count + 1) * sizeof(*items));
		if (!items)
			fail("memory");
		memmove(&items[i + 1], &items[i],
			(item_count - i) * sizeof(*items));
		item_count++;
	}
	items[i] = item;
	history = realloc(history, (history_count + 1) * sizeof(*history));
	if (!history)
		fail("memory");
	history[history_count++] = item;
	answer_watches();
}

static void write_item(buf_t *b, const item_t *item)
{
	cbor_map(b, 5);
	cbor_key_text(b, "key", item->key);
	cbor_key_text(b, "value", item->value);
	cbor_key_uint(b, "revision", item->revision);
	cbor_key_uint(b, "created", item->revision);
	cbor_key_uint(b, "lease", 0);
}

static void respond(conn_t *conn, int status, const buf_t *body)
{
	char head[200];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/cbor\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, body ? body->len : 0);
	put_text(&conn->out, head);
	if (body)
		put(&conn->out, body->p, body->len);
	conn->watching = false;
}

static void respond_list(conn_t *conn, const char *prefix, const char *after)
{
	buf_t body = {0};
	size_t first = 0, n = 0;

	while (first < item_count && strcmp(items[first].key, after) <= 0)
		first++;
	for (size_t i = first; i < item_count && n < PAGE_ITEMS; i++)
		n += strncmp(items[i].key, prefix, strlen(prefix)) == 0;
	cbor_map(&body, 3);
	cbor_text(&body, "items");
	cbor_head(&body, 4, n);
	for (size_t i = first; n > 0; i++)
		if (strncmp(items[i].key, prefix, strlen(prefix)) == 0) {
			write_item(&body, &items[i]);
			n--;
			first = i + 1;
		}
	cbor_key_bool(&body, "truncated", first < item_count);
	cbor_key_uint(&body, "current_rev", revision);
	respond(conn, 200, &body);
	free(body.p);
}

static void respond_watch(conn_t *conn)
{
	buf_t body = {0};
	size_t first = 0;

	while (first < history_count && history[first].revision <= conn->after)
		first++;
	cbor_map(&body, 2);
	cbor_text(&body, "events");
	cbor_head(&body, 4, history_count - first);
	for (size_t i = first; i < history_count; i++)
		write_item(&body, &history[i]);
	cbor_key_uint(&body, "current_rev", revision);
	respond(conn, 200, &body);
	free(body.p);
}

static void answer_watches(void)
{
	for (size_t i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd && conns[i].watching &&
		    (conns[i].after < revision || bed_now() >= conns[i].due))
			respond_watch(&conns[i]);
}

static uint64_t query_number(const char *line, const char *name)
{
	const char *at = strstr(line, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static void on_call(conn_t *conn, char *line)
{
	char after[200] = "";
	const char *at;

	if (strncmp(line, "GET /v1/kv-watch", 16) == 0) {
		conn->watching = true;
		conn->after = query_number(line, "after=");
		conn->due = bed_now() +
			    (double)query_number(line, "wait_ms=") / 1000;
		if (conn->after < revision)
			respond_watch(conn);
	} else if (strncmp(line, "GET /v1/kv-range", 16) == 0) {
		at = strstr(line, "after=");
		if (at)
			sscanf(at + 6, "%199[^& ]", after);
		respond_list(conn, "", after);
	} else {
		/* Leases and transactions are not needed below 100 hosts. */
		respond(conn, 503, NULL);
	}
}

static void close_conn(conn_t *conn)
{
	close(conn->fd);
	free(conn->out.p);
	memset(conn, 0, sizeof(*conn));
}

static void on_store_readable(conn_t *conn)
{
	ssize_t n = recv(conn->fd, conn->in + conn->in_len,
			 sizeof(conn->in) - 1 - conn->in_len, 0);
	char *end;

	if (n <= 0) {
		if (n == 0 || errno != EAGAIN)
			close_conn(conn);
		return;
	}
	conn->in_len += (size_t)n;
	conn->in[conn->in_len] = '\0';
	while ((end = strstr(conn->in, "\r\n\r\n"))) {
		size_t used = (size_t)(end + 4 - conn->in);
		uint64_t body = query_number(conn->in, "Content-Length: ");

		if (conn->in_len < used + body)
			return;
		used += body;
		on_call(conn, conn->in);
		memmove(conn->in, conn->in + used, conn->in_len - used + 1);
		conn->in_len -= used;
	}
}

static void flush_conn(conn_t *conn)
{
	ssize_t n = send(conn->fd, conn->out.p + conn->out_at,
			 conn->out.len - conn->out_at, MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN) {
		close_conn(conn);
		return;
	}
	if (n > 0)
		conn->out_at += (size_t)n;
	if (conn->out_at == conn->out.len)
		conn->out.len = conn->out_at = 0;
}

static void accept_conn(void)
{
	int fd = accept4(store_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return;
	for (size_t i = 0; i < CONNS_MAX; i++)
		if (!conns[i].fd) {
			conns[i].fd = fd;
			return;
		}
	close(fd);
}

/* ---- operator ---- */

void bed_routes_begin(size_t count)
{
	routes.len = 0;
	cbor_head(&routes, 4, count);
}

static void route_head(const char *ip, unsigned port, unsigned timeout_ms)
{
	char text[32];

	cbor_map(&routes, 9);
	snprintf(text, sizeof(text), "r-%s-%u", ip, port);
	cbor_key_text(&routes, "name", text);
	cbor_key_text(&routes, "hostname", ip);
	snprintf(text, sizeof(text), "/%u/", port);
	cbor_key_text(&routes, "prefix", text);
	cbor_key_text(&routes, "route_type", "safe");
	cbor_key_uint(&routes, "timeout_ms", timeout_ms);
	cbor_key_uint(&routes, "target_latency_ms", 250);
	cbor_key_uint(&routes, "priority", 2);
	cbor_key_uint(&routes, "max_attempts", 2);
}

void bed_route(const char *ip, unsigned port, const char *service,
	       unsigned timeout_ms)
{
	route_head(ip, port, timeout_ms);
	cbor_key_text(&routes, "service", service);
}

void bed_route_split(const char *ip, unsigned port, const char *const *services,
		     const unsigned *weights, size_t count)
{
	route_head(ip, port, 1500);
	cbor_text(&routes, "traffic_split");
	cbor_head(&routes, 4, count);
	for (size_t i = 0; i < count; i++) {
		cbor_map(&routes, 2);
		cbor_key_text(&routes, "service", services[i]);
		cbor_key_uint(&routes, "weight", weights[i]);
	}
}

void bed_publish(uint64_t version)
{
	const char *names[BED_HOSTS_MAX];
	size_t count = 0;
	buf_t value = {0};

	for (int i = 0; i < bed_host_count; i++) {
		size_t j = 0;

		while (j < count && strcmp(names[j], bed_hosts[i].service) != 0)
			j++;
		if (j == count)
			names[count++] = bed_hosts[i].service;
	}
	cbor_map(&value, 4);
	cbor_key_uint(&value, "version", version);
	cbor_text(&value, "routes");
	put(&value, routes.p, routes.len);
	cbor_text(&value, "services");
	cbor_head(&value, 4, count);
	for (size_t i = 0; i < count; i++) {
		cbor_map(&value, 5);
		cbor_key_text(&value, "name", names[i]);
		cbor_key_text(&value, "health_path", "/health");
		cbor_key_uint(&value, "max_conns", 2000);
		cbor_key_text(&value, "protocol", "h1");
		cbor_key_bool(&value, "tls", false);
	}
	cbor_text(&value, "limits");
	cbor_map(&value, 4);
	cbor_key_uint(&value, "max_header_bytes", 16384);
	cbor_key_uint(&value, "max_body_bytes", 262144);
	cbor_key_uint(&value, "header_timeout_ms", 3000);
	cbor_key_uint(&value, "idle_timeout_ms", 15000);
	store_write("op/config", &value);
	free(value.p);
}

static void write_entry(const char *key, const char *service, uint32_t ip,
			const char *state, uint64_t seq)
{
	char address[32];
	buf_t value = {0};

	snprintf(address, sizeof(address), "%s:%d", bed_ip_text(ip),
		 BED_PORT_HOST);
	cbor_map(&value, 8);
	cbor_key_text(&value, "service", service);
	cbor_key_text(&value, "address", address);
	cbor_key_text(&value, "zone", "macon-a");
	cbor_key_text(&value, "version", "v1");
	cbor_key_uint(&value, "slots", 3);
	cbor_key_text(&value, "state", state);
	cbor_key_uint(&value, "cold_ms", 0);
	cbor_key_uint(&value, "seq", seq);
	store_write(key, &value);
	free(value.p);
}

void bed_write_entry(const char *key, const char *service, uint32_t ip)
{
	bed_record("another writer writes %s: service %s, address %s", key,
		   service, bed_ip_text(ip));
	write_entry(key, service, ip, "ready", 1);
}

static void register_host(bed_host_t *host)
{
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", host->id);
	write_entry(key, host->service, host->ip, host->state, ++host->seq);
}

/* ---- packets ---- */

static uint32_t get32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | p[3];
}

static void put32(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 24);
	p[1] = (uint8_t)(v >> 16);
	p[2] = (uint8_t)(v >> 8);
	p[3] = (uint8_t)v;
}

/* A keyed sum over all fields but echo, pad and BOUNCED, and the data. */
static uint32_t sum_of(const uint8_t *p, size_t len)
{
	uint32_t sum = 0x9e3779b9;

	for (size_t i = 0; i < len; i++)
		if (!(i >= 11 && i < 14) && !(i >= 26 && i < 34))
			sum = (sum ^ p[i]) * 16777619U + (uint32_t)i;
	return sum ? sum : 1;
}

static size_t encode(uint8_t *out, const packet_t *p)
{
	memset(out, 0, HEAD);
	out[0] = (uint8_t)(p->len >> 8);
	out[1] = (uint8_t)p->len;
	put32(out + 2, p->seq);
	put32(out + 6, p->ack);
	out[10] = p->flags;
	put32(out + 14, p->src);
	put32(out + 18, p->dst);
	out[22] = (uint8_t)(p->sport >> 8);
	out[23] = (uint8_t)p->sport;
	out[24] = (uint8_t)(p->dport >> 8);
	out[25] = (uint8_t)p->dport;
	put32(out + 26, p->echo);
	if (p->len)
		memcpy(out + HEAD, p->data, p->len);
	put32(out + 30, sum_of(out, HEAD + (size_t)p->len));
	return HEAD + (size_t)p->len;
}

static bool decode(packet_t *p, const uint8_t *in, size_t len)
{
	if (len < HEAD)
		return false;
	p->len = (uint16_t)(in[0] << 8 | in[1]);
	p->seq = get32(in + 2);
	p->ack = get32(in + 6);
	p->flags = in[10];
	p->src = get32(in + 14);
	p->dst = get32(in + 18);
	p->sport = (uint16_t)(in[22] << 8 | in[23]);
	p->dport = (uint16_t)(in[24] << 8 | in[25]);
	p->echo = get32(in + 26);
	p->sum = get32(in + 30);
	p->data = in + HEAD;
	return len == HEAD + (size_t)p->len;
}

static void send_to(int fd, uint32_t ip, int port, const uint8_t *p, size_t len)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port),
				 .sin_addr.s_addr = htonl(ip)};

	(void)sendto(fd, p, len, 0, (struct sockaddr *)&to, sizeof(to));
}

static int open_socket(int type, uint32_t ip, int port)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port),
				 .sin_addr.s_addr = htonl(ip)};
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		fail("socket");
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0)
		fail("bind");
	if (type == SOCK_STREAM && listen(fd, 64) != 0)
		fail("listen");
	return fd;
}

/* ---- hosts ---- */

int bed_start_host(const char *id, const char *service)
{
	bed_host_t *host = &bed_hosts[bed_host_count];
	const char *dash = strrchr(id, '-');

	snprintf(host->id, sizeof(host->id), "%s", id);
	snprintf(host->service, sizeof(host->service), "%s", service);
	host->number = strtoull(dash ? dash + 1 : id, NULL, 16);
	host->state = "ready";
	host->ip = bed_ip(100 + (unsigned)bed_host_count);
	host->fd = open_socket(SOCK_DGRAM, host->ip, BED_PORT_HOST);
	bed_record("host %s of %s starts at %s", id, service,
		   bed_ip_text(host->ip));
	register_host(host);
	return bed_host_count++;
}

static void host_send(const host_flow_t *flow, uint8_t flags, uint32_t seq,
		      const uint8_t *data, uint16_t len)
{
	uint8_t out[HEAD + DATA_MAX];
	packet_t p = {.len = len,
		      .seq = seq,
		      .ack = flow->peer_next,
		      .flags = flags,
		      .src = flow->route_ip,
		      .dst = flow->client_ip,
		      .sport = flow->route_port,
		      .dport = flow->client_port,
		      .echo = flow->echo,
		      .data = data};

	send_to(bed_hosts[flow->host].fd, flow->client_ip, BED_PORT_PACKETS,
		out, encode(out, &p));
}

static host_flow_t *find_host_flow(int host, const packet_t *p)
{
	for (size_t i = 0; i < HOST_FLOWS_MAX; i++) {
		host_flow_t *f = &host_flows[i];

		if (f->used && f->host == host && f->client_ip == p->src &&
		    f->client_port == p->sport && f->route_ip == p->dst &&
		    f->route_port == p->dport)
			return f;
	}
	return NULL;
}

static host_flow_t *add_host_flow(int host, const packet_t *p)
{
	for (size_t i = 0; i < HOST_FLOWS_MAX; i++) {
		host_flow_t *f = &host_flows[i];

		if (f->used && !(f->closed && bed_now() - f->sent > 5))
			continue;
		memset(f, 0, sizeof(*f));
		f->used = true;
		f->host = host;
		f->client_ip = p->src;
		f->client_port = p->sport;
		f->route_ip = p->dst;
		f->route_port = p->dport;
		f->isn = (uint32_t)random();
		f->next = f->una = f->isn + 1;
		f->peer_next = p->seq + 1;
		return f;
	}
	fail("too many flows");
	return NULL;
}

static void host_reset(int host, const packet_t *p)
{
	uint8_t out[HEAD];
	packet_t reset = {.seq = p->ack,
			  .ack = p->seq + p->len,
			  .flags = FLAG_RST,
			  .src = p->dst,
			  .dst = p->src,
			  .sport = p->dport,
			  .dport = p->sport,
			  .echo = p->echo};

	send_to(bed_hosts[host].fd, p->src, BED_PORT_PACKETS, out,
		encode(out, &reset));
}

static void host_data(host_flow_t *flow, const packet_t *p)
{
	char *end;

	if (p->seq == flow->peer_next &&
	    flow->text_len + p->len < sizeof(flow->text)) {
		memcpy(flow->text + flow->text_len, p->data, p->len);
		flow->text_len += p->len;
		flow->text[flow->text_len] = '\0';
		flow->peer_next += p->len;
	}
	end = strstr(flow->text, "\r\n\r\n");
	if (flow->answer_at > 0 || !end)
		return;
	flow->answer_at = bed_now() + WORK_S;
	bed_hosts[flow->host].runs++;
	bed_record("host %s runs request %llu of port %u",
		   bed_hosts[flow->host].id,
		   (unsigned long long)query_number(flow->text, "Request-Id: "),
		   flow->client_port);
	flow->text_len = 0;
	flow->text[0] = '\0';
}

static void note_place(const packet_t *p, bool own);

static void host_packet(int index, const uint8_t *in, size_t len)
{
	bed_host_t *host = &bed_hosts[index];
	uint64_t number;
	host_flow_t *flow;
	packet_t p;

	if (len < 8 + HEAD || !decode(&p, in + 8, len - 8))
		return;
	number = (uint64_t)get32(in) << 32 | get32(in + 4);
	if (number != 0 && number != host->number) {
		note_place(&p, false);
		return; /* not the intended host */
	}
	flow = find_host_flow(index, &p);
	note_place(&p, flow && flow->open);
	if (p.sum != 0 && p.sum != sum_of(in + 8, len - 8))
		bed_record("host %s gets a packet that its sender didn't write",
			   host->id);
	if (p.flags & FLAG_SYN) {
		host->syns++;
		if (!flow)
			flow = add_host_flow(index, &p);
		flow->echo = p.echo;
		if (!flow->open)
			host_send(flow, FLAG_SYN | FLAG_ACK, flow->isn, NULL,
				  0);
		return;
	}
	if (!flow || flow->closed) {
		if (flow && (p.flags & FLAG_FIN))
			host_send(flow, FLAG_ACK, flow->next, NULL, 0);
		if (flow || (p.flags & FLAG_RST))
			return;
		host->strange++;
		bed_record("host %s holds no flow of port %u: resets it",
			   host->id, p.sport);
		host_reset(index, &p);
		return;
	}
	if (p.flags & FLAG_RST) {
		flow->closed = true;
		flow->sent = bed_now();
		return;
	}
	flow->echo = p.echo;
	if (!flow->open && p.ack == flow->isn + 1) {
		flow->open = true;
		bed_record("flow of port %u is open at host %s", p.sport,
			   host->id);
	}
	if (!flow->open)
		return;
	if ((int32_t)(p.ack - flow->una) > 0) {
		flow->una = p.ack;
		flow->response_len = 0;
	}
	if (p.len)
		host_data(flow, &p);
	if (p.flags & FLAG_FIN) {
		flow->peer_next = p.seq + p.len + 1;
		host_send(flow, FLAG_FIN | FLAG_ACK, flow->next, NULL, 0);
		flow->next++;
		flow->closed = true;
		flow->sent = bed_now();
	}
}

static void host_timers(double now)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				   "Response-Signature: x\r\n\r\nok";

	for (size_t i = 0; i < HOST_FLOWS_MAX; i++) {
		host_flow_t *f = &host_flows[i];

		if (!f->used || f->closed)
			continue;
		if (f->answer_at > 0 && now >= f->answer_at) {
			f->answer_at = 0;
			f->response_len = sizeof(text) - 1;
			memcpy(f->response, text, f->response_len);
			host_send(f, FLAG_ACK, f->next, f->response,
				  f->response_len);
			f->next += f->response_len;
			f->sent = now;
			f->interval = RETRANSMIT_S;
		} else if (f->response_len && now >= f->sent + f->interval) {
			host_send(f, FLAG_ACK, f->una, f->response,
				  f->response_len);
			f->sent = now;
			f->interval *= 2;
			if (f->interval > RETRANSMIT_MAX_S)
				f->interval = RETRANSMIT_MAX_S;
		}
	}
}

/* ---- routers ---- */

static uint64_t mix(uint64_t x)
{
	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	return x ^ x >> 33;
}

/* A steady hash: if an instance leaves, only its flows move. */
static int route_packet(const bed_flow_t *flow)
{
	uint64_t best = 0;
	int chosen = -1;
	bool any = false;

	if (flow->pinned >= 0 && bed_instances[flow->pinned].in_rotation)
		return flow->pinned;
	for (int i = 0; i < bed_instance_count; i++)
		any |= bed_instances[i].in_rotation;
	for (int i = 0; i < bed_instance_count; i++) {
		uint64_t h = mix((uint64_t)flow->client_port << 32 |
				 flow->route_port << 8 | (unsigned)i);

		if (any && !bed_instances[i].in_rotation)
			continue;
		if (chosen < 0 || h > best) {
			best = h;
			chosen = i;
		}
	}
	return chosen;
}

static void end_check(bed_instance_t *instance, bool ready, double now)
{
	if (instance->fd >= 0)
		close(instance->fd);
	instance->fd = -1;
	instance->check_at = instance->check_began + READY_EVERY_S;
	if (ready) {
		if (!instance->in_rotation)
			bed_record("instance %d is in rotation",
				   (int)(instance - bed_instances));
		instance->misses = 0;
		instance->in_rotation = true;
		instance->last_ready = now;
		return;
	}
	if (++instance->misses >= 2 && instance->in_rotation) {
		instance->in_rotation = false;
		bed_record("instance %d is out of rotation",
			   (int)(instance - bed_instances));
	}
}

static void check_ready(bed_instance_t *instance, double now)
{
	static const char text[] = "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n";
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(BED_PORT_READY),
				 .sin_addr.s_addr = htonl(instance->ip)};
	char in[256];
	ssize_t n;

	if (instance->fd < 0) {
		if (now < instance->check_at)
			return;
		instance->check_began = now;
		instance->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (instance->fd < 0 ||
		    connect(instance->fd, (struct sockaddr *)&to, sizeof(to)) !=
			    0 ||
		    send(instance->fd, text, sizeof(text) - 1, MSG_NOSIGNAL) <
			    0)
			end_check(instance, false, now);
		else
			fcntl(instance->fd, F_SETFL, O_NONBLOCK);
		return;
	}
	n = recv(instance->fd, in, sizeof(in) - 1, 0);
	if (n > 12) {
		in[n] = '\0';
		end_check(instance, strncmp(in + 9, "200", 3) == 0, now);
	} else if (n == 0 || (n < 0 && errno != EAGAIN) ||
		   now >= instance->check_began + READY_EVERY_S) {
		end_check(instance, false, now);
	}
}

/* ---- clients ---- */

static void client_send(bed_flow_t *flow, uint8_t flags, uint32_t seq,
			uint32_t ack, const void *data, uint16_t len)
{
	uint8_t out[HEAD + DATA_MAX];
	packet_t p = {.len = len,
		      .seq = seq,
		      .ack = ack,
		      .flags = flags,
		      .src = flow->client_ip,
		      .dst = flow->route_ip,
		      .sport = flow->client_port,
		      .dport = flow->route_port,
		      .echo = flow->echo,
		      .data = data};
	int to = route_packet(flow);

	if (to >= 0)
		send_to(client_fd, bed_instances[to].ip, BED_PORT_PACKETS, out,
			encode(out, &p));
}

static void send_request(bed_flow_t *flow)
{
	char text[128];
	int len = snprintf(text, sizeof(text),
			   "GET /x HTTP/1.1\r\nHost: x\r\n"
			   "Request-Id: %llu\r\n\r\n",
			   (unsigned long long)flow->request);

	client_send(flow, FLAG_ACK, flow->una, flow->peer_next, text,
		    (uint16_t)len);
	flow->next = flow->una + (uint32_t)len;
	flow->sent = bed_now();
}

static void begin_request(bed_flow_t *flow)
{
	flow->request = next_request++;
	flow->pending = true;
	flow->interval = RETRANSMIT_S;
	flow->deadline = bed_now() + DEADLINE_S;
	bed_record("client port %u sends request %llu to route port %u",
		   flow->client_port, (unsigned long long)flow->request,
		   flow->route_port);
	send_request(flow);
}

int bed_open(uint32_t route_ip, unsigned port, bool is_long, int instance)
{
	for (int i = 0; i < BED_FLOWS_MAX; i++) {
		bed_flow_t *flow = &bed_flows[i];

		if (flow->used)
			continue;
		memset(flow, 0, sizeof(*flow));
		flow->used = true;
		flow->client_ip = bed_ip(50);
		flow->client_port = next_port++;
		flow->route_ip = route_ip;
		flow->route_port = (uint16_t)port;
		flow->isn = (uint32_t)random();
		flow->una = flow->next = flow->isn + 1;
		flow->pinned = instance;
		flow->last_host = -1;
		flow->is_long = is_long;
		flow->started = flow->sent = bed_now();
		client_send(flow, FLAG_SYN, flow->isn, 0, NULL, 0);
		return i;
	}
	fail("too many flows");
	return -1;
}

static void end_flow(bed_flow_t *flow, bed_result_t result)
{
	flow->closed = true;
	flow->pending = false;
	flow->result = result;
}

static bed_flow_t *find_flow(const packet_t *p)
{
	for (int i = 0; i < BED_FLOWS_MAX; i++) {
		bed_flow_t *f = &bed_flows[i];

		if (f->used && !f->closed && f->client_port == p->dport &&
		    f->route_ip == p->src && f->route_port == p->sport)
			return f;
	}
	return NULL;
}

/* Counts a packet of an open flow by whether its own host has got it. */
static void note_place(const packet_t *p, bool own)
{
	for (int i = 0; i < BED_FLOWS_MAX; i++) {
		bed_flow_t *f = &bed_flows[i];

		if (!f->used || !f->served || f->client_port != p->sport ||
		    f->route_port != p->dport)
			continue;
		f->astray_last = bed_now();
		if (own)
			f->astray = 0;
		else if (f->astray++ == 0)
			f->astray_since = f->astray_last;
		return;
	}
}

static int host_at(uint32_t ip)
{
	for (int i = 0; i < bed_host_count; i++)
		if (bed_hosts[i].ip == ip)
			return i;
	return -1;
}

static void client_packet(const uint8_t *in, size_t len, uint32_t from)
{
	bed_flow_t *flow;
	packet_t p;

	if (!decode(&p, in, len) || !(flow = find_flow(&p)))
		return;
	flow->last_host = host_at(from);
	if (p.flags & FLAG_RST) {
		if (p.sum == 0 && flow->opened &&
		    p.seq - flow->last_ack + 76800 > 2 * 76800)
			return; /* outside of the window: ignored */
		bed_record("client port %u (%s, request %llu) gets a reset "
			   "from %s",
			   flow->client_port, flow->opened ? "open" : "opening",
			   (unsigned long long)flow->request,
			   flow->last_host < 0 ? "the system"
					       : bed_hosts[flow->last_host].id);
		end_flow(flow, flow->last_host < 0 ? BED_RESET_BY_SYSTEM
						   : BED_RESET_BY_HOST);
		return;
	}
	if (p.flags & FLAG_SYN) {
		if (flow->opened)
			return; /* another host's, or a copy */
		flow->opened = true;
		flow->echo = p.echo;
		flow->peer_next = p.seq + 1;
		flow->last_ack = flow->peer_next;
		begin_request(flow);
		return;
	}
	if (!flow->opened)
		return;
	flow->echo = p.echo;
	if ((int32_t)(p.ack - flow->una) > 0)
		flow->una = p.ack;
	if (p.len == 0)
		return;
	if (p.seq == flow->peer_next) {
		flow->peer_next += p.len;
		flow->last_ack = flow->peer_next;
		flow->pending = false;
		flow->served++;
		bed_record("client port %u: request %llu is answered",
			   flow->client_port,
			   (unsigned long long)flow->request);
		flow->next_request = bed_now() + 0.7;
	}
	if (flow->is_long) {
		client_send(flow, FLAG_ACK, flow->una, flow->peer_next, NULL,
			    0);
		return;
	}
	client_send(flow, FLAG_ACK | FLAG_FIN, flow->una, flow->peer_next, NULL,
		    0);
	end_flow(flow, BED_SERVED);
}

static void client_timers(double now)
{
	static const double copy_at[] = {0.2, 0.6};

	for (int i = 0; i < BED_FLOWS_MAX; i++) {
		bed_flow_t *f = &bed_flows[i];

		if (!f->used || f->closed)
			continue;
		if (!f->opened) {
			if (f->copies < 2 &&
			    now >= f->started + copy_at[f->copies])
				client_send(f, FLAG_SYN, f->isn, ++f->copies,
					    NULL, 0);
			else if (now >= f->started + SYN_END_S) {
				bed_record("client port %u: no answer to the "
					   "SYN to route port %u",
					   f->client_port, f->route_port);
				end_flow(f, BED_NO_ANSWER);
			}
		} else if (f->pending) {
			if (now >= f->deadline) {
				bed_record("client port %u: request %llu is "
					   "never answered",
					   f->client_port,
					   (unsigned long long)f->request);
				end_flow(f, BED_NO_ANSWER);
			} else if (now >= f->sent + f->interval) {
				f->interval *= 2;
				if (f->interval > RETRANSMIT_MAX_S)
					f->interval = RETRANSMIT_MAX_S;
				send_request(f);
			}
		} else if (f->is_long && now >= f->next_request) {
			begin_request(f);
		}
	}
}

/* ---- instances ---- */

/* platform/settings.json.in with the bounds of the site pssg-edge */
static void write_settings(int index, const char *path)
{
	FILE *file = fopen(path, "w");
	char ip[16], store[16];

	if (!file)
		fail(path);
	snprintf(ip, sizeof(ip), "%s", bed_ip_text(bed_instances[index].ip));
	snprintf(store, sizeof(store), "%s", bed_ip_text(bed_ip(1)));
	fprintf(file,
		"{\"instance\": \"frontend-macon-a-%d\", \"zone\": \"macon-a\","
		" \"packets\": \"%s:%d\", \"readiness\": \"%s:%d\","
		" \"metrics\": \"%s:%d\", \"store\": \"%s:%d\","
		" \"relay\": \"%s:%d\", \"share_load\": true,"
		" \"contact_ms\": 4000, \"apply_ms\": 3000,"
		" \"stop_grace_s\": 6, \"link_mbps\": 1500.0,"
		" \"log_level\": \"info\"}\n",
		index + 1, ip, BED_PORT_PACKETS, ip, BED_PORT_READY, ip,
		BED_PORT_METRICS, store, BED_PORT_STORE, ip, BED_PORT_RELAY);
	fclose(file);
}

void bed_start_process(int index)
{
	bed_instance_t *instance = &bed_instances[index];
	char path[300], log[300];

	snprintf(path, sizeof(path), "%s/%d.json", dir, index);
	snprintf(log, sizeof(log), "%s/%d.log", dir, index);
	write_settings(index, path);
	instance->pid = fork();
	if (instance->pid < 0)
		fail("fork");
	if (instance->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(flowd_path, flowd_path, "--settings", path, (char *)NULL);
		_exit(127);
	}
	bed_record("instance %d starts, process %d", index, (int)instance->pid);
}

int bed_start_instance(void)
{
	bed_instance_t *instance = &bed_instances[bed_instance_count];

	instance->ip = bed_ip(10 + (unsigned)bed_instance_count);
	instance->fd = -1;
	bed_start_process(bed_instance_count);
	return bed_instance_count++;
}

void bed_signal(int index, int signal)
{
	bed_record("instance %d gets signal %d", index, signal);
	kill(bed_instances[index].pid, signal);
}

static void reap(void)
{
	for (int i = 0; i < bed_instance_count; i++) {
		int status;

		if (bed_instances[i].pid > 0 &&
		    waitpid(bed_instances[i].pid, &status, WNOHANG) ==
			    bed_instances[i].pid) {
			bed_record("instance %d has ended, status %d", i,
				   status);
			bed_instances[i].pid = 0;
		}
	}
}

/* ---- loop ---- */

static void poll_once(void)
{
	struct pollfd fds[2 + BED_HOSTS_MAX + CONNS_MAX];
	conn_t *of[2 + BED_HOSTS_MAX + CONNS_MAX];
	uint8_t in[2048];
	nfds_t n = 0, hosts_at, conns_at;
	struct sockaddr_in from;
	socklen_t from_len;
	ssize_t len;

	fds[n++] = (struct pollfd){.fd = store_fd, .events = POLLIN};
	fds[n++] = (struct pollfd){.fd = client_fd, .events = POLLIN};
	hosts_at = n;
	for (int i = 0; i < bed_host_count; i++)
		fds[n++] = (struct pollfd){.fd = bed_hosts[i].fd,
					   .events = POLLIN};
	conns_at = n;
	for (size_t i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd) {
			of[n] = &conns[i];
			fds[n++] = (struct pollfd){
				.fd = conns[i].fd,
				.events = (short)(POLLIN |
						  (conns[i].out.len ? POLLOUT
								    : 0))};
		}
	if (poll(fds, n, LOOP_MS) < 0 && errno != EINTR)
		fail("poll");
	if (fds[0].revents)
		accept_conn();
	while ((from_len = sizeof(from),
		len = recvfrom(client_fd, in, sizeof(in), 0,
			       (struct sockaddr *)&from, &from_len)) > 0)
		client_packet(in, (size_t)len, ntohl(from.sin_addr.s_addr));
	for (int i = 0; i < bed_host_count; i++)
		if (fds[hosts_at + (nfds_t)i].revents)
			while ((len = recv(bed_hosts[i].fd, in, sizeof(in),
					   0)) > 0)
				host_packet(i, in, (size_t)len);
	for (nfds_t i = conns_at; i < n; i++) {
		if (fds[i].revents & (POLLIN | POLLHUP | POLLERR))
			on_store_readable(of[i]);
		if (of[i]->fd && of[i]->out.len)
			flush_conn(of[i]);
	}
}

void bed_run(double until)
{
	while (bed_now() < until) {
		double now = bed_now();

		poll_once();
		answer_watches();
		host_timers(now);
		client_timers(now);
		for (int i = 0; i < bed_instance_count; i++)
			check_ready(&bed_instances[i], now);
		reap();
	}
}

void bed_wait_ready(double seconds)
{
	double end = bed_now() + seconds;

	for (;;) {
		int ready = 0;

		for (int i = 0; i < bed_instance_count; i++)
			ready += bed_instances[i].in_rotation;
		if (ready == bed_instance_count)
			return;
		if (bed_now() > end) {
			fprintf(stderr, "bed: instances are not ready\n");
			bed_exit(2);
		}
		bed_run(bed_now() + 0.05);
	}
}

static void on_stop(int signal)
{
	(void)signal;
	bed_exit(2);
}

void scenario(void);

/* bed FLOWD RECORD DIRECTORY */
int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	if (argc != 4)
		return 2;
	start_s = clock_s();
	flowd_path = argv[1];
	record = fopen(argv[2], "w");
	snprintf(dir, sizeof(dir), "%s", argv[3]);
	if (!record || access(flowd_path, X_OK) != 0) {
		fprintf(stderr, "bed: no %s\n", record ? argv[1] : argv[2]);
		return 2;
	}
	bed_trouble = !trouble || strcmp(trouble, "0") != 0;
	srandom((unsigned)getpid());
	net_a = 64 + (unsigned)getpid() / 200 % 64;
	net_b = 1 + (unsigned)getpid() % 200;
	signal(SIGTERM, on_stop);
	signal(SIGINT, on_stop);
	signal(SIGPIPE, SIG_IGN);
	bed_record("%s the disruption", bed_trouble ? "with" : "without");
	store_fd = open_socket(SOCK_STREAM, bed_ip(1), BED_PORT_STORE);
	client_fd = open_socket(SOCK_DGRAM, bed_ip(50), BED_PORT_PACKETS);
	scenario();
	bed_exit(2);
}
