#ifndef STANDIN_RATE_LIMIT_H
#define STANDIN_RATE_LIMIT_H

#include <stdint.h>

/* A rate limit that lets `per_s` calls through at once after a quiet second. */
struct rate_limit {
	double per_s;
	double tokens;
	int64_t last_ns;
};

void rate_limit_init(struct rate_limit *limit, uint32_t per_s);

/* Returns 1 if a call may pass; the caller excludes other threads. */
int rate_limit_take(struct rate_limit *limit);

#endif
