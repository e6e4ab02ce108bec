/**
 * @file admission.h
 * Admission control: accepts or refuses new flows. Under overload a new flow
 * is refused at once, because the response to its request would be late and
 * would delay those of other flows.
 *
 * Each service has an adaptive limit on the requests that this instance has in
 * progress. The limit grows while responses arrive within the latency target
 * of their route, and shrinks when a response is late. Requests on open flows
 * count towards the limit, but only new flows can be refused.
 *
 * Overload arises when more callers arrive at once than the upstreams can
 * serve in time, or when an availability zone has lost upstreams and can't
 * reach those of other zones.
 */
#ifndef CAROBTRAIL_ADMISSION_H
#define CAROBTRAIL_ADMISSION_H

#include "carobtrail/limiter.h"
#include "carobtrail/upstream_table.h"

/** Adaptive limits, indexed by service; zero-initialise it. */
typedef struct carob_admission {
	carob_limiter_t *limiters;
	size_t count;
} carob_admission_t;

/** A new flow to admit or refuse. */
typedef struct carob_admission_query {
	carob_name_id_t service;
	carob_name_id_t home_zone;
	bool urgent; /* its route is not of the lowest priority configured */
} carob_admission_query_t;

/** The load and the limit that an admission decision compared. */
typedef struct carob_admission_load {
	uint32_t pending; /* the service's requests in progress here */
	uint32_t limit;	  /* requests allowed at a time */
} carob_admission_load_t;

/**
 * Decides whether to accept a new flow.
 *
 * @param out receives the load and the limit that were compared
 * @param admission the limits
 * @param table the upstreams with their slots and load
 * @param query the flow
 * @return whether to accept the flow; true if memory runs out
 */
bool carob_admission_admits(carob_admission_load_t *out,
			    carob_admission_t *admission,
			    const carob_upstream_table_t *table,
			    const carob_admission_query_t *query);

/**
 * Adapts the limit of a service after a response.
 *
 * @param admission the limits
 * @param service the service that has responded
 * @param in_time whether the response arrived within its route's target
 * @param now_ns monotonic time, in nanoseconds
 */
void carob_admission_record_response(carob_admission_t *admission,
				     carob_name_id_t service, bool in_time,
				     uint64_t now_ns);

/** Releases the limits and zeroes the structure. */
void carob_admission_dispose(carob_admission_t *admission);

#endif
