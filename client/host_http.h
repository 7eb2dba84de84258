#ifndef CLIENT_HOST_HTTP_H
#define CLIENT_HOST_HTTP_H

#include "port/host_port.h"
#include "client/http_call.h"

/*
 * The list of hosts over HTTP with JSON bodies. It is asked for with the
 * entity tag of the list that is held: nothing new is a 304, what has changed
 * a 226 with the changes. A platform that knows neither answers the whole
 * list each time (docs/technical/host-list.txt).
 */
struct host_http {
	struct host_port base;
	struct http_pool pool;
	struct host_list list;
	char etag[HTTP_ETAG_BYTES]; /* of `list`; "": none */
	int has_body; /* `body_hash` is that of `list` */
	uint64_t body_hash;
	uint64_t traffic_bytes; /* headers and bodies, both ways */
};

int host_http_init(struct host_http *http, const char *url, struct error *err);

#endif
