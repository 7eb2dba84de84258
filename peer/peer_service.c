#include "peer/peer_service.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/bug.h"
#include "peer/frame.h"
#include "peer/peer_internal.h"

/* Longest wait between two looks at timeouts. */
#define TICK_MS 50
#define EVENTS_AT_ONCE 64
#define LISTEN_BACKLOG 512

static int listen_on(struct peer_service *service, struct error *err)
{
	const char *text = service->settings.listen_address;
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	int on = 1;

	if (peer_address_parse(text, &address, err))
		return -1;
	service->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(service->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on,
		   sizeof(on));
	if (bind(service->listen_fd, (struct sockaddr *)&address,
		 sizeof(address)) ||
	    listen(service->listen_fd, LISTEN_BACKLOG))
		return error_set(err, ERROR_IO, "peer address '%s': %s", text,
				 strerror(errno));
	getsockname(service->listen_fd, (struct sockaddr *)&address, &len);
	service->port = ntohs(address.sin_port);
	return 0;
}

static int outbox_send(struct peer_outbox *outbox, const char *name,
		       Currant__PeerMessage *message, struct error *err)
{
	return peer_service_send((struct peer_service *)outbox, name, message,
				 err);
}

static uint32_t outbox_broadcast(struct peer_outbox *outbox,
				 Currant__PeerMessage *message)
{
	return peer_service_broadcast((struct peer_service *)outbox, message);
}

static void outbox_set_members(struct peer_outbox *outbox,
			       const struct peer_member *members,
			       uint32_t count)
{
	peer_service_set_members((struct peer_service *)outbox, members, count);
}

static const struct peer_outbox_vtable outbox_vtable = {
	.send = outbox_send,
	.broadcast = outbox_broadcast,
	.set_members = outbox_set_members,
};

int peer_service_init(struct peer_service *service,
		      const struct peer_settings *settings,
		      struct timeline *timeline, struct counter_set *counters,
		      struct clock *clock, const struct log_part *log,
		      struct error *err)
{
	memset(service, 0, sizeof(*service));
	service->outbox.vt = &outbox_vtable;
	service->settings = *settings;
	service->timeline = timeline;
	service->clock = clock;
	service->log = *log;
	service->listen_fd = -1;
	peer_counters_init(&service->counters, counters);
	rng_init(&service->rng, settings->seed);
	pthread_mutex_init(&service->lock, NULL);
	service->listen_source.kind = PEER_SOURCE_LISTEN;
	service->wake_source.kind = PEER_SOURCE_WAKE;
	service->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	service->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (peer_tls_init(&service->tls, &settings->tls, err) ||
	    listen_on(service, err)) {
		peer_service_finish(service);
		return -1;
	}
	return 0;
}

void peer_service_finish(struct peer_service *service)
{
	peer_service_stop(service);
	while (service->links) {
		struct peer_link *link = service->links;

		service->links = link->next;
		peer_link_free(link);
	}
	if (service->listen_fd >= 0)
		close(service->listen_fd);
	close(service->wake_fd);
	close(service->epoll_fd);
	peer_tls_finish(&service->tls);
	pthread_mutex_destroy(&service->lock);
}

void peer_service_set_handler(struct peer_service *service,
			      struct peer_handler *handler)
{
	service->handler = handler;
}

uint16_t peer_service_port(const struct peer_service *service)
{
	return service->port;
}

static void wake(struct peer_service *service)
{
	uint64_t one = 1;
	ssize_t written = write(service->wake_fd, &one, sizeof(one));

	/* A full eventfd has the thread awake already. */
	(void)written;
}

void peer_service_watch(struct peer_service *service, int fd,
			struct peer_source *source, uint32_t events,
			uint32_t *watched)
{
	struct epoll_event event = { .events = events, .data.ptr = source };
	int operation = *watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (*watched == events)
		return;
	if (epoll_ctl(service->epoll_fd, operation, fd, &event))
		BUG("epoll_ctl of descriptor %d: %s", fd, strerror(errno));
	*watched = events;
}

static void on_event(struct peer_service *service,
		     const struct epoll_event *event)
{
	struct peer_source *source = event->data.ptr;
	uint64_t count;
	ssize_t taken;

	switch (source->kind) {
	case PEER_SOURCE_LISTEN:
		peer_incoming_accept(service);
		break;
	case PEER_SOURCE_WAKE:
		taken = read(service->wake_fd, &count, sizeof(count));
		(void)taken;
		service->woken = 1;
		break;
	case PEER_SOURCE_LINK:
		peer_link_on_event((struct peer_link *)source, event->events);
		break;
	case PEER_SOURCE_INCOMING:
		peer_incoming_on_event((struct peer_incoming *)source,
				       event->events);
		break;
	}
}

static struct peer_link *first_link(struct peer_service *service)
{
	struct peer_link *link;

	pthread_mutex_lock(&service->lock);
	link = service->links;
	pthread_mutex_unlock(&service->lock);
	return link;
}

/* Frees the links that are off the list; only this thread frees any. */
static void free_unlisted(struct peer_service *service)
{
	struct peer_link **at;

	pthread_mutex_lock(&service->lock);
	at = &service->links;
	while (*at) {
		struct peer_link *link = *at;

		counter_add(service->counters.dropped,
			    (int64_t)link->queue.dropped);
		link->queue.dropped = 0;
		if (link->listed) {
			at = &link->next;
			continue;
		}
		*at = link->next;
		peer_link_free(link);
	}
	pthread_mutex_unlock(&service->lock);
}

/* Looks at all connections after a wake-up, a quiet period or TICK_MS. */
static void tick(struct peer_service *service, int quiet)
{
	int64_t now_ns = clock_now_ns(service->clock);

	if (!quiet && !service->woken &&
	    now_ns - service->last_tick_ns < TICK_MS * NS_PER_MS)
		return;
	service->woken = 0;
	service->last_tick_ns = now_ns;
	peer_incoming_tick(service, now_ns);
	for (struct peer_link *l = first_link(service); l; l = l->next)
		peer_link_tick(l, now_ns);
	free_unlisted(service);
}

static void *service_thread(void *arg)
{
	struct peer_service *service = arg;
	struct epoll_event events[EVENTS_AT_ONCE];

	while (!__atomic_load_n(&service->stopping, __ATOMIC_ACQUIRE)) {
		int count = epoll_wait(service->epoll_fd, events,
				       EVENTS_AT_ONCE, TICK_MS);

		for (int i = 0; i < count; i++)
			on_event(service, &events[i]);
		tick(service, count == 0);
	}
	return NULL;
}

/* Signals are for the daemon's own threads; a cut socket raises SIGPIPE. */
static int start_thread(struct peer_service *service)
{
	sigset_t all, old;
	int result;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	result =
		pthread_create(&service->thread, NULL, service_thread, service);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	return result;
}

int peer_service_start(struct peer_service *service, struct error *err)
{
	uint32_t listen_events = 0;
	uint32_t wake_events = 0;
	int result;

	service->stopping = 0;
	peer_service_watch(service, service->listen_fd, &service->listen_source,
			   EPOLLIN, &listen_events);
	peer_service_watch(service, service->wake_fd, &service->wake_source,
			   EPOLLIN, &wake_events);
	result = start_thread(service);
	if (result)
		return error_set(err, ERROR_IO, "peer thread: %s",
				 strerror(result));
	service->running = 1;
	return 0;
}

void peer_service_stop(struct peer_service *service)
{
	if (service->reload_service)
		timer_unsubscribe(service->reload_service,
				  &service->reload_timer);
	service->reload_service = NULL;
	if (!service->running)
		return;
	__atomic_store_n(&service->stopping, 1, __ATOMIC_RELEASE);
	wake(service);
	pthread_join(service->thread, NULL);
	service->running = 0;
	peer_incoming_finish_all(service);
}

static void reload_certificates(void *arg, int64_t now_ns)
{
	struct peer_service *service = arg;
	struct error err = ERROR_INIT;
	int result = peer_tls_reload(&service->tls, &err);

	(void)now_ns;
	if (result > 0)
		log_info(&service->log, "New certificates are in use.");
	if (result < 0)
		log_error(&service->log, "New certificates are unusable: %s.",
			  err.text);
}

void peer_service_watch_certificates(struct peer_service *service,
				     struct timer_service *timers,
				     int64_t period_ns)
{
	if (!service->tls.enabled)
		return;
	service->reload_service = timers;
	timer_subscribe(timers, &service->reload_timer, period_ns,
			reload_certificates, service);
}

struct peer_link *peer_service_find(struct peer_service *service,
				    const char *name)
{
	for (struct peer_link *link = service->links; link; link = link->next)
		if (link->listed && !strcmp(link->name, name))
			return link;
	return NULL;
}

int peer_service_lists_address(struct peer_service *service,
			       const struct sockaddr_in *address)
{
	int found = 0;

	pthread_mutex_lock(&service->lock);
	for (struct peer_link *l = service->links; l && !found; l = l->next)
		found = l->listed &&
			l->address.sin_addr.s_addr == address->sin_addr.s_addr;
	pthread_mutex_unlock(&service->lock);
	return found;
}

int peer_service_lists(struct peer_service *service, const char *name,
		       const struct sockaddr_in *address)
{
	struct peer_link *link;
	int found;

	pthread_mutex_lock(&service->lock);
	link = peer_service_find(service, name);
	found = link && (!address || link->address.sin_addr.s_addr ==
					     address->sin_addr.s_addr);
	pthread_mutex_unlock(&service->lock);
	return found;
}

/* Adds a member or brings it up to date; the lock is held. */
static void set_member(struct peer_service *service,
		       const struct peer_member *member)
{
	struct sockaddr_in address;
	struct error err = ERROR_INIT;
	struct peer_link *link;

	if (!strcmp(member->name, service->settings.name))
		return;
	if (peer_address_parse(member->address, &address, &err)) {
		log_warning(&service->log, "Member %s is left out: %s.",
			    member->name, err.text);
		return;
	}
	for (link = service->links; link; link = link->next)
		if (!strcmp(link->name, member->name))
			break;
	if (!link) {
		link = peer_link_new(service, member->name);
		link->next = service->links;
		service->links = link;
	}
	link->address = address;
	link->connect = member->connect;
	link->listed = 1;
}

void peer_service_set_members(struct peer_service *service,
			      const struct peer_member *members, uint32_t count)
{
	pthread_mutex_lock(&service->lock);
	for (struct peer_link *link = service->links; link; link = link->next)
		link->listed = 0;
	for (uint32_t i = 0; i < count; i++)
		set_member(service, &members[i]);
	__atomic_add_fetch(&service->list_generation, 1, __ATOMIC_RELEASE);
	pthread_mutex_unlock(&service->lock);
	wake(service);
}

/* Fills the envelope in and makes the frame; the lock is held. */
static int make_frame(struct peer_service *service,
		      Currant__PeerMessage *message, struct strbuf *frame,
		      struct error *err)
{
	struct strbuf payload;
	int result;

	message->from = service->settings.name;
	message->incarnation = service->settings.incarnation;
	message->sequence = ++service->sequence;
	if (service->timeline)
		message->lamport = timeline_on_send(service->timeline);
	strbuf_init(&payload);
	strbuf_grow(&payload, currant__peer_message__get_packed_size(message));
	payload.len =
		currant__peer_message__pack(message, (uint8_t *)payload.buf);
	result = frame_encode(frame, payload.buf, payload.len, err);
	strbuf_finish(&payload);
	return result;
}

int peer_service_send(struct peer_service *service, const char *name,
		      Currant__PeerMessage *message, struct error *err)
{
	struct peer_link *link;
	struct strbuf frame;
	int result = -1;

	strbuf_init(&frame);
	pthread_mutex_lock(&service->lock);
	link = peer_service_find(service, name);
	if (!link)
		error_set(err, ERROR_NOT_FOUND, "peer '%s' is not listed",
			  name);
	else if (!make_frame(service, message, &frame, err))
		result = send_queue_push(&link->queue, message_kind_of(message),
					 message->sequence, &frame,
					 clock_now_ns(service->clock), err);
	pthread_mutex_unlock(&service->lock);
	strbuf_finish(&frame);
	wake(service);
	return result;
}

uint32_t peer_service_broadcast(struct peer_service *service,
				Currant__PeerMessage *message)
{
	enum message_kind kind = message_kind_of(message);
	struct strbuf frame;
	uint32_t taken = 0;

	strbuf_init(&frame);
	pthread_mutex_lock(&service->lock);
	if (!make_frame(service, message, &frame, NULL))
		for (struct peer_link *l = service->links; l; l = l->next)
			if (l->listed && l->connect &&
			    !send_queue_push(
				    &l->queue, kind, message->sequence, &frame,
				    clock_now_ns(service->clock), NULL))
				taken++;
	pthread_mutex_unlock(&service->lock);
	strbuf_finish(&frame);
	wake(service);
	return taken;
}

int peer_service_connected(struct peer_service *service, const char *name)
{
	struct peer_link *link;
	int up;

	pthread_mutex_lock(&service->lock);
	link = peer_service_find(service, name);
	up = link && __atomic_load_n(&link->state, __ATOMIC_ACQUIRE) == LINK_UP;
	pthread_mutex_unlock(&service->lock);
	return up;
}
