#ifndef BASE_RECORD_LOG_H
#define BASE_RECORD_LOG_H

#include <stdint.h>

#include "base/counter.h"
#include "base/strbuf.h"
#include "base/timer.h"

/*
 * Structured lines for whoever explains a failure afterwards: one line a
 * decision, as "key=value" fields that begin with the wall clock, the daemon,
 * the part and the event:
 *
 *   ts=1764815988123 host=entry-1 part=forward event=answered id=7c41 ...
 *
 * Lines are buffered and written by the timer service, without ever waiting
 * for whoever reads them; what finds no room, or comes faster than the bound,
 * is dropped and counted. Values from outside are escaped.
 */
#define RECORD_LINE_BYTES 1024

struct record_log {
	int fd;
	char name[64];
	struct timer_service *timers;
	struct timer timer;
	int timer_pending;
	struct strbuf pending;
	int64_t tokens_milli; /* lines that may come now, in thousandths */
	int64_t filled_ns;
	uint64_t dropped; /* since the last line that said so */
	struct counter *lines;
	struct counter *dropped_lines;
};

/* `timers` must be driven by an event loop on the thread that writes lines. */
void record_log_init(struct record_log *log, int fd, const char *name,
		     struct timer_service *timers,
		     struct counter_set *counters);

/* Writes what is pending, as far as it can without waiting. */
void record_log_finish(struct record_log *log);

/* A line that is being put together. */
struct record {
	struct record_log *log;
	int essential; /* not subject to the bound on lines */
	uint32_t len;
	char text[RECORD_LINE_BYTES];
};

/* `log` may be NULL: then nothing is written. */
void record_begin(struct record *record, struct record_log *log,
		  const char *part, const char *event);
void record_text(struct record *record, const char *key, const char *value);
void record_int(struct record *record, const char *key, int64_t value);
void record_number(struct record *record, const char *key, double value);

/* Nanoseconds as milliseconds with one decimal; -1: not known, "-". */
void record_ms(struct record *record, const char *key, int64_t value_ns);
void record_end(struct record *record);

/* The same for a line that is always written: start, stop, lost, regained. */
void record_begin_essential(struct record *record, struct record_log *log,
			    const char *part, const char *event);

#endif
