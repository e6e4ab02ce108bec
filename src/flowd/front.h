/**
 * @file front.h
 * The packet front: a UDP socket in front of the steering.
 */
#ifndef CAROB_FLOWD_FRONT_H
#define CAROB_FLOWD_FRONT_H

#include "carobtrail/catalog.h"
#include "carobtrail/steering.h"
#include "net/udp.h"

typedef struct flowd_front flowd_front_t;

/** Counters of a front. */
typedef struct flowd_front_counters {
	uint64_t packets;
	uint64_t malformed;
	uint64_t stale;	   /* SYNs that waited for longer than callers do */
	uint64_t unlogged; /* decisions beyond the log's rate */
} flowd_front_counters_t;

/**
 * Opens the socket.
 *
 * @param out receives the front; release it with `flowd_front_free`
 * @param hub the loop's UDP buffers
 * @param local where callers' packets arrive; resets go to the same port
 * @param steering decides; must outlive the front
 * @param catalog for the age of what decisions rest on; must outlive it
 * @param clock for the log's rate
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int flowd_front_new(flowd_front_t **out, carob_udp_hub_t *hub,
		    const carob_addr_t *local, carob_steering_t *steering,
		    const carob_catalog_t *catalog, const carob_clock_t *clock);

/** Closes the socket and releases the front. */
void flowd_front_free(flowd_front_t *front);

/** @return the counters, borrowed */
const flowd_front_counters_t *flowd_front_counters(const flowd_front_t *front);

#endif
