/**
 * @file exchange.h
 * Table of received requests by peer and message id. With it, the response to
 * a duplicate is sent again and the request is not run again (RFC 7252,
 * section 4.5).
 */
#ifndef CAROB_UPSTREAM_EXCHANGE_H
#define CAROB_UPSTREAM_EXCHANGE_H

#include "carobtrail/ids.h"
#include "carobtrail/str.h"

/** Received requests and their responses. */
typedef struct exchange_table exchange_table_t;

/** Creates an empty table. @return 0 or CAROB_ENOMEM */
int exchange_table_new(exchange_table_t **out);

/** Releases a table; NULL is ignored. */
void exchange_table_free(exchange_table_t *table);

/**
 * Looks up a request and adds it if it is new.
 *
 * @param response receives the response to a duplicate, borrowed; empty if
 *                 there is none yet
 * @param table the table
 * @param peer the peer
 * @param mid the message id
 * @param now_ns the current time; expired exchanges are removed first
 * @return whether the request is a duplicate
 */
bool exchange_table_check_duplicate(carob_str_t *response,
				    exchange_table_t *table,
				    const carob_addr_t *peer, uint16_t mid,
				    uint64_t now_ns);

/** Stores a copy of the response to a request. */
void exchange_table_set_response(exchange_table_t *table,
				 const carob_addr_t *peer, uint16_t mid,
				 const void *data, size_t len);

#endif
