#include "base/clock.h"

#include <time.h>

static int64_t system_now_ns(struct clock *clock)
{
	struct timespec ts;

	(void)clock;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

static int64_t system_wall_ms(struct clock *clock)
{
	(void)clock;
	return wall_now_ms();
}

static const struct clock_vtable system_clock_vtable = {
	.now_ns = system_now_ns,
	.wall_ms = system_wall_ms,
};

void system_clock_init(struct clock *clock)
{
	clock->vt = &system_clock_vtable;
}

static int64_t fake_now_ns(struct clock *clock)
{
	struct fake_clock *fake = (struct fake_clock *)clock;

	return __atomic_load_n(&fake->now_ns, __ATOMIC_ACQUIRE);
}

static int64_t fake_wall_ms(struct clock *clock)
{
	struct fake_clock *fake = (struct fake_clock *)clock;

	return fake_now_ns(clock) / NS_PER_MS + fake->wall_ahead_ms;
}

static const struct clock_vtable fake_clock_vtable = {
	.now_ns = fake_now_ns,
	.wall_ms = fake_wall_ms,
};

void fake_clock_init(struct fake_clock *clock, int64_t now_ns)
{
	clock->base.vt = &fake_clock_vtable;
	clock->now_ns = now_ns;
	clock->wall_ahead_ms = 0;
}

void fake_clock_advance(struct fake_clock *clock, int64_t by_ns)
{
	__atomic_add_fetch(&clock->now_ns, by_ns, __ATOMIC_ACQ_REL);
}

int64_t wall_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / NS_PER_MS;
}
