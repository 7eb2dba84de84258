#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "base/clock.h"
#include "base/rng.h"
#include "fleet/server_answer.h"
#include "fleet/server_entry.h"
#include "policy/circuit.h"

/*
 * The backend servers that this daemon knows: what the platform's store says
 * of them, corrected by what calls have seen. Entries that vanish while or
 * just after the store was away are kept for a while, since they come back if
 * their server lives.
 */
struct fleet_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	int64_t seen_ns; /* 0: never */
};

struct fleet_server {
	struct server_entry entry;
	uint64_t offset; /* of the entry in the store */
	int listed; /* told in the running listing */
	int64_t doomed_ns; /* its entry vanished: gone from then on; 0: not */
	int gone; /* out of the table; lives on for its references */
	int saw_leaving; /* an answer said so before the store did */
	uint32_t running; /* requests of this daemon */
	struct fleet_load load; /* by its answers */
	struct circuit circuit;
	uint32_t references;
	void *engine; /* of the scheduler of batches; may be NULL */
	void *duty_engine; /* of who orders weights; may be NULL */
	uint64_t text_hash; /* of the entry as it was written; 0: not known */
	struct fleet_server *next; /* in order of their coming */
	struct fleet_server *before;
	struct fleet_server *next_in_bucket;
};

struct fleet;

/* Who wants to hear of changes. */
struct fleet_listener {
	/* A server is new, or its entry has changed; may be NULL. */
	void (*changed)(struct fleet_listener *listener,
			struct fleet_server *server);
	/* It is out of the table; drop references to it. */
	void (*removed)(struct fleet_listener *listener,
			struct fleet_server *server);
	struct fleet_listener *next;
};

#define FLEET_BUCKETS 1024

struct fleet {
	struct fleet_server *first;
	struct fleet_server *last;
	struct fleet_server *buckets[FLEET_BUCKETS]; /* by id */
	uint32_t count;
	int64_t hold_until_ns; /* vanished entries are kept until then */
	struct fleet_listener *listeners;
};

void fleet_init(struct fleet *fleet);
void fleet_finish(struct fleet *fleet);
void fleet_add_listener(struct fleet *fleet, struct fleet_listener *listener);
void fleet_remove_listener(struct fleet *fleet,
			   struct fleet_listener *listener);

/* Takes over an entry, whose memory it takes; an older one is ignored. */
void fleet_put(struct fleet *fleet, struct server_entry *entry,
	       uint64_t offset);

/*
 * Takes over an entry that says the same as the one before, by a hash of its
 * text; returns 0 if it doesn't. Spares decoding: a server says the same once
 * a second as long as it lives.
 */
int fleet_renew(struct fleet *fleet, const char *id, uint64_t text_hash,
		uint64_t offset);

/* The entry was dropped, or names no server that can be used. */
void fleet_drop(struct fleet *fleet, const char *id, uint64_t offset,
		int64_t now_ns);

/* A listing of all entries begins, and ends as of `offset`. */
void fleet_begin_listing(struct fleet *fleet);
void fleet_end_listing(struct fleet *fleet, uint64_t offset, int64_t now_ns);

/* The store was away until now: vanished entries are kept until `until_ns`. */
void fleet_hold(struct fleet *fleet, int64_t until_ns);

/* Removes what is doomed by now. */
void fleet_tick(struct fleet *fleet, int64_t now_ns);

struct fleet_server *fleet_find(struct fleet *fleet, const char *id);

struct fleet_server *fleet_server_hold(struct fleet_server *server);
void fleet_server_release(struct fleet_server *server);

/* Learns from an answer of the server how full it is, and whether it leaves. */
void fleet_server_heard(struct fleet_server *server,
			const struct server_answer *answer, int64_t now_ns);

/* Whether new work may be sent to it now. */
int fleet_server_usable(const struct fleet_server *server, int64_t now_ns);

/* The same; as the last resort, where no server of its service is usable. */
int fleet_server_usable_as(const struct fleet_server *server, int64_t now_ns,
			   int last_resort);

#endif
