/**
 * @file gossip_links.h
 * The links of an instance: the members that it exchanges heartbeats with, and
 * the state of each exchange.
 *
 * There are three kinds. Ring links go to the next members on a ring through
 * the zone; the instance monitors these for failures. Finger links go to a few
 * other members of the zone, so that updates cross it in few hops. Cross links
 * go from a few members of each zone to members of every other zone. All are
 * chosen by hashes of ids, so that instances with equal member tables derive
 * the same graph without coordination.
 */
#ifndef CAROB_CORE_GOSSIP_LINKS_H
#define CAROB_CORE_GOSSIP_LINKS_H

#include "carobtrail/gossip.h"
#include "core/membership/gossip_zones.h"

/** Kind of a link, see the head of this file. */
typedef enum carob_link_kind {
	CAROB_LINK_RING,
	CAROB_LINK_FINGER,
	CAROB_LINK_CROSS,
} carob_link_kind_t;

/** Series of indirect probes of a suspected neighbour, in rounds. */
typedef struct carob_suspicion {
	bool active;
	uint32_t seq;	      /* sequence number of requests and replies */
	uint64_t deadline_ns; /* time at which the round ends */
	unsigned int rounds;  /* rounds begun so far */
	size_t helpers;	      /* members requested to probe in this round */
	size_t confirmations; /* replies that the neighbour does not respond */
} carob_suspicion_t;

/** A link to one peer. */
typedef struct carob_link {
	carob_control_peer_t peer;
	carob_zone_t zone;
	carob_link_kind_t kind;
	uint32_t seq;		  /* sequence number of the last heartbeat */
	uint64_t due_ns;	  /* time of the next heartbeat */
	uint64_t last_message_ns; /* time of the last message from the peer */
	unsigned int unanswered;  /* heartbeats in a row without a response */
	/* Successful indirect probes since the last message from the peer. */
	unsigned int indirect_successes;
	bool compared;		 /* table digests were compared before */
	unsigned int mismatches; /* digests in a row that differed */
	/* Sequence number of the first heartbeat with `announced_revision`. */
	uint32_t announced_seq;
	/* Revision of this instance that was last sent to the peer. */
	uint32_t announced_revision;
	/* Revision of this instance that the peer acknowledged last. */
	uint32_t acknowledged_revision;
	carob_suspicion_t suspicion;
} carob_link_t;

/** All links of one instance; zero-initialise it. */
typedef struct carob_links {
	carob_link_t links[CAROB_GOSSIP_LINKS_MAX];
	size_t count;
} carob_links_t;

/**
 * Chooses the links from the members that are alive or leaving. A link whose
 * peer is chosen again keeps its state; a new one is due at `now_ns`.
 *
 * @param links the links to replace
 * @param m the membership
 * @param zones the other zones; zones not yet in it are added
 * @param now_ns the current time
 */
void carob_links_choose(carob_links_t *links, const carob_membership_t *m,
			carob_zone_contacts_t *zones, uint64_t now_ns);

/** @return the link to a member, or NULL */
carob_link_t *carob_links_find(carob_links_t *links, carob_instance_id_t id);

#endif
