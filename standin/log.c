#include <openssl/evp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/roles.h"
#include "base/clock.h"
#include "base/wait.h"
#include "standin/rate_limit.h"

#define MAX_WAIT_MS 30000
#define MAX_READ_BYTES (8u << 20)
#define MAX_STREAMS 16
#define STREAM_NAME_BYTES 32

struct stored {
	uint8_t *data;
	size_t len;
};

/* One append-only log in memory; the last `retain` entries are kept. */
struct log_stream {
	char name[STREAM_NAME_BYTES];
	struct stored *slots; /* entry `offset` is at offset % retain */
	uint64_t retain;
	uint64_t first;
	uint64_t head;
};

struct log_role {
	struct role base;
	pthread_mutex_t lock;
	pthread_cond_t appended;
	struct rate_limit rate; /* of all streams together */
	int over_rate; /* a fault: no append passes the rate limit */
	uint64_t retain;
	struct log_stream streams[MAX_STREAMS]; /* made when first named */
	uint32_t stream_count;
	int stopping;
};

/* The stream that a call names; NULL with a reply if there are too many. */
static struct log_stream *find_stream(struct log_role *log, struct call *call,
				      struct reply *reply)
{
	char name[STREAM_NAME_BYTES];
	struct log_stream *stream;
	uint32_t i;

	call_query_text(call, "stream", name, sizeof(name));
	for (i = 0; i < log->stream_count; i++)
		if (!strcmp(log->streams[i].name, name))
			return &log->streams[i];
	if (log->stream_count == MAX_STREAMS) {
		reply_error(reply, 400, "too many streams");
		return NULL;
	}
	stream = &log->streams[log->stream_count++];
	copy_text(stream->name, sizeof(stream->name), name);
	stream->retain = log->retain;
	stream->slots = xcalloc(stream->retain, sizeof(*stream->slots));
	return stream;
}

static struct stored *slot(struct log_stream *stream, uint64_t offset)
{
	return &stream->slots[offset % stream->retain];
}

static void drop_first(struct log_stream *stream)
{
	free(slot(stream, stream->first)->data);
	slot(stream, stream->first)->data = NULL;
	stream->first++;
}

static uint64_t store(struct log_stream *stream, const struct call *call)
{
	uint64_t offset = stream->head;

	if (stream->head - stream->first == stream->retain)
		drop_first(stream);
	stream->head++;
	slot(stream, offset)->data = xmalloc(call->body.len + 1);
	slot(stream, offset)->len = call->body.len;
	memcpy(slot(stream, offset)->data, call->body.buf, call->body.len);
	return offset;
}

static void append(struct log_role *log, struct call *call, struct reply *reply)
{
	struct log_stream *stream;

	pthread_mutex_lock(&log->lock);
	stream = find_stream(log, call, reply);
	if (stream && (log->over_rate || !rate_limit_take(&log->rate))) {
		reply_error(reply, 429, "too many appends");
		reply->retry_after_s = 1;
		stream = NULL;
	}
	if (stream) {
		uint64_t offset = store(stream, call);

		pthread_cond_broadcast(&log->appended);
		reply_json(reply, 200,
			   json_pack("{s:I}", "offset", (json_int_t)offset));
	}
	pthread_mutex_unlock(&log->lock);
}

static json_t *entry_json(struct log_stream *stream, uint64_t offset)
{
	const struct stored *entry = slot(stream, offset);
	char *text = xmalloc(4 * ((entry->len + 2) / 3) + 1);
	json_t *json;

	EVP_EncodeBlock((unsigned char *)text, entry->data, (int)entry->len);
	json = json_pack("{s:I, s:s}", "offset", (json_int_t)offset, "data",
			 text);
	free(text);
	return json;
}

static json_t *entries_json(struct log_stream *stream, uint64_t from,
			    uint64_t max)
{
	json_t *entries = json_array();
	size_t bytes = 0;
	uint64_t offset;

	for (offset = from; offset < stream->head && offset - from < max;
	     offset++) {
		bytes += slot(stream, offset)->len;
		if (offset > from && bytes > MAX_READ_BYTES)
			break;
		json_array_append_new(entries, entry_json(stream, offset));
	}
	return entries;
}

static void reply_entries(struct log_stream *stream, uint64_t from,
			  uint64_t max, struct reply *reply)
{
	if (from < stream->first)
		reply_json(
			reply, 410,
			json_pack("{s:I}", "first", (json_int_t)stream->first));
	else
		reply_json(reply, 200,
			   json_pack("{s:I, s:I, s:o}", "first",
				     (json_int_t)stream->first, "head",
				     (json_int_t)stream->head, "entries",
				     entries_json(stream, from, max)));
}

static void read_entries(struct log_role *log, struct call *call,
			 struct reply *reply)
{
	uint64_t from = call_query_u64(call, "from", 0);
	uint64_t max = call_query_u64(call, "max", 100);
	uint64_t wait_ms = call_query_u64(call, "wait_ms", 0);
	int64_t due = wait_now_ns();
	struct log_stream *stream;

	due += (int64_t)(wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS) *
	       NS_PER_MS;
	pthread_mutex_lock(&log->lock);
	stream = find_stream(log, call, reply);
	while (stream && from >= stream->head && wait_ms && !log->stopping)
		if (wait_until(&log->appended, &log->lock, due))
			break;
	if (stream)
		reply_entries(stream, from, max, reply);
	pthread_mutex_unlock(&log->lock);
}

/* Drops entries before "first" or from "head" on, as a fault. */
static void trim(struct log_role *log, struct call *call, struct reply *reply)
{
	json_t *body = call_json(call, reply);
	struct log_stream *stream;
	uint64_t first;
	uint64_t head;

	if (!body)
		return;
	pthread_mutex_lock(&log->lock);
	stream = find_stream(log, call, reply);
	if (stream) {
		first = json_field_u64(body, "first", stream->first);
		head = json_field_u64(body, "head", stream->head);
		while (stream->first < first && stream->first < stream->head)
			drop_first(stream);
		while (stream->head > head && stream->head > stream->first) {
			stream->head--;
			free(slot(stream, stream->head)->data);
			slot(stream, stream->head)->data = NULL;
		}
		reply_json(reply, 200, json_object());
	}
	pthread_mutex_unlock(&log->lock);
	json_decref(body);
}

static void log_handle(struct role *role, struct call *call,
		       struct reply *reply)
{
	struct log_role *log = (struct log_role *)role;

	if (call_is(call, "POST", "/v1/append"))
		append(log, call, reply);
	else if (call_is(call, "GET", "/v1/read"))
		read_entries(log, call, reply);
	else if (call_is(call, "POST", "/standin/trim"))
		trim(log, call, reply);
	else
		reply_not_found(reply, call);
}

static void log_stop(struct role *role)
{
	struct log_role *log = (struct log_role *)role;

	pthread_mutex_lock(&log->lock);
	log->stopping = 1;
	pthread_cond_broadcast(&log->appended);
	pthread_mutex_unlock(&log->lock);
}

static void log_set_faults(struct role *role, const json_t *settings)
{
	struct log_role *log = (struct log_role *)role;

	pthread_mutex_lock(&log->lock);
	log->over_rate = json_is_true(json_object_get(settings, "over_rate"));
	pthread_mutex_unlock(&log->lock);
}

struct role *log_role_new(const struct standin_options *options)
{
	static const struct role_vtable vtable = {
		.handle = log_handle,
		.stop = log_stop,
		.set_faults = log_set_faults,
	};
	struct log_role *log = xcalloc(1, sizeof(*log));

	log->base.vt = &vtable;
	pthread_mutex_init(&log->lock, NULL);
	wait_cond_init(&log->appended);
	rate_limit_init(&log->rate, options->appends_per_s);
	log->retain = options->retain ? options->retain : 1;
	return &log->base;
}
