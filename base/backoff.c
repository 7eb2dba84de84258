#include "base/backoff.h"

int64_t backoff_ns(int64_t first_ns, int64_t max_ns, uint32_t repeats)
{
	int64_t pause_ns = first_ns;

	while (repeats-- && pause_ns < max_ns)
		pause_ns *= 2;
	return pause_ns < max_ns ? pause_ns : max_ns;
}
