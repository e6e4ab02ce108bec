/*
 * Simulates callers, one instance and a few upstreams on a manual clock, at
 * loads below and above the capacity. Each caller opens a flow and sends one
 * request. Under overload the queues of the upstreams may grow until responses
 * are late although the upstreams are busy all the time; the test guards
 * against that, and against refusals while there is capacity.
 */
#include "flow/flow_fixture.h"
#include "flow/host_model.h"

#include "carobtrail/kernel.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"

#include <stdlib.h>

#define HOSTS	       4
#define SLOTS	       3
#define QUEUE	       8
#define WORK_MS	       80
#define TARGET_MS      250
#define CONNECT_MS     6 /* from a caller's SYN to its next packet */
#define SHED_MS	       5
#define SECONDS	       8
#define MS	       CAROB_NS_PER_MS
#define CAPACITY_PER_S (HOSTS * SLOTS * 1000.0 / WORK_MS)

typedef struct simulation simulation_t;

typedef struct caller {
	carob_timer_t timer;
	simulation_t *simulation;
	uint16_t port;
	uint32_t host;
	uint64_t started_ns;
	bool connected;
	bool shed;
} caller_t;

struct simulation {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_steering_t *steering;
	carob_timer_t arrival;
	double per_s;
	host_model_t hosts[HOSTS];
	uint16_t next_port;
	uint32_t callers;
	uint32_t in_time;
	uint32_t late;
	uint32_t shed;
	uint32_t refused;
};

static uint64_t now_ns(const simulation_t *simulation)
{
	return carob_clock_now_ns(&simulation->clock.clock);
}

static carob_steer_result_t steer(simulation_t *simulation,
				  carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, simulation->steering, &packet);
	return result;
}

static uint64_t random_work_ns(simulation_t *simulation)
{
	return (WORK_MS / 2 + carob_rng_below(&simulation->rng, WORK_MS)) * MS;
}

static void send_request(caller_t *caller)
{
	simulation_t *simulation = caller->simulation;
	uint32_t tag = caller->host + 1;
	uint64_t due;

	(void)steer(simulation, fixture_data(caller->port, tag, 0, 100, 5000));
	due = host_model_enter(&simulation->hosts[caller->host], SLOTS, QUEUE,
			       now_ns(simulation), random_work_ns(simulation));
	caller->connected = true;
	caller->shed = due == 0;
	if (caller->shed)
		due = now_ns(simulation) + SHED_MS * MS;
	(void)carob_timer_arm(simulation->kernel, &caller->timer, due);
}

static void receive_response(caller_t *caller)
{
	simulation_t *simulation = caller->simulation;
	carob_flow_packet_t end =
		fixture_data(caller->port, caller->host + 1, 100, 0, 6000);

	end.fin = true;
	(void)steer(simulation, end);
	if (caller->shed)
		simulation->shed++;
	else if (now_ns(simulation) - caller->started_ns <= TARGET_MS * MS)
		simulation->in_time++;
	else
		simulation->late++;
	if (!caller->shed)
		simulation->hosts[caller->host].active_requests--;
	free(caller);
}

static void on_caller_timer(carob_timer_t *timer)
{
	caller_t *caller = CAROB_CONTAINER_OF(timer, caller_t, timer);

	if (caller->connected)
		receive_response(caller);
	else
		send_request(caller);
}

static void on_arrival(carob_timer_t *timer)
{
	simulation_t *simulation =
		CAROB_CONTAINER_OF(timer, simulation_t, arrival);
	uint64_t gap_ns = (uint64_t)(2.0 * carob_rng_unit(&simulation->rng) *
				     CAROB_NS_PER_S / simulation->per_s);
	uint16_t port = simulation->next_port++;
	carob_steer_result_t result = steer(simulation, fixture_syn(port, 0));
	caller_t *caller;

	simulation->callers++;
	(void)carob_timer_arm(simulation->kernel, timer,
			      timer->due_ns + gap_ns);
	if (result.verdict != CAROB_STEER_FORWARD) {
		simulation->refused++;
		return;
	}
	caller = calloc(1, sizeof(*caller));
	CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
	if (!caller)
		return;
	caller->timer.fire = on_caller_timer;
	caller->simulation = simulation;
	caller->port = port;
	caller->host = (uint32_t)result.upstream->number - 1;
	caller->started_ns = now_ns(simulation);
	(void)carob_timer_arm(simulation->kernel, &caller->timer,
			      now_ns(simulation) + CONNECT_MS * MS);
}

static void add_hosts(simulation_t *simulation)
{
	static const char *const ids[HOSTS] = {"i-1", "i-2", "i-3", "i-4"};

	for (uint32_t i = 0; i < HOSTS; i++)
		fixture_put(&simulation->upstreams,
			    &(fixture_upstream_t)UPSTREAM(ids[i], i + 1, "desk",
							  "hou-a", SLOTS),
			    i + 1);
}

static void configure(simulation_t *simulation)
{
	carob_route_share_t share = {.weight = 1};
	carob_route_t route = {
		.endpoint = FIXTURE_ROUTE,
		.idempotent = true,
		.target_ms = TARGET_MS,
		.share_count = 1,
		.shares = &share,
	};
	carob_route_config_t config = {
		.version = 1, .count = 1, .routes = &route};

	CU_ASSERT_EQUAL(carob_name_table_add(&share.service,
					     &simulation->upstreams.services,
					     CAROB_STR("desk")),
			0);
	CU_ASSERT_EQUAL(carob_route_table_apply(&simulation->routes, &config),
			0);
}

static void run_for(simulation_t *simulation, uint64_t ns)
{
	for (uint64_t passed = 0; passed < ns; passed += MS) {
		carob_manual_clock_advance(&simulation->clock, MS);
		carob_kernel_run_due(simulation->kernel);
	}
}

static void simulate(simulation_t *simulation, double load)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;

	memset(simulation, 0, sizeof(*simulation));
	carob_manual_clock_init(&simulation->clock, FIXTURE_START);
	carob_rng_init(&simulation->rng, 1);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&simulation->kernel,
					       &simulation->clock.clock),
			      0);
	options.clock = &simulation->clock.clock;
	options.routes = &simulation->routes;
	options.upstreams = &simulation->upstreams;
	options.home_zone = CAROB_STR("hou-a");
	CU_ASSERT_EQUAL_FATAL(
		carob_steering_new(&simulation->steering, &options), 0);
	configure(simulation);
	add_hosts(simulation);
	simulation->next_port = 1;
	simulation->per_s = load * CAPACITY_PER_S;
	simulation->arrival.fire = on_arrival;
	(void)carob_timer_arm(simulation->kernel, &simulation->arrival,
			      FIXTURE_START);
	run_for(simulation, SECONDS * CAROB_NS_PER_S);
	carob_timer_cancel(simulation->kernel, &simulation->arrival);
	run_for(simulation, CAROB_NS_PER_S); /* waits for the last responses */
}

static void dispose(simulation_t *simulation)
{
	carob_steering_free(simulation->steering);
	carob_route_table_dispose(&simulation->routes);
	carob_upstream_table_dispose(&simulation->upstreams);
	carob_kernel_free(simulation->kernel);
}

/* Bounds at each load. All but the load are fractions. */
static const struct {
	double load;	    /* offered load, in multiples of the capacity */
	double goodput_min; /* responses in time, of the requests that were
			       made and could be served */
	double timely_min;  /* responses in time, of all responses */
	double refused_max; /* callers refused or shed, of all callers */
} load_cases[] = {
	{0.5, 0.98, 0.98, 0.0},	 {0.8, 0.98, 0.98, 0.01},
	{1.3, 0.80, 0.90, 0.40}, {1.7, 0.80, 0.90, 0.55},
	{3.0, 0.80, 0.90, 0.75},
};

static void test_loads(void)
{
	static simulation_t simulation;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(load_cases); i++) {
		double servable = CAPACITY_PER_S * SECONDS;
		double goodput;
		double timely;
		double refused;

		simulate(&simulation, load_cases[i].load);
		if (servable > simulation.callers)
			servable = simulation.callers;
		goodput = simulation.in_time / servable;
		timely = (double)simulation.in_time /
			 (simulation.in_time + simulation.late);
		refused = (double)(simulation.refused + simulation.shed) /
			  simulation.callers;
		printf("\nload %.1f: goodput %.3f, timely %.3f, refused %.3f, "
		       "shed %u",
		       load_cases[i].load, goodput, timely, refused,
		       simulation.shed);
		CU_ASSERT_TRUE(goodput >= load_cases[i].goodput_min);
		CU_ASSERT_TRUE(timely >= load_cases[i].timely_min);
		CU_ASSERT_TRUE(refused <= load_cases[i].refused_max);
		dispose(&simulation);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"goodput and refusals at each load", test_loads},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("overload", cases, CAROB_ARRAY_SIZE(cases));
}
