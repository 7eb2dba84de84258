#include "base/record_log.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"

/* What a reader may lag behind. */
#define PENDING_MAX_BYTES (64 * 1024)
/* A pipe that polls as writable takes at least this much (PIPE_BUF). */
#define WRITE_BYTES 4096
#define FLUSH_PERIOD_NS (100 * NS_PER_MS)
/* Lines a second, and at once, beside the essential ones. */
#define LINES_PER_S 200
#define LINES_BURST 400

void record_log_init(struct record_log *log, int fd, const char *name,
		     struct timer_service *timers, struct counter_set *counters)
{
	memset(log, 0, sizeof(*log));
	log->fd = fd;
	log->timers = timers;
	log->tokens_milli = LINES_BURST * 1000;
	log->filled_ns = clock_now_ns(timers->clock);
	copy_text(log->name, sizeof(log->name), name);
	strbuf_init(&log->pending);
	if (!counters)
		return;
	log->lines = counter_get(counters, "log_lines_total");
	log->dropped_lines = counter_get(counters, "log_lines_dropped_total");
}

static int can_write(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };

	return poll(&poll_fd, 1, 0) == 1 && poll_fd.revents & POLLOUT;
}

static void flush(struct record_log *log)
{
	while (log->pending.len && can_write(log->fd)) {
		size_t len = log->pending.len;
		ssize_t written;

		if (len > WRITE_BYTES)
			len = WRITE_BYTES;
		written = write(log->fd, log->pending.buf, len);
		if (written <= 0 && errno == EINTR)
			continue;
		if (written <= 0)
			break;
		strbuf_consume(&log->pending, (size_t)written);
	}
}

static void on_timer(void *arg, int64_t now_ns);

static void flush_later(struct record_log *log)
{
	if (log->timer_pending)
		return;
	log->timer_pending = 1;
	timer_subscribe_once(log->timers, &log->timer, FLUSH_PERIOD_NS,
			     on_timer, log);
}

static void on_timer(void *arg, int64_t now_ns)
{
	struct record_log *log = arg;

	(void)now_ns;
	log->timer_pending = 0;
	flush(log);
	if (log->pending.len)
		flush_later(log);
}

void record_log_finish(struct record_log *log)
{
	timer_unsubscribe(log->timers, &log->timer);
	flush(log);
	strbuf_finish(&log->pending);
}

/* Whether one more line may be written; takes it from the bound. */
static int take_line(struct record_log *log)
{
	int64_t now_ns = clock_now_ns(log->timers->clock);
	int64_t gained_milli =
		(now_ns - log->filled_ns) / NS_PER_MS * LINES_PER_S;

	if (gained_milli > 0) {
		log->tokens_milli += gained_milli;
		log->filled_ns = now_ns;
	}
	if (log->tokens_milli > LINES_BURST * 1000)
		log->tokens_milli = LINES_BURST * 1000;
	if (log->tokens_milli < 1000)
		return 0;
	log->tokens_milli -= 1000;
	return 1;
}

static void add(struct record *record, const char *text, size_t len)
{
	size_t room = sizeof(record->text) - record->len - 1;

	if (len > room)
		len = room;
	memcpy(record->text + record->len, text, len);
	record->len += (uint32_t)len;
}

static void add_key(struct record *record, const char *key)
{
	if (record->len)
		add(record, " ", 1);
	add(record, key, strlen(key));
	add(record, "=", 1);
}

/* Bytes that would end or confuse a value are written as \xNN. */
static void add_escaped(struct record *record, const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;
		char escaped[5];

		if (c > ' ' && c != '"' && c != '\\' && c != '=' && c < 0x7f) {
			add(record, text, 1);
			continue;
		}
		snprintf(escaped, sizeof(escaped), "\\x%02x", c);
		add(record, escaped, 4);
	}
}

void record_begin(struct record *record, struct record_log *log,
		  const char *part, const char *event)
{
	record->log = log;
	record->essential = 0;
	record->len = 0;
	if (!log)
		return;
	record_int(record, "ts", wall_now_ms());
	record_text(record, "host", log->name);
	record_text(record, "part", part);
	record_text(record, "event", event);
}

void record_begin_essential(struct record *record, struct record_log *log,
			    const char *part, const char *event)
{
	record_begin(record, log, part, event);
	record->essential = 1;
}

void record_text(struct record *record, const char *key, const char *value)
{
	if (!record->log)
		return;
	add_key(record, key);
	add_escaped(record, value && *value ? value : "-");
}

void record_int(struct record *record, const char *key, int64_t value)
{
	char text[24];

	if (!record->log)
		return;
	add_key(record, key);
	snprintf(text, sizeof(text), "%" PRId64, value);
	add(record, text, strlen(text));
}

void record_number(struct record *record, const char *key, double value)
{
	char text[32];

	if (!record->log)
		return;
	add_key(record, key);
	snprintf(text, sizeof(text), "%.3f", value);
	add(record, text, strlen(text));
}

void record_ms(struct record *record, const char *key, int64_t value_ns)
{
	char text[32];

	if (!record->log)
		return;
	add_key(record, key);
	if (value_ns == -1)
		copy_text(text, sizeof(text), "-");
	else
		snprintf(text, sizeof(text), "%.1f",
			 (double)value_ns / NS_PER_MS);
	add(record, text, strlen(text));
}

static void write_line(struct record_log *log, const char *text, size_t len)
{
	counter_add(log->lines, 1);
	strbuf_add(&log->pending, text, len);
	strbuf_addch(&log->pending, '\n');
	flush_later(log);
}

/* Says how many lines are missing before the next one. */
static void report_dropped(struct record_log *log)
{
	struct record record;
	uint64_t dropped = log->dropped;

	if (!dropped)
		return;
	log->dropped = 0;
	record_begin(&record, log, "log", "dropped");
	record_int(&record, "lines", (int64_t)dropped);
	write_line(log, record.text, record.len);
}

void record_end(struct record *record)
{
	struct record_log *log = record->log;

	if (!log)
		return;
	if (log->pending.len + record->len > PENDING_MAX_BYTES ||
	    (!record->essential && !take_line(log))) {
		log->dropped++;
		counter_add(log->dropped_lines, 1);
		return;
	}
	report_dropped(log);
	write_line(log, record->text, record->len);
}
