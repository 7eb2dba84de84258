#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "base/json_field.h"
#include "client/log_http.h"

#define READ_SLACK_NS (5 * NS_PER_S) /* over the time that a read waits */

static int append(struct log_port *port, const void *data, size_t len,
		  int64_t timeout_ns, uint64_t *offset, struct error *err)
{
	struct log_http *log = (struct log_http *)port;
	struct http_call call;
	char path[128];
	json_t *answer = NULL;
	int result;

	snprintf(path, sizeof(path), "/v1/append%s%s",
		 log->stream[0] ? "?stream=" : "", log->stream);
	http_call_init(&call);
	call.method = "POST";
	call.path = path;
	call.body = data;
	call.body_len = len;
	call.content_type = "application/octet-stream";
	call.timeout_ns = timeout_ns;
	result = http_call_run(&log->pool, &call, err);
	if (!result)
		result = http_call_judge(&call, "log append", err);
	if (!result) {
		answer = json_loadb(call.response.buf, call.response.len, 0,
				    NULL);
		if (json_is_integer(json_object_get(answer, "offset")))
			*offset = json_field_u64(answer, "offset", 0);
		else
			result = error_set(err, ERROR_UNKNOWN_OUTCOME,
					   "log append answered no offset");
	}
	json_decref(answer);
	http_call_finish(&call);
	return result;
}

static int decode_entry(const json_t *json, struct log_entry *entry)
{
	const char *text = json_field_text(json, "data", NULL);
	size_t len = text ? strlen(text) : 0;
	int decoded;

	if (!text || len % 4 ||
	    !json_is_integer(json_object_get(json, "offset")))
		return -1;
	entry->offset = json_field_u64(json, "offset", 0);
	entry->data = xmalloc(len / 4 * 3 + 1);
	decoded = EVP_DecodeBlock(entry->data, (const unsigned char *)text,
				  (int)len);
	if (decoded < 0)
		return -1;
	entry->len = (size_t)decoded;
	/* EVP_DecodeBlock() counts the padding as bytes. */
	while (len && text[len - 1] == '=' && entry->len) {
		entry->len--;
		len--;
	}
	return 0;
}

static int decode_chunk(const json_t *answer, struct log_chunk *out)
{
	const json_t *entries = json_object_get(answer, "entries");
	size_t count = json_array_size(entries);

	if (!json_is_array(entries) ||
	    !json_is_integer(json_object_get(answer, "head")))
		return -1;
	out->first = json_field_u64(answer, "first", 0);
	out->head = json_field_u64(answer, "head", 0);
	out->entries = xcalloc(count ? count : 1, sizeof(*out->entries));
	for (out->entry_count = 0; out->entry_count < count;) {
		uint32_t i = out->entry_count++;

		if (decode_entry(json_array_get(entries, i), &out->entries[i]) <
		    0)
			return -1;
	}
	return 0;
}

static int judge_read(const struct http_call *call, struct log_chunk *out,
		      struct error *err)
{
	json_t *answer =
		json_loadb(call->response.buf, call->response.len, 0, NULL);
	int result = http_call_judge(call, "log read", err);

	if (call->status == 410)
		out->first = json_field_u64(answer, "first", 0);
	else if (!result && decode_chunk(answer, out) < 0) {
		log_chunk_finish(out);
		result = error_set(err, ERROR_PROTOCOL,
				   "log read answered no list of entries");
	}
	json_decref(answer);
	return result;
}

static int read_entries(struct log_port *port, uint64_t from, uint32_t max,
			int64_t wait_ns, struct log_chunk *out,
			struct error *err)
{
	struct log_http *log = (struct log_http *)port;
	struct http_call call;
	char path[128];
	int result;

	memset(out, 0, sizeof(*out));
	snprintf(path, sizeof(path),
		 "/v1/read?from=%llu&max=%u&wait_ms=%lld%s%s",
		 (unsigned long long)from, max,
		 (long long)(wait_ns / NS_PER_MS),
		 log->stream[0] ? "&stream=" : "", log->stream);
	http_call_init(&call);
	call.path = path;
	call.timeout_ns = wait_ns + READ_SLACK_NS;
	result = http_call_run(&log->pool, &call, err);
	if (!result)
		result = judge_read(&call, out, err);
	else if (err)
		err->code = ERROR_UNAVAILABLE; /* a read changes nothing */
	http_call_finish(&call);
	return result;
}

static void finish(struct log_port *port)
{
	http_pool_finish(&((struct log_http *)port)->pool);
}

int log_http_init_stream(struct log_http *log, const char *url,
			 const char *stream, struct error *err)
{
	static const struct log_port_vtable vtable = {
		.append = append,
		.read = read_entries,
		.finish = finish,
	};

	log->base.vt = &vtable;
	if (copy_text(log->stream, sizeof(log->stream), stream) < 0)
		return error_set(err, ERROR_INVALID,
				 "stream '%.40s...' of the log is longer than "
				 "%d bytes",
				 stream, LOG_STREAM_BYTES - 1);
	return http_pool_init(&log->pool, url, err);
}

int log_http_init(struct log_http *log, const char *url, struct error *err)
{
	return log_http_init_stream(log, url, "", err);
}
