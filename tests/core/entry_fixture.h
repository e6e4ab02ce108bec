/**
 * @file entry_fixture.h
 * Test fixture with several instances of the request path, a caller and
 * upstreams in one process. The network is a list of packets that the test
 * delivers, drops or duplicates; time passes only when the test advances it.
 */
#ifndef CAROBTRAIL_TESTS_ENTRY_FIXTURE_H
#define CAROBTRAIL_TESTS_ENTRY_FIXTURE_H

#include "carobtrail/entry.h"
#include "carobtrail/token.h"
#include "core/messages/msg_pack.h"

#define FIXTURE_INSTANCES_MAX 4
#define FIXTURE_UPSTREAMS_MAX 8
#define FIXTURE_SERVICE	      1
#define FIXTURE_OTHER_SERVICE 2
#define FIXTURE_RECORD_BYTES  (64 * 1024)

/** How an upstream responds to a new request. */
typedef enum fixture_mode {
	FIXTURE_RESPOND, /* responds at once, with the payload of the request */
	FIXTURE_HOLD,	/* acknowledges it; the test sends the response later */
	FIXTURE_SILENT, /* does not respond, not even to a ping */
	FIXTURE_SHED,	/* responds with 5.03 */
} fixture_mode_t;

/** A packet that was sent and not delivered yet. */
typedef struct fixture_packet {
	enum {
		FIXTURE_TO_INSTANCE, /* sent by a caller */
		FIXTURE_TO_CALLER,
		FIXTURE_TO_UPSTREAM,
		FIXTURE_FROM_UPSTREAM,
		FIXTURE_RELAY,
	} kind;
	size_t instance; /* index of the sender or receiver */
	uint32_t service_id;
	carob_addr_t caller;
	carob_upstream_id_t upstream;
	uint32_t path;
	carob_relay_t relay; /* relayed packet; its `msg` is not valid */
	size_t to;	     /* index of the receiver of a relay */
	carob_packed_msg_t *msg;
} fixture_packet_t;

/** A request as an upstream received it. */
typedef struct fixture_request {
	carob_upstream_id_t upstream;
	uint32_t service_id;
	size_t instance;
	uint32_t path;
	carob_packed_msg_t *msg;
	carob_packed_msg_t *response; /* response to duplicates */
	bool ran;
	bool done;
	bool cancelled;
} fixture_request_t;

/** An instance with its own view of membership. */
typedef struct fixture_instance {
	carob_instance_id_t id;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *scheduler;
	carob_entry_t *entry;
	struct fixture_port {
		carob_entry_port_t port;
		struct fixture *fixture;
		size_t index;
	} port;
	bool dead;
	bool paused;
} fixture_instance_t;

/** The instances, the caller, the upstreams and the network of a test. */
typedef struct fixture {
	carob_manual_clock_t clock;
	carob_keyring_t *keyring;
	carob_manifest_t *manifest;
	size_t instance_count;
	fixture_instance_t instances[FIXTURE_INSTANCES_MAX];
	fixture_mode_t mode[FIXTURE_UPSTREAMS_MAX]; /* index: id modulo 100 */
	uint32_t cut_path; /* number of the path that loses all packets */
	fixture_packet_t *packets;
	size_t packet_count;
	size_t packet_cap;
	fixture_request_t *requests;
	size_t request_count;
	size_t request_cap;
	carob_packed_msg_t **received; /* messages received by the caller */
	size_t received_count;
	size_t received_cap;
	size_t closed_paths;
	uint32_t observe;
} fixture_t;

/** Creates a fixture of `instances` instances that all know each other. */
fixture_t *fixture_new(size_t instances, carob_entry_mutation_t mutation);

/** Creates a fixture with a manifest, of which it takes a reference. */
fixture_t *fixture_new_with(carob_manifest_t *manifest, size_t instances,
			    carob_entry_mutation_t mutation);

/** @return the manifest of `fixture_new`; release it with carob_manifest_free */
carob_manifest_t *fixture_manifest(void);

/**
 * Gives an instance a manifest in which upstream 101 belongs to
 * FIXTURE_OTHER_SERVICE, with the same address.
 */
void fixture_move_upstream(fixture_t *f, size_t instance);

/** Releases a fixture. */
void fixture_free(fixture_t *f);

/** Sends a message from the caller to an instance. */
void fixture_send(fixture_t *f, size_t instance, const carob_msg_t *msg);

/** Delivers the packet at that index. */
void fixture_deliver(fixture_t *f, size_t index);

/** Drops the packet at that index. */
void fixture_drop(fixture_t *f, size_t index);

/** Duplicates the packet at that index. */
void fixture_duplicate(fixture_t *f, size_t index);

/** Delivers packets in order until none is left that can be delivered. */
void fixture_deliver_all(fixture_t *f);

/**
 * Sends a message from the caller to an instance and delivers all packets.
 *
 * @return the last message that the caller received meanwhile; all zero if
 *         there was none
 */
carob_msg_t fixture_exchange(fixture_t *f, size_t instance,
			     const carob_msg_t *msg);

/** Advances time in steps of 10 ms; fires timers and delivers all packets. */
void fixture_run_for(fixture_t *f, uint64_t ms);

/** Advances time without delivering packets or firing timers. */
void fixture_advance_clock(fixture_t *f, uint64_t ms);

/** Kills an instance; if `known`, the others learn that it is dead. */
void fixture_kill(fixture_t *f, size_t instance, bool known);

/** Sets the state and successor of a member in the view of all instances. */
void fixture_set_member_state(fixture_t *f, size_t instance,
			      carob_member_state_t state, size_t successor);

/** Sends an upstream's response to the request at that index. */
void fixture_respond(fixture_t *f, size_t request, uint8_t code);

/** Sends a notification for the registration at that request index. */
void fixture_notify(fixture_t *f, size_t request, const char *payload);

/** @return how many requests with that payload have run at any upstream */
size_t fixture_count_runs(const fixture_t *f, const char *payload);

/** @return the last message that the caller received; all zero if none */
carob_msg_t fixture_last_response(const fixture_t *f);

/** @return a request of the caller with that method, message ID and payload */
carob_msg_t fixture_new_request(uint8_t code, uint16_t mid,
				const char *payload);

/** Copies the Echo option of a response into a request. */
void fixture_copy_echo(carob_msg_t *request, const carob_msg_t *response);

/** @return the response of `instance` to a request without a token */
carob_msg_t fixture_request_challenge(fixture_t *f, size_t instance);

/** @return the index of the instance that owns the token of a message */
size_t fixture_token_owner(const fixture_t *f, const carob_msg_t *msg);

/** Sets the Echo of a request to a token of a flow owned by `instance`. */
void fixture_set_token(fixture_t *f, carob_msg_t *request, size_t instance,
		       uint32_t service_id, uint64_t flow, uint8_t flags,
		       uint32_t upstream);

/** @return the counters of an instance */
carob_entry_counters_t fixture_counters(const fixture_t *f, size_t instance);

#endif
