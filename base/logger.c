#include "base/logger.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"

#define LOG_LINE_BYTES 1024

static const char *const level_names[] = { "debug", "info", "warning",
					   "error" };

void logger_init(struct logger *logger, FILE *stream, enum log_level level,
		 const char *name)
{
	logger->stream = stream;
	logger->level = level;
	copy_text(logger->name, sizeof(logger->name), name);
	pthread_mutex_init(&logger->lock, NULL);
}

void logger_finish(struct logger *logger)
{
	fflush(logger->stream);
	pthread_mutex_destroy(&logger->lock);
}

/* Keeps an event on one line, whatever text came from outside. */
static void replace_control_bytes(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ')
			*text = ' ';
}

void log_line(const struct log_part *part, enum log_level level,
	      const char *fmt, ...)
{
	struct logger *logger = part->logger;
	char line[LOG_LINE_BYTES];
	va_list ap;

	if (!logger || level < logger->level)
		return;
	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	replace_control_bytes(line);
	pthread_mutex_lock(&logger->lock);
	fprintf(logger->stream, "%" PRId64 " %s %s %s: %s\n", wall_now_ms(),
		level_names[level], logger->name, part->prefix, line);
	fflush(logger->stream);
	pthread_mutex_unlock(&logger->lock);
}

int log_level_parse(const char *text, enum log_level *level)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(level_names); i++) {
		if (strcmp(text, level_names[i]))
			continue;
		*level = (enum log_level)i;
		return 0;
	}
	return -1;
}
