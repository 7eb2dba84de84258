#ifndef NET_NET_SERVER_PRIVATE_H
#define NET_NET_SERVER_PRIVATE_H

#include "net/net_server.h"
#include "policy/connection_victim.h"

struct bufferevent;

enum connection_state {
	CONNECTION_READING = 0,
	CONNECTION_BUSY, /* its request is not answered yet */
	CONNECTION_CLOSING, /* the last answer is being sent */
	CONNECTION_LINGERING, /* shut down for writing */
};

struct net_connection {
	struct net_server *server;
	struct bufferevent *bev;
	struct http_reader reader;
	struct net_request request;
	struct timer timer;
	enum connection_state state;
	uint64_t held_bytes; /* its share of the server's held_bytes */
	uint64_t memory_bytes; /* its share of the server's memory_bytes */
	struct connection_pace input_pace; /* of a silence or a request */
	struct connection_pace output_pace; /* since there is output */
	size_t unsent_bytes; /* of the output, when last seen */
	int chunked;
	int head_written; /* of the answer */
	int close_after;
	int waits_for_reader; /* the caller reads the answers first */
	uint16_t reject_status; /* set when a callback stops reading */
	const char *reject_reason;
	struct net_connection *next;
	struct net_connection **link; /* the pointer to this connection */
};

/* Frees a connection; does not notify the owner of its request. */
void net_connection_free(struct net_connection *conn);

/* Ends a connection before its answer is complete; notifies the owner. */
void net_connection_drop(struct net_connection *conn);

/* Bytes came, or an answer ended; begins or continues a silence or request. */
void net_connection_begin_input(struct net_connection *conn);
void net_connection_count_input(struct net_connection *conn, size_t bytes);

/*
 * The answer is written completely: reads the next request or closes the
 * connection.
 */
void net_connection_finish_answer(struct net_connection *conn);

/* Adds to the output. */
void net_connection_write(struct net_connection *conn, const void *data,
			  size_t len);

/*
 * Takes the memory of a connection anew. If the limit is passed, connections
 * are closed at the next turn of the loop.
 */
void net_connection_update_memory(struct net_connection *conn);

/* Closes another connection to make room for the body of this one. */
int net_connection_displace_for_body(struct net_connection *conn);

#endif
