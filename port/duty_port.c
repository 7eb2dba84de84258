#include "port/duty_port.h"

const char *duty_outcome_name(enum duty_outcome outcome)
{
	static const char *const names[] = { "done",	 "holds",   "fenced",
					     "conflict", "refused", "invalid",
					     "unknown" };

	return names[outcome];
}
