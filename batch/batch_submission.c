#include "batch/batch_submission.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/items_store.h"
#include "batch/submission_check.h"
#include "entry/answers.h"
#include "platform/batch_codec.h"

/*
 * How long a caller waits for the store: longer than a slow store takes to
 * answer, shorter than callers wait for an answer to a submission.
 */
#define STORE_TIMEOUT_NS (3 * NS_PER_S)
/* Retry-after sent to callers when the store fails to store a batch. */
#define STORE_RETRY_NS (300 * NS_PER_MS)

struct batch_submission {
	struct net_request_owner owner;
	struct batch_api *api;
	struct net_request *request; /* NULL: caller answered or disconnected */
	struct batch_partition *partition;
	struct batch_draft draft;
	uint64_t draft_bytes; /* its share of the API's draft_bytes */
	struct items_store items;
	struct batch_acceptance acceptance; /* points to the next four */
	char *batch;
	char *team;
	char *host;
	char *path;
	struct batch_write *write; /* of the acceptance */
	struct timer timer;
	struct batch_submission *next;
	struct batch_submission **pprev;
};

static void free_submission(struct batch_submission *submission)
{
	timer_unsubscribe(&submission->api->reactor->timers,
			  &submission->timer);
	*submission->pprev = submission->next;
	if (submission->next)
		submission->next->pprev = submission->pprev;
	submission->api->draft_bytes -= submission->draft_bytes;
	items_store_finish(&submission->items);
	batch_draft_finish(&submission->draft);
	free(submission->batch);
	free(submission->team);
	free(submission->host);
	free(submission->path);
	free(submission);
}

static int64_t elapsed_ns(struct batch_api *api,
			  const struct net_request *request)
{
	return reactor_now_ns(api->reactor) - request->began_ns;
}

static void answer_accepted(struct batch_api *api, struct net_request *request,
			    const char *batch,
			    const struct batch_partition *partition,
			    uint32_t items, const char *reason)
{
	int64_t took_ns = elapsed_ns(api, request);
	struct record record;

	histogram_add(&api->accept_duration, took_ns);
	record_begin(&record, api->log, "batch", "accepted");
	record_text(&record, "id", batch);
	record_text(&record, "reason", reason);
	record_int(&record, "partition", partition->number);
	record_int(&record, "items", items);
	record_ms(&record, "took_ms", took_ns);
	record_end(&record);
	answer_json_text(request, 202, "{}", 2);
}

static void refuse_store(struct batch_submission *submission)
{
	struct refusal refusal = {
		.status = 503,
		.type = "store_unavailable",
		.detail = "the batch could not be stored",
		.retry_after_ns = STORE_RETRY_NS,
	};

	batch_submission_refuse(submission->api, submission->request,
				submission->batch, &refusal);
}

static void refuse_too_large(struct batch_submission *submission)
{
	struct refusal refusal = {
		.status = 413,
		.type = "batch_too_large",
		.detail = "the batch or an item is larger than the store takes",
		.retry_after_ns = -1,
	};

	batch_submission_refuse(submission->api, submission->request,
				submission->batch, &refusal);
}

/* Permanent error: the id belongs to a batch of another team. */
static void refuse_other_team_id(struct batch_api *api,
				 struct net_request *request, const char *batch)
{
	struct refusal refusal = {
		.status = 409,
		.type = "id_in_use",
		.detail = "a batch of another team has this id",
		.retry_after_ns = -1,
	};

	batch_submission_refuse(api, request, batch, &refusal);
}

/*
 * Whether the id belongs to a batch of another team; if several submissions
 * use an id, the first one in the log gets it.
 */
static int has_other_team_id(struct batch_api *api, const char *batch,
			     const char *team)
{
	struct batch_partition *partition;
	const struct batch *known = batch_set_find(api->set, batch, &partition);

	return known && strcmp(known->team, team) != 0;
}

static void on_accepted(struct batch_write *write,
			enum topic_write_outcome outcome)
{
	struct batch_submission *submission = write->arg;
	struct batch_api *api = submission->api;
	struct net_request *request = submission->request;

	batch_write_free(write);
	submission->write = NULL;
	if (outcome != TOPIC_WRITE_REFUSED)
		counter_add(api->accepted, 1);
	if (request && outcome == TOPIC_WRITE_REFUSED)
		refuse_store(submission);
	else if (request &&
		 has_other_team_id(api, submission->batch, submission->team))
		refuse_other_team_id(api, request, submission->batch);
	else if (request)
		answer_accepted(api, request, submission->batch,
				submission->partition,
				submission->draft.item_count, "stored");
	free_submission(submission);
}

/* Once this is sent, the batch may run even if the caller gets an error. */
static void write_acceptance(struct batch_submission *submission)
{
	struct batch_write *write = batch_write_new(submission->partition, 0,
						    on_accepted, submission);

	write->base.record_count = 1;
	if (batch_record_add_accepted(
		    &write->base.records, &submission->draft,
		    &submission->acceptance,
		    submission->api->store->max_record_bytes)) {
		batch_write_free(write);
		refuse_too_large(submission);
		free_submission(submission);
		return;
	}
	submission->write = write;
	batch_write_start(write);
}

/* The items are stored, but none runs before the acceptance is written. */
static void on_items_stored(struct items_store *items,
			    enum items_store_outcome outcome)
{
	struct batch_submission *submission = items->arg;

	if (submission->request && outcome == ITEMS_STORED) {
		submission->acceptance.items = items->position;
		write_acceptance(submission);
		return;
	}
	if (submission->request && outcome == ITEMS_TOO_LARGE)
		refuse_too_large(submission);
	else if (submission->request)
		refuse_store(submission);
	free_submission(submission);
}

/* Returns 0 if a call is in flight, after which done() will be called. */
static int cancel_write(struct batch_submission *submission)
{
	if (!submission->write)
		return items_store_cancel(&submission->items);
	if (!batch_write_cancel(submission->write))
		return 0;
	batch_write_free(submission->write);
	return 1;
}

/* The store did not answer within the caller's time-out. */
static void on_timeout(void *arg, int64_t now_ns)
{
	struct batch_submission *submission = arg;
	int was_cancelled = cancel_write(submission);
	int is_accepting = submission->write != NULL;
	struct refusal refusal = {
		.status = 504,
		.type = "outcome_unknown",
		.detail = "the store did not say whether it holds the batch",
		.ran = RAN_UNKNOWN,
		.retry_after_ns = STORE_RETRY_NS,
	};

	(void)now_ns;
	if (was_cancelled || !is_accepting)
		refuse_store(submission);
	else
		batch_submission_refuse(submission->api, submission->request,
					submission->batch, &refusal);
	submission->request = NULL;
	if (was_cancelled)
		free_submission(submission);
	/* Else the write stays in flight without a caller. */
}

static void on_disconnect(struct net_request_owner *owner)
{
	struct batch_submission *submission = (struct batch_submission *)owner;

	submission->request = NULL;
	timer_unsubscribe(&submission->api->reactor->timers,
			  &submission->timer);
	if (cancel_write(submission))
		free_submission(submission);
}

static const struct net_request_owner_vtable owner_vtable = { on_disconnect,
							      NULL };

static int64_t store_timeout_ns(const struct caller_request *caller)
{
	if (caller->time_left_ms >= 0 &&
	    caller->time_left_ms * NS_PER_MS < STORE_TIMEOUT_NS)
		return caller->time_left_ms * NS_PER_MS;
	return STORE_TIMEOUT_NS;
}

static void fill_acceptance(struct batch_submission *submission,
			    const struct entry_route *route)
{
	struct batch_acceptance *acceptance = &submission->acceptance;

	acceptance->batch = submission->batch;
	acceptance->accepted_ms =
		clock_wall_ms(&submission->api->reactor->clock);
	acceptance->team = submission->team;
	acceptance->host = submission->host;
	acceptance->path = submission->path;
	acceptance->due_ms = route->due_ms;
	acceptance->retention_ms = route->retention_ms;
	acceptance->max_attempts = route->max_attempts;
	acceptance->single_version = route->single_version;
	acceptance->config_version = submission->api->config->current->version;
	acceptance->by_host = submission->api->host;
	acceptance->by_incarnation = submission->api->incarnation;
}

/* The model of the batch, or else of its first item; "": neither has one. */
static const char *draft_model(const struct batch_draft *draft)
{
	return *draft->model ? draft->model : draft->items[0].model;
}

/* Takes ownership of the contents of `draft`. */
static struct batch_submission *
new_submission(struct batch_api *api, struct net_request *request,
	       const struct caller_request *caller,
	       const struct entry_route *route, const struct entry_team *team,
	       const struct batch_draft *draft)
{
	struct batch_submission *submission = xcalloc(1, sizeof(*submission));

	submission->owner.vt = &owner_vtable;
	submission->api = api;
	submission->request = request;
	submission->partition = batch_set_choose_partition(
		api->set, draft_model(draft), caller->id);
	submission->draft = *draft;
	submission->batch = xstrdup(caller->id);
	submission->team = xstrdup(team ? team->name : "");
	submission->host = xstrdup(caller->host ? caller->host : "");
	submission->path = xstrdup(http_head_target(request->head));
	fill_acceptance(submission, route);
	submission->next = api->submissions;
	submission->pprev = &api->submissions;
	if (submission->next)
		submission->next->pprev = &submission->next;
	api->submissions = submission;
	request->owner = &submission->owner;
	return submission;
}

/*
 * Answers the request and returns 1 if the id is in use already, by a batch
 * that this or another daemon accepted.
 */
static int answer_if_known(struct batch_api *api, struct net_request *request,
			   const char *batch, const char *team)
{
	struct batch_partition *partition;
	const struct batch *known = batch_set_find(api->set, batch, &partition);

	if (!known)
		return 0;
	if (strcmp(known->team, team) != 0) {
		refuse_other_team_id(api, request, batch);
		return 1;
	}
	counter_add(api->repeated, 1);
	answer_accepted(api, request, batch, partition, known->item_count,
			"repeated");
	return 1;
}

void batch_submission_start(struct batch_api *api, struct net_request *request,
			    const struct caller_request *caller,
			    const struct entry_route *route,
			    const struct entry_team *team)
{
	struct refusal no_id = {
		.status = 400,
		.type = "no_id",
		.detail = "the batch names no id",
		.retry_after_ns = -1,
	};
	struct batch_submission *submission;
	struct batch_draft draft;
	uint64_t draft_bytes;

	if (!caller->id || !*caller->id) {
		batch_submission_refuse(api, request, NULL, &no_id);
		return;
	}
	if (answer_if_known(api, request, caller->id, team ? team->name : "") ||
	    batch_submission_reject_for_memory(api, request, caller->id,
					       &draft_bytes) ||
	    batch_submission_decode(api, request, caller->id, &draft))
		return;
	net_request_discard_body(request);
	submission = new_submission(api, request, caller, route, team, &draft);
	submission->draft_bytes = draft_bytes;
	api->draft_bytes += draft_bytes;
	timer_subscribe_once(&api->reactor->timers, &submission->timer,
			     store_timeout_ns(caller), on_timeout, submission);
	items_store_start(&submission->items, submission->partition, api->store,
			  submission->batch, &submission->draft,
			  on_items_stored, submission);
}

void batch_submissions_answer_all(struct batch_api *api)
{
	struct batch_submission *submission = api->submissions;

	while (submission) {
		struct batch_submission *next = submission->next;

		if (submission->request) {
			timer_unsubscribe(&api->reactor->timers,
					  &submission->timer);
			on_timeout(submission, 0);
		}
		submission = next;
	}
}

void batch_submissions_finish(struct batch_api *api)
{
	struct batch_submission *submission = api->submissions;

	while (submission) {
		struct batch_submission *next = submission->next;

		if (submission->request)
			net_request_abort(submission->request);
		free_submission(submission);
		submission = next;
	}
}
