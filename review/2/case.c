/*
 * One of three engines spoils one in fifty of its answers: an event of it holds
 * wrong bytes. Everything else is sound. A trainer asks for steps until one of
 * them holds the spoiled answer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

#define FOLDER "review/2"
#define CONTACT_MS 3000
#define DAEMONS 4
#define ITEMS 40
#define STEPS 8
#define SPOILED_ANSWER 50 /* of one engine: `garble`, x = 0.02 */
#define SPOILED_EVENT 5
#define GROUP_SIZE 8
#define EVENTS 18
#define EVENT_EVERY_MS 30
#define MAX_TOKENS 400
#define READ_EVERY_MS 500
#define STEP_MS 12000 /* the trainer's time budget */
#define FINISH_MS 10000 /* `finish_s`, after the traffic */

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-0\",\"host\":\"" BATCH_HOST "\","
	"\"path_prefix\":\"/m0/\",\"type\":\"rollout\","
	"\"timeout_ms\":10000,\"goal_ms\":400,\"priority\":1,"
	"\"service\":\"scenario-lm\",\"max_attempts\":3,"
	"\"retention_s\":40.0,\"due_ms\":7500,\"single_version\":false,"
	"\"public\":false,\"sticky\":true,\"resumable\":true}],"
	"\"services\":["
	"{\"name\":\"scenario-lm\",\"health_path\":\"/healthz\","
	"\"max_conns\":150,\"protocol\":\"h1\",\"tls\":false,"
	"\"engine\":{\"slots\":12,\"kv_capacity\":31960,"
	"\"kv_token_bytes\":18432,\"stride\":20,"
	"\"models\":[{\"name\":\"m0\"}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"" BATCH_TENANT "\",\"api_keys\":["
	"\"" BATCH_KEY "\"],\"priority\":1}]}";

static char batch_id[32];
static atomic_int answers; /* of the engine in trouble */
static atomic_int spoiled; /* one of them */
static atomic_int finished; /* runs of the present step */

static void run_item(struct engine *engine, struct channel *channel,
		     const struct message *request, const char *id)
{
	int from = item_last_event(request) + 1;
	int is_first = !strcmp(engine->id, "i-lm-1");
	int spoils = is_first && trouble &&
		     atomic_fetch_add(&answers, 1) + 1 == SPOILED_ANSWER;
	char fields[256];

	note("engine %s: runs %s from event %d", engine->id, id, from);
	item_fields(id, atomic_load(&engine->version), fields, sizeof(fields));
	if (channel_begin(channel, 200, fields))
		return;
	for (int event = from; event <= EVENTS; event++) {
		char text[128];

		sleep_ms(EVENT_EVERY_MS);
		snprintf(text, sizeof(text), "%s part %d%s", id, event,
			 spoils && event == SPOILED_EVENT ? "\xff\xfe" : "");
		if (spoils && event == SPOILED_EVENT)
			atomic_store(&spoiled, 1);
		if (spoils && event == SPOILED_EVENT)
			note("engine %s: spoils event %d of %s", engine->id,
			     event, id);
		if (channel_is_closed(channel) ||
		    item_event(channel, event, text, strlen(text))) {
			channel->close_after = 1;
			return;
		}
	}
	atomic_fetch_add(&finished, 1);
	channel_finish(channel);
}

#define ENGINE(name)                                                           \
	{                                                                      \
		.id = name, .service = "scenario-lm", .model = "m0",           \
		.version = 1, .slots = 12, .run = run_item                     \
	}

static struct engine engines[] = { ENGINE("i-lm-1"), ENGINE("i-lm-2"),
				   ENGINE("i-lm-3") };

/* Reads once from a position; returns the number of results, -1: not read. */
static int read_at(int daemon, int position)
{
	int status;
	json_t *body = batch_read(daemons[daemon].front, batch_id, position, 0,
				  &status);
	int count = (int)json_array_size(json_object_get(body, "results"));

	json_decref(body);
	if (status != 200)
		note("requester: read after=%d at d%d: %d", position, daemon,
		     status);
	return status == 200 ? count : -1;
}

/* Asks for a step and reads it; returns the number of results that were read.
 */
static int play_step(int step)
{
	struct batch_shape batch = { .id = batch_id,
				     .path = "/m0/",
				     .model = "m0",
				     .item_model = "m0",
				     .step = step,
				     .min_version = 1,
				     .items = ITEMS,
				     .group_size = GROUP_SIZE,
				     .max_tokens = MAX_TOKENS };
	int64_t end_ms;
	int position = 0;

	snprintf(batch_id, sizeof(batch_id), "7c41e09b52d6%04x", step);
	atomic_store(&finished, 0);
	if (batch_submit(daemons[step % DAEMONS].front, &batch) != 202)
		give_up("the batch submission is not accepted");
	end_ms = now_ms() + STEP_MS;
	for (int turn = 0; position < ITEMS && now_ms() < end_ms; turn++) {
		int count;

		sleep_ms(READ_EVERY_MS);
		count = read_at(turn % DAEMONS, position);
		position += count > 0 ? count : 0;
	}
	note("trainer: has read %d of %d results of step %d in its time "
	     "budget; engines have finished %d runs of it",
	     position, ITEMS, step, finished);
	return position;
}

/* The day ends: the batch is read from the start, again after each failure. */
static int can_be_read(void)
{
	int64_t end_ms = now_ms() + FINISH_MS;

	for (int turn = 0; now_ms() < end_ms; turn++) {
		int count = read_at(turn % DAEMONS, 0);

		if (count > 0) {
			note("requester: reads %d results from the start",
			     count);
			return 1;
		}
		sleep_ms(READ_EVERY_MS);
	}
	return 0;
}

int main(void)
{
	int is_whole = 1;
	int can_read;

	world_init(FOLDER);
	store_start();
	store_put("keyed.op", "config", config);
	for (size_t i = 0; i < ARRAY_SIZE(engines); i++)
		engine_start(&engines[i]);
	for (int i = 0; i < DAEMONS; i++)
		daemon_start(i);
	for (int i = 0; i < DAEMONS; i++)
		daemon_wait_ready(i);
	sleep_ms(CONTACT_MS + 500);
	for (int step = 0; step < STEPS && is_whole && !spoiled; step++)
		is_whole = play_step(step) == ITEMS;
	if (trouble && !spoiled)
		give_up("no answer was spoiled");
	can_read = can_be_read();
	note("LOST: at the end of the day the batch %s %s be read", batch_id,
	     can_read ? "can" : "can't");
	return world_end(can_read ? RULE_HELD : RULE_BROKEN);
}
