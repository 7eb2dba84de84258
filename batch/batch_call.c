#include "batch/batch_call.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "batch/items_load.h"
#include "batch/results_load.h"
#include "entry/answers.h"
#include "platform/batch_codec.h"

/* Retry-after sent to callers when the store cannot be read or written. */
#define STORE_RETRY_NS (300 * NS_PER_MS)
/* Upper limit of the wait that a caller requests for new results. */
#define LONG_POLL_MAX_NS (30 * NS_PER_S)
/* How long a caller waits for the store to confirm the end of a batch. */
#define STORE_TIMEOUT_NS (3 * NS_PER_S)

/* Refresh of one partition on behalf of a call. */
struct call_refresh {
	struct topic_refresh base;
	struct batch_call *call;
	struct batch_partition *partition;
	int running;
};

struct batch_call {
	struct net_request_owner owner;
	struct batch_api *api;
	struct net_request *request; /* NULL: caller answered or disconnected */
	struct caller_call operation;
	char *team; /* "": none */
	int64_t poll_deadline_ns; /* a read waits for results until then */
	struct call_refresh *refreshes;
	uint32_t refresh_count;
	uint32_t pending_refreshes;
	int refresh_failed;
	struct timer timer;
	/* Partition that a waiting read listens to; NULL: none. */
	struct batch_partition *watched;
	struct batch_table_listener listener;
	struct results_load results;
	int loading_results;
	/* The submitted items, to return the body of one. */
	struct items_load items;
	int loading_items;
	/* Write of the batch's end record while it is in flight. */
	struct batch_write *write;
	struct batch_call *next;
	struct batch_call **pprev;
};

static void stop_watching(struct batch_call *call)
{
	if (!call->watched)
		return;
	batch_table_remove_listener(&call->watched->table, &call->listener);
	topic_follower_watch_unref(&call->watched->follower);
	call->watched = NULL;
}

static void free_call(struct batch_call *call)
{
	timer_unsubscribe(&call->api->reactor->timers, &call->timer);
	stop_watching(call);
	for (uint32_t i = 0; i < call->refresh_count; i++)
		if (call->refreshes[i].running)
			topic_follower_cancel_refresh(
				&call->refreshes[i].partition->follower,
				&call->refreshes[i].base);
	if (call->loading_results)
		results_load_finish(&call->results);
	if (call->loading_items)
		items_load_finish(&call->items);
	*call->pprev = call->next;
	if (call->next)
		call->next->pprev = call->pprev;
	free(call->refreshes);
	free(call->team);
	free(call);
}

static const char *call_name(const struct batch_call *call)
{
	switch (call->operation.kind) {
	case CALL_BATCH_READ:
		return "read";
	case CALL_BATCH_END:
		return "end";
	default:
		return "item";
	}
}

static void log_call(const struct batch_call *call, uint16_t status,
		     const char *reason, int64_t results)
{
	struct batch_api *api = call->api;
	struct record record;

	record_begin(&record, api->log, "batch", call_name(call));
	record_text(&record, "id", call->operation.batch);
	if (call->operation.kind == CALL_ITEM_BODY)
		record_text(&record, "item", call->operation.item);
	if (call->operation.kind == CALL_BATCH_READ)
		record_int(&record, "after", call->operation.after);
	record_int(&record, "status", status);
	record_text(&record, "reason", reason);
	if (results >= 0)
		record_int(&record, "results", results);
	record_ms(&record, "took_ms",
		  reactor_now_ns(api->reactor) - call->request->began_ns);
	record_end(&record);
}

static void refuse(struct batch_call *call, uint16_t status, const char *type,
		   const char *detail, int64_t retry_after_ns)
{
	struct refusal refusal = {
		.status = status,
		.type = type,
		.detail = detail,
		.ran = status == 504 ? RAN_UNKNOWN : RAN_NOT,
		.retry_after_ns = retry_after_ns,
	};
	struct net_request *request = call->request;

	log_call(call, status, type, -1);
	free_call(call);
	answer_refusal(request, &refusal);
}

static void refuse_store(struct batch_call *call)
{
	refuse(call, 503, "store_unavailable", "the store could not be read",
	       STORE_RETRY_NS);
}

static void refuse_unknown_batch(struct batch_call *call)
{
	if (call->refresh_failed)
		refuse_store(call);
	else
		refuse(call, 404, "no_batch", "no such batch is known", -1);
}

/* Treats a batch of another team as one that does not exist. */
static struct batch *find_team_batch(struct batch_call *call,
				     struct batch_partition **partition)
{
	struct batch *batch = batch_set_find(call->api->set,
					     call->operation.batch, partition);

	if (batch && !strcmp(batch->team, call->team))
		return batch;
	return NULL;
}

static void fill_view(const struct batch *batch, uint32_t position,
		      const struct result_text *text,
		      struct batch_result_view *view)
{
	const struct batch_item *item =
		&batch->items[batch->result_items[position]];
	const struct version_set *set = batch_item_versions(batch, item);

	memset(view, 0, sizeof(*view));
	view->id = item->id;
	view->is_complete = item->state == BATCH_ITEM_COMPLETE;
	view->text = "";
	view->versions = set->versions;
	view->version_count = set->count;
	if (!text->record ||
	    text->record->kind_case != CURRANT__TOPIC__TEXT_RECORD__KIND_TEXT)
		return;
	/* Decoding leaves a text without bytes at NULL. */
	if (text->record->text->text.len)
		view->text = (const char *)text->record->text->text.data;
	view->text_len = text->record->text->text.len;
	view->score = text->record->text->score;
}

/*
 * Serializes the first `count` results. Returns the number of those whose text
 * cannot be returned, or -1 if the answer cannot be encoded.
 */
static int write_results(const struct batch_call *call,
			 const struct batch *batch, uint32_t count,
			 struct strbuf *body)
{
	struct batch_result_view *views = xcalloc(count + 1, sizeof(*views));
	uint32_t after = call->operation.after;
	int result;

	for (uint32_t i = 0; i < count; i++)
		fill_view(batch, after + i, &call->results.texts[i], &views[i]);
	result = platform_batch_write_results(body, batch->item_count, after,
					      views, count);
	free(views);
	return result;
}

static void answer_results(struct batch_call *call, const struct batch *batch)
{
	struct net_request *request = call->request;
	uint32_t count = results_load_ready(&call->results);
	struct strbuf body;
	int unreadable;

	if (!count && call->results.count) {
		refuse_store(call);
		return;
	}
	strbuf_init(&body);
	unreadable = write_results(call, batch, count, &body);
	if (unreadable < 0) {
		refuse(call, 500, "internal", "a result cannot be written", -1);
	} else {
		log_call(call, 200, unreadable ? "text_not_utf8" : NULL, count);
		free_call(call);
		answer_json_text(request, 200, body.buf, body.len);
	}
	strbuf_finish(&body);
}

static void on_results(struct results_load *load)
{
	struct batch_call *call = load->arg;
	struct batch_partition *partition;
	const struct batch *batch = find_team_batch(call, &partition);

	if (batch)
		answer_results(call, batch);
	else
		refuse_unknown_batch(call);
}

/* Loads and answers the results after the caller's position. */
static void read_results(struct batch_call *call)
{
	struct batch_partition *partition;
	struct batch *batch = find_team_batch(call, &partition);

	if (!batch) {
		refuse_unknown_batch(call);
		return;
	}
	call->loading_results = 1;
	results_load_start(&call->results, call->api->store, partition, batch,
			   call->operation.after, on_results, call);
	if (!results_load_is_running(&call->results))
		answer_results(call, batch);
}

static struct batch_call *call_of(struct batch_table_listener *listener)
{
	return container_of(listener, struct batch_call, listener);
}

static void on_read_due(void *arg, int64_t now_ns)
{
	struct batch_call *call = arg;

	(void)now_ns;
	stop_watching(call);
	read_results(call);
}

/* Defers the read to the loop: the table is still applying records. */
static void schedule_read(struct batch_call *call)
{
	timer_subscribe_once(&call->api->reactor->timers, &call->timer, 0,
			     on_read_due, call);
}

static void on_result_added(struct batch_table_listener *listener,
			    struct batch *batch, uint32_t item)
{
	struct batch_call *call = call_of(listener);

	(void)item;
	if (!strcmp(batch->id, call->operation.batch))
		schedule_read(call);
}

static void on_ended(struct batch_table_listener *listener, struct batch *batch)
{
	on_result_added(listener, batch, 0);
}

static void wait_for_results(struct batch_call *call,
			     struct batch_partition *partition)
{
	int64_t now_ns = reactor_now_ns(call->api->reactor);

	call->watched = partition;
	call->listener.result_added = on_result_added;
	call->listener.ended = on_ended;
	batch_table_add_listener(&partition->table, &call->listener);
	topic_follower_watch_ref(&partition->follower);
	timer_subscribe_once(&call->api->reactor->timers, &call->timer,
			     call->poll_deadline_ns - now_ns, on_read_due,
			     call);
}

static void start_read(struct batch_call *call, struct batch *batch,
		       struct batch_partition *partition)
{
	int64_t now_ns = reactor_now_ns(call->api->reactor);

	if (call->operation.after >= batch->result_count &&
	    !batch_is_done(batch) && now_ns < call->poll_deadline_ns)
		wait_for_results(call, partition);
	else
		read_results(call);
}

static void on_items(struct items_load *load, int ok)
{
	struct batch_call *call = load->arg;
	struct batch_partition *partition;
	const struct batch *batch = find_team_batch(call, &partition);
	const struct batch_item *item =
		batch ? batch_find_item(batch, call->operation.item) : NULL;
	struct net_answer answer = {
		.status = 200,
		.fields = "Content-Type: application/octet-stream\r\n",
	};
	const Currant__Topic__BatchItem *spec;
	struct net_request *request = call->request;

	if (!ok || !item) {
		refuse_store(call);
		return;
	}
	spec = load->items[item - batch->items];
	answer.body = spec->body.data;
	answer.body_len = spec->body.len;
	log_call(call, 200, NULL, -1);
	net_request_answer(request, &answer);
	free_call(call);
}

static void answer_item(struct batch_call *call, struct batch *batch,
			struct batch_partition *partition)
{
	const struct batch_item *item =
		batch_find_item(batch, call->operation.item);

	if (!item || batch->ended || item->state != BATCH_ITEM_OPEN) {
		refuse(call, 404, "no_item",
		       "the batch has no such item that is not listed", -1);
		return;
	}
	call->loading_items = 1;
	items_load_start(&call->items, call->api->store, partition, batch,
			 on_items, call);
}

static void answer_ended(struct batch_call *call, const char *reason)
{
	struct net_request *request = call->request;

	log_call(call, 200, reason, -1);
	free_call(call);
	answer_json_text(request, 200, "{}", 2);
}

static void on_end_written(struct batch_write *write,
			   enum topic_write_outcome outcome)
{
	struct batch_call *call = write->arg;

	batch_write_free(write);
	call->write = NULL;
	if (!call->request)
		free_call(call);
	else if (outcome == TOPIC_WRITE_REFUSED)
		refuse(call, 503, "store_unavailable",
		       "the end of the batch could not be stored",
		       STORE_RETRY_NS);
	else
		answer_ended(call, "stored");
}

static void on_end_timeout(void *arg, int64_t now_ns)
{
	struct batch_call *call = arg;
	struct refusal refusal = {
		.status = 504,
		.type = "outcome_unknown",
		.detail = "the store did not say whether the batch has ended",
		.ran = RAN_UNKNOWN,
		.retry_after_ns = STORE_RETRY_NS,
	};

	(void)now_ns;
	if (batch_write_cancel(call->write)) {
		batch_write_free(call->write);
		call->write = NULL;
		refuse(call, 503, "store_unavailable",
		       "the end of the batch could not be stored",
		       STORE_RETRY_NS);
		return;
	}
	log_call(call, refusal.status, refusal.type, -1);
	answer_refusal(call->request, &refusal);
	call->request = NULL; /* the write stays in flight */
}

static void write_end(struct batch_call *call, const struct batch *batch,
		      struct batch_partition *partition)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__BatchEnd end = CURRANT__TOPIC__BATCH_END__INIT;

	end.batch = (char *)batch->id;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_END;
	record.end = &end;
	call->write = batch_write_new(partition, 0, on_end_written, call);
	batch_write_add(call->write, &record);
	timer_subscribe_once(&call->api->reactor->timers, &call->timer,
			     STORE_TIMEOUT_NS, on_end_timeout, call);
	batch_write_start(call->write);
}

/*
 * The partitions were refreshed: all records that the log held when the call
 * arrived are applied, unless `refresh_failed` is set.
 */
static void on_refreshed(struct batch_call *call)
{
	struct batch_partition *partition;
	struct batch *batch = find_team_batch(call, &partition);

	if (!batch) {
		refuse_unknown_batch(call);
		return;
	}
	switch (call->operation.kind) {
	case CALL_BATCH_READ:
		start_read(call, batch, partition);
		break;
	case CALL_BATCH_END:
		if (batch->ended)
			answer_ended(call, "ended_before");
		else
			write_end(call, batch, partition);
		break;
	default:
		answer_item(call, batch, partition);
		break;
	}
}

static void on_refresh_done(struct topic_refresh *base, int ok)
{
	struct call_refresh *refresh = base->arg;
	struct batch_call *call = refresh->call;

	refresh->running = 0;
	if (!ok)
		call->refresh_failed = 1;
	if (!--call->pending_refreshes)
		on_refreshed(call);
}

/* Refreshes the partition of a known batch, or all if it is not known. */
static void start_refresh(struct batch_call *call)
{
	struct batch_set *set = call->api->set;
	struct batch_partition *partition = NULL;
	int is_known = batch_set_find(set, call->operation.batch, &partition) !=
		       NULL;

	call->refresh_count = is_known ? 1 : set->count;
	call->pending_refreshes = call->refresh_count;
	call->refreshes =
		xcalloc(call->refresh_count, sizeof(*call->refreshes));
	for (uint32_t i = 0; i < call->refresh_count; i++) {
		struct call_refresh *refresh = &call->refreshes[i];

		refresh->call = call;
		refresh->partition = is_known ? partition : &set->partitions[i];
		refresh->running = 1;
		refresh->base.done = on_refresh_done;
		refresh->base.arg = refresh;
		topic_follower_refresh(&refresh->partition->follower,
				       &refresh->base);
	}
}

static void on_disconnect(struct net_request_owner *owner)
{
	struct batch_call *call = (struct batch_call *)owner;

	call->request = NULL;
	if (!call->write) {
		free_call(call);
		return;
	}
	/* The write is not cancelled: the end may be stored without a caller.
	 */
	timer_unsubscribe(&call->api->reactor->timers, &call->timer);
}

static const struct net_request_owner_vtable owner_vtable = { on_disconnect,
							      NULL };

void batch_call_start(struct batch_api *api, struct net_request *request,
		      const struct caller_request *caller,
		      const struct caller_call *operation,
		      const struct entry_team *team)
{
	struct batch_call *call = xcalloc(1, sizeof(*call));
	int64_t poll_ns = caller->wait_ms * NS_PER_MS;

	if (poll_ns > LONG_POLL_MAX_NS)
		poll_ns = LONG_POLL_MAX_NS;
	call->owner.vt = &owner_vtable;
	call->api = api;
	call->request = request;
	call->operation = *operation;
	call->team = xstrdup(team ? team->name : "");
	call->poll_deadline_ns = request->received_ns + poll_ns;
	call->next = api->calls;
	call->pprev = &api->calls;
	if (call->next)
		call->next->pprev = &call->next;
	api->calls = call;
	request->owner = &call->owner;
	counter_add(api->reads, 1);
	start_refresh(call);
}

void batch_calls_answer_waiting(struct batch_api *api)
{
	struct batch_call *call = api->calls;

	while (call) {
		struct batch_call *next = call->next;

		if (call->watched) {
			timer_unsubscribe(&api->reactor->timers, &call->timer);
			on_read_due(call, 0);
		}
		call = next;
	}
}

void batch_calls_answer_all(struct batch_api *api)
{
	struct batch_call *call;
	struct batch_call *next;

	batch_calls_answer_waiting(api);
	for (call = api->calls; call; call = next) {
		next = call->next;
		if (!call->request)
			continue;
		timer_unsubscribe(&api->reactor->timers, &call->timer);
		if (call->write)
			on_end_timeout(call, 0);
		else
			refuse(call, 503, HOST_LEAVING, HOST_LEAVING_DETAIL,
			       HOST_LEAVING_RETRY_NS);
	}
}

void batch_calls_finish(struct batch_api *api)
{
	struct batch_call *call = api->calls;

	while (call) {
		struct batch_call *next = call->next;

		if (call->request)
			net_request_abort(call->request);
		free_call(call);
		call = next;
	}
}
