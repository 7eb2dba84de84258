#ifndef CLIENT_WEIGHT_HTTP_H
#define CLIENT_WEIGHT_HTTP_H

#include "client/http_call.h"
#include "port/weight_port.h"

/* The weight store over HTTP with JSON bodies. */
struct weight_http {
	struct weight_port base;
	struct http_pool pool;
};

int weight_http_init(struct weight_http *weights, const char *url,
		     struct error *err);

#endif
