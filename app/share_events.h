#ifndef APP_SHARE_EVENTS_H
#define APP_SHARE_EVENTS_H

#include "app/team_shares.h"

/* Feeds the split of team limits with what the daemon knows. */
struct daemon;

struct share_events {
	struct daemon *daemon;
	struct team_shares shares;
};

void share_events_init(struct share_events *events, struct daemon *daemon);
void share_events_finish(struct share_events *events);

/* Takes the steps that are due; called several times a second. */
void share_events_tick(struct share_events *events, int64_t now_ns);

#endif
