#include "duty/duty_lease.h"

#include <string.h>

#include "base/alloc.h"
#include "proto/topic.pb-c.h"
#include "store/malformed_entry.h"
#include "store/topic_message.h"

#define DUTY_TOPIC "keyed.duty"
#define DUTY_KEY "duties"
#define APPEND_TIMEOUT_NS (600 * NS_PER_MS)
#define READ_MAX_WAIT_NS (1200 * NS_PER_MS)
#define READ_TIMEOUT_NS (600 * NS_PER_MS)
#define READ_INTERVAL_NS (200 * NS_PER_MS)
#define TICK_NS (100 * NS_PER_MS)

static struct duty_lease *lease_from_follower(struct keyed_follower *follower)
{
	return (struct duty_lease *)follower;
}

static void log_event(struct duty_lease *lease, const char *event,
		      const char *reason)
{
	struct record record;

	record_begin_essential(&record, lease->log, "duty", event);
	record_text(&record, "holder", lease->view.holder);
	record_int(&record, "fence", (int64_t)lease->fence);
	record_ms(&record, "claim_age_ms",
		  clock_now_ns(lease->clock) - lease->view.read_ns);
	record_text(&record, "reason", reason);
	record_end(&record);
}

static int claimed_by_this_process(const struct duty_lease *lease)
{
	return !strcmp(lease->view.holder, lease->name) &&
	       lease->holder_incarnation == lease->incarnation;
}

static void set_holder(struct duty_lease *lease, int is_holder,
		       const char *reason)
{
	struct duty_lease_listener *l;

	if (lease->is_holder == is_holder)
		return;
	lease->is_holder = is_holder;
	log_event(lease, is_holder ? "gained" : "lost", reason);
	for (l = lease->listeners; l; l = l->next) {
		if (is_holder)
			l->gained(l, lease->fence);
		else
			l->lost(l);
	}
}

static void on_expiry(void *arg, int64_t now_ns)
{
	struct duty_lease *lease = arg;

	(void)now_ns;
	if (lease->is_holder && !duty_lease_holds(lease))
		set_holder(lease, 0, "time_over");
}

/*
 * Called when a claim of this process was read from the log or acknowledged.
 * The term starts before that claim was sent, not a later one, since another
 * host may have read the claim at once.
 */
static void apply_own_claim(struct duty_lease *lease, uint64_t sequence)
{
	int64_t until_ns = duty_term_held_until(
		&lease->term, lease->sent_ns[sequence % DUTY_LEASE_SEND_TIMES]);

	if (lease->releasing ||
	    lease->sequence - sequence >= DUTY_LEASE_SEND_TIMES)
		return;
	if (until_ns > lease->held_until_ns)
		lease->held_until_ns = until_ns;
	if (!duty_lease_holds(lease))
		return;
	timer_subscribe_once(lease->timers, &lease->expiry,
			     lease->held_until_ns - clock_now_ns(lease->clock),
			     on_expiry, lease);
	set_holder(lease, 1, "claimed");
}

/* Replaces the former holders that must not hold the lease again yet. */
static void apply_rests(struct duty_lease *lease,
			const Currant__Topic__DutyClaim *claim)
{
	duty_rests_clear(&lease->view.rests);
	for (size_t i = 0; i < claim->n_rests; i++)
		duty_rests_add(&lease->view.rests, claim->rests[i]->host,
			       lease->view.read_ns +
				       claim->rests[i]->left_ms * NS_PER_MS,
			       lease->view.read_ns);
}

static void apply_claim(struct duty_lease *lease,
			const Currant__Topic__DutyClaim *claim)
{
	copy_text(lease->view.holder, sizeof(lease->view.holder),
		  claim->holder);
	lease->holder_incarnation = claim->incarnation;
	lease->fence = claim->fence;
	lease->view.duration_ns = claim->duration_ms * NS_PER_MS;
	lease->view.read_ns = clock_now_ns(lease->clock);
	if (claimed_by_this_process(lease)) {
		apply_own_claim(lease, claim->sequence);
		return;
	}
	lease->held_until_ns = 0;
	set_holder(lease, 0, "claimed_by_another");
}

static void report_malformed(struct duty_lease *lease, const char *key,
			     uint64_t offset)
{
	const struct malformed_entry entry = {
		.part = "duty",
		.name = "key",
		.key = key,
		.offset = offset,
	};

	malformed_entry_report(&entry, lease->log, lease->malformed);
}

static void on_put(struct keyed_follower *follower, const char *key,
		   const void *value, size_t len, uint64_t offset)
{
	struct duty_lease *lease = lease_from_follower(follower);
	Currant__Topic__DutyClaim *claim =
		currant__topic__duty_claim__unpack(NULL, len, value);

	if (!claim || strcmp(key, DUTY_KEY) ||
	    strlen(claim->holder) >= sizeof(lease->view.holder)) {
		report_malformed(lease, key, offset);
		if (claim)
			currant__topic__duty_claim__free_unpacked(claim, NULL);
		return;
	}
	apply_claim(lease, claim);
	apply_rests(lease, claim);
	currant__topic__duty_claim__free_unpacked(claim, NULL);
}

/* Claims are replaced, never deleted; the last one read stays in force. */
static void on_drop(struct keyed_follower *follower, const char *key,
		    uint64_t offset)
{
	report_malformed(lease_from_follower(follower), key, offset);
}

static const struct keyed_follower_vtable follower_vtable = {
	.put = on_put,
	.drop = on_drop,
};

int duty_lease_holds(struct duty_lease *lease)
{
	return lease->held_until_ns &&
	       clock_now_ns(lease->clock) < lease->held_until_ns;
}

static void fill_claim(struct duty_lease *lease,
		       Currant__Topic__DutyClaim *claim, uint64_t fence,
		       int release)
{
	currant__topic__duty_claim__init(claim);
	claim->holder = release ? "" : lease->name;
	claim->incarnation = lease->incarnation;
	claim->fence = fence;
	claim->duration_ms = (uint32_t)(lease->term.duration_ns / NS_PER_MS);
	claim->sequence = lease->sequence;
}

/* Former holders that must not hold the lease again yet, for a claim. */
struct claim_rests {
	Currant__Topic__DutyRest rests[DUTY_RESTS_MAX];
	Currant__Topic__DutyRest *list[DUTY_RESTS_MAX];
};

static void fill_rests(struct duty_lease *lease, struct claim_rests *out,
		       Currant__Topic__DutyClaim *claim)
{
	int64_t now_ns = clock_now_ns(lease->clock);

	for (uint32_t i = 0; i < lease->view.rests.count; i++) {
		const struct duty_rest *rest = &lease->view.rests.list[i];

		currant__topic__duty_rest__init(&out->rests[i]);
		out->rests[i].host = (char *)rest->host;
		if (rest->until_ns > now_ns)
			out->rests[i].left_ms =
				(uint32_t)((rest->until_ns - now_ns) /
						   NS_PER_MS +
					   1);
		out->list[i] = &out->rests[i];
	}
	claim->rests = out->list;
	claim->n_rests = lease->view.rests.count;
}

static void on_appended(struct topic_append *append)
{
	struct duty_lease *lease = append->arg;
	Currant__Topic__DutyClaim claim;

	lease->in_flight = 0;
	if (append->outcome == TOPIC_CONFLICT)
		counter_add(lease->conflicts, 1);
	if (append->outcome != TOPIC_OK || lease->releasing)
		return;
	/* The follower will read the same claim later. */
	fill_claim(lease, &claim, lease->sent_fence, 0);
	apply_claim(lease, &claim);
}

/* Appends a claim or a release, on condition that all records were read. */
static void send_claim(struct duty_lease *lease, uint64_t fence, int release)
{
	Currant__Topic__DutyClaim claim;
	struct claim_rests rests;

	if (release)
		duty_view_add_own_rest(&lease->view, &lease->term, lease->name,
				       clock_now_ns(lease->clock));
	else
		duty_view_add_holder_rest(&lease->view, &lease->term,
					  lease->name,
					  clock_now_ns(lease->clock));
	lease->sequence++;
	lease->sent_ns[lease->sequence % DUTY_LEASE_SEND_TIMES] =
		clock_now_ns(lease->clock);
	fill_claim(lease, &claim, fence, release);
	fill_rests(lease, &rests, &claim);
	strbuf_reset(&lease->records);
	topic_add_keyed_message(&lease->records, DUTY_KEY, &claim.base);
	lease->append.records = lease->records.buf;
	lease->append.records_len = lease->records.len;
	lease->append.expected_end = (int64_t)lease->follower.next;
	lease->in_flight = 1;
	lease->sent_fence = fence;
	counter_add(lease->claims, 1);
	lease->follower.log->vt->append(lease->follower.log, &lease->append);
}

static void renew_if_due(struct duty_lease *lease, int64_t now_ns)
{
	int64_t sent_ns =
		lease->sent_ns[lease->sequence % DUTY_LEASE_SEND_TIMES];

	if (now_ns - sent_ns >= lease->term.renew_ns)
		send_claim(lease, lease->fence, 0);
}

static int may_claim(const struct duty_lease *lease, int64_t now_ns)
{
	/* No other host claimed the lease after this host's term expired. */
	if (claimed_by_this_process(lease))
		return 1;
	return now_ns >= duty_view_claim_at(&lease->view, lease->name) +
				 lease->extra_wait_ns;
}

static void on_tick(void *arg, int64_t now_ns)
{
	struct duty_lease *lease = arg;

	/* After the process was suspended this timer may fire before expiry. */
	on_expiry(lease, now_ns);
	if (lease->in_flight || lease->releasing || !lease->follower.is_listed)
		return;
	if (lease->is_holder) {
		renew_if_due(lease, now_ns);
		return;
	}
	if (!lease->eligible || !may_claim(lease, now_ns))
		return;
	log_event(lease, "claiming",
		  lease->view.holder[0] ? "holder_silent" : "free");
	/* The claim is stored at this offset or rejected. */
	send_claim(lease, lease->follower.next, 0);
}

void duty_lease_init(struct duty_lease *lease, struct topic_log *log,
		     struct timer_service *timers, const char *name,
		     uint64_t incarnation, uint32_t lease_ms,
		     struct record_log *records, struct counter_set *counters)
{
	struct keyed_follower_settings settings = {
		.topic = DUTY_TOPIC,
		.pause_ns = READ_INTERVAL_NS,
		.watch_ns = READ_MAX_WAIT_NS,
		.timeout_ns = READ_TIMEOUT_NS,
	};

	memset(lease, 0, sizeof(*lease));
	keyed_follower_init(&lease->follower, &follower_vtable, log, timers,
			    &settings, counters);
	lease->timers = timers;
	lease->clock = timers->clock;
	lease->log = records;
	duty_term_init(&lease->term, lease_ms);
	copy_text(lease->name, sizeof(lease->name), name);
	lease->incarnation = incarnation;
	strbuf_init(&lease->records);
	copy_text(lease->append.topic, sizeof(lease->append.topic), DUTY_TOPIC);
	lease->append.timeout_ns = APPEND_TIMEOUT_NS;
	lease->append.done = on_appended;
	lease->append.arg = lease;
	lease->claims = counter_get(counters, "duty_claims_total");
	lease->conflicts = counter_get(counters, "duty_claim_conflicts_total");
	lease->malformed =
		counter_get(counters, "duty_entries_malformed_total");
}

void duty_lease_finish(struct duty_lease *lease)
{
	timer_unsubscribe(lease->timers, &lease->timer);
	timer_unsubscribe(lease->timers, &lease->expiry);
	if (lease->in_flight)
		lease->follower.log->vt->cancel(lease->follower.log,
						lease->append.call);
	keyed_follower_finish(&lease->follower);
	strbuf_finish(&lease->records);
}

void duty_lease_start(struct duty_lease *lease)
{
	lease->view.read_ns = clock_now_ns(lease->clock);
	keyed_follower_start(&lease->follower);
	timer_subscribe(lease->timers, &lease->timer, TICK_NS, on_tick, lease);
}

void duty_lease_add_listener(struct duty_lease *lease,
			     struct duty_lease_listener *listener)
{
	listener->next = lease->listeners;
	lease->listeners = listener;
}

void duty_lease_set_eligible(struct duty_lease *lease, int eligible,
			     int64_t extra_wait_ns)
{
	lease->eligible = eligible;
	lease->extra_wait_ns = extra_wait_ns;
}

void duty_lease_release(struct duty_lease *lease)
{
	int was_holder = lease->is_holder;

	lease->eligible = 0;
	lease->releasing = 1;
	lease->held_until_ns = 0;
	set_holder(lease, 0, "released");
	if (was_holder && !lease->in_flight)
		send_claim(lease, lease->fence, 1);
}
