/**
 * @file attempt_table.h
 * The last connection attempt of each caller on a route. An instance does not
 * see the resets that upstreams send to callers. A caller that opens another
 * flow at once shows that its last attempt has ended without an answer.
 *
 * The table has a fixed size. Callers that share an element replace each other,
 * which only loses evidence.
 */
#ifndef CAROBTRAIL_ATTEMPT_TABLE_H
#define CAROBTRAIL_ATTEMPT_TABLE_H

#include "carobtrail/flow_packet.h"

#include <stdbool.h>

/** Number of elements; a power of two. */
#define CAROB_ATTEMPTS 1024

/** One attempt. */
typedef struct carob_attempt {
	carob_endpoint_t caller;
	carob_endpoint_t route;
	uint32_t ms; /* monotonic time of its SYN, modulo 2^32 */
} carob_attempt_t;

/** All attempts; zero-initialise it. */
typedef struct carob_attempt_table {
	carob_attempt_t items[CAROB_ATTEMPTS];
} carob_attempt_table_t;

/**
 * Enters the attempt that a SYN begins.
 *
 * @param out receives the attempt before, of the same caller on the same route
 * @param table the table
 * @param packet the SYN
 * @param now_ms monotonic time
 * @return whether an attempt before is known
 */
bool carob_attempt_table_exchange(carob_attempt_t *out,
				  carob_attempt_table_t *table,
				  const carob_flow_packet_t *packet,
				  uint32_t now_ms);

#endif
