#ifndef APP_TRACE_WRITER_H
#define APP_TRACE_WRITER_H

#include <pthread.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/logger.h"
#include "base/strbuf.h"
#include "port/log_port.h"
#include "proto/record.pb-c.h"
#include "state/config.h"

/*
 * Appends sample traces to a stream of the log that nobody follows; who
 * answers for samples reads it (app/sample_log.h). An entry is sent again
 * until its append is answered, so that it may stand there twice; a record's
 * origin tells.
 */
#define TRACE_STREAM "samples"
#define TRACE_ENTRIES 16 /* on their way, more are refused */
#define TRACE_ENTRY_BYTES (64u * 1024)

/* A packed RecordBatch. */
struct trace_entry {
	struct strbuf data;
	uint32_t samples;
};

struct trace_writer {
	struct log_port *port;
	char name[NAME_BYTES];
	uint64_t incarnation;
	const struct log_part *log;
	struct counter *appends;
	struct counter *bytes;
	struct counter *failures;
	struct counter *lost; /* samples */
	pthread_t thread;
	pthread_mutex_t lock; /* guards all that follows */
	pthread_cond_t changed;
	struct trace_entry entries[TRACE_ENTRIES]; /* a ring */
	uint32_t first;
	uint32_t count;
	uint64_t sequence;
	uint32_t flush_ms;
	uint32_t failures_in_row;
	int64_t due_ns; /* of the first entry */
	int64_t retry_ns; /* not before */
	int64_t stop_by_ns;
	int sending; /* the first entry; it takes nothing more */
	int stopping;
	int running;
};

/*
 * `incarnation` is random and none of log_client's: a log service without
 * streams puts both in one. `port`, `log` and `counters` stay the caller's.
 */
void trace_writer_init(struct trace_writer *writer, struct log_port *port,
		       const char *name, uint64_t incarnation,
		       struct counter_set *counters,
		       const struct log_part *log);
void trace_writer_finish(struct trace_writer *writer);

int trace_writer_start(struct trace_writer *writer, struct error *err);

/* Sends what waits for `limit_ms` at most; what is left counts as lost. */
void trace_writer_stop(struct trace_writer *writer, uint32_t limit_ms);

/* How long traces wait for company. */
void trace_writer_set_pace(struct trace_writer *writer, uint32_t flush_ms);

/* Takes a copy; ERROR_FULL, with the samples counted as lost, if full. */
int trace_writer_submit(struct trace_writer *writer,
			Currant__SampleTraces *traces, struct error *err);

#endif
