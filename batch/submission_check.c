#include "batch/submission_check.h"

#include <inttypes.h>

#include "batch/batch_partition.h"
#include "platform/batch_codec.h"

/* Retry-after sent to callers while other submissions use the memory. */
#define MEMORY_RETRY_NS (300 * NS_PER_MS)
/* Of the records of one call: of the write, the writer and the connection. */
#define CALL_COPIES 3

static void log_malformed(struct batch_api *api, const char *batch,
			  const char *reason)
{
	struct record record;

	record_begin(&record, api->log, "batch", "malformed");
	record_text(&record, "id", batch);
	record_text(&record, "reason", reason);
	record_end(&record);
}

void batch_submission_refuse(struct batch_api *api, struct net_request *request,
			     const char *batch, const struct refusal *refusal)
{
	struct record record;

	counter_add(refusal->ran == RAN_NOT ? api->refused : api->unknown, 1);
	record_begin(&record, api->log, "batch", "refused");
	record_text(&record, "id", batch);
	record_int(&record, "status", refusal->status);
	record_text(&record, "reason", refusal->type);
	record_int(&record, "may_have_run", refusal->ran != RAN_NOT);
	record_ms(&record, "retry_after_ms", refusal->retry_after_ns);
	record_ms(&record, "took_ms",
		  reactor_now_ns(api->reactor) - request->began_ns);
	record_end(&record);
	answer_refusal(request, refusal);
}

static int refuse_draft(struct batch_api *api, struct net_request *request,
			const char *batch, uint16_t status, const char *type,
			const struct error *err)
{
	struct refusal refusal = {
		.status = status,
		.type = type,
		.detail = err->text,
		.retry_after_ns = -1,
	};

	log_malformed(api, batch, err->text);
	batch_submission_refuse(api, request, batch, &refusal);
	return -1;
}

/* Rejects items whose reward call matches no route. */
static int check_rewards(const struct batch_api *api,
			 const struct batch_draft *draft, struct error *err)
{
	for (uint32_t i = 0; i < draft->item_count; i++) {
		const struct draft_item *item = &draft->items[i];
		const struct draft_reward *reward = &item->reward;

		if (reward->id &&
		    !entry_config_route(api->config->current, reward->host,
					reward->path))
			return error_set(err, ERROR_NOT_FOUND,
					 "no route has the host and path of "
					 "'scorer' of item '%s'",
					 item->id);
	}
	return 0;
}

int batch_submission_decode(struct batch_api *api, struct net_request *request,
			    const char *batch, struct batch_draft *draft)
{
	const struct refusal behind = {
		.status = 503,
		.type = CONFIG_BEHIND,
		.detail = CONFIG_BEHIND_DETAIL,
		.retry_after_ns = CONFIG_BEHIND_RETRY_NS,
	};
	struct error err = ERROR_INIT;

	if (platform_batch_decode(request->body.buf, request->body.len, draft,
				  &err))
		return refuse_draft(api, request, batch, 400, "malformed_batch",
				    &err);
	if (!check_rewards(api, draft, &err))
		return 0;
	batch_draft_finish(draft);
	if (config_holder_is_behind(api->config)) {
		batch_submission_refuse(api, request, batch, &behind);
		return -1;
	}
	return refuse_draft(api, request, batch, 404, "no_reward_route", &err);
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

int batch_submission_reject_for_memory(struct batch_api *api,
				       struct net_request *request,
				       const char *batch, uint64_t *draft_bytes)
{
	struct error err = ERROR_INIT;
	struct refusal refusal = {
		.status = 503,
		.type = "batch_memory",
		.retry_after_ns = MEMORY_RETRY_NS,
	};

	*draft_bytes = platform_batch_draft_bytes(request->body.buf,
						  request->body.len) +
		       CALL_COPIES * min_u64(request->body.len,
					     api->store->max_append_bytes);
	if (!api->max_draft_bytes ||
	    api->draft_bytes + *draft_bytes <= api->max_draft_bytes)
		return 0;
	error_set(&err, ERROR_INVALID,
		  "the items of the batch take about %" PRIu64
		  " bytes beside %" PRIu64
		  " in use, over the limit of %" PRIu64,
		  *draft_bytes, api->draft_bytes, api->max_draft_bytes);
	refusal.detail = err.text;
	batch_submission_refuse(api, request, batch, &refusal);
	return 1;
}
