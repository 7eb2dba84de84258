#ifndef MEMBERSHIP_HEARTBEAT_H
#define MEMBERSHIP_HEARTBEAT_H

#include <stdint.h>

#include "base/timer.h"
#include "membership/membership.h"
#include "peer/peer_outbox.h"

/*
 * Sends this daemon's heartbeats and keeps the peer service's list of members
 * up to date. Fields that rarely change, and summaries of data centres, are
 * included only in some of the heartbeats.
 */
struct heartbeat_source;

struct heartbeat_source_vtable {
	/*
	 * Fills in the daemon's own status: data_centre, leaving, log_head,
	 * log_reachable, load and addresses. Strings must stay valid until
	 * the next call.
	 */
	void (*fill)(struct heartbeat_source *source,
		     Currant__Heartbeat *heartbeat);
};

struct heartbeat_source {
	const struct heartbeat_source_vtable *vt;
};

struct heartbeat_sender {
	struct membership *membership;
	struct peer_outbox *outbox;
	struct heartbeat_source *source;
	struct timer_service *timers;
	struct timer timer;
	pthread_mutex_t lock; /* serializes heartbeat_sender_tick */
	uint64_t beats;
	struct peer_member *members; /* last list passed to the outbox */
	uint32_t member_count;
};

void heartbeat_sender_init(struct heartbeat_sender *sender,
			   struct membership *membership,
			   struct peer_outbox *outbox,
			   struct heartbeat_source *source);
void heartbeat_sender_finish(struct heartbeat_sender *sender);

/* Sends heartbeats each period; the first ones after one period. */
void heartbeat_sender_start(struct heartbeat_sender *sender,
			    struct timer_service *timers, int64_t period_ns);
void heartbeat_sender_stop(struct heartbeat_sender *sender);

/* Updates member states, sets the members and sends the heartbeats due. */
void heartbeat_sender_tick(struct heartbeat_sender *sender, int64_t now_ns);

#endif
