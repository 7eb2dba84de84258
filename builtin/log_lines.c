#include "builtin/log_lines.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "builtin/builtin.h"
#include "builtin/client.h"

void log_lines_init(struct log_lines *lines)
{
	memset(lines, 0, sizeof(*lines));
}

void log_lines_finish(struct log_lines *lines)
{
	for (size_t i = 0; i < lines->count; i++)
		free(lines->lines[i].line);
	free(lines->lines);
}

static void add(struct log_lines *lines, const char *text)
{
	struct log_line *line;
	struct record_line record;

	if (record_line_read(text, &record))
		return;
	if (lines->count == lines->room) {
		lines->room = lines->room ? lines->room * 2 : 1024;
		lines->lines = xrealloc(lines->lines,
					lines->room * sizeof(*lines->lines));
	}
	line = &lines->lines[lines->count];
	line->order = lines->count++;
	line->line = xstrdup(record.text);
	line->line[strcspn(line->line, "\n")] = '\0';
	line->record = record;
	line->record.text = line->line;
}

static void read_stream(struct log_lines *lines, FILE *stream)
{
	char *text = NULL;
	size_t size = 0;

	while (getline(&text, &size, stream) >= 0)
		add(lines, text);
	free(text);
}

static int compare(const void *a, const void *b)
{
	const struct log_line *left = a;
	const struct log_line *right = b;

	if (left->record.ts_ms != right->record.ts_ms)
		return left->record.ts_ms < right->record.ts_ms ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

int log_lines_read(struct log_lines *lines, char **files, int count)
{
	for (int i = 0; i < count; i++) {
		FILE *file = fopen(files[i], "r");

		if (!file) {
			client_complain("%s: %s", files[i], strerror(errno));
			return EXIT_USAGE;
		}
		read_stream(lines, file);
		fclose(file);
	}
	if (!count)
		read_stream(lines, stdin);
	if (lines->count)
		qsort(lines->lines, lines->count, sizeof(*lines->lines),
		      compare);
	return EXIT_DONE;
}
