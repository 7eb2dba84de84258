#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "base/clock.h"
#include "base/rng.h"
#include "fleet/cold_limits.h"
#include "fleet/evacuations.h"
#include "fleet/server_answer.h"
#include "fleet/server_entry.h"
#include "policy/circuit.h"
#include "policy/load_estimate.h"

/*
 * Table of the backend servers available to this daemon: their entries in the
 * platform's store, updated by the answers that servers send. Removal of an
 * entry that disappears during or just after an outage of the store is
 * deferred, since a running server writes its entry again.
 */

/* Load reported by a server's answers. */
struct fleet_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	int64_t received_ns; /* time of the last report; 0: none */
	struct load_estimate estimate; /* from reports with a slowdown */
};

struct fleet_server {
	struct server_entry entry;
	uint64_t offset; /* of the entry in the store */
	int listed; /* present in the listing in progress */
	int64_t remove_at_ns; /* deferred removal; 0: none pending */
	int removed; /* removed from the table; freed with its last reference */
	int saw_leaving; /* an answer showed it before the entry did */
	int evacuated; /* its data centre is */
	uint32_t running; /* requests of this daemon in flight */
	struct fleet_load load;
	struct circuit circuit;
	struct server_cold cold;
	uint32_t references;
	void *batch_engine; /* state of the batch scheduler; may be NULL */
	void *weight_engine; /* state of the weight updater; may be NULL */
	uint64_t text_hash; /* of the encoded entry; 0: unknown */
	struct fleet_server *next; /* in order of insertion */
	struct fleet_server *prev;
	struct fleet_server *next_in_bucket;
};

struct fleet;

/* Callbacks for changes of the table. */
struct fleet_listener {
	/* A server was added, or its entry was updated; may be NULL. */
	void (*changed)(struct fleet_listener *listener,
			struct fleet_server *server);
	/* It was removed from the table; the listener drops its references. */
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
	int64_t defer_removals_until_ns; /* removals are deferred until then */
	struct fleet_listener *listeners;
	const struct evacuations *evacuations; /* NULL: none */
	const struct cold_limits *cold_limits; /* NULL: none */
};

void fleet_init(struct fleet *fleet);
void fleet_finish(struct fleet *fleet);
void fleet_add_listener(struct fleet *fleet, struct fleet_listener *listener);
void fleet_remove_listener(struct fleet *fleet,
			   struct fleet_listener *listener);

/*
 * Inserts or replaces an entry and takes ownership of its memory. Ignored if
 * the offset is older than that of the present entry.
 */
void fleet_put(struct fleet *fleet, struct server_entry *entry,
	       uint64_t offset);

/*
 * Refreshes an entry whose encoded text is unchanged, by its hash; returns 0 if
 * it differs. Avoids decoding: a running server writes the same text once a
 * second.
 */
int fleet_renew(struct fleet *fleet, const char *id, uint64_t text_hash,
		uint64_t offset);

/* Removes an entry that was deleted or that describes no usable server. */
void fleet_drop(struct fleet *fleet, const char *id, uint64_t offset,
		int64_t now_ns);

/*
 * Bracket a full listing of the store. The end removes servers that were not
 * listed and whose entry is older than `offset`.
 */
void fleet_begin_listing(struct fleet *fleet);
void fleet_end_listing(struct fleet *fleet, uint64_t offset, int64_t now_ns);

/* Defers removals until `until_ns`, after an outage of the store. */
void fleet_defer_removals(struct fleet *fleet, int64_t until_ns);

/* Carries out the deferred removals that are due. */
void fleet_remove_due(struct fleet *fleet, int64_t now_ns);

/* NULL if there is none. */
struct fleet_server *fleet_find(struct fleet *fleet, const char *id);

struct fleet_server *fleet_server_ref(struct fleet_server *server);
void fleet_server_unref(struct fleet_server *server);

/*
 * Counts a single request or reward call that is sent to the server, until
 * fleet_server_end(), also in its load estimate and against the limit of cold
 * servers. Items count in the latter alone, see fleet_server_note_sent().
 */
void fleet_server_begin(struct fleet_server *server, int64_t now_ns);
void fleet_server_end(struct fleet_server *server);

/* Updates the server's load and leaving state from one of its answers. */
void fleet_server_apply_answer(struct fleet_server *server,
			       const struct server_answer *answer,
			       int64_t now_ns);

/*
 * Marks the servers of a data centre as evacuated or not; returns how many.
 * They may come back cold.
 */
uint32_t fleet_set_evacuated(struct fleet *fleet, const char *data_centre,
			     int evacuated, int64_t now_ns);

/* Whether the server accepts requests, as far as is known. */
int fleet_server_is_open(const struct fleet_server *server);

/*
 * Whether the server is open and responds. Unlike usable, it ignores how much
 * was sent to a cold server.
 */
int fleet_server_is_available(const struct fleet_server *server,
			      int64_t now_ns);

/* Whether new requests may be sent to the server now. */
int fleet_server_usable(const struct fleet_server *server, int64_t now_ns);

/*
 * The same. `last_resort` is set if no server of the service is usable; circuit
 * breakers that have been open for a while then admit a request.
 */
int fleet_server_usable_as(const struct fleet_server *server, int64_t now_ns,
			   int last_resort);

#endif
