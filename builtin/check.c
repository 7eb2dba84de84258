#include <argp.h>
#include <stdint.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/lines.h"
#include "builtin/statement_call.h"
#include "lang/statement.h"

struct check_options {
	struct line_input input;
	int failed;
};

static const struct argp_option options[] = { LINE_INPUT_OPTION, { 0 } };

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct check_options *check = state->input;

	return line_input_parse(&check->input, key, arg, state);
}

/* Goes on after a fault, so that one run names them all. */
static int check_one(void *arg, const char *text, const char *name,
		     uint32_t line)
{
	struct statement_source source = { .name = name, .line = line };
	struct check_options *check = arg;
	struct statement statement;
	struct parse_error err;

	if (!statement_parse(text, (uint32_t)strlen(text), &statement, &err))
		return 0;
	statement_complain(&source, text, err.column, err.text);
	check->failed = 1;
	return 0;
}

int cmd_check(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		"[STATEMENT...]",
		"Parses statements without running them and names every "
		"fault." EXIT_STATUS_DOC,
		NULL,
		NULL,
		NULL
	};
	struct check_options check = { .failed = 0 };
	struct line_handler handler = { check_one, &check };
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &check);
	status = line_input_each(&check.input, &handler);
	return status ? status : check.failed ? EXIT_REJECTED : EXIT_DONE;
}
