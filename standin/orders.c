#include <pthread.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/fence.h"
#include "standin/roles.h"
#include "base/clock.h"
#include "base/wait.h"

#define CENTS_DEAR 300
#define CENTS_CHEAP 90
#define NO_LIMIT UINT32_MAX

/* What one data centre runs of a pool and class. */
struct standing {
	char data_centre[64];
	char pool[64];
	char class_[16];
	uint32_t desired;
	uint32_t running;
	int64_t boots_at_ns; /* when `running` becomes `desired` */
	struct standing *next;
};

/* Receives orders for backend servers, by data centre. */
struct orders_role {
	struct role base;
	pthread_mutex_t lock;
	struct fence fence;
	struct standing *first;
	json_t *limits; /* available cheap ones by data centre */
	int64_t boot_ns;
	/* faults */
	pthread_cond_t changed;
	int forget; /* orders are accepted and change nothing */
	int hold_reads; /* reads wait until this is cleared */
	int stopping;
	uint32_t reads_held; /* that wait now */
};

static struct standing *find(struct orders_role *orders, const json_t *order)
{
	const char *data_centre = json_field_text(order, "data_centre", "");
	const char *pool = json_field_text(order, "pool", "");
	const char *class_ = json_field_text(order, "class", "dear");
	struct standing *s;

	for (s = orders->first; s; s = s->next)
		if (!strcmp(s->data_centre, data_centre) &&
		    !strcmp(s->pool, pool) && !strcmp(s->class_, class_))
			return s;
	s = xcalloc(1, sizeof(*s));
	copy_text(s->data_centre, sizeof(s->data_centre), data_centre);
	copy_text(s->pool, sizeof(s->pool), pool);
	copy_text(s->class_, sizeof(s->class_), class_);
	s->next = orders->first;
	orders->first = s;
	return s;
}

static void boot(struct orders_role *orders, struct standing *s)
{
	uint32_t limit = NO_LIMIT;

	if (!strcmp(s->class_, "cheap"))
		limit = (uint32_t)json_field_u64(orders->limits, s->data_centre,
						 NO_LIMIT);
	if (s->desired < s->running || wait_now_ns() >= s->boots_at_ns)
		s->running = s->desired;
	if (s->running > limit)
		s->running = limit;
}

static void carry_out(struct orders_role *orders, const json_t *order)
{
	struct standing *s = find(orders, order);

	boot(orders, s);
	s->desired = (uint32_t)json_field_u64(order, "count", 0);
	s->boots_at_ns = wait_now_ns() + orders->boot_ns;
}

static void take_order(struct orders_role *orders, struct call *call,
		       struct reply *reply)
{
	json_t *order = call_json(call, reply);

	if (!order)
		return;
	pthread_mutex_lock(&orders->lock);
	if (fence_pass(&orders->fence,
		       json_field_text(order, "data_centre", ""), order,
		       reply)) {
		if (!orders->forget)
			carry_out(orders, order);
		reply_json(reply, 200, json_pack("{s:b}", "accepted", 1));
	}
	pthread_mutex_unlock(&orders->lock);
	json_decref(order);
}

/* Waits while reads are held; the lock is held. */
static void wait_for_release(struct orders_role *orders)
{
	orders->reads_held++;
	while (orders->hold_reads && !orders->stopping)
		pthread_cond_wait(&orders->changed, &orders->lock);
	orders->reads_held--;
}

static void read_back(struct orders_role *orders, struct call *call,
		      struct reply *reply)
{
	char data_centre[64];
	json_t *pools = json_array();
	struct standing *s;

	call_query_text(call, "data_centre", data_centre, sizeof(data_centre));
	pthread_mutex_lock(&orders->lock);
	wait_for_release(orders);
	for (s = orders->first; s; s = s->next) {
		if (strcmp(s->data_centre, data_centre))
			continue;
		boot(orders, s);
		json_array_append_new(
			pools,
			json_pack("{s:s, s:s, s:i, s:i, s:i}", "pool", s->pool,
				  "class", s->class_, "desired",
				  (int)s->desired, "running", (int)s->running,
				  "cents_per_hour",
				  !strcmp(s->class_, "cheap") ? CENTS_CHEAP
							      : CENTS_DEAR));
	}
	pthread_mutex_unlock(&orders->lock);
	reply_json(reply, 200, json_pack("{s:o}", "pools", pools));
}

/* {"DATA_CENTRE": N}: how many cheap ones can be had; others: no limit. */
static void set_limits(struct orders_role *orders, struct call *call,
		       struct reply *reply)
{
	json_t *limits = call_json(call, reply);

	if (!limits)
		return;
	pthread_mutex_lock(&orders->lock);
	json_decref(orders->limits);
	orders->limits = limits;
	pthread_mutex_unlock(&orders->lock);
	reply_json(reply, 200, json_object());
}

static void orders_handle(struct role *role, struct call *call,
			  struct reply *reply)
{
	struct orders_role *orders = (struct orders_role *)role;

	if (call_is(call, "POST", "/v1/orders"))
		take_order(orders, call, reply);
	else if (call_is(call, "GET", "/v1/orders"))
		read_back(orders, call, reply);
	else if (call_is(call, "GET", "/standin/received")) {
		pthread_mutex_lock(&orders->lock);
		reply_json(reply, 200, fence_received(&orders->fence));
		pthread_mutex_unlock(&orders->lock);
	} else if (call_is(call, "GET", "/standin/reads")) {
		pthread_mutex_lock(&orders->lock);
		reply_json(reply, 200,
			   json_pack("{s:i}", "held", (int)orders->reads_held));
		pthread_mutex_unlock(&orders->lock);
	} else if (call_is(call, "POST", "/standin/available"))
		set_limits(orders, call, reply);
	else
		reply_not_found(reply, call);
}

/* {"forget": true, "hold_reads": true} */
static void set_faults(struct role *role, const json_t *faults)
{
	struct orders_role *orders = (struct orders_role *)role;

	pthread_mutex_lock(&orders->lock);
	orders->forget = json_is_true(json_object_get(faults, "forget"));
	orders->hold_reads =
		json_is_true(json_object_get(faults, "hold_reads"));
	pthread_cond_broadcast(&orders->changed);
	pthread_mutex_unlock(&orders->lock);
}

static void stop(struct role *role)
{
	struct orders_role *orders = (struct orders_role *)role;

	pthread_mutex_lock(&orders->lock);
	orders->stopping = 1;
	pthread_cond_broadcast(&orders->changed);
	pthread_mutex_unlock(&orders->lock);
}

struct role *orders_role_new(const struct standin_options *options)
{
	static const struct role_vtable vtable = {
		.handle = orders_handle,
		.set_faults = set_faults,
		.stop = stop,
	};
	struct orders_role *orders = xcalloc(1, sizeof(*orders));

	orders->base.vt = &vtable;
	pthread_mutex_init(&orders->lock, NULL);
	pthread_cond_init(&orders->changed, NULL);
	fence_init(&orders->fence, options->checks_fencing);
	orders->limits = json_object();
	orders->boot_ns = options->boot_ms * NS_PER_MS;
	return &orders->base;
}
