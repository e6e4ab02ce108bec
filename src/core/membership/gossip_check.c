#include "core/membership/gossip_internal.h"

/* Members that are asked to probe a suspected neighbour, per round. */
#define HELPERS 3
/* Time that a round of indirect probes waits for replies. */
#define CHECK_NS (850 * CAROB_NS_PER_MS)
/* Time between the heartbeats of a probe made for another member. */
#define FAVOUR_RETRY_NS (200 * CAROB_NS_PER_MS)
/* Confirmations for a death in the first round; later one is enough. */
#define WITNESSES 2
/* Rounds without confirmation until the neighbour is marked unreachable. */
#define ROUNDS_ALONE 3
/*
 * Probes by others that reached a neighbour while it did not respond here,
 * after which it counts as unreachable from this instance.
 */
#define VOUCHES_MAX 3
/* Heartbeats that a probe for another member sends. */
#define FAVOUR_HEARTBEATS 3
/* Age of the last message at which a probe is answered without heartbeats. */
#define RECENTLY_HEARD_NS (300 * CAROB_NS_PER_MS)
/* Random draws for helpers that are not neighbours. */
#define PICK_ATTEMPTS 16

static bool is_listed(const carob_control_peer_t *peers, size_t count,
		      carob_instance_id_t id)
{
	for (size_t i = 0; i < count; i++)
		if (carob_instance_id_eq(peers[i].id, id))
			return true;
	return false;
}

static size_t pick_links(carob_control_peer_t *out, carob_gossip_t *g,
			 carob_instance_id_t target)
{
	size_t start =
		g->links.count
			? carob_rng_below(&g->rng, (uint32_t)g->links.count)
			: 0;
	size_t picked = 0;

	for (size_t i = 0; i < g->links.count && picked < HELPERS; i++) {
		const carob_link_t *link =
			&g->links.links[(start + i) % g->links.count];

		if (!link->check.active && link->unanswered <= 1 &&
		    !carob_instance_id_eq(link->peer.id, target))
			out[picked++] = link->peer;
	}
	return picked;
}

/* Adds random reachable members until there are enough helpers. */
static size_t pick_members(carob_control_peer_t *out, size_t picked,
			   carob_gossip_t *g, carob_instance_id_t target)
{
	const carob_member_t *const *alive;
	size_t count;

	alive = carob_membership_alive(g->membership, &count);
	for (int i = 0; i < PICK_ATTEMPTS && picked < HELPERS; i++) {
		const carob_member_t *member =
			count ? alive[carob_rng_below(&g->rng, (uint32_t)count)]
			      : carob_gossip_self(g);

		if (member == carob_gossip_self(g) ||
		    carob_instance_id_eq(member->id, target) ||
		    is_listed(out, picked, member->id))
			continue;
		out[picked++] = (carob_control_peer_t){member->id,
						       member->control_addr};
	}
	return picked;
}

static void ask_helpers(carob_gossip_t *g, carob_link_t *link)
{
	carob_control_peer_t helpers[HELPERS];
	carob_link_check_t *check = &link->check;
	carob_control_msg_t msg = {.type = CAROB_CONTROL_CHECK_REQUEST};

	check->verdict_ns = carob_gossip_now(g) + CHECK_NS;
	check->helpers = pick_links(helpers, g, link->peer.id);
	check->helpers =
		pick_members(helpers, check->helpers, g, link->peer.id);
	msg.check.seq = check->seq;
	msg.check.target = link->peer.id;
	for (size_t i = 0; i < check->helpers; i++)
		carob_gossip_send(g, &helpers[i], &msg);
}

static void end_check(carob_link_t *link)
{
	link->check = (carob_link_check_t){.active = false};
}

/*
 * A single confirmation may be due to lost packets, so the first round needs
 * several unless fewer helpers exist. After a second round one is enough.
 */
static bool is_confirmed(const carob_link_t *link)
{
	const carob_link_check_t *check = &link->check;

	if (check->witnesses == 0)
		return false;
	return check->witnesses >= WITNESSES || check->rounds > 1 ||
	       check->helpers < WITNESSES;
}

void carob_gossip_check_link(carob_gossip_t *g, carob_link_t *link)
{
	carob_link_check_t *check = &link->check;

	if (g->fault == CAROB_GOSSIP_FAULT_NO_INDIRECT_CHECK) {
		carob_gossip_declare_dead(g, link->peer.id);
		return;
	}
	if (!check->active) {
		check->active = true;
		check->seq = ++g->seq;
		g->counters.checks++;
	} else if (is_confirmed(link)) {
		carob_gossip_declare_dead(g, link->peer.id);
		end_check(link);
		return;
	} else if (check->helpers == 0 || check->rounds >= ROUNDS_ALONE) {
		carob_gossip_set_reachable(g, link->peer.id, false);
		end_check(link);
		return;
	}
	check->rounds++;
	ask_helpers(g, link);
}

void carob_gossip_on_check_reply(carob_gossip_t *g,
				 const carob_control_msg_t *msg)
{
	carob_link_t *link = carob_links_find(&g->links, msg->check.target);

	if (!link || !link->check.active || link->check.seq != msg->check.seq)
		return;
	if (!msg->check.reachable) {
		link->check.witnesses++;
		return;
	}
	end_check(link);
	link->unanswered = 0;
	if (++link->vouched >= VOUCHES_MAX)
		carob_gossip_set_reachable(g, link->peer.id, false);
}

static void reply(carob_gossip_t *g, const carob_favour_t *favour,
		  bool reachable)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_CHECK_REPLY};

	msg.check.seq = favour->seq;
	msg.check.target = favour->target;
	msg.check.reachable = reachable;
	carob_gossip_send(g, &favour->requester, &msg);
}

static void remove_favour(carob_gossip_t *g, size_t i)
{
	g->favours[i] = g->favours[--g->favour_count];
}

void carob_gossip_check_heard(carob_gossip_t *g, carob_instance_id_t id)
{
	for (size_t i = g->favour_count; i > 0; i--) {
		carob_favour_t favour = g->favours[i - 1];

		if (!carob_instance_id_eq(favour.target, id))
			continue;
		remove_favour(g, i - 1);
		reply(g, &favour, true);
	}
}

static void ping(carob_gossip_t *g, carob_favour_t *favour)
{
	carob_control_peer_t target = carob_gossip_peer(g, favour->target);

	favour->sent++;
	favour->due_ns = carob_gossip_now(g) + FAVOUR_RETRY_NS;
	carob_gossip_send_heartbeat(g, &target, CAROB_CONTROL_HEARTBEAT,
				    ++g->seq, NULL);
}

void carob_gossip_check_tick(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);

	for (size_t i = g->favour_count; i > 0; i--) {
		carob_favour_t *favour = &g->favours[i - 1];
		carob_favour_t done = *favour;

		if (favour->due_ns > now)
			continue;
		if (favour->sent < FAVOUR_HEARTBEATS) {
			ping(g, favour);
			continue;
		}
		remove_favour(g, i - 1);
		reply(g, &done, false);
	}
}

void carob_gossip_on_check_request(carob_gossip_t *g,
				   const carob_control_msg_t *msg)
{
	carob_favour_t favour = {
		.requester = carob_gossip_peer(g, msg->from),
		.target = msg->check.target,
		.seq = msg->check.seq,
	};
	const carob_link_t *link = carob_links_find(&g->links, favour.target);

	if (!carob_membership_find(g->membership, favour.target) ||
	    g->favour_count == CAROB_GOSSIP_FAVOURS_MAX) {
		g->counters.unexpected++;
		return;
	}
	if (carob_instance_id_eq(favour.target, carob_gossip_self(g)->id) ||
	    (link && link->unanswered == 0 &&
	     carob_gossip_now(g) - link->heard_ns < RECENTLY_HEARD_NS)) {
		reply(g, &favour, true);
		return;
	}
	ping(g, &favour);
	g->favours[g->favour_count++] = favour;
}
