#include "core/manifest/manifest_sync_state.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <stdio.h>
#include <string.h>

#define REPLY_TIMEOUT_NS CAROB_NS_PER_S

/* Peers notified of a new generation, in this instance's and other zones. */
#define ANNOUNCE_OWN_ZONE    4
#define ANNOUNCE_OTHER_ZONES 2

/* Random draws of members after which an announcement stops. */
#define ANNOUNCE_DRAWS 64

/* Size and refill rate of the token bucket for sending whole manifests. */
#define WHOLE_BUDGET_BYTES (4 * 1024 * 1024)
#define WHOLE_BYTES_PER_S  4096

#define PEER_NAME_TEXT_BYTES 48

static void send_message(carob_manifest_sync_t *sync,
			 const carob_control_peer_t *to,
			 carob_control_type_t type,
			 const carob_control_manifest_t *manifest)
{
	carob_control_port_t *port = sync->options.port;
	carob_control_msg_t msg = {.type = type, .manifest = *manifest};

	if (!port)
		return;
	msg.from = carob_membership_self(sync->options.membership)->id;
	port->ops->send(port, to, &msg);
}

/*
 * Sends an announcement to up to `peers_max` distinct random members, either
 * in the zone of this instance or in other zones.
 */
static void announce_to(carob_manifest_sync_t *sync, bool own_zone,
			unsigned int peers_max,
			const carob_control_manifest_t *announcement)
{
	const carob_membership_t *membership = sync->options.membership;
	const carob_member_t *self = carob_membership_self(membership);
	const carob_member_t *notified[ANNOUNCE_OWN_ZONE + ANNOUNCE_OTHER_ZONES];
	const carob_member_t *const *members;
	unsigned int notified_count = 0;
	size_t count;

	members = carob_membership_alive(membership, &count);
	for (int draw = 0; draw < ANNOUNCE_DRAWS && notified_count < peers_max;
	     draw++) {
		const carob_member_t *member =
			members[carob_rng_below(&sync->rng, (uint32_t)count)];
		carob_control_peer_t peer = {member->id, member->control_addr};
		bool in_own_zone = strcmp(member->zone.name, self->zone.name) ==
				   0;
		bool skip = carob_instance_id_eq(member->id, self->id);

		for (unsigned int i = 0; i < notified_count; i++)
			skip |= notified[i] == member;
		if (skip || in_own_zone != own_zone)
			continue;
		notified[notified_count++] = member;
		send_message(sync, &peer, CAROB_CONTROL_MANIFEST_AVAILABLE,
			     announcement);
	}
}

void carob_sync_announce(carob_manifest_sync_t *sync)
{
	const carob_generation_t *current =
		carob_manifest_store_current(sync->options.store);
	carob_control_manifest_t announcement = {.generation = current->number};
	size_t count;

	(void)carob_membership_alive(sync->options.membership, &count);
	if (count == 0)
		return;
	memcpy(announcement.publish_id, current->publish_id.bytes,
	       sizeof(announcement.publish_id));
	announce_to(sync, true, ANNOUNCE_OWN_ZONE, &announcement);
	announce_to(sync, false, ANNOUNCE_OTHER_ZONES, &announcement);
}

static void remove_candidate(carob_manifest_sync_t *sync, size_t i)
{
	sync->candidates[i] = sync->candidates[--sync->candidate_count];
}

/* Removes peers whose generation is not higher than the one in force. */
static void drop_outdated_candidates(carob_manifest_sync_t *sync)
{
	uint64_t current = carob_sync_current(sync);
	size_t i = 0;

	while (i < sync->candidate_count) {
		if (sync->candidates[i].generation <= current)
			remove_candidate(sync, i);
		else
			i++;
	}
}

/* Adds a peer, or raises its generation; replaces a random one if full. */
static void add_candidate(carob_manifest_sync_t *sync,
			  const carob_control_peer_t *peer, uint64_t generation)
{
	sync_candidate_t candidate = {*peer, generation};

	for (size_t i = 0; i < sync->candidate_count; i++) {
		if (!carob_instance_id_eq(sync->candidates[i].peer.id,
					  peer->id))
			continue;
		if (sync->candidates[i].generation < generation)
			sync->candidates[i] = candidate;
		return;
	}
	if (sync->candidate_count < CAROB_SYNC_CANDIDATES_MAX)
		sync->candidates[sync->candidate_count++] = candidate;
	else
		sync->candidates[carob_rng_below(
			&sync->rng, CAROB_SYNC_CANDIDATES_MAX)] = candidate;
}

static void on_reply_timeout(carob_timer_t *timer)
{
	carob_manifest_sync_t *sync =
		CAROB_CONTAINER_OF(timer, carob_manifest_sync_t, reply_timer);

	sync->request_pending = false;
	carob_sync_review_peers(sync);
}

/*
 * Removes and returns the candidate with the highest generation. A peer is
 * thus sent one request for each generation that it reports.
 */
static sync_candidate_t pop_best_candidate(carob_manifest_sync_t *sync)
{
	sync_candidate_t best;
	size_t best_index = 0;

	for (size_t i = 1; i < sync->candidate_count; i++)
		if (sync->candidates[i].generation >
		    sync->candidates[best_index].generation)
			best_index = i;
	best = sync->candidates[best_index];
	remove_candidate(sync, best_index);
	return best;
}

void carob_sync_review_peers(carob_manifest_sync_t *sync)
{
	carob_control_manifest_t request = {0};

	drop_outdated_candidates(sync);
	if (sync->request_pending || sync->candidate_count == 0)
		return;
	sync->request_peer = pop_best_candidate(sync);
	sync->request_pending = true;
	request.generation = sync->request_peer.generation;
	request.base = sync->whole_needed ? 0 : carob_sync_current(sync);
	sync->counters.peer_requests++;
	send_message(sync, &sync->request_peer.peer,
		     CAROB_CONTROL_MANIFEST_REQUEST, &request);
	sync->reply_timer.fire = on_reply_timeout;
	(void)carob_timer_arm(sync->options.kernel, &sync->reply_timer,
			      carob_kernel_now_ns(sync->options.kernel) +
				      REPLY_TIMEOUT_NS);
}

void carob_manifest_sync_on_peer_generation(carob_manifest_sync_t *sync,
					    const carob_control_peer_t *peer,
					    uint64_t generation)
{
	if (generation <= carob_sync_current(sync) || peer->id.id == 0)
		return;
	add_candidate(sync, peer, generation);
	carob_sync_review_peers(sync);
}

static int parse_reply(carob_manifest_t **out, carob_manifest_sync_t *sync,
		       const carob_control_peer_t *peer,
		       const carob_control_manifest_t *reply)
{
	const carob_generation_t *current =
		carob_manifest_store_current(sync->options.store);
	char source[PEER_NAME_TEXT_BYTES];

	(void)snprintf(source, sizeof(source), "instance %u", peer->id.id);
	if (reply->base == 0)
		return carob_manifest_parse(out, source, reply->bytes);
	if (!current->manifest || reply->base != current->number)
		return carob_error_set(CAROB_EMISMATCH,
				       "%s: a delta from generation %llu, "
				       "which is not in force",
				       source, (unsigned long long)reply->base);
	return carob_manifest_patch(out, current->manifest, source,
				    reply->bytes);
}

static void on_reply(carob_manifest_sync_t *sync,
		     const carob_control_peer_t *peer,
		     const carob_control_manifest_t *reply)
{
	sync_arrival_t arrival = {.generation = {.number = reply->generation},
				  .from_peer = true};
	int result;

	if (!sync->request_pending ||
	    !carob_instance_id_eq(peer->id, sync->request_peer.peer.id))
		return;
	sync->request_pending = false;
	carob_timer_cancel(sync->options.kernel, &sync->reply_timer);
	if (reply->generation <= carob_sync_current(sync)) {
		carob_sync_review_peers(sync);
		return;
	}
	memcpy(arrival.generation.publish_id.bytes, reply->publish_id,
	       sizeof(reply->publish_id));
	if (reply->base != 0)
		arrival.delta = reply->bytes;
	result = parse_reply(&arrival.generation.manifest, sync, peer, reply);
	if (result == 0)
		result = carob_sync_apply(sync, &arrival);
	else
		sync->counters.refused++;
	carob_manifest_free(arrival.generation.manifest);
	sync->whole_needed = result != 0 && reply->base != 0;
	/*
	 * The peer stays a candidate if the reply was a step to a later
	 * generation, or if the delta failed and the whole manifest is needed.
	 */
	if (result == 0 || sync->whole_needed)
		add_candidate(sync, peer, sync->request_peer.generation);
	carob_sync_review_peers(sync);
}

/* Refills the token bucket for sending whole manifests. */
static void refill_budget(carob_manifest_sync_t *sync)
{
	uint64_t now = carob_kernel_now_ns(sync->options.kernel);
	uint64_t gained =
		(now - sync->budget_ns) / CAROB_NS_PER_S * WHOLE_BYTES_PER_S;

	if (sync->budget_ns == 0)
		gained = WHOLE_BUDGET_BYTES;
	else if (gained == 0)
		return;
	sync->budget_ns = now;
	sync->budget_bytes += gained;
	if (sync->budget_bytes > WHOLE_BUDGET_BYTES)
		sync->budget_bytes = WHOLE_BUDGET_BYTES;
}

static void send_reply(carob_manifest_sync_t *sync,
		       const carob_control_peer_t *to,
		       const carob_control_manifest_t *reply)
{
	sync->counters.peer_replies++;
	sync->counters.peer_reply_bytes += reply->bytes.len;
	send_message(sync, to, CAROB_CONTROL_MANIFEST_REPLY, reply);
}

/* Sends the whole manifest in force, or nothing if the budget is used up. */
static void send_whole(carob_manifest_sync_t *sync,
		       const carob_control_peer_t *to)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	const carob_generation_t *current =
		carob_manifest_store_current(sync->options.store);
	carob_control_manifest_t reply = {.generation = current->number};

	refill_budget(sync);
	if (carob_manifest_format(&text, current->manifest) != 0 ||
	    text.len > sync->budget_bytes)
		return;
	sync->budget_bytes -= text.len;
	memcpy(reply.publish_id, current->publish_id.bytes,
	       sizeof(reply.publish_id));
	reply.bytes = carob_buf_view(&text);
	send_reply(sync, to, &reply);
}

static void on_request(carob_manifest_sync_t *sync,
		       const carob_control_peer_t *peer,
		       const carob_control_manifest_t *request)
{
	const carob_delta_t *delta =
		request->base > 0
			? carob_delta_log_find(&sync->deltas, request->base)
			: NULL;
	carob_control_manifest_t reply = {0};

	if (carob_sync_current(sync) <= request->base)
		return;
	if (!delta) {
		send_whole(sync, peer);
		return;
	}
	reply.generation = delta->to;
	reply.base = delta->from;
	memcpy(reply.publish_id, delta->publish_id.bytes,
	       sizeof(reply.publish_id));
	reply.bytes = carob_buf_view(&delta->text);
	send_reply(sync, peer, &reply);
}

void carob_manifest_sync_on_message(carob_manifest_sync_t *sync,
				    const carob_control_peer_t *peer,
				    const carob_control_msg_t *msg)
{
	if (msg->type == CAROB_CONTROL_MANIFEST_AVAILABLE)
		carob_manifest_sync_on_peer_generation(
			sync, peer, msg->manifest.generation);
	else if (msg->type == CAROB_CONTROL_MANIFEST_REQUEST)
		on_request(sync, peer, &msg->manifest);
	else if (msg->type == CAROB_CONTROL_MANIFEST_REPLY)
		on_reply(sync, peer, &msg->manifest);
}
