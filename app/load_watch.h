#ifndef APP_LOAD_WATCH_H
#define APP_LOAD_WATCH_H

#include <stdint.h>

#include "state/config.h"

/*
 * The engines that this daemon asks for their load. Each is watched by two
 * daemons of its data centre (of all, where it has none), which rendezvous
 * hashing names; the first of them tells the peers. The list is worked out
 * anew once a second, because that takes a look at all members and servers.
 * For one thread.
 */
#define LOAD_WATCHERS 2

struct daemon;

struct watched_server {
	char pool[NAME_BYTES];
	char name[NAME_BYTES];
	char address[NAME_BYTES];
	int shares; /* this daemon tells its peers */
};

struct load_watch {
	struct watched_server *servers;
	uint32_t count;
	uint32_t alloc;
	uint32_t next; /* whose turn it is */
	int64_t due_ns; /* of the next look */
};

void load_watch_init(struct load_watch *watch);
void load_watch_finish(struct load_watch *watch);

/* Works the list out anew if that is due. */
void load_watch_refresh(struct load_watch *watch, struct daemon *daemon,
			int64_t now_ns);

/* The server whose turn it is; NULL if none is watched. */
const struct watched_server *load_watch_next(struct load_watch *watch);

#endif
