/*
 * Stand-ins for what is outside of carob-flowd, in one process: the platform's
 * store, its routers, hosts and clients. They behave as PROTOCOL.md says. A
 * scenario (scenario_*.c) plays a disruption and checks a rule.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/* Time. */
uint64_t now_ms(void); /* since the start of the stand-in */

/* Record: record.txt in the folder of the case. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Addresses: 127.A.B.C, from the base that run.sh gives. */
extern uint32_t base_ip; /* 127.A.B.0 in host byte order */
#define STORE_IP       (base_ip + 1)
#define INSTANCE_IP(i) (base_ip + 10 + (uint32_t)(i))
#define HOST_IP(i)     (base_ip + 100 + (uint32_t)(i))
#define CLIENT_IP(i)   (base_ip + 200 + (uint32_t)(i))
#define STORE_PORT     7001
#define PACKET_PORT    7100
#define READY_PORT     7101
#define HOST_PORT      8080
int udp_socket(uint32_t ip, uint16_t port);
int tcp_listen(uint32_t ip, uint16_t port);
struct sockaddr_in socket_address(uint32_t ip, uint16_t port);

/* Growing buffer. */
typedef struct buf {
	uint8_t *bytes;
	size_t len, cap;
} buf_t;
void buf_add(buf_t *buf, const void *bytes, size_t len);
void buf_free(buf_t *buf);

/* CBOR. */
void cbor_map(buf_t *buf, uint64_t pairs);
void cbor_array(buf_t *buf, uint64_t count);
void cbor_text(buf_t *buf, const char *text);
void cbor_text_n(buf_t *buf, const char *text, size_t len);
void cbor_uint(buf_t *buf, uint64_t number);
void cbor_bool(buf_t *buf, bool value);

/* Store. */
void store_start(void);
/* Writes or removes an item. @return the revision of the change */
uint64_t store_put(const char *key, const buf_t *value);
uint64_t store_remove(const char *key);
/* All connections that exist now go silent for good; new ones work. */
int store_silence_connections(void);
extern uint64_t store_calls;

/* Packets. */
enum {
	SYN = 32,
	ACK = 128,
	FIN = 4,
	RST = 1
};
#define HEAD_BYTES 34
#define DATA_MAX   1200
typedef struct packet {
	uint16_t len;
	uint32_t seq, ack;
	uint8_t flags;
	uint32_t src, dst;
	uint16_t sport, dport;
	uint32_t echo;
	uint32_t sum;
	uint8_t data[DATA_MAX];
} packet_t;
size_t packet_encode(uint8_t *out, packet_t *packet); /* sets the sum */
bool packet_decode(packet_t *out, const uint8_t *bytes, size_t len);
uint32_t packet_sum(const packet_t *packet);

/* Hosts. */
#define HOSTS_MAX 40
typedef enum host_state {
	HOST_OFF,
	HOST_READY,
	HOST_DRAINING,
	HOST_ENDED, /* the process has ended; nothing answers */
} host_state_t;
typedef struct host {
	char id[32];
	uint64_t number;
	const char *service;
	const char *zone;
	uint32_t ip;
	int fd;
	host_state_t state;
	uint64_t born, seq;
	uint32_t slots, work_ms;
	uint64_t drained_ms; /* time at which the store took the draining */
	uint64_t slot_free_ms[8];
	uint64_t opened, runs;
} host_t;
extern host_t hosts[HOSTS_MAX];
extern size_t host_count;
size_t host_add(const char *service, const char *zone, uint32_t slots,
		uint32_t work_ms);
void host_start(size_t index);
void host_drain(size_t index);
void host_end(size_t index); /* removes the entry; the process ends */
void host_handle(size_t index);
void hosts_tick(void);

/* Configuration: a version with routes. */
typedef struct route {
	uint32_t ip;
	uint16_t port;
	const char *type; /* safe, unsafe, download */
	const char *service;
	uint32_t timeout_ms, target_ms, priority;
} route_t;
void config_put(uint64_t version, const route_t *routes, size_t count);

/* Routers: readiness of the instances, twice a second. */
extern size_t instance_count;
extern bool in_rotation[8];
void routers_tick(void);

/* Clients. */
#define CLIENTS_MAX 16
typedef struct request {
	uint64_t id;
	const route_t *route;
	bool opened; /* a host has answered the SYN */
	bool ran;
	bool answered;
	bool refused; /* an attempt ended with a reset before it opened */
	bool reset_open;
	bool over;
	int host; /* on which it opened, or ran */
	uint64_t sent_ms, opened_ms, ran_ms, answered_ms;
	int attempts;
} request_t;
#define REQUESTS_MAX 60000
extern request_t requests[REQUESTS_MAX];
extern size_t request_count;
void clients_start(size_t count);
/* Sends a request on a new flow, and further ones on it after pauses. */
void client_send(const route_t *route, int requests_per_flow);
extern uint32_t pause_min_ms, pause_range_ms;
extern uint64_t open_resets; /* resets of the system on open flows */
void client_handle(size_t index);
void clients_tick(void);
/* Writes a line into the record for each request. */
void record_requests(void);
extern int client_fds[CLIENTS_MAX];
extern size_t client_count;

/* Called when the opening packet of a flow arrives at a host. `sent_ms` is the
 * time at which the client sent this packet. */
extern void (*on_opening)(host_t *host, const request_t *request,
			  uint64_t sent_ms);

/* Called when a host resets a flow that another one, which lives, holds open. */
extern void (*on_host_reset)(const host_t *host, const host_t *holder,
			     uint64_t request);
extern uint32_t syn_ack_loss; /* each so many-th SYN+ACK is lost; 0: none */
extern uint64_t syn_acks_lost;
extern uint64_t datagrams; /* sent by hosts and clients */

extern uint64_t broken_packets; /* packets that differ from what was sent */

/* Runs the loop until `until_ms`. `tick` is called every few milliseconds. */
void run_until(uint64_t until_ms, void (*tick)(void));
/* Waits until all instances are ready; ends with status 2 after 15 s. */
void wait_ready(void);

/* Scenarios. @return the exit status */
int scenario_silent(bool trouble);
int scenario_syn_ack(bool trouble);

#endif
