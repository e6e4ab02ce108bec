#include "core/membership/gossip_internal.h"

#include "carobtrail/log.h"

#include <string.h>

/* Time between two attempts to join. */
#define JOIN_RETRY_NS (500 * CAROB_NS_PER_MS)
/*
 * Time after the start from which an instance that has received no table
 * assumes that there are no other members.
 */
#define JOIN_NO_PEERS_NS (3 * CAROB_NS_PER_S)
/* Time after the receipt of a table from which joining ends in any case. */
#define JOIN_TIMEOUT_NS (1500 * CAROB_NS_PER_MS)
/*
 * Mean time between contact attempts, in which a heartbeat is sent to a seed
 * or hint and one to a dead member. It grows by CONTACT_NS for every
 * CONTACT_MEMBERS members.
 */
#define CONTACT_NS	(10 * CAROB_NS_PER_S)
#define CONTACT_MEMBERS 64
/* Mean time between contact attempts of an instance without neighbours. */
#define CONTACT_NO_LINKS_NS (1 * CAROB_NS_PER_S)
/*
 * Minimum time between two pulls for anti-entropy, and the time that each
 * member in the table adds to it.
 */
#define PULL_NS	       (500 * CAROB_NS_PER_MS)
#define PULL_MEMBER_NS (600 * CAROB_NS_PER_US)
/* Time between two removals of departed members. */
#define REMOVE_DEPARTED_NS (1800 * CAROB_NS_PER_S)
/*
 * Differing digests in a row that lead to a pull. A few are normal while an
 * update is being disseminated.
 */
#define MISMATCHES_MAX 4
/* The same limit for tables of fewer than FEW_MEMBERS members. */
#define MISMATCHES_FEW 2
#define FEW_MEMBERS    64
/* Maximum number of newer records sent back in response to a table. */
#define NEWER_RECORDS_MAX 64

static const uint32_t no_digests[1];

static bool pick_contact(carob_addr_t *out, carob_gossip_t *g)
{
	size_t count = g->seed_count + g->hint_count;
	size_t i;

	if (count == 0)
		return false;
	i = carob_rng_below(&g->rng, (uint32_t)count);
	*out = i < g->seed_count ? g->seeds[i] : g->hints[i - g->seed_count];
	return true;
}

static void send_pull(carob_gossip_t *g, const carob_control_peer_t *peer,
		      uint32_t first)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MEMBER_PULL};

	msg.pull.self = *carob_gossip_self(g);
	msg.pull.first = first;
	msg.pull.digests = no_digests;
	if (g->sync.with_digests) {
		msg.pull.digest_count = CAROB_CONTROL_DIGESTS;
		msg.pull.digests = carob_membership_part_digests(g->membership);
	}
	carob_gossip_send(g, peer, &msg);
}

static void set_joined(carob_gossip_t *g)
{
	size_t count;

	if (g->sync.joined)
		return;
	g->sync.joined = true;
	carob_membership_all(g->membership, &count);
	CAROB_LOG(CAROB_EV_CLUSTER_JOINED,
		  CAROB_FIELD_U64("members", (uint64_t)count));
	if (g->listener && g->listener->ops->joined)
		g->listener->ops->joined(g->listener);
}

static void set_has_table(carob_gossip_t *g)
{
	if (g->sync.has_table)
		return;
	g->sync.has_table = true;
	g->sync.table_ns = carob_gossip_now(g);
}

static void try_to_join(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);
	carob_control_peer_t peer = {.id = {0, 0}};

	if (now < g->sync.next_join_ns)
		return;
	g->sync.next_join_ns = now + JOIN_RETRY_NS;
	if (pick_contact(&peer.addr, g))
		send_pull(g, &peer, 0);
	else
		set_has_table(g);
	if (now >= g->sync.started_ns + JOIN_NO_PEERS_NS)
		set_has_table(g);
}

/*
 * Joining normally ends when the table equals that of another member. This
 * ends it where no such member is found: after a time limit, or if there are
 * no links.
 */
static void end_joining(carob_gossip_t *g)
{
	if (carob_gossip_now(g) >= g->sync.table_ns + JOIN_TIMEOUT_NS ||
	    (g->links.count == 0 && g->links_chosen_ns > g->sync.table_ns))
		set_joined(g);
}

/*
 * Sends one dead member the report of its death. If it is alive, such as after
 * a network partition, it refutes the report.
 */
static void contact_dead(carob_gossip_t *g)
{
	const carob_member_t *const *all;
	const carob_member_t *member;
	carob_control_peer_t peer;
	size_t count;
	size_t start;

	all = carob_membership_all(g->membership, &count);
	start = carob_rng_below(&g->rng, (uint32_t)count);
	for (size_t i = 0; i < count; i++) {
		member = all[(start + i) % count];
		if (member->state != CAROB_MEMBER_DEAD)
			continue;
		peer = (carob_control_peer_t){member->id, member->control_addr};
		carob_gossip_send_heartbeat(g, &peer, CAROB_CONTROL_HEARTBEAT,
					    ++g->seq, member);
		return;
	}
}

static void contact_seed(carob_gossip_t *g)
{
	carob_control_peer_t peer = {.id = {0, 0}};

	if (!pick_contact(&peer.addr, g))
		return;
	g->sync.contact_seq = ++g->seq;
	carob_gossip_send_heartbeat(g, &peer, CAROB_CONTROL_HEARTBEAT,
				    g->sync.contact_seq, carob_gossip_self(g));
}

/*
 * All members contact the same few seeds and hints. The period grows with the
 * number of members so that the load on these stays limited.
 */
static uint64_t contact_period(const carob_gossip_t *g)
{
	size_t count;

	if (g->links.count == 0)
		return CONTACT_NO_LINKS_NS;
	carob_membership_all(g->membership, &count);
	return CONTACT_NS * (1 + count / CONTACT_MEMBERS);
}

static void contact_seed_and_dead(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);
	uint64_t period = contact_period(g);

	if (now < g->sync.next_contact_ns)
		return;
	if (g->sync.next_contact_ns != 0) {
		contact_seed(g);
		contact_dead(g);
	}
	g->sync.next_contact_ns =
		now + period / 2 +
		carob_rng_below(&g->rng, (uint32_t)(period / CAROB_NS_PER_MS)) *
			CAROB_NS_PER_MS;
}

void carob_gossip_sync_tick(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);

	if (!g->sync.has_table)
		try_to_join(g);
	else
		contact_seed_and_dead(g);
	if (g->sync.has_table && !g->sync.joined)
		end_joining(g);
	if (now < g->sync.next_removal_ns)
		return;
	if (g->sync.next_removal_ns != 0)
		carob_membership_remove_departed(g->membership);
	g->sync.next_removal_ns = now + REMOVE_DEPARTED_NS;
}

static void pull_from(carob_gossip_t *g, carob_instance_id_t id)
{
	carob_control_peer_t peer = carob_gossip_peer(g, id);
	uint64_t now = carob_gossip_now(g);
	size_t count;

	if (now < g->sync.next_pull_ns ||
	    g->mutation == CAROB_GOSSIP_MUTATION_NO_REPAIR)
		return;
	carob_membership_all(g->membership, &count);
	g->sync.next_pull_ns = now + PULL_NS + count * PULL_MEMBER_NS;
	g->sync.with_digests = true;
	g->counters.pulls++;
	send_pull(g, &peer, 0);
}

static unsigned int mismatch_limit(const carob_gossip_t *g)
{
	size_t count;

	carob_membership_all(g->membership, &count);
	return count < FEW_MEMBERS ? MISMATCHES_FEW : MISMATCHES_MAX;
}

void carob_gossip_sync_compare(carob_gossip_t *g,
			       const carob_control_msg_t *msg)
{
	carob_link_t *link = carob_links_find(&g->links, msg->from);
	bool differs = msg->heartbeat.digest !=
		       carob_membership_digest(g->membership);

	if (!g->sync.has_table)
		return;
	if (!differs)
		set_joined(g);
	if (msg->type == CAROB_CONTROL_HEARTBEAT_ACK &&
	    msg->heartbeat.seq == g->sync.contact_seq) {
		g->sync.contact_seq = 0;
		if (differs)
			pull_from(g, msg->from);
		return;
	}
	if (!link)
		return;
	link->mismatches = differs ? link->mismatches + 1 : 0;
	/* A new neighbour may have missed updates for a long time. */
	if (differs &&
	    (!link->compared || link->mismatches >= mismatch_limit(g))) {
		link->mismatches = 0;
		pull_from(g, msg->from);
	}
	link->compared = true;
}

/* The parts to send: those that differ, as many as fit into one message. */
typedef struct part_choice {
	bool selected[CAROB_MEMBERSHIP_PARTS];
	uint32_t next; /* first part that does not fit; 0: all fit */
} part_choice_t;

static void choose_parts(part_choice_t *choice, const carob_gossip_t *g,
			 const carob_control_pull_t *pull)
{
	const uint32_t *own_digests =
		carob_membership_part_digests(g->membership);
	size_t sizes[CAROB_MEMBERSHIP_PARTS] = {0};
	const carob_member_t *const *all;
	size_t total = 0;
	size_t count;

	all = carob_membership_all(g->membership, &count);
	for (size_t i = 0; i < count; i++)
		sizes[carob_membership_part(all[i]->id)]++;
	for (uint32_t p = pull->first; p < CAROB_MEMBERSHIP_PARTS; p++) {
		if (pull->digest_count != 0 &&
		    pull->digests[p] == own_digests[p])
			continue;
		if (total > 0 && total + sizes[p] > CAROB_CONTROL_MEMBERS_MAX) {
			choice->next = p;
			return;
		}
		choice->selected[p] = true;
		total += sizes[p];
	}
}

void carob_gossip_on_pull(carob_gossip_t *g, const carob_control_msg_t *msg)
{
	carob_member_t members[CAROB_CONTROL_MEMBERS_MAX];
	carob_control_msg_t table = {.type = CAROB_CONTROL_MEMBER_TABLE};
	part_choice_t choice = {.next = 0};
	const carob_member_t *const *all;
	carob_control_peer_t peer;
	size_t count;

	if (!carob_instance_id_eq(msg->pull.self.id, msg->from) ||
	    msg->pull.first >= CAROB_MEMBERSHIP_PARTS) {
		g->counters.unexpected++;
		return;
	}
	carob_gossip_learn(g, &msg->pull.self, msg->from,
			   CAROB_UPDATE_DISSEMINATE);
	choose_parts(&choice, g, &msg->pull);
	all = carob_membership_all(g->membership, &count);
	for (size_t i = 0; i < count; i++)
		if (choice.selected[carob_membership_part(all[i]->id)] &&
		    table.members.member_count < CAROB_CONTROL_MEMBERS_MAX)
			members[table.members.member_count++] = *all[i];
	table.members.members = members;
	table.members.next = choice.next;
	peer = carob_gossip_peer(g, msg->from);
	carob_gossip_send(g, &peer, &table);
}

static bool differs_from_table(const carob_gossip_t *g,
			       const carob_member_t *record)
{
	const carob_member_t *known =
		carob_membership_find(g->membership, record->id);

	return known && (known->revision != record->revision ||
			 known->state != record->state);
}

/* Sends the sender of a table the records that are newer here. */
static void send_newer_records(carob_gossip_t *g,
			       const carob_control_msg_t *msg)
{
	carob_member_t members[NEWER_RECORDS_MAX];
	carob_control_msg_t newer = {.type = CAROB_CONTROL_MEMBER_UPDATES};
	carob_control_peer_t peer = carob_gossip_peer(g, msg->from);

	for (size_t i = 0; i < msg->members.member_count &&
			   newer.members.member_count < NEWER_RECORDS_MAX;
	     i++) {
		const carob_member_t *record = &msg->members.members[i];

		if (differs_from_table(g, record))
			members[newer.members.member_count++] =
				*carob_membership_find(g->membership,
						       record->id);
	}
	newer.members.members = members;
	if (newer.members.member_count > 0)
		carob_gossip_send(g, &peer, &newer);
}

void carob_gossip_on_table(carob_gossip_t *g, const carob_control_msg_t *msg)
{
	carob_update_scope_t scope = g->sync.joined ? CAROB_UPDATE_DISSEMINATE
						    : CAROB_UPDATE_LOCAL;
	carob_control_peer_t peer;

	for (size_t i = 0; i < msg->members.member_count; i++)
		carob_gossip_learn(g, &msg->members.members[i], msg->from,
				   scope);
	send_newer_records(g, msg);
	if (msg->members.next != 0) {
		g->sync.next_join_ns = carob_gossip_now(g) + JOIN_RETRY_NS;
		peer = carob_gossip_peer(g, msg->from);
		send_pull(g, &peer, msg->members.next);
		return;
	}
	set_has_table(g);
}
