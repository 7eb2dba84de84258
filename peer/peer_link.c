#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "peer/peer_internal.h"

/* Attempts to connect are spread by jitter between half and all of this. */
#define BACKOFF_FIRST_NS (100 * NS_PER_MS)
#define BACKOFF_MAX_NS (5 * NS_PER_S)

/* Bytes taken from the queue before the socket has taken the last ones. */
#define OUT_BUFFER_BYTES ((size_t)64 * 1024)

struct peer_link *peer_link_new(struct peer_service *service, const char *name)
{
	struct peer_link *link = xcalloc(1, sizeof(*link));

	link->source.kind = PEER_SOURCE_LINK;
	link->service = service;
	copy_text(link->name, sizeof(link->name), name);
	send_queue_init(&link->queue);
	peer_stream_init(&link->stream, -1, NULL);
	return link;
}

void peer_link_free(struct peer_link *link)
{
	peer_stream_finish(&link->stream);
	send_queue_finish(&link->queue);
	free(link);
}

static void set_state(struct peer_link *link, enum link_state state)
{
	__atomic_store_n(&link->state, state, __ATOMIC_RELEASE);
}

static void close_link(struct peer_link *link, enum link_state next)
{
	peer_stream_finish(&link->stream);
	link->events = 0;
	set_state(link, next);
}

/* Closes after a failure; the next attempt comes later each time. */
static void fail(struct peer_link *link, const struct error *err)
{
	struct peer_service *service = link->service;
	int64_t now_ns = clock_now_ns(service->clock);
	int64_t wait_ns;

	/* A connection that ends at once may have been refused. */
	if (link->state == LINK_UP && now_ns - link->opened_ns > BACKOFF_MAX_NS)
		link->failures = 0;
	wait_ns = BACKOFF_FIRST_NS << (link->failures < 6 ? link->failures : 6);

	if (wait_ns > BACKOFF_MAX_NS)
		wait_ns = BACKOFF_MAX_NS;
	wait_ns = wait_ns / 2 +
		  (int64_t)rng_below(&service->rng, (uint64_t)wait_ns / 2);
	if (!link->failures)
		log_info(&service->log, "%s cannot be reached: %s.", link->name,
			 err->text);
	link->failures++;
	link->retry_at_ns = now_ns + wait_ns;
	counter_add(service->counters.reconnects, 1);
	close_link(link, LINK_BACKOFF);
}

static void count_sent(void *arg, const struct queued_frame *frame)
{
	struct peer_counters *counters = arg;

	counter_add(counters->bytes_out[frame->kind], (int64_t)frame->len);
	counter_add(counters->messages_out[frame->kind], 1);
}

/* Moves frames from the queue to the socket until that is full. */
static int flush(struct peer_link *link, int64_t now_ns, struct error *err)
{
	struct peer_service *service = link->service;
	size_t before;

	do {
		pthread_mutex_lock(&service->lock);
		before = link->stream.out.len;
		send_queue_take(&link->queue, &link->stream.out,
				OUT_BUFFER_BYTES, now_ns, count_sent,
				&service->counters);
		pthread_mutex_unlock(&service->lock);
		if (link->stream.out.len > before)
			link->last_used_ns = now_ns;
		if (peer_stream_write(&link->stream, err))
			return -1;
	} while (link->stream.out.len == 0 && before != link->stream.out.len);
	return 0;
}

static void rewatch(struct peer_link *link)
{
	peer_service_watch(link->service, link->stream.fd, &link->source,
			   peer_stream_events(&link->stream), &link->events);
}

/* The other side's certificate must be that of the member called. */
static int check_name(struct peer_link *link, struct error *err)
{
	char name[NAME_BYTES];

	if (!link->stream.ssl)
		return 0;
	if (peer_tls_common_name(link->stream.ssl, name, sizeof(name)) ||
	    strcmp(name, link->name))
		return error_set(err, ERROR_DENIED,
				 "the certificate there is not of '%s'",
				 link->name);
	return 0;
}

static int establish(struct peer_link *link, struct error *err)
{
	struct peer_service *service = link->service;
	int done = peer_stream_handshake(&link->stream, err);

	if (done <= 0)
		return done;
	if (check_name(link, err))
		return -1;
	log_debug(&service->log, "Connected to %s.", link->name);
	pthread_mutex_lock(&service->lock);
	send_queue_restart(&link->queue);
	pthread_mutex_unlock(&service->lock);
	set_state(link, LINK_UP);
	return 1;
}

/* Sends from the address that peers know, if there is one. */
static void bind_own_address(struct peer_service *service, int fd)
{
	struct sockaddr_in own;

	if (peer_address_parse(service->settings.listen_address, &own, NULL) ||
	    own.sin_addr.s_addr == htonl(INADDR_ANY))
		return;
	own.sin_port = 0;
	if (bind(fd, (struct sockaddr *)&own, sizeof(own)))
		log_warning(&service->log, "Own address is not bound: %s.",
			    strerror(errno));
}

static void open_link(struct peer_link *link, int64_t now_ns)
{
	struct peer_service *service = link->service;
	struct error err = ERROR_INIT;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0) {
		error_set(&err, ERROR_IO, "socket: %s", strerror(errno));
		fail(link, &err);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	bind_own_address(service, fd);
	pthread_mutex_lock(&service->lock);
	link->connected_to = link->address;
	pthread_mutex_unlock(&service->lock);
	peer_stream_init(&link->stream, fd,
			 peer_tls_open(&service->tls, fd, 0));
	link->opened_ns = now_ns;
	link->last_used_ns = now_ns;
	set_state(link, LINK_OPENING);
	if (connect(fd, (struct sockaddr *)&link->connected_to,
		    sizeof(link->connected_to)) &&
	    errno != EINPROGRESS) {
		error_set(&err, ERROR_UNAVAILABLE, "%s", strerror(errno));
		fail(link, &err);
		return;
	}
	link->stream.wants_write = 1;
	rewatch(link);
}

static int connect_result(struct peer_link *link, struct error *err)
{
	int result = 0;
	socklen_t len = sizeof(result);

	getsockopt(link->stream.fd, SOL_SOCKET, SO_ERROR, &result, &len);
	if (result)
		return error_set(err, ERROR_UNAVAILABLE, "%s",
				 strerror(result));
	return 0;
}

/* A peer never answers on this connection; only its end is read here. */
static int read_end(struct peer_link *link, struct error *err)
{
	if (peer_stream_read(&link->stream, err))
		return -1;
	if (link->stream.in.len)
		return error_set(err, ERROR_PROTOCOL,
				 "bytes on a connection for sending");
	return 0;
}

void peer_link_on_event(struct peer_link *link, uint32_t events)
{
	struct error err = ERROR_INIT;
	int broken = 0;

	if (link->stream.fd < 0)
		return;
	if (link->state == LINK_OPENING)
		broken = connect_result(link, &err) ||
			 establish(link, &err) < 0;
	if (!broken && link->state == LINK_UP)
		broken = ((events & ~EPOLLOUT) && read_end(link, &err)) ||
			 flush(link, clock_now_ns(link->service->clock), &err);
	if (broken)
		fail(link, &err);
	else
		rewatch(link);
}

/* What other threads may have changed since the last tick. */
struct link_wish {
	int listed;
	int wanted;
	int moved;
	int ready;
};

static struct link_wish read_wish(struct peer_link *link, int64_t now_ns)
{
	struct peer_service *service = link->service;
	struct link_wish wish;

	pthread_mutex_lock(&service->lock);
	wish.listed = link->listed;
	wish.wanted = link->connect || !send_queue_empty(&link->queue);
	wish.moved = memcmp(&link->address, &link->connected_to,
			    sizeof(link->address)) != 0;
	wish.ready = send_queue_ready(&link->queue, now_ns);
	pthread_mutex_unlock(&service->lock);
	return wish;
}

static void tick_up(struct peer_link *link, const struct link_wish *wish,
		    int64_t now_ns)
{
	struct error err = ERROR_INIT;

	if (!wish->wanted && now_ns - link->last_used_ns > PEER_LINK_IDLE_NS) {
		close_link(link, LINK_IDLE);
		return;
	}
	if (!wish->ready)
		return;
	if (flush(link, now_ns, &err))
		fail(link, &err);
	else
		rewatch(link);
}

void peer_link_tick(struct peer_link *link, int64_t now_ns)
{
	struct error err = ERROR_INIT;
	struct link_wish wish = read_wish(link, now_ns);

	if (!wish.listed || (wish.moved && (link->state == LINK_OPENING ||
					    link->state == LINK_UP)))
		close_link(link, LINK_IDLE);
	if (!wish.listed)
		return;
	switch (link->state) {
	case LINK_IDLE:
		if (wish.wanted)
			open_link(link, now_ns);
		break;
	case LINK_BACKOFF:
		if (!wish.wanted)
			close_link(link, LINK_IDLE);
		else if (now_ns >= link->retry_at_ns)
			open_link(link, now_ns);
		break;
	case LINK_OPENING:
		error_set(&err, ERROR_TIMEOUT, "no connection in time");
		if (now_ns - link->opened_ns > PEER_HANDSHAKE_NS)
			fail(link, &err);
		break;
	case LINK_UP:
		tick_up(link, &wish, now_ns);
		break;
	}
}
