#include "batch/reward_call.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "platform/batch_codec.h"
#include "platform/messages.h"

const char *reward_outcome_name(enum reward_outcome outcome)
{
	static const char *const names[REWARD_OUTCOMES] = {
		"scored", "not_run", "failed", "rejected", "lost"
	};

	return names[outcome];
}

static struct reward_call *call_of(struct net_call *net)
{
	return (struct reward_call *)net;
}

static const Currant__Topic__RewardRequest *
request_of(const struct reward_call *call)
{
	return call->item->spec->reward;
}

static void free_call(struct reward_call *call)
{
	timer_unsubscribe(&call->reactor->timers, &call->timer);
	call->item->reward = NULL;
	fleet_server_end(call->server);
	fleet_server_unref(call->server);
	strbuf_finish(&call->head);
	free(call->score);
	free(call);
}

static enum net_head_verdict on_head(struct net_call *net)
{
	struct reward_call *call = call_of(net);
	const char *receipt;

	platform_read_answer(net->answer, request_of(call)->id, &call->answer);
	fleet_server_apply_answer(call->server, &call->answer,
				  reactor_now_ns(call->reactor));
	if (call->answer.other_request)
		return NET_HEAD_SKIP;
	if (call->answer.status >= 300)
		return NET_HEAD_ACCEPT;
	receipt = platform_answer_receipt(net->answer);
	if (!receipt || !*receipt || strlen(receipt) > BATCH_SCORE_MAX_BYTES ||
	    !platform_batch_text_is_valid(receipt, strlen(receipt)))
		return NET_HEAD_REJECT;
	free(call->score);
	call->score = xstrdup(receipt);
	return NET_HEAD_ACCEPT;
}

/* The score is in the head; the body is ignored but must be complete. */
static int on_body(struct net_call *net, const char *data, size_t len)
{
	(void)net;
	(void)data;
	(void)len;
	return 0;
}

static enum reward_outcome call_outcome(const struct reward_call *call,
					enum net_outcome outcome)
{
	if (outcome == NET_NOT_SENT)
		return REWARD_NOT_RUN;
	if (outcome != NET_ANSWERED)
		return REWARD_LOST;
	if (call->answer.not_run)
		return REWARD_NOT_RUN;
	if (call->answer.status < 300)
		return REWARD_SCORED;
	return call->answer.status == 500 ? REWARD_FAILED : REWARD_REJECTED;
}

static void end_call(struct reward_call *call, enum reward_outcome outcome)
{
	struct reward_call_owner *owner = call->owner;

	owner->ended(owner, call, outcome);
	free_call(call);
}

static void on_done(struct net_call *net, enum net_outcome outcome)
{
	struct reward_call *call = call_of(net);

	end_call(call, call_outcome(call, outcome));
}

static const struct net_call_vtable call_vtable = { on_head, on_body, on_done };

static void on_timeout(void *arg, int64_t now_ns)
{
	struct reward_call *call = arg;

	(void)now_ns;
	net_call_cancel(&call->net);
	end_call(call, REWARD_LOST);
}

static void write_head(struct reward_call *call, int64_t timeout_ns)
{
	const Currant__Topic__RewardRequest *reward = request_of(call);
	const struct server_request request = {
		.time_left_ms = timeout_ns / NS_PER_MS,
		.server_id = call->server->entry.id,
		.priority = -1,
		.last_event_id = -1,
	};

	platform_write_item_request(&call->head, reward->host, reward->path,
				    reward->id, "", &request, reward->body.len);
}

struct reward_call *
reward_call_start(struct reward_call_owner *owner, struct active_item *item,
		  struct fleet_server *server, struct net_pool *pool,
		  struct reactor *reactor, int64_t timeout_ns)
{
	struct reward_call *call = xcalloc(1, sizeof(*call));

	call->owner = owner;
	call->item = item;
	call->server = fleet_server_ref(server);
	call->reactor = reactor;
	call->started_ns = reactor_now_ns(reactor);
	item->reward = call;
	item->reward_calls++;
	fleet_server_begin(server, call->started_ns);
	circuit_begin_last_resort(&server->circuit, call->started_ns);
	strbuf_init(&call->head);
	write_head(call, timeout_ns);
	call->net.vt = &call_vtable;
	call->net.address = server->entry.address;
	call->net.head = call->head.buf;
	call->net.head_len = call->head.len;
	call->net.id_hash = hash_text(request_of(call)->id, 0);
	call->net.body = request_of(call)->body.data;
	call->net.body_len = request_of(call)->body.len;
	net_call_start(pool, &call->net);
	timer_subscribe_once(&reactor->timers, &call->timer, timeout_ns,
			     on_timeout, call);
	return call;
}

void reward_call_cancel(struct reward_call *call)
{
	circuit_cancelled(&call->server->circuit,
			  reactor_now_ns(call->reactor));
	net_call_cancel(&call->net);
	free_call(call);
}
