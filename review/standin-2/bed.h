/**
 * @file bed.h
 * Stand-ins for the users' platform on loopback addresses: its store, its
 * routers, its operator, hosts and clients, in one process with one loop. They
 * follow PROTOCOL.md. The instances of carob-flowd are processes of their own,
 * which this one starts and signals.
 */
#ifndef BED_H
#define BED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	BED_INSTANCES_MAX = 4,
	BED_HOSTS_MAX = 16,
	BED_FLOWS_MAX = 8192,
	BED_PORT_PACKETS = 5700,
	BED_PORT_READY = 5701,
	BED_PORT_METRICS = 5702,
	BED_PORT_RELAY = 5703,
	BED_PORT_STORE = 5704,
	BED_PORT_HOST = 5705,
};

/** One request of a client, with all its tries. */
typedef enum bed_result {
	BED_WAITING,
	BED_SERVED,
	BED_RESET_BY_SYSTEM, /* a reset with sum 0 */
	BED_RESET_BY_HOST,
	BED_NO_ANSWER,
} bed_result_t;

typedef struct bed_host {
	char id[32];
	uint64_t number;
	char service[16];
	const char *state; /* "ready" or "draining" */
	uint32_t ip;
	int fd;
	uint64_t seq;
	unsigned syns, runs, strange; /* strange: packets of unknown flows */
} bed_host_t;

typedef struct bed_flow {
	bool used;
	uint32_t client_ip, route_ip;
	uint16_t client_port, route_port;
	uint32_t isn, next, una, peer_next, last_ack, echo;
	bool opened, closed;
	unsigned copies;
	double started, sent, interval; /* of the attempt, of the last packet */
	double deadline;		/* of the request */
	bool pending;			/* a request awaits its response */
	uint64_t request;
	unsigned served;
	bed_result_t result;
	int pinned;    /* instance that the router uses, or -1 */
	int last_host; /* host of the response or reset, or -1 */
	/* Packets at hosts that do not hold the flow, since the last one at
	 * its own host. */
	unsigned astray;
	double astray_since, astray_last;
	bool is_long;
	double next_request;
} bed_flow_t;

typedef struct bed_instance {
	pid_t pid; /* 0: not running */
	uint32_t ip;
	bool in_rotation;
	unsigned misses;
	int fd; /* of the readiness check in progress, or -1 */
	double check_at, check_began;
	double last_ready; /* time of the last status 200 */
} bed_instance_t;

extern bed_instance_t bed_instances[BED_INSTANCES_MAX];
extern bed_host_t bed_hosts[BED_HOSTS_MAX];
extern bed_flow_t bed_flows[BED_FLOWS_MAX];
extern int bed_instance_count, bed_host_count;
extern bool bed_trouble;

/** Seconds since the start. */
double bed_now(void);

/** Writes a line to record.txt, with the time. */
void bed_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Ends the run: stops all processes, exits with `status`. */
void bed_exit(int status) __attribute__((noreturn));

/** Runs the loop until `until` seconds after the start. */
void bed_run(double until);

/** Starts an instance of carob-flowd; the first call makes it instance 0. */
int bed_start_instance(void);

/** Starts the process of an instance again, which has ended. */
void bed_start_process(int instance);
void bed_signal(int instance, int signal);

/** Waits until all instances are in rotation; exits with 2 if they are not. */
void bed_wait_ready(double seconds);

/** Starts a host and registers it. The id's hex digits are its number. */
int bed_start_host(const char *id, const char *service);

/** Writes an entry under another key, as a writer that is no host may. */
void bed_write_entry(const char *key, const char *service, uint32_t ip);

/** Writes a configuration: `routes` is a CBOR array that bed_routes_end ended.
 * Returns when the store has acknowledged it, which is at once. */
void bed_routes_begin(size_t count);
void bed_route(const char *ip, unsigned port, const char *service,
	       unsigned timeout_ms);
void bed_route_split(const char *ip, unsigned port, const char *const *services,
		     const unsigned *weights, size_t count);
void bed_publish(uint64_t version);

/** Opens a flow with one request (or a request each 0.7 s if `is_long`).
 * Returns its index. */
int bed_open(uint32_t route_ip, unsigned port, bool is_long, int instance);

/** Address NET.d as a number; NET is random for each run. */
uint32_t bed_ip(unsigned d);
const char *bed_ip_text(uint32_t ip);

#endif
