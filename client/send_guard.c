#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "client/send_guard.h"

#define GUARD_SIGNAL (SIGRTMIN + 3)

static pthread_once_t handler_once = PTHREAD_ONCE_INIT;

static void on_deadline(int signal, siginfo_t *info, void *context)
{
	struct send_guard *guard = info->si_value.sival_ptr;
	int saved = errno;

	(void)signal;
	(void)context;
	if (info->si_code != SI_TIMER)
		return;
	guard->expired = 1;
	if (guard->fd >= 0)
		shutdown(guard->fd, SHUT_RDWR);
	errno = saved;
}

static void install_handler(void)
{
	struct sigaction action = { .sa_sigaction = on_deadline,
				    .sa_flags = SA_SIGINFO | SA_RESTART };

	sigemptyset(&action.sa_mask);
	sigaction(GUARD_SIGNAL, &action, NULL);
}

static void unblock(struct send_guard *guard)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, GUARD_SIGNAL);
	pthread_sigmask(SIG_UNBLOCK, &set, &guard->old_mask);
}

int send_guard_arm(struct send_guard *guard, int64_t deadline_ns,
		   struct error *err)
{
	struct sigevent event = { .sigev_notify = SIGEV_THREAD_ID,
				  .sigev_signo = GUARD_SIGNAL };
	struct itimerspec due = {
		.it_value = { .tv_sec = deadline_ns / NS_PER_S,
			      .tv_nsec = deadline_ns % NS_PER_S },
	};

	memset(guard, 0, sizeof(*guard));
	guard->fd = -1;
	pthread_once(&handler_once, install_handler);
	event.sigev_value.sival_ptr = guard;
	event._sigev_un._tid = gettid();
	if (timer_create(CLOCK_BOOTTIME, &event, &guard->timer) < 0)
		return error_set(err, ERROR_IO, "timer of a send: %s",
				 strerror(errno));
	unblock(guard);
	if (timer_settime(guard->timer, TIMER_ABSTIME, &due, NULL) < 0) {
		error_set(err, ERROR_IO, "timer of a send: %s",
			  strerror(errno));
		send_guard_disarm(guard);
		return -1;
	}
	return 0;
}

void send_guard_disarm(struct send_guard *guard)
{
	/* A pending signal is delivered before this returns. */
	timer_delete(guard->timer);
	pthread_sigmask(SIG_SETMASK, &guard->old_mask, NULL);
}

int send_guard_socket(void *arg, int fd)
{
	struct send_guard *guard = arg;

	/* In this order: either the handler sees the socket or we see it. */
	guard->fd = fd;
	return guard->expired ? -1 : 0;
}
