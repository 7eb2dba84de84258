#ifndef BASE_WAIT_H
#define BASE_WAIT_H

#include <pthread.h>
#include <stdint.h>

/*
 * Timed waits on condition variables. Times are nanoseconds of
 * CLOCK_MONOTONIC: threads sleep by the system's clock, also where the part
 * that they serve was given another one.
 */
void wait_cond_init(pthread_cond_t *cond);
int64_t wait_now_ns(void);

/* Waits once; returns 1 if `due_ns` has come, 0 if it was woken. */
int wait_until(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t due_ns);

#endif
