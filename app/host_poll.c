#include "app/host_poll.h"

#include <string.h>

#include "app/daemon.h"

/* Says when hosts are left out, or nobody knows why one gets no work. */
static void note_skipped(struct host_poll *poll, const struct host_list *list)
{
	gauge_set(poll->skipped, list->skipped);
	if (list->skipped > poll->skipped_before)
		log_warning(&poll->daemon->log_app,
			    "%u entries of the host list are left out: a field "
			    "is missing or wrong",
			    list->skipped);
	poll->skipped_before = list->skipped;
}

static void note_list(struct host_poll *poll, const struct host_list *list)
{
	note_skipped(poll, list);
	if (list->generation == poll->generation)
		return;
	poll->generation = list->generation;
	timeline_add(&poll->daemon->timeline, "hosts",
		     "host list %llu with %u hosts",
		     (unsigned long long)list->generation, list->host_count);
}

static void count_unlisted(void *arg, const struct server_pool *pool,
			   const struct server *server,
			   const struct server_view *view)
{
	uint32_t *count = arg;

	(void)pool;
	(void)view;
	if (!server->listed)
		(*count)++;
}

/* Servers off the list stay in the table while calls of ours run there. */
static void give_to_servers(struct host_poll *poll,
			    const struct host_list *list)
{
	struct server_table *servers = &poll->daemon->servers;
	uint32_t unlisted = 0;

	server_table_apply_host_list(servers, list);
	server_table_each(servers, count_unlisted, &unlisted);
	poll->polls_until_sweep = unlisted ? HOST_SWEEP_POLLS : 0;
}

/*
 * An older list, as a lagging copy of the platform's answers it, is passed
 * over as a whole: a leaving server would be given work again.
 */
static void take_list(struct host_poll *poll, const struct host_list *list)
{
	struct daemon *daemon = poll->daemon;

	if (membership_set_list(daemon->membership, list,
				clock_now_ns(&daemon->clock)) < 0)
		return;
	give_to_servers(poll, list);
	note_list(poll, list);
}

static void keep_list(struct host_poll *poll, const struct host_list *list)
{
	struct daemon *daemon = poll->daemon;

	if (membership_confirm_list(daemon->membership, list->generation,
				    clock_now_ns(&daemon->clock)) < 0) {
		take_list(poll, list);
		return;
	}
	if (poll->polls_until_sweep && !--poll->polls_until_sweep)
		give_to_servers(poll, list);
}

static void count_traffic(struct host_poll *poll)
{
	uint64_t now_bytes = poll->port.traffic_bytes;

	counter_add(poll->bytes, (int64_t)(now_bytes - poll->counted_bytes));
	poll->counted_bytes = now_bytes;
}

static void poll_once(void *arg)
{
	struct host_poll *poll = arg;
	struct daemon *daemon = poll->daemon;
	struct error err = ERROR_INIT;
	const struct host_list *list;
	int news = poll->port.base.vt->fetch(&poll->port.base, &list, &err);

	count_traffic(poll);
	if (news < 0) {
		counter_add(poll->failures, 1);
		log_debug(&daemon->log_app, "the host list is not there: %s",
			  err.text);
		return;
	}
	if (news == HOST_LIST_CHANGED)
		take_list(poll, list);
	else
		keep_list(poll, list);
	__atomic_store_n(&poll->has_list, 1, __ATOMIC_RELEASE);
}

int host_poll_start(struct host_poll *poll, struct daemon *daemon,
		    struct error *err)
{
	memset(poll, 0, sizeof(*poll));
	poll->daemon = daemon;
	poll->failures =
		counter_get(&daemon->counters, "host_list_failures_total");
	poll->skipped =
		gauge_get(&daemon->counters, "host_list_skipped_entries");
	poll->bytes = counter_get(&daemon->counters, "host_list_bytes_total");
	if (host_http_init(&poll->port, daemon->settings.hosts_url, err))
		return -1;
	return poll_thread_start(&poll->poll, HOST_POLL_MS, poll_once, poll,
				 err);
}

void host_poll_stop(struct host_poll *poll)
{
	if (!poll->poll.running)
		return;
	poll_thread_stop(&poll->poll);
	poll->port.base.vt->finish(&poll->port.base);
}

int host_poll_has_list(struct host_poll *poll)
{
	return __atomic_load_n(&poll->has_list, __ATOMIC_ACQUIRE);
}
