/**
 * @file http_get.h
 * Sends a single HTTP GET request and waits for the response.
 */
#ifndef CAROB_CLI_HTTP_GET_H
#define CAROB_CLI_HTTP_GET_H

#include "carobtrail/ids.h"
#include "carobtrail/str.h"

/**
 * Sends a GET request to an HTTP server and waits for the response.
 *
 * @param body receives the body of the response, which is appended
 * @param status receives the status of the response; 0 if there is none
 * @param addr IPv4 address and port of the server
 * @param path path and query of the request
 * @return 0, CAROB_EUSAGE if the address is not IPv4, CAROB_EUNAVAILABLE if
 *         there is no response in time, or CAROB_ENOMEM
 */
int cli_http_get(carob_buf_t *body, int *status, const carob_addr_t *addr,
		 const char *path);

#endif
