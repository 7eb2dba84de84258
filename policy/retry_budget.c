#include "policy/retry_budget.h"

#define MILLI_PER_RETRY 1000

void retry_budget_init(struct retry_budget *budget, uint32_t per_mille,
		       uint32_t reserve)
{
	budget->per_mille = per_mille;
	budget->max_milli = (int64_t)reserve * MILLI_PER_RETRY;
	budget->milli = budget->max_milli;
}

void retry_budget_first_attempt(struct retry_budget *budget)
{
	int64_t old = __atomic_load_n(&budget->milli, __ATOMIC_RELAXED);
	int64_t next;

	do {
		next = old + budget->per_mille;
		if (next > budget->max_milli)
			next = budget->max_milli;
	} while (!__atomic_compare_exchange_n(&budget->milli, &old, next, 0,
					      __ATOMIC_RELAXED,
					      __ATOMIC_RELAXED));
}

int retry_budget_take(struct retry_budget *budget)
{
	int64_t old = __atomic_load_n(&budget->milli, __ATOMIC_RELAXED);

	do {
		if (old < MILLI_PER_RETRY)
			return 0;
	} while (!__atomic_compare_exchange_n(
		&budget->milli, &old, old - MILLI_PER_RETRY, 0,
		__ATOMIC_RELAXED, __ATOMIC_RELAXED));
	return 1;
}
