#ifndef PEER_MESSAGE_KIND_H
#define PEER_MESSAGE_KIND_H

#include "proto/peer.pb-c.h"

/* What the service does with each kind of message between daemons. */
enum message_kind {
	MESSAGE_OTHER = 0, /* of a newer daemon */
	MESSAGE_HEARTBEAT,
	MESSAGE_KEY_DENIAL,
	MESSAGE_QUARANTINE_HINT,
	MESSAGE_LOAD_DIGEST,
	MESSAGE_DEMAND_SUMMARY,
	MESSAGE_ENTRIES_REQUEST,
	MESSAGE_ENTRIES,
	MESSAGE_ACKNOWLEDGEMENT,
	MESSAGE_KINDS
};

enum message_kind message_kind_of(const Currant__PeerMessage *message);

/* Label of the counters, such as "heartbeat". */
const char *message_kind_name(enum message_kind kind);

/* Whether a newer message of the kind makes up for a lost one. */
int message_kind_is_soft(enum message_kind kind);

/* Whether the kind is sent again until it is acknowledged. */
int message_kind_is_reliable(enum message_kind kind);

#endif
