#ifndef MEMBERSHIP_ISOLATION_H
#define MEMBERSHIP_ISOLATION_H

#include <stdint.h>

#include "membership/membership.h"

/*
 * Decides whether this daemon may serve routes that need a key, without I/O.
 * Key withdrawals arrive through the log or from a peer, so a daemon that
 * received nothing from either within the bound may miss withdrawals. While
 * no daemon reads the log, a partitioned group receives heartbeats only from
 * its own members. A majority of all listed daemons must be reachable then,
 * so that at most one side of a partition continues to serve.
 */
enum isolation {
	ISOLATION_NONE = 0, /* the log is read */
	ISOLATION_FED, /* not read here, but by a reachable peer */
	ISOLATION_LOG_DOWN, /* no daemon reads it; most are reachable */
	ISOLATION_MINORITY, /* no daemon reads it; most are unreachable */
	ISOLATION_CUT_OFF, /* neither the log nor any peer is reachable */
};

struct isolation_input {
	int64_t log_read_ns; /* last answer to a log read, or -1 */
	int64_t peer_last_seen_ns; /* last heartbeat of any peer, or -1 */
	struct reach reach;
};

/* `bound_ns` must be longer than the max wait of a log read. */
enum isolation isolation_evaluate(const struct isolation_input *input,
				  int64_t bound_ns, int64_t now_ns);

/* Whether routes that need a key are served in this case. */
int isolation_serves_keyed(enum isolation isolation);

/* Stable lower-case name for logs and health, such as "cut_off". */
const char *isolation_name(enum isolation isolation);

#endif
