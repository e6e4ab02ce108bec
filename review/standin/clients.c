/* Clients, and the routers that select an instance for each packet. */
#include "standin.h"
#include "loop.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FLOWS_MAX     8192
#define ATTEMPTS_MAX  3
#define REQUEST_BYTES 900

typedef enum phase {
	FREE,
	OPENING,
	WAITING,
	IDLE,
	ENDING
} phase_t;

typedef struct client_flow {
	phase_t phase;
	size_t client;
	uint16_t port;
	uint64_t request;	 /* number, from 1 */
	uint32_t seq, ack, echo; /* seq: next data, once the flow is open */
	uint64_t start_ms, send_ms;
	int left; /* requests that follow on this flow */
	uint32_t wait_ms;
	int copies;
	uint64_t copy_ms[3];
} client_flow_t;

request_t requests[REQUESTS_MAX];
size_t request_count;
int client_fds[CLIENTS_MAX];
size_t client_count;
size_t instance_count;
bool in_rotation[8];
static client_flow_t flows[FLOWS_MAX];
uint64_t open_resets; /* resets of the system on open flows */
uint32_t pause_min_ms = 300, pause_range_ms = 2000;
static uint16_t next_port[CLIENTS_MAX];

/* Routers. */

static struct probe {
	int fd;
	uint64_t sent_ms;
	bool sent;
	int misses;
} probes[8];

static void end_probe(size_t i, bool ready)
{
	if (probes[i].fd > 0)
		close(probes[i].fd);
	probes[i].fd = 0;
	probes[i].misses = ready ? 0 : probes[i].misses + 1;
	if (ready != in_rotation[i] && (ready || probes[i].misses >= 2)) {
		in_rotation[i] = ready;
		record("router: instance %zu is %s rotation", i,
		       ready ? "in" : "out of");
	}
}

static void begin_probe(size_t i)
{
	struct sockaddr_in to = socket_address(INSTANCE_IP(i), READY_PORT);
	static const char text[] = "GET /v1/ready HTTP/1.1\r\nHost: "
				   "x\r\nConnection: close\r\n\r\n";

	probes[i].fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	probes[i].sent_ms = now_ms();
	/* Loopback: the connection is made or refused at once. */
	if (connect(probes[i].fd, (struct sockaddr *)&to, sizeof(to)) != 0 ||
	    send(probes[i].fd, text, sizeof(text) - 1, MSG_NOSIGNAL) < 0)
		end_probe(i, false);
}

void routers_tick(void)
{
	for (size_t i = 0; i < instance_count; i++) {
		char text[64] = "";
		ssize_t len;

		if (probes[i].fd > 0) {
			len = recv(probes[i].fd, text, sizeof(text) - 1,
				   MSG_DONTWAIT);
			if (len > 0)
				end_probe(i, strstr(text, " 200 ") != NULL);
			else if (len == 0 || now_ms() - probes[i].sent_ms > 450)
				end_probe(i, false);
		}
		if (probes[i].fd <= 0 && now_ms() - probes[i].sent_ms >= 500)
			begin_probe(i);
	}
}

static size_t choose_instance(const packet_t *p)
{
	size_t best = 0;
	uint64_t best_score = 0;

	for (size_t i = 0; i < instance_count; i++) {
		uint64_t h = ((uint64_t)p->src << 32 | p->dst) ^
			     ((uint64_t)p->sport << 24) ^ p->dport ^
			     (i + 1) * 0x9e3779b97f4a7c15u;

		h = (h ^ h >> 31) * 0xbf58476d1ce4e5b9u;
		h = (h ^ h >> 29) * 0x94d049bb133111ebu;
		h ^= h >> 32;
		if (!in_rotation[i])
			h >>= 32;
		if (h >= best_score) {
			best_score = h;
			best = i;
		}
	}
	return best;
}

/* Clients. */

void clients_start(size_t count)
{
	client_count = count;
	for (size_t i = 0; i < count; i++) {
		client_fds[i] = udp_socket(CLIENT_IP(i), PACKET_PORT);
		next_port[i] = 40000;
	}
}

static void send_packet(const client_flow_t *flow, uint8_t flags, uint32_t seq,
			uint32_t ack, const void *data, uint16_t len)
{
	const route_t *route = requests[flow->request - 1].route;
	packet_t p = {.len = len,
		      .seq = seq,
		      .ack = ack,
		      .flags = flags,
		      .src = CLIENT_IP(flow->client),
		      .dst = route->ip,
		      .sport = flow->port,
		      .dport = route->port,
		      .echo = flow->echo};
	uint8_t bytes[HEAD_BYTES + DATA_MAX];
	struct sockaddr_in to;
	size_t size;

	if (len)
		memcpy(p.data, data, len);
	size = packet_encode(bytes, &p);
	to = socket_address(INSTANCE_IP(choose_instance(&p)), PACKET_PORT);
	sendto(client_fds[flow->client], bytes, size, 0, (struct sockaddr *)&to,
	       sizeof(to));
}

static void send_syn(client_flow_t *flow)
{
	flow->copy_ms[flow->copies] = now_ms();
	send_packet(flow, SYN, flow->seq, (uint32_t)flow->copies, NULL, 0);
	flow->copies++;
}

static size_t write_request(char data[REQUEST_BYTES], const client_flow_t *flow)
{
	const route_t *route = requests[flow->request - 1].route;
	int len = snprintf(data, REQUEST_BYTES,
			   "%s / HTTP/1.1\r\nHost: h\r\nRequest-Id: %llu\r\n"
			   "Content-Length: 300\r\n\r\n",
			   strcmp(route->type, "unsafe") ? "GET" : "POST",
			   (unsigned long long)flow->request);

	memset(data + len, 'a', 300);
	return (size_t)len + 300;
}

static void send_data(client_flow_t *flow)
{
	char data[REQUEST_BYTES];
	size_t len = write_request(data, flow);

	send_packet(flow, ACK, flow->seq, flow->ack, data, (uint16_t)len);
	flow->wait_ms = flow->wait_ms ? 2 * flow->wait_ms : 200;
	if (flow->wait_ms > 1600)
		flow->wait_ms = 1600;
	flow->send_ms = now_ms() + flow->wait_ms;
}

static void attempt(uint64_t request, int left)
{
	client_flow_t *flow = NULL;
	size_t client = (size_t)(request % client_count);

	for (size_t i = 0; i < FLOWS_MAX && !flow; i++)
		if (flows[i].phase == FREE)
			flow = &flows[i];
	if (!flow)
		exit(2);
	*flow = (client_flow_t){.phase = OPENING,
				.client = client,
				.port = next_port[client]++,
				.request = request,
				.seq = (uint32_t)rand(),
				.left = left,
				.start_ms = now_ms()};
	if (next_port[client] < 40000)
		next_port[client] = 40000;
	requests[request - 1].attempts++;
	send_syn(flow);
}

void client_send(const route_t *route, int requests_per_flow)
{
	request_t *request = &requests[request_count++];

	if (request_count == REQUESTS_MAX)
		exit(2);
	*request = (request_t){.id = request_count,
			       .route = route,
			       .host = -1,
			       .sent_ms = now_ms()};
	attempt(request_count, requests_per_flow - 1);
}

uint64_t client_request_of(uint32_t ip, uint16_t port)
{
	for (size_t i = 0; i < FLOWS_MAX; i++)
		if (flows[i].phase != FREE && flows[i].port == port &&
		    CLIENT_IP(flows[i].client) == ip)
			return flows[i].request;
	return 0;
}

/* A SYN holds no request; the stand-in knows which client sent it. */
uint64_t client_syn_info(const packet_t *p, uint64_t *sent_ms)
{
	for (size_t i = 0; i < FLOWS_MAX; i++) {
		client_flow_t *flow = &flows[i];

		if (flow->phase == FREE || flow->port != p->sport ||
		    CLIENT_IP(flow->client) != p->src || flow->seq != p->seq)
			continue;
		*sent_ms = p->ack < 3 ? flow->copy_ms[p->ack] : 0;
		return flow->request;
	}
	return 0;
}

/* Ends an attempt that did not open; the client tries again. */
static void fail_attempt(client_flow_t *flow, bool reset)
{
	uint64_t number = flow->request;
	request_t *request = &requests[number - 1];
	int left = flow->left;

	flow->phase = FREE;
	request->refused |= reset;
	if (request->attempts < ATTEMPTS_MAX &&
	    now_ms() - request->sent_ms < request->route->timeout_ms)
		attempt(number, left);
	else
		request->over = true;
}

/* Acknowledges a response, and ends the flow or keeps it for a while. */
static void end_request(client_flow_t *flow, request_t *request,
			const packet_t *p)
{
	char data[REQUEST_BYTES];

	flow->seq += (uint32_t)write_request(data, flow);
	flow->ack = p->seq + p->len;
	request->answered = true;
	request->answered_ms = now_ms();
	request->over = true;
	if (flow->left > 0) {
		flow->phase = IDLE;
		flow->send_ms = now_ms() + pause_min_ms +
				(uint64_t)rand() % pause_range_ms;
		send_packet(flow, ACK, flow->seq, flow->ack, NULL, 0);
		return;
	}
	flow->phase = ENDING;
	flow->send_ms = now_ms() + 400;
	send_packet(flow, ACK | FIN, flow->seq, flow->ack, NULL, 0);
}

static void next_request(client_flow_t *flow)
{
	const route_t *route = requests[flow->request - 1].route;
	request_t *request = &requests[request_count++];

	if (request_count == REQUESTS_MAX)
		exit(2);
	*request = (request_t){.id = request_count,
			       .route = route,
			       .host = -1,
			       .sent_ms = now_ms(),
			       .opened = true,
			       .attempts = ATTEMPTS_MAX};
	flow->request = request_count;
	flow->left--;
	flow->wait_ms = 0;
	flow->phase = WAITING;
	send_data(flow);
}

static void on_packet(client_flow_t *flow, packet_t *p)
{
	request_t *request = &requests[flow->request - 1];

	if (p->flags & RST) {
		if (flow->phase == OPENING) {
			fail_attempt(flow, true);
			return;
		}
		/* A reset outside of the window is ignored. */
		if ((flow->phase == WAITING || flow->phase == IDLE) &&
		    (uint32_t)(p->seq - flow->ack + 76800) <= 153600) {
			request->reset_open = true;
			request->over = true;
			flow->phase = FREE;
			open_resets += p->sum == 0;
			record("request %llu%s: the client got a reset on its "
			       "open flow, sent by %s",
			       (unsigned long long)flow->request,
			       request->answered ? " (answered)" : "",
			       p->sum == 0 ? "the system" : "a host");
		}
		return;
	}
	if (p->sum != packet_sum(p)) {
		broken_packets++;
		record("a client got a packet that was not written so");
		return;
	}
	flow->echo = p->echo;
	if ((p->flags & SYN) && flow->phase == OPENING) {
		flow->ack = p->seq + 1;
		flow->seq++;
		flow->phase = WAITING;
		request->opened = true;
		request->opened_ms = now_ms();
		send_data(flow);
		return;
	}
	if (p->len && p->seq != flow->ack) {
		/* A copy of a response: its acknowledgement was lost. */
		send_packet(flow, ACK, flow->seq, flow->ack, NULL, 0);
		return;
	}
	if (flow->phase == WAITING && p->len)
		end_request(flow, request, p);
	if (flow->phase == ENDING && (p->flags & FIN))
		flow->phase = FREE;
}

void client_handle(size_t index)
{
	uint8_t bytes[2048];
	ssize_t len;

	while ((len = recv(client_fds[index], bytes, sizeof(bytes), 0)) > 0) {
		packet_t p;

		if (!packet_decode(&p, bytes, (size_t)len))
			continue;
		for (size_t i = 0; i < FLOWS_MAX; i++) {
			if (flows[i].phase == FREE ||
			    flows[i].client != index ||
			    flows[i].port != p.dport)
				continue;
			on_packet(&flows[i], &p);
			break;
		}
	}
}

static void tick_flow(client_flow_t *flow)
{
	static const uint64_t copy_at[] = {0, 200, 600};
	uint64_t now = now_ms();
	request_t *request = &requests[flow->request - 1];

	if (flow->phase == OPENING) {
		if (now - flow->start_ms >= 1400)
			fail_attempt(flow, false);
		else if (flow->copies < 3 &&
			 now - flow->start_ms >= copy_at[flow->copies])
			send_syn(flow);
	} else if (flow->phase == WAITING) {
		if (now - request->sent_ms >= request->route->timeout_ms) {
			request->over = true;
			flow->phase = FREE;
		} else if (now >= flow->send_ms) {
			send_data(flow);
		}
	} else if (flow->phase == IDLE) {
		if (now >= flow->send_ms)
			next_request(flow);
	} else if (flow->phase == ENDING && now >= flow->send_ms) {
		flow->phase = FREE;
	}
}

void clients_tick(void)
{
	for (size_t i = 0; i < FLOWS_MAX; i++)
		if (flows[i].phase != FREE)
			tick_flow(&flows[i]);
}

static double seconds(uint64_t ms)
{
	return (double)ms / 1000;
}

void record_requests(void)
{
	record("all requests: number, sent, its host, began to run, answered "
	       "(seconds; - for never)");
	for (size_t i = 0; i < request_count; i++) {
		const request_t *r = &requests[i];
		char ran[32] = "-", answered[32] = "-";

		if (r->ran)
			snprintf(ran, sizeof(ran), "%.3f", seconds(r->ran_ms));
		if (r->answered)
			snprintf(answered, sizeof(answered), "%.3f",
				 seconds(r->answered_ms));
		record("%llu %.3f %s %s %s%s", (unsigned long long)r->id,
		       seconds(r->sent_ms), r->ran ? hosts[r->host].id : "-",
		       ran, answered, r->reset_open ? " reset" : "");
	}
}
