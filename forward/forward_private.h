#ifndef FORWARD_FORWARD_PRIVATE_H
#define FORWARD_FORWARD_PRIVATE_H

#include "entry/caller_request.h"
#include "forward/event_splitter.h"
#include "forward/forward.h"
#include "policy/attempt_plan.h"

/* Servers that one request remembers to have tried. */
#define FORWARD_TRIED_MAX 16

/* One try of a request at a server. */
struct forward_try {
	struct net_call net;
	struct forward *forward;
	struct fleet_server *server;
	struct strbuf head; /* of the request */
	struct strbuf fields; /* of the answer, as they are passed on */
	struct strbuf body; /* of the answer, until it is delivered */
	struct server_answer answer;
	struct event_splitter events;
	int64_t began_ns;
	int64_t began_wall_ms;
	int paused;
	int streaming; /* its bytes are passed on as they come */
	int64_t body_bytes; /* of the answer by its head; -1: not known */
	struct forward_try *next;
};

struct forward {
	struct net_request_owner owner;
	struct forwarder *forwarder;
	struct net_request *request;
	struct caller_request caller;
	struct entry_config *config;
	const struct entry_route *route;
	const struct entry_team *team;
	const char *service;
	int64_t answer_by_ns;
	struct timer timer; /* the time by which it is answered */
	struct timer second; /* when a second try may start */
	struct forward_try *tries; /* that run */
	uint32_t running;
	uint32_t sent;
	int stale_retries;
	int may_have_run;
	int begun; /* the head of the answer went out */
	int64_t last_event; /* passed on to the caller; -1: none */
	char tried[FORWARD_TRIED_MAX][SERVER_ID_BYTES];
	uint32_t tried_count;
	struct forward *next;
	struct forward **at;
};

/* Chooses a server that was not tried; NULL if there is none. */
struct fleet_server *forward_choose(struct forward *forward);

/* The request was sent to the server with this id. */
void forward_note_tried(struct forward *forward, const char *id);

/* Starts a try at the server; `fresh` opens a new connection. */
void forward_try_start(struct forward *forward, struct fleet_server *server,
		       int fresh);

/* Ends a running try without an answer and frees it. */
void forward_try_cancel(struct forward_try *try);

/* Frees a try that has ended. */
void forward_try_free(struct forward_try *try);

/* A try has ended; frees it, and the request's state with its last one. */
void forward_on_try_end(struct forward_try *try, enum attempt_outcome outcome);

/* Passes on the answer of a try that is whole. */
void forward_deliver(struct forward *forward, struct forward_try *try);

/* The try's head promises a stream or a large body: passes it on as it comes.
 */
void forward_begin_stream(struct forward_try *try);

/* Passes on what came; -1 if the stream is broken. */
int forward_stream(struct forward_try *try, const char *data, size_t len);

/* Hash of who asks for what: the same for each time that a caller asks. */
uint64_t forward_hash(const struct forward *forward);

/* Whether the request's answer is a stream of events. */
int forward_is_stream(const struct forward *forward);

#endif
