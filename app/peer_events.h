#ifndef APP_PEER_EVENTS_H
#define APP_PEER_EVENTS_H

#include <pthread.h>
#include <stdint.h>

#include "membership/heartbeat.h"
#include "peer/peer_service.h"
#include "port/host_port.h"

/*
 * What a daemon does with messages of its peers, and what it tells them:
 * heartbeats, denials of keys, entries of the log for those who cannot read
 * it.
 */
#define FEED_MAX_ENTRIES 64

struct daemon;

/* Fills the heartbeats of a daemon. */
struct own_heartbeat {
	struct heartbeat_source base;
	struct daemon *daemon;
	char caller_address[NAME_BYTES];
	char latency_address[NAME_BYTES];
	char operator_address[NAME_BYTES];
};

struct peer_events {
	struct peer_handler base;
	struct daemon *daemon;
	struct own_heartbeat own;
	struct heartbeat_sender sender;
};

void peer_events_init(struct peer_events *events, struct daemon *daemon);
void peer_events_start(struct peer_events *events);
void peer_events_stop(struct peer_events *events);

/* Counts the members that rank above this daemon for a piece of work. */
uint32_t peer_events_rank(struct peer_events *events, const char *work);

/* Whether this daemon is the one that does a piece of shared work. */
int peer_events_owns(struct peer_events *events, const char *work);

/* Judges isolation and fetches entries from peers while the log is cut off. */
void peer_events_tick(struct peer_events *events, int64_t now_ns);

#endif
