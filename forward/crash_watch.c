#include "forward/crash_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "base/hash.h"

/*
 * The entry of a server that crashes expires after three intervals of about
 * 1.2 s; hosts that follow the store see the removal soon after.
 */
#define SERVER_EXIT_DETECTION_NS (10 * NS_PER_S)

static int is_recent_at_server(const struct crash_unanswered *lost,
			       const char *server, int64_t now_ns)
{
	return lost->ended_ns &&
	       now_ns - lost->ended_ns < SERVER_EXIT_DETECTION_NS &&
	       !strcmp(lost->server, server);
}

/* The server's entry was removed, or belongs to a new process. */
static void on_server_removed(struct fleet_listener *listener,
			      struct fleet_server *server)
{
	struct crash_watch *watch =
		container_of(listener, struct crash_watch, listener);
	int64_t now_ns = clock_now_ns(watch->clock);

	if (server->entry.leaving || server->saw_leaving)
		return;
	for (uint32_t i = 0; i < CRASH_UNANSWERED_MAX; i++) {
		struct crash_unanswered *lost = &watch->unanswered[i];

		if (!is_recent_at_server(lost, server->entry.id, now_ns))
			continue;
		lost->ended_ns = 0;
		crash_watch_note_crash(watch, lost->request, lost->id,
				       lost->server);
	}
}

void crash_watch_init(struct crash_watch *watch, struct discovery *discovery,
		      struct fleet *fleet, struct clock *clock,
		      struct record_log *log, struct counter_set *counters)
{
	memset(watch, 0, sizeof(*watch));
	watch->discovery = discovery;
	watch->fleet = fleet;
	watch->listener.removed = on_server_removed;
	fleet_add_listener(fleet, &watch->listener);
	watch->clock = clock;
	watch->log = log;
	watch->crashes = counter_get(counters, "request_crashes_total");
	watch->refused = counter_get(counters, "request_crash_refusals_total");
}

void crash_watch_finish(struct crash_watch *watch)
{
	fleet_remove_listener(watch->fleet, &watch->listener);
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

static uint32_t own_crash_count(const struct crash_watch *watch,
				uint64_t request)
{
	return crash_list_count(&board_of(watch)->own, request, now_ms(watch));
}

static void log_event(const struct crash_watch *watch, const char *event,
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
			       uint64_t request, const char *id,
			       int *is_suspect)
{
	struct crash_tally tally;
	int64_t refused_ms;

	crash_board_tally(board_of(watch), request, now_ms(watch), &tally);
	refused_ms = crash_tally_refused_ms(&tally);
	*is_suspect = crash_tally_count(&tally) >= CRASHES_TO_REJECT;
	if (!refused_ms)
		return 0;
	counter_add(watch->refused, 1);
	log_event(watch, "refused", request, id, NULL,
		  crash_tally_count(&tally), NULL);
	return refused_ms * NS_PER_MS;
}

void crash_watch_note_sent(struct crash_watch *watch, uint64_t request,
			   const char *id, const char *server)
{
	const struct crash probe = {
		.request = request,
		.server = CRASH_PROBED,
		.at_ms = now_ms(watch),
	};
	struct crash_tally tally;

	crash_board_tally(board_of(watch), request, probe.at_ms, &tally);
	if (crash_tally_count(&tally) < CRASHES_TO_REJECT)
		return;
	crash_board_add(board_of(watch), &probe);
	log_event(watch, "let_through", request, id, server,
		  crash_tally_count(&tally), NULL);
	discovery_publish_crashes(watch->discovery);
}

void crash_watch_note_not_run(struct crash_watch *watch, uint64_t request)
{
	if (crash_list_end_probe(&board_of(watch)->own, request))
		discovery_publish_crashes(watch->discovery);
}

void crash_watch_note_crash(struct crash_watch *watch, uint64_t request,
			    const char *id, const char *server)
{
	const struct crash crash = {
		.request = request,
		.server = hash_text(server, 0),
		.at_ms = now_ms(watch),
	};

	if (!crash_board_add(board_of(watch), &crash)) {
		crash_watch_log_uncounted(watch, request, id, server,
					  "same_server");
		return;
	}
	counter_add(watch->crashes, 1);
	log_event(watch, "suspected", request, id, server,
		  own_crash_count(watch, request), NULL);
	discovery_publish_crashes(watch->discovery);
}

void crash_watch_note_unanswered(struct crash_watch *watch, uint64_t request,
				 const char *id, const char *server)
{
	struct crash_unanswered *lost =
		&watch->unanswered[watch->next_unanswered++ %
				   CRASH_UNANSWERED_MAX];

	lost->request = request;
	lost->ended_ns = clock_now_ns(watch->clock);
	copy_text(lost->id, sizeof(lost->id), id ? id : "");
	copy_text(lost->server, sizeof(lost->server), server);
}

void crash_watch_log_uncounted(struct crash_watch *watch, uint64_t request,
			       const char *id, const char *server,
			       const char *reason)
{
	log_event(watch, "not_counted", request, id, server,
		  own_crash_count(watch, request), reason);
}

/* Publishes the answer only if some host lists crashes of the request. */
void crash_watch_note_answer(struct crash_watch *watch, uint64_t request,
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
	crash_board_add(board, &answered);
	log_event(watch, "cleared", request, id, server,
		  crash_tally_count(&tally), "answer");
	discovery_publish_crashes(watch->discovery);
}
