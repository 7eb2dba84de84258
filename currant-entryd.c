/* The daemon of an entry host on the users' platform. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "entry/entry_daemon.h"
#include "entry/entry_lifecycle.h"
#include "platform/settings_decode.h"

#define EXIT_SETTINGS 2 /* or a wrong command line */

struct arguments {
	const char *settings_path;
	uint16_t metrics_port;
	int check_only;
};

static const struct argp_option options[] = {
	{ "check", 'c', 0, 0, "Check the settings file and exit", 0 },
	{ "metrics-port", 'm', "PORT", 0,
	  "Serve counters and status pages on this port, whatever the settings "
	  "say",
	  0 },
	{ 0 },
};

static int read_port(const char *text, uint16_t *port)
{
	char *end;
	long number = strtol(text, &end, 10);

	if (end == text || *end || number < 1 || number > UINT16_MAX)
		return -1;
	*port = (uint16_t)number;
	return 0;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check_only = 1;
		return 0;
	case 'm':
		if (read_port(arg, &arguments->metrics_port))
			argp_error(state, "'%s' is no port", arg);
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->settings_path)
			argp_usage(state);
		arguments->settings_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->settings_path)
			arguments->settings_path =
				getenv(PLATFORM_SETTINGS_VARIABLE);
		if (!arguments->settings_path)
			argp_error(state,
				   "no settings file is named, neither here "
				   "nor in " PLATFORM_SETTINGS_VARIABLE);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "[FILE]",
	.doc = "Runs the currantrelay daemon of an entry host with the "
	       "platform's settings in FILE, or in the file that " PLATFORM_SETTINGS_VARIABLE
	       " names.\v"
	       "SIGTERM and SIGINT stop it gracefully, SIGHUP makes it read "
	       "its settings again. Structured log lines go to standard "
	       "output. Exit status: 0 stopped or checked, 1 it could not "
	       "start, 2 wrong settings or command line.",
};

static int check(const char *path)
{
	struct entry_settings settings;
	struct error err = ERROR_INIT;

	if (platform_settings_read_file(path, &settings, &err)) {
		fprintf(stderr, "currant-entryd: %s\n", err.text);
		return EXIT_SETTINGS;
	}
	printf("%s: settings of '%s' are valid\n", path, settings.name);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static struct entry_daemon daemon;
	struct arguments arguments = { .settings_path = NULL };
	struct error err = ERROR_INIT;

	argp_err_exit_status = EXIT_SETTINGS;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (arguments.check_only)
		return check(arguments.settings_path);
	entry_lifecycle_block_reload();
	if (entry_daemon_init(&daemon, arguments.settings_path,
			      arguments.metrics_port, &err)) {
		fprintf(stderr, "currant-entryd: %s\n", err.text);
		return err.code == ERROR_INVALID ? EXIT_SETTINGS : EXIT_FAILURE;
	}
	entry_daemon_run(&daemon);
	entry_daemon_finish(&daemon);
	return EXIT_SUCCESS;
}
