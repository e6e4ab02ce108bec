/**
 * @file feed.h
 * The server side of observations (RFC 7641). Settings and records call an
 * observation a feed.
 */
#ifndef CAROB_UPSTREAM_FEED_H
#define CAROB_UPSTREAM_FEED_H

#include "host.h"

/** Handles a registration: opens or updates a feed, or refuses it. */
void upstream_feed_register(upstream_host_t *host, const carob_msg_t *msg,
			    const upstream_origin_t *origin, uint64_t rid);

/** Ends the feed with the token of `origin`. @return whether there was one */
bool upstream_feed_cancel(upstream_host_t *host,
			  const upstream_origin_t *origin);

/** Handles the acknowledgement or reset of a notification by its peer. */
void upstream_feed_acknowledged(upstream_host_t *host, const carob_addr_t *peer,
				uint16_t mid, bool reset);

/** Ends all feeds and writes their records. */
void upstream_feeds_dispose(upstream_host_t *host);

#endif
