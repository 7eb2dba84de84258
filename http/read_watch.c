#include "http/read_watch.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <dirent.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define POLL_INTERVAL_MAX_MS 250
#define POLLS_PER_TIMEOUT 4

static int is_overdue(const struct body_read *body_read, int64_t now_ns)
{
	return !body_read->timed_out && body_read->deadline_ns <= now_ns;
}

static int is_any_overdue(const struct read_watch *watch, int64_t now_ns)
{
	for (const struct body_read *body_read = watch->first; body_read;
	     body_read = body_read->next)
		if (is_overdue(body_read, now_ns))
			return 1;
	return 0;
}

/*
 * Returns the address of the remote end in `peer`; -1 if `fd` is not a
 * connection to the port of this server.
 */
static int get_peer_address(const struct read_watch *watch, int fd,
			    struct sockaddr_in *peer)
{
	struct sockaddr_in own = { 0 };
	socklen_t own_len = sizeof(own);
	socklen_t peer_len = sizeof(*peer);

	if (getsockname(fd, (struct sockaddr *)&own, &own_len) ||
	    own.sin_family != AF_INET || ntohs(own.sin_port) != watch->port)
		return -1;
	return getpeername(fd, (struct sockaddr *)peer, &peer_len);
}

static int is_from(const struct body_read *body_read,
		   const struct sockaddr_in *peer)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &peer->sin_addr, ip, sizeof(ip));
	return body_read->info->remote_port == ntohs(peer->sin_port) &&
	       !strcmp(body_read->info->remote_addr, ip);
}

static void shut_down_if_overdue(struct read_watch *watch, int fd,
				 int64_t now_ns)
{
	struct sockaddr_in peer = { 0 };

	if (get_peer_address(watch, fd, &peer))
		return;
	for (struct body_read *body_read = watch->first; body_read;
	     body_read = body_read->next) {
		if (!is_overdue(body_read, now_ns) ||
		    !is_from(body_read, &peer))
			continue;
		body_read->timed_out = 1;
		shutdown(fd, SHUT_RD);
	}
}

/*
 * CivetWeb exposes the address of a connection but not its descriptor, so all
 * descriptors of the process are scanned; only when a body is overdue. The
 * caller holds the lock: no body read can end meanwhile, so a descriptor
 * cannot be closed and reused for another connection.
 */
static void shut_down_overdue(struct read_watch *watch, int64_t now_ns)
{
	DIR *dir = opendir("/proc/self/fd");
	struct dirent *entry;

	if (!dir)
		return;
	while ((entry = readdir(dir)))
		if (entry->d_name[0] != '.')
			shut_down_if_overdue(watch, atoi(entry->d_name),
					     now_ns);
	closedir(dir);
}

static void check_deadlines(void *arg)
{
	struct read_watch *watch = arg;
	int64_t now_ns = clock_now_ns(&watch->clock);

	pthread_mutex_lock(&watch->lock);
	if (is_any_overdue(watch, now_ns))
		shut_down_overdue(watch, now_ns);
	pthread_mutex_unlock(&watch->lock);
}

int read_watch_start(struct read_watch *watch, uint16_t port,
		     uint32_t timeout_ms, struct error *err)
{
	uint32_t interval_ms = timeout_ms / POLLS_PER_TIMEOUT + 1;

	memset(watch, 0, sizeof(*watch));
	system_clock_init(&watch->clock);
	pthread_mutex_init(&watch->lock, NULL);
	watch->port = port;
	watch->timeout_ns = timeout_ms * NS_PER_MS;
	if (interval_ms > POLL_INTERVAL_MAX_MS)
		interval_ms = POLL_INTERVAL_MAX_MS;
	return poll_thread_start(&watch->thread, interval_ms, check_deadlines,
				 watch, err);
}

void read_watch_stop(struct read_watch *watch)
{
	poll_thread_stop(&watch->thread);
	pthread_mutex_destroy(&watch->lock);
}

void read_watch_begin(struct read_watch *watch, struct body_read *body_read,
		      const struct mg_request_info *info)
{
	body_read->info = info;
	body_read->timed_out = 0;
	body_read->deadline_ns =
		clock_now_ns(&watch->clock) + watch->timeout_ns;
	pthread_mutex_lock(&watch->lock);
	body_read->next = watch->first;
	body_read->prev_next = &watch->first;
	if (watch->first)
		watch->first->prev_next = &body_read->next;
	watch->first = body_read;
	pthread_mutex_unlock(&watch->lock);
}

int read_watch_end(struct read_watch *watch, struct body_read *body_read)
{
	pthread_mutex_lock(&watch->lock);
	*body_read->prev_next = body_read->next;
	if (body_read->next)
		body_read->next->prev_next = body_read->prev_next;
	pthread_mutex_unlock(&watch->lock);
	return body_read->timed_out;
}
