#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "client/guarded_call.h"
#include "client/send_guard.h"

#define POST_TIMEOUT_NS (5 * NS_PER_S)

static int run(struct http_pool *pool, struct http_call *call,
	       int64_t deadline_ns, struct error *err)
{
	struct send_guard guard;
	int result;

	if (send_guard_arm(&guard, deadline_ns, err) < 0)
		return -1;
	call->socket_changed = send_guard_socket;
	call->arg = &guard;
	result = http_call_run(pool, call, err);
	send_guard_disarm(&guard);
	return result;
}

int guarded_post(struct http_pool *pool, const char *path, json_t *body,
		 int64_t deadline_ns, const char *what, struct error *err)
{
	struct clock clock;
	struct http_call call;
	char *text = json_dumps(body, JSON_COMPACT);
	int64_t left_ns;
	int result;

	if (!text) {
		json_decref(body);
		return error_set(err, ERROR_INVALID, "%s: a field is not UTF-8",
				 what);
	}
	system_clock_init(&clock);
	left_ns = deadline_ns - clock_now_ns(&clock);
	http_call_init(&call);
	call.method = "POST";
	call.path = path;
	call.body = text;
	call.body_len = strlen(text);
	call.timeout_ns = left_ns < POST_TIMEOUT_NS ? left_ns : POST_TIMEOUT_NS;
	call.fresh_connection = 1;
	if (left_ns <= 0)
		result = error_set(err, ERROR_UNAVAILABLE,
				   "%s: the time to send is over", what);
	else
		result = run(pool, &call, deadline_ns, err);
	if (!result)
		result = http_call_judge(&call, what, err);
	http_call_finish(&call);
	free(text);
	json_decref(body);
	return result;
}
