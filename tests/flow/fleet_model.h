/**
 * @file fleet_model.h
 * Simulates callers, a fleet of instances in three zones and their upstreams on
 * a manual clock. Each caller opens a flow and sends one request. Instances
 * exchange the means of their loads in intervals, so that what they know is one
 * to two intervals old.
 *
 * Upstreams are chosen by the model, by the load of all: the tag in the packet
 * after the SYN moves the flow to the chosen upstream. So the counts depend on
 * the admission decisions alone, and are compared between fleets with and
 * without a view.
 */
#ifndef CAROB_TESTS_FLEET_MODEL_H
#define CAROB_TESTS_FLEET_MODEL_H

#include "flow/flow_fixture.h"
#include "flow/host_model.h"

#include "carobtrail/kernel.h"
#include "carobtrail/rng.h"

#include <stdlib.h>

#define FLEET_ZONES	 3
#define FLEET_PRIORITIES 3

/** Loads and faults of a simulation; times in milliseconds. */
typedef struct fleet_scenario {
	const char *name;
	uint32_t instances;
	uint32_t hosts;
	double load;		   /* offered, in multiples of the capacity */
	double crowd[FLEET_ZONES]; /* factor of the load during the crowd */
	uint32_t crowd_from;
	uint32_t crowd_to;
	uint32_t away_from; /* all instances are killed; 0: never */
	uint32_t away_to;
	uint32_t duration;   /* callers come for so long */
	uint32_t count_from; /* callers before that are not counted */
	uint32_t retries;
	uint32_t view_ms;    /* interval of the reports */
	uint32_t idle_flows; /* open flows without requests, of all instances */
	double urgent;	     /* share of callers with priority 1, not 2 */
	uint32_t addresses;  /* of callers; 0: each caller has its own */
	double greedy;	     /* times that address 0 asks as much as others */
	bool blind;  /* upstreams are chosen at random, not by their load */
	double slow; /* share of upstreams that take three times as long */
	bool has_view;
	bool is_mute; /* the view exists but is never updated */
} fleet_scenario_t;

/** What a group of callers gets. */
typedef struct fleet_counts {
	uint32_t callers;
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;
	uint32_t attempts;
} fleet_counts_t;

/** Result of a simulation. */
typedef struct fleet_result {
	fleet_counts_t all;
	fleet_counts_t by_priority[FLEET_PRIORITIES];
	fleet_counts_t by_zone[FLEET_ZONES];
	fleet_counts_t greedy;
	uint32_t shed;	   /* attempts that ended with 503 */
	double refused_ms; /* mean time until a refused caller knew it */
	double served_of_capacity; /* work done while counted, of the slots */
	uint64_t turned_away;	   /* SYNs that were refused or deferred */
	uint64_t caller_share;	   /* of them, since the caller has had more */
	uint64_t floor_used;
} fleet_result_t;

#define FLEET_SLOTS	    2
#define FLEET_QUEUE	    8
#define FLEET_WORK_MS	    42
#define FLEET_TARGET_MS	    300
#define FLEET_DEADLINE_MS   2000
#define FLEET_CONNECT_MS    6 /* from a SYN that is forwarded to the request */
#define FLEET_RETRY_MS	    3 /* from a reset or a shed to the next attempt */
#define FLEET_INSTANCES_MAX 135
#define FLEET_HOSTS_MAX	    120
#define FLEET_SAMPLE_MS	    10 /* between samples of the load */
#define FLEET_SWEEP_MS	    500
#define FLEET_URGENT	    1
#define FLEET_NORMAL	    2
/* Load in another zone at which it is chosen, in requests per slot. */
#define FLEET_ZONE_MARGIN 0.5

typedef struct fleet fleet_t;

typedef struct fleet_instance {
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_steering_t *steering;
	carob_load_view_t view;
} fleet_instance_t;

typedef enum fleet_phase {
	FLEET_PHASE_SYN,      /* sends a SYN or a copy of it */
	FLEET_PHASE_REQUEST,  /* the flow opens and the request is sent */
	FLEET_PHASE_RESPONSE, /* it arrives, or the request is sent again */
} fleet_phase_t;

typedef struct fleet_caller {
	carob_timer_t timer;
	fleet_t *fleet;
	fleet_instance_t *instance;
	fleet_phase_t phase;
	carob_endpoint_t endpoint;
	uint32_t zone;
	uint32_t priority;
	bool greedy;
	uint8_t copy;
	uint32_t attempts;
	uint32_t host;
	uint64_t first_ns; /* start of the first attempt */
	uint64_t try_ns;   /* start of this attempt */
	uint64_t request_ns;
	uint32_t request_copies; /* how often it was sent again */
	uint64_t due_ns;	 /* time of the response */
	bool shed;
} fleet_caller_t;

struct fleet {
	const fleet_scenario_t *scenario;
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	fleet_instance_t instances[FLEET_INSTANCES_MAX];
	host_model_t hosts[FLEET_HOSTS_MAX];
	/* Sums of samples of this interval, and means of the one before. */
	float sampled[FLEET_INSTANCES_MAX][FLEET_HOSTS_MAX];
	float reported[FLEET_INSTANCES_MAX][FLEET_HOSTS_MAX];
	bool has_reports;
	uint32_t samples;
	carob_timer_t arrival;
	uint32_t next_port;
	uint32_t next_address;
	uint64_t refused_ms;
	uint64_t busy_ns;
	fleet_result_t result;
};

static uint64_t fleet_now_ms(const fleet_t *fleet)
{
	return (carob_clock_now_ns(&fleet->clock.clock) - FIXTURE_START) /
	       CAROB_NS_PER_MS;
}

static bool fleet_is_away(const fleet_t *fleet)
{
	uint64_t now = fleet_now_ms(fleet);

	return fleet->scenario->away_from > 0 &&
	       now >= fleet->scenario->away_from &&
	       now < fleet->scenario->away_to;
}

static void fleet_schedule(fleet_caller_t *caller, fleet_phase_t phase,
			   uint64_t due_ns)
{
	caller->phase = phase;
	(void)carob_timer_arm(caller->fleet->kernel, &caller->timer, due_ns);
}

static bool fleet_is_counted(const fleet_caller_t *caller)
{
	return caller->first_ns >=
	       FIXTURE_START +
		       caller->fleet->scenario->count_from * CAROB_NS_PER_MS;
}

/* Adds 1 to a member of all groups that a caller belongs to. */
#define FLEET_COUNT(caller, member, by)                                        \
	do {                                                                   \
		fleet_result_t *r = &(caller)->fleet->result;                  \
                                                                               \
		if (!fleet_is_counted(caller))                                 \
			break;                                                 \
		r->all.member += (by);                                         \
		r->by_priority[(caller)->priority].member += (by);             \
		r->by_zone[(caller)->zone].member += (by);                     \
		if ((caller)->greedy)                                          \
			r->greedy.member += (by);                              \
	} while (0)

static void fleet_begin_attempt(fleet_caller_t *caller)
{
	fleet_t *fleet = caller->fleet;
	uint64_t now = carob_clock_now_ns(&fleet->clock.clock);

	if (caller->attempts == 1 + fleet->scenario->retries ||
	    now - caller->first_ns > FLEET_DEADLINE_MS * CAROB_NS_PER_MS) {
		if (fleet_is_counted(caller))
			fleet->refused_ms +=
				(now - caller->first_ns) / CAROB_NS_PER_MS;
		FLEET_COUNT(caller, refused, 1);
		free(caller);
		return;
	}
	FLEET_COUNT(caller, attempts, 1);
	caller->copy = 0;
	caller->endpoint.port = (uint16_t)fleet->next_port++;
	caller->try_ns = now + (caller->attempts > 0 ? FLEET_RETRY_MS : 0) *
				       CAROB_NS_PER_MS;
	caller->attempts++;
	/* Routers choose by a hash of the ports: at random. */
	caller->instance =
		&fleet->instances[caller->zone +
				  FLEET_ZONES *
					  carob_rng_below(
						  &fleet->rng,
						  (fleet->scenario->instances -
						   caller->zone + FLEET_ZONES -
						   1) / FLEET_ZONES)];
	fleet_schedule(caller, FLEET_PHASE_SYN, caller->try_ns);
}

/* Waits for the next copy of the SYN, or ends the attempt after the last. */
static void fleet_await_copy(fleet_caller_t *caller)
{
	static const uint64_t due_ms[] = {200, 600, 1400};

	fleet_schedule(caller, FLEET_PHASE_SYN,
		       caller->try_ns +
			       due_ms[caller->copy++] * CAROB_NS_PER_MS);
}

/* Chooses the less loaded of two hosts of the own zone, or one of another zone
 * whose load is lower by a margin. The model knows the present loads: how well
 * flows are spread is not what is tested. */
static uint32_t fleet_choose_host(fleet_t *fleet, const fleet_caller_t *caller)
{
	uint32_t per_zone = fleet->scenario->hosts / FLEET_ZONES;
	double least = 1e9;
	uint32_t best = 0;

	if (fleet->scenario->blind)
		return carob_rng_below(&fleet->rng, fleet->scenario->hosts);
	for (uint32_t i = 0; i < FLEET_ZONES + 1; i++) {
		uint32_t zone = (caller->zone + i) % FLEET_ZONES;
		uint32_t host =
			zone +
			FLEET_ZONES * carob_rng_below(&fleet->rng, per_zone);
		double load = (double)fleet->hosts[host].active_requests /
				      FLEET_SLOTS +
			      (zone == caller->zone ? 0 : FLEET_ZONE_MARGIN);

		if (load >= least)
			continue;
		least = load;
		best = host;
	}
	return best;
}

static void fleet_send_syn(fleet_caller_t *caller)
{
	fleet_t *fleet = caller->fleet;
	carob_flow_packet_t packet = fixture_syn(0, caller->copy);
	carob_steer_result_t result;

	if (caller->copy == 3) {
		fleet_begin_attempt(caller);
		return;
	}
	if (fleet_is_away(fleet)) {
		fleet_await_copy(caller);
		return;
	}
	packet.caller = caller->endpoint;
	packet.route.port = (uint16_t)(443 + caller->priority);
	carob_steering_packet(&result, caller->instance->steering, &packet);
	if (result.verdict == CAROB_STEER_DROP) {
		fleet_await_copy(caller);
	} else if (result.verdict == CAROB_STEER_RESET) {
		fleet_begin_attempt(caller);
	} else {
		caller->host = fleet_choose_host(fleet, caller);
		fleet_schedule(caller, FLEET_PHASE_REQUEST,
			       carob_clock_now_ns(&fleet->clock.clock) +
				       FLEET_CONNECT_MS * CAROB_NS_PER_MS);
	}
}

static void fleet_send_data(const fleet_caller_t *caller, uint32_t offset,
			    uint16_t bytes, uint32_t ack, bool fin)
{
	carob_flow_packet_t packet =
		fixture_data(0, caller->host + 1, offset, bytes, ack);
	carob_steer_result_t result;

	if (fleet_is_away(caller->fleet))
		return;
	packet.caller = caller->endpoint;
	packet.route.port = (uint16_t)(443 + caller->priority);
	packet.fin = fin;
	carob_steering_packet(&result, caller->instance->steering, &packet);
}

/* Waits for the response, or until the request is sent again. */
static void fleet_await_response(fleet_caller_t *caller)
{
	/* Since the request was first sent. */
	static const uint64_t copy_ms[] = {200, 600, 1400, 3000, 4600};
	uint64_t next = caller->due_ns;

	if (caller->request_copies < CAROB_ARRAY_SIZE(copy_ms) &&
	    caller->request_ns +
			    copy_ms[caller->request_copies] * CAROB_NS_PER_MS <
		    next)
		next = caller->request_ns +
		       copy_ms[caller->request_copies] * CAROB_NS_PER_MS;
	fleet_schedule(caller, FLEET_PHASE_RESPONSE, next);
}

static void fleet_send_request(fleet_caller_t *caller)
{
	fleet_t *fleet = caller->fleet;
	uint64_t now = carob_clock_now_ns(&fleet->clock.clock);
	uint64_t work = (FLEET_WORK_MS / 2 +
			 carob_rng_below(&fleet->rng, FLEET_WORK_MS)) *
			CAROB_NS_PER_MS;
	uint64_t due;

	if (caller->host < fleet->scenario->slow * fleet->scenario->hosts)
		work *= 3;
	fleet_send_data(caller, 0, 100, 5000, false);
	due = host_model_enter(&fleet->hosts[caller->host], FLEET_SLOTS,
			       FLEET_QUEUE, now, work);
	caller->shed = due == 0;
	if (!caller->shed && fleet_is_counted(caller))
		fleet->busy_ns += work;
	caller->request_ns = now;
	caller->request_copies = 0;
	caller->due_ns = caller->shed ? now + CAROB_NS_PER_MS : due;
	fleet_await_response(caller);
}

static void fleet_receive_response(fleet_caller_t *caller)
{
	uint64_t ms = (carob_clock_now_ns(&caller->fleet->clock.clock) -
		       caller->first_ns) /
		      CAROB_NS_PER_MS;

	if (carob_clock_now_ns(&caller->fleet->clock.clock) < caller->due_ns) {
		fleet_send_data(caller, 0, 100, 5000, false);
		caller->request_copies++;
		fleet_await_response(caller);
		return;
	}
	fleet_send_data(caller, 100, 0, 6000, true);
	if (caller->shed) {
		caller->fleet->result.shed += fleet_is_counted(caller);
		fleet_begin_attempt(caller);
		return;
	}
	caller->fleet->hosts[caller->host].active_requests--;
	if (ms <= FLEET_TARGET_MS)
		FLEET_COUNT(caller, in_time, 1);
	else if (ms <= FLEET_DEADLINE_MS)
		FLEET_COUNT(caller, late, 1);
	else
		FLEET_COUNT(caller, refused, 1);
	free(caller);
}

static void fleet_on_caller(carob_timer_t *timer)
{
	static void (*const steps[])(fleet_caller_t *) = {
		[FLEET_PHASE_SYN] = fleet_send_syn,
		[FLEET_PHASE_REQUEST] = fleet_send_request,
		[FLEET_PHASE_RESPONSE] = fleet_receive_response,
	};
	fleet_caller_t *caller =
		CAROB_CONTAINER_OF(timer, fleet_caller_t, timer);

	steps[caller->phase](caller);
}

static double fleet_zone_load(const fleet_t *fleet, uint32_t zone)
{
	const fleet_scenario_t *scenario = fleet->scenario;
	uint64_t now = fleet_now_ms(fleet);
	bool crowd = now >= scenario->crowd_from && now < scenario->crowd_to;

	return scenario->load / FLEET_ZONES *
	       (crowd ? scenario->crowd[zone] : 1);
}

static uint32_t fleet_choose_zone(fleet_t *fleet, double load)
{
	double at = load * carob_rng_unit(&fleet->rng);
	uint32_t zone = 0;

	while (zone + 1 < FLEET_ZONES && at >= fleet_zone_load(fleet, zone))
		at -= fleet_zone_load(fleet, zone++);
	return zone;
}

static void fleet_choose_address(fleet_t *fleet, fleet_caller_t *caller)
{
	const fleet_scenario_t *scenario = fleet->scenario;
	uint32_t others = scenario->addresses - 1;
	double at;

	caller->endpoint.ip = 0x64400000 + ++fleet->next_address;
	if (scenario->addresses == 0)
		return;
	at = carob_rng_unit(&fleet->rng) * (others + scenario->greedy);
	caller->greedy = at >= others;
	caller->endpoint.ip =
		0x64400000 + (caller->greedy ? 0 : 1 + (uint32_t)at);
}

static void fleet_on_arrival(carob_timer_t *timer)
{
	fleet_t *fleet = CAROB_CONTAINER_OF(timer, fleet_t, arrival);
	double capacity_per_s =
		fleet->scenario->hosts * FLEET_SLOTS * 1000.0 / FLEET_WORK_MS;
	fleet_caller_t *caller = calloc(1, sizeof(*caller));
	double load = 0;

	for (uint32_t zone = 0; zone < FLEET_ZONES; zone++)
		load += fleet_zone_load(fleet, zone);
	(void)carob_timer_arm(
		fleet->kernel, timer,
		timer->due_ns +
			(uint64_t)(2.0 * carob_rng_unit(&fleet->rng) *
				   CAROB_NS_PER_S / (load * capacity_per_s)));
	CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
	if (!caller)
		return;
	caller->timer.fire = fleet_on_caller;
	caller->fleet = fleet;
	caller->first_ns = carob_clock_now_ns(&fleet->clock.clock);
	caller->zone = fleet_choose_zone(fleet, load);
	caller->priority = carob_rng_unit(&fleet->rng) < fleet->scenario->urgent
				   ? FLEET_URGENT
				   : FLEET_NORMAL;
	fleet_choose_address(fleet, caller);
	FLEET_COUNT(caller, callers, 1);
	fleet_begin_attempt(caller);
}

static void fleet_add_hosts(const fleet_t *fleet, fleet_instance_t *instance)
{
	static const char *const zones[FLEET_ZONES] = {"a", "b", "c"};
	uint32_t hosts = fleet->scenario->hosts;
	uint32_t idle =
		fleet->scenario->idle_flows / fleet->scenario->instances;

	for (uint32_t i = 0; i < hosts; i++) {
		char id[12];

		(void)snprintf(id, sizeof(id), "i-%x", i + 1);
		fixture_put(&instance->upstreams,
			    &(fixture_upstream_t)UPSTREAM(
				    id, i + 1, "desk", zones[i % FLEET_ZONES],
				    FLEET_SLOTS,
				    .open_flows =
					    idle / hosts + (i < idle % hosts)),
			    i + 1);
	}
}

static void fleet_configure(fleet_instance_t *instance)
{
	carob_route_t routes[2] = {{.priority = FLEET_URGENT},
				   {.priority = FLEET_NORMAL}};
	carob_route_share_t share = {.weight = 1};
	carob_route_config_t config = {
		.version = 1, .count = 2, .routes = routes};

	CU_ASSERT_EQUAL(carob_name_table_add(&share.service,
					     &instance->upstreams.services,
					     CAROB_STR("desk")),
			0);
	for (size_t i = 0; i < 2; i++) {
		routes[i].endpoint = FIXTURE_ROUTE;
		routes[i].endpoint.port = (uint16_t)(443 + routes[i].priority);
		routes[i].idempotent = true;
		routes[i].target_ms = FLEET_TARGET_MS;
		routes[i].share_count = 1;
		routes[i].shares = &share;
	}
	CU_ASSERT_EQUAL(carob_route_table_apply(&instance->routes, &config), 0);
}

static void fleet_start_instance(fleet_t *fleet, size_t index)
{
	static const char *const zones[FLEET_ZONES] = {"a", "b", "c"};
	fleet_instance_t *instance = &fleet->instances[index];
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;

	fleet_configure(instance);
	fleet_add_hosts(fleet, instance);
	options.clock = &fleet->clock.clock;
	options.routes = &instance->routes;
	options.upstreams = &instance->upstreams;
	options.home_zone = carob_str_from(zones[index % FLEET_ZONES]);
	if (fleet->scenario->has_view)
		options.load_view = &instance->view;
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&instance->steering, &options),
			      0);
}

static void fleet_stop_instance(fleet_t *fleet, size_t index)
{
	fleet_instance_t *instance = &fleet->instances[index];
	const carob_shared_counters_t *shared =
		carob_steering_shared_counters(instance->steering);
	const uint64_t *reasons =
		carob_steering_counters(instance->steering)->reasons;

	fleet->result.turned_away +=
		reasons[CAROB_STEER_OVERLOADED] + reasons[CAROB_STEER_DEFERRED];
	for (size_t i = 0; shared && i < CAROB_ADMISSION_PRIORITIES; i++)
		fleet->result.caller_share +=
			shared->refused[CAROB_SHARED_CALLER_SHARE][i] +
			shared->deferred[CAROB_SHARED_CALLER_SHARE][i];
	fleet->result.floor_used += shared ? shared->floor_used : 0;
	carob_steering_free(instance->steering);
	carob_route_table_dispose(&instance->routes);
	carob_upstream_table_dispose(&instance->upstreams);
	memset(instance, 0, sizeof(*instance));
	memset(fleet->sampled[index], 0, sizeof(fleet->sampled[index]));
	memset(fleet->reported[index], 0, sizeof(fleet->reported[index]));
}

static void fleet_sample(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->scenario->instances; i++)
		for (size_t host = 0; host < fleet->scenario->hosts; host++)
			fleet->sampled[i][host] +=
				(float)fleet->instances[i]
					.upstreams.items[host]
					.pending;
	fleet->samples++;
}

static void fleet_update_view(fleet_t *fleet, size_t index, const float *sums)
{
	fleet_instance_t *instance = &fleet->instances[index];
	uint32_t instances = fleet->scenario->instances;
	uint32_t idle = fleet->scenario->idle_flows;
	uint32_t hosts = fleet->scenario->hosts;
	uint64_t now = carob_clock_now_ns(&fleet->clock.clock);

	for (size_t host = 0; host < hosts; host++)
		instance->upstreams.items[host].others_load =
			sums[host] - fleet->reported[index][host] +
			0.1F * (float)idle / (float)hosts *
				(float)(instances - 1) / (float)instances;
	instance->view = (carob_load_view_t){
		.zone_instances = (instances - (uint32_t)index % FLEET_ZONES +
				   FLEET_ZONES - 1) /
				  FLEET_ZONES,
		.all_instances = instances,
		.updated_ns = now,
		.expires_ns =
			now + 3 * fleet->scenario->view_ms * CAROB_NS_PER_MS,
		.counts_expire_ns = now + 60 * CAROB_NS_PER_S,
	};
}

/* Hands out the means of the interval before the last, then closes the last. */
static void fleet_report(fleet_t *fleet)
{
	float sums[FLEET_HOSTS_MAX] = {0};
	uint32_t instances = fleet->scenario->instances;

	for (size_t i = 0; i < instances; i++)
		for (size_t host = 0; host < fleet->scenario->hosts; host++)
			sums[host] += fleet->reported[i][host];
	for (size_t i = 0;
	     fleet->has_reports && !fleet->scenario->is_mute && i < instances;
	     i++)
		fleet_update_view(fleet, i, sums);
	for (size_t i = 0; i < instances; i++)
		for (size_t host = 0; host < fleet->scenario->hosts; host++)
			fleet->reported[i][host] =
				fleet->sampled[i][host] / (float)fleet->samples;
	memset(fleet->sampled, 0, sizeof(fleet->sampled));
	fleet->has_reports = true;
	fleet->samples = 0;
}

static void fleet_restart_all(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->scenario->instances; i++) {
		fleet_stop_instance(fleet, i);
		fleet_start_instance(fleet, i);
	}
	fleet->has_reports = false;
}

static void fleet_run_until(fleet_t *fleet, uint64_t end_ms)
{
	for (uint64_t ms = fleet_now_ms(fleet); ms < end_ms; ms++) {
		carob_manual_clock_advance(&fleet->clock, CAROB_NS_PER_MS);
		carob_kernel_run_due(fleet->kernel);
		if (ms % FLEET_SAMPLE_MS == 0)
			fleet_sample(fleet);
		if (ms % fleet->scenario->view_ms == 0)
			fleet_report(fleet);
		if (ms == fleet->scenario->away_to && ms > 0)
			fleet_restart_all(fleet);
		for (size_t i = 0;
		     ms % FLEET_SWEEP_MS == 0 && i < fleet->scenario->instances;
		     i++)
			carob_steering_sweep(fleet->instances[i].steering);
	}
}

static void fleet_print(const fleet_result_t *result,
			const fleet_scenario_t *scenario)
{
	const fleet_counts_t *all = &result->all;

	printf("\n%-26s %3u inst, view %4u ms, %u retries, %s: in time %.4f, "
	       "late %.4f, refused %.4f after %3.0f ms, attempts %.2f, "
	       "busy %.2f, shed %u, turned away %lu",
	       scenario->name, scenario->instances, scenario->view_ms,
	       scenario->retries, scenario->has_view ? "shared " : "present",
	       (double)all->in_time / all->callers,
	       (double)all->late / all->callers,
	       (double)all->refused / all->callers, result->refused_ms,
	       (double)all->attempts / all->callers, result->served_of_capacity,
	       result->shed, (unsigned long)result->turned_away);
}

/** Runs a scenario and prints its counts. */
static void fleet_simulate(fleet_result_t *out,
			   const fleet_scenario_t *scenario)
{
	static fleet_t fleet;

	memset(&fleet, 0, sizeof(fleet));
	fleet.scenario = scenario;
	fleet.next_port = 1;
	carob_manual_clock_init(&fleet.clock, FIXTURE_START);
	carob_rng_init(&fleet.rng, 1);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&fleet.kernel, &fleet.clock.clock), 0);
	for (size_t i = 0; i < scenario->instances; i++)
		fleet_start_instance(&fleet, i);
	fleet.arrival.fire = fleet_on_arrival;
	(void)carob_timer_arm(fleet.kernel, &fleet.arrival, FIXTURE_START);
	fleet_run_until(&fleet, scenario->duration);
	carob_timer_cancel(fleet.kernel, &fleet.arrival);
	fleet_run_until(&fleet, scenario->duration + 3 * FLEET_DEADLINE_MS);
	for (size_t i = 0; i < scenario->instances; i++)
		fleet_stop_instance(&fleet, i);
	carob_kernel_free(fleet.kernel);
	*out = fleet.result;
	if (out->all.refused > 0)
		out->refused_ms = (double)fleet.refused_ms / out->all.refused;
	out->served_of_capacity =
		(double)fleet.busy_ns / CAROB_NS_PER_MS /
		(scenario->hosts * FLEET_SLOTS *
		 (double)(scenario->duration - scenario->count_from));
	fleet_print(out, scenario);
}

#endif
