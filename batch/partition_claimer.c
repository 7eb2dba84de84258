#include "batch/partition_claimer.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "policy/partition_owner.h"

#define CHECK_PERIOD_NS (500 * NS_PER_MS)
/* Minimum time between reads of an unowned partition for open batches. */
#define UNOWNED_READ_PERIOD_NS (1 * NS_PER_S)
/*
 * A host whose claim is younger than this counts as alive, whatever the
 * heartbeats say that this daemon has read so far.
 */
#define FRESH_CLAIM_MS 2500
/*
 * Hosts that start together are not ready at the same moment. Until then the
 * first one ranks first for every partition, and keeps what it claims, so it
 * claims only those with open batches.
 */
#define START_NS (3 * NS_PER_S)
/* An owner renews its claim so that the log always holds a recent one. */
#define CLAIM_RENEW_MS 60000

static const struct entry_host *own_host(const struct partition_claimer *keeper)
{
	return &keeper->discovery->own;
}

static int64_t now_ns(const struct partition_claimer *keeper)
{
	return reactor_now_ns(keeper->reactor);
}

static int has_open_batch(const struct batch_table *table)
{
	for (const struct batch *b = table->newest; b; b = b->older)
		if (!batch_is_done(b))
			return 1;
	return 0;
}

static int has_batch_route(const struct entry_config *config)
{
	for (uint32_t i = 0; i < config->route_count; i++)
		if (config->routes[i].kind == REQUEST_BATCH)
			return 1;
	return 0;
}

/*
 * Whether the configuration lets batches of some model come to the partition.
 * It then has an owner before the first of them, which otherwise waits until
 * the partition is found to have none.
 */
static int expects_batches(const struct claim_state *state)
{
	const struct partition_claimer *keeper = state->keeper;
	const struct entry_config *config = keeper->runner->config->current;

	if (!config || !has_batch_route(config))
		return 0;
	for (uint32_t i = 0; i < config->service_count; i++)
		for (uint32_t m = 0; m < config->services[i].model_count; m++)
			if (batch_set_choose_partition(
				    keeper->set, config->services[i].models[m],
				    "") == state->partition)
				return 1;
	return 0;
}

static int owner_is_self(const struct claim_state *state)
{
	const struct batch_table *table = &state->partition->table;
	const struct entry_host *own = own_host(state->keeper);

	return !strcmp(table->owner, own->name) &&
	       table->owner_incarnation == own->incarnation;
}

/*
 * Age by the writer's wall clock or by the time since this daemon applied the
 * claim, whichever is larger: otherwise a writer's clock that is ahead would
 * make the claim of a dead owner look fresh.
 */
static int64_t claim_age_ms(const struct claim_state *state)
{
	const struct batch_table *table = &state->partition->table;
	struct reactor *reactor = state->keeper->reactor;
	int64_t age_ms = clock_wall_ms(&reactor->clock) - table->claimed_ms;
	int64_t since_applied_ms =
		(reactor_now_ns(reactor) - table->claim_read_ns) / NS_PER_MS;

	return age_ms > since_applied_ms ? age_ms : since_applied_ms;
}

static int is_other_and_alive(const struct partition_claimer *keeper,
			      const struct entry_host *host)
{
	return strcmp(host->name, own_host(keeper)->name) && !host->leaving &&
	       discovery_is_alive(keeper->discovery, host);
}

/* Bit mask of the partitions that other live hosts report to run. */
static uint64_t partitions_run_elsewhere(const struct partition_claimer *keeper)
{
	uint64_t bits = 0;

	for (const struct entry_host *h = keeper->discovery->hosts.first; h;
	     h = h->next)
		if (h->partitions && is_other_and_alive(keeper, h))
			bits |= h->partitions;
	return bits;
}

/* Whether the newest claim read so far is that of another live host. */
static int is_claimed_by_live_host(const struct claim_state *state)
{
	const struct partition_claimer *keeper = state->keeper;
	const struct batch_table *table = &state->partition->table;
	const struct entry_host *owner =
		host_table_find(&keeper->discovery->hosts, table->owner);

	return owner && owner->incarnation == table->owner_incarnation &&
	       is_other_and_alive(keeper, owner);
}

/*
 * Whether another live host says that it runs the partition, or claimed it so
 * recently that its notice may not have been read yet. Notices have no room for
 * partitions from HOST_PARTITIONS_MAX on; of those the claim alone tells.
 */
static int is_run_elsewhere(const struct claim_state *state, uint64_t elsewhere)
{
	const struct batch_table *table = &state->partition->table;

	if (table->owner[0] &&
	    strcmp(table->owner, own_host(state->keeper)->name) &&
	    claim_age_ms(state) < FRESH_CLAIM_MS)
		return 1;
	if (state->partition->number >= HOST_PARTITIONS_MAX)
		return is_claimed_by_live_host(state);
	return elsewhere >> state->partition->number & 1;
}

/* Judges by the claims read so far and by the heartbeats of hosts. */
static int owner_is_alive(const struct claim_state *state, uint64_t elsewhere)
{
	return is_run_elsewhere(state, elsewhere) ||
	       is_claimed_by_live_host(state);
}

static void fill_host_view(const struct claim_state *state,
			   struct owner_view *view)
{
	const struct partition_claimer *keeper = state->keeper;
	struct owner_candidate candidates[DISCOVERY_CANDIDATES_MAX];
	uint32_t count = discovery_candidates(keeper->discovery, candidates);
	int32_t first;

	view->best_cpu_milli = 0;
	for (uint32_t i = 0; i < count; i++)
		if (candidates[i].takes_calls &&
		    candidates[i].cpu_milli > view->best_cpu_milli)
			view->best_cpu_milli = candidates[i].cpu_milli;
	if (expects_batches(state))
		partition_owner_drop_weak(candidates, count);
	first = partition_owner_rank(candidates, count,
				     state->partition->number);
	view->is_first = first >= 0 && !strcmp(candidates[first].name,
					       own_host(keeper)->name);
}

static void fill_owner_view(const struct claim_state *state,
			    struct owner_view *view)
{
	const struct entry_host *own = own_host(state->keeper);

	memset(view, 0, sizeof(*view));
	view->is_ready = own->ready && !state->keeper->leaving;
	view->owner_is_self = owner_is_self(state);
	view->owner_is_alive =
		owner_is_alive(state, partitions_run_elsewhere(state->keeper));
	view->own_cpu_milli = own->cpu_milli;
	fill_host_view(state, view);
}

static void publish_partitions(struct partition_claimer *keeper)
{
	uint64_t bits = 0;

	for (uint32_t i = 0; i < keeper->set->count && i < HOST_PARTITIONS_MAX;
	     i++)
		if (batch_runner_has_partition(keeper->runner,
					       keeper->states[i].partition))
			bits |= UINT64_C(1) << i;
	discovery_set_partitions(keeper->discovery, bits);
}

static void log_event(const struct claim_state *state, const char *event,
		      const char *reason)
{
	const struct batch_table *table = &state->partition->table;
	struct record record;

	record_begin(&record, state->keeper->log, "partitions", event);
	record_int(&record, "partition", state->partition->number);
	record_text(&record, "owner", table->owner);
	record_int(&record, "claim", (int64_t)table->claim);
	record_int(&record, "claim_age_ms",
		   table->claim ? claim_age_ms(state) : -1);
	record_int(&record, "next", (int64_t)state->partition->follower.next);
	record_text(&record, "reason", reason);
	record_end(&record);
}

/* Starts or stops running the partition as the newest claim says. */
static void start_or_stop_running(struct claim_state *state)
{
	struct batch_runner *runner = state->keeper->runner;
	int runs = batch_runner_has_partition(runner, state->partition);
	int is_own = owner_is_self(state) && !state->keeper->leaving;

	if (is_own && !runs) {
		log_event(state, "taken", "claimed");
		batch_runner_add_partition(runner, state->partition);
	} else if (!is_own && runs) {
		log_event(state, "lost", "claimed_by_another");
		batch_runner_remove_partition(runner, state->partition, 0);
	}
	if (is_own != runs)
		publish_partitions(state->keeper);
}

static void on_claim_stored(struct batch_write *write,
			    enum topic_write_outcome outcome)
{
	struct claim_state *state = write->arg;

	(void)outcome; /* on_claimed() or the next check acts on it */
	batch_write_free(write);
	state->claim_write = NULL;
}

static void write_claim(struct claim_state *state, int release)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__PartitionClaim claim =
		CURRANT__TOPIC__PARTITION_CLAIM__INIT;
	const struct entry_host *own = own_host(state->keeper);

	if (state->claim_write)
		return;
	claim.host = (char *)own->name;
	claim.incarnation = own->incarnation;
	claim.release = release;
	claim.replaces = state->partition->table.claim;
	claim.claimed_ms = clock_wall_ms(&state->keeper->reactor->clock);
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_CLAIM;
	record.claim = &claim;
	state->claim_write =
		batch_write_new(state->partition, 0, on_claim_stored, state);
	batch_write_add(state->claim_write, &record);
	batch_write_start(state->claim_write);
}

static int has_started(const struct partition_claimer *keeper)
{
	return keeper->ready_ns &&
	       now_ns(keeper) - keeper->ready_ns >= START_NS;
}

/* Call only after the partition was read to its end. */
static void claim_if_needed(struct claim_state *state, int has_new_batch)
{
	struct owner_view view;

	if (!has_open_batch(&state->partition->table) &&
	    !(expects_batches(state) && has_started(state->keeper)))
		return;
	fill_owner_view(state, &view);
	view.has_new_batch = has_new_batch;
	if (!partition_owner_claims(&view) || state->claim_write)
		return;
	log_event(state, "claiming", has_new_batch ? "new_batch" : "no_owner");
	write_claim(state, 0);
}

static void on_refreshed(struct topic_refresh *refresh, int ok)
{
	struct claim_state *state = refresh->arg;

	state->refresh_pending = 0;
	if (ok)
		claim_if_needed(state, 0);
}

/*
 * Reads a partition that no live host runs, if this host ranks first for it. A
 * live owner that does not run it has lost it to a claim that was not read
 * here.
 */
static void refresh_if_unowned(struct claim_state *state, uint64_t elsewhere)
{
	struct owner_view view;

	if (state->refresh_pending || state->claim_write ||
	    batch_runner_has_partition(state->keeper->runner,
				       state->partition) ||
	    now_ns(state->keeper) - state->last_read_ns <
		    UNOWNED_READ_PERIOD_NS ||
	    is_run_elsewhere(state, elsewhere))
		return;
	fill_owner_view(state, &view);
	if (!view.is_ready || !view.is_first)
		return;
	state->last_read_ns = now_ns(state->keeper);
	state->refresh_pending = 1;
	topic_follower_refresh(&state->partition->follower, &state->refresh);
}

static void renew_if_due(struct claim_state *state)
{
	if (batch_runner_has_partition(state->keeper->runner,
				       state->partition) &&
	    claim_age_ms(state) > CLAIM_RENEW_MS)
		write_claim(state, 0);
}

static void on_check_timer(void *arg, int64_t at_ns)
{
	struct partition_claimer *keeper = arg;
	uint64_t elsewhere;

	(void)at_ns;
	if (keeper->leaving)
		return;
	if (!own_host(keeper)->ready)
		keeper->ready_ns = 0;
	else if (!keeper->ready_ns)
		keeper->ready_ns = now_ns(keeper);
	elsewhere = partitions_run_elsewhere(keeper);
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		renew_if_due(&keeper->states[i]);
		refresh_if_unowned(&keeper->states[i], elsewhere);
	}
}

static void on_update(void *arg, int64_t at_ns)
{
	struct partition_claimer *keeper = arg;

	(void)at_ns;
	keeper->update_pending = 0;
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		struct claim_state *state = &keeper->states[i];

		start_or_stop_running(state);
		if (state->has_new_batch)
			claim_if_needed(state, 1);
		state->has_new_batch = 0;
	}
}

/* Defers the update to the loop: the table is still applying records. */
static void schedule_update(struct partition_claimer *keeper)
{
	if (keeper->update_pending)
		return;
	keeper->update_pending = 1;
	timer_subscribe_once(&keeper->reactor->timers, &keeper->update_timer, 0,
			     on_update, keeper);
}

/* Whether this process, not an earlier incarnation, accepted the batch. */
static int is_own_batch(const struct partition_claimer *keeper,
			const struct batch *batch)
{
	const Currant__Topic__BatchAccepted *accepted =
		batch->message->accepted;

	return accepted->by_incarnation == own_host(keeper)->incarnation &&
	       !strcmp(accepted->by_host, own_host(keeper)->name);
}

static void on_accepted(struct batch_table_listener *listener,
			struct batch *batch)
{
	struct claim_state *state = (struct claim_state *)listener;

	if (!is_own_batch(state->keeper, batch))
		return;
	state->has_new_batch = 1;
	schedule_update(state->keeper);
}

static void on_claimed(struct batch_table_listener *listener)
{
	schedule_update(((struct claim_state *)listener)->keeper);
}

void partition_claimer_hosts_changed(struct partition_claimer *keeper)
{
	on_check_timer(keeper, 0);
}

void partition_claimer_init(struct partition_claimer *keeper,
			    struct reactor *reactor, struct batch_set *set,
			    struct batch_runner *runner,
			    struct discovery *discovery, struct record_log *log)
{
	memset(keeper, 0, sizeof(*keeper));
	keeper->reactor = reactor;
	keeper->set = set;
	keeper->runner = runner;
	keeper->discovery = discovery;
	keeper->log = log;
	keeper->states = xcalloc(set->count, sizeof(*keeper->states));
	for (uint32_t i = 0; i < set->count; i++) {
		struct claim_state *state = &keeper->states[i];

		state->keeper = keeper;
		state->partition = &set->partitions[i];
		state->refresh.done = on_refreshed;
		state->refresh.arg = state;
		state->listener.accepted = on_accepted;
		state->listener.claimed = on_claimed;
		batch_table_add_listener(&state->partition->table,
					 &state->listener);
	}
	timer_subscribe(&reactor->timers, &keeper->timer, CHECK_PERIOD_NS,
			on_check_timer, keeper);
}

void partition_claimer_finish(struct partition_claimer *keeper)
{
	timer_unsubscribe(&keeper->reactor->timers, &keeper->timer);
	timer_unsubscribe(&keeper->reactor->timers, &keeper->update_timer);
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		struct claim_state *state = &keeper->states[i];

		if (state->refresh_pending)
			topic_follower_cancel_refresh(
				&state->partition->follower, &state->refresh);
		batch_table_remove_listener(&state->partition->table,
					    &state->listener);
	}
	free(keeper->states);
}

void partition_claimer_release_all(struct partition_claimer *keeper)
{
	keeper->leaving = 1;
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		struct claim_state *state = &keeper->states[i];

		if (!batch_runner_has_partition(keeper->runner,
						state->partition))
			continue;
		log_event(state, "released", "leaving");
		batch_runner_remove_partition(keeper->runner, state->partition,
					      1);
		write_claim(state, 1);
	}
	publish_partitions(keeper);
}

int partition_claimer_is_idle(const struct partition_claimer *keeper)
{
	for (uint32_t i = 0; i < keeper->set->count; i++)
		if (!topic_writer_is_idle(&keeper->states[i].partition->writer))
			return 0;
	return 1;
}
