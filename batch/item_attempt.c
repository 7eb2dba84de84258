#include "batch/item_attempt.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "platform/batch_codec.h"
#include "platform/messages.h"

const char *item_attempt_outcome_name(enum item_attempt_outcome outcome)
{
	static const char *const names[] = { "complete", "not_run", "failed",
					     "rejected", "cut",	    "unfit",
					     "too_large" };

	return names[outcome];
}

static struct item_attempt *attempt_of(struct net_call *net)
{
	return (struct item_attempt *)net;
}

static const struct batch *batch_of(const struct item_attempt *attempt)
{
	return attempt->item->owner->batch;
}

static void free_attempt(struct item_attempt *attempt)
{
	*attempt->pprev = attempt->next;
	if (attempt->next)
		attempt->next->pprev = attempt->pprev;
	attempt->engine->running--;
	attempt->engine->memory_tokens -= attempt->memory_tokens;
	attempt->engine->server->running--;
	attempt->item->attempt = NULL;
	strbuf_finish(&attempt->head);
	event_splitter_finish(&attempt->events);
	free(attempt->model);
	free(attempt);
}

/* Whether the batch allows events made by the current weight version. */
static int version_is_allowed(const struct item_attempt *attempt)
{
	const struct batch *batch = batch_of(attempt);
	const struct item_text *output = &attempt->item->output;

	if (attempt->version < batch->min_version)
		return 0;
	return !batch->single_version || !output->version_count ||
	       output->versions[0] == attempt->version;
}

static void set_version(struct item_attempt *attempt, uint64_t version)
{
	if (!version)
		return;
	attempt->version = version;
	engine_state_set_seen_version(attempt->engine, attempt->model, version);
}

static enum net_head_verdict on_head(struct net_call *net)
{
	struct item_attempt *attempt = attempt_of(net);
	const struct batch *batch = batch_of(attempt);

	platform_read_answer(net->answer,
			     batch->items[attempt->item->number].id,
			     &attempt->answer);
	fleet_server_apply_answer(attempt->engine->server, &attempt->answer,
				  reactor_now_ns(attempt->reactor));
	if (attempt->answer.other_request)
		return NET_HEAD_SKIP;
	attempt->last_event_ns = reactor_now_ns(attempt->reactor);
	if (attempt->answer.status != 200)
		return NET_HEAD_ACCEPT;
	if (!attempt->answer.has_receipt)
		return NET_HEAD_REJECT;
	set_version(attempt, attempt->answer.weight_version);
	attempt->unfit = !version_is_allowed(attempt);
	return attempt->unfit ? NET_HEAD_REJECT : NET_HEAD_ACCEPT;
}

/*
 * An engine that answers and then cuts the stream is not healthy. Unless its
 * circuit breaker is half-open, earlier failures are cleared only when an
 * attempt completes there.
 */
static void observe_event(struct item_attempt *attempt, int64_t now_ns)
{
	struct engine_state *engine = attempt->engine;

	circuit_answered(&engine->server->circuit);
	if (attempt->event_count > 1)
		engine_pace_add(&engine->pace,
				(double)(now_ns - attempt->last_event_ns),
				engine->running, now_ns);
	attempt->last_event_ns = now_ns;
}

/*
 * Whether the engine generates the text from the beginning although the request
 * named the last event. Its events need not match the earlier text.
 */
static int restarts_text(const struct item_attempt *attempt,
			 const struct server_event *event)
{
	return !attempt->event_count && event->id <= 1 &&
	       attempt->item->output.last_event >= event->id;
}

static void drop_text(struct item_attempt *attempt)
{
	struct item_text *output = &attempt->item->output;
	struct record record;

	record_begin(&record, attempt->owner->log, "items", "text_dropped");
	record_text(&record, "batch", attempt->item->owner->batch->id);
	record_text(&record, "item", active_item_id(attempt->item));
	record_text(&record, "server", attempt->engine->server->entry.id);
	record_int(&record, "events", output->last_event);
	record_text(&record, "reason", "started_over");
	record_end(&record);
	item_text_reset(output);
	attempt->engine->starts_over = 1;
}

static void log_invalid_event(const struct item_attempt *attempt,
			      const struct server_event *event)
{
	struct record record;

	record_begin(&record, attempt->owner->log, "items", "event_invalid");
	record_text(&record, "batch", batch_of(attempt)->id);
	record_text(&record, "item", active_item_id(attempt->item));
	record_text(&record, "server", attempt->engine->server->entry.id);
	record_int(&record, "event", event->id);
	record_text(&record, "reason", "not_utf8");
	record_end(&record);
}

/*
 * Returns -1 if the stream cannot belong to this item, or if a result cannot
 * carry the event; another attempt then continues before this event, or starts
 * over if the text became too large.
 */
static int add_event(struct item_attempt *attempt,
		     const struct server_event *event)
{
	struct item_text *output = &attempt->item->output;

	if (event->id < 0)
		return 0; /* no event, only a comment of the stream */
	if (restarts_text(attempt, event))
		drop_text(attempt);
	if (event->id <= output->last_event)
		return 0;
	/* Event ids have no gaps; the first one is 1 or 0. */
	if (event->id != output->last_event + 1 &&
	    (output->last_event >= 0 || event->id != 1))
		return -1;
	set_version(attempt, event->weight_version);
	attempt->unfit = !version_is_allowed(attempt);
	if (attempt->unfit)
		return -1;
	if (!platform_batch_text_is_valid(event->data.buf, event->data.len)) {
		log_invalid_event(attempt, event);
		return -1;
	}
	attempt->too_large = output->text.len + event->data.len + 1 >
			     attempt->max_text_bytes;
	if (attempt->too_large)
		return -1;
	attempt->event_count++;
	observe_event(attempt, reactor_now_ns(attempt->reactor));
	return item_text_add(output, event->id, event->data.buf,
			     event->data.len, attempt->version);
}

static int on_event(void *arg, const char *text, size_t len)
{
	struct server_event event;
	int result;

	strbuf_init(&event.data);
	result = platform_read_event(text, len, &event) ||
				 add_event(arg, &event)
			 ? -1
			 : 0;
	strbuf_finish(&event.data);
	return result;
}

static int on_body(struct net_call *net, const char *data, size_t len)
{
	struct item_attempt *attempt = attempt_of(net);

	if (attempt->answer.status != 200)
		return 0;
	return event_splitter_feed(&attempt->events, data, len, on_event,
				   attempt);
}

static enum item_attempt_outcome
attempt_outcome(const struct item_attempt *attempt, enum net_outcome outcome)
{
	if (attempt->unfit)
		return ITEM_ATTEMPT_UNFIT;
	if (attempt->too_large)
		return ITEM_ATTEMPT_TOO_LARGE;
	if (outcome == NET_NOT_SENT)
		return ITEM_ATTEMPT_NOT_RUN;
	if (outcome != NET_ANSWERED)
		return ITEM_ATTEMPT_CUT;
	if (attempt->answer.not_run)
		return ITEM_ATTEMPT_NOT_RUN;
	if (attempt->answer.status == 422)
		return ITEM_ATTEMPT_REJECTED;
	if (attempt->answer.status != 200)
		return ITEM_ATTEMPT_FAILED;
	if (!event_splitter_at_boundary(&attempt->events) ||
	    attempt->item->output.last_event < 0)
		return ITEM_ATTEMPT_CUT;
	return ITEM_ATTEMPT_COMPLETE;
}

static void on_done(struct net_call *net, enum net_outcome outcome)
{
	struct item_attempt *attempt = attempt_of(net);
	struct item_attempt_owner *owner = attempt->owner;
	enum item_attempt_outcome result = attempt_outcome(attempt, outcome);

	if (result == ITEM_ATTEMPT_COMPLETE)
		attempt->item->output.complete = 1;
	owner->ended(owner, attempt, result);
	free_attempt(attempt);
}

static const struct net_call_vtable attempt_vtable = { on_head, on_body,
						       on_done };

static void write_head(struct item_attempt *attempt,
		       const struct item_attempt_start *start)
{
	const struct batch *batch = batch_of(attempt);
	const Currant__Topic__BatchItem *spec = attempt->item->spec;
	struct server_request request = {
		.time_left_ms = -1,
		.server_id = attempt->engine->server->entry.id,
		.team = *start->team ? start->team : NULL,
		.priority = start->priority,
		.last_event_id = attempt->item->output.last_event,
	};

	platform_write_item_request(&attempt->head, batch->host, spec->path,
				    spec->id, spec->fields, &request,
				    spec->body.len);
}

struct item_attempt *item_attempt_start(struct item_attempt_owner *owner,
					struct active_item *item,
					struct engine_state *engine,
					const struct item_attempt_start *start)
{
	struct item_attempt *attempt = xcalloc(1, sizeof(*attempt));

	attempt->owner = owner;
	attempt->item = item;
	attempt->engine = engine;
	attempt->reactor = start->reactor;
	attempt->model = xstrdup(start->model);
	attempt->memory_tokens = start->memory_tokens;
	attempt->max_text_bytes = start->max_text_bytes;
	attempt->started_ns = reactor_now_ns(start->reactor);
	attempt->last_event_ns = attempt->started_ns;
	strbuf_init(&attempt->head);
	event_splitter_init(&attempt->events);
	attempt->next = owner->attempts;
	attempt->pprev = &owner->attempts;
	if (attempt->next)
		attempt->next->pprev = &attempt->next;
	owner->attempts = attempt;
	fleet_server_note_sent(engine->server, attempt->started_ns);
	circuit_begin_last_resort(&engine->server->circuit,
				  attempt->started_ns);
	engine->running++;
	engine->memory_tokens += attempt->memory_tokens;
	engine->server->running++;
	item->attempt = attempt;
	item->attempt_count++;
	write_head(attempt, start);
	attempt->net.vt = &attempt_vtable;
	attempt->net.address = engine->server->entry.address;
	attempt->net.head = attempt->head.buf;
	attempt->net.head_len = attempt->head.len;
	attempt->net.id_hash = hash_text(item->spec->id, 0);
	attempt->net.body = item->spec->body.data;
	attempt->net.body_len = item->spec->body.len;
	net_call_start(start->pool, &attempt->net);
	return attempt;
}

void item_attempt_cancel(struct item_attempt *attempt)
{
	circuit_cancelled(&attempt->engine->server->circuit,
			  reactor_now_ns(attempt->reactor));
	net_call_cancel(&attempt->net);
	free_attempt(attempt);
}
