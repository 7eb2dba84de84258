#ifndef CLIENT_LOG_HTTP_H
#define CLIENT_LOG_HTTP_H

#include "client/http_call.h"
#include "port/log_port.h"

/* One stream of the log service over HTTP with JSON bodies. */
#define LOG_STREAM_BYTES 32

struct log_http {
	struct log_port base;
	struct http_pool pool;
	char stream[LOG_STREAM_BYTES]; /* "": the one that all daemons read */
};

/* `url` is the service's base, such as "http://127.0.0.1:8000". */
int log_http_init(struct log_http *log, const char *url, struct error *err);

/* The same for a named stream, with offsets of its own. */
int log_http_init_stream(struct log_http *log, const char *url,
			 const char *stream, struct error *err);

#endif
