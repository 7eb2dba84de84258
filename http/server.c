#include "http/server.h"

#include <civetweb.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/alloc.h"
#include "base/clock.h"

/*
 * Share of the threads that may serve requests; the others remain free to
 * reject requests at once.
 */
#define ADMIT_NUMERATOR 7
#define ADMIT_DENOMINATOR 8
/*
 * Share of busy threads above which keep-alive is off, so that no thread waits
 * on an idle connection.
 */
#define KEEP_ALIVE_NUMERATOR 1
#define KEEP_ALIVE_DENOMINATOR 2
#define HEADER_TIMEOUT_MS 10000
#define BODY_TIMEOUT_MS 20000
#define PIECE_BYTES 8192 /* of a body */
/* Room for bodies by default: so much a thread, or so many largest ones. */
#define BODY_SHARE_BYTES 262144
#define BODIES_MIN 8
#define KEEP_ALIVE_TIMEOUT_MS "2000"
#define NO_THREAD_RETRY_AFTER_NS (1 * NS_PER_S)
#define STARTING_RETRY_AFTER_NS (1 * NS_PER_S)

static const struct problem problem_no_thread = {
	.status = 503,
	.type = "overloaded",
	.detail = "all request threads of this port are in use",
	.run = RUN_NOT_RUN,
	.retry_after_ns = NO_THREAD_RETRY_AFTER_NS,
};

static const struct problem problem_starting = {
	.status = 503,
	.type = "starting",
	.detail = "the daemon is starting and serves no requests yet",
	.run = RUN_NOT_RUN,
	.retry_after_ns = STARTING_RETRY_AFTER_NS,
};

static const struct problem problem_displaced = {
	.status = 503,
	.type = "overloaded",
	.detail = "the threads of this port or the memory for bodies "
		  "(max_bodies_bytes) are in use, and this body made least "
		  "progress",
	.run = RUN_NOT_RUN,
	.retry_after_ns = NO_THREAD_RETRY_AFTER_NS,
};

static int is_number(const char *text)
{
	return *text && !text[strspn(text, "0123456789")];
}

/*
 * Rejects ambiguous framing, which two HTTP parsers could interpret in two
 * ways. Returns a description of the error, or NULL.
 */
static const char *check_framing(const struct mg_request_info *info)
{
	int lengths = 0;
	int encodings = 0;

	for (int i = 0; i < info->num_headers; i++) {
		const char *name = info->http_headers[i].name;
		const char *value = info->http_headers[i].value;

		if (!strcasecmp(name, "Content-Length")) {
			if (!is_number(value))
				return "the Content-Length is no whole number";
			lengths++;
		} else if (!strcasecmp(name, "Transfer-Encoding")) {
			if (strcasecmp(value, "chunked"))
				return "a Transfer-Encoding but chunked";
			encodings++;
		}
	}
	if (lengths > 1)
		return "more than one Content-Length header";
	if (encodings > 1)
		return "more than one Transfer-Encoding header";
	if (lengths && encodings)
		return "both Content-Length and Transfer-Encoding";
	return NULL;
}

static int reject(struct http_exchange *exchange, int status, const char *type,
		  const char *detail)
{
	struct problem problem = {
		.status = status,
		.type = type,
		.detail = detail,
		.run = RUN_NOT_RUN,
	};

	exchange->close_after = 1;
	http_exchange_send_problem(exchange, &problem);
	return -1;
}

/*
 * Stops once the body is too large or has no room. Returns the last result of
 * mg_read().
 */
static int read_up_to_limit(struct http_exchange *exchange, uint32_t max_bytes)
{
	char buffer[PIECE_BYTES];
	int got;

	do {
		got = mg_read(exchange->connection, buffer, sizeof(buffer));
		if (got <= 0 || connection_watch_take_room(exchange->watched,
							   (uint64_t)got))
			return got;
		strbuf_add(&exchange->body, buffer, (size_t)got);
	} while (exchange->body.len <= max_bytes);
	return got;
}

static int reject_displaced(struct http_exchange *exchange)
{
	strbuf_finish(&exchange->body);
	strbuf_init(&exchange->body);
	connection_watch_give_room(exchange->watched);
	exchange->close_after = 1;
	http_exchange_send_problem(exchange, &problem_displaced);
	return -1;
}

static int read_body(struct http_server *server, struct http_exchange *exchange,
		     const struct mg_request_info *info)
{
	const int64_t declared_bytes = info->content_length;
	const uint32_t max_bytes = server->max_body_bytes;
	struct watched_request *watched = exchange->watched;
	int got;

	if (declared_bytes > (int64_t)max_bytes)
		return reject(exchange, 413, "body_too_large",
			      "the body is over the limit");
	got = read_up_to_limit(exchange, max_bytes);
	connection_watch_body_end(watched);
	counter_add(server->slow, watched->timed_out);
	if (watched->displaced)
		return reject_displaced(exchange);
	if (exchange->body.len > max_bytes)
		return reject(exchange, 413, "body_too_large",
			      "the body is over the limit");
	if (watched->timed_out || got < 0 ||
	    (declared_bytes > 0 && exchange->body.len < (size_t)declared_bytes))
		return reject(exchange, 408, "body_incomplete",
			      "the body did not arrive in time");
	return 0;
}

static void serve(struct http_server *server, struct http_exchange *exchange,
		  const struct mg_request_info *info, uint32_t running)
{
	const char *framing_error = check_framing(info);

	if (!__atomic_load_n(&server->open, __ATOMIC_ACQUIRE)) {
		exchange->close_after = 1;
		http_exchange_send_problem(exchange, &problem_starting);
		return;
	}
	if (framing_error) {
		reject(exchange, 400, "malformed_request", framing_error);
		return;
	}
	if (running > server->admit_max) {
		counter_add(server->refused, 1);
		exchange->close_after = 1;
		http_exchange_send_problem(exchange, &problem_no_thread);
		return;
	}
	if (read_body(server, exchange, info))
		return;
	server->handler(server->arg, exchange);
}

/* Called for each request before CivetWeb looks at what it asks for. */
static int on_request(struct mg_connection *connection)
{
	struct http_server *server =
		mg_get_user_data(mg_get_context(connection));
	const struct mg_request_info *info = mg_get_request_info(connection);
	struct watched_request watched;
	struct http_exchange exchange = {
		.connection = connection,
		.watched = &watched,
		.method = info->request_method,
		.path = info->local_uri,
		.query = info->query_string,
	};
	uint32_t running =
		__atomic_add_fetch(&server->running, 1, __ATOMIC_ACQ_REL);

	counter_add(server->requests, 1);
	strbuf_init(&exchange.body);
	connection_watch_add(&server->watch, &watched, info);
	exchange.close_after =
		running > server->keep_alive_max ||
		__atomic_load_n(&server->draining, __ATOMIC_ACQUIRE);
	serve(server, &exchange, info, running);
	strbuf_finish(&exchange.body);
	connection_watch_remove(&watched);
	__atomic_sub_fetch(&server->running, 1, __ATOMIC_ACQ_REL);
	return exchange.head_sent ? 200 : 500;
}

/*
 * Called for headers that CivetWeb itself rejects; on_request() is not called
 * for them.
 */
static int on_http_error(struct mg_connection *connection, int status,
			 const char *text)
{
	struct http_exchange exchange = { .connection = connection };

	(void)text; /* may contain raw bytes of the headers */
	if (status == 505) /* mostly a request line without a version */
		status = 400;
	reject(&exchange, status, "malformed_request",
	       "the head is no HTTP request, is over 16 KB or was not whole "
	       "in time");
	return 0;
}

static struct connection_watch *watch_of(const struct mg_connection *connection)
{
	struct http_server *server =
		mg_get_user_data(mg_get_context(connection));

	return &server->watch;
}

static int on_connection(const struct mg_connection *connection, void **data)
{
	(void)data;
	connection_watch_taken(watch_of(connection));
	return 0;
}

static void on_closing(const struct mg_connection *connection)
{
	connection_watch_closing(watch_of(connection));
}

static void on_closed(const struct mg_connection *connection)
{
	connection_watch_closed(watch_of(connection));
}

static void init_counters(struct http_server *server, const char *label,
			  struct counter_set *counters)
{
	char name[COUNTER_NAME_MAX];

	snprintf(name, sizeof(name), "http_requests_total{port=\"%s\"}", label);
	server->requests = counter_get(counters, name);
	snprintf(name, sizeof(name), "http_refused_full_total{port=\"%s\"}",
		 label);
	server->refused = counter_get(counters, name);
	snprintf(name, sizeof(name), "http_slow_bodies_total{port=\"%s\"}",
		 label);
	server->slow = counter_get(counters, name);
	snprintf(name, sizeof(name), "http_displaced_total{port=\"%s\"}",
		 label);
	server->displaced = counter_get(counters, name);
}

static int set_bound_address(struct http_server *server, const char *address,
			     struct error *err)
{
	struct mg_server_port ports[1];

	memset(ports, 0, sizeof(ports));
	if (mg_get_server_ports(server->context, 1, ports) != 1)
		return error_set(err, ERROR_IO,
				 "cannot read the bound port of '%s'", address);
	server->port = (uint16_t)ports[0].port;
	copy_text(server->ip, sizeof(server->ip), address);
	*strrchr(server->ip, ':') = '\0';
	return 0;
}

/* One largest body has room whatever the setting says. */
static uint64_t max_held_bytes(const struct http_server_settings *settings)
{
	uint64_t one_bytes = (uint64_t)settings->max_body_bytes + PIECE_BYTES;
	uint64_t all_bytes = settings->max_bodies_bytes;

	if (!all_bytes)
		all_bytes = (uint64_t)settings->threads * BODY_SHARE_BYTES;
	if (!settings->max_bodies_bytes && all_bytes < BODIES_MIN * one_bytes)
		all_bytes = BODIES_MIN * one_bytes;
	return all_bytes < one_bytes ? one_bytes : all_bytes;
}

static void init_watch(struct http_server *server,
		       const struct http_server_settings *settings)
{
	struct connection_watch_settings watch = {
		.body_timeout_ms = settings->body_timeout_ms ?: BODY_TIMEOUT_MS,
		.busy_max = server->admit_max ?: 1,
		.max_held_bytes = max_held_bytes(settings),
		.displaced = server->displaced,
	};

	connection_watch_init(&server->watch, &watch);
}

int http_server_start(struct http_server *server,
		      const struct http_server_settings *settings,
		      http_handler handler, void *arg,
		      struct counter_set *counters, struct error *err)
{
	char threads[16];
	char header_timeout[16];
	const char *options[] = {
		"listening_ports",
		settings->address,
		"num_threads",
		threads,
		"request_timeout_ms",
		header_timeout,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		KEEP_ALIVE_TIMEOUT_MS,
		"tcp_nodelay",
		"1",
		"enable_auth_domain_check",
		"no",
		"listen_backlog",
		"1024",
		NULL,
	};
	struct mg_callbacks callbacks;

	memset(server, 0, sizeof(*server));
	memset(&callbacks, 0, sizeof(callbacks));
	callbacks.begin_request = on_request;
	callbacks.http_error = on_http_error;
	callbacks.init_connection = on_connection;
	callbacks.connection_close = on_closing;
	callbacks.connection_closed = on_closed;
	if (!strrchr(settings->address, ':'))
		return error_set(err, ERROR_INVALID,
				 "address '%s' is not ip:port",
				 settings->address);
	snprintf(threads, sizeof(threads), "%u", settings->threads);
	snprintf(header_timeout, sizeof(header_timeout), "%u",
		 settings->header_timeout_ms ?: HEADER_TIMEOUT_MS);
	server->handler = handler;
	server->arg = arg;
	server->admit_max =
		settings->threads * ADMIT_NUMERATOR / ADMIT_DENOMINATOR;
	server->keep_alive_max = settings->threads * KEEP_ALIVE_NUMERATOR /
				 KEEP_ALIVE_DENOMINATOR;
	server->max_body_bytes = settings->max_body_bytes;
	init_counters(server, settings->label, counters);
	init_watch(server, settings);
	server->context = mg_start(&callbacks, server, options);
	if (!server->context) {
		connection_watch_stop(&server->watch);
		return error_set(err, ERROR_IO, "cannot listen on '%s'",
				 settings->address);
	}
	if (set_bound_address(server, settings->address, err) ||
	    connection_watch_start(&server->watch, server->ip, server->port,
				   err)) {
		mg_stop(server->context);
		connection_watch_stop(&server->watch);
		server->context = NULL;
		return -1;
	}
	return 0;
}

void http_server_open(struct http_server *server)
{
	__atomic_store_n(&server->open, 1, __ATOMIC_RELEASE);
}

void http_server_drain(struct http_server *server)
{
	__atomic_store_n(&server->draining, 1, __ATOMIC_RELEASE);
}

void http_server_print_address(const struct http_server *server, char *out)
{
	snprintf(out, NAME_BYTES, "%.48s:%u", server->ip, server->port);
}

uint32_t http_server_running(struct http_server *server)
{
	return __atomic_load_n(&server->running, __ATOMIC_ACQUIRE);
}

void http_server_stop(struct http_server *server)
{
	if (!server->context)
		return;
	connection_watch_keep_all(&server->watch);
	mg_stop(server->context);
	connection_watch_stop(&server->watch);
	server->context = NULL;
}
