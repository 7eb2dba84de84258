#include "net/net_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/alloc.h"
#include "base/bug.h"
#include "base/container_of.h"
#include "base/hash.h"
#include "net/net_address.h"

/* How long a target without connections is retained after its last call. */
#define TARGET_RETENTION_NS (60 * NS_PER_S)
#define SWEEP_PERIOD_NS (20 * NS_PER_S)
/* How long before the server's Keep-Alive timeout a connection is closed. */
#define KEEP_ALIVE_MARGIN_NS (NS_PER_S / 2)
/*
 * Interim (1xx) heads and answers to earlier requests may precede the answer
 * to a call; a correct server sends one or two. With more heads, or more bytes
 * of such bodies, the call ends as NET_GARBLED.
 */
#define MAX_SKIPPED_HEADS 16
#define MAX_SKIPPED_BYTES (1024 * 1024)

enum link_state {
	LINK_CONNECTING = 0,
	LINK_BUSY,
	LINK_IDLE,
};

struct net_link {
	struct net_pool *pool;
	struct net_target *target;
	struct bufferevent *bev;
	struct http_reader reader;
	struct net_call *call;
	struct timer timer; /* connect timeout or idle timeout */
	enum link_state state;
	int skipping; /* answer being read: interim or another's */
	uint32_t skipped_heads; /* received before the call's answer */
	uint64_t skipped_bytes; /* of the bodies of skipped answers */
	int close_after;
	int64_t idle_since_ns;
	uint64_t answered_id_hash; /* of the last call */
	struct net_link *next; /* in the target's list of idle links */
	struct net_link **at; /* the pointer to this link; NULL: not idle */
};

const char *net_outcome_name(enum net_outcome outcome)
{
	static const char *const names[] = { "answered", "not_sent", "cut",
					     "garbled" };

	return names[outcome];
}

static struct net_target **bucket(struct net_pool *pool, const char *address)
{
	return &pool->targets[hash_text(address, 0) % NET_TARGET_BUCKETS];
}

static struct net_target *find_target(struct net_pool *pool,
				      const char *address)
{
	struct net_target *target = *bucket(pool, address);

	while (target && strcmp(target->address, address))
		target = target->next;
	return target;
}

/* Finds or adds a target; NULL if the address is invalid. */
static struct net_target *get_target(struct net_pool *pool, const char *address)
{
	struct net_target *target = find_target(pool, address);

	if (target)
		return target;
	target = xcalloc(1, sizeof(*target));
	if (copy_text(target->address, sizeof(target->address), address) ||
	    net_address_parse(address, &target->addr)) {
		free(target);
		return NULL;
	}
	target->next = *bucket(pool, address);
	*bucket(pool, address) = target;
	return target;
}

static void remove_from_idle(struct net_link *link)
{
	*link->at = link->next;
	if (link->next)
		link->next->at = link->at;
	link->next = NULL;
	link->at = NULL;
}

static void free_link(struct net_link *link)
{
	timer_unsubscribe(&link->pool->reactor->timers, &link->timer);
	if (link->at)
		remove_from_idle(link);
	link->target->open_count--;
	link->pool->open_count--;
	if (link->pool->descriptors)
		link->pool->descriptors->open--;
	bufferevent_free(link->bev);
	http_reader_finish(&link->reader);
	free(link);
}

/* Frees the link, then ends its call without a complete answer. */
static void fail_call(struct net_link *link, enum net_outcome outcome)
{
	struct net_call *call = link->call;

	link->call = NULL;
	call->link = NULL;
	call->answer = NULL;
	free_link(link);
	call->vt->on_done(call, outcome);
}

/* How long the link may stay idle: the server's timeout less a margin. */
static int64_t keep_alive_ns(const struct net_link *link)
{
	const char *keep_alive =
		http_head_find(&link->reader.head, "Keep-Alive");
	const char *timeout = keep_alive ? strstr(keep_alive, "timeout=")
					 : NULL;
	int64_t server_ns;

	if (!timeout)
		return link->pool->settings.idle_max_ns;
	server_ns = strtol(timeout + strlen("timeout="), NULL, 10) * NS_PER_S -
		    KEEP_ALIVE_MARGIN_NS;
	if (server_ns > link->pool->settings.idle_max_ns)
		return link->pool->settings.idle_max_ns;
	return server_ns;
}

static void on_idle_timeout(void *arg, int64_t now_ns)
{
	(void)now_ns;
	free_link(arg);
}

static void make_idle(struct net_link *link)
{
	struct net_target *target = link->target;
	int64_t idle_ns = keep_alive_ns(link);

	if (idle_ns <= 0) {
		free_link(link);
		return;
	}
	link->state = LINK_IDLE;
	link->idle_since_ns = reactor_now_ns(link->pool->reactor);
	link->next = target->idle;
	link->at = &target->idle;
	if (link->next)
		link->next->at = &link->next;
	target->idle = link;
	timer_subscribe_once(&link->pool->reactor->timers, &link->timer,
			     idle_ns, on_idle_timeout, link);
}

/* Ends the call after a complete answer and keeps the link if it can. */
static void complete_call(struct net_link *link)
{
	struct net_call *call = link->call;
	struct evbuffer *in = bufferevent_get_input(link->bev);
	struct evbuffer *out = bufferevent_get_output(link->bev);

	link->call = NULL;
	link->answered_id_hash = call->id_hash;
	call->link = NULL;
	call->answer = NULL;
	/*
	 * Bytes after the answer belong to no request, and what was not sent of
	 * the request may be freed after the call.
	 */
	if (link->reader.keep_alive && !link->close_after &&
	    !evbuffer_get_length(in) && !evbuffer_get_length(out))
		make_idle(link);
	else
		free_link(link);
	call->vt->on_done(call, NET_ANSWERED);
}

static struct net_link *link_of(struct http_reader *reader)
{
	return container_of(reader, struct net_link, reader);
}

static int count_skipped_head(struct net_link *link)
{
	return ++link->skipped_heads > MAX_SKIPPED_HEADS ? -1 : 0;
}

static int on_head(struct http_reader *reader)
{
	struct net_link *link = link_of(reader);
	struct net_call *call = link->call;

	link->skipping = 0;
	if (reader->head.status < 200) {
		link->skipping = 1;
		return count_skipped_head(link);
	}
	call->answer = &reader->head;
	switch (call->vt->on_head(call)) {
	case NET_HEAD_ACCEPT:
		return 0;
	case NET_HEAD_SKIP:
		link->skipping = 1;
		link->close_after = 1;
		call->answer = NULL;
		return count_skipped_head(link);
	case NET_HEAD_REJECT:
		break;
	}
	return -1;
}

static int on_body(struct http_reader *reader, const char *data, size_t len)
{
	struct net_link *link = link_of(reader);

	if (link->skipping) {
		link->skipped_bytes += len;
		return link->skipped_bytes > MAX_SKIPPED_BYTES ? -1 : 0;
	}
	return link->call->vt->on_body(link->call, data, len);
}

static const struct http_reader_vtable reader_vtable = { on_head, on_body };

static int is_skipped_answer(const struct net_link *link)
{
	return link->skipping;
}

/* Reads until the answer is complete or the input is used up. */
static void read_more(struct net_link *link)
{
	struct evbuffer *in = bufferevent_get_input(link->bev);
	size_t len;

	while ((len = evbuffer_get_contiguous_space(in)) > 0) {
		const char *data =
			(const char *)evbuffer_pullup(in, (ev_ssize_t)len);
		enum http_reader_result result;
		size_t used;

		link->call->received_bytes += len;
		result = http_reader_feed(&link->reader, data, len, &used);
		evbuffer_drain(in, used);
		if (result == HTTP_READER_END && is_skipped_answer(link)) {
			http_reader_next(&link->reader);
			continue;
		}
		if (result == HTTP_READER_END) {
			complete_call(link);
			return;
		}
		if (result != HTTP_READER_MORE) {
			fail_call(link, NET_GARBLED);
			return;
		}
	}
}

static void on_readable(struct bufferevent *bev, void *arg)
{
	struct net_link *link = arg;

	(void)bev;
	if (link->state == LINK_BUSY)
		read_more(link);
	else
		free_link(link); /* unsolicited bytes */
}

static void send_request(struct net_link *link)
{
	struct net_call *call = link->call;

	link->state = LINK_BUSY;
	link->skipped_heads = 0;
	link->skipped_bytes = 0;
	link->reader.no_body = call->is_head_method;
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	bufferevent_write(link->bev, call->head, call->head_len);
	if (call->body_len)
		evbuffer_add_reference(bufferevent_get_output(link->bev),
				       call->body, call->body_len, NULL, NULL);
}

static void on_connected(struct net_link *link)
{
	timer_unsubscribe(&link->pool->reactor->timers, &link->timer);
	send_request(link);
}

static void on_disconnected(struct net_link *link, int is_error)
{
	enum net_outcome outcome = NET_CUT;

	if (link->state == LINK_IDLE) {
		free_link(link);
		return;
	}
	if (link->state == LINK_CONNECTING) {
		fail_call(link, NET_NOT_SENT);
		return;
	}
	if (!is_error && !link->skipping &&
	    http_reader_eof(&link->reader) == HTTP_READER_END) {
		complete_call(link);
		return;
	}
	fail_call(link, outcome);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct net_link *link = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		on_connected(link);
	else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		on_disconnected(link, what & BEV_EVENT_ERROR);
}

static void on_connect_timeout(void *arg, int64_t now_ns)
{
	(void)now_ns;
	fail_call(arg, NET_NOT_SENT);
}

static void set_socket_options(const struct net_link *link)
{
	evutil_socket_t fd = bufferevent_getfd(link->bev);
	unsigned int user_timeout_ms = link->pool->settings.user_timeout_ms;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
}

static struct net_link *open_link(struct net_pool *pool,
				  struct net_target *target,
				  struct net_call *call)
{
	struct net_link *link = xcalloc(1, sizeof(*link));

	link->pool = pool;
	link->target = target;
	link->call = call;
	http_reader_init(&link->reader, &reader_vtable, 1,
			 pool->settings.max_head_bytes);
	/* Deferred, so that a connect() that fails does not end the call
	 * before net_call_start() has returned. */
	link->bev = bufferevent_socket_new(pool->reactor->events, -1,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	if (!link->bev)
		BUG("cannot allocate a bufferevent");
	bufferevent_setcb(link->bev, on_readable, NULL, on_event, link);
	target->open_count++;
	pool->open_count++;
	if (pool->descriptors)
		pool->descriptors->open++;
	pool->opened++;
	return link;
}

static void connect_link(struct net_link *link)
{
	struct net_pool *pool = link->pool;
	int64_t timeout_ns = pool->settings.connect_timeout_ns;

	link->state = LINK_CONNECTING;
	if (bufferevent_socket_connect(link->bev,
				       (struct sockaddr *)&link->target->addr,
				       sizeof(link->target->addr)))
		timeout_ns = 0;
	else
		set_socket_options(link);
	timer_subscribe_once(&pool->reactor->timers, &link->timer, timeout_ns,
			     on_connect_timeout, link);
}

static struct net_link *take_idle(struct net_pool *pool,
				  struct net_target *target,
				  const struct net_call *call)
{
	struct net_link *link = target->idle;

	while (link && call->id_hash && link->answered_id_hash == call->id_hash)
		link = link->next;
	if (!link || call->no_reuse)
		return NULL;
	if (call->max_idle_ns &&
	    reactor_now_ns(pool->reactor) - link->idle_since_ns >
		    call->max_idle_ns)
		return NULL;
	remove_from_idle(link);
	timer_unsubscribe(&pool->reactor->timers, &link->timer);
	http_reader_next(&link->reader);
	return link;
}

/*
 * For a call with an invalid address: connecting fails, so that the call ends
 * as NET_NOT_SENT.
 */
static struct net_target *unusable_target(struct net_pool *pool)
{
	return get_target(pool, "0.0.0.0:0");
}

int net_pool_is_full(const struct net_pool *pool)
{
	return pool->descriptors &&
	       pool->descriptors->open >= pool->descriptors->max;
}

int net_pool_find_room(const struct net_pool *pool)
{
	const struct net_descriptors *shared = pool->descriptors;

	if (net_pool_is_full(pool) && shared->make_room)
		shared->make_room(shared->arg);
	return !net_pool_is_full(pool);
}

int net_pool_close_one_idle(struct net_pool *pool)
{
	struct net_link *oldest = NULL;

	for (uint32_t i = 0; i < NET_TARGET_BUCKETS; i++)
		for (struct net_target *t = pool->targets[i]; t; t = t->next)
			for (struct net_link *l = t->idle; l; l = l->next)
				if (!oldest ||
				    l->idle_since_ns < oldest->idle_since_ns)
					oldest = l;
	if (oldest)
		free_link(oldest);
	return oldest != NULL;
}

void net_call_start(struct net_pool *pool, struct net_call *call)
{
	struct net_target *target = get_target(pool, call->address);
	struct net_link *link;

	if (!target)
		target = unusable_target(pool);
	target->used_ns = reactor_now_ns(pool->reactor);
	call->answer = NULL;
	call->received_bytes = 0;
	link = take_idle(pool, target, call);
	call->reused = link != NULL;
	if (link) {
		link->call = call;
		call->link = link;
		send_request(link);
		return;
	}
	link = open_link(pool, target, call);
	call->link = link;
	connect_link(link);
}

/*
 * Makes closing the link discard unsent bytes and send a reset, so that the
 * server drops the request at once.
 */
static void reset_on_close(struct net_link *link)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(bufferevent_getfd(link->bev), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
}

void net_call_cancel(struct net_call *call)
{
	struct net_link *link = call->link;

	if (!link)
		BUG("cancelling a call that is not in flight");
	call->link = NULL;
	link->call = NULL;
	reset_on_close(link);
	free_link(link);
}

void net_call_pause(struct net_call *call)
{
	bufferevent_disable(call->link->bev, EV_READ);
}

void net_call_resume(struct net_call *call)
{
	bufferevent_enable(call->link->bev, EV_READ);
}

int64_t net_call_body_bytes(const struct net_call *call)
{
	return http_reader_body_bytes(&call->link->reader);
}

uint32_t net_pool_open_to(struct net_pool *pool, const char *address)
{
	struct net_target *target = find_target(pool, address);

	return target ? target->open_count : 0;
}

static void free_idle(struct net_target *target)
{
	struct net_link *link = target->idle;

	while (link) {
		struct net_link *next = link->next;

		free_link(link);
		link = next;
	}
}

void net_pool_close_idle(struct net_pool *pool, const char *address)
{
	struct net_target *target = find_target(pool, address);

	if (target)
		free_idle(target);
}

/* Frees targets that are out of use, as addresses change over time. */
static void on_sweep(void *arg, int64_t now_ns)
{
	struct net_pool *pool = arg;

	for (uint32_t i = 0; i < NET_TARGET_BUCKETS; i++) {
		struct net_target **at = &pool->targets[i];

		while (*at) {
			struct net_target *target = *at;

			if (target->open_count ||
			    now_ns - target->used_ns < TARGET_RETENTION_NS) {
				at = &target->next;
				continue;
			}
			*at = target->next;
			free(target);
		}
	}
}

void net_pool_init(struct net_pool *pool, struct reactor *reactor,
		   const struct net_pool_settings *settings)
{
	memset(pool, 0, sizeof(*pool));
	pool->reactor = reactor;
	pool->settings = *settings;
	timer_subscribe(&reactor->timers, &pool->sweep, SWEEP_PERIOD_NS,
			on_sweep, pool);
}

void net_pool_finish(struct net_pool *pool)
{
	timer_unsubscribe(&pool->reactor->timers, &pool->sweep);
	for (uint32_t i = 0; i < NET_TARGET_BUCKETS; i++) {
		struct net_target *target = pool->targets[i];

		while (target) {
			struct net_target *next = target->next;

			free_idle(target);
			free(target);
			target = next;
		}
	}
}
