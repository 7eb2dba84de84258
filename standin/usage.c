#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/fence.h"
#include "standin/roles.h"

/* Holds the figures of each usage window, as first reported. */
struct usage_role {
	struct role base;
	pthread_mutex_t lock;
	struct fence received; /* takes every number, keeps time stamps */
	json_t *held; /* by "PARTITION/WINDOW" */
	uint64_t repeats;
	uint64_t conflicts;
};

static void take_report(struct usage_role *usage, struct call *call,
			struct reply *reply)
{
	json_t *report = call_json(call, reply);
	json_t *figures;
	json_t *held;
	char key[160];

	if (!report)
		return;
	snprintf(key, sizeof(key), "%s/%llu",
		 json_field_text(report, "partition", ""),
		 (unsigned long long)json_field_u64(report, "window_start_s",
						    0));
	figures = json_object_get(report, "figures");
	pthread_mutex_lock(&usage->lock);
	fence_pass(&usage->received, key, report, reply);
	held = json_object_get(usage->held, key);
	reply_json(reply, 200, json_object());
	if (!held)
		json_object_set(usage->held, key, report);
	else if (json_equal(json_object_get(held, "figures"), figures))
		usage->repeats++;
	else {
		usage->conflicts++;
		reply_error(reply, 409, "other figures are held");
	}
	pthread_mutex_unlock(&usage->lock);
	json_decref(report);
}

static void list(struct usage_role *usage, struct reply *reply)
{
	json_t *reports = json_array();
	const char *key;
	json_t *report;

	pthread_mutex_lock(&usage->lock);
	json_object_foreach (usage->held, key, report)
		json_array_append_new(reports, json_deep_copy(report));
	reply_json(reply, 200,
		   json_pack("{s:o, s:I, s:I}", "reports", reports, "repeats",
			     (json_int_t)usage->repeats, "conflicts",
			     (json_int_t)usage->conflicts));
	pthread_mutex_unlock(&usage->lock);
}

static void usage_handle(struct role *role, struct call *call,
			 struct reply *reply)
{
	struct usage_role *usage = (struct usage_role *)role;

	if (call_is(call, "POST", "/v1/reports"))
		take_report(usage, call, reply);
	else if (call_is(call, "GET", "/standin/reports"))
		list(usage, reply);
	else if (call_is(call, "GET", "/standin/received")) {
		pthread_mutex_lock(&usage->lock);
		reply_json(reply, 200, fence_received(&usage->received));
		pthread_mutex_unlock(&usage->lock);
	} else
		reply_not_found(reply, call);
}

struct role *usage_role_new(const struct standin_options *options)
{
	static const struct role_vtable vtable = { .handle = usage_handle };
	struct usage_role *usage = xcalloc(1, sizeof(*usage));

	(void)options;
	usage->base.vt = &vtable;
	pthread_mutex_init(&usage->lock, NULL);
	fence_init(&usage->received, 0);
	usage->held = json_object();
	return &usage->base;
}
