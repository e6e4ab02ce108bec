/**
 * @file pace_sim.h
 * Callers, several instances and upstreams on a manual clock, for the tests of
 * the pace. Each instance has its own tables; the upstreams are queues that
 * record when new flows arrive.
 */
#ifndef CAROB_TESTS_FLOW_PACE_SIM_H
#define CAROB_TESTS_FLOW_PACE_SIM_H

#include "flow/flow_fixture.h"
#include "flow/host_model.h"

#include "carobtrail/kernel.h"

#include <math.h>
#include <stdlib.h>

#define SIM_INSTANCES_MAX 135
#define SIM_HOSTS	  12
#define SIM_ZONES	  3
#define SIM_SLOTS	  2
#define SIM_QUEUE	  8
#define SIM_WORK_MS	  40
#define SIM_TARGET_MS	  300
#define SIM_CONNECT_MS	  6
#define SIM_ARRIVALS_MAX  65536
#define SIM_MS		  CAROB_NS_PER_MS

typedef struct pace_sim pace_sim_t;

/** One simulated upstream. */
typedef struct sim_host {
	host_model_t model;
	double slowness;    /* factor on the work of requests */
	bool down;	    /* answers nothing */
	uint64_t *arrivals; /* times of new flows */
	size_t count;
} sim_host_t;

typedef struct sim_instance {
	carob_upstream_table_t upstreams;
	carob_steering_t *steering;
} sim_instance_t;

typedef struct sim_caller {
	carob_timer_t timer;
	pace_sim_t *sim;
	sim_instance_t *instance;
	uint32_t id;
	int host;	   /* -1: its SYN was not sent on yet */
	uint32_t requests; /* left */
	uint32_t step;	   /* packets sent on the open flow */
	uint8_t copies;
	bool answered; /* the SYN was */
	bool waiting;  /* for a response */
	bool shed;
	uint64_t asked_ns; /* time of its request */
} sim_caller_t;

struct pace_sim {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	carob_route_table_t routes;
	carob_load_view_t view;
	size_t instance_count;
	sim_instance_t instances[SIM_INSTANCES_MAX];
	sim_host_t hosts[SIM_HOSTS];
	carob_timer_t arrival;
	double flows_per_s;
	double zone_factor;   /* demand of zone 0, in multiples of the others */
	uint32_t long_one_in; /* one of so many flows has 20 requests */
	uint32_t next_id;
	uint64_t revision;
	uint32_t flows;
	uint32_t refused;
	uint32_t responses;
	uint32_t missed; /* responses that are late or say that it was shed */
};

static inline uint64_t sim_now(const pace_sim_t *sim)
{
	return carob_clock_now_ns(&sim->clock.clock);
}

static inline void sim_arm(sim_caller_t *caller, double ms)
{
	(void)carob_timer_arm(caller->sim->kernel, &caller->timer,
			      sim_now(caller->sim) + (uint64_t)(ms * SIM_MS));
}

static inline double sim_exponential(pace_sim_t *sim, double mean)
{
	return -mean * log(1 - carob_rng_unit(&sim->rng));
}

static inline carob_steer_result_t sim_send(sim_caller_t *caller,
					    carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	packet.caller = (carob_endpoint_t){0x64400000 + caller->id, 4000};
	carob_steering_packet(&result, caller->instance->steering, &packet);
	return result;
}

static inline void sim_send_data(sim_caller_t *caller, uint16_t bytes,
				 uint32_t answers, bool fin)
{
	carob_flow_packet_t packet =
		fixture_data(4000, (uint32_t)caller->host + 1,
			     100 * caller->step, bytes, 5000 + 10 * answers);

	packet.fin = fin;
	(void)sim_send(caller, packet);
}

static inline void sim_send_request(sim_caller_t *caller)
{
	pace_sim_t *sim = caller->sim;
	sim_host_t *host = &sim->hosts[caller->host];
	double work_ms = sim_exponential(sim, SIM_WORK_MS) * host->slowness;
	uint64_t due;

	sim_send_data(caller, 100, caller->step, false);
	caller->step++;
	caller->requests--;
	caller->waiting = true;
	caller->asked_ns = sim_now(sim);
	due = host_model_enter(&host->model, SIM_SLOTS, SIM_QUEUE, sim_now(sim),
			       (uint64_t)(work_ms * SIM_MS));
	caller->shed = due == 0;
	sim_arm(caller, due ? (double)(due - sim_now(sim)) / SIM_MS : 1);
}

static inline void sim_receive_response(sim_caller_t *caller)
{
	pace_sim_t *sim = caller->sim;

	caller->waiting = false;
	sim->responses++;
	sim->missed += caller->shed ||
		       sim_now(sim) - caller->asked_ns > SIM_TARGET_MS * SIM_MS;
	if (!caller->shed)
		sim->hosts[caller->host].model.active_requests--;
	sim_send_data(caller, 0, caller->step, caller->requests == 0);
	if (caller->requests == 0)
		free(caller);
	else
		sim_arm(caller, sim_exponential(sim, 300));
}

static inline void sim_take_syn(sim_caller_t *caller, int number)
{
	pace_sim_t *sim = caller->sim;
	sim_host_t *host = &sim->hosts[number];

	if (caller->host != number && host->count < SIM_ARRIVALS_MAX)
		host->arrivals[host->count++] = sim_now(sim);
	caller->host = number;
	caller->answered = !host->down &&
			   host->model.active_requests < SIM_SLOTS + SIM_QUEUE;
}

static inline void sim_send_syn(sim_caller_t *caller)
{
	static const double wait_ms[] = {200, 400, 800};
	carob_flow_packet_t packet = fixture_syn(4000, caller->copies);
	carob_steer_result_t result = sim_send(caller, packet);

	if (result.verdict == CAROB_STEER_FORWARD)
		sim_take_syn(caller, (int)result.upstream->number - 1);
	if (result.verdict == CAROB_STEER_RESET || caller->copies > 2) {
		caller->sim->refused++;
		free(caller);
		return;
	}
	sim_arm(caller,
		caller->answered ? SIM_CONNECT_MS : wait_ms[caller->copies]);
	caller->copies++;
}

static inline void sim_on_caller(carob_timer_t *timer)
{
	sim_caller_t *caller = CAROB_CONTAINER_OF(timer, sim_caller_t, timer);

	if (caller->waiting)
		sim_receive_response(caller);
	else if (caller->answered)
		sim_send_request(caller);
	else if (caller->copies <= 2)
		sim_send_syn(caller);
	else
		free(caller);
}

/* Zone 0 has `zone_factor` times the demand of each other zone. The instances
 * of zone z are those whose index is z modulo the number of zones. */
static inline sim_instance_t *sim_random_instance(pace_sim_t *sim)
{
	double point =
		carob_rng_unit(&sim->rng) * (sim->zone_factor + SIM_ZONES - 1);
	size_t zone = point < sim->zone_factor
			      ? 0
			      : 1 + (size_t)(point - sim->zone_factor);
	size_t of_zone =
		(sim->instance_count + SIM_ZONES - 1 - zone) / SIM_ZONES;

	return &sim->instances[zone +
			       SIM_ZONES * carob_rng_below(&sim->rng,
							   (uint32_t)of_zone)];
}

static inline void sim_on_arrival(carob_timer_t *timer)
{
	pace_sim_t *sim = CAROB_CONTAINER_OF(timer, pace_sim_t, arrival);
	sim_caller_t *caller = calloc(1, sizeof(*caller));

	(void)carob_timer_arm(
		sim->kernel, timer,
		timer->due_ns +
			(uint64_t)sim_exponential(
				sim, CAROB_NS_PER_S / sim->flows_per_s));
	CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
	if (!caller)
		return;
	caller->timer.fire = sim_on_caller;
	caller->sim = sim;
	caller->instance = sim_random_instance(sim);
	caller->id = ++sim->next_id;
	caller->host = -1;
	caller->requests =
		carob_rng_below(&sim->rng, sim->long_one_in) == 0 ? 20 : 1;
	sim->flows++;
	sim_send_syn(caller);
}

static inline void sim_run(pace_sim_t *sim, uint64_t ms)
{
	for (uint64_t passed = 0; passed < ms; passed++) {
		carob_manual_clock_advance(&sim->clock, SIM_MS);
		carob_kernel_run_due(sim->kernel);
		for (size_t i = 0; passed % 500 == 0 && i < sim->instance_count;
		     i++)
			carob_steering_sweep(sim->instances[i].steering);
	}
}

/** Writes the entry of an upstream; another `started_ms` is a new start. */
static inline void sim_put(pace_sim_t *sim, uint32_t number, uint32_t cold_ms,
			   uint64_t started_ms)
{
	static const char *const zones[SIM_ZONES] = {"hou-a", "hou-b", "hou-c"};
	char id[16];
	carob_upstream_entry_t entry = {
		.number = number + 1,
		.service = CAROB_STR("desk"),
		.zone = carob_str_from(zones[number % SIM_ZONES]),
		.endpoint = {0x0a800000 + number, 8080},
		.slots = SIM_SLOTS,
		.cold_ms = cold_ms,
		.started_ms = started_ms,
	};

	(void)snprintf(id, sizeof(id), "i-%u", number);
	entry.id = carob_str_from(id);
	sim->revision++;
	for (size_t i = 0; i < sim->instance_count; i++)
		CU_ASSERT_EQUAL(carob_upstream_table_put(
					&sim->instances[i].upstreams, &entry,
					sim->revision, sim_now(sim)),
				0);
}

/** Removes the entry of an upstream. */
static inline void sim_remove(pace_sim_t *sim, uint32_t number)
{
	char id[16];

	(void)snprintf(id, sizeof(id), "i-%u", number);
	for (size_t i = 0; i < sim->instance_count; i++)
		carob_upstream_table_remove(&sim->instances[i].upstreams,
					    carob_str_from(id), sim->revision,
					    CAROB_UPSTREAM_GONE, sim_now(sim));
}

static inline void sim_set_slowness(pace_sim_t *sim, double slowness)
{
	for (size_t i = 0; i < SIM_HOSTS; i++)
		sim->hosts[i].slowness = slowness;
}

static inline void sim_configure(pace_sim_t *sim, double cold_per_s)
{
	carob_service_config_t service = {.cold_per_s = cold_per_s};
	carob_route_share_t share = {.weight = 1};
	carob_route_t route = {
		.endpoint = FIXTURE_ROUTE,
		.idempotent = true,
		.share_count = 1,
		.shares = &share,
	};
	carob_route_config_t config = {.version = 1,
				       .count = 1,
				       .routes = &route,
				       .service_count = 1,
				       .services = &service};

	CU_ASSERT_EQUAL(carob_route_table_apply(&sim->routes, &config), 0);
}

static inline void sim_start_instance(pace_sim_t *sim, size_t number,
				      const carob_pace_options_t *pace)
{
	static const char *const zones[SIM_ZONES] = {"hou-a", "hou-b", "hou-c"};
	sim_instance_t *instance = &sim->instances[number];
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;
	carob_pace_options_t own = *pace;
	carob_name_id_t id;

	/* The names get the same numbers in all tables. */
	CU_ASSERT_EQUAL(carob_name_table_add(&id, &instance->upstreams.services,
					     CAROB_STR("desk")),
			0);
	for (size_t i = 0; i < SIM_ZONES; i++)
		CU_ASSERT_EQUAL(carob_name_table_add(&id,
						     &instance->upstreams.zones,
						     carob_str_from(zones[i])),
				0);
	options.clock = &sim->clock.clock;
	options.routes = &sim->routes;
	options.upstreams = &instance->upstreams;
	options.home_zone = carob_str_from(zones[number % SIM_ZONES]);
	options.load_view = &sim->view;
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&instance->steering, &options),
			      0);
	own.seed = carob_rng_u64(&sim->rng);
	carob_steering_set_pace(instance->steering, &own);
}

/** Starts instances and upstreams, all of them warm. */
static inline void sim_init(pace_sim_t *sim, size_t instances,
			    const carob_pace_options_t *pace, double cold_per_s)
{
	memset(sim, 0, sizeof(*sim));
	carob_manual_clock_init(&sim->clock, FIXTURE_START);
	carob_rng_init(&sim->rng, pace->seed);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&sim->kernel, &sim->clock.clock),
			      0);
	sim->instance_count = instances;
	sim_configure(sim, cold_per_s);
	for (size_t i = 0; i < instances; i++)
		sim_start_instance(sim, i, pace);
	for (uint32_t i = 0; i < SIM_HOSTS; i++) {
		sim->hosts[i].slowness = 1;
		sim->hosts[i].arrivals =
			calloc(SIM_ARRIVALS_MAX, sizeof(uint64_t));
		CU_ASSERT_PTR_NOT_NULL_FATAL(sim->hosts[i].arrivals);
		/* Tests add upstream 0 later. */
		if (i > 0)
			sim_put(sim, i, 0, 1);
	}
	sim->zone_factor = 1;
	sim->long_one_in = 5;
	sim->flows_per_s = 50;
	sim->arrival.fire = sim_on_arrival;
	(void)carob_timer_arm(sim->kernel, &sim->arrival, FIXTURE_START);
}

static inline void sim_dispose(pace_sim_t *sim)
{
	carob_timer_cancel(sim->kernel, &sim->arrival);
	sim_run(sim, 30000); /* the last callers end */
	for (size_t i = 0; i < sim->instance_count; i++) {
		carob_steering_free(sim->instances[i].steering);
		carob_upstream_table_dispose(&sim->instances[i].upstreams);
	}
	for (size_t i = 0; i < SIM_HOSTS; i++)
		free(sim->hosts[i].arrivals);
	carob_route_table_dispose(&sim->routes);
	carob_kernel_free(sim->kernel);
}

/** @return the new flows that a host received in [from_ns, to_ns) */
static inline size_t sim_received(const sim_host_t *host, uint64_t from_ns,
				  uint64_t to_ns)
{
	size_t count = 0;

	for (size_t i = 0; i < host->count; i++)
		count += host->arrivals[i] >= from_ns &&
			 host->arrivals[i] < to_ns;
	return count;
}

/** @return the most new flows of a host in a second that begins in the range */
static inline size_t sim_most_per_s(const sim_host_t *host, uint64_t from_ns,
				    uint64_t to_ns)
{
	size_t most = 0;
	size_t first = 0;

	for (size_t i = 0; i < host->count; i++) {
		if (host->arrivals[i] < from_ns || host->arrivals[i] >= to_ns)
			continue;
		if (host->arrivals[first] < from_ns)
			first = i;
		while (host->arrivals[i] - host->arrivals[first] >=
		       CAROB_NS_PER_S)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

#endif
