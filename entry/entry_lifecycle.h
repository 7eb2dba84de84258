#ifndef ENTRY_ENTRY_LIFECYCLE_H
#define ENTRY_ENTRY_LIFECYCLE_H

#include "entry/entry_daemon.h"

/*
 * Lifecycle of the daemon: readiness, its rank for the duties, reload of the
 * settings, eviction of old batches, and the graceful stop.
 */

/*
 * Blocks SIGHUP, which stays pending until entry_lifecycle_init() has set its
 * handler. Call it at program start, before other threads exist.
 */
void entry_lifecycle_block_reload(void);

/*
 * Reads the modification time of the settings file and sets the signal
 * handlers. Returns -1 with `err` set on failure.
 */
int entry_lifecycle_init(struct entry_daemon *daemon, struct error *err);
void entry_lifecycle_start(struct entry_daemon *daemon);
void entry_lifecycle_finish(struct entry_daemon *daemon);

/* Logs a record that is always written; `reason` may be NULL. */
void entry_log_lifecycle_event(struct entry_daemon *daemon, const char *event,
			       const char *reason);

#endif
