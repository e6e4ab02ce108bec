/**
 * @file simulation.h
 * The simulation that a scenario runs in: entry instances with the real
 * scheduler and entry code, and simple models of the network, the upstreams
 * and the callers. All of them share one manual clock and one random seed.
 */
#ifndef CAROBTRAIL_SCENARIO_SIMULATION_H
#define CAROBTRAIL_SCENARIO_SIMULATION_H

#include "carobtrail/entry.h"
#include "carobtrail/kernel.h"
#include "carobtrail/keyring.h"
#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"
#include "carobtrail/scheduler.h"

#include "core/messages/msg_pack.h"
#include "emulator/ledger/ledger.h"

#include <uthash.h>

#define INSTANCES_MAX 32
#define HOSTS_MAX     128
#define ZONES_MAX     8
#define SERVICES_MAX  4
#define NO_ZONE	      (-1)

typedef struct simulation simulation_t;
typedef struct instance instance_t;
typedef struct host host_t;
typedef struct caller caller_t;
typedef struct baseline baseline_t;

/** Load balancing policy of the instances. */
typedef enum policy {
	POLICY_CAROBTRAIL,
	/** Two random choices, made by the instance that gets the packet. */
	POLICY_TWO_CHOICES,
	/** Consistent hashing of the caller's address. */
	POLICY_CONSISTENT_HASHING,
	/** Round robin; each instance has its own table of flows. */
	POLICY_ROUND_ROBIN,
} policy_t;

/** Probabilities that a datagram is lost, duplicated or reordered. */
typedef struct network_faults {
	double loss;
	double duplicate;
	double reorder;
} network_faults_t;

/** Kind of a packet; it tells the receiver and what the packet carries. */
typedef enum packet_kind {
	PACKET_FROM_CALLER,
	PACKET_TO_CALLER,
	PACKET_TO_HOST,
	PACKET_FROM_HOST,
	PACKET_RELAY,
	PACKET_HEARTBEAT,
	PACKET_SUMMARY,
	PACKET_REPORT,
	PACKET_MANIFEST,
	PACKET_RECORDS,
	PACKET_RECORDS_ACK,
} packet_kind_t;

/** A packet in flight. */
typedef struct packet {
	carob_timer_t timer;
	simulation_t *sim;
	packet_kind_t kind;
	size_t instance; /* index of the receiving instance */
	uint32_t receiver_incarnation;
	size_t from; /* index of the sending instance */
	size_t host;
	uint32_t service_id;
	uint32_t path;
	uint64_t caller;
	carob_addr_t addr;
	carob_packed_msg_t *msg;
	carob_relay_t relay; /* without its message, which is in `msg` */
	carob_member_t member;
	uint64_t generation;
	carob_load_summary_t summary;
	carob_load_report_t report;
	carob_manifest_t *manifest;
	carob_buf_t records;
	struct packet *next; /* in the queue of a paused instance */
	struct packet *in_flight_prev;
	struct packet *in_flight_next;
} packet_t;

/** Payload of a request; the upstream responds with `response_body_t`. */
typedef struct call_body {
	uint64_t rid;
	uint64_t session;
	uint64_t deadline_ns; /* 0 if there is none */
	uint32_t seq;	      /* number of the request in its session, from 0 */
} call_body_t;

/** Payload of a response or notification. */
typedef struct response_body {
	uint64_t rid;
	carob_record_name_t service;
	uint32_t notification;
	bool unknown_session; /* the session began on another upstream */
} response_body_t;

/** Statistics of one service that the ledger does not hold. */
typedef struct service_stats {
	uint64_t broken_sessions;
	uint64_t expired_runs; /* runs that began after their deadline */
	uint64_t shed;	       /* requests that upstreams refused */
	double useful_s;       /* slot time of runs not cancelled */
	double busy_s;	       /* slot time of all runs */
	double abandoned_s;    /* slot time of runs after their cancellation */
} service_stats_t;

/** State of the simulation. */
struct simulation {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	uint64_t seed;
	policy_t policy;
	carob_entry_mutation_t entry_mutation;
	carob_scheduler_mutation_t scheduler_mutation;
	/** Mutation: instances also apply generations older than theirs. */
	bool revert_mutation;
	struct packet *packets; /* all packets in flight */
	carob_keyring_t *keyring;
	carob_manifest_t *manifest; /* last one that was published */
	uint64_t generation;
	uint64_t published_ns;
	carob_zone_t zones[ZONES_MAX];
	size_t zone_count;
	bool zone_cut[ZONES_MAX][ZONES_MAX];
	bool platform_cut[ZONES_MAX];
	network_faults_t faults;
	/** Time after which the fabric stops sending to a dead instance. */
	uint64_t fabric_lag_ns;
	instance_t *instances[INSTANCES_MAX];
	size_t instance_count;
	host_t *hosts[HOSTS_MAX];
	size_t host_count;
	caller_t *callers;
	uint64_t next_caller;
	uint64_t next_rid;
	carob_ledger_t *ledger;
	service_stats_t stats[SERVICES_MAX];
	uint64_t window_start_ns; /* start of the measurement window */
	uint64_t reverts; /* times an instance applied an older generation */
	/** Longest time from a publication until an instance applied it. */
	uint64_t slowest_apply_ns;
	bool closing; /* callers begin no new requests */
	bool trace;
};

/* simulation.c */

/** Creates a simulation; aborts if memory is exhausted. @return it */
simulation_t *simulation_new(uint64_t seed, policy_t policy);

/** Ends all traffic with `callers_free` and releases the simulation. */
void simulation_free(simulation_t *sim);

/** @return the simulated time in nanoseconds */
uint64_t simulation_now(const simulation_t *sim);

/** Advances the clock by `ns` nanoseconds and runs all timers that are due. */
void simulation_run(simulation_t *sim, uint64_t ns);

/** Publishes a manifest as the next generation; takes its own reference. */
void simulation_publish(simulation_t *sim, carob_manifest_t *manifest);

/** @return index of the zone, or NO_ZONE */
int simulation_zone_index(const simulation_t *sim, const carob_zone_t *zone);

/** @return index of the service in `stats` */
size_t simulation_service_index(const simulation_t *sim, uint32_t service_id);

/** Starts a new measurement window and resets the statistics. */
void simulation_begin_window(simulation_t *sim);

/** @return time-averaged slot use of the busiest upstream over the mean */
double simulation_imbalance(const simulation_t *sim, uint32_t service_id);

/** Prints a line of the trace to standard error, if tracing is on. */
void simulation_trace(const simulation_t *sim, const char *fmt, ...)
	CAROB_PRINTF(2, 3);

/* network.c */

/** @return a new packet, zero-filled; aborts if memory is exhausted */
packet_t *packet_new(simulation_t *sim, packet_kind_t kind);

/** Releases a packet. */
void packet_free(packet_t *p);

/** Sends a packet between two zones and owns it; callers are in NO_ZONE. */
void network_send(packet_t *p, int from_zone, int to_zone);

/* instance.c */

/** One run of an entry instance. */
struct instance {
	carob_entry_port_t port;
	simulation_t *sim;
	size_t index;
	int zone;
	carob_instance_id_t id;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *scheduler;
	carob_entry_t *entry;
	baseline_t *baseline;
	carob_timer_t heartbeat_timer;
	/**
	 * Time of the last heartbeat of each instance, or when it or this
	 * instance started; advanced by the time of pauses.
	 */
	uint64_t last_heartbeat_ns[INSTANCES_MAX];
	uint64_t generation;
	carob_manifest_t *manifest;
	bool running;
	bool paused;
	bool leaving;
	bool handed_over;
	uint64_t ready_ns;   /* time from which the fabric sends it packets */
	uint64_t stop_ns;    /* time at which it stops relaying; 0: none */
	uint64_t stopped_ns; /* time at which it was stopped or paused */
	size_t successor;
	packet_t *queue; /* packets received during a pause */
	packet_t **queue_tail;
	size_t queue_len;
	uint64_t silent_path_host;  /* 1 + index of a host, or 0 */
	uint32_t silent_path_below; /* paths below this number are silent */
	uint32_t newest_path;
};

/** Starts a first or further run of the instance `id`. @return its index */
size_t instance_start(simulation_t *sim, uint32_t id, const char *zone);

/** Stops an instance at once, without notice to the others. */
void instance_kill(instance_t *in);

/** Pauses an instance until `instance_resume`; its packets are queued. */
void instance_pause(instance_t *in);

/** Resumes an instance; its queued packets come before its due timers. */
void instance_resume(instance_t *in);

/** Begins a graceful stop. */
void instance_leave(instance_t *in);

/** Delivers a packet to an instance, which owns it then. */
void instance_deliver(instance_t *in, packet_t *p);

/** Releases an instance. */
void instance_free(instance_t *in);

/** @return whether the fabric sends packets of callers to the instance */
bool instance_receives_packets(const instance_t *in);

/* host.c */

typedef struct exchange exchange_t;
typedef struct session session_t;

/** One upstream host. */
struct host {
	simulation_t *sim;
	size_t index;
	carob_upstream_id_t id;
	uint32_t service_id;
	carob_record_name_t service;
	carob_record_name_t name;
	int zone;
	carob_addr_t addr;
	uint32_t slots;
	uint32_t connections;
	uint32_t in_use;
	uint32_t feeds;
	double service_ms;
	uint64_t cold_until_ns;
	double cold_factor;
	bool dead;
	/** It processes requests, but all packets that it sends are lost. */
	bool mute;
	bool shedding;
	bool frozen_report;
	bool reports_unhealthy;
	uint16_t next_mid; /* message id of the next notification */
	carob_load_report_t last_report;
	carob_timer_t report_timer;
	exchange_t *exchanges;
	session_t *sessions;
	double use_integral;	 /* slot seconds since the window began */
	uint64_t use_updated_ns; /* when `use_integral` was brought up to date */
	uint64_t last_session_ns; /* when a session last began here */
};

/** Adds the host of an upstream, or updates the one with its address. */
void host_add(simulation_t *sim, const carob_manifest_service_t *service,
	      const carob_manifest_upstream_t *upstream);

/** Processes a packet of an instance and releases it. */
void host_deliver(host_t *h, packet_t *p);

/** Makes a host lose its state and ignore packets while `dead` is set. */
void host_crash(host_t *h);

/** Releases a host and records its unfinished runs in the ledger. */
void host_free(host_t *h);

/** @return the host with that address, or NULL */
host_t *host_find_by_addr(const simulation_t *sim, const carob_addr_t *addr);

/** @return the host with that name, or NULL */
host_t *host_find_by_name(const simulation_t *sim, const char *name);

/** Brings `use_integral` up to now. */
void host_update_use(host_t *h);

/** Counts the slot time of a request as abandoned from now on. */
void host_mark_cancelled(simulation_t *sim, uint64_t rid);

/* caller.c */

/** One kind of traffic; each of its flows has a caller of its own. */
typedef struct traffic {
	uint32_t service_id;
	double flows_per_s;
	uint32_t requests;   /* consecutive requests of one flow */
	double think_ms;     /* mean pause between two requests */
	double post_share;   /* share of POST requests, not idempotent */
	double cancel_share; /* share of requests that are cancelled */
	double cancel_ms;    /* mean time until a request is cancelled */
	uint32_t deadline_ms;
	bool retry;    /* refused requests are retried after Max-Age */
	double feed_s; /* if not 0, flows are feeds that last this long */
	/**
	 * If not 0, the service that a flow uses after its first response, with
	 * the token that it got for the first service.
	 */
	uint32_t then_service_id;
	bool tokens_reused; /* a flow uses one CoAP token for all requests */
	uint64_t until_ns;  /* time from which no new flows begin */
} traffic_t;

/** Starts flows at the rate of `traffic`, which is copied. */
void traffic_start(simulation_t *sim, const traffic_t *traffic);

/** Delivers a packet to the caller with its address and releases it. */
void caller_deliver(simulation_t *sim, packet_t *p);

/** Records open requests in the ledger and releases all callers. */
void callers_free(simulation_t *sim);

/* baseline.c */

/** Creates the load balancer of an instance with a baseline policy. */
baseline_t *baseline_new(instance_t *in);

/** Releases a baseline balancer. */
void baseline_free(baseline_t *b);

/** Forwards a request of a caller to an upstream. */
void baseline_on_caller(baseline_t *b, const packet_t *p,
			const carob_msg_t *msg);

/** Forwards a response of an upstream to its caller. */
void baseline_on_host(baseline_t *b, const packet_t *p, const carob_msg_t *msg);

/* script.c */

/**
 * Runs a scenario.
 *
 * @param mutation name of the mutation to run with, or NULL
 * @param expected expectation that must fail under the mutation
 * @return exit status: 0 if all expectations hold or the mutation was caught
 */
int script_run(const char *path, uint64_t seed, const char *mutation,
	       const char *expected, bool trace);

/**
 * Runs a measurement with each seed from `first` to `last` and writes the rows
 * that it recorded to `output` as JSON.
 *
 * @return exit status
 */
int script_measure(const char *path, uint64_t first, uint64_t last,
		   const char *output);

#endif
