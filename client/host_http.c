#include <string.h>
#include <xxhash.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "client/host_http.h"
#include "base/json_field.h"

#define FETCH_TIMEOUT_NS (5 * NS_PER_S)

#define HTTP_IM_USED 226 /* RFC 3229 */
#define HTTP_NOT_MODIFIED 304

static int decode_role(const char *text, enum host_role *role)
{
	static const char *const names[] = {
		[HOST_ENTRY] = "entry",
		[HOST_ENGINE] = "engine",
		[HOST_SERVICE] = "service",
	};
	uint32_t i;

	for (i = 0; i < ARRAY_SIZE(names); i++) {
		if (strcmp(text, names[i]))
			continue;
		*role = (enum host_role)i;
		return 0;
	}
	return -1;
}

static int decode_host(const json_t *json, struct host *host)
{
	memset(host, 0, sizeof(*host));
	if (decode_role(json_field_text(json, "role", ""), &host->role) < 0 ||
	    json_field_copy(json, "name", host->name, sizeof(host->name)) ||
	    json_field_copy(json, "data_centre", host->data_centre,
			    sizeof(host->data_centre)) ||
	    json_field_copy(json, "region", host->region,
			    sizeof(host->region)) ||
	    json_field_copy(json, "address", host->address,
			    sizeof(host->address)))
		return -1;
	if (host->role == HOST_ENTRY) {
		if (json_field_copy(json, "peer_address", host->peer_address,
				    sizeof(host->peer_address)))
			return -1;
	} else if (json_field_copy(json, "pool", host->pool,
				   sizeof(host->pool)))
		return -1;
	host->leaving =
		strcmp(json_field_text(json, "state", "live"), "live") != 0;
	host->cheap = !strcmp(json_field_text(json, "class", ""), "cheap");
	host->checks_fencing =
		json_is_true(json_object_get(json, "checks_fencing"));
	return 0;
}

/* Only a text stands for itself; anything else names no host. */
static const char *name_of(const json_t *host)
{
	return json_field_text(host, "name", "");
}

static void take_all(struct host_list *list, const json_t *hosts)
{
	size_t count = json_array_size(hosts);
	struct host_list all = { 0 };
	size_t i;

	all.host_alloc = (uint32_t)count;
	all.hosts = xcalloc(count ? count : 1, sizeof(*all.hosts));
	for (i = 0; i < count; i++)
		if (decode_host(json_array_get(hosts, i),
				&all.hosts[all.host_count]) < 0)
			all.skipped++;
		else
			all.host_count++;
	host_list_finish(list);
	*list = all;
}

/* A host whose new form is malformed is not kept in its old one. */
static void take_changes(struct host_list *list, const json_t *hosts,
			 const json_t *removed)
{
	struct host host;
	const json_t *json;
	size_t i;

	json_array_foreach (hosts, i, json) {
		if (!decode_host(json, &host)) {
			host_list_put(list, &host);
			continue;
		}
		host_list_remove(list, name_of(json));
		list->skipped++;
	}
	json_array_foreach (removed, i, json)
		if (json_is_string(json))
			host_list_remove(list, json_string_value(json));
}

static int take_body(struct host_http *http, const struct http_call *call,
		     int whole, struct error *err)
{
	json_t *answer =
		json_loadb(call->response.buf, call->response.len, 0, NULL);
	const json_t *hosts = json_object_get(answer, "hosts");
	const json_t *removed = json_object_get(answer, "removed");

	if (!json_is_array(hosts) || (!whole && !json_is_array(removed))) {
		json_decref(answer);
		return error_set(err, ERROR_PROTOCOL,
				 "host list answered no list of hosts");
	}
	if (whole)
		take_all(&http->list, hosts);
	else
		take_changes(&http->list, hosts, removed);
	http->list.generation = json_field_u64(answer, "generation", 0);
	json_decref(answer);
	return HOST_LIST_CHANGED;
}

/* The whole list; the same bytes again need not be parsed. */
static int take_whole(struct host_http *http, const struct http_call *call,
		      struct error *err)
{
	uint64_t hash = XXH64(call->response.buf, call->response.len, 0);

	if (http->has_body && hash == http->body_hash)
		return HOST_LIST_SAME;
	if (take_body(http, call, 1, err) < 0)
		return -1;
	http->has_body = 1;
	http->body_hash = hash;
	return HOST_LIST_CHANGED;
}

/* The changes since the list that this port holds. */
static int take_delta(struct host_http *http, const struct http_call *call,
		      struct error *err)
{
	if (!http->etag[0] || strcmp(call->delta_base, http->etag))
		return error_set(err, ERROR_PROTOCOL,
				 "host list answered changes since '%.64s', "
				 "asked for those since '%.64s'",
				 call->delta_base, http->etag);
	if (take_body(http, call, 0, err) < 0)
		return -1;
	http->has_body = 0;
	return HOST_LIST_CHANGED;
}

static int take_unchanged(struct host_http *http, const struct http_call *call,
			  struct error *err)
{
	if (!http->etag[0])
		return error_set(err, ERROR_PROTOCOL,
				 "host list answered 304, asked for all");
	if (call->etag[0] && strcmp(call->etag, http->etag))
		return error_set(err, ERROR_PROTOCOL,
				 "host list answered 304 for '%.64s', "
				 "asked for '%.64s'",
				 call->etag, http->etag);
	return HOST_LIST_SAME;
}

static int take_answer(struct host_http *http, const struct http_call *call,
		       struct error *err)
{
	int news;

	if (call->status == HTTP_NOT_MODIFIED)
		return take_unchanged(http, call, err);
	if (http_call_judge(call, "host list", err))
		return -1;
	if (call->status == HTTP_IM_USED)
		news = take_delta(http, call, err);
	else
		news = take_whole(http, call, err);
	if (news >= 0)
		copy_text(http->etag, sizeof(http->etag), call->etag);
	return news;
}

static void prepare(struct host_http *http, struct http_call *call)
{
	http_call_init(call);
	call->path = "/v1/hosts";
	call->timeout_ns = FETCH_TIMEOUT_NS;
	if (!http->etag[0])
		return;
	call->if_none_match = http->etag;
	call->header = "A-IM: changes";
}

static int fetch(struct host_port *port, const struct host_list **list,
		 struct error *err)
{
	struct host_http *http = (struct host_http *)port;
	struct error why = ERROR_INIT;
	struct http_call call;
	int news;

	prepare(http, &call);
	news = http_call_run(&http->pool, &call, &why);
	if (news)
		why.code = ERROR_UNAVAILABLE; /* a read changes nothing */
	else
		news = take_answer(http, &call, &why);
	http->traffic_bytes += call.traffic_bytes;
	/* After an answer that makes no sense, begin with a whole one. */
	if (news < 0 && why.code == ERROR_PROTOCOL)
		http->etag[0] = '\0';
	if (news < 0 && err)
		*err = why;
	*list = &http->list;
	http_call_finish(&call);
	return news;
}

static void finish(struct host_port *port)
{
	struct host_http *http = (struct host_http *)port;

	host_list_finish(&http->list);
	http_pool_finish(&http->pool);
}

int host_http_init(struct host_http *http, const char *url, struct error *err)
{
	static const struct host_port_vtable vtable = {
		.fetch = fetch,
		.finish = finish,
	};

	memset(http, 0, sizeof(*http));
	http->base.vt = &vtable;
	return http_pool_init(&http->pool, url, err);
}
