#include "core/membership/gossip_internal.h"

#include <string.h>

static void record_link_contact(carob_gossip_t *g, carob_link_t *link)
{
	uint64_t now = carob_gossip_now(g);

	if (link->unanswered > 0 && link->kind != CAROB_LINK_FINGER)
		link->due_ns = now + CAROB_HEARTBEAT_NS;
	link->last_message_ns = now;
	link->unanswered = 0;
	link->indirect_successes = 0;
	link->suspicion = (carob_suspicion_t){.active = false};
	carob_gossip_set_reachable(g, link->peer.id, true);
}

static void record_contact(carob_gossip_t *g, const carob_control_msg_t *msg)
{
	const carob_member_t *member =
		carob_membership_find(g->membership, msg->from);
	carob_link_t *link = carob_links_find(&g->links, msg->from);

	if (link)
		record_link_contact(g, link);
	else
		carob_gossip_set_reachable(g, msg->from, true);
	if (member &&
	    strcmp(member->zone.name, carob_gossip_self(g)->zone.name) != 0)
		carob_zone_contacts_record(&g->zones, &member->zone,
					   carob_gossip_now(g));
	carob_gossip_complete_probes(g, msg->from);
}

/*
 * A member that is dead in this instance's table but sends messages is sent
 * the report of its death, so that it can refute it.
 */
static void report_death(carob_gossip_t *g, carob_instance_id_t id)
{
	const carob_member_t *member = carob_membership_find(g->membership, id);
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MEMBER_UPDATES};
	carob_control_peer_t peer = carob_gossip_peer(g, id);

	if (!member || member->state != CAROB_MEMBER_DEAD)
		return;
	msg.members.member_count = 1;
	msg.members.members = member;
	carob_gossip_send(g, &peer, &msg);
}

static void merge_members(carob_gossip_t *g, const carob_member_t *members,
			  size_t count, carob_instance_id_t source)
{
	for (size_t i = 0; i < count; i++)
		carob_gossip_learn(g, &members[i], source,
				   CAROB_UPDATE_DISSEMINATE);
}

static void merge_zone_ages(carob_gossip_t *g,
			    const carob_control_heartbeat_t *body)
{
	const carob_zone_t *own_zone = &carob_gossip_self(g)->zone;
	uint64_t now = carob_gossip_now(g);

	for (size_t i = 0; i < body->zone_count; i++) {
		uint64_t age = body->zones[i].age_ms * CAROB_NS_PER_MS;

		if (age < now &&
		    strcmp(own_zone->name, body->zones[i].zone.name) != 0)
			carob_zone_contacts_record(
				&g->zones, &body->zones[i].zone, now - age);
	}
}

static void on_heartbeat(carob_gossip_t *g, const carob_control_msg_t *msg)
{
	carob_control_peer_t peer = carob_gossip_peer(g, msg->from);

	merge_zone_ages(g, &msg->heartbeat);
	carob_gossip_send_heartbeat(g, &peer, CAROB_CONTROL_HEARTBEAT_ACK,
				    msg->heartbeat.seq, NULL);
	report_death(g, msg->from);
}

static void on_heartbeat_ack(carob_gossip_t *g, const carob_control_msg_t *msg)
{
	carob_link_t *link = carob_links_find(&g->links, msg->from);

	if (!link)
		return;
	if ((int32_t)(msg->heartbeat.seq - link->announced_seq) >= 0)
		link->acknowledged_revision = link->announced_revision;
}

static void on_heartbeat_or_ack(carob_gossip_t *g,
				const carob_control_msg_t *msg)
{
	const carob_control_heartbeat_t *body = &msg->heartbeat;
	carob_control_peer_t peer;

	merge_members(g, body->members, body->member_count, msg->from);
	carob_membership_record_generation(g->membership, msg->from,
					   body->generation);
	if (msg->type == CAROB_CONTROL_HEARTBEAT)
		on_heartbeat(g, msg);
	else
		on_heartbeat_ack(g, msg);
	carob_gossip_sync_compare(g, msg);
	peer = carob_gossip_peer(g, msg->from);
	if (g->listener && g->listener->ops->peer_versions)
		g->listener->ops->peer_versions(
			g->listener, &peer, body->generation, body->key_serial);
}

bool carob_gossip_on_message(carob_gossip_t *g, const carob_control_msg_t *msg)
{
	if (msg->type > CAROB_CONTROL_CHECK_REPLY)
		return false;
	if (msg->from.id == 0 ||
	    carob_instance_id_eq(msg->from, carob_gossip_self(g)->id)) {
		g->counters.unexpected++;
		return true;
	}
	carob_gossip_detect_pause(g);
	record_contact(g, msg);
	switch (msg->type) {
	case CAROB_CONTROL_HEARTBEAT:
	case CAROB_CONTROL_HEARTBEAT_ACK:
		on_heartbeat_or_ack(g, msg);
		break;
	case CAROB_CONTROL_MEMBER_UPDATES:
		merge_members(g, msg->members.members,
			      msg->members.member_count, msg->from);
		break;
	case CAROB_CONTROL_MEMBER_PULL:
		carob_gossip_on_pull(g, msg);
		break;
	case CAROB_CONTROL_MEMBER_TABLE:
		carob_gossip_on_table(g, msg);
		break;
	case CAROB_CONTROL_CHECK_REQUEST:
		carob_gossip_on_check_request(g, msg);
		break;
	default:
		carob_gossip_on_check_reply(g, msg);
		break;
	}
	return true;
}
