#include <civetweb.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "standin/faults.h"
#include "standin/server.h"

#define MAX_BODY_BYTES (64u << 20)
#define DRAIN_LIMIT_MS 5000

struct server {
	struct role *role;
	struct faults faults;
	pthread_mutex_t lock;
	pthread_cond_t idle;
	uint32_t active;
};

int call_is(const struct call *call, const char *method, const char *path)
{
	return !strcmp(call->method, method) && !strcmp(call->path, path);
}

void call_query_text(const struct call *call, const char *name, char *out,
		     size_t size)
{
	if (mg_get_var(call->query, strlen(call->query), name, out, size) < 0)
		out[0] = 0;
}

uint64_t call_query_u64(const struct call *call, const char *name,
			uint64_t otherwise)
{
	char text[32];

	call_query_text(call, name, text, sizeof(text));
	return text[0] ? strtoull(text, NULL, 10) : otherwise;
}

const char *call_header(const struct call *call, const char *name)
{
	const char *value = mg_get_header(call->conn, name);

	return value ? value : "";
}

json_t *call_json(struct call *call, struct reply *reply)
{
	json_error_t why;
	json_t *body = json_loadb(call->body.buf, call->body.len, 0, &why);

	if (json_is_object(body))
		return body;
	json_decref(body);
	reply_error(reply, 400, "the body is no JSON object");
	return NULL;
}

void reply_json(struct reply *reply, int status, json_t *body)
{
	json_decref(reply->body);
	reply->status = status;
	reply->body = body;
}

void reply_error(struct reply *reply, int status, const char *detail)
{
	reply_json(reply, status, json_pack("{s:s}", "detail", detail));
}

void reply_not_found(struct reply *reply, const struct call *call)
{
	reply_json(reply, 404,
		   json_pack("{s:s, s:s}", "detail", "no such path", "path",
			     call->path));
}

static const char *reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 202:
		return "Accepted";
	case 226:
		return "IM Used";
	case 304:
		return "Not Modified";
	case 409:
		return "Conflict";
	case 410:
		return "Gone";
	case 429:
		return "Too Many Requests";
	case 503:
		return "Service Unavailable";
	default:
		return status < 400 ? "OK" : "Error";
	}
}

static void add_validators(struct strbuf *out, const struct reply *reply)
{
	if (reply->etag[0])
		strbuf_addf(out, "ETag: %s\r\n", reply->etag);
	if (reply->delta_base[0])
		strbuf_addf(out, "Delta-Base: %s\r\nIM: changes\r\n",
			    reply->delta_base);
}

/* A 304 has no body, and so no type and length of one. */
static void add_body_headers(struct strbuf *out, const struct reply *reply,
			     const char *type)
{
	if (reply->status != 304)
		strbuf_addf(out, "Content-Type: %s\r\nContent-Length: %zu\r\n",
			    type, reply->raw.len);
}

static void send_reply(struct call *call, struct reply *reply)
{
	struct strbuf out;
	const char *type = reply->raw_type;

	if (!type)
		type = "application/octet-stream";
	if (reply->body) {
		char *text = json_dumps(reply->body, JSON_COMPACT);

		strbuf_reset(&reply->raw);
		strbuf_addstr(&reply->raw, text ? text : "{}");
		free(text);
		type = "application/json";
	}
	strbuf_init(&out);
	strbuf_addf(&out, "HTTP/1.1 %d %s\r\nConnection: keep-alive\r\n",
		    reply->status, reason(reply->status));
	add_body_headers(&out, reply, type);
	add_validators(&out, reply);
	if (reply->retry_after_s)
		strbuf_addf(&out, "Retry-After: %u\r\n", reply->retry_after_s);
	strbuf_addstr(&out, "\r\n");
	strbuf_add(&out, reply->raw.buf, reply->raw.len);
	mg_write(call->conn, out.buf, out.len);
	strbuf_finish(&out);
}

static int read_body(struct call *call)
{
	char chunk[16384];
	int got;

	while ((got = mg_read(call->conn, chunk, sizeof(chunk))) > 0) {
		strbuf_add(&call->body, chunk, (size_t)got);
		if (call->body.len > MAX_BODY_BYTES)
			return -1;
	}
	return got;
}

static void set_faults(struct server *server, struct call *call,
		       struct reply *reply)
{
	json_t *body = call_json(call, reply);

	if (!body)
		return;
	faults_set(&server->faults, body);
	if (server->role->vt->set_faults)
		server->role->vt->set_faults(server->role, body);
	json_decref(body);
	reply_json(reply, 200, json_object());
}

static void run_call(struct server *server, struct call *call,
		     struct reply *reply)
{
	struct fault_verdict verdict = { 0 };

	if (call_is(call, "POST", "/standin/faults")) {
		set_faults(server, call, reply);
		return;
	}
	if (strncmp(call->path, "/standin/", 9))
		faults_judge(&server->faults, call->path, &verdict);
	if (verdict.refuse) {
		reply_json(reply, 503, json_pack("{s:b}", "not_run", 1));
		reply->retry_after_s = 1;
		return;
	}
	call->mute = verdict.lose_answer;
	server->role->vt->handle(server->role, call, reply);
	if (verdict.lose_answer)
		reply->cut = 1;
}

static void count_active(struct server *server, int by)
{
	pthread_mutex_lock(&server->lock);
	server->active += (uint32_t)by;
	if (!server->active)
		pthread_cond_broadcast(&server->idle);
	pthread_mutex_unlock(&server->lock);
}

static int on_request(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct server *server = mg_get_user_data(mg_get_context(conn));
	struct call call = { .conn = conn,
			     .method = info->request_method,
			     .path = info->local_uri,
			     .query = info->query_string ? info->query_string
							 : "" };
	struct reply reply = { .status = 500 };

	count_active(server, 1);
	strbuf_init(&call.body);
	strbuf_init(&reply.raw);
	if (read_body(&call) < 0)
		reply.cut = 1;
	else
		run_call(server, &call, &reply);
	if (reply.cut)
		mg_disable_connection_keep_alive(conn);
	else if (!reply.sent)
		send_reply(&call, &reply);
	json_decref(reply.body);
	strbuf_finish(&reply.raw);
	strbuf_finish(&call.body);
	count_active(server, -1);
	return 1;
}

/* Writes the address by rename, so that a reader sees it whole. */
static int write_address(const struct standin_options *options,
			 struct mg_context *context)
{
	struct mg_server_port port = { 0 };
	const char *colon = strrchr(options->listen, ':');
	char temporary[4096];
	FILE *file;

	if (!options->address_file)
		return 0;
	mg_get_server_ports(context, 1, &port);
	snprintf(temporary, sizeof(temporary), "%s.%d", options->address_file,
		 getpid());
	file = fopen(temporary, "w");
	if (!file)
		return -1;
	fprintf(file, "%.*s:%d\n", (int)(colon - options->listen),
		options->listen, port.port);
	if (fclose(file))
		return -1;
	return rename(temporary, options->address_file);
}

static struct mg_context *start_http(const struct standin_options *options,
				     struct server *server)
{
	char threads[16];
	const char *settings[] = {
		"listening_ports",
		options->listen,
		"num_threads",
		threads,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		"30000",
		"request_timeout_ms",
		"60000",
		"tcp_nodelay",
		"1",
		"listen_backlog",
		"1024",
		"connection_queue",
		"1024",
		NULL,
	};
	/*
	 * In force from the first request on, unlike a handler that is set
	 * after the start: until then CivetWeb answers by itself, which is not
	 * thread-safe.
	 */
	struct mg_callbacks callbacks = { .begin_request = on_request };

	snprintf(threads, sizeof(threads), "%u", options->threads);
	return mg_start(&callbacks, server, settings);
}

/* Waits until no call runs, for a limited time. */
static void drain(struct server *server)
{
	struct timespec limit;

	clock_gettime(CLOCK_REALTIME, &limit);
	limit.tv_sec += DRAIN_LIMIT_MS / 1000;
	pthread_mutex_lock(&server->lock);
	while (server->active)
		if (pthread_cond_timedwait(&server->idle, &server->lock,
					   &limit) == ETIMEDOUT)
			break;
	pthread_mutex_unlock(&server->lock);
}

int standin_serve(const struct standin_options *options, struct role *role)
{
	struct server server = { .role = role };
	sigset_t signals;
	int got;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	pthread_mutex_init(&server.lock, NULL);
	pthread_cond_init(&server.idle, NULL);
	faults_init(&server.faults);
	mg_init_library(0);
	struct mg_context *context = start_http(options, &server);
	if (!context) {
		fprintf(stderr, "currant-standin %s: cannot listen on %s\n",
			options->role, options->listen);
		return 1;
	}
	if (write_address(options, context) < 0) {
		fprintf(stderr, "currant-standin %s: cannot write %s\n",
			options->role, options->address_file);
		return 1;
	}
	sigwait(&signals, &got);
	faults_stop(&server.faults);
	if (role->vt->stop)
		role->vt->stop(role);
	drain(&server);
	/* mg_stop() would wait for kept connections, which nobody needs. */
	fflush(NULL);
	_exit(0);
}
