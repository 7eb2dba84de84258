#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/scenario.h"
#include "bench/world.h"

#include "base/alloc.h"
#include "base/clock.h"

/* How a daemon puts the decision modules together, without its sockets. */

#define QUEUE_MAX 4096
#define RETRY_PER_MILLE 200
#define RETRY_RESERVE 40
#define HEDGE_PER_MILLE 50
#define HEDGE_RESERVE 10
#define MAX_TRIES 4
#define PLAIN_RETRY_MS 1000
#define POISON_CRASHES 2
/* Against the expected service time: nearly all requests are shorter. */
#define LONG_SERVICE 2.0

static const char *const team_names[MAX_TEAMS] = {
	"team-0", "team-1", "team-2", "team-3",
	"team-4", "team-5", "team-6", "team-7",
};

static int is_plain(const struct node *node)
{
	return node->world->variant->kind == VARIANT_PLAIN;
}

static void node_server_init(struct node *node, uint32_t i)
{
	const struct fake_engine *engine = &node->world->engines[i];
	struct server_view *view = &node->views[i];

	circuit_init(&node->servers[i].circuit);
	observed_speed_init(&node->servers[i].speed, engine->tokens_per_s);
	snprintf(view->name, sizeof(view->name), "engine-%u", i);
	snprintf(view->data_centre, sizeof(view->data_centre), "dc-%u",
		 engine->data_centre);
	view->capacity = engine->capacity;
	view->tokens_per_s = engine->tokens_per_s;
	view->cheap = engine->cheap;
	view->daemons = node->world->node_count;
	view->version = engine->version;
}

void node_init(struct node *node, struct world *world, uint32_t index)
{
	const struct variant *variant = world->variant;
	double tokens_per_s = 0;

	memset(node, 0, sizeof(*node));
	node->world = world;
	node->index = index;
	rng_init(&node->rng, rng_next(&world->rng));
	for (uint32_t i = 0; i < world->engine_count; i++) {
		node_server_init(node, i);
		tokens_per_s += world->engines[i].capacity *
				world->engines[i].tokens_per_s / 2;
	}
	dispatch_queue_init(&node->queue, QUEUE_MAX);
	node->queue.disabled_parts = variant->dispatch_off;
	retry_budget_init(&node->retries, RETRY_PER_MILLE, RETRY_RESERVE);
	hedge_policy_init(&node->hedges, HEDGE_PER_MILLE, HEDGE_RESERVE);
	node->choice.variant = variant->choice;
	node->choice.disabled_parts = variant->choice_off;
	for (uint32_t t = 0; t < MAX_TEAMS; t++)
		node->team_part[t] = UINT32_MAX;
	for (uint32_t t = 0; t < MAX_TEAMS; t++)
		admission_init(&node->admissions[t],
			       tokens_per_s / world->node_count, 0);
}

void node_finish(struct node *node)
{
	dispatch_queue_finish(&node->queue);
	free(node->in_flight);
}

static void refuse(struct node *node, struct bench_request *request,
		   uint32_t retry_ms)
{
	node->world->tally.refusals++;
	fake_caller_refused(request, retry_ms);
}

int32_t node_pick(struct node *node, const struct bench_request *request,
		  int needs_room, const char *avoid)
{
	struct world *world = node->world;
	struct choice_request wanted = { 0 };
	int64_t now = world_now(world);

	wanted.prefix = request->prefix;
	wanted.prompt_tokens = (uint32_t)request->prompt_tokens;
	wanted.expected_tokens = (uint32_t)request->expected;
	if (request->trainer >= 0 && world->latest_version > VERSION_BOUND)
		wanted.min_version = world->latest_version - VERSION_BOUND;
	wanted.latency_bound = request->priority;
	wanted.needs_dear = request->priority;
	wanted.avoid = &avoid;
	wanted.avoid_count = avoid != NULL;
	wanted.own_data_centre = node->views[0].data_centre;
	wanted.needs_room = needs_room;
	for (uint32_t i = 0; i < world->engine_count; i++) {
		struct server_view *view = &node->views[i];

		view->circuit_open =
			!circuit_allows(&node->servers[i].circuit, now);
		if (view->data_centre[3] == (char)('0' + node->index))
			wanted.own_data_centre = view->data_centre;
	}
	return choice_pick(&node->choice, node->views, world->engine_count,
			   &wanted, &node->rng, now);
}

/* What was sent there will be cached, long before its event says so. */
static void expect_prefix(struct server_view *view, uint64_t prefix)
{
	if (!prefix || choice_has_prefix(view, prefix))
		return;
	if (view->prefix_count < ARRAY_SIZE(view->prefixes))
		view->prefix_count++;
	view->prefixes[view->prefix_count - 1] = prefix;
}

void node_start(struct node *node, struct bench_request *request,
		uint32_t number, uint32_t engine)
{
	struct attempt *attempt = &request->attempts[number];
	struct server_view *view = &node->views[engine];
	int64_t now = world_now(node->world);

	memset(attempt, 0, sizeof(*attempt));
	attempt->request = request;
	attempt->number = number;
	attempt->sent_ns = now;
	attempt->tokens_left = request->left;
	attempt->tokens_start = request->left;
	attempt->seen_tokens = request->left;
	circuit_begin(&node->servers[engine].circuit, now);
	view->own_in_flight++;
	view->own_since_report++;
	expect_prefix(view, request->prefix);
	fake_engine_submit(&node->world->engines[engine], attempt);
}

static void add_in_flight(struct node *node, struct bench_request *request)
{
	if (node->in_flight_count == node->in_flight_alloc) {
		node->in_flight_alloc += 256;
		node->in_flight = xrealloc(
			node->in_flight,
			node->in_flight_alloc * sizeof(struct bench_request *));
	}
	node->in_flight[node->in_flight_count++] = request;
	request->in_flight = 1;
	node->team_running[request->team]++;
}

static void drop_in_flight(struct node *node, struct bench_request *request)
{
	uint32_t i = 0;

	while (node->in_flight[i] != request)
		i++;
	node->in_flight[i] = node->in_flight[--node->in_flight_count];
	request->in_flight = 0;
	node->team_running[request->team]--;
}

static void send_first(struct node *node, struct bench_request *request,
		       uint32_t engine)
{
	struct world *world = node->world;

	if (!request->tries++) {
		double waited_s =
			(double)(world_now(world) - request->created_ns) /
			NS_PER_S;

		world->tally.first_tries++;
		retry_budget_first_attempt(&node->retries);
		hedge_first_attempt(&node->hedges);
		series_add(&world->tally.team_wait_s[request->team], waited_s);
	}
	hedge_race_init(&request->race);
	add_in_flight(node, request);
	node_start(node, request, 0, engine);
}

static void enqueue(struct node *node, struct bench_request *request)
{
	struct dispatch_entry *entry = &request->entry;
	struct dispatch_entry *refused;

	memset(entry, 0, sizeof(*entry));
	entry->team = team_names[request->team];
	entry->weight = 1;
	entry->latency_bound = request->priority;
	entry->tokens = request->expected;
	entry->queued_at_ns = world_now(node->world);
	entry->owner = request;
	node->team_queued[request->team]++;
	refused = dispatch_queue_push(&node->queue, entry);
	if (refused) {
		struct bench_request *other = refused->owner;

		node->team_queued[other->team]--;
		refuse(node, other, PLAIN_RETRY_MS);
	}
}

/* Refused everywhere, after it crashed more than one engine. */
static int is_quarantined(const struct node *node,
			  const struct bench_request *request)
{
	return request->poison && !is_plain(node) &&
	       node->world->poison_crashes >= POISON_CRASHES;
}

static void submit_plain(struct node *node, struct bench_request *request)
{
	int32_t engine = node_pick(node, request, 0, NULL);

	if (engine == CHOICE_NONE)
		refuse(node, request, PLAIN_RETRY_MS);
	else
		send_first(node, request, (uint32_t)engine);
}

static int admit(struct node *node, struct bench_request *request)
{
	struct world *world = node->world;
	struct admission_request asked = { 0 };
	struct admission_verdict verdict;
	double ahead = 0;

	asked.tokens = request->expected;
	asked.service_s = LONG_SERVICE * request->expected /
			  (world->engines[0].tokens_per_s / 2);
	asked.deadline_ns = request->deadline_ns;
	asked.reserved_at_ns = request->booked_ns;
	if (!request->priority)
		ahead = dispatch_queue_team_tokens(&node->queue,
						   team_names[request->team]);
	verdict = admission_decide(&node->admissions[request->team], &asked,
				   ahead, &node->rng, world_now(world));
	if (request->booked_ns && request->refusals == 1) {
		world->tally.returned++;
		world->tally.returned_in += verdict.admitted != 0;
	}
	if (!verdict.admitted)
		refuse(node, request, verdict.retry_after_ms);
	return verdict.admitted;
}

void node_submit(struct node *node, struct bench_request *request)
{
	request->node = node;
	if (request->poison && node->world->poison_crashes >= POISON_CRASHES &&
	    !is_plain(node)) {
		request->ended = 1; /* quarantined: refused everywhere */
		return;
	}
	if (is_plain(node)) {
		submit_plain(node, request);
		return;
	}
	if (!node->world->variant->no_admission && !admit(node, request))
		return;
	enqueue(node, request);
	node_pump(node);
}

static int team_may_run(void *arg, const struct dispatch_entry *entry)
{
	struct node *node = arg;
	const struct bench_request *request = entry->owner;
	double delay_s = node->world->variant->delay_s;
	double waited_s =
		(double)(world_now(node->world) - entry->queued_at_ns) /
		NS_PER_S;

	if (!request->priority &&
	    node->team_running[request->team] >= node->team_part[request->team])
		return 0;
	if (delay_s > waited_s && request->group) {
		int32_t i = node_pick(node, request, 1, NULL);

		return i != CHOICE_NONE &&
		       choice_has_prefix(&node->views[i], request->prefix);
	}
	return 1;
}

static void pump_now(void *arg, uint64_t token)
{
	struct node *node = arg;
	struct dispatch_entry *entry;

	(void)token;
	node->pump_pending = 0;
	while ((entry = dispatch_queue_pop_allowed(&node->queue, team_may_run,
						   node))) {
		struct bench_request *request = entry->owner;
		int32_t engine =
			node_pick(node, request, !request->priority, NULL);

		if (engine == CHOICE_NONE) {
			struct dispatch_entry *back;

			/* Nothing has room: it keeps its place. */
			dispatch_queue_charge(&node->queue, entry->team,
					      entry->latency_bound,
					      -entry->tokens);
			back = dispatch_queue_push(&node->queue, entry);
			(void)back;
			return;
		}
		node->team_queued[request->team]--;
		send_first(node, request, (uint32_t)engine);
	}
}

/* In an event of its own, so that what happens at once is seen whole. */
void node_pump(struct node *node)
{
	if (is_plain(node) || node->pump_pending)
		return;
	node->pump_pending = 1;
	event_add(&node->world->events, world_now(node->world), pump_now, node,
		  0);
}

static void mark_done(struct node *node, const struct attempt *attempt)
{
	uint32_t i = attempt->engine->index;
	struct node_server *server = &node->servers[i];
	struct server_view *view = &node->views[i];
	struct done_mark *mark =
		&server->done[server->done_count++ % DONE_RING];

	mark->sent_ns = attempt->sent_ns;
	mark->done_ns = world_now(node->world);
	view->own_in_flight--;
	if (attempt->sent_ns > view->reported_at_ns) {
		if (view->own_since_report)
			view->own_since_report--;
	} else {
		view->own_done_since_report++;
	}
}

static void keep_progress(struct bench_request *request,
			  const struct attempt *attempt)
{
	uint64_t version = attempt->oldest_version;

	if (version &&
	    (!request->oldest_version || version < request->oldest_version))
		request->oldest_version = version;
	if (attempt->tokens_left < request->left)
		request->left = attempt->tokens_left;
}

static void again(struct node *node, struct bench_request *request)
{
	const struct variant *variant = node->world->variant;

	if (is_quarantined(node, request)) {
		request->ended = 1;
		return;
	}
	node->world->tally.retries++;
	if (is_plain(node)) {
		if (request->tries++ < MAX_TRIES)
			submit_plain(node, request);
		else
			refuse(node, request, PLAIN_RETRY_MS);
		return;
	}
	if (!variant->no_retry_budget && !retry_budget_take(&node->retries)) {
		node->world->tally.retries--;
		refuse(node, request, PLAIN_RETRY_MS);
		return;
	}
	enqueue(node, request);
	node_pump(node);
}

/* The sample is whole, but too old by now: it is made again. */
static int is_too_old(const struct node *node,
		      const struct bench_request *request)
{
	return request->trainer >= 0 &&
	       request->oldest_version + VERSION_BOUND <
		       node->world->latest_version;
}

static void deliver(struct node *node, struct bench_request *request)
{
	drop_in_flight(node, request);
	if (is_too_old(node, request)) {
		node->world->tally.regenerated++;
		node->world->tally.lost_tokens += request->length;
		request->left = request->length;
		request->oldest_version = 0;
		request->tries = 1;
		if (is_plain(node))
			submit_plain(node, request);
		else
			enqueue(node, request);
		return;
	}
	admission_finished(&node->admissions[request->team], request->expected,
			   node->team_queued[request->team] > 0,
			   world_now(node->world));
	if (request->group)
		request->group->left--;
	fake_caller_answered(request);
}

static void failed(struct node *node, struct attempt *attempt)
{
	struct bench_request *request = attempt->request;

	circuit_failed(&node->servers[attempt->engine->index].circuit,
		       &node->rng, world_now(node->world));
	if (hedge_race_failed(&request->race, attempt->number) != HEDGE_FAILED)
		return;
	drop_in_flight(node, request);
	again(node, request);
}

void node_attempt_done(struct node *node, struct attempt *attempt, int whole)
{
	struct bench_request *request = attempt->request;
	struct attempt *other = &request->attempts[1 - attempt->number];

	mark_done(node, attempt);
	keep_progress(request, attempt);
	if (!whole) {
		failed(node, attempt);
		node_pump(node);
		return;
	}
	circuit_succeeded(&node->servers[attempt->engine->index].circuit);
	switch (hedge_race_answered(&request->race, attempt->number)) {
	case HEDGE_ACCEPT_CANCEL:
		node->world->tally.lost_tokens +=
			other->tokens_start - other->tokens_left;
		fake_engine_cancel(other);
		mark_done(node, other);
		deliver(node, request);
		break;
	case HEDGE_ACCEPT:
		deliver(node, request);
		break;
	default:
		break;
	}
	node_pump(node);
}

/* Its caller's deadline has passed. */
void node_give_up(struct node *node, struct bench_request *request)
{
	request->ended = 1;
	if (dispatch_entry_queued(&request->entry)) {
		dispatch_queue_remove(&node->queue, &request->entry);
		node->team_queued[request->team]--;
	}
	if (!request->in_flight)
		return;
	for (uint32_t i = 0; i < 2; i++) {
		struct attempt *attempt = &request->attempts[i];

		if (!attempt->active)
			continue;
		fake_engine_cancel(attempt);
		mark_done(node, attempt);
	}
	drop_in_flight(node, request);
	node_pump(node);
}
