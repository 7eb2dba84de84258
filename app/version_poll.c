#include "app/version_poll.h"

#include <string.h>

#include "app/daemon.h"
#include "base/alloc.h"

struct pool_names {
	char names[POOLS_MAX][NAME_BYTES];
	uint32_t count;
};

static void collect(void *arg, const struct server_pool *pool,
		    const struct server *server, const struct server_view *view)
{
	struct pool_names *pools = arg;

	(void)view;
	if (server->role != HOST_ENGINE)
		return;
	for (uint32_t i = 0; i < pools->count; i++)
		if (!strcmp(pools->names[i], pool->name))
			return;
	copy_text(pools->names[pools->count++], NAME_BYTES, pool->name);
}

static void record(struct daemon *daemon, const char *pool, uint64_t version)
{
	Currant__Record record = CURRANT__RECORD__INIT;
	Currant__WeightPublished body = CURRANT__WEIGHT_PUBLISHED__INIT;
	struct error err = ERROR_INIT;

	body.pool = (char *)pool;
	body.version = version;
	record.body_case = CURRANT__RECORD__BODY_WEIGHT_PUBLISHED;
	record.weight_published = &body;
	if (log_client_submit(&daemon->log_client, &record, LOG_SUBMIT_URGENT,
			      &err))
		log_warning(&daemon->log_app, "version %llu of '%s': %s",
			    (unsigned long long)version, pool, err.text);
}

/*
 * The version counts here at once: what it makes stale is too old whether
 * or not the log can be reached.
 */
static void poll_pool(struct version_poll *poll, const char *pool)
{
	struct daemon *daemon = poll->daemon;
	struct error err = ERROR_INIT;
	uint64_t version = 0;

	if (poll->port.base.vt->latest(&poll->port.base, pool, &version, &err))
		return;
	if (!version || !version_table_raise(&daemon->versions, pool, version))
		return;
	timeline_add(&daemon->timeline, "weights", "%s version %llu published",
		     pool, (unsigned long long)version);
	record(daemon, pool, version);
}

static void poll_once(void *arg)
{
	struct version_poll *poll = arg;
	struct daemon *daemon = poll->daemon;
	struct pool_names pools = { .count = 0 };

	server_table_each(&daemon->servers, collect, &pools);
	for (uint32_t i = 0; i < pools.count; i++)
		if (peer_events_owns(&daemon->peer_events, pools.names[i]))
			poll_pool(poll, pools.names[i]);
}

int version_poll_start(struct version_poll *poll, struct daemon *daemon,
		       struct error *err)
{
	memset(poll, 0, sizeof(*poll));
	poll->daemon = daemon;
	if (!daemon->settings.weights_url[0])
		return 0;
	if (weight_http_init(&poll->port, daemon->settings.weights_url, err))
		return -1;
	return poll_thread_start(&poll->poll, VERSION_POLL_MS, poll_once, poll,
				 err);
}

void version_poll_stop(struct version_poll *poll)
{
	if (!poll->poll.running)
		return;
	poll_thread_stop(&poll->poll);
	poll->port.base.vt->finish(&poll->port.base);
}
