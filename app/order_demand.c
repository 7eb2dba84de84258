#include "app/order_demand.h"

#include <string.h>

#include "app/daemon.h"
#include "base/alloc.h"

/* One decision serves all data centres that ask within this time. */
#define DECISION_KEEP_NS (1 * NS_PER_S)
#define SERVER_BOOT_NS (60 * NS_PER_S)
/* A platform that has cheap servers at all boots the first by then. */
#define CHEAP_PATIENCE_NS (2 * SERVER_BOOT_NS)
#define DEAR_CENTS_PER_HOUR 300
#define CHEAP_CENTS_PER_HOUR 100

/* Busy servers of one pool, summed up from load reports. */
struct pool_load {
	double busy;
};

static void add_load(void *arg, const struct server_pool *pool,
		     const struct server *server,
		     const struct server_view *view)
{
	struct pool_load *load = arg;
	uint32_t work = view->reported_running + view->reported_waiting;

	(void)pool;
	if (!server->listed)
		return;
	load->busy += (double)work / (view->capacity ? view->capacity : 1);
}

static struct pool_places *find_pool(struct order_demand_source *source,
				     const char *name)
{
	for (uint32_t i = 0; i < source->pool_count; i++)
		if (!strcmp(source->pools[i].pool, name))
			return &source->pools[i];
	if (source->pool_count == ORDER_POOLS_MAX)
		return NULL;
	copy_text(source->pools[source->pool_count].pool, NAME_BYTES, name);
	return &source->pools[source->pool_count++];
}

static struct server_place *find_place(struct pool_places *pool,
				       const char *data_centre)
{
	struct server_place *place;

	for (uint32_t i = 0; i < pool->count; i++)
		if (!strcmp(pool->places[i].data_centre, data_centre))
			return &pool->places[i];
	if (pool->count == ORDER_PLACES_MAX)
		return NULL;
	place = &pool->places[pool->count++];
	memset(place, 0, sizeof(*place));
	copy_text(place->data_centre, NAME_BYTES, data_centre);
	return place;
}

/* Whether requests of a latency-bound route go to the pool. */
static int serves_latency(const struct config *config, const char *pool)
{
	for (uint32_t i = 0; i < config->route_count; i++)
		if (!strcmp(config->routes[i].pool, pool) &&
		    config->routes[i].class_ == ROUTE_LATENCY)
			return 1;
	return 0;
}

static void take_budgets(struct pool_places *pool, const struct config *config)
{
	for (uint32_t i = 0; i < config->budget_count; i++) {
		const struct budget *budget = &config->budgets[i];
		struct server_place *place;

		if (strcmp(budget->pool, pool->pool))
			continue;
		place = find_place(pool, budget->data_centre);
		if (!place)
			return;
		place->max_dear = budget->max_dear;
		place->max_cheap = budget->max_cheap;
		place->max_cents_per_hour = budget->max_cents_per_hour;
		place->dear_cents_per_hour = DEAR_CENTS_PER_HOUR;
		place->cheap_cents_per_hour = CHEAP_CENTS_PER_HOUR;
	}
}

static void decide(struct order_demand_source *source, struct pool_places *pool,
		   int64_t now_ns)
{
	struct daemon *daemon = source->daemon;
	struct pool_load load = { .busy = 0 };
	struct server_demand demand = { .boot_ns = SERVER_BOOT_NS };
	const struct config *config;
	int latency;

	server_table_each_in_pool(&daemon->servers, pool->pool, add_load,
				  &load);
	config = log_client_config_begin(&daemon->log_client);
	take_budgets(pool, config);
	latency = serves_latency(config, pool->pool);
	log_client_config_end(&daemon->log_client);
	if (latency)
		demand.latency_servers = load.busy;
	else
		demand.batch_servers = load.busy;
	server_count_decide(&source->policy, &demand, pool->places, pool->count,
			    now_ns);
	pool->decided_ns = now_ns;
}

static uint32_t add_want(struct server_want *wants, uint32_t count,
			 uint32_t max, const char *pool, int cheap,
			 uint32_t wanted)
{
	if (count == max)
		return count;
	copy_text(wants[count].pool, NAME_BYTES, pool);
	wants[count].cheap = cheap;
	wants[count].count = wanted;
	return count + 1;
}

/* The pool of a data centre's budget; -1 if it has none. */
static int budget_pool(struct daemon *daemon, const char *data_centre,
		       char pool[NAME_BYTES])
{
	const struct config *config =
		log_client_config_begin(&daemon->log_client);
	const struct budget *budget = config_budget(config, data_centre);

	if (budget)
		copy_text(pool, NAME_BYTES, budget->pool);
	log_client_config_end(&daemon->log_client);
	return budget ? 0 : -1;
}

static const struct server_count *find_cheap(const char *pool,
					     const struct server_count *have,
					     uint32_t have_count)
{
	for (uint32_t i = 0; i < have_count; i++)
		if (have[i].cheap && !strcmp(have[i].pool, pool))
			return &have[i];
	return NULL;
}

/* Orders no cheap ones for a while where they were taken away. */
static void seen(struct order_demand *demand, const char *data_centre,
		 const struct server_count *have, uint32_t have_count)
{
	struct order_demand_source *source =
		(struct order_demand_source *)demand;
	int64_t now_ns = clock_now_ns(&source->daemon->clock);
	const struct server_count *cheap;
	struct server_place *place;
	struct pool_places *pool;
	char name[NAME_BYTES];

	if (budget_pool(source->daemon, data_centre, name))
		return;
	pool = find_pool(source, name);
	cheap = find_cheap(name, have, have_count);
	place = pool && cheap ? find_place(pool, data_centre) : NULL;
	if (!place || now_ns < place->no_cheap_until_ns)
		return;
	switch (cheap_watch_check(&pool->watches[place - pool->places],
				  cheap->desired, cheap->running,
				  CHEAP_PATIENCE_NS, now_ns)) {
	case CHEAP_EVICTED:
		server_place_evicted(&source->policy, place, now_ns);
		pool->decided_ns = 0; /* what they did goes elsewhere now */
		break;
	case CHEAP_STEADY:
		server_place_steady(place);
		break;
	case CHEAP_SAME:
		break;
	}
}

static uint32_t wanted(struct order_demand *demand, const char *data_centre,
		       struct server_want *wants, uint32_t max)
{
	struct order_demand_source *source =
		(struct order_demand_source *)demand;
	int64_t now_ns = clock_now_ns(&source->daemon->clock);
	const struct server_place *place;
	struct pool_places *pool;
	char name[NAME_BYTES];
	uint32_t count = 0;

	if (budget_pool(source->daemon, data_centre, name))
		return 0;
	pool = find_pool(source, name);
	if (!pool)
		return 0;
	if (!pool->decided_ns || now_ns - pool->decided_ns > DECISION_KEEP_NS)
		decide(source, pool, now_ns);
	place = find_place(pool, data_centre);
	if (!place)
		return 0;
	count = add_want(wants, count, max, name, 0, place->wanted_dear);
	return add_want(wants, count, max, name, 1, place->wanted_cheap);
}

static const struct order_demand_vtable demand_vtable = {
	.seen = seen,
	.wanted = wanted,
};

void order_demand_init(struct order_demand_source *source,
		       struct daemon *daemon)
{
	memset(source, 0, sizeof(*source));
	source->base.vt = &demand_vtable;
	source->daemon = daemon;
	server_count_policy_init(&source->policy);
}
