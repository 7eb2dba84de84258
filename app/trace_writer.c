#include "app/trace_writer.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/backoff.h"
#include "base/clock.h"
#include "base/wait.h"

#define FLUSH_MS 100
#define APPEND_TIMEOUT_NS (2 * NS_PER_S)
#define RETRY_MIN_NS (50 * NS_PER_MS)
#define RETRY_MAX_NS (2 * NS_PER_S)

void trace_writer_init(struct trace_writer *writer, struct log_port *port,
		       const char *name, uint64_t incarnation,
		       struct counter_set *counters, const struct log_part *log)
{
	memset(writer, 0, sizeof(*writer));
	writer->port = port;
	copy_text(writer->name, sizeof(writer->name), name);
	writer->incarnation = incarnation;
	writer->log = log;
	writer->flush_ms = FLUSH_MS;
	writer->appends = counter_get(counters, "trace_appends_total");
	writer->bytes = counter_get(counters, "trace_appended_bytes_total");
	writer->failures = counter_get(counters, "trace_append_failures_total");
	writer->lost = counter_get(counters, "sample_traces_lost_total");
	pthread_mutex_init(&writer->lock, NULL);
	wait_cond_init(&writer->changed);
	for (uint32_t i = 0; i < TRACE_ENTRIES; i++)
		strbuf_init(&writer->entries[i].data);
}

void trace_writer_finish(struct trace_writer *writer)
{
	for (uint32_t i = 0; i < TRACE_ENTRIES; i++)
		strbuf_finish(&writer->entries[i].data);
	pthread_cond_destroy(&writer->changed);
	pthread_mutex_destroy(&writer->lock);
}

void trace_writer_set_pace(struct trace_writer *writer, uint32_t flush_ms)
{
	pthread_mutex_lock(&writer->lock);
	writer->flush_ms = flush_ms;
	pthread_mutex_unlock(&writer->lock);
}

static struct trace_entry *entry_at(struct trace_writer *writer, uint32_t i)
{
	return &writer->entries[(writer->first + i) % TRACE_ENTRIES];
}

/* The entry that takes `len` more bytes; NULL if all are in use. */
static struct trace_entry *entry_for(struct trace_writer *writer, size_t len)
{
	struct trace_entry *last = entry_at(writer, writer->count - 1);
	int is_sent = writer->count == 1 && writer->sending;

	if (writer->count && !is_sent &&
	    last->data.len + len <= TRACE_ENTRY_BYTES)
		return last;
	if (writer->count == TRACE_ENTRIES)
		return NULL;
	if (!writer->count)
		writer->due_ns = wait_now_ns() + writer->flush_ms * NS_PER_MS;
	last = entry_at(writer, writer->count++);
	strbuf_reset(&last->data);
	last->samples = 0;
	pthread_cond_signal(&writer->changed);
	return last;
}

/* Packed batches one after the other are one batch with all their records. */
static void add_batch(struct trace_entry *entry,
		      const Currant__RecordBatch *batch, size_t len)
{
	uint8_t *packed = xmalloc(len);

	currant__record_batch__pack(batch, packed);
	strbuf_add(&entry->data, packed, len);
	free(packed);
}

int trace_writer_submit(struct trace_writer *writer,
			Currant__SampleTraces *traces, struct error *err)
{
	Currant__RecordBatch batch = CURRANT__RECORD_BATCH__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;
	Currant__Origin origin = CURRANT__ORIGIN__INIT;
	Currant__Record *records[] = { &record };
	struct trace_entry *entry;
	size_t len;

	origin.writer = writer->name;
	origin.incarnation = writer->incarnation;
	record.origin = &origin;
	record.body_case = CURRANT__RECORD__BODY_SAMPLE_TRACES;
	record.sample_traces = traces;
	batch.n_records = 1;
	batch.records = records;
	pthread_mutex_lock(&writer->lock);
	origin.sequence = writer->sequence + 1;
	len = currant__record_batch__get_packed_size(&batch);
	entry = entry_for(writer, len);
	if (entry) {
		writer->sequence++;
		add_batch(entry, &batch, len);
		entry->samples += (uint32_t)traces->n_samples;
	}
	pthread_mutex_unlock(&writer->lock);
	if (entry)
		return 0;
	counter_add(writer->lost, (int64_t)traces->n_samples);
	return error_set(err, ERROR_FULL,
			 "%d entries of traces wait for the log already",
			 TRACE_ENTRIES);
}

static void drop_first(struct trace_writer *writer)
{
	writer->first = (writer->first + 1) % TRACE_ENTRIES;
	writer->count--;
	writer->due_ns = wait_now_ns() + writer->flush_ms * NS_PER_MS;
}

static void note_failure(struct trace_writer *writer, const struct error *why)
{
	writer->retry_ns =
		wait_now_ns() +
		backoff_ns(RETRY_MIN_NS, RETRY_MAX_NS, writer->failures_in_row);
	writer->failures_in_row++;
	counter_add(writer->failures, 1);
	log_warning(writer->log, "an append of traces failed: %s", why->text);
}

/* The lock is held, but not during the call. */
static void send_first(struct trace_writer *writer)
{
	struct trace_entry *entry = entry_at(writer, 0);
	struct error why = ERROR_INIT;
	uint64_t offset;
	int result;

	writer->sending = 1;
	pthread_mutex_unlock(&writer->lock);
	result = writer->port->vt->append(writer->port, entry->data.buf,
					  entry->data.len, APPEND_TIMEOUT_NS,
					  &offset, &why);
	pthread_mutex_lock(&writer->lock);
	writer->sending = 0;
	if (result) {
		note_failure(writer, &why);
		return;
	}
	writer->failures_in_row = 0;
	counter_add(writer->appends, 1);
	counter_add(writer->bytes, (int64_t)entry->data.len);
	drop_first(writer);
}

/* When the first entry is to be sent. */
static int64_t send_at_ns(const struct trace_writer *writer)
{
	int64_t at_ns = writer->due_ns;

	if (writer->stopping || writer->count > 1)
		at_ns = 0;
	return at_ns > writer->retry_ns ? at_ns : writer->retry_ns;
}

/* Returns 1 when the first entry is due, 0 when the thread has to end. */
static int wait_for_entry(struct trace_writer *writer)
{
	for (;;) {
		int64_t now = wait_now_ns();

		if (writer->stopping &&
		    (!writer->count || now >= writer->stop_by_ns))
			return 0;
		if (!writer->count)
			pthread_cond_wait(&writer->changed, &writer->lock);
		else if (send_at_ns(writer) <= now)
			return 1;
		else
			wait_until(&writer->changed, &writer->lock,
				   send_at_ns(writer));
	}
}

static void *run(void *arg)
{
	struct trace_writer *writer = arg;

	pthread_mutex_lock(&writer->lock);
	while (wait_for_entry(writer))
		send_first(writer);
	pthread_mutex_unlock(&writer->lock);
	return NULL;
}

int trace_writer_start(struct trace_writer *writer, struct error *err)
{
	if (pthread_create(&writer->thread, NULL, run, writer))
		return error_set(err, ERROR_IO, "no thread for traces");
	writer->running = 1;
	return 0;
}

static void count_left(struct trace_writer *writer)
{
	for (uint32_t i = 0; i < writer->count; i++)
		counter_add(writer->lost, entry_at(writer, i)->samples);
	if (writer->count)
		log_warning(writer->log,
			    "%u entries of traces are lost at the end",
			    writer->count);
}

void trace_writer_stop(struct trace_writer *writer, uint32_t limit_ms)
{
	if (!writer->running)
		return;
	pthread_mutex_lock(&writer->lock);
	writer->stopping = 1;
	writer->stop_by_ns = wait_now_ns() + limit_ms * NS_PER_MS;
	pthread_cond_signal(&writer->changed);
	pthread_mutex_unlock(&writer->lock);
	pthread_join(writer->thread, NULL);
	writer->running = 0;
	count_left(writer);
}
