/* carob-flows: emulates the platform's callers, routers and hosts in one
 * process. The carob-flowd instances under test are processes of their own.
 * It checks the guarantees from what callers and hosts observe. */
#include "callers.h"
#include "carobtrail/errors.h"
#include "emulator/common/command.h"
#include "host.h"
#include "operations.h"
#include "router.h"

#include <unistd.h>

#define START_NS       (100 * CAROB_NS_PER_MS)
#define SECONDS_MAX    86400
#define CALLERS_MAX    1000
#define HOSTS_MAX      100
#define MS_MAX	       3600000
#define EXIT_VIOLATION 1

static const char *const keys[] = {
	"command", "store",    "base",	"seed",	  "duration_s",	  "calm_s",
	"callers", "troubles", "zones", "gap_ms", "hosts_a_zone", "log_level",
};
static const char *const zone_keys[] = {"name", "instances"};
static const char *const instance_keys[] = {"packets", "readiness"};

typedef struct flows {
	testbed_t testbed;
	carob_command_t *command;
	carob_timer_t start;
	carob_timer_t quiet_period;
	carob_timer_t end;
	uint64_t callers;
	uint64_t duration_s;
	uint64_t calm_s; /* quiet period without new events, at the end */
	operations_options_t operations;
} flows_t;

static int read_instance(testbed_t *testbed, size_t zone,
			 const carob_json_node_t *node)
{
	testbed_instance_t *instance =
		&testbed->instances[testbed->instance_count];
	int error = carob_json_object(node, instance_keys,
				      CAROB_ARRAY_SIZE(instance_keys));

	if (!error)
		error = carob_json_get_addr(&instance->packets, node,
					    "packets");
	if (!error)
		error = carob_json_get_addr(&instance->readiness, node,
					    "readiness");
	instance->zone = zone;
	testbed->instance_count++;
	return error;
}

static int read_zone(testbed_t *testbed, const carob_json_node_t *node)
{
	size_t zone = testbed->zone_count++;
	carob_json_node_t array;
	carob_str_t name;
	size_t count = 0;
	int error =
		carob_json_object(node, zone_keys, CAROB_ARRAY_SIZE(zone_keys));

	if (!error)
		error = carob_json_get_str(&name, node, "name", 1,
					   sizeof(testbed->zones[0]) - 1);
	if (!error)
		error = carob_json_get(&array, node, "instances");
	if (!error)
		error = carob_json_array(&count, &array, 1,
					 CHECKER_INSTANCES_MAX -
						 testbed->instance_count);
	if (error)
		return error;
	(void)snprintf(testbed->zones[zone], sizeof(testbed->zones[zone]),
		       "%.*s", (int)name.len, name.ptr);
	for (size_t i = 0; !error && i < count; i++) {
		carob_json_node_t instance = carob_json_at(&array, i);

		error = read_instance(testbed, zone, &instance);
	}
	return error;
}

static int read_zones(testbed_t *testbed, const carob_json_node_t *root)
{
	carob_json_node_t array;
	size_t count = 0;
	int error = carob_json_get(&array, root, "zones");

	if (!error)
		error = carob_json_array(&count, &array, 1, TESTBED_ZONES_MAX);
	for (size_t i = 0; !error && i < count; i++) {
		carob_json_node_t zone = carob_json_at(&array, i);

		error = read_zone(testbed, &zone);
	}
	testbed->cut_zone = testbed->zone_count;
	testbed->evacuated_zone = testbed->zone_count;
	return error;
}

static int read_numbers(flows_t *self, const carob_json_node_t *root)
{
	uint64_t hosts = 0;
	uint64_t gap_ms = 0;
	uint64_t seed = 0;
	int error;

	error = carob_json_get_u64_or(&seed, root, "seed", 0, UINT32_MAX, 1);
	if (!error)
		error = carob_json_get_u64(&self->duration_s, root,
					   "duration_s", 1, SECONDS_MAX);
	if (!error)
		error = carob_json_get_u64_or(&self->calm_s, root, "calm_s", 0,
					      SECONDS_MAX, 0);
	if (!error)
		error = carob_json_get_u64_or(&self->callers, root, "callers",
					      1, CALLERS_MAX, 20);
	if (!error)
		error = carob_json_get_u64_or(&hosts, root, "hosts_a_zone", 1,
					      HOSTS_MAX, 4);
	if (!error)
		error = carob_json_get_u64_or(&gap_ms, root, "gap_ms", 0,
					      MS_MAX, 0);
	if (!error)
		error = carob_json_get_bool_or(&self->operations.faults, root,
					       "troubles", false);
	self->operations.hosts_a_zone = (uint32_t)hosts;
	self->operations.gap_ms = (uint32_t)gap_ms;
	carob_rng_init(&self->testbed.rng, seed);
	return error;
}

static int read_settings(flows_t *self, carob_addr_t *command)
{
	carob_json_node_t root =
		carob_json_doc_root(self->testbed.program.settings);
	int error = carob_json_object(&root, keys, CAROB_ARRAY_SIZE(keys));

	if (!error)
		error = carob_json_get_addr(command, &root, "command");
	if (!error)
		error = carob_json_get_addr(&self->testbed.store, &root,
					    "store");
	if (!error)
		error = carob_json_get_addr(&self->testbed.base, &root, "base");
	if (!error)
		error = read_numbers(self, &root);
	if (!error)
		error = read_zones(&self->testbed, &root);
	return error;
}

static void arm(flows_t *self, carob_timer_t *timer, uint64_t ns)
{
	(void)carob_timer_arm(self->testbed.program.kernel, timer,
			      testbed_now_ns(&self->testbed) + ns);
}

static void on_quiet_period(carob_timer_t *timer)
{
	flows_t *self = CAROB_CONTAINER_OF(timer, flows_t, quiet_period);

	operations_stop_events(self->testbed.operations);
}

static void on_end(carob_timer_t *timer)
{
	flows_t *self = CAROB_CONTAINER_OF(timer, flows_t, end);

	carob_loop_stop(self->testbed.program.loop);
}

/* Records a fault of each instance at the start. An instance is in rotation as
 * soon as it knows one host, and may read the entries of the others only after
 * the pause that it makes between two calls to the store. */
static void record_start_faults(flows_t *self)
{
	for (size_t i = 0; i < self->testbed.instance_count; i++)
		checker_record_instance_fault(&self->testbed.checker, i, 0);
}

/* Starts the callers and events once an instance is in rotation. */
static void on_start(carob_timer_t *timer)
{
	flows_t *self = CAROB_CONTAINER_OF(timer, flows_t, start);

	if (!router_has_instance(self->testbed.router)) {
		arm(self, &self->start, START_NS);
		return;
	}
	if (callers_new(&self->testbed.callers, &self->testbed,
			self->callers) != 0) {
		carob_program_fail(&self->testbed.program, CAROB_EIO);
		carob_loop_stop(self->testbed.program.loop);
		return;
	}
	record_start_faults(self);
	operations_schedule_event(self->testbed.operations);
	arm(self, &self->quiet_period,
	    (self->duration_s - self->calm_s) * CAROB_NS_PER_S);
	arm(self, &self->end, self->duration_s * CAROB_NS_PER_S);
}

/* Handles the commands by which another process announces faults that it
 * causes and the return of the store from a copy, and asks for evacuations. */
static int on_command(carob_buf_t *answer, void *context,
		      const carob_json_node_t *root)
{
	static const char *const names[] = {"instance_trouble", "store_trouble",
					    "rewrite", "evacuate"};
	flows_t *self = context;
	uint64_t instance = 0;
	uint64_t ms = 0;
	size_t index;
	int error = carob_command_choose(&index, root, names, sizeof(names[0]),
					 CAROB_ARRAY_SIZE(names));

	(void)answer;
	if (!error)
		error = carob_json_get_u64(&ms, root, "ms", 0, MS_MAX);
	if (!error && index == 0)
		error = carob_json_get_u64(&instance, root, "instance", 0,
					   self->testbed.instance_count - 1);
	if (error)
		return error;
	if (index == 0)
		checker_record_instance_fault(&self->testbed.checker, instance,
					      ms);
	else if (index == 1)
		checker_record_store_fault(&self->testbed.checker, ms);
	else if (index == 3)
		operations_evacuate_zone(self->testbed.operations,
					 (uint32_t)ms);
	else
		operations_rewrite(self->testbed.operations, (uint32_t)ms);
	return 0;
}

static int start(flows_t *self)
{
	testbed_t *testbed = &self->testbed;
	carob_addr_t command;
	int error = read_settings(self, &command);

	if (error)
		return carob_program_refuse_settings(&testbed->program, error);
	error = carob_command_open(&self->command, testbed->program.hub,
				   &command, on_command, self);
	if (!error)
		error = operations_new(&testbed->operations, testbed,
				       &self->operations);
	if (!error)
		error = router_new(&testbed->router, testbed);
	if (error)
		return carob_program_fail(&testbed->program, error);
	self->start.fire = on_start;
	self->quiet_period.fire = on_quiet_period;
	self->end.fire = on_end;
	arm(self, &self->start, START_NS);
	return 0;
}

static void dispose(flows_t *self)
{
	testbed_t *testbed = &self->testbed;

	callers_free(testbed->callers);
	router_free(testbed->router);
	operations_free(testbed->operations);
	for (size_t i = 0; i < testbed->host_count; i++)
		host_free(testbed->hosts[i]);
	if (self->command)
		carob_command_close(self->command);
	carob_program_dispose(&testbed->program);
}

int main(int argc, const char **argv)
{
	static flows_t self = {.testbed.program.name = "carob-flows"};
	int status;

	self.testbed.checker.clock = carob_clock_system();
	if (carob_program_init(&self.testbed.program, argc, argv) == 0 &&
	    start(&self) == 0) {
		carob_program_run(&self.testbed.program);
		checker_check_recovery(&self.testbed.checker);
		if (checker_print_report(&self.testbed.checker) > 0)
			self.testbed.program.exit_status = EXIT_VIOLATION;
	}
	status = self.testbed.program.exit_status;
	dispose(&self);
	return status;
}
