#include "world.h"

#include <stdlib.h>
#include <utlist.h>

#define CALLER_LATENCY_NS (3 * CAROB_NS_PER_MS)
#define ZONE_LATENCY_NS	  (1500 * CAROB_NS_PER_US)
#define LOCAL_LATENCY_NS  (200 * CAROB_NS_PER_US)
#define LATENCY_JITTER	  0.2
#define REORDER_DELAY_NS  (20 * CAROB_NS_PER_MS)

packet_t *packet_new(world_t *w, packet_kind_t kind)
{
	packet_t *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->world = w;
	p->kind = kind;
	DL_APPEND2(w->packets, p, under_way_prev, under_way_next);
	return p;
}

void packet_free(packet_t *p)
{
	carob_timer_cancel(p->world->kernel, &p->timer);
	DL_DELETE2(p->world->packets, p, under_way_prev, under_way_next);
	free(p->msg);
	if (p->manifest)
		carob_manifest_free(p->manifest);
	carob_buf_dispose(&p->records);
	free(p);
}

static void arrive(carob_timer_t *timer)
{
	packet_t *p = CAROB_CONTAINER_OF(timer, packet_t, timer);
	world_t *w = p->world;

	switch (p->kind) {
	case PACKET_TO_CALLER:
		caller_deliver(w, p);
		break;
	case PACKET_TO_HOST:
		host_deliver(w->hosts[p->host], p);
		break;
	default:
		instance_deliver(w->instances[p->instance], p);
		break;
	}
}

/*
 * Only datagrams are lost, duplicated or reordered. Control messages go over
 * connections, which retransmit what is lost.
 */
static bool is_datagram(const packet_t *p)
{
	return p->kind <= PACKET_RELAY;
}

static packet_t *copy_packet(const packet_t *p)
{
	packet_t *copy = packet_new(p->world, p->kind);
	packet_t *prev = copy->under_way_prev;
	carob_msg_t msg;

	*copy = *p;
	copy->under_way_prev = prev;
	copy->under_way_next = NULL;
	copy->timer = (carob_timer_t){0};
	copy->msg = NULL;
	if (p->msg && carob_msg_unpack(&msg, p->msg->bytes, p->msg->len) == 0)
		copy->msg = carob_msg_pack(&msg);
	return copy;
}

static void schedule(packet_t *p, uint64_t latency_ns)
{
	world_t *w = p->world;
	double jitter = 1.0 + LATENCY_JITTER * carob_rng_unit(&w->rng);
	uint64_t due = world_now(w) + (uint64_t)(latency_ns * jitter);

	if (is_datagram(p) && carob_rng_unit(&w->rng) < w->faults.reorder)
		due += REORDER_DELAY_NS;
	p->timer.fire = arrive;
	carob_timer_arm(w->kernel, &p->timer, due);
}

static uint64_t latency(int from_zone, int to_zone)
{
	if (from_zone == NO_ZONE || to_zone == NO_ZONE)
		return CALLER_LATENCY_NS;
	return from_zone == to_zone ? LOCAL_LATENCY_NS : ZONE_LATENCY_NS;
}

static bool is_cut(const world_t *w, int from_zone, int to_zone)
{
	return from_zone != NO_ZONE && to_zone != NO_ZONE &&
	       w->zone_cut[from_zone][to_zone];
}

void network_send(packet_t *p, int from_zone, int to_zone)
{
	world_t *w = p->world;
	uint64_t ns = latency(from_zone, to_zone);

	if (is_cut(w, from_zone, to_zone) ||
	    (is_datagram(p) && carob_rng_unit(&w->rng) < w->faults.loss)) {
		packet_free(p);
		return;
	}
	if (is_datagram(p) && carob_rng_unit(&w->rng) < w->faults.duplicate)
		schedule(copy_packet(p), ns);
	schedule(p, ns);
}
