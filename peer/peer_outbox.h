#ifndef PEER_PEER_OUTBOX_H
#define PEER_PEER_OUTBOX_H

#include <stdint.h>

#include "base/error.h"
#include "proto/peer.pb-c.h"
#include "state/config.h"

/*
 * The sending side of the connections between daemons, as the parts see it
 * that have something to say. The peer service is one; tests have others.
 */
struct peer_outbox;

struct peer_member {
	char name[NAME_BYTES];
	char address[NAME_BYTES]; /* ip:port */
	int connect; /* keep a connection, and include in broadcasts */
};

struct peer_outbox_vtable {
	/* Sends to one listed member; fills the envelope in. */
	int (*send)(struct peer_outbox *outbox, const char *name,
		    Currant__PeerMessage *message, struct error *err);
	/* Sends to each member with `connect`; returns how many took it. */
	uint32_t (*broadcast)(struct peer_outbox *outbox,
			      Currant__PeerMessage *message);
	/* Replaces the list of members. */
	void (*set_members)(struct peer_outbox *outbox,
			    const struct peer_member *members, uint32_t count);
};

struct peer_outbox {
	const struct peer_outbox_vtable *vt;
};

#endif
