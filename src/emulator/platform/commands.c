#include "platform.h"

#include "carobtrail/errors.h"

#include <inttypes.h>
#include <utlist.h>

#define DELAY_MS_MAX  600000
#define ANSWERS_MAX   1000000
#define CATALOG_S_MAX 86400

static const char *const command_names[] = {"faults", "status"};
static const char *const fault_keys[] = {"command",	   "down",
					 "delay_ms",	   "lose_answers",
					 "catalog_lag_ms", "catalog_frozen"};
static const char *const status_keys[] = {"command"};

/* Lets all delayed and waiting calls continue, under the new faults. */
static void resume_calls(platform_t *platform)
{
	uint64_t now = carob_kernel_now_ns(platform->program.kernel);
	platform_call_t *call;

	DL_FOREACH (platform->calls, call)
		(void)carob_timer_arm(platform->program.kernel, &call->timer,
				      now);
}

/* Sets the faults. Faults that the command does not name end, except for the
 * lag of the catalogue, which is kept. */
static int run_faults(platform_t *platform, const carob_json_node_t *root)
{
	uint64_t lag_ns = platform->catalog.lag_ns;
	platform_faults_t faults = {0};
	uint64_t delay_ms = 0;
	uint64_t lag_ms = 0;
	bool frozen = false;
	int error = carob_json_object(root, fault_keys,
				      CAROB_ARRAY_SIZE(fault_keys));

	if (!error)
		error = carob_json_get_bool_or(&faults.down, root, "down",
					       false);
	if (!error)
		error = carob_json_get_u64_or(&delay_ms, root, "delay_ms", 0,
					      DELAY_MS_MAX, 0);
	if (!error)
		error = carob_json_get_u64_or(&faults.lose_answers, root,
					      "lose_answers", 0, ANSWERS_MAX,
					      0);
	if (!error)
		error = carob_json_get_u64_or(&lag_ms, root, "catalog_lag_ms",
					      0, CATALOG_S_MAX * 1000ULL,
					      lag_ns / CAROB_NS_PER_MS);
	if (!error)
		error = carob_json_get_bool_or(&frozen, root, "catalog_frozen",
					       false);
	if (error)
		return error;
	faults.delay_ns = delay_ms * CAROB_NS_PER_MS;
	platform->faults = faults;
	platform->catalog.lag_ns = lag_ms * CAROB_NS_PER_MS;
	catalog_freeze(&platform->catalog, frozen);
	resume_calls(platform);
	return 0;
}

static int run_status(carob_buf_t *answer, platform_t *platform,
		      const carob_json_node_t *root)
{
	const platform_call_t *call;
	unsigned int waiting = 0;
	int error = carob_json_object(root, status_keys,
				      CAROB_ARRAY_SIZE(status_keys));

	DL_FOREACH (platform->calls, call)
		waiting += call->is_waiting;
	if (!error)
		error = meter_format(answer, "reads", &platform->reads);
	if (!error)
		error = meter_format(answer, "writes", &platform->writes);
	if (!error)
		error = carob_buf_printf(
			answer,
			",\"waiting\":%u,\"keys\":%u,\"sessions\":%u,"
			"\"answers_lost\":%" PRIu64
			",\"refused_down\":%" PRIu64,
			waiting, HASH_COUNT(platform->store.items),
			HASH_COUNT(platform->store.sessions),
			platform->answers_lost, platform->refused_down);
	return error;
}

int platform_command(carob_buf_t *answer, void *context,
		     const carob_json_node_t *root)
{
	platform_t *platform = context;
	size_t index = 0;
	int error = carob_command_choose(&index, root, command_names,
					 sizeof(command_names[0]),
					 CAROB_ARRAY_SIZE(command_names));

	if (error)
		return error;
	return index == 0 ? run_faults(platform, root)
			  : run_status(answer, platform, root);
}
