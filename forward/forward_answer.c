#include "base/bug.h"
#include "forward/forward_private.h"
#include "platform/messages.h"

/* A caller that reads slower than its server sends holds this much here. */
#define UNSENT_MAX_BYTES (256 * 1024)

int forward_is_stream(const struct forward *forward)
{
	return forward->route->kind == REQUEST_STREAM ||
	       forward->route->kind == REQUEST_RESUMABLE;
}

void forward_deliver(struct forward *forward, struct forward_try *try)
{
	struct net_answer answer = {
		.status = try->answer.status,
		.fields = try->fields.buf,
		.body = try->body.buf,
		.body_len = try->body.len,
	};

	net_request_answer(forward->request, &answer);
}

/* One whole event of a stream. */
static int on_event(void *arg, const char *event, size_t len)
{
	struct forward_try *try = arg;
	struct forward *forward = try->forward;
	struct server_event read;
	int result;

	strbuf_init(&read.data);
	result = platform_read_event(event, len, &read);
	strbuf_finish(&read.data);
	if (result)
		return -1;
	/* Another run of the same request may begin with what was sent. */
	if (read.id >= 0 && read.id <= forward->last_event)
		return 0;
	if (read.id >= 0)
		forward->last_event = read.id;
	net_request_write(forward->request, event, len);
	return 0;
}

static void pause_if_slow(struct forward_try *try)
{
	if (try->paused ||
	    net_request_unsent_bytes(try->forward->request) < UNSENT_MAX_BYTES)
		return;
	try->paused = 1;
	net_call_pause(&try->net);
}

int forward_stream(struct forward_try *try, const char *data, size_t len)
{
	struct forward *forward = try->forward;

	if (forward_is_stream(forward)) {
		if (event_splitter_feed(&try->events, data, len, on_event, try))
			return -1;
	} else {
		net_request_write(forward->request, data, len);
	}
	pause_if_slow(try);
	return 0;
}

/* From here on no other try can take over, but one that goes on with it. */
static void cancel_others(struct forward_try *try)
{
	struct forward_try *other = try->forward->tries;

	while (other) {
		struct forward_try *next = other->next;

		if (other != try)
			forward_try_cancel(other);
		other = next;
	}
}

void forward_begin_stream(struct forward_try *try)
{
	struct forward *forward = try->forward;
	int64_t body_bytes = forward_is_stream(forward) ? -1 : try->body_bytes;

	cancel_others(try);
	if (!forward->begun)
		net_request_begin(forward->request, try->answer.status,
				  try->fields.buf, body_bytes);
	forward->begun = 1;
	try->streaming = 1;
	if (try->body.len && forward_stream(try, try->body.buf, try->body.len))
		BUG("a body that was kept is no stream of events");
	strbuf_finish(&try->body);
}
