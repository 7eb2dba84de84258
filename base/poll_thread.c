#include "base/poll_thread.h"

#include <string.h>

#include "base/clock.h"
#include "base/wait.h"

/* Returns 1 when it is time to stop. */
static int wait_for_next(struct poll_thread *poll)
{
	int64_t due_ns = wait_now_ns() + poll->pause_ms * NS_PER_MS;
	int stopping;

	pthread_mutex_lock(&poll->lock);
	if (!poll->stopping)
		wait_until(&poll->changed, &poll->lock, due_ns);
	stopping = poll->stopping;
	pthread_mutex_unlock(&poll->lock);
	return stopping;
}

static void *run(void *arg)
{
	struct poll_thread *poll = arg;

	do
		poll->fn(poll->arg);
	while (!wait_for_next(poll));
	return NULL;
}

int poll_thread_start(struct poll_thread *poll, uint32_t pause_ms,
		      void (*fn)(void *arg), void *arg, struct error *err)
{
	memset(poll, 0, sizeof(*poll));
	poll->fn = fn;
	poll->arg = arg;
	poll->pause_ms = pause_ms;
	pthread_mutex_init(&poll->lock, NULL);
	wait_cond_init(&poll->changed);
	if (pthread_create(&poll->thread, NULL, run, poll))
		return error_set(err, ERROR_IO, "no thread for polling");
	poll->running = 1;
	return 0;
}

void poll_thread_stop(struct poll_thread *poll)
{
	if (!poll->running)
		return;
	pthread_mutex_lock(&poll->lock);
	poll->stopping = 1;
	pthread_cond_broadcast(&poll->changed);
	pthread_mutex_unlock(&poll->lock);
	pthread_join(poll->thread, NULL);
	poll->running = 0;
	pthread_cond_destroy(&poll->changed);
	pthread_mutex_destroy(&poll->lock);
}
