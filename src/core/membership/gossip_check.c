#include "core/membership/gossip_internal.h"

/* Members that are requested to probe a suspected neighbour, per round. */
#define HELPERS_PER_ROUND 3
/* Time that a round of indirect probes waits for replies. */
#define PROBE_ROUND_NS (850 * CAROB_NS_PER_MS)
/* Time between the heartbeats of a probe made for another member. */
#define DELEGATED_RETRY_NS (200 * CAROB_NS_PER_MS)
/* Confirmations needed to declare a death in round 1; later rounds need one. */
#define CONFIRMATIONS_MIN 2
/* Rounds without confirmation after which a neighbour is set unreachable. */
#define UNCONFIRMED_ROUNDS_MAX 3
/*
 * A neighbour that does not respond here although this many indirect probes
 * reached it is marked unreachable from this instance.
 */
#define INDIRECT_SUCCESSES_MAX 3
/* Heartbeats that a probe for another member sends. */
#define DELEGATED_HEARTBEATS 3
/* Age of the last message at which a probe is answered without heartbeats. */
#define RECENT_MESSAGE_NS (300 * CAROB_NS_PER_MS)
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

static size_t pick_neighbours(carob_control_peer_t *out, carob_gossip_t *g,
			      carob_instance_id_t target)
{
	size_t start =
		g->links.count
			? carob_rng_below(&g->rng, (uint32_t)g->links.count)
			: 0;
	size_t picked = 0;

	for (size_t i = 0; i < g->links.count && picked < HELPERS_PER_ROUND;
	     i++) {
		const carob_link_t *link =
			&g->links.links[(start + i) % g->links.count];

		if (!link->suspicion.active && link->unanswered <= 1 &&
		    !carob_instance_id_eq(link->peer.id, target))
			out[picked++] = link->peer;
	}
	return picked;
}

/* Adds random reachable members until there are enough helpers. */
static size_t pick_random_members(carob_control_peer_t *out, size_t picked,
				  carob_gossip_t *g, carob_instance_id_t target)
{
	const carob_member_t *const *alive;
	size_t count;

	alive = carob_membership_alive(g->membership, &count);
	for (int i = 0; i < PICK_ATTEMPTS && picked < HELPERS_PER_ROUND; i++) {
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

static void request_probes(carob_gossip_t *g, carob_link_t *link)
{
	carob_control_peer_t helpers[HELPERS_PER_ROUND];
	carob_suspicion_t *suspicion = &link->suspicion;
	carob_control_msg_t msg = {.type = CAROB_CONTROL_CHECK_REQUEST};

	suspicion->deadline_ns = carob_gossip_now(g) + PROBE_ROUND_NS;
	suspicion->helpers = pick_neighbours(helpers, g, link->peer.id);
	suspicion->helpers = pick_random_members(helpers, suspicion->helpers, g,
						 link->peer.id);
	msg.check.seq = suspicion->seq;
	msg.check.target = link->peer.id;
	for (size_t i = 0; i < suspicion->helpers; i++)
		carob_gossip_send(g, &helpers[i], &msg);
}

static void end_suspicion(carob_link_t *link)
{
	link->suspicion = (carob_suspicion_t){.active = false};
}

/*
 * In the first round, CONFIRMATIONS_MIN helpers have to confirm, unless fewer
 * were requested to probe. From the second round on, one is enough.
 */
static bool is_confirmed(const carob_link_t *link)
{
	const carob_suspicion_t *suspicion = &link->suspicion;

	if (suspicion->confirmations == 0)
		return false;
	return suspicion->confirmations >= CONFIRMATIONS_MIN ||
	       suspicion->rounds > 1 || suspicion->helpers < CONFIRMATIONS_MIN;
}

void carob_gossip_advance_suspicion(carob_gossip_t *g, carob_link_t *link)
{
	carob_suspicion_t *suspicion = &link->suspicion;

	if (g->mutation == CAROB_GOSSIP_MUTATION_NO_INDIRECT_PROBE) {
		carob_gossip_declare_dead(g, link->peer.id);
		return;
	}
	if (!suspicion->active) {
		suspicion->active = true;
		suspicion->seq = ++g->seq;
		g->counters.checks++;
	} else if (is_confirmed(link)) {
		carob_gossip_declare_dead(g, link->peer.id);
		end_suspicion(link);
		return;
	} else if (suspicion->helpers == 0 ||
		   suspicion->rounds >= UNCONFIRMED_ROUNDS_MAX) {
		carob_gossip_set_reachable(g, link->peer.id, false);
		end_suspicion(link);
		return;
	}
	suspicion->rounds++;
	request_probes(g, link);
}

void carob_gossip_on_check_reply(carob_gossip_t *g,
				 const carob_control_msg_t *msg)
{
	carob_link_t *link = carob_links_find(&g->links, msg->check.target);

	if (!link || !link->suspicion.active ||
	    link->suspicion.seq != msg->check.seq)
		return;
	if (!msg->check.reachable) {
		link->suspicion.confirmations++;
		return;
	}
	end_suspicion(link);
	link->unanswered = 0;
	if (++link->indirect_successes >= INDIRECT_SUCCESSES_MAX)
		carob_gossip_set_reachable(g, link->peer.id, false);
}

static void send_check_reply(carob_gossip_t *g,
			     const carob_delegated_probe_t *probe,
			     bool reachable)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_CHECK_REPLY};

	msg.check.seq = probe->seq;
	msg.check.target = probe->target;
	msg.check.reachable = reachable;
	carob_gossip_send(g, &probe->requester, &msg);
}

static void remove_delegated_probe(carob_gossip_t *g, size_t i)
{
	g->delegated_probes[i] = g->delegated_probes[--g->delegated_count];
}

void carob_gossip_complete_probes(carob_gossip_t *g, carob_instance_id_t id)
{
	for (size_t i = g->delegated_count; i > 0; i--) {
		carob_delegated_probe_t probe = g->delegated_probes[i - 1];

		if (!carob_instance_id_eq(probe.target, id))
			continue;
		remove_delegated_probe(g, i - 1);
		send_check_reply(g, &probe, true);
	}
}

static void send_probe_heartbeat(carob_gossip_t *g,
				 carob_delegated_probe_t *probe)
{
	carob_control_peer_t target = carob_gossip_peer(g, probe->target);

	probe->sent++;
	probe->due_ns = carob_gossip_now(g) + DELEGATED_RETRY_NS;
	carob_gossip_send_heartbeat(g, &target, CAROB_CONTROL_HEARTBEAT,
				    ++g->seq, NULL);
}

void carob_gossip_probe_tick(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);

	for (size_t i = g->delegated_count; i > 0; i--) {
		carob_delegated_probe_t *probe = &g->delegated_probes[i - 1];
		carob_delegated_probe_t done = *probe;

		if (probe->due_ns > now)
			continue;
		if (probe->sent < DELEGATED_HEARTBEATS) {
			send_probe_heartbeat(g, probe);
			continue;
		}
		remove_delegated_probe(g, i - 1);
		send_check_reply(g, &done, false);
	}
}

void carob_gossip_on_check_request(carob_gossip_t *g,
				   const carob_control_msg_t *msg)
{
	carob_delegated_probe_t probe = {
		.requester = carob_gossip_peer(g, msg->from),
		.target = msg->check.target,
		.seq = msg->check.seq,
	};
	const carob_link_t *link = carob_links_find(&g->links, probe.target);

	if (!carob_membership_find(g->membership, probe.target) ||
	    g->delegated_count == CAROB_GOSSIP_DELEGATED_PROBES_MAX) {
		g->counters.unexpected++;
		return;
	}
	if (carob_instance_id_eq(probe.target, carob_gossip_self(g)->id) ||
	    (link && link->unanswered == 0 &&
	     carob_gossip_now(g) - link->last_message_ns < RECENT_MESSAGE_NS)) {
		send_check_reply(g, &probe, true);
		return;
	}
	send_probe_heartbeat(g, &probe);
	g->delegated_probes[g->delegated_count++] = probe;
}
