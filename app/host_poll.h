#ifndef APP_HOST_POLL_H
#define APP_HOST_POLL_H

#include "base/counter.h"
#include "base/poll_thread.h"
#include "client/host_http.h"

/* Reads the platform's host list again and again on a thread of its own. */
#define HOST_POLL_MS 500

/* Between attempts to drop servers that are off the list but still run. */
#define HOST_SWEEP_POLLS 10

struct daemon;

struct host_poll {
	struct daemon *daemon;
	struct host_http port;
	struct poll_thread poll;
	int has_list; /* a list was read since the start */
	uint64_t generation;
	uint64_t counted_bytes; /* of the port's traffic */
	struct counter *bytes;
	struct counter *failures;
	struct counter *skipped;
	uint32_t skipped_before;
	uint32_t polls_until_sweep; /* 0: no server waits to be dropped */
};

int host_poll_start(struct host_poll *poll, struct daemon *daemon,
		    struct error *err);
void host_poll_stop(struct host_poll *poll);

/* Whether a list was read since the start. */
int host_poll_has_list(struct host_poll *poll);

#endif
