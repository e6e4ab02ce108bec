/* Hosts and the operator's configuration. */
#include "standin.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define FLOWS_MAX      20000
#define RESPONSE_BYTES 600
#define SENDS_MAX      9 /* a packet and 8 retransmissions */

typedef struct host_flow {
	bool used, open;
	size_t host;
	uint32_t src, dst;
	uint16_t sport, dport;
	uint32_t seq;	   /* next of the host */
	uint32_t expected; /* next of the client */
	uint32_t echo;
	uint64_t request; /* in progress; 0: none */
	uint64_t done_ms; /* when the work ends */
	uint64_t send_ms; /* when the response is sent again */
	uint32_t wait_ms;
	int sent;
} host_flow_t;

host_t hosts[HOSTS_MAX];
size_t host_count;
void (*on_opening)(host_t *host, const request_t *request, uint64_t sent_ms);
static host_flow_t flows[FLOWS_MAX];
static uint64_t id_seed = 0x9e16b79e8cu;
uint32_t syn_ack_loss; /* each so many-th SYN+ACK is lost; 0: none */
uint64_t syn_acks_lost;
void (*on_host_reset)(const host_t *host, const host_t *holder,
		      uint64_t request);

size_t host_add(const char *service, const char *zone, uint32_t slots,
		uint32_t work_ms)
{
	host_t *host = &hosts[host_count];

	id_seed = id_seed * 6364136223846793005u + 1442695040888963407u;
	host->number = id_seed >> 24;
	snprintf(host->id, sizeof(host->id), "i-%010llx",
		 (unsigned long long)host->number);
	host->service = service;
	host->zone = zone;
	host->slots = slots;
	host->work_ms = work_ms;
	host->ip = HOST_IP(host_count);
	host->fd = udp_socket(host->ip, HOST_PORT);
	return host_count++;
}

static void write_entry(host_t *host)
{
	struct in_addr ip = {htonl(host->ip)};
	char key[64], address[40];
	buf_t value = {0};
	uint64_t rev;

	snprintf(key, sizeof(key), "servers/%s", host->id);
	snprintf(address, sizeof(address), "%u.%u.%u.%u:%u", host->ip >> 24,
		 host->ip >> 16 & 255, host->ip >> 8 & 255, host->ip & 255,
		 HOST_PORT);
	(void)ip;
	cbor_map(&value, 9);
	cbor_text(&value, "service");
	cbor_text(&value, host->service);
	cbor_text(&value, "address");
	cbor_text(&value, address);
	cbor_text(&value, "zone");
	cbor_text(&value, host->zone);
	cbor_text(&value, "version");
	cbor_text(&value, "v1");
	cbor_text(&value, "slots");
	cbor_uint(&value, host->slots);
	cbor_text(&value, "state");
	cbor_text(&value, host->state == HOST_READY ? "ready" : "draining");
	cbor_text(&value, "cold_ms");
	cbor_uint(&value, 0);
	cbor_text(&value, "seq");
	cbor_uint(&value, ++host->seq);
	cbor_text(&value, "born");
	cbor_uint(&value, host->born);
	rev = store_put(key, &value);
	buf_free(&value);
	record("store acknowledged %s %s at revision %llu", key,
	       host->state == HOST_READY ? "ready" : "draining",
	       (unsigned long long)rev);
}

void host_start(size_t index)
{
	host_t *host = &hosts[index];

	host->state = HOST_READY;
	host->seq = 0;
	host->born = 1764900000000u + now_ms();
	write_entry(host);
}

void host_drain(size_t index)
{
	hosts[index].state = HOST_DRAINING;
	write_entry(&hosts[index]);
	hosts[index].drained_ms = now_ms();
}

void host_end(size_t index)
{
	char key[64];

	hosts[index].state = HOST_ENDED;
	for (size_t i = 0; i < FLOWS_MAX; i++)
		if (flows[i].used && flows[i].host == index)
			flows[i].used = false;
	snprintf(key, sizeof(key), "servers/%s", hosts[index].id);
	store_remove(key);
	record("host %s ended and its entry was removed", hosts[index].id);
}

uint64_t client_request_of(uint32_t ip, uint16_t port);

static void send_packet(const host_t *host, packet_t *p)
{
	uint8_t bytes[HEAD_BYTES + DATA_MAX];
	size_t len = packet_encode(bytes, p);
	struct sockaddr_in to = socket_address(p->dst, PACKET_PORT);

	sendto(host->fd, bytes, len, 0, (struct sockaddr *)&to, sizeof(to));
}

static void reply(const host_t *host, host_flow_t *flow, uint8_t flags,
		  uint32_t seq, const void *data, uint16_t len)
{
	packet_t p = {.len = len,
		      .seq = seq,
		      .ack = flow->expected,
		      .flags = flags,
		      .src = flow->dst,
		      .dst = flow->src,
		      .sport = flow->dport,
		      .dport = flow->sport,
		      .echo = flow->echo};

	if (len)
		memcpy(p.data, data, len);
	send_packet(host, &p);
}

/* @return the flow where a host that lives holds it open, or NULL */
static const host_flow_t *find_open(const packet_t *p)
{
	for (size_t i = 0; i < FLOWS_MAX; i++) {
		const host_flow_t *f = &flows[i];

		if (f->used && f->open && f->src == p->src &&
		    f->sport == p->sport && f->dst == p->dst &&
		    f->dport == p->dport)
			return f;
	}
	return NULL;
}

static void send_rst(const host_t *host, const packet_t *in)
{
	const host_flow_t *open = find_open(in);
	packet_t p = {.seq = in->ack,
		      .flags = RST,
		      .src = in->dst,
		      .dst = in->src,
		      .sport = in->dport,
		      .dport = in->sport,
		      .echo = in->echo};

	if (in->flags & RST)
		return;
	send_packet(host, &p);
	if (open && on_host_reset)
		on_host_reset(host, &hosts[open->host],
			      client_request_of(in->src, in->sport));
}

static host_flow_t *find_flow(size_t host, const packet_t *p, bool add)
{
	static size_t hint;

	for (size_t i = 0; i < FLOWS_MAX; i++) {
		host_flow_t *f = &flows[i];

		if (f->used && f->host == host && f->src == p->src &&
		    f->sport == p->sport && f->dst == p->dst &&
		    f->dport == p->dport)
			return f;
	}
	for (size_t n = 0; add && n < FLOWS_MAX; n++) {
		host_flow_t *f = &flows[hint++ % FLOWS_MAX];

		if (f->used)
			continue;
		*f = (host_flow_t){.used = true,
				   .host = host,
				   .src = p->src,
				   .dst = p->dst,
				   .sport = p->sport,
				   .dport = p->dport};
		return f;
	}
	return NULL;
}

static void run_request(host_t *host, host_flow_t *flow, const packet_t *p)
{
	const char *id = memmem(p->data, p->len, "Request-Id: ", 12);
	uint64_t start = now_ms();
	size_t best = 0;
	request_t *request;

	if (!id)
		return;
	flow->request = strtoull(id + 12, NULL, 10);
	for (size_t i = 1; i < host->slots; i++)
		if (host->slot_free_ms[i] < host->slot_free_ms[best])
			best = i;
	if (host->slot_free_ms[best] > start)
		start = host->slot_free_ms[best];
	flow->done_ms = start + host->work_ms;
	flow->sent = 0;
	flow->wait_ms = 0;
	flow->send_ms = 0;
	host->slot_free_ms[best] = flow->done_ms;
	host->runs++;
	if (flow->request == 0 || flow->request > request_count) {
		record("host %s ran a request that no client sent", host->id);
		broken_packets++;
		return;
	}
	request = &requests[flow->request - 1];
	if (request->ran && strcmp(request->route->type, "unsafe") == 0)
		record("request %llu ran again",
		       (unsigned long long)flow->request);
	request->ran = true;
	request->ran_ms = now_ms();
	request->host = (int)(host - hosts);
}

static void set_resend(host_flow_t *flow)
{
	flow->sent++;
	flow->wait_ms = flow->wait_ms ? 2 * flow->wait_ms : 200;
	if (flow->wait_ms > 1600)
		flow->wait_ms = 1600;
	flow->send_ms = now_ms() + flow->wait_ms;
}

/* A SYN+ACK is sent again until the client acknowledges it. */
static void send_syn_ack(host_flow_t *flow)
{
	static uint64_t count;
	bool first = flow->sent == 0;

	set_resend(flow);
	if (first && syn_ack_loss && ++count % syn_ack_loss == 0) {
		syn_acks_lost++;
		record("the SYN+ACK of %s to port %u of client %u is lost",
		       hosts[flow->host].id, flow->sport, flow->src & 255);
		return;
	}
	reply(&hosts[flow->host], flow, SYN | ACK, flow->seq, NULL, 0);
}

static void on_syn(size_t index, const packet_t *p, uint64_t sent_ms,
		   uint64_t request)
{
	host_t *host = &hosts[index];
	host_flow_t *flow = find_flow(index, p, false);

	if (!flow) {
		flow = find_flow(index, p, true);
		if (!flow)
			return;
		flow->seq = (uint32_t)rand();
		flow->expected = p->seq + 1;
		if (on_opening)
			on_opening(host,
				   request && request <= request_count
					   ? &requests[request - 1]
					   : NULL,
				   sent_ms);
	}
	flow->echo = p->echo;
	if (!flow->open)
		send_syn_ack(flow);
}

uint64_t client_syn_info(const packet_t *p, uint64_t *sent_ms);

static void on_packet(size_t index, packet_t *p)
{
	host_t *host = &hosts[index];
	host_flow_t *flow;
	uint64_t sent_ms = 0;
	uint64_t request;

	if (p->sum != packet_sum(p)) {
		broken_packets++;
		record("host %s got a packet that was not written so",
		       host->id);
		return;
	}
	if (p->flags & SYN) {
		request = client_syn_info(p, &sent_ms);
		on_syn(index, p, sent_ms, request);
		return;
	}
	flow = find_flow(index, p, false);
	if (!flow) {
		send_rst(host, p);
		return;
	}
	if (p->flags & RST) {
		flow->used = false;
		return;
	}
	if (!flow->open && p->ack != flow->seq + 1) {
		/* The client has taken another host's SYN+ACK: this host does
		 * not hold the flow (as RFC 9293, 3.10.7.4, SYN-RECEIVED). */
		flow->used = false;
		send_rst(host, p);
		return;
	}
	flow->echo = p->echo;
	if (!flow->open) {
		flow->open = true;
		flow->seq++;
		flow->sent = 0;
		flow->wait_ms = 0;
		host->opened++;
	}
	if (flow->request && flow->sent &&
	    p->ack == flow->seq + RESPONSE_BYTES) {
		flow->seq += RESPONSE_BYTES;
		flow->request = 0;
	}
	if (p->len && p->seq == flow->expected && !flow->request) {
		flow->expected += p->len;
		run_request(host, flow, p);
	}
	if (p->flags & FIN) {
		flow->expected = p->seq + p->len + 1;
		reply(host, flow, ACK | FIN, flow->seq, NULL, 0);
		flow->used = false;
		return;
	}
	if (p->len)
		reply(host, flow, ACK, flow->seq, NULL, 0);
}

void host_handle(size_t index)
{
	uint8_t bytes[2048];
	ssize_t len;

	while ((len = recv(hosts[index].fd, bytes, sizeof(bytes), 0)) > 0) {
		uint64_t number = 0;
		packet_t p;

		if (hosts[index].state == HOST_OFF ||
		    hosts[index].state == HOST_ENDED || len < 8)
			continue;
		for (int i = 0; i < 8; i++)
			number = number << 8 | bytes[i];
		if (number != 0 && number != hosts[index].number)
			continue;
		if (packet_decode(&p, bytes + 8, (size_t)len - 8))
			on_packet(index, &p);
	}
}

static void send_response(host_flow_t *flow)
{
	char data[RESPONSE_BYTES];
	int head = snprintf(data, sizeof(data),
			    "HTTP/1.1 200 OK\r\nResponse-Signature: s%llu\r\n"
			    "Content-Length: 400\r\n\r\n",
			    (unsigned long long)flow->request);

	memset(data + head, 'b', sizeof(data) - (size_t)head);
	set_resend(flow);
	reply(&hosts[flow->host], flow, ACK, flow->seq, data, RESPONSE_BYTES);
}

void hosts_tick(void)
{
	uint64_t now = now_ms();

	for (size_t i = 0; i < FLOWS_MAX; i++) {
		host_flow_t *flow = &flows[i];

		if (!flow->used || (flow->open && !flow->request))
			continue;
		if (now < flow->send_ms || (flow->open && now < flow->done_ms))
			continue;
		if (flow->sent >= SENDS_MAX)
			flow->used = false;
		else if (flow->open)
			send_response(flow);
		else
			send_syn_ack(flow);
	}
}

void config_put(uint64_t version, const route_t *routes, size_t count)
{
	buf_t value = {0};

	cbor_map(&value, 4);
	cbor_text(&value, "version");
	cbor_uint(&value, version);
	cbor_text(&value, "routes");
	cbor_array(&value, count);
	for (size_t i = 0; i < count; i++) {
		char text[40];

		cbor_map(&value, 9);
		cbor_text(&value, "name");
		snprintf(text, sizeof(text), "r-%zu", i);
		cbor_text(&value, text);
		cbor_text(&value, "hostname");
		snprintf(text, sizeof(text), "%u.%u.%u.%u", routes[i].ip >> 24,
			 routes[i].ip >> 16 & 255, routes[i].ip >> 8 & 255,
			 routes[i].ip & 255);
		cbor_text(&value, text);
		cbor_text(&value, "prefix");
		snprintf(text, sizeof(text), "/%u/", routes[i].port);
		cbor_text(&value, text);
		cbor_text(&value, "route_type");
		cbor_text(&value, routes[i].type);
		cbor_text(&value, "service");
		cbor_text(&value, routes[i].service);
		cbor_text(&value, "timeout_ms");
		cbor_uint(&value, routes[i].timeout_ms);
		cbor_text(&value, "target_latency_ms");
		cbor_uint(&value, routes[i].target_ms);
		cbor_text(&value, "priority");
		cbor_uint(&value, routes[i].priority);
		cbor_text(&value, "max_attempts");
		cbor_uint(&value, 2);
	}
	cbor_text(&value, "services");
	cbor_array(&value, 0);
	cbor_text(&value, "limits");
	cbor_map(&value, 1);
	cbor_text(&value, "idle_timeout_ms");
	cbor_uint(&value, 12000);
	(void)store_put("op/config", &value);
	buf_free(&value);
	record("store acknowledged configuration version %llu",
	       (unsigned long long)version);
}
