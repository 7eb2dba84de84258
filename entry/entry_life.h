#ifndef ENTRY_ENTRY_LIFE_H
#define ENTRY_ENTRY_LIFE_H

#include "entry/entry_daemon.h"

/*
 * What a daemon does about itself: whether it is ready, its rank for the
 * duties, reading its settings again, forgetting what is old, and its stop.
 */

/*
 * Keeps a SIGHUP pending until entry_life_init() has set its handler; for the
 * start of a program, before it has other threads.
 */
void entry_life_hold_reload(void);

/* Reads the file's time and takes the signals over. */
int entry_life_init(struct entry_daemon *daemon, struct error *err);
void entry_life_start(struct entry_daemon *daemon);
void entry_life_finish(struct entry_daemon *daemon);

/* A line that is always written. */
void entry_report_life(struct entry_daemon *daemon, const char *event,
		       const char *reason);

#endif
