#ifndef APP_LOAD_POLL_H
#define APP_LOAD_POLL_H

#include <stdint.h>

#include "app/load_share.h"
#include "app/load_watch.h"
#include "base/timer.h"
#include "proto/peer.pb-c.h"

/*
 * Asks the watched engines for their load reports in turn, so many a second
 * at most: few engines are asked ten times a second, many less often. What
 * the daemon has in flight itself it counts without asking.
 */
#define LOAD_POLL_MS 100
#define LOAD_POLLS_PER_S 12
#define LOAD_TIMEOUT_MS 1000

struct daemon;

struct load_poll {
	struct daemon *daemon;
	struct timer timer;
	struct load_watch watch; /* of the timer's thread */
	struct load_share share;
	double askable; /* servers that may be asked now */
	uint32_t in_flight;
};

void load_poll_init(struct load_poll *poll, struct peer_outbox *outbox);

/* After the backend loops have ended. */
void load_poll_finish(struct load_poll *poll);

void load_poll_start(struct load_poll *poll, struct daemon *daemon);

/* Ends asking; answers may still come until the backend loops stop. */
void load_poll_stop(struct load_poll *poll);

/* Asks one server at once, because a call to it was lost. */
void load_poll_ask_now(struct load_poll *poll, const char *pool,
		       const char *name, const char *address);

/* Takes over what a peer saw. */
void load_poll_on_digest(struct load_poll *poll,
			 const Currant__LoadDigest *digest);

#endif
