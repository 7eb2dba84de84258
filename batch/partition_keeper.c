#include "batch/partition_keeper.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "policy/partition_owner.h"

#define CHECK_PERIOD_NS (500 * NS_PER_MS)
/* How often a partition without an owner is read for open batches. */
#define READ_PERIOD_NS (1 * NS_PER_S)
/*
 * A claim that is younger than this shows that its host lives, whatever the
 * notices say that this daemon has read so far.
 */
#define CLAIM_SHOWS_LIFE_MS 2500
/* An owner claims again, so that the log never forgets whose it is. */
#define RENEW_MS 60000

static const struct entry_host *own_host(const struct partition_keeper *keeper)
{
	return &keeper->discovery->own;
}

static int64_t now_ns(const struct partition_keeper *keeper)
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

static int owner_is_self(const struct kept_partition *kept)
{
	const struct batch_table *table = &kept->partition->table;
	const struct entry_host *own = own_host(kept->keeper);

	return !strcmp(table->owner, own->name) &&
	       table->owner_incarnation == own->incarnation;
}

/*
 * By the writer's clock, or by when it was read if that is later: a clock
 * that is ahead must not make a dead owner live on.
 */
static int64_t claim_age_ms(const struct kept_partition *kept)
{
	const struct batch_table *table = &kept->partition->table;
	struct reactor *reactor = kept->keeper->reactor;
	int64_t age_ms = clock_wall_ms(&reactor->clock) - table->claimed_ms;
	int64_t known_ms =
		(reactor_now_ns(reactor) - table->claim_read_ns) / NS_PER_MS;

	return age_ms > known_ms ? age_ms : known_ms;
}

static int is_other_and_alive(const struct partition_keeper *keeper,
			      const struct entry_host *host)
{
	return strcmp(host->name, own_host(keeper)->name) && !host->leaving &&
	       discovery_is_alive(keeper->discovery, host);
}

/* Bits of the partitions that other hosts say they run. */
static uint64_t run_elsewhere(const struct partition_keeper *keeper)
{
	uint64_t bits = 0;

	for (const struct entry_host *h = keeper->discovery->hosts.first; h;
	     h = h->next)
		if (h->partitions && is_other_and_alive(keeper, h))
			bits |= h->partitions;
	return bits;
}

/* By the log as far as it was read, or by the notices of hosts. */
static int owner_is_alive(const struct kept_partition *kept, uint64_t elsewhere)
{
	const struct partition_keeper *keeper = kept->keeper;
	const struct batch_table *table = &kept->partition->table;
	const struct entry_host *owner;

	if (table->owner[0] && strcmp(table->owner, own_host(keeper)->name) &&
	    claim_age_ms(kept) < CLAIM_SHOWS_LIFE_MS)
		return 1;
	if (kept->partition->number < HOST_PARTITIONS_MAX &&
	    elsewhere >> kept->partition->number & 1)
		return 1;
	owner = host_table_find(&keeper->discovery->hosts, table->owner);
	return owner && owner->incarnation == table->owner_incarnation &&
	       is_other_and_alive(keeper, owner);
}

static void view_hosts(const struct kept_partition *kept,
		       struct owner_view *view)
{
	const struct partition_keeper *keeper = kept->keeper;
	struct owner_candidate candidates[DISCOVERY_CANDIDATES_MAX];
	uint32_t count = discovery_candidates(keeper->discovery, candidates);
	int32_t first;

	view->best_cpu_milli = 0;
	for (uint32_t i = 0; i < count; i++)
		if (candidates[i].takes_calls &&
		    candidates[i].cpu_milli > view->best_cpu_milli)
			view->best_cpu_milli = candidates[i].cpu_milli;
	first = partition_owner_rank(candidates, count,
				     kept->partition->number);
	view->is_first = first >= 0 && !strcmp(candidates[first].name,
					       own_host(keeper)->name);
}

static void view_owner(const struct kept_partition *kept,
		       struct owner_view *view)
{
	const struct entry_host *own = own_host(kept->keeper);

	memset(view, 0, sizeof(*view));
	view->is_ready = own->ready && !kept->keeper->leaving;
	view->owner_is_self = owner_is_self(kept);
	view->owner_is_alive =
		owner_is_alive(kept, run_elsewhere(kept->keeper));
	view->own_cpu_milli = own->cpu_milli;
	view_hosts(kept, view);
}

static void update_notice(struct partition_keeper *keeper)
{
	uint64_t bits = 0;

	for (uint32_t i = 0; i < keeper->set->count && i < HOST_PARTITIONS_MAX;
	     i++)
		if (batch_runner_has(keeper->runner, keeper->kept[i].partition))
			bits |= UINT64_C(1) << i;
	discovery_set_partitions(keeper->discovery, bits);
}

static void report(const struct kept_partition *kept, const char *event,
		   const char *reason)
{
	const struct batch_table *table = &kept->partition->table;
	struct record record;

	record_begin(&record, kept->keeper->log, "partitions", event);
	record_int(&record, "partition", kept->partition->number);
	record_text(&record, "owner", table->owner);
	record_int(&record, "claim", (int64_t)table->claim);
	record_int(&record, "claim_age_ms",
		   table->claim ? claim_age_ms(kept) : -1);
	record_int(&record, "next", (int64_t)kept->partition->follower.next);
	record_text(&record, "reason", reason);
	record_end(&record);
}

/* What the log says of the owner decides. */
static void follow_claim(struct kept_partition *kept)
{
	struct batch_runner *runner = kept->keeper->runner;
	int runs = batch_runner_has(runner, kept->partition);
	int is_own = owner_is_self(kept) && !kept->keeper->leaving;

	if (is_own && !runs) {
		report(kept, "taken", "claimed");
		batch_runner_take(runner, kept->partition);
	} else if (!is_own && runs) {
		report(kept, "lost", "claimed_by_another");
		batch_runner_leave(runner, kept->partition, 0);
	}
	if (is_own != runs)
		update_notice(kept->keeper);
}

static void on_claim_stored(struct batch_write *write,
			    enum topic_write_outcome outcome)
{
	struct kept_partition *kept = write->arg;

	(void)outcome; /* a check follows */
	batch_write_free(write);
	kept->claim = NULL;
}

static void write_claim(struct kept_partition *kept, int release)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__PartitionClaim claim =
		CURRANT__TOPIC__PARTITION_CLAIM__INIT;
	const struct entry_host *own = own_host(kept->keeper);

	if (kept->claim)
		return;
	claim.host = (char *)own->name;
	claim.incarnation = own->incarnation;
	claim.release = release;
	claim.replaces = kept->partition->table.claim;
	claim.claimed_ms = clock_wall_ms(&kept->keeper->reactor->clock);
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_CLAIM;
	record.claim = &claim;
	kept->claim =
		batch_write_new(kept->partition, 0, on_claim_stored, kept);
	batch_write_add(kept->claim, &record);
	batch_write_start(kept->claim);
}

/* The partition has been read to its end. */
static void decide(struct kept_partition *kept, int has_new_batch)
{
	struct owner_view view;

	if (!has_open_batch(&kept->partition->table))
		return;
	view_owner(kept, &view);
	view.has_new_batch = has_new_batch;
	if (!partition_owner_claims(&view) || kept->claim)
		return;
	report(kept, "claiming", has_new_batch ? "new_batch" : "no_owner");
	write_claim(kept, 0);
}

static void on_refreshed(struct topic_refresh *refresh, int ok)
{
	struct kept_partition *kept = refresh->arg;

	kept->refreshing = 0;
	if (ok)
		decide(kept, 0);
}

/* Reads a partition that nobody runs, if this host is the first to do so. */
static void check(struct kept_partition *kept, uint64_t elsewhere)
{
	struct owner_view view;

	if (kept->refreshing || kept->claim ||
	    batch_runner_has(kept->keeper->runner, kept->partition) ||
	    now_ns(kept->keeper) - kept->checked_ns < READ_PERIOD_NS ||
	    owner_is_alive(kept, elsewhere))
		return;
	view_owner(kept, &view);
	if (!view.is_ready || view.owner_is_alive || !view.is_first)
		return;
	kept->checked_ns = now_ns(kept->keeper);
	kept->refreshing = 1;
	topic_follower_refresh(&kept->partition->follower, &kept->refresh);
}

static void renew_if_due(struct kept_partition *kept)
{
	if (batch_runner_has(kept->keeper->runner, kept->partition) &&
	    claim_age_ms(kept) > RENEW_MS)
		write_claim(kept, 0);
}

static void on_timer(void *arg, int64_t at_ns)
{
	struct partition_keeper *keeper = arg;
	uint64_t elsewhere;

	(void)at_ns;
	if (keeper->leaving)
		return;
	elsewhere = run_elsewhere(keeper);
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		renew_if_due(&keeper->kept[i]);
		check(&keeper->kept[i], elsewhere);
	}
}

static void on_soon(void *arg, int64_t at_ns)
{
	struct partition_keeper *keeper = arg;

	(void)at_ns;
	keeper->soon_pending = 0;
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		struct kept_partition *kept = &keeper->kept[i];

		follow_claim(kept);
		if (kept->has_new_batch)
			decide(kept, 1);
		kept->has_new_batch = 0;
	}
}

/* Not from here: the table is in the middle of its records. */
static void look_soon(struct partition_keeper *keeper)
{
	if (keeper->soon_pending)
		return;
	keeper->soon_pending = 1;
	timer_subscribe_once(&keeper->reactor->timers, &keeper->soon, 0,
			     on_soon, keeper);
}

/* Whether this very process took the submission. */
static int is_own_batch(const struct partition_keeper *keeper,
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
	struct kept_partition *kept = (struct kept_partition *)listener;

	if (!is_own_batch(kept->keeper, batch))
		return;
	kept->has_new_batch = 1;
	look_soon(kept->keeper);
}

static void on_claimed(struct batch_table_listener *listener)
{
	look_soon(((struct kept_partition *)listener)->keeper);
}

void partition_keeper_hosts_changed(struct partition_keeper *keeper)
{
	on_timer(keeper, 0);
}

void partition_keeper_init(struct partition_keeper *keeper,
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
	keeper->kept = xcalloc(set->count, sizeof(*keeper->kept));
	for (uint32_t i = 0; i < set->count; i++) {
		struct kept_partition *kept = &keeper->kept[i];

		kept->keeper = keeper;
		kept->partition = &set->partitions[i];
		kept->refresh.done = on_refreshed;
		kept->refresh.arg = kept;
		kept->listener.accepted = on_accepted;
		kept->listener.claimed = on_claimed;
		batch_table_add_listener(&kept->partition->table,
					 &kept->listener);
	}
	timer_subscribe(&reactor->timers, &keeper->timer, CHECK_PERIOD_NS,
			on_timer, keeper);
}

void partition_keeper_finish(struct partition_keeper *keeper)
{
	timer_unsubscribe(&keeper->reactor->timers, &keeper->timer);
	timer_unsubscribe(&keeper->reactor->timers, &keeper->soon);
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		struct kept_partition *kept = &keeper->kept[i];

		if (kept->refreshing)
			topic_follower_drop_refresh(&kept->partition->follower,
						    &kept->refresh);
		batch_table_remove_listener(&kept->partition->table,
					    &kept->listener);
	}
	free(keeper->kept);
}

void partition_keeper_leave(struct partition_keeper *keeper)
{
	keeper->leaving = 1;
	for (uint32_t i = 0; i < keeper->set->count; i++) {
		struct kept_partition *kept = &keeper->kept[i];

		if (!batch_runner_has(keeper->runner, kept->partition))
			continue;
		report(kept, "released", "leaving");
		batch_runner_leave(keeper->runner, kept->partition, 1);
		write_claim(kept, 1);
	}
	update_notice(keeper);
}

int partition_keeper_is_quiet(const struct partition_keeper *keeper)
{
	for (uint32_t i = 0; i < keeper->set->count; i++)
		if (!topic_writer_is_idle(&keeper->kept[i].partition->writer))
			return 0;
	return 1;
}
