#ifndef PEER_DENIAL_H
#define PEER_DENIAL_H

#include <stdint.h>

#include "base/error.h"
#include "peer/denial_set.h"
#include "peer/peer_outbox.h"

/*
 * Spreads denials of keys between daemons. A new one is applied at once and
 * sent on to every connected member, each of which does the same, so that
 * it reaches all along any path that is whole. Heartbeats carry a digest of
 * the denials held; a peer with another digest is sent them again, which
 * serves a daemon that came back.
 */
#define DENIAL_SYNC_SLOTS 64

struct denial_listener;

struct denial_listener_vtable {
	/* The key was denied just now: cut its callers and requests. */
	void (*on_denied)(struct denial_listener *listener, const char *key_id);
};

struct denial_listener {
	const struct denial_listener_vtable *vt;
};

struct denial_spread {
	struct denial_set set;
	struct peer_outbox *outbox;
	struct denial_listener *listener; /* may be NULL */
	pthread_mutex_t lock; /* guards the rest */
	int64_t synced_ns[DENIAL_SYNC_SLOTS]; /* by hash of the peer's name */
	uint32_t sync_from;
};

void denial_spread_init(struct denial_spread *spread,
			struct peer_outbox *outbox,
			struct denial_listener *listener);
void denial_spread_finish(struct denial_spread *spread);

/*
 * Denies a key on behalf of a withdrawal that an operator gave to this
 * daemon. ERROR_FULL if too many wait for the log: then nothing is denied.
 */
int denial_spread_deny(struct denial_spread *spread, const char *key_id,
		       const char *command_id, const uint8_t *command,
		       size_t command_len, int64_t now_ns, struct error *err);

/* Takes a denial of a peer over. */
void denial_spread_on_message(struct denial_spread *spread,
			      const Currant__KeyDenial *denial, int64_t now_ns);

/* Compares digests with a peer whose heartbeat came. */
void denial_spread_on_heartbeat(struct denial_spread *spread, const char *from,
				const Currant__Heartbeat *heartbeat,
				int64_t now_ns);

#endif
