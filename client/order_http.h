#ifndef CLIENT_ORDER_HTTP_H
#define CLIENT_ORDER_HTTP_H

#include "client/http_call.h"
#include "port/order_port.h"

/*
 * Backend server orders over HTTP with JSON bodies. Deadlines are times of
 * CLOCK_BOOTTIME.
 */
struct order_http {
	struct order_port base;
	struct http_pool pool;
};

int order_http_init(struct order_http *orders, const char *url,
		    struct error *err);

#endif
