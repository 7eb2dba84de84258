#include "base/bug.h"
#include "forward/forward_private.h"
#include "platform/messages.h"

/* Buffer bound for a caller that reads slower than its server sends. */
#define UNSENT_MAX_BYTES (256 * 1024)
/* Likewise while callers' connections are short of memory. */
#define UNSENT_SHORT_BYTES (16 * 1024)

int forward_is_stream(const struct forward *forward)
{
	return forward->route->kind == REQUEST_STREAM ||
	       forward->route->kind == REQUEST_RESUMABLE;
}

void forward_deliver(struct forward *forward, struct forward_attempt *attempt)
{
	struct net_answer answer = {
		.status = attempt->answer.status,
		.fields = attempt->response_fields.buf,
		.body = attempt->response_body.buf,
		.body_len = attempt->response_body.len,
	};

	net_request_answer(forward->request, &answer);
}

/* Forwards one complete event of a stream. */
static int on_event(void *arg, const char *event, size_t len)
{
	struct forward_attempt *attempt = arg;
	struct forward *forward = attempt->forward;
	struct server_event read;
	int result;

	strbuf_init(&read.data);
	result = platform_read_event(event, len, &read);
	strbuf_finish(&read.data);
	if (result)
		return -1;
	/* A retry may repeat events that were already forwarded. */
	if (read.id >= 0 && read.id <= forward->last_event_id)
		return 0;
	if (read.id >= 0)
		forward->last_event_id = read.id;
	net_request_write(forward->request, event, len);
	return 0;
}

static void pause_if_slow(struct forward_attempt *attempt)
{
	struct net_request *request = attempt->forward->request;
	size_t max_bytes = net_request_is_short_of_memory(request)
				   ? UNSENT_SHORT_BYTES
				   : UNSENT_MAX_BYTES;

	if (attempt->paused || net_request_unsent_bytes(request) < max_bytes)
		return;
	attempt->paused = 1;
	net_call_pause(&attempt->net);
}

int forward_stream(struct forward_attempt *attempt, const char *data,
		   size_t len)
{
	struct forward *forward = attempt->forward;

	if (attempt->has_events) {
		if (event_splitter_feed(&attempt->events, data, len, on_event,
					attempt))
			return -1;
	} else {
		net_request_write(forward->request, data, len);
	}
	pause_if_slow(attempt);
	return 0;
}

/* Once the response is started, only an attempt that resumes it may follow. */
static void cancel_other_attempts(struct forward_attempt *attempt)
{
	struct forward_attempt *other = attempt->forward->attempts;

	while (other) {
		struct forward_attempt *next = other->next;

		if (other != attempt)
			forward_attempt_cancel(other);
		other = next;
	}
}

void forward_begin_stream(struct forward_attempt *attempt)
{
	struct forward *forward = attempt->forward;
	int64_t body_bytes = attempt->has_events ? -1
						 : attempt->response_body_bytes;

	cancel_other_attempts(attempt);
	if (!forward->response_started)
		net_request_begin(forward->request, attempt->answer.status,
				  attempt->response_fields.buf, body_bytes);
	forward->response_started = 1;
	forward->response_has_events = attempt->has_events;
	attempt->streaming = 1;
	if (attempt->response_body.len &&
	    forward_stream(attempt, attempt->response_body.buf,
			   attempt->response_body.len))
		BUG("a buffered body cannot be an event stream");
	strbuf_finish(&attempt->response_body);
	net_request_set_owner_bytes(forward->request, 0);
}
