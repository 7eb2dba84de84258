#ifndef ORDERS_CHEAP_WATCH_H
#define ORDERS_CHEAP_WATCH_H

#include <stdint.h>

/*
 * Detects, from the counts that the platform reports for one pool in one data
 * centre, whether its cheap servers were evicted, or none started, or they have
 * run long enough to be considered stable again. Pure: time is an argument.
 */
/* Servers that have run for this long are stable. */
#define CHEAP_STEADY_NS (600 * INT64_C(1000000000))

struct cheap_watch {
	int is_running; /* some ran at the last check */
	int is_lacking; /* none ran though some were ordered */
	int64_t since_ns; /* start of the running or lacking state */
};

enum cheap_change {
	CHEAP_SAME = 0,
	CHEAP_EVICTED,
	CHEAP_STEADY, /* returned by every check from then on */
};

/* `patience_ns`: max wait for the first ordered server to start. */
enum cheap_change cheap_watch_check(struct cheap_watch *watch, uint32_t desired,
				    uint32_t running, int64_t patience_ns,
				    int64_t now_ns);

#endif
