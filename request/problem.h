#ifndef REQUEST_PROBLEM_H
#define REQUEST_PROBLEM_H

#include <stdint.h>

#include "request/transition.h"

/*
 * What a refusal tells, sent as problem+json. docs/api.md lists the types,
 * which stay as they are, and the HTTP status that goes with each.
 */
struct problem {
	int status;
	const char *type; /* stable, such as "overloaded" */
	const char *detail;
	enum run_status run;
	int64_t retry_after_ns; /* 0: no time to come back */
};

#endif
