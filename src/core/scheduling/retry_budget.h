/**
 * @file retry_budget.h
 * Bounds retries to a share of the requests, so that they cannot grow an
 * overload (token bucket).
 */
#ifndef CAROBTRAIL_CORE_RETRY_BUDGET_H
#define CAROBTRAIL_CORE_RETRY_BUDGET_H

#include "carobtrail/common.h"

/** Requests that earn one retry. */
#define CAROB_RETRY_REQUESTS 10
/** Retries that can be saved up. */
#define CAROB_RETRY_BURST 10

/** A budget; zero-initialised it has nothing to spend. */
typedef struct carob_retry_budget {
	uint32_t earned; /* in requests */
} carob_retry_budget_t;

/** Counts a request that was forwarded for the first time. */
void carob_retry_budget_earn(carob_retry_budget_t *budget);

/** Takes one retry. @return whether there was one to take */
bool carob_retry_budget_spend(carob_retry_budget_t *budget);

#endif
