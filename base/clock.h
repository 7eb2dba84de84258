#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define NS_PER_US INT64_C(1000)
#define NS_PER_MS INT64_C(1000000)
#define NS_PER_S INT64_C(1000000000)

struct clock;

struct clock_vtable {
	/* Nanoseconds since an arbitrary start; never goes back. */
	int64_t (*now_ns)(struct clock *clock);
	/* Wall-clock time in milliseconds since 1970. */
	int64_t (*wall_ms)(struct clock *clock);
};

/* Source of time that decisions are given; the vtable is the first member. */
struct clock {
	const struct clock_vtable *vt;
};

static inline int64_t clock_now_ns(struct clock *clock)
{
	return clock->vt->now_ns(clock);
}

/* For windows of wall-clock time and for ages that other hosts wrote down. */
static inline int64_t clock_wall_ms(struct clock *clock)
{
	return clock->vt->wall_ms(clock);
}

/* CLOCK_BOOTTIME, which goes on while the host is suspended. */
void system_clock_init(struct clock *clock);

/* Time that only a test moves. */
struct fake_clock {
	struct clock base;
	int64_t now_ns;
	int64_t wall_ahead_ms; /* of the other clock */
};

void fake_clock_init(struct fake_clock *clock, int64_t now_ns);
void fake_clock_advance(struct fake_clock *clock, int64_t by_ns);

/* Wall-clock time in milliseconds since 1970, for display and windows only. */
int64_t wall_now_ms(void);

#endif
