#ifndef APP_LOAD_SHARE_H
#define APP_LOAD_SHARE_H

#include <pthread.h>
#include <stdint.h>

#include "backend/server_table.h"
#include "peer/peer_outbox.h"

/*
 * Tells the peers what this daemon saw of engines: many loads a message, and
 * only what differs from what was last told. The bytes a second are bounded
 * over all peers together; another process or weight version goes out at
 * once, a changed load when the bound allows, and after these what stayed the
 * same, for peers that came later.
 */
#define LOAD_SHARE_BYTES_PER_S 2400
#define LOAD_SHARE_MAX 32 /* in one message */

enum load_news {
	NEWS_NONE = 0,
	NEWS_AGAIN, /* the same as told, some time ago */
	NEWS_LOAD,
	NEWS_URGENT, /* first seen, another process or version */
};

struct shared_load {
	char pool[NAME_BYTES];
	char name[NAME_BYTES];
	struct load_report seen;
	struct load_report told;
	enum load_news news;
	int64_t seen_ns;
	int64_t told_ns;
};

struct load_share {
	pthread_mutex_t lock;
	struct peer_outbox *outbox;
	struct shared_load *loads;
	uint32_t count;
	uint32_t alloc;
	uint32_t next; /* where the next message begins to look */
	double bytes; /* that may be sent now; negative: a debt */
	int64_t filled_ns;
};

void load_share_init(struct load_share *share, struct peer_outbox *outbox);
void load_share_finish(struct load_share *share);

/* Takes a report that an engine gave. */
void load_share_note(struct load_share *share, const char *pool,
		     const char *name, const struct load_report *report,
		     int64_t now_ns);

/* Sends at most one message. */
void load_share_tick(struct load_share *share, int64_t now_ns);

#endif
