#include "backend/server_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "base/hash.h"

#define WAIT_SMOOTHING_DIVISOR 8
#define RETRY_AFTER_MIN_NS (NS_PER_S / 2)

void server_table_init(struct server_table *table, uint64_t seed)
{
	memset(table, 0, sizeof(*table));
	table->seed = seed;
	pthread_rwlock_init(&table->lock, NULL);
}

void server_table_finish(struct server_table *table)
{
	for (uint32_t i = 0; i < table->pool_count; i++) {
		server_pool_finish(table->pools[i]);
		free(table->pools[i]);
	}
	pthread_rwlock_destroy(&table->lock);
}

static struct server_pool *find_pool(struct server_table *table,
				     const char *name)
{
	struct server_pool *found = NULL;

	pthread_rwlock_rdlock(&table->lock);
	for (uint32_t i = 0; !found && i < table->pool_count; i++)
		if (!strcmp(table->pools[i]->name, name))
			found = table->pools[i];
	pthread_rwlock_unlock(&table->lock);
	return found;
}

static struct server_pool *find_or_add_pool(struct server_table *table,
					    const char *name)
{
	struct server_pool *pool = find_pool(table, name);

	if (pool || table->pool_count == POOLS_MAX)
		return pool;
	pool = xcalloc(1, sizeof(*pool));
	server_pool_init(pool, name, hash_text(name, table->seed));
	pthread_rwlock_wrlock(&table->lock);
	table->pools[table->pool_count++] = pool;
	pthread_rwlock_unlock(&table->lock);
	return pool;
}

/* Copies the current list; pools are only removed with the table. */
static uint32_t copy_pools(struct server_table *table,
			   struct server_pool *list[POOLS_MAX])
{
	uint32_t count;

	pthread_rwlock_rdlock(&table->lock);
	count = table->pool_count;
	memcpy(list, table->pools, count * sizeof(struct server_pool *));
	pthread_rwlock_unlock(&table->lock);
	return count;
}

/*
 * Returns the index of a server with the lock of `*pool` held, or -1 with no
 * lock held.
 */
static int32_t lock_server(struct server_table *table, const char *pool_name,
			   const char *name, struct server_pool **pool)
{
	int32_t at;

	*pool = find_pool(table, pool_name);
	if (!*pool)
		return -1;
	pthread_mutex_lock(&(*pool)->lock);
	at = server_pool_find(*pool, name);
	if (at < 0)
		pthread_mutex_unlock(&(*pool)->lock);
	return at;
}

void server_table_apply_host_list(struct server_table *table,
				  const struct host_list *list)
{
	struct server_pool *pools[POOLS_MAX];
	uint32_t count = copy_pools(table, pools);

	for (uint32_t i = 0; i < count; i++) {
		struct server_pool *pool = pools[i];

		pthread_mutex_lock(&pool->lock);
		server_pool_begin_host_list(pool);
		pthread_mutex_unlock(&pool->lock);
	}
	for (uint32_t i = 0; i < list->host_count; i++) {
		const struct host *host = &list->hosts[i];
		struct server_pool *pool;

		if (host->role == HOST_ENTRY)
			continue;
		pool = find_or_add_pool(table, host->pool);
		if (!pool)
			continue;
		pthread_mutex_lock(&pool->lock);
		server_pool_apply_host(pool, host);
		pthread_mutex_unlock(&pool->lock);
	}
	count = copy_pools(table, pools);
	for (uint32_t i = 0; i < count; i++) {
		struct server_pool *pool = pools[i];

		pthread_mutex_lock(&pool->lock);
		server_pool_end_host_list(pool);
		pthread_mutex_unlock(&pool->lock);
	}
}

static void update_states(struct server_pool *pool, int64_t now_ns)
{
	for (uint32_t i = 0; i < pool->count; i++) {
		struct server *server = &pool->servers[i];

		pool->views[i].circuit_open =
			server->gone ||
			!circuit_allows(&server->circuit, now_ns);
		pool->views[i].suspect = server_is_reserved(server, now_ns);
	}
}

static void count_started(struct server_pool *pool, uint32_t at,
			  const struct choice_request *request, int64_t now_ns)
{
	struct server_view *view = &pool->views[at];

	view->own_in_flight++;
	retry_budget_first_attempt(&pool->retries);
	view->own_since_report++;
	view->own_tokens_left += request->expected_tokens;
	circuit_begin(&pool->servers[at].circuit, now_ns);
}

static void record_prefix(struct server_view *view, uint64_t prefix)
{
	if (!prefix)
		return;
	for (uint32_t i = 0; i < view->prefix_count; i++)
		if (view->prefixes[i] == prefix)
			return;
	if (view->prefix_count < ARRAY_SIZE(view->prefixes))
		view->prefix_count++;
	memmove(view->prefixes + 1, view->prefixes,
		(view->prefix_count - 1) * sizeof(view->prefixes[0]));
	view->prefixes[0] = prefix;
}

static void fill_pick(const struct server_pool *pool, uint32_t at,
		      struct server_pick *out)
{
	copy_text(out->name, NAME_BYTES, pool->servers[at].name);
	copy_text(out->address, NAME_BYTES, pool->servers[at].address);
	copy_text(out->data_centre, NAME_BYTES, pool->views[at].data_centre);
	out->cheap = pool->views[at].cheap;
	out->version = pool->views[at].version;
}

int server_table_pick(struct server_table *table, const char *pool_name,
		      const struct choice_request *request, int64_t now_ns,
		      struct server_pick *out)
{
	struct server_pool *pool = find_pool(table, pool_name);
	int32_t at;

	if (!pool)
		return -1;
	pthread_mutex_lock(&pool->lock);
	update_states(pool, now_ns);
	at = choice_pick(&pool->policy, pool->views, pool->count, request,
			 &pool->rng, now_ns);
	if (at >= 0) {
		fill_pick(pool, (uint32_t)at, out);
		count_started(pool, (uint32_t)at, request, now_ns);
		record_prefix(&pool->views[at], request->prefix);
	}
	pthread_mutex_unlock(&pool->lock);
	return at >= 0 ? 0 : -1;
}

int server_table_can_pick(struct server_table *table, const char *pool_name,
			  const struct choice_request *request, int64_t now_ns)
{
	struct server_pool *pool = find_pool(table, pool_name);
	int can;

	if (!pool)
		return 0;
	pthread_mutex_lock(&pool->lock);
	update_states(pool, now_ns);
	can = choice_pick(&pool->policy, pool->views, pool->count, request,
			  &pool->rng, now_ns) >= 0;
	pthread_mutex_unlock(&pool->lock);
	return can;
}

int server_table_has_room(struct server_table *table, const char *pool_name,
			  int latency_bound, int64_t now_ns)
{
	struct choice_request request = {
		.needs_room = 1,
		.latency_bound = latency_bound,
		.expected_tokens = 1,
	};

	return server_table_can_pick(table, pool_name, &request, now_ns);
}

static int pick_by_name(struct server_table *table, const char *pool_name,
			const char *name, double expected_tokens, int alone,
			int64_t now_ns, struct server_pick *out)
{
	struct choice_request request = { .expected_tokens =
						  (uint32_t)expected_tokens };
	struct server_pool *pool;
	int32_t at = lock_server(table, pool_name, name, &pool);
	int can;

	if (at < 0)
		return -1;
	update_states(pool, now_ns);
	can = !pool->views[at].leaving && !pool->views[at].circuit_open &&
	      !pool->servers[at].suspect_in_flight;
	if (can) {
		fill_pick(pool, (uint32_t)at, out);
		count_started(pool, (uint32_t)at, &request, now_ns);
		pool->servers[at].suspect_in_flight = alone;
	}
	pthread_mutex_unlock(&pool->lock);
	return can ? 0 : -1;
}

int server_table_pick_named(struct server_table *table, const char *pool,
			    const char *name, double expected_tokens,
			    int64_t now_ns, struct server_pick *out)
{
	return pick_by_name(table, pool, name, expected_tokens, 0, now_ns, out);
}

int server_table_pick_alone(struct server_table *table, const char *pool,
			    const char *name, double expected_tokens,
			    int64_t now_ns, struct server_pick *out)
{
	return pick_by_name(table, pool, name, expected_tokens, 1, now_ns, out);
}

void server_table_end_alone(struct server_table *table, const char *pool_name,
			    const char *name, enum server_outcome outcome,
			    int64_t now_ns)
{
	struct server_pool *pool;
	int32_t at = lock_server(table, pool_name, name, &pool);

	if (at < 0)
		return;
	pool->servers[at].suspect_in_flight = 0;
	pool->servers[at].reserved_until_ns =
		outcome == SERVER_FAILED ? now_ns + SERVER_RESERVE_NS : 0;
	pthread_mutex_unlock(&pool->lock);
}

void server_table_reserve(struct server_table *table, const char *pool_name,
			  const char *name, int64_t now_ns)
{
	struct server_pool *pool;
	int32_t at = lock_server(table, pool_name, name, &pool);

	if (at < 0)
		return;
	pool->servers[at].reserved_until_ns = now_ns + SERVER_RESERVE_NS;
	pthread_mutex_unlock(&pool->lock);
}

int server_table_on_unreachable(struct server_table *table,
				const char *pool_name, const char *name)
{
	struct server_pool *pool;
	int32_t at = lock_server(table, pool_name, name, &pool);
	struct server *server;
	int had_reported;

	if (at < 0)
		return 0;
	server = &pool->servers[at];
	had_reported = server->incarnation != 0;
	if (had_reported)
		server->gone_incarnation = server->incarnation;
	server->incarnation = 0;
	server->gone = 1;
	pthread_mutex_unlock(&pool->lock);
	return had_reported;
}

static void count_outcome(struct server_pool *pool, struct server *server,
			  enum server_outcome outcome, int64_t now_ns)
{
	if (outcome == SERVER_FAILED)
		circuit_failed(&server->circuit, &pool->rng, now_ns);
	else if (outcome != SERVER_CANCELLED)
		circuit_succeeded(&server->circuit);
}

int server_table_take_retry(struct server_table *table, const char *pool_name)
{
	struct server_pool *pool = find_pool(table, pool_name);

	return pool && retry_budget_take(&pool->retries);
}

/*
 * A call sent before the last report is in its figures, and counts as done
 * since then; a later one no longer counts as sent since the report.
 */
static void count_done(struct server_view *view, int64_t sent_ns)
{
	if (view->own_in_flight)
		view->own_in_flight--;
	if (sent_ns <= view->reported_at_ns)
		view->own_done_since_report++;
	else if (view->own_since_report)
		view->own_since_report--;
}

void server_table_done(struct server_table *table, const char *pool_name,
		       const char *name, double expected_tokens,
		       enum server_outcome outcome, int64_t took_ns,
		       int64_t now_ns)
{
	struct server_pool *pool = find_pool(table, pool_name);
	int32_t at;

	if (!pool)
		return;
	pthread_mutex_lock(&pool->lock);
	at = server_pool_find(pool, name);
	if (at >= 0) {
		struct server_view *view = &pool->views[at];

		count_done(view, now_ns - took_ns);
		view->own_tokens_left -= expected_tokens;
		if (view->own_tokens_left < 0 || !view->own_in_flight)
			view->own_tokens_left = 0;
		count_outcome(pool, &pool->servers[at], outcome, now_ns);
	}
	if (outcome == SERVER_ANSWERED)
		pool->typical_wait_ns += (took_ns - pool->typical_wait_ns) /
					 WAIT_SMOOTHING_DIVISOR;
	pthread_mutex_unlock(&pool->lock);
}

/* Returns 1 if another process has replaced the one that reported before. */
static int apply_report(struct server *server, struct server_view *view,
			const struct load_report *report, int64_t now_ns)
{
	int was_replaced = server->incarnation &&
			   server->incarnation != report->incarnation;

	if (was_replaced)
		server_reset(server, view);
	server->incarnation = report->incarnation;
	server->gone = 0;
	view->reported_running = report->running;
	view->reported_waiting = report->waiting;
	view->capacity = report->capacity;
	view->tokens_per_s = report->tokens_per_s;
	view->version = report->version;
	view->reported_at_ns = now_ns;
	view->own_since_report = 0;
	view->own_done_since_report = 0;
	return was_replaced;
}

int server_table_on_load(struct server_table *table, const char *pool_name,
			 const char *name, const struct load_report *report,
			 int64_t now_ns)
{
	struct server_pool *pool;
	int32_t at = lock_server(table, pool_name, name, &pool);
	int was_replaced;

	if (at < 0)
		return 0;
	was_replaced = apply_report(&pool->servers[at], &pool->views[at],
				    report, now_ns);
	pthread_mutex_unlock(&pool->lock);
	return was_replaced;
}

void server_table_on_peer_load(struct server_table *table,
			       const char *pool_name, const char *name,
			       const struct load_report *report, int64_t now_ns)
{
	struct server_pool *pool;
	int32_t at = lock_server(table, pool_name, name, &pool);
	struct server *server;

	if (at < 0)
		return;
	server = &pool->servers[at];
	if (!server->gone || server->gone_incarnation != report->incarnation)
		apply_report(server, &pool->views[at], report, now_ns);
	pthread_mutex_unlock(&pool->lock);
}

int64_t server_table_retry_after_ns(struct server_table *table,
				    const char *pool_name)
{
	struct server_pool *pool = find_pool(table, pool_name);
	int64_t wait_ns = 0;

	if (pool) {
		pthread_mutex_lock(&pool->lock);
		wait_ns = pool->typical_wait_ns;
		pthread_mutex_unlock(&pool->lock);
	}
	return wait_ns > RETRY_AFTER_MIN_NS ? wait_ns : RETRY_AFTER_MIN_NS;
}

static void visit(struct server_pool *pool,
		  void (*fn)(void *arg, const struct server_pool *pool,
			     const struct server *server,
			     const struct server_view *view),
		  void *arg)
{
	pthread_mutex_lock(&pool->lock);
	for (uint32_t i = 0; i < pool->count; i++)
		fn(arg, pool, &pool->servers[i], &pool->views[i]);
	pthread_mutex_unlock(&pool->lock);
}

void server_table_each(struct server_table *table,
		       void (*fn)(void *arg, const struct server_pool *pool,
				  const struct server *server,
				  const struct server_view *view),
		       void *arg)
{
	struct server_pool *pools[POOLS_MAX];
	uint32_t count = copy_pools(table, pools);

	for (uint32_t i = 0; i < count; i++)
		visit(pools[i], fn, arg);
}

void server_table_each_in_pool(
	struct server_table *table, const char *pool_name,
	void (*fn)(void *arg, const struct server_pool *pool,
		   const struct server *server, const struct server_view *view),
	void *arg)
{
	struct server_pool *pool = find_pool(table, pool_name);

	if (pool)
		visit(pool, fn, arg);
}
