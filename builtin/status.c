#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/strbuf.h"
#include "builtin/builtin.h"
#include "builtin/client.h"

#define OPTION_BATCH 256
#define OPTION_FROM 257

struct status_options {
	struct client client;
	const char *subject; /* "": the daemon itself */
	const char *batch;
	const char *from;
};

static const struct argp_option options[] = {
	{ "batch", OPTION_BATCH, "ID", 0, "The batch whose items are shown",
	  0 },
	{ "from", OPTION_FROM, "NUMBER", 0,
	  "Leaves out the rows before this one, from 0 on: a page holds 1000",
	  0 },
	{ 0 }
};

static const char *const subjects[] = {
	"config", "hosts", "engines", "leases", "store", "batches", "items",
};

/* Bytes that stand in a query as they are. */
static int is_plain(const char *text)
{
	return *text && !text[strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
					   "abcdefghijklmnopqrstuvwxyz"
					   "0123456789-._~:")];
}

static int is_number(const char *text)
{
	return *text && !text[strspn(text, "0123456789")] && strlen(text) < 19;
}

static void take_subject(struct argp_state *state, const char *arg)
{
	struct status_options *status = state->input;

	if (status->subject[0])
		argp_error(state, "'%s' is one argument too many", arg);
	for (uint32_t i = 0; i < ARRAY_SIZE(subjects); i++)
		if (!strcmp(subjects[i], arg))
			status->subject = arg;
	if (!status->subject[0])
		argp_error(state, "'%s' can't be shown", arg);
}

static void check(struct argp_state *state)
{
	const struct status_options *status = state->input;
	int wants_items = !strcmp(status->subject, "items");

	if (wants_items != (status->batch != NULL))
		argp_error(state, "--batch goes with items, and only there");
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct status_options *status = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		take_subject(state, arg);
		return 0;
	case OPTION_BATCH:
		if (!is_plain(arg))
			argp_error(state, "'%s' is no id of a batch", arg);
		status->batch = arg;
		return 0;
	case OPTION_FROM:
		if (!is_number(arg))
			argp_error(state, "--from must be a number, not '%s'",
				   arg);
		status->from = arg;
		return 0;
	case ARGP_KEY_END:
		check(state);
		return 0;
	default:
		return client_argp_rest(key, arg, state, &status->client);
	}
}

static void print_value(const char *name, const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		printf(" %s=%s", name,
		       json_string_length(value) ? json_string_value(value)
						 : "-");
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	printf(" %s=%s", name, text);
	free(text);
}

static int has_rows(const json_t *value)
{
	return json_is_array(value) && json_is_object(json_array_get(value, 0));
}

/* "entry-1 hosts name=entry-1 alive=true ...", one line a row. */
static void print_rows(const char *daemon, const char *name, const json_t *list)
{
	size_t i;
	json_t *row;

	json_array_foreach (list, i, row) {
		const char *key;
		json_t *value;

		printf("%s %s", daemon, name);
		json_object_foreach (row, key, value)
			print_value(key, value);
		putchar('\n');
	}
}

static void print_page(const json_t *page)
{
	const char *daemon = json_string_value(json_object_get(page, "name"))
				     ?: "-";
	const char *key;
	json_t *value;

	printf("%s", daemon);
	json_object_foreach ((json_t *)page, key, value)
		if (strcmp(key, "name") && !has_rows(value))
			print_value(key, value);
	putchar('\n');
	json_object_foreach ((json_t *)page, key, value)
		if (has_rows(value))
			print_rows(daemon, key, value);
}

static int take(void *arg, const struct client_answer *answer)
{
	const struct status_options *status = arg;

	if (answer->status != 200 || !json_is_object(answer->json)) {
		client_complain("%s has nothing to show: status %d",
				answer->daemon, answer->status);
		return EXIT_REJECTED;
	}
	if (status->client.json)
		client_print_json(answer->json);
	else
		print_page(answer->json);
	return EXIT_DONE;
}

static void write_path(const struct status_options *status, struct strbuf *out)
{
	char sign = '?';

	strbuf_addf(out, "/status%s%s", status->subject[0] ? "/" : "",
		    status->subject);
	if (status->batch) {
		strbuf_addf(out, "%cbatch=%s", sign, status->batch);
		sign = '&';
	}
	if (status->from)
		strbuf_addf(out, "%cfrom=%s", sign, status->from);
}

int cmd_status(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		"[config|hosts|engines|leases|store|batches|items]",
		"Shows what each daemon on the platform believes: itself, or "
		"the subject. --daemon names their metrics addresses." EXIT_STATUS_DOC,
		client_argp_children,
		NULL,
		NULL
	};
	struct status_options status = { .subject = "" };
	struct strbuf path;
	int result;

	client_init(&status.client);
	argp_parse(&argp, argc, argv, 0, NULL, &status);
	strbuf_init(&path);
	write_path(&status, &path);
	result = client_ask_each(&status.client, path.buf, take, &status);
	strbuf_finish(&path);
	client_finish(&status.client);
	return result;
}
