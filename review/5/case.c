/*
 * The operator moves a trainer's route to another service of engines in the
 * middle of a step. Engines of both services take orders and are sound.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "step.h"

#define FOLDER "review/5"
#define CONTACT_MS 3000
#define DAEMONS 4
#define ENGINES 4 /* two of each service */
#define ITEMS 40
#define GROUP_SIZE 8
#define TARGET_GROUPS 5
#define EVENTS 50
#define EVENT_EVERY_MS 58
#define MAX_TOKENS 2400
#define BUDGET_MS 12000
#define TRAINING_MS 1000
#define MOVED_AFTER_MS 500 /* after the 202 */
#define STEPS_BEFORE 4

#define SERVICE(name)                                                          \
	"{\"name\":\"" name "\",\"health_path\":\"/healthz\","                 \
	"\"max_conns\":150,\"protocol\":\"h1\",\"tls\":false,"                 \
	"\"engine\":{\"slots\":12,\"kv_capacity\":31960,"                      \
	"\"kv_token_bytes\":18432,\"stride\":20,"                              \
	"\"models\":[{\"name\":\"m0\"}]}}"

#define CONFIG(version, service)                                                        \
	"{\"version\":" version ",\"routes\":["                                         \
	"{\"name\":\"r-0\",\"host\":\"" BATCH_HOST "\","                                \
	"\"path_prefix\":\"/m0/\",\"type\":\"rollout\","                                \
	"\"timeout_ms\":10000,\"goal_ms\":400,\"priority\":1,"                          \
	"\"service\":\"" service "\",\"max_attempts\":3,"                               \
	"\"retention_s\":40.0,\"due_ms\":7500,\"single_version\":false,"                \
	"\"public\":false,\"sticky\":true,\"resumable\":true}],"                        \
	"\"services\":[" SERVICE("scenario-lm") "," SERVICE(                            \
		"scenario-b") "],"                                                      \
			      "\"limits\":{\"max_header_bytes\":16384,"                 \
			      "\"max_body_bytes\":33554432,\"header_timeout_ms\":3000," \
			      "\"idle_timeout_ms\":15000},"                             \
			      "\"tenants\":[{\"name\":\"" BATCH_TENANT                  \
			      "\",\"api_keys\":["                                       \
			      "\"" BATCH_KEY "\"],\"priority\":1}]}"

static const char first_config[] = CONFIG("7", "scenario-lm");
static const char second_config[] = CONFIG("11", "scenario-b");

static int send_events(struct engine *engine, struct channel *channel,
		       const char *id, int from)
{
	int version = engine_version(engine, "m0");
	char fields[256];

	item_fields(id, version, fields, sizeof(fields));
	if (channel_begin(channel, 200, fields))
		return -1;
	for (int event = from; event <= EVENTS; event++) {
		int now;
		char text[256];
		int len = 0;

		sleep_ms(EVENT_EVERY_MS);
		now = engine_version(engine, "m0");
		if (now != version)
			len = snprintf(text, sizeof(text),
				       "x-weight-versions: %d\n", now);
		version = now;
		len += snprintf(text + len, sizeof(text) - (size_t)len,
				"id: %d\ndata: %s part %d\n\n", event, id,
				event);
		if (channel_is_closed(channel) ||
		    channel_chunk(channel, text, (size_t)len))
			return -1;
	}
	return channel_finish(channel);
}

static void run_item(struct engine *engine, struct channel *channel,
		     const struct message *request, const char *id)
{
	int from = item_last_event(request) + 1;
	int result;

	note("engine %s (%s): runs %s from event %d, version %d", engine->id,
	     engine->service, id, from, engine_version(engine, "m0"));
	step_run_begins(id);
	result = send_events(engine, channel, id, from);
	step_run_ends(id, !result);
	channel->close_after = result != 0;
}

#define ENGINE(name, of)                                                       \
	{                                                                      \
		.id = name, .service = of, .model = "m0", .version = 1,        \
		.slots = 12, .run = run_item                                   \
	}

static struct engine engines[ENGINES] = { ENGINE("i-lm-1", "scenario-lm"),
					  ENGINE("i-lm-2", "scenario-lm"),
					  ENGINE("i-b-1", "scenario-b"),
					  ENGINE("i-b-2", "scenario-b") };

static void move_route(void)
{
	store_put("keyed.op", "config", second_config);
	note("operator: version 11, which moves the route to scenario-b, is "
	     "acknowledged");
}

int main(void)
{
	const struct steps steps = {
		.shape = { .path = "/m0/",
			   .model = "m0",
			   .item_model = "m0",
			   .items = ITEMS,
			   .group_size = GROUP_SIZE,
			   .max_tokens = MAX_TOKENS },
		.target_groups = TARGET_GROUPS,
		.budget_ms = BUDGET_MS,
		.engines = engines,
		.engine_count = ENGINES,
		.daemons = DAEMONS,
	};
	int version = 1;
	int lost;

	world_init(FOLDER);
	store_start();
	store_put("keyed.op", "config", first_config);
	for (int i = 0; i < ENGINES; i++)
		engine_start(&engines[i]);
	for (int i = 0; i < DAEMONS; i++)
		daemon_start(i);
	for (int i = 0; i < DAEMONS; i++)
		daemon_wait_ready(i);
	sleep_ms(CONTACT_MS + 500);
	for (int i = 0; i < STEPS_BEFORE; i++) {
		step_play(&steps, ++version, NULL, 0);
		if (!step_was_whole())
			give_up("a step before runs out of time");
		sleep_ms(TRAINING_MS);
	}
	lost = step_play(&steps, ++version, trouble ? move_route : NULL,
			 MOVED_AFTER_MS);
	sleep_ms(TRAINING_MS);
	/* The next step shows that the route works where it is now. */
	lost += step_play(&steps, ++version, NULL, 0);
	note("LOST: %d items, which no engine had finished or failed, had been "
	     "at no engine for 5 s when their step ran out of time; none may",
	     lost);
	return world_end(lost ? RULE_BROKEN : RULE_HELD);
}
