#include "weights/weight_loop.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "base/backoff.h"
#include "client/guarded_call.h"

void weight_loop_init(struct weight_loop *loop, struct server_table *servers,
		      struct version_table *versions,
		      struct lease_keeper *leases, struct clock *clock,
		      struct timeline *timeline, const char *own_data_centre,
		      struct counter_set *counters, const struct log_part *log)
{
	memset(loop, 0, sizeof(*loop));
	loop->servers = servers;
	loop->versions = versions;
	loop->leases = leases;
	loop->clock = clock;
	loop->timeline = timeline;
	loop->log = *log;
	copy_text(loop->own_data_centre, sizeof(loop->own_data_centre),
		  own_data_centre);
	loop->orders = counter_get(counters, "weight_orders_total");
	loop->failures = counter_get(counters, "weight_order_failures_total");
	pthread_mutex_init(&loop->lock, NULL);
	pthread_cond_init(&loop->changed, NULL);
}

void weight_loop_finish(struct weight_loop *loop)
{
	pthread_cond_destroy(&loop->changed);
	pthread_mutex_destroy(&loop->lock);
}

static void claim_lease(struct weight_loop *loop, const char *data_centre)
{
	int own = !strcmp(data_centre, loop->own_data_centre);
	char name[NAME_BYTES + 16];

	snprintf(name, sizeof(name), "orders/%s", data_centre);
	lease_keeper_request(
		loop->leases, name,
		own ? 0 : WEIGHT_FOREIGN_CLAIM_DELAY_MS * NS_PER_MS, NULL);
}

static struct weight_target *find_target(struct weight_loop *loop,
					 const char *name)
{
	for (uint32_t i = 0; i < loop->target_count; i++)
		if (!strcmp(loop->targets[i].name, name))
			return &loop->targets[i];
	return NULL;
}

/* Adds or updates the target of an engine with outdated weights. */
static void add_target(void *arg, const struct server_pool *pool,
		       const struct server *server,
		       const struct server_view *view)
{
	struct weight_loop *loop = arg;
	uint64_t latest = version_table_latest(loop->versions, pool->name);
	struct weight_target *target;

	if (server->role != HOST_ENGINE || view->leaving ||
	    !server->incarnation || view->version >= latest)
		return;
	target = find_target(loop, server->name);
	if (!target) {
		if (loop->target_count == WEIGHT_TARGETS_MAX)
			return;
		target = &loop->targets[loop->target_count++];
		memset(target, 0, sizeof(*target));
		copy_text(target->name, NAME_BYTES, server->name);
		claim_lease(loop, view->data_centre);
	}
	copy_text(target->pool, NAME_BYTES, pool->name);
	copy_text(target->address, NAME_BYTES, server->address);
	copy_text(target->data_centre, NAME_BYTES, view->data_centre);
	target->seen = 1;
	if (target->version < latest) {
		target->version = latest;
		target->order_count = 0;
		target->retry_ns = 0;
	}
}

static void list_targets(struct weight_loop *loop, int64_t now_ns)
{
	if (now_ns - loop->listed_ns < WEIGHT_LOOP_PERIOD_MS * NS_PER_MS)
		return;
	loop->listed_ns = now_ns;
	for (uint32_t i = 0; i < loop->target_count; i++)
		loop->targets[i].seen = 0;
	server_table_each(loop->servers, add_target, loop);
	for (uint32_t i = 0; i < loop->target_count; i++) {
		if (loop->targets[i].seen || loop->targets[i].in_flight)
			continue;
		loop->targets[i--] = loop->targets[--loop->target_count];
	}
}

static int holds_lease(struct weight_loop *loop, const char *data_centre,
		       int64_t now_ns, struct lease_hold *hold)
{
	char name[NAME_BYTES + 16];

	snprintf(name, sizeof(name), "orders/%s", data_centre);
	return lease_keeper_held(loop->leases, name, now_ns, hold);
}

/*
 * Marks a target that is due as in flight. Copies it to `out`, as targets may
 * move within the array while the lock is released.
 */
static int take_due_target(struct weight_loop *loop, int64_t now_ns,
			   struct weight_target *out, struct lease_hold *hold)
{
	for (uint32_t i = 0; i < loop->target_count; i++) {
		struct weight_target *target = &loop->targets[i];

		if (target->in_flight || now_ns < target->retry_ns ||
		    !holds_lease(loop, target->data_centre, now_ns, hold))
			continue;
		target->in_flight = 1;
		*out = *target;
		loop->sequence++;
		return 1;
	}
	return 0;
}

/*
 * Schedules the next check of the target, with backoff also after an accepted
 * order: the engine gets another order if it has not swapped by then.
 */
static void reschedule(struct weight_loop *loop,
		       const struct weight_target *sent, int failed)
{
	struct weight_target *target = find_target(loop, sent->name);

	if (!target)
		return;
	target->in_flight = 0;
	target->order_count++;
	target->retry_ns = clock_now_ns(loop->clock) +
			   backoff_ns(WEIGHT_RETRY_MIN_MS * NS_PER_MS,
				      WEIGHT_RETRY_MAX_MS * NS_PER_MS,
				      target->order_count);
	if (!failed)
		timeline_add(loop->timeline, "weights",
			     "%s ordered to load %s version %llu", sent->name,
			     sent->pool, (unsigned long long)sent->version);
}

static int send_order(struct weight_loop *loop,
		      const struct weight_target *target,
		      const struct lease_hold *hold, uint64_t sequence)
{
	struct error err = ERROR_INIT;
	struct http_pool pool;
	char url[NAME_BYTES + 8];
	json_t *body = json_pack("{s:I,s:I,s:s,s:I}", "epoch",
				 (json_int_t)hold->epoch, "sequence",
				 (json_int_t)sequence, "order", "load_version",
				 "version", (json_int_t)target->version);
	int result;

	snprintf(url, sizeof(url), "http://%s", target->address);
	if (http_pool_init(&pool, url, &err)) {
		json_decref(body);
		return -1;
	}
	result = guarded_post(&pool, "/v1/orders", body, hold->deadline_ns,
			      target->name, &err);
	http_pool_finish(&pool);
	counter_add(loop->orders, 1);
	if (!result)
		return 0;
	counter_add(loop->failures, 1);
	log_info(&loop->log, "order to load weights failed for %s: %s",
		 target->name, err.text);
	return -1;
}

static void wait_for_period(struct weight_loop *loop)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += WEIGHT_LOOP_PERIOD_MS * NS_PER_MS;
	until.tv_sec += until.tv_nsec / NS_PER_S;
	until.tv_nsec %= NS_PER_S;
	pthread_cond_timedwait(&loop->changed, &loop->lock, &until);
}

static void *weight_thread(void *arg)
{
	struct weight_loop *loop = arg;

	pthread_mutex_lock(&loop->lock);
	while (!loop->stopping) {
		int64_t now_ns = clock_now_ns(loop->clock);
		struct weight_target target;
		struct lease_hold hold;
		uint64_t sequence;
		int failed;

		list_targets(loop, now_ns);
		if (!take_due_target(loop, now_ns, &target, &hold)) {
			wait_for_period(loop);
			continue;
		}
		sequence = loop->sequence;
		pthread_mutex_unlock(&loop->lock);
		failed = send_order(loop, &target, &hold, sequence);
		pthread_mutex_lock(&loop->lock);
		reschedule(loop, &target, failed);
	}
	pthread_mutex_unlock(&loop->lock);
	return NULL;
}

int weight_loop_start(struct weight_loop *loop, struct error *err)
{
	claim_lease(loop, loop->own_data_centre);
	while (loop->thread_count < WEIGHT_THREADS) {
		if (pthread_create(&loop->threads[loop->thread_count], NULL,
				   weight_thread, loop))
			return error_set(
				err, ERROR_IO,
				"cannot create thread for weight orders");
		loop->thread_count++;
	}
	return 0;
}

void weight_loop_stop(struct weight_loop *loop)
{
	pthread_mutex_lock(&loop->lock);
	loop->stopping = 1;
	pthread_cond_broadcast(&loop->changed);
	pthread_mutex_unlock(&loop->lock);
	while (loop->thread_count)
		pthread_join(loop->threads[--loop->thread_count], NULL);
}
