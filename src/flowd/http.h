/**
 * @file http.h
 * HTTP server of an instance, for readiness checks, metrics and explanations.
 */
#ifndef CAROB_FLOWD_HTTP_H
#define CAROB_FLOWD_HTTP_H

#include "carobtrail/ids.h"
#include "carobtrail/str.h"

struct event_base;

/** An HTTP server. */
typedef struct flowd_http flowd_http_t;

/** Handler of one path; implementations embed it and set all members. */
typedef struct flowd_http_handler flowd_http_handler_t;
struct flowd_http_handler {
	const char *path;
	/**
	 * Handles a request.
	 *
	 * @param handler this handler
	 * @param body receives the text of the response
	 * @param query the query string behind '?', not decoded; "" if there
	 *        is none
	 * @return the HTTP status of the response
	 */
	int (*handle)(flowd_http_handler_t *handler, carob_buf_t *body,
		      const char *query);
};

/**
 * Creates a server that listens and serves one path.
 *
 * @param out receives the server; release it with `flowd_http_free`
 * @param base the event loop
 * @param local the address to listen on
 * @param handler the handler of the path; must outlive the server
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int flowd_http_new(flowd_http_t **out, struct event_base *base,
		   const carob_addr_t *local, flowd_http_handler_t *handler);

/**
 * Adds another path.
 *
 * @param http the server
 * @param handler the handler of the path; must outlive the server
 * @return 0 or CAROB_ENOMEM
 */
int flowd_http_add(flowd_http_t *http, flowd_http_handler_t *handler);

/** Closes the socket and all connections and releases the server. */
void flowd_http_free(flowd_http_t *http);

#endif
