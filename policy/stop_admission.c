#include "policy/stop_admission.h"

#include "base/clock.h"

int stop_admits(const struct stop_times *stop, int64_t now_ns, int64_t limit_ns)
{
	int64_t open_ns = STOP_ADDRESSES_USED_MS * NS_PER_MS;

	if (!stop->ends_ns || limit_ns <= stop->ends_ns)
		return 1;
	if (open_ns > (stop->ends_ns - stop->began_ns) / 2)
		open_ns = (stop->ends_ns - stop->began_ns) / 2;
	return now_ns - stop->began_ns <= open_ns;
}
