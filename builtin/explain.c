#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/log_lines.h"

/* What is told of a host before and after the lines that name the id. */
#define BEFORE_MS 10000
#define AFTER_MS 2000
#define HOSTS_MAX 64

struct explain_options {
	const char *id;
	char **files;
	int file_count;
	int json;
};

static const struct argp_option options[] = {
	{ "json", 'j', 0, 0, "Print one JSON object", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct explain_options *explain = state->input;

	switch (key) {
	case 'j':
		explain->json = 1;
		return 0;
	case ARGP_KEY_ARG:
		explain->id = arg;
		explain->files = state->argv + state->next;
		explain->file_count = state->argc - state->next;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no id is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* What a line that ends a request means, where its reason says more. */
struct meaning {
	const char *part;
	const char *event;
	const char *reason; /* NULL: any */
	const char *text;
};

static const struct meaning meanings[] = {
	{ "forward", "answered", NULL, "a server's answer was passed on" },
	{ "forward", "cut", NULL, "a server broke off a stream midway" },
	{ "forward", "abandoned", NULL, "its caller went away" },
	{ "forward", "given_up", "timeout",
	  "no whole answer came in the time that was left" },
	{ "forward", "given_up", "overloaded", "all servers were full" },
	{ "forward", "given_up", "no_server", "no server could be reached" },
	{ "forward", "given_up", "crashes_servers",
	  "servers that ran this request were lost" },
	{ "forward", "given_up", "keys_unconfirmed",
	  "the daemon could no longer read whether keys were withdrawn" },
	{ "forward", "given_up", "outcome_unknown",
	  "a server broke off, and it may have run" },
	{ "callers", "denied", "key_invalid",
	  "its key was not in the configuration in force" },
	{ "callers", "denied", "keys_unconfirmed",
	  "the daemon could not read whether keys were withdrawn" },
	{ "callers", "denied", "no_route",
	  "no route of the configuration in force fits it" },
	{ "callers", "denied", "no_config",
	  "the daemon had just started and knew no configuration" },
	{ "batch", "accepted", NULL, "the store holds the batch" },
	{ "batch", "refused", "store_unavailable",
	  "the store did not take the batch" },
	{ "batch", "refused", "outcome_unknown",
	  "the store did not say whether it holds the batch" },
	{ "batch", "refused", "malformed_batch",
	  "what was submitted is no batch" },
	{ "batch", "refused", "no_reward_route",
	  "a call that scores its texts has no route" },
	{ "items", "given_up", "rejected",
	  "an engine said that the item can never be done" },
	{ "items", "given_up", "failed_runs",
	  "engines failed the item as often as its route allows" },
	{ "items", "given_up", "failed_rewards",
	  "servers failed to score its text as often as the route allows" },
	{ "items", "given_up", "retention", "the item's time was over" },
	{ "items", "given_up", "no_route", "its route was dropped" },
	{ "items", "stored_late", NULL, "the store took the result late" },
	{ "items", "complete", NULL, "the item was complete" },
	{ "items", "given_up", NULL, "the item was given up" },
};

static const char *meaning_of(const struct record_line *record)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(meanings); i++) {
		const struct meaning *m = &meanings[i];

		if (record_line_is(record, "part", m->part) &&
		    record_line_is(record, "event", m->event) &&
		    (!m->reason || record_line_is(record, "reason", m->reason)))
			return m->text;
	}
	return NULL;
}

static int names_id(const struct record_line *record, const char *id)
{
	static const char *const keys[] = { "id", "item", "batch", "request",
					    "server" };

	for (uint32_t i = 0; i < ARRAY_SIZE(keys); i++)
		if (record_line_is(record, keys[i], id))
			return 1;
	return 0;
}

/* Lines about a host that may explain what it did with a request. */
static int is_context(const struct record_line *record)
{
	return record_line_is(record, "part", "store") ||
	       record_line_is(record, "part", "daemon") ||
	       record_line_is(record, "part", "crashes") ||
	       (record_line_is(record, "part", "config") &&
		record_line_is(record, "event", "in_force"));
}

/* The hosts that handled it, and when. */
struct scene {
	char hosts[HOSTS_MAX][64];
	uint32_t host_count;
	int64_t from_ms;
	int64_t to_ms;
};

static int knows_host(const struct scene *scene, const char *host)
{
	for (uint32_t i = 0; i < scene->host_count; i++)
		if (!strcmp(scene->hosts[i], host))
			return 1;
	return 0;
}

static void note_scene(struct scene *scene, const struct record_line *record)
{
	char host[64] = "";

	if (!scene->host_count)
		scene->from_ms = record->ts_ms - BEFORE_MS;
	scene->to_ms = record->ts_ms + AFTER_MS;
	record_line_field(record, "host", host, sizeof(host));
	if (!knows_host(scene, host) && scene->host_count < HOSTS_MAX)
		copy_text(scene->hosts[scene->host_count++], sizeof(host),
			  host);
}

static int is_in_scene(const struct scene *scene,
		       const struct record_line *record)
{
	char host[64] = "";

	record_line_field(record, "host", host, sizeof(host));
	return record->ts_ms >= scene->from_ms &&
	       record->ts_ms <= scene->to_ms && knows_host(scene, host);
}

static json_t *explain(const struct log_lines *lines, const char *id)
{
	struct scene scene = { .host_count = 0 };
	json_t *own = json_array();
	json_t *context = json_array();
	const char *meaning = NULL;

	for (size_t i = 0; i < lines->count; i++) {
		const struct record_line *record = &lines->lines[i].record;
		const char *text;

		if (!names_id(record, id))
			continue;
		note_scene(&scene, record);
		json_array_append_new(own, json_string(record->text));
		text = meaning_of(record);
		if (text)
			meaning = text;
	}
	for (size_t i = 0; i < lines->count; i++) {
		const struct record_line *record = &lines->lines[i].record;

		if (is_context(record) && is_in_scene(&scene, record) &&
		    !names_id(record, id))
			json_array_append_new(context,
					      json_string(record->text));
	}
	return json_pack("{s:s, s:s?, s:o, s:o}", "id", id, "meaning", meaning,
			 "lines", own, "context", context);
}

static void print_list(const char *title, const json_t *list)
{
	size_t i;
	json_t *line;

	printf("%s:\n", title);
	json_array_foreach (list, i, line)
		printf("  %s\n", json_string_value(line));
	if (!json_array_size(list))
		printf("  none\n");
}

static void print_text(const json_t *explained)
{
	const char *meaning =
		json_string_value(json_object_get(explained, "meaning"));

	print_list("lines that name it", json_object_get(explained, "lines"));
	print_list("its hosts meanwhile",
		   json_object_get(explained, "context"));
	printf("meaning: %s\n", meaning ? meaning : "not told by these lines");
}

int cmd_explain(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		"ID [FILE...]",
		"Follows a request, batch, item or backend server by its id "
		"through the lines of all daemons, in files or on standard "
		"input, and shows what its hosts went through "
		"meanwhile." EXIT_STATUS_DOC,
		NULL,
		NULL,
		NULL
	};
	struct explain_options explained = { .id = NULL };
	struct log_lines lines;
	json_t *result;
	int status;

	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &explained);
	log_lines_init(&lines);
	status = log_lines_read(&lines, explained.files, explained.file_count);
	if (status) {
		log_lines_finish(&lines);
		return status;
	}
	result = explain(&lines, explained.id);
	if (!json_array_size(json_object_get(result, "lines"))) {
		client_complain("no line names '%s'", explained.id);
		status = EXIT_REJECTED;
	} else if (explained.json) {
		client_print_json(result);
	} else {
		print_text(result);
	}
	json_decref(result);
	log_lines_finish(&lines);
	return status;
}
