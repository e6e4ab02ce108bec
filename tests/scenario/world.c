#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_NS	(1000 * CAROB_NS_PER_S)
#define WALL_OFFSET_MS	1760000000000ULL
#define FABRIC_LAG_NS	(500 * CAROB_NS_PER_MS)
#define MANIFEST_MIN_NS (50 * CAROB_NS_PER_MS)
#define MANIFEST_MAX_NS (1000 * CAROB_NS_PER_MS)

world_t *world_new(uint64_t seed, policy_t policy)
{
	static const uint8_t key[CAROB_KEY_BYTES] = {1, 2, 3};
	world_t *w = calloc(1, sizeof(*w));

	if (!w || carob_keyring_new(&w->keyring) != 0 ||
	    carob_ledger_new(&w->ledger) != 0)
		abort();
	carob_manual_clock_init(&w->clock, START_NS);
	w->clock.wall_offset_ms = WALL_OFFSET_MS;
	if (carob_kernel_new(&w->kernel, &w->clock.clock) != 0)
		abort();
	carob_rng_init(&w->rng, seed);
	w->seed = seed;
	w->policy = policy;
	w->fabric_lag_ns = FABRIC_LAG_NS;
	carob_keyring_add(w->keyring, 1, key);
	carob_keyring_activate(w->keyring, 1);
	w->window_ns = START_NS;
	return w;
}

void world_free(world_t *w)
{
	callers_free(w);
	for (size_t i = 0; i < w->instance_count; i++)
		instance_free(w->instances[i]);
	for (size_t i = 0; i < w->host_count; i++)
		host_free(w->hosts[i]);
	while (w->packets)
		packet_free(w->packets);
	carob_kernel_free(w->kernel);
	carob_keyring_free(w->keyring);
	carob_ledger_free(w->ledger);
	if (w->manifest)
		carob_manifest_free(w->manifest);
	free(w);
}

uint64_t world_now(const world_t *w)
{
	return w->clock.now_ns;
}

static bool runs(const instance_t *in)
{
	return in->running && !in->frozen;
}

static uint64_t next_event(const world_t *w, uint64_t end)
{
	uint64_t next = end;
	uint64_t due;

	if (carob_kernel_next_due(w->kernel, &due) && due < next)
		next = due;
	for (size_t i = 0; i < w->instance_count; i++)
		if (runs(w->instances[i]) &&
		    carob_kernel_next_due(w->instances[i]->kernel, &due) &&
		    due < next)
			next = due;
	return next;
}

void world_run(world_t *w, uint64_t ns)
{
	uint64_t end = world_now(w) + ns;

	while (world_now(w) < end) {
		uint64_t next = next_event(w, end);

		if (next > world_now(w))
			carob_manual_clock_advance(&w->clock,
						   next - world_now(w));
		carob_kernel_run_due(w->kernel);
		for (size_t i = 0; i < w->instance_count; i++)
			if (runs(w->instances[i]))
				carob_kernel_run_due(w->instances[i]->kernel);
	}
}

int world_zone(const world_t *w, const carob_zone_t *zone)
{
	for (size_t i = 0; i < w->zone_count; i++)
		if (strcmp(w->zones[i].name, zone->name) == 0)
			return (int)i;
	return NO_ZONE;
}

static void add_zone(world_t *w, const carob_zone_t *zone)
{
	if (world_zone(w, zone) == NO_ZONE && w->zone_count < ZONES_MAX)
		w->zones[w->zone_count++] = *zone;
}

size_t world_service_index(const world_t *w, uint32_t service_id)
{
	const carob_manifest_service_t *services;
	size_t count;

	services = carob_manifest_services(w->manifest, &count);
	for (size_t i = 0; i < count && i < SERVICES_MAX; i++)
		if (services[i].id == service_id)
			return i;
	return 0;
}

static void add_hosts(world_t *w)
{
	const carob_manifest_service_t *services;
	size_t count;

	services = carob_manifest_services(w->manifest, &count);
	for (size_t i = 0; i < count; i++)
		for (size_t j = 0; j < services[i].upstream_count; j++) {
			add_zone(w, &services[i].upstreams[j].zone);
			host_add(w, &services[i], &services[i].upstreams[j]);
		}
}

/* Sends the manifest to each instance after a random delay of its own. */
static void spread(world_t *w)
{
	for (size_t i = 0; i < w->instance_count; i++) {
		packet_t *p;
		uint64_t wait = MANIFEST_MIN_NS;

		if (w->instances[i]->zone != NO_ZONE &&
		    w->platform_cut[w->instances[i]->zone])
			continue;
		p = packet_new(w, PACKET_MANIFEST);
		wait += (uint64_t)(carob_rng_unit(&w->rng) *
				   (MANIFEST_MAX_NS - MANIFEST_MIN_NS));
		p->instance = i;
		p->receiver_incarnation = w->instances[i]->id.incarnation;
		p->manifest = carob_manifest_ref(w->manifest);
		p->generation = w->generation;
		network_send(p, NO_ZONE, NO_ZONE);
		carob_timer_arm(w->kernel, &p->timer, world_now(w) + wait);
	}
}

void world_publish(world_t *w, carob_manifest_t *manifest)
{
	if (w->manifest)
		carob_manifest_free(w->manifest);
	w->manifest = carob_manifest_ref(manifest);
	w->generation++;
	w->published_ns = world_now(w);
	add_hosts(w);
	spread(w);
	world_trace(w, "published generation %llu",
		    (unsigned long long)w->generation);
}

void world_begin_window(world_t *w)
{
	for (size_t i = 0; i < SERVICES_MAX; i++)
		w->stats[i] = (service_stats_t){
			.broken_sessions = w->stats[i].broken_sessions,
			.expired_runs = w->stats[i].expired_runs,
		};
	w->window_ns = world_now(w);
	for (size_t i = 0; i < w->host_count; i++) {
		host_account(w->hosts[i]);
		w->hosts[i]->use_integral = 0;
	}
}

static bool takes_part(const world_t *w, const host_t *h, uint32_t service_id)
{
	const carob_manifest_service_t *service =
		carob_manifest_find_service(w->manifest, service_id);
	const carob_manifest_upstream_t *up =
		carob_manifest_find_upstream(service, h->id);

	return h->service_id == service_id && !h->dead && up &&
	       up->state == CAROB_UPSTREAM_ACTIVE;
}

double world_imbalance(const world_t *w, uint32_t service_id)
{
	double sum = 0.0;
	double most = 0.0;
	size_t count = 0;

	for (size_t i = 0; i < w->host_count; i++) {
		host_t *h = w->hosts[i];

		if (!takes_part(w, h, service_id))
			continue;
		host_account(h);
		sum += h->use_integral;
		most = h->use_integral > most ? h->use_integral : most;
		count++;
	}
	return sum > 0.0 ? most * (double)count / sum : 0.0;
}

void world_trace(const world_t *w, const char *fmt, ...)
{
	va_list args;

	if (!w->trace)
		return;
	fprintf(stderr, "%9.4f ",
		(double)(world_now(w) - START_NS) / CAROB_NS_PER_S);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
}
