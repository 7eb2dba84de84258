#ifndef BUILTIN_LINES_H
#define BUILTIN_LINES_H

#include <argp.h>
#include <stdint.h>

/*
 * Statements from arguments, a file or standard input, one a line. Blank
 * lines and comments are passed over.
 */
struct line_handler {
	/* Returns an exit status; anything but 0 ends the reading. */
	int (*handle)(void *arg, const char *text, const char *name,
		      uint32_t line);
	void *arg;
};

/* Where they come from, as the command line says. */
struct line_input {
	const char *file; /* NULL: standard input */
	char **statements; /* of the arguments, each one statement */
	uint32_t count;
};

#define LINE_INPUT_OPTION                                                      \
	{                                                                      \
		"file", 'f', "FILE", 0,                                        \
			"Read statements from FILE, one a line", 0             \
	}

/* Takes an option or the arguments; ARGP_ERR_UNKNOWN if it is another's. */
error_t line_input_parse(struct line_input *input, int key, char *arg,
			 struct argp_state *state);

/*
 * Hands each statement to the handler. Standard input has a prompt if it is a
 * terminal. Returns the exit status.
 */
int line_input_each(const struct line_input *input,
		    const struct line_handler *handler);

#endif
