#include "peer/send_queue.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"

/* Time between two sendings of a reliable frame. */
#define RESEND_AFTER_NS (200 * NS_PER_MS)

/* A peer that stays silent this long learns of it from the log. */
#define RELIABLE_LIFETIME_NS (600 * NS_PER_S)

static void list_init(struct frame_list *list)
{
	list->first = NULL;
	list->last = &list->first;
	list->count = 0;
}

static void list_append(struct frame_list *list, struct queued_frame *frame)
{
	frame->next = NULL;
	*list->last = frame;
	list->last = &frame->next;
	list->count++;
}

/* Unlinks the frame that `*at` points to and frees it. */
static void list_remove(struct frame_list *list, struct queued_frame **at)
{
	struct queued_frame *frame = *at;

	*at = frame->next;
	if (list->last == &frame->next)
		list->last = at;
	list->count--;
	free(frame->bytes);
	free(frame);
}

void send_queue_init(struct send_queue *queue)
{
	list_init(&queue->pending);
	list_init(&queue->unacknowledged);
	queue->dropped = 0;
}

void send_queue_finish(struct send_queue *queue)
{
	while (queue->pending.first)
		list_remove(&queue->pending, &queue->pending.first);
	while (queue->unacknowledged.first)
		list_remove(&queue->unacknowledged,
			    &queue->unacknowledged.first);
}

static int is_expired(const struct queued_frame *frame, int64_t now_ns)
{
	return now_ns - frame->queued_ns > RELIABLE_LIFETIME_NS;
}

static void drop_expired(struct send_queue *queue, int64_t now_ns)
{
	while (queue->unacknowledged.first &&
	       is_expired(queue->unacknowledged.first, now_ns)) {
		list_remove(&queue->unacknowledged,
			    &queue->unacknowledged.first);
		queue->dropped++;
	}
}

/* Returns whether a frame was dropped. */
static int drop_oldest_soft(struct send_queue *queue)
{
	struct queued_frame **at = &queue->pending.first;

	while (*at && !message_kind_is_soft((*at)->kind))
		at = &(*at)->next;
	if (!*at)
		return 0;
	list_remove(&queue->pending, at);
	queue->dropped++;
	return 1;
}

static struct queued_frame *frame_new(enum message_kind kind, uint64_t sequence,
				      const struct strbuf *bytes,
				      int64_t now_ns)
{
	struct queued_frame *frame = xcalloc(1, sizeof(*frame));

	frame->kind = kind;
	frame->sequence = sequence;
	frame->bytes = xmalloc(bytes->len);
	memcpy(frame->bytes, bytes->buf, bytes->len);
	frame->len = bytes->len;
	frame->queued_ns = now_ns;
	return frame;
}

int send_queue_push(struct send_queue *queue, enum message_kind kind,
		    uint64_t sequence, const struct strbuf *frame,
		    int64_t now_ns, struct error *err)
{
	struct frame_list *list = &queue->pending;
	uint32_t max = SEND_QUEUE_MAX_PENDING;

	if (message_kind_is_reliable(kind)) {
		drop_expired(queue, now_ns);
		list = &queue->unacknowledged;
		max = SEND_QUEUE_MAX_UNACKNOWLEDGED;
	}
	if (list->count >= max &&
	    (list != &queue->pending || !drop_oldest_soft(queue))) {
		queue->dropped++;
		return error_set(err, ERROR_FULL,
				 "send queue holds %u messages", list->count);
	}
	list_append(list, frame_new(kind, sequence, frame, now_ns));
	return 0;
}

static void take_reliable(struct send_queue *queue, struct strbuf *out,
			  size_t max_bytes, int64_t now_ns,
			  void (*sent)(void *arg,
				       const struct queued_frame *frame),
			  void *arg)
{
	struct queued_frame *frame;

	drop_expired(queue, now_ns);
	frame = queue->unacknowledged.first;
	for (; frame && out->len < max_bytes; frame = frame->next) {
		if (frame->next_send_ns <= now_ns) {
			strbuf_add(out, frame->bytes, frame->len);
			frame->next_send_ns = now_ns + RESEND_AFTER_NS;
			sent(arg, frame);
		}
	}
}

void send_queue_take(struct send_queue *queue, struct strbuf *out,
		     size_t max_bytes, int64_t now_ns,
		     void (*sent)(void *arg, const struct queued_frame *frame),
		     void *arg)
{
	take_reliable(queue, out, max_bytes, now_ns, sent, arg);
	while (queue->pending.first && out->len < max_bytes) {
		struct queued_frame *frame = queue->pending.first;

		strbuf_add(out, frame->bytes, frame->len);
		sent(arg, frame);
		list_remove(&queue->pending, &queue->pending.first);
	}
}

int send_queue_ready(const struct send_queue *queue, int64_t now_ns)
{
	if (queue->pending.first)
		return 1;
	for (const struct queued_frame *f = queue->unacknowledged.first; f;
	     f = f->next)
		if (f->next_send_ns <= now_ns)
			return 1;
	return 0;
}

int send_queue_empty(const struct send_queue *queue)
{
	return !queue->pending.first && !queue->unacknowledged.first;
}

void send_queue_acknowledge(struct send_queue *queue, uint64_t sequence)
{
	struct queued_frame **at = &queue->unacknowledged.first;

	while (*at && (*at)->sequence != sequence)
		at = &(*at)->next;
	if (*at)
		list_remove(&queue->unacknowledged, at);
}

void send_queue_restart(struct send_queue *queue)
{
	for (struct queued_frame *f = queue->unacknowledged.first; f;
	     f = f->next)
		f->next_send_ns = 0;
}
