#include "blame/blame.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/* This many mass losses under one request are unlikely to be chance. */
#define SUSPICIOUS_MASS_LOSSES 2

void blame_init(struct blame *blame, struct blame_listener *listener)
{
	memset(blame, 0, sizeof(*blame));
	blame->listener = listener;
	loss_window_init(&blame->losses);
	blame->entries = xcalloc(BLAME_MAX_ENTRIES, sizeof(*blame->entries));
}

void blame_finish(struct blame *blame)
{
	free(blame->entries);
	blame->entries = NULL;
}

static struct blame_entry *find(const struct blame *blame, uint64_t fingerprint)
{
	for (uint32_t i = 0; i < blame->count; i++)
		if (blame->entries[i].fingerprint == fingerprint)
			return &blame->entries[i];
	return NULL;
}

static void drop(struct blame *blame, struct blame_entry *entry)
{
	*entry = blame->entries[--blame->count];
}

/* Suspects are evicted before quarantined entries, old before recent ones. */
static struct blame_entry *eviction_candidate(struct blame *blame)
{
	struct blame_entry *least = &blame->entries[0];

	for (uint32_t i = 1; i < blame->count; i++) {
		struct blame_entry *entry = &blame->entries[i];
		int entry_quarantined = entry->quarantined_until_ns != 0;
		int least_quarantined = least->quarantined_until_ns != 0;

		if (entry_quarantined < least_quarantined ||
		    (entry_quarantined == least_quarantined &&
		     entry->updated_ns < least->updated_ns))
			least = entry;
	}
	return least;
}

static struct blame_entry *find_or_add(struct blame *blame,
				       uint64_t fingerprint)
{
	struct blame_entry *entry = find(blame, fingerprint);

	if (entry)
		return entry;
	if (blame->count >= BLAME_MAX_ENTRIES)
		drop(blame, eviction_candidate(blame));
	entry = &blame->entries[blame->count++];
	memset(entry, 0, sizeof(*entry));
	entry->fingerprint = fingerprint;
	return entry;
}

static void send_hint(struct blame_listener *listener,
		      const struct blame_entry *entry, int64_t now_ns)
{
	Currant__QuarantineHint hint = CURRANT__QUARANTINE_HINT__INIT;
	Currant__Crash crashes[BLAME_QUARANTINE_CRASHES];
	Currant__Crash *list[BLAME_QUARANTINE_CRASHES];

	for (uint32_t i = 0; i < entry->crash_count; i++) {
		const struct blame_crash *crash = &entry->crashes[i];

		currant__crash__init(&crashes[i]);
		crashes[i].server = (char *)crash->server;
		crashes[i].data_centre = (char *)crash->data_centre;
		crashes[i].servers_there = crash->servers_there;
		crashes[i].age_ms =
			(uint32_t)((now_ns - crash->at_ns) / NS_PER_MS);
		list[i] = &crashes[i];
	}
	hint.fingerprint = entry->fingerprint;
	hint.crashes = entry->crash_count;
	hint.crash_list = list;
	hint.n_crash_list = entry->crash_count;
	if (entry->quarantined_until_ns > now_ns)
		hint.quarantine_ms =
			(uint32_t)((entry->quarantined_until_ns - now_ns) /
				   NS_PER_MS);
	listener->vt->on_hint(listener, &hint);
}

static void notify_peers(struct blame *blame, const struct blame_entry *entry,
			 int64_t now_ns)
{
	if (blame->listener)
		send_hint(blame->listener, entry, now_ns);
}

void blame_send_all_hints(const struct blame *blame,
			  struct blame_listener *listener, int64_t now_ns)
{
	for (uint32_t i = 0; i < blame->count; i++)
		if (blame->entries[i].crash_count)
			send_hint(listener, &blame->entries[i], now_ns);
}

int64_t blame_entry_verdict_age_ns(const struct blame_entry *entry,
				   int64_t now_ns)
{
	if (!entry->quarantined_until_ns)
		return -1;
	return now_ns - (entry->quarantined_until_ns - BLAME_QUARANTINE_NS);
}

int64_t blame_verdict_age_ns(const struct blame *blame, uint64_t fingerprint,
			     int64_t now_ns)
{
	const struct blame_entry *entry = find(blame, fingerprint);

	return entry ? blame_entry_verdict_age_ns(entry, now_ns) : -1;
}

/* Removes a crash that turned out to be part of a mass loss. */
static void remove_mass_loss(struct blame_entry *entry, uint32_t i)
{
	entry->mass_loss_count++;
	entry->crashes[i] = entry->crashes[--entry->crash_count];
}

static int is_same_crash(const struct blame_crash *crash, const char *server,
			 int64_t at_ns)
{
	int64_t distance_ns = crash->at_ns > at_ns ? crash->at_ns - at_ns
						   : at_ns - crash->at_ns;

	return distance_ns <= MASS_LOSS_WINDOW_NS &&
	       !strcmp(crash->server, server);
}

/* Whether both ran on the same two lost servers: either may be the cause. */
static int has_same_losses(const struct blame_entry *a,
			   const struct blame_entry *b)
{
	if (a == b || b->crash_count < BLAME_QUARANTINE_CRASHES ||
	    b->quarantined_until_ns)
		return 0;
	for (uint32_t i = 0; i < BLAME_QUARANTINE_CRASHES; i++)
		if (!is_same_crash(&a->crashes[i], b->crashes[i].server,
				   b->crashes[i].at_ns))
			return 0;
	return 1;
}

/*
 * Suspects of different daemons can still run on one server at a time, so the
 * second loss may have more than one suspect.
 */
static int shares_losses(const struct blame *blame,
			 const struct blame_entry *entry)
{
	for (uint32_t i = 0; i < blame->count; i++)
		if (has_same_losses(entry, &blame->entries[i]))
			return 1;
	return 0;
}

/* Removes the second crash from all entries that share both losses. */
static void retract_second_crash(struct blame *blame, struct blame_entry *entry)
{
	for (uint32_t i = 0; i < blame->count; i++)
		if (has_same_losses(entry, &blame->entries[i]))
			blame->entries[i].crash_count = 1;
	entry->crash_count = 1;
}

/*
 * Removes crashes that were part of a mass loss, confirms those for which that
 * is ruled out by now, and quarantines the request if enough are confirmed.
 */
static void update_verdict(struct blame *blame, struct blame_entry *entry,
			   int64_t now_ns)
{
	int pending = 0;

	for (uint32_t i = entry->crash_count; i-- > 0;) {
		struct blame_crash *crash = &entry->crashes[i];

		if (crash->is_confirmed)
			continue;
		if (loss_window_is_mass(&blame->losses, crash->data_centre,
					crash->at_ns))
			remove_mass_loss(entry, i);
		else if (now_ns - crash->at_ns > MASS_LOSS_WINDOW_NS)
			crash->is_confirmed = 1;
		else
			pending = 1;
	}
	if (pending || entry->crash_count < BLAME_QUARANTINE_CRASHES ||
	    entry->quarantined_until_ns)
		return;
	if (shares_losses(blame, entry)) {
		retract_second_crash(blame, entry);
		return;
	}
	entry->quarantined_until_ns = now_ns + BLAME_QUARANTINE_NS;
	if (!entry->is_own)
		return;
	notify_peers(blame, entry, now_ns);
	if (blame->listener)
		blame->listener->vt->on_quarantine(blame->listener,
						   entry->fingerprint,
						   BLAME_QUARANTINE_NS);
}

/* Returns whether the crash was new. */
static int add_crash(struct blame_entry *entry, const char *server,
		     const char *data_centre, uint32_t servers_there,
		     int64_t at_ns)
{
	struct blame_crash *crash;

	for (uint32_t i = 0; i < entry->crash_count; i++)
		if (is_same_crash(&entry->crashes[i], server, at_ns))
			return 0;
	if (entry->crash_count >= BLAME_QUARANTINE_CRASHES)
		return 0;
	crash = &entry->crashes[entry->crash_count++];
	memset(crash, 0, sizeof(*crash));
	copy_text(crash->server, sizeof(crash->server), server);
	copy_text(crash->data_centre, sizeof(crash->data_centre), data_centre);
	crash->servers_there = servers_there;
	crash->at_ns = at_ns;
	entry->updated_ns = at_ns;
	return 1;
}

static int is_suspect(struct blame *blame, uint64_t fingerprint)
{
	const struct blame_entry *entry = find(blame, fingerprint);

	return entry && entry->crash_count;
}

static int runs_suspect(struct blame *blame, const struct blame_loss *loss)
{
	for (uint32_t i = 0; i < loss->running_count; i++)
		if (is_suspect(blame, loss->running[i]))
			return 1;
	return 0;
}

/* Whether only one request was running there, perhaps several times. */
static int ran_alone(const struct blame_loss *loss)
{
	for (uint32_t i = 1; i < loss->running_count; i++)
		if (loss->running[i] != loss->running[0])
			return 0;
	return 1;
}

/*
 * A suspect gets a further crash only if it was the only request on the
 * server. Requests that ran beside a suspect do not become suspect: the suspect
 * is the likelier cause, and stays a suspect.
 */
void blame_on_loss(struct blame *blame, const struct blame_loss *loss,
		   int64_t now_ns)
{
	loss_window_add(&blame->losses, loss->server, loss->data_centre,
			loss->servers_there, now_ns);
	if (runs_suspect(blame, loss) && !ran_alone(loss))
		return;
	for (uint32_t i = 0; i < loss->running_count; i++) {
		struct blame_entry *entry =
			find_or_add(blame, loss->running[i]);

		if (!add_crash(entry, loss->server, loss->data_centre,
			       loss->servers_there, now_ns))
			continue;
		entry->is_own = 1;
		update_verdict(blame, entry, now_ns);
		notify_peers(blame, entry, now_ns);
	}
}

void blame_on_success(struct blame *blame, uint64_t fingerprint, int64_t now_ns)
{
	struct blame_entry *entry = find(blame, fingerprint);

	if (!entry || entry->quarantined_until_ns)
		return;
	entry->crash_count = 0;
	notify_peers(blame, entry, now_ns);
	drop(blame, entry);
}

static int add_reported_crash(struct blame *blame, struct blame_entry *entry,
			      const Currant__Crash *crash, int64_t now_ns)
{
	int64_t at_ns = now_ns - crash->age_ms * NS_PER_MS;

	if (strlen(crash->server) >= NAME_BYTES ||
	    strlen(crash->data_centre) >= NAME_BYTES)
		return 0;
	loss_window_add(&blame->losses, crash->server, crash->data_centre,
			crash->servers_there, at_ns);
	return add_crash(entry, crash->server, crash->data_centre,
			 crash->servers_there, at_ns);
}

static int64_t min_ns(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int blame_on_hint(struct blame *blame, const Currant__QuarantineHint *hint,
		  int64_t now_ns)
{
	struct blame_entry *entry = find(blame, hint->fingerprint);
	int changed = 0;

	if (!hint->crashes) {
		changed = entry && !entry->quarantined_until_ns;
		if (changed)
			drop(blame, entry);
		return changed;
	}
	entry = find_or_add(blame, hint->fingerprint);
	for (size_t i = 0; i < hint->n_crash_list; i++)
		changed |= add_reported_crash(blame, entry, hint->crash_list[i],
					      now_ns);
	entry->updated_ns = now_ns;
	if (hint->quarantine_ms && !entry->quarantined_until_ns) {
		entry->quarantined_until_ns =
			now_ns + min_ns(hint->quarantine_ms * NS_PER_MS,
					BLAME_QUARANTINE_NS);
		changed = 1;
	}
	return changed;
}

/* Whether the quarantine has ended or the suspicion has expired. */
static int is_expired(const struct blame_entry *entry, int64_t now_ns)
{
	if (entry->quarantined_until_ns)
		return now_ns >= entry->quarantined_until_ns;
	return now_ns - entry->updated_ns > BLAME_SUSPECT_TTL_NS;
}

enum blame_verdict blame_judge(struct blame *blame, uint64_t fingerprint,
			       int64_t now_ns)
{
	struct blame_entry *entry = find(blame, fingerprint);

	if (!entry)
		return BLAME_CLEAN;
	update_verdict(blame, entry, now_ns);
	if (is_expired(entry, now_ns)) {
		drop(blame, entry);
		return BLAME_CLEAN;
	}
	if (entry->quarantined_until_ns)
		return BLAME_QUARANTINED;
	if (entry->crash_count >= BLAME_QUARANTINE_CRASHES)
		return BLAME_HELD;
	if (entry->crash_count ||
	    entry->mass_loss_count >= SUSPICIOUS_MASS_LOSSES)
		return BLAME_SUSPECT;
	return BLAME_CLEAN;
}

void blame_tick(struct blame *blame, int64_t now_ns)
{
	for (uint32_t i = blame->count; i-- > 0;) {
		update_verdict(blame, &blame->entries[i], now_ns);
		if (is_expired(&blame->entries[i], now_ns))
			drop(blame, &blame->entries[i]);
	}
}

/* Whether a loss there is so recent that more servers may yet be lost. */
static int has_recent_loss(const struct blame_entry *entry,
			   const char *data_centre, int64_t now_ns)
{
	for (uint32_t i = 0; i < entry->crash_count; i++)
		if (now_ns - entry->crashes[i].at_ns <= MASS_LOSS_WINDOW_NS &&
		    !strcmp(entry->crashes[i].data_centre, data_centre))
			return 1;
	return 0;
}

static int may_run_there(const struct blame_entry *entry,
			 const struct blame_place *place, int64_t now_ns)
{
	return !place->has_suspect &&
	       !has_recent_loss(entry, place->data_centre, now_ns);
}

/* Assigns the free place of the highest weight; returns its index, or -1. */
static int32_t assign_place(const struct blame_entry *entry,
			    const struct blame_place *places, uint32_t count,
			    uint8_t *taken, int64_t now_ns)
{
	uint64_t best_weight = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t weight;

		if (taken[i] || !may_run_there(entry, &places[i], now_ns))
			continue;
		weight = hash_rendezvous(entry->fingerprint, places[i].server);
		if (best >= 0 && weight <= best_weight)
			continue;
		best = (int32_t)i;
		best_weight = weight;
	}
	if (best >= 0)
		taken[best] = 1;
	return best;
}

static int needs_place(const struct blame_entry *entry)
{
	return !entry->quarantined_until_ns &&
	       entry->crash_count < BLAME_QUARANTINE_CRASHES &&
	       (entry->crash_count ||
		entry->mass_loss_count >= SUSPICIOUS_MASS_LOSSES);
}

static int compare_entries(const void *a, const void *b)
{
	const struct blame_entry *left = *(const struct blame_entry *const *)a;
	const struct blame_entry *right = *(const struct blame_entry *const *)b;

	return (left->fingerprint > right->fingerprint) -
	       (left->fingerprint < right->fingerprint);
}

/*
 * Assigns places to all suspects in order of fingerprint, up to the entry.
 * Returns the index of the entry's place, or -1.
 */
static int32_t assign_places(struct blame *blame,
			     const struct blame_entry *entry,
			     const struct blame_place *places, uint32_t count,
			     int64_t now_ns)
{
	const struct blame_entry **suspects =
		xcalloc(blame->count, sizeof(const struct blame_entry *));
	uint8_t *taken = xcalloc(count ? count : 1, 1);
	uint32_t suspect_count = 0;
	int32_t place = -1;

	for (uint32_t i = 0; i < blame->count; i++)
		if (needs_place(&blame->entries[i]) &&
		    blame->entries[i].fingerprint <= entry->fingerprint)
			suspects[suspect_count++] = &blame->entries[i];
	qsort(suspects, suspect_count, sizeof(const struct blame_entry *),
	      compare_entries);
	for (uint32_t i = 0; i < suspect_count; i++)
		place = assign_place(suspects[i], places, count, taken, now_ns);
	free(suspects);
	free(taken);
	return place;
}

enum blame_placement blame_place(struct blame *blame, uint64_t fingerprint,
				 const struct blame_place *places,
				 uint32_t count, int64_t now_ns,
				 uint32_t *chosen)
{
	const struct blame_entry *entry = find(blame, fingerprint);
	int64_t since_update_ns;
	int32_t place;

	if (!entry || !needs_place(entry))
		return BLAME_WAIT;
	since_update_ns = now_ns - entry->updated_ns;
	if (since_update_ns < BLAME_HINT_DELAY_NS)
		return BLAME_WAIT;
	place = assign_places(blame, entry, places, count, now_ns);
	if (place < 0)
		return BLAME_WAIT;
	*chosen = (uint32_t)place;
	return places[place].running && since_update_ns < BLAME_DRAIN_TIMEOUT_NS
		       ? BLAME_DRAIN
		       : BLAME_RUN;
}
