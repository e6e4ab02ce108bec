/**
 * @file cli.h
 * What the verbs of carobctl share.
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

/** A command line of one verb. */
typedef struct cli {
	bool json;	      /* answers as one JSON object */
	const char *platform; /* address, or NULL */
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_platform_client_t *client;
	carob_kv_t *kv;
} cli_t;

/** A verb of the command line. */
typedef struct cli_verb {
	const char *name;
	const char *summary;
	/** @return 0 or a negative code, with the last error set */
	int (*run)(cli_t *cli, int argc, const char **argv);
} cli_verb_t;

int cli_validate(cli_t *cli, int argc, const char **argv);
int cli_publish(cli_t *cli, int argc, const char **argv);
int cli_diff(cli_t *cli, int argc, const char **argv);
int cli_show(cli_t *cli, int argc, const char **argv);
int cli_explain(cli_t *cli, int argc, const char **argv);

/**
 * Parses the options of a verb.
 *
 * @param out receives the context; free it with `poptFreeContext`
 * @param argc as the verb got it
 * @param argv as the verb got it
 * @param options the table
 * @param usage the arguments after the options, for the help
 * @return 0 or CAROB_EUSAGE
 */
int cli_parse(poptContext *out, int argc, const char **argv,
	      const struct poptOption *options, const char *usage);

/** Reads and checks a manifest file. @return 0 or a negative code */
int cli_load_manifest(carob_manifest_t **out, const char *path);

/** Sets up loop and platform client. @return 0 or a negative code */
int cli_connect(cli_t *cli);

/** Releases what `cli_connect` set up. */
void cli_disconnect(cli_t *cli);

/** Reads an address given on the command line. @return 0 or CAROB_EUSAGE */
int cli_addr(carob_addr_t *out, const char *option, const char *text);

/** A manifest as the platform has it. */
typedef struct cli_published {
	carob_head_t head; /* generation 0: nothing published */
	carob_manifest_t *manifest;
} cli_published_t;

/**
 * Reads what is published.
 *
 * @param out receives it; release the manifest
 * @param cli connected
 * @param deployment whose manifest
 * @param whole whether to read the manifest too
 * @return 0 or a negative code
 */
int cli_read_published(cli_published_t *out, cli_t *cli, carob_str_t deployment,
		       bool whole);

/** Appends a JSON string with quotes. @return 0 or CAROB_ENOMEM */
int cli_append_json_string(carob_buf_t *out, carob_str_t text);

#endif
