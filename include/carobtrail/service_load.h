/**
 * @file service_load.h
 * Load of one service as one instance knows it: its slots, the requests that
 * this instance has in progress, those of the other instances by their reports
 * (load_view.h), and the usual work time of a request. The sums over the
 * upstreams are cached for some milliseconds, since walking thousands of
 * upstreams for each flow would cost more than the decision.
 */
#ifndef CAROBTRAIL_SERVICE_LOAD_H
#define CAROBTRAIL_SERVICE_LOAD_H

#include "carobtrail/load_view.h"
#include "carobtrail/upstream_table.h"

/** Views whose own load is remembered; see `own_history`. */
#define CAROB_SERVICE_LOAD_VIEWS 3

/** Load of one service; zero-initialise it. */
typedef struct carob_service_load {
	uint64_t summed_ns; /* time of the last sum; 0: none yet */
	/** Slots that accept flows; those of cold upstreams count in part. */
	double slots;
	uint64_t zone_set; /* zones with such slots, one bit each */
	/**
	 * Into how many parts the room is divided: the zones with slots times
	 * the instances of the own zone. Each zone has as many callers as the
	 * others, however many instances it has.
	 */
	double parts;
	uint32_t pending;     /* own requests in progress */
	uint32_t accepted;    /* own flows accepted since the sum */
	double idle;	      /* own open flows without a request */
	double others;	      /* requests in progress at other instances */
	double others_before; /* the same before the last view */
	double others_sum;    /* the same with the weight of idle flows */
	double least_sum[2];  /* least `others_sum` of the last intervals */
	uint64_t least_since_ns;
	uint64_t view_ns; /* update of the view in the last sum */
	double own_mean;  /* mean of the own load over a quarter of a second */
	uint64_t mean_ns; /* time of the last change of `own_mean` */
	/**
	 * `own_mean` at the last updates of the view. The reports in a view are
	 * up to three intervals old, so the own load at the time that they
	 * describe is between the least and the greatest of these.
	 */
	double own_history[CAROB_SERVICE_LOAD_VIEWS];
	double work_ms;	       /* mean response time without a queue */
	uint32_t work_samples; /* responses in `work_ms`, up to a maximum */
	double held; /* accepted flows, counted for the usual work time */
	uint64_t held_ns;
} carob_service_load_t;

/** A service whose load is measured. */
typedef struct carob_service_load_query {
	carob_name_id_t service;
	const carob_load_view_t *view; /* must have been updated */
	uint64_t now_ns;
} carob_service_load_query_t;

/** Updates the sums over the upstreams if they are too old. */
void carob_service_load_update(carob_service_load_t *load,
			       const carob_upstream_table_t *table,
			       const carob_service_load_query_t *query);

/**
 * @return the own requests in progress. A flow counts for at least the usual
 *         work time after it was accepted: a faster response may be that of an
 *         upstream that has shed the request.
 */
double carob_service_load_own(carob_service_load_t *load, uint64_t now_ns);

/** Counts a flow that was accepted. */
void carob_service_load_add_flow(carob_service_load_t *load, uint64_t now_ns);

/**
 * Learns the work time from a response. Responses count only while there are
 * free slots, in the view and in the part of this instance: then none has
 * waited, and none stems from an upstream that has shed the request.
 *
 * @param load the load
 * @param ms the response time, in milliseconds
 * @param target_ms target of the route; longer responses count as this
 */
void carob_service_load_record_response(carob_service_load_t *load, uint32_t ms,
					uint32_t target_ms);

/** @return the usual work time, in milliseconds; a guess before responses */
double carob_service_load_work_ms(const carob_service_load_t *load);

#endif
