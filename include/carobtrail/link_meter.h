/**
 * @file link_meter.h
 * Estimates the queue in front of this instance's own link: a virtual queue
 * that the bytes sent fill and the link's rate empties. While it is long,
 * packets to upstreams are late for a reason that is not theirs, and missing
 * answers are no evidence against them.
 */
#ifndef CAROBTRAIL_LINK_METER_H
#define CAROBTRAIL_LINK_METER_H

#include <stdbool.h>
#include <stdint.h>

/** State of the meter; initialise it with `carob_link_meter_init`. */
typedef struct carob_link_meter {
	double bytes_per_ns;   /* 0: the rate is not known */
	double queued_bytes;   /* at `updated_ns` */
	uint64_t updated_ns;   /* monotonic time of the last packet */
	uint64_t congested_ns; /* last time at which the queue was long */
	bool has_been_congested;
} carob_link_meter_t;

/** Initialises a meter for a link of `mbps` Mbit/s; 0: the rate is not known,
 * and the link never counts as congested. */
void carob_link_meter_init(carob_link_meter_t *meter, double mbps);

/**
 * Counts what is sent over the link, with its headers.
 *
 * @return whether the link has become congested by it
 */
bool carob_link_meter_send(carob_link_meter_t *meter, uint64_t bytes,
			   uint64_t now_ns);

/** @return whether the link can send this much within a time; always true if
 * the rate is not known */
bool carob_link_meter_can_send(const carob_link_meter_t *meter, uint64_t bytes,
			       uint64_t within_ns);

/** @return whether the link is congested, or was until a moment ago */
bool carob_link_meter_congested(const carob_link_meter_t *meter,
				uint64_t now_ns);

#endif
