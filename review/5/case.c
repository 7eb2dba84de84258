/*
 * The daemon that runs a model's batch submissions is stopped in a roll while
 * the trainer's step waits for new weights and an older submission for the
 * same model is open: which of the two decides about the weights afterwards?
 */
#define _GNU_SOURCE
#include "step.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MODEL "daka510000"
#define SERVICE "huvo11a"
#define PATH "/pufi791/"
#define DAEMONS 3
#define ENGINES 12
#define SLOTS 4
#define EVENT_MS 300
#define STEP_EVENTS 10
/* Of the older submission: its first item is short, the others are long. */
#define OLDER_ID "aa00bb11cc22dd33"
#define OLDER_ITEMS 4
#define SHORT_EVENTS 2
#define LONG_EVENTS 120
#define OLDER_RUNS_MS 1500 /* until its first item has its result */
#define STEP 3
#define STEP_ITEMS 160
#define GROUP_SIZE 4
#define BUDGET_MS 24000
#define STOP_AFTER_MS 400 /* of the step's 202 */

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-sr7i427\","
	"\"host\":\"" BATCH_HOST "\",\"path_prefix\":\"" PATH "\","
	"\"type\":\"rollout\",\"timeout_ms\":10000,\"goal_ms\":400,"
	"\"priority\":1,\"service\":\"" SERVICE "\",\"max_attempts\":3,"
	"\"retention_s\":40.0,\"due_ms\":7500,\"single_version\":false,"
	"\"public\":false,\"sticky\":true,\"resumable\":true}],"
	"\"services\":[{\"name\":\"" SERVICE "\","
	"\"health_path\":\"/healthz\",\"max_conns\":150,"
	"\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":4,"
	"\"kv_capacity\":31960,\"stride\":43,"
	"\"models\":[{\"name\":\"" MODEL "\"}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"" BATCH_TENANT "\","
	"\"api_keys\":[\"" BATCH_KEY "\"],\"priority\":1}]}";

static struct engine engines[ENGINES];
static int owner; /* number of the daemon that runs the submissions */

static int event_count(const char *id)
{
	if (strncmp(id, OLDER_ID, strlen(OLDER_ID)))
		return STEP_EVENTS;
	return strcmp(id, OLDER_ID "i000") ? LONG_EVENTS : SHORT_EVENTS;
}

/* Sends the events after the last one that the request names. */
static int send_events(struct engine *engine, struct channel *channel,
		       const char *id, int last, int version)
{
	char line[64];

	for (int event = last + 1; event <= event_count(id); event++) {
		int now = atomic_load(&engine->version);

		sleep_ms(EVENT_MS);
		if (channel_is_closed(channel))
			return -1;
		line[0] = '\0';
		if (now != version)
			snprintf(line, sizeof(line), "x-weight-versions: %d\n",
				 now);
		version = now;
		snprintf(line + strlen(line), sizeof(line) - strlen(line),
			 "id: %d\ndata: e%d\n\n", event, event);
		if (channel_chunk(channel, line, strlen(line)))
			return -1;
	}
	return channel_finish(channel);
}

static void run_item(struct engine *engine, struct channel *channel,
		     const struct message *request, const char *id)
{
	int last = item_last_event(request);
	int version = atomic_load(&engine->version);
	char fields[256];
	int failed;

	step_run_begins(id);
	note("engine %s: runs %s after event %d, version %d", engine->id, id,
	     last, version);
	item_fields(id, version, fields, sizeof(fields));
	failed = channel_begin(channel, 200, fields) ||
		 send_events(engine, channel, id, last, version);
	step_run_ends(id, !failed);
	if (failed)
		channel->close_after = 1;
}

static void stop_owner(void)
{
	daemon_stop(owner);
}

static void start_engines(void)
{
	for (int i = 0; i < ENGINES; i++) {
		struct engine *engine = &engines[i];

		snprintf(engine->id, sizeof(engine->id), "i-%02d", i);
		engine->service = SERVICE;
		engine->model = MODEL;
		atomic_store(&engine->version, STEP - 1);
		engine->slots = SLOTS;
		engine->run = run_item;
		engine_start(engine);
	}
}

int main(void)
{
	const struct batch_shape older = {
		.id = OLDER_ID,
		.path = PATH,
		.model = MODEL,
		.step = 1,
		.min_version = 1,
		.item_model = MODEL,
		.items = OLDER_ITEMS,
		.group_size = OLDER_ITEMS,
	};
	const struct steps steps = {
		.shape = { .path = PATH,
			   .model = MODEL,
			   .item_model = MODEL,
			   .items = STEP_ITEMS,
			   .group_size = GROUP_SIZE },
		.target_groups = STEP_ITEMS / GROUP_SIZE,
		.budget_ms = BUDGET_MS,
		.newest_only = 1,
		.engines = engines,
		.engine_count = ENGINES,
		.daemons = DAEMONS,
	};

	world_init("review/5");
	store_start();
	store_put("keyed.op", "config", config);
	start_engines();
	name_version(MODEL, STEP - 1);
	for (int i = 0; i < DAEMONS; i++)
		daemon_start(i);
	for (int i = 0; i < DAEMONS; i++)
		daemon_wait_ready(i);
	sleep_ms(3000);
	if (batch_submit(daemons[0].front, &older) != 202)
		give_up("the older submission is not accepted");
	sleep_ms(OLDER_RUNS_MS);
	owner = store_last_appender("batch");
	if (owner < 0)
		give_up("nobody runs the older submission");
	note("daemon d%d runs the submissions of " MODEL, owner);
	if (step_play(&steps, STEP, trouble ? stop_owner : NULL, STOP_AFTER_MS))
		return world_end(RULE_BROKEN);
	if (!trouble && !step_was_whole())
		give_up("the step runs out of time without trouble");
	return world_end(RULE_HELD);
}
