#include "store/topic_writer.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/backoff.h"

/*
 * Timeout of an append. The store answers within milliseconds, and when it is
 * slow in tens of times as long.
 */
#define APPEND_TIMEOUT_NS (700 * NS_PER_MS)
#define RETRY_FIRST_NS (20 * NS_PER_MS)
#define RETRY_MAX_NS (100 * NS_PER_MS)

static void send_next(struct topic_writer *writer);

static void on_append_done(struct topic_append *append);

void topic_writer_init(struct topic_writer *writer, struct topic_log *log,
		       struct timer_service *timers, const char *topic,
		       uint32_t partition, const char *name,
		       struct counter_set *counters)
{
	memset(writer, 0, sizeof(*writer));
	writer->log = log;
	writer->timers = timers;
	writer->partition = partition;
	writer->waiting_tail = &writer->waiting;
	strbuf_init(&writer->group);
	copy_text(writer->append.topic, sizeof(writer->append.topic), topic);
	copy_text(writer->append.writer, sizeof(writer->append.writer), name);
	writer->append.partition = partition;
	writer->append.expected_end = -1;
	writer->append.epoch = 1;
	writer->append.timeout_ns = APPEND_TIMEOUT_NS;
	writer->append.done = on_append_done;
	writer->append.arg = writer;
	if (!counters)
		return;
	writer->appends = counter_get(counters, "store_appends_total");
	writer->lost_answers =
		counter_get(counters, "store_append_answers_lost_total");
	writer->refusals = counter_get(counters, "store_append_refused_total");
}

struct topic_write *topic_write_new(void (*done)(struct topic_write *write,
						 enum topic_write_outcome),
				    void *arg)
{
	struct topic_write *write = xcalloc(1, sizeof(*write));

	strbuf_init(&write->records);
	write->done = done;
	write->dropped = topic_write_free;
	write->arg = arg;
	return write;
}

void topic_write_free(struct topic_write *write)
{
	strbuf_finish(&write->records);
	free(write);
}

static void drop_writes(struct topic_write *write)
{
	while (write) {
		struct topic_write *next = write->next;

		write->dropped(write);
		write = next;
	}
}

void topic_writer_finish(struct topic_writer *writer)
{
	if (writer->in_flight)
		writer->log->vt->cancel(writer->log, writer->append.call);
	timer_unsubscribe(writer->timers, &writer->retry);
	drop_writes(writer->sent);
	drop_writes(writer->waiting);
	strbuf_finish(&writer->group);
}

int topic_writer_is_idle(const struct topic_writer *writer)
{
	return !writer->sent && !writer->waiting;
}

/* Moves waiting writes into the group of records of the next call. */
static void fill_group(struct topic_writer *writer)
{
	struct topic_write **tail = &writer->sent;
	size_t max_bytes = writer->log->max_append_bytes;

	strbuf_reset(&writer->group);
	while (writer->waiting) {
		struct topic_write *write = writer->waiting;

		if (writer->group.len &&
		    writer->group.len + write->records.len > max_bytes)
			break;
		strbuf_add(&writer->group, write->records.buf,
			   write->records.len);
		writer->waiting = write->next;
		writer->waiting_bytes -= write->records.len;
		write->next = NULL;
		*tail = write;
		tail = &write->next;
	}
	if (!writer->waiting)
		writer->waiting_tail = &writer->waiting;
	writer->append.records = writer->group.buf;
	writer->append.records_len = writer->group.len;
}

static void send_group(struct topic_writer *writer)
{
	writer->in_flight = 1;
	counter_add(writer->appends, 1);
	writer->log->vt->append(writer->log, &writer->append);
}

static void on_retry(void *arg, int64_t now_ns)
{
	struct topic_writer *writer = arg;

	(void)now_ns;
	writer->retry_pending = 0;
	if (writer->in_flight)
		return;
	if (writer->sent)
		send_group(writer);
	else
		send_next(writer);
}

static void retry_later(struct topic_writer *writer)
{
	timer_subscribe_once(
		writer->timers, &writer->retry,
		backoff_ns(RETRY_FIRST_NS, RETRY_MAX_NS, writer->failures),
		on_retry, writer);
	writer->failures++;
	writer->retry_pending = 1;
}

static void send_next(struct topic_writer *writer)
{
	if (writer->in_flight || writer->sent || !writer->waiting)
		return;
	fill_group(writer);
	send_group(writer);
}

void topic_writer_add(struct topic_writer *writer, struct topic_write *write)
{
	write->next = NULL;
	*writer->waiting_tail = write;
	writer->waiting_tail = &write->next;
	writer->waiting_bytes += write->records.len;
	/* While calls fail, the retry sends all waiting writes. */
	if (!writer->retry_pending)
		send_next(writer);
}

int topic_writer_withdraw(struct topic_writer *writer,
			  struct topic_write *write)
{
	struct topic_write **at = &writer->waiting;

	while (*at && *at != write)
		at = &(*at)->next;
	if (!*at)
		return 0;
	*at = write->next;
	if (!write->next)
		writer->waiting_tail = at;
	writer->waiting_bytes -= write->records.len;
	return 1;
}

/*
 * Reports the outcome of the group to its owners. The sequence number is used
 * up unless the group was rejected.
 */
static void finish_group(struct topic_writer *writer,
			 enum topic_write_outcome outcome, uint64_t offset)
{
	struct topic_write *sent = writer->sent;

	writer->sent = NULL;
	writer->has_unanswered_call = 0;
	if (outcome != TOPIC_WRITE_REFUSED)
		writer->append.sequence++;
	while (sent) {
		struct topic_write *write = sent;

		sent = write->next;
		write->offset = offset;
		offset += write->record_count;
		write->done(write, outcome);
	}
}

/*
 * The log has rejected the group: persistent writes return to the head of the
 * queue, the others are reported as rejected.
 */
static void requeue_group(struct topic_writer *writer)
{
	struct topic_write *sent = writer->sent;
	struct topic_write *requeued = NULL;
	struct topic_write **tail = &requeued;

	writer->sent = NULL;
	while (sent) {
		struct topic_write *write = sent;

		sent = write->next;
		if (!write->retry_until_done) {
			write->done(write, TOPIC_WRITE_REFUSED);
			continue;
		}
		write->next = NULL;
		*tail = write;
		tail = &write->next;
		writer->waiting_bytes += write->records.len;
	}
	if (!requeued)
		return;
	*tail = writer->waiting;
	if (!writer->waiting)
		writer->waiting_tail = tail;
	writer->waiting = requeued;
}

/* Another process appends under this name: continues under a new one. */
static void change_name(struct topic_writer *writer)
{
	size_t len = strlen(writer->append.writer);

	if (len + 2 < sizeof(writer->append.writer)) {
		writer->append.writer[len] = '+';
		writer->append.writer[len + 1] = '\0';
	}
	writer->append.sequence = 0;
}

static void on_bad_sequence(struct topic_writer *writer)
{
	/* The log expects a later one: an unanswered call took effect. */
	if (writer->has_unanswered_call &&
	    writer->append.next_sequence > writer->append.sequence) {
		finish_group(writer, TOPIC_WRITE_DONE_OFFSET_UNKNOWN, 0);
		return;
	}
	change_name(writer);
	retry_later(writer);
}

static void on_refused(struct topic_writer *writer)
{
	counter_add(writer->refusals, 1);
	/* A rejected retry does not show whether the first call succeeds. */
	if (!writer->has_unanswered_call)
		requeue_group(writer);
	retry_later(writer);
}

static void on_append_done(struct topic_append *append)
{
	struct topic_writer *writer = append->arg;

	writer->in_flight = 0;
	switch (append->outcome) {
	case TOPIC_OK:
		writer->failures = 0;
		finish_group(writer, TOPIC_WRITE_DONE, append->offset);
		break;
	case TOPIC_UNKNOWN:
		counter_add(writer->lost_answers, 1);
		writer->has_unanswered_call = 1;
		retry_later(writer);
		break;
	case TOPIC_BAD_SEQUENCE:
		on_bad_sequence(writer);
		break;
	case TOPIC_FENCED:
		change_name(writer);
		retry_later(writer);
		break;
	case TOPIC_REFUSED:
	case TOPIC_CONFLICT:
	case TOPIC_FORGOTTEN:
	case TOPIC_FULL:
		on_refused(writer);
		break;
	}
	if (!writer->retry_pending)
		send_next(writer);
}
