/**
 * @file http_get.h
 * One HTTP request, waited for.
 */
#ifndef CAROB_CLI_HTTP_GET_H
#define CAROB_CLI_HTTP_GET_H

#include "carobtrail/ids.h"
#include "carobtrail/str.h"

/**
 * Asks an HTTP server and waits for its answer.
 *
 * @param body receives the answer's body
 * @param status receives its status
 * @param addr IPv4 address and port
 * @param path with the query
 * @return 0, CAROB_EUSAGE (not IPv4), CAROB_EUNAVAILABLE (no answer in time)
 *         or CAROB_ENOMEM
 */
int cli_http_get(carob_buf_t *body, int *status, const carob_addr_t *addr,
		 const char *path);

#endif
