/**
 * @file cli.h
 * Declarations shared by the commands of carobctl.
 */
#ifndef CAROB_CLI_CLI_H
#define CAROB_CLI_CLI_H

#include "carobtrail/kv.h"
#include "carobtrail/manifest.h"
#include "carobtrail/manifest_store.h"
#include "core/manifest/publish_doc.h"
#include "net/loop.h"
#include "net/platform_client.h"

#include <popt.h>

/** Global options of carobctl and its connection to the platform. */
typedef struct cli {
	bool json;  /* print the output as one JSON object */
	int status; /* exit status, unless 0: the result code decides */
	const char *platform; /* address of the platform, or NULL */
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_platform_client_t *client;
	carob_kv_t *kv;
} cli_t;

/** Command of carobctl. */
typedef struct cli_command {
	const char *name;
	const char *summary; /* description for --help */
	/**
	 * Runs the command; argv[0] is the name for its help text.
	 *
	 * @return 0 or a negative code, with the last error set
	 */
	int (*run)(cli_t *cli, int argc, const char **argv);
} cli_command_t;

int cli_validate(cli_t *cli, int argc, const char **argv);
int cli_publish(cli_t *cli, int argc, const char **argv);
int cli_diff(cli_t *cli, int argc, const char **argv);
int cli_show(cli_t *cli, int argc, const char **argv);
int cli_explain(cli_t *cli, int argc, const char **argv);
int cli_check(cli_t *cli, int argc, const char **argv);

/**
 * Parses the options of a command.
 *
 * @param out receives the context; free it with `poptFreeContext`
 * @param argc number of arguments of the command
 * @param argv arguments of the command
 * @param options the option table
 * @param usage the arguments after the options, for the help text
 * @return 0 or CAROB_EUSAGE
 */
int cli_parse(poptContext *out, int argc, const char **argv,
	      const struct poptOption *options, const char *usage);

/** Reads and validates a manifest file. @return 0 or a negative code */
int cli_load_manifest(carob_manifest_t **out, const char *path);

/**
 * Creates the event loop and, if an address is given, the platform client.
 *
 * @return 0 or a negative code
 */
int cli_connect(cli_t *cli);

/** Frees what `cli_connect` created. */
void cli_disconnect(cli_t *cli);

/**
 * Parses an address given on the command line.
 *
 * @param out receives the address
 * @param option the option, for the error text
 * @param text the argument of the option, or NULL if it is missing
 * @return 0 or CAROB_EUSAGE
 */
int cli_addr(carob_addr_t *out, const char *option, const char *text);

/** The generation that is published on the platform. */
typedef struct cli_published {
	carob_head_t head;	    /* generation 0: nothing is published */
	carob_manifest_t *manifest; /* NULL if it was not read */
} cli_published_t;

/**
 * Reads the published generation of a deployment from the platform.
 *
 * @param out receives the generation; free its manifest with
 *        `carob_manifest_free`
 * @param cli the context, after `cli_connect`
 * @param deployment name of the deployment
 * @param with_manifest whether to read the manifest in addition to the head
 * @return 0 or a negative code
 */
int cli_read_published(cli_published_t *out, cli_t *cli, carob_str_t deployment,
		       bool with_manifest);

/** Appends a text as a quoted JSON string. @return 0 or CAROB_ENOMEM */
int cli_append_json_string(carob_buf_t *out, carob_str_t text);

#endif
