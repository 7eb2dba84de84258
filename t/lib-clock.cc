#include "t/lib-clock.h"

extern "C" {
#include "base/clock.h"
#include "base/wait.h"
}

int64_t system_now_ns()
{
	struct clock clock;

	system_clock_init(&clock);
	return clock_now_ns(&clock);
}

int64_t steady_now_ms()
{
	return wait_now_ns() / NS_PER_MS;
}
