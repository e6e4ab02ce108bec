/**
 * @file gossip_internal.h
 * The state of the gossip, shared by its parts: exchange of heartbeats and
 * news (gossip.c), checks of silent members (gossip_check.c), joining and
 * repair of tables (gossip_sync.c).
 */
#ifndef CAROB_CORE_GOSSIP_INTERNAL_H
#define CAROB_CORE_GOSSIP_INTERNAL_H

#include "carobtrail/gossip.h"
#include "carobtrail/rng.h"
#include "core/membership/gossip_links.h"
#include "core/membership/gossip_news.h"
#include "core/membership/gossip_zones.h"

#define CAROB_GOSSIP_HINTS_MAX 16
/** Checks that this instance makes for others at a time. */
#define CAROB_GOSSIP_FAVOURS_MAX 64

/** Time between heartbeats of one link. */
#define CAROB_HEARTBEAT_NS (1000 * CAROB_NS_PER_MS)
/** Time until an unanswered heartbeat is repeated. */
#define CAROB_RETRY_NS (250 * CAROB_NS_PER_MS)

/** A check made at the request of another member. */
typedef struct carob_favour {
	carob_control_peer_t requester;
	carob_instance_id_t target;
	uint32_t seq; /* of the request */
	unsigned int sent;
	uint64_t due_ns;
} carob_favour_t;

/** The exchange of whole tables, at a start or for repair. */
typedef struct carob_table_sync {
	bool has_table; /* received from a peer, or nobody is there */
	bool joined;	/* the table agrees with a neighbour's */
	uint64_t table_ns;
	bool with_digests; /* of the pull in progress */
	uint64_t started_ns;
	uint64_t next_join_ns;
	uint64_t next_contact_ns;
	uint64_t next_pull_ns;
	uint64_t next_forget_ns;
	uint32_t contact_seq; /* heartbeat sent to a hint; 0: none */
} carob_table_sync_t;

struct carob_gossip {
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_control_port_t *port;
	carob_gossip_listener_t *listener;
	carob_gossip_fault_t fault;
	carob_rng_t rng;
	carob_addr_t *seeds;
	size_t seed_count;
	carob_addr_t hints[CAROB_GOSSIP_HINTS_MAX];
	size_t hint_count;
	size_t next_hint;
	uint32_t key_serial;
	uint32_t seq;
	carob_timer_t tick;
	carob_timer_t flush;
	uint64_t last_tick_ns;
	carob_links_t links;
	uint64_t links_version; /* of the membership */
	uint64_t links_chosen_ns;
	size_t neighbours; /* alive in this zone, this instance included */
	carob_news_t news;
	carob_zone_contacts_t zones;
	carob_favour_t favours[CAROB_GOSSIP_FAVOURS_MAX];
	size_t favour_count;
	carob_table_sync_t sync;
	carob_gossip_counters_t counters;
};

/** @return monotonic time in nanoseconds */
uint64_t carob_gossip_now(const carob_gossip_t *g);

/** @return this instance as the table has it */
const carob_member_t *carob_gossip_self(const carob_gossip_t *g);

/** @return the peer of that id; its address is empty when not known */
carob_control_peer_t carob_gossip_peer(const carob_gossip_t *g,
				       carob_instance_id_t id);

/** Sends a message with this instance as the sender. */
void carob_gossip_send(carob_gossip_t *g, const carob_control_peer_t *to,
		       carob_control_msg_t *msg);

/**
 * Sends a heartbeat or an acknowledgement with news on its back.
 *
 * @param first a member to tell before any news, or NULL
 */
void carob_gossip_send_heartbeat(carob_gossip_t *g,
				 const carob_control_peer_t *to,
				 carob_control_type_t type, uint32_t seq,
				 const carob_member_t *first);

/** How what is learnt is passed on. */
typedef enum carob_news_spread {
	CAROB_NEWS_KEEP,   /* it is not */
	CAROB_NEWS_SPREAD, /* to everybody */
} carob_news_spread_t;

/** Takes in what `source` says of a member. @return whether it was new */
bool carob_gossip_learn(carob_gossip_t *g, const carob_member_t *member,
			carob_instance_id_t source, carob_news_spread_t spread);

/** Notices that the process stood still, and forgets silences meanwhile. */
void carob_gossip_notice_pause(carob_gossip_t *g);

/** Declares a member dead and spreads it. */
void carob_gossip_declare_dead(carob_gossip_t *g, carob_instance_id_t id);

/** Notes whether a member can be reached from here. */
void carob_gossip_set_reachable(carob_gossip_t *g, carob_instance_id_t id,
				bool reachable);

/** Begins, or goes on with, the check of a silent neighbour. */
void carob_gossip_check_link(carob_gossip_t *g, carob_link_t *link);

/** Something was heard from a member: whoever asked for it is told. */
void carob_gossip_check_heard(carob_gossip_t *g, carob_instance_id_t id);

/** Goes on with the checks made for others. */
void carob_gossip_check_tick(carob_gossip_t *g);

/** A peer asks for a check. */
void carob_gossip_on_check_request(carob_gossip_t *g,
				   const carob_control_msg_t *msg);

/** A peer says what its check found. */
void carob_gossip_on_check_reply(carob_gossip_t *g,
				 const carob_control_msg_t *msg);

/** Joins, contacts hints and dead members, forgets gone ones. */
void carob_gossip_sync_tick(carob_gossip_t *g);

/** A heartbeat or acknowledgement named its sender's digest. */
void carob_gossip_sync_compare(carob_gossip_t *g,
			       const carob_control_msg_t *msg);

/** A peer asks for the members that differ. */
void carob_gossip_on_pull(carob_gossip_t *g, const carob_control_msg_t *msg);

/** A peer sends a part of its table. */
void carob_gossip_on_table(carob_gossip_t *g, const carob_control_msg_t *msg);

#endif
