#include "forward/crash_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "base/hash.h"

/*
 * A server that ends without a word loses its entry after three intervals of
 * some 1.2 s; a host that reads the store knows soon after.
 */
#define SERVER_END_KNOWN_NS (10 * NS_PER_S)

static int is_at_server(const struct crash_unanswered *run, const char *server,
			int64_t now_ns)
{
	return run->at_ns && now_ns - run->at_ns < SERVER_END_KNOWN_NS &&
	       !strcmp(run->server, server);
}

/* Its entry is gone, or tells of another start. */
static void on_server_removed(struct fleet_listener *listener,
			      struct fleet_server *server)
{
	struct crash_watch *watch =
		container_of(listener, struct crash_watch, servers);
	int64_t now_ns = clock_now_ns(watch->clock);

	if (server->entry.leaving || server->saw_leaving)
		return;
	for (uint32_t i = 0; i < CRASH_UNANSWERED_MAX; i++) {
		struct crash_unanswered *run = &watch->unanswered[i];

		if (!is_at_server(run, server->entry.id, now_ns))
			continue;
		run->at_ns = 0;
		crash_watch_cut(watch, run->request, run->id, run->server);
	}
}

void crash_watch_init(struct crash_watch *watch, struct discovery *discovery,
		      struct fleet *fleet, struct clock *clock,
		      struct record_log *log, struct counter_set *counters)
{
	memset(watch, 0, sizeof(*watch));
	watch->discovery = discovery;
	watch->fleet = fleet;
	watch->servers.removed = on_server_removed;
	fleet_add_listener(fleet, &watch->servers);
	watch->clock = clock;
	watch->log = log;
	watch->crashes = counter_get(counters, "request_crashes_total");
	watch->refused = counter_get(counters, "request_crash_refusals_total");
}

void crash_watch_finish(struct crash_watch *watch)
{
	fleet_remove_listener(watch->fleet, &watch->servers);
}

static int64_t now_ms(const struct crash_watch *watch)
{
	return clock_wall_ms(watch->clock);
}

static struct crash_board *board_of(const struct crash_watch *watch)
{
	return &watch->discovery->crashes;
}

int crash_watch_is_idle(const struct crash_watch *watch)
{
	return crash_board_is_idle(board_of(watch), now_ms(watch));
}

static uint32_t own_crashes(const struct crash_watch *watch, uint64_t request)
{
	return crash_list_count(&board_of(watch)->own, request, now_ms(watch));
}

static void report(const struct crash_watch *watch, const char *event,
		   uint64_t request, const char *id, const char *server,
		   uint32_t crashes, const char *reason)
{
	struct record record;
	char hash[24];

	snprintf(hash, sizeof(hash), "%016" PRIx64, request);
	record_begin(&record, watch->log, "crashes", event);
	record_text(&record, "id", id);
	record_text(&record, "request", hash);
	record_text(&record, "server", server);
	record_int(&record, "crashes", crashes);
	record_text(&record, "reason", reason);
	record_end(&record);
}

int64_t crash_watch_refuses_ns(const struct crash_watch *watch,
			       uint64_t request, const char *id)
{
	struct crash_tally tally;
	int64_t refused_ms;

	crash_board_tally(board_of(watch), request, now_ms(watch), &tally);
	refused_ms = crash_tally_refused_ms(&tally);
	if (!refused_ms)
		return 0;
	counter_add(watch->refused, 1);
	report(watch, "refused", request, id, NULL, crash_tally_count(&tally),
	       NULL);
	return refused_ms * NS_PER_MS;
}

void crash_watch_cut(struct crash_watch *watch, uint64_t request,
		     const char *id, const char *server)
{
	const struct crash crash = {
		.request = request,
		.server = hash_text(server, 0),
		.at_ms = now_ms(watch),
	};

	if (!crash_board_note(board_of(watch), &crash)) {
		crash_watch_not_counted(watch, request, id, server,
					"same_server");
		return;
	}
	counter_add(watch->crashes, 1);
	report(watch, "suspected", request, id, server,
	       own_crashes(watch, request), NULL);
	discovery_tell_crashes(watch->discovery);
}

void crash_watch_unanswered(struct crash_watch *watch, uint64_t request,
			    const char *id, const char *server)
{
	struct crash_unanswered *run =
		&watch->unanswered[watch->next_unanswered++ %
				   CRASH_UNANSWERED_MAX];

	run->request = request;
	run->at_ns = clock_now_ns(watch->clock);
	copy_text(run->id, sizeof(run->id), id);
	copy_text(run->server, sizeof(run->server), server);
}

void crash_watch_not_counted(struct crash_watch *watch, uint64_t request,
			     const char *id, const char *server,
			     const char *reason)
{
	report(watch, "not_counted", request, id, server,
	       own_crashes(watch, request), reason);
}

/* A host that names the request as a suspect learns that it was answered. */
void crash_watch_answered(struct crash_watch *watch, uint64_t request,
			  const char *id, const char *server)
{
	struct crash_board *board = board_of(watch);
	const struct crash answered = {
		.request = request,
		.server = CRASH_ANSWERED,
		.at_ms = now_ms(watch),
	};
	struct crash_tally tally;

	crash_board_tally(board, request, answered.at_ms, &tally);
	if (!crash_tally_count(&tally))
		return;
	crash_list_clear(&board->own, request);
	crash_board_note(board, &answered);
	report(watch, "cleared", request, id, server, crash_tally_count(&tally),
	       "answer");
	discovery_tell_crashes(watch->discovery);
}
