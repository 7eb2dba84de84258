#ifndef STATE_LOG_CLIENT_PRIVATE_H
#define STATE_LOG_CLIENT_PRIVATE_H

#include "base/wait.h"
#include "state/log_client.h"

/* Shared between the files of the log client. */

/*
 * Waits on `cond` with the lock held, up to a moment of wait_now_ns(), which
 * no fake clock moves. Returns 0 if the moment has passed.
 */
int log_client_wait_until(struct log_client *client, pthread_cond_t *cond,
			  int64_t until_ns);

/* Pause before the next try after `failures` failed calls in a row. */
int64_t log_client_retry_ns(const struct log_client *client, uint32_t failures);

void *log_client_follow_thread(void *arg);
void *log_client_append_thread(void *arg);

/*
 * Publishes the configuration if it has changed and wakes those who wait
 * for applied records. The caller holds `publish_lock`, not `lock`.
 */
void log_client_publish(struct log_client *client);

/* Queues a snapshot of the state if one is due; the lock is held. */
void log_client_snapshot_if_due(struct log_client *client);

/*
 * Finds the newest complete snapshot in the log between `first` and `head`
 * and takes the state over from it. Returns 1 if it did, 0 if there is none
 * newer than the state, -1 if the log could not be read. The caller holds
 * `publish_lock`, not `lock`.
 */
int log_client_recover(struct log_client *client, uint64_t first, uint64_t head,
		       struct error *err);

#endif
