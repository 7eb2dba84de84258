#include "backend/server_pool.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void server_pool_init(struct server_pool *pool, const char *name, uint64_t seed)
{
	memset(pool, 0, sizeof(*pool));
	copy_text(pool->name, sizeof(pool->name), name);
	pthread_mutex_init(&pool->lock, NULL);
	rng_init(&pool->rng, seed);
	retry_budget_init(&pool->retries, POOL_RETRIES_PER_MILLE,
			  POOL_RETRY_RESERVE);
}

void server_pool_finish(struct server_pool *pool)
{
	free(pool->servers);
	free(pool->views);
	pthread_mutex_destroy(&pool->lock);
}

int32_t server_pool_find(const struct server_pool *pool, const char *name)
{
	for (uint32_t i = 0; i < pool->count; i++)
		if (!strcmp(pool->servers[i].name, name))
			return (int32_t)i;
	return -1;
}

static uint32_t add_server(struct server_pool *pool, const char *name)
{
	uint32_t at = pool->count++;

	if (pool->count > pool->alloc) {
		pool->alloc = pool->alloc * 2 + 16;
		pool->servers = xrealloc(pool->servers,
					 pool->alloc * sizeof(*pool->servers));
		pool->views = xrealloc(pool->views,
				       pool->alloc * sizeof(*pool->views));
	}
	memset(&pool->servers[at], 0, sizeof(pool->servers[at]));
	memset(&pool->views[at], 0, sizeof(pool->views[at]));
	copy_text(pool->servers[at].name, NAME_BYTES, name);
	copy_text(pool->views[at].name, NAME_BYTES, name);
	pool->views[at].capacity = 1;
	pool->views[at].tokens_per_s = 1;
	circuit_init(&pool->servers[at].circuit);
	return at;
}

void server_reset(struct server *server, struct server_view *view)
{
	circuit_init(&server->circuit);
	server->gone = 0;
	server->gone_incarnation = 0;
	server->incarnation = 0;
	view->circuit_open = 0;
	view->prefix_count = 0;
	view->version = 0;
}

/* The host list mostly has the order of `servers`, so this rarely searches. */
static int32_t find_listed(struct server_pool *pool, const char *name)
{
	uint32_t at = pool->next_listed;
	int32_t found = (int32_t)at;

	if (at >= pool->count || strcmp(pool->servers[at].name, name))
		found = server_pool_find(pool, name);
	if (found >= 0)
		pool->next_listed = (uint32_t)found + 1;
	return found;
}

void server_pool_begin_host_list(struct server_pool *pool)
{
	pool->next_listed = 0;
	for (uint32_t i = 0; i < pool->count; i++)
		pool->servers[i].listed = 0;
}

void server_pool_apply_host(struct server_pool *pool, const struct host *host)
{
	int32_t found = find_listed(pool, host->name);
	uint32_t at = found >= 0 ? (uint32_t)found
				 : add_server(pool, host->name);
	struct server *server = &pool->servers[at];
	struct server_view *view = &pool->views[at];

	/* A new address means that another process has replaced it. */
	if (strcmp(server->address, host->address))
		server_reset(server, view);
	copy_text(server->address, sizeof(server->address), host->address);
	copy_text(server->region, sizeof(server->region), host->region);
	copy_text(view->data_centre, sizeof(view->data_centre),
		  host->data_centre);
	server->role = host->role;
	server->checks_fencing = host->checks_fencing;
	server->listed = 1;
	view->cheap = host->cheap;
	view->leaving = host->leaving;
}

void server_pool_end_host_list(struct server_pool *pool)
{
	for (uint32_t i = 0; i < pool->count; i++) {
		if (pool->servers[i].listed)
			continue;
		pool->views[i].leaving = 1;
		if (pool->views[i].own_in_flight)
			continue;
		pool->count--;
		pool->servers[i] = pool->servers[pool->count];
		pool->views[i] = pool->views[pool->count];
		i--;
	}
}

int server_is_reserved(const struct server *server, int64_t now_ns)
{
	return server->suspect_in_flight || now_ns < server->reserved_until_ns;
}
