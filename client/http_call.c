#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/bug.h"
#include "base/clock.h"
#include "client/http_call.h"

#define CONNECT_TIMEOUT_MS 2000L
#define MAX_RESPONSE_BYTES (64u << 20)

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void start_curl(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* What the callbacks of one run share. */
struct run {
	struct http_call *call;
	size_t body_sent;
	int header_sent;
};

int http_pool_init(struct http_pool *pool, const char *base_url,
		   struct error *err)
{
	memset(pool, 0, sizeof(*pool));
	if (copy_text(pool->base_url, sizeof(pool->base_url), base_url) < 0)
		return error_set(err, ERROR_INVALID,
				 "URL '%.64s...' is longer "
				 "than %d bytes",
				 base_url, HTTP_URL_BYTES - 1);
	pthread_mutex_init(&pool->lock, NULL);
	pthread_once(&curl_once, start_curl);
	return 0;
}

void http_pool_finish(struct http_pool *pool)
{
	while (pool->idle_count)
		curl_easy_cleanup(pool->idle[--pool->idle_count]);
	pthread_mutex_destroy(&pool->lock);
}

static CURL *borrow(struct http_pool *pool)
{
	CURL *handle = NULL;

	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count)
		handle = pool->idle[--pool->idle_count];
	pthread_mutex_unlock(&pool->lock);
	if (!handle)
		handle = curl_easy_init();
	if (!handle)
		BUG("curl_easy_init() gives no handle");
	curl_easy_reset(handle);
	return handle;
}

static void give_back(struct http_pool *pool, CURL *handle)
{
	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count < HTTP_POOL_HANDLES) {
		pool->idle[pool->idle_count++] = handle;
		handle = NULL;
	}
	pthread_mutex_unlock(&pool->lock);
	if (handle)
		curl_easy_cleanup(handle);
}

void http_call_init(struct http_call *call)
{
	memset(call, 0, sizeof(*call));
	call->method = "GET";
	call->timeout_ns = 5 * NS_PER_S;
	strbuf_init(&call->response);
}

void http_call_finish(struct http_call *call)
{
	strbuf_finish(&call->response);
}

/*
 * The body is read through a callback that cannot rewind: libcurl would
 * otherwise send it again by itself when a kept connection is cut.
 */
static size_t on_read(char *out, size_t size, size_t count, void *arg)
{
	struct run *run = arg;
	size_t len = run->call->body_len - run->body_sent;

	if (len > size * count)
		len = size * count;
	memcpy(out, (const char *)run->call->body + run->body_sent, len);
	run->body_sent += len;
	return len;
}

static size_t on_write(char *data, size_t size, size_t count, void *arg)
{
	struct run *run = arg;

	if (run->call->response.len + size * count > MAX_RESPONSE_BYTES)
		return 0;
	strbuf_add(&run->call->response, data, size * count);
	return size * count;
}

static int on_debug(CURL *handle, curl_infotype type, char *data, size_t size,
		    void *arg)
{
	struct run *run = arg;

	(void)handle;
	(void)data;
	(void)size;
	if (type == CURLINFO_HEADER_OUT)
		run->header_sent = 1;
	return 0;
}

static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct run *run = arg;

	(void)purpose;
	if (run->call->socket_changed &&
	    run->call->socket_changed(run->call->arg, fd) < 0)
		return CURL_SOCKOPT_ERROR;
	return CURL_SOCKOPT_OK;
}

static int on_close(void *arg, curl_socket_t fd)
{
	struct run *run = arg;

	if (run->call->socket_changed)
		run->call->socket_changed(run->call->arg, -1);
	return close(fd);
}

static void set_body(CURL *handle, struct run *run)
{
	struct http_call *call = run->call;

	if (call->body) {
		curl_easy_setopt(handle, CURLOPT_POST, 1L);
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)call->body_len);
		curl_easy_setopt(handle, CURLOPT_READFUNCTION, on_read);
		curl_easy_setopt(handle, CURLOPT_READDATA, run);
	}
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call->method);
}

static void set_options(CURL *handle, struct run *run, const char *url)
{
	struct http_call *call = run->call;
	long timeout_ms = (long)(call->timeout_ns / NS_PER_MS);

	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
			 timeout_ms > 0 ? timeout_ms : 1L);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, run);
	curl_easy_setopt(handle, CURLOPT_VERBOSE, 1L);
	curl_easy_setopt(handle, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(handle, CURLOPT_DEBUGDATA, run);
	if (call->fresh_connection) {
		curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
		curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, on_socket);
		curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, run);
		curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, on_close);
		curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, run);
	}
	set_body(handle, run);
}

static struct curl_slist *header_list(const struct http_call *call)
{
	char type[128];
	char condition[HTTP_ETAG_BYTES + 32];
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	if (call->header)
		list = curl_slist_append(list, call->header);
	if (call->if_none_match) {
		snprintf(condition, sizeof(condition), "If-None-Match: %s",
			 call->if_none_match);
		list = curl_slist_append(list, condition);
	}
	if (!call->body)
		return list;
	snprintf(type, sizeof(type), "Content-Type: %s",
		 call->content_type ? call->content_type : "application/json");
	return curl_slist_append(list, type);
}

static void copy_header(CURL *handle, const char *name, char *out, size_t size)
{
	struct curl_header *header;

	out[0] = '\0';
	if (curl_easy_header(handle, name, 0, CURLH_HEADER, -1, &header) ==
		    CURLHE_OK &&
	    strlen(header->value) < size)
		copy_text(out, size, header->value);
}

static uint64_t traffic_of(CURL *handle)
{
	long asked = 0;
	long headers = 0;
	curl_off_t sent = 0;
	curl_off_t received = 0;

	curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &asked);
	curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &headers);
	curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &sent);
	curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &received);
	return (uint64_t)(asked + headers + sent + received);
}

static void read_answer(CURL *handle, struct http_call *call)
{
	long status = 0;
	curl_off_t retry_after_s = 0;

	call->outcome = HTTP_ANSWERED;
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	call->status = (int)status;
	curl_easy_getinfo(handle, CURLINFO_RETRY_AFTER, &retry_after_s);
	call->retry_after_s = (uint32_t)retry_after_s;
	copy_header(handle, "ETag", call->etag, sizeof(call->etag));
	copy_header(handle, "Delta-Base", call->delta_base,
		    sizeof(call->delta_base));
	call->traffic_bytes = traffic_of(handle);
}

int http_call_run(struct http_pool *pool, struct http_call *call,
		  struct error *err)
{
	char url[2 * HTTP_URL_BYTES];
	struct run run = { .call = call };
	struct curl_slist *headers = header_list(call);
	CURL *handle = borrow(pool);
	CURLcode result;

	snprintf(url, sizeof(url), "%s%s", pool->base_url, call->path);
	set_options(handle, &run, url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
	strbuf_reset(&call->response);
	result = curl_easy_perform(handle);
	if (result == CURLE_OK)
		read_answer(handle, call);
	else
		call->outcome = run.header_sent ? HTTP_CUT : HTTP_NOT_SENT;
	curl_easy_reset(handle);
	curl_slist_free_all(headers);
	give_back(pool, handle);
	if (result == CURLE_OK)
		return 0;
	return error_set(
		err,
		run.header_sent ? ERROR_UNKNOWN_OUTCOME : ERROR_UNAVAILABLE,
		"%s %s: %s", call->method, url, curl_easy_strerror(result));
}

static enum error_code code_of_status(int status)
{
	switch (status) {
	case 404:
	case 410:
		return ERROR_NOT_FOUND;
	case 409:
		return ERROR_CONFLICT;
	case 429:
		return ERROR_FULL;
	case 502:
	case 503:
		return ERROR_UNAVAILABLE;
	default:
		return status >= 500 ? ERROR_UNKNOWN_OUTCOME : ERROR_PROTOCOL;
	}
}

int http_call_judge(const struct http_call *call, const char *what,
		    struct error *err)
{
	if (call->status >= 200 && call->status < 300)
		return 0;
	return error_set(err, code_of_status(call->status),
			 "%s answered status %d", what, call->status);
}
