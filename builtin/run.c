#include <string.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/lines.h"
#include "builtin/statement_call.h"

#define OPTION_ID 256

struct run_options {
	struct client client;
	struct line_input input;
	const char *id;
};

static const struct argp_option options[] = {
	LINE_INPUT_OPTION,
	{ "id", OPTION_ID, "ID", 0,
	  "Ask again for the outcome of the statement with this id", 0 },
	{ 0 }
};

static void check(struct run_options *run, struct argp_state *state)
{
	if (run->id && run->input.count != 1)
		argp_error(state, "--id goes with exactly one statement");
	if (run->id && (!*run->id || strlen(run->id) >= STATEMENT_ID_BYTES))
		argp_error(state, "--id must have 1 to %d bytes",
			   STATEMENT_ID_BYTES - 1);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct run_options *run = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		client_argp_init(state, &run->client);
		return 0;
	case OPTION_ID:
		run->id = arg;
		return 0;
	case ARGP_KEY_END:
		line_input_parse(&run->input, key, arg, state);
		check(run, state);
		return 0;
	default:
		return line_input_parse(&run->input, key, arg, state);
	}
}

static int run_one(void *arg, const char *text, const char *name, uint32_t line)
{
	struct run_options *run = arg;
	struct statement_source source = { .name = name, .line = line };

	return statement_call_run(&run->client, text, run->id, &source);
}

int cmd_run(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		"[STATEMENT...]",
		"Runs statements of the query and command language: those "
		"given as arguments, or from --file, or from standard input "
		"(with a prompt on a terminal). It stops at the first that "
		"fails." EXIT_STATUS_DOC,
		client_argp_children,
		NULL,
		NULL
	};
	struct run_options run = { .id = NULL };
	struct line_handler handler = { run_one, &run };
	int status;

	client_init(&run.client);
	argp_parse(&argp, argc, argv, 0, NULL, &run);
	status = line_input_each(&run.input, &handler);
	client_finish(&run.client);
	return status;
}
