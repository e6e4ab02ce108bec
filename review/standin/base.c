#include "standin.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

uint32_t base_ip;
uint64_t broken_packets;
uint64_t datagrams;
static FILE *record_file;
static uint64_t start_ms;

static uint64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t now_ms(void)
{
	if (start_ms == 0)
		start_ms = clock_ms();
	return clock_ms() - start_ms;
}

void record(const char *format, ...)
{
	va_list args;

	if (!record_file)
		record_file = fopen(getenv("RECORD") ? getenv("RECORD")
						     : "record.txt",
				    "w");
	if (!record_file)
		exit(2);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

struct sockaddr_in socket_address(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(ip)};

	return sa;
}

int udp_socket(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = socket_address(ip, port);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int bytes = 1 << 20;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
		record("cannot bind a UDP socket");
		exit(2);
	}
	return fd;
}

int tcp_listen(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = socket_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(fd, 128) != 0) {
		record("cannot listen");
		exit(2);
	}
	return fd;
}

void buf_add(buf_t *buf, const void *bytes, size_t len)
{
	if (buf->len + len > buf->cap) {
		buf->cap = 2 * (buf->len + len) + 64;
		buf->bytes = realloc(buf->bytes, buf->cap);
		if (!buf->bytes)
			exit(2);
	}
	memcpy(buf->bytes + buf->len, bytes, len);
	buf->len += len;
}

void buf_free(buf_t *buf)
{
	free(buf->bytes);
	*buf = (buf_t){0};
}

static void cbor_head(buf_t *buf, uint8_t major, uint64_t value)
{
	uint8_t head[9];
	size_t len = 1;

	if (value < 24) {
		head[0] = (uint8_t)(major << 5 | value);
	} else {
		head[0] = (uint8_t)(major << 5 | 27);
		for (int i = 0; i < 8; i++)
			head[1 + i] = (uint8_t)(value >> (56 - 8 * i));
		len = 9;
	}
	buf_add(buf, head, len);
}

void cbor_map(buf_t *buf, uint64_t pairs)
{
	cbor_head(buf, 5, pairs);
}

void cbor_array(buf_t *buf, uint64_t count)
{
	cbor_head(buf, 4, count);
}

void cbor_text_n(buf_t *buf, const char *text, size_t len)
{
	cbor_head(buf, 3, len);
	buf_add(buf, text, len);
}

void cbor_text(buf_t *buf, const char *text)
{
	cbor_text_n(buf, text, strlen(text));
}

void cbor_uint(buf_t *buf, uint64_t number)
{
	cbor_head(buf, 0, number);
}

void cbor_bool(buf_t *buf, bool value)
{
	uint8_t byte = value ? 0xf5 : 0xf4;

	buf_add(buf, &byte, 1);
}

static void put32(uint8_t *at, uint32_t v)
{
	at[0] = (uint8_t)(v >> 24);
	at[1] = (uint8_t)(v >> 16);
	at[2] = (uint8_t)(v >> 8);
	at[3] = (uint8_t)v;
}

static uint32_t get32(const uint8_t *at)
{
	return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 |
	       (uint32_t)at[2] << 8 | at[3];
}

/* A keyed sum over all fields except echo, pad and BOUNCED. */
uint32_t packet_sum(const packet_t *p)
{
	uint64_t h = 0x6a09e667f3bcc908u;
	uint32_t fields[] = {p->len,
			     p->seq,
			     p->ack,
			     p->flags & ~16u,
			     p->src,
			     p->dst,
			     (uint32_t)p->sport << 16 | p->dport};

	for (size_t i = 0; i < ARRAY_SIZE(fields); i++)
		h = (h ^ fields[i]) * 0x100000001b3u + 0x9e3779b9u;
	for (size_t i = 0; i < p->len; i++)
		h = (h ^ p->data[i]) * 0x100000001b3u;
	h ^= h >> 29;
	return (uint32_t)h ? (uint32_t)h : 1;
}

size_t packet_encode(uint8_t *out, packet_t *p)
{
	datagrams++;
	p->sum = packet_sum(p);
	memset(out, 0, HEAD_BYTES);
	out[0] = (uint8_t)(p->len >> 8);
	out[1] = (uint8_t)p->len;
	put32(out + 2, p->seq);
	put32(out + 6, p->ack);
	out[10] = p->flags;
	put32(out + 14, p->src);
	put32(out + 18, p->dst);
	put32(out + 22, (uint32_t)p->sport << 16 | p->dport);
	put32(out + 26, p->echo);
	put32(out + 30, p->sum);
	memcpy(out + HEAD_BYTES, p->data, p->len);
	return HEAD_BYTES + p->len;
}

bool packet_decode(packet_t *p, const uint8_t *bytes, size_t len)
{
	if (len < HEAD_BYTES)
		return false;
	p->len = (uint16_t)(bytes[0] << 8 | bytes[1]);
	if (p->len > DATA_MAX || len != HEAD_BYTES + (size_t)p->len)
		return false;
	p->seq = get32(bytes + 2);
	p->ack = get32(bytes + 6);
	p->flags = bytes[10];
	p->src = get32(bytes + 14);
	p->dst = get32(bytes + 18);
	p->sport = (uint16_t)(get32(bytes + 22) >> 16);
	p->dport = (uint16_t)get32(bytes + 22);
	p->echo = get32(bytes + 26);
	p->sum = get32(bytes + 30);
	memcpy(p->data, bytes + HEAD_BYTES, p->len);
	return true;
}
