/**
 * @file entry_world.h
 * Several request paths, their callers and their upstreams in one process:
 * the network is a list of packets that the test delivers, drops or doubles,
 * the clock is the test's.
 */
#ifndef CAROBTRAIL_TESTS_ENTRY_WORLD_H
#define CAROBTRAIL_TESTS_ENTRY_WORLD_H

#include "carobtrail/entry.h"
#include "carobtrail/token.h"
#include "core/messages/msg_pack.h"

#define WORLD_INSTANCES_MAX 4
#define WORLD_UPSTREAMS_MAX 8
#define WORLD_SERVICE	    1
#define WORLD_OTHER_SERVICE 2
#define WORLD_MEMORY_BYTES  (64 * 1024)

/** What an upstream does with a new request. */
typedef enum world_mode {
	WORLD_ANSWER, /* at once, with what it was sent */
	WORLD_HOLD,   /* acknowledge; the test answers later */
	WORLD_SILENT, /* nothing, not even to a ping */
	WORLD_SHED,   /* 5.03 */
} world_mode_t;

/** A packet under way. */
typedef struct world_packet {
	enum {
		WORLD_TO_INSTANCE, /* from a caller */
		WORLD_TO_CALLER,
		WORLD_TO_UPSTREAM,
		WORLD_FROM_UPSTREAM,
		WORLD_RELAY,
	} kind;
	size_t instance; /* that sends or receives */
	uint32_t service_id;
	carob_addr_t caller;
	carob_upstream_id_t upstream;
	uint32_t path;
	carob_relay_t relay; /* without its message */
	size_t to;	     /* instance of a relay */
	carob_packed_msg_t *msg;
} world_packet_t;

/** A request as an upstream received it. */
typedef struct world_request {
	carob_upstream_id_t upstream;
	uint32_t service_id;
	size_t instance;
	uint32_t path;
	carob_packed_msg_t *msg;
	carob_packed_msg_t *answer; /* for duplicates */
	bool ran;
	bool done;
	bool cancelled;
} world_request_t;

/** One instance. */
typedef struct world_instance {
	carob_instance_id_t id;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *scheduler;
	carob_entry_t *entry;
	struct world_port {
		carob_entry_port_t port;
		struct world *world;
		size_t index;
	} port;
	bool dead;
	bool frozen;
} world_instance_t;

/** Everything. */
typedef struct world {
	carob_manual_clock_t clock;
	carob_keyring_t *keyring;
	carob_manifest_t *manifest;
	size_t instance_count;
	world_instance_t instances[WORLD_INSTANCES_MAX];
	world_mode_t mode[WORLD_UPSTREAMS_MAX]; /* by id modulo 100 */
	uint32_t cut_path;			/* carries nothing */
	world_packet_t *packets;
	size_t packet_count;
	size_t packet_cap;
	world_request_t *requests;
	size_t request_count;
	size_t request_cap;
	carob_packed_msg_t **answers; /* that callers received */
	size_t answer_count;
	size_t answer_cap;
	size_t closed_paths;
	uint32_t observe;
} world_t;

/** Creates a world of `instances` instances that all know each other. */
world_t *world_new(size_t instances, carob_entry_fault_t fault);

/** The same with a manifest that was parsed before. */
world_t *world_new_with(carob_manifest_t *manifest, size_t instances,
			carob_entry_fault_t fault);

/** @return the manifest of `world_new`; to be released by the caller */
carob_manifest_t *world_manifest(void);

/**
 * Puts another manifest in force at an instance: upstream 101 belongs to
 * WORLD_OTHER_SERVICE, at the same address.
 */
void world_reuse_upstream(world_t *w, size_t instance);

/** Releases it. */
void world_free(world_t *w);

/** Puts a packet from a caller under way. */
void world_send(world_t *w, size_t instance, const carob_msg_t *msg);

/** Delivers one packet. */
void world_deliver(world_t *w, size_t index);

/** Loses one packet. */
void world_drop(world_t *w, size_t index);

/** Doubles one packet. */
void world_double(world_t *w, size_t index);

/** Delivers all packets, also those sent meanwhile, in order. */
void world_run(world_t *w);

/** Sends and runs. @return the last answer that a caller received */
carob_msg_t world_ask(world_t *w, size_t instance, const carob_msg_t *msg);

/** Lets time pass in steps of 10 ms, delivering all packets. */
void world_pass(world_t *w, uint64_t ms);

/** Lets time pass without delivering or firing anything. */
void world_skip(world_t *w, uint64_t ms);

/** Kills an instance; the others are told so if `known`. */
void world_kill(world_t *w, size_t instance, bool known);

/** Tells all instances of a member's state. */
void world_tell(world_t *w, size_t instance, carob_member_state_t state,
		size_t successor);

/** Answers a request that an upstream holds. */
void world_answer(world_t *w, size_t request, uint8_t code);

/** Sends a notification of the feed that a request registered. */
void world_notify(world_t *w, size_t request, const char *payload);

/** @return how often that payload was run by any upstream */
size_t world_runs(const world_t *w, const char *payload);

/** @return the last answer that a caller received; code 0 if none */
carob_msg_t world_last(const world_t *w);

/** @return a request of the caller with that method, message id and payload */
carob_msg_t world_request(uint8_t code, uint16_t mid, const char *payload);

/** Copies the Echo of an answer into a request. */
void world_use_echo(carob_msg_t *request, const carob_msg_t *answer);

/** @return a token for a new flow, as `instance` seals it */
carob_msg_t world_challenge(world_t *w, size_t instance);

/** @return the index of the instance that a message's Echo names */
size_t world_owner(const world_t *w, const carob_msg_t *msg);

/** Seals a token for a flow owned by `instance` into a request. */
void world_seal(world_t *w, carob_msg_t *request, size_t instance,
		uint32_t service_id, uint64_t flow, uint8_t flags,
		uint32_t upstream);

/** @return an instance's counters */
carob_entry_counters_t world_counters(const world_t *w, size_t instance);

#endif
