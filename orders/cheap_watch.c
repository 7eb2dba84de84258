#include "orders/cheap_watch.h"

static enum cheap_change check_running(struct cheap_watch *watch,
				       int64_t now_ns)
{
	if (!watch->is_running)
		watch->since_ns = now_ns;
	watch->is_running = 1;
	watch->is_lacking = 0;
	return now_ns - watch->since_ns >= CHEAP_STEADY_NS ? CHEAP_STEADY
							   : CHEAP_SAME;
}

static enum cheap_change check_none_running(struct cheap_watch *watch,
					    int64_t patience_ns, int64_t now_ns)
{
	int evicted = watch->is_running;

	watch->is_running = 0;
	if (watch->is_lacking && now_ns - watch->since_ns >= patience_ns)
		evicted = 1;
	if (evicted || !watch->is_lacking)
		watch->since_ns = now_ns;
	watch->is_lacking = 1;
	return evicted ? CHEAP_EVICTED : CHEAP_SAME;
}

enum cheap_change cheap_watch_check(struct cheap_watch *watch, uint32_t desired,
				    uint32_t running, int64_t patience_ns,
				    int64_t now_ns)
{
	if (running)
		return check_running(watch, now_ns);
	if (desired)
		return check_none_running(watch, patience_ns, now_ns);
	watch->is_running = 0;
	watch->is_lacking = 0;
	return CHEAP_SAME;
}
