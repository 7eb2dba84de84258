#ifndef BLAME_BLAME_H
#define BLAME_BLAME_H

#include <stdint.h>

#include "blame/loss_window.h"
#include "proto/peer.pb-c.h"

/*
 * Detects requests that crash the backend servers that run them. Does no I/O:
 * time is passed in, the owner serialises access, and memory is bounded.
 *
 * Requests that were running on a server when it was lost become suspect. A
 * suspect runs alone next, so that it must be the cause of a second loss; then
 * all daemons reject it (quarantine). An attempt that succeeds clears it. The
 * loss of a whole data centre (an eviction) does not count. It is recognised
 * only after MASS_LOSS_WINDOW_NS; until then a second loss only holds the
 * request back.
 */
#define BLAME_MAX_ENTRIES 4096
#define BLAME_QUARANTINE_NS (3600 * NS_PER_S)
#define BLAME_SUSPECT_TTL_NS (600 * NS_PER_S)

enum blame_verdict {
	BLAME_CLEAN = 0,
	BLAME_SUSPECT, /* run it alone, see blame_place() */
	BLAME_HELD, /* neither run nor reject it yet */
	BLAME_QUARANTINED, /* reject it */
};

/* A server that was lost while the request was running there. */
struct blame_crash {
	char server[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint32_t servers_there; /* of its class in that data centre */
	int64_t at_ns;
	int is_confirmed; /* a mass loss is ruled out */
};

/* Crashes after which a request is quarantined. */
#define BLAME_QUARANTINE_CRASHES 2

struct blame_entry {
	uint64_t fingerprint;
	struct blame_crash crashes[BLAME_QUARANTINE_CRASHES];
	uint32_t crash_count;
	int is_own; /* this daemon saw a crash itself, not only peers did */
	uint32_t mass_loss_count; /* losses that were part of a mass loss */
	int64_t updated_ns;
	int64_t quarantined_until_ns; /* 0: not quarantined */
};

struct blame_listener;

struct blame_listener_vtable {
	/* Send the hint to all peers at once; it is valid during the call. */
	void (*on_hint)(struct blame_listener *listener,
			Currant__QuarantineHint *hint);
	/* Write the quarantine to the log, so that it outlives this daemon. */
	void (*on_quarantine)(struct blame_listener *listener,
			      uint64_t fingerprint, int64_t for_ns);
};

struct blame_listener {
	const struct blame_listener_vtable *vt;
};

struct blame {
	struct blame_listener *listener; /* may be NULL */
	struct loss_window losses;
	struct blame_entry *entries;
	uint32_t count;
};

/* A lost server, and the requests that this daemon had running there. */
struct blame_loss {
	const char *server;
	const char *data_centre;
	uint32_t servers_there; /* of its class there, including this one */
	const uint64_t *running; /* fingerprints */
	uint32_t running_count;
};

void blame_init(struct blame *blame, struct blame_listener *listener);
void blame_finish(struct blame *blame);

/* Records the loss of a server; to be called also if nothing ran there. */
void blame_on_loss(struct blame *blame, const struct blame_loss *loss,
		   int64_t now_ns);

/* An attempt of the request succeeded: clears it unless quarantined. */
void blame_on_success(struct blame *blame, uint64_t fingerprint,
		      int64_t now_ns);

/*
 * Applies a hint of a peer. Returns whether it changed anything; such a hint
 * is to be forwarded. A second loss that only peers saw leads to quarantine
 * here too, as the daemon that saw it may have died, but without a hint or an
 * entry in the log.
 */
int blame_on_hint(struct blame *blame, const Currant__QuarantineHint *hint,
		  int64_t now_ns);

enum blame_verdict blame_judge(struct blame *blame, uint64_t fingerprint,
			       int64_t now_ns);

/* Time since the request was quarantined; -1 if it is not. */
int64_t blame_verdict_age_ns(const struct blame *blame, uint64_t fingerprint,
			     int64_t now_ns);
int64_t blame_entry_verdict_age_ns(const struct blame_entry *entry,
				   int64_t now_ns);

/* Sends a hint of each entry to a listener, for a peer that has just started.
 */
void blame_send_all_hints(const struct blame *blame,
			  struct blame_listener *listener, int64_t now_ns);

/* Updates verdicts and drops expired entries; called about once a second. */
void blame_tick(struct blame *blame, int64_t now_ns);

/* A server on which a suspect might run. */
struct blame_place {
	const char *server;
	const char *data_centre;
	uint32_t running; /* requests there: reported or sent, the larger */
	int has_suspect; /* runs another suspect or is reserved for one */
};

enum blame_placement {
	BLAME_RUN = 0, /* run it there now */
	BLAME_DRAIN, /* send no new requests there until the server is empty */
	BLAME_WAIT, /* no server can be used yet; retry later */
};

/* Time within which the hints of a loss reach all daemons. */
#define BLAME_HINT_DELAY_NS (300 * NS_PER_MS)

/* After this time a suspect runs on its server even if that is not empty. */
#define BLAME_DRAIN_TIMEOUT_NS (5 * NS_PER_S)

/*
 * Chooses a server for a suspect, apart from all other suspects, also those of
 * other daemons. All suspects are assigned in order of fingerprint, each to the
 * free server with the highest rendezvous weight, so that daemons with the same
 * set of suspects compute the same assignment. Within MASS_LOSS_WINDOW_NS of
 * its loss, a suspect is not placed in the data centre of that loss, as more
 * servers may be lost there. `chosen` is an index into `places`; it is set
 * unless the result is BLAME_WAIT.
 */
enum blame_placement blame_place(struct blame *blame, uint64_t fingerprint,
				 const struct blame_place *places,
				 uint32_t count, int64_t now_ns,
				 uint32_t *chosen);

#endif
