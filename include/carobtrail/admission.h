/**
 * @file admission.h
 * Whether a new flow is taken, or refused at once because its request would
 * be answered late and make others late.
 *
 * For each service, an adaptive limit of the requests that this instance has
 * in progress: it grows while answers come within their route's target, and
 * shrinks when one comes late. Requests on open flows count, but only new
 * flows can be refused. The load that it answers: many callers at once, more
 * than the upstreams can serve in time; a zone that lost upstreams and can't
 * reach others.
 */
#ifndef CAROBTRAIL_ADMISSION_H
#define CAROBTRAIL_ADMISSION_H

#include "carobtrail/limiter.h"
#include "carobtrail/upstream_table.h"

/** Limits by service; zero-initialise it. */
typedef struct carob_admission {
	carob_limiter_t *limiters;
	size_t count;
} carob_admission_t;

/** A new flow. */
typedef struct carob_admission_query {
	carob_name_id_t service;
	carob_name_id_t home_zone;
	bool urgent; /* its route goes before others of the service */
} carob_admission_query_t;

/** What a decision rests on. */
typedef struct carob_admission_load {
	uint32_t pending; /* requests of the service in progress here */
	uint32_t limit;	  /* that were allowed */
} carob_admission_load_t;

/**
 * Decides on a new flow.
 *
 * @param out receives what the decision rests on
 * @param admission the limits
 * @param table load and slots of the upstreams
 * @param query the flow
 * @return whether to take it; true if memory runs out
 */
bool carob_admission_admits(carob_admission_load_t *out,
			    carob_admission_t *admission,
			    const carob_upstream_table_t *table,
			    const carob_admission_query_t *query);

/**
 * Notes an answer.
 *
 * @param admission the limits
 * @param service that answered
 * @param in_time whether it came within the target of its route
 * @param now_ns monotonic time
 */
void carob_admission_note_answer(carob_admission_t *admission,
				 carob_name_id_t service, bool in_time,
				 uint64_t now_ns);

/** Releases the limits. */
void carob_admission_dispose(carob_admission_t *admission);

#endif
