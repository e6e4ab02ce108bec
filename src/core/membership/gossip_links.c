#include "core/membership/gossip_links.h"

#include "carobtrail/rng.h"

#include <string.h>

/* Ring links of an instance. */
#define RING_SUCCESSORS 3
/* Finger links of an instance. */
#define FINGERS 2
/* Members of a zone that have cross links into another zone. */
#define ZONE_LINKING_MEMBERS 3
/* Cross links per zone if a member is alone in its zone; otherwise 1. */
#define ZONE_TARGETS 2
#define ZONES_MAX    (CAROB_GOSSIP_LINKS_MAX / ZONE_TARGETS)

/* A member with its score; those with the lowest scores are chosen. */
typedef struct candidate {
	uint64_t score;
	const carob_member_t *member;
} candidate_t;

/* The candidates with the lowest scores, at most `cap`, in ascending order. */
typedef struct selection {
	candidate_t best[RING_SUCCESSORS];
	size_t count;
	size_t cap;
} selection_t;

/*
 * Another zone. A hash of the member and of the other zone ranks the members
 * of this instance's zone; those that rank lowest have cross links into it.
 */
typedef struct other_zone {
	const carob_zone_t *zone;
	selection_t targets; /* its members that this instance would link to */
	uint64_t hash;
	uint32_t salt; /* see carob_zone_contact_t */
	uint64_t own_rank;
	size_t lower_ranked; /* members of the instance's zone ranked lower */
} other_zone_t;

/* State of one choice of links. */
typedef struct link_choice {
	const carob_member_t *self;
	uint64_t self_hash;
	carob_zone_contacts_t *contacts;
	uint64_t now_ns;
	selection_t ring;
	selection_t fingers;
	other_zone_t zones[ZONES_MAX];
	size_t zone_count;
} link_choice_t;

static uint64_t hash_instance(carob_instance_id_t id)
{
	return carob_hash_u64((uint64_t)id.id << 32 | id.incarnation);
}

static uint64_t hash_pair(uint64_t a, uint64_t b)
{
	return carob_hash_u64(a + 3 * b);
}

static uint64_t hash_zone(const carob_zone_t *zone)
{
	return carob_hash_bytes(0, zone->name, strlen(zone->name));
}

/* Inserts a member in order of its score, if that is among the lowest. */
static void selection_insert(selection_t *s, uint64_t score,
			     const carob_member_t *member)
{
	size_t i;

	if (s->count == s->cap && score >= s->best[s->cap - 1].score)
		return;
	if (s->count < s->cap)
		s->count++;
	for (i = s->count - 1; i > 0 && s->best[i - 1].score > score; i--)
		s->best[i] = s->best[i - 1];
	s->best[i] = (candidate_t){score, member};
}

static bool is_serving(const carob_member_t *member)
{
	return member->state == CAROB_MEMBER_ALIVE ||
	       member->state == CAROB_MEMBER_LEAVING;
}

static bool same_zone(const carob_zone_t *a, const carob_zone_t *b)
{
	return strcmp(a->name, b->name) == 0;
}

static other_zone_t *find_zone(link_choice_t *c, const carob_zone_t *zone)
{
	const carob_zone_contact_t *contact;
	other_zone_t *other;

	for (size_t i = 0; i < c->zone_count; i++)
		if (same_zone(c->zones[i].zone, zone))
			return &c->zones[i];
	if (c->zone_count == ZONES_MAX)
		return NULL;
	other = &c->zones[c->zone_count++];
	*other = (other_zone_t){.zone = zone};
	other->targets.cap = ZONE_TARGETS;
	contact = carob_zone_contacts_get(c->contacts, zone, c->now_ns);
	other->salt = contact ? contact->salt : 0;
	other->hash = hash_zone(zone);
	other->own_rank = hash_pair(c->self_hash, other->hash);
	return other;
}

static void consider_zone_peer(link_choice_t *c, const carob_member_t *member)
{
	uint64_t hash = hash_instance(member->id);

	selection_insert(&c->ring, hash - c->self_hash, member);
	selection_insert(&c->fingers, hash_pair(c->self_hash, hash), member);
}

static void consider_remote(link_choice_t *c, const carob_member_t *member)
{
	other_zone_t *zone = find_zone(c, &member->zone);
	uint64_t hash = hash_instance(member->id);

	if (zone)
		selection_insert(&zone->targets,
				 hash_pair(c->self_hash, hash + zone->salt),
				 member);
}

/* For each other zone, counts the member if it ranks before this instance. */
static void rank_zone_peer(link_choice_t *c, const carob_member_t *member)
{
	uint64_t hash = hash_instance(member->id);

	for (size_t i = 0; i < c->zone_count; i++) {
		other_zone_t *other = &c->zones[i];

		if (hash_pair(hash, other->hash) < other->own_rank)
			other->lower_ranked++;
	}
}

static bool is_zone_peer(const link_choice_t *c, const carob_member_t *member)
{
	return member != c->self && same_zone(&member->zone, &c->self->zone);
}

static void consider_all(link_choice_t *c, const carob_membership_t *m)
{
	const carob_member_t *const *all;
	size_t count;

	all = carob_membership_all(m, &count);
	for (size_t i = 0; i < count; i++) {
		if (!is_serving(all[i]) || all[i] == c->self)
			continue;
		if (is_zone_peer(c, all[i]))
			consider_zone_peer(c, all[i]);
		else
			consider_remote(c, all[i]);
	}
	for (size_t i = 0; i < count; i++)
		if (is_serving(all[i]) && is_zone_peer(c, all[i]))
			rank_zone_peer(c, all[i]);
}

carob_link_t *carob_links_find(carob_links_t *links, carob_instance_id_t id)
{
	for (size_t i = 0; i < links->count; i++)
		if (carob_instance_id_eq(links->links[i].peer.id, id))
			return &links->links[i];
	return NULL;
}

static void add_link(carob_links_t *links, carob_links_t *previous,
		     const carob_member_t *member, carob_link_kind_t kind,
		     uint64_t now_ns)
{
	carob_link_t *link;
	carob_link_t *kept;

	if (links->count == CAROB_GOSSIP_LINKS_MAX ||
	    carob_links_find(links, member->id))
		return;
	link = &links->links[links->count++];
	kept = carob_links_find(previous, member->id);
	if (kept)
		*link = *kept;
	else
		*link = (carob_link_t){.due_ns = now_ns,
				       .last_message_ns = now_ns};
	link->peer = (carob_control_peer_t){member->id, member->control_addr};
	link->zone = member->zone;
	link->kind = kind;
}

static void add_selection(carob_links_t *links, carob_links_t *previous,
			  const selection_t *selection, carob_link_kind_t kind,
			  uint64_t now_ns)
{
	for (size_t i = 0; i < selection->count; i++)
		add_link(links, previous, selection->best[i].member, kind,
			 now_ns);
}

void carob_links_choose(carob_links_t *links, const carob_membership_t *m,
			carob_zone_contacts_t *zones, uint64_t now_ns)
{
	carob_links_t previous = *links;
	link_choice_t c = {
		.self = carob_membership_self(m),
		.contacts = zones,
		.now_ns = now_ns,
		.ring = {.cap = RING_SUCCESSORS},
		.fingers = {.cap = FINGERS},
	};

	c.self_hash = hash_instance(c.self->id);
	consider_all(&c, m);
	links->count = 0;
	add_selection(links, &previous, &c.ring, CAROB_LINK_RING, now_ns);
	add_selection(links, &previous, &c.fingers, CAROB_LINK_FINGER, now_ns);
	for (size_t i = 0; i < c.zone_count; i++) {
		selection_t *targets = &c.zones[i].targets;

		if (c.zones[i].lower_ranked >= ZONE_LINKING_MEMBERS)
			continue;
		if (c.ring.count > 0 && targets->count > 1)
			targets->count = 1;
		add_selection(links, &previous, targets, CAROB_LINK_CROSS,
			      now_ns);
	}
}
