#include <string.h>

#include "bench/scenario.h"
#include "bench/world.h"

#include "base/clock.h"

/* What a node does from time to time, and what it learns from reports. */

#define TICK_NS NS_PER_S
#define SILENT_NS (5 * NS_PER_S)
#define CACHE_EVENT_LOSS 0.1
#define REMAINING_PART 0.5
/* Shares of more slots than there are, so that a freed one finds a taker. */
#define SHARE_OVERBOOKING 1.15
#define BUSY_NEW_PART 0.05
#define BUSY_LEAST 0.02

static void count_sent_and_done(struct node *node, uint32_t index,
				int64_t at_ns)
{
	struct server_view *view = &node->views[index];
	const struct node_server *server = &node->servers[index];
	uint32_t marks = server->done_count < DONE_RING ? server->done_count
							: DONE_RING;

	view->own_since_report = 0;
	view->own_done_since_report = 0;
	for (uint32_t i = 0; i < node->in_flight_count; i++)
		for (uint32_t a = 0; a < 2; a++) {
			const struct attempt *attempt =
				&node->in_flight[i]->attempts[a];

			if (attempt->active && attempt->engine &&
			    attempt->engine->index == index &&
			    attempt->sent_ns > at_ns)
				view->own_since_report++;
		}
	for (uint32_t i = 0; i < marks; i++)
		if (server->done[i].sent_ns <= at_ns &&
		    server->done[i].done_ns > at_ns)
			view->own_done_since_report++;
}

static void learn_prefixes(struct node *node, const struct fake_engine *engine)
{
	struct server_view *view = &node->views[engine->index];

	view->prefix_count = 0;
	for (uint32_t i = 0; i < engine->prefix_count; i++)
		if (rng_unit(&node->rng) >= CACHE_EVENT_LOSS)
			view->prefixes[view->prefix_count++] =
				engine->prefixes[i];
}

void node_watch_report(struct node *node, const struct fake_engine *engine,
		       uint32_t running, uint32_t waiting, int64_t at_ns)
{
	struct server_view *view = &node->views[engine->index];

	if (at_ns < view->reported_at_ns)
		return;
	view->reported_at_ns = at_ns;
	view->reported_running = running;
	view->reported_waiting = waiting;
	view->version = engine->version;
	view->leaving = engine->leaving;
	count_sent_and_done(node, engine->index, at_ns);
	learn_prefixes(node, engine);
	node_pump(node);
}

static double team_demand(const struct node *node, uint32_t team)
{
	return node->team_running[team] + node->team_queued[team];
}

/* The system's slots of each team, from the demand of all nodes. */
static void find_team_slots(struct world *world, struct share_team *teams)
{
	double capacity = 0;

	for (uint32_t i = 0; i < world->engine_count; i++)
		if (world->engines[i].up)
			capacity += world->engines[i].capacity;
	memset(teams, 0, MAX_TEAMS * sizeof(*teams));
	for (uint32_t t = 0; t < MAX_TEAMS; t++) {
		teams[t].weight = 1;
		for (uint32_t n = 0; n < world->node_count; n++)
			teams[t].demand_slots +=
				team_demand(&world->nodes[n], t);
	}
	share_fair_slots(teams, MAX_TEAMS, SHARE_OVERBOOKING * capacity);
}

static void update_parts(struct node *node)
{
	struct world *world = node->world;
	struct share_party parties[MAX_NODES] = { 0 };
	struct share_team teams[MAX_TEAMS];
	int64_t now = world_now(world);
	double sum = 0;

	find_team_slots(world, teams);
	for (uint32_t t = 0; t < MAX_TEAMS; t++)
		sum += teams[t].demand_slots - teams[t].slots;
	for (uint32_t t = 0; t < MAX_TEAMS; t++) {
		node->team_part[t] = UINT32_MAX;
		/* With room for all of a team's demand no share binds it. */
		if (sum <= 0 || teams[t].slots >= teams[t].demand_slots)
			continue;
		for (uint32_t n = 0; n < world->node_count; n++) {
			parties[n].members = 1;
			parties[n].demand_slots =
				team_demand(&world->nodes[n], t);
			parties[n].used_slots = world->nodes[n].team_running[t];
			parties[n].received_ns = now;
			parties[n].own = n == node->index;
			parties[n].local = parties[n].own;
		}
		node->team_part[t] = share_own_part(
			(uint32_t)(teams[t].slots + 0.999), parties,
			world->node_count, SILENT_NS, now);
	}
}

static void observe_speed(struct node *node, struct attempt *attempt)
{
	uint32_t index = attempt->engine->index;
	struct server_view *view = &node->views[index];
	double made;

	fake_engine_progress(attempt->engine);
	made = attempt->seen_tokens - attempt->tokens_left;
	attempt->seen_tokens = attempt->tokens_left;
	if (!attempt->running || made <= 0 || attempt->prefill_left > 0)
		return;
	observed_speed_add(&node->servers[index].speed, made,
			   view->reported_running, view->capacity);
	if (!node->world->variant->no_observed_speed)
		view->tokens_per_s = node->servers[index].speed.tokens_per_s;
}

static double mean_speed(const struct node *node)
{
	double sum = 0;

	for (uint32_t i = 0; i < node->world->engine_count; i++)
		sum += node->views[i].tokens_per_s;
	return sum / node->world->engine_count;
}

/* Remaining tokens: long outputs tend to go on for long. */
static double expect_left(const struct bench_request *request)
{
	double done = request->length - request->left;
	double left = request->expected - done;

	return left > REMAINING_PART * done ? left : REMAINING_PART * done;
}

static void maybe_hedge(struct node *node, struct bench_request *request,
			double made)
{
	struct attempt *attempt = &request->attempts[0];
	struct server_view usual = node->views[attempt->engine->index];
	struct hedge_sample sample = { 0 };
	struct bench_request rest = *request;
	int32_t other;

	sample.repeatable = 1;
	sample.group_size = GROUP_SIZE;
	sample.group_left = request->group->left;
	request->left = attempt->tokens_left;
	sample.expected_left = expect_left(request);
	sample.rate_tokens_per_s = made;
	usual.tokens_per_s = mean_speed(node);
	sample.expected_rate_tokens_per_s =
		choice_speed(&usual, usual.capacity);
	rest.expected = sample.expected_left;
	other = node_pick(node, &rest, 1,
			  node->views[attempt->engine->index].name);
	if (other == CHOICE_NONE)
		return;
	sample.other_s =
		sample.expected_left /
		choice_speed(&node->views[other],
			     choice_load(&node->choice, &node->views[other]) +
				     1);
	if (!hedge_take(&node->hedges, &sample))
		return;
	node->world->tally.hedges++;
	if (attempt->oldest_version)
		request->oldest_version = attempt->oldest_version;
	hedge_race_add(&request->race);
	node_start(node, request, 1, (uint32_t)other);
}

static void watch_streams(struct node *node)
{
	const struct variant *variant = node->world->variant;

	for (uint32_t i = 0; i < node->in_flight_count; i++) {
		struct bench_request *request = node->in_flight[i];
		struct attempt *attempt = &request->attempts[0];
		double seen = attempt->seen_tokens;

		if (!attempt->active)
			continue;
		observe_speed(node, attempt);
		if (variant->kind == VARIANT_PROJECT && !variant->no_hedging &&
		    request->group && request->race.attempts == 1 &&
		    world_now(node->world) - attempt->sent_ns > 3 * NS_PER_S)
			maybe_hedge(node, request, seen - attempt->tokens_left);
	}
	for (uint32_t i = 0; i < node->world->engine_count; i++)
		observed_speed_decay(&node->servers[i].speed);
}

/* Whether the configuration has a latency-bound route to these servers. */
static int has_latency_route(const struct scenario *scenario)
{
	for (uint32_t i = 0; scenario->sources[i].per_s > 0; i++)
		if (scenario->sources[i].latency_bound)
			return 1;
	return 0;
}

/*
 * All nodes reserve by the demand of all, as summaries tell it. A route that
 * is configured has its servers before its first request.
 */
static void reserve(struct node *node)
{
	struct world *world = node->world;
	double now_busy = 0;
	double busy = BUSY_LEAST;

	if (world->variant->no_reserve || !has_latency_route(world->scenario))
		return;
	for (uint32_t i = 0; i < node->in_flight_count; i++)
		now_busy += node->in_flight[i]->priority;
	node->latency_busy += BUSY_NEW_PART * (now_busy - node->latency_busy);
	for (uint32_t n = 0; n < world->node_count; n++)
		busy += world->nodes[n].latency_busy;
	choice_reserve(node->views, world->engine_count, busy);
}

static void tick(void *arg, uint64_t token)
{
	struct node *node = arg;
	const struct variant *variant = node->world->variant;

	if (variant->kind == VARIANT_PROJECT) {
		watch_streams(node);
		reserve(node);
		if (!variant->no_shares)
			update_parts(node);
	}
	node_pump(node);
	event_add(&node->world->events, world_now(node->world) + TICK_NS, tick,
		  node, token);
}

void node_watch_start(struct node *node)
{
	if (node->world->variant->kind == VARIANT_PROJECT)
		reserve(node);
	event_add(&node->world->events,
		  TICK_NS + (int64_t)node->index * TICK_NS / MAX_NODES, tick,
		  node, 0);
}
