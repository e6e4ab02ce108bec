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
#include "carobtrail/histogram.h"
#include "carobtrail/kernel.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "carobtrail/silence.h"
#include "flow/host_model.h"
#include "placing_ways.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES  4
#define UPSTREAMS  12
#define COLD	   0 /* index of the cold upstream */
#define SLOW	   5
#define FULL	   10
#define SLOTS	   2 /* of each upstream */
#define QUEUE	   8
#define WORK_MS	   55.0 /* mean processing time of a request */
#define COLD_X	   1.6	/* factor of the processing time */
#define SLOW_X	   4.0
#define COLD_MS	   10000
#define SECONDS	   20
#define TARGET_MS  500
#define LIMIT_MS   2500 /* callers stop waiting for a response */
#define CONNECT_MS 6
#define SHED_MS	   5   /* time until a shed request is refused */
#define THINK_MS   600 /* longest pause between two requests of a flow */
#define MS	   CAROB_NS_PER_MS
#define START	   (1000 * CAROB_NS_PER_S)
/* One in LONG_SHARE flows has LONG_REQUESTS requests, the others have one. */
#define LONG_SHARE    4
#define LONG_REQUESTS 12
/* Mean number of requests of a flow. */
#define REQUESTS_MEAN ((LONG_REQUESTS + LONG_SHARE - 1.0) / LONG_SHARE)
/* Rate at load 1: half of the upstreams' capacity if none were impaired. */
#define REQUESTS_PER_S (0.5 * UPSTREAMS * SLOTS * 1000.0 / WORK_MS)

static const double loads[] = {1.0, 1.7, 3.0};

/* Times of a SYN and its retransmissions, and the time at which the caller
 * gives up, in milliseconds after the first SYN. */
static const uint32_t syn_ms[] = {0, 200, 600, 1400};

typedef struct world world_t;

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
	world_t *world;
	instance_t *instance;
	uint64_t hash;
	uint64_t begun_ns; /* start of the request in progress; 0: none */
	carob_upstream_index_t upstream;
	stage_t stage;
	uint32_t syns;
	uint32_t requests; /* that remain, with the one in progress */
	bool shed;
} flow_t;

typedef struct tally {
	carob_histogram_t latency_ms;
	uint64_t asked;
	uint64_t in_time;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
} tally_t;

struct world {
	const placing_way_t *way;
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	instance_t instances[INSTANCES];
	host_model_t hosts[UPSTREAMS];
	carob_timer_t arrival;
	double flows_per_s;
	tally_t tally;
};

static void *checked(void *memory)
{
	if (!memory) {
		fprintf(stderr, "bench-placing: out of memory\n");
		exit(1);
	}
	return memory;
}

static uint64_t now_ns(const world_t *world)
{
	return carob_clock_now_ns(&world->clock.clock);
}

static void arm_in(flow_t *flow, double ms)
{
	(void)carob_timer_arm(flow->world->kernel, &flow->timer,
			      now_ns(flow->world) + (uint64_t)(ms * MS));
}

static carob_upstream_t *upstream_of(const flow_t *flow)
{
	return &flow->instance->upstreams.items[flow->upstream];
}

static double work_ms(world_t *world, uint32_t host)
{
	double ms = WORK_MS * (0.5 + carob_rng_unit(&world->rng));

	if (host == SLOW)
		ms *= SLOW_X;
	if (host == COLD && now_ns(world) < START + COLD_MS * MS)
		ms *= COLD_X;
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
	world_t *world = flow->world;
	double ms = work_ms(world, flow->upstream);
	uint64_t due = host_model_enter(&world->hosts[flow->upstream], SLOTS,
					QUEUE, now_ns(world),
					(uint64_t)(ms * MS));

	flow->stage = STAGE_WAITING;
	flow->shed = due == 0;
	if (flow->shed)
		due = now_ns(world) + SHED_MS * MS;
	(void)carob_timer_arm(world->kernel, &flow->timer, due);
}

/* Begins a request of a flow other than the first, which begins with the
 * SYN. */
static void begin_request(flow_t *flow)
{
	flow->world->tally.asked++;
	flow->begun_ns = now_ns(flow->world);
	upstream_of(flow)->pending++;
}

static void count_answer(flow_t *flow, uint64_t ms)
{
	tally_t *tally = &flow->world->tally;

	if (flow->shed || ms > LIMIT_MS) {
		tally->failed++;
		return;
	}
	carob_histogram_record(&tally->latency_ms, ms);
	if (ms <= TARGET_MS)
		tally->in_time++;
	else
		tally->late++;
}

static void take_answer(flow_t *flow)
{
	world_t *world = flow->world;
	instance_t *instance = flow->instance;
	uint64_t ms = (now_ns(world) - flow->begun_ns) / MS;

	count_answer(flow, ms);
	if (!flow->shed)
		world->hosts[flow->upstream].active_requests--;
	upstream_of(flow)->pending--;
	carob_failure_detector_record_answer(&instance->upstreams,
					     flow->upstream, now_ns(world));
	carob_admission_record_response(&instance->admission, instance->service,
					ms <= TARGET_MS, now_ns(world));
	if (--flow->requests == 0 || flow->shed) {
		end_flow(flow);
		return;
	}
	flow->begun_ns = 0;
	flow->stage = STAGE_CONNECTED;
	arm_in(flow, THINK_MS * carob_rng_unit(&world->rng));
}

static carob_upstream_index_t place(const flow_t *flow)
{
	carob_placement_query_t query = {
		.service = flow->instance->service,
		.home_zone = flow->instance->zone,
		.flow_hash = flow->hash,
		.except = flow->upstream,
		.now_ns = now_ns(flow->world),
	};

	return flow->world->way->choose(&flow->instance->upstreams, &query);
}

static void move_to(flow_t *flow, carob_upstream_index_t to)
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
	uint32_t waited_ms = syn_ms[flow->syns];

	if (flow->syns > 0)
		carob_failure_detector_record_syn(&flow->instance->upstreams,
						  flow->upstream,
						  now_ns(flow->world));
	if (flow->syns + 1 == CAROB_ARRAY_SIZE(syn_ms)) {
		flow->world->tally.failed++;
		upstream_of(flow)->pending--;
		end_flow(flow);
		return;
	}
	move_to(flow, place(flow));
	flow->syns++;
	if (flow->upstream == FULL) {
		arm_in(flow, syn_ms[flow->syns] - waited_ms);
		return;
	}
	flow->stage = STAGE_CONNECTED;
	arm_in(flow, CONNECT_MS);
}

static void on_flow(carob_timer_t *timer)
{
	flow_t *flow = CAROB_CONTAINER_OF(timer, flow_t, timer);

	switch (flow->stage) {
	case STAGE_OPENING:
		send_syn(flow);
		break;
	case STAGE_CONNECTED:
		if (flow->begun_ns == 0)
			begin_request(flow);
		send_request(flow);
		break;
	case STAGE_WAITING:
		take_answer(flow);
		break;
	}
}

static bool is_refused(world_t *world, instance_t *instance)
{
	carob_admission_query_t query = {.service = instance->service,
					 .home_zone = instance->zone};
	carob_admission_load_t load;

	return world->way->refuses &&
	       !carob_admission_admits(&load, &instance->admission,
				       &instance->upstreams, &query);
}

static void begin_flow(world_t *world)
{
	instance_t *instance =
		&world->instances[carob_rng_below(&world->rng, INSTANCES)];
	bool is_long = carob_rng_below(&world->rng, LONG_SHARE) == 0;
	uint64_t hash = carob_rng_u64(&world->rng);
	flow_t *flow;

	world->tally.asked++;
	if (is_refused(world, instance)) {
		world->tally.refused++;
		return;
	}
	flow = checked(calloc(1, sizeof(*flow)));
	flow->timer.fire = on_flow;
	flow->world = world;
	flow->instance = instance;
	flow->hash = hash;
	flow->begun_ns = now_ns(world);
	flow->upstream = CAROB_UPSTREAM_NONE;
	flow->requests = is_long ? LONG_REQUESTS : 1;
	send_syn(flow);
}

static void on_arrival(carob_timer_t *timer)
{
	world_t *world = CAROB_CONTAINER_OF(timer, world_t, arrival);
	double gap_s = 2.0 * carob_rng_unit(&world->rng) / world->flows_per_s;

	begin_flow(world);
	(void)carob_timer_arm(world->kernel, timer,
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
			.cold_ms = i == COLD ? COLD_MS : 0,
		};

		(void)snprintf(id, sizeof(id), "i-%x", i + 1);
		entry.id = carob_str_from(id);
		if (carob_upstream_table_put(&instance->upstreams, &entry,
					     i + 1, START) != 0)
			checked(NULL);
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

static void run_until(world_t *world, uint64_t end_ns)
{
	uint64_t due;

	while (carob_kernel_next_due(world->kernel, &due) && due <= end_ns) {
		if (due > now_ns(world))
			carob_manual_clock_advance(&world->clock,
						   due - now_ns(world));
		carob_kernel_run_due(world->kernel);
	}
}

/* Returns the ratio of the highest to the mean processing time, over the
 * upstreams that are not impaired. */
static double imbalance(const world_t *world)
{
	double sum = 0;
	double most = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		double busy = (double)world->hosts[i].busy_ns;

		if (i == SLOW || i == FULL || i == COLD)
			continue;
		sum += busy;
		most = busy > most ? busy : most;
		count++;
	}
	return most * count / sum;
}

static void print(const world_t *world, double load, uint64_t seed)
{
	const tally_t *tally = &world->tally;
	double asked = (double)tally->asked;

	printf("{\"way\":\"%s\",\"load\":%.1f,\"seed\":%u,\"p50_ms\":%u,"
	       "\"p99_ms\":%u,\"in_time_per_s\":%.1f,\"in_time\":%.4f,"
	       "\"late\":%.4f,\"refused\":%.4f,\"failed\":%.4f,"
	       "\"imbalance\":%.3f}\n",
	       world->way->name, load, (unsigned int)seed,
	       (unsigned int)carob_histogram_quantile(&tally->latency_ms, 0.5),
	       (unsigned int)carob_histogram_quantile(&tally->latency_ms, 0.99),
	       (double)tally->in_time / SECONDS, (double)tally->in_time / asked,
	       (double)tally->late / asked, (double)tally->refused / asked,
	       (double)tally->failed / asked, imbalance(world));
}

static void play(const placing_way_t *way, double load, uint64_t seed)
{
	world_t *world = checked(calloc(1, sizeof(*world)));

	world->way = way;
	carob_manual_clock_init(&world->clock, START);
	carob_rng_init(&world->rng, seed);
	if (carob_kernel_new(&world->kernel, &world->clock.clock) != 0)
		checked(NULL);
	for (uint32_t i = 0; i < INSTANCES; i++)
		init_instance(&world->instances[i], i);
	world->flows_per_s = load * REQUESTS_PER_S / REQUESTS_MEAN;
	world->arrival.fire = on_arrival;
	(void)carob_timer_arm(world->kernel, &world->arrival, START);
	run_until(world, START + SECONDS * CAROB_NS_PER_S);
	carob_timer_cancel(world->kernel, &world->arrival);
	run_until(world, START + 2 * SECONDS * CAROB_NS_PER_S);
	print(world, load, seed);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		carob_admission_dispose(&world->instances[i].admission);
		carob_upstream_table_dispose(&world->instances[i].upstreams);
	}
	carob_kernel_free(world->kernel);
	free(world);
}

int main(int argc, char **argv)
{
	uint64_t seeds = argc > 1 ? strtoull(argv[1], NULL, 10) : 5;

	carob_log_configure("bench-placing", NULL, CAROB_LOG_ERROR, NULL);
	for (size_t w = 0; w < PLACING_WAYS; w++)
		for (size_t l = 0; l < CAROB_ARRAY_SIZE(loads); l++)
			for (uint64_t seed = 1; seed <= seeds; seed++)
				play(&placing_ways[w], loads[l], seed);
	return 0;
}
