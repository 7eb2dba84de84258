#include "batch/batch_partition.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "store/topic_message.h"
#include "base/hash.h"

#define BATCH_TOPIC "batch"
#define TEXT_TOPIC "text"
#define READ_TIMEOUT_NS (700 * NS_PER_MS)
#define READ_MIN_BYTES 4096
#define READ_MAX_BYTES (1024 * 1024)

static struct batch_partition *partition_of(struct topic_follower *follower)
{
	return (struct batch_partition *)follower;
}

static void on_apply(struct topic_follower *follower, uint64_t offset,
		     const uint8_t *data, size_t len)
{
	struct batch_partition *partition = partition_of(follower);

	batch_table_apply(&partition->table, offset, data, len,
			  clock_now_ns(partition->clock));
}

static const struct topic_follower_vtable follower_vtable = {
	.apply = on_apply,
};

static void init_partition(struct batch_partition *partition,
			   struct topic_log *log, struct timer_service *timers,
			   uint32_t number, const char *writer_name,
			   struct counter_set *counters)
{
	topic_follower_init(&partition->follower, &follower_vtable, log, timers,
			    BATCH_TOPIC, number, counters);
	topic_writer_init(&partition->writer, log, timers, BATCH_TOPIC, number,
			  writer_name, counters);
	topic_writer_init(&partition->text_writer, log, timers, TEXT_TOPIC,
			  number, writer_name, counters);
	batch_table_init(&partition->table);
	partition->clock = timers->clock;
	partition->number = number;
}

static void finish_partition(struct batch_partition *partition)
{
	topic_writer_finish(&partition->writer);
	topic_writer_finish(&partition->text_writer);
	topic_follower_finish(&partition->follower);
	batch_table_finish(&partition->table);
}

static void on_written(struct topic_write *base,
		       enum topic_write_outcome outcome)
{
	struct batch_write *write = (struct batch_write *)base;

	if (outcome == TOPIC_WRITE_DONE && !write->is_text)
		topic_follower_apply_own(&write->partition->follower,
					 base->offset, &base->records);
	write->done(write, outcome);
}

static void on_dropped(struct topic_write *base)
{
	struct batch_write *write = (struct batch_write *)base;

	if (write->free_arg)
		write->free_arg(write->arg);
	batch_write_free(write);
}

struct batch_write *batch_write_new(struct batch_partition *partition,
				    int is_text,
				    void (*done)(struct batch_write *write,
						 enum topic_write_outcome),
				    void *arg)
{
	struct batch_write *write = xcalloc(1, sizeof(*write));

	strbuf_init(&write->base.records);
	write->base.done = on_written;
	write->base.dropped = on_dropped;
	write->partition = partition;
	write->is_text = is_text;
	write->done = done;
	write->arg = arg;
	return write;
}

void batch_write_free(struct batch_write *write)
{
	strbuf_finish(&write->base.records);
	free(write);
}

void batch_write_add(struct batch_write *write,
		     const Currant__Topic__BatchRecord *record)
{
	topic_add_message(&write->base.records, &record->base);
	write->base.record_count++;
}

static struct topic_writer *writer_of(const struct batch_write *write)
{
	return write->is_text ? &write->partition->text_writer
			      : &write->partition->writer;
}

void batch_write_start(struct batch_write *write)
{
	topic_writer_add(writer_of(write), &write->base);
}

int batch_write_cancel(struct batch_write *write)
{
	return topic_writer_withdraw(writer_of(write), &write->base);
}

void batch_text_read_init(const struct batch_partition *partition,
			  struct topic_read *read, uint64_t from,
			  uint32_t max_bytes)
{
	copy_text(read->topic, sizeof(read->topic), TEXT_TOPIC);
	read->partition = partition->number;
	read->from = from;
	if (max_bytes < READ_MIN_BYTES)
		max_bytes = READ_MIN_BYTES;
	if (max_bytes > READ_MAX_BYTES)
		max_bytes = READ_MAX_BYTES;
	read->max_bytes = max_bytes;
	read->wait_ns = 0;
	read->timeout_ns = READ_TIMEOUT_NS;
	strbuf_init(&read->records);
}

void batch_set_init(struct batch_set *set, struct topic_log *log,
		    struct timer_service *timers, const char *writer_name,
		    struct counter_set *counters)
{
	set->count = log->partitions;
	set->partitions = xcalloc(set->count, sizeof(*set->partitions));
	for (uint32_t i = 0; i < set->count; i++)
		init_partition(&set->partitions[i], log, timers, i, writer_name,
			       counters);
}

void batch_set_evict(struct batch_set *set, int64_t ended_before_ms,
		     int64_t done_before_ms)
{
	for (uint32_t i = 0; i < set->count; i++)
		batch_table_evict(&set->partitions[i].table, ended_before_ms,
				  done_before_ms);
}

void batch_set_finish(struct batch_set *set)
{
	for (uint32_t i = 0; i < set->count; i++)
		finish_partition(&set->partitions[i]);
	free(set->partitions);
	set->partitions = NULL;
	set->count = 0;
}

struct batch_partition *batch_set_choose_partition(struct batch_set *set,
						   const char *model,
						   const char *id)
{
	const char *key = *model ? model : id;

	return &set->partitions[hash_text(key, 0) % set->count];
}

struct batch *batch_set_find(struct batch_set *set, const char *id,
			     struct batch_partition **partition)
{
	for (uint32_t i = 0; i < set->count; i++) {
		struct batch *batch =
			batch_table_find(&set->partitions[i].table, id);

		if (!batch)
			continue;
		*partition = &set->partitions[i];
		return batch;
	}
	return NULL;
}
