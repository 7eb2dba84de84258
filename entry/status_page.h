#ifndef ENTRY_STATUS_PAGE_H
#define ENTRY_STATUS_PAGE_H

#include <jansson.h>

#include "batch/batch_runner.h"
#include "discovery/discovery.h"
#include "duty/duty_lease.h"
#include "entry/entry_settings.h"
#include "entry/named_versions.h"

/*
 * What a daemon believes right now, as JSON for operators: docs/api.md has the
 * shapes. Nothing here holds a key, a prompt or a result.
 */
#define STATUS_PATH "/status"
/* Of an answer's batches or items: some 200 bytes each, 200 KB. */
#define STATUS_ROWS_MAX 1000

/* A topic of the store that the daemon follows, by the name it is shown by. */
struct status_topic {
	const char *name;
	const struct keyed_follower *follower;
};

#define STATUS_TOPICS_MAX 8

/* Where the answers come from; all of it belongs to the daemon. */
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

/* Whether a request's path and query ask for a status page. */
int status_page_has(const char *target);

/* The answer to such a target; NULL if there is no such page or batch. */
json_t *status_page_make(const struct status_sources *sources,
			 const char *target);

#endif
