#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/roles.h"
#include "base/clock.h"
#include "base/wait.h"

#define MAX_PENDING 65536

/* Changes that a caller may be behind and still be told what has changed. */
#define MAX_KEPT_CHANGES 4096

/* A change that the served list does not show yet. */
struct pending {
	int64_t due_ns;
	char *name;
	json_t *host; /* NULL: removed */
	struct pending *next;
};

struct hosts_role {
	struct role base;
	pthread_mutex_t lock;
	json_t *hosts; /* by name, as served */
	uint64_t generation;
	/* The change that made generation G is at G % MAX_KEPT_CHANGES. */
	char *changed[MAX_KEPT_CHANGES];
	int64_t started_ns; /* tells this process's generations from others' */
	int64_t lag_ns;
	struct pending *first;
	struct pending *last;
	uint32_t pending_count;
};

/* Takes the name over. */
static void note_change(struct hosts_role *hosts, char *name)
{
	char **place;

	hosts->generation++;
	place = &hosts->changed[hosts->generation % MAX_KEPT_CHANGES];
	free(*place);
	*place = name;
}

static void apply_first(struct hosts_role *hosts)
{
	struct pending *change = hosts->first;

	if (change->host)
		json_object_set(hosts->hosts, change->name, change->host);
	else
		json_object_del(hosts->hosts, change->name);
	note_change(hosts, change->name);
	hosts->first = change->next;
	if (!hosts->first)
		hosts->last = NULL;
	hosts->pending_count--;
	json_decref(change->host);
	free(change);
}

static void apply_due(struct hosts_role *hosts)
{
	int64_t now = wait_now_ns();

	while (hosts->first && hosts->first->due_ns <= now)
		apply_first(hosts);
}

static void add_change(struct hosts_role *hosts, const char *name, json_t *host)
{
	struct pending *change = xcalloc(1, sizeof(*change));

	change->due_ns = wait_now_ns() + hosts->lag_ns;
	change->name = xstrdup(name);
	change->host = host;
	pthread_mutex_lock(&hosts->lock);
	if (hosts->pending_count == MAX_PENDING)
		apply_first(hosts);
	if (hosts->last)
		hosts->last->next = change;
	else
		hosts->first = change;
	hosts->last = change;
	hosts->pending_count++;
	pthread_mutex_unlock(&hosts->lock);
}

static void print_etag(const struct hosts_role *hosts, uint64_t generation,
		       char *out)
{
	snprintf(out, REPLY_ETAG_BYTES, "\"%" PRIx64 "-%" PRIu64 "\"",
		 (uint64_t)hosts->started_ns, generation);
}

/*
 * The generation that an entity tag stands for; returns -1 if it is none of
 * this process's or so old that its changes are no longer kept.
 */
static int parse_etag(const struct hosts_role *hosts, const char *etag,
		      uint64_t *generation)
{
	const char *dash = strchr(etag, '-');
	char expected[REPLY_ETAG_BYTES];

	if (!dash)
		return -1;
	*generation = strtoull(dash + 1, NULL, 10);
	print_etag(hosts, *generation, expected);
	if (strcmp(etag, expected) || *generation > hosts->generation ||
	    hosts->generation - *generation > MAX_KEPT_CHANGES)
		return -1;
	return 0;
}

static void list_all(struct hosts_role *hosts, struct reply *reply)
{
	json_t *array = json_array();
	const char *name;
	json_t *host;

	json_object_foreach (hosts->hosts, name, host)
		json_array_append_new(array, json_deep_copy(host));
	reply_json(reply, 200,
		   json_pack("{s:I, s:o}", "generation",
			     (json_int_t)hosts->generation, "hosts", array));
}

static json_t *names_changed_since(struct hosts_role *hosts, uint64_t since)
{
	json_t *names = json_object();
	uint64_t i;

	for (i = since + 1; i <= hosts->generation; i++)
		json_object_set_new(names, hosts->changed[i % MAX_KEPT_CHANGES],
				    json_true());
	return names;
}

static void list_changes(struct hosts_role *hosts, uint64_t since,
			 struct reply *reply)
{
	json_t *names = names_changed_since(hosts, since);
	json_t *changed = json_array();
	json_t *removed = json_array();
	const char *name;
	json_t *unused;

	json_object_foreach (names, name, unused) {
		json_t *host = json_object_get(hosts->hosts, name);

		if (host)
			json_array_append_new(changed, json_deep_copy(host));
		else
			json_array_append_new(removed, json_string(name));
	}
	json_decref(names);
	print_etag(hosts, since, reply->delta_base);
	reply_json(reply, 226,
		   json_pack("{s:I, s:o, s:o}", "generation",
			     (json_int_t)hosts->generation, "hosts", changed,
			     "removed", removed));
}

static void list(struct hosts_role *hosts, const struct call *call,
		 struct reply *reply)
{
	const char *etag = call_header(call, "If-None-Match");
	int wants_changes = !strcmp(call_header(call, "A-IM"), "changes");
	uint64_t since;
	int known;

	pthread_mutex_lock(&hosts->lock);
	apply_due(hosts);
	known = !parse_etag(hosts, etag, &since);
	if (known && since == hosts->generation)
		reply->status = 304;
	else if (known && wants_changes)
		list_changes(hosts, since, reply);
	else
		list_all(hosts, reply);
	print_etag(hosts, hosts->generation, reply->etag);
	pthread_mutex_unlock(&hosts->lock);
}

static void put(struct hosts_role *hosts, struct call *call,
		struct reply *reply, const char *name)
{
	json_t *host = call_json(call, reply);

	if (!host)
		return;
	if (strcmp(json_field_text(host, "name", ""), name)) {
		json_decref(host);
		reply_error(reply, 400, "\"name\" differs from the path");
		return;
	}
	add_change(hosts, name, host);
	reply_json(reply, 200, json_object());
}

static void hosts_handle(struct role *role, struct call *call,
			 struct reply *reply)
{
	static const char prefix[] = "/v1/hosts/";
	struct hosts_role *hosts = (struct hosts_role *)role;
	const char *name = NULL;

	if (!strncmp(call->path, prefix, sizeof(prefix) - 1))
		name = call->path + sizeof(prefix) - 1;
	if (call_is(call, "GET", "/v1/hosts"))
		list(hosts, call, reply);
	else if (name && !strcmp(call->method, "PUT"))
		put(hosts, call, reply, name);
	else if (name && !strcmp(call->method, "DELETE")) {
		add_change(hosts, name, NULL);
		reply_json(reply, 200, json_object());
	} else
		reply_not_found(reply, call);
}

struct role *hosts_role_new(const struct standin_options *options)
{
	static const struct role_vtable vtable = { .handle = hosts_handle };
	struct hosts_role *hosts = xcalloc(1, sizeof(*hosts));

	hosts->base.vt = &vtable;
	pthread_mutex_init(&hosts->lock, NULL);
	hosts->hosts = json_object();
	hosts->started_ns = wait_now_ns();
	hosts->lag_ns = options->lag_ms * NS_PER_MS;
	return &hosts->base;
}
