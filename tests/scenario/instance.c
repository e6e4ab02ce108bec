#include "simulation.h"

#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_NS	     (200 * CAROB_NS_PER_MS)
#define UNREACHABLE_NS	     (1 * CAROB_NS_PER_S)
#define DEAD_NS		     (3 * CAROB_NS_PER_S)
#define RELAY_AFTER_LEAVE_NS (20 * CAROB_NS_PER_S)
#define READY_NS	     (300 * CAROB_NS_PER_MS)
#define SOCKET_PACKETS_MAX   2000
#define SUMMARIES_MAX	     8

static instance_t *instance_of_port(carob_entry_port_t *port)
{
	return CAROB_CONTAINER_OF(port, instance_t, port);
}

static void to_caller(carob_entry_port_t *port, uint32_t service_id,
		      const carob_addr_t *caller, const carob_msg_t *msg)
{
	instance_t *in = instance_of_port(port);
	packet_t *p = packet_new(in->sim, PACKET_TO_CALLER);

	p->service_id = service_id;
	p->addr = *caller;
	p->msg = carob_msg_pack(msg);
	network_send(p, in->zone, NO_ZONE);
}

/*
 * Returns whether all packets of the path are lost, as when a device between
 * instance and host has lost its state of the connection.
 */
static bool path_is_silent(const instance_t *in, const host_t *h, uint32_t path)
{
	return in->silent_path_host == h->index + 1 &&
	       path < in->silent_path_below;
}

static void to_upstream(carob_entry_port_t *port,
			const carob_manifest_upstream_t *upstream,
			uint32_t path, const carob_msg_t *msg)
{
	instance_t *in = instance_of_port(port);
	host_t *h = host_find_by_addr(in->sim, &upstream->addr);
	packet_t *p;

	if (path > in->newest_path)
		in->newest_path = path;
	if (!h || path_is_silent(in, h, path))
		return;
	p = packet_new(in->sim, PACKET_TO_HOST);
	p->host = h->index;
	p->from = in->index;
	p->receiver_incarnation = in->id.incarnation;
	p->path = path;
	p->msg = carob_msg_pack(msg);
	network_send(p, in->zone, h->zone);
}

static void close_path(carob_entry_port_t *port, carob_upstream_id_t upstream,
		       uint32_t path)
{
	(void)port;
	(void)upstream;
	(void)path;
}

static instance_t *find_running(const simulation_t *sim, carob_instance_id_t id)
{
	for (size_t i = 0; i < sim->instance_count; i++)
		if (sim->instances[i]->id.id == id.id &&
		    sim->instances[i]->running)
			return sim->instances[i];
	return NULL;
}

static void to_instance(carob_entry_port_t *port, const carob_relay_t *relay)
{
	instance_t *in = instance_of_port(port);
	instance_t *to = find_running(in->sim, relay->to);
	packet_t *p;

	if (!to)
		return;
	p = packet_new(in->sim, PACKET_RELAY);
	p->relay = *relay;
	p->instance = to->index;
	/*
	 * A restarted instance keeps its address, so the packet reaches the
	 * current run, whichever run it was meant for.
	 */
	p->receiver_incarnation = to->id.incarnation;
	p->msg = carob_msg_pack(&relay->msg);
	network_send(p, in->zone, to->zone);
}

static const carob_entry_port_ops_t port_ops = {to_caller, to_upstream,
						close_path, to_instance};

static packet_t *new_control_packet(instance_t *in, const instance_t *to,
				    packet_kind_t kind)
{
	packet_t *p = packet_new(in->sim, kind);

	p->from = in->index;
	p->instance = to->index;
	p->receiver_incarnation = to->id.incarnation;
	return p;
}

static void send_member(instance_t *in, const instance_t *to,
			const carob_member_t *member)
{
	packet_t *p = new_control_packet(in, to, PACKET_HEARTBEAT);

	p->member = *member;
	p->generation = in->generation;
	network_send(p, in->zone, to->zone);
}

static void send_summaries(instance_t *in, const instance_t *to)
{
	carob_load_summary_t all[SUMMARIES_MAX];
	size_t count =
		carob_scheduler_summaries(all, SUMMARIES_MAX, in->scheduler);

	for (size_t i = 0; i < count; i++) {
		packet_t *p = new_control_packet(in, to, PACKET_SUMMARY);

		p->summary = all[i];
		network_send(p, in->zone, to->zone);
	}
}

static void announce_self(instance_t *in)
{
	simulation_t *sim = in->sim;

	for (size_t i = 0; i < sim->instance_count; i++) {
		const instance_t *to = sim->instances[i];

		if (to == in || !to->running)
			continue;
		send_member(in, to, carob_membership_self(in->membership));
		send_summaries(in, to);
	}
}

static void check_peer(instance_t *in, const instance_t *peer)
{
	const carob_member_t *known =
		carob_membership_find(in->membership, peer->id);
	uint64_t silent =
		simulation_now(in->sim) - in->last_heartbeat_ns[peer->index];
	carob_member_t dead;

	if (!known || known->state > CAROB_MEMBER_LEAVING)
		return;
	if (silent >= UNREACHABLE_NS)
		carob_membership_set_reachable(in->membership, peer->id, false);
	if (silent < DEAD_NS)
		return;
	dead = *known;
	dead.state = CAROB_MEMBER_DEAD;
	carob_membership_learn(in->membership, &dead, NULL);
	simulation_trace(in->sim, "instance %u marks %u as dead", in->id.id,
			 peer->id.id);
}

/*
 * Checks all peers for silence. After a pause of this instance, the time that
 * the timer is late does not count as silence of the peers.
 */
static void check_peers(instance_t *in, uint64_t late_ns)
{
	simulation_t *sim = in->sim;
	uint64_t now = simulation_now(sim);

	for (size_t i = 0; i < sim->instance_count; i++) {
		if (sim->instances[i] == in)
			continue;
		if (late_ns > HEARTBEAT_NS &&
		    in->last_heartbeat_ns[i] < now - late_ns)
			in->last_heartbeat_ns[i] += late_ns;
		check_peer(in, sim->instances[i]);
	}
}

static void hand_over(instance_t *in)
{
	instance_t *to = in->sim->instances[in->successor];
	packet_t *p;

	if (in->handed_over || !carob_entry_drained(in->entry))
		return;
	in->handed_over = true;
	p = new_control_packet(in, to, PACKET_RECORDS);
	if (carob_entry_export(&p->records, in->entry) != 0)
		abort();
	network_send(p, in->zone, to->zone);
	simulation_trace(in->sim, "instance %u sends its request records",
			 in->id.id);
}

static void stop(instance_t *in)
{
	in->running = false;
	in->stopped_ns = simulation_now(in->sim);
	carob_timer_cancel(in->kernel, &in->heartbeat_timer);
	simulation_trace(in->sim, "instance %u stopped", in->id.id);
}

static void on_heartbeat_timer(carob_timer_t *timer)
{
	instance_t *in = CAROB_CONTAINER_OF(timer, instance_t, heartbeat_timer);
	uint64_t now = simulation_now(in->sim);

	check_peers(in, now - timer->due_ns);
	announce_self(in);
	if (in->leaving)
		hand_over(in);
	if (in->stop_ns && now >= in->stop_ns)
		stop(in);
	else
		carob_timer_arm(in->kernel, &in->heartbeat_timer,
				now + HEARTBEAT_NS);
}

static void exchange_members(instance_t *in)
{
	simulation_t *sim = in->sim;

	for (size_t i = 0; i < sim->instance_count; i++) {
		instance_t *other = sim->instances[i];

		in->last_heartbeat_ns[i] = simulation_now(sim);
		other->last_heartbeat_ns[in->index] = simulation_now(sim);
		if (other != in && other->running && !other->paused)
			carob_membership_learn(
				in->membership,
				carob_membership_self(other->membership), NULL);
	}
}

static void apply_manifest(instance_t *in, carob_manifest_t *manifest,
			   uint64_t generation)
{
	simulation_t *sim = in->sim;
	uint64_t elapsed_ns = simulation_now(sim) - sim->published_ns;

	if (generation <= in->generation && !sim->revert_mutation)
		return;
	if (generation < in->generation)
		sim->reverts++;
	if (generation == sim->generation && generation != in->generation &&
	    elapsed_ns > sim->slowest_apply_ns)
		sim->slowest_apply_ns = elapsed_ns;
	if (in->manifest)
		carob_manifest_free(in->manifest);
	in->manifest = carob_manifest_ref(manifest);
	in->generation = generation;
	if (carob_scheduler_set_manifest(in->scheduler, manifest) != 0 ||
	    carob_entry_set_manifest(in->entry, manifest) != 0)
		abort();
	carob_membership_set_generation(in->membership, generation);
}

static void create_components(instance_t *in, const carob_zone_t *zone)
{
	simulation_t *sim = in->sim;
	carob_membership_options_t membership = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_scheduler_options_t sched = CAROB_SCHEDULER_OPTIONS_INIT;
	carob_entry_options_t entry = CAROB_ENTRY_OPTIONS_INIT;

	membership.self.id = in->id;
	membership.self.zone = *zone;
	membership.self.state = CAROB_MEMBER_ALIVE;
	membership.self.revision =
		(uint32_t)(simulation_now(sim) / CAROB_NS_PER_S);
	if (carob_kernel_new(&in->kernel, &sim->clock.clock) != 0 ||
	    carob_membership_new(&in->membership, &membership) != 0)
		abort();
	sched.kernel = in->kernel;
	sched.membership = in->membership;
	sched.seed = carob_rng_u64(&sim->rng);
	sched.mutation = sim->scheduler_mutation;
	/*
	 * Entry and scheduler both check the deadline, and one check hides that
	 * the other is missing; the mutation therefore disables both.
	 */
	if (sim->entry_mutation == CAROB_ENTRY_MUTATION_RUN_EXPIRED)
		sched.mutation = CAROB_SCHEDULER_MUTATION_KEEP_EXPIRED;
	if (sim->policy == POLICY_TWO_CHOICES)
		sched.mutation = CAROB_SCHEDULER_MUTATION_EVERYBODY_SCHEDULES;
	if (carob_scheduler_new(&in->scheduler, &sched) != 0)
		abort();
	entry.kernel = in->kernel;
	entry.port = &in->port;
	entry.scheduler = in->scheduler;
	entry.membership = in->membership;
	entry.keyring = sim->keyring;
	entry.seed = carob_rng_u64(&sim->rng);
	entry.mutation = sim->entry_mutation;
	if (carob_entry_new(&in->entry, &entry) != 0)
		abort();
	if (sim->policy >= POLICY_CONSISTENT_HASHING)
		in->baseline = baseline_new(in);
}

size_t instance_start(simulation_t *sim, uint32_t id, const char *zone)
{
	instance_t *in = calloc(1, sizeof(*in));
	carob_zone_t name = {{0}};

	if (!in || sim->instance_count == INSTANCES_MAX)
		abort();
	strncpy(name.name, zone, CAROB_ZONE_NAME_MAX);
	in->port.ops = &port_ops;
	in->sim = sim;
	in->index = sim->instance_count;
	in->zone = simulation_zone_index(sim, &name);
	in->id.id = id;
	in->id.incarnation = carob_rng_u32(&sim->rng) | 1;
	in->running = true;
	in->queue_tail = &in->queue;
	create_components(in, &name);
	sim->instances[sim->instance_count++] = in;
	exchange_members(in);
	apply_manifest(in, sim->manifest, sim->generation);
	in->heartbeat_timer.fire = on_heartbeat_timer;
	in->ready_ns = simulation_now(sim) + READY_NS;
	announce_self(in);
	carob_timer_arm(in->kernel, &in->heartbeat_timer,
			simulation_now(sim) +
				carob_rng_u64(&sim->rng) % HEARTBEAT_NS);
	simulation_trace(sim, "instance %u starts in %s", id, zone);
	return in->index;
}

static void drop_queue(instance_t *in)
{
	while (in->queue) {
		packet_t *p = in->queue;

		in->queue = p->next;
		packet_free(p);
	}
	in->queue_tail = &in->queue;
	in->queue_len = 0;
}

void instance_kill(instance_t *in)
{
	in->paused = false;
	drop_queue(in);
	stop(in);
}

void instance_pause(instance_t *in)
{
	in->paused = true;
	in->stopped_ns = simulation_now(in->sim);
	simulation_trace(in->sim, "instance %u is paused", in->id.id);
}

void instance_resume(instance_t *in)
{
	packet_t *p = in->queue;

	simulation_trace(in->sim, "instance %u resumes", in->id.id);
	in->paused = false;
	in->queue = NULL;
	in->queue_tail = &in->queue;
	in->queue_len = 0;
	while (p) {
		packet_t *next = p->next;

		instance_deliver(in, p);
		p = next;
	}
}

static size_t choose_successor(const instance_t *in)
{
	const simulation_t *sim = in->sim;
	size_t best = in->index;

	for (size_t i = 0; i < sim->instance_count; i++) {
		const instance_t *other = sim->instances[i];

		if (other == in || !other->running || other->paused ||
		    other->leaving)
			continue;
		if (best == in->index ||
		    (other->zone == in->zone &&
		     sim->instances[best]->zone != in->zone))
			best = i;
	}
	return best;
}

void instance_leave(instance_t *in)
{
	const instance_t *to;

	in->successor = choose_successor(in);
	to = in->sim->instances[in->successor];
	in->leaving = true;
	simulation_trace(in->sim, "instance %u leaves, successor %u", in->id.id,
			 to->id.id);
	if (in->baseline) {
		/* The fabric stops sending packets to it at once. */
		stop(in);
		return;
	}
	carob_membership_set_self(in->membership, CAROB_MEMBER_LEAVING, to->id);
	carob_entry_drain(in->entry, to->id);
	announce_self(in);
}

bool instance_receives_packets(const instance_t *in)
{
	uint64_t now = simulation_now(in->sim);

	if (now < in->ready_ns)
		return false;
	if (in->running && !in->paused)
		return true;
	if (in->leaving && !in->running)
		return false;
	return now < in->stopped_ns + in->sim->fabric_lag_ns;
}

static void on_heartbeat(instance_t *in, const packet_t *p)
{
	const instance_t *from = in->sim->instances[p->from];
	const carob_member_t *known;

	in->last_heartbeat_ns[p->from] = simulation_now(in->sim);
	carob_membership_set_reachable(in->membership, from->id, true);
	carob_membership_learn(in->membership, &p->member, NULL);
	known = carob_membership_find(in->membership, from->id);
	if (known && known->state != p->member.state)
		send_member(in, from, known);
	if (in->generation > p->generation && in->manifest) {
		packet_t *response =
			new_control_packet(in, from, PACKET_MANIFEST);

		response->manifest = carob_manifest_ref(in->manifest);
		response->generation = in->generation;
		network_send(response, in->zone, from->zone);
	}
}

static void on_records(instance_t *in, packet_t *p)
{
	const instance_t *from = in->sim->instances[p->from];

	if (carob_entry_import(in->entry, from->id,
			       carob_buf_view(&p->records)) != 0)
		return;
	network_send(new_control_packet(in, from, PACKET_RECORDS_ACK), in->zone,
		     from->zone);
}

static void on_records_ack(instance_t *in)
{
	carob_membership_set_self(in->membership, CAROB_MEMBER_LEFT,
				  in->sim->instances[in->successor]->id);
	in->stop_ns = simulation_now(in->sim) + RELAY_AFTER_LEAVE_NS;
	announce_self(in);
}

static void on_message(instance_t *in, packet_t *p, const carob_msg_t *msg)
{
	switch (p->kind) {
	case PACKET_FROM_CALLER:
		if (in->baseline)
			baseline_on_caller(in->baseline, p, msg);
		else
			carob_entry_on_caller(in->entry, p->service_id,
					      &p->addr, msg);
		break;
	case PACKET_FROM_HOST:
		if (in->baseline)
			baseline_on_host(in->baseline, p, msg);
		else if (!path_is_silent(in, in->sim->hosts[p->host], p->path))
			carob_entry_on_upstream(in->entry,
						in->sim->hosts[p->host]->id,
						p->path, msg);
		break;
	case PACKET_RELAY:
		p->relay.msg = *msg;
		carob_entry_on_relay(in->entry, &p->relay);
		break;
	default:
		break;
	}
}

static void on_control(instance_t *in, packet_t *p)
{
	switch (p->kind) {
	case PACKET_HEARTBEAT:
		on_heartbeat(in, p);
		break;
	case PACKET_SUMMARY:
		carob_scheduler_on_summary(in->scheduler, &p->summary);
		break;
	case PACKET_REPORT:
		carob_scheduler_on_report(in->scheduler, &p->report);
		break;
	case PACKET_MANIFEST:
		apply_manifest(in, p->manifest, p->generation);
		break;
	case PACKET_RECORDS:
		on_records(in, p);
		break;
	case PACKET_RECORDS_ACK:
		on_records_ack(in);
		break;
	default:
		break;
	}
}

static void enqueue(instance_t *in, packet_t *p)
{
	if (in->queue_len == SOCKET_PACKETS_MAX) {
		packet_free(p);
		return;
	}
	p->next = NULL;
	*in->queue_tail = p;
	in->queue_tail = &p->next;
	in->queue_len++;
}

void instance_deliver(instance_t *in, packet_t *p)
{
	carob_msg_t msg;

	if (!in->running || p->receiver_incarnation != in->id.incarnation) {
		packet_free(p);
		return;
	}
	if (in->paused) {
		enqueue(in, p);
		return;
	}
	if (!p->msg)
		on_control(in, p);
	else if (carob_msg_unpack(&msg, p->msg->bytes, p->msg->len) == 0)
		on_message(in, p, &msg);
	packet_free(p);
}

void instance_free(instance_t *in)
{
	drop_queue(in);
	carob_timer_cancel(in->kernel, &in->heartbeat_timer);
	if (in->baseline)
		baseline_free(in->baseline);
	carob_entry_free(in->entry);
	carob_scheduler_free(in->scheduler);
	carob_membership_free(in->membership);
	carob_kernel_free(in->kernel);
	if (in->manifest)
		carob_manifest_free(in->manifest);
	free(in);
}
