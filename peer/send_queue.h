#ifndef PEER_SEND_QUEUE_H
#define PEER_SEND_QUEUE_H

#include <stdint.h>

#include "base/error.h"
#include "base/strbuf.h"
#include "peer/message_kind.h"

/*
 * What waits to be sent to one peer. Both parts are bounded: in `pending`
 * the oldest soft message gives way to a newer one; `unacknowledged` holds
 * reliable messages, which are sent again until the peer acknowledges them
 * or their time is over. The owner excludes other threads.
 */
#define SEND_QUEUE_MAX_PENDING 256
#define SEND_QUEUE_MAX_UNACKNOWLEDGED 1024

struct queued_frame {
	enum message_kind kind;
	uint64_t sequence;
	char *bytes;
	size_t len;
	int64_t queued_ns;
	int64_t next_send_ns; /* reliable ones only */
	struct queued_frame *next;
};

struct frame_list {
	struct queued_frame *first;
	struct queued_frame **last;
	uint32_t count;
};

struct send_queue {
	struct frame_list pending;
	struct frame_list unacknowledged;
	uint64_t dropped; /* frames that were never sent or acknowledged */
};

void send_queue_init(struct send_queue *queue);
void send_queue_finish(struct send_queue *queue);

/*
 * Copies a frame into the queue. ERROR_FULL if the bound is reached and
 * nothing soft can give way.
 */
int send_queue_push(struct send_queue *queue, enum message_kind kind,
		    uint64_t sequence, const struct strbuf *frame,
		    int64_t now_ns, struct error *err);

/*
 * Appends to `out` what may be sent now, up to about `max_bytes`, and calls
 * `sent` for each frame. Reliable frames go first.
 */
void send_queue_take(struct send_queue *queue, struct strbuf *out,
		     size_t max_bytes, int64_t now_ns,
		     void (*sent)(void *arg, const struct queued_frame *frame),
		     void *arg);

/* Whether send_queue_take() would take something now. */
int send_queue_ready(const struct send_queue *queue, int64_t now_ns);
int send_queue_empty(const struct send_queue *queue);

/* Forgets the reliable frame with this sequence. */
void send_queue_acknowledge(struct send_queue *queue, uint64_t sequence);

/* Makes every reliable frame due at once, for a new connection. */
void send_queue_restart(struct send_queue *queue);

#endif
