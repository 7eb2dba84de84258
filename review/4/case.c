/*
 * The operator adds a route, and a batch that was accepted seconds before is
 * submitted once more at another daemon. It names no model.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

#define FOLDER "review/4"
#define CONTACT_MS 3000
#define CONFIG_APPLY_MS 2000
#define DAEMONS 4
#define ENGINES 3
#define ITEMS 24
#define EVENTS 12
#define EVENT_MAX_MS 80
#define MAX_TOKENS 400
#define READ_EVERY_MS 500
#define BUDGET_MS 12000
#define AGAIN_AFTER_MS 3000 /* after the 202 */

#define ROUTE(name, prefix)                                                    \
	"{\"name\":\"" name "\",\"host\":\"" BATCH_HOST "\","                  \
	"\"path_prefix\":\"" prefix "\",\"type\":\"rollout\","                 \
	"\"timeout_ms\":10000,\"goal_ms\":400,\"priority\":1,"                 \
	"\"service\":\"scenario-lm\",\"max_attempts\":3,"                      \
	"\"retention_s\":40.0,\"due_ms\":7500,\"single_version\":false,"       \
	"\"public\":false,\"sticky\":true,\"resumable\":true}"

#define CONFIG(version, routes)                                                \
	"{\"version\":" version ",\"routes\":[" routes "],\"services\":["      \
	"{\"name\":\"scenario-lm\",\"health_path\":\"/healthz\","              \
	"\"max_conns\":150,\"protocol\":\"h1\",\"tls\":false,"                 \
	"\"engine\":{\"slots\":12,\"kv_capacity\":31960,"                      \
	"\"kv_token_bytes\":18432,\"stride\":20,"                              \
	"\"models\":[{\"name\":\"m0\"}]}}],"                                   \
	"\"limits\":{\"max_header_bytes\":16384,"                              \
	"\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,"              \
	"\"idle_timeout_ms\":15000},"                                          \
	"\"tenants\":[{\"name\":\"" BATCH_TENANT "\",\"api_keys\":["           \
	"\"" BATCH_KEY "\"],\"priority\":1}]}"

static const char first_config[] = CONFIG("7", ROUTE("r-a", "/county/"));
static const char second_config[] =
	CONFIG("11", ROUTE("r-a", "/county/") "," ROUTE("r-b", "/county/b/"));

static const char batch_id[] = "7c41e09b52d6a3f8";
static atomic_int runs[ITEMS];

static int item_number(const char *id)
{
	int number = atoi(id + strlen(batch_id) + 1);

	return number >= 0 && number < ITEMS ? number : 0;
}

/* Engines take their time, some less and some more. */
static void run_item(struct engine *engine, struct channel *channel,
		     const struct message *request, const char *id)
{
	unsigned int seed =
		(unsigned int)now_ms() + (unsigned int)item_number(id);
	int event_ms = 1 + (int)(rand_r(&seed) % EVENT_MAX_MS);
	int from = item_last_event(request) + 1;
	char fields[256];

	atomic_fetch_add(&runs[item_number(id)], 1);
	note("engine %s: runs %s from event %d", engine->id, id, from);
	item_fields(id, atomic_load(&engine->version), fields, sizeof(fields));
	if (channel_begin(channel, 200, fields))
		return;
	for (int event = from; event <= EVENTS; event++) {
		char text[128];

		sleep_ms(event_ms);
		snprintf(text, sizeof(text), "%s part %d", id, event);
		if (channel_is_closed(channel) ||
		    item_event(channel, event, text, strlen(text))) {
			channel->close_after = 1;
			return;
		}
	}
	channel_finish(channel);
}

#define ENGINE(name)                                                           \
	{                                                                      \
		.id = name, .service = "scenario-lm", .model = "m0",           \
		.version = 1, .slots = 12, .run = run_item                     \
	}

static struct engine engines[ENGINES] = { ENGINE("i-lm-1"), ENGINE("i-lm-2"),
					  ENGINE("i-lm-3") };

/* Ids by position, as a daemon tells them. */
struct results {
	char ids[ITEMS][64];
	int count;
};

/* Reads from the start until all results are there or the time is up. */
static void read_all(int daemon, struct results *out, int64_t limit_ms)
{
	int64_t end_ms = now_ms() + limit_ms;

	memset(out, 0, sizeof(*out));
	while (out->count < ITEMS && now_ms() < end_ms) {
		int status;
		json_t *body = batch_read(daemons[daemon].front, batch_id,
					  out->count, 0, &status);
		json_t *results = json_object_get(body, "results");
		size_t index;
		json_t *result;

		json_array_foreach (results, index, result)
			if (out->count < ITEMS)
				snprintf(out->ids[out->count++],
					 sizeof(out->ids[0]), "%s",
					 json_string_value(json_object_get(
						 result, "id")));
		json_decref(body);
		if (out->count < ITEMS)
			sleep_ms(READ_EVERY_MS);
	}
	note("requester: has read %d of %d results at d%d", out->count, ITEMS,
	     daemon);
}

static int compare(const struct results *before, const struct results *after)
{
	int other = 0;

	for (int i = 0; i < before->count && i < after->count; i++)
		if (strcmp(before->ids[i], after->ids[i])) {
			note("position %d: %s before, %s now", i,
			     before->ids[i], after->ids[i]);
			other++;
		}
	return other;
}

int main(void)
{
	const struct batch_shape batch = { .id = batch_id,
					   .path = "/county/b/",
					   .item_model = "m0",
					   .items = ITEMS,
					   .group_size = 4,
					   .max_tokens = MAX_TOKENS };
	struct results before, after;
	int64_t accepted_ms;
	int twice = 0;
	int other;

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
	if (batch_submit(daemons[0].front, &batch) != 202)
		give_up("the batch submission is not accepted");
	accepted_ms = now_ms();
	if (trouble) {
		store_put("keyed.op", "config", second_config);
		note("operator: version 11, which adds a route, is "
		     "acknowledged");
	}
	read_all(0, &before, BUDGET_MS);
	if (before.count < ITEMS)
		give_up("the batch is not whole in time");
	if (now_ms() < accepted_ms + AGAIN_AFTER_MS)
		sleep_ms(accepted_ms + AGAIN_AFTER_MS - now_ms());
	if (batch_submit(daemons[1].front, &batch) != 202)
		give_up("the repeated submission is not accepted");
	read_all(1, &after, BUDGET_MS);
	other = compare(&before, &after);
	for (int i = 0; i < ITEMS; i++)
		twice += atomic_load(&runs[i]) > 1;
	note("TWICE: %d of %d positions hold another result than before; none "
	     "may. Engines ran %d items twice",
	     other, ITEMS, twice);
	return world_end(other ? RULE_BROKEN : RULE_HELD);
}
