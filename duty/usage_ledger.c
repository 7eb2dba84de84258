#include "duty/usage_ledger.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "proto/topic.pb-c.h"

void usage_ledger_init(struct usage_ledger *ledger)
{
	memset(ledger, 0, sizeof(*ledger));
}

static void free_window(struct usage_window *window)
{
	free(window->counts);
	free(window);
}

void usage_ledger_forget(struct usage_ledger *ledger)
{
	struct usage_window *window = ledger->first;

	while (window) {
		struct usage_window *next = window->next;

		free_window(window);
		window = next;
	}
	ledger->first = NULL;
	ledger->closed_before = 0;
}

void usage_ledger_finish(struct usage_ledger *ledger)
{
	struct usage_source *source = ledger->sources;

	usage_ledger_forget(ledger);
	while (source) {
		struct usage_source *next = source->next;

		free(source);
		source = next;
	}
}

static struct usage_window *get_window(struct usage_ledger *ledger,
				       uint64_t number)
{
	struct usage_window **at = &ledger->first;
	struct usage_window *window;

	while (*at && (*at)->number < number)
		at = &(*at)->next;
	if (*at && (*at)->number == number)
		return *at;
	window = xcalloc(1, sizeof(*window));
	window->number = number;
	window->next = *at;
	*at = window;
	return window;
}

static void add_count(struct usage_window *window, const char *team,
		      uint64_t requests)
{
	struct team_count *count;

	for (uint32_t i = 0; i < window->count; i++) {
		if (strcmp(window->counts[i].team, team))
			continue;
		window->counts[i].requests += requests;
		return;
	}
	window->counts =
		xrealloc(window->counts, (window->count + 1) * sizeof(*count));
	count = &window->counts[window->count];
	memset(count, 0, sizeof(*count));
	if (copy_text(count->team, sizeof(count->team), team))
		return;
	count->requests = requests;
	window->count++;
}

/* Records the sum's sequence number; returns 0 if the sum is a repeat. */
static int accept_sequence(struct usage_ledger *ledger,
			   const Currant__Topic__UsageSum *sum)
{
	struct usage_source *source = ledger->sources;

	while (source && (source->incarnation != sum->incarnation ||
			  strcmp(source->host, sum->host)))
		source = source->next;
	if (source && sum->sequence <= source->sequence)
		return 0;
	if (!source) {
		source = xcalloc(1, sizeof(*source));
		if (copy_text(source->host, sizeof(source->host), sum->host))
			ledger->malformed++;
		source->incarnation = sum->incarnation;
		source->next = ledger->sources;
		ledger->sources = source;
	}
	source->sequence = sum->sequence;
	return 1;
}

static void apply_sum(struct usage_ledger *ledger,
		      const Currant__Topic__UsageSum *sum)
{
	struct usage_window *window;

	if (!accept_sequence(ledger, sum))
		return;
	window = get_window(ledger, sum->window);
	for (size_t i = 0; i < sum->n_counts; i++) {
		if (window->closed || sum->window < ledger->closed_before)
			ledger->late_requests += sum->counts[i]->requests;
		else
			add_count(window, sum->counts[i]->team,
				  sum->counts[i]->requests);
	}
}

static void apply_close(struct usage_ledger *ledger,
			const Currant__Topic__UsageClose *close)
{
	struct usage_window *window;

	/* Windows close in order; another host's later close is ignored. */
	if (ledger->closed_before && close->window != ledger->closed_before)
		return;
	window = get_window(ledger, close->window);
	window->count = 0;
	for (size_t i = 0; i < close->n_counts; i++)
		add_count(window, close->counts[i]->team,
			  close->counts[i]->requests);
	window->closed = 1;
	ledger->closed_before = close->window + 1;
}

static void apply_reported(struct usage_ledger *ledger,
			   const Currant__Topic__UsageReported *reported)
{
	struct usage_window *window = get_window(ledger, reported->window);

	window->reported = 1;
}

void usage_ledger_apply(struct usage_ledger *ledger, const uint8_t *data,
			size_t len)
{
	Currant__Topic__UsageRecord *record =
		currant__topic__usage_record__unpack(NULL, len, data);

	if (!record) {
		ledger->malformed++;
		return;
	}
	switch (record->kind_case) {
	case CURRANT__TOPIC__USAGE_RECORD__KIND_SUM:
		apply_sum(ledger, record->sum);
		break;
	case CURRANT__TOPIC__USAGE_RECORD__KIND_CLOSE:
		apply_close(ledger, record->close);
		break;
	case CURRANT__TOPIC__USAGE_RECORD__KIND_REPORTED:
		apply_reported(ledger, record->reported);
		break;
	default:
		break; /* a kind that a newer version writes */
	}
	currant__topic__usage_record__free_unpacked(record, NULL);
}

uint64_t usage_ledger_next_open(const struct usage_ledger *ledger,
				uint64_t since)
{
	if (ledger->closed_before)
		return ledger->closed_before;
	/* No window was closed yet: start at the first one with a sum. */
	if (ledger->first && ledger->first->number < since)
		return ledger->first->number;
	return since;
}

const struct usage_window *usage_ledger_find(const struct usage_ledger *ledger,
					     uint64_t number)
{
	const struct usage_window *window = ledger->first;

	while (window && window->number < number)
		window = window->next;
	return window && window->number == number ? window : NULL;
}

const struct usage_window *
usage_ledger_next_report(const struct usage_ledger *ledger)
{
	const struct usage_window *window = ledger->first;

	while (window && (!window->closed || window->reported))
		window = window->next;
	return window;
}

void usage_ledger_prune(struct usage_ledger *ledger, uint64_t before)
{
	struct usage_window **at = &ledger->first;

	while (*at && (*at)->number < before) {
		struct usage_window *window = *at;

		if (!window->reported && window->closed) {
			at = &window->next;
			continue;
		}
		*at = window->next;
		free_window(window);
	}
}
