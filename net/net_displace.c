#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

#include "base/bug.h"
#include "net/net_server_private.h"

/* A connection without its buffers: structs of this project and libevent. */
#define CONNECTION_BYTES 4096
/* Connections that are compared to find the one to close. */
#define SAMPLE_MAX 256

/* Sent to a caller whose request was not read completely. */
static const char not_read[] = "HTTP/1.1 503 Service Unavailable\r\n"
			       "Content-Length: 0\r\n"
			       "Connection: close\r\n\r\n";

static size_t unsent_bytes(const struct net_connection *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev));
}

void net_connection_drop(struct net_connection *conn)
{
	struct net_request_owner *owner = NULL;

	if (conn->state == CONNECTION_BUSY)
		owner = conn->request.owner;
	conn->request.owner = NULL;
	if (owner)
		owner->vt->on_disconnect(owner);
	net_connection_free(conn);
}

static int64_t now_ns_of(const struct net_connection *conn)
{
	return reactor_now_ns(conn->server->reactor);
}

void net_connection_begin_input(struct net_connection *conn)
{
	connection_pace_begin(&conn->input_pace, now_ns_of(conn));
}

void net_connection_count_input(struct net_connection *conn, size_t bytes)
{
	connection_pace_moved(&conn->input_pace, bytes, now_ns_of(conn));
}

/* Takes what was sent since the last call as progress of the output. */
static void count_output(struct net_connection *conn)
{
	size_t unsent = unsent_bytes(conn);

	if (unsent < conn->unsent_bytes)
		connection_pace_moved(&conn->output_pace,
				      conn->unsent_bytes - unsent,
				      now_ns_of(conn));
	conn->unsent_bytes = unsent;
}

void net_connection_write(struct net_connection *conn, const void *data,
			  size_t len)
{
	count_output(conn);
	if (!conn->unsent_bytes)
		connection_pace_begin(&conn->output_pace, now_ns_of(conn));
	bufferevent_write(conn->bev, data, len);
	conn->unsent_bytes = unsent_bytes(conn);
	net_connection_update_memory(conn);
}

static void count_memory(struct net_connection *conn)
{
	uint64_t bytes = CONNECTION_BYTES + conn->request.body.len +
			 conn->request.owner_bytes +
			 conn->reader.head.text.alloc + unsent_bytes(conn) +
			 evbuffer_get_length(bufferevent_get_input(conn->bev));

	conn->server->memory_bytes += bytes - conn->memory_bytes;
	conn->memory_bytes = bytes;
}

static int is_in_request(const struct net_connection *conn)
{
	return conn->state == CONNECTION_READING && conn->reader.began;
}

static struct connection_progress progress_of(struct net_connection *conn)
{
	struct connection_progress progress = { .pace = conn->input_pace };
	int is_busy = conn->state == CONNECTION_BUSY;

	count_output(conn);
	count_memory(conn);
	progress.held_bytes = conn->memory_bytes;
	if (conn->unsent_bytes && (!is_busy || conn->head_written))
		progress.pace = conn->output_pace;
	else if (is_busy)
		progress.is_waiting = 1;
	return progress;
}

struct sample {
	struct net_connection *connections[SAMPLE_MAX];
	struct connection_progress progress[SAMPLE_MAX];
	uint32_t count;
};

/* Takes all connections in turn; `first`, which may be NULL, comes first. */
static void take_sample(struct net_server *server, struct net_connection *first,
			struct sample *sample)
{
	struct net_connection *conn = server->sample_next;
	uint32_t left = server->connection_count;

	sample->count = 0;
	if (first) {
		sample->connections[0] = first;
		sample->progress[0] = progress_of(first);
		sample->count = 1;
	}
	for (; left && sample->count < SAMPLE_MAX; left--) {
		if (!conn)
			conn = server->connections;
		if (!conn)
			BUG("fewer connections than are counted");
		if (conn != first) {
			sample->connections[sample->count] = conn;
			sample->progress[sample->count++] = progress_of(conn);
		}
		conn = conn->next;
	}
	server->sample_next = conn;
}

static void displace(struct net_connection *conn, const char *limit)
{
	struct net_server *server = conn->server;
	struct connection_progress progress = progress_of(conn);
	struct net_displacement displacement = {
		.limit = limit,
		.lag_ns = connection_lag_ns(&progress.pace,
					    reactor_now_ns(server->reactor)),
		.memory_bytes = conn->memory_bytes,
		.in_request = is_in_request(conn),
		.in_answer = unsent_bytes(conn) > 0,
	};

	if (server->displaced)
		server->displaced(server->displaced_arg, &displacement);
	if (displacement.in_request && !displacement.in_answer)
		send(bufferevent_getfd(conn->bev), not_read, strlen(not_read),
		     MSG_NOSIGNAL | MSG_DONTWAIT);
	net_connection_drop(conn);
}

int net_server_make_room(struct net_server *server)
{
	uint32_t count = server->connection_count;

	/* A sample may hold no connection that can give way. */
	for (uint32_t seen = 0; seen < count; seen += SAMPLE_MAX) {
		struct sample sample;
		int32_t victim;

		take_sample(server, NULL, &sample);
		victim = connection_victim_for_slot(
			sample.progress, sample.count,
			reactor_now_ns(server->reactor));
		if (victim < 0)
			continue;
		displace(sample.connections[victim], "connections");
		return 1;
	}
	return 0;
}

/* Whether one of the others in the sample holds a part of a body. */
static int others_hold_bodies(const struct sample *sample)
{
	for (uint32_t i = 1; i < sample->count; i++)
		if (sample->progress[i].held_bytes &&
		    !sample->progress[i].is_waiting)
			return 1;
	return 0;
}

int net_connection_displace_for_body(struct net_connection *conn)
{
	struct net_server *server = conn->server;
	uint32_t count = server->connection_count;

	/* Each sample holds `conn` and, in turn, the others. */
	for (uint32_t seen = 0; seen < count; seen += SAMPLE_MAX - 1) {
		struct sample sample;
		int32_t victim;

		take_sample(server, conn, &sample);
		for (uint32_t i = 0; i < sample.count; i++)
			sample.progress[i].held_bytes =
				sample.connections[i]->held_bytes;
		if (!others_hold_bodies(&sample))
			continue;
		/* A body of which nothing is held may be the slowest, too. */
		sample.progress[0].held_bytes++;
		victim = connection_victim_for_memory(
			sample.progress, sample.count,
			reactor_now_ns(server->reactor));
		if (victim <= 0)
			return 0;
		displace(sample.connections[victim], "bodies");
		return 1;
	}
	return 0;
}

static int is_over_memory(const struct net_server *server)
{
	return server->memory_bytes > server->limits.max_memory_bytes;
}

static void on_trim(void *arg, int64_t now_ns)
{
	struct net_server *server = arg;
	uint32_t seen = 0; /* since a connection gave way */

	while (is_over_memory(server) && seen < server->connection_count) {
		struct sample sample;
		int32_t victim;

		/* This also counts anew what was sent meanwhile. */
		take_sample(server, NULL, &sample);
		seen += SAMPLE_MAX;
		victim = connection_victim_for_memory(sample.progress,
						      sample.count, now_ns);
		if (victim < 0 || !is_over_memory(server))
			continue;
		displace(sample.connections[victim], "memory");
		seen = 0;
	}
}

void net_connection_update_memory(struct net_connection *conn)
{
	struct net_server *server = conn->server;

	count_memory(conn);
	if (server->limits.max_memory_bytes && is_over_memory(server) &&
	    !server->trim.place)
		timer_subscribe_once(&server->reactor->timers, &server->trim, 0,
				     on_trim, server);
}
