/* The client of operators and of the monitor. */
#include <argp.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "builtin/builtin.h"
#include "builtin/client.h"

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
};

static const struct command commands[] = {
	{ "run", cmd_run },	      { "show", cmd_show },
	{ "check", cmd_check },	      { "addresses", cmd_addresses },
	{ "timeline", cmd_timeline }, { "health", cmd_health },
	{ "explain", cmd_explain },   { "report", cmd_report },
	{ "status", cmd_status },     { "check-config", cmd_check_config },
};

static const char doc[] =
	"Drives a currantrelay system through any of its daemons.\n\n"
	"Commands:\n"
	"  run        run statements: arguments, a file or a prompt\n"
	"  show       run one show statement\n"
	"  check      parse statements without running them\n"
	"  addresses  print the addresses that callers should use\n"
	"  timeline   merge the events of several daemons\n"
	"  health     ask each daemon whether it is ready\n"
	"  status     show what each daemon on the platform believes\n"
	"  explain    follow an id through the lines of all daemons\n"
	"  report     sum up the lines of all daemons, with plots\n"
	"  check-config\n"
	"             check a configuration of the platform before it is sent\n\n"
	"Each command has its own --help." EXIT_STATUS_DOC;

/* Where the command's own arguments begin. */
struct selection {
	const struct command *command;
	int first;
};

static const struct command *find_command(const char *name)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct selection *selection = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		selection->command = find_command(arg);
		if (!selection->command)
			argp_error(state, "unknown command '%s'", arg);
		selection->first = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no command is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		NULL, parse_option, "COMMAND [ARGUMENT...]", doc, NULL,
		NULL, NULL
	};
	struct selection selection = { NULL, 0 };
	char name[64];

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &selection);
	/* Usage lines of the command name it as it is called. */
	snprintf(name, sizeof(name), "currant %s", selection.command->name);
	argv[selection.first] = name;
	return selection.command->run(argc - selection.first,
				      argv + selection.first);
}
