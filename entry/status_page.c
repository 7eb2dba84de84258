#include "entry/status_page.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/status_batches.h"
#include "entry/status_config.h"
#include "entry/status_engines.h"
#include "entry/status_row.h"

#define STATUS_QUERY_VALUE_BYTES 129

struct status_query {
	char batch[STATUS_QUERY_VALUE_BYTES];
	uint64_t from;
};

struct status_page_kind {
	const char *path; /* after STATUS_PATH */
	/* Returns -1 if the page's object does not exist. */
	int (*fill)(const struct status_sources *sources, json_t *page,
		    const struct status_query *query);
};

static int64_t now_of(const struct status_sources *sources)
{
	return clock_now_ns(sources->clock);
}

static json_t *topics_of(const struct status_sources *sources)
{
	json_t *topics = json_array();

	for (uint32_t i = 0; i < sources->topic_count; i++) {
		const struct keyed_follower *f = sources->topics[i].follower;
		json_t *row = json_object();

		status_put_text(row, "name", sources->topics[i].name);
		status_put_bool(row, "listed", f->is_listed);
		status_put_bool(row, "lost", f->is_lost);
		status_put_int(row, "failures", f->failures);
		status_put_int(row, "next", (int64_t)f->next);
		status_put_age(row, "answer_age_ms", f->last_success_ns,
			       now_of(sources));
		json_array_append_new(topics, row);
	}
	return topics;
}

static int fill_store(const struct status_sources *sources, json_t *page,
		      const struct status_query *query)
{
	(void)query;
	status_put_text(page, "store_address", sources->settings->store);
	json_object_set_new(page, "topics", topics_of(sources));
	return 0;
}

static int fill_daemon(const struct status_sources *sources, json_t *page,
		       const struct status_query *query)
{
	const struct entry_host *own = &sources->discovery->own;

	(void)query;
	status_put_text(page, "data_centre", own->data_centre);
	status_put_text(page, "region", own->region);
	status_put_text(page, "address", own->caller_address);
	status_put_int(page, "incarnation",
		       (int64_t)(sources->incarnation >> 1));
	status_put_bool(page, "ready", own->ready);
	status_put_bool(page, "leaving", own->leaving);
	status_put_int(page, "hosts", sources->discovery->hosts.count);
	status_put_int(page, "servers", sources->fleet->count);
	return fill_store(sources, page, NULL);
}

static int fill_config(const struct status_sources *sources, json_t *page,
		       const struct status_query *query)
{
	(void)query;
	status_config(page, sources->config->current);
	return 0;
}

static json_t *partitions_of(const struct entry_host *host)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < HOST_PARTITIONS_MAX; i++)
		if (host->partitions >> i & 1)
			json_array_append_new(list, json_integer(i));
	return list;
}

static void fill_host(const struct status_sources *sources, json_t *row,
		      const struct entry_host *host)
{
	const struct discovery *discovery = sources->discovery;

	status_put_text(row, "name", host->name);
	status_put_text(row, "data_centre", host->data_centre);
	status_put_text(row, "region", host->region);
	status_put_text(row, "address", host->caller_address);
	status_put_bool(row, "alive", discovery_is_alive(discovery, host));
	status_put_bool(row, "ready", host->ready);
	status_put_bool(row, "leaving", host->leaving);
	status_put_int(row, "cpu_milli", host->cpu_milli);
	status_put_age(row, "heard_age_ms", host->last_seen_ns,
		       now_of(sources));
	json_object_set_new(row, "partitions", partitions_of(host));
}

static int fill_hosts(const struct status_sources *sources, json_t *page,
		      const struct status_query *query)
{
	struct status_rows rows;

	status_rows_begin(&rows, query->from);
	for (const struct entry_host *h = sources->discovery->hosts.first; h;
	     h = h->next) {
		json_t *row = status_rows_add(&rows);

		if (row)
			fill_host(sources, row, h);
	}
	status_rows_end(&rows, page, "hosts");
	return 0;
}

static int fill_engines(const struct status_sources *sources, json_t *page,
			const struct status_query *query)
{
	status_engines(sources, page, query->from);
	return 0;
}

static int fill_batches(const struct status_sources *sources, json_t *page,
			const struct status_query *query)
{
	status_batches(sources, page, query->from);
	return 0;
}

static int fill_items(const struct status_sources *sources, json_t *page,
		      const struct status_query *query)
{
	return status_items(sources, page, query->batch, query->from);
}

static json_t *versions_of(const struct named_versions *named)
{
	json_t *versions = json_array();

	for (const struct named_version *v = named->first; v; v = v->next) {
		json_t *row = json_object();

		status_put_text(row, "model", v->model);
		status_put_int(row, "version", (int64_t)v->version);
		json_array_append_new(versions, row);
	}
	return versions;
}

/* The duty lease, and the owners of partitions by their claims. */
static int fill_leases(const struct status_sources *sources, json_t *page,
		       const struct status_query *query)
{
	const struct duty_lease *lease = sources->lease;
	json_t *partitions = json_array();
	int64_t now_ns = now_of(sources);

	(void)query;
	status_put_text(page, "duty_holder", lease->view.holder);
	status_put_int(page, "duty_fence", (int64_t)lease->fence);
	status_put_bool(page, "duty_here", lease->is_holder);
	status_put_int(page, "duty_left_ms",
		       lease->is_holder
			       ? (lease->held_until_ns - now_ns) / NS_PER_MS
			       : -1);
	status_put_age(page, "duty_claim_age_ms", lease->view.read_ns, now_ns);
	for (uint32_t i = 0; i < sources->batches->count; i++) {
		const struct batch_partition *p =
			&sources->batches->partitions[i];
		json_t *row = json_object();

		status_put_int(row, "partition", p->number);
		status_put_text(row, "owner", p->table.owner);
		status_put_int(row, "claim", (int64_t)p->table.claim);
		status_put_bool(row, "here",
				batch_runner_has_partition(sources->runner, p));
		status_put_int(row, "batches", p->table.count);
		status_put_int(row, "malformed", (int64_t)p->table.malformed);
		json_array_append_new(partitions, row);
	}
	json_object_set_new(page, "partitions", partitions);
	json_object_set_new(page, "named_versions",
			    versions_of(sources->named));
	return 0;
}

static const struct status_page_kind page_kinds[] = {
	{ "", fill_daemon },	    { "/config", fill_config },
	{ "/hosts", fill_hosts },   { "/engines", fill_engines },
	{ "/leases", fill_leases }, { "/store", fill_store },
	{ "/items", fill_items },   { "/batches", fill_batches },
};

int is_status_target(const char *target)
{
	size_t len = strlen(STATUS_PATH);

	return !strncmp(target, STATUS_PATH, len) &&
	       strchr("/?", target[len]) != NULL; /* or the final NUL */
}

static const struct status_page_kind *find_page_kind(const char *target)
{
	const char *path = target + strlen(STATUS_PATH);
	size_t len = strcspn(path, "?");

	for (uint32_t i = 0; i < ARRAY_SIZE(page_kinds); i++)
		if (strlen(page_kinds[i].path) == len &&
		    !strncmp(page_kinds[i].path, path, len))
			return &page_kinds[i];
	return NULL;
}

/* Parses "?batch=ID&from=N", both optional; -1 for anything else. */
static int read_query(const char *target, struct status_query *query)
{
	const char *at = strchr(target, '?');

	memset(query, 0, sizeof(*query));
	while (at && *++at) {
		size_t len = strcspn(at, "&");
		char *end;

		if (!strncmp(at, "batch=", 6) &&
		    len - 6 < sizeof(query->batch)) {
			memcpy(query->batch, at + 6, len - 6);
			query->batch[len - 6] = '\0';
		} else if (!strncmp(at, "from=", 5) && at[5] >= '0' &&
			   at[5] <= '9') {
			query->from = strtoull(at + 5, &end, 10);
			if (end != at + len)
				return -1;
		} else {
			return -1;
		}
		at = at[len] ? at + len : NULL;
	}
	return 0;
}

json_t *status_page_make(const struct status_sources *sources,
			 const char *target)
{
	const struct status_page_kind *kind = find_page_kind(target);
	const struct entry_config *config = sources->config->current;
	struct status_query query;
	json_t *page;

	if (!kind || read_query(target, &query))
		return NULL;
	page = json_object();
	status_put_text(page, "name", sources->settings->name);
	status_put_int(page, "config_version",
		       config ? (int64_t)config->version : -1);
	status_put_age(page, "config_age_ms",
		       config ? sources->config->applied_ns : 0,
		       now_of(sources));
	if (!kind->fill(sources, page, &query))
		return page;
	json_decref(page);
	return NULL;
}
