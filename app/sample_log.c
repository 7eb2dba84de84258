#include "app/sample_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "proto/record.pb-c.h"

#define READ_MAX_ENTRIES 512

void sample_log_init(struct sample_log *log)
{
	memset(log, 0, sizeof(*log));
	pthread_mutex_init(&log->lock, NULL);
	pthread_mutex_init(&log->read_lock, NULL);
	dedupe_init(&log->seen);
}

void sample_log_finish(struct sample_log *log)
{
	free(log->ring);
	dedupe_finish(&log->seen);
	pthread_mutex_destroy(&log->read_lock);
	pthread_mutex_destroy(&log->lock);
}

/* The ring grows with use, so that an idle daemon stays small. */
static struct sample_entry *next_entry(struct sample_log *log)
{
	uint32_t at = (uint32_t)(log->total % SAMPLE_LOG_ENTRIES);

	if (at >= log->allocated) {
		log->allocated = log->allocated * 2 + 64;
		if (log->allocated > SAMPLE_LOG_ENTRIES)
			log->allocated = SAMPLE_LOG_ENTRIES;
		log->ring = xrealloc(log->ring,
				     log->allocated * sizeof(*log->ring));
	}
	log->total++;
	return &log->ring[at];
}

static void print_versions(struct sample_entry *entry,
			   const Currant__SampleTrace *trace)
{
	size_t used = 0;

	entry->versions[0] = '\0';
	for (size_t i = 0; i < trace->n_spans; i++) {
		int len = snprintf(
			entry->versions + used, sizeof(entry->versions) - used,
			"%s%" PRIu64 ":%u", i ? "," : "",
			trace->spans[i]->version, trace->spans[i]->tokens);

		if (len < 0 || used + (size_t)len >= sizeof(entry->versions))
			return;
		used += (size_t)len;
	}
}

static uint64_t staleness_of(const Currant__SampleTrace *trace)
{
	uint64_t oldest = trace->latest_version;

	for (size_t i = 0; i < trace->n_spans; i++)
		if (trace->spans[i]->version < oldest)
			oldest = trace->spans[i]->version;
	return trace->latest_version - oldest;
}

static void fill(struct sample_entry *entry, const Currant__SampleTrace *trace)
{
	copy_text(entry->trainer, NAME_BYTES, trace->trainer);
	copy_text(entry->team, NAME_BYTES, trace->team);
	copy_text(entry->route, NAME_BYTES, trace->route);
	copy_text(entry->backend_server, NAME_BYTES, trace->backend_server);
	print_versions(entry, trace);
	entry->step = trace->step;
	entry->group = trace->group;
	entry->index = trace->index;
	entry->wall_ms = trace->wall_ms;
	entry->staleness = staleness_of(trace);
}

static void take_record(struct sample_log *log, const Currant__Record *record)
{
	const Currant__SampleTraces *traces = record->sample_traces;
	const Currant__Origin *origin = record->origin;

	if (record->body_case != CURRANT__RECORD__BODY_SAMPLE_TRACES ||
	    !origin ||
	    !dedupe_take(&log->seen, origin->writer, origin->incarnation,
			 origin->sequence))
		return;
	pthread_mutex_lock(&log->lock);
	for (size_t i = 0; i < traces->n_samples; i++)
		fill(next_entry(log), traces->samples[i]);
	pthread_mutex_unlock(&log->lock);
}

/* What is no batch is passed over. */
static void take_entry(struct sample_log *log, const struct log_entry *entry)
{
	Currant__RecordBatch *batch =
		currant__record_batch__unpack(NULL, entry->len, entry->data);

	if (!batch)
		return;
	for (size_t i = 0; i < batch->n_records; i++)
		take_record(log, batch->records[i]);
	currant__record_batch__free_unpacked(batch, NULL);
}

/* The stream was set back: what stands there is read again. */
static void forget(struct sample_log *log)
{
	dedupe_finish(&log->seen);
	dedupe_init(&log->seen);
	log->next = 0;
	pthread_mutex_lock(&log->lock);
	log->total = 0;
	pthread_mutex_unlock(&log->lock);
}

/* Sets where to read from, and `*head`, by a look at the stream's end. */
static int find_start(struct sample_log *log, struct log_port *port,
		      uint64_t *head, struct error *err)
{
	struct log_chunk chunk;

	memset(&chunk, 0, sizeof(chunk));
	if (port->vt->read(port, INT64_MAX, 1, 0, &chunk, err))
		return -1;
	*head = chunk.head;
	if (log->next > chunk.head)
		forget(log);
	if (log->next < chunk.first)
		log->next = chunk.first;
	if (log->next + SAMPLE_LOG_ENTRIES < chunk.head)
		log->next = chunk.head - SAMPLE_LOG_ENTRIES;
	log_chunk_finish(&chunk);
	return 0;
}

static int read_some(struct sample_log *log, struct log_port *port,
		     struct error *err)
{
	struct log_chunk chunk;
	int result;

	memset(&chunk, 0, sizeof(chunk));
	result = port->vt->read(port, log->next, READ_MAX_ENTRIES, 0, &chunk,
				err);
	for (uint32_t i = 0; !result && i < chunk.entry_count; i++) {
		take_entry(log, &chunk.entries[i]);
		log->next = chunk.entries[i].offset + 1;
	}
	if (!result && !chunk.entry_count)
		result = error_set(err, ERROR_PROTOCOL,
				   "the stream of traces ends before its head");
	log_chunk_finish(&chunk);
	return result;
}

int sample_log_refresh(struct sample_log *log, struct log_port *port,
		       struct error *err)
{
	uint64_t head;
	int result;

	pthread_mutex_lock(&log->read_lock);
	result = find_start(log, port, &head, err);
	while (!result && log->next < head)
		result = read_some(log, port, err);
	pthread_mutex_unlock(&log->read_lock);
	return result;
}

void sample_log_each(struct sample_log *log,
		     void (*fn)(void *arg, const struct sample_entry *entry),
		     void *arg)
{
	uint64_t first;

	pthread_mutex_lock(&log->lock);
	first = log->total > SAMPLE_LOG_ENTRIES
			? log->total - SAMPLE_LOG_ENTRIES
			: 0;
	for (uint64_t i = first; i < log->total; i++)
		fn(arg, &log->ring[i % SAMPLE_LOG_ENTRIES]);
	pthread_mutex_unlock(&log->lock);
}
