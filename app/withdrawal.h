#ifndef APP_WITHDRAWAL_H
#define APP_WITHDRAWAL_H

#include <stdint.h>

#include "peer/denial.h"
#include "proto/record.pb-c.h"

/*
 * A withdrawal takes effect before the log has it: the daemon that is told
 * denies the key at once and tells its peers, and each cuts the requests
 * that came with it. The command travels along, so that any daemon that
 * reaches the log can append it; the log makes it final.
 */
struct daemon;

struct withdrawals {
	struct denial_listener base;
	struct daemon *daemon;
	int64_t due_ns; /* of the next look for commands to append */
};

void withdrawals_init(struct withdrawals *withdrawals, struct daemon *daemon);

/* Denies the key of a withdrawal that an operator gave to this daemon. */
int withdrawals_deny(struct withdrawals *withdrawals,
		     const Currant__Command *command, struct error *err);

/*
 * Appends commands of denials that the log does not hold yet, and forgets the
 * denials of keys that it has as withdrawn.
 */
void withdrawals_tick(struct withdrawals *withdrawals, int64_t now_ns);

#endif
