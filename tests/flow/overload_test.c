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
#define CONNECT_MS     6 /* SYN to the caller's next packet */
#define SHED_MS	       5
#define SECONDS	       8
#define MS	       CAROB_NS_PER_MS
#define CAPACITY_PER_S (HOSTS * SLOTS * 1000.0 / WORK_MS)

typedef struct world world_t;

typedef struct caller {
	carob_timer_t timer;
	world_t *world;
	uint16_t port;
	uint32_t host;
	uint64_t begun_ns;
	bool connected;
	bool shed;
} caller_t;

struct world {
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

static uint64_t now_ns(const world_t *world)
{
	return carob_clock_now_ns(&world->clock.clock);
}

static carob_steer_result_t steer(world_t *world, carob_flow_packet_t packet)
{
	carob_steer_result_t result;

	carob_steering_packet(&result, world->steering, &packet);
	return result;
}

static uint64_t draw_work_ns(world_t *world)
{
	return (WORK_MS / 2 + carob_rng_below(&world->rng, WORK_MS)) * MS;
}

static void send_request(caller_t *caller)
{
	world_t *world = caller->world;
	uint32_t tag = caller->host + 1;
	uint64_t due;

	(void)steer(world, fixture_data(caller->port, tag, 0, 100, 5000));
	due = host_model_enter(&world->hosts[caller->host], SLOTS, QUEUE,
			       now_ns(world), draw_work_ns(world));
	caller->connected = true;
	caller->shed = due == 0;
	if (caller->shed)
		due = now_ns(world) + SHED_MS * MS;
	(void)carob_timer_arm(world->kernel, &caller->timer, due);
}

static void take_answer(caller_t *caller)
{
	world_t *world = caller->world;
	carob_flow_packet_t end =
		fixture_data(caller->port, caller->host + 1, 100, 0, 6000);

	end.fin = true;
	(void)steer(world, end);
	if (caller->shed)
		world->shed++;
	else if (now_ns(world) - caller->begun_ns <= TARGET_MS * MS)
		world->in_time++;
	else
		world->late++;
	if (!caller->shed)
		world->hosts[caller->host].inside--;
	free(caller);
}

static void on_caller(carob_timer_t *timer)
{
	caller_t *caller = CAROB_CONTAINER_OF(timer, caller_t, timer);

	if (caller->connected)
		take_answer(caller);
	else
		send_request(caller);
}

static void on_arrival(carob_timer_t *timer)
{
	world_t *world = CAROB_CONTAINER_OF(timer, world_t, arrival);
	uint64_t gap_ns = (uint64_t)(2.0 * carob_rng_unit(&world->rng) *
				     CAROB_NS_PER_S / world->per_s);
	uint16_t port = world->next_port++;
	carob_steer_result_t result = steer(world, fixture_syn(port, 0));
	caller_t *caller;

	world->callers++;
	(void)carob_timer_arm(world->kernel, timer, timer->due_ns + gap_ns);
	if (result.verdict != CAROB_STEER_FORWARD) {
		world->refused++;
		return;
	}
	caller = calloc(1, sizeof(*caller));
	CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
	if (!caller)
		return;
	caller->timer.fire = on_caller;
	caller->world = world;
	caller->port = port;
	caller->host = (uint32_t)result.upstream->number - 1;
	caller->begun_ns = now_ns(world);
	(void)carob_timer_arm(world->kernel, &caller->timer,
			      now_ns(world) + CONNECT_MS * MS);
}

static void add_hosts(world_t *world)
{
	static const char *const ids[HOSTS] = {"i-1", "i-2", "i-3", "i-4"};

	for (uint32_t i = 0; i < HOSTS; i++)
		fixture_put(&world->upstreams,
			    &(fixture_upstream_t)UPSTREAM(ids[i], i + 1, "desk",
							  "hou-a", SLOTS),
			    i + 1);
}

static void configure(world_t *world)
{
	carob_route_t route = {
		.endpoint = FIXTURE_ROUTE,
		.idempotent = true,
		.target_ms = TARGET_MS,
		.share_count = 1,
		.shares = {{.weight = 1}},
	};
	carob_route_config_t config = {
		.version = 1, .count = 1, .routes = &route};

	CU_ASSERT_EQUAL(carob_name_table_add(&route.shares[0].service,
					     &world->upstreams.services,
					     CAROB_STR("desk")),
			0);
	CU_ASSERT_EQUAL(carob_route_table_apply(&world->routes, &config), 0);
}

static void run(world_t *world, uint64_t ns)
{
	for (uint64_t passed = 0; passed < ns; passed += MS) {
		carob_manual_clock_advance(&world->clock, MS);
		carob_kernel_run_due(world->kernel);
	}
}

static void play(world_t *world, double load)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;

	memset(world, 0, sizeof(*world));
	carob_manual_clock_init(&world->clock, FIXTURE_START);
	carob_rng_init(&world->rng, 1);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&world->kernel, &world->clock.clock), 0);
	options.clock = &world->clock.clock;
	options.routes = &world->routes;
	options.upstreams = &world->upstreams;
	options.home_zone = CAROB_STR("hou-a");
	CU_ASSERT_EQUAL_FATAL(carob_steering_new(&world->steering, &options),
			      0);
	configure(world);
	add_hosts(world);
	world->next_port = 1;
	world->per_s = load * CAPACITY_PER_S;
	world->arrival.fire = on_arrival;
	(void)carob_timer_arm(world->kernel, &world->arrival, FIXTURE_START);
	run(world, SECONDS * CAROB_NS_PER_S);
	carob_timer_cancel(world->kernel, &world->arrival);
	run(world, CAROB_NS_PER_S); /* waits for the last responses */
}

static void dispose(world_t *world)
{
	carob_steering_free(world->steering);
	carob_route_table_dispose(&world->routes);
	carob_upstream_table_dispose(&world->upstreams);
	carob_kernel_free(world->kernel);
}

/* Bounds at each load. All but the load are fractions. */
static const struct {
	double load;	    /* offered load, in multiples of the capacity */
	double goodput_min; /* responses in time, of the requests that were
			       made and could be served */
	double timely_min;  /* responses in time, of all responses */
	double refused_max; /* callers refused or shed, of all callers */
} loads[] = {
	{0.5, 0.98, 0.98, 0.0},	 {0.8, 0.98, 0.98, 0.01},
	{1.3, 0.80, 0.90, 0.40}, {1.7, 0.80, 0.90, 0.55},
	{3.0, 0.80, 0.90, 0.75},
};

static void test_loads(void)
{
	static world_t world;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(loads); i++) {
		double wanted = CAPACITY_PER_S * SECONDS;
		double goodput;
		double timely;
		double refused;

		play(&world, loads[i].load);
		if (wanted > world.callers)
			wanted = world.callers;
		goodput = world.in_time / wanted;
		timely = (double)world.in_time / (world.in_time + world.late);
		refused = (double)(world.refused + world.shed) / world.callers;
		printf("\nload %.1f: goodput %.3f, timely %.3f, refused %.3f, "
		       "shed %u",
		       loads[i].load, goodput, timely, refused, world.shed);
		CU_ASSERT_TRUE(goodput >= loads[i].goodput_min);
		CU_ASSERT_TRUE(timely >= loads[i].timely_min);
		CU_ASSERT_TRUE(refused <= loads[i].refused_max);
		dispose(&world);
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
