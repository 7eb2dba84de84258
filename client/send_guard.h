#ifndef CLIENT_SEND_GUARD_H
#define CLIENT_SEND_GUARD_H

#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <time.h>

#include "base/error.h"

/*
 * Keeps a thread from sending after a moment, also when the process is
 * stopped between its last check and the send. A timer on CLOCK_BOOTTIME
 * signals the thread itself; the handler shuts the socket down, and a
 * process that goes on after a pause runs it before its next instruction.
 * Bytes that the kernel already holds are not taken back.
 *
 * One guard belongs to one thread, from send_guard_arm() to
 * send_guard_disarm(). It uses the signal SIGRTMIN + 3.
 */
struct send_guard {
	timer_t timer;
	sigset_t old_mask;
	volatile sig_atomic_t fd; /* -1: none */
	volatile sig_atomic_t expired;
};

/* `deadline_ns` is absolute on CLOCK_BOOTTIME. */
int send_guard_arm(struct send_guard *guard, int64_t deadline_ns,
		   struct error *err);
void send_guard_disarm(struct send_guard *guard);

/*
 * Names the socket to be shut down, before it is connected; -1: none. As
 * http_call.socket_changed: returns -1 if the deadline has passed.
 */
int send_guard_socket(void *guard, int fd);

#endif
