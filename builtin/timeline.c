#include <stdio.h>
#include <stdlib.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/timeline_merge.h"

#define LAST_MAX 1000000

struct timeline_options {
	struct client client;
	size_t last;
};

static const struct argp_option options[] = {
	{ "last", 'n', "N", 0, "Print only the last N events", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct timeline_options *timeline = state->input;
	char *end;

	switch (key) {
	case 'n':
		timeline->last = strtoul(arg, &end, 10);
		if (*end || !timeline->last || timeline->last > LAST_MAX)
			argp_error(state, "--last must be 1 to %d, not '%s'",
				   LAST_MAX, arg);
		return 0;
	default:
		return client_argp_rest(key, arg, state, &timeline->client);
	}
}

static const char *text_of(const json_t *event, const char *key)
{
	const char *text = json_string_value(json_object_get(event, key));

	return text ? text : "-";
}

static void print_events(const json_t *events)
{
	size_t i;
	json_t *event;

	json_array_foreach (events, i, event)
		printf("%8" JSON_INTEGER_FORMAT "  %-12s  %-12s  %s\n",
		       json_integer_value(json_object_get(event, "lamport")),
		       text_of(event, "process"), text_of(event, "part"),
		       text_of(event, "text"));
}

static int take(void *arg, const struct client_answer *answer)
{
	json_t *all = arg;

	if (answer->status == 200 && !timeline_merge_add(all, answer->json))
		return EXIT_DONE;
	client_complain("%s answered status %d: %s", answer->daemon,
			answer->status, text_of(answer->json, "detail"));
	return EXIT_REJECTED;
}

int cmd_timeline(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		NULL,
		"Asks every daemon given for its events and merges them by "
		"logical time, so that causes come before their effects "
		"whatever the clocks say. Events of daemons that cannot be "
		"asked are missing, and the exit status tells." EXIT_STATUS_DOC,
		client_argp_children,
		NULL,
		NULL
	};
	struct timeline_options timeline = { .last = 0 };
	json_t *all = json_array();
	json_t *sorted;
	int status;

	client_init(&timeline.client);
	argp_parse(&argp, argc, argv, 0, NULL, &timeline);
	status = client_ask_each(&timeline.client, "/v1/timeline", take, all);
	sorted = timeline_merge_sorted(all, timeline.last);
	if (timeline.client.json)
		client_print_json(sorted);
	else
		print_events(sorted);
	json_decref(sorted);
	json_decref(all);
	client_finish(&timeline.client);
	return status;
}
