#include "core/scheduling/retry_budget.h"

void carob_retry_budget_earn(carob_retry_budget_t *budget)
{
	if (budget->earned < CAROB_RETRY_REQUESTS * CAROB_RETRY_BURST)
		budget->earned++;
}

bool carob_retry_budget_spend(carob_retry_budget_t *budget)
{
	if (budget->earned < CAROB_RETRY_REQUESTS)
		return false;
	budget->earned -= CAROB_RETRY_REQUESTS;
	return true;
}
