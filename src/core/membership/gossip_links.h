/**
 * @file gossip_links.h
 * Which members an instance exchanges heartbeats with, and how that goes.
 *
 * Three kinds, all chosen by hashing ids, so that everybody comes to the same
 * graph without asking: the next members of a ring through the zone, which
 * are monitored; a few random ones of the zone, which make news travel in
 * few hops; and, at a few members of each zone, links into every other zone.
 */
#ifndef CAROB_CORE_GOSSIP_LINKS_H
#define CAROB_CORE_GOSSIP_LINKS_H

#include "carobtrail/gossip.h"
#include "core/membership/gossip_zones.h"

/** Why there is a link. */
typedef enum carob_link_kind {
	CAROB_LINK_RING,
	CAROB_LINK_FINGER,
	CAROB_LINK_CROSS,
} carob_link_kind_t;

/** A check of a silent neighbour through other members. */
typedef struct carob_link_check {
	bool active;
	uint32_t seq;
	uint64_t verdict_ns;
	unsigned int rounds;
	size_t helpers;
	size_t witnesses; /* helpers that found it silent too */
} carob_link_check_t;

/** One link. */
typedef struct carob_link {
	carob_control_peer_t peer;
	carob_zone_t zone;
	carob_link_kind_t kind;
	uint32_t seq; /* of the last heartbeat */
	uint64_t due_ns;
	uint64_t heard_ns;
	unsigned int unanswered; /* heartbeats */
	unsigned int vouched;	 /* by others, since it was heard here */
	bool compared;		 /* its table with the one here */
	unsigned int mismatches; /* of tables, in a row */
	uint32_t told_seq;	 /* first heartbeat with `told_revision` */
	uint32_t told_revision;	 /* of this instance */
	uint32_t acknowledged_revision;
	carob_link_check_t check;
} carob_link_t;

/** All links of one instance; zero-initialise it. */
typedef struct carob_links {
	carob_link_t links[CAROB_GOSSIP_LINKS_MAX];
	size_t count;
} carob_links_t;

/**
 * Chooses the links anew from the members that serve; links that stay keep
 * their state, new ones are due at `now_ns`.
 */
void carob_links_choose(carob_links_t *links, const carob_membership_t *m,
			carob_zone_contacts_t *zones, uint64_t now_ns);

/** @return the link to a member, or NULL */
carob_link_t *carob_links_find(carob_links_t *links, carob_instance_id_t id);

#endif
