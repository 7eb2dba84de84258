#ifndef APP_TRACE_H
#define APP_TRACE_H

#include "app/daemon.h"

/*
 * Records in the log which weights made the samples of a job that is done,
 * whose samples no longer change.
 */
void trace_delivered(struct daemon *daemon, struct job *job, uint64_t latest);

#endif
