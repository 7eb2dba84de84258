#include "policy/list_patience.h"

#include "base/backoff.h"
#include "base/clock.h"

int64_t list_patience_limit_ns(const struct list_patience *patience,
			       int64_t usual_ns)
{
	return backoff_ns(usual_ns, LIST_PATIENCE_MAX_NS, patience->given_up);
}

int64_t list_patience_pause_ns(const struct list_patience *patience,
			       int64_t usual_ns, double random)
{
	int64_t limit_ns = list_patience_limit_ns(patience, usual_ns);

	if (!patience->given_up)
		return 0;
	return (int64_t)(random * (double)limit_ns / 2);
}
