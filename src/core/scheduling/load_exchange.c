#include "core/scheduling/load_exchange.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

#define STEP_NS (100 * CAROB_NS_PER_MS)
/* Interval at which unchanged summaries are sent again. */
#define REFRESH_NS (1000 * CAROB_NS_PER_MS)

/*
 * Half of the 8 KB/s that all control messages may use. The rest is for
 * heartbeats and manifests.
 */
#define BUDGET_BYTES_PER_S 4096
/* Estimated sizes on the wire, with the overhead of the transport. */
#define MESSAGE_BYTES  170
#define SUMMARY_BYTES  26
#define UPSTREAM_BYTES 9

struct carob_load_exchange {
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	carob_control_port_t *port;
	carob_cluster_host_t *host;
	carob_rng_t rng;
	carob_timer_t step;
	uint64_t sent_ns;
	uint64_t sent_hash;
	int64_t budget_bytes;
	carob_load_summary_t summaries[CAROB_CONTROL_SUMMARIES_MAX];
	carob_load_exchange_counters_t counters;
};

static uint64_t now_of(const carob_load_exchange_t *x)
{
	return carob_kernel_now_ns(x->kernel);
}

static uint64_t hash_summaries(const carob_load_exchange_t *x, size_t count)
{
	return carob_hash_bytes(count, x->summaries,
				count * sizeof(x->summaries[0]));
}

static int64_t estimate_bytes(const carob_load_exchange_t *x, size_t count)
{
	int64_t bytes = MESSAGE_BYTES;

	for (size_t i = 0; i < count; i++)
		bytes += SUMMARY_BYTES +
			 UPSTREAM_BYTES * x->summaries[i].upstream_count;
	return bytes;
}

static bool is_candidate(const carob_load_exchange_t *x,
			 const carob_member_t *member, bool own_zone_only)
{
	const carob_member_t *self = carob_membership_self(x->membership);

	return member != self &&
	       (!own_zone_only ||
		strcmp(member->zone.name, self->zone.name) == 0);
}

/*
 * Chooses the receivers of a round: all other live members, or, if these are
 * more than CAROB_LOAD_PEERS_MAX, members of the own zone. The search starts
 * at a random member, so that all are chosen over several rounds.
 */
static size_t choose_peers(carob_control_peer_t *out, carob_load_exchange_t *x)
{
	const carob_member_t *const *alive;
	bool own_zone_only;
	size_t chosen = 0;
	size_t count;
	size_t start;

	alive = carob_membership_alive(x->membership, &count);
	if (count == 0)
		return 0;
	own_zone_only = count > CAROB_LOAD_PEERS_MAX + 1;
	start = carob_rng_below(&x->rng, (uint32_t)count);
	for (size_t i = 0; i < count && chosen < CAROB_LOAD_PEERS_MAX; i++) {
		const carob_member_t *member = alive[(start + i) % count];

		if (is_candidate(x, member, own_zone_only))
			out[chosen++] = (carob_control_peer_t){
				member->id, member->control_addr};
	}
	return chosen;
}

static void send_round(carob_load_exchange_t *x, size_t count)
{
	carob_control_peer_t peers[CAROB_LOAD_PEERS_MAX];
	carob_control_msg_t msg = {.type = CAROB_CONTROL_LOAD_SUMMARIES};
	size_t peer_count = choose_peers(peers, x);

	msg.from = carob_membership_self(x->membership)->id;
	msg.summaries.count = count;
	msg.summaries.summaries = x->summaries;
	for (size_t i = 0; i < peer_count; i++)
		x->port->ops->send(x->port, &peers[i], &msg);
	/* The peers are assumed to send as many bytes as they receive. */
	x->budget_bytes -= 2 * (int64_t)peer_count * estimate_bytes(x, count);
	x->counters.rounds++;
}

static void refill(carob_load_exchange_t *x)
{
	x->budget_bytes +=
		BUDGET_BYTES_PER_S * (int64_t)STEP_NS / (int64_t)CAROB_NS_PER_S;
	if (x->budget_bytes > BUDGET_BYTES_PER_S)
		x->budget_bytes = BUDGET_BYTES_PER_S;
}

static void send_if_due(carob_load_exchange_t *x)
{
	size_t count;
	uint64_t hash;

	memset(x->summaries, 0, sizeof(x->summaries));
	count = x->host->ops->summaries(x->host, x->summaries,
					CAROB_CONTROL_SUMMARIES_MAX);
	hash = hash_summaries(x, count);
	if (count == 0 ||
	    (hash == x->sent_hash && now_of(x) - x->sent_ns < REFRESH_NS))
		return;
	if (x->budget_bytes <= 0) {
		x->counters.postponed++;
		return;
	}
	x->sent_hash = hash;
	x->sent_ns = now_of(x);
	send_round(x, count);
}

static void on_step(carob_timer_t *timer)
{
	carob_load_exchange_t *x =
		CAROB_CONTAINER_OF(timer, carob_load_exchange_t, step);

	refill(x);
	send_if_due(x);
	carob_timer_arm(x->kernel, timer, now_of(x) + STEP_NS);
}

int carob_load_exchange_new(carob_load_exchange_t **out, carob_kernel_t *kernel,
			    const carob_membership_t *membership,
			    carob_control_port_t *port,
			    carob_cluster_host_t *host, uint64_t seed)
{
	carob_load_exchange_t *x = calloc(1, sizeof(*x));

	if (!x)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the load exchange");
	x->kernel = kernel;
	x->membership = membership;
	x->port = port;
	x->host = host;
	x->step.fire = on_step;
	carob_rng_init(&x->rng, seed);
	*out = x;
	return 0;
}

void carob_load_exchange_free(carob_load_exchange_t *x)
{
	if (!x)
		return;
	carob_timer_cancel(x->kernel, &x->step);
	free(x);
}

int carob_load_exchange_start(carob_load_exchange_t *x)
{
	if (!x->host->ops->summaries)
		return 0;
	return carob_timer_arm(x->kernel, &x->step, now_of(x) + STEP_NS);
}

void carob_load_exchange_counters(carob_load_exchange_counters_t *out,
				  const carob_load_exchange_t *x)
{
	*out = x->counters;
}
