/**
 * @file gossip_internal.h
 * State and functions shared by the files of the gossip: heartbeats and
 * dissemination of updates (gossip.c), received messages (gossip_receive.c),
 * indirect probes of suspected members (gossip_check.c), joining and
 * anti-entropy (gossip_sync.c).
 *
 * Indirect probes follow SWIM. A member that suspects a neighbour sends a
 * CHECK_REQUEST to a few members; each of them sends heartbeats to the suspect
 * on behalf of the requester and reports in a CHECK_REPLY whether it responds.
 */
#ifndef CAROB_CORE_GOSSIP_INTERNAL_H
#define CAROB_CORE_GOSSIP_INTERNAL_H

#include "carobtrail/gossip.h"
#include "carobtrail/rng.h"
#include "core/membership/gossip_links.h"
#include "core/membership/gossip_news.h"
#include "core/membership/gossip_zones.h"

/** Maximum number of addresses from `carob_gossip_add_hint` that are kept. */
#define CAROB_GOSSIP_HINTS_MAX 16
/** Maximum number of probes made for other members at a time. */
#define CAROB_GOSSIP_DELEGATED_PROBES_MAX 64

/** Time between two heartbeats on one link. */
#define CAROB_HEARTBEAT_NS (1000 * CAROB_NS_PER_MS)
/** Time after which an unanswered heartbeat is retransmitted. */
#define CAROB_RETRY_NS (250 * CAROB_NS_PER_MS)

/** A probe made on behalf of another member, which requested it. */
typedef struct carob_delegated_probe {
	carob_control_peer_t requester;
	carob_instance_id_t target;
	uint32_t seq;	   /* sequence number of the request and the reply */
	unsigned int sent; /* heartbeats sent to the target so far */
	uint64_t due_ns;   /* time of the next heartbeat or of the reply */
} carob_delegated_probe_t;

/** State of joining and of anti-entropy, in which member tables are pulled. */
typedef struct carob_table_sync {
	bool has_table;	   /* a table was received, or no peer responds */
	bool joined;	   /* see carob_gossip_joined */
	uint64_t table_ns; /* time at which `has_table` was set */
	/* Pulls request only the parts whose digests differ. */
	bool with_digests;
	uint64_t started_ns;
	uint64_t next_join_ns;	  /* next pull while joining */
	uint64_t next_contact_ns; /* next heartbeat to seeds and dead members */
	uint64_t next_pull_ns;	  /* earliest time of the next repair */
	uint64_t next_removal_ns; /* next removal of departed members */
	/* Sequence number of the last heartbeat to a seed or hint; 0: none. */
	uint32_t contact_seq;
} carob_table_sync_t;

struct carob_gossip {
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_control_port_t *port;
	carob_gossip_listener_t *listener;
	carob_gossip_mutation_t mutation;
	carob_rng_t rng;
	carob_addr_t *seeds;
	size_t seed_count;
	carob_addr_t hints[CAROB_GOSSIP_HINTS_MAX];
	size_t hint_count;
	size_t next_hint;
	uint32_t key_serial; /* serial of this instance's newest sealing key */
	uint32_t seq;	     /* last sequence number used */
	carob_timer_t tick;
	carob_timer_t flush; /* sends updates that are not flushed yet */
	uint64_t last_tick_ns;
	carob_links_t links;
	/* Membership version at the last choice of links; 0 forces a new one. */
	uint64_t links_version;
	uint64_t links_chosen_ns;
	size_t zone_members; /* alive members of this zone, including this one */
	carob_update_queue_t update_queue;
	carob_zone_contacts_t zones;
	carob_delegated_probe_t
		delegated_probes[CAROB_GOSSIP_DELEGATED_PROBES_MAX];
	size_t delegated_count;
	carob_table_sync_t sync;
	carob_gossip_counters_t counters;
};

/** @return monotonic time in nanoseconds */
uint64_t carob_gossip_now(const carob_gossip_t *g);

/** @return the record of this instance in the member table */
const carob_member_t *carob_gossip_self(const carob_gossip_t *g);

/** @return the peer with this id; the address is empty if it is unknown */
carob_control_peer_t carob_gossip_peer(const carob_gossip_t *g,
				       carob_instance_id_t id);

/** Sends a message and sets this instance as its sender. */
void carob_gossip_send(carob_gossip_t *g, const carob_control_peer_t *to,
		       carob_control_msg_t *msg);

/**
 * Sends a heartbeat or an acknowledgement with queued updates piggybacked.
 *
 * @param g the gossip
 * @param to the receiver
 * @param type CAROB_CONTROL_HEARTBEAT or CAROB_CONTROL_HEARTBEAT_ACK
 * @param seq sequence number; an acknowledgement repeats the heartbeat's
 * @param first a member to put before the queued updates, or NULL
 */
void carob_gossip_send_heartbeat(carob_gossip_t *g,
				 const carob_control_peer_t *to,
				 carob_control_type_t type, uint32_t seq,
				 const carob_member_t *first);

/** Whether an update that changed the member table is disseminated. */
typedef enum carob_update_scope {
	CAROB_UPDATE_LOCAL,	  /* the table changes, nothing is sent */
	CAROB_UPDATE_DISSEMINATE, /* the update is queued for all neighbours */
} carob_update_scope_t;

/**
 * Merges the record of a member as reported by `source`; refutes it if it is
 * a wrong report about this instance.
 *
 * @return whether the table changed
 */
bool carob_gossip_learn(carob_gossip_t *g, const carob_member_t *member,
			carob_instance_id_t source, carob_update_scope_t scope);

/**
 * Detects that this process was paused since the last call. If so, resets all
 * failure detection, since no messages could be received during the pause, and
 * announces this instance with a higher revision.
 */
void carob_gossip_detect_pause(carob_gossip_t *g);

/** Declares a member dead and disseminates this. */
void carob_gossip_declare_dead(carob_gossip_t *g, carob_instance_id_t id);

/** Sets and logs whether a member can be reached from this instance. */
void carob_gossip_set_reachable(carob_gossip_t *g, carob_instance_id_t id,
				bool reachable);

/**
 * Begins a series of indirect probes of a suspected neighbour, or ends a round
 * of it whose deadline has passed: with a death, with the neighbour marked
 * unreachable, or with another round.
 */
void carob_gossip_advance_suspicion(carob_gossip_t *g, carob_link_t *link);

/**
 * Completes the probes of a member after a message from it: replies to the
 * members that requested them that it responds.
 */
void carob_gossip_complete_probes(carob_gossip_t *g, carob_instance_id_t id);

/** Sends the due heartbeats and replies of the probes for other members. */
void carob_gossip_probe_tick(carob_gossip_t *g);

/** Handles a CHECK_REQUEST: a peer requests a probe. */
void carob_gossip_on_check_request(carob_gossip_t *g,
				   const carob_control_msg_t *msg);

/** Handles a CHECK_REPLY: the result of a probe made by a peer. */
void carob_gossip_on_check_reply(carob_gossip_t *g,
				 const carob_control_msg_t *msg);

/** Runs the due steps of joining, contact attempts and removal of members. */
void carob_gossip_sync_tick(carob_gossip_t *g);

/**
 * Compares the digest in a heartbeat or acknowledgement with that of this
 * instance's table, and pulls from the sender if they differ too often.
 */
void carob_gossip_sync_compare(carob_gossip_t *g,
			       const carob_control_msg_t *msg);

/** Handles a MEMBER_PULL: sends the requested parts of the table. */
void carob_gossip_on_pull(carob_gossip_t *g, const carob_control_msg_t *msg);

/** Handles a MEMBER_TABLE: merges a part of a peer's table. */
void carob_gossip_on_table(carob_gossip_t *g, const carob_control_msg_t *msg);

#endif
