#ifndef BUILTIN_BUILTIN_H
#define BUILTIN_BUILTIN_H

/* The subcommands of the client, each with an argp parser of its own. */
enum exit_status {
	EXIT_DONE = 0,
	EXIT_REJECTED = 1, /* answered, and refused */
	EXIT_USAGE = 2, /* the command line or a file is wrong */
	EXIT_UNREACHABLE = 3, /* not run: no daemon took it */
	EXIT_OUTCOME_UNKNOWN = 4, /* it may or may not have taken effect */
};

#define EXIT_STATUS_DOC                                                        \
	"\vExit status: 0 done, 1 rejected, 2 wrong usage, 3 not run because " \
	"no daemon could be reached or none could take it, 4 outcome unknown."

int cmd_run(int argc, char **argv);
int cmd_show(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_check_config(int argc, char **argv);
int cmd_addresses(int argc, char **argv);
int cmd_timeline(int argc, char **argv);
int cmd_health(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_report(int argc, char **argv);
int cmd_status(int argc, char **argv);

#endif
