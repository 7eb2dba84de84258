#include "base/wait.h"

#include <errno.h>
#include <time.h>

#include "base/clock.h"

void wait_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

int64_t wait_now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * NS_PER_S + now.tv_nsec;
}

int wait_until(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t due_ns)
{
	struct timespec due = { .tv_sec = due_ns / NS_PER_S,
				.tv_nsec = due_ns % NS_PER_S };

	return pthread_cond_timedwait(cond, lock, &due) == ETIMEDOUT;
}
