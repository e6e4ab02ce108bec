/**
 * @file feed.h
 * The client side of an observation (RFC 7641). Settings and records call an
 * observation a feed.
 */
#ifndef CAROB_CALLER_FEED_H
#define CAROB_CALLER_FEED_H

#include "call.h"

/** Prepares a request as the registration of a feed. */
void caller_feed_init(caller_call_t *call);

/** Handles a response to the registration, or a notification. */
void caller_feed_receive(caller_call_t *call, const carob_msg_t *msg);

/**
 * Stops the timer for the next registration and records the time since the
 * last notification as a gap. Called before a feed is cancelled or ends.
 */
void caller_feed_close(caller_call_t *call);

#endif
