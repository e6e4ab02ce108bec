#include "simulation.h"

#include <stdlib.h>
#include <utlist.h>

#define CALLER_LATENCY_NS (3 * CAROB_NS_PER_MS)
#define ZONE_LATENCY_NS	  (1500 * CAROB_NS_PER_US)
#define LOCAL_LATENCY_NS  (200 * CAROB_NS_PER_US)
#define LATENCY_JITTER	  0.2
#define REORDER_DELAY_NS  (20 * CAROB_NS_PER_MS)

packet_t *packet_new(simulation_t *sim, packet_kind_t kind)
{
	packet_t *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->sim = sim;
	p->kind = kind;
	DL_APPEND2(sim->packets, p, in_flight_prev, in_flight_next);
	return p;
}

void packet_free(packet_t *p)
{
	carob_timer_cancel(p->sim->kernel, &p->timer);
	DL_DELETE2(p->sim->packets, p, in_flight_prev, in_flight_next);
	free(p->msg);
	if (p->manifest)
		carob_manifest_free(p->manifest);
	carob_buf_dispose(&p->records);
	free(p);
}

static void on_arrival(carob_timer_t *timer)
{
	packet_t *p = CAROB_CONTAINER_OF(timer, packet_t, timer);
	simulation_t *sim = p->sim;

	switch (p->kind) {
	case PACKET_TO_CALLER:
		caller_deliver(sim, p);
		break;
	case PACKET_TO_HOST:
		host_deliver(sim->hosts[p->host], p);
		break;
	default:
		instance_deliver(sim->instances[p->instance], p);
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
	packet_t *copy = packet_new(p->sim, p->kind);
	packet_t *prev = copy->in_flight_prev;
	carob_msg_t msg;

	*copy = *p;
	copy->in_flight_prev = prev;
	copy->in_flight_next = NULL;
	copy->timer = (carob_timer_t){0};
	copy->msg = NULL;
	if (p->msg && carob_msg_unpack(&msg, p->msg->bytes, p->msg->len) == 0)
		copy->msg = carob_msg_pack(&msg);
	return copy;
}

static void schedule(packet_t *p, uint64_t latency_ns)
{
	simulation_t *sim = p->sim;
	double jitter = 1.0 + LATENCY_JITTER * carob_rng_unit(&sim->rng);
	uint64_t due = simulation_now(sim) + (uint64_t)(latency_ns * jitter);

	if (is_datagram(p) && carob_rng_unit(&sim->rng) < sim->faults.reorder)
		due += REORDER_DELAY_NS;
	p->timer.fire = on_arrival;
	carob_timer_arm(sim->kernel, &p->timer, due);
}

static uint64_t latency(int from_zone, int to_zone)
{
	if (from_zone == NO_ZONE || to_zone == NO_ZONE)
		return CALLER_LATENCY_NS;
	return from_zone == to_zone ? LOCAL_LATENCY_NS : ZONE_LATENCY_NS;
}

static bool is_cut(const simulation_t *sim, int from_zone, int to_zone)
{
	return from_zone != NO_ZONE && to_zone != NO_ZONE &&
	       sim->zone_cut[from_zone][to_zone];
}

void network_send(packet_t *p, int from_zone, int to_zone)
{
	simulation_t *sim = p->sim;
	uint64_t ns = latency(from_zone, to_zone);

	if (is_cut(sim, from_zone, to_zone) ||
	    (is_datagram(p) && carob_rng_unit(&sim->rng) < sim->faults.loss)) {
		packet_free(p);
		return;
	}
	if (is_datagram(p) && carob_rng_unit(&sim->rng) < sim->faults.duplicate)
		schedule(copy_packet(p), ns);
	schedule(p, ns);
}
