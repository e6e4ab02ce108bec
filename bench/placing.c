/* Simulates new flows on upstreams with a manual clock, with each placement
 * policy, load and seed. Prints one JSON object a line for each simulation.
 * Usage: bench-placing [SEEDS]
 *
 * Four instances in two availability zones place flows on twelve upstreams.
 * Each instance knows only the flows that it has placed itself. One upstream
 * is cold for its first ten seconds, one takes four times as long for each
 * request, and one is full: it answers no SYN. */
#include "carobtrail/admission.h"
#include "carobtrail/common.h"
#include "carobtrail/failure_detector.h"
#include "carobtrail/histogram.h"
#include "carobtrail/kernel.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "flow/host_model.h"
#include "placing_ways.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Callers here send one SYN and no copy, so that none is deferred. */
#define LAST_COPY	  2
#define INSTANCES	  4
#define UPSTREAMS	  12
#define COLD_UPSTREAM	  0    /* index of the upstream that starts cold */
#define SLOW_UPSTREAM	  5    /* index of the slow upstream */
#define FULL_UPSTREAM	  10   /* index of the upstream that is full */
#define SLOTS		  2    /* concurrent requests of each upstream */
#define QUEUE		  8    /* waiting requests of each upstream */
#define WORK_MS_MEAN	  55.0 /* mean processing time of a request */
#define COLD_FACTOR	  1.6  /* factor of the processing time */
#define SLOW_FACTOR	  4.0
#define COLD_MS		  10000
#define SECONDS		  20
#define TARGET_MS	  500  /* longest response time that is in time */
#define CALLER_TIMEOUT_MS 2500 /* callers stop waiting for a response */
#define CONNECT_MS	  6
#define SHED_MS		  5   /* time until a shed request is refused */
#define THINK_MS	  600 /* longest pause between two requests of a flow */
#define NS_PER_MS	  CAROB_NS_PER_MS
#define START_NS	  (1000 * CAROB_NS_PER_S)
/* One in LONG_SHARE flows has LONG_REQUESTS requests, the others have one. */
#define LONG_SHARE    4
#define LONG_REQUESTS 12
/* Mean number of requests of a flow. */
#define REQUESTS_MEAN ((LONG_REQUESTS + LONG_SHARE - 1.0) / LONG_SHARE)
/* Rate at load 1: half of the upstreams' capacity if none were impaired. */
#define REQUESTS_PER_S (0.5 * UPSTREAMS * SLOTS * 1000.0 / WORK_MS_MEAN)

static const double loads[] = {1.0, 1.7, 3.0};

/* Times of a SYN and its retransmissions, and the time at which the caller
 * gives up, in milliseconds after the first SYN. */
static const uint32_t syn_times_ms[] = {0, 200, 600, 1400};

typedef struct simulation simulation_t;

typedef struct instance {
	carob_upstream_table_t upstreams;
	carob_admission_t admission;
	carob_name_id_t service;
	carob_name_id_t zone;
} instance_t;

typedef enum stage {
	STAGE_OPENING,
	STAGE_CONNECTED,
	STAGE_WAITING,
} stage_t;

typedef struct flow {
	carob_timer_t timer;
	simulation_t *sim;
	instance_t *instance;
	uint64_t hash;
	uint64_t request_start_ns; /* 0: no request is in progress */
	carob_upstream_index_t upstream;
	stage_t stage;
	uint32_t syns;
	uint32_t requests; /* remaining ones, with the one in progress */
	bool shed;
} flow_t;

typedef struct counts {
	carob_histogram_t latency_ms;
	uint64_t requests;
	uint64_t in_time;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
} counts_t;

struct simulation {
	const placement_policy_t *policy;
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	instance_t instances[INSTANCES];
	host_model_t hosts[UPSTREAMS];
	carob_timer_t arrival;
	double flows_per_s;
	counts_t counts;
};

static void *check_allocated(void *memory)
{
	if (!memory) {
		fprintf(stderr, "bench-placing: out of memory\n");
		exit(1);
	}
	return memory;
}

static uint64_t now_ns(const simulation_t *sim)
{
	return carob_clock_now_ns(&sim->clock.clock);
}

static void arm_flow_timer(flow_t *flow, double ms)
{
	(void)carob_timer_arm(flow->sim->kernel, &flow->timer,
			      now_ns(flow->sim) + (uint64_t)(ms * NS_PER_MS));
}

static carob_upstream_t *upstream_of(const flow_t *flow)
{
	return &flow->instance->upstreams.items[flow->upstream];
}

static double work_ms(simulation_t *sim, uint32_t host)
{
	double ms = WORK_MS_MEAN * (0.5 + carob_rng_unit(&sim->rng));

	if (host == SLOW_UPSTREAM)
		ms *= SLOW_FACTOR;
	if (host == COLD_UPSTREAM &&
	    now_ns(sim) < START_NS + COLD_MS * NS_PER_MS)
		ms *= COLD_FACTOR;
	return ms;
}

static void end_flow(flow_t *flow)
{
	if (flow->upstream != CAROB_UPSTREAM_NONE)
		upstream_of(flow)->open_flows--;
	free(flow);
}

static void send_request(flow_t *flow)
{
	simulation_t *sim = flow->sim;
	double ms = work_ms(sim, flow->upstream);
	uint64_t due = host_model_enter(&sim->hosts[flow->upstream], SLOTS,
					QUEUE, now_ns(sim),
					(uint64_t)(ms * NS_PER_MS));

	flow->stage = STAGE_WAITING;
	flow->shed = due == 0;
	if (flow->shed)
		due = now_ns(sim) + SHED_MS * NS_PER_MS;
	(void)carob_timer_arm(sim->kernel, &flow->timer, due);
}

/* Begins a request of a flow other than the first, which begins with the
 * SYN. */
static void start_request(flow_t *flow)
{
	flow->sim->counts.requests++;
	flow->request_start_ns = now_ns(flow->sim);
	upstream_of(flow)->pending++;
}

static void count_response(flow_t *flow, uint64_t ms)
{
	counts_t *counts = &flow->sim->counts;

	if (flow->shed || ms > CALLER_TIMEOUT_MS) {
		counts->failed++;
		return;
	}
	carob_histogram_record(&counts->latency_ms, ms);
	if (ms <= TARGET_MS)
		counts->in_time++;
	else
		counts->late++;
}

static void on_response(flow_t *flow)
{
	simulation_t *sim = flow->sim;
	instance_t *instance = flow->instance;
	uint64_t ms = (now_ns(sim) - flow->request_start_ns) / NS_PER_MS;

	count_response(flow, ms);
	if (!flow->shed)
		sim->hosts[flow->upstream].active_requests--;
	upstream_of(flow)->pending--;
	carob_failure_detector_record_answer(&instance->upstreams,
					     flow->upstream, now_ns(sim));
	carob_admission_record_response(&instance->admission, instance->service,
					ms <= TARGET_MS, now_ns(sim));
	if (--flow->requests == 0 || flow->shed) {
		end_flow(flow);
		return;
	}
	flow->request_start_ns = 0;
	flow->stage = STAGE_CONNECTED;
	arm_flow_timer(flow, THINK_MS * carob_rng_unit(&sim->rng));
}

static carob_upstream_index_t choose_upstream(const flow_t *flow)
{
	carob_placement_query_t query = {
		.service = flow->instance->service,
		.home_zone = flow->instance->zone,
		.flow_hash = flow->hash,
		.except = flow->upstream,
		.now_ns = now_ns(flow->sim),
	};

	return flow->sim->policy->choose(&flow->instance->upstreams, &query);
}

static void move_flow(flow_t *flow, carob_upstream_index_t to)
{
	if (flow->upstream != CAROB_UPSTREAM_NONE) {
		upstream_of(flow)->open_flows--;
		upstream_of(flow)->pending--;
	}
	flow->upstream = to;
	upstream_of(flow)->open_flows++;
	upstream_of(flow)->pending++;
}

static void send_syn(flow_t *flow)
{
	uint32_t waited_ms = syn_times_ms[flow->syns];

	if (flow->syns > 0)
		carob_failure_detector_record_syn(&flow->instance->upstreams,
						  flow->upstream,
						  now_ns(flow->sim));
	if (flow->syns + 1 == CAROB_ARRAY_SIZE(syn_times_ms)) {
		flow->sim->counts.failed++;
		upstream_of(flow)->pending--;
		end_flow(flow);
		return;
	}
	move_flow(flow, choose_upstream(flow));
	flow->syns++;
	if (flow->upstream == FULL_UPSTREAM) {
		arm_flow_timer(flow, syn_times_ms[flow->syns] - waited_ms);
		return;
	}
	flow->stage = STAGE_CONNECTED;
	arm_flow_timer(flow, CONNECT_MS);
}

static void on_flow_timer(carob_timer_t *timer)
{
	flow_t *flow = CAROB_CONTAINER_OF(timer, flow_t, timer);

	switch (flow->stage) {
	case STAGE_OPENING:
		send_syn(flow);
		break;
	case STAGE_CONNECTED:
		if (flow->request_start_ns == 0)
			start_request(flow);
		send_request(flow);
		break;
	case STAGE_WAITING:
		on_response(flow);
		break;
	}
}

static bool is_refused(simulation_t *sim, instance_t *instance)
{
	carob_admission_query_t query = {.service = instance->service,
					 .home_zone = instance->zone,
					 .syn_copy = LAST_COPY};
	carob_admission_load_t load;

	if (!sim->policy->uses_admission)
		return false;
	carob_admission_measure(&load, &instance->admission,
				&instance->upstreams, &query);
	return carob_admission_decide(&instance->admission, &load, &query) !=
	       CAROB_ADMISSION_ACCEPT;
}

static void start_flow(simulation_t *sim)
{
	instance_t *instance =
		&sim->instances[carob_rng_below(&sim->rng, INSTANCES)];
	bool is_long = carob_rng_below(&sim->rng, LONG_SHARE) == 0;
	uint64_t hash = carob_rng_u64(&sim->rng);
	flow_t *flow;

	sim->counts.requests++;
	if (is_refused(sim, instance)) {
		sim->counts.refused++;
		return;
	}
	flow = check_allocated(calloc(1, sizeof(*flow)));
	flow->timer.fire = on_flow_timer;
	flow->sim = sim;
	flow->instance = instance;
	flow->hash = hash;
	flow->request_start_ns = now_ns(sim);
	flow->upstream = CAROB_UPSTREAM_NONE;
	flow->requests = is_long ? LONG_REQUESTS : 1;
	send_syn(flow);
}

static void on_arrival(carob_timer_t *timer)
{
	simulation_t *sim = CAROB_CONTAINER_OF(timer, simulation_t, arrival);
	double gap_s = 2.0 * carob_rng_unit(&sim->rng) / sim->flows_per_s;

	start_flow(sim);
	(void)carob_timer_arm(sim->kernel, timer,
			      timer->due_ns +
				      (uint64_t)(gap_s * CAROB_NS_PER_S));
}

static void add_upstreams(instance_t *instance)
{
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		char id[8];
		carob_upstream_entry_t entry = {
			.number = i + 1,
			.service = CAROB_STR("desk"),
			.zone = i % 2 ? CAROB_STR("hou-b") : CAROB_STR("hou-a"),
			.slots = SLOTS,
			.cold_ms = i == COLD_UPSTREAM ? COLD_MS : 0,
		};

		(void)snprintf(id, sizeof(id), "i-%x", i + 1);
		entry.id = carob_str_from(id);
		if (carob_upstream_table_put(&instance->upstreams, &entry,
					     i + 1, START_NS) != 0)
			check_allocated(NULL);
	}
}

static void init_instance(instance_t *instance, uint32_t number)
{
	carob_str_t zone = number % 2 ? CAROB_STR("hou-b") : CAROB_STR("hou-a");

	add_upstreams(instance);
	instance->service = carob_name_table_find(&instance->upstreams.services,
						  CAROB_STR("desk"));
	instance->zone =
		carob_name_table_find(&instance->upstreams.zones, zone);
}

static void run_until(simulation_t *sim, uint64_t end_ns)
{
	uint64_t due;

	while (carob_kernel_next_due(sim->kernel, &due) && due <= end_ns) {
		if (due > now_ns(sim))
			carob_manual_clock_advance(&sim->clock,
						   due - now_ns(sim));
		carob_kernel_run_due(sim->kernel);
	}
}

/* Returns the ratio of the highest to the mean processing time, over the
 * upstreams that are not impaired. */
static double imbalance(const simulation_t *sim)
{
	double sum = 0;
	double max = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		double busy = (double)sim->hosts[i].busy_ns;

		if (i == SLOW_UPSTREAM || i == FULL_UPSTREAM ||
		    i == COLD_UPSTREAM)
			continue;
		sum += busy;
		max = busy > max ? busy : max;
		count++;
	}
	return max * count / sum;
}

static void print_result(const simulation_t *sim, double load, uint64_t seed)
{
	const counts_t *counts = &sim->counts;
	double requests = (double)counts->requests;

	printf("{\"way\":\"%s\",\"load\":%.1f,\"seed\":%u,\"p50_ms\":%u,"
	       "\"p99_ms\":%u,\"in_time_per_s\":%.1f,\"in_time\":%.4f,"
	       "\"late\":%.4f,\"refused\":%.4f,\"failed\":%.4f,"
	       "\"imbalance\":%.3f}\n",
	       sim->policy->name, load, (unsigned int)seed,
	       (unsigned int)carob_histogram_quantile(&counts->latency_ms, 0.5),
	       (unsigned int)carob_histogram_quantile(&counts->latency_ms,
						      0.99),
	       (double)counts->in_time / SECONDS,
	       (double)counts->in_time / requests,
	       (double)counts->late / requests,
	       (double)counts->refused / requests,
	       (double)counts->failed / requests, imbalance(sim));
}

static void simulate(const placement_policy_t *policy, double load,
		     uint64_t seed)
{
	simulation_t *sim = check_allocated(calloc(1, sizeof(*sim)));

	sim->policy = policy;
	carob_manual_clock_init(&sim->clock, START_NS);
	carob_rng_init(&sim->rng, seed);
	if (carob_kernel_new(&sim->kernel, &sim->clock.clock) != 0)
		check_allocated(NULL);
	for (uint32_t i = 0; i < INSTANCES; i++)
		init_instance(&sim->instances[i], i);
	sim->flows_per_s = load * REQUESTS_PER_S / REQUESTS_MEAN;
	sim->arrival.fire = on_arrival;
	(void)carob_timer_arm(sim->kernel, &sim->arrival, START_NS);
	run_until(sim, START_NS + SECONDS * CAROB_NS_PER_S);
	carob_timer_cancel(sim->kernel, &sim->arrival);
	run_until(sim, START_NS + 2 * SECONDS * CAROB_NS_PER_S);
	print_result(sim, load, seed);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		carob_admission_dispose(&sim->instances[i].admission);
		carob_upstream_table_dispose(&sim->instances[i].upstreams);
	}
	carob_kernel_free(sim->kernel);
	free(sim);
}

int main(int argc, char **argv)
{
	uint64_t seeds = argc > 1 ? strtoull(argv[1], NULL, 10) : 5;

	carob_log_configure("bench-placing", NULL, CAROB_LOG_ERROR, NULL);
	for (size_t p = 0; p < PLACEMENT_POLICIES; p++)
		for (size_t l = 0; l < CAROB_ARRAY_SIZE(loads); l++)
			for (uint64_t seed = 1; seed <= seeds; seed++)
				simulate(&placement_policies[p], loads[l],
					 seed);
	return 0;
}
