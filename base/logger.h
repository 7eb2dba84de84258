#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>

/*
 * One line an event on a stream:
 *   <wall ms> <level> <daemon> <part>: <short sentence>
 * Each part of the program has a `struct log_part` of its own with a fixed
 * prefix, so that a line tells where it comes from.
 */
enum log_level { LOG_DEBUG = 0, LOG_INFO, LOG_WARNING, LOG_ERROR };

struct logger {
	FILE *stream;
	enum log_level level;
	char name[64];
	pthread_mutex_t lock;
};

struct log_part {
	struct logger *logger; /* NULL: say nothing */
	const char *prefix;
};

void logger_init(struct logger *logger, FILE *stream, enum log_level level,
		 const char *name);
void logger_finish(struct logger *logger);

__attribute__((format(printf, 3, 4))) void log_line(const struct log_part *part,
						    enum log_level level,
						    const char *fmt, ...);

#define log_debug(part, ...) log_line(part, LOG_DEBUG, __VA_ARGS__)
#define log_info(part, ...) log_line(part, LOG_INFO, __VA_ARGS__)
#define log_warning(part, ...) log_line(part, LOG_WARNING, __VA_ARGS__)
#define log_error(part, ...) log_line(part, LOG_ERROR, __VA_ARGS__)

/* Reads "debug", "info", "warning" or "error"; returns -1 for others. */
int log_level_parse(const char *text, enum log_level *level);

#endif
