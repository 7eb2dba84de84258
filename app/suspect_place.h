#ifndef APP_SUSPECT_PLACE_H
#define APP_SUSPECT_PLACE_H

#include "app/run_table.h"
#include "blame/blame.h"
#include "request/job.h"

/*
 * Where a request runs that may crash backend servers: on one of its own. A
 * server is kept free for it first, and it runs there once that is empty.
 */
struct daemon;

/*
 * Returns JOB_RULE_ALONE with the name of the server, or JOB_RULE_WAIT if the
 * request has to ask again: none is free yet, or it is not known whether the
 * server of its last run lives. The owner of `blame` and `runs` excludes
 * other threads.
 */
enum job_rule suspect_place_find(struct daemon *daemon, struct blame *blame,
				 const struct run_table *runs, const char *pool,
				 uint64_t fingerprint, char server[NAME_BYTES]);

#endif
