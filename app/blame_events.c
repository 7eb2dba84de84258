#include "app/blame_events.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/daemon.h"
#include "app/suspect_place.h"
#include "base/alloc.h"

/* When a verdict that the log does not hold is handed to it again. */
#define VERDICT_UNLOGGED_NS (2 * NS_PER_S)
#define VERDICT_TURN_NS (1 * NS_PER_S)
#define LOST_RUN_KEEP_NS (5 * NS_PER_S)
#define LOSS_FINGERPRINTS_MAX 1024

static const struct problem problem_quarantined = {
	.status = 422,
	.type = "quarantined",
	.detail = "the request crashed backend servers that ran it",
	.run = RUN_NOT_RUN,
};

static void on_hint(struct blame_listener *listener,
		    Currant__QuarantineHint *hint)
{
	struct daemon *daemon = ((struct blame_events *)listener)->daemon;
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;

	message.body_case = CURRANT__PEER_MESSAGE__BODY_QUARANTINE_HINT;
	message.quarantine_hint = hint;
	peer_service_broadcast(&daemon->peers, &message);
}

static void on_quarantine(struct blame_listener *listener, uint64_t fingerprint,
			  int64_t for_ns)
{
	struct blame_events *events = (struct blame_events *)listener;

	(void)for_ns;
	timeline_add(&events->daemon->timeline, "blame",
		     "request %016llx is refused from now on",
		     (unsigned long long)fingerprint);
	if (events->pending_count < VERDICTS_PENDING_MAX)
		events->pending[events->pending_count++] = fingerprint;
}

static void submit_verdict(struct daemon *daemon, uint64_t fingerprint)
{
	Currant__Record record = CURRANT__RECORD__INIT;
	Currant__Quarantine body = CURRANT__QUARANTINE__INIT;

	body.fingerprint = fingerprint;
	body.until_wall_ms =
		(uint64_t)(wall_now_ms() + BLAME_QUARANTINE_NS / NS_PER_MS);
	record.body_case = CURRANT__RECORD__BODY_QUARANTINE;
	record.quarantine = &body;
	log_client_submit(&daemon->log_client, &record, LOG_SUBMIT_URGENT,
			  NULL);
}

/*
 * Unlocks, and hands new verdicts to the log. The log calls back with its lock
 * held, so that the lock of this part must not be.
 */
static void unlock_and_submit(struct blame_events *events)
{
	uint64_t pending[VERDICTS_PENDING_MAX];
	uint32_t count = events->pending_count;

	memcpy(pending, events->pending, count * sizeof(pending[0]));
	events->pending_count = 0;
	pthread_mutex_unlock(&events->lock);
	for (uint32_t i = 0; i < count; i++)
		submit_verdict(events->daemon, pending[i]);
}

static const struct blame_listener_vtable listener_vtable = {
	.on_hint = on_hint,
	.on_quarantine = on_quarantine,
};

void blame_events_init(struct blame_events *events, struct daemon *daemon)
{
	memset(events, 0, sizeof(*events));
	events->base.vt = &listener_vtable;
	events->daemon = daemon;
	pthread_mutex_init(&events->lock, NULL);
	blame_init(&events->blame, &events->base);
	run_table_init(&events->runs);
	quarantine_table_init(&events->logged);
	events->losses =
		counter_get(&daemon->counters, "backend_servers_lost_total");
	events->refused =
		counter_get(&daemon->counters, "requests_quarantined_total");
}

void blame_events_finish(struct blame_events *events)
{
	quarantine_table_finish(&events->logged);
	run_table_finish(&events->runs);
	blame_finish(&events->blame);
	pthread_mutex_destroy(&events->lock);
}

static int is_logged(const struct blame_events *events, uint64_t fingerprint)
{
	return quarantine_table_holds(&events->logged, fingerprint,
				      (uint64_t)wall_now_ms());
}

/*
 * The samples of a group share one prompt. Until one of them has ended well
 * they stay on one server, so that a prompt that crashes servers does not
 * reach many at once.
 */
static enum job_rule rule_for_clean(const struct blame_events *events,
				    uint64_t fingerprint,
				    char server[NAME_BYTES])
{
	const struct backend_run *run;

	/* Where it was lost may be gone: that is known in a moment. */
	if (run_table_has_lost(&events->runs, fingerprint))
		return JOB_RULE_WAIT;
	if (run_table_is_proven(&events->runs, fingerprint))
		return JOB_RULE_ANY;
	run = run_table_find(&events->runs, fingerprint);
	if (!run)
		return JOB_RULE_ANY;
	copy_text(server, NAME_BYTES, run->server);
	return JOB_RULE_BESIDE;
}

enum job_rule blame_events_rule(struct blame_events *events, const char *pool,
				uint64_t fingerprint, char server[NAME_BYTES],
				struct problem *why)
{
	int64_t now_ns = clock_now_ns(&events->daemon->clock);
	enum job_rule rule = JOB_RULE_WAIT;

	pthread_mutex_lock(&events->lock);
	switch (blame_judge(&events->blame, fingerprint, now_ns)) {
	case BLAME_CLEAN:
		rule = rule_for_clean(events, fingerprint, server);
		break;
	case BLAME_SUSPECT:
		rule = suspect_place_find(events->daemon, &events->blame,
					  &events->runs, pool, fingerprint,
					  server);
		break;
	case BLAME_HELD:
		break;
	case BLAME_QUARANTINED:
		if (blame_verdict_age_ns(&events->blame, fingerprint, now_ns) >=
		    VERDICT_LOG_NS)
			rule = JOB_RULE_REFUSE;
		break;
	}
	if (is_logged(events, fingerprint))
		rule = JOB_RULE_REFUSE;
	unlock_and_submit(events);
	if (rule == JOB_RULE_REFUSE) {
		*why = problem_quarantined;
		counter_add(events->refused, 1);
	}
	return rule;
}

uint32_t blame_events_begin(struct blame_events *events, const char *server,
			    uint64_t fingerprint, int alone)
{
	uint32_t slot;

	pthread_mutex_lock(&events->lock);
	slot = run_table_begin(&events->runs, fingerprint, server, alone);
	pthread_mutex_unlock(&events->lock);
	return slot;
}

void blame_events_end(struct blame_events *events, uint32_t slot,
		      uint64_t fingerprint, int well)
{
	pthread_mutex_lock(&events->lock);
	run_table_end(&events->runs, slot, well);
	if (well)
		blame_on_success(&events->blame, fingerprint,
				 clock_now_ns(&events->daemon->clock));
	pthread_mutex_unlock(&events->lock);
}

void blame_events_lose(struct blame_events *events, uint32_t slot)
{
	pthread_mutex_lock(&events->lock);
	run_table_lose(&events->runs, slot,
		       clock_now_ns(&events->daemon->clock));
	pthread_mutex_unlock(&events->lock);
}

/* Servers of the same class in the data centre of the lost one. */
struct class_count {
	const char *server;
	char data_centre[NAME_BYTES];
	int cheap;
	int found;
	uint32_t count;
};

static void find_class(void *arg, const struct server_pool *pool,
		       const struct server *server,
		       const struct server_view *view)
{
	struct class_count *sum = arg;

	(void)pool;
	if (strcmp(server->name, sum->server))
		return;
	copy_text(sum->data_centre, NAME_BYTES, view->data_centre);
	sum->cheap = view->cheap;
	sum->found = 1;
}

static void count_class(void *arg, const struct server_pool *pool,
			const struct server *server,
			const struct server_view *view)
{
	struct class_count *sum = arg;

	(void)pool;
	(void)server;
	if (view->cheap == sum->cheap &&
	    !strcmp(view->data_centre, sum->data_centre))
		sum->count++;
}

void blame_events_on_server_lost(struct blame_events *events, const char *pool,
				 const char *server, int is_news)
{
	struct daemon *daemon = events->daemon;
	struct class_count class_ = { .server = server };
	uint64_t running[LOSS_FINGERPRINTS_MAX];
	struct blame_loss loss = { .server = server, .running = running };

	server_table_each_in_pool(&daemon->servers, pool, find_class, &class_);
	if (!class_.found)
		return;
	server_table_each_in_pool(&daemon->servers, pool, count_class, &class_);
	loss.data_centre = class_.data_centre;
	loss.servers_there = class_.count;
	counter_add(events->losses, is_news);
	pthread_mutex_lock(&events->lock);
	loss.running_count = run_table_take_lost(&events->runs, server, running,
						 LOSS_FINGERPRINTS_MAX);
	blame_on_loss(&events->blame, &loss, clock_now_ns(&daemon->clock));
	unlock_and_submit(events);
	if (is_news || loss.running_count)
		timeline_add(&daemon->timeline, "backend",
			     "%s is gone, %u ran there", server,
			     loss.running_count);
}

void blame_events_on_server_alive(struct blame_events *events,
				  const char *server)
{
	pthread_mutex_lock(&events->lock);
	run_table_clear_lost(&events->runs, server);
	pthread_mutex_unlock(&events->lock);
}

void blame_events_on_hint(struct blame_events *events,
			  const Currant__QuarantineHint *hint)
{
	struct daemon *daemon = events->daemon;
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	int news;

	pthread_mutex_lock(&events->lock);
	news = blame_on_hint(&events->blame, hint,
			     clock_now_ns(&daemon->clock));
	pthread_mutex_unlock(&events->lock);
	if (!news)
		return;
	message.body_case = CURRANT__PEER_MESSAGE__BODY_QUARANTINE_HINT;
	message.quarantine_hint = (Currant__QuarantineHint *)hint;
	peer_service_broadcast(&daemon->peers, &message);
}

void blame_events_on_logged(struct blame_events *events, uint64_t fingerprint,
			    uint64_t until_wall_ms)
{
	pthread_mutex_lock(&events->lock);
	quarantine_table_set(&events->logged, fingerprint, until_wall_ms);
	pthread_mutex_unlock(&events->lock);
}

/* A listener that tells one peer. */
struct peer_teller {
	struct blame_listener base;
	struct daemon *daemon;
	const char *peer;
};

static void tell_hint(struct blame_listener *listener,
		      Currant__QuarantineHint *hint)
{
	struct peer_teller *teller = (struct peer_teller *)listener;
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;

	message.body_case = CURRANT__PEER_MESSAGE__BODY_QUARANTINE_HINT;
	message.quarantine_hint = hint;
	peer_service_send(&teller->daemon->peers, teller->peer, &message, NULL);
}

static const struct blame_listener_vtable teller_vtable = {
	.on_hint = tell_hint,
};

void blame_events_tell(struct blame_events *events, const char *peer)
{
	struct peer_teller teller = {
		.base = { &teller_vtable },
		.daemon = events->daemon,
		.peer = peer,
	};

	pthread_mutex_lock(&events->lock);
	blame_send_all_hints(&events->blame, &teller.base,
			     clock_now_ns(&events->daemon->clock));
	pthread_mutex_unlock(&events->lock);
}

/* Copies verdicts of this age that the log does not hold. */
static uint32_t find_unlogged(struct blame_events *events, int64_t now_ns,
			      uint64_t found[VERDICTS_PENDING_MAX],
			      int64_t age_ns[VERDICTS_PENDING_MAX])
{
	const struct blame *blame = &events->blame;
	uint32_t count = 0;

	for (uint32_t i = 0; i < blame->count && count < VERDICTS_PENDING_MAX;
	     i++) {
		const struct blame_entry *entry = &blame->entries[i];
		int64_t age = blame_entry_verdict_age_ns(entry, now_ns);

		if (age < VERDICT_UNLOGGED_NS ||
		    is_logged(events, entry->fingerprint))
			continue;
		found[count] = entry->fingerprint;
		age_ns[count++] = age;
	}
	return count;
}

/* One daemon after the other may log a verdict, by rank, until one did. */
static int is_turn(struct daemon *daemon, uint64_t fingerprint, int64_t age_ns)
{
	char work[32];
	int64_t rank;

	snprintf(work, sizeof(work), "verdict %016" PRIx64, fingerprint);
	rank = peer_events_rank(&daemon->peer_events, work);
	return age_ns >= VERDICT_UNLOGGED_NS + rank * VERDICT_TURN_NS;
}

static void log_unlogged(struct blame_events *events, int64_t now_ns)
{
	uint64_t found[VERDICTS_PENDING_MAX];
	int64_t age_ns[VERDICTS_PENDING_MAX];
	uint32_t count;

	if (now_ns < events->unlogged_due_ns)
		return;
	events->unlogged_due_ns = now_ns + VERDICT_TURN_NS;
	pthread_mutex_lock(&events->lock);
	count = find_unlogged(events, now_ns, found, age_ns);
	pthread_mutex_unlock(&events->lock);
	for (uint32_t i = 0; i < count; i++)
		if (is_turn(events->daemon, found[i], age_ns[i]))
			submit_verdict(events->daemon, found[i]);
}

void blame_events_tick(struct blame_events *events, int64_t now_ns)
{
	pthread_mutex_lock(&events->lock);
	blame_tick(&events->blame, now_ns);
	run_table_expire(&events->runs, now_ns - LOST_RUN_KEEP_NS);
	unlock_and_submit(events);
	log_unlogged(events, now_ns);
}
