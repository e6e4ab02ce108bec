/**
 * @file entry_world.h
 * Test fixture with several instances of the request path, a caller and
 * upstreams in one process. The network is a list of packets that the test
 * delivers, drops or duplicates; time passes only when the test advances it.
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

/** How an upstream responds to a new request. */
typedef enum world_mode {
	WORLD_ANSWER, /* at once, with the payload of the request */
	WORLD_HOLD,   /* acknowledges it; the test sends the response later */
	WORLD_SILENT, /* not at all, not even to a ping */
	WORLD_SHED,   /* with 5.03 */
} world_mode_t;

/** A packet that was sent and not delivered yet. */
typedef struct world_packet {
	enum {
		WORLD_TO_INSTANCE, /* sent by a caller */
		WORLD_TO_CALLER,
		WORLD_TO_UPSTREAM,
		WORLD_FROM_UPSTREAM,
		WORLD_RELAY,
	} kind;
	size_t instance; /* index of the sender or receiver */
	uint32_t service_id;
	carob_addr_t caller;
	carob_upstream_id_t upstream;
	uint32_t path;
	carob_relay_t relay; /* its `msg` is not valid */
	size_t to;	     /* index of the receiver of a relay */
	carob_packed_msg_t *msg;
} world_packet_t;

/** A request as an upstream received it. */
typedef struct world_request {
	carob_upstream_id_t upstream;
	uint32_t service_id;
	size_t instance;
	uint32_t path;
	carob_packed_msg_t *msg;
	carob_packed_msg_t *answer; /* response to duplicates */
	bool ran;
	bool done;
	bool cancelled;
} world_request_t;

/** An instance with its own view of membership. */
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

/** The fixture. */
typedef struct world {
	carob_manual_clock_t clock;
	carob_keyring_t *keyring;
	carob_manifest_t *manifest;
	size_t instance_count;
	world_instance_t instances[WORLD_INSTANCES_MAX];
	world_mode_t mode[WORLD_UPSTREAMS_MAX]; /* index: id modulo 100 */
	uint32_t cut_path; /* number of the path that loses all packets */
	world_packet_t *packets;
	size_t packet_count;
	size_t packet_cap;
	world_request_t *requests;
	size_t request_count;
	size_t request_cap;
	carob_packed_msg_t **answers; /* messages received by the caller */
	size_t answer_count;
	size_t answer_cap;
	size_t closed_paths;
	uint32_t observe;
} world_t;

/** Creates a fixture of `instances` instances that all know each other. */
world_t *world_new(size_t instances, carob_entry_mutation_t fault);

/** Creates a fixture with a manifest, of which it takes a reference. */
world_t *world_new_with(carob_manifest_t *manifest, size_t instances,
			carob_entry_mutation_t fault);

/** @return the manifest of `world_new`; release it with carob_manifest_free */
carob_manifest_t *world_manifest(void);

/**
 * Gives an instance a manifest in which upstream 101 belongs to
 * WORLD_OTHER_SERVICE, with the same address.
 */
void world_reuse_upstream(world_t *w, size_t instance);

/** Releases a fixture. */
void world_free(world_t *w);

/** Sends a message from the caller to an instance. */
void world_send(world_t *w, size_t instance, const carob_msg_t *msg);

/** Delivers the packet at that index. */
void world_deliver(world_t *w, size_t index);

/** Drops the packet at that index. */
void world_drop(world_t *w, size_t index);

/** Duplicates the packet at that index. */
void world_double(world_t *w, size_t index);

/** Delivers packets in order until none is left that can be delivered. */
void world_run(world_t *w);

/**
 * Sends a message from the caller to an instance and delivers all packets.
 *
 * @return the last message that the caller received meanwhile; all zero if
 *         there was none
 */
carob_msg_t world_ask(world_t *w, size_t instance, const carob_msg_t *msg);

/** Advances time in steps of 10 ms; fires timers and delivers all packets. */
void world_pass(world_t *w, uint64_t ms);

/** Advances time without delivering packets or firing timers. */
void world_skip(world_t *w, uint64_t ms);

/** Kills an instance; if `known`, the others learn that it is dead. */
void world_kill(world_t *w, size_t instance, bool known);

/** Sets the state and successor of a member in the view of all instances. */
void world_tell(world_t *w, size_t instance, carob_member_state_t state,
		size_t successor);

/** Sends an upstream's response to the request at that index. */
void world_answer(world_t *w, size_t request, uint8_t code);

/** Sends a notification for the registration at that request index. */
void world_notify(world_t *w, size_t request, const char *payload);

/** @return how many requests with that payload have run at any upstream */
size_t world_runs(const world_t *w, const char *payload);

/** @return the last message that the caller received; all zero if none */
carob_msg_t world_last(const world_t *w);

/** @return a request of the caller with that method, message ID and payload */
carob_msg_t world_request(uint8_t code, uint16_t mid, const char *payload);

/** Copies the Echo option of a response into a request. */
void world_use_echo(carob_msg_t *request, const carob_msg_t *answer);

/** @return the response of `instance` to a request without a token */
carob_msg_t world_challenge(world_t *w, size_t instance);

/** @return the index of the instance that owns the token of a message */
size_t world_owner(const world_t *w, const carob_msg_t *msg);

/** Sets the Echo of a request to a token of a flow owned by `instance`. */
void world_seal(world_t *w, carob_msg_t *request, size_t instance,
		uint32_t service_id, uint64_t flow, uint8_t flags,
		uint32_t upstream);

/** @return the counters of an instance */
carob_entry_counters_t world_counters(const world_t *w, size_t instance);

#endif
