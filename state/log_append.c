#include <stdlib.h>

#include "state/log_client_private.h"

/* The lock is held. */
static struct log_item *enqueue(struct log_client *client,
				const Currant__Record *record, int urgent,
				struct log_waiter *waiter, struct error *err)
{
	struct log_item *item =
		log_queue_add(&client->queue, record, urgent, waiter, err);

	if (!item)
		return NULL;
	gauge_set(client->queued, client->queue.count);
	/* A thread that waits for the flush needs no word of each record. */
	if (!client->flush_due_ns || urgent)
		pthread_cond_broadcast(&client->work);
	if (!client->flush_due_ns)
		client->flush_due_ns =
			wait_now_ns() + client->options.flush_ms * NS_PER_MS;
	return item;
}

int log_client_submit(struct log_client *client, const Currant__Record *record,
		      uint32_t flags, struct error *err)
{
	struct log_item *item;

	pthread_mutex_lock(&client->lock);
	item = enqueue(client, record, !!(flags & LOG_SUBMIT_URGENT), NULL,
		       err);
	pthread_mutex_unlock(&client->lock);
	return item ? 0 : -1;
}

/* Whether readers of the published configuration see the record, too. */
static int is_published(const struct log_client *client,
			const struct log_waiter *waiter)
{
	return waiter->seen && position_offset(waiter->result.position) <
				       client->published_next;
}

/* The lock is held; the waiter's time ran out. */
static int give_up(struct log_client *client, struct log_waiter *waiter,
		   struct error *err)
{
	if (log_queue_abandon(&client->queue, waiter))
		return error_set(err, ERROR_UNKNOWN_OUTCOME,
				 "the log did not answer in time; the record "
				 "may have taken effect");
	return error_set(err, ERROR_UNAVAILABLE,
			 "the log cannot be reached; the record did not take "
			 "effect");
}

int log_client_append(struct log_client *client, const Currant__Record *record,
		      int64_t timeout_ns, struct log_result *result,
		      struct error *err)
{
	int64_t until_ns = wait_now_ns() + timeout_ns;
	struct log_waiter waiter = { .seen = 0 };
	int ret = 0;

	pthread_mutex_lock(&client->lock);
	if (!enqueue(client, record, 1, &waiter, err)) {
		pthread_mutex_unlock(&client->lock);
		return -1;
	}
	client->urgent_waiters++;
	pthread_cond_broadcast(&client->applied);
	while (!is_published(client, &waiter) && !client->stopping &&
	       log_client_wait_until(client, &client->applied, until_ns))
		;
	client->urgent_waiters--;
	if (!waiter.seen)
		ret = give_up(client, &waiter, err);
	else if (waiter.result.why.code == ERROR_UNKNOWN_OUTCOME)
		ret = error_set(err, ERROR_UNKNOWN_OUTCOME, "%s",
				waiter.result.why.text);
	else
		*result = waiter.result;
	gauge_set(client->queued, client->queue.count);
	pthread_mutex_unlock(&client->lock);
	return ret;
}

int log_client_begin(struct log_client *client, const Currant__Record *record,
		     uint32_t flags, struct log_waiter *waiter,
		     struct error *err)
{
	struct log_item *item;

	pthread_mutex_lock(&client->lock);
	waiter->urgent = !!(flags & LOG_SUBMIT_URGENT);
	item = enqueue(client, record, waiter->urgent, waiter, err);
	if (item && waiter->urgent) {
		client->urgent_waiters++;
		pthread_cond_broadcast(&client->applied);
	}
	pthread_mutex_unlock(&client->lock);
	return item ? 0 : -1;
}

int log_client_poll(struct log_client *client, struct log_waiter *waiter)
{
	int done;

	pthread_mutex_lock(&client->lock);
	done = is_published(client, waiter);
	if (done && waiter->urgent)
		client->urgent_waiters--;
	pthread_mutex_unlock(&client->lock);
	return done;
}

int log_client_give_up(struct log_client *client, struct log_waiter *waiter)
{
	int may_take_effect = 1;

	pthread_mutex_lock(&client->lock);
	if (waiter->urgent)
		client->urgent_waiters--;
	if (!waiter->seen)
		may_take_effect = log_queue_abandon(&client->queue, waiter);
	pthread_mutex_unlock(&client->lock);
	return may_take_effect;
}

/* Whether records wait for the log or for readers; the lock is held. */
static int is_flushing(const struct log_client *client)
{
	return client->queue.count ||
	       client->published_next < state_next_offset(client->state);
}

int log_client_flush(struct log_client *client, int64_t timeout_ns,
		     struct error *err)
{
	int64_t until_ns = wait_now_ns() + timeout_ns;
	uint32_t left;
	int flushing;

	pthread_mutex_lock(&client->lock);
	client->urgent_waiters++;
	client->flush_due_ns = 1;
	pthread_cond_broadcast(&client->work);
	pthread_cond_broadcast(&client->applied);
	while ((flushing = is_flushing(client)) && !client->stopping &&
	       log_client_wait_until(client, &client->applied, until_ns))
		;
	client->urgent_waiters--;
	left = client->queue.count;
	pthread_mutex_unlock(&client->lock);
	if (left)
		return error_set(err, ERROR_TIMEOUT,
				 "%u records still wait for the log", left);
	if (flushing)
		return error_set(err, ERROR_TIMEOUT,
				 "records of the log are not published yet");
	return 0;
}

/* Takes the answer of an append; the lock is held. */
static void take_answer(struct log_client *client, int ret, uint64_t offset,
			const struct error *why, size_t len)
{
	log_queue_append_done(&client->queue, ret ? why->code : ERROR_NONE,
			      offset);
	if (!ret) {
		client->append_failures = 0;
		client->retry_due_ns = 0;
		counter_add(client->appends, 1);
		counter_add(client->appended_bytes, (int64_t)len);
		if (offset >= client->head)
			client->head = offset + 1;
		return;
	}
	counter_add(client->append_failed, 1);
	client->append_failures++;
	client->retry_due_ns =
		wait_now_ns() +
		log_client_retry_ns(client, client->append_failures);
}

int log_client_append_once(struct log_client *client, struct error *err)
{
	struct error why = ERROR_INIT;
	uint64_t offset = 0;
	uint8_t *data;
	size_t len;
	int urgent;
	int ret;

	pthread_mutex_lock(&client->lock);
	client->flush_due_ns = 0;
	if (!log_queue_unsent(&client->queue, &urgent)) {
		pthread_mutex_unlock(&client->lock);
		return 0;
	}
	log_queue_pack(&client->queue, client->options.max_entry_records,
		       client->options.max_entry_bytes, &data, &len);
	pthread_mutex_unlock(&client->lock);
	ret = client->port->vt->append(
		client->port, data, len,
		client->options.append_timeout_ms * NS_PER_MS, &offset, &why);
	free(data);
	pthread_mutex_lock(&client->lock);
	take_answer(client, ret, offset, &why, len);
	gauge_set(client->queued, client->queue.count);
	pthread_cond_broadcast(&client->applied);
	pthread_mutex_unlock(&client->lock);
	if (!ret)
		return 1;
	return error_set(err, why.code, "%s", why.text);
}

/* When the next append is due; 0: now, -1: nothing waits. */
static int64_t next_append_ns(struct log_client *client)
{
	int64_t now_ns = wait_now_ns();
	int urgent;

	if (client->queue.count && client->retry_due_ns > now_ns)
		return client->retry_due_ns;
	if (!log_queue_unsent(&client->queue, &urgent))
		return -1;
	if (urgent || client->flush_due_ns <= now_ns)
		return 0;
	return client->flush_due_ns;
}

/* Returns 0 when the thread has to stop. */
static int wait_for_work(struct log_client *client)
{
	int64_t due_ns = -1;
	int stopping;

	pthread_mutex_lock(&client->lock);
	while (!client->stopping) {
		due_ns = next_append_ns(client);
		if (!due_ns)
			break;
		if (due_ns < 0) {
			client->flush_due_ns = 0;
			pthread_cond_wait(&client->work, &client->lock);
			continue;
		}
		log_client_wait_until(client, &client->work, due_ns);
	}
	stopping = client->stopping;
	pthread_mutex_unlock(&client->lock);
	return !stopping;
}

void *log_client_append_thread(void *arg)
{
	struct log_client *client = arg;

	while (wait_for_work(client)) {
		struct error why = ERROR_INIT;

		if (log_client_append_once(client, &why) < 0)
			log_warning(&client->log, "an append failed: %s",
				    why.text);
	}
	return NULL;
}
