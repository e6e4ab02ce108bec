/* carob-upstream: emulates the upstream hosts of one or more services. */
#include "carobtrail/errors.h"
#include "emulator/common/command.h"
#include "host.h"
#include "net/program.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

typedef struct upstream_program {
	carob_program_t program;
	upstream_settings_t settings;
	carob_rng_t rng;
	carob_command_t *command;
	FILE *ledger;
	upstream_host_t *hosts;
} upstream_program_t;

/* A command applies to one host or, without "upstream", to all of them. */
typedef struct host_command {
	const char *name;
	void (*run)(upstream_host_t *host, bool on);
} host_command_t;

static void set_draining(upstream_host_t *host, bool on)
{
	host->draining = on;
	host->new_since_drain = 0;
}

static void set_silent(upstream_host_t *host, bool on)
{
	host->silent = on;
}

static void set_shedding(upstream_host_t *host, bool on)
{
	host->shedding = on;
}

static void set_report_frozen(upstream_host_t *host, bool on)
{
	host->report_frozen = on;
}

static void no_change(upstream_host_t *host, bool on)
{
	(void)host;
	(void)on;
}

static const host_command_t host_commands[] = {
	{"drain", set_draining}, {"silent", set_silent},
	{"shed", set_shedding},	 {"freeze-report", set_report_frozen},
	{"status", no_change},
};

static void append_status(carob_buf_t *response, const upstream_host_t *host)
{
	carob_buf_printf(response,
			 "%s{\"upstream\":\"%s\",\"in_use\":%u,\"feeds\":%u,"
			 "\"runs\":%" PRIu64 ",\"sheds\":%" PRIu64
			 ",\"new_since_drain\":%" PRIu64 "}",
			 response->ptr[response->len - 1] == '[' ? "" : ",",
			 host->settings->name, host->slots_used,
			 host->feed_count, host->runs, host->sheds,
			 host->new_since_drain);
}

static int run_on_hosts(carob_buf_t *response, upstream_program_t *self,
			const host_command_t *command, carob_str_t name,
			bool on)
{
	size_t matched = 0;

	carob_buf_printf(response, ",\"upstreams\":[");
	for (size_t i = 0; i < self->settings.host_count; i++) {
		upstream_host_t *host = &self->hosts[i];

		if (name.len &&
		    !carob_str_eq(name, carob_str_from(host->settings->name)))
			continue;
		matched++;
		command->run(host, on);
		append_status(response, host);
	}
	carob_buf_printf(response, "]");
	if (matched == 0)
		return carob_error_set(CAROB_ENOTFOUND,
				       "unknown upstream \"%.*s\"",
				       (int)name.len, name.ptr);
	return 0;
}

static int run_command(carob_buf_t *response, void *context,
		       const carob_json_node_t *root)
{
	static const char *const keys[] = {"command", "upstream", "on"};
	carob_str_t upstream = CAROB_STR("");
	carob_json_node_t node;
	size_t index = 0;
	bool on;
	int error;

	error = carob_json_object(root, keys, CAROB_ARRAY_SIZE(keys));
	if (!error)
		error = carob_command_choose(&index, root, host_commands,
					     sizeof(host_commands[0]),
					     CAROB_ARRAY_SIZE(host_commands));
	if (!error && carob_json_find(&node, root, "upstream"))
		error = carob_json_name(&upstream, &node,
					CAROB_RECORD_NAME_MAX);
	if (!error)
		error = carob_json_get_bool_or(&on, root, "on", true);
	if (error)
		return error;
	return run_on_hosts(response, context, &host_commands[index], upstream,
			    on);
}

static int open_hosts(upstream_program_t *self)
{
	size_t count = self->settings.host_count;
	int error = 0;

	self->hosts = calloc(count, sizeof(*self->hosts));
	if (!self->hosts)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate upstream hosts");
	for (size_t i = 0; i < count; i++) {
		self->hosts[i].settings = &self->settings.hosts[i];
		self->hosts[i].kernel = self->program.kernel;
		self->hosts[i].rng = &self->rng;
		self->hosts[i].ledger = self->ledger;
	}
	for (size_t i = 0; !error && i < count; i++)
		error = upstream_host_open(&self->hosts[i], self->program.hub);
	return error;
}

static int open_ledger(upstream_program_t *self)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t path = CAROB_BUF_INIT;
	int error;

	error = carob_buf_append(&path, self->settings.ledger_path.ptr,
				 self->settings.ledger_path.len);
	if (error)
		return error;
	self->ledger = fopen(path.ptr, "w");
	if (!self->ledger)
		return carob_error_set(CAROB_EIO, "cannot open ledger %s: %s",
				       path.ptr, strerror(errno));
	setvbuf(self->ledger, NULL, _IOLBF, 0);
	return 0;
}

static int start(upstream_program_t *self)
{
	int error;

	carob_rng_init(&self->rng, self->settings.seed);
	error = open_ledger(self);
	if (!error)
		error = open_hosts(self);
	if (!error && self->settings.command_addr.family)
		error = carob_command_open(&self->command, self->program.hub,
					   &self->settings.command_addr,
					   run_command, self);
	return error ? carob_program_fail(&self->program, error) : 0;
}

static void stop(upstream_program_t *self)
{
	carob_command_close(self->command);
	for (size_t i = 0; self->hosts && i < self->settings.host_count; i++)
		upstream_host_close(&self->hosts[i]);
	free(self->hosts);
	if (self->ledger)
		fclose(self->ledger);
	upstream_settings_dispose(&self->settings);
	carob_program_dispose(&self->program);
}

static int read_settings(carob_program_t *program,
			 const carob_json_node_t *root)
{
	return upstream_settings_read(
		&((upstream_program_t *)program)->settings, root);
}

int main(int argc, const char **argv)
{
	upstream_program_t self = {.program.name = "carob-upstream",
				   .program.read_settings = read_settings};
	int error;

	error = carob_program_init(&self.program, argc, argv);
	if (!error)
		error = start(&self);
	if (!error)
		carob_program_run(&self.program);
	stop(&self);
	return self.program.exit_status;
}
