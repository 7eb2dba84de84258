/* The daemon: reads its settings, runs until it is told to stop. */
#include <argp.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "app/daemon.h"
#include "settings/check.h"

#define EXIT_SETTINGS 2 /* or a wrong command line */
#define MMAP_THRESHOLD_BYTES 131072

struct arguments {
	const char *settings_path;
	int check_only;
};

static const struct argp_option options[] = {
	{ "check", 'c', 0, 0, "Check the settings file and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check_only = 1;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->settings_path)
			argp_usage(state);
		arguments->settings_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->settings_path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "FILE",
	.doc = "Runs one currantrelay daemon with the settings in FILE.\v"
	       "SIGTERM and SIGINT stop it gracefully: it is no longer named "
	       "in address answers, running requests end, then it exits. "
	       "Exit status: 0 stopped or checked, 1 it could not start, 2 "
	       "wrong settings or command line.",
};

/* Blocks the signals first, so that every thread inherits the mask. */
static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int run(const struct settings *settings, const sigset_t *signals)
{
	static struct daemon daemon;
	struct error err = ERROR_INIT;
	int received;

	if (daemon_start(&daemon, settings, &err)) {
		fprintf(stderr, "currantd: %s\n", err.text);
		return EXIT_FAILURE;
	}
	sigwait(signals, &received);
	daemon_stop(&daemon);
	return EXIT_SUCCESS;
}

/*
 * Left alone, malloc() raises its threshold with the first large body, and
 * then each thread's arena keeps the memory of bodies that are gone.
 */
static void return_large_blocks(void)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
}

int main(int argc, char **argv)
{
	struct arguments arguments = { .settings_path = NULL };
	struct error err = ERROR_INIT;
	struct settings settings;
	sigset_t signals;

	return_large_blocks();
	argp_err_exit_status = EXIT_SETTINGS;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	settings_init(&settings);
	if (settings_read_file(&settings, arguments.settings_path, &err)) {
		fprintf(stderr, "currantd: %s\n", err.text);
		return EXIT_SETTINGS;
	}
	if (settings_check_files(&settings, &err)) {
		fprintf(stderr, "currantd: %s\n", err.text);
		return EXIT_SETTINGS;
	}
	if (arguments.check_only) {
		printf("%s: settings of '%s' are valid\n",
		       arguments.settings_path, settings.name);
		return EXIT_SUCCESS;
	}
	block_signals(&signals);
	return run(&settings, &signals);
}
