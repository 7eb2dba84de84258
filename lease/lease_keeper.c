#include "lease/lease_keeper.h"

#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/*
 * Fractions of the lease duration: the tick interval, and the maximum wait for
 * a claim to be applied.
 */
#define TICK_DIVISOR 20
#define ANSWER_DIVISOR 2

/* lease_keeper_release_all() waits for at most this many rounds. */
#define RELEASE_ROUNDS 8
#define RELEASE_ROUND_NS (250 * NS_PER_MS)

static void on_timer(void *arg, int64_t now_ns)
{
	(void)now_ns;
	lease_keeper_tick(arg);
}

void lease_keeper_init(struct lease_keeper *keeper, struct log_client *client,
		       struct clock *clock, struct timer_service *timers,
		       const struct lease_timing *timing,
		       const struct log_part *log)
{
	memset(keeper, 0, sizeof(*keeper));
	keeper->client = client;
	keeper->clock = clock;
	keeper->timers = timers;
	keeper->timing = *timing;
	keeper->log = *log;
	pthread_mutex_init(&keeper->lock, NULL);
	timer_subscribe(timers, &keeper->timer,
			timing->duration_ns / TICK_DIVISOR, on_timer, keeper);
}

void lease_keeper_finish(struct lease_keeper *keeper)
{
	timer_unsubscribe(keeper->timers, &keeper->timer);
	for (uint32_t i = 0; i < keeper->count; i++)
		if (keeper->entries[i].claimant.attempting)
			log_client_give_up(keeper->client,
					   &keeper->entries[i].waiter);
	pthread_mutex_destroy(&keeper->lock);
}

static struct lease_entry *find(struct lease_keeper *keeper, const char *name)
{
	for (uint32_t i = 0; i < keeper->count; i++)
		if (!strcmp(keeper->entries[i].name, name))
			return &keeper->entries[i];
	return NULL;
}

static struct lease_entry *add(struct lease_keeper *keeper, const char *name)
{
	struct lease_entry *entry;

	if (keeper->count == LEASE_KEEPER_MAX)
		return NULL;
	entry = &keeper->entries[keeper->count++];
	copy_text(entry->name, sizeof(entry->name), name);
	lease_claimant_init(&entry->claimant, keeper->client->queue.writer,
			    keeper->client->queue.incarnation, &keeper->timing);
	return entry;
}

int lease_keeper_request(struct lease_keeper *keeper, const char *name,
			 int64_t extra_wait_ns, struct error *err)
{
	struct lease_entry *entry;

	pthread_mutex_lock(&keeper->lock);
	entry = find(keeper, name);
	if (!entry)
		entry = add(keeper, name);
	if (entry) {
		entry->is_requested = 1;
		entry->claimant.extra_wait_ns = extra_wait_ns;
	}
	pthread_mutex_unlock(&keeper->lock);
	if (entry)
		return 0;
	return error_set(err, ERROR_FULL,
			 "lease '%s': limit of %d leases reached", name,
			 LEASE_KEEPER_MAX);
}

/* Returns whether any claim is in flight or any lease is held. */
static int is_busy(struct lease_keeper *keeper)
{
	int64_t now_ns = clock_now_ns(keeper->clock);
	int busy = 0;

	pthread_mutex_lock(&keeper->lock);
	for (uint32_t i = 0; i < keeper->count; i++)
		busy |= keeper->entries[i].claimant.attempting ||
			lease_claimant_holds(&keeper->entries[i].claimant,
					     now_ns);
	pthread_mutex_unlock(&keeper->lock);
	return busy;
}

void lease_keeper_release_all(struct lease_keeper *keeper)
{
	pthread_mutex_lock(&keeper->lock);
	for (uint32_t i = 0; i < keeper->count; i++)
		keeper->entries[i].is_requested = 0;
	pthread_mutex_unlock(&keeper->lock);
	/* A renewal in flight must complete before the release is sent. */
	for (int i = 0; i < RELEASE_ROUNDS; i++) {
		lease_keeper_tick(keeper);
		if (!is_busy(keeper))
			break;
		log_client_flush(keeper->client, RELEASE_ROUND_NS, NULL);
	}
}

int64_t lease_keeper_spread_ns(const struct lease_keeper *keeper,
			       const char *name, int near)
{
	int64_t duration_ns = keeper->timing.duration_ns;
	uint64_t hash = hash_rendezvous(hash_text(name, 0),
					keeper->client->queue.writer);
	int64_t wait_ns = (int64_t)(hash % (uint64_t)duration_ns);

	return near ? wait_ns : wait_ns + 2 * duration_ns;
}

int lease_keeper_held(struct lease_keeper *keeper, const char *name,
		      int64_t now_ns, struct lease_hold *out)
{
	const struct lease_entry *entry;
	int held;

	pthread_mutex_lock(&keeper->lock);
	entry = find(keeper, name);
	held = entry && entry->is_requested &&
	       lease_claimant_holds(&entry->claimant, now_ns);
	if (held) {
		out->epoch = entry->claimant.observed.epoch;
		out->position = entry->claimant.observed.position;
		out->deadline_ns = entry->claimant.deadline_ns;
	}
	pthread_mutex_unlock(&keeper->lock);
	return held;
}

struct lookup {
	const char *name;
	int exists;
	struct lease lease;
};

static void copy_lease(const struct state *state, void *arg)
{
	struct lookup *lookup = arg;
	const struct lease *lease = state_lease(state, lookup->name);

	lookup->exists = lease != NULL;
	if (lease)
		lookup->lease = *lease;
}

static void observe(struct lease_keeper *keeper, struct lease_entry *entry)
{
	struct lookup lookup = { .name = entry->name };
	int held = lease_claimant_holds(&entry->claimant,
					clock_now_ns(keeper->clock));
	uint64_t epoch = entry->claimant.observed.epoch;

	log_client_with_state(keeper->client, copy_lease, &lookup);
	lease_claimant_observe(&entry->claimant,
			       lookup.exists ? &lookup.lease : NULL,
			       clock_now_ns(keeper->clock));
	if (!held && entry->claimant.holds &&
	    epoch != entry->claimant.observed.epoch)
		log_info(&keeper->log, "acquired lease '%s'", entry->name);
}

/* Checks whether the record in flight was applied or has timed out. */
static void check_attempt(struct lease_keeper *keeper,
			  struct lease_entry *entry)
{
	struct lease_claimant *claimant = &entry->claimant;
	int64_t limit_ns = keeper->timing.duration_ns / ANSWER_DIVISOR;

	if (!claimant->attempting)
		return;
	if (log_client_poll(keeper->client, &entry->waiter))
		lease_claimant_applied(claimant);
	else if (clock_now_ns(keeper->clock) - claimant->attempt_ns > limit_ns)
		lease_claimant_abandon(
			claimant,
			log_client_give_up(keeper->client, &entry->waiter));
}

static void begin_record(struct lease_keeper *keeper, struct lease_entry *entry,
			 const Currant__Record *record)
{
	struct error why = ERROR_INIT;

	memset(&entry->waiter, 0, sizeof(entry->waiter));
	if (!log_client_begin(keeper->client, record, LOG_SUBMIT_URGENT,
			      &entry->waiter, &why))
		return;
	lease_claimant_abandon(&entry->claimant, 0);
	log_warning(&keeper->log, "lease '%s': %s", entry->name, why.text);
}

static void claim(struct lease_keeper *keeper, struct lease_entry *entry)
{
	Currant__LeaseClaim body = CURRANT__LEASE_CLAIM__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	body.name = entry->name;
	body.holder = entry->claimant.holder;
	body.holder_incarnation = entry->claimant.incarnation;
	body.duration_ms = keeper->timing.duration_ns / NS_PER_MS;
	body.based_on = lease_claimant_send(&entry->claimant,
					    clock_now_ns(keeper->clock));
	record.body_case = CURRANT__RECORD__BODY_LEASE_CLAIM;
	record.lease_claim = &body;
	begin_record(keeper, entry, &record);
}

static void release(struct lease_keeper *keeper, struct lease_entry *entry)
{
	Currant__LeaseRelease body = CURRANT__LEASE_RELEASE__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	body.name = entry->name;
	body.holder = entry->claimant.holder;
	body.holder_incarnation = entry->claimant.incarnation;
	body.based_on = lease_claimant_release(&entry->claimant,
					       clock_now_ns(keeper->clock));
	record.body_case = CURRANT__RECORD__BODY_LEASE_RELEASE;
	record.lease_release = &body;
	begin_record(keeper, entry, &record);
}

static void run_entry(struct lease_keeper *keeper, struct lease_entry *entry)
{
	struct lease_claimant *claimant = &entry->claimant;
	int64_t now_ns;

	check_attempt(keeper, entry);
	observe(keeper, entry);
	now_ns = clock_now_ns(keeper->clock);
	if (entry->is_requested) {
		if (lease_claimant_decide(claimant, now_ns) == LEASE_CLAIM)
			claim(keeper, entry);
	} else if (!claimant->attempting &&
		   lease_claimant_holds(claimant, now_ns)) {
		release(keeper, entry);
	}
}

void lease_keeper_tick(struct lease_keeper *keeper)
{
	if (!log_client_recovered(keeper->client))
		return;
	pthread_mutex_lock(&keeper->lock);
	for (uint32_t i = 0; i < keeper->count; i++)
		run_entry(keeper, &keeper->entries[i]);
	pthread_mutex_unlock(&keeper->lock);
}
