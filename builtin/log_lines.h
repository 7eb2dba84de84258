#ifndef BUILTIN_LOG_LINES_H
#define BUILTIN_LOG_LINES_H

#include <stddef.h>

#include "base/record_line.h"

/* The records of several daemons' output, in order of their hosts' clocks. */
struct log_line {
	char *line; /* as it was read */
	size_t order; /* in which it was read */
	struct record_line record;
};

struct log_lines {
	struct log_line *lines;
	size_t count;
	size_t room;
};

void log_lines_init(struct log_lines *lines);
void log_lines_finish(struct log_lines *lines);

/*
 * Reads the files, or standard input if there is none; lines that are no
 * records are passed over. Returns an exit status, having complained.
 */
int log_lines_read(struct log_lines *lines, char **files, int count);

#endif
