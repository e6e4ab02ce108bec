#include "simulation.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_NS	(1000 * CAROB_NS_PER_S)
#define WALL_OFFSET_MS	1760000000000ULL
#define FABRIC_LAG_NS	(500 * CAROB_NS_PER_MS)
#define MANIFEST_MIN_NS (50 * CAROB_NS_PER_MS)
#define MANIFEST_MAX_NS (1000 * CAROB_NS_PER_MS)

simulation_t *simulation_new(uint64_t seed, policy_t policy)
{
	static const uint8_t key[CAROB_KEY_BYTES] = {1, 2, 3};
	simulation_t *sim = calloc(1, sizeof(*sim));

	if (!sim || carob_keyring_new(&sim->keyring) != 0 ||
	    carob_ledger_new(&sim->ledger) != 0)
		abort();
	carob_manual_clock_init(&sim->clock, START_NS);
	sim->clock.wall_offset_ms = WALL_OFFSET_MS;
	if (carob_kernel_new(&sim->kernel, &sim->clock.clock) != 0)
		abort();
	carob_rng_init(&sim->rng, seed);
	sim->seed = seed;
	sim->policy = policy;
	sim->fabric_lag_ns = FABRIC_LAG_NS;
	carob_keyring_add(sim->keyring, 1, key);
	carob_keyring_activate(sim->keyring, 1);
	sim->window_start_ns = START_NS;
	return sim;
}

void simulation_free(simulation_t *sim)
{
	callers_free(sim);
	for (size_t i = 0; i < sim->instance_count; i++)
		instance_free(sim->instances[i]);
	for (size_t i = 0; i < sim->host_count; i++)
		host_free(sim->hosts[i]);
	while (sim->packets)
		packet_free(sim->packets);
	carob_kernel_free(sim->kernel);
	carob_keyring_free(sim->keyring);
	carob_ledger_free(sim->ledger);
	if (sim->manifest)
		carob_manifest_free(sim->manifest);
	free(sim);
}

uint64_t simulation_now(const simulation_t *sim)
{
	return sim->clock.now_ns;
}

static bool is_executing(const instance_t *in)
{
	return in->running && !in->paused;
}

static uint64_t next_event(const simulation_t *sim, uint64_t end)
{
	uint64_t next = end;
	uint64_t due;

	if (carob_kernel_next_due(sim->kernel, &due) && due < next)
		next = due;
	for (size_t i = 0; i < sim->instance_count; i++)
		if (is_executing(sim->instances[i]) &&
		    carob_kernel_next_due(sim->instances[i]->kernel, &due) &&
		    due < next)
			next = due;
	return next;
}

void simulation_run(simulation_t *sim, uint64_t ns)
{
	uint64_t end = simulation_now(sim) + ns;

	while (simulation_now(sim) < end) {
		uint64_t next = next_event(sim, end);

		if (next > simulation_now(sim))
			carob_manual_clock_advance(&sim->clock,
						   next - simulation_now(sim));
		carob_kernel_run_due(sim->kernel);
		for (size_t i = 0; i < sim->instance_count; i++)
			if (is_executing(sim->instances[i]))
				carob_kernel_run_due(sim->instances[i]->kernel);
	}
}

int simulation_zone_index(const simulation_t *sim, const carob_zone_t *zone)
{
	for (size_t i = 0; i < sim->zone_count; i++)
		if (strcmp(sim->zones[i].name, zone->name) == 0)
			return (int)i;
	return NO_ZONE;
}

static void add_zone(simulation_t *sim, const carob_zone_t *zone)
{
	if (simulation_zone_index(sim, zone) == NO_ZONE &&
	    sim->zone_count < ZONES_MAX)
		sim->zones[sim->zone_count++] = *zone;
}

size_t simulation_service_index(const simulation_t *sim, uint32_t service_id)
{
	const carob_manifest_service_t *services;
	size_t count;

	services = carob_manifest_services(sim->manifest, &count);
	for (size_t i = 0; i < count && i < SERVICES_MAX; i++)
		if (services[i].id == service_id)
			return i;
	return 0;
}

static void add_hosts(simulation_t *sim)
{
	const carob_manifest_service_t *services;
	size_t count;

	services = carob_manifest_services(sim->manifest, &count);
	for (size_t i = 0; i < count; i++)
		for (size_t j = 0; j < services[i].upstream_count; j++) {
			add_zone(sim, &services[i].upstreams[j].zone);
			host_add(sim, &services[i], &services[i].upstreams[j]);
		}
}

/* Sends the manifest to each instance after a random delay of its own. */
static void send_manifest(simulation_t *sim)
{
	for (size_t i = 0; i < sim->instance_count; i++) {
		packet_t *p;
		uint64_t wait = MANIFEST_MIN_NS;

		if (sim->instances[i]->zone != NO_ZONE &&
		    sim->platform_cut[sim->instances[i]->zone])
			continue;
		p = packet_new(sim, PACKET_MANIFEST);
		wait += (uint64_t)(carob_rng_unit(&sim->rng) *
				   (MANIFEST_MAX_NS - MANIFEST_MIN_NS));
		p->instance = i;
		p->receiver_incarnation = sim->instances[i]->id.incarnation;
		p->manifest = carob_manifest_ref(sim->manifest);
		p->generation = sim->generation;
		network_send(p, NO_ZONE, NO_ZONE);
		carob_timer_arm(sim->kernel, &p->timer,
				simulation_now(sim) + wait);
	}
}

void simulation_publish(simulation_t *sim, carob_manifest_t *manifest)
{
	if (sim->manifest)
		carob_manifest_free(sim->manifest);
	sim->manifest = carob_manifest_ref(manifest);
	sim->generation++;
	sim->published_ns = simulation_now(sim);
	add_hosts(sim);
	send_manifest(sim);
	simulation_trace(sim, "published generation %llu",
			 (unsigned long long)sim->generation);
}

void simulation_begin_window(simulation_t *sim)
{
	for (size_t i = 0; i < SERVICES_MAX; i++)
		sim->stats[i] = (service_stats_t){
			.broken_sessions = sim->stats[i].broken_sessions,
			.expired_runs = sim->stats[i].expired_runs,
		};
	sim->window_start_ns = simulation_now(sim);
	for (size_t i = 0; i < sim->host_count; i++) {
		host_update_use(sim->hosts[i]);
		sim->hosts[i]->use_integral = 0;
	}
}

static bool is_active(const simulation_t *sim, const host_t *h,
		      uint32_t service_id)
{
	const carob_manifest_service_t *service =
		carob_manifest_find_service(sim->manifest, service_id);
	const carob_manifest_upstream_t *up =
		carob_manifest_find_upstream(service, h->id);

	return h->service_id == service_id && !h->dead && up &&
	       up->state == CAROB_UPSTREAM_ACTIVE;
}

double simulation_imbalance(const simulation_t *sim, uint32_t service_id)
{
	double sum = 0.0;
	double most = 0.0;
	size_t count = 0;

	for (size_t i = 0; i < sim->host_count; i++) {
		host_t *h = sim->hosts[i];

		if (!is_active(sim, h, service_id))
			continue;
		host_update_use(h);
		sum += h->use_integral;
		most = h->use_integral > most ? h->use_integral : most;
		count++;
	}
	return sum > 0.0 ? most * (double)count / sum : 0.0;
}

void simulation_trace(const simulation_t *sim, const char *fmt, ...)
{
	va_list args;

	if (!sim->trace)
		return;
	fprintf(stderr, "%9.4f ",
		(double)(simulation_now(sim) - START_NS) / CAROB_NS_PER_S);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
}
