#include "core/membership/gossip_internal.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <stdlib.h>
#include <string.h>

#define TICK_NS (50 * CAROB_NS_PER_MS)
/* Time since the last tick at which the process counts as paused. */
#define PAUSE_NS (1500 * CAROB_NS_PER_MS)
/* Delay before updates are flushed, so that several share one message. */
#define FLUSH_NS (50 * CAROB_NS_PER_MS)
/* Minimum time between two choices of links. */
#define LINKS_PERIOD_NS (500 * CAROB_NS_PER_MS)
/* Time between two heartbeats on a finger link. */
#define FINGER_NS (4000 * CAROB_NS_PER_MS)
/* Maximum number of members in a heartbeat. */
#define HEARTBEAT_UPDATES_MAX 16
/* Maximum number of members in the message that a flush sends to a peer. */
#define FLUSH_UPDATES_MAX 64
/* Each update is piggybacked on this number times (links + 1) messages. */
#define UPDATE_RETRANSMIT_MULT 1
/* Unanswered heartbeats after which a ring neighbour is suspected. */
#define SUSPECT_UNANSWERED 2
/* Unanswered heartbeats up to which they are retransmitted early. */
#define RETRIES_MAX 8
/* Unanswered heartbeats after which a link to another zone is replaced. */
#define CROSS_UNANSWERED_MAX 5
/* The same limit while the zone is unreachable. */
#define CROSS_UNANSWERED_CUT_OFF_MAX 12
/* Age of the last message from a zone at which it becomes unreachable. */
#define ZONE_AGE_LIMIT_NS (2500 * CAROB_NS_PER_MS)
/* Added to that limit for each hop across the zone of this instance. */
#define ZONE_AGE_HOP_NS (1000 * CAROB_NS_PER_MS)
/* One hop is added each time that the zone's size grows by this factor. */
#define ZONE_HOP_FACTOR 4

uint64_t carob_gossip_now(const carob_gossip_t *g)
{
	return carob_kernel_now_ns(g->kernel);
}

const carob_member_t *carob_gossip_self(const carob_gossip_t *g)
{
	return carob_membership_self(g->membership);
}

carob_control_peer_t carob_gossip_peer(const carob_gossip_t *g,
				       carob_instance_id_t id)
{
	const carob_member_t *member = carob_membership_find(g->membership, id);
	carob_control_peer_t peer = {.id = id};

	if (member)
		peer.addr = member->control_addr;
	return peer;
}

void carob_gossip_send(carob_gossip_t *g, const carob_control_peer_t *to,
		       carob_control_msg_t *msg)
{
	msg->from = carob_gossip_self(g)->id;
	g->port->ops->send(g->port, to, msg);
}

static bool has_member(const carob_member_t *members, size_t count,
		       carob_instance_id_t id)
{
	for (size_t i = 0; i < count; i++)
		if (carob_instance_id_eq(members[i].id, id))
			return true;
	return false;
}

static size_t append_updates(carob_member_t *out, size_t count,
			     carob_gossip_t *g)
{
	carob_instance_id_t ids[HEARTBEAT_UPDATES_MAX];
	size_t selected = carob_update_queue_select(
		ids, HEARTBEAT_UPDATES_MAX - count, &g->update_queue);

	for (size_t i = 0; i < selected; i++) {
		const carob_member_t *member =
			carob_membership_find(g->membership, ids[i]);

		if (!member || has_member(out, count, ids[i]))
			continue;
		out[count++] = *member;
		g->counters.news_sent++;
	}
	return count;
}

void carob_gossip_send_heartbeat(carob_gossip_t *g,
				 const carob_control_peer_t *to,
				 carob_control_type_t type, uint32_t seq,
				 const carob_member_t *first)
{
	carob_control_zone_age_t zones[CAROB_CONTROL_ZONES_MAX];
	carob_member_t members[HEARTBEAT_UPDATES_MAX] = {{.revision = 0}};
	carob_control_msg_t msg = {.type = type};
	carob_control_heartbeat_t *body = &msg.heartbeat;
	const carob_member_t *peer =
		carob_membership_find(g->membership, to->id);

	body->seq = seq;
	body->generation = carob_gossip_self(g)->generation;
	body->key_serial = g->key_serial;
	body->digest = carob_membership_digest(g->membership);
	body->zones = zones;
	if (type == CAROB_CONTROL_HEARTBEAT && peer &&
	    strcmp(peer->zone.name, carob_gossip_self(g)->zone.name) == 0)
		body->zone_count = carob_zone_contacts_ages(
			zones, &g->zones, carob_gossip_now(g));
	body->members = members;
	if (first)
		members[body->member_count++] = *first;
	body->member_count = append_updates(members, body->member_count, g);
	carob_gossip_send(g, to, &msg);
	if (type == CAROB_CONTROL_HEARTBEAT)
		g->counters.heartbeats_sent++;
}

static void log_member(carob_log_event_t event, const carob_member_t *member)
{
	CAROB_LOG(event, CAROB_FIELD_U64("instance", member->id.id),
		  CAROB_FIELD_U64("incarnation", member->id.incarnation),
		  CAROB_FIELD_CSTR("zone", member->zone.name));
}

static void log_state(const carob_member_t *member)
{
	static const carob_log_event_t events[] = {
		[CAROB_MEMBER_ALIVE] = CAROB_EV_MEMBER_JOINED,
		[CAROB_MEMBER_LEAVING] = CAROB_EV_MEMBER_LEAVING,
		[CAROB_MEMBER_LEFT] = CAROB_EV_MEMBER_LEFT,
		[CAROB_MEMBER_DEAD] = CAROB_EV_MEMBER_DEAD,
	};

	log_member(events[member->state], member);
}

static void queue_update(carob_gossip_t *g, carob_instance_id_t member,
			 carob_instance_id_t source)
{
	carob_update_t update = {
		.member = member,
		.source = source,
		.sends_left = (uint32_t)(UPDATE_RETRANSMIT_MULT *
					 (g->links.count + 1)),
		.unflushed = true,
	};

	carob_update_queue_add(&g->update_queue, &update);
	if (!carob_timer_armed(&g->flush))
		carob_timer_arm(g->kernel, &g->flush,
				carob_gossip_now(g) + FLUSH_NS);
}

/* Handles a report about this instance, which is refuted if it is wrong. */
static bool refute_report(carob_gossip_t *g, const carob_member_t *member)
{
	bool refuted = false;

	if (g->mutation == CAROB_GOSSIP_MUTATION_NO_REFUTATION)
		return false;
	carob_membership_learn(g->membership, member, &refuted);
	if (!refuted)
		return false;
	g->counters.refutations++;
	log_member(CAROB_EV_DEATH_REFUTED, carob_gossip_self(g));
	carob_gossip_announce(g);
	return true;
}

bool carob_gossip_learn(carob_gossip_t *g, const carob_member_t *member,
			carob_instance_id_t source, carob_update_scope_t scope)
{
	const carob_member_t *known =
		carob_membership_find(g->membership, member->id);
	bool is_new = known == NULL;
	carob_member_state_t previous = known ? known->state : member->state;
	bool changed;

	if (known && known == carob_gossip_self(g))
		return refute_report(g, member);
	if (carob_membership_learn(g->membership, member, &changed) != 0 ||
	    !changed)
		return false;
	g->counters.news_learnt++;
	if (scope == CAROB_UPDATE_LOCAL)
		return true;
	known = carob_membership_find(g->membership, member->id);
	if (is_new || known->state != previous)
		log_state(known);
	queue_update(g, member->id, source);
	return true;
}

void carob_gossip_declare_dead(carob_gossip_t *g, carob_instance_id_t id)
{
	const carob_member_t *known = carob_membership_find(g->membership, id);
	carob_member_t dead;

	if (!known)
		return;
	dead = *known;
	dead.state = CAROB_MEMBER_DEAD;
	if (carob_gossip_learn(g, &dead, carob_gossip_self(g)->id,
			       CAROB_UPDATE_DISSEMINATE))
		g->counters.deaths++;
}

void carob_gossip_set_reachable(carob_gossip_t *g, carob_instance_id_t id,
				bool reachable)
{
	const carob_member_t *member = carob_membership_find(g->membership, id);
	uint64_t version = carob_membership_version(g->membership);

	if (!member)
		return;
	carob_membership_set_reachable(g->membership, id, reachable);
	if (carob_membership_version(g->membership) != version)
		log_member(reachable ? CAROB_EV_MEMBER_REACHABLE
				     : CAROB_EV_MEMBER_UNREACHABLE,
			   member);
}

/*
 * The heartbeat includes the record of this instance until the peer has
 * acknowledged its current revision.
 */
static void send_link_heartbeat(carob_gossip_t *g, carob_link_t *link)
{
	const carob_member_t *self = carob_gossip_self(g);
	bool announce = link->acknowledged_revision != self->revision;

	link->seq = ++g->seq;
	if (announce && link->announced_revision != self->revision) {
		link->announced_revision = self->revision;
		link->announced_seq = link->seq;
	}
	link->unanswered++;
	link->due_ns = carob_gossip_now(g);
	if (link->kind == CAROB_LINK_FINGER)
		link->due_ns += FINGER_NS;
	else if (link->unanswered > RETRIES_MAX)
		link->due_ns += CAROB_HEARTBEAT_NS;
	else
		link->due_ns += CAROB_RETRY_NS;
	carob_gossip_send_heartbeat(g, &link->peer, CAROB_CONTROL_HEARTBEAT,
				    link->seq, announce ? self : NULL);
}

static void service_link(carob_gossip_t *g, carob_link_t *link)
{
	uint64_t now = carob_gossip_now(g);
	bool suspect = link->kind == CAROB_LINK_RING && link->due_ns <= now &&
		       link->unanswered >= SUSPECT_UNANSWERED;

	if (link->suspicion.active)
		suspect = link->suspicion.deadline_ns <= now;
	if (suspect)
		carob_gossip_advance_suspicion(g, link);
	if (link->due_ns <= now)
		send_link_heartbeat(g, link);
}

/*
 * Replaces links to other zones whose heartbeats are not answered. A new salt
 * of the zone makes the next choice of links select other members of it.
 */
static void replace_unanswered_cross_links(carob_gossip_t *g)
{
	for (size_t i = 0; i < g->links.count; i++) {
		carob_link_t *link = &g->links.links[i];
		carob_zone_contact_t *contact;

		if (link->kind != CAROB_LINK_CROSS ||
		    link->unanswered < CROSS_UNANSWERED_MAX)
			continue;
		contact = carob_zone_contacts_get(&g->zones, &link->zone,
						  carob_gossip_now(g));
		if (!contact ||
		    (!contact->reachable &&
		     link->unanswered < CROSS_UNANSWERED_CUT_OFF_MAX))
			continue;
		contact->salt++;
		link->unanswered = 0;
		g->links_version = 0;
	}
}

static size_t count_zone_members(const carob_gossip_t *g)
{
	const carob_zone_t *own_zone = &carob_gossip_self(g)->zone;
	const carob_member_t *const *alive;
	size_t in_zone = 0;
	size_t count;

	alive = carob_membership_alive(g->membership, &count);
	for (size_t i = 0; i < count; i++)
		if (strcmp(alive[i]->zone.name, own_zone->name) == 0)
			in_zone++;
	return in_zone;
}

static void choose_links(carob_gossip_t *g)
{
	uint64_t version = carob_membership_version(g->membership);
	uint64_t now = carob_gossip_now(g);

	if (version == g->links_version ||
	    now < g->links_chosen_ns + LINKS_PERIOD_NS)
		return;
	carob_links_choose(&g->links, g->membership, &g->zones, now);
	g->zone_members = count_zone_members(g);
	g->links_version = version;
	g->links_chosen_ns = now;
}

/*
 * Zone ages are forwarded from neighbour to neighbour. In a larger zone they
 * take more hops and arrive later, so the limit grows with its size.
 */
static uint64_t zone_age_limit(const carob_gossip_t *g)
{
	uint64_t limit = ZONE_AGE_LIMIT_NS;

	for (size_t n = g->zone_members; n >= ZONE_HOP_FACTOR;
	     n /= ZONE_HOP_FACTOR)
		limit += ZONE_AGE_HOP_NS;
	return limit;
}

static void update_zone_reachability(carob_gossip_t *g)
{
	uint64_t limit = zone_age_limit(g);
	uint64_t now = carob_gossip_now(g);

	for (size_t i = 0; i < g->zones.count; i++) {
		carob_zone_contact_t *contact = &g->zones.zones[i];
		bool reachable = now - contact->last_message_ns < limit;

		if (reachable == contact->reachable)
			continue;
		contact->reachable = reachable;
		carob_membership_set_zone_reachable(g->membership,
						    &contact->zone, reachable);
		CAROB_LOG(reachable ? CAROB_EV_ZONE_REACHABLE
				    : CAROB_EV_ZONE_UNREACHABLE,
			  CAROB_FIELD_CSTR("zone", contact->zone.name));
	}
}

/*
 * After a pause, missing messages say nothing about the other members, because
 * this process could not receive any. Clears all failure detection.
 */
static void reset_failure_detection(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);

	for (size_t i = 0; i < g->links.count; i++) {
		carob_link_t *link = &g->links.links[i];

		link->unanswered = 0;
		link->suspicion = (carob_suspicion_t){.active = false};
		link->due_ns = now;
	}
	for (size_t i = 0; i < g->zones.count; i++)
		g->zones.zones[i].last_message_ns = now;
	g->delegated_count = 0;
}

/*
 * Other members may have declared this instance dead during the pause. Raising
 * the revision at once refutes that before the report of it arrives here.
 */
void carob_gossip_detect_pause(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);
	uint64_t elapsed = now - g->last_tick_ns;
	const carob_member_t *self = carob_gossip_self(g);

	g->last_tick_ns = now;
	if (elapsed < PAUSE_NS ||
	    g->mutation == CAROB_GOSSIP_MUTATION_TRUST_OWN_CLOCK)
		return;
	g->counters.pauses++;
	CAROB_LOG(CAROB_EV_PAUSE_NOTICED,
		  CAROB_FIELD_U64("ms", elapsed / CAROB_NS_PER_MS));
	reset_failure_detection(g);
	if (g->mutation == CAROB_GOSSIP_MUTATION_NO_REFUTATION)
		return;
	carob_membership_set_self(g->membership, self->state, self->successor);
	carob_gossip_announce(g);
}

static void on_tick(carob_timer_t *timer)
{
	carob_gossip_t *g = CAROB_CONTAINER_OF(timer, carob_gossip_t, tick);

	carob_gossip_detect_pause(g);
	replace_unanswered_cross_links(g);
	choose_links(g);
	for (size_t i = 0; i < g->links.count; i++)
		service_link(g, &g->links.links[i]);
	carob_gossip_probe_tick(g);
	update_zone_reachability(g);
	carob_gossip_sync_tick(g);
	carob_timer_arm(g->kernel, timer, carob_gossip_now(g) + TICK_NS);
}

/* Sends a peer the updates that are not flushed yet and not from that peer. */
static void flush_to_link(carob_gossip_t *g, const carob_link_t *link)
{
	carob_member_t members[FLUSH_UPDATES_MAX];
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MEMBER_UPDATES};

	for (size_t i = 0; i < g->update_queue.count; i++) {
		const carob_update_t *update = &g->update_queue.updates[i];
		const carob_member_t *member;

		if (!update->unflushed ||
		    carob_instance_id_eq(update->source, link->peer.id) ||
		    msg.members.member_count == FLUSH_UPDATES_MAX)
			continue;
		member = carob_membership_find(g->membership, update->member);
		if (member)
			members[msg.members.member_count++] = *member;
	}
	if (msg.members.member_count == 0)
		return;
	msg.members.members = members;
	g->counters.news_sent += msg.members.member_count;
	carob_gossip_send(g, &link->peer, &msg);
}

/* Marks the updates that one flush covers. Returns whether others remain. */
static bool mark_flushed(carob_gossip_t *g)
{
	size_t covered = 0;

	for (size_t i = 0; i < g->update_queue.count; i++) {
		if (!g->update_queue.updates[i].unflushed)
			continue;
		if (covered == FLUSH_UPDATES_MAX)
			return true;
		g->update_queue.updates[i].unflushed = false;
		covered++;
	}
	return false;
}

static void on_flush(carob_timer_t *timer)
{
	carob_gossip_t *g = CAROB_CONTAINER_OF(timer, carob_gossip_t, flush);

	for (size_t i = 0; i < g->links.count; i++)
		flush_to_link(g, &g->links.links[i]);
	if (mark_flushed(g))
		carob_timer_arm(g->kernel, timer,
				carob_gossip_now(g) + FLUSH_NS);
}

int carob_gossip_new(carob_gossip_t **out,
		     const carob_gossip_options_t *options)
{
	carob_gossip_t *g;

	if (options->version != CAROB_GOSSIP_OPTIONS_VERSION ||
	    !options->kernel || !options->membership || !options->port)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of the gossip");
	if (options->seed_count > CAROB_GOSSIP_SEEDS_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "%zu gossip seeds, at most %d allowed",
				       options->seed_count,
				       CAROB_GOSSIP_SEEDS_MAX);
	g = calloc(1, sizeof(*g));
	if (!g)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the gossip");
	g->seeds = calloc(options->seed_count + 1, sizeof(g->seeds[0]));
	if (!g->seeds) {
		free(g);
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the gossip seeds");
	}
	g->kernel = options->kernel;
	g->membership = options->membership;
	g->port = options->port;
	g->listener = options->listener;
	g->mutation = options->mutation;
	g->tick.fire = on_tick;
	g->flush.fire = on_flush;
	carob_rng_init(&g->rng, options->seed);
	for (size_t i = 0; i < options->seed_count; i++)
		if (!carob_addr_eq(&options->seeds[i],
				   &carob_gossip_self(g)->control_addr))
			g->seeds[g->seed_count++] = options->seeds[i];
	*out = g;
	return 0;
}

void carob_gossip_free(carob_gossip_t *g)
{
	if (!g)
		return;
	carob_timer_cancel(g->kernel, &g->tick);
	carob_timer_cancel(g->kernel, &g->flush);
	carob_update_queue_dispose(&g->update_queue);
	free(g->seeds);
	free(g);
}

int carob_gossip_start(carob_gossip_t *g)
{
	uint64_t now = carob_gossip_now(g);
	uint64_t wall_ms = carob_clock_wall_ms(carob_kernel_clock(g->kernel));

	/* This run has to supersede a previous one of the same instance. */
	carob_membership_raise_revision(g->membership,
					(uint32_t)(wall_ms / 1000));
	g->last_tick_ns = now;
	g->sync.started_ns = now;
	g->sync.next_join_ns = now;
	return carob_timer_arm(g->kernel, &g->tick, now);
}

void carob_gossip_announce(carob_gossip_t *g)
{
	for (size_t i = 0; i < g->links.count; i++)
		send_link_heartbeat(g, &g->links.links[i]);
}

size_t carob_gossip_acknowledged(const carob_gossip_t *g, size_t *links)
{
	uint32_t revision = carob_gossip_self(g)->revision;
	size_t count = 0;

	for (size_t i = 0; i < g->links.count; i++)
		if (g->links.links[i].acknowledged_revision == revision)
			count++;
	if (links)
		*links = g->links.count;
	return count;
}

void carob_gossip_add_hint(carob_gossip_t *g, const carob_addr_t *addr)
{
	if (carob_addr_eq(addr, &carob_gossip_self(g)->control_addr))
		return;
	for (size_t i = 0; i < g->hint_count; i++)
		if (carob_addr_eq(&g->hints[i], addr))
			return;
	g->hints[g->next_hint] = *addr;
	g->next_hint = (g->next_hint + 1) % CAROB_GOSSIP_HINTS_MAX;
	if (g->hint_count < CAROB_GOSSIP_HINTS_MAX)
		g->hint_count++;
}

void carob_gossip_set_key_serial(carob_gossip_t *g, uint32_t serial)
{
	g->key_serial = serial;
}

bool carob_gossip_joined(const carob_gossip_t *g)
{
	return g->sync.joined;
}

size_t carob_gossip_links(carob_control_peer_t *out, size_t cap,
			  const carob_gossip_t *g)
{
	size_t count = g->links.count < cap ? g->links.count : cap;

	for (size_t i = 0; i < count; i++)
		out[i] = g->links.links[i].peer;
	return count;
}

void carob_gossip_counters(carob_gossip_counters_t *out,
			   const carob_gossip_t *g)
{
	*out = g->counters;
}

size_t carob_gossip_memory_bytes(const carob_gossip_t *g)
{
	return sizeof(*g) + g->seed_count * sizeof(g->seeds[0]) +
	       g->update_queue.cap * sizeof(g->update_queue.updates[0]);
}
