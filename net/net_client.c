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

/* A target without connections is forgotten after this time. */
#define TARGET_KEEP_NS (60 * NS_PER_S)
#define SWEEP_PERIOD_NS (20 * NS_PER_S)
/* How long before its stated end a kept connection is given up. */
#define KEEP_MARGIN_NS (NS_PER_S / 2)
/*
 * Before the answer to a call, interim heads and answers to earlier requests
 * may come; a sound server sends one or two. More of them, or a long body of
 * another answer, are no answer.
 */
#define OTHER_HEADS_MAX 16
#define SKIPPED_MAX_BYTES (1024 * 1024)

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
	struct timer timer; /* connect time-out, or the end of idleness */
	enum link_state state;
	int skipping; /* the present answer is another request's */
	uint32_t other_heads; /* that came before the call's answer */
	uint64_t skipped_bytes; /* of such answers */
	int close_after;
	int64_t idle_since_ns;
	struct net_link *next; /* among the idle ones */
	struct net_link **at;
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

/* NULL if the address cannot be read. */
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

static void leave_idle(struct net_link *link)
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
		leave_idle(link);
	link->target->open_count--;
	link->pool->open_count--;
	bufferevent_free(link->bev);
	http_reader_finish(&link->reader);
	free(link);
}

/* Ends the call that the link carries; the link is gone by then. */
static void end_call(struct net_link *link, enum net_outcome outcome)
{
	struct net_call *call = link->call;

	link->call = NULL;
	call->link = NULL;
	call->answer = NULL;
	free_link(link);
	call->vt->on_done(call, outcome);
}

/* How long the other side keeps an idle connection, with a margin. */
static int64_t idle_time_ns(const struct net_link *link)
{
	const char *keep = http_head_find(&link->reader.head, "Keep-Alive");
	const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
	int64_t stated_ns;

	if (!timeout)
		return link->pool->settings.idle_max_ns;
	stated_ns = strtol(timeout + strlen("timeout="), NULL, 10) * NS_PER_S -
		    KEEP_MARGIN_NS;
	if (stated_ns > link->pool->settings.idle_max_ns)
		return link->pool->settings.idle_max_ns;
	return stated_ns;
}

static void on_idle_end(void *arg, int64_t now_ns)
{
	(void)now_ns;
	free_link(arg);
}

static void keep(struct net_link *link)
{
	struct net_target *target = link->target;
	int64_t idle_ns = idle_time_ns(link);

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
			     idle_ns, on_idle_end, link);
}

/* The answer is whole. */
static void finish_call(struct net_link *link)
{
	struct net_call *call = link->call;
	struct evbuffer *in = bufferevent_get_input(link->bev);

	link->call = NULL;
	call->link = NULL;
	call->answer = NULL;
	/* Bytes behind an answer belong to no request. */
	if (link->reader.keep_alive && !link->close_after &&
	    !evbuffer_get_length(in))
		keep(link);
	else
		free_link(link);
	call->vt->on_done(call, NET_ANSWERED);
}

static struct net_link *link_of(struct http_reader *reader)
{
	return container_of(reader, struct net_link, reader);
}

static int count_other_head(struct net_link *link)
{
	return ++link->other_heads > OTHER_HEADS_MAX ? -1 : 0;
}

static int on_head(struct http_reader *reader)
{
	struct net_link *link = link_of(reader);
	struct net_call *call = link->call;

	link->skipping = 0;
	if (reader->head.status < 200) {
		link->skipping = 1;
		return count_other_head(link);
	}
	call->answer = &reader->head;
	switch (call->vt->on_head(call)) {
	case NET_HEAD_TAKE:
		return 0;
	case NET_HEAD_SKIP:
		link->skipping = 1;
		link->close_after = 1;
		call->answer = NULL;
		return count_other_head(link);
	case NET_HEAD_REFUSE:
		break;
	}
	return -1;
}

static int on_body(struct http_reader *reader, const char *data, size_t len)
{
	struct net_link *link = link_of(reader);

	if (link->skipping) {
		link->skipped_bytes += len;
		return link->skipped_bytes > SKIPPED_MAX_BYTES ? -1 : 0;
	}
	return link->call->vt->on_body(link->call, data, len);
}

static const struct http_reader_vtable reader_vtable = { on_head, on_body };

static int is_interim(const struct net_link *link)
{
	return link->skipping;
}

/* Reads until the answer is whole or the input is used up. */
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
		if (result == HTTP_READER_END && is_interim(link)) {
			http_reader_next(&link->reader);
			continue;
		}
		if (result == HTTP_READER_END) {
			finish_call(link);
			return;
		}
		if (result != HTTP_READER_MORE) {
			end_call(link, NET_GARBLED);
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
		free_link(link); /* bytes that nobody asked for */
}

static void begin_sending(struct net_link *link)
{
	struct net_call *call = link->call;

	link->state = LINK_BUSY;
	link->other_heads = 0;
	link->skipped_bytes = 0;
	link->reader.no_body = call->is_head_method;
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	bufferevent_write(link->bev, call->head, call->head_len);
	if (call->body_len)
		bufferevent_write(link->bev, call->body, call->body_len);
}

static void on_connected(struct net_link *link)
{
	timer_unsubscribe(&link->pool->reactor->timers, &link->timer);
	begin_sending(link);
}

static void on_end(struct net_link *link, int by_error)
{
	enum net_outcome outcome = NET_CUT;

	if (link->state == LINK_IDLE) {
		free_link(link);
		return;
	}
	if (link->state == LINK_CONNECTING) {
		end_call(link, NET_NOT_SENT);
		return;
	}
	if (!by_error && !link->skipping &&
	    http_reader_eof(&link->reader) == HTTP_READER_END) {
		finish_call(link);
		return;
	}
	end_call(link, outcome);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct net_link *link = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		on_connected(link);
	else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		on_end(link, what & BEV_EVENT_ERROR);
}

static void on_connect_timeout(void *arg, int64_t now_ns)
{
	(void)now_ns;
	end_call(arg, NET_NOT_SENT);
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
		BUG("no memory for a connection");
	bufferevent_setcb(link->bev, on_readable, NULL, on_event, link);
	target->open_count++;
	pool->open_count++;
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

	if (!link || call->fresh)
		return NULL;
	if (call->max_idle_ns &&
	    reactor_now_ns(pool->reactor) - link->idle_since_ns >
		    call->max_idle_ns)
		return NULL;
	leave_idle(link);
	timer_unsubscribe(&pool->reactor->timers, &link->timer);
	http_reader_next(&link->reader);
	return link;
}

/* For a call whose address cannot be read. */
static struct net_target *unusable_target(struct net_pool *pool)
{
	return get_target(pool, "0.0.0.0:0");
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
		begin_sending(link);
		return;
	}
	link = open_link(pool, target, call);
	call->link = link;
	connect_link(link);
}

/* The other side drops the request at once, and unsent bytes are gone. */
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
		BUG("cancelling a call that does not run");
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

void net_pool_forget(struct net_pool *pool, const char *address)
{
	struct net_target *target = find_target(pool, address);

	if (target)
		free_idle(target);
}

/* Addresses come and go; drops those that are out of use. */
static void on_sweep(void *arg, int64_t now_ns)
{
	struct net_pool *pool = arg;

	for (uint32_t i = 0; i < NET_TARGET_BUCKETS; i++) {
		struct net_target **at = &pool->targets[i];

		while (*at) {
			struct net_target *target = *at;

			if (target->open_count ||
			    now_ns - target->used_ns < TARGET_KEEP_NS) {
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
