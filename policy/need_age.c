#include "policy/need_age.h"

#include "base/clock.h"

int64_t need_age_ns(int64_t reported_ms, int64_t wall_ms, int64_t unread_ns)
{
	int64_t unread_ms = unread_ns / NS_PER_MS;

	if (reported_ms <= 0 || reported_ms >= wall_ms)
		return 0;
	if (wall_ms - reported_ms < unread_ms)
		return (wall_ms - reported_ms) * NS_PER_MS;
	return unread_ns;
}
