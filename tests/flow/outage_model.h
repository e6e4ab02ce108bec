/**
 * @file outage_model.h
 * Simulation of callers, instances and upstreams on a manual clock, for the
 * tests of outages and of a lasting overload.
 *
 * All instances are away for some time, and what callers sent meanwhile comes
 * again within moments, in bursts, since instances that start get their
 * processor time in slices. Callers repeat a SYN that gets no reply, and try
 * again at once after a reset, three times in all. Without an outage, a lasting
 * overload is simulated.
 */
#ifndef CAROB_TESTS_OUTAGE_MODEL_H
#define CAROB_TESTS_OUTAGE_MODEL_H

#include "flow/flow_fixture.h"
#include "flow/host_model.h"

#include "carobtrail/kernel.h"
#include "carobtrail/rng.h"

#include <stdlib.h>

#define INSTANCES_MAX 135
#define HOSTS_MAX     420
#define ZONES	      3
#define SLOTS	      2
#define QUEUE	      8
#define WORK_MS	      22
#define TARGET_MS     120
#define DEADLINE_MS   2000
#define TRIES	      3
#define CONNECT_MS    4 /* from a SYN that is forwarded to the request */
#define RETRY_MS      2 /* from a reset or a refusal to the next try */
#define SLICE_MS      100
#define BUSY_START_MS 600 /* an instance that started reads in slices so long */
#define RETURN_MS     240 /* from the return of the first to that of the last */
#define AWAY_FROM_MS  2000
#define SIMULATED_MS  7000
#define LASTING_FROM_MS                                                        \
	3000	     /* by then, a lasting overload is told from a wave */
#define SWEEP_MS 500 /* interval of carob-flowd */
#define MS	 CAROB_NS_PER_MS

/* How a new flow above the limit is treated. */
typedef enum way {
	WAY_REFUSE,	  /* reset at once */
	WAY_NO_LIMIT,	  /* forwarded */
	WAY_DEFER_ALWAYS, /* dropped as long as the caller repeats its SYN */
	WAY_PRESENT,	  /* the code under test */
	WAY_COUNT
} way_t;

static const char *const way_names[WAY_COUNT] = {"refuse", "no limit",
						 "defer always", "present"};

/* A load and an outage. */
typedef struct scenario {
	double load;	  /* of the capacity */
	uint32_t away_ms; /* 0: no outage */
	uint32_t instances;
	uint32_t hosts;
	bool one_visible; /* routers use one instance for RETURN_MS */
} scenario_t;

typedef struct simulation simulation_t;

typedef struct instance {
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_steering_t *steering;
} instance_t;

typedef enum caller_phase {
	PHASE_SYN,	/* sends a SYN or a copy of it */
	PHASE_ARRIVAL,	/* the SYN reaches an instance */
	PHASE_REQUEST,	/* the flow opens and the request is sent */
	PHASE_RESPONSE, /* it arrives, or the request is sent again */
} caller_phase_t;

typedef struct caller {
	carob_timer_t timer;
	simulation_t *simulation;
	instance_t *instance;
	caller_phase_t phase;
	uint16_t port;
	uint8_t copy;
	uint32_t tries;
	uint32_t host;
	uint64_t first_ns; /* start of the first try */
	uint64_t try_ns;   /* start of this try */
	uint64_t request_ns;
	uint32_t request_copies; /* how often it was sent again */
	uint64_t due_ns;	 /* time of the response */
	bool shed;
} caller_t;

struct simulation {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	way_t way;
	const scenario_t *scenario;
	instance_t instances[INSTANCES_MAX];
	host_model_t hosts[HOSTS_MAX];
	carob_timer_t arrival;
	double per_s;
	uint64_t away_until_ns; /* end of the outage; 0: none */
	uint16_t next_port;
	uint64_t count_from_ns; /* callers that come earlier are not counted */
	uint32_t callers;
	uint32_t callers_after; /* those that come after the outage */
	uint32_t in_time_after; /* of them */
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;    /* all tries ended before the deadline */
	uint32_t expired;    /* the deadline passed */
	uint64_t refused_ms; /* time until the last try of refused callers */
};

/* Counts of a simulation, as fractions of all callers. */
typedef struct outcome {
	double in_time;
	double late;
	double unserved;
	double in_time_after; /* of those that come after the outage */
	double refused_ms;    /* mean time until a refused caller knew it */
} outcome_t;

static uint64_t now_ns(const simulation_t *simulation)
{
	return carob_clock_now_ns(&simulation->clock.clock);
}

static void schedule(caller_t *caller, caller_phase_t phase, uint64_t due_ns)
{
	caller->phase = phase;
	(void)carob_timer_arm(caller->simulation->kernel, &caller->timer,
			      due_ns);
}

static bool is_away(const simulation_t *simulation, uint64_t at_ns)
{
	return at_ns >= FIXTURE_START + AWAY_FROM_MS * MS &&
	       at_ns < simulation->away_until_ns;
}

/* Returns when an instance reads a packet that arrives now. */
static uint64_t read_time_ns(const simulation_t *simulation,
			     const instance_t *instance)
{
	uint64_t now = now_ns(simulation);
	uint64_t offset = (uint64_t)(instance - simulation->instances) *
			  SLICE_MS / simulation->scenario->instances * MS;

	if (simulation->away_until_ns == 0 || now < simulation->away_until_ns ||
	    now >= simulation->away_until_ns + BUSY_START_MS * MS)
		return now;
	now -= offset;
	return now - now % (SLICE_MS * MS) + SLICE_MS * MS + offset;
}

static bool is_counted(const caller_t *caller)
{
	return caller->first_ns >= caller->simulation->count_from_ns;
}

static bool came_after(const caller_t *caller)
{
	return caller->first_ns >= caller->simulation->away_until_ns;
}

static void end_caller(caller_t *caller, uint32_t *counter)
{
	if (is_counted(caller))
		(*counter)++;
	if (counter == &caller->simulation->in_time && came_after(caller))
		caller->simulation->in_time_after++;
	free(caller);
}

/* Chooses an instance as routers do: by a hash, among those that are back. When
 * another one is back, it gets its part of all flows, also of those that are
 * open or that are being opened. */
static instance_t *choose_instance(const caller_t *caller)
{
	simulation_t *simulation = caller->simulation;
	uint64_t now = now_ns(simulation);
	uint32_t back = simulation->scenario->instances;
	uint32_t best = 0;
	uint64_t most = 0;

	if (simulation->away_until_ns > 0 && now >= simulation->away_until_ns &&
	    now < simulation->away_until_ns + RETURN_MS * MS)
		back = simulation->scenario->one_visible
			       ? 1
			       : 1 + (uint32_t)(back *
						(now -
						 simulation->away_until_ns) /
						(RETURN_MS * MS));
	for (uint32_t i = 0; i < back; i++) {
		uint64_t hash =
			carob_hash_u64(((uint64_t)caller->port << 8) + i);

		if (hash < most)
			continue;
		most = hash;
		best = i;
	}
	return &simulation->instances[best];
}

static void begin_try(caller_t *caller)
{
	simulation_t *simulation = caller->simulation;

	if (caller->tries == TRIES) {
		if (is_counted(caller))
			simulation->refused_ms +=
				(now_ns(simulation) - caller->first_ns) / MS;
		end_caller(caller, &simulation->refused);
		return;
	}
	caller->tries++;
	caller->copy = 0;
	caller->port = simulation->next_port++;
	caller->try_ns = now_ns(simulation);
	schedule(caller, PHASE_SYN,
		 caller->try_ns + (caller->tries > 1 ? RETRY_MS * MS : 0));
}

/* Waits for the next copy of the SYN, or gives the try up after the last. */
static void await_copy(caller_t *caller)
{
	static const uint64_t due_ms[] = {200, 600, 1400};
	uint64_t due = caller->try_ns + due_ms[caller->copy] * MS;

	caller->copy++;
	if (due <= now_ns(caller->simulation))
		due = now_ns(caller->simulation) + MS;
	schedule(caller, PHASE_SYN, due);
}

static void send_syn(caller_t *caller)
{
	simulation_t *simulation = caller->simulation;

	if (now_ns(simulation) - caller->first_ns > DEADLINE_MS * MS) {
		end_caller(caller, &simulation->expired);
		return;
	}
	if (caller->copy == 3) {
		begin_try(caller);
		return;
	}
	if (is_away(simulation, now_ns(simulation))) {
		await_copy(caller);
		return;
	}
	caller->instance = choose_instance(caller);
	schedule(caller, PHASE_ARRIVAL,
		 read_time_ns(simulation, caller->instance));
}

static carob_steer_verdict_t verdict_of(const simulation_t *simulation,
					const carob_steer_result_t *result,
					uint8_t copy)
{
	if (result->reason == CAROB_STEER_DEFERRED &&
	    simulation->way == WAY_REFUSE)
		return CAROB_STEER_RESET;
	if (result->reason == CAROB_STEER_OVERLOADED &&
	    simulation->way == WAY_DEFER_ALWAYS && copy < 2)
		return CAROB_STEER_DROP;
	return result->verdict;
}

static void receive_syn(caller_t *caller)
{
	simulation_t *simulation = caller->simulation;
	carob_flow_packet_t packet = fixture_syn(caller->port, caller->copy);
	carob_steer_result_t result;

	carob_steering_packet(&result, caller->instance->steering, &packet);
	switch (verdict_of(simulation, &result, caller->copy)) {
	case CAROB_STEER_FORWARD:
		caller->host = (uint32_t)result.upstream->number - 1;
		schedule(caller, PHASE_REQUEST,
			 now_ns(simulation) + CONNECT_MS * MS);
		break;
	case CAROB_STEER_DROP:
		await_copy(caller);
		break;
	case CAROB_STEER_RESET:
		begin_try(caller);
		break;
	}
}

/* Waits for the response, or until the request is sent again. */
static void await_response(caller_t *caller)
{
	/* Since the request was first sent. */
	static const uint64_t copy_ms[] = {200, 600, 1400};
	uint64_t next = caller->due_ns;

	if (caller->request_copies < CAROB_ARRAY_SIZE(copy_ms) &&
	    caller->request_ns + copy_ms[caller->request_copies] * MS < next)
		next = caller->request_ns +
		       copy_ms[caller->request_copies] * MS;
	schedule(caller, PHASE_RESPONSE, next);
}

static void send_data(caller_t *caller, const carob_flow_packet_t *packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, choose_instance(caller)->steering,
			      packet);
}

static void send_request(caller_t *caller)
{
	simulation_t *simulation = caller->simulation;
	uint64_t work =
		(WORK_MS / 2 + carob_rng_below(&simulation->rng, WORK_MS)) * MS;
	carob_flow_packet_t packet =
		fixture_data(caller->port, caller->host + 1, 0, 100, 5000);
	uint64_t due;

	send_data(caller, &packet);
	due = host_model_enter(&simulation->hosts[caller->host], SLOTS, QUEUE,
			       now_ns(simulation), work);
	caller->shed = due == 0;
	caller->request_ns = now_ns(simulation);
	caller->request_copies = 0;
	caller->due_ns = caller->shed ? now_ns(simulation) + MS : due;
	await_response(caller);
}

static void receive_response(caller_t *caller)
{
	simulation_t *simulation = caller->simulation;
	uint64_t waited = now_ns(simulation) - caller->first_ns;
	carob_flow_packet_t again =
		fixture_data(caller->port, caller->host + 1, 0, 100, 5000);
	carob_flow_packet_t end =
		fixture_data(caller->port, caller->host + 1, 100, 0, 6000);

	if (now_ns(simulation) < caller->due_ns) {
		send_data(caller, &again);
		caller->request_copies++;
		await_response(caller);
		return;
	}
	end.fin = true;
	send_data(caller, &end);
	if (caller->shed) {
		begin_try(caller);
		return;
	}
	simulation->hosts[caller->host].active_requests--;
	if (waited <= TARGET_MS * MS)
		end_caller(caller, &simulation->in_time);
	else if (waited <= DEADLINE_MS * MS)
		end_caller(caller, &simulation->late);
	else
		end_caller(caller, &simulation->expired);
}

static void on_caller_timer(carob_timer_t *timer)
{
	static void (*const steps[])(caller_t *) = {
		[PHASE_SYN] = send_syn,
		[PHASE_ARRIVAL] = receive_syn,
		[PHASE_REQUEST] = send_request,
		[PHASE_RESPONSE] = receive_response,
	};
	caller_t *caller = CAROB_CONTAINER_OF(timer, caller_t, timer);

	steps[caller->phase](caller);
}

static void on_arrival(carob_timer_t *timer)
{
	simulation_t *simulation =
		CAROB_CONTAINER_OF(timer, simulation_t, arrival);
	uint64_t gap_ns = (uint64_t)(2.0 * carob_rng_unit(&simulation->rng) *
				     CAROB_NS_PER_S / simulation->per_s);
	caller_t *caller = calloc(1, sizeof(*caller));

	(void)carob_timer_arm(simulation->kernel, timer,
			      timer->due_ns + gap_ns);
	CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
	if (!caller)
		return;
	caller->timer.fire = on_caller_timer;
	caller->simulation = simulation;
	caller->first_ns = now_ns(simulation);
	simulation->callers += is_counted(caller);
	simulation->callers_after += came_after(caller);
	begin_try(caller);
}

static void add_hosts(simulation_t *simulation, instance_t *instance)
{
	static const char *const zones[ZONES] = {"a", "b", "c"};

	for (uint32_t i = 0; i < simulation->scenario->hosts; i++) {
		char id[16];
		/* So many slots that the limit is never reached. */
		uint32_t slots = simulation->way == WAY_NO_LIMIT ? 1000 : SLOTS;

		(void)snprintf(id, sizeof(id), "i-%x", i + 1);
		fixture_put(&instance->upstreams,
			    &(fixture_upstream_t)UPSTREAM(
				    id, i + 1, "desk", zones[i % ZONES], slots),
			    i + 1);
	}
}

static void start_instance(simulation_t *simulation, instance_t *instance)
{
	static const char *const zones[ZONES] = {"a", "b", "c"};
	size_t index = (size_t)(instance - simulation->instances);
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;
	carob_route_share_t share = {.weight = 1};
	carob_route_t route = {
		.endpoint = FIXTURE_ROUTE,
		.idempotent = true,
		.target_ms = TARGET_MS,
		.timeout_ms = DEADLINE_MS,
		.share_count = 1,
		.shares = &share,
	};
	carob_route_config_t config = {
		.version = 1, .count = 1, .routes = &route};

	CU_ASSERT_EQUAL(carob_name_table_add(&share.service,
					     &instance->upstreams.services,
					     CAROB_STR("desk")),
			0);
	CU_ASSERT_EQUAL(carob_route_table_apply(&instance->routes, &config), 0);
	add_hosts(simulation, instance);
	options.clock = &simulation->clock.clock;
	options.routes = &instance->routes;
	options.upstreams = &instance->upstreams;
	options.home_zone = carob_str_from(zones[index % ZONES]);
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&instance->steering, &options),
			      0);
}

static void stop_instance(instance_t *instance)
{
	carob_steering_free(instance->steering);
	carob_route_table_dispose(&instance->routes);
	carob_upstream_table_dispose(&instance->upstreams);
	memset(instance, 0, sizeof(*instance));
}

static void run_until(simulation_t *simulation, uint64_t ms)
{
	while (now_ns(simulation) < FIXTURE_START + ms * MS) {
		carob_manual_clock_advance(&simulation->clock, MS);
		carob_kernel_run_due(simulation->kernel);
		if (now_ns(simulation) / MS % SWEEP_MS != 0)
			continue;
		for (size_t i = 0; i < simulation->scenario->instances; i++)
			carob_steering_sweep(simulation->instances[i].steering);
	}
}

static outcome_t outcome_of(const simulation_t *simulation)
{
	double callers = simulation->callers;

	return (outcome_t){
		.in_time = simulation->in_time / callers,
		.late = simulation->late / callers,
		.unserved =
			(simulation->refused + simulation->expired) / callers,
		.in_time_after = simulation->callers_after
					 ? (double)simulation->in_time_after /
						   simulation->callers_after
					 : 1,
		.refused_ms = simulation->refused == 0
				      ? 0
				      : (double)simulation->refused_ms /
						simulation->refused,
	};
}

static double capacity_per_s(const scenario_t *scenario)
{
	return scenario->hosts * SLOTS * 1000.0 / WORK_MS;
}

static outcome_t simulate(way_t way, const scenario_t *scenario, uint64_t seed)
{
	static simulation_t simulation;
	uint32_t away_ms = scenario->away_ms;
	outcome_t outcome;

	memset(&simulation, 0, sizeof(simulation));
	carob_manual_clock_init(&simulation.clock, FIXTURE_START);
	carob_rng_init(&simulation.rng, seed);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&simulation.kernel,
					       &simulation.clock.clock),
			      0);
	simulation.way = way;
	simulation.next_port = 1;
	simulation.scenario = scenario;
	simulation.per_s = scenario->load * capacity_per_s(scenario);
	simulation.count_from_ns =
		FIXTURE_START + (away_ms ? 0 : LASTING_FROM_MS) * MS;
	simulation.away_until_ns =
		away_ms ? FIXTURE_START + (AWAY_FROM_MS + away_ms) * MS : 0;
	for (size_t i = 0; i < scenario->instances; i++)
		start_instance(&simulation, &simulation.instances[i]);
	simulation.arrival.fire = on_arrival;
	(void)carob_timer_arm(simulation.kernel, &simulation.arrival,
			      FIXTURE_START);
	run_until(&simulation, AWAY_FROM_MS);
	for (size_t i = 0; away_ms && i < scenario->instances; i++) {
		stop_instance(&simulation.instances[i]);
		start_instance(&simulation, &simulation.instances[i]);
	}
	run_until(&simulation, SIMULATED_MS);
	carob_timer_cancel(simulation.kernel, &simulation.arrival);
	run_until(&simulation, SIMULATED_MS + 2 * DEADLINE_MS);
	outcome = outcome_of(&simulation);
	for (size_t i = 0; i < scenario->instances; i++)
		stop_instance(&simulation.instances[i]);
	carob_kernel_free(simulation.kernel);
	return outcome;
}

#endif
