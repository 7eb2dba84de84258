/* A new route's batch, while the store turns away one machine for a moment. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define ROUNDS 10
#define ITEMS 16
#define FIELDS                                                                 \
	"Host: ficu95.example\r\nApi-Key: 2b9wu3fexd9dnn2ctnfz\r\n"            \
	"X-Deadline-Ms: 12000\r\n"

static void put_config(int routes)
{
	char text[16384];
	size_t n = 0;

	n += (size_t)snprintf(text, sizeof(text),
			      "{\"version\":%d,"
			      "\"routes\":[",
			      10 + 3 * routes);
	for (int i = 0; i <= routes; i++)
		n += (size_t)snprintf(
			text + n, sizeof(text) - n,
			"%s{\"name\":\"r-%d\",\"host\":\"ficu95.example\","
			"\"path_prefix\":\"/train%d/\",\"type\":\"rollout\","
			"\"timeout_ms\":10000,\"goal_ms\":400,\"priority\":1,"
			"\"service\":\"huvo11a\",\"max_attempts\":3,"
			"\"retention_s\":40.0,\"due_ms\":7500,"
			"\"single_version\":false,\"public\":false,"
			"\"sticky\":true,\"resumable\":true}",
			i ? "," : "", i, i);
	snprintf(text + n, sizeof(text) - n,
		 "],\"services\":[{\"name\":\"huvo11a\",\"health_path\":"
		 "\"/healthz\",\"max_conns\":150,\"protocol\":\"h1\","
		 "\"tls\":false,\"engine\":{\"slots\":12,\"kv_capacity\":31960,"
		 "\"stride\":1,\"models\":[{\"name\":\"" MODEL "\"}]}}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		 "33554432,\"header_timeout_ms\":3000,\"idle_timeout_ms\":"
		 "15000},\"tenants\":[{\"name\":\"huka270\",\"api_keys\":"
		 "[\"2b9wu3fexd9dnn2ctnfz\"],\"priority\":1}]}");
	operator_put("config", text);
}

static void item_id(int round, int item, char *out, size_t size)
{
	snprintf(out, size, "it%04d%010d", round, item);
}

/* Returns the status of the submission. */
static int submit(int daemon, int round)
{
	char fields[512], path[64], id[32], item[512];
	char *body = malloc(ITEMS * 512 + 512);
	struct answer answer;
	size_t n;
	int status;

	n = (size_t)sprintf(body,
			    "{\"step\":%d,\"model\":\"" MODEL
			    "\",\"min_version\":1,\"target_groups\":4,"
			    "\"items\":[",
			    round);
	for (int i = 0; i < ITEMS; i++) {
		item_id(round, i, id, sizeof(id));
		snprintf(item, sizeof(item),
			 "%s{\"id\":\"%s\",\"path\":\"/train%d/%d\","
			 "\"headers\":{\"X-Model\":\"" MODEL
			 "\",\"X-Token-Count\":\"271,12\"},"
			 "\"body\":\"q83vEjRWeJA=\",\"tokens\":283,"
			 "\"group\":\"g%d\"}",
			 i ? "," : "", id, round, i, i / 4);
		n += (size_t)sprintf(body + n, "%s", item);
	}
	sprintf(body + n, "]}");
	snprintf(fields, sizeof(fields),
		 FIELDS "X-Attempt-Id: lot%013d\r\n"
			"Content-Type: application/json\r\n",
		 round);
	snprintf(path, sizeof(path), "/train%d/lot", round);
	answer = call_daemon(daemon, "POST", path, fields, body, 5000);
	status = answer.status;
	note("trainer: lot %d submitted to daemon %d -> %d", round, daemon,
	     status);
	answer_free(&answer);
	free(body);
	return status;
}

/* Judges one result of the list. */
static void check_result(int round, const json_t *result)
{
	const char *id = json_string_value(json_object_get(result, "id"));
	const char *state = json_string_value(json_object_get(result, "state"));
	const char *text = json_string_value(json_object_get(result, "text"));
	struct run list[32];
	char whole[2048];
	int count = runs_of(id, list, 32);

	whole_text(id, whole, sizeof(whole));
	if (!strcmp(state, "dead_letter"))
		broken("MIXED: lot %d: %s is dead_letter; its route is in "
		       "force, it ran %d times, no engine answered 422 or 500",
		       round, id, count);
	else if (strcmp(text, whole) != 0)
		broken("MIXED: lot %d: %s is complete and its text is not "
		       "whole",
		       round, id);
}

/* Reads all results; returns their number. */
static int read_results(int daemon, int round, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	int listed = 0;

	while (listed < ITEMS && now_ms() < until) {
		char path[96];
		struct answer answer;
		json_t *root;
		size_t index;
		json_t *result;

		snprintf(path, sizeof(path), "/v1/lots/lot%013d?after=%d",
			 round, listed);
		answer = call_daemon(daemon, "GET", path,
				     FIELDS "X-Wait-Ms: 1000\r\n", NULL, 3000);
		root = answer.status == 200
			       ? json_loadb(answer.body, answer.len, 0, NULL)
			       : NULL;
		json_array_foreach (json_object_get(root, "results"), index,
				    result) {
			check_result(round, result);
			listed++;
		}
		if (!root)
			note("trainer: lot %d read -> %d", round,
			     answer.status);
		json_decref(root);
		answer_free(&answer);
		sleep_ms(100);
	}
	note("trainer: lot %d: %d of %d listed", round, listed, ITEMS);
	return listed;
}

static void end_lot(int daemon, int round)
{
	char path[96];
	struct answer answer;

	snprintf(path, sizeof(path), "/v1/lots/lot%013d", round);
	answer = call_daemon(daemon, "DELETE", path, FIELDS, NULL, 5000);
	note("trainer: lot %d ended -> %d", round, answer.status);
	answer_free(&answer);
}

/* Between a third of a second and 1.2 s, spread evenly. */
static int64_t outage_ms(int round)
{
	return 300 + (round * 370) % 900;
}

int main(int argc, char **argv)
{
	int owner, other;

	if (argc != 2)
		return 2;
	world_init(argv[1]);
	for (int i = 0; i < 3; i++)
		add_engine("huvo11a", 1, 12);
	add_daemons(3, "bergen-a");
	put_config(0);
	for (int i = 0; i < 3; i++)
		start_daemon(i);
	if (wait_all_ready(10000))
		could_not_run("the daemons are not ready");
	sleep_ms(6000);
	if (submit(0, 0) != 202 || read_results(0, 0, 8000) < ITEMS)
		could_not_run("a batch without a disruption is not done");
	owner = last_batch_writer();
	end_lot(0, 0);
	sleep_ms(1000);
	for (int round = 1; round <= ROUNDS; round++) {
		int64_t began = now_ms();
		int status;

		other = (owner + 1) % 3;
		note("round %d: daemon %d runs the batches, %d accepts", round,
		     owner, other);
		if (trouble())
			set_store_mode(owner, STORE_RESETS);
		sleep_ms(50);
		put_config(round);
		sleep_ms(150);
		status = submit(other, round);
		sleep_ms(began + outage_ms(round) - now_ms());
		if (trouble())
			set_store_mode(owner, STORE_SERVES);
		if (status == 202) {
			read_results(other, round, 10000);
			owner = last_batch_writer();
			end_lot(other, round);
		}
		sleep_ms(2500);
	}
	return world_end();
}
