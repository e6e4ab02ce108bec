/**
 * @file sim.h
 * Stand-ins for the users' platform on loopback addresses: the store, routers,
 * hosts and clients, in one process with one poll loop. carob-flowd runs as
 * processes of its own, started with the command of deploy/system.toml.
 *
 * The stand-ins follow PROTOCOL.md. Where it is silent they behave like a sound
 * server or client. Requests are single packets of text.
 */
#ifndef REVIEW_STANDINS_3_SIM_H
#define REVIEW_STANDINS_3_SIM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	SIM_MACHINES = 4,
	SIM_HOSTS = 128,
	SIM_FLOWS = 64,
	SIM_PACKET_PORT = 5700,
	SIM_READY_PORT = 5701,
	SIM_RELAY_PORT = 5703,
	SIM_METRICS_PORT = 9464,
	SIM_HOST_PORT = 8080,
	SIM_STORE_PORT = 8169,
};

/** A machine of the system with one process of carob-flowd. */
typedef struct sim_machine {
	char name[32];
	const char *zone;
	uint32_t ip;
	pid_t pid;	     /* 0: not running */
	uint64_t started_ms; /* of the process */
	bool in_rotation;
	int misses;	     /* failed checks of readiness in a row */
	int ready_fd;	     /* check in progress, or -1 */
	uint64_t checked_ms; /* start of the last check */
	int memory_kills;    /* times that it exceeded `sim_memory_mb` */
	uint64_t rotated_ms; /* since when it is in rotation or out of it */
} sim_machine_t;

/** A host of a service. */
typedef struct sim_host {
	char id[32];
	const char *service;
	const char *zone;
	uint64_t number;
	uint32_t ip;
	int fd;
	uint32_t runs; /* requests that it has run */
} sim_host_t;

typedef enum sim_flow_state {
	SIM_FLOW_NONE,
	SIM_FLOW_SYN_SENT,
	SIM_FLOW_OPEN,
	SIM_FLOW_CLOSED, /* both ends have sent a FIN */
	SIM_FLOW_RESET,	 /* a reset has arrived */
	SIM_FLOW_FAILED, /* no answer to the SYN */
} sim_flow_state_t;

/** A client's flow, with one request at a time. */
typedef struct sim_flow {
	uint16_t port;
	int route; /* its number */
	sim_flow_state_t state;
	uint32_t seq; /* of the next byte */
	uint32_t ack; /* of the next byte from the host */
	uint32_t echo;
	int host;	    /* that answered the SYN */
	int syns;	    /* SYNs sent */
	uint64_t due_ms;    /* of the next retransmission; 0: none */
	uint64_t wait_ms;   /* before the next retransmission */
	uint64_t opened_ms; /* when its host had the end of the handshake */
	uint32_t request;   /* id of the request in progress; 0: none */
	uint32_t answered;  /* id of the last request with an answer */
	bool close_asked;   /* the host closes the flow after its response */
	bool fin_received;
	char reset_by[48]; /* sender of the reset */
	int machine;	   /* that got the last packet */
	int at_own;	   /* packets that reached its host in the last check */
	int at_other;	   /* packets that reached other hosts */
} sim_flow_t;

extern sim_machine_t sim_machines[SIM_MACHINES];
extern int sim_machine_count;
extern sim_host_t sim_hosts[SIM_HOSTS];
extern int sim_host_count;
extern sim_flow_t sim_flows[SIM_FLOWS];
extern uint32_t sim_net;     /* the first three bytes of all addresses */
extern uint64_t sim_work_ms; /* that a host works on a request */
extern uint32_t sim_idle_timeout_ms;
extern uint32_t sim_memory_mb; /* a process that exceeds it is killed; 0: none */

/** Prepares the network, a temporary folder and the record. */
void sim_begin(const char *record_path);

/** Ends all processes and removes the temporary folder. */
void sim_end(void);

/** Writes a line with the time into the record. */
void sim_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** @return the time since the start, in milliseconds */
uint64_t sim_now_ms(void);

/** Runs all stand-ins for a time. */
void sim_run(uint64_t ms);

/** Runs until a condition holds. @return whether it does */
bool sim_wait(bool (*holds)(void *arg), void *arg, uint64_t timeout_ms);

/** Adds a host and its entry in the store. @return its index */
int sim_add_host(const char *service, const char *zone);

/** Writes the entry of a host. */
void sim_put_host(int host, const char *state);

/**
 * Writes an entry of another writer under servers/: one field of another type,
 * a list of `count` empty tables, and the other fields missing.
 */
void sim_put_foreign(const char *id, int version, size_t count);

/** @return the address of a route, by its number; 0 is the one in use */
uint32_t sim_route_ip(int number);

/** @return the port of a route */
uint16_t sim_route_port(int number);

/**
 * Writes a configuration with route 0 and `count` routes from `first` on, all
 * of one type and to one service.
 */
void sim_put_config(int version, const char *type, const char *service,
		    int first, int count);

/** Starts the process of a machine. */
void sim_start_machine(int machine);

/** Adds a machine. @return its index */
int sim_add_machine(const char *zone);

/** Sends SIGTERM, and SIGKILL after `grace_s`. */
void sim_stop_machine(int machine);

/**
 * The store serves at another address from now on, with all that it holds; the
 * settings files say so. The first `signals` machines get SIGHUP.
 */
void sim_move_store(int signals);

/** @return the machine that the routers choose now for a flow, or -1 */
int sim_route(uint16_t port, int route);

/** @return the same, if only the first `count` machines were in rotation */
int sim_route_among(uint16_t port, int route, int count);

/** Opens a flow. */
void sim_open(sim_flow_t *flow, uint16_t port, int route);

/** Sends a request; with `close` the host closes the flow after it. */
void sim_request(sim_flow_t *flow, bool close);

#endif
