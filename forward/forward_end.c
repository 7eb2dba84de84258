#include <stdlib.h>

#include "entry/answers.h"
#include "forward/forward_private.h"

void forward_free(struct forward *forward)
{
	struct timer_service *timers = &forward->forwarder->reactor->timers;

	timer_unsubscribe(timers, &forward->deadline_timer);
	timer_unsubscribe(timers, &forward->hedge_timer);
	while (forward->attempts)
		forward_attempt_cancel(forward->attempts);
	*forward->link = forward->next;
	if (forward->next)
		forward->next->link = forward->link;
	forward->forwarder->running--;
	entry_config_unref(forward->config);
	free(forward);
}

int64_t forward_now_ns(const struct forward *forward)
{
	return reactor_now_ns(forward->forwarder->reactor);
}

void forward_log_answer(const struct forward *forward, const char *event,
			uint16_t status, const char *reason)
{
	struct forwarder *forwarder = forward->forwarder;
	int64_t took_ns = forward_now_ns(forward) - forward->request->began_ns;
	struct record record;

	histogram_add(&forwarder->duration, took_ns);
	record_begin(&record, forwarder->log, "forward", event);
	record_text(&record, "id", forward->caller.id);
	record_text(&record, "route", forward->route->name);
	record_int(&record, "status", status);
	record_text(&record, "reason", reason);
	record_int(&record, "tries", forward->sent);
	record_int(&record, "may_have_run", forward->may_have_run);
	record_ms(&record, "took_ms", took_ns);
	record_end(&record);
}

/* Rejects the request, or aborts a started response; frees the forward. */
static void refuse(struct forward *forward, const struct refusal *refusal)
{
	struct net_request *request = forward->request;
	struct forwarder *forwarder = forward->forwarder;

	forward_log_answer(forward, "given_up", refusal->status, refusal->type);
	counter_add(refusal->ran == RAN_NOT ? forwarder->refused
					    : forwarder->unknown,
		    1);
	if (forward->response_started) {
		forward_free(forward);
		net_request_abort(request);
		return;
	}
	forward_free(forward);
	answer_refusal(request, refusal);
}

void forward_refuse_not_run(struct forward *forward, const char *type,
			    const char *detail, int64_t retry_after_ns)
{
	struct refusal refusal = {
		.status = 503,
		.type = type,
		.detail = detail,
		.ran = RAN_NOT,
		.retry_after_ns = retry_after_ns,
	};

	refuse(forward, &refusal);
}

void forward_refuse_unknown(struct forward *forward, uint16_t status,
			    const char *type, const char *detail)
{
	struct refusal refusal = {
		.status = status,
		.type = type,
		.detail = detail,
		.ran = RAN_UNKNOWN,
		.retry_after_ns = -1,
	};

	refuse(forward, &refusal);
}
