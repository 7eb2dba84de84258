#ifndef CLIENT_USAGE_HTTP_H
#define CLIENT_USAGE_HTTP_H

#include "client/http_call.h"
#include "port/usage_port.h"

/*
 * Usage reports over HTTP with JSON bodies. Deadlines are times of
 * CLOCK_BOOTTIME.
 */
struct usage_http {
	struct usage_port base;
	struct http_pool pool;
};

int usage_http_init(struct usage_http *usage, const char *url,
		    struct error *err);

#endif
