/**
 * @file admission.h
 * Admission control: accepts, defers or refuses new flows. In a lasting
 * overload a new flow is refused at once, because the response to its request
 * would be late and would delay those of other flows.
 *
 * Each service has an adaptive limit on the requests that this instance has in
 * progress. The limit grows while responses arrive within the latency target
 * of their route, and shrinks when a response is late. Requests on open flows
 * count towards the limit, but only new flows can be refused.
 *
 * Overload arises when more callers arrive at once than the upstreams can
 * serve in time, or when an availability zone has lost upstreams and can't
 * reach those of other zones.
 *
 * A wave is another load: after a moment without instances, the callers of that
 * moment all come at once, although the upstreams can serve them soon. A reset
 * would let them use up their tries within milliseconds. Their SYNs are dropped
 * instead: callers send a copy 200 ms and 600 ms later, and few are still there
 * when the last copy comes. Each service has a budget of such deferrals, which
 * is refilled by a fraction of the flows that are accepted while the service is
 * far from its limit. A lasting overload uses it up, and is refused from then
 * on. The budget is not needed by an instance that has just started, until the
 * timeout of the route has passed: nobody may have served the callers before,
 * who go away by then.
 */
#ifndef CAROBTRAIL_ADMISSION_H
#define CAROBTRAIL_ADMISSION_H

#include "carobtrail/limiter.h"
#include "carobtrail/load_view.h"
#include "carobtrail/upstream_table.h"

/** What happens to a new flow. */
typedef enum carob_admission_verdict {
	CAROB_ADMISSION_ACCEPT,
	CAROB_ADMISSION_DEFER, /* drop the SYN; the caller sends a copy */
	CAROB_ADMISSION_REFUSE,
} carob_admission_verdict_t;

/** Limit and budget of one service. */
typedef struct carob_admission_service {
	carob_limiter_t limiter;
	double deferrals; /* left in the budget */
	bool used;	  /* the budget has been filled for the first time */
} carob_admission_service_t;

/** Limits and budgets, indexed by service; zero-initialise it. */
typedef struct carob_admission {
	carob_admission_service_t *services;
	size_t count;
} carob_admission_t;

/** A new flow to decide on. */
typedef struct carob_admission_query {
	carob_name_id_t service;
	carob_name_id_t home_zone;
	bool urgent; /* its route is not of the lowest priority configured */
	uint8_t syn_copy; /* how often the caller has sent the SYN before */
	/** Callers from before the start of this instance may still wait. */
	bool after_start;
	const carob_load_view_t *view; /* NULL: load is not shared */
	uint64_t now_ns;
	/** The members below are for shared_admission.h only. */
	uint32_t caller_ip;
	uint32_t priority;	 /* of the route; 0 is the highest */
	uint32_t least_priority; /* of all routes */
	uint32_t target_ms;	 /* of the route; 0: none */
} carob_admission_query_t;

/** The load and the limit that an admission decision compares. */
typedef struct carob_admission_load {
	uint32_t pending;    /* the service's requests in progress here */
	uint32_t limit;	     /* requests allowed at a time */
	uint32_t home_slots; /* slots of the service in the own zone */
} carob_admission_load_t;

/**
 * Measures the load of a service and computes its limit.
 *
 * @param out receives both; without memory the limit is UINT32_MAX
 * @param admission the limits
 * @param table the upstreams with their slots and load
 * @param query the flow
 */
void carob_admission_measure(carob_admission_load_t *out,
			     carob_admission_t *admission,
			     const carob_upstream_table_t *table,
			     const carob_admission_query_t *query);

/** @return whether a further request is within the limit */
bool carob_admission_has_room(const carob_admission_load_t *load);

/**
 * Decides what to do with a new flow.
 *
 * @param admission the limits and budgets
 * @param load the load of the service, by `carob_admission_measure`
 * @param query the flow
 * @return what to do with the flow
 */
carob_admission_verdict_t
carob_admission_decide(carob_admission_t *admission,
		       const carob_admission_load_t *load,
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
