#ifndef APP_STATE_EVENTS_H
#define APP_STATE_EVENTS_H

#include "state/log_client.h"

/* What a daemon does when records of the log were applied and published. */
struct daemon;

struct state_events {
	struct state_observer base;
	struct publish_listener published;
	struct daemon *daemon;
	int keys_withdrawn; /* since the configuration was published */
};

void state_events_init(struct state_events *events, struct daemon *daemon);

#endif
