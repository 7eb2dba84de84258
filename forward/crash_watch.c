#include "forward/crash_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/hash.h"

void crash_watch_init(struct crash_watch *watch, struct discovery *discovery,
		      struct clock *clock, struct record_log *log,
		      struct counter_set *counters)
{
	memset(watch, 0, sizeof(*watch));
	crash_list_init(&watch->seen);
	watch->discovery = discovery;
	watch->clock = clock;
	watch->log = log;
	watch->crashes = counter_get(counters, "request_crashes_total");
	watch->refused = counter_get(counters, "request_crash_refusals_total");
}

static int is_own(const struct crash_watch *watch,
		  const struct entry_host *host)
{
	return !strcmp(host->name, watch->discovery->own.name);
}

int crash_watch_suspects_any(const struct crash_watch *watch)
{
	return !crash_list_is_empty(&watch->seen, clock_now_ns(watch->clock));
}

int crash_watch_is_idle(const struct crash_watch *watch)
{
	int64_t now_ns = clock_now_ns(watch->clock);

	if (crash_watch_suspects_any(watch))
		return 0;
	for (const struct entry_host *h = watch->discovery->hosts.first; h;
	     h = h->next)
		if (!is_own(watch, h) &&
		    !crash_list_is_empty(&h->crashes, now_ns))
			return 0;
	return 1;
}

static void add_up(const struct crash_list *list, uint64_t request,
		   int64_t now_ns, struct crash_suspect *sum)
{
	const struct crash_suspect *suspect =
		crash_list_find(list, request, now_ns);

	if (!suspect)
		return;
	sum->crashes += suspect->crashes;
	if (suspect->last_ns > sum->last_ns)
		sum->last_ns = suspect->last_ns;
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
	int64_t now_ns = clock_now_ns(watch->clock);
	struct crash_suspect sum = { .request = request };

	add_up(&watch->seen, request, now_ns, &sum);
	for (const struct entry_host *h = watch->discovery->hosts.first; h;
	     h = h->next)
		if (!is_own(watch, h))
			add_up(&h->crashes, request, now_ns, &sum);
	if (sum.crashes < CRASHES_MAX)
		return 0;
	counter_add(watch->refused, 1);
	report(watch, "refused", request, id, NULL, sum.crashes, NULL);
	return sum.last_ns + CRASH_MEMORY_NS - now_ns;
}

void crash_watch_cut(struct crash_watch *watch, uint64_t request,
		     const char *id, const char *server)
{
	int64_t now_ns = clock_now_ns(watch->clock);

	if (!crash_list_note(&watch->seen, request, hash_text(server, 0),
			     now_ns)) {
		crash_watch_not_counted(watch, request, id, server,
					"same_server");
		return;
	}
	counter_add(watch->crashes, 1);
	report(watch, "suspected", request, id, server,
	       crash_list_find(&watch->seen, request, now_ns)->crashes, NULL);
	discovery_set_crashes(watch->discovery, &watch->seen);
}

void crash_watch_not_counted(struct crash_watch *watch, uint64_t request,
			     const char *id, const char *server,
			     const char *reason)
{
	const struct crash_suspect *suspect = crash_list_find(
		&watch->seen, request, clock_now_ns(watch->clock));

	report(watch, "not_counted", request, id, server,
	       suspect ? suspect->crashes : 0, reason);
}

void crash_watch_answered(struct crash_watch *watch, uint64_t request,
			  const char *id, const char *server)
{
	const struct crash_suspect *suspect = crash_list_find(
		&watch->seen, request, clock_now_ns(watch->clock));
	uint32_t crashes = suspect ? suspect->crashes : 0;

	if (!crash_list_clear(&watch->seen, request))
		return;
	report(watch, "cleared", request, id, server, crashes, "answer");
	discovery_set_crashes(watch->discovery, &watch->seen);
}
