#include "builtin/lines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "lang/statement.h"

#define PROMPT "currant> "

error_t line_input_parse(struct line_input *input, int key, char *arg,
			 struct argp_state *state)
{
	switch (key) {
	case 'f':
		input->file = arg;
		return 0;
	case ARGP_KEY_ARGS:
		input->statements = state->argv + state->next;
		input->count = (uint32_t)(state->argc - state->next);
		return 0;
	case ARGP_KEY_END:
		if (input->file && input->count)
			argp_error(state,
				   "give statements or --file, not both");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int read_arguments(const struct line_handler *handler, char **arguments,
			  uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		int status = handler->handle(handler->arg, arguments[i], NULL,
					     count > 1 ? i + 1 : 0);

		if (status)
			return status;
	}
	return EXIT_DONE;
}

static int is_farewell(const char *line)
{
	return !strcmp(line, "exit") || !strcmp(line, "quit");
}

/* At a prompt a refused statement does not end the session. */
static int read_lines(const struct line_handler *handler, FILE *file,
		      const char *name, int prompt)
{
	char *line = NULL;
	size_t alloc = 0;
	uint32_t number = 0;
	int status = EXIT_DONE;

	while (prompt || !status) {
		ssize_t len;

		if (prompt) {
			fputs(PROMPT, stdout);
			fflush(stdout);
		}
		len = getline(&line, &alloc, file);
		if (len < 0 && prompt)
			putchar('\n');
		if (len < 0)
			break;
		number++;
		line[strcspn(line, "\n")] = '\0';
		if (statement_is_blank(line, (uint32_t)strlen(line)))
			continue;
		if (prompt && is_farewell(line))
			break;
		status = handler->handle(handler->arg, line, name,
					 prompt ? 0 : number);
	}
	free(line);
	return prompt ? EXIT_DONE : status;
}

static int read_file(const struct line_handler *handler, const char *path)
{
	FILE *file;
	int status;

	if (!path || !strcmp(path, "-"))
		return read_lines(handler, stdin, NULL, isatty(STDIN_FILENO));
	file = fopen(path, "re");
	if (!file) {
		client_complain("cannot open %s: %m", path);
		return EXIT_USAGE;
	}
	status = read_lines(handler, file, path, 0);
	fclose(file);
	return status;
}

int line_input_each(const struct line_input *input,
		    const struct line_handler *handler)
{
	if (input->count)
		return read_arguments(handler, input->statements, input->count);
	return read_file(handler, input->file);
}
