#ifndef FORWARD_FORWARD_PRIVATE_H
#define FORWARD_FORWARD_PRIVATE_H

#include "entry/caller_request.h"
#include "forward/event_splitter.h"
#include "forward/forward.h"
#include "policy/attempt_plan.h"

/* Servers recorded as tried for one request; any further ones are not. */
#define FORWARD_TRIED_MAX 16

/* One execution of a request at one backend server. */
struct forward_attempt {
	struct net_call net;
	struct forward *forward;
	struct fleet_server *server;
	struct strbuf request_head;
	struct strbuf response_fields; /* header fields, as forwarded */
	struct strbuf response_body; /* buffered until delivered */
	struct server_answer answer;
	struct event_splitter events;
	int64_t started_ns;
	int64_t started_wall_ms;
	int paused;
	int streaming; /* response bytes are forwarded as they arrive */
	int has_events; /* the response is an event stream, not a failure */
	int64_t response_body_bytes; /* by its head; -1: unknown */
	struct forward_attempt *next;
};

/* State of one forwarded request. */
struct forward {
	struct net_request_owner owner;
	struct forwarder *forwarder;
	struct net_request *request;
	struct caller_request caller;
	struct entry_config *config;
	const struct entry_route *route;
	const struct entry_team *team;
	const char *service;
	int64_t deadline_ns;
	struct timer deadline_timer;
	struct timer hedge_timer; /* starts a hedged attempt */
	struct forward_attempt *attempts; /* in flight */
	uint32_t attempts_in_flight;
	uint32_t sent; /* attempts, without retries of stale connections */
	int stale_retries;
	int may_have_run; /* a server may have run the request */
	int is_suspect; /* it was rejected for crashes before */
	int response_started; /* its head was sent */
	int response_has_events; /* another attempt may continue it */
	int64_t last_event_id; /* sent to the caller; -1: none */
	char tried[FORWARD_TRIED_MAX][SERVER_ID_BYTES];
	uint32_t tried_count;
	struct forward *next;
	struct forward **link; /* the pointer that refers to this one */
};

int64_t forward_now_ns(const struct forward *forward);

/* Cancels the attempts in flight and frees the request's state. */
void forward_free(struct forward *forward);

/* Logs how the request ended; `reason` may be NULL. */
void forward_log_answer(const struct forward *forward, const char *event,
			uint16_t status, const char *reason);

/* Reject the request, or abort a started response; free its state. */
void forward_refuse_not_run(struct forward *forward, const char *type,
			    const char *detail, int64_t retry_after_ns);
void forward_refuse_unknown(struct forward *forward, uint16_t status,
			    const char *type, const char *detail);

/* Chooses a usable server not tried yet; NULL if there is none. */
struct fleet_server *forward_choose(struct forward *forward);

/* Records that the request was sent to the server with this id. */
void forward_note_tried(struct forward *forward, const char *id);

/* Starts an attempt at the server; `fresh` forces a new connection. */
void forward_attempt_start(struct forward *forward, struct fleet_server *server,
			   int fresh);

/* Cancels an attempt in flight and frees it. */
void forward_attempt_cancel(struct forward_attempt *attempt);

/* Frees an attempt that has ended. */
void forward_attempt_free(struct forward_attempt *attempt);

/*
 * Handles the end of an attempt: frees it, and frees the request's state unless
 * another attempt is in flight or is started.
 */
void forward_on_attempt_end(struct forward_attempt *attempt,
			    enum attempt_outcome outcome);

/* Answers the caller with the complete, buffered answer of an attempt. */
void forward_deliver(struct forward *forward, struct forward_attempt *attempt);

/*
 * Begins to forward the answer as it arrives: it is a stream, or its body is
 * too large to buffer.
 */
void forward_begin_stream(struct forward_attempt *attempt);

/*
 * Forwards received bytes; -1 if an event is malformed or too large. The body
 * of a failure has no events and is forwarded as it is.
 */
int forward_stream(struct forward_attempt *attempt, const char *data,
		   size_t len);

/* Hash of team, target and body: equal each time that a request is sent. */
uint64_t forward_hash(const struct forward *forward);

/* Whether the request's answer is an event stream. */
int forward_is_stream(const struct forward *forward);

/*
 * Whether the request may use a connection to a server while connections run
 * out. A caller that makes no progress gives way if none is left.
 */
int forward_find_room(const struct forward *forward);

#endif
