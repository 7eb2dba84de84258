#include "base/strbuf.h"
#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/statement_call.h"

struct show_options {
	struct client client;
	struct strbuf text;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct show_options *show = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		client_argp_init(state, &show->client);
		return 0;
	case ARGP_KEY_ARG:
		strbuf_addf(&show->text, " %s", arg);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no subject is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int cmd_show(int argc, char **argv)
{
	static const struct argp argp = {
		NULL,
		parse_option,
		"SUBJECT [where CONDITION [and CONDITION]...] [limit N]",
		"Runs one show statement, made of the arguments." EXIT_STATUS_DOC,
		client_argp_children,
		NULL,
		NULL
	};
	struct statement_source source = { .name = NULL };
	struct show_options show;
	int status;

	client_init(&show.client);
	strbuf_init(&show.text);
	strbuf_addstr(&show.text, "show");
	argp_parse(&argp, argc, argv, 0, NULL, &show);
	status = statement_call_run(&show.client, show.text.buf, NULL, &source);
	strbuf_finish(&show.text);
	client_finish(&show.client);
	return status;
}
