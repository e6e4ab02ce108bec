/**
 * @file program.h
 * What every daemon starts with: command line, settings, log, kernel, loop,
 * UDP buffers and signals.
 */
#ifndef CAROB_NET_PROGRAM_H
#define CAROB_NET_PROGRAM_H

#include "carobtrail/kernel.h"
#include "carobtrail/log.h"
#include "net/log_output.h"
#include "net/loop.h"
#include "net/udp.h"
#include "util/json_doc.h"

/** Exit status of a daemon. */
typedef enum carob_exit {
	CAROB_EXIT_OK = 0,
	CAROB_EXIT_FAILED = 1,
	CAROB_EXIT_USAGE = 2,
	CAROB_EXIT_SETTINGS = 3,
} carob_exit_t;

typedef struct carob_program carob_program_t;

/** A running daemon; embed it as the first member. */
struct carob_program {
	const char *name;
	/** SIGTERM or SIGINT came the `count`-th time. NULL: end the loop. */
	void (*on_signal)(carob_program_t *program, int count);
	/**
	 * Reads the program's own settings, at the start. NULL: it does so
	 * itself.
	 *
	 * @return 0 or a negative code
	 */
	int (*read_settings)(carob_program_t *program,
			     const carob_json_node_t *settings);
	/**
	 * The settings were read again, by SIGHUP or because the file changed.
	 * NULL: settings are read at the start only.
	 *
	 * @return 0, or a negative code: the old ones stay in force
	 */
	int (*on_reload)(carob_program_t *program,
			 const carob_json_node_t *settings);
	int log_fd; /* where the log goes; 0: standard error */
	carob_log_output_t *log_output;
	carob_log_level_t log_level;
	carob_json_doc_t *settings;
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_udp_hub_t *hub;
	struct event *signals[3];
	char *settings_path;
	uint64_t settings_stamp; /* changes with the file */
	int signal_count;
	int exit_status; /* what `main` returns */
};

/**
 * Reads the command line and the settings and sets up the rest. Sets
 * `exit_status` and writes to standard error why on failure.
 *
 * @param program with `name` and `on_signal` set; dispose of it in any case
 * @param argc as given to `main`
 * @param argv as given to `main`
 * @return 0, or a negative code: `main` returns `exit_status`
 */
int carob_program_init(carob_program_t *program, int argc, const char **argv);

/** Reports that the settings were refused. @return `error` */
int carob_program_refuse_settings(carob_program_t *program, int error);

/** Reports that the daemon could not start. @return `error` */
int carob_program_fail(carob_program_t *program, int error);

/** Logs the start, runs the loop until it is stopped, logs the stop. */
void carob_program_run(carob_program_t *program);

/** Reads the settings again if their file has changed since. */
void carob_program_reload_if_changed(carob_program_t *program);

/** Releases everything, the kernel's services first. */
void carob_program_dispose(carob_program_t *program);

/**
 * Reads the level of the log from the settings.
 *
 * @param out receives it; CAROB_LOG_INFO if there is no such key
 * @param object the settings
 * @return 0 or CAROB_EINVALID
 */
int carob_program_log_level(carob_log_level_t *out,
			    const carob_json_node_t *object);

#endif
