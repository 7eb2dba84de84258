#include "batch/item_run.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "platform/batch_codec.h"
#include "platform/messages.h"

const char *item_run_end_name(enum item_run_end end)
{
	static const char *const names[] = { "complete", "not_run", "failed",
					     "rejected", "cut",	    "unfit" };

	return names[end];
}

static struct item_run *run_of(struct net_call *net)
{
	return (struct item_run *)net;
}

static const struct batch *batch_of(const struct item_run *run)
{
	return run->item->owner->batch;
}

static void free_run(struct item_run *run)
{
	*run->at = run->next;
	if (run->next)
		run->next->at = run->at;
	run->engine->running--;
	run->engine->memory_tokens -= run->memory_tokens;
	run->engine->server->running--;
	run->item->run = NULL;
	strbuf_finish(&run->head);
	event_splitter_finish(&run->events);
	free(run->model);
	free(run);
}

/* Whether the batch allows events of the version that makes them now. */
static int version_fits(const struct item_run *run)
{
	const struct batch *batch = batch_of(run);
	const struct item_text *made = &run->item->made;

	if (run->version < batch->min_version)
		return 0;
	return !batch->single_version || !made->version_count ||
	       made->versions[0] == run->version;
}

static void take_version(struct item_run *run, uint64_t version)
{
	if (!version)
		return;
	run->version = version;
	engine_state_saw_version(run->engine, run->model, version);
}

static enum net_head_verdict on_head(struct net_call *net)
{
	struct item_run *run = run_of(net);
	const struct batch *batch = batch_of(run);

	platform_read_answer(net->answer, batch->items[run->item->number].id,
			     &run->answer);
	fleet_server_heard(run->engine->server, &run->answer,
			   reactor_now_ns(run->reactor));
	if (run->answer.other_request)
		return NET_HEAD_SKIP;
	run->event_ns = reactor_now_ns(run->reactor);
	if (run->answer.status != 200)
		return NET_HEAD_TAKE;
	if (!run->answer.has_receipt)
		return NET_HEAD_REFUSE;
	take_version(run, run->answer.weight_version);
	run->unfit = !version_fits(run);
	return run->unfit ? NET_HEAD_REFUSE : NET_HEAD_TAKE;
}

/*
 * An engine that answers well and then breaks off is not sound: before its
 * first failures are forgotten, a run must come to its end there.
 */
static void learn_event(struct item_run *run, int64_t now_ns)
{
	struct engine_state *engine = run->engine;

	if (engine->server->circuit.state == CIRCUIT_HALF_OPEN)
		circuit_succeeded(&engine->server->circuit);
	if (run->event_count > 1)
		engine_pace_add(&engine->pace, (double)(now_ns - run->event_ns),
				engine->running, now_ns);
	run->event_ns = now_ns;
}

/*
 * Whether the engine makes the whole text anew though it was told where to go
 * on. What it makes need not fit to what came before.
 */
static int starts_over(const struct item_run *run,
		       const struct server_event *event)
{
	return !run->event_count && event->id <= 1 &&
	       run->item->made.last_event >= event->id;
}

static void drop_text(struct item_run *run)
{
	struct item_text *made = &run->item->made;
	struct record record;

	record_begin(&record, run->owner->log, "items", "text_dropped");
	record_text(&record, "batch", run->item->owner->batch->id);
	record_text(&record, "item", run_item_id(run->item));
	record_text(&record, "server", run->engine->server->entry.id);
	record_int(&record, "events", made->last_event);
	record_text(&record, "reason", "started_over");
	record_end(&record);
	item_text_reset(made);
	run->engine->starts_over = 1;
}

/* Returns -1 where the stream cannot be this item's. */
static int take_event(struct item_run *run, const struct server_event *event)
{
	struct item_text *made = &run->item->made;

	if (event->id < 0)
		return 0; /* a comment */
	if (starts_over(run, event))
		drop_text(run);
	if (event->id <= made->last_event)
		return 0;
	/* Events are numbered without a gap; the first one is 1 or 0. */
	if (event->id != made->last_event + 1 &&
	    (made->last_event >= 0 || event->id != 1))
		return -1;
	take_version(run, event->weight_version);
	run->unfit = !version_fits(run);
	if (run->unfit)
		return -1;
	run->event_count++;
	learn_event(run, reactor_now_ns(run->reactor));
	return item_text_add(made, event->id, event->data.buf, event->data.len,
			     run->version);
}

static int on_event(void *arg, const char *text, size_t len)
{
	struct server_event event;
	int result;

	strbuf_init(&event.data);
	result = platform_read_event(text, len, &event) ||
				 take_event(arg, &event)
			 ? -1
			 : 0;
	strbuf_finish(&event.data);
	return result;
}

static int on_body(struct net_call *net, const char *data, size_t len)
{
	struct item_run *run = run_of(net);

	if (run->answer.status != 200)
		return 0;
	return event_splitter_feed(&run->events, data, len, on_event, run);
}

static enum item_run_end judge(const struct item_run *run,
			       enum net_outcome outcome)
{
	if (run->unfit)
		return ITEM_RUN_UNFIT;
	if (outcome == NET_NOT_SENT)
		return ITEM_RUN_NOT_RUN;
	if (outcome != NET_ANSWERED)
		return ITEM_RUN_CUT;
	if (run->answer.not_run)
		return ITEM_RUN_NOT_RUN;
	if (run->answer.status == 422)
		return ITEM_RUN_REJECTED;
	if (run->answer.status != 200)
		return ITEM_RUN_FAILED;
	if (!event_splitter_is_between(&run->events) ||
	    run->item->made.last_event < 0)
		return ITEM_RUN_CUT;
	return ITEM_RUN_COMPLETE;
}

static void on_done(struct net_call *net, enum net_outcome outcome)
{
	struct item_run *run = run_of(net);
	struct item_run_owner *owner = run->owner;
	enum item_run_end end = judge(run, outcome);

	if (end == ITEM_RUN_COMPLETE)
		run->item->made.complete = 1;
	owner->ended(owner, run, end);
	free_run(run);
}

static const struct net_call_vtable run_vtable = { on_head, on_body, on_done };

static void write_head(struct item_run *run, const struct item_run_start *start)
{
	const struct batch *batch = batch_of(run);
	const Currant__Topic__BatchItem *spec = run->item->spec;
	struct server_request request = {
		.time_left_ms = -1,
		.server_id = run->engine->server->entry.id,
		.team = *start->team ? start->team : NULL,
		.priority = start->priority,
		.last_event_id = run->item->made.last_event,
	};

	platform_write_item_request(&run->head, batch->host, spec->path,
				    spec->id, spec->fields, &request,
				    spec->body.len);
}

struct item_run *item_run_start(struct item_run_owner *owner,
				struct run_item *item,
				struct engine_state *engine,
				const struct item_run_start *start)
{
	struct item_run *run = xcalloc(1, sizeof(*run));

	run->owner = owner;
	run->item = item;
	run->engine = engine;
	run->reactor = start->reactor;
	run->model = xstrdup(start->model);
	run->memory_tokens = start->memory_tokens;
	run->began_ns = reactor_now_ns(start->reactor);
	run->event_ns = run->began_ns;
	strbuf_init(&run->head);
	event_splitter_init(&run->events);
	run->next = owner->runs;
	run->at = &owner->runs;
	if (run->next)
		run->next->at = &run->next;
	owner->runs = run;
	circuit_begin_last_resort(&engine->server->circuit, run->began_ns);
	engine->running++;
	engine->memory_tokens += run->memory_tokens;
	engine->server->running++;
	item->run = run;
	item->runs++;
	write_head(run, start);
	run->net.vt = &run_vtable;
	run->net.address = engine->server->entry.address;
	run->net.head = run->head.buf;
	run->net.head_len = run->head.len;
	run->net.body = item->spec->body.data;
	run->net.body_len = item->spec->body.len;
	net_call_start(start->pool, &run->net);
	return run;
}

void item_run_cancel(struct item_run *run)
{
	circuit_withdrawn(&run->engine->server->circuit,
			  reactor_now_ns(run->reactor));
	net_call_cancel(&run->net);
	free_run(run);
}
