/**
 * @file load_simulation.h
 * Many instances that share load, in one process on a paused clock, with a
 * network whose faults are set. Instance i is in zone i % 3; instances 0 to 2
 * are the first readers of their zones.
 */
#ifndef CAROB_TESTS_LOAD_SIMULATION_H
#define CAROB_TESTS_LOAD_SIMULATION_H

#include "carobtrail/load_meter.h"
#include "carobtrail/load_sharing.h"
#include "carobtrail/rng.h"
#include "test_runner.h"

#include <stdio.h>
#include <string.h>

#define SIM_INSTANCES_MAX 135
#define SIM_ZONES	  3
#define SIM_UPSTREAMS	  150
#define SIM_FLIGHTS	  8192 /* datagrams on the way */
#define SIM_STEP_MS	  5
#define MS		  CAROB_NS_PER_MS

typedef struct simulation simulation_t;

typedef struct sim_instance {
	carob_load_transport_t transport;
	simulation_t *simulation;
	carob_kernel_t *kernel;
	carob_upstream_table_t upstreams;
	carob_reader_table_t readers;
	carob_load_view_t view;
	carob_load_sharing_t *sharing;
	uint8_t key[CAROB_READER_KEY_BYTES];
	char name[16];
	bool frozen; /* datagrams wait until it goes on */
	bool deaf;   /* what is sent to it is lost */
	bool mute;   /* what it sends is lost */
} sim_instance_t;

typedef struct sim_flight {
	bool used;
	uint64_t due_ns;
	uint32_t from;
	uint32_t to;
	size_t len;
	uint8_t data[CAROB_LOAD_DATAGRAM_MAX];
} sim_flight_t;

/** Faults of the network, each in percent of the datagrams. */
typedef struct sim_faults {
	uint32_t lost;
	uint32_t twice;
	uint32_t late; /* by up to 3 s */
	uint32_t forged;
	uint32_t delay_ms;	/* of all datagrams */
	uint32_t zone_delay_ms; /* between zones, in addition */
	bool zone_cut;		/* zone 0 is cut off from the others */
} sim_faults_t;

struct simulation {
	carob_manual_clock_t clock;
	carob_rng_t rng;
	size_t count;
	uint64_t revision;
	sim_faults_t faults;
	uint32_t recorded; /* instance whose reports are kept, plus 1 */
	sim_flight_t record;
	uint64_t datagrams;
	sim_instance_t instances[SIM_INSTANCES_MAX];
	sim_flight_t flights[SIM_FLIGHTS];
};

static inline uint64_t sim_now(const simulation_t *sim)
{
	return carob_clock_now_ns(&sim->clock.clock);
}

static inline uint32_t sim_percent(simulation_t *sim)
{
	return carob_rng_below(&sim->rng, 100);
}

static inline void sim_sign(uint8_t auth[CAROB_LOAD_AUTH_BYTES],
			    const uint8_t *key, const void *data, size_t len)
{
	uint64_t hash = carob_hash_bytes(
		carob_hash_bytes(0, key, CAROB_READER_KEY_BYTES), data, len);

	memcpy(auth, &hash, sizeof(hash));
	memset(auth + sizeof(hash), 0, CAROB_LOAD_AUTH_BYTES - sizeof(hash));
}

static inline void sim_fly(simulation_t *sim, const sim_flight_t *flight,
			   uint64_t delay_ms)
{
	size_t i = 0;

	while (i < SIM_FLIGHTS && sim->flights[i].used)
		i++;
	CU_ASSERT_TRUE_FATAL(i < SIM_FLIGHTS);
	sim->flights[i] = *flight;
	sim->flights[i].used = true;
	sim->flights[i].due_ns = sim_now(sim) + delay_ms * MS;
}

static inline void sim_send(carob_load_transport_t *transport,
			    carob_endpoint_t to, const uint8_t *key,
			    uint8_t *data, size_t len)
{
	sim_instance_t *instance = (sim_instance_t *)transport;
	simulation_t *sim = instance->simulation;
	sim_flight_t flight = {
		.from = (uint32_t)(instance - sim->instances),
		.to = to.ip,
		.len = len + CAROB_LOAD_AUTH_BYTES,
	};
	bool crosses = flight.from % SIM_ZONES != flight.to % SIM_ZONES;
	uint64_t delay_ms = 1 + sim->faults.delay_ms +
			    (crosses ? sim->faults.zone_delay_ms : 0);

	CU_ASSERT_TRUE_FATAL(flight.len <= sizeof(flight.data));
	sim->datagrams++;
	sim_sign(data + len, key, data, len);
	memcpy(flight.data, data, flight.len);
	if (sim->recorded == flight.from + 1)
		sim->record = flight;
	if (instance->mute || sim_percent(sim) < sim->faults.lost)
		return;
	if (crosses && sim->faults.zone_cut &&
	    (flight.from % SIM_ZONES == 0 || flight.to % SIM_ZONES == 0))
		return;
	if (sim_percent(sim) < sim->faults.forged)
		flight.data[carob_rng_below(&sim->rng, (uint32_t)flight.len)] ^=
			1;
	if (sim_percent(sim) < sim->faults.twice)
		sim_fly(sim, &flight, carob_rng_below(&sim->rng, 3000));
	if (sim_percent(sim) < sim->faults.late)
		delay_ms += carob_rng_below(&sim->rng, 3000);
	sim_fly(sim, &flight, delay_ms);
}

static inline bool sim_verify(carob_load_transport_t *transport,
			      const uint8_t *key, carob_str_t data,
			      const uint8_t *auth)
{
	uint8_t expected[CAROB_LOAD_AUTH_BYTES];

	(void)transport;
	sim_sign(expected, key, data.ptr, data.len);
	return memcmp(expected, auth, sizeof(expected)) == 0;
}

/** Makes an instance the reader of its zone, in the tables of all. */
static inline void sim_set_reader(simulation_t *sim, size_t reader)
{
	static const char *const zones[] = {"a", "b", "c"};
	sim_instance_t *instance = &sim->instances[reader];
	carob_reader_entry_t entry = {
		.zone = carob_str_from(zones[reader % SIM_ZONES]),
		.name = carob_str_from(instance->name),
		.endpoint = {(uint32_t)reader, 5703},
	};

	memcpy(entry.key, instance->key, sizeof(entry.key));
	sim->revision++;
	for (size_t i = 0; i < sim->count; i++)
		carob_reader_table_put(&sim->instances[i].readers, &entry,
				       sim->revision);
}

static inline void sim_put_upstreams(sim_instance_t *instance)
{
	for (uint32_t i = 0; i < SIM_UPSTREAMS; i++) {
		char id[16];
		carob_upstream_entry_t entry = {.number = 1000 + i,
						.service = CAROB_STR("s"),
						.zone = CAROB_STR("a"),
						.slots = 2};

		(void)snprintf(id, sizeof(id), "i-%u", i);
		entry.id = carob_str_from(id);
		CU_ASSERT_EQUAL_FATAL(
			carob_upstream_table_put(&instance->upstreams, &entry,
						 1, 1),
			0);
	}
}

static inline void sim_start(simulation_t *sim, size_t index)
{
	static const char *const zones[] = {"a", "b", "c"};
	carob_load_sharing_options_t options = CAROB_LOAD_SHARING_OPTIONS_INIT;
	sim_instance_t *instance = &sim->instances[index];
	carob_reader_table_t readers = instance->readers;

	memset(instance, 0, sizeof(*instance));
	instance->readers = readers;
	instance->transport.send = sim_send;
	instance->transport.verify = sim_verify;
	instance->simulation = sim;
	memset(instance->key, (int)index + 1, sizeof(instance->key));
	(void)snprintf(instance->name, sizeof(instance->name), "i-%zu", index);
	instance->readers.zone = carob_str_from(zones[index % SIM_ZONES]);
	sim_put_upstreams(instance);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&instance->kernel, &sim->clock.clock), 0);
	options.kernel = instance->kernel;
	options.transport = &instance->transport;
	options.upstreams = &instance->upstreams;
	options.readers = &instance->readers;
	options.view = &instance->view;
	options.instance = carob_str_from(instance->name);
	options.key = instance->key;
	options.seed = index;
	CU_ASSERT_EQUAL_FATAL(
		carob_load_sharing_new(&instance->sharing, &options), 0);
}

static inline void sim_stop(simulation_t *sim, size_t index)
{
	sim_instance_t *instance = &sim->instances[index];

	if (!instance->kernel)
		return;
	carob_load_sharing_free(instance->sharing);
	carob_kernel_free(instance->kernel);
	carob_upstream_table_dispose(&instance->upstreams);
	instance->sharing = NULL;
	instance->kernel = NULL;
}

static inline void sim_init(simulation_t *sim, size_t count)
{
	memset(sim, 0, sizeof(*sim));
	carob_manual_clock_init(&sim->clock, 1000 * CAROB_NS_PER_S);
	sim->clock.wall_offset_ms = 1700000000000;
	carob_rng_init(&sim->rng, 7);
	sim->count = count;
	for (size_t i = 0; i < count; i++)
		sim_start(sim, i);
	for (size_t i = 0; i < SIM_ZONES; i++)
		sim_set_reader(sim, i);
}

static inline void sim_dispose(simulation_t *sim)
{
	for (size_t i = 0; i < sim->count; i++)
		sim_stop(sim, i);
}

static inline void sim_deliver(simulation_t *sim, sim_flight_t *flight)
{
	sim_instance_t *to = &sim->instances[flight->to];
	uint64_t waited_ns = sim_now(sim) - flight->due_ns;

	if (to->frozen && !to->deaf)
		return;
	flight->used = false;
	if (to->kernel && !to->deaf)
		carob_load_sharing_receive(
			to->sharing, (carob_endpoint_t){flight->from, 5703},
			(carob_str_t){(const char *)flight->data, flight->len},
			(uint32_t)(waited_ns / MS));
}

static inline void sim_step(simulation_t *sim)
{
	carob_manual_clock_advance(&sim->clock, SIM_STEP_MS * MS);
	for (size_t i = 0; i < SIM_FLIGHTS; i++)
		if (sim->flights[i].used &&
		    sim->flights[i].due_ns <= sim_now(sim))
			sim_deliver(sim, &sim->flights[i]);
	for (size_t i = 0; i < sim->count; i++)
		if (sim->instances[i].kernel && !sim->instances[i].frozen)
			carob_kernel_run_due(sim->instances[i].kernel);
}

static inline void sim_run(simulation_t *sim, uint64_t ms)
{
	for (uint64_t passed = 0; passed < ms; passed += SIM_STEP_MS)
		sim_step(sim);
}

/** Sets the requests in progress of an instance on an upstream. */
static inline void sim_set_load(simulation_t *sim, size_t index,
				size_t upstream, uint32_t pending)
{
	carob_upstream_t *item =
		&sim->instances[index].upstreams.items[upstream];

	carob_load_meter_advance(item, sim_now(sim));
	item->pending = pending;
	item->open_flows = pending;
}

/** @return whether an instance knows the load of the others */
static inline bool sim_knows(const simulation_t *sim, size_t index)
{
	return carob_load_view_is_fresh(&sim->instances[index].view,
					sim_now(sim));
}

/** @return the interval between reports of an instance, in milliseconds */
static inline uint32_t sim_interval(const simulation_t *sim, size_t index)
{
	return carob_load_sharing_status(sim->instances[index].sharing)
		.interval_ms;
}

#endif
