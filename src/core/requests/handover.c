#include "core/requests/handover.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "core/requests/handover_receiver.h"

#include <stdlib.h>
#include <string.h>

#define STEP_PERIOD_NS (50 * CAROB_NS_PER_MS)
/* Maximum number of parts that are sent and not acknowledged yet. */
#define WINDOW_PARTS	 4
#define RESEND_PERIOD_NS (500 * CAROB_NS_PER_MS)
/* Time without a new acknowledgement after which the successor has failed. */
#define PROGRESS_TIMEOUT_NS (4 * CAROB_NS_PER_S)
/*
 * Neighbours that must acknowledge LEFT before the process ends, and the time
 * after which it ends without their acknowledgements.
 */
#define LEFT_ACKS_REQUIRED 2
#define LEFT_TIMEOUT_NS	   (3 * CAROB_NS_PER_S)
#define TRIED_MAX	   8

typedef enum handover_state {
	HANDOVER_IDLE,
	HANDOVER_DRAINING, /* waiting for the request path to drain */
	HANDOVER_SENDING,  /* sending the request records */
	HANDOVER_LEFT,	   /* waiting for neighbours to acknowledge LEFT */
	HANDOVER_COMPLETE,
} handover_state_t;

struct carob_handover {
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_gossip_t *gossip;
	carob_control_port_t *port;
	carob_cluster_host_t *host;
	carob_cluster_mutation_t mutation;
	carob_timer_t step;
	handover_state_t state;
	uint64_t state_ns;	       /* time of the last state change */
	carob_instance_id_t successor; /* id 0: none */
	carob_instance_id_t tried[TRIED_MAX]; /* successors that failed */
	size_t tried_count;
	carob_buf_t records;   /* exported request records */
	uint32_t acknowledged; /* bytes acknowledged by the successor */
	uint32_t sent;	       /* bytes sent, from the start of the records */
	bool last_part_sent;   /* the successor may have all records */
	uint64_t progress_ns;  /* time of the last new acknowledgement */
	uint64_t sent_ns;      /* time of the last part sent */
	carob_handover_receiver_t receiver;
	carob_handover_counters_t counters;
};

static uint64_t now_of(const carob_handover_t *h)
{
	return carob_kernel_now_ns(h->kernel);
}

static const carob_member_t *self_of(const carob_handover_t *h)
{
	return carob_membership_self(h->membership);
}

static void enter_state(carob_handover_t *h, handover_state_t state)
{
	h->state = state;
	h->state_ns = now_of(h);
	h->progress_ns = h->state_ns;
}

static bool was_tried(const carob_handover_t *h, carob_instance_id_t id)
{
	for (size_t i = 0; i < h->tried_count; i++)
		if (carob_instance_id_eq(h->tried[i], id))
			return true;
	return false;
}

/*
 * Chooses the instance with the lowest hash. The hash also depends on the
 * leaving instance, which spreads several leaving instances over the others.
 */
static carob_instance_id_t find_successor(const carob_handover_t *h,
					  bool same_zone)
{
	const carob_member_t *self = self_of(h);
	carob_instance_id_t best = {0, 0};
	uint64_t best_score = UINT64_MAX;
	const carob_member_t *const *alive;
	size_t count;

	alive = carob_membership_alive(h->membership, &count);
	for (size_t i = 0; i < count; i++) {
		uint64_t score = carob_hash_u64(
			(uint64_t)self->id.incarnation << 32 | alive[i]->id.id);

		if (alive[i] == self || was_tried(h, alive[i]->id) ||
		    score >= best_score ||
		    (same_zone &&
		     strcmp(alive[i]->zone.name, self->zone.name) != 0))
			continue;
		best_score = score;
		best = alive[i]->id;
	}
	return best;
}

/* Chooses and announces a successor, preferably in this instance's zone. */
static void choose_successor(carob_handover_t *h)
{
	carob_cluster_host_t *host = h->host;

	if (h->successor.id != 0 && h->tried_count < TRIED_MAX)
		h->tried[h->tried_count++] = h->successor;
	h->successor = find_successor(h, true);
	if (h->successor.id == 0)
		h->successor = find_successor(h, false);
	h->counters.successors++;
	carob_membership_set_self(h->membership, CAROB_MEMBER_LEAVING,
				  h->successor);
	carob_gossip_announce(h->gossip);
	if (host->ops->drain)
		host->ops->drain(host, h->successor);
}

static bool successor_is_usable(const carob_handover_t *h)
{
	const carob_member_t *member =
		carob_membership_find(h->membership, h->successor);

	return member && member->state == CAROB_MEMBER_ALIVE &&
	       carob_membership_is_reachable(h->membership, h->successor);
}

/*
 * Announces LEFT. The successor is only named if it may have taken over the
 * request records.
 */
static void announce_left(carob_handover_t *h, bool handed_over)
{
	carob_instance_id_t none = {0, 0};

	if (!handed_over && !h->last_part_sent)
		h->successor = none;
	CAROB_LOG(handed_over ? CAROB_EV_HANDOVER_DONE
			      : CAROB_EV_HANDOVER_FAILED,
		  CAROB_FIELD_U64("successor", h->successor.id),
		  CAROB_FIELD_U64("bytes", (uint64_t)h->records.len));
	carob_membership_set_self(h->membership, CAROB_MEMBER_LEFT,
				  h->successor);
	carob_gossip_announce(h->gossip);
	enter_state(h, HANDOVER_LEFT);
}

static void restart_sending(carob_handover_t *h)
{
	h->sent = 0;
	h->acknowledged = 0;
	h->last_part_sent = false;
	enter_state(h, HANDOVER_SENDING);
}

static void step_draining(carob_handover_t *h)
{
	carob_cluster_host_t *host = h->host;

	if (h->successor.id == 0 || !successor_is_usable(h)) {
		carob_instance_id_t other = find_successor(h, false);

		if (h->successor.id != 0 || other.id != 0)
			choose_successor(h);
	}
	if (host->ops->drained && !host->ops->drained(host))
		return;
	if (host->ops->export_records &&
	    host->ops->export_records(host, &h->records) != 0) {
		announce_left(h, false);
		return;
	}
	if (h->successor.id == 0)
		announce_left(h, false);
	else
		restart_sending(h);
}

static void send_part(carob_handover_t *h, uint32_t offset)
{
	const carob_member_t *successor =
		carob_membership_find(h->membership, h->successor);
	carob_control_msg_t msg = {.type = CAROB_CONTROL_RECORDS_TRANSFER};
	carob_control_peer_t peer = {.id = h->successor};
	uint32_t total = (uint32_t)h->records.len;
	uint32_t len = total - offset;

	if (len > CAROB_CONTROL_CHUNK_MAX)
		len = CAROB_CONTROL_CHUNK_MAX;
	if (successor)
		peer.addr = successor->control_addr;
	msg.from = self_of(h)->id;
	msg.records = (carob_control_records_t){
		.predecessor = msg.from,
		.offset = offset,
		.total = total,
		.bytes = {len ? h->records.ptr + offset : "", len},
	};
	h->sent = offset + len;
	h->last_part_sent |= h->sent == total;
	h->sent_ns = now_of(h);
	h->counters.bytes_sent += len;
	h->port->ops->send(h->port, &peer, &msg);
}

static void fill_window(carob_handover_t *h)
{
	uint32_t total = (uint32_t)h->records.len;
	uint32_t window = WINDOW_PARTS * CAROB_CONTROL_CHUNK_MAX;

	if (total == 0 && !h->last_part_sent)
		send_part(h, 0);
	while (h->sent < total && h->sent < h->acknowledged + window)
		send_part(h, h->sent);
}

/*
 * After the last part was sent the successor must not change: two successors
 * with all records could run the same request twice.
 */
static bool may_change_successor(const carob_handover_t *h)
{
	return !h->last_part_sent ||
	       h->mutation == CAROB_CLUSTER_MUTATION_SECOND_SUCCESSOR;
}

static void replace_successor(carob_handover_t *h)
{
	if (!may_change_successor(h)) {
		announce_left(h, false);
		return;
	}
	choose_successor(h);
	if (h->successor.id == 0)
		announce_left(h, false);
	else
		restart_sending(h);
}

static void step_sending(carob_handover_t *h)
{
	uint64_t now = now_of(h);

	if (!successor_is_usable(h) ||
	    now - h->progress_ns >= PROGRESS_TIMEOUT_NS) {
		replace_successor(h);
		return;
	}
	if (h->sent > 0 || h->last_part_sent) {
		if (now - h->sent_ns < RESEND_PERIOD_NS)
			return;
		h->sent = h->acknowledged;
		send_part(h, h->sent);
	}
	fill_window(h);
}

static void step_left(carob_handover_t *h)
{
	size_t links;
	size_t acknowledged = carob_gossip_acknowledged(h->gossip, &links);
	size_t required = links < LEFT_ACKS_REQUIRED ? links
						     : LEFT_ACKS_REQUIRED;

	if (acknowledged < required &&
	    now_of(h) - h->state_ns < LEFT_TIMEOUT_NS &&
	    h->mutation != CAROB_CLUSTER_MUTATION_LEAVE_AT_ONCE)
		return;
	enter_state(h, HANDOVER_COMPLETE);
	if (h->host->ops->left)
		h->host->ops->left(h->host);
}

static void on_step(carob_timer_t *timer)
{
	carob_handover_t *h = CAROB_CONTAINER_OF(timer, carob_handover_t, step);

	if (h->state == HANDOVER_DRAINING)
		step_draining(h);
	else if (h->state == HANDOVER_SENDING)
		step_sending(h);
	else if (h->state == HANDOVER_LEFT)
		step_left(h);
	if (h->state != HANDOVER_COMPLETE)
		carob_timer_arm(h->kernel, timer, now_of(h) + STEP_PERIOD_NS);
}

int carob_handover_new(carob_handover_t **out,
		       const carob_handover_options_t *options)
{
	carob_handover_t *h = calloc(1, sizeof(*h));

	if (!h)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the handover");
	h->kernel = options->kernel;
	h->membership = options->membership;
	h->gossip = options->gossip;
	h->port = options->port;
	h->host = options->host;
	h->mutation = options->mutation;
	h->step.fire = on_step;
	*out = h;
	return 0;
}

void carob_handover_free(carob_handover_t *h)
{
	if (!h)
		return;
	carob_timer_cancel(h->kernel, &h->step);
	carob_handover_receiver_dispose(&h->receiver);
	carob_buf_dispose(&h->records);
	free(h);
}

void carob_handover_begin(carob_handover_t *h)
{
	if (h->state != HANDOVER_IDLE)
		return;
	enter_state(h, HANDOVER_DRAINING);
	choose_successor(h);
	carob_timer_arm(h->kernel, &h->step, now_of(h) + STEP_PERIOD_NS);
}

bool carob_handover_complete(const carob_handover_t *h)
{
	return h->state == HANDOVER_COMPLETE;
}

static void on_transfer(carob_handover_t *h, const carob_control_msg_t *msg)
{
	carob_control_msg_t ack = {.type = CAROB_CONTROL_RECORDS_ACK};
	const carob_member_t *member =
		carob_membership_find(h->membership, msg->from);
	carob_control_peer_t peer = {.id = msg->from};

	if (h->state != HANDOVER_IDLE ||
	    !carob_instance_id_eq(msg->from, msg->records.predecessor) ||
	    carob_handover_receive(&ack.records, &h->receiver, h->host,
				   &msg->records, now_of(h)) != 0) {
		h->counters.refused++;
		return;
	}
	h->counters.bytes_received += msg->records.bytes.len;
	if (ack.records.done)
		h->counters.taken_over++;
	if (member)
		peer.addr = member->control_addr;
	ack.from = self_of(h)->id;
	h->port->ops->send(h->port, &peer, &ack);
}

static void on_ack(carob_handover_t *h, const carob_control_msg_t *msg)
{
	const carob_control_records_t *ack = &msg->records;

	if (h->state != HANDOVER_SENDING ||
	    !carob_instance_id_eq(msg->from, h->successor) ||
	    !carob_instance_id_eq(ack->predecessor, self_of(h)->id) ||
	    ack->total != h->records.len || ack->offset > h->sent) {
		h->counters.refused++;
		return;
	}
	if (ack->offset > h->acknowledged) {
		h->acknowledged = ack->offset;
		h->progress_ns = now_of(h);
	}
	if (ack->done)
		announce_left(h, true);
	else
		fill_window(h);
}

void carob_handover_on_message(carob_handover_t *h,
			       const carob_control_msg_t *msg)
{
	if (msg->type == CAROB_CONTROL_RECORDS_TRANSFER)
		on_transfer(h, msg);
	else
		on_ack(h, msg);
}

void carob_handover_counters(carob_handover_counters_t *out,
			     const carob_handover_t *h)
{
	*out = h->counters;
}
