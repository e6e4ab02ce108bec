/**
 * @file query.h
 * Queries the status of instances over the control channel.
 */
#ifndef CAROB_CLI_QUERY_H
#define CAROB_CLI_QUERY_H

#include "carobtrail/ids.h"
#include "carobtrail/keyring.h"
#include "carobtrail/str.h"

/** Largest number of instances that one call of `cli_query_all` queries. */
#define CLI_INSTANCES_MAX 4096

/** Response of one instance, or the reason why there is none. */
typedef struct cli_response {
	carob_addr_t addr; /* control address */
	int result;	   /* 0, or the code of the failure */
	carob_buf_t json;  /* the response, or the text of the error */
} cli_response_t;

/** Responses of all instances that were queried. */
typedef struct cli_responses {
	size_t count;
	size_t cap;
	cli_response_t *items;
} cli_responses_t;

/**
 * Reads the secret of the deployment, 64 hexadecimal digits, from a file.
 *
 * @param secret receives the secret
 * @param path path of the file, or NULL if --secret-file was not given
 * @return 0, CAROB_EUSAGE if `path` is NULL, CAROB_EINVALID, or as
 *         `carob_file_read`
 */
int cli_read_secret(uint8_t secret[CAROB_KEY_BYTES], const char *path);

/**
 * Queries the status of instances, and of every other instance in their member
 * lists that has not left and is not dead.
 *
 * @param out receives the responses; release with `cli_responses_dispose`, also
 *        after a failure
 * @param secret the deployment's secret
 * @param addrs comma-separated control addresses of the first instances
 * @return 0 or a negative code; an instance that does not respond is no failure
 */
int cli_query_all(cli_responses_t *out, const uint8_t *secret,
		  const char *addrs);

/** Releases the responses. */
void cli_responses_dispose(cli_responses_t *responses);

#endif
