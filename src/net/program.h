/**
 * @file program.h
 * Start-up and shutdown that all daemons share: command line, settings, log,
 * kernel, event loop, UDP buffers and signals.
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
	/** Handles the `count`-th SIGTERM or SIGINT. NULL: stop the loop. */
	void (*on_signal)(carob_program_t *program, int count);
	/**
	 * Reads the program's own settings at the start. NULL if the program
	 * reads them after `carob_program_init`.
	 *
	 * @return 0 or a negative code
	 */
	int (*read_settings)(carob_program_t *program,
			     const carob_json_node_t *settings);
	/**
	 * Applies settings that were read again, after SIGHUP or because the
	 * file has changed. NULL: settings are read at the start only.
	 *
	 * @return 0, or a negative code if the previous settings stay in force
	 */
	int (*on_reload)(carob_program_t *program,
			 const carob_json_node_t *settings);
	int log_fd; /* destination of the log; 0: standard error */
	carob_log_output_t *log_output;
	carob_log_level_t log_level;
	carob_json_doc_t *settings;
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_udp_hub_t *hub;
	struct event *signals[3];
	char *settings_path;
	uint64_t settings_stamp; /* changes when the file changes */
	int signal_count;
	int exit_status; /* what `main` returns */
};

/**
 * Reads the command line and the settings and sets up the other objects. On
 * failure, sets `exit_status` and reports the error on standard error.
 *
 * @param program with `name` and the callbacks set; must be released with
 *                `carob_program_dispose` also after a failure
 * @param argc as given to `main`
 * @param argv as given to `main`
 * @return 0, or a negative code: `main` returns `exit_status`
 */
int carob_program_init(carob_program_t *program, int argc, const char **argv);

/** Logs refused settings and sets `exit_status`. @return `error` */
int carob_program_refuse_settings(carob_program_t *program, int error);

/** Logs a failure to start and sets `exit_status`. @return `error` */
int carob_program_fail(carob_program_t *program, int error);

/** Logs the start, runs the loop until it is stopped and logs the stop. */
void carob_program_run(carob_program_t *program);

/** Reads the settings again if their file has changed since the last time. */
void carob_program_reload_if_changed(carob_program_t *program);

/** Releases all objects of the program, the kernel's services first. */
void carob_program_dispose(carob_program_t *program);

/**
 * Reads the log level from the settings.
 *
 * @param out receives it; CAROB_LOG_INFO if the key `log_level` is missing
 * @param object the settings
 * @return 0 or CAROB_EINVALID
 */
int carob_program_log_level(carob_log_level_t *out,
			    const carob_json_node_t *object);

#endif
