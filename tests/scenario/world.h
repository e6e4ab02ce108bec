/**
 * @file world.h
 * The world of a scenario: entry instances with the real decisions, and small
 * fakes of network, upstreams and callers, on one paused clock and one seed.
 */
#ifndef CAROBTRAIL_SCENARIO_WORLD_H
#define CAROBTRAIL_SCENARIO_WORLD_H

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

typedef struct world world_t;
typedef struct instance instance_t;
typedef struct host host_t;
typedef struct caller caller_t;
typedef struct baseline baseline_t;

/** How packets of callers are balanced. */
typedef enum policy {
	POLICY_CAROBTRAIL,
	POLICY_TWO_CHOICES,	   /* at the arrival instance */
	POLICY_CONSISTENT_HASHING, /* of the caller's address */
	POLICY_ROUND_ROBIN,	   /* with a flow table at each instance */
} policy_t;

/** Faults of the network, as probabilities. */
typedef struct network_faults {
	double loss;
	double duplicate;
	double reorder;
} network_faults_t;

/** What a packet carries. */
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
	PACKET_MEMORY,
	PACKET_MEMORY_ACK,
} packet_kind_t;

/** A packet under way. */
typedef struct packet {
	carob_timer_t timer;
	world_t *world;
	packet_kind_t kind;
	size_t instance; /* index of its receiver */
	uint32_t receiver_incarnation;
	size_t from; /* index of the sending instance */
	size_t host;
	uint32_t service_id;
	uint32_t path;
	uint64_t caller;
	carob_addr_t addr;
	carob_packed_msg_t *msg;
	carob_relay_t relay; /* without its message */
	carob_member_t member;
	uint64_t generation;
	carob_load_summary_t summary;
	carob_load_report_t report;
	carob_manifest_t *manifest;
	carob_buf_t records;
	struct packet *next; /* waiting for a frozen instance */
	struct packet *under_way_prev;
	struct packet *under_way_next;
} packet_t;

/** What a caller sends; the upstream answers with `answer_body_t`. */
typedef struct call_body {
	uint64_t rid;
	uint64_t session;
	uint64_t deadline_ns; /* 0: none */
	uint32_t seq;	      /* of the request in its session, from 0 */
} call_body_t;

/** What an upstream answers. */
typedef struct answer_body {
	uint64_t rid;
	carob_record_name_t service;
	uint32_t notification;
	bool unknown_session; /* the session began on another upstream */
} answer_body_t;

/** Counts of one service beside the ledger. */
typedef struct service_stats {
	uint64_t broken_sessions;
	uint64_t expired_runs; /* began past their deadline */
	uint64_t shed;	       /* by upstreams */
	double useful_s;       /* slot time of runs whose answer was wanted */
	double busy_s;
	double abandoned_s; /* slot time after the caller cancelled */
} service_stats_t;

/** The world. */
struct world {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	uint64_t seed;
	policy_t policy;
	carob_entry_mutation_t entry_fault;
	carob_scheduler_mutation_t scheduler_fault;
	bool revert_fault; /* instances apply any generation they hear of */
	struct packet *packets; /* under way */
	carob_keyring_t *keyring;
	carob_manifest_t *manifest; /* newest that was published */
	uint64_t generation;
	uint64_t published_ns;
	carob_zone_t zones[ZONES_MAX];
	size_t zone_count;
	bool zone_cut[ZONES_MAX][ZONES_MAX];
	bool platform_cut[ZONES_MAX];
	network_faults_t faults;
	uint64_t fabric_lag_ns; /* until a dead instance gets no packets */
	instance_t *instances[INSTANCES_MAX];
	size_t instance_count;
	host_t *hosts[HOSTS_MAX];
	size_t host_count;
	caller_t *callers;
	uint64_t next_caller;
	uint64_t next_rid;
	carob_ledger_t *ledger;
	service_stats_t stats[SERVICES_MAX];
	uint64_t window_ns; /* when measuring began */
	uint64_t reverts;
	uint64_t slowest_apply_ns;
	bool closing; /* no new requests any more */
	bool trace;
};

/* world.c */

/** Creates a world. @return it, or NULL */
world_t *world_new(uint64_t seed, policy_t policy);

/** Releases the world. */
void world_free(world_t *w);

/** @return the time in nanoseconds */
uint64_t world_now(const world_t *w);

/** Runs for that long. */
void world_run(world_t *w, uint64_t ns);

/** Publishes a manifest as the next generation. */
void world_publish(world_t *w, carob_manifest_t *manifest);

/** @return index of the zone, or NO_ZONE */
int world_zone(const world_t *w, const carob_zone_t *zone);

/** @return index of the service in the statistics */
size_t world_service_index(const world_t *w, uint32_t service_id);

/** Begins to measure anew. */
void world_begin_window(world_t *w);

/** @return busiest upstream's time-averaged use over the mean of all */
double world_imbalance(const world_t *w, uint32_t service_id);

/** Prints a line of the trace, if it is on. */
void world_trace(const world_t *w, const char *fmt, ...) CAROB_PRINTF(2, 3);

/* network.c */

/** @return a new packet, zero-filled */
packet_t *packet_new(world_t *w, packet_kind_t kind);

/** Releases a packet. */
void packet_free(packet_t *p);

/** Sends a packet between two zones; callers are in NO_ZONE. */
void network_send(packet_t *p, int from_zone, int to_zone);

/* instance.c */

/** One entry instance. */
struct instance {
	carob_entry_port_t port;
	world_t *world;
	size_t index;
	int zone;
	carob_instance_id_t id;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *scheduler;
	carob_entry_t *entry;
	baseline_t *baseline;
	carob_timer_t beat;
	uint64_t heard_ns[INSTANCES_MAX];
	uint64_t generation;
	carob_manifest_t *manifest;
	bool running;
	bool frozen;
	bool leaving;
	bool handed_over;
	uint64_t ready_ns;   /* when the fabric hands it packets */
	uint64_t stop_ns;    /* after it left: when it stops relaying */
	uint64_t stopped_ns; /* when it died */
	size_t successor;
	packet_t *waiting;
	packet_t **waiting_tail;
	size_t waiting_count;
	uint64_t silent_path_host; /* 1 + index of a host, or 0 */
	uint32_t silent_path_below;
	uint32_t newest_path;
};

/** Starts an instance, or a new run of the instance `id`. @return its index */
size_t instance_start(world_t *w, uint32_t id, const char *zone);

/** Kills an instance. */
void instance_kill(instance_t *in);

/** Stops its execution until `instance_wake`. */
void instance_freeze(instance_t *in);

/** Goes on with what arrived meanwhile, then with timers. */
void instance_wake(instance_t *in);

/** Begins a graceful stop. */
void instance_leave(instance_t *in);

/** Hands a packet to an instance. */
void instance_deliver(instance_t *in, packet_t *p);

/** Releases an instance. */
void instance_free(instance_t *in);

/** @return whether the fabric hands it packets */
bool instance_in_fabric(const instance_t *in);

/* host.c */

typedef struct exchange exchange_t;
typedef struct session session_t;

/** One upstream host. */
struct host {
	world_t *world;
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
	bool mute; /* it runs what it gets, but nothing that it sends arrives */
	bool shedding;
	bool frozen_report;
	bool says_unhealthy;
	uint16_t next_mid; /* of notifications */
	carob_load_report_t last_report;
	carob_timer_t report_timer;
	exchange_t *exchanges;
	session_t *sessions;
	double use_integral; /* slot seconds since the window began */
	uint64_t use_ns;
	uint64_t last_new_ns; /* last start of work that began a session */
};

/** Adds the host of an upstream, unless its address has one. */
void host_add(world_t *w, const carob_manifest_service_t *service,
	      const carob_manifest_upstream_t *upstream);

/** A packet of an instance arrives. */
void host_deliver(host_t *h, packet_t *p);

/** Loses all it was doing; answers nothing until revived. */
void host_die(host_t *h);

/** Releases a host, and writes down what it was still running. */
void host_free(host_t *h);

/** @return the host with that address, or NULL */
host_t *host_find(const world_t *w, const carob_addr_t *addr);

/** @return the host with that name, or NULL */
host_t *host_named(const world_t *w, const char *name);

/** Brings `use_integral` up to now. */
void host_account(host_t *h);

/** The caller of a run cancelled: from now on its slot time is wasted. */
void host_note_cancel(world_t *w, uint64_t rid);

/* caller.c */

/** Traffic of one kind; each flow is one caller. */
typedef struct traffic {
	uint32_t service_id;
	double flows_per_s;
	uint32_t requests;   /* of one flow, one after another */
	double think_ms;     /* mean pause between two */
	double post_share;   /* non-idempotent */
	double cancel_share; /* of all requests */
	double cancel_ms;    /* mean time until cancelled */
	uint32_t deadline_ms;
	bool retry;    /* refused requests come again after Max-Age */
	double feed_s; /* not 0: a feed held for that long */
	uint32_t then_service_id; /* 0, or where a flow goes wrongly next */
	bool tokens_reused;	  /* each flow uses one CoAP token for all */
	uint64_t until_ns;
} traffic_t;

/** Starts traffic now. */
void traffic_start(world_t *w, const traffic_t *traffic);

/** A packet arrives at a caller. */
void caller_deliver(world_t *w, packet_t *p);

/** Writes down requests that are still open, and releases all callers. */
void callers_free(world_t *w);

/* baseline.c */

/** Creates a balancer of one of the baseline policies. */
baseline_t *baseline_new(instance_t *in);

/** Releases it. */
void baseline_free(baseline_t *b);

/** A packet of a caller arrives. */
void baseline_on_caller(baseline_t *b, const packet_t *p,
			const carob_msg_t *msg);

/** A packet of an upstream arrives. */
void baseline_on_host(baseline_t *b, const packet_t *p, const carob_msg_t *msg);

/* script.c */

/** Runs a scenario. @return exit status */
int script_run(const char *path, uint64_t seed, const char *fault,
	       const char *expected, bool trace);

/**
 * Runs a measurement with each seed and writes its rows as JSON.
 *
 * @return exit status
 */
int script_measure(const char *path, uint64_t first, uint64_t last,
		   const char *output);

#endif
