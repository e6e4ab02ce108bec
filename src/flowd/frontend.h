/**
 * @file frontend.h
 * The packet frontend: receives the packets of callers on a UDP socket, lets
 * the steering decide about each of them, and forwards, resets or drops it.
 */
#ifndef CAROB_FLOWD_FRONTEND_H
#define CAROB_FLOWD_FRONTEND_H

#include "carobtrail/catalog.h"
#include "carobtrail/steering.h"
#include "net/udp.h"

typedef struct flowd_frontend flowd_frontend_t;

/** Counters of a frontend. */
typedef struct flowd_frontend_counters {
	uint64_t packets;
	uint64_t malformed;
	uint64_t stale;	   /* packets that waited too long to be read */
	uint64_t unlogged; /* decisions not logged, because of the rate limit */
} flowd_frontend_counters_t;

/**
 * Creates a frontend and opens its socket. Packets wait in the socket until
 * `flowd_frontend_start`.
 *
 * @param out receives the frontend; release it with `flowd_frontend_free`
 * @param hub the UDP buffers of the event loop
 * @param local address to receive callers' packets on; resets are sent to the
 *        callers at the same port number
 * @param steering decides about packets; must outlive the frontend
 * @param catalog source of the revision and age that are logged with each
 *        decision; must outlive the frontend
 * @param clock clock for the rate limit of the log and for `link`
 * @param link counts what is sent to upstreams; must outlive the frontend
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int flowd_frontend_new(flowd_frontend_t **out, carob_udp_hub_t *hub,
		       const carob_addr_t *local, carob_steering_t *steering,
		       const carob_catalog_t *catalog,
		       const carob_clock_t *clock, carob_link_meter_t *link);

/**
 * Begins to handle packets. Before the catalogue is complete they could only be
 * dropped, and their callers would repeat them up to 1.6 s later.
 *
 * @return 0 or CAROB_ENOMEM
 */
int flowd_frontend_start(flowd_frontend_t *frontend);

/** Closes the socket and releases the frontend; NULL is allowed. */
void flowd_frontend_free(flowd_frontend_t *frontend);

/** @return the counters, borrowed */
const flowd_frontend_counters_t *
flowd_frontend_counters(const flowd_frontend_t *frontend);

#endif
