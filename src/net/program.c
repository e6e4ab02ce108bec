#include "net/program.h"

#include "carobtrail/errors.h"

#include <event2/event.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static int report_usage_error(carob_program_t *program, const char *what,
			      const char *why)
{
	program->exit_status = CAROB_EXIT_USAGE;
	fprintf(stderr, "%s: %s: %s\n", program->name, what, why);
	return carob_error_set(CAROB_EUSAGE, "%s: %s", what, why);
}

/* Parses the command line. `path` receives the path of the settings, which the
 * caller frees. @return 0 or CAROB_EUSAGE */
static int read_arguments(char **path, carob_program_t *program, int argc,
			  const char **argv)
{
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, path, 0,
		 "JSON file of the settings; see docs/operations", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND,
	};
	poptContext context;
	int error = 0;
	int rc;

	context = poptGetContext(program->name, argc, argv, table, 0);
	rc = poptGetNextOpt(context);
	if (rc < -1)
		error = report_usage_error(program, poptBadOption(context, 0),
					   poptStrerror(rc));
	else if (poptPeekArg(context))
		error = report_usage_error(program, poptPeekArg(context),
					   "unexpected argument");
	else if (!*path)
		error = report_usage_error(program, "--settings", "missing");
	poptFreeContext(context);
	return error;
}

int carob_program_refuse_settings(carob_program_t *program, int error)
{
	program->exit_status = CAROB_EXIT_SETTINGS;
	CAROB_LOG(CAROB_EV_SETTINGS_REFUSED,
		  CAROB_FIELD_CSTR("error", carob_error_last()));
	return error;
}

int carob_program_fail(carob_program_t *program, int error)
{
	program->exit_status = CAROB_EXIT_FAILED;
	CAROB_LOG(CAROB_EV_START_FAILED,
		  CAROB_FIELD_CSTR("error", carob_error_last()));
	return error;
}

int carob_program_log_level(carob_log_level_t *out,
			    const carob_json_node_t *object)
{
	static const char *const names[] = {"debug", "info", "warn", "error"};
	carob_json_node_t node;
	size_t index;
	int error;

	*out = CAROB_LOG_INFO;
	if (!carob_json_find(&node, object, "log_level"))
		return 0;
	error = carob_json_choice(&index, &node, names,
				  CAROB_ARRAY_SIZE(names));
	if (!error)
		*out = (carob_log_level_t)index;
	return error;
}

static void configure_log(const carob_program_t *program)
{
	carob_log_configure(program->name, carob_clock_system(),
			    program->log_level,
			    program->log_output
				    ? carob_log_output_sink(program->log_output)
				    : NULL);
}

/* @return a number that changes when the file is replaced or written to; 0 if
 * its attributes cannot be read */
static uint64_t file_stamp(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (uint64_t)st.st_mtim.tv_sec * CAROB_NS_PER_S +
	       (uint64_t)st.st_mtim.tv_nsec + (uint64_t)st.st_ino +
	       (uint64_t)st.st_size;
}

/* Reads the settings again; keeps the previous ones if these are refused. */
static void reload_settings(carob_program_t *program)
{
	carob_json_doc_t *settings = NULL;
	carob_json_node_t root;
	carob_log_level_t level;
	int error;

	program->settings_stamp = file_stamp(program->settings_path);
	error = carob_json_doc_load(&settings, program->settings_path,
				    CAROB_JSON_SETTINGS_BYTES_MAX);
	if (!error) {
		root = carob_json_doc_root(settings);
		error = carob_program_log_level(&level, &root);
	}
	if (!error)
		error = program->on_reload(program, &root);
	if (error) {
		CAROB_LOG(CAROB_EV_SETTINGS_REFUSED,
			  CAROB_FIELD_CSTR("error", carob_error_last()),
			  CAROB_FIELD_CSTR("in_force", "previous settings"));
		carob_json_doc_free(settings);
		return;
	}
	carob_json_doc_free(program->settings);
	program->settings = settings;
	program->log_level = level;
	configure_log(program);
}

void carob_program_reload_if_changed(carob_program_t *program)
{
	if (program->on_reload &&
	    file_stamp(program->settings_path) != program->settings_stamp)
		reload_settings(program);
}

static void on_hangup(evutil_socket_t fd, short what, void *arg)
{
	carob_program_t *program = arg;

	(void)fd;
	(void)what;
	if (program->on_reload)
		reload_settings(program);
}

static int load_settings(carob_program_t *program, const char *path)
{
	carob_json_node_t root;
	carob_log_level_t level;
	int error;

	error = carob_json_doc_load(&program->settings, path,
				    CAROB_JSON_SETTINGS_BYTES_MAX);
	if (error)
		return carob_program_refuse_settings(program, error);
	root = carob_json_doc_root(program->settings);
	error = carob_program_log_level(&level, &root);
	if (error)
		return carob_program_refuse_settings(program, error);
	program->log_level = level;
	configure_log(program);
	program->settings_stamp = file_stamp(path);
	return 0;
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	carob_program_t *program = arg;

	(void)fd;
	(void)what;
	program->signal_count++;
	if (program->on_signal)
		program->on_signal(program, program->signal_count);
	else
		carob_loop_stop(program->loop);
}

static int watch_signals(carob_program_t *program)
{
	static const struct {
		int number;
		event_callback_fn callback;
	} watched[] = {
		{SIGTERM, on_signal},
		{SIGINT, on_signal},
		{SIGHUP, on_hangup},
	};
	struct event_base *base = carob_loop_base(program->loop);

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(watched); i++) {
		program->signals[i] = evsignal_new(
			base, watched[i].number, watched[i].callback, program);
		if (!program->signals[i] ||
		    event_add(program->signals[i], NULL) != 0)
			return carob_error_set(CAROB_EIO,
					       "cannot install signal handler");
	}
	return 0;
}

static int create_objects(carob_program_t *program)
{
	int error;

	error = carob_kernel_new(&program->kernel, carob_clock_system());
	if (!error)
		error = carob_loop_new(&program->loop, program->kernel);
	if (!error)
		error = carob_udp_hub_new(&program->hub,
					  carob_loop_base(program->loop));
	if (!error)
		error = carob_log_output_new(
			&program->log_output, program->kernel,
			program->log_fd ? program->log_fd : STDERR_FILENO);
	if (!error)
		error = watch_signals(program);
	if (!error)
		configure_log(program);
	return error ? carob_program_fail(program, error) : 0;
}

static int read_program_settings(carob_program_t *program)
{
	carob_json_node_t root = carob_json_doc_root(program->settings);
	int error = 0;

	if (program->read_settings)
		error = program->read_settings(program, &root);
	return error ? carob_program_refuse_settings(program, error) : 0;
}

int carob_program_init(carob_program_t *program, int argc, const char **argv)
{
	char *path = NULL;
	int error;

	signal(SIGPIPE, SIG_IGN);
	carob_log_configure(program->name, carob_clock_system(), CAROB_LOG_INFO,
			    NULL);
	error = read_arguments(&path, program, argc, argv);
	if (!error)
		error = load_settings(program, path);
	program->settings_path = path;
	if (!error)
		error = create_objects(program);
	if (!error)
		error = read_program_settings(program);
	return error;
}

void carob_program_run(carob_program_t *program)
{
	carob_log_write(CAROB_EV_STARTED, NULL, 0);
	if (carob_loop_run(program->loop) != 0)
		program->exit_status = CAROB_EXIT_FAILED;
	carob_log_write(CAROB_EV_STOPPED, NULL, 0);
}

void carob_program_dispose(carob_program_t *program)
{
	carob_log_configure(program->name, carob_clock_system(),
			    program->log_level, NULL);
	carob_log_output_free(program->log_output);
	carob_kernel_free(program->kernel);
	carob_udp_hub_free(program->hub);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(program->signals); i++)
		if (program->signals[i])
			event_free(program->signals[i]);
	carob_loop_free(program->loop);
	carob_json_doc_free(program->settings);
	free(program->settings_path);
}
