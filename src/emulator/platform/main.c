/* carob-platform: emulates the platform's key-value service, sessions and
 * service catalogue. */
#include "platform.h"

#include "carobtrail/errors.h"

#define WRITES_PER_S 400
#define READS_PER_S  2000
#define RATE_MAX     1000000
#define LAG_MS	     1000
#define LAG_MS_MAX   86400000

static const char *const keys[] = {"listen",	  "command",
				   "log_level",	  "writes_per_s",
				   "reads_per_s", "catalog_lag_ms"};

static int read_settings(platform_t *platform, carob_addr_t *listen,
			 carob_addr_t *command)
{
	carob_json_node_t root =
		carob_json_doc_root(platform->program.settings);
	uint64_t lag_ms = 0;
	int error = carob_json_object(&root, keys, CAROB_ARRAY_SIZE(keys));

	if (!error)
		error = carob_json_get_addr(listen, &root, "listen");
	if (!error)
		error = carob_json_get_addr(command, &root, "command");
	if (!error)
		error = carob_json_get_u64_or(&platform->writes.limit_per_s,
					      &root, "writes_per_s", 1,
					      RATE_MAX, WRITES_PER_S);
	if (!error)
		error = carob_json_get_u64_or(&platform->reads.limit_per_s,
					      &root, "reads_per_s", 1, RATE_MAX,
					      READS_PER_S);
	if (!error)
		error = carob_json_get_u64_or(&lag_ms, &root, "catalog_lag_ms",
					      0, LAG_MS_MAX, LAG_MS);
	platform->catalog.lag_ns = lag_ms * CAROB_NS_PER_MS;
	return error;
}

static int open_platform(platform_t *platform)
{
	carob_addr_t listen;
	carob_addr_t command;
	int error;

	store_init(&platform->store, platform->program.kernel);
	catalog_init(&platform->catalog, platform->program.kernel);
	error = read_settings(platform, &listen, &command);
	if (error)
		return carob_program_refuse_settings(&platform->program, error);
	error = carob_command_open(&platform->command, platform->program.hub,
				   &command, platform_command, platform);
	if (!error)
		error = platform_http_open(platform, &listen);
	if (error)
		return carob_program_fail(&platform->program, error);
	return 0;
}

int main(int argc, const char **argv)
{
	platform_t platform = {.program.name = "carob-platform"};

	if (carob_program_init(&platform.program, argc, argv) == 0 &&
	    open_platform(&platform) == 0)
		carob_program_run(&platform.program);
	platform_http_close(&platform);
	if (platform.command)
		carob_command_close(platform.command);
	store_dispose(&platform.store);
	catalog_dispose(&platform.catalog);
	carob_program_dispose(&platform.program);
	return platform.program.exit_status;
}
