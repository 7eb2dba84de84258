#ifndef ENTRY_STATUS_PAGE_H
#define ENTRY_STATUS_PAGE_H

#include <jansson.h>

#include "batch/batch_runner.h"
#include "discovery/discovery.h"
#include "duty/duty_lease.h"
#include "entry/entry_settings.h"
#include "entry/named_versions.h"

/*
 * The daemon's current view of the system, as JSON for operators; docs/api.md
 * has the formats. No page contains a key, a prompt or a result.
 */
#define STATUS_PATH "/status"
/* Max rows in one answer: about 200 bytes each, 200 KB in total. */
#define STATUS_ROWS_MAX 1000

/* A topic of the store that the daemon follows, and its displayed name. */
struct status_topic {
	const char *name;
	const struct keyed_follower *follower;
};

#define STATUS_TOPICS_MAX 8

/* Data sources of the pages; all are owned by the daemon. */
struct status_sources {
	const struct entry_settings *settings;
	uint64_t incarnation;
	struct clock *clock;
	const struct config_holder *config;
	const struct discovery *discovery;
	const struct fleet *fleet;
	struct batch_set *batches;
	const struct batch_runner *runner;
	const struct duty_lease *lease;
	const struct named_versions *named;
	struct status_topic topics[STATUS_TOPICS_MAX];
	uint32_t topic_count;
};

/* Whether a request's target is under STATUS_PATH; the page may not exist. */
int is_status_target(const char *target);

/*
 * Returns the page of a target as a new reference; NULL if there is no such
 * page or batch, or if the query is malformed.
 */
json_t *status_page_make(const struct status_sources *sources,
			 const char *target);

#endif
