/**
 * @file retry_budget.h
 * Limits retries to a fraction of the requests, so that retries do not
 * aggravate an overload. The budget is a token bucket that requests fill.
 */
#ifndef CAROBTRAIL_CORE_RETRY_BUDGET_H
#define CAROBTRAIL_CORE_RETRY_BUDGET_H

#include "carobtrail/common.h"

/** Number of requests that allow one retry. */
#define CAROB_RETRY_REQUESTS 10
/** Maximum number of retries that the budget accumulates. */
#define CAROB_RETRY_BURST 10

/** A retry budget. A zero-initialised budget allows no retry. */
typedef struct carob_retry_budget {
	uint32_t earned; /* requests counted and not yet spent on a retry */
} carob_retry_budget_t;

/** Counts a request that is forwarded for the first time. */
void carob_retry_budget_earn(carob_retry_budget_t *budget);

/** Takes one retry from the budget. @return whether a retry is allowed */
bool carob_retry_budget_spend(carob_retry_budget_t *budget);

#endif
