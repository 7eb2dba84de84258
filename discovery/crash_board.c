#include "discovery/crash_board.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "proto/topic.pb-c.h"
#include "store/topic_message.h"

static int is_reported(const struct crash_reporter *reporter, uint64_t request)
{
	const struct crash_board *board =
		container_of(reporter, const struct crash_board, reporter);

	for (const struct crash_report *r = board->others; r; r = r->next)
		for (uint32_t i = 0; i < r->list.count; i++)
			if (r->list.crashes[i].request == request)
				return 1;
	return 0;
}

void crash_board_init(struct crash_board *board)
{
	memset(board, 0, sizeof(*board));
	board->reporter.reports = is_reported;
	board->newest_ms = INT64_MIN;
}

static void remove_report(struct crash_report **at)
{
	struct crash_report *report = *at;

	*at = report->next;
	free(report);
}

void crash_board_finish(struct crash_board *board)
{
	while (board->others)
		remove_report(&board->others);
}

static struct crash_report **find(struct crash_board *board, const char *host)
{
	struct crash_report **at = &board->others;

	while (*at && strcmp((*at)->host, host))
		at = &(*at)->next;
	return at;
}

static void update_newest(struct crash_board *board,
			  const struct crash_list *list)
{
	int64_t newest_ms = crash_list_newest_ms(list);

	if (newest_ms > board->newest_ms)
		board->newest_ms = newest_ms;
}

/* Limits times to now: with a clock ahead, a crash would count for too long. */
static void read_list(const Currant__Topic__CrashReport *report, int64_t now_ms,
		      struct crash_list *list)
{
	for (size_t i = 0; i < report->n_crashes && i < CRASH_LIST_MAX; i++) {
		const Currant__Topic__Crash *from = report->crashes[i];
		const struct crash crash = {
			.request = from->request,
			.server = from->server,
			.at_ms = from->at_ms < now_ms ? from->at_ms : now_ms,
		};

		crash_list_add(list, &crash, NULL);
	}
}

static void set_other_report(struct crash_board *board, const char *host,
			     const struct crash_list *list, uint64_t offset)
{
	struct crash_report **at = find(board, host);

	if (*at && offset < (*at)->offset)
		return;
	if (!*at) {
		*at = xcalloc(1, sizeof(**at));
		copy_text((*at)->host, sizeof((*at)->host), host);
	}
	(*at)->list = *list;
	(*at)->offset = offset;
}

int crash_board_put(struct crash_board *board, const char *host, int is_own,
		    const void *value, size_t len, uint64_t offset,
		    int64_t now_ms)
{
	Currant__Topic__CrashReport *report;
	struct crash_list list;

	if (strlen(host) >= HOST_NAME_BYTES)
		return -1;
	report = currant__topic__crash_report__unpack(NULL, len, value);
	if (!report)
		return -1;
	crash_list_init(&list);
	read_list(report, now_ms, &list);
	currant__topic__crash_report__free_unpacked(report, NULL);
	if (!is_own)
		set_other_report(board, host, &list, offset);
	else if (!board->is_restored)
		for (uint32_t i = 0; i < list.count; i++)
			crash_list_add(&board->own, &list.crashes[i],
				       &board->reporter);
	update_newest(board, &list);
	return 0;
}

void crash_board_drop(struct crash_board *board, const char *host,
		      uint64_t offset)
{
	struct crash_report **at = find(board, host);

	if (*at && offset >= (*at)->offset)
		remove_report(at);
}

void crash_board_write(const struct crash_board *board, const char *key,
		       struct strbuf *out)
{
	Currant__Topic__CrashReport report = CURRANT__TOPIC__CRASH_REPORT__INIT;
	Currant__Topic__Crash crashes[CRASH_LIST_MAX];
	Currant__Topic__Crash *list[CRASH_LIST_MAX];

	for (uint32_t i = 0; i < board->own.count; i++) {
		const struct crash *from = &board->own.crashes[i];

		currant__topic__crash__init(&crashes[i]);
		crashes[i].request = from->request;
		crashes[i].server = from->server;
		crashes[i].at_ms = from->at_ms;
		list[i] = &crashes[i];
	}
	report.crashes = list;
	report.n_crashes = board->own.count;
	topic_add_keyed_message(out, key, &report.base);
}

int crash_board_add(struct crash_board *board, const struct crash *crash)
{
	if (!crash_list_add(&board->own, crash, &board->reporter))
		return 0;
	update_newest(board, &board->own);
	return 1;
}

int crash_board_sweep(struct crash_board *board, int64_t now_ms)
{
	uint32_t before = board->own.count;
	struct crash_report **at = &board->others;

	while (*at) {
		crash_list_prune(&(*at)->list, now_ms);
		if ((*at)->list.count)
			at = &(*at)->next;
		else
			remove_report(at);
	}
	crash_list_prune(&board->own, now_ms);
	return board->own.count < before;
}

int crash_board_is_idle(const struct crash_board *board, int64_t now_ms)
{
	return board->newest_ms == INT64_MIN ||
	       now_ms - board->newest_ms >= CRASH_RETENTION_MS;
}

void crash_board_tally(const struct crash_board *board, uint64_t request,
		       int64_t now_ms, struct crash_tally *tally)
{
	crash_tally_init(tally, request, now_ms);
	crash_tally_add(tally, &board->own);
	for (const struct crash_report *r = board->others; r; r = r->next)
		crash_tally_add(tally, &r->list);
}
