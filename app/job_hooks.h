#ifndef APP_JOB_HOOKS_H
#define APP_JOB_HOOKS_H

#include "app/daemon.h"

/*
 * What completions and calls to plain services need of the daemon: weight
 * versions, crash blame and usage, connected to struct job_env.
 */
void job_hooks_init(struct daemon *daemon);

#endif
