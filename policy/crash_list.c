#include "policy/crash_list.h"

#include <string.h>

void crash_list_init(struct crash_list *list)
{
	memset(list, 0, sizeof(*list));
}

static int is_recent(const struct crash *crash, int64_t now_ms)
{
	return now_ms - crash->at_ms < (crash->server == CRASH_PROBED
						? CRASH_PROBE_MS
						: CRASH_RETENTION_MS);
}

static int is_loss(const struct crash *crash)
{
	return crash->server != CRASH_ANSWERED && crash->server != CRASH_PROBED;
}

/* Whether both entries record the same loss of a server. */
static int is_same_crash(const struct crash *a, const struct crash *b)
{
	int64_t apart_ms = a->at_ms - b->at_ms;

	return a->request == b->request && a->server == b->server &&
	       apart_ms < CRASH_DEDUP_WINDOW_MS &&
	       -apart_ms < CRASH_DEDUP_WINDOW_MS;
}

static void remove_at(struct crash_list *list, uint32_t i)
{
	list->crashes[i] = list->crashes[--list->count];
}

static uint32_t count_listed(const struct crash_list *list, uint64_t request)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < list->count; i++)
		count += list->crashes[i].request == request;
	return count;
}

/* Candidate for eviction from a full list. */
struct victim {
	uint32_t at;
	uint32_t weight; /* cost of losing the entry */
	int64_t at_ms;
};

static int is_evicted_before(const struct crash *crash, uint32_t weight,
			     const struct victim *victim)
{
	return weight < victim->weight ||
	       (weight == victim->weight && crash->at_ms < victim->at_ms);
}

static uint32_t choose_victim(const struct crash_list *list,
			      const struct crash_reporter *others)
{
	struct victim victim = { .weight = UINT32_MAX };

	for (uint32_t i = 0; i < list->count; i++) {
		const struct crash *crash = &list->crashes[i];
		uint32_t weight = count_listed(list, crash->request);

		/*
		 * Searching the other hosts' lists is slow; done only if it can
		 * matter.
		 */
		if (!is_evicted_before(crash, weight, &victim))
			continue;
		if (others && others->reports(others, crash->request))
			weight += CRASH_LIST_MAX;
		if (is_evicted_before(crash, weight, &victim))
			victim = (struct victim){ i, weight, crash->at_ms };
	}
	return victim.at;
}

int crash_list_add(struct crash_list *list, const struct crash *crash,
		   const struct crash_reporter *others)
{
	if (crash->server == CRASH_PROBED)
		crash_list_end_probe(list, crash->request);
	for (uint32_t i = 0; i < list->count; i++)
		if (is_same_crash(&list->crashes[i], crash))
			return 0;
	if (list->count == CRASH_LIST_MAX)
		remove_at(list, choose_victim(list, others));
	list->crashes[list->count++] = *crash;
	return 1;
}

/* Removes entries of the request; returns whether there were any. */
static int remove_entries(struct crash_list *list, uint64_t request,
			  int probes_only)
{
	uint32_t before = list->count;
	uint32_t i = 0;

	while (i < list->count) {
		const struct crash *crash = &list->crashes[i];

		if (crash->request == request &&
		    (!probes_only || crash->server == CRASH_PROBED))
			remove_at(list, i);
		else
			i++;
	}
	return list->count < before;
}

int crash_list_clear(struct crash_list *list, uint64_t request)
{
	return remove_entries(list, request, 0);
}

int crash_list_end_probe(struct crash_list *list, uint64_t request)
{
	return remove_entries(list, request, 1);
}

void crash_list_prune(struct crash_list *list, int64_t now_ms)
{
	uint32_t i = 0;

	while (i < list->count) {
		if (!is_recent(&list->crashes[i], now_ms))
			remove_at(list, i);
		else
			i++;
	}
}

uint32_t crash_list_count(const struct crash_list *list, uint64_t request,
			  int64_t now_ms)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < list->count; i++)
		count += list->crashes[i].request == request &&
			 is_loss(&list->crashes[i]) &&
			 is_recent(&list->crashes[i], now_ms);
	return count;
}

int64_t crash_list_newest_ms(const struct crash_list *list)
{
	int64_t newest_ms = INT64_MIN;

	for (uint32_t i = 0; i < list->count; i++)
		if (list->crashes[i].at_ms > newest_ms)
			newest_ms = list->crashes[i].at_ms;
	return newest_ms;
}

void crash_tally_init(struct crash_tally *tally, uint64_t request,
		      int64_t now_ms)
{
	memset(tally, 0, sizeof(*tally));
	tally->request = request;
	tally->now_ms = now_ms;
	tally->answered_ms = INT64_MIN;
	tally->probed_ms = INT64_MIN;
}

/* Inserts in order of time; a full tally drops its oldest crash. */
static void tally_insert(struct crash_tally *tally, const struct crash *crash)
{
	uint32_t at = tally->count;

	for (uint32_t i = 0; i < tally->count; i++)
		if (is_same_crash(&tally->crashes[i], crash))
			return;
	while (at && tally->crashes[at - 1].at_ms > crash->at_ms)
		at--;
	if (tally->count == CRASH_TALLY_MAX) {
		if (!at)
			return;
		at--;
		memmove(&tally->crashes[0], &tally->crashes[1],
			at * sizeof(*crash));
	} else {
		memmove(&tally->crashes[at + 1], &tally->crashes[at],
			(tally->count - at) * sizeof(*crash));
		tally->count++;
	}
	tally->crashes[at] = *crash;
}

static int64_t max_ms(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

void crash_tally_add(struct crash_tally *tally, const struct crash_list *list)
{
	for (uint32_t i = 0; i < list->count; i++) {
		const struct crash *crash = &list->crashes[i];

		if (crash->request != tally->request ||
		    !is_recent(crash, tally->now_ms))
			continue;
		if (is_loss(crash))
			tally_insert(tally, crash);
		else if (crash->server == CRASH_PROBED)
			tally->probed_ms =
				max_ms(tally->probed_ms, crash->at_ms);
		else
			tally->answered_ms =
				max_ms(tally->answered_ms, crash->at_ms);
	}
}

/* Index of the first crash after the request was last answered. */
static uint32_t first_since_answer(const struct crash_tally *tally)
{
	uint32_t i = 0;

	while (i < tally->count &&
	       tally->crashes[i].at_ms <= tally->answered_ms)
		i++;
	return i;
}

uint32_t crash_tally_count(const struct crash_tally *tally)
{
	return tally->count - first_since_answer(tally);
}

/*
 * The crash came too late after the previous one to belong to the same outage;
 * it may be that of the attempt that follows a rejection.
 */
static int is_separate_outage(const struct crash_tally *tally, uint32_t i)
{
	return tally->crashes[i].at_ms - tally->crashes[i - 1].at_ms >=
	       CRASH_REFUSAL_FIRST_MS;
}

/* Retry-after while an attempt is let through whose outcome is not known. */
static int64_t probe_left_ms(const struct crash_tally *tally)
{
	int64_t left_ms;

	if (tally->probed_ms == INT64_MIN)
		return 0;
	left_ms = tally->probed_ms + CRASH_PROBE_MS - tally->now_ms;
	if (left_ms <= 0)
		return 0;
	return left_ms < CRASH_PROBE_RETRY_MS ? left_ms : CRASH_PROBE_RETRY_MS;
}

int64_t crash_tally_refused_ms(const struct crash_tally *tally)
{
	int64_t refusal_ms = CRASH_REFUSAL_FIRST_MS;
	int64_t left_ms;

	if (crash_tally_count(tally) < CRASHES_TO_REJECT)
		return 0;
	for (uint32_t i = first_since_answer(tally) + 1; i < tally->count; i++)
		if (is_separate_outage(tally, i) &&
		    refusal_ms < CRASH_REFUSAL_MAX_MS)
			refusal_ms *= CRASH_REFUSAL_FACTOR;
	if (refusal_ms > CRASH_REFUSAL_MAX_MS)
		refusal_ms = CRASH_REFUSAL_MAX_MS;
	left_ms = tally->crashes[tally->count - 1].at_ms + refusal_ms -
		  tally->now_ms;
	return left_ms > 0 ? left_ms : probe_left_ms(tally);
}
