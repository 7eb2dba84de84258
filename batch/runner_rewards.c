#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "batch/batch_runner_private.h"
#include "fleet/plain_servers.h"
#include "policy/reward_turn.h"

/*
 * Timeout of a call as a multiple of its route's goal: a healthy server answers
 * within one goal, a fully loaded one within two, and sending a call again
 * costs little.
 */
#define TIMEOUT_GOAL_FACTOR 4
/* Minimum timeout, for routes whose goal is shorter than a network stall. */
#define TIMEOUT_MIN_NS (400 * NS_PER_MS)
/* Retry interval of calls that found no free server, if no call ends before. */
#define PLACE_RETRY_NS (20 * NS_PER_MS)
/* No call is sent to a server for this time after it rejected one. */
#define REJECTED_BACKOFF_NS (60 * NS_PER_MS)
/*
 * Delay before an item's call is sent again. Doubled by each call without a
 * good answer; the maximum is short relative to the time in which a step is due
 * (see CUT_BACKOFF_MAX_NS in batch_runner.c).
 */
#define FIRST_BACKOFF_NS (20 * NS_PER_MS)
#define MAX_BACKOFF_NS (500 * NS_PER_MS)
/*
 * A complete text that has waited this long for its score is stored in the log:
 * beyond this, losing it if the daemon ends costs more than the append.
 */
#define STORE_TEXT_AFTER_NS (500 * NS_PER_MS)

struct pending_score {
	struct active_item *item;
	struct reward_rank rank;
};

static void place_calls(struct batch_runner *runner);

static void on_rewards(void *arg, int64_t now_ns)
{
	struct batch_runner *runner = arg;

	(void)now_ns;
	runner->next_rewards_ns = 0;
	place_calls(runner);
}

static void schedule_placing(struct batch_runner *runner, int64_t delay_ns)
{
	int64_t at_ns = runner_now_ns(runner) + delay_ns;

	if (runner->next_rewards_ns && runner->next_rewards_ns <= at_ns)
		return;
	timer_unsubscribe(&runner->reactor->timers, &runner->reward_timer);
	runner->next_rewards_ns = at_ns;
	timer_subscribe_once(&runner->reactor->timers, &runner->reward_timer,
			     delay_ns, on_rewards, runner);
}

void runner_complete_text(struct batch_runner *runner, struct active_item *item,
			  const char *reason)
{
	if (!item->spec->reward) {
		runner_store_result(runner, item, BATCH_ITEM_COMPLETE, reason);
		return;
	}
	item->completed_ns = runner_now_ns(runner);
	item->not_before_ns = 0;
	active_item_set_state(item, ACTIVE_ITEM_SCORING);
	schedule_placing(runner, 0);
}

static const struct entry_route *reward_route(const struct batch_runner *runner,
					      const struct active_item *item)
{
	const Currant__Topic__RewardRequest *reward = item->spec->reward;

	return entry_config_route(runner->config->current, reward->host,
				  reward->path);
}

static void report_sent(struct batch_runner *runner,
			const struct reward_call *call)
{
	const struct active_item *item = call->item;
	const struct fleet_server *server = call->server;
	struct record record;

	record_begin(&record, runner->log, "items", "reward_sent");
	record_text(&record, "id", item->spec->reward->id);
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", active_item_id(item));
	record_text(&record, "server", server->entry.id);
	record_int(&record, "config",
		   (int64_t)runner->config->current->version);
	record_int(&record, "call", item->reward_calls);
	record_int(&record, "own_running", server->running);
	load_record_put(&record, &server->load, call->started_ns);
	record_ms(&record, "waited_ms", call->started_ns - item->completed_ns);
	record_end(&record);
}

static void report_ended(struct batch_runner *runner,
			 const struct reward_call *call,
			 enum reward_outcome outcome)
{
	const struct active_item *item = call->item;
	struct record record;

	record_begin(&record, runner->log, "items", "reward_ended");
	record_text(&record, "id", item->spec->reward->id);
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", active_item_id(item));
	record_text(&record, "server", call->server->entry.id);
	record_text(&record, "outcome", reward_outcome_name(outcome));
	record_int(&record, "status", call->answer.status);
	record_int(&record, "failed", item->failed_rewards);
	record_ms(&record, "took_ms", runner_now_ns(runner) - call->started_ns);
	record_end(&record);
}

static int64_t timeout_ns(const struct entry_route *route)
{
	int64_t goals_ns = route->goal_ms * NS_PER_MS * TIMEOUT_GOAL_FACTOR;

	return goals_ns > TIMEOUT_MIN_NS ? goals_ns : TIMEOUT_MIN_NS;
}

/* Whether the server rejected a call recently, as kept in its engine state. */
static int rejected_recently(const void *arg, const struct fleet_server *server)
{
	const int64_t *now_ns = arg;

	return server->batch_engine &&
	       engine_state_is_blocked(server->batch_engine, "", *now_ns);
}

/* The servers of one service in one round of placing calls. */
struct cached_servers {
	const char *service;
	struct plain_servers list;
	struct cached_servers *next;
};

static struct plain_servers *get_servers(struct batch_runner *runner,
					 struct cached_servers **round,
					 const char *service,
					 const struct plain_chooser *chooser)
{
	struct cached_servers *servers = *round;

	while (servers && strcmp(servers->service, service))
		servers = servers->next;
	if (servers) {
		plain_servers_refresh(&servers->list, chooser);
		return &servers->list;
	}
	servers = xcalloc(1, sizeof(*servers));
	servers->service = service;
	servers->next = *round;
	*round = servers;
	plain_servers_list(&servers->list, runner->fleet, service, chooser);
	return &servers->list;
}

static void place_call(struct batch_runner *runner, struct active_item *item,
		       struct cached_servers **round)
{
	const struct entry_route *route = reward_route(runner, item);
	int64_t now_ns = runner_now_ns(runner);
	const struct plain_chooser chooser = {
		.data_centre = runner->data_centre,
		.sample_seed = runner->sample_seed,
		.now_ns = now_ns,
		.is_excluded = rejected_recently,
		.arg = &now_ns,
	};
	struct plain_servers *list;
	int32_t chosen;

	if (!route || !route->target_count)
		return;
	list = get_servers(runner, round,
			   entry_route_service(route, rng_unit(&runner->rng)),
			   &chooser);
	chosen = reward_turn_place(list->views, list->count,
				   now_ns - item->completed_ns, &runner->rng);
	if (chosen < 0)
		return;
	reward_call_start(&runner->reward_owner, item, list->servers[chosen],
			  runner->pool, runner->reactor, timeout_ns(route));
	counter_add(runner->rewards_sent, 1);
	report_sent(runner, item->reward);
}

static uint32_t collect_batch(const struct batch_runner *runner,
			      struct active_batch *batch,
			      struct pending_score *out)
{
	int64_t now_ns = runner_now_ns(runner);
	uint32_t count = 0;

	if (!batch->scoring || runner_awaits_config(runner, batch->batch))
		return 0;
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct active_item *item = &batch->items[i];
		const struct active_group *group = &batch->groups[item->group];

		if (item->state != ACTIVE_ITEM_SCORING || item->reward ||
		    now_ns < item->not_before_ns)
			continue;
		out[count].item = item;
		out[count].rank = (struct reward_rank){
			.is_required = group->is_required,
			.step = batch->batch->step,
			.group_left = group->left,
			.completed_ns = item->completed_ns,
			.number = item->number,
		};
		count++;
	}
	return count;
}

static int compare_pending(const void *a, const void *b)
{
	return reward_turn_compare(&((const struct pending_score *)a)->rank,
				   &((const struct pending_score *)b)->rank);
}

static uint32_t count_scoring(const struct batch_runner *runner)
{
	uint32_t count = 0;

	for (const struct owned_partition *o = runner->owned; o; o = o->next)
		for (const struct active_batch *b = o->batches; b; b = b->next)
			count += b->scoring;
	return count;
}

static void place_calls(struct batch_runner *runner)
{
	uint32_t scoring = count_scoring(runner);
	struct cached_servers *round = NULL;
	struct pending_score *pending;
	uint32_t count = 0;

	if (!scoring || !runner->config->current)
		return;
	pending = xcalloc(scoring, sizeof(*pending));
	for (struct owned_partition *o = runner->owned; o; o = o->next)
		for (struct active_batch *b = o->batches; b; b = b->next)
			count += collect_batch(runner, b, pending + count);
	qsort(pending, count, sizeof(*pending), compare_pending);
	for (uint32_t i = 0; i < count && net_pool_find_room(runner->pool); i++)
		place_call(runner, pending[i].item, &round);
	while (round) {
		struct cached_servers *next = round->next;

		free(round);
		round = next;
	}
	free(pending);
	schedule_placing(runner, PLACE_RETRY_NS);
}

/* Keeps calls away from a server that did not run one. */
static void back_off_server(struct batch_runner *runner,
			    const struct reward_call *call)
{
	struct fleet_server *server = call->server;
	int64_t now_ns = runner_now_ns(runner);

	if (!call->answer.status)
		circuit_failed(&server->circuit, &runner->rng, now_ns);
	else if (!server->removed)
		engine_state_block(engine_state_get(server, &runner->engines),
				   "", now_ns + REJECTED_BACKOFF_NS);
}

/* Exponential backoff of the item's next call. */
static void back_off_item(struct active_item *item, int64_t now_ns)
{
	int64_t delay_ns = FIRST_BACKOFF_NS;

	for (uint32_t i = 0;
	     i < item->lost_reward_calls && delay_ns < MAX_BACKOFF_NS; i++)
		delay_ns *= 2;
	item->lost_reward_calls++;
	item->not_before_ns = now_ns + delay_ns;
}

/*
 * Number of failed calls after which an item is given up: the larger of the
 * limits of the call's route and of the batch.
 */
static uint32_t failures_allowed(const struct batch_runner *runner,
				 const struct active_item *item)
{
	const struct entry_route *route = reward_route(runner, item);
	uint32_t allowed = item->owner->batch->max_attempts;

	if (route && route->max_attempts > allowed)
		allowed = route->max_attempts;
	return allowed;
}

static void store_score(struct batch_runner *runner, struct reward_call *call)
{
	struct active_item *item = call->item;

	histogram_add(&runner->reward_wait,
		      runner_now_ns(runner) - item->completed_ns);
	item->score = call->score;
	call->score = NULL;
	runner_store_result(runner, item, BATCH_ITEM_COMPLETE, NULL);
}

static void count_failed_call(struct batch_runner *runner,
			      struct active_item *item)
{
	item->failed_rewards++;
	if (runner->config->current &&
	    item->failed_rewards >= failures_allowed(runner, item))
		runner_store_result(runner, item, BATCH_ITEM_GIVEN_UP,
				    "failed_rewards");
	else
		back_off_item(item, runner_now_ns(runner));
}

static void on_reward_ended(struct reward_call_owner *owner,
			    struct reward_call *call,
			    enum reward_outcome outcome)
{
	struct batch_runner *runner =
		container_of(owner, struct batch_runner, reward_owner);
	struct circuit *circuit = &call->server->circuit;
	int64_t now_ns = runner_now_ns(runner);

	counter_add(runner->rewards_ended[outcome], 1);
	load_counters_add(&runner->load_counters, &call->answer);
	if (call->answer.status && outcome != REWARD_LOST)
		circuit_succeeded(circuit);
	switch (outcome) {
	case REWARD_SCORED:
		store_score(runner, call);
		break;
	case REWARD_NOT_RUN:
		back_off_server(runner, call);
		break;
	case REWARD_FAILED:
		count_failed_call(runner, call->item);
		break;
	case REWARD_LOST:
		circuit_failed(circuit, &runner->rng, now_ns);
		back_off_item(call->item, now_ns);
		break;
	case REWARD_REJECTED:
		back_off_item(call->item, now_ns);
		break;
	}
	report_ended(runner, call, outcome);
	schedule_placing(runner, 0);
}

void runner_watch_rewards(struct batch_runner *runner,
			  const struct active_batch *batch)
{
	int64_t now_ns = runner_now_ns(runner);

	for (uint32_t i = 0; batch->scoring && i < batch->batch->item_count;
	     i++) {
		struct active_item *item = &batch->items[i];

		if (item->state != ACTIVE_ITEM_SCORING ||
		    item->is_text_stored ||
		    now_ns - item->completed_ns < STORE_TEXT_AFTER_NS)
			continue;
		item->is_text_stored = 1;
		runner_store_item_progress(runner, item);
	}
}

void runner_rewards_init(struct batch_runner *runner,
			 struct counter_set *counters)
{
	char name[COUNTER_NAME_MAX];

	runner->reward_owner.ended = on_reward_ended;
	runner->rewards_sent = counter_get(counters, "reward_calls_total");
	histogram_init(&runner->reward_wait, counters, "reward_wait_seconds",
		       "");
	for (uint32_t i = 0; i < REWARD_OUTCOMES; i++) {
		snprintf(name, sizeof(name),
			 "reward_calls_ended_total{outcome=\"%s\"}",
			 reward_outcome_name((enum reward_outcome)i));
		runner->rewards_ended[i] = counter_get(counters, name);
	}
}
