#include "standin/rate_limit.h"

#include "base/clock.h"
#include "base/wait.h"

void rate_limit_init(struct rate_limit *limit, uint32_t per_s)
{
	limit->per_s = per_s;
	limit->tokens = per_s;
	limit->last_ns = wait_now_ns();
}

int rate_limit_take(struct rate_limit *limit)
{
	int64_t now = wait_now_ns();

	limit->tokens += limit->per_s * (double)(now - limit->last_ns) / 1e9;
	limit->last_ns = now;
	if (limit->tokens > limit->per_s)
		limit->tokens = limit->per_s;
	if (limit->tokens < 1)
		return 0;
	limit->tokens--;
	return 1;
}
