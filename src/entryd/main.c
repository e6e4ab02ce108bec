/* carob-entryd: the daemon of an entry instance. */
#include "callers.h"
#include "carobtrail/errors.h"
#include "cluster.h"
#include "control.h"
#include "core.h"
#include "net/program.h"
#include "paths.h"
#include "platform.h"
#include "prober.h"
#include "relay.h"
#include "request_path.h"
#include "status.h"
#include "sync.h"
#include "traces.h"

#include <sodium.h>
#include <unistd.h>

typedef struct entryd {
	carob_program_t program;
	entryd_settings_t settings;
} entryd_t;

static int register_sockets(entryd_t *self)
{
	carob_kernel_t *kernel = self->program.kernel;
	carob_udp_hub_t *hub = self->program.hub;
	int error;

	error = entryd_core_register(kernel, &self->settings);
	if (!error)
		error = entryd_callers_register(kernel, hub,
						&self->settings.service_ip);
	if (!error)
		error = entryd_paths_register(kernel, hub,
					      &self->settings.service_ip);
	if (!error)
		error = entryd_relay_register(kernel, hub,
					      &self->settings.relay);
	if (!error)
		error = entryd_traces_register(
			kernel, carob_loop_base(self->program.loop),
			&self->settings);
	if (!error)
		error = entryd_request_path_register(kernel);
	if (!error)
		error = entryd_prober_register(kernel, hub,
					       &self->settings.service_ip);
	return error;
}

static int register_cluster(entryd_t *self)
{
	carob_kernel_t *kernel = self->program.kernel;
	carob_loop_t *loop = self->program.loop;
	int error;

	error = entryd_platform_register(kernel, carob_loop_base(loop),
					 &self->settings);
	if (!error)
		error = entryd_control_register(kernel, loop, &self->settings);
	if (!error)
		error = entryd_sync_register(kernel, &self->settings);
	if (!error)
		error = entryd_cluster_register(kernel, loop, &self->settings);
	if (!error)
		error = entryd_status_register(kernel);
	return error;
}

static int start_services(entryd_t *self)
{
	int error;

	error = register_sockets(self);
	if (!error)
		error = register_cluster(self);
	if (!error)
		error = carob_kernel_start(self->program.kernel);
	return error ? carob_program_fail(&self->program, error) : 0;
}

/* The first signal begins a graceful stop, the second one stops at once. */
static void on_signal(carob_program_t *program, int count)
{
	if (count > 1) {
		carob_loop_stop(program->loop);
		return;
	}
	carob_log_write(CAROB_EV_DRAINING, NULL, 0);
	carob_kernel_drain(program->kernel);
}

static int read_settings(carob_program_t *program,
			 const carob_json_node_t *root)
{
	return entryd_settings_read(&((entryd_t *)program)->settings, root);
}

int main(int argc, const char **argv)
{
	static entryd_t self = {.program.name = "carob-entryd",
				.program.read_settings = read_settings,
				.program.log_fd = STDOUT_FILENO,
				.program.on_signal = on_signal};
	int error;

	if (sodium_init() < 0)
		return CAROB_EXIT_FAILED;
	error = carob_program_init(&self.program, argc, argv);
	if (!error)
		error = start_services(&self);
	if (!error)
		carob_program_run(&self.program);
	carob_program_dispose(&self.program);
	return self.program.exit_status;
}
