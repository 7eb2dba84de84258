#include "membership/isolation.h"

static int is_recent(int64_t at_ns, int64_t bound_ns, int64_t now_ns)
{
	return at_ns >= 0 && now_ns - at_ns <= bound_ns;
}

/* Includes this daemon in both counts. */
static int is_majority(const struct reach *reach)
{
	return (reach->reachable + 1) * 2 > reach->listed + 1;
}

enum isolation isolation_evaluate(const struct isolation_input *input,
				  int64_t bound_ns, int64_t now_ns)
{
	if (is_recent(input->log_read_ns, bound_ns, now_ns))
		return ISOLATION_NONE;
	/* If no other daemon is listed, none can accept a withdrawal. */
	if (!input->reach.listed)
		return ISOLATION_LOG_DOWN;
	if (!is_recent(input->peer_last_seen_ns, bound_ns, now_ns))
		return ISOLATION_CUT_OFF;
	if (input->reach.log_readers)
		return ISOLATION_FED;
	return is_majority(&input->reach) ? ISOLATION_LOG_DOWN
					  : ISOLATION_MINORITY;
}

int isolation_serves_keyed(enum isolation isolation)
{
	return isolation <= ISOLATION_LOG_DOWN;
}

const char *isolation_name(enum isolation isolation)
{
	static const char *const names[] = {
		[ISOLATION_NONE] = "none",
		[ISOLATION_FED] = "fed",
		[ISOLATION_LOG_DOWN] = "log_down",
		[ISOLATION_MINORITY] = "minority",
		[ISOLATION_CUT_OFF] = "cut_off",
	};

	return names[isolation];
}
