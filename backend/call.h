#ifndef BACKEND_CALL_H
#define BACKEND_CALL_H

#include <curl/curl.h>
#include <stdint.h>

#include "base/strbuf.h"

/*
 * One HTTP call to a backend server, run by a backend_loop. The owner sets
 * the request and the handler, submits the call and keeps the memory valid
 * until handler->done() is called. Handler functions run on the thread of the
 * loop and must not block.
 */
enum call_outcome {
	CALL_ANSWERED = 0, /* complete response; `status` is set */
	CALL_NOT_SENT, /* no byte of the request left this host */
	CALL_LOST, /* sent at least in part, no complete response */
	CALL_TIMED_OUT, /* like CALL_LOST, because the timeout expired */
	CALL_CANCELLED, /* by backend_loop_cancel() */
};

struct backend_call;

struct backend_call_handler {
	/* Called for each part of the body, in order; `status` is set. */
	void (*data)(struct backend_call *call, const char *data, size_t len);
	/* Called last; may free the call or submit it again. */
	void (*done)(struct backend_call *call);
};

struct backend_call {
	const struct backend_call_handler *handler;
	/* the request */
	char method[8];
	struct strbuf url;
	struct strbuf body;
	struct curl_slist *headers;
	int64_t timeout_ms;
	int run_once; /* must not be sent to the server twice */
	/* the result */
	enum call_outcome outcome;
	long status; /* long as in libcurl; 0: no headers yet */
	char content_type[128];
	int64_t retry_after_s; /* -1: none */
	int64_t sent_bytes;
	int refused; /* ECONNREFUSED: no process listens there */
	/* internal to the loop */
	CURL *easy;
	size_t body_sent;
	uint64_t id;
	int cancelled;
	struct backend_call *next;
	struct backend_call **link; /* the pointer to this call, if active */
};

void backend_call_init(struct backend_call *call,
		       const struct backend_call_handler *handler);
void backend_call_finish(struct backend_call *call);

/* Adds one header line "Name: value". */
void backend_call_add_header(struct backend_call *call, const char *line);

#endif
