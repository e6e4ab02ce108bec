/**
 * @file http.h
 * What an instance serves over HTTP: readiness, metrics, explanations.
 */
#ifndef CAROB_FLOWD_HTTP_H
#define CAROB_FLOWD_HTTP_H

#include "carobtrail/ids.h"
#include "carobtrail/str.h"

struct event_base;

typedef struct flowd_http flowd_http_t;

/** One path; its user embeds it and sets all members. */
typedef struct flowd_http_handler flowd_http_handler_t;
struct flowd_http_handler {
	const char *path;
	/**
	 * Answers.
	 *
	 * @param handler itself
	 * @param body receives text
	 * @param query what stands behind the path's '?', not decoded, or ""
	 * @return the HTTP status
	 */
	int (*answer)(flowd_http_handler_t *handler, carob_buf_t *body,
		      const char *query);
};

/**
 * Listens and serves one path.
 *
 * @param out receives the server; release it with `flowd_http_free`
 * @param base the event loop
 * @param local where to listen
 * @param handler answers; must outlive the server
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int flowd_http_new(flowd_http_t **out, struct event_base *base,
		   const carob_addr_t *local, flowd_http_handler_t *handler);

/** Serves another path too. @return 0 or CAROB_ENOMEM */
int flowd_http_add(flowd_http_t *http, flowd_http_handler_t *handler);

/** Closes the socket and all connections. */
void flowd_http_free(flowd_http_t *http);

#endif
