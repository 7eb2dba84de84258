#include "http/connection_watch.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/wait.h"
#include "http/port_sockets.h"

#define POLL_INTERVAL_MS 50
/* Callers send the head with the first packets. */
#define HEAD_LAG_MIN_NS (50 * NS_PER_MS)
#define ROOM_WAIT_NS (1 * NS_PER_S)
#define VICTIMS_PER_POLL_MAX 64

/* A connection that waits for a thread or for the rest of a head. */
struct idle_connection {
	struct port_socket socket;
	int64_t since_ns;
	int is_shut_down;
};

/* One that may give way; `request` or `idle` is set. */
struct candidate {
	struct port_socket socket;
	struct watched_request *request;
	struct idle_connection *idle;
};

struct candidates {
	struct candidate *list;
	struct connection_progress *progress; /* of each */
	uint32_t count;
};

/* Room for so many. */
static void candidates_init(struct candidates *all, uint32_t max)
{
	all->list = xcalloc(max + 1, sizeof(*all->list));
	all->progress = xcalloc(max + 1, sizeof(*all->progress));
	all->count = 0;
}

static void candidates_finish(struct candidates *all)
{
	free(all->list);
	free(all->progress);
}

static struct watched_request *find_request(struct connection_watch *watch,
					    const struct port_socket *socket)
{
	struct watched_request *request = watch->first;

	while (request && (request->info->remote_port != socket->peer_port ||
			   strcmp(request->info->remote_addr, socket->peer_ip)))
		request = request->next;
	return request;
}

static void shut_down_request(struct watched_request *request,
			      const struct port_socket *socket)
{
	request->progress.is_waiting = 1;
	shutdown(socket->fd, request->is_writing ? SHUT_RDWR : SHUT_RD);
}

/*
 * Lists the connections of the port and keeps CivetWeb from closing one, so
 * that no descriptor is reused, until end_scan(). The caller holds the lock.
 */
static uint32_t begin_scan(struct connection_watch *watch,
			   struct port_socket **sockets)
{
	pthread_rwlock_wrlock(&watch->closing);
	return port_sockets_list(watch->ip, watch->port, sockets);
}

static void end_scan(struct connection_watch *watch,
		     struct port_socket *sockets)
{
	pthread_rwlock_unlock(&watch->closing);
	free(sockets);
}

static int is_overdue(const struct watched_request *request, int64_t now_ns)
{
	return request->deadline_ns && !request->timed_out &&
	       request->deadline_ns <= now_ns;
}

static int is_any_overdue(const struct connection_watch *watch, int64_t now_ns)
{
	for (const struct watched_request *request = watch->first; request;
	     request = request->next)
		if (is_overdue(request, now_ns))
			return 1;
	return 0;
}

static void shut_down_overdue(struct connection_watch *watch, int64_t now_ns)
{
	struct port_socket *sockets;
	uint32_t count = begin_scan(watch, &sockets);

	for (uint32_t i = 0; i < count; i++) {
		struct watched_request *request =
			find_request(watch, &sockets[i]);

		if (!request || !is_overdue(request, now_ns))
			continue;
		request->timed_out = 1;
		shut_down_request(request, &sockets[i]);
	}
	end_scan(watch, sockets);
}

static void forget_idle(struct connection_watch *watch)
{
	free(watch->idle);
	watch->idle = NULL;
	watch->idle_count = 0;
}

/* What the last poll knew of a connection, or that it is new. */
static struct idle_connection recall_idle(const struct connection_watch *watch,
					  const struct port_socket *socket,
					  int64_t now_ns)
{
	struct idle_connection idle = { *socket, now_ns, 0 };

	for (uint32_t i = 0; i < watch->idle_count; i++)
		if (watch->idle[i].socket.fd == socket->fd &&
		    watch->idle[i].socket.peer_port == socket->peer_port &&
		    !strcmp(watch->idle[i].socket.peer_ip, socket->peer_ip))
			idle = watch->idle[i];
	/* Bytes that nobody has read wait for a thread of this host. */
	if (port_socket_unread_bytes(socket) && !idle.is_shut_down)
		idle.since_ns = now_ns;
	return idle;
}

static void add_request(struct candidates *all,
			const struct port_socket *socket,
			struct watched_request *request)
{
	all->progress[all->count] = request->progress;
	all->list[all->count++] = (struct candidate){ *socket, request, NULL };
}

static void add_idle(struct candidates *all, struct idle_connection *idle)
{
	struct connection_progress *progress = &all->progress[all->count];

	memset(progress, 0, sizeof(*progress));
	connection_pace_begin(&progress->pace, idle->since_ns);
	progress->is_waiting = idle->is_shut_down;
	all->list[all->count++] =
		(struct candidate){ idle->socket, NULL, idle };
}

static void list_candidates(struct connection_watch *watch,
			    struct candidates *all,
			    const struct port_socket *sockets, uint32_t count,
			    int64_t now_ns)
{
	struct idle_connection *idle = xcalloc(count + 1, sizeof(*idle));
	uint32_t idle_count = 0;

	candidates_init(all, count);
	for (uint32_t i = 0; i < count; i++) {
		struct watched_request *request =
			find_request(watch, &sockets[i]);

		if (request) {
			add_request(all, &sockets[i], request);
			continue;
		}
		idle[idle_count] = recall_idle(watch, &sockets[i], now_ns);
		add_idle(all, &idle[idle_count++]);
	}
	forget_idle(watch);
	watch->idle = idle;
	watch->idle_count = idle_count;
}

static int may_give_way(const struct candidates *all, int32_t victim,
			int64_t now_ns)
{
	int64_t lag_min_ns;

	if (victim < 0)
		return 0;
	lag_min_ns = all->list[victim].idle ? HEAD_LAG_MIN_NS
					    : CONNECTION_LAG_MIN_NS;
	return connection_lag_ns(&all->progress[victim].pace, now_ns) >=
	       lag_min_ns;
}

static void set_displaced(struct watched_request *request)
{
	if (!request->displaced)
		request->watch->leaving_bytes += request->progress.held_bytes;
	request->displaced = 1;
}

static void displace(struct connection_watch *watch, struct candidates *all,
		     int32_t victim)
{
	struct candidate *candidate = &all->list[victim];

	all->progress[victim].is_waiting = 1;
	counter_add(watch->settings.displaced, 1);
	if (candidate->request) {
		set_displaced(candidate->request);
		shut_down_request(candidate->request, &candidate->socket);
	} else {
		candidate->idle->is_shut_down = 1;
		shutdown(candidate->socket.fd, SHUT_RD);
	}
}

/* Half of the threads at a time, so that a crowd behind them is soon over. */
static void free_threads(struct connection_watch *watch, int64_t now_ns)
{
	uint32_t victims_max = watch->settings.busy_max / 2 + 1;
	struct candidates all;
	struct port_socket *sockets;
	uint32_t count = begin_scan(watch, &sockets);

	if (victims_max > VICTIMS_PER_POLL_MAX)
		victims_max = VICTIMS_PER_POLL_MAX;
	list_candidates(watch, &all, sockets, count, now_ns);
	for (uint32_t i = 0; i < victims_max; i++) {
		int32_t victim = connection_victim_for_slot(all.progress,
							    all.count, now_ns);

		if (!may_give_way(&all, victim, now_ns))
			break;
		displace(watch, &all, victim);
	}
	end_scan(watch, sockets);
	candidates_finish(&all);
}

static void check(void *arg)
{
	struct connection_watch *watch = arg;
	int64_t now_ns = clock_now_ns(&watch->clock);
	uint32_t busy = __atomic_load_n(&watch->busy, __ATOMIC_ACQUIRE);

	pthread_mutex_lock(&watch->lock);
	if (is_any_overdue(watch, now_ns))
		shut_down_overdue(watch, now_ns);
	if (busy >= watch->settings.busy_max && !watch->stopping)
		free_threads(watch, now_ns);
	else
		forget_idle(watch);
	pthread_mutex_unlock(&watch->lock);
}

void connection_watch_init(struct connection_watch *watch,
			   const struct connection_watch_settings *settings)
{
	memset(watch, 0, sizeof(*watch));
	watch->settings = *settings;
	system_clock_init(&watch->clock);
	pthread_mutex_init(&watch->lock, NULL);
	pthread_rwlock_init(&watch->closing, NULL);
	wait_cond_init(&watch->room);
}

int connection_watch_start(struct connection_watch *watch, const char *ip,
			   uint16_t port, struct error *err)
{
	copy_text(watch->ip, sizeof(watch->ip), ip);
	watch->port = port;
	return poll_thread_start(&watch->thread, POLL_INTERVAL_MS, check, watch,
				 err);
}

void connection_watch_keep_all(struct connection_watch *watch)
{
	pthread_mutex_lock(&watch->lock);
	watch->stopping = 1;
	pthread_mutex_unlock(&watch->lock);
}

void connection_watch_stop(struct connection_watch *watch)
{
	poll_thread_stop(&watch->thread);
	forget_idle(watch);
	pthread_cond_destroy(&watch->room);
	pthread_rwlock_destroy(&watch->closing);
	pthread_mutex_destroy(&watch->lock);
}

void connection_watch_taken(struct connection_watch *watch)
{
	__atomic_add_fetch(&watch->busy, 1, __ATOMIC_ACQ_REL);
}

void connection_watch_closing(struct connection_watch *watch)
{
	pthread_rwlock_rdlock(&watch->closing);
}

void connection_watch_closed(struct connection_watch *watch)
{
	pthread_rwlock_unlock(&watch->closing);
	__atomic_sub_fetch(&watch->busy, 1, __ATOMIC_ACQ_REL);
}

void connection_watch_add(struct connection_watch *watch,
			  struct watched_request *request,
			  const struct mg_request_info *info)
{
	int64_t now_ns = clock_now_ns(&watch->clock);

	memset(request, 0, sizeof(*request));
	request->watch = watch;
	request->info = info;
	request->deadline_ns =
		now_ns + watch->settings.body_timeout_ms * NS_PER_MS;
	connection_pace_begin(&request->progress.pace, now_ns);
	pthread_mutex_lock(&watch->lock);
	request->next = watch->first;
	request->prev_next = &watch->first;
	if (watch->first)
		watch->first->prev_next = &request->next;
	watch->first = request;
	pthread_mutex_unlock(&watch->lock);
}

/* The caller holds the lock. */
static void give_room(struct watched_request *request)
{
	request->watch->held_bytes -= request->progress.held_bytes;
	if (request->displaced)
		request->watch->leaving_bytes -= request->progress.held_bytes;
	request->progress.held_bytes = 0;
	pthread_cond_broadcast(&request->watch->room);
}

void connection_watch_give_room(struct watched_request *request)
{
	pthread_mutex_lock(&request->watch->lock);
	give_room(request);
	pthread_mutex_unlock(&request->watch->lock);
}

void connection_watch_remove(struct watched_request *request)
{
	pthread_mutex_lock(&request->watch->lock);
	give_room(request);
	*request->prev_next = request->next;
	if (request->next)
		request->next->prev_next = request->prev_next;
	pthread_mutex_unlock(&request->watch->lock);
}

/*
 * Shuts down the request whose body gives way; -1: none does, or it is `own`.
 */
static int displace_body(struct watched_request *own, int64_t now_ns)
{
	struct connection_watch *watch = own->watch;
	struct candidates all;
	struct port_socket *sockets;
	uint32_t count = begin_scan(watch, &sockets);
	int32_t victim;
	int result = -1;

	candidates_init(&all, count);
	for (uint32_t i = 0; i < count; i++) {
		struct watched_request *request =
			find_request(watch, &sockets[i]);

		if (request)
			add_request(&all, &sockets[i], request);
	}
	victim = connection_victim_for_memory(all.progress, all.count, now_ns);
	if (victim >= 0 && all.list[victim].request != own) {
		displace(watch, &all, victim);
		result = 0;
	}
	end_scan(watch, sockets);
	candidates_finish(&all);
	return result;
}

static int has_room(const struct connection_watch *watch, uint64_t bytes)
{
	return watch->held_bytes + bytes <= watch->settings.max_held_bytes;
}

/* Whether there is room once the displaced bodies are gone. */
static int will_have_room(const struct connection_watch *watch, uint64_t bytes)
{
	return watch->held_bytes - watch->leaving_bytes + bytes <=
	       watch->settings.max_held_bytes;
}

/* The caller holds the lock, which is released meanwhile. */
static int wait_for_room(struct watched_request *request, int64_t end_ns)
{
	struct connection_watch *watch = request->watch;
	int is_late;

	request->progress.is_waiting = 1;
	is_late = wait_until(&watch->room, &watch->lock, end_ns);
	if (!request->displaced)
		request->progress.is_waiting = 0;
	request->progress.pace.updated_ns = clock_now_ns(&watch->clock);
	return is_late ? -1 : 0;
}

/* Whether a body holds room that comes free with its response. */
static int is_any_served(const struct connection_watch *watch)
{
	for (const struct watched_request *request = watch->first; request;
	     request = request->next)
		if (!request->deadline_ns && request->progress.held_bytes)
			return 1;
	return 0;
}

static int make_room(struct watched_request *request, uint64_t bytes)
{
	struct connection_watch *watch = request->watch;
	int64_t end_ns = wait_now_ns() + ROOM_WAIT_NS;

	while (!has_room(watch, bytes))
		if ((!will_have_room(watch, bytes) &&
		     displace_body(request, clock_now_ns(&watch->clock)) &&
		     !is_any_served(watch)) ||
		    wait_for_room(request, end_ns))
			return -1;
	return 0;
}

int connection_watch_take_room(struct watched_request *request, uint64_t bytes)
{
	struct connection_watch *watch = request->watch;
	int result = -1;

	pthread_mutex_lock(&watch->lock);
	connection_pace_moved(&request->progress.pace, bytes,
			      clock_now_ns(&watch->clock));
	if (!request->displaced && !make_room(request, bytes)) {
		watch->held_bytes += bytes;
		request->progress.held_bytes += bytes;
		result = 0;
	} else {
		set_displaced(request);
	}
	pthread_mutex_unlock(&watch->lock);
	return result;
}

void connection_watch_body_end(struct watched_request *request)
{
	pthread_mutex_lock(&request->watch->lock);
	request->deadline_ns = 0;
	request->progress.is_waiting = 1;
	pthread_mutex_unlock(&request->watch->lock);
}

void connection_watch_write_begin(struct watched_request *request)
{
	if (!request)
		return;
	pthread_mutex_lock(&request->watch->lock);
	request->is_writing = 1;
	request->progress.is_waiting = 0;
	connection_pace_begin(&request->progress.pace,
			      clock_now_ns(&request->watch->clock));
	pthread_mutex_unlock(&request->watch->lock);
}

void connection_watch_wrote(struct watched_request *request, uint64_t bytes)
{
	if (!request)
		return;
	pthread_mutex_lock(&request->watch->lock);
	connection_pace_moved(&request->progress.pace, bytes,
			      clock_now_ns(&request->watch->clock));
	pthread_mutex_unlock(&request->watch->lock);
}

void connection_watch_write_end(struct watched_request *request)
{
	if (!request)
		return;
	pthread_mutex_lock(&request->watch->lock);
	request->is_writing = 0;
	request->progress.is_waiting = 1;
	pthread_mutex_unlock(&request->watch->lock);
}
