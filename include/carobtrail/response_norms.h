/**
 * @file response_norms.h
 * Usual lengths of responses, by route and service, and whether a response is
 * much shorter. An instance does not see responses, only how many bytes callers
 * acknowledge; an error has far fewer than the response that it replaces.
 *
 * The usual length is the median, and the spread is the median deviation of the
 * longer responses from it, both of logarithms. Neither moves much while less
 * than half of the responses are errors (after the median absolute deviation:
 * F. R. Hampel, "The Influence Curve and Its Role in Robust Estimation", 1974).
 */
#ifndef CAROBTRAIL_RESPONSE_NORMS_H
#define CAROBTRAIL_RESPONSE_NORMS_H

#include "carobtrail/endpoint.h"
#include "carobtrail/name_table.h"

/** Number of routes with their services that are remembered; a power of two. */
#define CAROB_RESPONSE_NORMS 64

/** What is known of the responses of one route and service. */
typedef struct carob_response_norm {
	uint64_t key; /* hash of route and service; 0: unused */
	uint32_t samples;
	float log_median; /* of the length in bytes, natural logarithm */
	float log_spread; /* median deviation of the longer ones */
} carob_response_norm_t;

/**
 * All routes; zero-initialise it. Routes that share an element replace each
 * other, so that the responses of neither are judged.
 */
typedef struct carob_response_norms {
	carob_response_norm_t items[CAROB_RESPONSE_NORMS];
} carob_response_norms_t;

/**
 * Compares a response with those before it and learns its length.
 *
 * @param norms the usual lengths
 * @param route the route of the flow
 * @param service the service of the upstream
 * @param bytes length of the response, more than 0
 * @return whether it is much shorter than usual; false while too few responses
 *         are known
 */
bool carob_response_norms_add(carob_response_norms_t *norms,
			      carob_endpoint_t route, carob_name_id_t service,
			      uint32_t bytes);

#endif
