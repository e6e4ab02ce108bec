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

#define START_NS    (100 * CAROB_NS_PER_MS)
#define SECONDS_MAX 86400
#define CALLERS_MAX 1000
#define HOSTS_MAX   100
#define MS_MAX	    3600000
#define EXIT_BROKEN 1

static const char *const keys[] = {
	"command", "store",    "base",	"seed",	  "duration_s",	  "calm_s",
	"callers", "troubles", "zones", "gap_ms", "hosts_a_zone", "log_level",
};
static const char *const zone_keys[] = {"name", "instances"};
static const char *const instance_keys[] = {"packets", "readiness"};

typedef struct flows {
	bed_t bed;
	carob_command_t *command;
	carob_timer_t start;
	carob_timer_t calm;
	carob_timer_t end;
	uint64_t callers;
	uint64_t duration_s;
	uint64_t calm_s; /* quiet period without new events, at the end */
	operations_options_t operations;
} flows_t;

static int read_instance(bed_t *bed, size_t zone, const carob_json_node_t *node)
{
	bed_instance_t *instance = &bed->instances[bed->instance_count];
	int error = carob_json_object(node, instance_keys,
				      CAROB_ARRAY_SIZE(instance_keys));

	if (!error)
		error = carob_json_get_addr(&instance->packets, node,
					    "packets");
	if (!error)
		error = carob_json_get_addr(&instance->readiness, node,
					    "readiness");
	instance->zone = zone;
	bed->instance_count++;
	return error;
}

static int read_zone(bed_t *bed, const carob_json_node_t *node)
{
	size_t zone = bed->zone_count++;
	carob_json_node_t array;
	carob_str_t name;
	size_t count = 0;
	int error =
		carob_json_object(node, zone_keys, CAROB_ARRAY_SIZE(zone_keys));

	if (!error)
		error = carob_json_get_str(&name, node, "name", 1,
					   sizeof(bed->zones[0]) - 1);
	if (!error)
		error = carob_json_get(&array, node, "instances");
	if (!error)
		error = carob_json_array(&count, &array, 1,
					 JUDGE_INSTANCES_MAX -
						 bed->instance_count);
	if (error)
		return error;
	(void)snprintf(bed->zones[zone], sizeof(bed->zones[zone]), "%.*s",
		       (int)name.len, name.ptr);
	for (size_t i = 0; !error && i < count; i++) {
		carob_json_node_t instance = carob_json_at(&array, i);

		error = read_instance(bed, zone, &instance);
	}
	return error;
}

static int read_zones(bed_t *bed, const carob_json_node_t *root)
{
	carob_json_node_t array;
	size_t count = 0;
	int error = carob_json_get(&array, root, "zones");

	if (!error)
		error = carob_json_array(&count, &array, 1, BED_ZONES_MAX);
	for (size_t i = 0; !error && i < count; i++) {
		carob_json_node_t zone = carob_json_at(&array, i);

		error = read_zone(bed, &zone);
	}
	bed->cut_zone = bed->zone_count;
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
		error = carob_json_get_bool_or(&self->operations.troubles, root,
					       "troubles", false);
	self->operations.hosts_a_zone = (uint32_t)hosts;
	self->operations.gap_ms = (uint32_t)gap_ms;
	carob_rng_init(&self->bed.rng, seed);
	return error;
}

static int read_settings(flows_t *self, carob_addr_t *command)
{
	carob_json_node_t root =
		carob_json_doc_root(self->bed.program.settings);
	int error = carob_json_object(&root, keys, CAROB_ARRAY_SIZE(keys));

	if (!error)
		error = carob_json_get_addr(command, &root, "command");
	if (!error)
		error = carob_json_get_addr(&self->bed.store, &root, "store");
	if (!error)
		error = carob_json_get_addr(&self->bed.base, &root, "base");
	if (!error)
		error = read_numbers(self, &root);
	if (!error)
		error = read_zones(&self->bed, &root);
	return error;
}

static void arm(flows_t *self, carob_timer_t *timer, uint64_t ns)
{
	(void)carob_timer_arm(self->bed.program.kernel, timer,
			      bed_now_ns(&self->bed) + ns);
}

static void on_calm(carob_timer_t *timer)
{
	flows_t *self = CAROB_CONTAINER_OF(timer, flows_t, calm);

	operations_calm(self->bed.operations);
}

static void on_end(carob_timer_t *timer)
{
	flows_t *self = CAROB_CONTAINER_OF(timer, flows_t, end);

	carob_loop_stop(self->bed.program.loop);
}

/* Records a fault of each instance at the start. An instance is in rotation as
 * soon as it knows one host, and may read the entries of the others only after
 * the pause that it makes between two calls to the store. */
static void note_start(flows_t *self)
{
	for (size_t i = 0; i < self->bed.instance_count; i++)
		judge_instance_trouble(&self->bed.judge, i, 0);
}

/* Starts the callers and events once an instance is in rotation. */
static void on_start(carob_timer_t *timer)
{
	flows_t *self = CAROB_CONTAINER_OF(timer, flows_t, start);

	if (!router_any(self->bed.router)) {
		arm(self, &self->start, START_NS);
		return;
	}
	if (callers_new(&self->bed.callers, &self->bed, self->callers) != 0) {
		carob_program_fail(&self->bed.program, CAROB_EIO);
		carob_loop_stop(self->bed.program.loop);
		return;
	}
	note_start(self);
	operations_begin(self->bed.operations);
	arm(self, &self->calm,
	    (self->duration_s - self->calm_s) * CAROB_NS_PER_S);
	arm(self, &self->end, self->duration_s * CAROB_NS_PER_S);
}

/* Handles the commands by which another process announces faults that it
 * causes. */
static int on_command(carob_buf_t *answer, void *context,
		      const carob_json_node_t *root)
{
	static const char *const names[] = {"instance_trouble",
					    "store_trouble"};
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
					   self->bed.instance_count - 1);
	if (error)
		return error;
	if (index == 0)
		judge_instance_trouble(&self->bed.judge, instance, ms);
	else
		judge_store_trouble(&self->bed.judge, ms);
	return 0;
}

static int start(flows_t *self)
{
	bed_t *bed = &self->bed;
	carob_addr_t command;
	int error = read_settings(self, &command);

	if (error)
		return carob_program_refuse_settings(&bed->program, error);
	error = carob_command_open(&self->command, bed->program.hub, &command,
				   on_command, self);
	if (!error)
		error = operations_new(&bed->operations, bed,
				       &self->operations);
	if (!error)
		error = router_new(&bed->router, bed);
	if (error)
		return carob_program_fail(&bed->program, error);
	self->start.fire = on_start;
	self->calm.fire = on_calm;
	self->end.fire = on_end;
	arm(self, &self->start, START_NS);
	return 0;
}

static void dispose(flows_t *self)
{
	bed_t *bed = &self->bed;

	callers_free(bed->callers);
	router_free(bed->router);
	operations_free(bed->operations);
	for (size_t i = 0; i < bed->host_count; i++)
		host_free(bed->hosts[i]);
	if (self->command)
		carob_command_close(self->command);
	carob_program_dispose(&bed->program);
}

int main(int argc, const char **argv)
{
	static flows_t self = {.bed.program.name = "carob-flows"};
	int status;

	self.bed.judge.clock = carob_clock_system();
	if (carob_program_init(&self.bed.program, argc, argv) == 0 &&
	    start(&self) == 0) {
		carob_program_run(&self.bed.program);
		judge_recovery(&self.bed.judge);
		if (judge_report(&self.bed.judge) > 0)
			self.bed.program.exit_status = EXIT_BROKEN;
	}
	status = self.bed.program.exit_status;
	dispose(&self);
	return status;
}
